//! Every order of events at small size: two leaders, two machines, one task of which two attempts may be made, with
//! commits, orders and reports that come late or never, sessions that end, and answers that get lost. After each step:
//! the task is never on both machines. With a guard out of the table the search finds how it gets there.

use pearford_recovery::{
    Adoption, Decision, Observation, Outcome, RecordedState, ReportedState, TaskExit, adopt, reconcile,
};
use std::collections::HashSet;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

const MACHINES: usize = 2;
const ATTEMPTS: u8 = 2;

/// What a worker has of the one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Has {
    Nothing,
    Runs(u8),
    /// Failed or stopped; listed until it is told to forget.
    Ended(u8),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Worker {
    worker_epoch: u8,
    serial: u8,
    fencing_token: u8,
    has: Has,
}

/// A direct order on its way to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Order {
    to: usize,
    fencing_token: u8,
    worker_epoch: u8,
    attempt: u8,
    start: bool,
}

/// A report on its way to a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Report {
    from: usize,
    worker_epoch: u8,
    serial: u8,
    fencing_token: u8,
    has: Has,
}

/// A leader's entry for the task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Assignment {
    attempt: u8,
    state: RecordedState,
    /// Session in which the start was ordered: without an answer it may act while that lasts.
    sent_in: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Leader {
    fencing_token: u8,
    /// It has read the records.
    ready: bool,
    assignments: [Option<Assignment>; MACHINES],
    known: [(u8, u8); MACHINES],
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    workers: [Worker; MACHINES],
    /// The records: attempt stored on each machine, and the fence under which commits pass.
    recorded_state: [Option<u8>; MACHINES],
    store_fencing_token: u8,
    leaders: Vec<Leader>,
    orders: Vec<Order>,
    reports: Vec<Report>,
    attempts: u8,
    sessions_left: u8,
}

/// A guard that the search takes out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Out {
    Nothing,
    /// Absence is taken for a proof whatever fence the worker had seen.
    FencingToken,
    /// A start without an answer is taken for one that did not arrive.
    Doubt,
    /// A commit passes whoever leads.
    Commit,
    /// What has ended is forgotten while a start of it may still act.
    Forget,
    /// Both attempts are kept, and the lower one taken for the live one.
    Superseded,
}

/// A search: which guard is out, and whether the task may start again where it was.
type Way = (Out, bool);

fn first() -> State {
    let worker = Worker { worker_epoch: 1, serial: 0, fencing_token: 0, has: Has::Nothing };
    State {
        workers: [worker; MACHINES],
        recorded_state: [None; MACHINES],
        store_fencing_token: 1,
        leaders: vec![lead(1, true)],
        orders: Vec::new(),
        reports: Vec::new(),
        attempts: 0,
        sessions_left: 1,
    }
}

fn lead(fencing_token: u8, ready: bool) -> Leader {
    Leader { fencing_token, ready, assignments: [None; MACHINES], known: [(0, 0); MACHINES] }
}

/// The verdict of the table for what a leader has and a report says.
fn verdict(assignment: Option<Assignment>, report: &Report, mine: u8, (out, wanted_here): Way) -> Decision {
    let reported_state = match (report.has, assignment) {
        (Has::Nothing, _) => ReportedState::Absent,
        (Has::Runs(a), Some(e)) if a == e.attempt => ReportedState::Running,
        (Has::Ended(a), Some(e)) if a == e.attempt => {
            ReportedState::Ended(TaskExit::Stopped { saved: false })
        }
        (Has::Runs(_), None) => ReportedState::Running,
        (Has::Ended(_), None) => ReportedState::Ended(TaskExit::Stopped { saved: false }),
        // Another attempt is there: of the leader's own nothing is said.
        (_, Some(_)) => ReportedState::Absent,
    };
    let recorded_state = assignment.map_or(RecordedState::Nothing, |e| e.state);
    reconcile(&Observation {
        recorded_state,
        // What isn't to start again here is to stop.
        stopping: !wanted_here,
        reported_state,
        after_command: out == Out::Doubt || assignment.is_some_and(|e| report.worker_epoch > e.sent_in),
        under_fencing_token: out == Out::FencingToken || report.fencing_token == mine,
        wanted_here,
        may_still_arrive: false,
    })
}

