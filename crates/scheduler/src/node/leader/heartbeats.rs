//! Workers' heartbeats: the answer to one that arrives here, and what each one changes.

use super::delegation::is_newest;
use super::{Leader, StepContext};
use crate::assignments::{self, Assignment};
use crate::jobs::{JobSpec, Stage};
use crate::types::{JobId, MachineId, MonotonicTime, RequestId, Resources, TaskId};
use crate::wire::cloud::MachineType;
use crate::wire::workers::{self, Heartbeat, WorkerCommand};
use crate::workers::{
    GoneTask, HeartbeatOutcome, Machine, MachineStatus, TaskAttempt, stop_tasks_of_finished_jobs,
};
use http::StatusCode;
use pearford_recovery::RecordedState;

/// A gang's task on its machine, as far as its start is concerned.
struct GangTask {
    task: TaskId,
    machine: MachineId,
    has_image: bool,
    after_fetches: bool,
}

impl Leader {
    /// Takes a heartbeat and answers it; false: this node may not speak for the controllers now.
    ///
    /// 200 renews the worker's lease and may carry commands, 421 names the node that the worker is to
    /// send its heartbeats to, 503 says nothing about its lease.
    pub(in crate::node) fn heartbeat(
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

    /// Takes a heartbeat in, and gives the commands that go with its answer.
    ///
    /// Before the records are read the worker's lease is renewed and it learns the fencing token;
    /// what it says of its tasks can only be judged afterwards.
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

    /// Takes in what a heartbeat says, whichever node has heard it.
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

    /// A rental was answered late or never: its machine is used like any other.
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

    /// Tasks stored on a machine that, should they not be there any more, start again right there:
    /// with the attempt that is stored, so that it costs no change, and where their image is.
    ///
    /// Records may name more than was there: removals are written late. So what is stored must be
    /// within the machine, the team's limit and the job's zones all together, or assignments that
    /// have long made way would come back.
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
        // A gang's tasks find one another by their attempt: it begins anew as a whole.
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

    /// Applies what a machine's heartbeat has changed, or its loss.
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
            tracing::debug!(machine = %id, tasks, "not there any more; they start again here");
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
        tracing::debug!(%task, %machine, "runs");
        self.broadcaster.mark_changed(&task.job);
        let Some(job_state) = self.job_states.get_mut(&task.job) else { return };
        if job_state.started {
            return;
        }
        job_state.started = true;
        let spec = &job_state.job.spec;
        tracing::info!(job = %task.job, class = %spec.kind, team = %spec.team, "started");
        self.served.count(Stage::Started, spec);
    }

    /// A task of a job got its image on the machine.
    pub(super) fn image_fetched(&mut self, id: &MachineId, spec: &JobSpec) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let machine_type = self.instance_offers.type_of(&machine.type_name);
        let cache_gb = machine_type.map_or(0.0, |machine_type| machine_type.cache_gb);
        machine.remember_image(&spec.image, spec.image_gb, cache_gb);
    }

    /// Once all tasks of a gang that had to fetch have their image, the others start too.
    fn start_after_fetches(&mut self, job: &JobId) {
        let tasks = self.gang_tasks(job);
        if tasks.iter().any(|gang_task| !gang_task.has_image && !gang_task.after_fetches) {
            return;
        }
        for GangTask { task, machine: id, after_fetches, .. } in tasks {
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            if after_fetches && let Some(assignment) = machine.assignments.get_mut(&task) {
                assignment.after_fetches = false;
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
            let after_fetches = assignment.after_fetches;
            Some(GangTask { task, machine: id.clone(), has_image, after_fetches })
        });
        placed.collect()
    }
}

#[cfg(test)]
mod tests;
