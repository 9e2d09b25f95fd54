//! Maintains the server list.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::{
    Batch, Change, Departure, DepartureOutcome, Entry, Server, Update,
};
use keeljunction_core::serving::table_version::TableVersion;

use super::{
    ANSWER_TIMEOUT, POLL_INTERVAL, Watch, emit_failure, follow, fraction_of, is_reader, should_read,
};
use crate::event::{self, Event};
use crate::node::back_off::BackOff;
use crate::node::peers::message::Notification;
use crate::node::{Node, staleness, table, versions};
use crate::port::{Row, Rows, TableError, TableName};
use crate::runtime;

/// How long the table service holds a server list watch without changes, as a fraction of the drain
/// bound. An answer confirms the list as of the call, so the list's age varies between one hold
/// time and two.
const SERVERS_HOLD_FRACTION: f64 = 0.22;
/// The delay after changes during which further ones accumulate, as a fraction of the drain bound.
/// Servers come and go in waves, and each call has a cost.
const BATCH_DELAY_FRACTION: f64 = 0.08;
/// How long after its start a node waits for its aggregator to send a server list of several pages.
const LONG_LIST_WAIT_MS: Millis = 2_000;
/// The maximum number of entries per datagram, at some 80 bytes each.
const MAX_ENTRIES_PER_DATAGRAM: usize = 64;
/// The maximum number of simultaneous changes that are logged individually.
const MAX_LOGGED_CHANGES: usize = 16;

/// Follows the server list until the process ends, while this node is a reader or its list is
/// stale.
pub async fn watch_servers(node: Arc<Node>) {
    let mut back_off = BackOff::default();
    let mut is_long = false;
    loop {
        let is_delegated = is_long && is_delegated_to_aggregator(&node);
        if is_delegated || !should_read(&node, staleness::is_servers_stale) {
            runtime::sleep(POLL_INTERVAL).await;
            continue;
        }
        match catch_up(&node).await {
            Ok(None) => {
                is_long = true;
                continue;
            }
            Ok(Some(version)) => {
                back_off.reset();
                let bound = node.settings.bounds.drain_ms;
                let watch = Watch {
                    table: TableName::Servers,
                    hold: fraction_of(bound, SERVERS_HOLD_FRACTION),
                    batch_delay: Some(fraction_of(bound, BATCH_DELAY_FRACTION)),
                    is_wanted: is_reader,
                };
                follow(&node, &watch, version, |rows, asked_at| {
                    update_servers(&node, rows, asked_at);
                })
                .await;
            }
            Err(error) => {
                emit_failure("servers", &error);
                node.with(|state| state.directory.record_table_unavailable());
            }
        }
        back_off.wait().await;
    }
}

/// Reads the changes of the server list. Returns `true` if the list is that of a time after this call
/// began.
pub(in crate::node) async fn read_changed_servers(node: &Node) -> bool {
    match catch_up(node).await {
        Ok(version) => version.is_some(),
        Err(error) => {
            emit_failure("servers", &error);
            false
        }
    }
}

/// Updates the server list; returns its version, or `None` if this node waits for its aggregator's
/// list.
///
/// A node with a list reads only the changes: the whole list takes a call for every few hundred
/// servers.
async fn catch_up(node: &Node) -> Result<Option<TableVersion>, TableError> {
    let known =
        node.with(|state| state.directory.is_known().then(|| state.directory.get_version()));
    let Some(after) = known else { return read_servers(node).await };
    let asked_at = node.now();
    match table::watch(node, TableName::Servers, after, Duration::ZERO, ANSWER_TIMEOUT).await {
        Ok(rows) => {
            record_list_recovered(node);
            update_servers(node, &rows, asked_at);
            Ok(Some(rows.version.max(after)))
        }
        Err(TableError::HistoryGone) => read_servers(node).await,
        Err(error) => Err(error),
    }
}

/// Reads the whole server list; returns its version, or `None` if this node waits for its
/// aggregator's list.
async fn read_servers(node: &Node) -> Result<Option<TableVersion>, TableError> {
    let asked_at = node.now();
    let first = table::read_first(node, TableName::Servers, ANSWER_TIMEOUT).await?;
    if first.has_more && is_delegated_to_aggregator(node) {
        return Ok(None);
    }
    let rows = table::read_rest(node, TableName::Servers, ANSWER_TIMEOUT, first).await?;
    node.with(|state| state.skipped_entries.retain(&rows.rows));
    let servers = rows.rows.iter().filter_map(|row| decode_server(node, row));
    replace_list(node, rows.version, servers.collect());
    node.with(|state| state.servers_freshness.confirm(asked_at));
    Ok(Some(rows.version))
}

/// Returns `true` if this node waits for its aggregator to send a long list. When many nodes start
/// at once, only the aggregators read it.
fn is_delegated_to_aggregator(node: &Node) -> bool {
    let is_starting = node.now() < node.clock.get_start() + LONG_LIST_WAIT_MS;
    let is_member = node.with(|state| state.members.is_grouped() && !state.members.is_aggregator());
    is_starting && is_member
}

