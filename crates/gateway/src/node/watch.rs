//! Follows the configuration and the list of servers at the platform's tables.
//!
//! A few nodes do so for all. Each table is read whole at first, and then followed by changes. A
//! silent watch proves nothing, so that the configuration is read whole again some times in the
//! revocation bound: only such a read confirms that what the node holds is the newest.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::{Batch, Change, Entry, Server};

use super::document::Document;
use super::pause::{Pause, jitter};
use super::peers::message::News;
use super::state::ConfigurationRow;
use super::{Node, rollouts, staleness};
use crate::event::{self, Event};
use crate::port::{Condition, Row, Rows, TableError, TableName, Transaction};
use crate::runtime;

/// How long a watch of the servers is held where nothing changes, as a part of the drain bound:
/// its answer shows that the list was the newest when it was asked, so that the list's age swings
/// between one hold and two.
const SERVERS_HOLD_PART: f64 = 0.22;
/// How long a watch of the configuration is held where nothing changes, as a part of the bound in
/// which a new one must be in force. Reads confirm it besides.
const CONFIGURATION_HOLD_PART: f64 = 0.8;
/// The pause after changes in which further ones gather, as a part of the drain bound: servers come
/// and go in waves, and each call costs.
const GATHER_PART: f64 = 0.08;
/// The time between two looks whether this node has to read.
const LOOK: Duration = Duration::from_millis(100);
/// The time between two reads by a node that knows no configuration and does not read for all: the
/// readers tell it too, where it hears other nodes.
const UNCONFIGURED_PAUSE: Millis = 15_000;
const UNCONFIGURED_PAUSE_ALONE: Millis = 3_000;
/// How long a node that has a configuration from another node waits for a report that says how old
/// it is, before it confirms the configuration itself.
const UNCONFIRMED_FOR: Millis = 1_000;
/// How much longer the node waits for its answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(700);
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
                adopt_and_push(&node, &rows.rows);
                confirm_configuration(&node, now);
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
    let is_alone = node.with(|state| state.members.get_reach(now).heard <= 1);
    let pause = if is_alone { UNCONFIGURED_PAUSE_ALONE } else { UNCONFIGURED_PAUSE };
    read_at.is_none_or(|at| now >= at + pause)
}

/// Follows the configuration while this node reads for all.
async fn follow_configuration(node: &Node, from: u64) {
    let table = TableName::Configuration;
    let hold = part_of(node.settings.bounds.config_apply_ms, CONFIGURATION_HOLD_PART);
    let watch = Watch { table, hold, gather: None, is_wanted: is_reader };
    follow(node, &watch, from, |rows, _| adopt_and_push(node, &rows.rows)).await;
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
        // Until there is one, the first configuration is waited for and not asked for again.
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
    adopt_and_push(node, &rows);
    confirm_configuration(node, asked_at);
    Ok(())
}

/// Notes that the configuration in force was the newest at a time.
fn confirm_configuration(node: &Node, asked_at: Millis) {
    node.with(|state| {
        if state.configuration.is_some() {
            state.freshness.confirm(asked_at);
        }
    });
}

