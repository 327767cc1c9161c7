//! Gang scheduling: all tasks of an attempt run at the same time or none does. Used by the leader.

mod attempts;

pub use attempts::Attempts;

use crate::jobs::{JobSpec, JobState};

/// Seconds of grace in addition to the time that a checkpoint takes to save.
const SAVE_MARGIN_S: f64 = 1.0;

/// Whether a gang's attempt can't go on: some of its tasks are placed and others are gone. Those that remain
/// must be stopped before the next attempt.
pub fn broken(job_state: &JobState) -> bool {
    job_state.is_gang()
        && !job_state.placed().is_empty()
        && !job_state.all_done()
        && job_state.waiting_count() > 0
}

/// Seconds of grace that a graceful stop needs for saving a checkpoint; 0 if the job never saves one.
pub fn save_grace_s(spec: &JobSpec) -> f64 {
    let saves_checkpoints = spec.checkpoint_interval.0 > 0;
    if saves_checkpoints { spec.checkpoint_duration.as_secs_f64() + SAVE_MARGIN_S } else { 0.0 }
}
