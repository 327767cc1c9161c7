//! Workers' heartbeats: answers those that arrive at the leader, and applies the changes that each one makes.

use super::delegation::is_newest;
use super::{Leader, StepContext};
use crate::assignments::{self, Assignment};
use crate::jobs::{JobMilestone, JobSpec};
use crate::types::{JobId, MachineId, MonotonicTime, RequestId, Resources, TaskId};
use crate::wire::cloud::MachineType;
use crate::wire::workers::{self, Heartbeat, WorkerCommand};
use crate::workers::{
    GoneTask, HeartbeatOutcome, Machine, MachineStatus, TaskAttempt, stop_tasks_of_finished_jobs,
};
use http::StatusCode;
use pearford_recovery::RecordedState;

/// What decides whether a gang's task may start on its machine.
struct GangTask {
    task: TaskId,
    machine: MachineId,
    has_image: bool,
    waits_for_gang_fetches: bool,
}

impl Leader {
    /// Processes a heartbeat and answers it. Returns `false`, without an answer, if this node may not renew
    /// the worker's lease now.
    ///
    /// Status 200 renews the worker's lease and may carry commands, 421 names the node to which the worker is
    /// to send its heartbeats, 503 leaves the lease as it is.
    pub(in crate::node) fn answer_heartbeat(
        &mut self,
        context: &mut StepContext,
        request: RequestId,
        heartbeat: &Heartbeat,
    ) -> bool {
        if !self.may_renew(context, &heartbeat.machine) {
            return false;
        }
        if self.machines.was_returned(&heartbeat.machine) {
            context.outbox.refuse(request, StatusCode::SERVICE_UNAVAILABLE, "this machine was returned");
            return true;
        }
        if context.heartbeats_delegated && self.loaded() {
            let assigned = self.coordinator.redirect_for(&heartbeat.machine, &heartbeat.zone, context.now);
            if let Some(node) = assigned {
                context.outbox.answer(
                    request,
                    StatusCode::MISDIRECTED_REQUEST,
                    workers::redirect(Some(&node)),
                );
                return true;
            }
            let position = heartbeat.position();
            self.coordinator.heartbeat_received_here(&heartbeat.machine, position, Vec::new());
        }
        context.peers.record_zone_heartbeat(&heartbeat.zone, context.now);
        let commands = self.commands_for(context, heartbeat);
        context.outbox.answer(request, StatusCode::OK, workers::answer(self.fencing_token, &commands));
        true
    }

    /// Processes a heartbeat and returns the commands for its answer.
    ///
    /// Until the records are read, the answer only renews the worker's lease, names the fencing token and
    /// stops tasks of finished jobs: the reported tasks can't be reconciled without the records.
    fn commands_for(&mut self, context: &StepContext, heartbeat: &Heartbeat) -> Vec<WorkerCommand> {
        let may_start = self.may_start(context);
        let is_finished = |job: &JobId| context.job_cache.terminal_status(job).is_some();
        let mut commands = Vec::new();
        if self.loaded() {
            self.process_heartbeat(heartbeat, context.now);
            if let Some(machine) = self.machines.get_mut(&heartbeat.machine)
                && is_newest(machine, heartbeat)
            {
                let may_stop = |task: &TaskId| is_finished(&task.job);
                commands = machine.commands(heartbeat, may_start, may_stop, may_start);
            }
        }
        if context.lease_renewal.stops_finished_tasks() {
            stop_tasks_of_finished_jobs(heartbeat, is_finished, &mut commands);
        }
        commands
    }

    /// Whether a machine's heartbeats may be answered with 200, which renews the worker's lease.
    fn may_renew(&self, context: &StepContext, id: &MachineId) -> bool {
        let machine = self.machines.get(id);
        let unacknowledged = machine.filter(|machine| machine.has_unacknowledged_starts());
        let returned = unacknowledged.is_some_and(|machine| machine.status == MachineStatus::Releasing);
        context.in_leader_role
            && !returned
            && context.lease_renewal.leader_may_renew(unacknowledged.is_some(), context.now)
    }

    /// Applies a heartbeat, whichever node received it.
    pub(super) fn process_heartbeat(&mut self, heartbeat: &Heartbeat, now: MonotonicTime) {
        let id = &heartbeat.machine;
        if !self.machines.contains(id) {
            self.add_unexpected_machine(heartbeat, now);
        }
        let restartable = self.restartable_tasks(heartbeat);
        let Some(machine) = self.machines.get_mut(id) else { return };
        let recorded = |machine: &Machine| (machine.status, machine.worker_epoch, machine.addr.is_some());
        let before = recorded(machine);
        let outcome = machine.process_heartbeat(heartbeat, self.fencing_token, &restartable, now);
        if outcome.stale {
            return;
        }
        if recorded(machine) != before {
            self.commits.mark_changed(id.clone());
            self.capacity_version += 1;
        }
        self.machines.recount(id, now);
        self.apply_heartbeat_outcome(id, outcome, now);
    }

    /// Adds a machine whose rental the cloud has not confirmed, or not yet; it is used like any other.
    fn add_unexpected_machine(&mut self, heartbeat: &Heartbeat, now: MonotonicTime) {
        let machine_type = self.instance_offers.type_of(&heartbeat.type_name);
        let total = machine_type.map(MachineType::resources).unwrap_or_default();
        self.machines.insert(Machine::new(
            heartbeat.machine.clone(),
            heartbeat.type_name.clone(),
            heartbeat.zone.clone(),
            heartbeat.spot,
            total,
            now,
        ));
        self.commits.mark_changed(heartbeat.machine.clone());
    }

