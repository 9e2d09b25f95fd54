//! Adopts the newest configuration, and confirms that it is the newest.
//!
//! A silent watch proves nothing, so that the configuration is read whole again some times in the
//! revocation bound: only such a read confirms that what the node holds is the newest.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::table_version::TableVersion;

use super::{ANSWER_WITHIN, LOOK, Watch, follow, is_due, is_reader, note_failure, part_of, read};
use crate::event::{self, Event};
use crate::node::document::Document;
use crate::node::pause::{Pause, jitter};
use crate::node::peers::message::Notification;
use crate::node::state::ConfigurationRow;
use crate::node::{Node, era_origin, rollouts, staleness, table};
use crate::port::{Condition, Row, TableError, TableName, Transaction};
use crate::runtime;

/// How long a watch of the configuration is held where nothing changes, as a part of the bound in
/// which a new one must be in force. Reads confirm it besides.
const CONFIGURATION_HOLD_PART: f64 = 0.8;
/// The time between two reads by a node that knows no configuration and does not read for all: the
/// readers tell it too, where it hears other nodes.
const UNCONFIGURED_PAUSE: Millis = 15_000;
const UNCONFIGURED_PAUSE_ALONE: Millis = 3_000;
/// How long a node that has a configuration from another node waits for a report that says how old
/// it is, before it confirms the configuration itself.
const UNCONFIRMED_FOR: Millis = 1_000;
/// The time between two confirmations of the configuration, as a part of the time in which a new
/// one must be in force.
const CONFIRM_PART: f64 = 0.25;
/// The same where nodes report in groups, and what a reader knows passes two nodes on its way.
const CONFIRM_PART_GROUPED: f64 = 0.125;
/// Confirmations in each freshness bound, at the least.
const CONFIRMS_IN_BOUND: u32 = 4;

/// Follows the configuration for ever, where this node reads for all or knows none yet.
pub async fn configuration(node: Arc<Node>) {
    let mut pause = Pause::default();
    let mut read_at = None;
    loop {
        let now = node.now();
        let is_needed = lacks_configuration(&node) && is_read_due(&node, now, read_at);
        if !is_reader(&node) && !is_needed {
            runtime::sleep(LOOK).await;
            continue;
        }
        match read(&node, TableName::Configuration).await {
            Ok(rows) => {
                note_configuration_rewritten(&node, &rows.rows);
                adopt_and_push(&node, &rows.rows);
                if let Err(error) = confirm_configuration(&node, now).await {
                    note_failure("era", &error);
                }
                pause.reset();
                read_at = Some(now);
                follow_configuration(&node, rows.version).await;
            }
            Err(error) => note_failure("configuration", &error),
        }
        pause.wait().await;
    }
}

/// Returns `true` if a node that knows no configuration reads it again.
fn is_read_due(node: &Node, now: Millis, read_at: Option<Millis>) -> bool {
    let is_alone = node.with(|state| state.members.get_reachability(now).heard <= 1);
    let pause = if is_alone { UNCONFIGURED_PAUSE_ALONE } else { UNCONFIGURED_PAUSE };
    read_at.is_none_or(|at| now >= at + pause)
}

/// Follows the configuration while this node reads for all.
async fn follow_configuration(node: &Node, from: TableVersion) {
    let table = TableName::Configuration;
    let hold = part_of(node.settings.bounds.config_apply_ms, CONFIGURATION_HOLD_PART);
    let watch = Watch { table, hold, gather: None, is_wanted: is_reader };
    follow(node, &watch, from, |rows, _| {
        note_configuration_rewritten(node, &rows.rows);
        adopt_and_push(node, &rows.rows);
    })
    .await;
}

/// Reads the configuration again and again, to know that it is the newest.
pub async fn freshness(node: Arc<Node>) {
    let bound = Duration::from_millis(node.get_fresh_bound()) / CONFIRMS_IN_BOUND;
    let mut pause = Pause::default();
    let mut unconfirmed_since = None;
    loop {
        let now = node.now();
        let since = *unconfirmed_since.get_or_insert(now);
        if !is_unconfirmed(&node) {
            unconfirmed_since = None;
        }
        // Until there is one, the first configuration is awaited and not requested again.
        let is_told_soon = is_unconfirmed(&node) && now < since + UNCONFIRMED_FOR;
        let is_waiting = !is_reader(&node) && (lacks_configuration(&node) || is_told_soon);
        if is_waiting || !is_due(&node, staleness::is_configuration_old) {
            runtime::sleep(LOOK).await;
            continue;
        }
        match confirm(&node).await {
            Ok(()) => {
                pause.reset();
                let is_grouped = node.with(|state| state.members.is_grouped());
                let part = if is_grouped { CONFIRM_PART_GROUPED } else { CONFIRM_PART };
                let period = part_of(node.settings.bounds.config_apply_ms, part);
                runtime::sleep(jitter(period.min(bound))).await;
            }
            Err(error) => {
                note_failure("freshness", &error);
                pause.wait().await;
            }
        }
    }
}

