//! The decisions of duty holders on rollouts, as rows of an internal table.

use std::collections::BTreeMap;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::rollout::{Order, Outcome, Stage, Standing, Standings};
use keeljunction_core::serving::table_version::TableVersion;
use serde::{Deserialize, Serialize};

use super::table;
use crate::event::{self, Event};
use crate::port::{Row, Rows};

/// The table.
pub(super) const TABLE: &str = "rollouts";
/// The timeout of a call to the table service.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The progress of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Record {
    /// The number of the order within its era.
    order: u64,
    #[serde(default)]
    pub era: Era,
    pub target_version: String,
    /// When the first holder started it, on the table service's clock.
    pub began_at: Millis,
    pub stage: Stage,
    /// The withdrawn versions again, for nodes of earlier releases.
    #[serde(default)]
    barred: Vec<String>,
    /// What is known of other versions. Records of earlier releases have none.
    #[serde(default)]
    standings: Option<Standings>,
}

/// A record with the version of its row.
#[derive(Clone, Debug)]
pub(super) struct StoredRecord {
    pub record: Record,
    pub version: TableVersion,
}

impl Record {
    /// Creates the record of an order.
    pub fn new(order: &Order, began_at: Millis, stage: Stage, standings: Standings) -> Self {
        let withdrawn = standings.list(Outcome::Withdrawn);
        Self {
            order: order.number.number,
            era: order.number.era,
            target_version: order.target_version.clone(),
            began_at,
            stage,
            barred: withdrawn.into_iter().map(str::to_owned).collect(),
            standings: Some(standings),
        }
    }

    /// Returns the number of the order.
    pub fn get_order(&self) -> TableVersion {
        TableVersion::new(self.era, self.order)
    }

    /// Returns `true` if this is the record of an order, including one that was numbered in an
    /// earlier era.
    pub fn is_of(&self, order: &Order) -> bool {
        let is_earlier = self.era < order.number.era;
        let is_carried = is_earlier && self.target_version == order.target_version;
        is_carried || self.get_order() == order.number
    }

    /// Returns the standings that the record gives the duty holder that handles an order.
    ///
    /// A stage is stored before anyone acts on it, and only by the holder. So an earlier order that
    /// is not stored as completed will never be.
    pub fn list_standings(&self, order: &Order) -> Standings {
        let mut standings = self.get_standings();
        if !self.is_of(order) {
            let outcome = match self.stage {
                Stage::Completed => Outcome::Accepted,
                _ => Outcome::Withdrawn,
            };
            let standing = Standing { number: self.get_order(), outcome };
            standings.record(&self.target_version, standing);
        }
        standings
    }

    fn get_standings(&self) -> Standings {
        let withdrawn = Standing { number: self.get_order(), outcome: Outcome::Withdrawn };
        let barred = || self.barred.iter().map(|version| (version.as_str(), withdrawn)).collect();
        self.standings.clone().unwrap_or_else(barred)
    }
}

/// Decodes the newest record of each service. A record of an earlier era is replaced by a row of
/// the current one.
pub(super) fn decode_all(rows: &Rows) -> BTreeMap<String, StoredRecord> {
    let era = rows.version.era;
    let mut newest: BTreeMap<String, (Era, StoredRecord)> = BTreeMap::new();
    for row in &rows.rows {
        let Some((service, written_in)) = table::split_key(&row.key) else { continue };
        let Some(record) = decode(row).filter(|_| written_in <= era) else { continue };
        let version = if written_in == era { row.version } else { TableVersion::absent(era) };
        let known = newest.get(service).map(|(known, _)| *known);
        if known < Some(written_in) {
            newest.insert(service.to_owned(), (written_in, StoredRecord { record, version }));
        }
    }
    newest.into_iter().map(|(service, (_, written))| (service, written)).collect()
}

fn decode(row: &Row) -> Option<Record> {
    let decoded = serde_json::from_slice(row.value.as_deref()?);
    let report = |error: &serde_json::Error| {
        let error = format!("malformed rollout record: {error}");
        event::emit(&Event::DocumentRejected { error });
    };
    decoded.inspect_err(report).ok()
}
