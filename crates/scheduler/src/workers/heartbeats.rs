//! What a worker's heartbeat changes in the leader's state of its machine.
//!
//! `pearford_recovery` decides what each task's absence or presence proves; here its decisions are carried
//! out.

use super::machine::{Machine, MachineStatus, TaskAttempt};
use crate::assignments::{Assignment, AssignmentState};
use crate::types::{Duration, FencingToken, MonotonicTime, TaskId, WorkerEpoch};
use crate::wire::workers::{Heartbeat, ReportedTask};
use pearford_recovery::{Decision, Observation, Outcome, RecordedState, ReportedState, TaskExit, reconcile};
use std::collections::BTreeMap;

/// A worker whose epoch ends more often than this does not get its tasks back: they go elsewhere.
const MAX_EPOCHS_ENDED: u32 = 2;
/// How late a start that was carried out may come again.
const START_REPEATS_WITHIN: Duration = Duration::from_millis(600_000);
/// Attempts that are kept listed on a machine since their start may come again: a machine with more takes
/// nothing new and is returned once it is empty.
const MAX_KEPT_ATTEMPTS: usize = 256;

/// A task that is proved gone from its machine.
#[derive(Debug)]
pub struct GoneTask {
    /// The task.
    pub task: TaskId,
    /// How it left.
    pub outcome: Outcome,
}

/// What a heartbeat changed.
#[derive(Debug, Default)]
pub struct HeartbeatOutcome {
    /// Tasks that are proved gone; their assignments are removed.
    pub gone: Vec<GoneTask>,
    /// Tasks that are done; their assignments stay until that is recorded.
    pub done: Vec<TaskAttempt>,
    /// Tasks that have their image now, or had it here.
    pub fetched: Vec<TaskId>,
    /// Tasks that are not there any more and start again right here.
    pub restarting: Vec<TaskId>,
    /// Tasks that began to run.
    pub started: Vec<TaskId>,
    /// Whether it was overtaken by a newer one, and says nothing.
    pub stale: bool,
}

/// What the decision on one assignment depends on besides the assignment and the reported task.
struct Reconciliation<'a> {
    heartbeat: &'a Heartbeat,
    /// This leader's.
    fencing_token: FencingToken,
    /// Tasks that are to start again right here if they are not there any more.
    restart_here: &'a [TaskId],
    /// The machine may take tasks again.
    machine_is_open: bool,
    now: MonotonicTime,
}

