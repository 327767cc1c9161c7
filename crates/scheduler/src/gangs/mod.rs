//! Gangs: all tasks of an attempt run at the same time or none does.

use crate::jobs::{JobSpec, JobState};
use crate::types::{Attempt, FencingToken};

/// Numbers for attempts, unique over all leaders: the fence is in the upper bits, so a number is
/// never used again even though the counter lives in memory only.
#[derive(Debug)]
pub struct Attempts {
    next: u64,
}

const COUNTER_BITS: u32 = 20;

impl Attempts {
    pub fn new(fencing_token: FencingToken) -> Self {
        Self { next: fencing_token.0 << COUNTER_BITS }
    }
    pub fn issue(&mut self) -> Attempt {
        self.next += 1;
        Attempt(self.next)
    }
}

/// Whether a gang's attempt can't go on: some of its tasks are placed, others are gone. The rest
/// must leave before the next attempt.
pub fn broken(job_state: &JobState) -> bool {
    job_state.is_gang()
        && !job_state.placed().is_empty()
        && !job_state.all_done()
        && job_state.waiting_count() > 0
}

/// The grace an orderly stop needs for a save: 0 where nothing is ever saved.
pub fn save_grace_s(spec: &JobSpec) -> f64 {
    if spec.checkpoint.0 == 0 { 0.0 } else { spec.save.as_secs_f64() + 1.0 }
}

#[cfg(test)]
mod tests;
