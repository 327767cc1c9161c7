//! Searches all orders of events during an outage of the key-value store in a small model: two nodes, one
//! worker, one task, one cancellation. The store refuses the first node alone, then all nodes, for any time.
//! Reads are answered late, answers are lost, a node restarts, a start is delayed. The invariant: `cancel_s`
//! after the cancellation was confirmed, no task of the cancelled job runs. With a safety check of
//! `LeaseRenewal` disabled, the search finds a violation.
//!
//! Time advances in steps of one second. Clock drift is computed to the millisecond, with each clock at either
//! limit of the drift.

use pearford_heartbeat::{DisabledCheck, LeaseRenewal, RenewalBounds, UnacknowledgedStarts};
use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime};
use std::collections::HashSet;

// All times are in seconds, in the same proportions as in the service or less favourable ones.

const RECENT_S: u32 = 1;
const FRESH_S: u32 = 2;
const LEASE_S: u32 = 1;
const ANSWER_WINDOW_S: u32 = 5;
const MARGIN_S: u32 = 1;
const CANCEL_S: u32 = LEASE_S + ANSWER_WINDOW_S + MARGIN_S;
/// Maximum time until a read is answered.
const MAX_READ_DELAY_S: u32 = 2;
/// How long a leader without the key-value store keeps its leadership lease.
const LEADERSHIP_LEASE_S: u32 = 1;
/// Time from the first refusal of the leader's requests until another node leads.
const REPLACED_AFTER_S: u32 = 1;
/// Time within which a leader with its leadership lease returns a machine with an unacknowledged start, after
/// it learns of the cancellation or its read becomes too old to show one.
const RETURNED_AFTER_S: u32 = 2;
/// Greater ages of reads are not distinguished.
const MAX_READ_AGE_S: u32 = ANSWER_WINDOW_S + MARGIN_S + 1;
/// Maximum drift of a clock in parts per million.
const DRIFT_PPM: u32 = 500;

// Indexes of the node that leads at first, and of the other one.
const LEADER: usize = 0;
const DELEGATE: usize = 1;

/// The key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Store {
    Available,
    /// It has refused only the leader's requests, for this long.
    RefusesLeader(u32),
    Unavailable,
}

/// A read in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Read {
    /// How long ago it was started.
    age: u32,
    /// Whether it found the cancellation; `None` until the store has carried it out.
    found: Option<bool>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Node {
    /// Age of the newest read that was answered.
    records_read: Option<u32>,
    pending_read: Option<Read>,
    /// Whether it knows of the cancellation.
    knows_cancellation: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Task {
    Running,
    /// Its start is in flight; only the leader, which sent it, knows.
    StartInFlight,
    Gone,
}

/// The leader's last announcement of its unacknowledged starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Announcement {
    age: u32,
    /// Whether the machine is listed as one where a start may still arrive.
    unacknowledged: bool,
    /// Whether the machine is listed as one whose lease must not be renewed.
    never_renew: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    store: Store,
    nodes: [Node; 2],
    /// How long ago the cancellation was confirmed.
    cancelled: Option<u32>,
    /// How long the leader has known of it.
    leader_knew: u32,
    /// Age of the newest heartbeat that was answered with a renewal of the lease.
    renewed: u32,
    /// Whether the worker epoch, and with it the lease, continues.
    worker_epoch: bool,
    task: Task,
    announced: Announcement,
}

/// The events of one time step. Each may happen or not, in this order; then a second passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Event {
    StoreFails,
    LeaderReads,
    DelegateReads,
    UserCancels,
    LeaderAnnounces,
    TaskStarts,
    WorkerReports,
    DelegateRestarts,
    TimePasses,
}

impl Event {
    fn next(self) -> Event {
        match self {
            Event::StoreFails => Event::LeaderReads,
            Event::LeaderReads => Event::DelegateReads,
            Event::DelegateReads => Event::UserCancels,
            Event::UserCancels => Event::LeaderAnnounces,
            Event::LeaderAnnounces => Event::TaskStarts,
            Event::TaskStarts => Event::WorkerReports,
            Event::WorkerReports => Event::DelegateRestarts,
            Event::DelegateRestarts => Event::TimePasses,
            Event::TimePasses => Event::StoreFails,
        }
    }
}

