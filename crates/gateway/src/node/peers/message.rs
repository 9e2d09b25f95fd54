//! The datagrams between nodes.

use keeljunction_core::Millis;
use keeljunction_core::serving::backpressure::{self, InstanceKey, Observation};
use keeljunction_core::serving::directory::{Batch, Departure};
use keeljunction_core::serving::freshness::Versions;
use keeljunction_core::serving::load::{Load, RequestCost};
use keeljunction_core::serving::members::{Entry, Overview as Reach, RosterSummary};
use keeljunction_core::serving::quarantine::{Crash, Fingerprint, Verdict};
use keeljunction_core::serving::quota::Decision;
use keeljunction_core::serving::rollout::{self, Announcement};
use keeljunction_core::serving::throughput::Sample;
use keeljunction_core::serving::usage::{Counts, WindowNumber, WindowSet};
use keeljunction_core::serving::{demand, quota};
use serde::{Deserialize, Serialize};

/// The format of the datagrams; others are ignored.
const FORMAT: u8 = 13;

/// What every datagram begins with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The run of the sender's process, whose clock `sent_at` is read from.
    pub run: u32,
    /// When it was sent, on the sender's steady clock.
    pub sent_at: Millis,
    /// The run and time of the newest datagram that the sender got from the recipient: what the
    /// sender knows is younger than that.
    pub answers: Option<(u32, Millis)>,
}

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a node to its aggregator.
    Report(Box<Report>),
    /// From an aggregator to the others, for its group.
    Summary(Box<Summary>),
    /// From an aggregator to each node of its group.
    Overview(Box<Overview>),
    /// Asks which versions of the platform's tables the peer knows, and how old that knowledge is.
    AskVersions,
    /// Answers that.
    Versions(Versions),
    /// Something that must not wait for the next report.
    Notification(Notification),
    /// Asks the node that keeps the load of some servers for it.
    AskLoads {
        /// Names the question at the one who asks.
        question: u32,
        /// The name of the one who asks, whose own load is left out.
        node: String,
        /// The servers, by short name.
        servers: Vec<u64>,
    },
    /// Answers with what all nodes but the one who asks have in flight there.
    Loads {
        /// The question.
        question: u32,
        /// The loads, by the servers' short names.
        loads: Vec<(u64, Load)>,
    },
    /// Asks the owner of a client account whether a request is within its limit.
    AskQuota {
        /// Names the question at the one who asks.
        question: u32,
        /// The client account.
        account: String,
        /// The units of the request.
        units: u64,
    },
    /// Answers that.
    Quota {
        /// The question.
        question: u32,
        /// The client account.
        account: String,
        /// The units of the request, which one who no longer waits refunds.
        units: u64,
        /// What the owner decided.
        decision: Decision,
    },
    /// Asks the owner of a limited server for a permit.
    AskPermit {
        /// Names the question at the one who asks.
        question: u32,
        /// What the one who asks knows of the server's limit.
        sighting: Observation,
        /// The server's data centre; empty where there is one region only.
        data_centre: String,
    },
    /// Answers that.
    Permit {
        /// The question.
        question: u32,
        /// The server.
        key: InstanceKey,
        /// What the owner decided.
        decision: backpressure::Decision,
    },
    /// Returns the permit of a request that was not sent.
    ReturnPermit(InstanceKey),
    /// A summary of an aggregator of another region, as it came there.
    Carried {
        /// The run of the aggregator's process.
        run: u32,
        /// When the aggregator sent it, on its own clock.
        sent_at: Millis,
        /// The summary.
        summary: Box<Summary>,
    },
    /// A server that crashed, for the keeper of its service.
    ServerCrashed(Crash),
    /// A server answered a request whole that is suspected or refused, for the keeper of its service.
    RequestAnswered(Fingerprint),
    /// What the sender has in flight at some servers, for the node that keeps their load.
    LoadChanged {
        /// The sender's name.
        node: String,
        /// The loads, by the servers' short names.
        loads: Vec<(u64, Load)>,
    },
}

/// Who sends a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// What the node says of itself.
    pub entry: Entry,
    /// Under which incarnation it counts.
    pub incarnation: u64,
    /// Whether it is about to end.
    pub is_stopping: bool,
    /// Milliseconds since it heard of the holder of the duties; 0 where it is that itself.
    pub holder_age: Option<Millis>,
    /// The roll-outs that it knows of.
    pub rollouts: Vec<Announcement>,
}

