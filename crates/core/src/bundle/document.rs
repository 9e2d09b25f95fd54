//! What a bundle says.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// A versioned statement of groups, services, classes and prices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The operators' own name of this version.
    pub version: String,
    /// The groups that share the pool.
    pub groups: Vec<Group>,
    /// The services that are served.
    pub services: Vec<Service>,
    /// The request classes and what each is promised.
    pub classes: Vec<Class>,
    /// The prices of VMs, per data centre and VM class.
    #[serde(default)]
    pub prices: Vec<Price>,
}

/// A group with its share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The group's name.
    pub name: String,
    /// Its share, in proportion to the weights of all groups.
    pub weight: u32,
    /// The client accounts that belong to it.
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

/// Says what sort of backend servers a service has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines.
    Model,
    /// Plain application servers.
    Plain,
}

/// A service and how its backend servers behave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name, as the VM list gives it.
    pub name: String,
    /// What sort of backend servers it has.
    pub kind: Kind,
    /// The models that its servers run. Empty for a plain service.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Whether its servers refuse orders with an old fence.
    #[serde(default)]
    pub checks_fences: bool,
    /// Whether its servers run a request key once at most by themselves.
    #[serde(default)]
    pub deduplicates: bool,
    /// Requests that one backend server takes at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Prompt tokens that one backend server reads in a second.
    #[serde(default = "default_prefill")]
    pub prefill_tokens_per_second: u32,
    /// Tokens of KV cache that one backend server can send away in a second; 0 where it cannot.
    #[serde(default)]
    pub export_tokens_per_second: u64,
    /// The VM class of its servers; without one no VMs are started for it.
    #[serde(default)]
    pub vm_class: String,
    /// VMs that must be left after the largest data centre is lost.
    #[serde(default)]
    pub after_loss: u32,
    /// VMs below which the service must not fall.
    #[serde(default)]
    pub floor: u32,
}

/// A model with its version and adapters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name by which callers ask for it.
    pub name: String,
    /// The version of its weights.
    pub version: String,
    /// The adapters that are loaded with it.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// A request class and what it is promised.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The class's name.
    pub name: String,
    /// The target for the first token or byte, in milliseconds.
    pub first_token_ms: Millis,
    /// The target between tokens, in milliseconds.
    #[serde(default = "default_gap")]
    pub gap_ms: Millis,
    /// The time after which an answer is of no use, in milliseconds.
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
    /// Whether the cloud may take such a VM back.
    pub reclaimable: bool,
    /// The price of an hour, in thousandths of the account's currency.
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
    /// Finds a service by name.
    pub fn get_service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Finds the service that runs a model.
    pub fn get_model_service(&self, model: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.models.iter().any(|m| m.name == model))
    }

    /// Finds a request class by name.
    pub fn get_class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Finds the group and account whose credential has this SHA-256 digest, in hex.
    pub fn get_account(&self, credential_sha256: &str) -> Option<(&Group, &Account)> {
        self.groups.iter().find_map(|group| {
            let account =
                group.accounts.iter().find(|a| a.credential_sha256 == credential_sha256)?;
            Some((group, account))
        })
    }
}
