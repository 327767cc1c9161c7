//! Consecutive failures of a job's tasks, and whether the job or its machines are at fault.

use crate::types::MachineId;

/// Number of consecutive failures of a job from which on further ones don't count against their machines.
const JOB_FAULT_THRESHOLD: u32 = 4;

/// What a failure of a task is attributed to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailureCause {
    /// Presumably the machine: the failure counts against it.
    Machine,
    /// The job: its tasks fail on every machine.
    Job {
        /// Machines against which earlier failures of the job counted. They no longer do.
        exonerated: Vec<MachineId>,
    },
    /// The job or the machine: the failure counts against neither.
    Unknown,
}

/// The failures of a job since one of its tasks was last done.
#[derive(Debug, Clone, Default)]
pub struct FailureHistory {
    consecutive: u32,
    /// Machines against which its failures count.
    blamed_machines: Vec<MachineId>,
    /// Whether the job was found to be at fault.
    job_at_fault: bool,
}

impl FailureHistory {
    /// Number of consecutive failures.
    pub fn consecutive(&self) -> u32 {
        self.consecutive
    }

    /// Records that a task failed on `machine`, and returns the cause. `has_worked`: whether any task of the
    /// job is done, or running on another machine. A job that has not, and that fails on several machines in a
    /// row, fails everywhere.
    pub fn record_failure(&mut self, machine: &MachineId, has_worked: impl FnOnce() -> bool) -> FailureCause {
        self.consecutive += 1;
        if self.job_at_fault {
            return FailureCause::Job { exonerated: Vec::new() };
        }
        let failed_elsewhere = self.blamed_machines.iter().any(|blamed| blamed != machine);
        if failed_elsewhere && !has_worked() {
            self.job_at_fault = true;
            return FailureCause::Job { exonerated: self.exonerate_machines() };
        }
        if self.consecutive >= JOB_FAULT_THRESHOLD {
            return FailureCause::Unknown;
        }
        if !self.blamed_machines.contains(machine) {
            self.blamed_machines.push(machine.clone());
        }
        FailureCause::Machine
    }

    /// Records that a task of the job is done.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Removes and returns the machines against which its failures counted.
    pub fn exonerate_machines(&mut self) -> Vec<MachineId> {
        std::mem::take(&mut self.blamed_machines)
    }
}

#[cfg(test)]
mod tests;
