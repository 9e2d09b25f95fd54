//! What is known of one node.

/// Says how a node is thought to be. Later states override earlier ones of one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer, and may be gone.
    Suspect,
    /// It is going away and takes nothing new.
    Leaving,
    /// It is gone.
    Dead,
}

impl State {
    /// Reads a state from its number in messages; unknown numbers count as suspect.
    pub fn from_number(number: u32) -> Self {
        match number {
            0 => Self::Alive,
            2 => Self::Leaving,
            3 => Self::Dead,
            _ => Self::Suspect,
        }
    }

    /// Returns the number that stands for the state in messages.
    pub fn as_number(self) -> u32 {
        self as u32
    }
}

/// A node, its place, and what is thought of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node's name.
    pub name: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Where its peers reach it, as `IP:port`.
    pub address: String,
    /// A number that only the node itself raises.
    pub incarnation: u64,
    /// What is thought of it.
    pub state: State,
}

impl Member {
    /// Returns `true` if this news overrides what was known.
    pub fn overrides(&self, known: &Member) -> bool {
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }
}
