//! Every order of events at small size: two leaders, two machines, one task of which two attempts may be
//! made, with commits, commands and heartbeats that come late or never, worker epochs that end, and answers
//! that get lost. After each step: the task is never on both machines. With one of the table's safety checks
//! switched off the search finds how it gets there.

use pearford_recovery::{
    Adoption, Decision, InheritedAssignment, Observation, RecordedState, ReportedState, TaskExit, adopt,
    reconcile,
};
use std::collections::HashSet;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

const MACHINES: usize = 2;
/// Most attempts, heartbeats of a worker, and commands or heartbeats on their way at a time.
const MAX_ATTEMPTS: u8 = 2;
const MAX_SERIAL: u8 = 2;
const MAX_COMMANDS: usize = 2;

/// What a worker has of the one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum WorkerTask {
    Nothing,
    /// This attempt runs.
    Runs(u8),
    /// This attempt failed or was stopped; it is listed until the worker may forget it.
    Ended(u8),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Worker {
    worker_epoch: u8,
    serial: u8,
    fencing_token: u8,
    task: WorkerTask,
}

/// A direct command on its way to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Command {
    machine: usize,
    fencing_token: u8,
    worker_epoch: u8,
    attempt: u8,
    /// A start; else a stop.
    start: bool,
}

/// A heartbeat on its way to a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Heartbeat {
    machine: usize,
    worker_epoch: u8,
    serial: u8,
    fencing_token: u8,
    task: WorkerTask,
}

/// A leader's assignment of the task to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Assignment {
    attempt: u8,
    state: RecordedState,
    /// The worker epoch for which the start was sent: without an answer it may act while that lasts.
    sent_in: u8,
}

/// The newest heartbeat of a machine that a leader has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
struct KnownHeartbeat {
    worker_epoch: u8,
    serial: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Leader {
    fencing_token: u8,
    /// It has read the records.
    ready: bool,
    assignments: [Option<Assignment>; MACHINES],
    known: [KnownHeartbeat; MACHINES],
}

impl Leader {
    fn new(fencing_token: u8, ready: bool) -> Self {
        Self {
            fencing_token,
            ready,
            assignments: [None; MACHINES],
            known: [KnownHeartbeat::default(); MACHINES],
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    workers: [Worker; MACHINES],
    /// The records: the attempt that is stored for each machine.
    recorded: [Option<u8>; MACHINES],
    /// The fencing token with which commits pass.
    store_fencing_token: u8,
    leaders: Vec<Leader>,
    commands: Vec<Command>,
    heartbeats: Vec<Heartbeat>,
    attempts: u8,
    epochs_left: u8,
}

/// A safety check that the search leaves out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Check {
    /// Absence proves something only once the worker has seen the leader's fencing token.
    FencingToken,
    /// A start without an answer may act until the worker epoch ends.
    UnacknowledgedStart,
    /// A commit passes only for the leader.
    Commit,
    /// What has ended is not forgotten while a start of it may still act.
    Forget,
    /// Of two stored attempts the lower one is dropped.
    Superseded,
}

/// A search over all orders of events.
#[derive(Debug, Clone, Copy)]
struct Search {
    disabled: Option<Check>,
    /// The task may start again where it was; else it is to stop.
    wanted_here: bool,
}

impl Search {
    fn performs(&self, check: Check) -> bool {
        self.disabled != Some(check)
    }

    fn first() -> State {
        let worker = Worker { worker_epoch: 1, serial: 0, fencing_token: 0, task: WorkerTask::Nothing };
        State {
            workers: [worker; MACHINES],
            recorded: [None; MACHINES],
            store_fencing_token: 1,
            leaders: vec![Leader::new(1, true)],
            commands: Vec::new(),
            heartbeats: Vec::new(),
            attempts: 0,
            epochs_left: 1,
        }
    }

