//! The contents of a bundle.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// A versioned configuration of groups, services, request classes and prices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The version name chosen by the operators.
    pub version: String,
    /// The groups that share the servers.
    pub groups: Vec<Group>,
    /// The services.
    pub services: Vec<Service>,
    /// The request classes with their latency targets.
    pub classes: Vec<Class>,
    /// The VM prices, per data centre and VM class.
    #[serde(default)]
    pub prices: Vec<Price>,
}

/// A group of client accounts with its share of the servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The group's name.
    pub name: String,
    /// Its weight; its share is the fraction of the sum of all weights.
    pub weight: u32,
    /// The client accounts in the group.
    pub accounts: Vec<Account>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The account's name.
    pub name: String,
    /// The SHA-256 digest of its bearer credential, in hex.
    pub credential_sha256: String,
}

/// The kind of a service's backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines.
    Model,
    /// Plain application servers.
    Plain,
}

/// A service with the properties of its backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name, as used in the VM list.
    pub name: String,
    /// The kind of its backend servers.
    pub kind: Kind,
    /// The models that its servers run. Empty for a plain service.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Whether its servers reject orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fences: bool,
    /// Whether its servers deduplicate requests by request key.
    #[serde(default)]
    pub deduplicates: bool,
    /// Concurrent requests per backend server.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Prefill rate of a backend server, in prompt tokens per second.
    #[serde(default = "default_prefill")]
    pub prefill_tokens_per_second: u32,
    /// KV cache export rate of a backend server, in tokens per second; 0 if it cannot export.
    #[serde(default)]
    pub export_tokens_per_second: u64,
    /// The VM class of its servers. If empty, no VMs are started for the service.
    #[serde(default)]
    pub vm_class: String,
    /// VMs that must remain after the loss of the largest data centre.
    #[serde(default)]
    pub after_loss: u32,
    /// Minimum number of VMs.
    #[serde(default)]
    pub floor: u32,
}

/// A model with its version and adapters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that callers use in requests.
    pub name: String,
    /// The version of its weights.
    pub version: String,
    /// The adapters loaded with it.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// A request class with its latency targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The class's name.
    pub name: String,
    /// Target for the time to first token or byte, in milliseconds.
    pub first_token_ms: Millis,
    /// Target for the time between tokens, in milliseconds.
    #[serde(default = "default_gap")]
    pub gap_ms: Millis,
    /// The deadline of a request, in milliseconds.
    pub deadline_ms: Millis,
    /// The priority; 0 is the most urgent.
    #[serde(default)]
    pub priority: u32,
    /// Whether a request of this class may run more than once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
}

/// The price of a VM class in a data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// The data centre.
    pub data_centre: String,
    /// The VM class.
    pub vm_class: String,
    /// Whether the cloud may reclaim such a VM.
    pub reclaimable: bool,
    /// The hourly price, in thousandths of the account's currency.
    pub per_hour_milli: u64,
}

fn default_slots() -> u32 {
    16
}

fn default_prefill() -> u32 {
    4000
}

fn default_gap() -> Millis {
    25
}

fn default_repeatable() -> bool {
    true
}

impl Document {
    /// Returns a service by name.
    pub fn get_service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the service that runs a model.
    pub fn get_model_service(&self, model: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.models.iter().any(|m| m.name == model))
    }

    /// Returns a request class by name.
    pub fn get_class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns the group and account whose credential has this SHA-256 digest, in hex.
    pub fn get_account(&self, credential_sha256: &str) -> Option<(&Group, &Account)> {
        self.groups.iter().find_map(|group| {
            let account =
                group.accounts.iter().find(|a| a.credential_sha256 == credential_sha256)?;
            Some((group, account))
        })
    }
}
