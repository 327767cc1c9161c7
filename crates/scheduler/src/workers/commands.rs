//! Commands to a worker, sent in the answer to its heartbeat, through the node that answered it, or directly.

use super::machine::{Machine, MachineStatus, TaskAttempt};
use crate::assignments::{Assignment, AssignmentState, Stop, UNACKNOWLEDGED_SERIAL};
use crate::types::{FencingToken, JobId, MonotonicTime, TaskId, WorkerEpoch};
use crate::wire::workers::{Heartbeat, TaskPhase, WorkerCommand};
use pearford_recovery::Decision;

/// Maximum number of commands in one answer, which keeps its single line below 64 KiB.
const MAX_COMMANDS: usize = 200;

/// Direct commands to a worker.
#[derive(Debug, Default)]
pub struct DirectCommands {
    /// The commands to send.
    pub commands: Vec<WorkerCommand>,
    /// The starts among them.
    pub starts: Vec<TaskAttempt>,
}

/// Commands after a heartbeat that another node has answered.
#[derive(Debug)]
pub struct DelegateCommands {
    /// Commands for that node to send with its next answer to the worker.
    pub queued: Vec<WorkerCommand>,
    /// Starts to send directly.
    pub direct_starts: Vec<WorkerCommand>,
}

/// Result of a direct command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectAnswer {
    /// The worker had executed it when it sent the answer with this epoch and serial number.
    Executed {
        /// The worker's epoch.
        worker_epoch: WorkerEpoch,
        /// Serial number in that epoch.
        serial: u64,
    },
    /// The worker has refused it: nothing was started or stopped.
    Refused,
    /// There was no usable answer: the worker may still execute it.
    Missing,
}

/// Adds stops of all reported tasks of finished jobs to `commands`, except for those that it already contains.
///
/// Every answer that renews a lease must contain these stops, whichever node sends it: the leader during its
/// leadership lease, a leader that keeps leading without the key-value store or has not read the records yet,
/// or a delegate. The bound on how long leases are renewed after a read covers only cancellations that the
/// read does not show. Tasks of jobs that it does show as cancelled must be stopped by the answer itself.
/// Otherwise a leader that lost the key-value store before it had read all records would renew the leases of
/// cancelled tasks until its answer window ended.
pub fn stop_tasks_of_finished_jobs(
    heartbeat: &Heartbeat,
    is_finished: impl Fn(&JobId) -> bool,
    commands: &mut Vec<WorkerCommand>,
) {
    for reported in heartbeat.tasks.iter().filter(|reported| reported.phase != TaskPhase::Exited) {
        let Some(task) = reported.task().filter(|task| is_finished(&task.job)) else { continue };
        let stop = WorkerCommand::Stop { task, attempt: reported.attempt, grace_s: 0.0 };
        if commands.len() < MAX_COMMANDS && !commands.contains(&stop) {
            commands.push(stop);
        }
    }
}

impl Machine {
    /// Requests the stop of a task, with `grace_s` seconds to save a checkpoint; a shorter grace period
    /// replaces a longer one. Returns the assignment if it was removed at once, because no start for it can
    /// have reached the worker.
    pub fn stop(&mut self, task: &TaskId, grace_s: f64, now: MonotonicTime) -> Option<Assignment> {
        let assignment = self.assignments.get_mut(task)?;
        if assignment.is_unsent() {
            self.planned_writes.remove(task);
            return self.assignments.remove(task);
        }
        match &mut assignment.stop {
            Some(stop) if stop.grace_s <= grace_s => {}
            Some(stop) => {
                stop.grace_s = grace_s;
                stop.sent = false;
            }
            None => assignment.stop = Some(Stop { grace_s, since: now, sent: false }),
        }
        None
    }

    /// Whether there are starts that could be sent now.
    pub fn has_sendable_starts(&self) -> bool {
        self.assignments.values().any(|assignment| {
            assignment.state == AssignmentState::Ready
                && assignment.stop.is_none()
                && !assignment.waits_for_gang_fetches
        })
    }

    /// Whether direct commands can be sent to the worker, which must have seen this leader's fencing token.
    pub fn reachable(&self, fencing_token: FencingToken) -> bool {
        self.addr.is_some() && self.status == MachineStatus::Up && self.fencing_token == fencing_token
    }

