//! Weighted fair sharing between groups.

use std::collections::BTreeMap;

/// Cost of a generated token, relative to an uncached prompt token.
pub const GENERATED_TOKEN_COST: u64 = 4;

/// The virtual token counters of all groups. Among the groups with waiting requests, the one with
/// the lowest counter goes next.
///
/// The counter of a group that was idle is raised to the lowest counter of the busy groups, so that
/// idle groups accumulate no credit. Unused shares are available to the waiting groups.
#[derive(Clone, Debug, Default)]
pub struct VirtualCounters {
    groups: BTreeMap<String, Group>,
}

#[derive(Clone, Debug)]
struct Group {
    weight: u64,
    virtual_cost: u64,
    active_requests: u32,
}

impl VirtualCounters {
    /// Creates counters without groups.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the weights of the groups and removes all groups that are not listed.
    pub fn set_weights<'a>(&mut self, weights: impl Iterator<Item = (&'a str, u32)>) {
        let mut groups = BTreeMap::new();
        for (name, weight) in weights {
            let weight = u64::from(weight.max(1));
            let known = self.groups.remove(name);
            let group = known.unwrap_or(Group {
                weight,
                virtual_cost: self.min_active_cost(),
                active_requests: 0,
            });
            groups.insert(name.to_owned(), Group { weight, ..group });
        }
        self.groups = groups;
    }

    /// Records that a group has one more request waiting or running.
    pub fn add_request(&mut self, name: &str) {
        let min_active_cost = self.min_active_cost();
        let group = self.group(name, min_active_cost);
        if group.active_requests == 0 {
            group.virtual_cost = group.virtual_cost.max(min_active_cost);
        }
        group.active_requests += 1;
    }

    /// Records that a group has one less request waiting or running.
    pub fn remove_request(&mut self, name: &str) {
        if let Some(group) = self.groups.get_mut(name) {
            group.active_requests = group.active_requests.saturating_sub(1);
        }
    }

    /// Charges a group `cost` and refunds `refund` of an earlier charge.
    pub fn charge(&mut self, name: &str, cost: u64, refund: u64) {
        let min_active_cost = self.min_active_cost();
        let group = self.group(name, min_active_cost);
        group.virtual_cost += cost * SCALE / group.weight;
        group.virtual_cost = group.virtual_cost.saturating_sub(refund * SCALE / group.weight);
    }

    /// Returns a group's virtual counter. The group with the lowest one goes next.
    pub fn get_cost(&self, name: &str) -> u64 {
        self.groups.get(name).map_or(0, |group| group.virtual_cost)
    }

    /// Returns a group's weight and the sum of the weights of all busy groups, including itself.
    pub fn get_share(&self, name: &str) -> (u64, u64) {
        let weight = self.groups.get(name).map_or(1, |group| group.weight);
        let others =
            self.groups.iter().filter(|(n, g)| g.active_requests > 0 && n.as_str() != name);
        (weight, weight + others.map(|(_, group)| group.weight).sum::<u64>())
    }

    fn group(&mut self, name: &str, min_active_cost: u64) -> &mut Group {
        let fresh = || Group { weight: 1, virtual_cost: min_active_cost, active_requests: 0 };
        self.groups.entry(name.to_owned()).or_insert_with(fresh)
    }

    /// Returns the lowest counter of the busy groups.
    fn min_active_cost(&self) -> u64 {
        let active = self.groups.values().filter(|group| group.active_requests > 0);
        active.map(|group| group.virtual_cost).min().unwrap_or(0)
    }
}

/// Scale of the virtual cost, in units per token: reduces the rounding error of dividing by weights.
const SCALE: u64 = 1000;
