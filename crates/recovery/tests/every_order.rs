//! Exhaustive search of all orders of events in a small model: two leaders, two machines, and one task with
//! at most two attempts. Commits, commands and heartbeats may be delayed or lost, worker epochs may end, and
//! answers may be lost. In every state reached, the task runs on at most one machine. With any one safety
//! check of the decision table disabled, the search finds a state in which it runs on both.

use pearford_recovery::{
    Adoption, Decision, InheritedAssignment, Observation, RecordedState, ReportedState, TaskExit, adopt,
    reconcile,
};
use std::collections::HashSet;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

const MACHINES: usize = 2;
/// Most attempts of the task.
const MAX_ATTEMPTS: u8 = 2;
/// Most heartbeats of a worker per epoch.
const MAX_SERIAL: u8 = 2;
/// Most commands in transit at the same time.
const MAX_COMMANDS: usize = 2;

/// State of the task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum WorkerTask {
    Nothing,
    /// This attempt is running.
    Running(u8),
    /// This attempt failed or was stopped; the worker lists it until it may forget it.
    Ended(u8),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Worker {
    worker_epoch: u8,
    serial: u8,
    fencing_token: u8,
    task: WorkerTask,
}

/// A direct command in transit to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Command {
    machine: usize,
    fencing_token: u8,
    worker_epoch: u8,
    attempt: u8,
    /// Whether the command is a start; otherwise it is a stop.
    start: bool,
}

/// A heartbeat in transit to a leader.
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
    /// The worker epoch for which the start was sent. Unacknowledged, the start may take effect until it
    /// ends.
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
    /// Whether it has read the records.
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
    /// The stored records: the attempt assigned to each machine.
    recorded: [Option<u8>; MACHINES],
    /// The fencing token that the store requires of commits.
    store_fencing_token: u8,
    leaders: Vec<Leader>,
    commands: Vec<Command>,
    heartbeats: Vec<Heartbeat>,
    attempts: u8,
    epochs_left: u8,
}

/// A safety check that a search can disable.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Check {
    /// A task's absence proves that it is gone only if the worker has seen the leader's fencing token.
    FencingToken,
    /// An unacknowledged start may take effect until the worker epoch ends.
    UnacknowledgedStart,
    /// A commit succeeds only for the present leader.
    Commit,
    /// A worker doesn't forget an ended attempt while a start of it may still take effect.
    Forget,
    /// Of two stored attempts, the lower one is dropped.
    Superseded,
}

/// A search over all orders of events.
#[derive(Debug, Clone, Copy)]
struct Search {
    disabled: Option<Check>,
    /// Whether the task may start again on its machine; otherwise it is to be stopped.
    wanted_here: bool,
}

impl Search {
    fn performs(&self, check: Check) -> bool {
        self.disabled != Some(check)
    }

