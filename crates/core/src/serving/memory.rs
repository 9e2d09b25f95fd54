//! How much memory a node may hold for callers and servers, and who gets it when it is short.
//!
//! Whoever holds bytes of a request or an answer reserves them first and releases them afterwards.
//! What is reserved never exceeds the capacity. While it is short,
//!
//! - bodies leave a part to answers under way, these leave one to bodies, and both to control;
//! - bodies share one pool, of which less urgent ones leave a part to the most urgent; small bodies
//!   have a pool of their own besides;
//! - the account that has waited for longest gets what is released first, and one that holds its
//!   share already gets no more while another one waits;
//! - an upload that rests is let go for one that has yet to begin.
//!
//! The process takes more memory than is reserved: for its sockets, and what the allocator keeps.
//! Samples of its resident memory lower what may be reserved by what they show beyond the sum.
//!
//! A node tells the accountant of each body and read-ahead, and asks it whether it is ready.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use crate::Millis;

/// The part of the capacity that bodies and answers leave to control, so that heads and reports
/// are still heard, and a drain still ends, while bodies fill the rest.
const CONTROL_PART: f64 = 0.1;
/// The part of the capacity that bodies may hold. What they leave is for answers: a request that
/// was sent to a server has cost more than one that has not.
const BODY_PART: f64 = 0.7;
/// The part of the capacity that answers may hold: slow readers must not keep out all requests.
const ANSWER_PART: f64 = 0.5;
/// The part of the bodies' memory that is for small ones, and of the rest for the most urgent.
const KEPT_PART: f64 = 0.15;
/// Bodies up to this length are small: most requests are, and hundreds of them fit in their pool.
const SMALL_BODY_BYTES: u64 = 64 * 1024;
/// The part of the bodies' memory that one account may hold while another one holds some: a second
/// account finds room at once.
const MOST_SHARE: f64 = 0.75;
/// An upload of which nothing came for this time rests: several round trips of a poor mobile link.
const RESTS_AFTER: Millis = 400;
/// The bounds of `Retry-After`, in milliseconds: small bodies end in the least, and resting uploads
/// are let go in the most.
const LEAST_RETRY_AFTER: Millis = 100;
const MOST_RETRY_AFTER: Millis = 3_000;
/// An account that was refused counts as waiting for this time, in which its caller comes back.
const WAITS_FOR: Millis = MOST_RETRY_AFTER + 500;
/// The time over which the rate of releases is measured.
const RATE_WINDOW: Millis = 1_000;
/// The part of the process's memory up to which its resident memory may grow: the rest is for what
/// comes between two samples, as buffers of new connections.
const RESIDENT_PART: f64 = 0.85;
/// The levels, as parts of the memory in use, at which nodes call themselves not ready. Those that
/// draw one above 1, half of them, never do: balancers go back to all nodes once half are out.
const LEAVES_FROM: f64 = 0.6;
const LEAVES_TO: f64 = 1.4;
/// The part of its level below which a node is ready again: one that comes and goes at each body
/// would move its callers each time.
const RELIEF_PART: f64 = 0.7;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A request's body, until its last attempt has ended.
    RequestBody,
    /// A part of an answer that its caller has not read yet.
    ReadAhead,
    /// What the node needs to go on serving at all: heads, reports, a drain.
    Control,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::RequestBody, Self::ReadAhead, Self::Control];

    /// Names the kind in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RequestBody => "request_body",
            Self::ReadAhead => "read_ahead",
            Self::Control => "control",
        }
    }
}

/// Names a holder of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// Who wants to hold bytes, and what for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim<'a> {
    /// What for.
    pub kind: Kind,
    /// The client account; empty where there is none.
    pub account: &'a str,
    /// The request's urgency; 0 is the most urgent.
    pub urgency: u32,
}

/// Why bytes were not reserved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shortage {
    /// When to retry, in milliseconds from now.
    pub retry_after: Millis,
    /// Uploads to let go: their bytes are free once they are dropped.
    pub let_go: Vec<HolderId>,
}