/// A state, and the next possible event of its time step.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Position {
    state: State,
    event: Event,
}

struct Search {
    disabled: Option<DisabledCheck>,
    /// By how many parts per million each node's clock is slow; negative: fast.
    slow_ppm: [i64; 2],
}

const NOW: MonotonicTime = MonotonicTime::from_millis(100_000);

impl Search {
    /// The time by the clock of node `i` of `age` seconds ago.
    fn ago(&self, i: usize, age: u32) -> MonotonicTime {
        let by_clock = i64::from(age) * (1_000_000 - self.slow_ppm[i]) / 1_000;
        NOW.before(Duration::from_millis(by_clock as u64))
    }

    /// Whether node `i` answers a heartbeat that it receives now with a renewal of the lease.
    fn renews(&self, state: &State, i: usize) -> bool {
        let seconds = |seconds: u32| Duration::from_millis(u64::from(seconds) * 1_000);
        let mut renewal = LeaseRenewal::new(RenewalBounds {
            answer_window: seconds(ANSWER_WINDOW_S),
            max_age_for_starts: seconds(FRESH_S),
            recent_age: seconds(RECENT_S),
        });
        if let Some(check) = self.disabled {
            renewal.disable(check);
        }
        if let Some(age) = state.nodes[i].records_read {
            renewal.records_read(self.ago(i, age), self.ago(i, age));
        }
        if i == LEADER {
            return renewal.leader_may_renew(state.task == Task::StartInFlight, NOW);
        }
        let machine = MachineId::from("m");
        let announced = state.announced;
        let named = |named: bool| named.then(|| machine.clone()).into_iter().collect();
        let starts = UnacknowledgedStarts::new(
            FencingToken(1),
            1,
            named(announced.unacknowledged),
            named(announced.never_renew),
        );
        renewal.unacknowledged_starts_received(starts, self.ago(DELEGATE, announced.age));
        renewal.delegate_may_renew(&machine, FencingToken(1), true, NOW)
    }

    fn has_leadership_lease(state: &State) -> bool {
        match state.store {
            Store::Available => true,
            Store::RefusesLeader(age) => age < LEADERSHIP_LEASE_S,
            // Counted from its last read, which does not itself renew the leadership lease, but is at least
            // as recent as the last renewal.
            Store::Unavailable => {
                state.nodes[LEADER].records_read.is_some_and(|age| age < LEADERSHIP_LEASE_S)
            }
        }
    }

    fn store_serves(state: &State, i: usize) -> bool {
        match state.store {
            Store::Available => true,
            Store::RefusesLeader(_) => i == DELEGATE,
            Store::Unavailable => false,
        }
    }

    /// The state one second later.
    fn one_second_later(mut state: State) -> State {
        let increment = |age: &mut u32, max: u32| *age = (*age + 1).min(max);
        for node in &mut state.nodes {
            node.records_read.iter_mut().for_each(|age| increment(age, MAX_READ_AGE_S));
            node.pending_read.iter_mut().for_each(|read| increment(&mut read.age, MAX_READ_AGE_S));
        }
        state.cancelled.iter_mut().for_each(|age| increment(age, CANCEL_S + 1));
        if state.nodes[LEADER].knows_cancellation {
            increment(&mut state.leader_knew, RETURNED_AFTER_S);
        }
        if let Store::RefusesLeader(age) = &mut state.store {
            increment(age, REPLACED_AFTER_S);
        }
        increment(&mut state.announced.age, ANSWER_WINDOW_S);
        increment(&mut state.renewed, LEASE_S + 1);
        let last_read = state.nodes[LEADER].records_read;
        let read_too_old = last_read.is_none_or(|age| age >= FRESH_S + RETURNED_AFTER_S);
        let returned = state.task == Task::StartInFlight
            && (read_too_old || state.leader_knew >= RETURNED_AFTER_S)
            && Self::has_leadership_lease(&state);
        state.worker_epoch &= state.renewed <= LEASE_S && !returned;
        state
    }

