//! The state of the platform.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use keeljunction::platform::{Commit, Notice, Row, Start, Transaction, Vm};

use super::fault::{Fault, Mode, Target};

/// The state of the platform.
#[derive(Debug)]
pub struct State {
    rows: BTreeMap<String, (u64, String)>,
    version: u64,
    /// Objects in the store, by key.
    pub objects: BTreeMap<String, Bytes>,
    vms: BTreeMap<String, Vm>,
    changes: Vec<(Instant, Change)>,
    notices: BTreeMap<String, Instant>,
    faults: Vec<Fault>,
    /// VMs started in the cloud, by client token.
    pub started_vms: BTreeMap<String, (String, Start)>,
    vm_lag: Duration,
    /// Number of HTTP calls received.
    pub call_count: u64,
}

#[derive(Debug)]
enum Change {
    Set(Vm),
    Remove(String),
}

impl State {
    /// Creates an empty platform whose VM list shows changes after `vm_lag`.
    pub fn new(vm_lag: Duration) -> Self {
        Self {
            rows: BTreeMap::new(),
            version: 0,
            objects: BTreeMap::new(),
            vms: BTreeMap::new(),
            changes: Vec::new(),
            notices: BTreeMap::new(),
            faults: Vec::new(),
            started_vms: BTreeMap::new(),
            vm_lag,
            call_count: 0,
        }
    }

    /// Returns the rows that exist for the given keys.
    pub fn read(&self, keys: &[String]) -> Vec<Row> {
        keys.iter().filter_map(|key| Some(row(key, self.rows.get(key)?))).collect()
    }

    /// Returns the rows whose keys start with a prefix.
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let rows = self.rows.range(prefix.to_owned()..);
        rows.take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| row(key, stored))
            .collect()
    }

    /// Commits a transaction, or returns the keys whose expected versions do not match.
    pub fn commit(&mut self, transaction: &Transaction) -> Commit {
        let matches =
            |key: &str, version: Option<u64>| self.rows.get(key).map(|(v, _)| *v) == version;
        let conflicts =
            transaction.expect.iter().filter(|expect| !matches(&expect.key, expect.version));
        let conflicts: Vec<String> = conflicts.map(|expect| expect.key.clone()).collect();
        if !conflicts.is_empty() {
            return Commit::Conflict(conflicts);
        }
        self.version += 1;
        for put in &transaction.put {
            match &put.value {
                Some(value) => self.rows.insert(put.key.clone(), (self.version, value.clone())),
                None => self.rows.remove(&put.key),
            };
        }
        Commit::Done(self.version)
    }

    /// Adds or updates a VM; the list shows the change after the lag.
    pub fn set_vm(&mut self, vm: Vm) {
        self.changes.push((Instant::now() + self.vm_lag, Change::Set(vm)));
    }

    /// Removes a VM; the list shows the change after the lag.
    pub fn remove_vm(&mut self, name: &str) {
        self.changes.push((Instant::now() + self.vm_lag, Change::Remove(name.to_owned())));
    }

    /// Applies the changes that are due and returns the list of VMs.
    pub fn list_vms(&mut self) -> Vec<Vm> {
        let now = Instant::now();
        let changes = std::mem::take(&mut self.changes);
        for (at, change) in changes {
            match change {
                change if at > now => self.changes.push((at, change)),
                Change::Set(vm) => drop(self.vms.insert(vm.name.clone(), vm)),
                Change::Remove(name) => drop(self.vms.remove(&name)),
            }
        }
        self.vms.values().cloned().collect()
    }

    /// Records a reclaim notice.
    pub fn give_notice(&mut self, notice: &Notice) {
        let deadline = Instant::now() + Duration::from_millis(notice.left_ms);
        self.notices.insert(notice.vm.clone(), deadline);
    }

    /// Returns the reclaim notices with their remaining time.
    pub fn get_notices(&self) -> Vec<Notice> {
        let now = Instant::now();
        let remaining_ms =
            |deadline: &Instant| deadline.saturating_duration_since(now).as_millis() as u64;
        let notice = |(vm, deadline): (&String, &Instant)| Notice {
            vm: vm.clone(),
            left_ms: remaining_ms(deadline),
        };
        self.notices.iter().map(notice).collect()
    }

    /// Sets a fault, replacing an earlier one of the same target.
    pub fn set_fault(&mut self, fault: Fault) {
        self.faults.retain(|other| other.target != fault.target);
        if fault.mode != Mode::None {
            self.faults.push(fault);
        }
    }

    /// Returns the fault for the next call of one of these targets and decrements its count.
    pub fn next_fault(&mut self, targets: &[Target]) -> Option<Fault> {
        let index = self.faults.iter().position(|fault| targets.contains(&fault.target))?;
        let fault = self.faults[index];
        match &mut self.faults[index].count {
            Some(count) if *count <= 1 => drop(self.faults.remove(index)),
            Some(count) => *count -= 1,
            None => {}
        }
        Some(fault)
    }
}

fn row(key: &str, stored: &(u64, String)) -> Row {
    Row { key: key.to_owned(), version: stored.0, value: stored.1.clone() }
}