/// Confirms that the configuration in force is the newest, or adopts the newer one.
///
/// Where the row is known, a condition on its version answers in a few bytes; the configuration may
/// be long.
async fn confirm(node: &Node) -> Result<(), TableError> {
    let asked_at = node.now();
    let rows = match known_row(node) {
        Some(row) => match confirm_row(node, &row).await {
            Ok(()) => Vec::new(),
            Err(TableError::Conflict(rows)) => rows.rows,
            // The condition itself may be what is refused.
            Err(TableError::Refused(_)) => read(node, TableName::Configuration).await?.rows,
            Err(error) => return Err(error),
        },
        None => read(node, TableName::Configuration).await?.rows,
    };
    note_configuration_rewritten(node, &rows);
    adopt_and_push(node, &rows);
    rollouts::take_deferred(node);
    confirm_configuration(node, asked_at).await
}

/// Notes that the configuration in force was the newest at a time.
///
/// A table service that has just come back may lack a newer one until the operator has written it again: what
/// it holds shows nothing until then.
async fn confirm_configuration(node: &Node, asked_at: Millis) -> Result<(), TableError> {
    if node.with(|state| state.eras.get_age(asked_at)).is_none() {
        era_origin::find(node).await?;
    }
    node.with(|state| {
        if state.configuration.is_some() && state.eras.is_configuration_current(asked_at) {
            state.freshness.confirm(asked_at);
        }
    });
    Ok(())
}

/// Notes that the operator has written again after the table service's return: the row of the configuration
/// has another number than before, and no older content.
fn note_configuration_rewritten(node: &Node, rows: &[Row]) {
    let Some(known) = node.with(|state| state.configuration_row.clone()) else { return };
    let is_rewritten = |row: &&Row| {
        let (new, old) = (row.version, known.row_version);
        let is_written_since = new.era > old.era && new.number != old.number;
        is_written_since && row.key == known.key && read_version(node, row) >= Some(known.version)
    };
    if rows.iter().any(|row| is_rewritten(&row)) {
        node.with(|state| state.eras.note_configuration_rewritten());
    }
}

/// Reads the version of the configuration in a row; `None` where there is none that can be read.
fn read_version(node: &Node, row: &Row) -> Option<u64> {
    let decoded = (node.platform.decode_configuration)(row.value.as_deref()?);
    decoded.ok().map(|configuration| configuration.version)
}

/// Returns the row of the configuration in force, where this node has read it itself in the table service's
/// era. While the operator may still write again, all its rows are read.
fn known_row(node: &Node) -> Option<ConfigurationRow> {
    let now = node.now();
    node.with(|state| {
        let version = state.configuration.as_ref()?.version;
        let era = state.eras.get();
        let row = state.configuration_row.clone().filter(|row| row.version == version)?;
        (row.row_version.era == era && state.eras.is_settled(now)).then_some(row)
    })
}

/// Asks whether the configuration's row has not changed, by a transaction that writes nothing.
async fn confirm_row(node: &Node, row: &ConfigurationRow) -> Result<(), TableError> {
    let condition = Condition {
        table: TableName::Configuration,
        key: row.key.clone(),
        version: row.row_version,
    };
    let transaction = Transaction { conditions: vec![condition], writes: Vec::new() };
    table::commit(node, transaction, ANSWER_WITHIN).await.map(|_| ())
}

/// Returns `true` if this node does not know of any time at which its configuration was the newest.
fn is_unconfirmed(node: &Node) -> bool {
    let now = node.now();
    node.with(|state| state.freshness.get_age(now).is_none())
}

fn lacks_configuration(node: &Node) -> bool {
    node.with(|state| state.configuration.is_none())
}

/// Adopts the configuration in the rows, and notifies all peers where it is newer.
fn adopt_and_push(node: &Node, rows: &[Row]) {
    if let Some(version) = adopt_configuration(node, rows) {
        node.notify_peers(Notification::ConfigurationChanged { version });
    }
}

/// Adopts the configuration in the rows, where it is newer than the one in force; returns the
/// version where it is.
pub(in crate::node) fn adopt_configuration(node: &Node, rows: &[Row]) -> Option<u64> {
    let known = known_row(node);
    let is_known = |row: &&Row| {
        let is_same = known.as_ref().is_some_and(|known| known.row_version == row.version);
        is_same && !row.version.is_absent()
    };
    let unknown = rows.iter().filter(|row| !is_known(row));
    unknown.filter_map(|row| adopt_row(node, row)).last()
}

fn adopt_row(node: &Node, row: &Row) -> Option<u64> {
    if (node.platform.rollout_codec.is_order)(&row.key) {
        rollouts::take_order(node, row);
        return None;
    }
    let value = row.value.as_deref()?;
    let configuration = match (node.platform.decode_configuration)(value) {
        Ok(configuration) => configuration,
        Err(error) => {
            event::emit(&Event::DocumentRejected { error: error.to_string() });
            return None;
        }
    };
    let version = configuration.version;
    let before = node.with(|state| {
        let before = state.configuration.as_ref().map(|known| known.version);
        if before < Some(version) {
            state.configuration = Some(Arc::new(configuration));
            state.configuration_document = Some(Arc::new(Document::new(value.to_vec())));
        }
        if before <= Some(version) && !row.version.is_absent() {
            let (key, row_version) = (row.key.clone(), row.version);
            state.configuration_row = Some(ConfigurationRow { key, row_version, version });
        }
        before
    });
    if before >= Some(version) {
        return None;
    }
    event::emit(&Event::ConfigurationAdopted { version, before });
    Some(version)
}
