//! What a worker's heartbeat changes in the leader's state of its machine.
//!
//! `pearford_recovery` decides what each task's presence or absence proves; this module applies its decisions.

use super::machine::{Machine, MachineStatus, TaskAttempt};
use crate::assignments::{Assignment, AssignmentState};
use crate::types::{Duration, FencingToken, MonotonicTime, TaskId, WorkerEpoch};
use crate::wire::workers::{Heartbeat, ReportedTask};
use pearford_recovery::{Decision, Observation, Outcome, RecordedState, ReportedState, TaskExit, reconcile};
use std::collections::BTreeMap;

/// Tasks are not restarted on a machine on which more worker epochs than this have ended.
const MAX_EPOCHS_ENDED: u32 = 2;
/// How long after it was sent a start may arrive a second time.
const MAX_START_REPEAT_DELAY: Duration = Duration::from_millis(600_000);

/// A task that is proved not to be on its machine any more.
#[derive(Debug)]
pub struct GoneTask {
    /// The task.
    pub task: TaskId,
    /// How its attempt ended.
    pub outcome: Outcome,
}

/// Maximum number of done attempts that a worker has to keep because their starts may arrive again. Of more, it
/// forgets those that were started first. Bounds the size of heartbeats.
const MAX_KEPT_DONE_ATTEMPTS: usize = 128;

/// What a heartbeat changed.
#[derive(Debug, Default)]
pub struct HeartbeatOutcome {
    /// Tasks that are proved gone; their assignments have been removed.
    pub gone: Vec<GoneTask>,
    /// Tasks that are done; their assignments remain until that is recorded.
    pub done: Vec<TaskAttempt>,
    /// Tasks that are first known to have fetched their image.
    pub fetched: Vec<TaskId>,
    /// Tasks that are not on the machine any more and are restarted there.
    pub restarting: Vec<TaskId>,
    /// Tasks that have started to run.
    pub started: Vec<TaskId>,
    /// Whether the heartbeat was ignored because a newer one is known.
    pub stale: bool,
}

/// What the reconciliation of each assignment with a heartbeat depends on.
struct Reconciliation<'a> {
    heartbeat: &'a Heartbeat,
    /// This leader's fencing token.
    fencing_token: FencingToken,
    /// Tasks to restart on this machine if they are not there any more.
    restart_here: &'a [TaskId],
    /// Whether tasks may be restarted on the machine.
    restarts_allowed: bool,
    now: MonotonicTime,
}

