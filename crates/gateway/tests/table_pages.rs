//! Reading a table page by page, from a table service whose pages may not continue one another.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use keeljunction_gateway::port::{Row, RowRange, Rows, Table, TableError, TableName};
use keeljunction_gateway::runtime::{self, lock};

const TIMEOUT: Duration = Duration::from_secs(2);
/// Calls that a faulty table service may cost: the pages of a table ten times as long as the server
/// list of the largest deployment.
const MAX_CALLS: usize = 256;
/// Memory that the rows of a table may take.
const MAX_BYTES: usize = 64 << 20;

/// What a read of a whole table came to.
struct Outcome {
    rows: Result<Rows, TableError>,
    calls: usize,
    ranges: Vec<RowRange>,
}

impl Outcome {
    fn get_keys(&self) -> Option<Vec<&str>> {
        let rows = self.rows.as_ref().ok()?;
        Some(rows.rows.iter().map(|row| row.key.as_str()).collect())
    }
}

/// Creates a page with these keys.
fn page(keys: &[&str], has_more: bool) -> Rows {
    let row = |key: &&str| Row {
        key: (*key).to_owned(),
        value: Some(b"{}".to_vec()),
        version: Default::default(),
    };
    Rows { rows: keys.iter().map(row).collect(), has_more, ..Rows::default() }
}

/// Reads a table whose pages are those that `answer` returns for each call and its number.
fn read(answer: impl Fn(usize, &RowRange) -> Rows + Send + Sync + 'static) -> Outcome {
    let calls = Arc::new(AtomicUsize::new(0));
    let ranges = Arc::new(Mutex::new(Vec::new()));
    let (counted, asked) = (calls.clone(), ranges.clone());
    let table = Table {
        read_range: Box::new(move |range| {
            let call = counted.fetch_add(1, Ordering::SeqCst);
            let page = answer(call, &range);
            lock(&asked).push(range);
            // Ends a read that does not end by itself.
            let result = match call < 2 * MAX_CALLS {
                true => Ok(page),
                false => Err(TableError::Refused(599)),
            };
            Box::pin(async move { result })
        }),
        watch: Box::new(|_, _, _| Box::pin(async { Err(TableError::HistoryGone) })),
        commit: Box::new(|_| Box::pin(async { Err(TableError::HistoryGone) })),
    };
    let rows = runtime::run(1, async move {
        let first = table.read_first(TableName::Servers, TIMEOUT).await?;
        table.read_rest(TableName::Servers, TIMEOUT, first).await
    });
    let ranges = lock(&ranges).clone();
    Outcome { rows, calls: calls.load(Ordering::SeqCst), ranges }
}

fn is_refused(outcome: &Outcome) -> bool {
    let error = outcome.rows.as_ref().err();
    error.is_some_and(|error| *error != TableError::Refused(599))
}

#[test]
fn pages_that_continue_one_another_are_one_table() {
    let outcome = read(|call, _| match call {
        0 => page(&["a", "b&c"], true),
        1 => page(&["b+", "c"], true),
        _ => page(&["d"], false),
    });
    assert_eq!(outcome.get_keys(), Some(vec!["a", "b&c", "b+", "c", "d"]));
    let from: Vec<&str> = outcome.ranges.iter().map(|range| range.from.as_str()).collect();
    assert_eq!(from, ["", "b&c\0", "c\0"]);
}

#[test]
fn the_same_page_again_ends_the_read() {
    let outcome = read(|_, _| page(&["a", "b"], true));
    assert!(is_refused(&outcome), "{:?}", outcome.rows);
    assert_eq!(outcome.calls, 2);
}

#[test]
fn an_earlier_page_ends_the_read() {
    let outcome = read(|call, _| match call {
        0 => page(&["a", "b"], true),
        1 => page(&["c", "d"], true),
        _ => page(&["a", "b"], true),
    });
    assert!(is_refused(&outcome), "{:?}", outcome.rows);
    assert_eq!(outcome.calls, 3);
}

#[test]
fn rows_of_an_earlier_page_are_not_kept_twice() {
    let outcome = read(|call, _| match call {
        0 => page(&["a", "b"], true),
        _ => page(&["b", "c"], false),
    });
    assert_eq!(outcome.get_keys(), Some(vec!["a", "b", "c"]));
}

// Guards against a table whose rest is taken to be empty.
#[test]
fn an_empty_page_that_announces_more_ends_the_read() {
    for first in [&[][..], &["a", "b"]] {
        let outcome = read(move |call, _| match call {
            0 => page(first, true),
            _ => page(&[], true),
        });
        assert!(is_refused(&outcome), "{:?}", outcome.rows);
        assert!(outcome.calls <= 2, "{} calls", outcome.calls);
    }
}

#[test]
fn pages_without_end_cost_a_bounded_number_of_calls() {
    let outcome = read(|call, _| page(&[&format!("{call:08}")], true));
    assert!(is_refused(&outcome), "{:?}", outcome.rows.map(|rows| rows.rows.len()));
    assert!(outcome.calls <= MAX_CALLS, "{} calls", outcome.calls);
}

#[test]
fn long_pages_without_end_take_a_bounded_amount_of_memory() {
    const PAGE_BYTES: usize = 4 << 20;
    let outcome = read(|call, _| {
        let mut page = page(&[&format!("{call:08}")], true);
        page.rows[0].value = Some(vec![b'x'; PAGE_BYTES]);
        page
    });
    assert!(is_refused(&outcome), "{:?}", outcome.rows.map(|rows| rows.rows.len()));
    assert!(outcome.calls <= MAX_BYTES / PAGE_BYTES + 1, "{} calls", outcome.calls);
}
