//! Orders servers: how many, where, and of which kind.

use super::Node;

/// What a holder knows of the orders.
#[derive(Debug, Default)]
pub struct CapacityDuty {}

impl CapacityDuty {
    /// Orders what the plan lacks.
    pub async fn step(&mut self, _node: &Node) {}
}
