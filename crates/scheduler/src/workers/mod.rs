//! Workers: what their reports say, what that proves, and the orders they get.

use crate::assignments::{
    Assignment, AssignmentState, CachedImage, MachineRecord, RecordedAssignment, Stop, UNACKNOWLEDGED_SERIAL,
    WriteVersion,
};
use crate::types::{
    Attempt, Duration, FencingToken, Image, JobId, MachineId, MonotonicTime, Resources, TaskId, TeamName,
    TypeName, WorkerEpoch, Zone,
};
use crate::wire::workers::{Heartbeat, ReportedTask, TaskPhase, WorkerCommand};
pub use pearford_recovery::Outcome;
use pearford_recovery::{Decision, Observation, RecordedState, ReportedState, TaskExit, reconcile};
use std::collections::{BTreeMap, BTreeSet};

/// Keeps an answer's one line below 64 KiB.
const COMMANDS_AT_ONCE: usize = 200;

/// Stops for all that a report lists of jobs that are over, but for what `commands` stop anyway.
///
/// Every answer that renews a lease stops these, whoever gives it: the leader in its tenure, one that only holds or has
/// not read the records yet, or another node in its name. The bound on how long leases are renewed after a look covers
/// only cancellations that the look can't see; of those that it saw, the tasks must not live by that answer. (A leader
/// that had not read the records as the state service went away renewed the leases of cancelled tasks without a stop
/// until the hold was over: seeds 3182, 3284.)
pub fn stop_finished(
    heartbeat: &Heartbeat,
    over: impl Fn(&JobId) -> bool,
    commands: &mut Vec<WorkerCommand>,
) {
    for reported in heartbeat.tasks.iter().filter(|t| t.phase != TaskPhase::Exited) {
        let Some(task) = reported.task().filter(|task| over(&task.job)) else { continue };
        let attempt = reported.attempt;
        let stops = |o: &WorkerCommand| matches!(o, WorkerCommand::Stop { task: t, attempt: a, grace_s: 0.0 } if (t, a) == (&task, &attempt));
        if commands.len() < COMMANDS_AT_ONCE && !commands.iter().any(stops) {
            commands.push(WorkerCommand::Stop { task, attempt, grace_s: 0.0 });
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineStatus {
    /// Rented; its worker has not reported yet.
    Booting,
    Up,
    /// Being returned: nothing new goes there, and its tasks count until the cloud's 200.
    Releasing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Health {
    Healthy,
    Degraded,
    Unknown,
    Unreachable,
}

#[derive(Debug)]
pub struct Machine {
    pub id: MachineId,
    pub addr: Option<String>,
    pub type_name: TypeName,
    pub zone: Zone,
    pub spot: bool,
    pub total: Resources,
    pub status: MachineStatus,
    pub rented_at: MonotonicTime,
    pub last_heartbeat: Option<MonotonicTime>,
    /// Questions in a row, since the last report, that the worker didn't answer.
    pub unanswered: u32,
    /// When it answered a question last.
    pub answered_at: MonotonicTime,
    pub worker_epoch: WorkerEpoch,
    pub serial: u64,
    pub fencing_token: FencingToken,
    /// When the cloud will take it away.
    pub taken_at: Option<MonotonicTime>,
    pub assignments: BTreeMap<TaskId, Assignment>,
    /// What the entries leave free, whether none counts, and what each team takes here: kept by
    /// `recount`, since rounds ask far more often than entries change.
    free: Resources,
    empty: bool,
    tally: Vec<(TeamName, Resources)>,
    /// What the entries take in the machine's record.
    assignment_bytes: usize,
    /// Tasks reported that the ledger doesn't know: stopped, and until then nothing starts here.
    pub unknown_tasks: BTreeSet<TaskId>,
    /// Images a task got here and their sizes, in order of last use.
    pub images: Vec<CachedImage>,
    pub empty_since: Option<MonotonicTime>,
    pub not_before: MonotonicTime,
    /// The session that a direct command should name, as far as an earlier leader knew.
    pub last_known_epoch: WorkerEpoch,
    /// Version from which each planned entry is durable.
    pub planned: BTreeMap<TaskId, WriteVersion>,
    pub draining: bool,
    /// Jobs that have failed here since one was done.
    pub failed: Vec<JobId>,
    /// The job that others made room for here, and until when it has the first go.
    pub held: Option<(JobId, MonotonicTime)>,
    /// Starts sent directly and never answered, with the session they name: while it lasts they
    /// may still act. Their absence proves nothing, and an exited one isn't forgotten, since the
    /// worker would then start it again.
    pub unacknowledged: BTreeMap<(TaskId, Attempt), WorkerEpoch>,
    /// Starts sent directly in its present session, and when: one that was answered may come again all the same, so what
    /// has ended without a result is not forgotten.
    sent: BTreeMap<(TaskId, Attempt), MonotonicTime>,
    /// Tasks in its last report, but for those that have ended and are only kept.
    listed: usize,
    /// Sessions of its worker that have ended while this leader heard it.
    epochs_ended: u32,
}

/// What a report changed.
#[derive(Debug, Default)]
pub struct HeartbeatOutcome {
    /// Tasks that are proved gone; their entries are out of the ledger.
    pub gone: Vec<(TaskId, Assignment, Outcome)>,
    /// Tasks that are done; their entries stay until that is recorded.
    pub done: Vec<(TaskId, Attempt)>,
    /// Tasks that have their image now, or had it here.
    pub fetched: Vec<TaskId>,
    /// Tasks that are not there any more and start again right here.
    pub again: Vec<TaskId>,
    /// Tasks that began to run.
    pub began: Vec<TaskId>,
    /// Whether it was an old report, which says nothing.
    pub stale: bool,
}

/// A worker whose session ends again and again gets its tasks back this often; then they go elsewhere.
const EPOCHS_ENDED: u32 = 2;
/// How late a start that was carried out may come again, and attempts that are kept listed for it on a machine: one with
/// more takes nothing new and is returned once it is empty.
const COMES_AGAIN: Duration = Duration::from_millis(600_000);
const KEPT: usize = 256;
/// Bounds a machine's record, however small its images are.
const IMAGES_REMEMBERED: usize = 64;

impl Machine {
    pub fn new(
        id: MachineId,
        type_name: TypeName,
        zone: Zone,
        spot: bool,
        total: Resources,
        now: MonotonicTime,
    ) -> Self {
        Self {
            id,
            addr: None,
            type_name,
            zone,
            spot,
            total,
            status: MachineStatus::Booting,
            rented_at: now,
            last_heartbeat: None,
            unanswered: 0,
            answered_at: MonotonicTime::default(),
            worker_epoch: WorkerEpoch(0),
            serial: 0,
            fencing_token: FencingToken(0),
            taken_at: None,
            assignments: BTreeMap::new(),
            free: total,
            empty: true,
            tally: Vec::new(),
            assignment_bytes: 0,
            unknown_tasks: BTreeSet::new(),
            images: Vec::new(),
            empty_since: Some(now),
            not_before: MonotonicTime::default(),
            last_known_epoch: WorkerEpoch(0),
            planned: BTreeMap::new(),
            draining: false,
            failed: Vec::new(),
            held: None,
            unacknowledged: BTreeMap::new(),
            sent: BTreeMap::new(),
            listed: 0,
            epochs_ended: 0,
        }
    }

    pub fn record(&self) -> MachineRecord {
        MachineRecord {
            type_name: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            addr: self.addr.clone(),
            worker_epoch: self.worker_epoch,
            assignments: self
                .assignments
                .iter()
                .map(|(task, assignment)| RecordedAssignment {
                    task: task.clone(),
                    attempt: assignment.attempt,
                    team: assignment.team.clone(),
                    resources: assignment.resources,
                })
                .collect(),
            images: self.images.clone(),
        }
    }

    pub fn free(&self) -> Resources {
        self.free
    }

    pub fn is_empty(&self) -> bool {
        self.empty
    }

    /// Brings the kept sums in line with the entries, and `used`, what teams take on all
    /// machines. To be called after every change of them.
    pub fn recount(&mut self, used: &mut BTreeMap<TeamName, Resources>, now: MonotonicTime) {
        for (team, resources) in std::mem::take(&mut self.tally) {
            if let Some(sum) = used.get_mut(&team) {
                *sum = sum.minus(&resources);
            }
        }
        self.free = self.total;
        self.assignment_bytes = self.assignments.values().map(|e| e.bytes).sum();
        for e in self.assignments.values().filter(|e| e.occupies()) {
            self.free = self.free.minus(&e.resources);
            match self.tally.iter_mut().find(|(team, _)| *team == e.team) {
                Some((_, sum)) => *sum = sum.plus(&e.resources),
                None => self.tally.push((e.team.clone(), e.resources)),
            }
        }
        for (team, resources) in &self.tally {
            match used.get_mut(team) {
                Some(sum) => *sum = sum.plus(resources),
                None => {
                    used.insert(team.clone(), *resources);
                }
            }
        }
        self.empty = self.tally.is_empty() && self.unknown_tasks.is_empty();
        if !self.empty {
            self.empty_since = None;
        } else if self.empty_since.is_none() {
            self.empty_since = Some(now);
        }
    }

    pub fn health(&self, now: MonotonicTime, heartbeat: Duration, degraded: f64, unreachable: f64) -> Health {
        match self.last_heartbeat {
            None => Health::Unknown,
            Some(at) if now.since(at) > heartbeat.times(unreachable) => Health::Unreachable,
            Some(at) if now.since(at) > heartbeat.times(degraded) => Health::Degraded,
            Some(_) => Health::Healthy,
        }
    }

    /// Whether a start of this leader's may still arrive there, for all that is known.
    pub fn has_unacknowledged_starts(&self) -> bool {
        !self.unacknowledged.is_empty()
            || self.assignments.values().any(|e| e.state == AssignmentState::Direct)
    }

    /// Whether this leader has heard the worker. The record of a machine that was returned may outlive
    /// it, where its removal was not written before a take-over.
    pub fn has_been_heard(&self) -> bool {
        self.serial > 0
    }

    /// Whether new tasks may go there.
    pub fn open_for_tasks(&self, now: MonotonicTime) -> bool {
        self.status == MachineStatus::Up
            && self.has_been_heard()
            && !self.draining
            && self.taken_at.is_none()
            && self.unknown_tasks.is_empty()
            && now >= self.not_before
            && self.assignments.len() < crate::assignments::MAX_ASSIGNMENTS
    }

    /// Whether its record, of at most `limit` bytes, can hold an entry of `bytes` more.
    pub fn record_holds(&self, bytes: usize, limit: usize) -> bool {
        MachineRecord::holds(self.assignment_bytes + bytes, &self.type_name, &self.zone, limit)
    }

    /// The job it is held for, if the hold is still on.
    pub fn held_for(&self, now: MonotonicTime) -> Option<&JobId> {
        self.held.as_ref().filter(|(_, until)| now < *until).map(|(job, _)| job)
    }

    /// Notes an image that a task has got here. The machine keeps the most recently used ones, as
    /// many as `cache_gb` holds.
    pub fn remember_image(&mut self, image: &Image, gb: f64, cache_gb: f64) {
        self.images.retain(|cached| cached.image != *image);
        self.images.push(CachedImage { image: image.clone(), size_gb: gb });
        let mut sum: f64 = self.images.iter().map(|cached| cached.size_gb).sum();
        while self.images.len() > 1 && (sum > cache_gb || self.images.len() > IMAGES_REMEMBERED) {
            sum -= self.images.remove(0).size_gb;
        }
    }

    pub fn has_image(&self, image: &Image) -> bool {
        self.images.iter().any(|cached| cached.image == *image)
    }

    /// Asks a task to stop. True if it is off the ledger at once, since no order can have
    /// reached the worker.
    pub fn stop(&mut self, task: &TaskId, grace_s: f64, now: MonotonicTime) -> Option<Assignment> {
        let assignment = self.assignments.get_mut(task)?;
        if assignment.unsent() {
            self.planned.remove(task);
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

    /// Takes in a report. `mine` is this leader's fence; `again`: tasks that are to start again
    /// right here if they are not there any more.
    pub fn process_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        mine: FencingToken,
        again: &[TaskId],
        now: MonotonicTime,
    ) -> HeartbeatOutcome {
        let mut outcome = HeartbeatOutcome::default();
        if (heartbeat.worker_epoch, heartbeat.serial) <= (self.worker_epoch, self.serial) {
            outcome.stale = true;
            return outcome;
        }
        if heartbeat.worker_epoch > self.worker_epoch {
            self.unacknowledged.retain(|_, worker_epoch| *worker_epoch >= heartbeat.worker_epoch);
            self.sent.clear();
        }
        self.sent.retain(|_, at| now.since(*at) < COMES_AGAIN);
        let was = std::mem::replace(&mut self.worker_epoch, heartbeat.worker_epoch);
        self.serial = heartbeat.serial;
        self.fencing_token = heartbeat.fencing_token;
        self.addr = Some(heartbeat.addr.clone());
        self.last_heartbeat = Some(now);
        self.unanswered = 0;
        if self.status == MachineStatus::Booting {
            self.status = MachineStatus::Up;
            self.empty_since = Some(now);
        }
        self.taken_at = heartbeat.notice_s.map(|s| now + Duration::from_secs_f64(s));

        let mut listed: BTreeMap<TaskId, &ReportedTask> = BTreeMap::new();
        self.unknown_tasks.clear();
        let mut kept = 0;
        for reported in &heartbeat.tasks {
            let Some(task) = reported.task() else { continue };
            match self.assignments.get(&task) {
                Some(e) if e.attempt == reported.attempt => {
                    listed.insert(task, reported);
                }
                _ => match self.reconcile_unknown(&task, reported) {
                    Decision::Stop => {
                        self.unknown_tasks.insert(task);
                    }
                    Decision::Unproved => kept += 1,
                    _ => {}
                },
            }
        }
        self.listed = heartbeat.tasks.len() - kept;
        self.draining |= kept > KEPT;
        if heartbeat.worker_epoch > was && was > WorkerEpoch(0) {
            self.epochs_ended += 1;
        }
        let open = !self.draining && self.taken_at.is_none() && self.status == MachineStatus::Up;
        let open = open && self.unknown_tasks.is_empty() && self.epochs_ended <= EPOCHS_ENDED;
        let tasks: Vec<TaskId> = self.assignments.keys().cloned().collect();
        for task in tasks {
            let Some(assignment) = self.assignments.get_mut(&task) else { continue };
            let reported = listed.get(&task);
            let observation = Observation {
                recorded_state: assignment.state.recorded_state(),
                stopping: assignment.stop.is_some(),
                reported_state: reported.map_or(ReportedState::Absent, |r| r.reported_state()),
                after_command: assignment.state.is_before(heartbeat.worker_epoch, heartbeat.serial),
                saw_fencing_token: heartbeat.fencing_token == mine,
                wanted_here: open && again.contains(&task),
                may_still_arrive: false,
            };
            match reconcile(&observation) {
                Decision::Present => there(assignment, observation.reported_state, now, &task, &mut outcome),
                Decision::Done => {
                    fetched(assignment, &task, &mut outcome);
                    assignment.state = AssignmentState::Done;
                    outcome.done.push((task.clone(), assignment.attempt));
                }
                Decision::StartHere => {
                    if matches!(observation.recorded_state, RecordedState::Inherited | RecordedState::Listed)
                    {
                        assignment.planned_at = now;
                        assignment.running_since = None;
                        outcome.again.push(task.clone());
                    }
                    assignment.state = AssignmentState::Ready;
                }
                Decision::Gone(departure) => {
                    if departure == Outcome::Ended(TaskExit::GangBroke) {
                        fetched(assignment, &task, &mut outcome);
                    }
                    self.planned.remove(&task);
                    if let Some(assignment) = self.assignments.remove(&task) {
                        outcome.gone.push((task, assignment, departure));
                    }
                }
                Decision::Unproved | Decision::Stop | Decision::Forget => {}
            }
        }
        outcome
    }

    /// What becomes of an attempt that is reported and not stored.
    fn reconcile_unknown(&self, task: &TaskId, reported: &ReportedTask) -> Decision {
        let key = (task.clone(), reported.attempt);
        let reported_state = reported.reported_state();
        // Started again, one that is done ends as soon as it has its image; one without an answer may be anything.
        let again = reported_state != ReportedState::Ended(TaskExit::Done) && self.sent.contains_key(&key);
        reconcile(&Observation::unrecorded(reported_state, again || self.unacknowledged.contains_key(&key)))
    }

    /// Whether a report that says what the last one said has nothing to prove and needs no orders: each task in
    /// it is one of the ledger's, and nothing is under way to or from the worker.
    pub fn is_settled(&self) -> bool {
        let settled = |e: &Assignment| match e.state {
            AssignmentState::Planned => true,
            // Its start could not be sent while the worker had not seen this leader's fence.
            AssignmentState::Ready => e.after_fetches,
            AssignmentState::Preparing
            | AssignmentState::Running
            | AssignmentState::Saving
            | AssignmentState::Done => e.stop.is_none(),
            AssignmentState::Sent { .. } | AssignmentState::Direct | AssignmentState::Inherited => false,
        };
        let listed = self.assignments.values().filter(|e| !e.unsent()).count();
        self.unknown_tasks.is_empty() && listed == self.listed && self.assignments.values().all(settled)
    }

    /// Whether starts could leave now.
    pub fn has_starts(&self) -> bool {
        self.assignments
            .values()
            .any(|e| e.state == AssignmentState::Ready && e.stop.is_none() && !e.after_fetches)
    }

    /// Takes in a report that says what the last one said, of a settled machine.
    pub fn heartbeat_unchanged(&mut self, worker_epoch: WorkerEpoch, serial: u64, at: MonotonicTime) {
        if worker_epoch == self.worker_epoch && serial > self.serial {
            self.serial = serial;
            self.last_heartbeat = self.last_heartbeat.max(Some(at));
            self.unanswered = 0;
        }
    }

    /// The orders that answer `heartbeat`. Starts leave only with `may_start`; `may_stop` tells which stops may
    /// leave without it. What the ledger doesn't know is stopped or forgotten under a valid leadership
    /// (`leads`) only.
    pub fn commands(
        &mut self,
        heartbeat: &Heartbeat,
        may_start: bool,
        may_stop: impl Fn(&TaskId) -> bool,
        leads: bool,
    ) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        for reported in &heartbeat.tasks {
            let Some(task) = reported.task() else { continue };
            let attempt = reported.attempt;
            if !leads || self.assignments.get(&task).is_some_and(|e| e.attempt == attempt) {
                continue;
            }
            match self.reconcile_unknown(&task, reported) {
                Decision::Stop => commands.push(WorkerCommand::Stop { task, attempt, grace_s: 0.0 }),
                Decision::Forget => commands.push(WorkerCommand::Forget { task, attempt }),
                _ => {}
            }
        }
        for (task, assignment) in &mut self.assignments {
            if commands.len() >= COMMANDS_AT_ONCE {
                break;
            }
            match (assignment.state, assignment.stop) {
                (AssignmentState::Ready, None) if assignment.after_fetches => {}
                (AssignmentState::Ready | AssignmentState::Sent { .. }, None) if may_start => {
                    commands.push(WorkerCommand::Start { task: task.clone(), attempt: assignment.attempt });
                    let serial = match self.unacknowledged.contains_key(&(task.clone(), assignment.attempt)) {
                        true => UNACKNOWLEDGED_SERIAL,
                        false => heartbeat.serial,
                    };
                    assignment.state = AssignmentState::Sent { worker_epoch: heartbeat.worker_epoch, serial };
                }
                // A task that already saves got its stop; a second one would cut it short.
                (AssignmentState::Saving, Some(stop)) if stop.grace_s > 0.0 => {}
                (AssignmentState::Planned | AssignmentState::Ready | AssignmentState::Done, _) => {}
                (_, Some(stop)) if may_start || may_stop(task) => {
                    commands.push(WorkerCommand::Stop {
                        task: task.clone(),
                        attempt: assignment.attempt,
                        grace_s: stop.grace_s,
                    });
                }
                _ => {}
            }
        }
        commands
    }
}

#[cfg(any(test, feature = "world"))]
impl Machine {
    pub fn sabotage_forget_sent(&mut self) {
        self.sent.clear();
    }
}

impl Machine {
    /// Whether a direct command may reach the worker.
    pub fn reachable(&self, mine: FencingToken) -> bool {
        self.addr.is_some() && self.status == MachineStatus::Up && self.fencing_token == mine
    }

    /// Orders to send straight to the worker: starts that are durable now, and new stops.
    pub fn direct_commands(
        &mut self,
        may_start: bool,
        now: MonotonicTime,
    ) -> (Vec<WorkerCommand>, Vec<(TaskId, Attempt)>) {
        let (mut commands, mut starts) = (Vec::new(), Vec::new());
        for (task, assignment) in &mut self.assignments {
            let attempt = assignment.attempt;
            match (assignment.state, &mut assignment.stop) {
                (AssignmentState::Ready, None) if may_start && !assignment.after_fetches => {
                    assignment.state = AssignmentState::Direct;
                    commands.push(WorkerCommand::Start { task: task.clone(), attempt });
                    starts.push((task.clone(), attempt));
                    self.sent.insert((task.clone(), attempt), now);
                }
                (AssignmentState::Planned | AssignmentState::Ready | AssignmentState::Done, _) => {}
                (_, Some(stop)) if !stop.sent => {
                    stop.sent = true;
                    commands.push(WorkerCommand::Stop { task: task.clone(), attempt, grace_s: stop.grace_s });
                }
                _ => {}
            }
        }
        (commands, starts)
    }

    /// Orders for a report that another node has answered. Starts among them go directly, the rest may wait for
    /// the answer to the next report. A start in doubt goes again: it may be that none has arrived.
    pub fn commands_for_delegate(
        &mut self,
        heartbeat: &Heartbeat,
        may_start: bool,
        may_stop: impl Fn(&TaskId) -> bool,
        now: MonotonicTime,
    ) -> (Vec<WorkerCommand>, Vec<WorkerCommand>) {
        let queued_commands = self.commands(heartbeat, false, |task| may_start || may_stop(task), may_start);
        let again = self.assignments.iter().filter(|(_, e)| {
            let unacknowledged =
                matches!(e.state, AssignmentState::Sent { serial: UNACKNOWLEDGED_SERIAL, .. });
            may_start && unacknowledged && e.stop.is_none()
        });
        let again: Vec<(TaskId, Attempt)> = again.map(|(t, e)| (t.clone(), e.attempt)).collect();
        self.sent.extend(again.iter().map(|key| (key.clone(), now)));
        let again = again.into_iter().map(|(task, attempt)| WorkerCommand::Start { task, attempt }).collect();
        (queued_commands, again)
    }

    /// A direct command's starts were answered: `at` is the session and serial of the answer,
    /// `Some(None)` says that nothing ran, and no answer that they may still run.
    pub fn direct_answered(
        &mut self,
        starts: Vec<(TaskId, Attempt)>,
        worker_epoch: WorkerEpoch,
        at: Option<Option<(WorkerEpoch, u64)>>,
    ) {
        for (task, attempt) in starts {
            let Some(assignment) = self.assignments.get_mut(&task) else { continue };
            // If a report has listed it meanwhile, the command has run.
            if assignment.attempt != attempt || assignment.state != AssignmentState::Direct {
                continue;
            }
            assignment.state = match at {
                Some(Some((worker_epoch, serial))) => AssignmentState::Sent { worker_epoch, serial },
                Some(None) => AssignmentState::Ready,
                None => {
                    self.unacknowledged.insert((task, attempt), worker_epoch);
                    AssignmentState::Sent { worker_epoch, serial: UNACKNOWLEDGED_SERIAL }
                }
            };
        }
    }
}

/// Takes over the phase of a task that is there.
fn there(
    assignment: &mut Assignment,
    reported_state: ReportedState,
    now: MonotonicTime,
    task: &TaskId,
    outcome: &mut HeartbeatOutcome,
) {
    if matches!(reported_state, ReportedState::Waiting | ReportedState::Running) {
        fetched(assignment, task, outcome);
    }
    assignment.state = match reported_state {
        ReportedState::Running => AssignmentState::Running,
        ReportedState::Saving => AssignmentState::Saving,
        _ => AssignmentState::Preparing,
    };
    if reported_state == ReportedState::Running && assignment.running_since.is_none() {
        assignment.running_since = Some(now);
        outcome.began.push(task.clone());
    }
}

fn fetched(assignment: &mut Assignment, task: &TaskId, outcome: &mut HeartbeatOutcome) {
    if !assignment.has_image {
        assignment.has_image = true;
        outcome.fetched.push(task.clone());
    }
}

#[cfg(test)]
mod tests;
