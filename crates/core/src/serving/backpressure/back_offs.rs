//! Servers that accept no requests from this node for a time.

use std::collections::BTreeMap;

use super::InstanceKey;
use crate::Millis;

/// The back-offs that servers requested from this node.
#[derive(Clone, Debug, Default)]
pub struct BackOffs {
    /// By the servers' short ids.
    servers: BTreeMap<u64, BackOff>,
}

#[derive(Clone, Copy, Debug)]
struct BackOff {
    incarnation: u64,
    until: Millis,
}

impl BackOffs {
    /// Records a back-off that a server requested. Returns its end if it is later than the known
    /// one.
    ///
    /// Nothing ends a back-off early: neither an earlier response, nor a shorter back-off, nor a
    /// successful response.
    pub fn record(&mut self, now: Millis, key: InstanceKey, back_off: Millis) -> Option<Millis> {
        let until = now.saturating_add(back_off);
        let known = self.servers.get(&key.server);
        let is_later = known.is_none_or(|known| match known.incarnation == key.incarnation {
            true => until > known.until,
            false => key.incarnation > known.incarnation,
        });
        if !is_later {
            return None;
        }
        self.servers.insert(key.server, BackOff { incarnation: key.incarnation, until });
        Some(until)
    }

    /// Returns the time until the end of a server's back-off, or `None` if there is none.
    pub fn get_wait(&self, now: Millis, key: InstanceKey) -> Option<Millis> {
        let known = self.servers.get(&key.server);
        let known = known.filter(|known| known.incarnation == key.incarnation)?;
        known.until.checked_sub(now).filter(|wait| *wait > 0)
    }

    /// Returns `true` if there is no recent back-off.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the number of servers whose back-off has not ended.
    pub fn count(&self, now: Millis) -> usize {
        self.servers.values().filter(|back_off| now < back_off.until).count()
    }

    /// Removes back-offs that have ended.
    pub fn expire(&mut self, now: Millis) {
        self.servers.retain(|_, back_off| now < back_off.until);
    }
}
