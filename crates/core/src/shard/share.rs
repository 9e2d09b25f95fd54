//! Shares: what each group has been served, over its weight.

use std::collections::BTreeMap;

/// Cost of one generated token, against one uncached prompt token.
pub const GENERATED_TOKEN_COST: u64 = 4;

/// Virtual token counters. The group with the least counter that has work waiting goes next.
///
/// A group that comes back from idle is lifted to the least busy counter, so that nobody saves
/// up; a share that is not used is lent to those who wait.
#[derive(Clone, Debug, Default)]
pub struct VirtualCounters {
    groups: BTreeMap<String, Group>,
}

#[derive(Clone, Debug)]
struct Group {
    weight: u64,
    virtual_cost: u64,
    busy: u32,
}

impl VirtualCounters {
    /// Makes a counter without groups.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the weights of the groups; groups that are not named are forgotten.
    pub fn set_weights<'a>(&mut self, weights: impl Iterator<Item = (&'a str, u32)>) {
        let mut groups = BTreeMap::new();
        for (name, weight) in weights {
            let weight = u64::from(weight.max(1));
            let known = self.groups.remove(name);
            let group = known.unwrap_or(Group { weight, virtual_cost: self.floor(), busy: 0 });
            groups.insert(name.to_owned(), Group { weight, ..group });
        }
        self.groups = groups;
    }

    /// Notes that a group has one more request waiting or running.
    pub fn add_request(&mut self, name: &str) {
        let floor = self.floor();
        let group = self.group(name, floor);
        if group.busy == 0 {
            group.virtual_cost = group.virtual_cost.max(floor);
        }
        group.busy += 1;
    }

    /// Notes that a group has one request less waiting or running.
    pub fn remove_request(&mut self, name: &str) {
        if let Some(group) = self.groups.get_mut(name) {
            group.busy = group.busy.saturating_sub(1);
        }
    }

    /// Charges a group for what it was served; `back` gives a part of an earlier charge back.
    pub fn charge(&mut self, name: &str, cost: u64, back: u64) {
        let floor = self.floor();
        let group = self.group(name, floor);
        group.virtual_cost += cost * SCALE / group.weight;
        group.virtual_cost = group.virtual_cost.saturating_sub(back * SCALE / group.weight);
    }

    /// Returns a group's counter; the least goes next.
    pub fn get_cost(&self, name: &str) -> u64 {
        self.groups.get(name).map_or(0, |group| group.virtual_cost)
    }

    /// Returns a group's weight and the sum of the weights of all groups with work, itself included.
    pub fn get_share(&self, name: &str) -> (u64, u64) {
        let weight = self.groups.get(name).map_or(1, |group| group.weight);
        let others = self.groups.iter().filter(|(n, g)| g.busy > 0 && n.as_str() != name);
        (weight, weight + others.map(|(_, group)| group.weight).sum::<u64>())
    }

    fn group(&mut self, name: &str, floor: u64) -> &mut Group {
        let fresh = || Group { weight: 1, virtual_cost: floor, busy: 0 };
        self.groups.entry(name.to_owned()).or_insert_with(fresh)
    }

    /// The least counter among the groups that have work.
    fn floor(&self) -> u64 {
        let busy = self.groups.values().filter(|group| group.busy > 0);
        busy.map(|group| group.virtual_cost).min().unwrap_or(0)
    }
}

/// Virtual cost is kept in thousandths, so that weights divide it evenly enough.
const SCALE: u64 = 1000;
