//! Tracks which other nodes hold a copy of a record.
//!
//! The node that began a stream compares the copies that exist with those that should, again and
//! again until the record expires. A copy counts only once its holder has confirmed it. So a lost
//! datagram, a holder that was away, and one that has left since all lead to another copy.

use crate::Millis;

/// The number of nodes, besides the one that began the stream, that hold a copy of its record.
pub const COPIES: usize = 3;
/// The time between two checks of a record that has all its copies.
const CHECK_INTERVAL_MS: Millis = 500;
/// The time until a copy that is not confirmed is sent again, which doubles with each attempt.
const RETRY_INTERVAL_MS: Millis = 250;
/// The largest time until a copy that is not confirmed is sent again.
const MAX_RETRY_INTERVAL_MS: Millis = 8_000;
/// The number of attempts after which copies also go to nodes of a lower rank.
const ATTEMPTS_BEFORE_WIDENING: u32 = 2;
/// The remaining life of a copy below which it is renewed.
const MIN_COPY_LIFE_MS: Millis = 20_000;

/// Identifies a node that may hold copies, by the short form of its name.
pub type HolderId = u64;

/// The copies of a record at other nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct Replication {
    /// The nodes that confirmed their copy.
    confirmed: Vec<HolderId>,
    /// The node that gets one more copy, to archive it.
    archivist: Option<HolderId>,
    /// When the copies expire that were sent last.
    copies_expire_at: Millis,
    /// The number of copies that are possible with the known nodes.
    possible: usize,
    /// The number of times that copies were sent since all were confirmed.
    attempts: u32,
    /// When the copies are to be checked.
    due_at: Millis,
}

impl Replication {
    /// Returns when the copies are to be checked.
    pub fn get_due_at(&self) -> Millis {
        self.due_at
    }

    /// Sets the node that gets one more copy. A former one counts as a holder no longer, because it may
    /// not be queried for the record.
    pub fn set_archivist(&mut self, archivist: Option<HolderId>) {
        if let Some(former) = self.archivist.filter(|_| self.archivist != archivist) {
            self.forget(former);
        }
        self.archivist = archivist;
    }

    /// Returns `true` if as many nodes as possible have confirmed their copy, up to [`COPIES`].
    pub fn is_complete(&self) -> bool {
        self.possible > 0 && self.confirmed.len() >= self.possible.min(COPIES)
    }

    /// Records that a node holds a copy.
    pub fn confirm(&mut self, holder: HolderId) {
        if !self.confirmed.contains(&holder) {
            self.confirmed.push(holder);
        }
    }

    /// Records that a node holds no copy any more.
    pub fn forget(&mut self, holder: HolderId) {
        self.confirmed.retain(|known| *known != holder);
    }

    /// Returns the nodes that get a copy of a record that expires at `expires_at`, and sets the time
    /// of the next check.
    ///
    /// `is_live` returns `true` if a holder is a live member. `rank` lists the other nodes in the order
    /// in which they are queried for the record.
    pub fn plan(
        &mut self,
        now: Millis,
        expires_at: Millis,
        is_live: impl Fn(HolderId) -> bool,
        rank: impl FnOnce() -> Vec<HolderId>,
    ) -> Vec<HolderId> {
        self.confirmed.retain(|holder| is_live(*holder));
        if self.is_renewal_due(now, expires_at) {
            self.confirmed.clear();
            self.attempts = 0;
        }
        let lacking_archivist = self.archivist.filter(|known| !self.confirmed.contains(known));
        let others = self.confirmed.iter().filter(|holder| Some(**holder) != self.archivist);
        let missing = COPIES.saturating_sub(others.count());
        if missing == 0 && lacking_archivist.is_none() {
            self.attempts = 0;
            self.due_at = now + CHECK_INTERVAL_MS;
            return Vec::new();
        }
        let ranked = rank();
        self.possible = ranked.len();
        let missing = match self.attempts < ATTEMPTS_BEFORE_WIDENING || missing == 0 {
            true => missing,
            false => usize::MAX,
        };
        let lacking = ranked
            .into_iter()
            .filter(|holder| !self.confirmed.contains(holder) && Some(*holder) != self.archivist);
        let recipients: Vec<HolderId> = lacking.take(missing).chain(lacking_archivist).collect();
        self.schedule(now, recipients.is_empty());
        self.copies_expire_at = expires_at;
        recipients
    }

    /// Returns `true` if the copies expire soon, and much earlier than the record.
    fn is_renewal_due(&self, now: Millis, expires_at: Millis) -> bool {
        let is_short = self.copies_expire_at < now + MIN_COPY_LIFE_MS;
        is_short && self.copies_expire_at + RETRY_INTERVAL_MS < expires_at
    }

    /// Sets the time of the next check, which is soon while no other node is known.
    fn schedule(&mut self, now: Millis, is_nothing_sent: bool) {
        let interval = match (is_nothing_sent, self.possible) {
            (true, 0) => RETRY_INTERVAL_MS,
            (true, _) => CHECK_INTERVAL_MS,
            (false, _) => {
                let factor = 1_u64.checked_shl(self.attempts).unwrap_or(Millis::MAX);
                RETRY_INTERVAL_MS.saturating_mul(factor).min(MAX_RETRY_INTERVAL_MS)
            }
        };
        self.due_at = now + interval;
        self.attempts = if is_nothing_sent { 0 } else { self.attempts.saturating_add(1) };
    }
}
