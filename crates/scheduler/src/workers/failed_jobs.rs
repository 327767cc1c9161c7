//! The failures that count against a machine, and whether it is faulty because of them.

use crate::types::{Duration, JobId, MonotonicTime};

/// Number of different jobs that must fail on a machine, without a task done in between, for the machine to
/// count as faulty.
const MACHINE_FAULT_THRESHOLD: usize = 2;
/// Maximum number of jobs that are remembered for a machine.
const MAX_FAILED_JOBS: usize = 8;
/// How long a machine counts as faulty after its last failure. Then it is tried again, as the jobs may have been
/// at fault: a job must not wait for 90 s while a machine has room for it.
const FAULTY_FOR: Duration = Duration::from_millis(60_000);

/// Jobs whose failures count against a machine since a task was last done there.
#[derive(Debug, Default)]
pub struct FailedJobs {
    jobs: Vec<JobId>,
    last_failure_at: MonotonicTime,
}

impl FailedJobs {
    /// Records that a failure of `job` counts against the machine.
    pub fn record(&mut self, job: &JobId, now: MonotonicTime) {
        self.last_failure_at = now;
        if self.jobs.contains(job) {
            return;
        }
        if self.jobs.len() >= MAX_FAILED_JOBS {
            self.jobs.remove(0);
        }
        self.jobs.push(job.clone());
    }

    /// Removes a job whose failures no longer count.
    pub fn remove(&mut self, job: &JobId) {
        self.jobs.retain(|failed| failed != job);
    }

    /// Removes all jobs, since a task is done on the machine.
    pub fn clear(&mut self) {
        self.jobs.clear();
    }

    /// Whether the machine counts as faulty and accepts no new tasks.
    pub fn is_faulty(&self, now: MonotonicTime) -> bool {
        self.jobs.len() >= MACHINE_FAULT_THRESHOLD && now.since(self.last_failure_at) < FAULTY_FOR
    }
}

#[cfg(test)]
mod tests;