    /// Whether the task runs longer than it may, even if only until shortly before the next step.
    fn violates_invariant(state: &State) -> bool {
        let remaining_ms =
            LEASE_S.saturating_sub(state.renewed) * 1_000 + (LEASE_S * DRIFT_PPM).div_ceil(1_000);
        state.worker_epoch
            && state.task == Task::Running
            && state.cancelled.is_some_and(|age| age * 1_000 + remaining_ms.min(999) > CANCEL_S * 1_000)
    }

    /// All next positions: after each variant of the event, and without it.
    fn next(&self, Position { state, event }: &Position) -> Vec<Position> {
        let mut next = match event {
            Event::StoreFails => Self::store_fails(state),
            Event::LeaderReads => self.reads(state, LEADER),
            Event::DelegateReads => self.reads(state, DELEGATE),
            Event::UserCancels => Self::user_cancels(state),
            Event::LeaderAnnounces => Self::leader_announces(state),
            Event::TaskStarts => Self::task_starts(state),
            Event::WorkerReports => self.worker_reports(state),
            Event::DelegateRestarts => Self::delegate_restarts(state),
            Event::TimePasses => {
                return vec![Position { state: Self::one_second_later(state.clone()), event: event.next() }];
            }
        };
        next.push(state.clone());
        next.into_iter().map(|state| Position { state, event: event.next() }).collect()
    }

    /// The store refuses the leader's requests, then those of all nodes. Its recovery is left out, since it
    /// makes nothing worse.
    fn store_fails(state: &State) -> Vec<State> {
        let worse: &[Store] = match state.store {
            Store::Available => &[Store::RefusesLeader(0), Store::Unavailable],
            Store::RefusesLeader(_) => &[Store::Unavailable],
            Store::Unavailable => &[],
        };
        worse.iter().map(|store| State { store: *store, ..state.clone() }).collect()
    }

    /// A read of node `i` is started, carried out and answered, each step at once or later.
    fn reads(&self, state: &State, i: usize) -> Vec<State> {
        let with_pending = |read: Option<Read>| {
            let mut next = state.clone();
            next.nodes[i].pending_read = read;
            next
        };
        let answered = |age: u32, found: bool| {
            let mut next = with_pending(None);
            let known = state.nodes[i].records_read;
            // With the check disabled the age is counted from the answer.
            let age = if self.disabled == Some(DisabledCheck::ReadStart) { 0 } else { age };
            next.nodes[i].records_read = Some(known.map_or(age, |known| known.min(age)));
            next.nodes[i].knows_cancellation |= found;
            next
        };
        let found = state.cancelled.is_some();
        match state.nodes[i].pending_read {
            // The delegate's reads are answered at once: the same bound applies to them as to the leader's.
            None if Self::store_serves(state, i) && i == DELEGATE => vec![answered(0, found)],
            None if Self::store_serves(state, i) => vec![
                with_pending(Some(Read { age: 0, found: None })),
                with_pending(Some(Read { age: 0, found: Some(found) })),
                answered(0, found),
            ],
            Some(read) if read.age > MAX_READ_DELAY_S => vec![with_pending(None)],
            Some(read @ Read { found: None, .. }) if Self::store_serves(state, i) => {
                vec![with_pending(Some(Read { found: Some(found), ..read })), answered(read.age, found)]
            }
            Some(Read { age, found: Some(found) }) => vec![answered(age, found)],
            _ => Vec::new(),
        }
    }

    /// The user cancels the job with a request to the delegate.
    fn user_cancels(state: &State) -> Vec<State> {
        if state.cancelled.is_some() || !Self::store_serves(state, DELEGATE) {
            return Vec::new();
        }
        let mut next = State { cancelled: Some(0), ..state.clone() };
        next.nodes[DELEGATE].knows_cancellation = true;
        vec![next]
    }

    /// The leader announces its unacknowledged starts.
    fn leader_announces(state: &State) -> Vec<State> {
        if !Self::has_leadership_lease(state) {
            return Vec::new();
        }
        let unacknowledged = state.task == Task::StartInFlight;
        let read_too_old = state.nodes[LEADER].records_read.is_none_or(|age| age >= FRESH_S);
        let announced = Announcement { age: 0, unacknowledged, never_renew: unacknowledged && read_too_old };
        vec![State { announced, ..state.clone() }]
    }

