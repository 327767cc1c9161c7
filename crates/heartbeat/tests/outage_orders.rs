//! An outage of the key-value store in every order of events at small size: two nodes, one worker, one task,
//! one cancellation. The store refuses the first node alone, then everybody, for as long as it takes; reads
//! are answered late, answers are lost, a node starts anew, a start is held up. After each step: a task of
//! the cancelled job is gone `cancel_s` after the cancellation was confirmed. With a safety check of
//! `LeaseRenewal` switched off the search finds how it lives on.
//!
//! Steps are of a second; what clocks add is counted to the millisecond, each clock at either end of the
//! drift.

use pearford_heartbeat::{DisabledCheck, LeaseRenewal, RenewalBounds, UnacknowledgedStarts};
use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime};
use std::collections::HashSet;

// All times are in seconds, in the proportions that they have in the service or worse.

const RECENT_S: u32 = 1;
const FRESH_S: u32 = 2;
const LEASE_S: u32 = 1;
const ANSWER_WINDOW_S: u32 = 5;
const MARGIN_S: u32 = 1;
const CANCEL_S: u32 = LEASE_S + ANSWER_WINDOW_S + MARGIN_S;
/// A read is answered after this long at most.
const MAX_READ_DELAY_S: u32 = 2;
/// A leader without the key-value store has its leadership lease for so long.
const LEADERSHIP_LEASE_S: u32 = 1;
/// How long after the first node was refused another node leads.
const REPLACED_AFTER_S: u32 = 1;
/// How long after it knows of the cancellation, or can't know any more, a leader with its leadership lease
/// has returned a machine with an unacknowledged start.
const RETURNED_AFTER_S: u32 = 2;
/// Older reads are not told apart.
const MAX_READ_AGE_S: u32 = ANSWER_WINDOW_S + MARGIN_S + 1;
/// Drift of a clock in parts per million.
const DRIFT_PPM: u32 = 500;

/// The node that leads at first, and the other one.
const LEADER: usize = 0;
const DELEGATE: usize = 1;

/// The key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Store {
    Serves,
    /// It has refused the leader alone since so long.
    RefusesLeader(u32),
    Away,
}

/// A read on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Read {
    /// How long ago it was begun.
    age: u32,
    /// Whether it found the cancellation, once the store has carried it out.
    found: Option<bool>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Node {
    /// Age of the newest read that was answered.
    records_read: Option<u32>,
    under_way: Option<Read>,
    /// It knows of the cancellation.
    knows: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Task {
    Runs,
    /// Its start is on its way; only the leader, which sent it, knows.
    StartOnItsWay,
    Gone,
}

/// The leader's last announcement of its unacknowledged starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Announcement {
    age: u32,
    /// The machine is among those where a start may still arrive.
    unacknowledged: bool,
    /// The machine is among those never to be renewed.
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
    /// How long ago the heartbeat was sent that was answered last.
    renewed: u32,
    /// The worker epoch, and with it the lease, lasts.
    worker_epoch: bool,
    task: Task,
    announced: Announcement,
}

/// The events of a moment, which come in this order or not at all; then a second passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Turn {
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

impl Turn {
    fn next(self) -> Turn {
        match self {
            Turn::StoreFails => Turn::LeaderReads,
            Turn::LeaderReads => Turn::DelegateReads,
            Turn::DelegateReads => Turn::UserCancels,
            Turn::UserCancels => Turn::LeaderAnnounces,
            Turn::LeaderAnnounces => Turn::TaskStarts,
            Turn::TaskStarts => Turn::WorkerReports,
            Turn::WorkerReports => Turn::DelegateRestarts,
            Turn::DelegateRestarts => Turn::TimePasses,
            Turn::TimePasses => Turn::StoreFails,
        }
    }
}

/// A state before one of a moment's events.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Position {
    state: State,
    turn: Turn,
}

struct Search {
    disabled: Option<DisabledCheck>,
    /// Parts of a million by which each node's clock is slow (or fast, below 0).
    slow_ppm: [i64; 2],
}

const NOW: MonotonicTime = MonotonicTime::from_millis(100_000);

impl Search {
    /// What the clock of node `i` showed `age` seconds ago.
    fn ago(&self, i: usize, age: u32) -> MonotonicTime {
        let by_clock = i64::from(age) * (1_000_000 - self.slow_ppm[i]) / 1_000;
        NOW.before(Duration::from_millis(by_clock as u64))
    }

