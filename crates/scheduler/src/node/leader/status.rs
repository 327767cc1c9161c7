//! Read access to the leader's state for operators and other parts of the node: counts, quotas, metrics.

use super::Leader;
use crate::assignments::Assignment;
use crate::jobs::{JobCounters, JobState, TaskCounts, WaitingReason};
use crate::types::{JobId, MonotonicTime, Resources, TaskId, TeamName};
use crate::workers::MachineStatus;

impl Leader {
    /// Number of done and of running tasks of a job.
    pub(in crate::node) fn counts_of_job(&self, id: &JobId) -> Option<TaskCounts> {
        let job_state = self.job_states.get(id)?;
        let running = job_state.placed().iter().filter(|(index, machine)| {
            let task = TaskId { job: id.clone(), index: **index };
            let machine = self.machines.get(machine);
            machine.and_then(|machine| machine.assignments.get(&task)).is_some_and(Assignment::is_running)
        });
        Some(TaskCounts { done: job_state.done().count(), running: running.count() as u32 })
    }

    /// Number of a job's tasks that are neither done nor placed.
    pub(in crate::node) fn waiting_task_count(&self, id: &JobId) -> Option<u32> {
        self.job_states.get(id).map(JobState::waiting_count)
    }

    /// Resources that `team` may use in addition to those that it uses now.
    pub(in crate::node) fn remaining_quota(&self, team: &TeamName) -> Option<Resources> {
        let limits = self.settings.teams.get(team)?;
        let used = self.machines.used_by(team);
        let remaining = |max: Option<f64>, used: f64| max.map_or(f64::MAX, |max| (max - used).max(0.0));
        Some(Resources {
            cpus: remaining(limits.max_cpus, used.cpus),
            gpus: remaining(limits.max_gpus, used.gpus),
            memory_gb: f64::MAX,
        })
    }

    /// Takes `changes` writes from the write budget for an extension. Returns false, and takes nothing,
    /// unless more than half of the budget is left, so that the leader's own changes can be written.
    pub(in crate::node) fn take_spare_writes(&mut self, changes: usize, now: MonotonicTime) -> bool {
        self.commits.take_spare_writes(changes, now)
    }

    /// Counts of jobs started and done under this leadership.
    pub(in crate::node) fn job_counters(&self) -> &JobCounters {
        &self.job_counters
    }

    /// Like [`Leader::job_counters`], for the end of the leadership.
    pub(in crate::node) fn into_job_counters(self) -> JobCounters {
        self.job_counters
    }

    /// Appends this leader's metrics, one per line.
    pub(in crate::node) fn metrics(&self, lines: &mut Vec<String>, now: MonotonicTime) {
        let assignments: usize = self.machines.iter().map(|machine| machine.assignments.len()).sum();
        let up = self.machines.iter().filter(|machine| machine.status == MachineStatus::Up).count();
        let waiting: u32 = self.job_states.values().map(JobState::waiting_count).sum();
        lines.push(format!("pearford_machines {}", self.machines.len()));
        lines.push(format!("pearford_machines_up {up}"));
        let draining = self.machines.iter().filter(|machine| machine.is_draining(now)).count();
        lines.push(format!("pearford_machines_draining {draining}"));
        lines.push(format!("pearford_ledger_entries {assignments}"));
        lines.push(format!("pearford_jobs_open {}", self.job_states.len()));
        lines.push(format!("pearford_tasks_waiting {waiting}"));
        lines.push(format!("pearford_journal_backlog {}", self.commits.backlog()));
        lines.push(format!("pearford_recovery_phase {}", self.heartbeat_collection.phase() as u8));
        for (node, machines) in self.coordinator.machines_by_node() {
            lines.push(format!("pearford_reports_home{{node=\"{node}\"}} {machines}"));
        }
    }

    /// Jobs with waiting tasks, the number of waiting tasks, and the reason.
    pub(in crate::node) fn waiting(&self) -> impl Iterator<Item = (&JobId, u32, WaitingReason)> {
        let waiting = self.job_states.iter().filter(|(_, job_state)| job_state.waiting_count() > 0);
        waiting.map(|(id, job_state)| (id, job_state.waiting_count(), job_state.reason))
    }
}
