//! Follows the configuration and the list of servers at the platform's tables.
//!
//! A few nodes do so for all. Each table is read whole at first, and then followed by changes. A silent watch proves nothing, so
//! that the configuration is read whole again some times in the revocation bound: only such a read
//! confirms that what the node holds is the newest.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::{Batch, Change, Entry, Server};

use super::gossip::Message;
use super::{Node, position};
use crate::event::{self, Event};
use crate::port::{Row, Rows, TableError, TableName};
use crate::runtime;

/// How long a watch is held by the table service where nothing changes.
const WATCH_HOLD: Duration = Duration::from_millis(700);
/// The time between two looks whether this node has to read.
const LOOK: Duration = Duration::from_millis(100);
/// How much longer the node waits for its answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(700);
/// The first pause after a failure; doubled up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Reads of the configuration in each freshness bound.
const CONFIRMS_IN_BOUND: u64 = 4;

/// Follows the configuration for ever, where this node reads for all or its own knowledge is old.
pub async fn configuration(node: Arc<Node>) {
    let mut pause = Pause::default();
    loop {
        if !is_due(&node, position::is_configuration_old) {
            runtime::sleep(LOOK).await;
            continue;
        }
        match read(&node, TableName::Configuration).await {
            Ok(rows) => {
                adopt_and_push(&node, &rows.rows);
                pause.reset();
                follow(&node, TableName::Configuration, rows.version, |rows, _, _| {
                    adopt_and_push(&node, &rows.rows);
                })
                .await;
            }
            Err(error) => note_failure("configuration", &error),
        }
        pause.wait().await;
    }
}

/// Reads the configuration again and again, to know that it is the newest.
pub async fn freshness(node: Arc<Node>) {
    let period = Duration::from_millis(node.get_fresh_bound() / CONFIRMS_IN_BOUND);
    let mut pause = Pause::default();
    loop {
        if !is_due(&node, position::is_configuration_old) {
            runtime::sleep(LOOK).await;
            continue;
        }
        let asked_at = node.now();
        match read(&node, TableName::Configuration).await {
            Ok(rows) => {
                adopt_and_push(&node, &rows.rows);
                confirm(&node, asked_at);
                pause.reset();
                runtime::sleep(jitter(period)).await;
            }
            Err(error) => {
                note_failure("freshness", &error);
                pause.wait().await;
            }
        }
    }
}

/// Follows the list of servers for ever, where this node reads for all or its own list is old.
pub async fn servers(node: Arc<Node>) {
    let mut pause = Pause::default();
    loop {
        if !is_due(&node, position::is_servers_old) {
            runtime::sleep(LOOK).await;
            continue;
        }
        let asked_at = node.now();
        match read(&node, TableName::Servers).await {
            Ok(rows) => {
                let servers = rows.rows.iter().filter_map(|row| decode_server(&node, row));
                replace_servers(&node, rows.version, servers.collect());
                node.with(|state| state.servers_freshness.confirm(asked_at));
                pause.reset();
                follow(&node, TableName::Servers, rows.version, |rows, after, asked_at| {
                    update_servers(&node, rows, after);
                    node.with(|state| state.servers_freshness.confirm(asked_at));
                })
                .await;
            }
            Err(error) => note_failure("servers", &error),
        }
        pause.wait().await;
    }
}

/// Says whether this node has to read a table itself.
fn is_due(node: &Node, is_old: fn(&Node) -> bool) -> bool {
    let now = node.now();
    node.with(|state| state.peers.is_reader(now)) || is_old(node)
}

async fn read(node: &Node, table: TableName) -> Result<Rows, TableError> {
    let reading = (node.platform.table.read)(table);
    let answer = runtime::within(ANSWER_WITHIN, reading).await;
    answer.unwrap_or_else(|| Err(TableError::Unanswered("no answer in time".to_owned())))
}

