//! The JSON messages of the platform's API.

use serde::{Deserialize, Serialize};

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key of the row.
    pub key: String,
    /// The version, which increases with each write.
    pub version: u64,
    /// The value.
    pub value: String,
}

/// A read of several rows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Read {
    /// The keys.
    pub keys: Vec<String>,
}

/// A scan of the rows with a key prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Scan {
    /// The key prefix.
    pub prefix: String,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expect {
    /// The key of the row.
    pub key: String,
    /// The version that the row must have, or `None` if it must not exist.
    pub version: Option<u64>,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The key of the row.
    pub key: String,
    /// The new value, or `None` to delete the row.
    pub value: Option<String>,
}

/// An atomic set of writes, applied only if all preconditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The preconditions.
    pub expect: Vec<Expect>,
    /// The writes.
    pub put: Vec<Put>,
}

impl Transaction {
    /// Creates an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the precondition that a row has this version, or does not exist if it is `None`.
    pub fn expect(mut self, key: &str, version: Option<u64>) -> Self {
        self.expect.push(Expect { key: key.to_owned(), version });
        self
    }

    /// Adds a write.
    pub fn put(mut self, key: &str, value: String) -> Self {
        self.put.push(Put { key: key.to_owned(), value: Some(value) });
        self
    }

    /// Deletes a row.
    pub fn delete(mut self, key: &str) -> Self {
        self.put.push(Put { key: key.to_owned(), value: None });
        self
    }
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// The transaction was committed. Contains the new version of each written row.
    Done(u64),
    /// Nothing was written, because the preconditions on these keys failed.
    Conflict(Vec<String>),
}

/// The role of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry node. Its address is the peer address.
    Entry,
    /// A backend server of the named service.
    Server(String),
}

/// The state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is being reclaimed or shut down.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the VM.
    pub name: String,
    /// The role of the VM.
    pub role: Role,
    /// The address, as `IP:port`.
    pub address: String,
    /// The data centre of the VM.
    pub data_centre: String,
    /// The state of the VM.
    pub state: VmState,
}

/// A request to start a VM. It is idempotent: the cloud starts one VM per token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The client token.
    pub token: String,
    /// The service that the VM runs.
    pub service: String,
    /// The data centre.
    pub data_centre: String,
    /// The VM class.
    pub vm_class: String,
    /// Whether the VM is reclaimable.
    pub reclaimable: bool,
}

/// The response to a [`Start`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Started {
    /// The name of the started VM.
    pub vm: String,
}

/// A reclaim notice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The name of the VM.
    pub vm: String,
    /// The time until the VM is gone, in milliseconds.
    pub left_ms: u64,
}