fn next(s: &State, way: Way) -> Vec<State> {
    let (out, _) = way;
    let mut all = Vec::new();
    // A worker's session ends: it kills and forgets everything. (The first one's: the machines are alike.)
    if s.sessions_left > 0 {
        let mut n = s.clone();
        n.sessions_left -= 1;
        n.workers[0] = Worker { worker_epoch: 2, serial: 0, has: Has::Nothing, ..s.workers[0] };
        all.push(n);
    }
    // A task ends by itself, and is listed until it is forgotten.
    for m in 0..MACHINES {
        if let Has::Runs(attempt) = s.workers[m].has {
            let mut n = s.clone();
            n.workers[m].has = Has::Ended(attempt);
            all.push(n);
        }
    }
    // A worker reports; the report may be read now, later or never.
    for m in 0..MACHINES {
        let w = s.workers[m];
        if w.serial < 2 && s.reports.is_empty() {
            let mut n = s.clone();
            n.workers[m].serial += 1;
            let serial = w.serial + 1;
            n.reports.push(Report {
                from: m,
                worker_epoch: w.worker_epoch,
                serial,
                fencing_token: w.fencing_token,
                has: w.has,
            });
            all.push(n);
        }
    }
    // The second leader takes the lead, and later reads the records.
    if s.leaders.len() == 1 {
        let mut n = s.clone();
        n.store_fencing_token = 2;
        n.leaders.push(lead(2, false));
        all.push(n);
    }
    for (i, l) in s.leaders.iter().enumerate() {
        if !l.ready {
            let mut n = s.clone();
            let newest = s.recorded_state.iter().flatten().max().copied();
            for m in 0..MACHINES {
                n.leaders[i].assignments[m] = s.recorded_state[m].and_then(|attempt| {
                    let superseded = Some(attempt) < newest && out != Out::Superseded;
                    (adopt(true, false, superseded) == Adoption::Keep).then_some(Assignment {
                        attempt,
                        state: RecordedState::Inherited,
                        sent_in: 0,
                    })
                });
            }
            n.leaders[i].ready = true;
            all.push(n);
            continue;
        }
        // A fence is told to a worker, by an answer to a report.
        for m in 0..MACHINES {
            if s.workers[m].fencing_token < l.fencing_token {
                let mut n = s.clone();
                n.workers[m].fencing_token = l.fencing_token;
                all.push(n);
            }
        }
        // It plans the task on a machine, if no entry has it, and writes that if it still leads.
        if l.assignments.iter().all(Option::is_none) && s.attempts < ATTEMPTS {
            for m in 0..MACHINES {
                if s.store_fencing_token != l.fencing_token && out != Out::Commit {
                    continue;
                }
                let mut n = s.clone();
                n.attempts += 1;
                n.recorded_state[m] = Some(n.attempts);
                n.leaders[i].assignments[m] =
                    Some(Assignment { attempt: n.attempts, state: RecordedState::Ready, sent_in: 0 });
                all.push(n);
            }
        }
        for m in 0..MACHINES {
            let Some(e) = l.assignments[m] else { continue };
            // The start leaves for the session that the leader knows, and nobody answers it; it may be sent again.
            if matches!(e.state, RecordedState::Ready | RecordedState::Sent)
                && s.orders.len() < 2
                && l.known[m].0 > 0
            {
                let mut n = s.clone();
                let worker_epoch = l.known[m].0;
                n.leaders[i].assignments[m] =
                    Some(Assignment { state: RecordedState::Sent, sent_in: worker_epoch, ..e });
                n.orders.push(Order {
                    to: m,
                    fencing_token: l.fencing_token,
                    worker_epoch,
                    attempt: e.attempt,
                    start: true,
                });
                n.orders.sort();
                all.push(n);
            }
        }
    }
    // An order arrives, in whatever order.
    for k in 0..s.orders.len() {
        let mut n = s.clone();
        let o = n.orders.remove(k);
        let w = &mut n.workers[o.to];
        if o.fencing_token >= w.fencing_token && o.worker_epoch == w.worker_epoch {
            w.fencing_token = o.fencing_token;
            match (o.start, w.has) {
                (true, Has::Nothing) => w.has = Has::Runs(o.attempt),
                (false, Has::Runs(a)) if a == o.attempt => w.has = Has::Ended(a),
                _ => {}
            }
        }
        // It may come once more, though it was carried out.
        let mut again = n.clone();
        again.orders.push(o);
        again.orders.sort();
        all.push(again);
        all.push(n);
        let mut lost = s.clone();
        lost.orders.remove(k);
        all.push(lost);
    }
    // A report arrives at some leader, also at one that no longer leads.
    for k in 0..s.reports.len() {
        for i in 0..s.leaders.len() {
            let mut n = s.clone();
            let r = n.reports.remove(k);
            let l = &mut n.leaders[i];
            if !l.ready || (r.worker_epoch, r.serial) <= l.known[r.from] {
                all.push(n);
                continue;
            }
            l.known[r.from] = (r.worker_epoch, r.serial);
            let assignment = l.assignments[r.from];
            let (leads, fencing_token) = (n.store_fencing_token == l.fencing_token, l.fencing_token);
            match (verdict(assignment, &r, fencing_token, way), assignment) {
                (Decision::There, Some(e)) => {
                    l.assignments[r.from] = Some(Assignment { state: RecordedState::Listed, ..e })
                }
                (Decision::StartHere, Some(e)) => {
                    l.assignments[r.from] = Some(Assignment { state: RecordedState::Ready, ..e })
                }
                (Decision::Gone(Outcome::Vanished | Outcome::NeverStarted | Outcome::Ended(_)), Some(_)) => {
                    l.assignments[r.from] = None;
                    // A start that may still act would start again what was forgotten.
                    let doubt = assignment.is_some_and(|e| e.sent_in == r.worker_epoch) && out != Out::Forget;
                    // The answer gets there or not; the removal is written late, or never: all are followed.
                    let mut answered = n.clone();
                    forget(&mut answered.workers[r.from], &r, fencing_token, doubt);
                    for mut n in [n.clone(), answered] {
                        all.push(n.clone());
                        if leads {
                            n.recorded_state[r.from] = None;
                            all.push(n);
                        }
                    }
                    continue;
                }
                (Decision::Stop, None) => {
                    if let Has::Runs(attempt) = r.has
                        && n.orders.len() < 2
                    {
                        n.orders.push(Order {
                            to: r.from,
                            fencing_token,
                            worker_epoch: r.worker_epoch,
                            attempt,
                            start: false,
                        });
                        n.orders.sort();
                    }
                }
                _ => {}
            }
            all.push(n);
        }
    }
    all
}

