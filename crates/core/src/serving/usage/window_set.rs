//! Some of the latest windows.

use serde::{Deserialize, Serialize};

use super::WindowNumber;

/// A set of windows, in few bytes: the last one, and which of those before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowSet {
    last: WindowNumber,
    /// Bit `k` stands for the window `k` before the last one.
    before_last: u64,
}

impl WindowSet {
    /// How many windows a set reaches back, its last one included.
    pub const SPAN: u64 = u64::BITS as u64;

    /// Returns `true` if a window is one of them.
    pub fn contains(&self, window: WindowNumber) -> bool {
        let place = self.last.checked_sub(window).and_then(|place| u32::try_from(place).ok());
        place.is_some_and(|place| self.before_last.checked_shr(place).unwrap_or(0) & 1 == 1)
    }

    /// Lists them, the last one first.
    pub fn iter(&self) -> impl Iterator<Item = WindowNumber> {
        let set = *self;
        let windows = (0..Self::SPAN).filter_map(move |place| set.last.checked_sub(place));
        windows.filter(move |window| set.contains(*window))
    }
}

impl FromIterator<WindowNumber> for WindowSet {
    /// Makes the set of some windows; those that lie [`WindowSet::SPAN`] or more before the last one are left out.
    fn from_iter<T: IntoIterator<Item = WindowNumber>>(windows: T) -> Self {
        let windows: Vec<WindowNumber> = windows.into_iter().collect();
        let last = windows.iter().max().copied().unwrap_or(0);
        let bit = |window: &WindowNumber| {
            let place = u32::try_from(last - window).unwrap_or(u32::MAX);
            1u64.checked_shl(place).unwrap_or(0)
        };
        let before_last = windows.iter().map(bit).fold(0, |all, bit| all | bit);
        Self { last, before_last }
    }
}
