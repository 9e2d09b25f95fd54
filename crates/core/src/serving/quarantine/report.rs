//! What a node reports of a server that crashed.

use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::Millis;

/// How long reports are kept for a keeper that takes the place of another, in milliseconds: as long as
/// nodes believe that one which is silent may come back.
const KEPT_FOR: Millis = 60_000;
/// The most reports that are kept: the crashes of all servers of a large data centre.
const MOST_KEPT: usize = 128;
/// How often each report is sent to a keeper: datagrams get lost.
const TIMES_SENT: u32 = 3;

/// A request that was cut off where a server crashed. Its time is a span, since nodes' clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InterruptedRequest {
    /// Names the request's content.
    pub fingerprint: Fingerprint,
    /// Milliseconds between its being sent to the server and the server's crash.
    pub ran_for: Millis,
}

/// A server that crashed, with the requests of one node that were cut off there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The short name of the service.
    pub service: u64,
    /// The short name of the server.
    pub server: u64,
    /// Milliseconds since the crash.
    pub age: Millis,
    /// The requests.
    pub runs: Vec<InterruptedRequest>,
}

/// The crashes that this node has noticed, until their keepers have them.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    kept: VecDeque<Kept>,
}

#[derive(Clone, Debug)]
struct Kept {
    crash: Crash,
    crashed_at: Millis,
    /// Whom it was sent to last; `None` for this node itself.
    keeper: Option<SocketAddr>,
    times_sent: u32,
}

impl Outbox {
    /// Takes a report that is to be sent.
    pub fn push(&mut self, now: Millis, crash: Crash) {
        if self.kept.len() == MOST_KEPT {
            self.kept.pop_front();
        }
        let crashed_at = now.saturating_sub(crash.age);
        self.kept.push_back(Kept { crash, crashed_at, keeper: None, times_sent: 0 });
    }

    /// Takes out what is to be sent now, with the address of its keeper, or without where this node
    /// keeps it itself. `find_keeper` gives that address for the short name of a service.
    pub fn take_due(
        &mut self,
        now: Millis,
        find_keeper: impl Fn(u64) -> Option<SocketAddr>,
    ) -> Vec<(Option<SocketAddr>, Crash)> {
        self.kept.retain(|kept| now < kept.crashed_at + KEPT_FOR);
        let mut due = Vec::new();
        for kept in &mut self.kept {
            let keeper = find_keeper(kept.crash.service);
            if keeper != kept.keeper {
                kept.keeper = keeper;
                kept.times_sent = 0;
            }
            if kept.times_sent < TIMES_SENT {
                kept.times_sent += 1;
                let age = now.saturating_sub(kept.crashed_at);
                due.push((keeper, Crash { age, ..kept.crash.clone() }));
            }
        }
        due
    }
}
