//! The gap, in every order of events at small size: two nodes, one worker, one task, one cancellation. The state service
//! refuses the first node alone, then everybody, for as long as it takes; looks are answered late, answers are lost, a
//! node starts anew, a start is held up. After each step: a task of the cancelled job is gone `cancel_s` after the
//! cancellation was confirmed. With a guard out of `LeaseRenewal` the search finds how it lives on.
//!
//! Steps are of a second; what clocks add is counted to the millisecond, each clock at either end of the drift.

use pearford_heartbeat::{Bounds, DisabledCheck, LeaseRenewal, UnacknowledgedStarts};
use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime};
use std::collections::HashSet;

/// In seconds, as they are to one another in the service or worse.
const RECENT: u32 = 1;
const FRESH: u32 = 2;
const LEASE: u32 = 1;
const HOLD: u32 = 5;
const MARGIN: u32 = 1;
const CANCEL: u32 = LEASE + HOLD + MARGIN;
/// A look is answered after this long at most.
const HELD_UP: u32 = 2;
/// A leader without the state service has its tenure for so long; another node leads by the end of `REPLACED`.
const TENURE: u32 = 1;
const REPLACED: u32 = 1;
/// From when it knows of the cancellation, or can't know any more, a leader in its tenure has returned a machine where a
/// start is in doubt.
const RETURNED: u32 = 2;
/// Looks are not told apart beyond this.
const OLD: u32 = HOLD + MARGIN + 1;
const PPM: u32 = 500;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Service {
    Serves,
    /// Since so long.
    RefusesFirst(u32),
    Away,
}

