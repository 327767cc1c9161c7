//! Attributes failures of tasks to their machine or to their job, and withdraws failures that turn out to be
//! the job's from the machines that they counted against.

use super::Leader;
use crate::assignments::Assignment;
use crate::jobs::{FailureCause, JobState, JobType};
use crate::placement::PlacementOutcome;
use crate::types::{Duration, JobId, MachineId, MonotonicTime, TaskId};

/// Number of consecutive failures of a job's tasks from which the job's next start is delayed.
const FAILURES_BEFORE_DELAY: u32 = 3;
/// Half of the first such delay, in milliseconds; each further failure doubles the delay.
const FAILURE_DELAY_MS: u64 = 250;
/// Upper bound on the number of doublings.
const MAX_DELAY_DOUBLINGS: u32 = 7;

impl Leader {
    /// Processes the failure of one of a job's tasks on a machine.
    pub(super) fn task_failed(&mut self, machine: &MachineId, job: &JobId, now: MonotonicTime) {
        let Some(job_state) = self.job_states.get_mut(job) else { return };
        let mut failures = std::mem::take(&mut job_state.failures);
        let cause = failures.record_failure(machine, || self.works_elsewhere(job, machine));
        let Some(job_state) = self.job_states.get_mut(job) else { return };
        job_state.not_before = now + failure_delay(failures.consecutive());
        job_state.failures = failures;
        match cause {
            FailureCause::Machine => {
                let kind = job_state.job.spec.kind.clone();
                let outcome = PlacementOutcome { machine: machine.clone(), kind, success: false };
                self.broadcaster.add_outcome(outcome);
                self.blame_machine(machine, job, now);
            }
            FailureCause::Job { exonerated } if exonerated.is_empty() => {}
            FailureCause::Job { exonerated } => {
                tracing::info!(%job, "the job failed on several machines in a row; not counting this against them");
                self.exonerate_machines(job, &exonerated, now);
            }
            FailureCause::Unknown => {}
        }
    }

    /// Removes the failures of a job from the machines that they counted against.
    pub(super) fn exonerate_machines(&mut self, job: &JobId, machines: &[MachineId], now: MonotonicTime) {
        for id in machines {
            let Some(machine) = self.machines.get_mut(id) else { continue };
            let was_faulty = machine.failed_jobs.is_faulty(now);
            machine.failed_jobs.remove(job);
            if was_faulty && !machine.failed_jobs.is_faulty(now) {
                tracing::info!(machine = %id, "the machine no longer counts as faulty");
                self.capacity_version += 1;
            }
        }
    }

    /// Counts the failure against the machine. A machine on which several jobs failed counts as faulty.
    fn blame_machine(&mut self, id: &MachineId, job: &JobId, now: MonotonicTime) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let was_faulty = machine.failed_jobs.is_faulty(now);
        machine.failed_jobs.record(job, now);
        if !was_faulty && machine.failed_jobs.is_faulty(now) {
            tracing::warn!(
                machine = %id,
                "several jobs failed on this machine; draining it and returning it once it is empty"
            );
        }
    }

    /// Whether a task of the job is done, or runs on another machine than `failed_on`. That a gang's other tasks
    /// run proves nothing: they have started together with the failed one.
    fn works_elsewhere(&self, job: &JobId, failed_on: &MachineId) -> bool {
        let Some(job_state) = self.job_states.get(job) else { return false };
        if job_state.done().count() > 0 {
            return true;
        }
        job_state.job.spec.job_type != JobType::Gang && self.runs_elsewhere(job, job_state, failed_on)
    }

    fn runs_elsewhere(&self, job: &JobId, job_state: &JobState, failed_on: &MachineId) -> bool {
        let elsewhere = job_state.placed().iter().filter(|(_, machine)| *machine != failed_on);
        let mut assignments = elsewhere.filter_map(|(index, machine)| {
            let task = TaskId { job: job.clone(), index: *index };
            self.machines.get(machine)?.assignments.get(&task)
        });
        assignments.any(Assignment::is_running)
    }
}

/// How long a job's next start is delayed after `failures` consecutive failures. A single failure is more
/// likely the machine's fault; several may be the job's.
fn failure_delay(failures: u32) -> Duration {
    if failures < FAILURES_BEFORE_DELAY {
        return Duration::from_millis(0);
    }
    let doublings = (failures - (FAILURES_BEFORE_DELAY - 1)).min(MAX_DELAY_DOUBLINGS);
    Duration::from_millis(FAILURE_DELAY_MS << doublings)
}

#[cfg(test)]
mod tests;