    /// The leader sends a start, or one in flight arrives.
    fn task_starts(state: &State) -> Vec<State> {
        let leader = state.nodes[LEADER];
        let fresh = leader.records_read.is_some_and(|age| age < FRESH_S);
        let may_start = Self::has_leadership_lease(state) && fresh && !leader.knows_cancellation;
        let next = match state.task {
            Task::Gone if may_start => Task::StartInFlight,
            Task::StartInFlight => Task::Running,
            _ => return Vec::new(),
        };
        vec![State { task: next, ..state.clone() }]
    }

    /// Either node that may renew the lease answers a heartbeat.
    fn worker_reports(&self, state: &State) -> Vec<State> {
        let answering =
            [LEADER, DELEGATE].into_iter().filter(|i| state.worker_epoch && self.renews(state, *i));
        answering.map(|i| self.answered_by(state, i)).collect()
    }

    fn answered_by(&self, state: &State, i: usize) -> State {
        let mut next = State { renewed: 0, ..state.clone() };
        let stops = state.nodes[i].knows_cancellation && self.disabled != Some(DisabledCheck::Stops);
        // Once the leader is replaced, the worker learns the new leader's fencing token and rejects starts with
        // an older one.
        let start_is_rejected = i == DELEGATE
            && state.store == Store::RefusesLeader(REPLACED_AFTER_S)
            && state.task == Task::StartInFlight;
        if start_is_rejected || stops && state.task == Task::Running {
            next.task = Task::Gone;
        }
        next
    }

    /// The delegate's process restarts and loses its state.
    fn delegate_restarts(state: &State) -> Vec<State> {
        let mut next = state.clone();
        next.nodes[DELEGATE] = Node::default();
        state.cancelled.map(|_| next).into_iter().collect()
    }

    /// Visits all positions. Returns their number, or the first state that violates the invariant.
    fn run(&self) -> Result<usize, State> {
        let node = Node { records_read: Some(0), ..Node::default() };
        let running = State {
            store: Store::Available,
            nodes: [node; 2],
            cancelled: None,
            leader_knew: 0,
            renewed: 0,
            worker_epoch: true,
            task: Task::Running,
            announced: Announcement { age: 0, unacknowledged: false, never_renew: false },
        };
        let gone = State { task: Task::Gone, ..running.clone() };
        let mut seen = HashSet::new();
        let mut unvisited =
            Vec::from([running, gone].map(|state| Position { state, event: Event::StoreFails }));
        while let Some(position) = unvisited.pop() {
            let state = &position.state;
            if Self::violates_invariant(state) {
                return Err(position.state);
            }
            // After the end of the worker epoch, or of `cancel_s`, no violation is possible any more.
            let finished = !state.worker_epoch || state.cancelled.is_some_and(|age| age > CANCEL_S);
            if !finished && seen.insert(position.clone()) {
                unvisited.extend(self.next(&position));
            }
        }
        Ok(seen.len())
    }
}

#[test]
fn cancelled_task_ends_within_cancel_s_in_every_order_of_events() {
    for slow_ppm in [[500, 500], [500, -500], [-500, 500], [-500, -500]] {
        let search = Search { disabled: None, slow_ppm };
        match search.run() {
            Ok(positions) => println!("{positions} positions"),
            Err(state) => panic!("with clocks slow by {slow_ppm:?} ppm the task runs too long: {state:?}"),
        }
    }
}

#[test]
fn search_finds_violation_if_any_safety_check_is_disabled() {
    let checks = [
        DisabledCheck::Margin(Duration::from_millis(u64::from(MARGIN_S) * 1_000)),
        DisabledCheck::ReadStart,
        DisabledCheck::FirstRead,
        DisabledCheck::UnacknowledgedStarts,
        DisabledCheck::Stops,
    ];
    for check in checks {
        let found = Search { disabled: Some(check), slow_ppm: [500, 500] }.run();
        println!("{check:?}: {found:?}");
        assert!(found.is_err(), "no violation found with {check:?} disabled");
    }
}
