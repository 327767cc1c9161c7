//! Gang scheduling: either all tasks of an attempt run at the same time or none does. Used by the leader.

mod attempts;

pub use attempts::Attempts;

use crate::jobs::{JobSpec, JobState};

/// Seconds of grace in addition to the time that saving a checkpoint takes.
const SAVE_MARGIN_S: f64 = 1.0;

/// Whether a gang's attempt can't complete, because some of its tasks are placed and others are gone. The
/// remaining tasks must be stopped before the next attempt.
pub fn is_broken(job_state: &JobState) -> bool {
    job_state.is_gang()
        && !job_state.placed().is_empty()
        && !job_state.all_done()
        && job_state.waiting_count() > 0
}

/// Seconds of grace that a stop needs to save a checkpoint; 0 if the job never saves one.
pub fn save_grace_s(spec: &JobSpec) -> f64 {
    let saves_checkpoints = spec.checkpoint_interval.0 > 0;
    if saves_checkpoints { spec.checkpoint_duration.as_secs_f64() + SAVE_MARGIN_S } else { 0.0 }
}
