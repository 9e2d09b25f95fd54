//! What the platform keeps.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use keeljunction::platform::{Commit, Notice, Row, Start, Transaction, Vm};

use super::fault::{Fault, Mode, Target};

/// What the platform keeps.
#[derive(Debug)]
pub struct State {
    rows: BTreeMap<String, (u64, String)>,
    version: u64,
    /// The objects by key.
    pub objects: BTreeMap<String, Bytes>,
    vms: BTreeMap<String, Vm>,
    changes: Vec<(Instant, Change)>,
    notices: BTreeMap<String, Instant>,
    faults: Vec<Fault>,
    /// VMs started in the cloud, by client token.
    pub started: BTreeMap<String, (String, Start)>,
    lag: Duration,
    /// Calls so far.
    pub calls: u64,
}

#[derive(Debug)]
enum Change {
    Set(Vm),
    Remove(String),
}

impl State {
    /// Makes an empty platform whose VM list lags.
    pub fn new(lag: Duration) -> Self {
        Self {
            rows: BTreeMap::new(),
            version: 0,
            objects: BTreeMap::new(),
            vms: BTreeMap::new(),
            changes: Vec::new(),
            notices: BTreeMap::new(),
            faults: Vec::new(),
            started: BTreeMap::new(),
            lag,
            calls: 0,
        }
    }

    /// Reads rows.
    pub fn read(&self, keys: &[String]) -> Vec<Row> {
        keys.iter().filter_map(|key| Some(row(key, self.rows.get(key)?))).collect()
    }

    /// Reads the rows whose keys start with a prefix.
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let from = self.rows.range(prefix.to_owned()..);
        from.take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, held)| row(key, held))
            .collect()
    }

    /// Carries out a transaction.
    pub fn commit(&mut self, transaction: &Transaction) -> Commit {
        let is_met =
            |key: &str, version: Option<u64>| self.rows.get(key).map(|(v, _)| *v) == version;
        let unmet = transaction.expect.iter().filter(|expect| !is_met(&expect.key, expect.version));
        let unmet: Vec<String> = unmet.map(|expect| expect.key.clone()).collect();
        if !unmet.is_empty() {
            return Commit::Conflict(unmet);
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

    /// Notes a VM; the list shows it after the lag.
    pub fn set_vm(&mut self, vm: Vm) {
        self.changes.push((Instant::now() + self.lag, Change::Set(vm)));
    }

    /// Takes a VM away; the list shows it after the lag.
    pub fn remove_vm(&mut self, name: &str) {
        self.changes.push((Instant::now() + self.lag, Change::Remove(name.to_owned())));
    }

    /// Reads the list of VMs.
    pub fn list(&mut self) -> Vec<Vm> {
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

    /// Gives notice of a reclaim.
    pub fn give_notice(&mut self, notice: &Notice) {
        let until = Instant::now() + Duration::from_millis(notice.left_ms);
        self.notices.insert(notice.vm.clone(), until);
    }

    /// Reads the notices.
    pub fn notices(&self) -> Vec<Notice> {
        let now = Instant::now();
        let left = |until: &Instant| until.saturating_duration_since(now).as_millis() as u64;
        let notice =
            |(vm, until): (&String, &Instant)| Notice { vm: vm.clone(), left_ms: left(until) };
        self.notices.iter().map(notice).collect()
    }

    /// Sets a fault, in place of others of the same target.
    pub fn set_fault(&mut self, fault: Fault) {
        self.faults.retain(|known| known.target != fault.target);
        if fault.mode != Mode::None {
            self.faults.push(fault);
        }
    }

    /// Takes the fault that the next call of one of these targets meets.
    pub fn take_fault(&mut self, targets: &[Target]) -> Option<Fault> {
        let place = self.faults.iter().position(|fault| targets.contains(&fault.target))?;
        let fault = self.faults[place];
        match &mut self.faults[place].count {
            Some(count) if *count <= 1 => drop(self.faults.remove(place)),
            Some(count) => *count -= 1,
            None => {}
        }
        Some(fault)
    }
}

fn row(key: &str, held: &(u64, String)) -> Row {
    Row { key: key.to_owned(), version: held.0, value: held.1.clone() }
}