    /// Whether node `i` renews the lease of a heartbeat that it gets now.
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
            return renewal.leader_may_renew(state.task == Task::StartOnItsWay, NOW);
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
            Store::Serves => true,
            Store::RefusesLeader(age) => age < LEADERSHIP_LEASE_S,
            // Counted from its last read: that renews nothing, but is no older than what does.
            Store::Away => state.nodes[LEADER].records_read.is_some_and(|age| age < LEADERSHIP_LEASE_S),
        }
    }

    fn serves(state: &State, i: usize) -> bool {
        match state.store {
            Store::Serves => true,
            Store::RefusesLeader(_) => i == DELEGATE,
            Store::Away => false,
        }
    }

    /// Everything a second older.
    fn older(mut state: State) -> State {
        let grow = |age: &mut u32, max: u32| *age = (*age + 1).min(max);
        for node in &mut state.nodes {
            node.records_read.iter_mut().for_each(|age| grow(age, MAX_READ_AGE_S));
            node.under_way.iter_mut().for_each(|read| grow(&mut read.age, MAX_READ_AGE_S));
        }
        state.cancelled.iter_mut().for_each(|age| grow(age, CANCEL_S + 1));
        if state.nodes[LEADER].knows {
            grow(&mut state.leader_knew, RETURNED_AFTER_S);
        }
        if let Store::RefusesLeader(age) = &mut state.store {
            grow(age, REPLACED_AFTER_S);
        }
        grow(&mut state.announced.age, ANSWER_WINDOW_S);
        grow(&mut state.renewed, LEASE_S + 1);
        let last_read = state.nodes[LEADER].records_read;
        let blind = last_read.is_none_or(|age| age >= FRESH_S + RETURNED_AFTER_S);
        let returned = state.task == Task::StartOnItsWay
            && (blind || state.leader_knew >= RETURNED_AFTER_S)
            && Self::has_leadership_lease(&state);
        state.worker_epoch &= state.renewed <= LEASE_S && !returned;
        state
    }

    /// Whether the task lives longer than it may, be it by a moment before the next step.
    fn is_broken(state: &State) -> bool {
        let lives_ms = LEASE_S.saturating_sub(state.renewed) * 1_000 + (LEASE_S * DRIFT_PPM).div_ceil(1_000);
        state.worker_epoch
            && state.task == Task::Runs
            && state.cancelled.is_some_and(|age| age * 1_000 + lives_ms.min(999) > CANCEL_S * 1_000)
    }

    /// What may happen next: this turn's event in each of its forms, or nothing.
    fn next(&self, Position { state, turn }: &Position) -> Vec<Position> {
        let mut next = match turn {
            Turn::StoreFails => Self::store_fails(state),
            Turn::LeaderReads => self.reads(state, LEADER),
            Turn::DelegateReads => self.reads(state, DELEGATE),
            Turn::UserCancels => Self::user_cancels(state),
            Turn::LeaderAnnounces => Self::leader_announces(state),
            Turn::TaskStarts => Self::task_starts(state),
            Turn::WorkerReports => self.worker_reports(state),
            Turn::DelegateRestarts => Self::delegate_restarts(state),
            Turn::TimePasses => {
                return vec![Position { state: Self::older(state.clone()), turn: turn.next() }];
            }
        };
        next.push(state.clone());
        next.into_iter().map(|state| Position { state, turn: turn.next() }).collect()
    }

    /// The store refuses the leader, then is away for all; nothing worse comes of its coming back.
    fn store_fails(state: &State) -> Vec<State> {
        let worse: &[Store] = match state.store {
            Store::Serves => &[Store::RefusesLeader(0), Store::Away],
            Store::RefusesLeader(_) => &[Store::Away],
            Store::Away => &[],
        };
        worse.iter().map(|store| State { store: *store, ..state.clone() }).collect()
    }

    /// A read of node `i` is begun, carried out, answered: each at once or later.
    fn reads(&self, state: &State, i: usize) -> Vec<State> {
        let under_way = |read: Option<Read>| {
            let mut next = state.clone();
            next.nodes[i].under_way = read;
            next
        };
        let answered = |age: u32, found: bool| {
            let mut next = under_way(None);
            let known = state.nodes[i].records_read;
            // Without the check it counts from now.
            let age = if self.disabled == Some(DisabledCheck::ReadStart) { 0 } else { age };
            next.nodes[i].records_read = Some(known.map_or(age, |known| known.min(age)));
            next.nodes[i].knows |= found;
            next
        };
        let found = state.cancelled.is_some();
        match state.nodes[i].under_way {
            // The delegate's are answered at once: it goes by the same bound.
            None if Self::serves(state, i) && i == DELEGATE => vec![answered(0, found)],
            None if Self::serves(state, i) => vec![
                under_way(Some(Read { age: 0, found: None })),
                under_way(Some(Read { age: 0, found: Some(found) })),
                answered(0, found),
            ],
            Some(read) if read.age > MAX_READ_DELAY_S => vec![under_way(None)],
            Some(read @ Read { found: None, .. }) if Self::serves(state, i) => {
                vec![under_way(Some(Read { found: Some(found), ..read })), answered(read.age, found)]
            }
            Some(Read { age, found: Some(found) }) => vec![answered(age, found)],
            _ => Vec::new(),
        }
    }

    /// The user cancels the job at the delegate.
    fn user_cancels(state: &State) -> Vec<State> {
        if state.cancelled.is_some() || !Self::serves(state, DELEGATE) {
            return Vec::new();
        }
        let mut next = State { cancelled: Some(0), ..state.clone() };
        next.nodes[DELEGATE].knows = true;
        vec![next]
    }

    /// The leader announces its unacknowledged starts.
    fn leader_announces(state: &State) -> Vec<State> {
        if !Self::has_leadership_lease(state) {
            return Vec::new();
        }
        let unacknowledged = state.task == Task::StartOnItsWay;
        let blind = state.nodes[LEADER].records_read.is_none_or(|age| age >= FRESH_S);
        let announced = Announcement { age: 0, unacknowledged, never_renew: unacknowledged && blind };
        vec![State { announced, ..state.clone() }]
    }

    /// A start leaves, or one that has left arrives.
    fn task_starts(state: &State) -> Vec<State> {
        let leader = state.nodes[LEADER];
        let fresh = leader.records_read.is_some_and(|age| age < FRESH_S);
        let may_start = Self::has_leadership_lease(state) && fresh && !leader.knows;
        let next = match state.task {
            Task::Gone if may_start => Task::StartOnItsWay,
            Task::StartOnItsWay => Task::Runs,
            _ => return Vec::new(),
        };
        vec![State { task: next, ..state.clone() }]
    }

    /// A heartbeat is answered by either node.
    fn worker_reports(&self, state: &State) -> Vec<State> {
        let answering =
            [LEADER, DELEGATE].into_iter().filter(|i| state.worker_epoch && self.renews(state, *i));
        answering.map(|i| self.answered_by(state, i)).collect()
    }

    fn answered_by(&self, state: &State, i: usize) -> State {
        let mut next = State { renewed: 0, ..state.clone() };
        let stops = state.nodes[i].knows && self.disabled != Some(DisabledCheck::Stops);
        // Once the leader is replaced the worker learns the next one's fencing token, and obeys no older
        // start.
        let start_is_void = i == DELEGATE
            && state.store == Store::RefusesLeader(REPLACED_AFTER_S)
            && state.task == Task::StartOnItsWay;
        if start_is_void || stops && state.task == Task::Runs {
            next.task = Task::Gone;
        }
        next
    }

    /// The delegate's process is a new one.
    fn delegate_restarts(state: &State) -> Vec<State> {
        let mut next = state.clone();
        next.nodes[DELEGATE] = Node::default();
        state.cancelled.map(|_| next).into_iter().collect()
    }

    /// How many positions there are, or the first state that breaks the rule.
    fn run(&self) -> Result<usize, State> {
        let node = Node { records_read: Some(0), ..Node::default() };
        let running = State {
            store: Store::Serves,
            nodes: [node; 2],
            cancelled: None,
            leader_knew: 0,
            renewed: 0,
            worker_epoch: true,
            task: Task::Runs,
            announced: Announcement { age: 0, unacknowledged: false, never_renew: false },
        };
        let gone = State { task: Task::Gone, ..running.clone() };
        let mut seen = HashSet::new();
        let mut open = Vec::from([running, gone].map(|state| Position { state, turn: Turn::StoreFails }));
        while let Some(position) = open.pop() {
            let state = &position.state;
            if Self::is_broken(state) {
                return Err(position.state);
            }
            // Once the worker epoch has ended, or the time has passed, nothing follows.
            let finished = !state.worker_epoch || state.cancelled.is_some_and(|age| age > CANCEL_S);
            if !finished && seen.insert(position.clone()) {
                open.extend(self.next(&position));
            }
        }
        Ok(seen.len())
    }
}

#[test]
fn in_no_order_of_events_does_a_cancelled_task_outlive_cancel_s() {
    for slow_ppm in [[500, 500], [500, -500], [-500, 500], [-500, -500]] {
        let search = Search { disabled: None, slow_ppm };
        match search.run() {
            Ok(states) => println!("{states} states"),
            Err(state) => panic!("clocks {slow_ppm:?}: {state:?}"),
        }
    }
}

#[test]
fn without_each_safety_check_the_search_finds_how_a_cancelled_task_outlives_cancel_s() {
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
        assert!(found.is_err(), "{check:?} is not missed");
    }
}