    /// Tasks with a stored assignment to the machine that start again on it if the worker no longer has them.
    /// The restart uses the stored attempt, so it needs no write, and the image is on the machine.
    ///
    /// A record may contain more tasks than the machine had, since removals are written late. So all stored
    /// assignments together must fit the machine, the team's limit and the job's zone rules; otherwise tasks
    /// that have long been placed elsewhere would be restarted here.
    fn restartable_tasks(&self, heartbeat: &Heartbeat) -> Vec<TaskId> {
        let Some(machine) = self.machines.get(&heartbeat.machine) else { return Vec::new() };
        let may_be_gone = |assignment: &Assignment| match assignment.state.recorded_state() {
            RecordedState::Inherited => heartbeat.fencing_token == self.fencing_token,
            RecordedState::Listed => heartbeat.worker_epoch > machine.worker_epoch,
            _ => false,
        };
        if !machine.assignments.values().any(may_be_gone) || !Resources::default().fits_in(&machine.free()) {
            return Vec::new();
        }
        let assignments = machine.assignments.iter();
        let may_be_gone = assignments.filter(|(_, assignment)| may_be_gone(assignment));
        may_be_gone.map(|(task, _)| task).filter(|task| self.is_restartable(machine, task)).cloned().collect()
    }

    /// Whether the rules allow a stored task to start again on its machine.
    fn is_restartable(&self, machine: &Machine, task: &TaskId) -> bool {
        let Some(job_state) = self.job_states.get(&task.job) else { return false };
        // The tasks of a gang recognise each other by their common attempt, so a gang is restarted as a whole.
        if job_state.is_gang() || job_state.finishing || job_state.done().contains(task.index) {
            return false;
        }
        let spec = &job_state.job.spec;
        let Some(team) = self.settings.teams.get(&spec.team) else { return false };
        let used = self.machines.used_by(&spec.team);
        let zones = self.tasks_by_zone(&task.job, job_state);
        let too_many_in_zone =
            spec.spread && zones.get(&machine.zone).is_some_and(|tasks| *tasks > spec.zone_cap());
        job_state.placed().get(&task.index) == Some(&machine.id)
            && assignments::within_limit(team, &used, &Resources::default())
            && !too_many_in_zone
            && !(spec.together && zones.len() > 1)
            && !self.machines.any_reports_unknown(task)
    }

    /// Updates job states and queues commands after a heartbeat has changed its machine.
    fn apply_heartbeat_outcome(&mut self, id: &MachineId, outcome: HeartbeatOutcome, now: MonotonicTime) {
        for task in outcome.started {
            self.task_began(id, &task);
        }
        for task in outcome.fetched {
            let Some(job_state) = self.job_states.get(&task.job) else { continue };
            let job = job_state.job.clone();
            let gang = job_state.is_gang();
            self.image_fetched(id, &job.spec);
            if gang {
                self.start_after_fetches(&task.job);
            }
        }
        if !outcome.restarting.is_empty() {
            let tasks = outcome.restarting.len();
            tracing::debug!(machine = %id, tasks, "tasks are gone from the worker; restarting them there");
            outcome.restarting.iter().for_each(|task| self.broadcaster.mark_changed(&task.job));
            self.worker_calls.queue_commands(id.clone());
        }
        for TaskAttempt { task, .. } in outcome.done {
            self.broadcaster.mark_changed(&task.job);
            self.task_done(id, &task, now);
        }
        for GoneTask { task, outcome } in outcome.gone {
            self.broadcaster.mark_changed(&task.job);
            self.task_ended_unfinished(id, &task, outcome, now);
        }
    }

    fn task_began(&mut self, machine: &MachineId, task: &TaskId) {
        tracing::debug!(%task, %machine, "task is running");
        self.broadcaster.mark_changed(&task.job);
        let Some(job_state) = self.job_states.get_mut(&task.job) else { return };
        if job_state.started {
            return;
        }
        job_state.started = true;
        let spec = &job_state.job.spec;
        tracing::info!(job = %task.job, class = %spec.kind, team = %spec.team, "started");
        self.job_counters.count(JobMilestone::Started, spec);
    }

    /// Records that the job's image is on the machine.
    pub(super) fn image_fetched(&mut self, id: &MachineId, spec: &JobSpec) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let machine_type = self.instance_offers.type_of(&machine.type_name);
        let cache_gb = machine_type.map_or(0.0, |machine_type| machine_type.cache_gb);
        machine.remember_image(&spec.image, spec.image_gb, cache_gb);
    }

    /// Starts a gang's tasks that waited for the others' fetches, once all of the others have their image.
    fn start_after_fetches(&mut self, job: &JobId) {
        let tasks = self.gang_tasks(job);
        if tasks.iter().any(|gang_task| !gang_task.has_image && !gang_task.waits_for_gang_fetches) {
            return;
        }
        for GangTask { task, machine: id, waits_for_gang_fetches, .. } in tasks {
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            if waits_for_gang_fetches && let Some(assignment) = machine.assignments.get_mut(&task) {
                assignment.waits_for_gang_fetches = false;
                self.worker_calls.queue_commands(id);
            }
        }
    }

    /// The placed tasks of a gang that have an assignment.
    fn gang_tasks(&self, job: &JobId) -> Vec<GangTask> {
        let Some(job_state) = self.job_states.get(job) else { return Vec::new() };
        let placed = job_state.placed().iter().filter_map(|(index, id)| {
            let task = TaskId { job: job.clone(), index: *index };
            let assignment = self.machines.get(id)?.assignments.get(&task)?;
            let has_image = assignment.has_image;
            let waits_for_gang_fetches = assignment.waits_for_gang_fetches;
            Some(GangTask { task, machine: id.clone(), has_image, waits_for_gang_fetches })
        });
        placed.collect()
    }
}

#[cfg(test)]
mod tests;