    /// Everything that may happen next.
    fn next(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        next.extend(Self::worker_epoch_ends(state));
        next.extend(Self::second_leader_begins(state));
        for machine in 0..MACHINES {
            next.extend(Self::task_ends(state, machine));
            next.extend(Self::worker_reports(state, machine));
        }
        for (i, leader) in state.leaders.iter().enumerate() {
            if !leader.ready {
                next.push(self.records_are_read(state, i));
                continue;
            }
            for machine in 0..MACHINES {
                next.extend(Self::worker_learns_fencing_token(state, i, machine));
                next.extend(self.task_is_planned(state, i, machine));
                next.extend(Self::start_leaves(state, i, machine));
            }
        }
        for k in 0..state.commands.len() {
            next.extend(Self::command_arrives(state, k));
        }
        for k in 0..state.heartbeats.len() {
            for i in 0..state.leaders.len() {
                next.extend(self.heartbeat_arrives(state, k, i));
            }
        }
        next
    }

    /// The first worker's epoch ends: it kills and forgets everything. (The machines are alike.)
    fn worker_epoch_ends(state: &State) -> Option<State> {
        let mut next = state.clone();
        next.epochs_left = state.epochs_left.checked_sub(1)?;
        next.workers[0] =
            Worker { worker_epoch: 2, serial: 0, task: WorkerTask::Nothing, ..state.workers[0] };
        Some(next)
    }

    /// A task ends by itself.
    fn task_ends(state: &State, machine: usize) -> Option<State> {
        let WorkerTask::Runs(attempt) = state.workers[machine].task else { return None };
        let mut next = state.clone();
        next.workers[machine].task = WorkerTask::Ended(attempt);
        Some(next)
    }

    /// A worker reports. The heartbeat may be read now, later or never.
    fn worker_reports(state: &State, machine: usize) -> Option<State> {
        if state.workers[machine].serial >= MAX_SERIAL || !state.heartbeats.is_empty() {
            return None;
        }
        let mut next = state.clone();
        next.workers[machine].serial += 1;
        let Worker { worker_epoch, serial, fencing_token, task } = next.workers[machine];
        next.heartbeats.push(Heartbeat { machine, worker_epoch, serial, fencing_token, task });
        Some(next)
    }

    /// The second leader begins to lead, and reads the records later.
    fn second_leader_begins(state: &State) -> Option<State> {
        if state.leaders.len() > 1 {
            return None;
        }
        let mut next = state.clone();
        next.store_fencing_token = 2;
        next.leaders.push(Leader::new(2, false));
        Some(next)
    }

    /// A leader reads the records and adopts what is stored.
    fn records_are_read(&self, state: &State, i: usize) -> State {
        let mut next = state.clone();
        let newest = state.recorded.iter().flatten().max().copied();
        let adopted = |attempt: u8| {
            let superseded = Some(attempt) < newest && self.performs(Check::Superseded);
            let inherited = InheritedAssignment { job_open: true, task_done: false, superseded };
            let assignment = Assignment { attempt, state: RecordedState::Inherited, sent_in: 0 };
            (adopt(&inherited) == Adoption::Keep).then_some(assignment)
        };
        next.leaders[i].assignments = state.recorded.map(|attempt| attempt.and_then(adopted));
        next.leaders[i].ready = true;
        next
    }

    /// A worker learns a leader's fencing token by the answer to a heartbeat.
    fn worker_learns_fencing_token(state: &State, i: usize, machine: usize) -> Option<State> {
        let fencing_token = state.leaders[i].fencing_token;
        if state.workers[machine].fencing_token >= fencing_token {
            return None;
        }
        let mut next = state.clone();
        next.workers[machine].fencing_token = fencing_token;
        Some(next)
    }

    /// A leader that has no assignment of the task plans it on a machine, and writes that if it still leads.
    fn task_is_planned(&self, state: &State, i: usize, machine: usize) -> Option<State> {
        let leader = &state.leaders[i];
        let assigned = leader.assignments.iter().any(Option::is_some);
        let leads = state.store_fencing_token == leader.fencing_token;
        if assigned || state.attempts >= MAX_ATTEMPTS || (!leads && self.performs(Check::Commit)) {
            return None;
        }
        let mut next = state.clone();
        next.attempts += 1;
        next.recorded[machine] = Some(next.attempts);
        next.leaders[i].assignments[machine] =
            Some(Assignment { attempt: next.attempts, state: RecordedState::Ready, sent_in: 0 });
        Some(next)
    }