/// Returns the row of the configuration in force, where this node has read it itself.
fn known_row(node: &Node) -> Option<ConfigurationRow> {
    node.with(|state| {
        let version = state.configuration.as_ref()?.version;
        state.configuration_row.clone().filter(|row| row.version == version)
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
    let committing = (node.platform.table.commit)(transaction);
    let answer = runtime::within(ANSWER_WITHIN, committing).await;
    let unanswered = || Err(TableError::Unanswered("no answer in time".to_owned()));
    answer.unwrap_or_else(unanswered).map(|_| ())
}

/// Follows the list of servers for ever, where this node reads for all or its own list is old.
pub async fn servers(node: Arc<Node>) {
    let mut pause = Pause::default();
    loop {
        if !is_due(&node, staleness::is_servers_old) {
            runtime::sleep(LOOK).await;
            continue;
        }
        match read_servers(&node).await {
            Ok(version) => {
                pause.reset();
                let bound = node.settings.bounds.drain_ms;
                let watch = Watch {
                    table: TableName::Servers,
                    hold: part_of(bound, SERVERS_HOLD_PART),
                    gather: Some(part_of(bound, GATHER_PART)),
                    is_wanted: is_reader,
                };
                follow(&node, &watch, version, |rows, asked_at| {
                    update_servers(&node, rows);
                    node.with(|state| state.servers_freshness.confirm(asked_at));
                })
                .await;
            }
            Err(error) => {
                note_failure("servers", &error);
                node.with(|state| state.directory.note_away());
            }
        }
        pause.wait().await;
    }
}

/// Brings the list of servers up to date; returns the version from which it is to be followed.
///
/// A node that has a list asks for its changes only. A list of 3,000 servers is a megabyte, and nodes
/// whose lists grow old together, behind an aggregator that is late, would all read it at once.
async fn read_servers(node: &Node) -> Result<u64, TableError> {
    let asked_at = node.now();
    let known = node.with(|state| state.has_servers.then(|| state.directory.get_version()));
    let version = match known {
        Some(version) => match read_changes(node, version).await {
            Err(TableError::HistoryGone) => read_all_servers(node).await?,
            read => read?,
        },
        None => read_all_servers(node).await?,
    };
    node.with(|state| state.servers_freshness.confirm(asked_at));
    Ok(version)
}

/// Reads the changes of the list of servers since a version.
async fn read_changes(node: &Node, from: u64) -> Result<u64, TableError> {
    let watching = (node.platform.table.watch)(TableName::Servers, from, Duration::ZERO);
    let answer = runtime::within(ANSWER_WITHIN, watching).await;
    let unanswered = || Err(TableError::Unanswered("no answer in time".to_owned()));
    let rows = answer.unwrap_or_else(unanswered)?;
    note_servers_known(node);
    let batch = make_batch(node, &rows);
    let changes = node.with(|state| state.directory.update(batch));
    apply(node, changes.unwrap_or_default());
    Ok(rows.version.max(from))
}

/// Reads the list of servers whole.
async fn read_all_servers(node: &Node) -> Result<u64, TableError> {
    let rows = read(node, TableName::Servers).await?;
    node.with(|state| state.skipped_entries.retain(&rows.rows));
    let servers = rows.rows.iter().filter_map(|row| decode_server(node, row));
    replace_servers(node, rows.version, servers.collect());
    Ok(rows.version)
}

/// Returns `true` if this node has to read a table itself.
fn is_due(node: &Node, is_old: fn(&Node) -> bool) -> bool {
    is_reader(node) || is_old(node)
}

/// Returns `true` if this node reads the tables for all.
fn is_reader(node: &Node) -> bool {
    let now = node.now();
    node.with(|state| state.members.is_reader(now))
}

/// Returns `true` if this node does not know of any time at which its configuration was the newest.
fn is_unconfirmed(node: &Node) -> bool {
    let now = node.now();
    node.with(|state| state.freshness.get_age(now).is_none())
}

fn lacks_configuration(node: &Node) -> bool {
    node.with(|state| state.configuration.is_none())
}

async fn read(node: &Node, table: TableName) -> Result<Rows, TableError> {
    let reading = (node.platform.table.read)(table);
    let answer = runtime::within(ANSWER_WITHIN, reading).await;
    answer.unwrap_or_else(|| Err(TableError::Unanswered("no answer in time".to_owned())))
}

/// How a table is followed.
struct Watch {
    table: TableName,
    /// How long the table service holds a call where nothing changes.
    hold: Duration,
    /// The pause after changes, in which further ones gather.
    gather: Option<Duration>,
    /// Returns `true` if this node goes on to follow the table.
    is_wanted: fn(&Node) -> bool,
}

fn part_of(bound: Millis, part: f64) -> Duration {
    Duration::from_millis(bound).mul_f64(part)
}

/// Follows a table's changes while that is wanted, until the watch fails. `take` gets the rows, and
/// when they were asked for.
async fn follow(node: &Node, watch: &Watch, from: u64, mut take: impl FnMut(&Rows, Millis)) {
    let mut version = from;
    while (watch.is_wanted)(node) {
        let asked_at = node.now();
        let watching = (node.platform.table.watch)(watch.table, version, watch.hold);
        match runtime::within(watch.hold + ANSWER_WITHIN, watching).await {
            Some(Ok(rows)) => {
                take(&rows, asked_at);
                version = rows.version.max(version);
                if let Some(pause) = watch.gather.filter(|_| !rows.rows.is_empty()) {
                    runtime::sleep(pause).await;
                }
            }
            Some(Err(error)) => return note_failure("watch", &error),
            None => return note_failure("watch", &TableError::Unanswered("held".to_owned())),
        }
    }
}

fn note_failure(what: &'static str, error: &TableError) {
    event::emit(&Event::TableCallFailed { what, error: error.to_string() });
}

/// Adopts the configuration in the rows, and tells all peers where it is newer.
fn adopt_and_push(node: &Node, rows: &[Row]) {
    if let Some(version) = adopt_configuration(node, rows) {
        node.push(News::ConfigurationChanged { version });
    }
}

/// Adopts the configuration in the rows, where it is newer than the one in force; returns the
/// version where it is.
pub(super) fn adopt_configuration(node: &Node, rows: &[Row]) -> Option<u64> {
    let known = known_row(node);
    let is_known = |row: &&Row| {
        let is_same = known.as_ref().is_some_and(|known| known.row_version == row.version);
        is_same && row.version > 0
    };
    let unknown = rows.iter().filter(|row| !is_known(row));
    unknown.filter_map(|row| adopt_row(node, row)).last()
}

fn adopt_row(node: &Node, row: &Row) -> Option<u64> {
    if (node.platform.rollouts.is_order)(&row.key) {
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
        if before <= Some(version) && row.version > 0 {
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

/// Takes over a whole list of servers, where it is not older than the one known.
pub(super) fn replace_servers(node: &Node, version: u64, servers: Vec<Server>) {
    note_servers_known(node);
    let changes = node.with(|state| {
        state.has_servers = true;
        state.directory.replace(version, servers)
    });
    apply(node, changes);
}

/// Notes that the list of servers is known again, where it had grown old.
fn note_servers_known(node: &Node) {
    let now = node.now();
    if staleness::is_servers_old(node) {
        node.with(|state| {
            if state.has_servers {
                state.directory.note_return(now);
            }
        });
    }
}

/// Gives up servers whose entries lapsed and did not come back.
pub(super) fn expire_lapsed(node: &Node) {
    let now = node.now();
    let changes = node.with(|state| state.directory.expire_lapsed(now));
    apply(node, changes);
}

/// Takes over changed entries, and sends them to all peers.
fn update_servers(node: &Node, rows: &Rows) {
    let batch = make_batch(node, rows);
    if !batch.entries.is_empty() {
        node.push(News::ServersChanged(batch.clone()));
    }
    let changes = node.with(|state| state.directory.update(batch));
    apply(node, changes.unwrap_or_default());
}

/// Makes the changes of this node's list that the rows hold.
fn make_batch(node: &Node, rows: &Rows) -> Batch {
    let entries = rows.rows.iter().map(|row| {
        // An entry that cannot be read names no server to use, like one that is gone.
        let server = decode_server(node, row);
        // A row that came without its version is taken as changed last.
        let version = if row.version == 0 { rows.version } else { row.version };
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
    for change in changes {
        let (state, server) = match &change {
            Change::Joined(server) => ("joined", server),
            Change::Leaving(server) => ("leaving", server),
            Change::Gone(server) => ("gone", server),
        };
        if let Change::Gone(server) = &change {
            node.servers.forget(server.address);
            node.with(|known| known.forget_server(server));
        }
        if let Change::Joined(server) = &change {
            let now = node.now();
            node.with(|known| known.rollouts.note_joined(now, server));
        }
        event::emit(&Event::ServerChanged {
            server: &server.id,
            service: &server.service,
            data_centre: &server.data_centre,
            state,
            leaves_in_ms: server.leaves_within,
        });
    }
}