/// What a node counts for itself, or for its group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// Units of client accounts.
    pub quota: quota::Report,
    /// Requests that began, in the latest windows.
    pub usage: Vec<(WindowNumber, Counts)>,
    /// The demand for each service.
    pub demand: Vec<(String, demand::Report)>,
    /// How fast servers read prompts, by service.
    pub throughputs: Vec<(String, Vec<Sample>)>,
    /// What was counted of the roll-outs that are not decided.
    pub rollouts: Vec<rollout::Report>,
}

/// The report of a node to its aggregator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Who sends it.
    pub sender: Sender,
    /// What it counts for itself.
    pub totals: Totals,
}

/// The summary of an aggregator to the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Who sends it.
    pub sender: Sender,
    /// What it counts for its group.
    pub totals: Totals,
    /// What it has in flight at servers, where there are no groups.
    pub loads: Vec<(u64, Load)>,
    /// The nodes that report to it, by short name.
    pub group: Vec<u64>,
    /// Milliseconds since the one of them was heard that has been silent for longest.
    pub group_age: Millis,
    /// Regions from which nothing arrives at it.
    pub unheard_regions: Vec<String>,
    /// Its list of nodes.
    pub roster: RosterSummary,
    /// Nodes that are new to it.
    pub joined: Vec<Entry>,
    /// Some of the requests that it knows to crash servers, or not to.
    pub verdicts: Vec<Verdict>,
    /// Some of the limits of servers that it knows.
    pub limits: Vec<Observation>,
    /// Some of the servers that said lately that they leave.
    pub departures: Vec<Departure>,
    /// Which versions of the platform's tables it knows.
    pub versions: Versions,
    /// Windows of usage that it knows as frozen.
    pub frozen_windows: WindowSet,
    /// The counts of some of them.
    pub frozen: Vec<(WindowNumber, Counts)>,
}

/// The overview of an aggregator for the nodes of its group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Overview {
    /// Who sends it.
    pub sender: Sender,
    /// What all nodes use, the recipient included.
    pub quota: quota::Report,
    /// How fast servers read prompts, by service.
    pub throughputs: Vec<(String, Vec<Sample>)>,
    /// How many nodes there are and are heard.
    pub reach: Reach,
    /// Nodes that should aggregate and are not heard, by short name.
    pub silent: Vec<u64>,
    /// Regions of which nobody is heard.
    pub lost_regions: Vec<String>,
    /// Whether nothing came from a whole region for some time.
    pub is_region_overdue: bool,
    /// The aggregators that it ranks, by short name.
    pub aggregators: Vec<u64>,
    /// Its list of nodes.
    pub roster: RosterSummary,
    /// Some of the requests that it knows to crash servers, or not to.
    pub verdicts: Vec<Verdict>,
    /// Some of the limits of servers that it knows.
    pub limits: Vec<Observation>,
    /// Some of the servers that said lately that they leave.
    pub departures: Vec<Departure>,
    /// Which versions of the platform's tables it knows.
    pub versions: Versions,
}

/// Something that must not wait for the next report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Notification {
    /// The list of servers has changed.
    ServersChanged(Batch),
    /// The sender has adopted a configuration.
    ConfigurationChanged {
        /// Its version.
        version: u64,
    },
    /// It was decided whether a request crashes servers.
    RequestJudged(Verdict),
    /// A server names a limit, or none any more.
    LimitSeen(Observation),
    /// A server said in an answer that it leaves.
    ServerLeaving(Departure),
    /// A window of usage was frozen, and is about to be reported.
    UsageFrozen(WindowNumber, Counts),
    /// A roll-out was ordered, or its stage has advanced.
    RolloutChanged(Announcement),
    /// The sender has sent a request to a server whose prompt takes long to read.
    RequestStarted {
        /// The sender's name.
        node: String,
        /// The server's short name.
        server: u64,
        /// The size of the request.
        work: RequestCost,
        /// How long its prompt is expected to be read.
        reading_ms: Millis,
    },
}

/// A message in bytes, to which the header of each recipient is added.
#[derive(Clone, Debug)]
pub struct Encoded(Vec<u8>);

impl Encoded {
    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub fn new(message: &Message) -> Result<Self, postcard::Error> {
        postcard::to_stdvec(message).map(Self)
    }

    /// Puts a header before the message.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub fn with_header(&self, header: &Header) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = postcard::to_extend(header, vec![FORMAT])?;
        bytes.extend_from_slice(&self.0);
        Ok(bytes)
    }
}

/// Decodes a datagram; `None` where its format is another one.
pub fn decode(bytes: &[u8]) -> Option<(Header, Message)> {
    let (format, content) = bytes.split_first()?;
    if *format != FORMAT {
        return None;
    }
    postcard::from_bytes(content).ok()
}