/// Follows a table's changes until the watch fails, or this node need not read any more. `take`
/// gets the rows, the version after which they changed, and when they were asked for.
async fn follow(
    node: &Node,
    table: TableName,
    from: u64,
    mut take: impl FnMut(&Rows, u64, Millis),
) {
    let mut version = from;
    loop {
        let asked_at = node.now();
        let watching = (node.platform.table.watch)(table, version, WATCH_HOLD);
        match runtime::within(WATCH_HOLD + ANSWER_WITHIN, watching).await {
            Some(Ok(rows)) => {
                take(&rows, version, asked_at);
                version = rows.version.max(version);
            }
            Some(Err(error)) => return note_failure("watch", &error),
            None => return note_failure("watch", &TableError::Unanswered("held".to_owned())),
        }
        let now = node.now();
        if !node.with(|state| state.peers.is_reader(now)) {
            return;
        }
    }
}

fn note_failure(what: &'static str, error: &TableError) {
    event::emit(&Event::TableCallFailed { what, error: error.to_string() });
}

/// Adopts the configuration in the rows, and tells all peers where it is newer.
fn adopt_and_push(node: &Node, rows: &[Row]) {
    if let Some(version) = adopt_configuration(node, rows) {
        node.push(Message::ConfigurationChanged { version });
    }
}

/// Adopts the configuration in the rows, where it is newer than the one in force; returns the
/// version where it is.
pub(super) fn adopt_configuration(node: &Node, rows: &[Row]) -> Option<u64> {
    let mut adopted = None;
    for value in rows.iter().filter_map(|row| row.value.as_deref()) {
        match (node.platform.decode_configuration)(value) {
            Ok(configuration) => {
                let version = configuration.version;
                let before = node.with(|state| {
                    let before = state.configuration.as_ref().map(|known| known.version);
                    if before < Some(version) {
                        state.configuration = Some(Arc::new(configuration));
                        state.configuration_document = Some(value.to_vec().into());
                    }
                    before
                });
                if before < Some(version) {
                    event::emit(&Event::ConfigurationAdopted { version, before });
                    adopted = Some(version);
                }
            }
            Err(error) => event::emit(&Event::DocumentRejected { error: error.to_string() }),
        }
    }
    adopted
}

fn confirm(node: &Node, asked_at: Millis) {
    node.with(|state| {
        if state.configuration.is_some() {
            state.freshness.confirm(asked_at);
        }
    });
}

/// Takes over a whole list of servers, where it is not older than the one known.
pub(super) fn replace_servers(node: &Node, version: u64, servers: Vec<Server>) {
    let changes = node.with(|state| {
        state.has_servers = true;
        state.directory.replace(version, servers)
    });
    apply(node, changes);
}

/// Takes over changed entries, and sends them to all peers.
fn update_servers(node: &Node, rows: &Rows, after: u64) {
    let entries = rows.rows.iter().filter_map(|row| {
        let server = match row.value {
            None => None,
            Some(_) => Some(decode_server(node, row)?),
        };
        // A row that came without its version is taken as changed last.
        let version = if row.version == 0 { rows.version } else { row.version };
        Some(Entry { id: row.key.clone(), version, server })
    });
    let batch = Batch { after, version: rows.version, entries: entries.collect() };
    if !batch.entries.is_empty() {
        node.push(Message::ServersChanged(batch.clone()));
    }
    let changes = node.with(|state| state.directory.update(batch));
    apply(node, changes.unwrap_or_default());
}

fn decode_server(node: &Node, row: &Row) -> Option<keeljunction_core::serving::directory::Server> {
    match (node.platform.decode_server)(&row.key, row.value.as_deref()?) {
        Ok(server) => Some(server),
        Err(error) => {
            event::emit(&Event::DocumentRejected { error: error.to_string() });
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
            node.with(|known| known.health.forget(&server.id));
        }
        event::emit(&Event::ServerChanged {
            server: &server.id,
            service: &server.service,
            zone: &server.zone,
            state,
            leaves_in_ms: server.leaves_within,
        });
    }
}

/// Spreads a period over half to one and a half of itself, so that nodes do not call at once.
pub fn jitter(period: Duration) -> Duration {
    period.mul_f64(0.75 + 0.5 * fastrand::f64())
}

/// A pause that grows with each failure.
#[derive(Debug, Default)]
pub struct Pause {
    failures: u32,
}

impl Pause {
    /// Notes a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Waits, longer after each failure.
    pub async fn wait(&mut self) {
        let bound = FIRST_PAUSE * (1 << self.failures.min(5));
        self.failures += 1;
        runtime::sleep(jitter(bound.min(LONGEST_PAUSE))).await;
    }
}