impl Machine {
    /// Takes in a heartbeat. `fencing_token` is this leader's; `restart_here`: tasks that are to start again
    /// right here if they are not there any more.
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
        self.update_starts(heartbeat.worker_epoch, now);
        self.update_status(heartbeat, now);
        let listed = self.sort_reported_tasks(heartbeat);
        let machine_is_open = !self.draining
            && self.spot_reclaim_at.is_none()
            && self.status == MachineStatus::Up
            && self.unknown_tasks.is_empty()
            && self.epochs_ended <= MAX_EPOCHS_ENDED;
        let reconciliation = Reconciliation { heartbeat, fencing_token, restart_here, machine_is_open, now };
        let tasks: Vec<TaskId> = self.assignments.keys().cloned().collect();
        for task in tasks {
            let reported = listed.get(&task).copied();
            self.reconcile_assignment(task, reported, &reconciliation, &mut outcome);
        }
        outcome
    }

    /// Forgets sent starts that can't act any more, by the end of a worker epoch or by time.
    fn update_starts(&mut self, worker_epoch: WorkerEpoch, now: MonotonicTime) {
        if worker_epoch > self.worker_epoch {
            self.unacknowledged_starts.retain(|_, named_epoch| *named_epoch >= worker_epoch);
            self.sent_starts.clear();
            if self.worker_epoch > WorkerEpoch(0) {
                self.epochs_ended += 1;
            }
        }
        self.sent_starts.retain(|_, sent_at| now.since(*sent_at) < START_REPEATS_WITHIN);
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

    /// The reported tasks that have an assignment. The others are unknown, or ended and kept listed.
    fn sort_reported_tasks<'a>(&mut self, heartbeat: &'a Heartbeat) -> BTreeMap<TaskId, &'a ReportedTask> {
        let mut listed = BTreeMap::new();
        let mut kept = 0;
        self.unknown_tasks.clear();
        for reported in &heartbeat.tasks {
            let Some(task) = reported.task() else { continue };
            if self.is_assigned(&task, reported) {
                listed.insert(task, reported);
                continue;
            }
            match self.reconcile_unassigned(&task, reported) {
                Decision::Stop => {
                    self.unknown_tasks.insert(task);
                }
                Decision::Unproved => kept += 1,
                _ => {}
            }
        }
        self.reported_task_count = heartbeat.tasks.len() - kept;
        self.draining |= kept > MAX_KEPT_ATTEMPTS;
        listed
    }

    /// Whether the reported attempt has an assignment.
    pub(super) fn is_assigned(&self, task: &TaskId, reported: &ReportedTask) -> bool {
        self.assignments.get(task).is_some_and(|assignment| assignment.attempt == reported.attempt)
    }

    /// Decides on a reported attempt that has no assignment.
    pub(super) fn reconcile_unassigned(&self, task: &TaskId, reported: &ReportedTask) -> Decision {
        let task_attempt = TaskAttempt::of(task, reported.attempt);
        let reported_state = reported.reported_state();
        // Started again, a task that is done ends as soon as it has its image. One whose start had no answer
        // may be anything.
        let is_done = reported_state == ReportedState::Ended(TaskExit::Done);
        let may_repeat = !is_done && self.sent_starts.contains_key(&task_attempt);
        let start_may_arrive = may_repeat || self.unacknowledged_starts.contains_key(&task_attempt);
        reconcile(&Observation::unrecorded(reported_state, start_may_arrive))
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
            wanted_here: reconciliation.machine_is_open && reconciliation.restart_here.contains(&task),
            start_may_arrive: false,
        };
        match reconcile(&observation) {
            Decision::Present => update_phase(assignment, observation.reported_state, now, &task, outcome),
            Decision::Done => {
                note_fetched(assignment, &task, outcome);
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
            Decision::Gone(departure) => {
                if departure == Outcome::Ended(TaskExit::GangBroke) {
                    note_fetched(assignment, &task, outcome);
                }
                self.planned_writes.remove(&task);
                self.assignments.remove(&task);
                outcome.gone.push(GoneTask { task, outcome: departure });
            }
            Decision::Unproved | Decision::Stop | Decision::Forget => {}
        }
    }

    /// Whether a heartbeat with the same content as the last one has nothing to prove and needs no commands:
    /// each task in it has an assignment, and nothing is under way to or from the worker.
    pub fn is_settled(&self) -> bool {
        let reported = self.assignments.values().filter(|assignment| !assignment.is_unsent()).count();
        self.unknown_tasks.is_empty()
            && reported == self.reported_task_count
            && self.assignments.values().all(is_assignment_settled)
    }

    /// Takes in a heartbeat with the same content as the last one, of a settled machine.
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
    /// Leaves out the check that what was started directly is not forgotten.
    pub fn forget_sent_starts(&mut self) {
        self.sent_starts.clear();
    }
}

fn is_assignment_settled(assignment: &Assignment) -> bool {
    match assignment.state {
        AssignmentState::Planned => true,
        // Its start could not be sent while the worker had not seen this leader's fencing token.
        AssignmentState::Ready => assignment.waits_for_gang_fetches,
        AssignmentState::Preparing
        | AssignmentState::Running
        | AssignmentState::Saving
        | AssignmentState::Done => assignment.stop.is_none(),
        AssignmentState::Sent { .. } | AssignmentState::Direct | AssignmentState::Inherited => false,
    }
}

/// Takes over the phase of a task that is there.
fn update_phase(
    assignment: &mut Assignment,
    reported_state: ReportedState,
    now: MonotonicTime,
    task: &TaskId,
    outcome: &mut HeartbeatOutcome,
) {
    if matches!(reported_state, ReportedState::Waiting | ReportedState::Running) {
        note_fetched(assignment, task, outcome);
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

/// The task has its image.
fn note_fetched(assignment: &mut Assignment, task: &TaskId, outcome: &mut HeartbeatOutcome) {
    if !assignment.has_image {
        assignment.has_image = true;
        outcome.fetched.push(task.clone());
    }
}
