//! Follows the configuration and the server list in the platform's tables.
//!
//! A few nodes, the readers, do so on behalf of all nodes. Each table is read once in full and then
//! followed by its changes.
//!
//! | module | purpose |
//! |---|---|
//! | `configuration` | adopts the newest configuration and confirms that it is the newest |
//! | `servers` | maintains the server list |

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
pub use configuration::{confirm_freshness, watch_configuration};
pub(crate) use servers::apply_departure;
pub use servers::{apply, watch_servers};
pub(super) use servers::{apply_departures, apply_update, expire_lapsed, read_changed_servers};

/// The interval between checks whether this node must read a table.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long the node waits for an answer, in addition to the hold time of the call.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause after a watch that ended early without changes.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Returns `true` if this node must read a table itself.
fn should_read(node: &Node, is_old: fn(&Node) -> bool) -> bool {
    is_reader(node) || is_old(node)
}

/// Returns `true` if this node reads the tables on behalf of all nodes.
pub(super) fn is_reader(node: &Node) -> bool {
    let now = node.now();
    node.with(|state| state.members.is_table_reader(now))
}

async fn read(node: &Node, table: TableName) -> Result<Rows, TableError> {
    table::read_all(node, table, ANSWER_TIMEOUT).await
}

/// The parameters for following a table.
struct Watch {
    table: TableName,
    /// How long the table service holds a call without changes.
    hold: Duration,
    /// The delay after changes during which further ones accumulate.
    batch_delay: Option<Duration>,
    /// Returns `true` while this node must follow the table.
    is_wanted: fn(&Node) -> bool,
}

fn fraction_of(bound: Millis, fraction: f64) -> Duration {
    Duration::from_millis(bound).mul_f64(fraction)
}

/// Follows a table's changes while the watch is wanted, until a call fails. `take` receives the
/// rows and the time of their request.
///
/// After a response that neither brings changes nor was held, the next call waits for
/// `MIN_WATCH_INTERVAL`.
async fn follow(
    node: &Node,
    watch: &Watch,
    from: TableVersion,
    mut take: impl FnMut(&Rows, Millis),
) {
    let mut version = from;
    while (watch.is_wanted)(node) {
        let asked_at = node.now();
        match table::watch(node, watch.table, version, watch.hold, ANSWER_TIMEOUT).await {
            Ok(rows) => {
                take(&rows, asked_at);
                let is_advancing = !rows.rows.is_empty() && rows.version > version;
                let was_held = node.now() >= asked_at + watch.hold.as_millis() as Millis;
                if !is_advancing && !was_held {
                    runtime::sleep(MIN_WATCH_INTERVAL).await;
                }
                version = rows.version.max(version);
                if let Some(delay) = watch.batch_delay.filter(|_| !rows.rows.is_empty()) {
                    runtime::sleep(delay).await;
                }
            }
            Err(error) => return emit_failure("watch", &error),
        }
    }
}

fn emit_failure(what: &'static str, error: &TableError) {
    event::emit(&Event::TableCallFailed { what, error: error.to_string() });
}