/// The answer to a report that lists an ended task lets the worker forget it, and tells it the fence.
fn forget(worker: &mut Worker, report: &Report, fencing_token: u8, doubt: bool) {
    if (worker.worker_epoch, worker.serial) == (report.worker_epoch, report.serial)
        && fencing_token >= worker.fencing_token
    {
        worker.fencing_token = fencing_token;
        if matches!(worker.has, Has::Ended(_)) && worker.has == report.has && !doubt {
            worker.has = Has::Nothing;
        }
    }
}

/// How many states there are, or the first that breaks a rule.
fn search(way: Way) -> Result<usize, String> {
    // States are told apart by hash: a collision in some hundred thousand is as good as impossible.
    let hash = |s: &State| BuildHasherDefault::<DefaultHasher>::default().hash_one(s);
    let mut seen = HashSet::from([hash(&first())]);
    let mut open = vec![first()];
    while let Some(s) = open.pop() {
        let on = s.workers.iter().filter(|w| matches!(w.has, Has::Runs(_))).count();
        if on > 1 {
            return Err(format!("ran_twice: {s:?}"));
        }
        open.extend(next(&s, way).into_iter().filter(|n| seen.insert(hash(n))));
    }
    Ok(seen.len())
}

#[test]
fn in_no_order_of_events_is_the_task_on_two_machines() {
    for wanted in [false, true] {
        let states = search((Out::Nothing, wanted)).expect("no rule is broken");
        println!("{states} states");
        assert!(states > 10_000, "{states} states: the model has become too small to show anything");
    }
}

#[test]
fn with_a_guard_out_there_is_such_an_order() {
    for out in [Out::FencingToken, Out::Doubt, Out::Commit, Out::Forget, Out::Superseded] {
        assert!([false, true].iter().any(|wanted| search((out, *wanted)).is_err()), "{out:?} is not needed?");
    }
}
