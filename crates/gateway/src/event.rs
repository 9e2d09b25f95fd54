//! All events that a node logs, as types.
//!
//! One line describes one decision that touches a request or changes what the node believes: its
//! inputs, their age or version, and its outcome. Times are in milliseconds.

use std::net::SocketAddr;

use serde::Serialize;

/// An event.
#[allow(missing_docs, reason = "field names say what they hold and carry their units")]
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The node starts.
    Started {
        node: &'a str,
        incarnation: u64,
        callers: SocketAddr,
        readiness: SocketAddr,
        peers: SocketAddr,
        metrics: SocketAddr,
    },
    /// The node begins to stop.
    Stopping { in_flight: usize },
    /// The node ends.
    Stopped { is_whole: bool, in_flight: usize },
    /// The process stood still, its machine suspended for a part of that.
    Paused { paused_ms: u64, suspended_ms: u64 },
    /// The settings were read again.
    Reloaded { is_changed: bool },
    /// A configuration is in force.
    ConfigurationAdopted { version: u64, before: Option<u64> },
    /// A document of the platform could not be read.
    DocumentRejected { error: String },
    /// The configuration is known to be the newest, or no longer.
    FreshnessChanged { is_fresh: bool, age_ms: Option<u64>, bound_ms: u64 },
    /// The table service is in another era than the node knew: where that is a return, it came back from an
    /// older copy of its rows.
    StoreEraBegun { era: Option<u64>, before: Option<u64>, is_return: bool },
    /// An answer of the table service is of an earlier era than the node knows, and changes nothing.
    RowsDropped { entries: usize, era: Option<u64>, known: Option<u64> },
    /// A call of the table service failed.
    TableCallFailed { what: &'a str, error: String },
    /// A server joined, began to leave, or is gone.
    ServerChanged {
        server: &'a str,
        service: &'a str,
        data_centre: &'a str,
        state: &'a str,
        leaves_in_ms: Option<u64>,
    },
    /// Many servers joined, began to leave, or are gone.
    ServersChanged { joined: usize, leaving: usize, gone: usize },
    /// A server is passed over for what its answers showed.
    ServerEjected { server: &'a str, ejected_for_ms: u64 },
    /// A server's answer said something about the requests that follow.
    ServerSignal {
        server: &'a str,
        service: &'a str,
        status: u16,
        rate_limit: Option<f64>,
        back_off_ms: Option<u64>,
        is_leaving: bool,
    },
    /// A header by which a server says something about the requests that follow cannot be read, or is
    /// read as less than it says.
    HeaderUnreadable { server: &'a str, header: &'a str, value: &'a str },
    /// The duty lease was taken, renewed after a gap, or lost.
    LeaseChanged { fence: Option<u64> },
    /// The node reports its counts to another aggregator, or aggregates itself.
    AggregatorChanged { aggregator: Option<&'a str>, nodes_heard: usize, nodes_known: usize },
    /// No node of another region is heard, or one is again.
    RegionReached { region: &'a str, is_reached: bool },
    /// A new holder of the duties has read which windows earlier ones have frozen.
    UsageLoaded { fence: u64, frozen: Vec<u64>, rows: usize, version: String },
    /// A window's usage is not reported: it may have been, with other counts, before the table service came
    /// back from an older copy.
    UsageWithheld { window: u64, era: Option<u64> },
    /// A window's usage was reported.
    UsageReported { window: u64, requests: u64, fence: u64, status: Option<u16> },
    /// A data centre's number of servers was ordered.
    CapacityOrdered {
        service: &'a str,
        /// Left out where no regions are known.
        #[serde(skip_serializing_if = "str::is_empty")]
        region: &'a str,
        data_centre: &'a str,
        is_spot: bool,
        count: u32,
        fence: u64,
        status: Option<u16>,
    },
    /// A roll-out was ordered, or its stage has advanced.
    RolloutChanged { service: &'a str, target_version: &'a str, order: String, stage: &'a str },
    /// This node, as the holder of the duties, decided the stage of a roll-out.
    RolloutDecided {
        service: &'a str,
        target_version: &'a str,
        order: String,
        stage: &'a str,
        /// What was found of the new version, or why it was given up.
        why: &'a str,
        /// The route where it was found; over all routes where there is none.
        route: Option<&'a str>,
        /// Answers of the new version that it was judged by.
        answers: u64,
        /// Requests in flight on other versions, which end with them.
        in_flight: u32,
        elapsed_ms: u64,
        duration_ms: u64,
        target_servers: usize,
        other_servers: usize,
        fence: u64,
    },
    /// A server was chosen for a request.
    ServerChosen {
        request: &'a str,
        server: &'a str,
        server_version: &'a str,
        service: &'a str,
        attempt: u32,
        candidates: usize,
        prompt_tokens: u64,
        waiting_tokens: u64,
        slowness: f64,
        expected_ms: Option<u64>,
        left_ms: u64,
        version: u64,
        age_ms: Option<u64>,
        /// The server's region, where there is more than one.
        region: Option<&'a str>,
        /// Why the request left its own region, where it did.
        spill: Option<&'a str>,
    },
    /// An attempt at a server failed.
    AttemptFailed {
        request: &'a str,
        server: &'a str,
        attempt: u32,
        may_have_run: bool,
        why: &'a str,
    },
    /// An upload was evicted: it came too slowly, or its memory was needed.
    UploadEvicted { request: &'a str, received: u64, length: Option<u64>, why: &'a str },
    /// Callers should go to other nodes for want of memory, or no longer.
    MemoryPressureChanged {
        is_short: bool,
        part: f64,
        reserved: u64,
        capacity: u64,
        resident: Option<u64>,
    },
    /// A caller that did not read its answer was disconnected.
    CallerDisconnected { request: &'a str, reason: &'a str, held_bytes: usize, resting_ms: u64 },
    /// An answer that had begun broke off: its server or its connection ended, or its time-out passed.
    AnswerCut {
        request: &'a str,
        why: &'a str,
        /// Bytes that were read from the server.
        read_bytes: u64,
        /// Those of them that the caller had not taken.
        held_bytes: usize,
        /// Whether reading had stopped because as much was held as may be.
        is_held_full: bool,
        /// Time since the last bytes were read.
        unread_ms: u64,
        /// Time since the caller took some.
        resting_ms: u64,
    },
    /// A server ended a connection while it held much: less is sent to the service's servers.
    HeldBoundLowered { server: &'a str, service: &'a str, held_bytes: u64, bound_bytes: u64 },
    /// A request under which two servers crashed goes to no third one.
    RequestStopped { request: &'a str, body_bytes: usize, attempts: u32 },
    /// A server does not listen any more, after a connection to it broke off.
    ServerDown {
        server: &'a str,
        service: &'a str,
        /// This node's requests that it may have crashed under.
        running: Vec<InterruptedRequest>,
    },
    /// It was decided whether a request crashes servers: by this node as the keeper of the service, or by
    /// another one.
    RequestJudged {
        /// Names the request's content.
        fingerprint: String,
        /// The service, as it is named between nodes.
        service: u64,
        standing: &'a str,
        servers_crashed: u32,
        left_ms: u64,
        is_keeper: bool,
    },
    /// A request came to its end.
    RequestEnded {
        request: &'a str,
        /// Names the content of a request that was not answered: the same for all its repeats.
        #[serde(skip_serializing_if = "Option::is_none")]
        fingerprint: Option<String>,
        route: Option<&'a str>,
        account: Option<&'a str>,
        status: u16,
        outcome: &'a str,
        attempts: u32,
        first_token_ms: Option<u64>,
        longest_gap_ms: Option<u64>,
        /// Time until the server's answer had ended; beyond it, `total_ms` is the caller's time.
        answer_ms: Option<u64>,
        total_ms: u64,
        retry_after_ms: Option<u64>,
        version: Option<u64>,
        age_ms: Option<u64>,
    },
}

/// A request under which a server may have crashed.
#[derive(Clone, Debug, Serialize)]
pub struct InterruptedRequest {
    /// Names the request's content.
    pub fingerprint: String,
    /// The time between its being sent to the server and the crash, in milliseconds.
    pub ran_ms: u64,
}

impl Event<'_> {
    /// Returns `true` if the event is of the kind that comes with each request that goes as usual, and
    /// may be sampled under load.
    pub fn is_routine(&self) -> bool {
        match self {
            Self::ServerChosen { attempt, .. } => *attempt == 1,
            Self::RequestEnded { outcome, .. } => *outcome == "answered" || *outcome == "left",
            _ => false,
        }
    }
}

/// Logs an event.
pub fn emit(event: &Event<'_>) {
    crate::log::write_event(event);
}