/// How much of a node's memory is in use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Use {
    /// Bytes that are reserved.
    pub reserved: u64,
    /// Bytes that may be reserved now.
    pub capacity: u64,
    /// The resident memory of the process, where it is known.
    pub resident: Option<u64>,
    /// The part of the memory in use, from 0 to 1.
    pub part: f64,
}

/// One that holds bytes.
#[derive(Clone, Debug)]
struct Holder {
    kind: Kind,
    account: String,
    urgency: u32,
    reserved: u64,
    /// Bytes of a body that have come.
    received: u64,
    progressed_at: Millis,
    /// Whether bytes of the body are still to come.
    is_uploading: bool,
    is_let_go: bool,
    is_small: bool,
}

impl Holder {
    fn is_small_with(&self, bytes: u64) -> bool {
        self.is_small && self.reserved.saturating_add(bytes) <= SMALL_BODY_BYTES
    }

    fn is_resting(&self, now: Millis) -> bool {
        let rested = now.saturating_sub(self.progressed_at);
        self.is_uploading && !self.is_let_go && rested >= RESTS_AFTER
    }

    /// Returns the bytes that are reserved and that no memory was taken for yet.
    fn get_untouched(&self) -> u64 {
        if self.is_uploading { self.reserved.saturating_sub(self.received) } else { 0 }
    }
}

/// What an account holds and waits for.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    held: u64,
    wait: Option<Wait>,
}

/// What an account was refused.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: Millis,
    until: Millis,
    bytes: u64,
}

impl Share {
    fn is_waiting(&self, now: Millis) -> bool {
        self.wait.is_some_and(|wait| now < wait.until)
    }

    fn wait_for(&mut self, now: Millis, bytes: u64) {
        let before = self.wait.filter(|wait| now < wait.until);
        let since = before.map_or(now, |wait| wait.since);
        let bytes = before.map_or(bytes, |wait| wait.bytes.max(bytes));
        self.wait = Some(Wait { since, until: now + WAITS_FOR, bytes });
    }
}

/// The bytes that a node holds, and how many it may hold.
#[derive(Clone, Debug)]
pub struct Accountant {
    capacity: u64,
    /// Memory of the process, beyond which it is killed.
    limit: u64,
    /// The resident memory, and what of it was not reserved, in the last sample.
    resident: Option<u64>,
    unreserved: u64,
    held: BTreeMap<Kind, u64>,
    /// What is held of small bodies.
    small_held: u64,
    holders: HashMap<HolderId, Holder>,
    shares: HashMap<String, Share>,
    next_id: u64,
    releases: Releases,
    /// The part in use at which the node calls itself not ready.
    leaves_at: f64,
    is_short: bool,
}

impl Accountant {
    /// Makes an accountant of a node that may hold so many bytes, and whose process is killed beyond
    /// `limit` bytes.
    ///
    /// `draw`, from 0 to 1, spreads the nodes of a data centre: they call themselves not ready at
    /// different levels, and half of them never do for their memory. Balancers fall back to all
    /// nodes once half of them are not ready.
    ///
    /// # Examples
    ///
    /// ```
    /// use keeljunction_core::serving::memory::{Accountant, Claim, Kind};
    ///
    /// let mut memory = Accountant::new(1_000, 2_500, 0.5);
    /// let claim = Claim { kind: Kind::RequestBody, account: "acme", urgency: 0 };
    /// let holder = memory.open(0, &claim);
    /// assert!(memory.grow(0, holder, 500).is_ok());
    /// assert!(memory.grow(0, holder, 500).is_err());
    /// memory.close(0, holder);
    /// assert_eq!(memory.get_total(), 0);
    /// ```
    pub fn new(capacity: u64, limit: u64, draw: f64) -> Self {
        Self {
            capacity,
            limit,
            resident: None,
            unreserved: 0,
            held: BTreeMap::new(),
            small_held: 0,
            holders: HashMap::new(),
            shares: HashMap::new(),
            next_id: 0,
            releases: Releases::default(),
            leaves_at: LEAVES_FROM + draw * (LEAVES_TO - LEAVES_FROM),
            is_short: false,
        }
    }

    /// Returns the bytes that may be held now: fewer where the process takes memory besides.
    pub fn get_capacity(&self) -> u64 {
        let resident = (self.limit as f64 * RESIDENT_PART) as u64;
        self.capacity.min(resident.saturating_sub(self.unreserved))
    }

