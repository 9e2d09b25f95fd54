//! Leases in the table service, by which one node at a time acts for a service.

use keeljunction_core::Millis;
use keeljunction_core::lease::{Lease, Row, Watcher};

use super::Node;
use crate::platform::{self, Commit, Fault, Transaction};

/// How long a lease is held from each renewal, in milliseconds.
const LENGTH_MS: Millis = 3_000;
/// Time before its end at which a holder stops to act, in milliseconds.
const MARGIN_MS: Millis = 500;
/// The longest that an order may be on its way, in milliseconds. The next holder waits it out,
/// for the sake of servers that do not check fences.
pub const LONGEST_ORDER_MS: Millis = 1_000;

/// This node's part in one lease.
#[derive(Debug, Default)]
pub struct Tenure {
    held: Option<Lease>,
    watch: Watcher,
    renewal: u64,
}

impl Tenure {
    /// Returns the fence to send with an order, or `None` where the lease may have lapsed.
    pub fn get_fence(&self, now: Millis) -> Option<u64> {
        self.held.as_ref().and_then(|lease| lease.get_fence(now))
    }

    /// Gives the lease up for this node's part, after somebody showed a newer fence.
    pub fn lose(&mut self) {
        self.held = None;
    }

    /// Gets or renews the lease, where that is due and possible.
    ///
    /// # Errors
    ///
    /// Returns the platform's [`Fault`]. After a lost answer the lease counts as not renewed; the
    /// next look at the row shows.
    pub async fn keep(&mut self, node: &Node, key: &str) -> Result<(), Fault> {
        if self.held.as_ref().is_some_and(|lease| !lease.is_renewal_due(node.now())) {
            return Ok(());
        }
        let row = node.platform.read(key).await?;
        let stands =
            row.as_ref().and_then(|row| Some((row, serde_json::from_str::<Row>(&row.value).ok()?)));
        let may_take = match &stands {
            None => true,
            Some((_, lease)) if lease.holder == node.get_name() => true,
            Some((row, lease)) => {
                self.held = None;
                self.watch.is_lapsed(node.now(), row.version, lease, LONGEST_ORDER_MS)
            }
        };
        if may_take { self.take(node, key, row.as_ref()).await } else { Ok(()) }
    }

    async fn take(
        &mut self,
        node: &Node,
        key: &str,
        stands: Option<&platform::Row>,
    ) -> Result<(), Fault> {
        self.renewal += 1;
        let asked_at = node.now();
        let row =
            Row { holder: node.get_name().to_owned(), length_ms: LENGTH_MS, renewal: self.renewal };
        let value = serde_json::to_string(&row).unwrap_or_default();
        let transaction =
            Transaction::new().expect(key, stands.map(|row| row.version)).put(key, value);
        match node.platform.commit(&transaction).await? {
            Commit::Done(version) => {
                if self.held.is_none() {
                    log::info!(target: "audit", "{key} is held with fence {version}");
                }
                self.held = Some(Lease::new(version, asked_at, LENGTH_MS, MARGIN_MS));
            }
            Commit::Conflict(_) => self.held = None,
        }
        Ok(())
    }
}
