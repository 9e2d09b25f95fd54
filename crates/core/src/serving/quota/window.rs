//! What a client account used in the latest window.

use std::collections::VecDeque;

use crate::Millis;

/// Units are kept together for this long: a window of 8 s holds 160 sums.
const SLOT: Millis = 50;

/// Units that were consumed lately, by time. Those that other nodes consumed count from when they
/// were reported, and so leave the window late.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    slots: VecDeque<(Millis, i64)>,
    sum: i64,
}

impl Window {
    /// Adds units; refunded ones are negative.
    pub fn add(&mut self, now: Millis, units: i64) {
        let slot = now - now % SLOT;
        self.sum += units;
        match self.slots.back_mut() {
            // Clocks are steady, but reports of one moment come in any order.
            Some((last, sum)) if *last >= slot => *sum += units,
            _ => self.slots.push_back((slot, units)),
        }
    }

    /// Forgets what has left a window of a length.
    pub fn expire(&mut self, now: Millis, length: Millis) {
        while let Some((slot, units)) = self.slots.front().copied() {
            if slot + SLOT + length > now {
                return;
            }
            self.sum -= units;
            self.slots.pop_front();
        }
    }

    /// Returns the units in the window.
    pub fn get_sum(&self) -> f64 {
        self.sum as f64
    }

    /// Returns the milliseconds after which so many units have left a window of a length.
    pub fn get_wait(&self, now: Millis, length: Millis, units: f64) -> Millis {
        let mut left = units;
        for (slot, sum) in &self.slots {
            left -= *sum as f64;
            if left <= 0.0 {
                return (slot + SLOT + length).saturating_sub(now);
            }
        }
        length
    }
}