    /// Returns the bytes that are held of a kind.
    pub fn get_held(&self, kind: Kind) -> u64 {
        self.held.get(&kind).copied().unwrap_or(0)
    }

    /// Returns all bytes that are held.
    pub fn get_total(&self) -> u64 {
        self.held.values().sum()
    }

    /// Returns how much of the memory is in use.
    pub fn get_use(&self) -> Use {
        let (reserved, capacity) = (self.get_total(), self.get_capacity());
        let bodies = self.get_held(Kind::RequestBody) as f64;
        let of_bodies = bodies / (self.capacity as f64 * BODY_PART).max(1.0);
        let of_all = reserved as f64 / (self.capacity as f64 * (1.0 - CONTROL_PART)).max(1.0);
        let of_resident = self.resident.unwrap_or(0) as f64 / (self.limit as f64 * RESIDENT_PART);
        let part = of_bodies.max(of_all).max(of_resident).min(1.0);
        Use { reserved, capacity, resident: self.resident, part }
    }

    /// Returns `true` if callers should go to other nodes, for want of memory.
    pub fn is_short(&self) -> bool {
        self.is_short
    }

    /// Begins to count a holder, which holds nothing yet.
    pub fn open(&mut self, now: Millis, claim: &Claim<'_>) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            kind: claim.kind,
            account: claim.account.to_owned(),
            urgency: claim.urgency,
            reserved: 0,
            received: 0,
            progressed_at: now,
            is_uploading: claim.kind == Kind::RequestBody,
            is_let_go: false,
            is_small: claim.kind == Kind::RequestBody,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Reserves more bytes for a holder.
    ///
    /// # Errors
    ///
    /// Returns when to retry where there is no room for them; nothing is reserved then.
    pub fn grow(&mut self, now: Millis, id: HolderId, bytes: u64) -> Result<(), Shortage> {
        let Some(holder) = self.holders.get(&id) else { return Err(Shortage::default()) };
        let has_room = self.get_shortfall(now, holder, bytes) == 0;
        if !has_room || self.is_beyond_share(now, holder, bytes) {
            return Err(self.refuse(now, id, bytes));
        }
        self.reserve(id, bytes);
        Ok(())
    }

    fn reserve(&mut self, id: HolderId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        *self.held.entry(holder.kind).or_default() += bytes;
        let was_small = holder.is_small;
        holder.is_small = holder.is_small_with(bytes);
        if holder.is_small {
            self.small_held += bytes;
        } else if was_small {
            self.small_held -= holder.reserved;
        }
        holder.reserved += bytes;
        if holder.kind == Kind::RequestBody {
            let share = self.shares.entry(holder.account.clone()).or_default();
            share.held += bytes;
            share.wait = None;
        }
    }

    /// Notes that bytes of a body came.
    pub fn note_received(&mut self, now: Millis, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.received += bytes;
            holder.progressed_at = now;
        }
    }

