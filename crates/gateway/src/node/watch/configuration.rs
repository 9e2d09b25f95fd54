//! Adopts the newest configuration and confirms that it is the newest.
//!
//! A watch without changes proves nothing. The configuration is therefore read again several times
//! per revocation bound; only such a read confirms that the node's copy is the newest.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::table_version::TableVersion;

use super::{
    ANSWER_TIMEOUT, POLL_INTERVAL, Watch, emit_failure, follow, fraction_of, is_reader, read,
    should_read,
};
use crate::event::{self, Event};
use crate::node::back_off::{BackOff, jitter};
use crate::node::document::Document;
use crate::node::peers::message::Notification;
use crate::node::state::ConfigurationRow;
use crate::node::{Node, era_origin, rollouts, staleness, table};
use crate::port::{Condition, Row, TableError, TableName, Transaction};
use crate::runtime;

/// How long the table service holds a configuration watch without changes, as a fraction of the
/// bound within which a new configuration must be in force. Separate reads confirm the
/// configuration.
const CONFIGURATION_HOLD_FRACTION: f64 = 0.8;
/// The interval between reads by a node that has no configuration and is not a reader. If other
/// nodes are reachable, the readers send it the configuration as well.
const UNCONFIGURED_READ_INTERVAL_MS: Millis = 15_000;
const ISOLATED_READ_INTERVAL_MS: Millis = 3_000;
/// How long a node that received its configuration from another node waits for a report of the
/// configuration's age before it confirms the configuration itself.
const CONFIRMATION_WAIT_MS: Millis = 1_000;
/// The interval between confirmations, as a fraction of the time within which a new configuration
/// must be in force.
const CONFIRM_INTERVAL_FRACTION: f64 = 0.25;
/// The same if nodes report in groups: what a reader knows passes through two nodes.
const GROUPED_CONFIRM_INTERVAL_FRACTION: f64 = 0.125;
/// The minimum number of confirmations per freshness bound.
const MIN_CONFIRMATIONS_PER_BOUND: u32 = 4;

/// Follows the configuration until the process ends, while this node is a reader or has no
/// configuration.
pub async fn watch_configuration(node: Arc<Node>) {
    let mut back_off = BackOff::default();
    let mut read_at = None;
    loop {
        let now = node.now();
        let is_needed = lacks_configuration(&node) && is_read_due(&node, now, read_at);
        if !is_reader(&node) && !is_needed {
            runtime::sleep(POLL_INTERVAL).await;
            continue;
        }
        match read(&node, TableName::Configuration).await {
            Ok(rows) => {
                record_rewritten(&node, &rows.rows);
                adopt_and_notify(&node, &rows.rows);
                if let Err(error) = confirm_configuration(&node, now).await {
                    emit_failure("era", &error);
                }
                back_off.reset();
                read_at = Some(now);
                follow_configuration(&node, rows.version).await;
            }
            Err(error) => emit_failure("configuration", &error),
        }
        back_off.wait().await;
    }
}

/// Returns `true` if a node without a configuration must read it again.
fn is_read_due(node: &Node, now: Millis, read_at: Option<Millis>) -> bool {
    let is_alone = node.with(|state| state.members.get_reachability(now).heard <= 1);
    let interval = if is_alone { ISOLATED_READ_INTERVAL_MS } else { UNCONFIGURED_READ_INTERVAL_MS };
    read_at.is_none_or(|at| now >= at + interval)
}

/// Follows the configuration while this node is a reader.
async fn follow_configuration(node: &Node, from: TableVersion) {
    let table = TableName::Configuration;
    let hold = fraction_of(node.settings.bounds.config_apply_ms, CONFIGURATION_HOLD_FRACTION);
    let watch = Watch { table, hold, batch_delay: None, is_wanted: is_reader };
    follow(node, &watch, from, |rows, _| {
        record_rewritten(node, &rows.rows);
        adopt_and_notify(node, &rows.rows);
    })
    .await;
}

/// Confirms at intervals that the configuration is the newest.
pub async fn confirm_freshness(node: Arc<Node>) {
    let bound =
        Duration::from_millis(node.get_max_configuration_age()) / MIN_CONFIRMATIONS_PER_BOUND;
    let mut back_off = BackOff::default();
    let mut unconfirmed_since = None;
    loop {
        let now = node.now();
        let since = *unconfirmed_since.get_or_insert(now);
        if !is_unconfirmed(&node) {
            unconfirmed_since = None;
        }
        // A node without a configuration waits for the first one instead of requesting it again.
        let is_confirmation_expected = is_unconfirmed(&node) && now < since + CONFIRMATION_WAIT_MS;
        let is_waiting =
            !is_reader(&node) && (lacks_configuration(&node) || is_confirmation_expected);
        if is_waiting || !should_read(&node, staleness::is_configuration_stale) {
            runtime::sleep(POLL_INTERVAL).await;
            continue;
        }
        match confirm(&node).await {
            Ok(()) => {
                back_off.reset();
                let is_grouped = node.with(|state| state.members.is_grouped());
                let fraction = if is_grouped {
                    GROUPED_CONFIRM_INTERVAL_FRACTION
                } else {
                    CONFIRM_INTERVAL_FRACTION
                };
                let period = fraction_of(node.settings.bounds.config_apply_ms, fraction);
                runtime::sleep(jitter(period.min(bound))).await;
            }
            Err(error) => {
                emit_failure("freshness", &error);
                back_off.wait().await;
            }
        }
    }
}

