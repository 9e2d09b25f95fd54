//! Keeps the list of servers.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::{
    Batch, Change, Departure, DepartureOutcome, Entry, Server, Update,
};
use keeljunction_core::serving::table_version::TableVersion;

use super::{ANSWER_WITHIN, LOOK, Watch, follow, is_due, is_reader, note_failure, part_of};
use crate::event::{self, Event};
use crate::node::pause::Pause;
use crate::node::peers::message::Notification;
use crate::node::{Node, staleness, table};
use crate::port::{Row, Rows, TableError, TableName};
use crate::runtime;

/// How long a watch of the servers is held where nothing changes, as a part of the drain bound:
/// its answer shows that the list was the newest at the call, so that the list's age swings
/// between one hold and two.
const SERVERS_HOLD_PART: f64 = 0.22;
/// The pause after changes in which further ones gather, as a part of the drain bound: servers come
/// and go in waves, and each call costs.
const GATHER_PART: f64 = 0.08;
/// How long after its start a node waits for its aggregator to give it a list of several pages, in
/// milliseconds.
const LONG_LIST_WITHIN: Millis = 2_000;
/// Entries that are sent in one datagram: some 80 bytes each.
const MOST_IN_DATAGRAM: usize = 64;
/// Changes that come at once and are logged one by one.
const MOST_LOGGED: usize = 16;

/// Follows the list of servers for ever, where this node reads for all or its own list is old.
pub async fn servers(node: Arc<Node>) {
    let mut pause = Pause::default();
    let mut is_long = false;
    loop {
        let is_left = is_long && is_left_to_aggregator(&node);
        if is_left || !is_due(&node, staleness::is_servers_old) {
            runtime::sleep(LOOK).await;
            continue;
        }
        match catch_up(&node).await {
            Ok(None) => {
                is_long = true;
                continue;
            }
            Ok(Some(version)) => {
                pause.reset();
                let bound = node.settings.bounds.drain_ms;
                let watch = Watch {
                    table: TableName::Servers,
                    hold: part_of(bound, SERVERS_HOLD_PART),
                    gather: Some(part_of(bound, GATHER_PART)),
                    is_wanted: is_reader,
                };
                follow(&node, &watch, version, |rows, asked_at| {
                    update_servers(&node, rows, asked_at);
                })
                .await;
            }
            Err(error) => {
                note_failure("servers", &error);
                node.with(|state| state.directory.note_table_unavailable());
            }
        }
        pause.wait().await;
    }
}

/// Brings the list of servers up to date; returns its version, or `None` where that is left to others.
///
/// A node that knows a list reads only what has changed since: the whole list takes a call for each
/// few hundred servers.
async fn catch_up(node: &Node) -> Result<Option<TableVersion>, TableError> {
    let known =
        node.with(|state| state.directory.is_known().then(|| state.directory.get_version()));
    let Some(after) = known else { return read_servers(node).await };
    let asked_at = node.now();
    match table::watch(node, TableName::Servers, after, Duration::ZERO, ANSWER_WITHIN).await {
        Ok(rows) => {
            note_servers_known(node);
            update_servers(node, &rows, asked_at);
            Ok(Some(rows.version.max(after)))
        }
        Err(TableError::HistoryGone) => read_servers(node).await,
        Err(error) => Err(error),
    }
}

/// Reads the list of servers whole; returns its version, or `None` where that is left to others.
async fn read_servers(node: &Node) -> Result<Option<TableVersion>, TableError> {
    let asked_at = node.now();
    let first = table::read_first(node, TableName::Servers, ANSWER_WITHIN).await?;
    if first.has_more && is_left_to_aggregator(node) {
        return Ok(None);
    }
    let rows = table::read_rest(node, TableName::Servers, ANSWER_WITHIN, first).await?;
    node.with(|state| state.skipped_entries.retain(&rows.rows));
    let servers = rows.rows.iter().filter_map(|row| decode_server(node, row));
    replace_servers(node, rows.version, servers.collect());
    node.with(|state| state.servers_freshness.confirm(asked_at));
    Ok(Some(rows.version))
}

/// Returns `true` if this node waits until its aggregator gives it a long list: where many nodes start at
/// once, only the aggregators read it.
fn is_left_to_aggregator(node: &Node) -> bool {
    let is_starting = node.now() < node.clock.get_start() + LONG_LIST_WITHIN;
    let is_member = node.with(|state| state.members.is_grouped() && !state.members.is_aggregator());
    is_starting && is_member
}

