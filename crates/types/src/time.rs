//! Durations and points in time, in milliseconds.

use crate::macros::number_type;
use serde::{Deserialize, Serialize};
use std::ops::Add;

/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1000.0;

number_type!(
    /// Wall-clock time in milliseconds since 1970.
    WallTime
);

/// A point on this process's monotonic clock, in milliseconds from an arbitrary origin. Never stored or
/// sent, since it has no meaning in another process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// The point `millis` milliseconds after the clock's origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the clock's origin.
    pub fn as_millis(self) -> u64 {
        self.0
    }

    /// Time passed since `earlier`; zero if that lies in the future.
    pub fn since(self, earlier: MonotonicTime) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }

    /// The point `duration` earlier, or the clock's origin if that is later.
    pub fn before(self, duration: Duration) -> MonotonicTime {
        MonotonicTime(self.0.saturating_sub(duration.0))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = MonotonicTime;

    fn add(self, duration: Duration) -> MonotonicTime {
        MonotonicTime(self.0.saturating_add(duration.0))
    }
}

/// A length of time in whole milliseconds, serialised as a plain number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Duration(pub u64);

impl Duration {
    /// A length of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// A length of `seconds`, rounded down to milliseconds; zero if negative or not a number.
    pub fn from_secs_f64(seconds: f64) -> Self {
        Self((seconds.max(0.0) * MILLIS_PER_SECOND) as u64)
    }

    /// The length in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MILLIS_PER_SECOND
    }

    /// The length multiplied by `factor`, rounded down to milliseconds.
    pub fn times(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }
}

impl Add for Duration {
    type Output = Duration;

    fn add(self, other: Duration) -> Duration {
        Duration(self.0 + other.0)
    }
}

impl From<Duration> for std::time::Duration {
    fn from(duration: Duration) -> Self {
        Self::from_millis(duration.0)
    }
}

#[cfg(test)]
mod tests;