/// A look on its way: how long ago it was begun, and what it found, once the service has carried it out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Look {
    age: u32,
    found: Option<bool>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Node {
    /// Age of the newest look that was answered.
    records_read: Option<u32>,
    under_way: Option<Look>,
    knows: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Task {
    Runs,
    /// Its start is on its way; only the first node, which sent it, knows.
    OnItsWay,
    Gone,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    service: Service,
    nodes: [Node; 2],
    /// How long ago the cancellation was confirmed.
    cancelled: Option<u32>,
    /// How long the first node has known of it.
    knew: u32,
    /// How long ago the report was sent that was answered last.
    renewed: u32,
    worker_epoch: bool,
    task: Task,
    /// When the first node has told the other where it has starts in doubt, and whether this was one.
    announced: (u32, bool, bool),
}

struct Search {
    out: Option<DisabledCheck>,
    /// Parts of a million by which each node's clock is slow (or fast, below 0).
    slow: [i64; 2],
}

const NOW: u64 = 100_000;

impl Search {
    /// What node `i`'s clock said `age` ago.
    fn ago(&self, i: usize, age: u32) -> MonotonicTime {
        let by_clock = i64::from(age) * (1_000_000 - self.slow[i]) / 1_000;
        MonotonicTime::from_millis(NOW - by_clock as u64)
    }

    /// Whether node `i` renews the lease of a report that it gets now.
    fn renews(&self, s: &State, i: usize) -> bool {
        let [hold, fresh, recent] =
            [HOLD, FRESH, RECENT].map(|s| Duration::from_millis(u64::from(s) * 1_000));
        let mut r = LeaseRenewal::new(Bounds { hold, fresh, recent });
        if let Some(without) = self.out {
            r.disable(without);
        }
        if let Some(age) = s.nodes[i].records_read {
            r.records_read(self.ago(i, age), self.ago(i, age));
        }
        let (now, fencing_token, machine) =
            (MonotonicTime::from_millis(NOW), FencingToken(1), MachineId::from("m"));
        if i == 0 {
            return r.leader_may_renew(s.task == Task::OnItsWay, now);
        }
        let machines = if s.announced.1 { vec![machine.clone()] } else { Vec::new() };
        let never_renew = if s.announced.2 { vec![machine.clone()] } else { Vec::new() };
        r.unacknowledged_starts_received(
            UnacknowledgedStarts::new(fencing_token, 1, machines, never_renew),
            self.ago(1, s.announced.0),
        );
        r.delegate_may_renew(&machine, fencing_token, true, now)
    }

    fn tenure(s: &State) -> bool {
        match s.service {
            Service::Serves => true,
            Service::RefusesFirst(age) => age < TENURE,
            // Counted from its last look: that renews nothing, but is no older than what does.
            Service::Away => s.nodes[0].records_read.is_some_and(|age| age < TENURE),
        }
    }

    fn serves(s: &State, i: usize) -> bool {
        match s.service {
            Service::Serves => true,
            Service::RefusesFirst(_) => i == 1,
            Service::Away => false,
        }
    }

    /// Everything a second older.
    fn older(mut s: State) -> State {
        let up = |age: &mut u32, most: u32| *age = (*age + 1).min(most);
        for n in &mut s.nodes {
            n.records_read.iter_mut().for_each(|age| up(age, OLD));
            n.under_way.iter_mut().for_each(|l| up(&mut l.age, OLD));
        }
        s.cancelled.iter_mut().for_each(|c| up(c, CANCEL + 1));
        if s.nodes[0].knows {
            up(&mut s.knew, RETURNED);
        }
        if let Service::RefusesFirst(age) = &mut s.service {
            up(age, REPLACED);
        }
        up(&mut s.announced.0, HOLD);
        up(&mut s.renewed, LEASE + 1);
        let blind = s.nodes[0].records_read.is_none_or(|age| age >= FRESH + RETURNED);
        let returned = s.task == Task::OnItsWay && (blind || s.knew >= RETURNED) && Self::tenure(&s);
        s.worker_epoch &= s.renewed <= LEASE && !returned;
        s
    }

    /// Whether the task lives longer than it may, be it by a moment before the next step.
    fn broken(s: &State) -> bool {
        let lives_ms = LEASE.saturating_sub(s.renewed) * 1_000 + (LEASE * PPM).div_ceil(1_000);
        s.worker_epoch
            && s.task == Task::Runs
            && s.cancelled.is_some_and(|c| c * 1_000 + lives_ms.min(999) > CANCEL * 1_000)
    }

    /// What may happen next: of the events of a moment, which come in this order or not at all, the `turn`th; after
    /// the last a second passes.
    fn next(&self, s: &State, turn: u8) -> Vec<(State, u8)> {
        let mut now = match turn {
            0 => Self::trouble(s),
            1 => self.looks(s, 0),
            2 => self.looks(s, 1),
            3 => Self::cancels(s),
            4 => Self::tells(s),
            5 => Self::starts(s),
            6 => self.reports(s),
            7 => Self::restarts(s),
            _ => return vec![(Self::older(s.clone()), 0)],
        };
        now.push(s.clone());
        now.into_iter().map(|s| (s, turn + 1)).collect()
    }

    /// Refused alone, then away for all; nothing worse comes of its coming back.
    fn trouble(s: &State) -> Vec<State> {
        let worse: &[Service] = match s.service {
            Service::Serves => &[Service::RefusesFirst(0), Service::Away],
            Service::RefusesFirst(_) => &[Service::Away],
            Service::Away => &[],
        };
        worse.iter().map(|service| State { service: *service, ..s.clone() }).collect()
    }

    /// A look is begun, carried out, answered: each at once or later.
    fn looks(&self, s: &State, i: usize) -> Vec<State> {
        let with = |look: Option<Look>| {
            let mut s = s.clone();
            s.nodes[i].under_way = look;
            s
        };
        let answered = |age: u32, found: bool| {
            let mut s = with(None);
            // Without the guard it counts from now.
            let age = if self.out == Some(DisabledCheck::ReadStart) { 0 } else { age };
            s.nodes[i].records_read = Some(s.nodes[i].records_read.map_or(age, |known| known.min(age)));
            s.nodes[i].knows |= found;
            s
        };
        let found = s.cancelled.is_some();
        match s.nodes[i].under_way {
            // The second one's are answered at once: it goes by the same bound.
            None if Self::serves(s, i) && i == 1 => vec![answered(0, found)],
            None if Self::serves(s, i) => {
                vec![
                    with(Some(Look { age: 0, found: None })),
                    with(Some(Look { age: 0, found: Some(found) })),
                    answered(0, found),
                ]
            }
            Some(look) if look.age > HELD_UP => vec![with(None)],
            Some(look @ Look { found: None, .. }) if Self::serves(s, i) => {
                vec![with(Some(Look { found: Some(found), ..look })), answered(look.age, found)]
            }
            Some(Look { age, found: Some(found) }) => vec![answered(age, found)],
            _ => Vec::new(),
        }
    }

    /// The user's cancellation, by the second node.
    fn cancels(s: &State) -> Vec<State> {
        let may = s.cancelled.is_none() && Self::serves(s, 1);
        let mut cancelled = State { cancelled: Some(0), ..s.clone() };
        cancelled.nodes[1].knows = true;
        may.then_some(cancelled).into_iter().collect()
    }

    /// The leader's word of its doubts.
    fn tells(s: &State) -> Vec<State> {
        let doubt = s.task == Task::OnItsWay;
        let blind = s.nodes[0].records_read.is_none_or(|age| age >= FRESH);
        let announced = State { announced: (0, doubt, doubt && blind), ..s.clone() };
        Self::tenure(s).then_some(announced).into_iter().collect()
    }

    /// A start leaves, or one that has left arrives.
    fn starts(s: &State) -> Vec<State> {
        let recent = s.nodes[0].records_read.is_some_and(|age| age < FRESH);
        let may = s.task == Task::Gone && Self::tenure(s) && recent && !s.nodes[0].knows;
        let next = match s.task {
            Task::Gone if may => Task::OnItsWay,
            Task::OnItsWay => Task::Runs,
            _ => return Vec::new(),
        };
        vec![State { task: next, ..s.clone() }]
    }

    /// A report is answered by either node.
    fn reports(&self, s: &State) -> Vec<State> {
        let by = (0..2).filter(|i| s.worker_epoch && self.renews(s, *i));
        by.map(|i| {
            let mut s = State { renewed: 0, ..s.clone() };
            let stops = s.nodes[i].knows && self.out != Some(DisabledCheck::Stops);
            // Once the first node is replaced the worker learns the next leader's fence, and obeys no older start.
            let void = i == 1 && s.service == Service::RefusesFirst(REPLACED) && s.task == Task::OnItsWay;
            if void || stops && s.task == Task::Runs {
                s.task = Task::Gone;
            }
            s
        })
        .collect()
    }

    /// The second node's process is a new one.
    fn restarts(s: &State) -> Vec<State> {
        let mut new = s.clone();
        new.nodes[1] = Node::default();
        s.cancelled.map(|_| new).into_iter().collect()
    }

    /// A way to a broken rule, or how many states there are.
    fn run(&self) -> Result<usize, State> {
        let records_read = Node { records_read: Some(0), ..Node::default() };
        let first = State {
            service: Service::Serves,
            nodes: [records_read; 2],
            cancelled: None,
            knew: 0,
            renewed: 0,
            worker_epoch: true,
            task: Task::Runs,
            announced: (0, false, false),
        };
        let mut seen = HashSet::new();
        let mut open = vec![(first.clone(), 0), (State { task: Task::Gone, ..first }, 0)];
        while let Some((s, turn)) = open.pop() {
            if Self::broken(&s) {
                return Err(s);
            }
            // Once the session or the time is over nothing follows.
            let over = !s.worker_epoch || s.cancelled.is_some_and(|c| c > CANCEL);
            if !over && seen.insert((s.clone(), turn)) {
                open.extend(self.next(&s, turn));
            }
        }
        Ok(seen.len())
    }
}

#[test]
fn in_no_order_of_events_does_a_cancelled_task_outlive_its_time() {
    for slow in [[500, 500], [500, -500], [-500, 500], [-500, -500]] {
        let search = Search { out: None, slow };
        match search.run() {
            Ok(states) => println!("{states} states"),
            Err(how) => panic!("clocks {slow:?}: {how:?}"),
        }
    }
}

#[test]
fn without_a_guard_the_search_finds_how_it_does() {
    let margin = DisabledCheck::Margin(Duration::from_millis(u64::from(MARGIN) * 1_000));
    let guards = [
        margin,
        DisabledCheck::ReadStart,
        DisabledCheck::FirstRead,
        DisabledCheck::UnacknowledgedStarts,
        DisabledCheck::Stops,
    ];
    for out in guards.map(Some) {
        let way = Search { out, slow: [500, 500] }.run();
        println!("{out:?}: {way:?}");
        assert!(way.is_err(), "{out:?} is not missed");
    }
}