    /// The commands for the answer to `heartbeat`. Starts are sent only if `may_start`; `may_stop` selects the
    /// stops that may be sent even without it. Commands that stop or forget tasks without an assignment are
    /// sent only if `may_command_unassigned`.
    pub fn commands(
        &mut self,
        heartbeat: &Heartbeat,
        may_start: bool,
        may_stop: impl Fn(&TaskId) -> bool,
        may_command_unassigned: bool,
    ) -> Vec<WorkerCommand> {
        let mut commands =
            if may_command_unassigned { self.commands_for_unassigned(heartbeat) } else { Vec::new() };
        for (task, assignment) in &mut self.assignments {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            let attempt = assignment.attempt;
            match (assignment.state, assignment.stop) {
                (AssignmentState::Ready, None) if assignment.waits_for_gang_fetches => {}
                (AssignmentState::Ready | AssignmentState::Sent { .. }, None) if may_start => {
                    let task_attempt = TaskAttempt::of(task, attempt);
                    let unacknowledged = self.unacknowledged_starts.contains_key(&task_attempt);
                    let serial = if unacknowledged { UNACKNOWLEDGED_SERIAL } else { heartbeat.serial };
                    assignment.state = AssignmentState::Sent { worker_epoch: heartbeat.worker_epoch, serial };
                    commands.push(task_attempt.into_start());
                }
                // A task that is saving has received its stop; a second one would interrupt the saving.
                (AssignmentState::Saving, Some(stop)) if stop.grace_s > 0.0 => {}
                (AssignmentState::Planned | AssignmentState::Ready | AssignmentState::Done, _) => {}
                (_, Some(stop)) if may_start || may_stop(task) => {
                    let grace_s = stop.grace_s;
                    commands.push(WorkerCommand::Stop { task: task.clone(), attempt, grace_s });
                }
                _ => {}
            }
        }
        commands
    }

    /// Commands that stop reported tasks without an assignment, and let the worker forget those that have
    /// ended.
    fn commands_for_unassigned(&self, heartbeat: &Heartbeat) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        for reported in &heartbeat.tasks {
            let Some(task) = reported.task() else { continue };
            if self.is_assigned(&task, reported) {
                continue;
            }
            let attempt = reported.attempt;
            match self.reconcile_unassigned(&task, reported) {
                Decision::Stop => commands.push(WorkerCommand::Stop { task, attempt, grace_s: 0.0 }),
                Decision::Forget => commands.push(WorkerCommand::Forget { task, attempt }),
                _ => {}
            }
        }
        commands
    }

    /// Commands to send directly to the worker: starts that have become durable, and new stops.
    pub fn direct_commands(&mut self, may_start: bool, now: MonotonicTime) -> DirectCommands {
        let mut direct = DirectCommands::default();
        for (task, assignment) in &mut self.assignments {
            let attempt = assignment.attempt;
            match (assignment.state, &mut assignment.stop) {
                (AssignmentState::Ready, None) if may_start && !assignment.waits_for_gang_fetches => {
                    assignment.state = AssignmentState::Direct;
                    let task_attempt = TaskAttempt::of(task, attempt);
                    direct.commands.push(task_attempt.clone().into_start());
                    direct.starts.push(task_attempt.clone());
                    self.sent_starts.insert(task_attempt, now);
                }
                (AssignmentState::Planned | AssignmentState::Ready | AssignmentState::Done, _) => {}
                (_, Some(stop)) if !stop.sent => {
                    stop.sent = true;
                    let grace_s = stop.grace_s;
                    direct.commands.push(WorkerCommand::Stop { task: task.clone(), attempt, grace_s });
                }
                _ => {}
            }
        }
        direct
    }

    /// Commands after a heartbeat that another node has answered. Starts are sent directly, the others with
    /// the answer to the next heartbeat. Unacknowledged starts are sent again, since possibly none has
    /// arrived.
    pub fn commands_for_delegate(
        &mut self,
        heartbeat: &Heartbeat,
        may_start: bool,
        may_stop: impl Fn(&TaskId) -> bool,
        now: MonotonicTime,
    ) -> DelegateCommands {
        let queued = self.commands(heartbeat, false, |task| may_start || may_stop(task), may_start);
        let mut direct_starts = Vec::new();
        if may_start {
            for (task, assignment) in &self.assignments {
                let unacknowledged =
                    matches!(assignment.state, AssignmentState::Sent { serial: UNACKNOWLEDGED_SERIAL, .. });
                if unacknowledged && assignment.stop.is_none() {
                    let task_attempt = TaskAttempt::of(task, assignment.attempt);
                    self.sent_starts.insert(task_attempt.clone(), now);
                    direct_starts.push(task_attempt.into_start());
                }
            }
        }
        DelegateCommands { queued, direct_starts }
    }

    /// Applies the answer to the starts of a direct command to `worker_epoch`, or the lack of one.
    pub fn direct_starts_answered(
        &mut self,
        starts: Vec<TaskAttempt>,
        worker_epoch: WorkerEpoch,
        answer: DirectAnswer,
    ) {
        for task_attempt in starts {
            let Some(assignment) = self.assignments.get_mut(&task_attempt.task) else { continue };
            // If a heartbeat has reported the task since, the command was executed.
            let still_direct = assignment.state == AssignmentState::Direct;
            if assignment.attempt != task_attempt.attempt || !still_direct {
                continue;
            }
            assignment.state = match answer {
                DirectAnswer::Executed { worker_epoch, serial } => {
                    AssignmentState::Sent { worker_epoch, serial }
                }
                DirectAnswer::Refused => AssignmentState::Ready,
                DirectAnswer::Missing => {
                    self.unacknowledged_starts.insert(task_attempt, worker_epoch);
                    AssignmentState::Sent { worker_epoch, serial: UNACKNOWLEDGED_SERIAL }
                }
            };
        }
    }
}

impl TaskAttempt {
    fn into_start(self) -> WorkerCommand {
        WorkerCommand::Start { task: self.task, attempt: self.attempt }
    }
}
