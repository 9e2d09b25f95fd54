//! What is said to the platform, as JSON.

use serde::{Deserialize, Serialize};

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// A number that each write raises.
    pub version: u64,
    /// The value, as text.
    pub value: String,
}

/// The keys of rows to read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Read {
    /// The keys.
    pub keys: Vec<String>,
}

/// A prefix of keys to read in order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Scan {
    /// What the keys start with.
    pub prefix: String,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expect {
    /// The row's key.
    pub key: String,
    /// The version that it must have; `None` where it must not be there.
    pub version: Option<u64>,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The row's key.
    pub key: String,
    /// Its new value; `None` takes the row away.
    pub value: Option<String>,
}

/// Writes that all happen if all conditions hold, and else none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions.
    pub expect: Vec<Expect>,
    /// The writes.
    pub put: Vec<Put>,
}

impl Transaction {
    /// Makes a transaction without conditions or writes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition: the row has this version, or is not there.
    pub fn expect(mut self, key: &str, version: Option<u64>) -> Self {
        self.expect.push(Expect { key: key.to_owned(), version });
        self
    }

    /// Adds a write.
    pub fn put(mut self, key: &str, value: String) -> Self {
        self.put.push(Put { key: key.to_owned(), value: Some(value) });
        self
    }

    /// Takes a row away.
    pub fn delete(mut self, key: &str) -> Self {
        self.put.push(Put { key: key.to_owned(), value: None });
        self
    }
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// All writes happened; the number is the version of each written row.
    Done(u64),
    /// Nothing happened: the conditions on these keys did not hold.
    Conflict(Vec<String>),
}

/// What a VM is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry node; the address is for its peers.
    Entry,
    /// A backend server of a service.
    Server(String),
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It stays.
    Live,
    /// It is going away.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// What it is for.
    pub role: Role,
    /// Where it is reached, as `IP:port`.
    pub address: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Whether it stays.
    pub state: VmState,
}

/// A VM to start. For one token the cloud starts one VM, however often the call is repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The client's token.
    pub token: String,
    /// The service that it is for.
    pub service: String,
    /// The data centre.
    pub data_centre: String,
    /// The VM class.
    pub vm_class: String,
    /// Whether it may be taken back.
    pub reclaimable: bool,
}

/// A VM that was started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Started {
    /// Its name.
    pub vm: String,
}

/// A reclaim notice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The VM's name.
    pub vm: String,
    /// Milliseconds left until it is gone.
    pub left_ms: u64,
}
