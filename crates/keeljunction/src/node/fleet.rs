//! Starts the VMs that the capacity plan requires.
//!
//! An intent row with a client token is written before each call to the cloud. A node that finds
//! the row repeats the call with the same token, so neither a lost response nor a new lease holder
//! starts a VM twice.

use std::collections::BTreeMap;
use std::sync::Arc;

use keeljunction_core::bundle::Service;
use keeljunction_core::fleet::{self, Demand, Offer, Plan};
use keeljunction_core::{Millis, percent};
use uuid::Uuid;

use super::Node;
use super::lease::LeaseClient;
use super::state::ActiveBundle;
use crate::platform::{Commit, Fault, Row, Start, Transaction};
use crate::runtime;

/// Time for which an offer is skipped after the cloud refused a start, in milliseconds.
const OFFER_RETRY_DELAY_MS: Millis = 5_000;
const MAX_VMS_PER_OFFER: u32 = 100;

/// Starts VMs for one service, and skips offers that were refused recently.
#[derive(Debug, Default)]
pub struct VmStarter {
    refused: BTreeMap<(String, bool), Millis>,
}

/// Returns `true` if the control loop starts VMs for a service.
pub fn is_needed(service: &Service) -> bool {
    !service.vm_class.is_empty()
}

impl VmStarter {
    /// Starts one VM if the plan requires it and the lease is held.
    pub async fn start_next(
        &mut self,
        node: &Arc<Node>,
        active: &ActiveBundle,
        service: &Service,
        lease_client: &LeaseClient,
    ) {
        if !is_needed(service) || lease_client.get_fence(node.now()).is_none() {
            return;
        }
        let prefix = format!("intent/{}/", percent::encode(&service.name));
        let intents = match node.platform.scan(&prefix).await {
            Ok(rows) => rows,
            Err(fault) => return log::debug!("could not read the intents: {fault}"),
        };
        let open_intents = list_open_intents(node, &intents).await;
        if let Some(unconfirmed) = open_intents.iter().find(|intent| !intent.is_started) {
            return self.request_vm(node, &unconfirmed.row, &unconfirmed.start, lease_client).await;
        }
        let offers = self.offers(active, service);
        let demand =
            Demand { target: service.floor, after_loss: service.after_loss, floor: service.floor };
        let plan = fleet::plan(node.now(), &offers, &demand);
        let held_vms = held_vms(node, service, &offers, &open_intents);
        let Some(index) = fleet::next_start(&offers, &plan, &held_vms) else { return };
        let start = make_start(service, &offers[index]);
        if let Some(row) = write_intent(node, &prefix, &start, lease_client).await {
            self.request_vm(node, &row, &start, lease_client).await;
        }
    }

    /// Requests the VM of an intent from the cloud, and records the result in the row.
    async fn request_vm(
        &mut self,
        node: &Node,
        row: &Row,
        start: &Start,
        lease_client: &LeaseClient,
    ) {
        if lease_client.get_fence(node.now()).is_none() {
            return;
        }
        let transaction = Transaction::new().expect(&row.key, Some(row.version));
        let outcome = match node.platform.start(start).await {
            Ok(started) => {
                node.metric.count("vms_started", 1);
                log::info!(target: "audit", "started VM {} for {}", started.vm, start.service);
                transaction.put(&row.key, encode_intent(start, Some(&started.vm)))
            }
            Err(Fault::Refused(status)) => {
                node.metric.count("vm_starts_refused", 1);
                log::info!(target: "audit", "the cloud refused a VM in {} with status {status}", start.data_centre);
                let until = node.now() + OFFER_RETRY_DELAY_MS;
                self.refused.insert((start.data_centre.clone(), start.reclaimable), until);
                transaction.delete(&row.key)
            }
            Err(_) => return node.metric.count("vm_starts_unknown", 1),
        };
        if let Err(fault) = node.platform.commit(&outcome).await {
            log::debug!("could not update an intent: {fault}");
        }
    }

    fn offers(&self, active: &ActiveBundle, service: &Service) -> Vec<Offer> {
        let prices =
            active.document.prices.iter().filter(|price| price.vm_class == service.vm_class);
        let offer = |price: &keeljunction_core::bundle::Price| Offer {
            data_centre: price.data_centre.clone(),
            vm_class: price.vm_class.clone(),
            reclaimable: price.reclaimable,
            per_hour_milli: price.per_hour_milli,
            refused_until: self
                .refused
                .get(&(price.data_centre.clone(), price.reclaimable))
                .copied(),
            max_vms: MAX_VMS_PER_OFFER,
        };
        prices.map(offer).collect()
    }
}

/// Returns the intents whose VMs are not in the VM list yet, and deletes the rows of all others.
async fn list_open_intents(node: &Node, intents: &[Row]) -> Vec<OpenIntent> {
    let mut open_intents = Vec::new();
    for row in intents {
        let Ok(intent) = serde_json::from_str::<Intent>(&row.value) else { continue };
        let is_started = intent.vm.is_some();
        let is_listed =
            intent.vm.is_some_and(|vm| runtime::lock(&node.directory).get(&vm).is_some());
        if is_listed {
            let removal = Transaction::new().expect(&row.key, Some(row.version)).delete(&row.key);
            let _ = node.platform.commit(&removal).await;
        } else {
            open_intents.push(OpenIntent { row: row.clone(), start: intent.start, is_started });
        }
    }
    open_intents
}

/// An intent whose VM is not in the VM list yet.
struct OpenIntent {
    row: Row,
    start: Start,
    /// Whether the cloud has confirmed the start.
    is_started: bool,
}

/// An intent as stored in the table service.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct Intent {
    start: Start,
    #[serde(skip_serializing_if = "Option::is_none")]
    vm: Option<String>,
}

fn encode_intent(start: &Start, vm: Option<&str>) -> String {
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

async fn write_intent(
    node: &Node,
    prefix: &str,
    start: &Start,
    lease_client: &LeaseClient,
) -> Option<Row> {
    lease_client.get_fence(node.now())?;
    let key = format!("{prefix}{}", start.token);
    let value = encode_intent(start, None);
    let transaction = Transaction::new().expect(&key, None).put(&key, value.clone());
    match node.platform.commit(&transaction).await {
        Ok(Commit::Done(version)) => Some(Row { key, version, value }),
        _ => None,
    }
}

/// Counts the VMs of each offer, both listed and requested.
fn held_vms(node: &Node, service: &Service, offers: &[Offer], open_intents: &[OpenIntent]) -> Plan {
    let mut held_vms = Plan::new();
    let directory = runtime::lock(&node.directory);
    let listed = directory.iter_service(&service.name).filter(|s| !directory.is_leaving(&s.name));
    for server in listed {
        if let Some(index) = offers.iter().position(|offer| offer.data_centre == server.data_centre)
        {
            *held_vms.entry(index).or_default() += 1;
        }
    }
    for OpenIntent { start, .. } in open_intents {
        let is_same_offer = |offer: &Offer| {
            offer.data_centre == start.data_centre && offer.reclaimable == start.reclaimable
        };
        if let Some(index) = offers.iter().position(is_same_offer) {
            *held_vms.entry(index).or_default() += 1;
        }
    }
    held_vms
}
