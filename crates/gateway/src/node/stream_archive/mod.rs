//! Archives the records of streams in a table of the platform while several software versions of a
//! service may be running streams, so that a restart of all nodes does not forget them.
//!
//! [`keeljunction_core::serving::stream_origin`] decides which rows are written. The archivists write
//! a few times a second, whatever the number of streams and nodes. While each service has one
//! version, nothing is written or read.

mod reader;
mod row;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::stream_origin::{
    Archive, ArchivedRow, Record, Shard, Standing, get_write_interval,
};

pub(in crate::node) use self::reader::read;
pub(crate) use self::reader::{Reads, find};
use super::back_off::BackOff;
use super::state::State;
use super::{Node, table};
use crate::event::{self, Event};
use crate::port::{Rows, TableError, TableName, Transaction, Write};
use crate::runtime;

const TABLE: &str = "stream_origins";
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of rows written in one transaction; the platform accepts a megabyte.
const MAX_WRITES: usize = 40;

/// What this node archives.
struct Writer {
    archive: Archive,
    /// The shards that this node is the archivist of.
    shards: BTreeSet<Shard>,
    /// The clock of the table service, once it is known.
    clock: Option<ClockReading>,
}

/// A time on the table service's clock, paired with the time on this node's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    era: Era,
    table_time: Millis,
    node_time: Millis,
}

impl Writer {
    fn new(node: &Node) -> Self {
        let incarnation = &node.incarnation;
        let writer = format!("{:016x}-{:x}", short_id(&incarnation.node), incarnation.number);
        Self { archive: Archive::new(writer), shards: BTreeSet::new(), clock: None }
    }
}

/// Writes the records of the shards that this node is the archivist of, until the process ends.
pub(super) async fn run(node: Arc<Node>) {
    let mut writer = Writer::new(&node);
    let mut back_off = BackOff::default();
    loop {
        let nodes = node.with(|state| state.members.iter_holders().count() + 1);
        runtime::sleep(Duration::from_millis(get_write_interval(nodes))).await;
        match step(&node, &mut writer).await {
            Ok(()) => back_off.reset(),
            Err(error) => {
                event::emit(&Event::TableCallFailed { what: TABLE, error: error.to_string() });
                back_off.wait().await;
            }
        }
    }
}

async fn step(node: &Node, writer: &mut Writer) -> Result<(), TableError> {
    let now = node.now();
    let era = node.with(|state| state.eras.get());
    if writer.clock.is_some_and(|clock| clock.era != era) {
        // The rows may be lost.
        *writer = Writer::new(node);
    }
    let shards = node.with(|state| list_own_shards(state, now));
    if !shards.is_subset(&writer.shards) {
        adopt_rows(node, writer, &shards).await?;
    }
    writer.shards = shards;
    let now = node.now();
    let missing = node.with(|state| list_missing(state, now, writer));
    writer.archive.add(now, missing);
    let mut rows = writer.archive.take_rows(now);
    while !rows.is_empty() {
        let rest = rows.split_off(rows.len().min(MAX_WRITES));
        if let Err(error) = write(node, writer, &rows).await {
            rows.extend(rest);
            writer.archive.record_failure(node.now(), rows);
            return Err(error);
        }
        rows = rest;
    }
    Ok(())
}

/// Lists the shards that this node is the archivist of; none while each service has one version.
fn list_own_shards(state: &State, now: Millis) -> BTreeSet<Shard> {
    if !state.version_history.is_any_mixed(now) || !state.members.is_settled(now) {
        return BTreeSet::new();
    }
    let ranking = state.members.get_holder_ranking(now);
    let is_own = |shard: &Shard| {
        ranking.get_archivist(*shard).is_some_and(|archivist| state.members.is_own(archivist))
    };
    Shard::iter().filter(is_own).collect()
}

/// Lists the records that are to be archived.
fn list_missing(state: &State, now: Millis, writer: &Writer) -> Vec<Record> {
    if writer.shards.is_empty() {
        return Vec::new();
    }
    let is_mixed = |standing: &Standing| match standing {
        Standing::Known(origin) => state.version_history.is_mixed(now, &origin.service),
        Standing::Ambiguous => true,
    };
    let records = state.stream_origins.iter(now).filter(|record| {
        writer.shards.contains(&Shard::of(record.key))
            && writer.archive.is_missing(now, record)
            && is_mixed(&record.standing)
    });
    records.collect()
}

/// Takes over the rows of the former archivists of shards, to remove them in time.
async fn adopt_rows(
    node: &Node,
    writer: &mut Writer,
    shards: &BTreeSet<Shard>,
) -> Result<(), TableError> {
    let rows = table::read_all(node, TableName::Internal(TABLE), CALL_TIMEOUT).await?;
    let now = node.now();
    record_time(writer, now, &rows);
    for shard in shards.difference(&writer.shards) {
        let prefix = shard.get_prefix();
        let of_shard = rows.rows.iter().filter(|row| row.key.starts_with(&prefix));
        let foreign = of_shard.filter(|row| !writer.archive.is_own(&row.key));
        let foreign: Vec<String> = foreign.map(|row| row.key.clone()).collect();
        foreign.into_iter().for_each(|row| writer.archive.adopt(now, row));
    }
    Ok(())
}

/// Writes and removes rows in one transaction.
async fn write(node: &Node, writer: &mut Writer, rows: &[ArchivedRow]) -> Result<(), TableError> {
    let now = node.now();
    let table_time =
        writer.clock.map_or(0, |clock| clock.table_time + now.saturating_sub(clock.node_time));
    let writes = rows.iter().map(|row| make_write(row, table_time)).collect();
    let transaction = Transaction { conditions: Vec::new(), writes };
    let written = table::commit(node, transaction, CALL_TIMEOUT).await?;
    record_time(writer, node.now(), &written);
    Ok(())
}

fn make_write(row: &ArchivedRow, table_time: Millis) -> Write {
    let ArchivedRow { key, records } = row;
    let encoded = (!records.is_empty()).then(|| row::encode(table_time, records.clone()));
    let value = encoded.and_then(|encoded| {
        encoded.inspect_err(|error| log::error!("a row was not encoded: {error}")).ok()
    });
    Write { table: TableName::Internal(TABLE), key: key.clone(), value }
}

fn record_time(writer: &mut Writer, now: Millis, rows: &Rows) {
    let era = rows.version.era;
    writer.clock = Some(ClockReading { era, table_time: rows.table_time, node_time: now });
}
