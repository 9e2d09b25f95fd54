//! A node's reports of a server crash.

use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::Millis;

/// How long reports are kept for the next owner of the service: as long as nodes assume that a
/// silent node may return.
const REPORT_TTL_MS: Millis = 60_000;
/// The number of reports that are kept: the crashes of all servers of a large data centre.
const OUTBOX_CAPACITY: usize = 128;
/// How often each report is sent to an owner, since datagrams get lost.
const MAX_SENDS: u32 = 3;

/// A request that was cut off by a server crash. Its time is a duration, since the clocks of nodes
/// differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InterruptedRequest {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Milliseconds between the dispatch of the request and the crash of the server.
    pub ran_for: Millis,
}

/// The crash of a server, with one node's requests that it interrupted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The short id of the service.
    pub service: u64,
    /// The short id of the server.
    pub server: u64,
    /// Milliseconds since the crash.
    pub age: Millis,
    /// The interrupted requests.
    pub runs: Vec<InterruptedRequest>,
}

/// An interrupted request whose prompt has parts that it may share with others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InterruptedPrompt {
    /// The fingerprint of the request.
    pub request: Fingerprint,
    /// The fingerprints of the parts.
    pub parts: Vec<Fingerprint>,
    /// Milliseconds between the dispatch of the request and the interruption.
    pub ran_for: Millis,
}

/// A server that crashed or reset its connections, with the prompts of one node that it
/// interrupted. A server that restarts at once looks like one that resets its connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptCrash {
    /// The short id of the service.
    pub service: u64,
    /// The short id of the server.
    pub server: u64,
    /// Milliseconds since the interruption.
    pub age: Millis,
    /// The interrupted prompts.
    pub prompts: Vec<InterruptedPrompt>,
}

/// A report for the owner of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// A crash with the requests that it interrupted.
    Requests(Crash),
    /// The parts of the prompts that were interrupted.
    Prompts(PromptCrash),
}

impl Report {
    fn get_service(&self) -> u64 {
        match self {
            Self::Requests(crash) => crash.service,
            Self::Prompts(crash) => crash.service,
        }
    }

    fn get_age(&self) -> Millis {
        match self {
            Self::Requests(crash) => crash.age,
            Self::Prompts(crash) => crash.age,
        }
    }

    fn with_age(&self, age: Millis) -> Self {
        match self {
            Self::Requests(crash) => Self::Requests(Crash { age, ..crash.clone() }),
            Self::Prompts(crash) => Self::Prompts(PromptCrash { age, ..crash.clone() }),
        }
    }
}

/// The crashes that this node noticed, until the owners of their services have them.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    pending: VecDeque<Pending>,
}

#[derive(Clone, Debug)]
struct Pending {
    report: Report,
    crashed_at: Millis,
    /// The owner it was last sent to, or `None` for this node itself.
    owner: Option<SocketAddr>,
    sends: u32,
}

impl Outbox {
    /// Adds a report to be sent.
    pub fn push(&mut self, now: Millis, report: Report) {
        if self.pending.len() == OUTBOX_CAPACITY {
            self.pending.pop_front();
        }
        let crashed_at = now.saturating_sub(report.get_age());
        self.pending.push_back(Pending { report, crashed_at, owner: None, sends: 0 });
    }

    /// Returns the reports to send now, with the address of their owner, or with `None` if this
    /// node is the owner. `find_owner` returns that address for the short id of a service.
    pub fn take_due(
        &mut self,
        now: Millis,
        find_owner: impl Fn(u64) -> Option<SocketAddr>,
    ) -> Vec<(Option<SocketAddr>, Report)> {
        self.pending.retain(|pending| now < pending.crashed_at + REPORT_TTL_MS);
        let mut due = Vec::new();
        for pending in &mut self.pending {
            let owner = find_owner(pending.report.get_service());
            if owner != pending.owner {
                pending.owner = owner;
                pending.sends = 0;
            }
            if pending.sends < MAX_SENDS {
                pending.sends += 1;
                let age = now.saturating_sub(pending.crashed_at);
                due.push((owner, pending.report.with_age(age)));
            }
        }
        due
    }
}
