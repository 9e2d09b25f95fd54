//! The datagrams between nodes.

use keeljunction_core::Millis;
use keeljunction_core::serving::backpressure::{
    self, Brittleness, Holding, InstanceKey, Observation, SlotRequest,
};
use keeljunction_core::serving::directory::{Batch, Departure};
use keeljunction_core::serving::freshness::Versions;
use keeljunction_core::serving::load::{Load, RequestCost};
use keeljunction_core::serving::members::{
    Entry, Overview as Reachability, RosterSummary, Timestamp,
};
use keeljunction_core::serving::quarantine::{Crash, Fingerprint, PromptCrash, Verdict};
use keeljunction_core::serving::quota::Decision;
use keeljunction_core::serving::rollout::{self, Announcement};
use keeljunction_core::serving::stream_origin::{self, Answer};
use keeljunction_core::serving::throughput::Sample;
use keeljunction_core::serving::usage::{Counts, WindowNumber, WindowSet};
use keeljunction_core::serving::{demand, quota};
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use super::cluster::{Cluster, Mismatch};

/// The version of the datagram format. Datagrams of other versions are ignored.
pub(super) const FORMAT: u8 = 14;

/// The header of a datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// When the datagram was sent.
    pub sent: Timestamp,
    /// When the recipient sent the newest datagram that the sender received from it. The sender's
    /// knowledge is newer than that datagram.
    pub last_received: Option<Timestamp>,
}

/// The message of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Message {
    /// The report of a node to its aggregator.
    Report(Box<Report>),
    /// The summary of an aggregator's group for the other aggregators.
    Summary(Box<Summary>),
    /// The overview of an aggregator for each node of its group.
    Overview(Box<Overview>),
    /// Queries the recipient's versions of the platform's tables and their ages.
    QueryVersions,
    /// The answer to `QueryVersions`.
    Versions(Versions),
    /// A change that must not wait for the next report.
    Notification(Notification),
    /// Queries the load of servers from the node that owns it.
    QueryLoads {
        /// Identifies the query at its sender.
        query_id: u32,
        /// The name of the sender, whose own load is left out of the answer.
        node: String,
        /// The servers, by short name.
        servers: Vec<u64>,
    },
    /// The answer to `QueryLoads`: the load of all nodes except the querying one.
    Loads {
        /// The query.
        query_id: u32,
        /// The loads, by short name of the server.
        loads: Vec<(u64, Load)>,
    },
    /// Asks the owner of a client account whether a request is within the account's limit.
    QueryQuota {
        /// Identifies the query at its sender.
        query_id: u32,
        /// The client account.
        account: String,
        /// The units of the request.
        units: u64,
    },
    /// The answer to `QueryQuota`.
    Quota {
        /// The query.
        query_id: u32,
        /// The client account.
        account: String,
        /// The units of the request, which the recipient refunds if it no longer waits for the
        /// answer.
        units: u64,
        /// The owner's decision.
        decision: Decision,
    },
    /// Requests a permit from the owner of a limited server.
    RequestPermit {
        /// Identifies the request at its sender.
        query_id: u32,
        /// The server's limit as known to the sender.
        observation: Observation,
        /// The server's data centre; empty with a single region.
        data_centre: String,
    },
    /// The answer to `RequestPermit`.
    Permit {
        /// The request.
        query_id: u32,
        /// The server.
        key: InstanceKey,
        /// The owner's decision.
        decision: backpressure::Decision,
    },
    /// Returns the permit of a request that was not sent.
    ReleasePermit(InstanceKey),
    /// A summary from another region, relayed unchanged.
    RelayedSummary {
        /// When the original sender sent it.
        sent: Timestamp,
        /// The summary.
        summary: Box<Summary>,
    },
    /// The report of a crashed server, for the owner of its service.
    ServerCrashed(Crash),
    /// A server completed the response to a suspected or refused request; for the owner of its
    /// service.
    RequestCompleted(Fingerprint),
    /// The sender's load at servers, for the node that owns it.
    LoadChanged {
        /// The sender's name.
        node: String,
        /// The loads, by short name of the server.
        loads: Vec<(u64, Load)>,
    },
    /// Copies of the origins of streams, for the nodes that hold them.
    StreamOrigins(Vec<stream_origin::Batch>),
    /// Asks a holder for the origin of a stream.
    QueryStreamOrigin {
        /// Identifies the query at its sender.
        query_id: u32,
        /// The stream.
        key: stream_origin::Key,
        /// The services that may have begun the stream.
        services: Vec<String>,
    },
    /// The answer to `QueryStreamOrigin`, `ConfirmStreamOrigin` and `QueryArchivedOrigin`.
    StreamOrigin {
        /// The query.
        query_id: u32,
        /// What the holder knows.
        answer: Answer,
    },
    /// Requests a slot from the owner of a server.
    RequestSlot {
        /// Identifies the request at its sender.
        query_id: u32,
        /// The request.
        request: SlotRequest,
        /// The server's data centre; empty with a single region.
        data_centre: String,
    },
    /// The answer to `RequestSlot`.
    Slot {
        /// The request.
        query_id: u32,
        /// The owner's decision.
        decision: backpressure::Decision,
    },
    /// The sender's requests at servers, for the owner of the servers.
    SlotsHeld(Vec<Holding>),
    /// A brittle server rejected a request for lack of room; for the owner of the server.
    SlotRejected {
        /// The server.
        key: InstanceKey,
        /// Rejections per second that the server tolerates.
        max_rejections: u32,
    },
    /// The services known to the sender whose servers are brittle.
    BrittleServices(Vec<Brittleness>),
    /// The parts of prompts that were interrupted at a server, for the owner of its service.
    PromptsInterrupted(PromptCrash),
    /// The answer to `StreamOrigins`.
    StreamOriginsStored {
        /// The short name of the sender.
        holder: u64,
        /// The streams whose copies it has stored.
        keys: Vec<stream_origin::Key>,
    },
    /// Requests the copies that the sender should hold, because its process has started.
    RequestStreamOrigins(Entry),
    /// The answer to `RequestStreamOrigins`, after all copies.
    StreamOriginsSent {
        /// The short name of the sender.
        holder: u64,
        /// The number of records that the sender has.
        records: u32,
    },
    /// Asks a node to read the tables and then to answer with what it knows of a stream's origin.
    ConfirmStreamOrigin {
        /// Identifies the query at its sender.
        query_id: u32,
        /// The stream, if the request names it.
        key: Option<stream_origin::Key>,
        /// The services that may have begun the stream.
        services: Vec<String>,
    },
    /// Asks the archivist of a stream's shard to read the shard and to answer with what is archived.
    QueryArchivedOrigin {
        /// Identifies the query at its sender.
        query_id: u32,
        /// The stream.
        key: stream_origin::Key,
    },
}