impl Machine {
    /// Applies a heartbeat. `fencing_token` is this leader's; `restart_here`: tasks to restart on this machine
    /// if they are not there any more.
    pub fn process_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        fencing_token: FencingToken,
        restart_here: &[TaskId],
        now: MonotonicTime,
    ) -> HeartbeatOutcome {
        let mut outcome = HeartbeatOutcome::default();
        if (heartbeat.worker_epoch, heartbeat.serial) <= (self.worker_epoch, self.serial) {
            outcome.stale = true;
            return outcome;
        }
        self.update_sent_starts(heartbeat.worker_epoch, now);
        self.limit_kept_done_attempts(heartbeat);
        self.update_status(heartbeat, now);
        let reported_tasks = self.assigned_reported_tasks(heartbeat);
        let restarts_allowed = !self.is_draining(now)
            && self.spot_reclaim_at.is_none()
            && self.status == MachineStatus::Up
            && self.unknown_tasks.is_empty()
            && self.epochs_ended <= MAX_EPOCHS_ENDED;
        let reconciliation = Reconciliation { heartbeat, fencing_token, restart_here, restarts_allowed, now };
        let tasks: Vec<TaskId> = self.assignments.keys().cloned().collect();
        for task in tasks {
            let reported = reported_tasks.get(&task).copied();
            self.reconcile_assignment(task, reported, &reconciliation, &mut outcome);
        }
        outcome
    }

    /// Removes sent starts that can't be executed any more, since their worker epoch has ended or enough time
    /// has passed, and counts the ended epoch.
    fn update_sent_starts(&mut self, worker_epoch: WorkerEpoch, now: MonotonicTime) {
        if worker_epoch > self.worker_epoch {
            self.unacknowledged_starts.retain(|_, named_epoch| *named_epoch >= worker_epoch);
            self.sent_starts.clear();
            if self.worker_epoch > WorkerEpoch(0) {
                self.epochs_ended += 1;
            }
        }
        self.sent_starts.retain(|_, sent_at| now.since(*sent_at) < MAX_START_REPEAT_DELAY);
    }

    /// Removes the oldest sent starts of done attempts that the worker would have to keep beyond the limit.
    fn limit_kept_done_attempts(&mut self, heartbeat: &Heartbeat) {
        let kept = heartbeat.tasks.iter().filter_map(|reported| {
            let task_attempt = TaskAttempt::of(&reported.task()?, reported.attempt);
            let sent_at = *self.sent_starts.get(&task_attempt)?;
            let is_kept = reported.is_done() && !self.is_assigned(&task_attempt.task, reported);
            is_kept.then_some((sent_at, task_attempt))
        });
        let mut kept: Vec<(MonotonicTime, TaskAttempt)> = kept.collect();
        let excess = kept.len().saturating_sub(MAX_KEPT_DONE_ATTEMPTS);
        if excess == 0 {
            return;
        }
        kept.sort();
        for (_, task_attempt) in kept.iter().take(excess) {
            self.sent_starts.remove(task_attempt);
        }
    }

    fn update_status(&mut self, heartbeat: &Heartbeat, now: MonotonicTime) {
        self.worker_epoch = heartbeat.worker_epoch;
        self.serial = heartbeat.serial;
        self.fencing_token = heartbeat.fencing_token;
        self.addr = Some(heartbeat.addr.clone());
        self.last_heartbeat = Some(now);
        self.unanswered_probes = 0;
        if self.status == MachineStatus::Booting {
            self.status = MachineStatus::Up;
            self.empty_since = Some(now);
        }
        self.spot_reclaim_at = heartbeat.notice_s.map(|notice_s| now + Duration::from_secs_f64(notice_s));
    }

    /// The reported tasks that have an assignment. Of the others, updates `unknown_tasks` with those that must
    /// be stopped, and counts the ended ones that the worker has to keep.
    fn assigned_reported_tasks<'a>(
        &mut self,
        heartbeat: &'a Heartbeat,
    ) -> BTreeMap<TaskId, &'a ReportedTask> {
        let mut assigned = BTreeMap::new();
        let mut kept = 0;
        let mut kept_done = 0;
        self.unknown_tasks.clear();
        for reported in &heartbeat.tasks {
            let Some(task) = reported.task() else { continue };
            if self.is_assigned(&task, reported) {
                assigned.insert(task, reported);
                continue;
            }
            match self.reconcile_unassigned(&task, reported) {
                Decision::Stop => {
                    self.unknown_tasks.insert(task);
                }
                Decision::Unproved if reported.is_done() => kept_done += 1,
                Decision::Unproved => kept += 1,
                _ => {}
            }
        }
        self.reported_task_count = heartbeat.tasks.len() - kept - kept_done;
        self.kept_attempts = kept;
        assigned
    }

    /// Whether the reported attempt has an assignment.
    pub(super) fn is_assigned(&self, task: &TaskId, reported: &ReportedTask) -> bool {
        self.assignments.get(task).is_some_and(|assignment| assignment.attempt == reported.attempt)
    }

    /// Decides on a reported attempt that has no assignment.
    pub(super) fn reconcile_unassigned(&self, task: &TaskId, reported: &ReportedTask) -> Decision {
        let task_attempt = TaskAttempt::of(task, reported.attempt);
        let start_may_arrive = self.sent_starts.contains_key(&task_attempt)
            || self.unacknowledged_starts.contains_key(&task_attempt);
        reconcile(&Observation::unrecorded(reported.reported_state(), start_may_arrive))
    }

    fn reconcile_assignment(
        &mut self,
        task: TaskId,
        reported: Option<&ReportedTask>,
        reconciliation: &Reconciliation<'_>,
        outcome: &mut HeartbeatOutcome,
    ) {
        let Some(assignment) = self.assignments.get_mut(&task) else { return };
        let Reconciliation { heartbeat, now, .. } = *reconciliation;
        let observation = Observation {
            recorded_state: assignment.state.recorded_state(),
            stopping: assignment.stop.is_some(),
            reported_state: reported.map_or(ReportedState::Absent, ReportedTask::reported_state),
            after_command: assignment.state.is_before(heartbeat.worker_epoch, heartbeat.serial),
            saw_fencing_token: heartbeat.fencing_token == reconciliation.fencing_token,
            wanted_here: reconciliation.restarts_allowed && reconciliation.restart_here.contains(&task),
            start_may_arrive: false,
        };
        match reconcile(&observation) {
            Decision::Present => update_phase(assignment, observation.reported_state, now, &task, outcome),
            Decision::Done => {
                record_fetched(assignment, &task, outcome);
                assignment.state = AssignmentState::Done;
                outcome.done.push(TaskAttempt { task, attempt: assignment.attempt });
            }
            Decision::StartHere => {
                let recorded_state = observation.recorded_state;
                if matches!(recorded_state, RecordedState::Inherited | RecordedState::Listed) {
                    assignment.planned_at = now;
                    assignment.running_since = None;
                    outcome.restarting.push(task);
                }
                assignment.state = AssignmentState::Ready;
            }
            Decision::Gone(task_outcome) => {
                if task_outcome == Outcome::Ended(TaskExit::GangBroke) {
                    record_fetched(assignment, &task, outcome);
                }
                self.planned_writes.remove(&task);
                self.assignments.remove(&task);
                outcome.gone.push(GoneTask { task, outcome: task_outcome });
            }
            Decision::Unproved | Decision::Stop | Decision::Forget => {}
        }
    }

    /// Whether a heartbeat with the same content as the last one proves nothing new and needs no commands: each
    /// task in it has an assignment, and no command or answer is in flight.
    pub fn is_settled(&self) -> bool {
        let reported = self.assignments.values().filter(|assignment| !assignment.is_unsent()).count();
        self.unknown_tasks.is_empty()
            && !self.keeps_too_many_attempts()
            && reported == self.reported_task_count
            && self.assignments.values().all(is_assignment_settled)
    }

    /// Applies a heartbeat with the same content as the last one. The machine must be settled.
    pub fn heartbeat_unchanged(
        &mut self,
        worker_epoch: WorkerEpoch,
        serial: u64,
        received_at: MonotonicTime,
    ) {
        if worker_epoch == self.worker_epoch && serial > self.serial {
            self.serial = serial;
            self.last_heartbeat = self.last_heartbeat.max(Some(received_at));
            self.unanswered_probes = 0;
        }
    }
}