    fn initial_state() -> State {
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

    /// All states that one event can lead to from `state`.
    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        next.extend(Self::worker_epoch_ends(state));
        next.extend(Self::second_term_begins(state));
        for machine in 0..MACHINES {
            next.extend(Self::task_ends(state, machine));
            next.extend(Self::worker_sends_heartbeat(state, machine));
        }
        for (i, leader) in state.leaders.iter().enumerate() {
            if !leader.ready {
                next.push(self.records_are_read(state, i));
                continue;
            }
            for machine in 0..MACHINES {
                next.extend(Self::worker_learns_fencing_token(state, i, machine));
                next.extend(self.task_is_planned(state, i, machine));
                next.extend(Self::start_is_sent(state, i, machine));
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

    /// The epoch of the first worker ends: the worker kills and forgets its tasks. The machines are
    /// equivalent, so it is enough to model this for one of them.
    fn worker_epoch_ends(state: &State) -> Option<State> {
        let mut next = state.clone();
        next.epochs_left = state.epochs_left.checked_sub(1)?;
        next.workers[0] =
            Worker { worker_epoch: 2, serial: 0, task: WorkerTask::Nothing, ..state.workers[0] };
        Some(next)
    }

    /// A task ends by itself.
    fn task_ends(state: &State, machine: usize) -> Option<State> {
        let WorkerTask::Running(attempt) = state.workers[machine].task else { return None };
        let mut next = state.clone();
        next.workers[machine].task = WorkerTask::Ended(attempt);
        Some(next)
    }

    /// A worker sends a heartbeat, which may arrive immediately, later or never.
    fn worker_sends_heartbeat(state: &State, machine: usize) -> Option<State> {
        if state.workers[machine].serial >= MAX_SERIAL || !state.heartbeats.is_empty() {
            return None;
        }
        let mut next = state.clone();
        next.workers[machine].serial += 1;
        let Worker { worker_epoch, serial, fencing_token, task } = next.workers[machine];
        next.heartbeats.push(Heartbeat { machine, worker_epoch, serial, fencing_token, task });
        Some(next)
    }

    /// The second leader's term begins; it reads the records in a later event.
    fn second_term_begins(state: &State) -> Option<State> {
        if state.leaders.len() > 1 {
            return None;
        }
        let mut next = state.clone();
        next.store_fencing_token = 2;
        next.leaders.push(Leader::new(2, false));
        Some(next)
    }

    /// A leader reads the records and adopts the stored assignments.
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

    /// A worker receives a leader's fencing token in the answer to a heartbeat.
    fn worker_learns_fencing_token(state: &State, i: usize, machine: usize) -> Option<State> {
        let fencing_token = state.leaders[i].fencing_token;
        if state.workers[machine].fencing_token >= fencing_token {
            return None;
        }
        let mut next = state.clone();
        next.workers[machine].fencing_token = fencing_token;
        Some(next)
    }

    /// A leader that has no assignment of the task plans it on a machine. The commit succeeds only if the
    /// leader's term has not ended.
    fn task_is_planned(&self, state: &State, i: usize, machine: usize) -> Option<State> {
        let leader = &state.leaders[i];
        let assigned = leader.assignments.iter().any(Option::is_some);
        let is_present_leader = state.store_fencing_token == leader.fencing_token;
        if assigned || state.attempts >= MAX_ATTEMPTS || (!is_present_leader && self.performs(Check::Commit))
        {
            return None;
        }
        let mut next = state.clone();
        next.attempts += 1;
        next.recorded[machine] = Some(next.attempts);
        next.leaders[i].assignments[machine] =
            Some(Assignment { attempt: next.attempts, state: RecordedState::Ready, sent_in: 0 });
        Some(next)
    }

    /// A leader sends a start for the worker epoch that it knows. The start is not acknowledged and may be
    /// sent again.
    fn start_is_sent(state: &State, i: usize, machine: usize) -> Option<State> {
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

    /// A command arrives, in any order with other commands, and may arrive once more after it was executed;
    /// or it is lost.
    fn command_arrives(state: &State, k: usize) -> [State; 3] {
        let mut lost = state.clone();
        let command = lost.commands.remove(k);
        let mut arrived = lost.clone();
        execute(&mut arrived.workers[command.machine], &command);
        let mut repeated = arrived.clone();
        send(&mut repeated, command);
        [repeated, arrived, lost]
    }

    /// A heartbeat arrives at one of the leaders, possibly at one whose term has ended.
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

    /// The worker may or may not receive the answer. The removal may or may not be written, and is written
    /// only if the leader's term has not ended.
    fn task_is_gone(
        &self,
        unanswered: State,
        assignment: Assignment,
        heartbeat: &Heartbeat,
        fencing_token: u8,
    ) -> Vec<State> {
        // If the worker forgot the attempt, a start that still arrives would start it again.
        let start_may_take_effect =
            assignment.sent_in == heartbeat.worker_epoch && self.performs(Check::Forget);
        let mut answered = unanswered.clone();
        answer(&mut answered.workers[heartbeat.machine], heartbeat, fencing_token, start_may_take_effect);
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

    /// The decision of the table on a leader's assignment and a heartbeat.
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
            start_may_arrive: false,
        })
    }

    /// Searches all reachable states. Returns their number, or an error with the first one in which the task
    /// runs on both machines.
    fn run(&self) -> Result<usize, String> {
        // States are compared by hash: a collision among some hundred thousand 64-bit hashes is negligibly
        // unlikely.
        let hash = |state: &State| BuildHasherDefault::<DefaultHasher>::default().hash_one(state);
        let initial_state = Self::initial_state();
        let mut seen = HashSet::from([hash(&initial_state)]);
        let mut unexplored = vec![initial_state];
        while let Some(state) = unexplored.pop() {
            let is_running = |worker: &&Worker| matches!(worker.task, WorkerTask::Running(_));
            if state.workers.iter().filter(is_running).count() > 1 {
                return Err(format!("ran_twice: {state:?}"));
            }
            unexplored.extend(self.successors(&state).into_iter().filter(|next| seen.insert(hash(next))));
        }
        Ok(seen.len())
    }
}

/// The reported state of a leader's assignment, given the worker's task. A task of another attempt than the
/// assignment's counts as absent.
fn reported_state(assignment: Option<Assignment>, task: WorkerTask) -> ReportedState {
    let is_this_attempt = |attempt: u8| assignment.is_none_or(|assignment| assignment.attempt == attempt);
    match task {
        WorkerTask::Running(attempt) if is_this_attempt(attempt) => ReportedState::Running,
        WorkerTask::Ended(attempt) if is_this_attempt(attempt) => {
            ReportedState::Ended(TaskExit::Stopped { saved: false })
        }
        _ => ReportedState::Absent,
    }
}

/// Adds a command in transit. Commands may arrive in any order, so they are kept sorted to merge equal
/// states.
fn send(state: &mut State, command: Command) {
    state.commands.push(command);
    state.commands.sort();
}

/// Sends a stop for the reported task, which has no assignment.
fn stop(state: &mut State, heartbeat: &Heartbeat, fencing_token: u8) {
    let WorkerTask::Running(attempt) = heartbeat.task else { return };
    if state.commands.len() < MAX_COMMANDS {
        let Heartbeat { machine, worker_epoch, .. } = *heartbeat;
        send(state, Command { machine, fencing_token, worker_epoch, attempt, start: false });
    }
}

/// A worker executes a command for its present epoch, unless it has seen a higher fencing token.
fn execute(worker: &mut Worker, command: &Command) {
    if command.fencing_token < worker.fencing_token || command.worker_epoch != worker.worker_epoch {
        return;
    }
    worker.fencing_token = command.fencing_token;
    if command.start && worker.task == WorkerTask::Nothing {
        worker.task = WorkerTask::Running(command.attempt);
    } else if !command.start && worker.task == WorkerTask::Running(command.attempt) {
        worker.task = WorkerTask::Ended(command.attempt);
    }
}

/// Delivers the answer to a heartbeat: the worker records the fencing token and may forget an ended task.
fn answer(worker: &mut Worker, heartbeat: &Heartbeat, fencing_token: u8, start_may_take_effect: bool) {
    let is_newest = (worker.worker_epoch, worker.serial) == (heartbeat.worker_epoch, heartbeat.serial);
    if !is_newest || fencing_token < worker.fencing_token {
        return;
    }
    worker.fencing_token = fencing_token;
    let ended = matches!(worker.task, WorkerTask::Ended(_)) && worker.task == heartbeat.task;
    if ended && !start_may_take_effect {
        worker.task = WorkerTask::Nothing;
    }
}

#[test]
fn task_never_runs_on_two_machines_in_any_order_of_events() {
    for wanted_here in [false, true] {
        let states =
            Search { disabled: None, wanted_here }.run().expect("the task never runs on two machines");
        println!("{states} states");
        assert!(
            states > 10_000,
            "the search reached only {states} states: the model is too small to be meaningful"
        );
    }
}

#[test]
fn disabling_any_safety_check_lets_the_task_run_on_two_machines() {
    let checks =
        [Check::FencingToken, Check::UnacknowledgedStart, Check::Commit, Check::Forget, Check::Superseded];
    for check in checks {
        let finds_violation = |wanted_here| Search { disabled: Some(check), wanted_here }.run().is_err();
        assert!(
            finds_violation(false) || finds_violation(true),
            "the search found no violation without {check:?}"
        );
    }
}
