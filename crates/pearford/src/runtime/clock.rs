//! The clocks that the event loop reads for each step of the controller.

use pearford_scheduler::node::Now;
use pearford_scheduler::types::{self, MonotonicTime, WallTime};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The monotonic time at the node's start, in milliseconds. Above 0, so that times that stand for "never" lie
/// in the past.
const MONOTONIC_START_MS: u64 = 1_000_000;

/// The node's monotonic and wall clocks.
pub(super) struct NodeClock {
    started: Instant,
}

impl NodeClock {
    /// A clock whose monotonic time begins now.
    pub(super) fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// The current time for a step; `last_step` is the duration of the previous step.
    pub(super) fn now(&self, last_step: Duration) -> Now {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Now {
            monotonic: MonotonicTime::from_millis(whole_millis(self.started.elapsed()) + MONOTONIC_START_MS),
            wall_time: WallTime(since_epoch.map(whole_millis).unwrap_or(0)),
            last_step_duration: types::Duration::from_millis(whole_millis(last_step)),
        }
    }
}

/// `duration` in milliseconds, rounded down.
fn whole_millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