#[cfg(any(test, feature = "simulation"))]
impl Machine {
    /// Injects a fault: without the list of sent starts, workers are told to forget ended attempts whose
    /// starts may arrive again.
    pub fn clear_sent_starts(&mut self) {
        self.sent_starts.clear();
    }
}

fn is_assignment_settled(assignment: &Assignment) -> bool {
    match assignment.state {
        AssignmentState::Planned => true,
        // Without `waits_for_gang_fetches` the start is still to be sent: it could not be while the worker had
        // not seen this leader's fencing token.
        AssignmentState::Ready => assignment.waits_for_gang_fetches,
        AssignmentState::Preparing
        | AssignmentState::Running
        | AssignmentState::Saving
        | AssignmentState::Done => assignment.stop.is_none(),
        AssignmentState::Sent { .. } | AssignmentState::Direct | AssignmentState::Inherited => false,
    }
}

/// Updates the assignment of a task that is on the machine with its reported phase.
fn update_phase(
    assignment: &mut Assignment,
    reported_state: ReportedState,
    now: MonotonicTime,
    task: &TaskId,
    outcome: &mut HeartbeatOutcome,
) {
    if matches!(reported_state, ReportedState::Waiting | ReportedState::Running) {
        record_fetched(assignment, task, outcome);
    }
    assignment.state = match reported_state {
        ReportedState::Running => AssignmentState::Running,
        ReportedState::Saving => AssignmentState::Saving,
        _ => AssignmentState::Preparing,
    };
    if reported_state == ReportedState::Running && assignment.running_since.is_none() {
        assignment.running_since = Some(now);
        outcome.started.push(task.clone());
    }
}

/// Records that the task has its image.
fn record_fetched(assignment: &mut Assignment, task: &TaskId, outcome: &mut HeartbeatOutcome) {
    if !assignment.has_image {
        assignment.has_image = true;
        outcome.fetched.push(task.clone());
    }
}
