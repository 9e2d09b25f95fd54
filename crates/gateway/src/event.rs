//! The events that a node logs.
//!
//! An event describes one decision about a request or one change of the node's state: its inputs,
//! their age or version, and the outcome. Durations are in milliseconds.

use std::net::SocketAddr;

use keeljunction_core::serving::rollout::Standings;
use serde::Serialize;

use crate::obligations::Obligations;

/// A logged event.
#[allow(missing_docs, reason = "field names say what they hold and carry their units")]
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The node started.
    Started {
        node: &'a str,
        incarnation: u64,
        callers: SocketAddr,
        readiness: SocketAddr,
        peers: SocketAddr,
        metrics: SocketAddr,
    },
    /// The node began to shut down. The stop signal may have been sent up to `signal_delay_ms` before.
    Stopping { in_flight: usize, open: Obligations, signal_delay_ms: u64 },
    /// The node decided whether to begin a request while it shuts down.
    StoppingRequestDecided {
        request: &'a str,
        route: &'a str,
        is_begun: bool,
        /// Time since the stop signal may have been sent.
        elapsed_ms: u64,
        /// Time until the process exits, if the signal was sent then.
        remaining_ms: u64,
        /// The time that the request is expected to take, or `None` if nothing is known of its route.
        expected_ms: Option<u64>,
        /// Time after which the request is abandoned in any case.
        timeout_ms: u64,
    },
    /// The node shut down. Unless `is_whole` is set, it left something open.
    Stopped { is_whole: bool, in_flight: usize, open: Obligations, stopped_after_ms: u64 },
    /// The process was paused; for `suspended_ms` of that, its machine was suspended.
    Paused { paused_ms: u64, suspended_ms: u64 },
    /// The settings were reloaded.
    Reloaded { is_changed: bool },
    /// A configuration was adopted.
    ConfigurationAdopted { version: u64, before: Option<u64> },
    /// A document from the platform could not be decoded.
    DocumentRejected { error: String },
    /// The configuration became known to be the latest, or ceased to be.
    FreshnessChanged { is_fresh: bool, age_ms: Option<u64>, bound_ms: u64 },
    /// The table service entered a new era. If `is_return` is set, it was restored from an older copy of
    /// its rows.
    StoreEraBegun { era: Option<u64>, before: Option<u64>, is_return: bool },
    /// A response of the table service from an earlier era was ignored.
    RowsDropped { entries: usize, era: Option<u64>, known: Option<u64> },
    /// A call to the table service failed.
    TableCallFailed { what: &'a str, error: String },
    /// A server joined, began to leave, or left.
    ServerChanged {
        server: &'a str,
        service: &'a str,
        data_centre: &'a str,
        state: &'a str,
        leaves_in_ms: Option<u64>,
    },
    /// Many servers joined, began to leave, or left.
    ServersChanged { joined: usize, leaving: usize, gone: usize },
    /// Several software versions of a service may be running streams. If `is_complete` is not set, there
    /// may be others.
    VersionsMixed { service: &'a str, versions: Vec<&'a str>, is_complete: bool },
    /// A known node reported from another address: it was restarted, or two nodes have one name.
    PeerMoved { peer: &'a str, from: SocketAddr, to: SocketAddr },
    /// A datagram from another cluster, or with an unsupported format, was ignored. At most one is logged
    /// each ten seconds.
    DatagramIgnored { from: SocketAddr, reason: &'a str },
    /// A call from a node of another cluster was refused.
    CallRefused { path: &'a str, reason: &'a str },
    /// This node read the table of nodes.
    NodesRead {
        /// The number of rows that were read.
        rows: usize,
        /// Whether this node is registered with its current address.
        is_registered: bool,
        /// The number of nodes that are heard, this one included.
        nodes_heard: usize,
        /// The number of nodes that are known.
        nodes_known: usize,
    },
    /// This node, as the holder of the duty lease, wrote the software versions of a service that may be
    /// running streams.
    VersionsWritten { service: &'a str, versions: Vec<&'a str> },
    /// A server was ejected because of its responses.
    ServerEjected { server: &'a str, ejected_for_ms: u64 },
    /// A server sent a backpressure signal with a response.
    ServerSignal {
        server: &'a str,
        service: &'a str,
        status: u16,
        rate_limit: Option<f64>,
        back_off_ms: Option<u64>,
        is_leaving: bool,
        /// Rejections per second that the server tolerates, if it is brittle.
        max_rejections: Option<u32>,
    },
    /// A server's backpressure header could not be parsed, or its value was reduced to the maximum.
    HeaderUnreadable { server: &'a str, header: &'a str, value: &'a str },
    /// The duty lease was acquired, renewed after a gap, or lost.
    LeaseChanged { fence: Option<u64> },
    /// The node reports its counts to another aggregator, or became an aggregator itself.
    AggregatorChanged { aggregator: Option<&'a str>, nodes_heard: usize, nodes_known: usize },
    /// All nodes of another region became unreachable, or one became reachable again.
    RegionReached { region: &'a str, is_reached: bool },
    /// A new holder of the duty lease loaded the usage windows frozen by earlier holders.
    UsageLoaded { fence: u64, frozen: Vec<u64>, rows: usize, version: String },
    /// The usage of a window was not reported, because it may already have been reported with other
    /// counts before the table service was restored from an older copy.
    UsageWithheld { window: u64, era: Option<u64> },
    /// The usage of a window was reported.
    UsageReported { window: u64, requests: u64, fence: u64, status: Option<u16> },
    /// A number of servers was ordered in a data centre.
    CapacityOrdered {
        service: &'a str,
        /// Omitted if no regions are configured.
        #[serde(skip_serializing_if = "str::is_empty")]
        region: &'a str,
        data_centre: &'a str,
        is_spot: bool,
        count: u32,
        fence: u64,
        status: Option<u16>,
    },
    /// A rollout was ordered, or its stage changed.
    RolloutChanged { service: &'a str, target_version: &'a str, order: String, stage: &'a str },
    /// This node, as the holder of the duty lease, decided the stage of a rollout.
    RolloutDecided {
        service: &'a str,
        target_version: &'a str,
        order: String,
        stage: &'a str,
        /// The assessment of the new version, or the reason for the rollback.
        why: &'a str,
        /// The route on which it is based, or `None` if it is based on all routes.
        route: Option<&'a str>,
        /// Responses of the new version on which it is based.
        answers: u64,
        /// The time to the first token that nine in ten responses of the new version do not exceed, in
        /// milliseconds.
        target_p90_ms: Option<u64>,
        /// The same for the other versions.
        others_p90_ms: Option<u64>,
        /// Requests in flight on servers of other versions.
        in_flight: u32,
        elapsed_ms: u64,
        duration_ms: u64,
        target_servers: usize,
        other_servers: usize,
        /// What was known of other versions.
        standings: &'a Standings,
        fence: u64,
    },
    /// A server was chosen for a request.
    ServerChosen {
        request: &'a str,
        server: &'a str,
        server_version: &'a str,
        service: &'a str,
        attempt: u32,
        /// The last event that the caller has, if the attempt continues a stream.
        resumed_after: Option<u64>,
        candidates: usize,
        prompt_tokens: u64,
        waiting_tokens: u64,
        slowness: f64,
        expected_ms: Option<u64>,
        left_ms: u64,
        version: u64,
        age_ms: Option<u64>,
        /// The server's region, if there is more than one region.
        region: Option<&'a str>,
        /// Why the request was sent to another region, if it was.
        spill: Option<&'a str>,
    },
    /// The node is cut off from the servers of a service, and sends its requests through peers.
    ServersCutOff { service: &'a str },
    /// The node reaches the servers of a service again.
    ServersReached { service: &'a str, cut_ms: u64 },
    /// A request was offered to a peer because this node is cut off from the server.
    RequestRelayed { server: &'a str, peer: SocketAddr, outcome: &'a str },
    /// An attempt failed.
    AttemptFailed {
        request: &'a str,
        server: &'a str,
        attempt: u32,
        may_have_run: bool,
        why: &'a str,
    },
    /// The response on the connection of a request carries another ID, or none. The connection was
    /// closed.
    ResponseMismatched {
        request: &'a str,
        server: &'a str,
        why: &'a str,
        received_id: Option<&'a str>,
    },
    /// The retry budget allowed or denied another attempt.
    RetryDecided {
        request: &'a str,
        service: &'a str,
        is_allowed: bool,
        /// The number of known nodes, which share the budget.
        nodes: usize,
        /// Requests of this process to the service in the window of the budget.
        requests: usize,
        /// Further retries that the budget of this process allows now.
        remaining: f64,
    },
    /// An upload was evicted because it was too slow or its memory was needed.
    UploadEvicted { request: &'a str, received: u64, length: Option<u64>, why: &'a str },
    /// Memory pressure, under which callers should use other nodes, began or ended.
    MemoryPressureChanged {
        is_short: bool,
        part: f64,
        reserved: u64,
        capacity: u64,
        resident: Option<u64>,
    },
    /// A caller that did not read its response was disconnected.
    CallerDisconnected { request: &'a str, reason: &'a str, held_bytes: usize, resting_ms: u64 },
    /// A response was cut off after it had begun: its server failed, its connection was closed, or its
    /// timeout expired.
    AnswerCut {
        request: &'a str,
        why: &'a str,
        /// Bytes read from the server.
        read_bytes: u64,
        /// Bytes read from the server that were not yet written to the caller.
        held_bytes: usize,
        /// Whether reading was paused because the buffer was full.
        is_held_full: bool,
        /// Time since bytes were last read from the server.
        unread_ms: u64,
        /// Time since bytes were last written to the caller.
        resting_ms: u64,
    },
    /// A request resumed a stream of an earlier request, or was refused because no server may continue it.
    StreamResumed {
        request: &'a str,
        /// The request that began the stream.
        resumes: Option<&'a str>,
        /// How the software version was found, or why the request was refused.
        how: &'a str,
        service: Option<&'a str>,
        version: Option<&'a str>,
        /// Time for which other nodes were queried.
        asked_ms: Option<u64>,
        /// The number of nodes that were queried.
        nodes_asked: Option<usize>,
        /// The number of nodes that answered before the timeout, or up to the first record.
        nodes_answered: Option<usize>,
    },
    /// A server closed a connection while it held many bytes; the bound of bytes in flight to the
    /// service's servers was lowered.
    HeldBoundLowered { server: &'a str, service: &'a str, held_bytes: u64, bound_bytes: u64 },
    /// A request was stopped because two servers crashed while running it.
    RequestStopped { request: &'a str, body_bytes: usize, attempts: u32 },
    /// A server stopped listening after a connection to it was interrupted.
    ServerDown {
        server: &'a str,
        service: &'a str,
        /// Requests of this node that may have caused the crash.
        running: Vec<InterruptedRequest>,
    },
    /// A verdict on whether a request, or a part of prompts, crashes servers, made by this node as the owner of the service, or
    /// by another node.
    RequestJudged {
        /// The fingerprint of the request's content, or of the part.
        fingerprint: String,
        /// The ID of the service in messages between nodes.
        service: u64,
        standing: &'a str,
        servers_crashed: u32,
        left_ms: u64,
        is_keeper: bool,
    },
    /// A request ended.
    RequestEnded {
        request: &'a str,
        /// The fingerprint of the content, if the request was not answered; retries of the request have the
        /// same fingerprint.
        #[serde(skip_serializing_if = "Option::is_none")]
        fingerprint: Option<String>,
        route: Option<&'a str>,
        account: Option<&'a str>,
        status: u16,
        outcome: &'a str,
        attempts: u32,
        first_token_ms: Option<u64>,
        longest_gap_ms: Option<u64>,
        /// What declares the end of the server's response, if one has begun.
        framing: Option<&'a str>,
        /// Time until the server's response ended. The rest of `total_ms` was spent writing to the caller.
        answer_ms: Option<u64>,
        total_ms: u64,
        retry_after_ms: Option<u64>,
        version: Option<u64>,
        age_ms: Option<u64>,
        /// Time since the stop signal may have been sent, if the node shuts down.
        #[serde(skip_serializing_if = "Option::is_none")]
        stopping_ms: Option<u64>,
    },
}

/// A request that was interrupted by the crash of its server and may have caused it.
#[derive(Clone, Debug, Serialize)]
pub struct InterruptedRequest {
    /// The fingerprint of the request's content.
    pub fingerprint: String,
    /// The fingerprints of the parts that its prompt may share with others.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<String>,
    /// The time from sending the request to the server until the crash, in milliseconds.
    pub ran_ms: u64,
}

impl Event<'_> {
    /// Returns `true` if the event accompanies every normal request and may be sampled under load.
    pub fn is_routine(&self) -> bool {
        match self {
            Self::ServerChosen { attempt, .. } => *attempt == 1,
            Self::RequestRelayed { outcome, .. } => *outcome == "relayed",
            Self::RequestEnded { outcome, .. } => *outcome == "answered" || *outcome == "left",
            _ => false,
        }
    }
}

/// Logs an event.
pub fn emit(event: &Event<'_>) {
    crate::log::write_event(event);
}
