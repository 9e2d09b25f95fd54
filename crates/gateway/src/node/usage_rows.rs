//! The table rows in which the duty holder stores usage counts.
//!
//! A frozen window has one row per era of the table service, and so have the running counts of the
//! unreported windows.

use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::usage::{Counts, LedgerSnapshot, WindowNumber};

use super::{document, table};
use crate::port::Row;

/// The table of these rows.
pub(super) const TABLE: &str = "usage";
/// The key of the running counts.
const RUNNING_KEY: &str = "running";

/// The usage rows of an era and of the earlier ones.
#[derive(Default)]
pub(super) struct UsageRows<'a> {
    /// The running counts of the era.
    pub running: Option<&'a Row>,
    /// The running counts of earlier eras.
    pub earlier_running: Vec<&'a Row>,
    /// The frozen windows of the era.
    pub frozen: Vec<&'a Row>,
    /// The frozen windows of earlier eras.
    pub earlier_frozen: Vec<(&'a Row, FrozenKey)>,
}

/// Classifies rows by content and era. Rows of later eras are ignored.
pub(super) fn classify(rows: &[Row], era: Era) -> UsageRows<'_> {
    let mut classified = UsageRows::default();
    for row in rows {
        match (table::split_key(&row.key), FrozenKey::parse(&row.key)) {
            (_, Some(key)) if key.era == era => classified.frozen.push(row),
            (_, Some(key)) if key.era < era => classified.earlier_frozen.push((row, key)),
            (Some((RUNNING_KEY, of)), _) if of == era => classified.running = Some(row),
            (Some((RUNNING_KEY, of)), _) if of < era => classified.earlier_running.push(row),
            _ => {}
        }
    }
    classified
}

/// Returns the key of the running counts of an era.
pub(super) fn make_running_key(era: Era) -> String {
    table::era_key(RUNNING_KEY, era)
}

/// The row key of a frozen window.
pub(super) struct FrozenKey {
    /// The window.
    pub window: WindowNumber,
    /// The era in which the row was written.
    pub era: Era,
}

impl FrozenKey {
    /// Encodes the key.
    pub fn encode(&self) -> String {
        table::era_key(&format!("{:020}", self.window), self.era)
    }

    /// Parses a key; returns `None` if it is the key of another kind of row.
    pub fn parse(key: &str) -> Option<Self> {
        let (window, era) = table::split_key(key)?;
        Some(Self { window: window.parse().ok()?, era })
    }
}

/// Encodes running counts as the value of one row. Most counts are small, so compression reduces
/// them to a fraction of the bytes.
pub fn encode_running(kept: &LedgerSnapshot) -> Option<Vec<u8>> {
    let encoded = postcard::to_stdvec(kept);
    let encoded = encoded
        .inspect_err(|error| log::error!("failed to encode the running usage counts: {error}"));
    Some(document::compress(&encoded.ok()?).to_vec())
}

/// Decodes running counts; returns `None` if they are malformed.
pub(super) fn decode_running(row: &Row) -> Option<LedgerSnapshot> {
    postcard::from_bytes(&document::decompress(row.value.as_deref()?)?).ok()
}

/// Decodes the row of a frozen window; returns `None` if it is another kind of row or malformed.
pub(super) fn decode(row: &Row) -> Option<(WindowNumber, Counts)> {
    let counts = serde_json::from_slice(row.value.as_deref()?).ok()?;
    Some((FrozenKey::parse(&row.key)?.window, counts))
}
