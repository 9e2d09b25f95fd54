//! The answers that are being passed on, so that callers that do not read are found.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, Weak};

use super::feed::Feed;
use crate::runtime::lock;

/// The feeds of a node, by their ids.
#[derive(Default)]
pub struct Feeds(Mutex<Known>);

#[derive(Default)]
struct Known {
    last_id: u64,
    feeds: HashMap<u64, Weak<Feed>>,
}

impl Feeds {
    /// Adds the feed that `make` returns for a new id.
    pub(super) fn add(&self, make: impl FnOnce(u64) -> Feed) -> Arc<Feed> {
        let mut known = lock(&self.0);
        known.last_id += 1;
        let id = known.last_id;
        let feed = Arc::new(make(id));
        known.feeds.insert(id, Arc::downgrade(&feed));
        feed
    }

    /// Removes a feed.
    pub(super) fn remove(&self, id: u64) {
        lock(&self.0).feeds.remove(&id);
    }

    /// Lists the feeds that are still in use.
    pub(super) fn list(&self) -> Vec<Arc<Feed>> {
        lock(&self.0).feeds.values().filter_map(Weak::upgrade).collect()
    }
}