    /// A start leaves for the worker epoch that the leader knows, and nobody answers it; it may be sent
    /// again.
    fn start_leaves(state: &State, i: usize, machine: usize) -> Option<State> {
        let leader = &state.leaders[i];
        let assignment = leader.assignments[machine]?;
        let worker_epoch = leader.known[machine].worker_epoch;
        let may_start = matches!(assignment.state, RecordedState::Ready | RecordedState::Sent);
        if !may_start || state.commands.len() >= MAX_COMMANDS || worker_epoch == 0 {
            return None;
        }
        let mut next = state.clone();
        next.leaders[i].assignments[machine] =
            Some(Assignment { state: RecordedState::Sent, sent_in: worker_epoch, ..assignment });
        send(
            &mut next,
            Command {
                machine,
                fencing_token: leader.fencing_token,
                worker_epoch,
                attempt: assignment.attempt,
                start: true,
            },
        );
        Some(next)
    }

    /// A command arrives, whichever was sent first, and may come once more though it was carried out; or it
    /// is lost.
    fn command_arrives(state: &State, k: usize) -> [State; 3] {
        let mut lost = state.clone();
        let command = lost.commands.remove(k);
        let mut arrived = lost.clone();
        carry_out(&mut arrived.workers[command.machine], &command);
        let mut repeated = arrived.clone();
        send(&mut repeated, command);
        [repeated, arrived, lost]
    }

    /// A heartbeat arrives at some leader, also at one that no longer leads.
    fn heartbeat_arrives(&self, state: &State, k: usize, i: usize) -> Vec<State> {
        let mut next = state.clone();
        let heartbeat = next.heartbeats.remove(k);
        let machine = heartbeat.machine;
        let leader = &mut next.leaders[i];
        let known = KnownHeartbeat { worker_epoch: heartbeat.worker_epoch, serial: heartbeat.serial };
        if !leader.ready || known <= leader.known[machine] {
            return vec![next];
        }
        leader.known[machine] = known;
        let fencing_token = leader.fencing_token;
        let assignment = leader.assignments[machine];
        match (self.decide(assignment, &heartbeat, fencing_token), assignment) {
            (Decision::Present, Some(assignment)) => {
                leader.assignments[machine] = Some(Assignment { state: RecordedState::Listed, ..assignment });
            }
            (Decision::StartHere, Some(assignment)) => {
                leader.assignments[machine] = Some(Assignment { state: RecordedState::Ready, ..assignment });
            }
            (Decision::Gone(_), Some(assignment)) => {
                leader.assignments[machine] = None;
                return self.task_is_gone(next, assignment, &heartbeat, fencing_token);
            }
            (Decision::Stop, None) => stop(&mut next, &heartbeat, fencing_token),
            _ => {}
        }
        vec![next]
    }

    /// The answer gets to the worker or not; the removal is written late, or never, and only if the leader
    /// still leads.
    fn task_is_gone(
        &self,
        unanswered: State,
        assignment: Assignment,
        heartbeat: &Heartbeat,
        fencing_token: u8,
    ) -> Vec<State> {
        // A start that may still act would start again what was forgotten.
        let start_may_act = assignment.sent_in == heartbeat.worker_epoch && self.performs(Check::Forget);
        let mut answered = unanswered.clone();
        answer(&mut answered.workers[heartbeat.machine], heartbeat, fencing_token, start_may_act);
        let mut next = Vec::new();
        for unwritten in [unanswered, answered] {
            if unwritten.store_fencing_token == fencing_token {
                let mut written = unwritten.clone();
                written.recorded[heartbeat.machine] = None;
                next.push(written);
            }
            next.push(unwritten);
        }
        next
    }

    /// The table's decision on what a leader has recorded and a heartbeat says.
    fn decide(&self, assignment: Option<Assignment>, heartbeat: &Heartbeat, fencing_token: u8) -> Decision {
        let later_epoch = assignment.is_some_and(|assignment| heartbeat.worker_epoch > assignment.sent_in);
        reconcile(&Observation {
            recorded_state: assignment.map_or(RecordedState::Nothing, |assignment| assignment.state),
            stopping: !self.wanted_here,
            reported_state: reported_state(assignment, heartbeat.task),
            after_command: later_epoch || !self.performs(Check::UnacknowledgedStart),
            saw_fencing_token: heartbeat.fencing_token == fencing_token
                || !self.performs(Check::FencingToken),
            wanted_here: self.wanted_here,
            may_still_arrive: false,
        })
    }

