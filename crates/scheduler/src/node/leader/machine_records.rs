//! Machine records: writes what is stored of each machine, and sends starts once the record is durable.

use super::Leader;
use crate::assignments::{self, AssignmentState, CommitPriority, WriteVersion};
use crate::jobs::JobType;
use crate::types::{Duration, MachineId, MonotonicTime, TaskId};
use crate::workers::Machine;

/// How long no task is placed on a machine whose record the key-value store refuses.
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
        // A machine without tasks needs no record: its heartbeats and the cloud's list show that it exists.
        if machine.assignments.is_empty() && !self.commits.is_stored_or_queued(&key) {
            return;
        }
        let Some(value) = machine.record().to_value(self.settings.state.value_bytes) else {
            tracing::debug!(machine = %id, "machine record is too large; keeping the stored version");
            return;
        };
        let planned = newly_planned(machine);
        let version = self.commits.put(&key, Some(value), self.record_priority(&planned));
        let Some(machine) = self.machines.get_mut(id) else { return };
        for task in planned {
            machine.planned_writes.insert(task, version);
        }
    }

    /// A record with planned tasks is urgent, since their starts wait for it. A record from which tasks were
    /// only removed is not: a later leader that reads the old version proves again that they are gone.
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

    /// A version of a machine's record is durable: the starts that waited for it may be sent.
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

    /// Handles a machine record that the key-value store refuses permanently. The stored version is kept.
    /// Planned tasks, whose starts depend on the new version, are removed, and no task is placed on the
    /// machine for [`UNWRITABLE_PAUSE`].
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

/// Planned tasks that are not in any queued record of the machine yet.
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