/// Takes over a whole list of servers, where it is not older than the one known.
fn replace_servers(node: &Node, version: TableVersion, servers: Vec<Server>) {
    note_servers_known(node);
    let changes = node.with(|state| state.directory.replace(version, servers));
    apply(node, changes);
}

/// Takes over what a peer knows of the list of servers and this node lacked.
pub(in crate::node) fn take_update(node: &Node, update: Update<'_>) {
    table::note_era(node, update.get_version().era);
    note_servers_known(node);
    let changes = node.with(|state| state.directory.apply_update(update));
    apply(node, changes.unwrap_or_default());
}

/// Notes that the list of servers is known again, where it had grown old.
fn note_servers_known(node: &Node) {
    let now = node.now();
    if staleness::is_servers_old(node) {
        node.with(|state| {
            if state.directory.is_known() {
                state.directory.note_table_recovered(now);
            }
        });
    }
}

/// Gives up servers whose entries lapsed and did not come back.
pub(in crate::node) fn expire_lapsed(node: &Node) {
    let now = node.now();
    let changes = node.with(|state| {
        state.directory.expire_departures(now);
        state.directory.expire_lapsed(now)
    });
    apply(node, changes);
}

/// Takes the departures that came with a report.
pub(in crate::node) fn apply_departures(node: &Node, departures: &[Departure]) {
    for departure in departures {
        apply_departure(node, departure);
    }
}

/// Takes the word of a server, in an answer to this node or another one, that it leaves; returns `true` if
/// that is news.
pub(crate) fn apply_departure(node: &Node, departure: &Departure) -> bool {
    let now = node.now();
    let Departure { server, incarnation } = departure;
    let DepartureOutcome { is_news, change } =
        node.with(|state| state.directory.note_departure(now, server, *incarnation));
    apply(node, change.into_iter().collect());
    is_news
}

/// Takes over entries that changed since a call that began at `asked_at`, and sends them to all peers
/// where this node reads for them.
fn update_servers(node: &Node, rows: &Rows, asked_at: Millis) {
    let batch = make_batch(node, rows);
    if !batch.entries.is_empty() && is_reader(node) {
        let parts = batch.clone().split(MOST_IN_DATAGRAM);
        parts.into_iter().for_each(|part| node.notify_peers(Notification::ServersChanged(part)));
    }
    let changes = node.with(|state| state.directory.apply_batch(batch));
    apply(node, changes.unwrap_or_default());
    node.with(|state| state.servers_freshness.confirm(asked_at));
}

/// Makes the changes of this node's list that the rows hold.
fn make_batch(node: &Node, rows: &Rows) -> Batch {
    let entries = rows.rows.iter().map(|row| {
        // An entry that cannot be read names no server to use, like one that is gone.
        let server = decode_server(node, row);
        // A row that came without its version is taken as changed last.
        let version = if row.version.is_absent() { rows.version } else { row.version };
        Entry { id: row.key.clone(), version, server }
    });
    // Nothing changed between this list and the rows: the watch goes on where it left off.
    let after = node.with(|state| state.directory.get_version());
    Batch { after, version: rows.version, entries: entries.collect() }
}

/// Reads a server's entry; `None` where it is gone or cannot be read, which is logged once.
fn decode_server(node: &Node, row: &Row) -> Option<Server> {
    let decoded = row.value.as_deref().map(|value| (node.platform.decode_server)(&row.key, value));
    match decoded {
        Some(Err(error)) => {
            if node.with(|state| state.skipped_entries.note(&row.key, row.version)) {
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

/// Acts on changes of the list of servers.
pub fn apply(node: &Node, changes: Vec<Change>) {
    let now = node.now();
    for change in &changes {
        match change {
            Change::Gone(server) => {
                node.http_client.close_idle(server.address);
                node.with(|known| known.forget_server(server));
            }
            Change::Joined(server) => node.with(|known| known.rollouts.record_joined(now, server)),
            Change::Leaving(_) => {}
        }
    }
    log_changes(&changes);
}

/// Logs each change; of many only how many there are of each kind, because all nodes log the same.
fn log_changes(changes: &[Change]) {
    if changes.len() > MOST_LOGGED {
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
