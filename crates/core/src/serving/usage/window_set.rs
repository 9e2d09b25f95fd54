//! A compact set of recent windows.

use serde::{Deserialize, Serialize};

use super::WindowNumber;

/// A compact set of windows: the last one, and a bit mask of those before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowSet {
    last: WindowNumber,
    /// Bit `k` is the window `k` windows before the last one.
    mask: u64,
}

impl WindowSet {
    /// The number of windows that a set can span, including its last one.
    pub const SPAN: u64 = u64::BITS as u64;

    /// Returns `true` if the set contains a window.
    pub fn contains(&self, window: WindowNumber) -> bool {
        let offset = self.last.checked_sub(window).and_then(|offset| u32::try_from(offset).ok());
        offset.is_some_and(|offset| self.mask.checked_shr(offset).unwrap_or(0) & 1 == 1)
    }

    /// Iterates over the windows, the last one first.
    pub fn iter(&self) -> impl Iterator<Item = WindowNumber> {
        let set = *self;
        let windows = (0..Self::SPAN).filter_map(move |offset| set.last.checked_sub(offset));
        windows.filter(move |window| set.contains(*window))
    }
}

impl FromIterator<WindowNumber> for WindowSet {
    /// Creates a set of windows, leaving out those that lie [`WindowSet::SPAN`] or more before the
    /// last one.
    fn from_iter<T: IntoIterator<Item = WindowNumber>>(windows: T) -> Self {
        let windows: Vec<WindowNumber> = windows.into_iter().collect();
        let last = windows.iter().max().copied().unwrap_or(0);
        let bit = |window: &WindowNumber| {
            let offset = u32::try_from(last - window).unwrap_or(u32::MAX);
            1u64.checked_shl(offset).unwrap_or(0)
        };
        let mask = windows.iter().map(bit).fold(0, |all, bit| all | bit);
        Self { last, mask }
    }
}
