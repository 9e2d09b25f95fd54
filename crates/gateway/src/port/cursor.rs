//! The position of a read that takes several pages of a table.

use super::{Row, RowRange, Rows, TableError};

/// Maximum number of pages of a table.
const MAX_PAGES: usize = 256;
/// Maximum size of the rows of a table, in bytes of keys and values.
const MAX_TABLE_BYTES: usize = 64 << 20;

/// The position of a read that takes several pages of a table.
///
/// Each page must begin where the one before it ended. A table service that returns a page again
/// would otherwise be read without end.
#[derive(Debug)]
pub struct Cursor {
    next: RowRange,
    pages: usize,
    bytes: usize,
}

impl Cursor {
    /// Creates a cursor whose first page is a range of rows.
    pub fn new(first: RowRange) -> Self {
        Self { next: first, pages: 0, bytes: 0 }
    }

    /// Returns the range of the next page.
    pub fn get_next(&self) -> &RowRange {
        &self.next
    }

    /// Removes the rows of a page that are before its range, and moves behind the page. Returns `true`
    /// if the table continues there.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Malformed`] if the page announces more but has no row in its range, or
    /// if the table exceeds `MAX_PAGES` or `MAX_TABLE_BYTES`.
    pub fn advance(&mut self, page: &mut Rows) -> Result<bool, TableError> {
        page.rows.retain(|row| row.key >= self.next.from);
        self.pages += 1;
        self.bytes += page.rows.iter().map(count_bytes).sum::<usize>();
        if self.bytes > MAX_TABLE_BYTES {
            return Err(malformed(format!("the table exceeds {MAX_TABLE_BYTES} bytes")));
        }
        if !page.has_more {
            return Ok(false);
        }
        if self.pages == MAX_PAGES {
            return Err(malformed(format!("the table exceeds {MAX_PAGES} pages")));
        }
        let Some(last) = page.rows.last() else {
            return Err(malformed(format!("no rows from {:?} on", self.next.from)));
        };
        // The smallest key after the last one.
        self.next.from = format!("{}\0", last.key);
        Ok(true)
    }
}

fn count_bytes(row: &Row) -> usize {
    row.key.len() + row.value.as_ref().map_or(0, Vec::len)
}

fn malformed(reason: String) -> TableError {
    TableError::Malformed(reason)
}