    /// Notes that a body is whole: it is not let go any more.
    pub fn note_whole(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_uploading = false;
        }
    }

    /// Releases some of a holder's bytes.
    pub fn shrink(&mut self, now: Millis, id: HolderId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let bytes = bytes.min(holder.reserved);
        holder.reserved -= bytes;
        if holder.is_small {
            self.small_held -= bytes;
        }
        if let Some(held) = self.held.get_mut(&holder.kind) {
            *held -= bytes;
        }
        self.releases.add(now, bytes);
        let account = (holder.kind == Kind::RequestBody).then(|| holder.account.clone());
        let Some(account) = account else { return };
        if let Some(share) = self.shares.get_mut(&account) {
            share.held -= bytes;
            if share.held == 0 && !share.is_waiting(now) {
                self.shares.remove(&account);
            }
        }
    }

    /// Releases all of a holder's bytes and forgets it.
    pub fn close(&mut self, now: Millis, id: HolderId) {
        self.shrink(now, id, u64::MAX);
        self.holders.remove(&id);
    }

    /// Takes a sample of the process's resident memory; returns uploads to let go.
    pub fn observe(&mut self, now: Millis, resident: Option<u64>) -> Vec<HolderId> {
        let untouched: u64 = self.holders.values().map(Holder::get_untouched).sum();
        let touched = self.get_total().saturating_sub(untouched);
        self.resident = resident;
        self.unreserved = resident.unwrap_or(0).saturating_sub(touched);
        self.shares.retain(|_, share| share.held > 0 || share.is_waiting(now));
        let part = self.get_use().part;
        let bound = if self.is_short { self.leaves_at * RELIEF_PART } else { self.leaves_at };
        self.is_short = part >= bound;
        let excess = self.get_total().saturating_sub(self.get_capacity());
        if excess == 0 { Vec::new() } else { self.let_go(now, None, excess) }
    }

    /// Returns the bytes by which a holder's growth exceeds what there is; 0 where it fits.
    fn get_shortfall(&self, now: Millis, holder: &Holder, bytes: u64) -> u64 {
        let capacity = self.get_capacity() as f64;
        let part = if holder.kind == Kind::Control { 1.0 } else { 1.0 - CONTROL_PART };
        let total = self.get_total().saturating_add(bytes);
        let of_all = total.saturating_sub((capacity * part) as u64);
        let of_kind = match holder.kind {
            Kind::Control => 0,
            Kind::ReadAhead => {
                let held = self.get_held(Kind::ReadAhead).saturating_add(bytes);
                held.saturating_sub((capacity * ANSWER_PART) as u64)
            }
            Kind::RequestBody => self.get_body_shortfall(now, holder, bytes),
        };
        of_all.max(of_kind)
    }

    fn get_body_shortfall(&self, now: Millis, holder: &Holder, bytes: u64) -> u64 {
        let small_pool = self.get_small_pool();
        if holder.is_small_with(bytes) && self.small_held + bytes <= small_pool {
            return 0;
        }
        let of_urgency = if holder.urgency == 0 { 1.0 } else { 1.0 - KEPT_PART };
        let pool = self.get_body_capacity().saturating_sub(small_pool) as f64 * of_urgency;
        let small_beyond = self.small_held.saturating_sub(small_pool);
        let large = self.get_held(Kind::RequestBody) - self.small_held;
        let wanted = self.get_wanted_before(now, &holder.account);
        let used = (large + small_beyond).saturating_add(bytes).saturating_add(wanted);
        used.saturating_sub(pool as u64)
    }

    fn get_body_capacity(&self) -> u64 {
        (self.get_capacity() as f64 * BODY_PART) as u64
    }

    fn get_small_pool(&self) -> u64 {
        (self.get_body_capacity() as f64 * KEPT_PART) as u64
    }

    /// Returns the bytes that are kept free for the account that has waited for longest within its
    /// share, where it is another one.
    fn get_wanted_before(&self, now: Millis, account: &str) -> u64 {
        let fair = self.get_fair_share(now);
        let waiting = self.shares.iter().filter_map(|(name, share)| {
            let wait = share.wait.filter(|wait| now < wait.until)?;
            let is_within = share.held == 0 || share.held + wait.bytes <= fair;
            is_within.then_some((wait.since, name, wait.bytes))
        });
        let first = waiting.min();
        first.filter(|(_, name, _)| *name != account).map_or(0, |(_, _, bytes)| bytes)
    }

    /// Returns `true` if an account that holds bytes would get more than its share, while another
    /// one waits or holds some.
    fn is_beyond_share(&self, now: Millis, holder: &Holder, bytes: u64) -> bool {
        if holder.kind != Kind::RequestBody || holder.is_small_with(bytes) {
            return false;
        }
        let held = self.get_share_held(&holder.account);
        if held == 0 {
            return false;
        }
        let others = || self.shares.iter().filter(|(name, _)| **name != holder.account);
        let share = if others().any(|(_, share)| share.is_waiting(now)) {
            self.get_fair_share(now)
        } else if others().any(|(_, share)| share.held > 0) {
            (self.get_body_capacity() as f64 * MOST_SHARE) as u64
        } else {
            return false;
        };
        held.saturating_add(bytes) > share
    }

    /// Returns what each account may hold where all that hold bytes or wait want the same.
    fn get_fair_share(&self, now: Millis) -> u64 {
        let active = self.shares.values().filter(|share| share.held > 0 || share.is_waiting(now));
        self.get_body_capacity() / active.count().max(1) as u64
    }

    fn get_share_held(&self, account: &str) -> u64 {
        self.shares.get(account).map_or(0, |share| share.held)
    }

    /// Notes that an account waits, and picks uploads whose bytes make the room.
    fn refuse(&mut self, now: Millis, id: HolderId, bytes: u64) -> Shortage {
        let Some(holder) = self.holders.get(&id).cloned() else { return Shortage::default() };
        let shortfall = self.get_shortfall(now, &holder, bytes);
        let is_beyond_share = self.is_beyond_share(now, &holder, bytes);
        if holder.kind == Kind::RequestBody {
            self.shares.entry(holder.account.clone()).or_default().wait_for(now, bytes);
        }
        let let_go = match is_beyond_share {
            true => Vec::new(),
            false => self.let_go(now, Some((id, &holder)), shortfall),
        };
        let retry_after = match let_go.is_empty() {
            true => self.releases.estimate(now, bytes),
            false => LEAST_RETRY_AFTER,
        };
        Shortage { retry_after, let_go }
    }

    /// Lets resting uploads go that make room for so many bytes; none where they are not enough.
    ///
    /// Those of accounts beyond their share go first, then the less urgent, then those that have
    /// rested for longest, then the largest. A body is let go only for one at least as urgent, or
    /// for an account that holds less.
    fn let_go(
        &mut self,
        now: Millis,
        wanted_by: Option<(HolderId, &Holder)>,
        bytes: u64,
    ) -> Vec<HolderId> {
        let fair = self.get_fair_share(now);
        let is_over = |holder: &Holder| self.get_share_held(&holder.account) > fair;
        let may_go = |id: &HolderId, holder: &Holder| {
            let Some((wanter_id, wanter)) = wanted_by else { return true };
            let is_for_body = wanter.kind == Kind::RequestBody;
            let is_before = !is_for_body || wanter.urgency <= holder.urgency;
            wanter_id != *id && (is_before || is_over(holder))
        };
        let resting = self.holders.iter().filter(|(_, holder)| holder.is_resting(now));
        let mut resting: Vec<_> = resting
            .filter(|(id, holder)| may_go(id, holder))
            .map(|(id, holder)| {
                let urgency = Reverse(holder.urgency);
                let size = Reverse(holder.reserved);
                (!is_over(holder), urgency, holder.progressed_at, size, *id)
            })
            .collect();
        resting.sort();
        let leaving = self.holders.values().filter(|holder| holder.is_let_go);
        let mut made: u64 = leaving.map(|holder| holder.reserved).sum();
        let mut picked = Vec::new();
        for (_, _, _, Reverse(reserved), id) in resting {
            if made >= bytes {
                break;
            }
            made += reserved;
            picked.push(id);
        }
        if made < bytes && wanted_by.is_some() {
            return Vec::new();
        }
        for id in &picked {
            if let Some(holder) = self.holders.get_mut(id) {
                holder.is_let_go = true;
            }
        }
        picked
    }
}

/// How many bytes were released of late.
#[derive(Clone, Copy, Debug, Default)]
struct Releases {
    window: Millis,
    bytes: u64,
    bytes_before: u64,
}

impl Releases {
    fn add(&mut self, now: Millis, bytes: u64) {
        let window = now / RATE_WINDOW;
        if window != self.window {
            self.bytes_before = if window == self.window + 1 { self.bytes } else { 0 };
            self.bytes = 0;
            self.window = window;
        }
        self.bytes += bytes;
    }

    /// Estimates when so many bytes more will have been released.
    fn estimate(&self, now: Millis, bytes: u64) -> Millis {
        let windows = (now / RATE_WINDOW).saturating_sub(self.window);
        let rate = if windows <= 1 { self.bytes.max(self.bytes_before) } else { 0 };
        let wait = (bytes * RATE_WINDOW).checked_div(rate).unwrap_or(MOST_RETRY_AFTER);
        wait.clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER)
    }
}