    /// How many states there are, or the first that breaks the rule.
    fn run(&self) -> Result<usize, String> {
        // States are told apart by hash: a collision among some hundred thousand is as good as impossible.
        let hash = |state: &State| BuildHasherDefault::<DefaultHasher>::default().hash_one(state);
        let first = Self::first();
        let mut seen = HashSet::from([hash(&first)]);
        let mut open = vec![first];
        while let Some(state) = open.pop() {
            let runs = |worker: &&Worker| matches!(worker.task, WorkerTask::Runs(_));
            if state.workers.iter().filter(runs).count() > 1 {
                return Err(format!("ran_twice: {state:?}"));
            }
            open.extend(self.next(&state).into_iter().filter(|next| seen.insert(hash(next))));
        }
        Ok(seen.len())
    }
}

/// What a worker's task means for a leader's assignment. Of another attempt than the assignment's nothing is
/// said.
fn reported_state(assignment: Option<Assignment>, task: WorkerTask) -> ReportedState {
    let is_meant = |attempt: u8| assignment.is_none_or(|assignment| assignment.attempt == attempt);
    match task {
        WorkerTask::Runs(attempt) if is_meant(attempt) => ReportedState::Running,
        WorkerTask::Ended(attempt) if is_meant(attempt) => {
            ReportedState::Ended(TaskExit::Stopped { saved: false })
        }
        _ => ReportedState::Absent,
    }
}

/// Puts a command on its way; they may arrive in any order, so they are kept sorted.
fn send(state: &mut State, command: Command) {
    state.commands.push(command);
    state.commands.sort();
}

/// Stops what runs without an assignment.
fn stop(state: &mut State, heartbeat: &Heartbeat, fencing_token: u8) {
    let WorkerTask::Runs(attempt) = heartbeat.task else { return };
    if state.commands.len() < MAX_COMMANDS {
        let Heartbeat { machine, worker_epoch, .. } = *heartbeat;
        send(state, Command { machine, fencing_token, worker_epoch, attempt, start: false });
    }
}

/// A worker obeys a command with a fencing token as high as it has seen, for its present epoch.
fn carry_out(worker: &mut Worker, command: &Command) {
    if command.fencing_token < worker.fencing_token || command.worker_epoch != worker.worker_epoch {
        return;
    }
    worker.fencing_token = command.fencing_token;
    if command.start && worker.task == WorkerTask::Nothing {
        worker.task = WorkerTask::Runs(command.attempt);
    } else if !command.start && worker.task == WorkerTask::Runs(command.attempt) {
        worker.task = WorkerTask::Ended(command.attempt);
    }
}

/// The answer to a heartbeat lets the worker forget an ended task, and tells it the fencing token.
fn answer(worker: &mut Worker, heartbeat: &Heartbeat, fencing_token: u8, start_may_act: bool) {
    let is_newest = (worker.worker_epoch, worker.serial) == (heartbeat.worker_epoch, heartbeat.serial);
    if !is_newest || fencing_token < worker.fencing_token {
        return;
    }
    worker.fencing_token = fencing_token;
    let ended = matches!(worker.task, WorkerTask::Ended(_)) && worker.task == heartbeat.task;
    if ended && !start_may_act {
        worker.task = WorkerTask::Nothing;
    }
}

#[test]
fn in_no_order_of_events_is_the_task_on_two_machines() {
    for wanted_here in [false, true] {
        let states = Search { disabled: None, wanted_here }.run().expect("no rule is broken");
        println!("{states} states");
        assert!(states > 10_000, "{states} states: the model has become too small to show anything");
    }
}

#[test]
fn without_each_safety_check_some_order_of_events_has_the_task_on_two_machines() {
    let checks =
        [Check::FencingToken, Check::UnacknowledgedStart, Check::Commit, Check::Forget, Check::Superseded];
    for check in checks {
        let finds = |wanted_here| Search { disabled: Some(check), wanted_here }.run().is_err();
        assert!(finds(false) || finds(true), "{check:?} is not needed?");
    }
}