/// The sender of a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The sender's entry in the roster.
    pub entry: Entry,
    /// The incarnation under which the sender counts.
    pub incarnation: u64,
    /// `true` if the sender is shutting down.
    pub is_stopping: bool,
    /// Milliseconds since the sender heard of the duty holder; 0 if the sender is the holder.
    pub holder_age: Option<Millis>,
    /// The rollouts known to the sender.
    pub rollouts: Vec<Announcement>,
}

/// The counts of a node or of its group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// Units used by client accounts.
    pub quota: quota::Report,
    /// Requests started in the latest windows.
    pub usage: Vec<(WindowNumber, Counts)>,
    /// The demand for each service.
    pub demand: Vec<(String, demand::Report)>,
    /// Samples of the prompt processing rate of servers, by service.
    pub throughputs: Vec<(String, Vec<Sample>)>,
    /// The counts of undecided rollouts.
    pub rollouts: Vec<rollout::Report>,
}

/// The report of a node to its aggregator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub sender: Sender,
    /// The counts of the sender.
    pub totals: Totals,
}

/// The summary of an aggregator for the other aggregators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The sender.
    pub sender: Sender,
    /// The counts of the sender's group.
    pub totals: Totals,
    /// The sender's load at servers, if nodes do not report in groups.
    pub loads: Vec<(u64, Load)>,
    /// The nodes that report to the sender, by short name.
    pub group: Vec<u64>,
    /// Milliseconds since the node of the group that has been silent longest was heard.
    pub group_age: Millis,
    /// Regions from which the sender receives nothing.
    pub unheard_regions: Vec<String>,
    /// The sender's roster.
    pub roster: RosterSummary,
    /// Nodes that are new to the sender.
    pub joined: Vec<Entry>,
    /// Some of the sender's verdicts on requests that may crash servers.
    pub verdicts: Vec<Verdict>,
    /// Some of the server limits known to the sender.
    pub limits: Vec<Observation>,
    /// Some of the servers that recently announced that they leave.
    pub departures: Vec<Departure>,
    /// The sender's versions of the platform's tables.
    pub versions: Versions,
    /// Usage windows that the sender knows to be frozen.
    pub frozen_windows: WindowSet,
    /// The counts of some of these windows.
    pub frozen: Vec<(WindowNumber, Counts)>,
}

