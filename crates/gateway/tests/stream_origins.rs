//! The size of the records that nodes send each other for streams.

use std::sync::Arc;

use keeljunction_core::serving::stream_origin::{
    Batch, Key, MAX_BATCHED_STREAMS, Origin, Record, Standing,
};
use keeljunction_core::serving::version_history::MAX_STREAM_AGE_MS;

fn records(count: usize) -> Vec<Record> {
    let origin = Arc::new(Origin::new("translation-large", "2026-12-03.1"));
    let record = |number: usize| Record {
        key: Key::new("acme", &number.to_string()),
        standing: Standing::Known(origin.clone()),
        expires_in: MAX_STREAM_AGE_MS,
    };
    (0..count).map(record).collect()
}

fn get_datagram_bytes(count: usize) -> Vec<usize> {
    let encode = |batches: &Vec<Batch>| postcard::to_stdvec(batches).expect("an encoding").len();
    Batch::pack(records(count)).iter().map(encode).collect()
}

#[test]
fn the_record_of_one_stream_takes_some_fifty_bytes() {
    let bytes = get_datagram_bytes(1);
    assert!(bytes.len() == 1 && bytes[0] <= 50, "{bytes:?} bytes");
}

#[test]
fn the_records_of_many_streams_take_thirteen_bytes_each_and_fit_one_packet() {
    let bytes = get_datagram_bytes(MAX_BATCHED_STREAMS);
    assert!(bytes.len() == 1 && bytes[0] <= MAX_BATCHED_STREAMS * 13 + 40, "{bytes:?} bytes");
}
