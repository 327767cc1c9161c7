//! Scale in: returns idle, faulty and lost machines to the cloud.

use super::Leader;
use super::cloud_calls::PlannedCall;
use crate::assignments::{self, AssignmentState, CommitPriority};
use crate::partitions::Partitions;
use crate::types::{Duration, MachineId, MonotonicTime};
use crate::workers::{Machine, MachineStatus, Outcome};
use pearford_recovery::LeaderAction;

impl Leader {
    /// The call to the cloud that returns machines now, if there are any to return.
    pub(super) fn plan_returns(&mut self, now: MonotonicTime) -> Option<PlannedCall> {
        if self.heartbeat_collection.allows(LeaderAction::ScaleIn) {
            self.begin_idle_returns(now);
        }
        let releasing = self.machines.iter().filter(|machine| machine.status == MachineStatus::Releasing);
        self.cloud.release(releasing.map(|machine| machine.id.clone()), now)
    }

    /// Begins the return of machines that have been idle for `idle_return_s`, and of empty draining ones.
    fn begin_idle_returns(&mut self, now: MonotonicTime) {
        let idle_limit = Duration::from_secs_f64(self.settings.operator.idle_return_s);
        for machine in self.machines.iter_mut() {
            if should_return(machine, idle_limit, now) {
                tracing::info!(machine = %machine.id, faulty = machine.is_draining(now), "machine is empty; returning it");
                begin_return(machine, &mut self.partitions);
            }
        }
    }

    /// Removes a machine after the cloud has confirmed that it and all its tasks are gone.
    pub(super) fn process_released_machine(&mut self, id: &MachineId, now: MonotonicTime) {
        self.cloud.release_ended(id);
        self.coordinator.forget(id);
        self.machines.mark_returned(id, now);
        self.partitions.remove(id);
        let Some(machine) = self.machines.remove(id, now) else { return };
        for (task, assignment) in &machine.assignments {
            // The outcome of a task that is done is known and being recorded.
            if assignment.state != AssignmentState::Done {
                self.task_ended_unfinished(id, task, Outcome::Vanished, now);
            }
        }
        self.commits.unmark_changed(id);
        let key = assignments::key(id);
        if self.commits.is_stored_or_queued(&key) {
            self.commits.put(&key, None, CommitPriority::Normal);
        }
    }
}

/// Begins the return of a machine: no new tasks are placed on it.
pub(super) fn begin_return(machine: &mut Machine, partitions: &mut Partitions) {
    machine.status = MachineStatus::Releasing;
    partitions.remove(&machine.id);
}

fn should_return(machine: &Machine, idle_limit: Duration, now: MonotonicTime) -> bool {
    let empty = machine.assignments.is_empty() && machine.unknown_tasks.is_empty();
    let idle_for = machine.empty_since.map(|since| now.since(since)).unwrap_or_default();
    machine.status == MachineStatus::Up && empty && (idle_for >= idle_limit || machine.is_draining(now))
}
