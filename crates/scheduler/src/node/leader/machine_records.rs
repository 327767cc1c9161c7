//! Machines' records: what is stored of each machine, and what a durable record allows.

use super::Leader;
use crate::assignments::{self, AssignmentState, CommitPriority, WriteVersion};
use crate::jobs::JobType;
use crate::types::{Duration, MachineId, MonotonicTime, TaskId};
use crate::workers::Machine;

/// How long nothing is placed on a machine whose record the key-value store refuses.
const UNWRITABLE_PAUSE: Duration = Duration::from_millis(30_000);

impl Leader {
    /// Queues the records of all machines that have changed.
    pub(super) fn write_records(&mut self) {
        for id in self.commits.take_changed() {
            if !self.machines.is_unreadable(&id) {
                self.write_record(&id);
            }
        }
    }

    fn write_record(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get(id) else { return };
        let key = assignments::key(id);
        // A machine without tasks needs no record: its heartbeats and the cloud's list show it.
        if machine.assignments.is_empty() && !self.commits.is_stored_or_queued(&key) {
            return;
        }
        let Some(value) = machine.record().to_value(self.settings.state.value_bytes) else {
            tracing::debug!(machine = %id, "its record is too large to be written anew; stays as stored");
            return;
        };
        let planned = newly_planned(machine);
        let version = self.commits.put(&key, Some(value), self.record_priority(&planned));
        let Some(machine) = self.machines.get_mut(id) else { return };
        for task in planned {
            machine.planned_writes.insert(task, version);
        }
    }

    /// Starts wait for a record with planned tasks; what has only left is proved gone again by
    /// whoever reads the record.
    fn record_priority(&self, planned: &[TaskId]) -> CommitPriority {
        let is_replica = |task: &TaskId| {
            let job_state = self.job_states.get(&task.job);
            job_state.is_some_and(|job_state| job_state.job.spec.job_type == JobType::Service)
        };
        if planned.is_empty() {
            CommitPriority::Background
        } else if planned.iter().any(is_replica) {
            CommitPriority::Critical
        } else {
            CommitPriority::Urgent
        }
    }

    /// A version of a machine's record is durable: the starts that waited for it may leave.
    pub(super) fn record_durable(&mut self, id: &MachineId, version: WriteVersion) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let durable = machine.planned_writes.iter().filter(|(_, needed)| **needed <= version);
        let durable: Vec<TaskId> = durable.map(|(task, _)| task.clone()).collect();
        for task in durable {
            machine.planned_writes.remove(&task);
            if let Some(assignment) = machine.assignments.get_mut(&task)
                && assignment.state == AssignmentState::Planned
            {
                assignment.state = AssignmentState::Ready;
                self.worker_calls.queue_commands(id.clone());
            }
        }
    }

    /// The key-value store refuses a value for good. What is stored stays; starts that depended on
    /// the new value are taken back, and nothing new goes to the machine for a while.
    pub(super) fn record_refused(&mut self, key: &str, now: MonotonicTime) {
        let Some(id) = key.strip_prefix(assignments::PREFIX).map(MachineId::from) else { return };
        let Some(machine) = self.machines.get_mut(&id) else { return };
        machine.no_placement_before = now + UNWRITABLE_PAUSE;
        let planned =
            machine.assignments.iter().filter(|(_, assignment)| assignment.state == AssignmentState::Planned);
        let planned: Vec<TaskId> = planned.map(|(task, _)| task.clone()).collect();
        for task in planned {
            self.stop_task(&id, &task, 0.0, now);
        }
        self.commits.unmark_changed(&id);
    }
}

/// Planned tasks that no queued record of the machine has yet.
fn newly_planned(machine: &Machine) -> Vec<TaskId> {
    machine
        .assignments
        .iter()
        .filter(|(task, assignment)| {
            assignment.state == AssignmentState::Planned && !machine.planned_writes.contains_key(*task)
        })
        .map(|(task, _)| task.clone())
        .collect()
}
