//! Starts the VMs that the plan lacks.
//!
//! Each start has an intent row with a client token before the call to the cloud, so that neither a
//! lost answer nor a new holder of the lease starts anything twice: whoever finds the row asks
//! again with the same token.

use std::collections::BTreeMap;
use std::sync::Arc;

use keeljunction_core::Millis;
use keeljunction_core::bundle::Service;
use keeljunction_core::fleet::{self, Demand, Offer, Plan};
use uuid::Uuid;

use super::Node;
use super::lease::Tenure;
use super::state::Force;
use crate::platform::{Commit, Fault, Row, Start, Transaction};
use crate::runtime;

/// How long a place that refused a start is passed over, in milliseconds.
const REFUSED_MS: Millis = 5_000;
/// The most VMs of one offer.
const MOST: u32 = 100;

/// What a holder remembers of the offers that refused.
#[derive(Debug, Default)]
pub struct Buyer {
    refused: BTreeMap<(String, bool), Millis>,
}

/// Returns `true` if VMs are started for a service.
pub fn is_needed(service: &Service) -> bool {
    !service.vm_class.is_empty()
}

impl Buyer {
    /// Starts one VM that the plan lacks, if there is one, while the lease stands.
    pub async fn buy(
        &mut self,
        node: &Arc<Node>,
        force: &Force,
        service: &Service,
        tenure: &Tenure,
    ) {
        if !is_needed(service) || tenure.get_fence(node.now()).is_none() {
            return;
        }
        let prefix = format!("intent/{}/", service.name);
        let intents = match node.platform.scan(&prefix).await {
            Ok(rows) => rows,
            Err(fault) => return log::debug!("the intents were not read: {fault}"),
        };
        let open = open_intents(node, &intents).await;
        if let Some(unanswered) = open.iter().find(|open| !open.is_started) {
            return self.ask(node, &unanswered.row, &unanswered.start, tenure).await;
        }
        let offers = self.offers(force, service);
        let demand =
            Demand { target: service.floor, after_loss: service.after_loss, floor: service.floor };
        let plan = fleet::plan(node.now(), &offers, &demand);
        let held = held(node, service, &offers, &open);
        let Some(place) = fleet::next_start(&offers, &plan, &held) else { return };
        let start = make_start(service, &offers[place]);
        if let Some(row) = write_intent(node, &prefix, &start, tenure).await {
            self.ask(node, &row, &start, tenure).await;
        }
    }

    /// Asks the cloud for the VM of an intent, and notes in the row what came of it.
    async fn ask(&mut self, node: &Node, row: &Row, start: &Start, tenure: &Tenure) {
        if tenure.get_fence(node.now()).is_none() {
            return;
        }
        let transaction = Transaction::new().expect(&row.key, Some(row.version));
        let noted = match node.platform.start(start).await {
            Ok(started) => {
                node.metric.count("vms_started", 1);
                log::info!(target: "audit", "VM {} was started for {}", started.vm, start.service);
                transaction.put(&row.key, note(start, Some(&started.vm)))
            }
            Err(Fault::Refused(status)) => {
                node.metric.count("vm_starts_refused", 1);
                log::info!(target: "audit", "a VM in {} was refused with status {status}", start.data_centre);
                let until = node.now() + REFUSED_MS;
                self.refused.insert((start.data_centre.clone(), start.reclaimable), until);
                transaction.delete(&row.key)
            }
            Err(_) => return node.metric.count("vm_starts_unknown", 1),
        };
        if let Err(fault) = node.platform.commit(&noted).await {
            log::debug!("an intent was not noted: {fault}");
        }
    }

    fn offers(&self, force: &Force, service: &Service) -> Vec<Offer> {
        let prices =
            force.document.prices.iter().filter(|price| price.vm_class == service.vm_class);
        let offer = |price: &keeljunction_core::bundle::Price| Offer {
            data_centre: price.data_centre.clone(),
            vm_class: price.vm_class.clone(),
            reclaimable: price.reclaimable,
            per_hour_milli: price.per_hour_milli,
            refused_until: self
                .refused
                .get(&(price.data_centre.clone(), price.reclaimable))
                .copied(),
            max_vms: MOST,
        };
        prices.map(offer).collect()
    }
}

/// Lists the intents whose VMs the VM list does not show yet, and takes away the others' rows.
async fn open_intents(node: &Node, intents: &[Row]) -> Vec<Open> {
    let mut open = Vec::new();
    for row in intents {
        let Ok(intent) = serde_json::from_str::<Intent>(&row.value) else { continue };
        let is_started = intent.vm.is_some();
        let is_listed =
            intent.vm.is_some_and(|vm| runtime::lock(&node.directory).get(&vm).is_some());
        if is_listed {
            let done = Transaction::new().expect(&row.key, Some(row.version)).delete(&row.key);
            let _ = node.platform.commit(&done).await;
        } else {
            open.push(Open { row: row.clone(), start: intent.start, is_started });
        }
    }
    open
}

/// An intent whose VM the VM list does not show yet.
struct Open {
    row: Row,
    start: Start,
    /// Whether the cloud has said that it started the VM.
    is_started: bool,
}

/// An intent, as the table service keeps it.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct Intent {
    start: Start,
    #[serde(skip_serializing_if = "Option::is_none")]
    vm: Option<String>,
}

fn note(start: &Start, vm: Option<&str>) -> String {
    let intent = Intent { start: start.clone(), vm: vm.map(str::to_owned) };
    serde_json::to_string(&intent).unwrap_or_default()
}

fn make_start(service: &Service, offer: &Offer) -> Start {
    Start {
        token: Uuid::new_v4().to_string(),
        service: service.name.clone(),
        data_centre: offer.data_centre.clone(),
        vm_class: offer.vm_class.clone(),
        reclaimable: offer.reclaimable,
    }
}

async fn write_intent(node: &Node, prefix: &str, start: &Start, tenure: &Tenure) -> Option<Row> {
    tenure.get_fence(node.now())?;
    let key = format!("{prefix}{}", start.token);
    let value = note(start, None);
    let transaction = Transaction::new().expect(&key, None).put(&key, value.clone());
    match node.platform.commit(&transaction).await {
        Ok(Commit::Done(version)) => Some(Row { key, version, value }),
        _ => None,
    }
}

/// Counts the VMs held of each offer: those listed, and those that were requested.
fn held(node: &Node, service: &Service, offers: &[Offer], open: &[Open]) -> Plan {
    let mut held = Plan::new();
    let directory = runtime::lock(&node.directory);
    let listed = directory.iter_service(&service.name).filter(|s| !directory.is_leaving(&s.name));
    for server in listed {
        if let Some(place) = offers.iter().position(|offer| offer.data_centre == server.data_centre)
        {
            *held.entry(place).or_default() += 1;
        }
    }
    for Open { start, .. } in open {
        let is_it = |offer: &Offer| {
            offer.data_centre == start.data_centre && offer.reclaimable == start.reclaimable
        };
        if let Some(place) = offers.iter().position(is_it) {
            *held.entry(place).or_default() += 1;
        }
    }
    held
}
