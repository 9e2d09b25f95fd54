//! One node of the membership.

/// The assumed state of a node. Within one incarnation, later states override earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The node answers probes.
    Alive,
    /// The node missed a probe and may have failed.
    Suspect,
    /// The node is shutting down and accepts no new work.
    Leaving,
    /// The node has failed or left.
    Dead,
}

impl State {
    /// Converts from the number used in messages. Unknown numbers are read as suspect.
    pub fn from_number(number: u32) -> Self {
        match number {
            0 => Self::Alive,
            2 => Self::Leaving,
            3 => Self::Dead,
            _ => Self::Suspect,
        }
    }

    /// Returns the number of the state in messages.
    pub fn as_number(self) -> u32 {
        self as u32
    }
}

/// A node with its location and assumed state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node's name.
    pub name: String,
    /// The data centre that the node runs in.
    pub data_centre: String,
    /// The address for its peers, as `IP:port`.
    pub address: String,
    /// The incarnation number, which only the node itself increments.
    pub incarnation: u64,
    /// The assumed state.
    pub state: State,
}

impl Member {
    /// Returns `true` if this update overrides the known one.
    pub fn overrides(&self, known: &Member) -> bool {
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }
}
