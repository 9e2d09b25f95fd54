//! Follows the configuration and the list of servers at the platform's tables.
//!
//! A few nodes do so for all. Each table is read whole at first, and then followed by changes.
//!
//! | module | does |
//! |---|---|
//! | `configuration` | adopts the newest configuration, and confirms that it is the newest |
//! | `servers` | keeps the list of servers |

mod configuration;
mod servers;

use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::table_version::TableVersion;

use super::{Node, table};
use crate::event::{self, Event};
use crate::port::{Rows, TableError, TableName};
use crate::runtime;

pub(super) use configuration::adopt_configuration;
pub use configuration::{configuration, freshness};
pub(crate) use servers::apply_departure;
pub use servers::{apply, servers};
pub(super) use servers::{apply_departures, expire_lapsed, take_update};

/// The time between two looks whether this node has to read.
const LOOK: Duration = Duration::from_millis(100);
/// How much longer the node waits for its answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(700);

/// Returns `true` if this node has to read a table itself.
fn is_due(node: &Node, is_old: fn(&Node) -> bool) -> bool {
    is_reader(node) || is_old(node)
}

/// Returns `true` if this node reads the tables for all.
fn is_reader(node: &Node) -> bool {
    let now = node.now();
    node.with(|state| state.members.is_table_reader(now))
}

async fn read(node: &Node, table: TableName) -> Result<Rows, TableError> {
    table::read_all(node, table, ANSWER_WITHIN).await
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
/// when they were requested.
async fn follow(
    node: &Node,
    watch: &Watch,
    from: TableVersion,
    mut take: impl FnMut(&Rows, Millis),
) {
    let mut version = from;
    while (watch.is_wanted)(node) {
        let asked_at = node.now();
        match table::watch(node, watch.table, version, watch.hold, ANSWER_WITHIN).await {
            Ok(rows) => {
                take(&rows, asked_at);
                version = rows.version.max(version);
                if let Some(pause) = watch.gather.filter(|_| !rows.rows.is_empty()) {
                    runtime::sleep(pause).await;
                }
            }
            Err(error) => return note_failure("watch", &error),
        }
    }
}

fn note_failure(what: &'static str, error: &TableError) {
    event::emit(&Event::TableCallFailed { what, error: error.to_string() });
}
