//! Counts the slots that an owner denied, by cause.

/// Why the owner of a brittle server denied a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// All slots are in use.
    InUse,
    /// The server was found to have room for fewer requests than it announces slots.
    Bounded,
    /// The owner hears only some of the nodes, and grants their share of the slots.
    Unheard,
    /// The owner has just become the owner, and does not know which slots are in use.
    Unsettled,
    /// The server has just rejected a request.
    Paused,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 5] =
        [Self::InUse, Self::Bounded, Self::Unheard, Self::Unsettled, Self::Paused];

    /// Returns the name of the cause.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InUse => "in_use",
            Self::Bounded => "bounded",
            Self::Unheard => "unheard",
            Self::Unsettled => "unsettled",
            Self::Paused => "paused",
        }
    }
}

/// The slots that an owner denied.
#[derive(Clone, Copy, Debug, Default)]
pub struct Denials {
    counts: [u64; Cause::ALL.len()],
}

impl Denials {
    /// Counts a denied slot.
    pub(super) fn record(&mut self, cause: Cause) {
        self.counts[cause as usize] += 1;
    }

    /// Returns the number of slots that were denied for a cause.
    pub fn get(&self, cause: Cause) -> u64 {
        self.counts[cause as usize]
    }
}
