//! The rows in which the holder of the duties keeps usage.
//!
//! A frozen window has a row for each era of the table service, and so have the running counts of the windows that are
//! not reported yet.

use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::usage::{Counts, LedgerSnapshot, WindowNumber};

use super::{document, table};
use crate::port::Row;

/// The table of these rows.
pub(super) const TABLE: &str = "usage";
/// The key of the running counts.
const RUNNING_KEY: &str = "running";

/// The rows of an era, and those of earlier ones.
#[derive(Default)]
pub(super) struct Sorted<'a> {
    /// The running counts of the era.
    pub running: Option<&'a Row>,
    /// The running counts of earlier eras.
    pub earlier_running: Vec<&'a Row>,
    /// The frozen windows of the era.
    pub frozen: Vec<&'a Row>,
    /// The frozen windows of earlier eras.
    pub earlier_frozen: Vec<(&'a Row, FrozenKey)>,
}

/// Sorts rows by what they hold and whether they are of an era; those of later ones are left out.
pub(super) fn sort(rows: &[Row], era: Era) -> Sorted<'_> {
    let mut sorted = Sorted::default();
    for row in rows {
        match (table::split_key(&row.key), FrozenKey::parse(&row.key)) {
            (_, Some(key)) if key.era == era => sorted.frozen.push(row),
            (_, Some(key)) if key.era < era => sorted.earlier_frozen.push((row, key)),
            (Some((RUNNING_KEY, of)), _) if of == era => sorted.running = Some(row),
            (Some((RUNNING_KEY, of)), _) if of < era => sorted.earlier_running.push(row),
            _ => {}
        }
    }
    sorted
}

/// Makes the key of the running counts of an era.
pub(super) fn make_running_key(era: Era) -> String {
    table::era_key(RUNNING_KEY, era)
}

/// The key of a frozen window's row.
pub(super) struct FrozenKey {
    /// The window.
    pub window: WindowNumber,
    /// The era in which it was written.
    pub era: Era,
}

impl FrozenKey {
    /// Encodes the key.
    pub fn encode(&self) -> String {
        table::era_key(&format!("{:020}", self.window), self.era)
    }

    /// Parses a key; `None` where it is that of another row.
    pub fn parse(key: &str) -> Option<Self> {
        let (window, era) = table::split_key(key)?;
        Some(Self { window: window.parse().ok()?, era })
    }
}

/// Encodes counts for one row: most of them are small, and packed they take a fraction of the bytes.
pub fn encode_running(kept: &LedgerSnapshot) -> Option<Vec<u8>> {
    let encoded = postcard::to_stdvec(kept);
    let encoded =
        encoded.inspect_err(|error| log::error!("running counts cannot be encoded: {error}"));
    Some(document::pack(&encoded.ok()?).to_vec())
}

/// Decodes running counts; `None` where they cannot be read.
pub(super) fn decode_running(row: &Row) -> Option<LedgerSnapshot> {
    postcard::from_bytes(&document::unpack(row.value.as_deref()?)?).ok()
}

/// Decodes the row of a frozen window; `None` where it is another row or cannot be read.
pub(super) fn decode(row: &Row) -> Option<(WindowNumber, Counts)> {
    let counts = serde_json::from_slice(row.value.as_deref()?).ok()?;
    Some((FrozenKey::parse(&row.key)?.window, counts))
}