/// Confirms that the configuration in force is the newest, or adopts a newer one.
///
/// If the row is known, a condition on its version is answered in a few bytes; the configuration
/// itself may be long.
async fn confirm(node: &Node) -> Result<(), TableError> {
    let asked_at = node.now();
    let rows = match get_known_row(node) {
        Some(row) => match confirm_row(node, &row).await {
            Ok(()) => Vec::new(),
            Err(TableError::Conflict(rows)) => rows.rows,
            // The service may have refused the condition itself.
            Err(TableError::Refused(_)) => read(node, TableName::Configuration).await?.rows,
            Err(error) => return Err(error),
        },
        None => read(node, TableName::Configuration).await?.rows,
    };
    record_rewritten(node, &rows);
    adopt_and_notify(node, &rows);
    rollouts::announce_deferred(node);
    confirm_configuration(node, asked_at).await
}

/// Records that the configuration in force was the newest at `asked_at`.
///
/// After a restore from an older copy, the table service may lack a newer configuration until the
/// operator has written it again. Until then its content proves nothing.
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

/// Records that the operator has written again after a restore of the table service: the row of the
/// configuration has another version number, and its content is not older.
fn record_rewritten(node: &Node, rows: &[Row]) {
    let Some(known) = node.with(|state| state.configuration_row.clone()) else { return };
    let is_rewritten = |row: &&Row| {
        let (new, old) = (row.version, known.row_version);
        let is_written_since = new.era > old.era && new.number != old.number;
        is_written_since && row.key == known.key && read_version(node, row) >= Some(known.version)
    };
    if rows.iter().any(|row| is_rewritten(&row)) {
        node.with(|state| state.eras.record_configuration_rewritten());
    }
}

/// Decodes the version of the configuration in a row; returns `None` if there is no valid one.
fn read_version(node: &Node, row: &Row) -> Option<u64> {
    let decoded = (node.platform.decode_configuration)(row.value.as_deref()?);
    decoded.ok().map(|configuration| configuration.version)
}

/// Returns the row of the configuration in force if this node read it itself in the current era of
/// the table service. While the operator may still write again, all rows must be read.
fn get_known_row(node: &Node) -> Option<ConfigurationRow> {
    let now = node.now();
    node.with(|state| {
        let version = state.configuration.as_ref()?.version;
        let era = state.eras.get();
        let row = state.configuration_row.clone().filter(|row| row.version == version)?;
        (row.row_version.era == era && state.eras.is_settled(now)).then_some(row)
    })
}

/// Checks that the configuration's row is unchanged, with a transaction that writes nothing.
async fn confirm_row(node: &Node, row: &ConfigurationRow) -> Result<(), TableError> {
    let condition = Condition {
        table: TableName::Configuration,
        key: row.key.clone(),
        version: row.row_version,
    };
    let transaction = Transaction { conditions: vec![condition], writes: Vec::new() };
    table::commit(node, transaction, ANSWER_TIMEOUT).await.map(|_| ())
}

/// Returns `true` if this node's configuration was never confirmed to be the newest.
fn is_unconfirmed(node: &Node) -> bool {
    let now = node.now();
    node.with(|state| state.freshness.get_age(now).is_none())
}

fn lacks_configuration(node: &Node) -> bool {
    node.with(|state| state.configuration.is_none())
}

/// Adopts the configuration in the rows, and notifies all peers if it is newer.
fn adopt_and_notify(node: &Node, rows: &[Row]) {
    if let Some(version) = adopt_configuration(node, rows) {
        node.notify_peers(Notification::ConfigurationChanged { version });
    }
}

/// Adopts the configuration in the rows if it is newer than the one in force; returns its version
/// in that case.
pub(in crate::node) fn adopt_configuration(node: &Node, rows: &[Row]) -> Option<u64> {
    let known = get_known_row(node);
    let is_known = |row: &&Row| {
        let is_same = known.as_ref().is_some_and(|known| known.row_version == row.version);
        is_same && !row.version.is_absent()
    };
    let unknown = rows.iter().filter(|row| !is_known(row));
    unknown.filter_map(|row| adopt_row(node, row)).last()
}

fn adopt_row(node: &Node, row: &Row) -> Option<u64> {
    if (node.platform.rollout_codec.is_order)(&row.key) {
        rollouts::apply_order(node, row);
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