/// The overview of an aggregator for the nodes of its group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Overview {
    /// The sender.
    pub sender: Sender,
    /// The units used by all nodes, including the recipient.
    pub quota: quota::Report,
    /// Samples of the prompt processing rate of servers, by service.
    pub throughputs: Vec<(String, Vec<Sample>)>,
    /// The number of nodes known and heard.
    pub reachability: Reachability,
    /// Nodes that should be aggregators but are not heard, by short name.
    pub silent: Vec<u64>,
    /// Regions from which no node is heard.
    pub unreachable_regions: Vec<String>,
    /// `true` if nothing arrived from a whole region for some time.
    pub is_region_overdue: bool,
    /// The aggregators in the sender's ranking, by short name.
    pub aggregators: Vec<u64>,
    /// The sender's roster.
    pub roster: RosterSummary,
    /// Some of the sender's verdicts on requests that may crash servers.
    pub verdicts: Vec<Verdict>,
    /// Some of the server limits known to the sender.
    pub limits: Vec<Observation>,
    /// Some of the servers that recently announced that they leave.
    pub departures: Vec<Departure>,
    /// The sender's versions of the platform's tables.
    pub versions: Versions,
}

/// A change that must not wait for the next report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Notification {
    /// The server list has changed.
    ServersChanged(Batch),
    /// The sender has adopted a configuration.
    ConfigurationChanged {
        /// The version of the configuration.
        version: u64,
    },
    /// The owner of a service has decided whether a request crashes servers.
    RequestJudged(Verdict),
    /// A server has set or lifted its limit.
    LimitObserved(Observation),
    /// A server announced in a response that it leaves.
    ServerLeaving(Departure),
    /// A usage window was frozen and is about to be reported.
    UsageFrozen(WindowNumber, Counts),
    /// A rollout was ordered, or its stage has advanced.
    RolloutChanged(Announcement),
    /// The sender has sent a request with a long prompt to a server.
    RequestStarted {
        /// The sender's name.
        node: String,
        /// The server's short name.
        server: u64,
        /// The size of the request.
        cost: RequestCost,
        /// The expected prefill time of its prompt.
        prefill_ms: Millis,
    },
    /// The servers of a service have become brittle, or are no longer.
    BrittlenessChanged(Brittleness),
}

/// An encoded message, to which a header for each recipient is added.
#[derive(Clone, Debug)]
pub struct Encoded {
    kind: &'static str,
    bytes: Vec<u8>,
}

impl Encoded {
    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// Returns the error of the encoder.
    pub fn new(message: &Message) -> Result<Self, postcard::Error> {
        let bytes = postcard::to_stdvec(message)?;
        Ok(Self { kind: message.into(), bytes })
    }

    /// Returns the kind of the message, as in the metrics.
    pub fn get_kind(&self) -> &'static str {
        self.kind
    }

    /// Prepends the cluster's prefix and a header to the message.
    ///
    /// # Errors
    ///
    /// Returns the error of the encoder.
    pub fn to_datagram(
        &self,
        cluster: &Cluster,
        header: &Header,
    ) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = postcard::to_extend(header, cluster.get_prefix().to_vec())?;
        bytes.extend_from_slice(&self.bytes);
        Ok(bytes)
    }
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns the reason if the datagram is to be ignored.
pub fn decode(cluster: &Cluster, bytes: &[u8]) -> Result<(Header, Message), Mismatch> {
    let content = cluster.strip_prefix(bytes)?;
    postcard::from_bytes(content).map_err(|_| Mismatch::Format)
}