/// Replaces the server list, unless the given one is older.
fn replace_list(node: &Node, version: TableVersion, servers: Vec<Server>) {
    record_list_recovered(node);
    let changes = node.with(|state| state.directory.replace(version, servers));
    apply(node, changes);
}

/// Applies an update of the server list that this node fetched from a peer.
pub(in crate::node) fn apply_update(node: &Node, update: Update<'_>) {
    table::record_era(node, update.get_version().era);
    record_list_recovered(node);
    let changes = node.with(|state| state.directory.apply_update(update));
    apply(node, changes.unwrap_or_default());
}

/// Records that the server list is up to date again after it was stale.
fn record_list_recovered(node: &Node) {
    let now = node.now();
    if staleness::is_servers_stale(node) {
        node.with(|state| {
            if state.directory.is_known() {
                state.directory.record_table_recovered(now);
            }
        });
    }
}

/// Removes servers whose entries lapsed and were not renewed.
pub(in crate::node) fn expire_lapsed(node: &Node) {
    let now = node.now();
    let changes = node.with(|state| {
        state.directory.expire_departures(now);
        state.directory.expire_lapsed(now)
    });
    apply(node, changes);
}

/// Applies the departures in a report.
pub(in crate::node) fn apply_departures(node: &Node, departures: &[Departure]) {
    for departure in departures {
        apply_departure(node, departure);
    }
}

/// Applies a server's announcement that it leaves, received in a response by this node or another
/// one; returns `true` if it is new.
pub(crate) fn apply_departure(node: &Node, departure: &Departure) -> bool {
    let now = node.now();
    let Departure { server, incarnation } = departure;
    let DepartureOutcome { is_news, change } =
        node.with(|state| state.directory.record_departure(now, server, *incarnation));
    apply(node, change.into_iter().collect());
    is_news
}

/// Applies the entries that changed since a call at `asked_at`. A reader also sends them to all
/// peers.
fn update_servers(node: &Node, rows: &Rows, asked_at: Millis) {
    let batch = make_batch(node, rows);
    if !batch.entries.is_empty() && is_reader(node) {
        let parts = batch.clone().split(MAX_ENTRIES_PER_DATAGRAM);
        parts.into_iter().for_each(|part| node.notify_peers(Notification::ServersChanged(part)));
    }
    let changes = node.with(|state| state.directory.apply_batch(batch));
    apply(node, changes.unwrap_or_default());
    node.with(|state| state.servers_freshness.confirm(asked_at));
}

/// Builds a batch of list changes from rows.
fn make_batch(node: &Node, rows: &Rows) -> Batch {
    let entries = rows.rows.iter().map(|row| {
        // An undecodable entry names no usable server, like a deleted one.
        let server = decode_server(node, row);
        // A row without a version counts as the last one changed.
        let version = if row.version.is_absent() { rows.version } else { row.version };
        Entry { id: row.key.clone(), version, server }
    });
    // Nothing changed between this list and the rows: the watch resumes from the list's version.
    let after = node.with(|state| state.directory.get_version());
    Batch { after, version: rows.version, entries: entries.collect() }
}

/// Decodes a server's entry; returns `None` if it was deleted or is malformed. A malformed entry is
/// logged once.
fn decode_server(node: &Node, row: &Row) -> Option<Server> {
    let decoded = row.value.as_deref().map(|value| (node.platform.decode_server)(&row.key, value));
    match decoded {
        Some(Err(error)) => {
            if node.with(|state| state.skipped_entries.record(&row.key, row.version)) {
                event::emit(&Event::DocumentRejected { error: error.to_string() });
            }
            None
        }
        Some(Ok(server)) => {
            node.with(|state| state.skipped_entries.forget(&row.key));
            Some(server)
        }
        None => {
            node.with(|state| state.skipped_entries.forget(&row.key));
            None
        }
    }
}

/// Applies the side effects of server list changes.
pub fn apply(node: &Node, changes: Vec<Change>) {
    let now = node.now();
    for change in &changes {
        match change {
            Change::Gone(server) => {
                node.get_http_client().close_idle(server.address);
                node.with(|known| known.forget_server(server));
            }
            Change::Joined(server) => node.with(|known| known.rollouts.record_joined(now, server)),
            Change::Leaving(_) => {}
        }
    }
    versions::observe(node, &changes);
    log_changes(&changes);
}

/// Logs each change, or only the number of changes of each kind if there are many, because all
/// nodes log the same ones.
fn log_changes(changes: &[Change]) {
    if changes.len() > MAX_LOGGED_CHANGES {
        return event::emit(&Event::ServersChanged {
            joined: changes.iter().filter(|change| matches!(change, Change::Joined(_))).count(),
            leaving: changes.iter().filter(|change| matches!(change, Change::Leaving(_))).count(),
            gone: changes.iter().filter(|change| matches!(change, Change::Gone(_))).count(),
        });
    }
    for change in changes {
        let (state, server) = match change {
            Change::Joined(server) => ("joined", server),
            Change::Leaving(server) => ("leaving", server),
            Change::Gone(server) => ("gone", server),
        };
        event::emit(&Event::ServerChanged {
            server: &server.id,
            service: &server.service,
            data_centre: &server.data_centre,
            state,
            leaves_in_ms: server.leaves_within,
        });
    }
}
