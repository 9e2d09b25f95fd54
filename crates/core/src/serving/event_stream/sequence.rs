//! Checks the order of the events of a stream.

/// The sequence of the events of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sequence {
    last: Option<u64>,
}

/// The result of checking an event's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceCheck {
    /// The event is the next one: pass it on.
    Next,
    /// The event was forwarded before.
    Duplicate,
    /// An event before this one is missing.
    Gap,
}

impl Sequence {
    /// Starts a sequence after the last event that the caller has received.
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns the number of the last event that was forwarded.
    pub fn get_last(&self) -> Option<u64> {
        self.last
    }

    /// Checks the number of an event, and records it if it is the next one.
    pub fn check(&mut self, id: u64) -> SequenceCheck {
        match self.last {
            Some(last) if id <= last => SequenceCheck::Duplicate,
            Some(last) if id > last + 1 => SequenceCheck::Gap,
            _ => {
                self.last = Some(id);
                SequenceCheck::Next
            }
        }
    }
}
