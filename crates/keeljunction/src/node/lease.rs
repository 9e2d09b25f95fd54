//! Leases in the table service, which let one node at a time control a service.

use keeljunction_core::Millis;
use keeljunction_core::lease::{Lease, Row, Watcher};

use super::Node;
use crate::platform::{self, Commit, Fault, Transaction};

/// Duration of a lease from each renewal, in milliseconds.
const LEASE_DURATION_MS: Millis = 3_000;
/// Time before expiry at which the holder stops using the lease, in milliseconds.
const EXPIRY_MARGIN_MS: Millis = 500;
/// Timeout of an order, in milliseconds.
///
/// The next holder waits for this time too, because some servers do not check fencing tokens.
pub const ORDER_TIMEOUT_MS: Millis = 1_000;

/// A client for one lease.
#[derive(Debug, Default)]
pub struct LeaseClient {
    held: Option<Lease>,
    watcher: Watcher,
    renewal: u64,
}

impl LeaseClient {
    /// Returns the fencing token to send with an order, or `None` if the lease may have expired.
    pub fn get_fence(&self, now: Millis) -> Option<u64> {
        self.held.as_ref().and_then(|lease| lease.get_fence(now))
    }

    /// Drops the lease locally. Called when a server has seen a newer fencing token.
    pub fn drop_lease(&mut self) {
        self.held = None;
    }

    /// Acquires or renews the lease if that is due and possible.
    ///
    /// # Errors
    ///
    /// Returns the platform's [`Fault`]. If the response was lost, the lease counts as not renewed
    /// until the row is read again.
    pub async fn acquire_or_renew(&mut self, node: &Node, key: &str) -> Result<(), Fault> {
        if self.held.as_ref().is_some_and(|lease| !lease.is_renewal_due(node.now())) {
            return Ok(());
        }
        let row = node.platform.read(key).await?;
        let current =
            row.as_ref().and_then(|row| Some((row, serde_json::from_str::<Row>(&row.value).ok()?)));
        let can_acquire = match &current {
            None => true,
            Some((_, lease)) if lease.holder == node.get_name() => true,
            Some((row, lease)) => {
                self.held = None;
                self.watcher.is_lapsed(node.now(), row.version, lease, ORDER_TIMEOUT_MS)
            }
        };
        if can_acquire { self.write(node, key, row.as_ref()).await } else { Ok(()) }
    }

    async fn write(
        &mut self,
        node: &Node,
        key: &str,
        current: Option<&platform::Row>,
    ) -> Result<(), Fault> {
        self.renewal += 1;
        let sent_at = node.now();
        let row = Row {
            holder: node.get_name().to_owned(),
            length_ms: LEASE_DURATION_MS,
            renewal: self.renewal,
        };
        let value = serde_json::to_string(&row).unwrap_or_default();
        let transaction =
            Transaction::new().expect(key, current.map(|row| row.version)).put(key, value);
        match node.platform.commit(&transaction).await? {
            Commit::Done(version) => {
                if self.held.is_none() {
                    log::info!(target: "audit", "{key} is held with fence {version}");
                }
                self.held = Some(Lease::new(version, sent_at, LEASE_DURATION_MS, EXPIRY_MARGIN_MS));
            }
            Commit::Conflict(_) => self.held = None,
        }
        Ok(())
    }
}
