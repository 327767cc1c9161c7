//! Histories of registrations, repeats, new versions, stops and purges during network partitions, crashes,
//! hangs and failovers. The scheduler's invariants must hold throughout. In addition, each version has one
//! set of native jobs and one final status, indexes and versions never decrease, and the final state matches
//! each user's last request.

use super::{api, call, job};
use crate::api::guards::{Guard, with_disabled};
use crate::api::names::{Head, NAMES, NameHash};
use pearford_scheduler::extension::Verb;
use pearford_scheduler::jobs::Record;
use pearford_scheduler::simulation::days::{DAY_ENDS, troubles};
use pearford_scheduler::simulation::{Answered, Event, Fault, NODES, Simulation};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

const TEAMS: [&str; 2] = ["red", "blue"];

#[derive(Debug, Clone, Copy, PartialEq)]
enum Operation {
    /// Registers the n-th version of the job file.
    Register(u32),
    Stop,
    Purge,
}

/// A user of one name: sends each operation until it is answered.
struct User {
    name: String,
    team: &'static str,
    service: bool,
    count: u32,
    operations: Vec<(u64, Operation)>,
    at: usize,
    next: u64,
    /// Tag of the request that awaits an answer.
    request_tag: u64,
    /// Successfully registered files in order, without repeats of the newest.
    files: Vec<u32>,
    stopped: bool,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
struct Observed {
    index: u64,
    version: u64,
}

struct History {
    simulation: Simulation,
    rng: StdRng,
    users: Vec<User>,
    tag: u64,
    /// Reads in progress, with what earlier answers had shown of the name; the answer must not be older.
    floors: BTreeMap<u64, (usize, Observed, bool)>,
    answered: Vec<Observed>,
    /// The newest index of a list's answer.
    listed: u64,
    /// List reads in progress, with the newest index at the time of the request; the answer must not be
    /// older.
    lists: BTreeMap<u64, u64>,
    /// Versions that an answer showed as ended, with 1 if they were done and 0 if not.
    ended: BTreeMap<(usize, u64), u64>,
    violations: Vec<String>,
}

fn users(rng: &mut StdRng) -> Vec<User> {
    let mut out = Vec::new();
    for n in 0..6 {
        let service = n % 2 == 1;
        let mut operations = Vec::new();
        let mut at = rng.random_range(500..10_000);
        let mut file = 0;
        for _ in 0..rng.random_range(2..6) {
            let operation = match rng.random_range(0..10) {
                0 => Operation::Stop,
                1 => Operation::Purge,
                2..6 => Operation::Register(file),
                _ => {
                    file += 1;
                    Operation::Register(file)
                }
            };
            // The first operation is a registration, as a job must exist before it can be stopped.
            let operation = if operations.is_empty() { Operation::Register(0) } else { operation };
            operations.push((at, operation));
            at += rng.random_range(200..25_000);
        }
        // Names in several scripts. Each team's limit is 12 GPUs.
        let name = format!("{}-{n}", ["forecast", "señal", "地震"][n % 3]);
        let count = rng.random_range(1..4);
        out.push(User {
            name,
            team: TEAMS[n % 2],
            service,
            count,
            operations,
            at: 0,
            next: 0,
            request_tag: 0,
            files: Vec::new(),
            stopped: false,
        });
    }
    out
}

impl History {
    fn new(seed: u64, faults: impl FnOnce(&mut Simulation)) -> Self {
        let mut simulation = Simulation::new(seed).with_extension(api);
        faults(&mut simulation);
        let mut rng = StdRng::seed_from_u64(seed);
        let users = users(&mut rng);
        let answered = vec![Observed::default(); users.len()];
        History {
            simulation,
            rng,
            users,
            tag: 0,
            floors: BTreeMap::new(),
            answered,
            listed: 0,
            lists: BTreeMap::new(),
            ended: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    fn run(&mut self, end: u64) {
        let from = self.simulation.now;
        for now in (from..=end).step_by(50) {
            self.simulation.run_until(now);
            for answer in std::mem::take(&mut self.simulation.answers) {
                self.handle_answer(now, answer);
            }
            for u in 0..self.users.len() {
                self.send_operation(now, u);
            }
            if now % 1_000 == 0 {
                self.send_reads();
            }
            if !self.simulation.rules.broken.is_empty() || !self.violations.is_empty() {
                return;
            }
        }
    }

    fn send_operation(&mut self, now: u64, u: usize) {
        let user = &mut self.users[u];
        let Some((at, operation)) = user.operations.get(user.at).copied() else { return };
        if now < at || now < user.next {
            return;
        }
        self.tag += 1;
        user.request_tag = self.tag;
        user.next = now + 6_000;
        let query = format!("namespace={}", user.team);
        // Percent-encodes the bytes of the UTF-8 text, as clients do.
        let escaped: String = user.name.bytes().map(|b| format!("%{b:02X}")).collect();
        let path = format!("/v1/job/{escaped}");
        let request = match operation {
            Operation::Register(file) => {
                let kind = if user.service { "service" } else { "batch" };
                let mut job = job(&user.name, user.team, kind, user.count, file);
                job["Update"] =
                    json!({"MinHealthyTime": 2_000_000_000u64, "ProgressDeadline": 60_000_000_000u64});
                if !user.service {
                    job["Update"] = Value::Null;
                }
                call(Verb::Post, "/v1/jobs", &query, &json!({"Job": job}))
            }
            Operation::Stop => call(Verb::Delete, &path, &query, &Value::Null),
            Operation::Purge => call(Verb::Delete, &path, &format!("{query}&purge=true"), &Value::Null),
        };
        let node = self.rng.random_range(0..NODES);
        let twice = self.rng.random_bool(0.2);
        self.simulation.call(node, self.tag, request.clone());
        if twice {
            // Sends the same request to another node at the same time.
            self.simulation.call((node + 1) % NODES, 0, request);
        }
    }

    /// Reads a list at a random node and a name at a random node.
    fn send_reads(&mut self) {
        self.tag += 1;
        self.lists.insert(self.tag, self.listed);
        let node = self.rng.random_range(0..NODES);
        self.simulation.call(node, self.tag, call(Verb::Get, "/v1/jobs", "namespace=*", &Value::Null));
        let u = self.rng.random_range(0..self.users.len());
        let node = self.rng.random_range(0..NODES);
        let escaped: String = self.users[u].name.bytes().map(|b| format!("%{b:02X}")).collect();
        let query = format!("namespace={}", self.users[u].team);
        self.tag += 1;
        self.floors.insert(self.tag, (u, self.answered[u], true));
        self.simulation.call(
            node,
            self.tag,
            call(Verb::Get, &format!("/v1/job/{escaped}"), &query, &Value::Null),
        );
    }

    fn handle_answer(&mut self, now: u64, answer: Answered) {
        let body: Value = serde_json::from_str(&answer.body).unwrap_or(Value::Null);
        let index =
            answer.headers.iter().find(|(k, _)| *k == "x-nomad-index").and_then(|(_, v)| v.parse().ok());
        if let Some(floor) = self.lists.remove(&answer.tag) {
            let index: u64 = index.unwrap_or(u64::MAX);
            if answer.status == 200 && index < floor {
                self.violations.push(format!("at {now}: the list's index fell to {index} from {floor}"));
            }
            if answer.status == 200 {
                self.listed = self.listed.max(index);
            }
            return;
        }
        if let Some((u, floor, _)) = self.floors.remove(&answer.tag) {
            if answer.status != 200 {
                return;
            }
            let index = index.unwrap_or(0);
            let observed = Observed { index, version: body["Version"].as_u64().unwrap_or(0) };
            if observed.index < floor.index || observed.version < floor.version {
                self.violations.push(format!(
                    "at {now}: {} decreased: {observed:?} after {floor:?}",
                    self.users[u].name
                ));
            }
            self.answered[u] = Observed {
                index: self.answered[u].index.max(index),
                version: self.answered[u].version.max(observed.version),
            };
            let dead = body["Status"] == "dead";
            let done =
                body["StatusDescription"] == "done" || body["StatusDescription"] == "done, then stopped";
            let key = (u, observed.version);
            let was = self.ended.get(&key).copied();
            if was.is_some() && !dead {
                self.violations.push(format!(
                    "at {now}: {} v{} had ended, its status is {}",
                    self.users[u].name, observed.version, body["Status"]
                ));
            }
            if was == Some(1) && !done {
                self.violations.push(format!(
                    "at {now}: {} v{} was done, its description is {}",
                    self.users[u].name, observed.version, body["StatusDescription"]
                ));
            }
            if dead {
                self.ended.insert(key, u64::from(done));
            }
            return;
        }
        let Some(u) = self.users.iter().position(|u| u.request_tag == answer.tag && answer.tag != 0) else {
            return;
        };
        let user = &mut self.users[u];
        let Some((_, operation)) = user.operations.get(user.at).copied() else { return };
        match (answer.status, operation) {
            (200, _) => {
                match operation {
                    Operation::Register(file) => {
                        if user.files.last() != Some(&file) {
                            user.files.push(file);
                            user.stopped = false;
                        }
                    }
                    Operation::Stop | Operation::Purge => user.stopped = true,
                }
                user.at += 1;
                user.request_tag = 0;
            }
            (429 | 503, _) => user.next = now + 1_000,
            (status, _) => {
                self.violations
                    .push(format!("at {now}: {} {operation:?} got {status}: {}", user.name, answer.body));
            }
        }
    }

    fn head(&self, u: usize) -> Option<Head> {
        let key = NameHash::of(self.users[u].team, &self.users[u].name).key();
        serde_json::from_str(self.simulation.state.key(&key)?).ok()
    }

    fn record(&self, id: &str) -> Option<Record> {
        serde_json::from_str(self.simulation.state.key(&format!("j/{id}"))?).ok()
    }

    /// Checks that the final state matches each user's last request.
    fn check_end(&mut self) {
        let mut named: BTreeSet<String> = BTreeSet::new();
        for u in 0..self.users.len() {
            let Some(head) = self.head(u) else {
                self.violations.push(format!("{}: no record", self.users[u].name));
                continue;
            };
            let user = &self.users[u];
            let mut faults = Vec::new();
            let mut wrong = |what: String| faults.push(format!("{}: {what}; {head:?}", user.name));
            if user.at < user.operations.len() {
                wrong(format!("operation {} was not answered", user.at));
            }
            if head.version + 1 != user.files.len() as u64 {
                wrong(format!("{} files, version {}", user.files.len(), head.version));
            }
            if head.stopped != user.stopped || head.roll.is_some() || !head.ending.is_empty() {
                wrong("the final state differs from the last request".into());
            }
            for part in head.parts() {
                named.insert(part.id.to_string());
                let record = self.record(part.id.as_str());
                let up = self
                    .simulation
                    .workers
                    .iter()
                    .flat_map(|m| &m.tasks)
                    .filter(|t| t.job() == part.id.as_str() && t.present())
                    .count();
                match record {
                    Some(Record::Open(_)) if user.service && !user.stopped && up as u32 == part.tasks => {}
                    Some(Record::Cancelled) if user.stopped => {}
                    Some(Record::Done) if !user.service => {}
                    other => wrong(format!("{} of {} tasks are up, the record is {other:?}", up, part.tasks)),
                }
            }
            self.violations.extend(faults);
        }
        // Native jobs of earlier versions have ended, and each version has made exactly one native job.
        let mut jobs = 0;
        let mut open = Vec::new();
        for (key, value) in self.simulation.state.under("j/") {
            jobs += 1;
            let id = &key["j/".len()..];
            if matches!(serde_json::from_str(value), Ok(Record::Open(_))) && !named.contains(id) {
                open.push(id.to_string());
            }
        }
        if !open.is_empty() {
            self.violations.push(format!("native jobs without a name are open: {open:?}"));
        }
        let versions: usize = self.users.iter().map(|u| u.files.len()).sum();
        if jobs != versions {
            self.violations.push(format!(
                "{versions} versions but {jobs} native jobs: a version was registered twice or not at all"
            ));
        }
    }
}

fn day(seed: u64, faults: impl FnOnce(&mut Simulation)) -> History {
    let mut history = History::new(seed, faults);
    history.run(DAY_ENDS);
    history.check_end();
    history
}

fn checked_day(seed: u64, faults: impl FnOnce(&mut Simulation)) -> History {
    let history = day(seed, faults);
    assert!(history.simulation.rules.broken.is_empty(), "seed {seed}: {:?}", history.simulation.rules.broken);
    assert!(history.violations.is_empty(), "seed {seed}: {}", history.violations.join("\n"));
    assert!(history.simulation.state.under(NAMES).count() == history.users.len());
    history
}

#[test]
fn final_state_matches_last_requests_without_faults() {
    let ended: usize = (0..8).map(|seed| checked_day(seed, |_| {}).ended.len()).sum();
    assert!(ended > 20, "only {ended} versions ended");
}

#[test]
fn final_state_matches_last_requests_with_faults() {
    let more = std::env::var("PEARFORD_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(24);
    for seed in 100..100 + more {
        let _ = checked_day(seed, troubles);
    }
}

/// A new leader must continue a rollout from any step.
#[test]
fn rollouts_continue_after_repeated_crashes_of_all_nodes() {
    for seed in 500..508 {
        let _ = checked_day(seed, |simulation| {
            for n in 0..8u64 {
                (0..NODES).for_each(|i| {
                    simulation.at(8_000 + 9_000 * n + 40 * i as u64, Event::Fault(Fault::Crash(i)));
                });
            }
        });
    }
}

/// Checks that the checks above detect a violation of each guarantee.
#[test]
fn disabled_guarantees_are_detected() {
    for guard in [Guard::Repeat, Guard::FreshRead, Guard::Cancellation] {
        let detected = with_disabled(guard, || {
            (100..140).any(|seed| {
                let history = day(seed, troubles);
                !history.simulation.rules.broken.is_empty() || !history.violations.is_empty()
            })
        });
        assert!(detected, "{guard:?}");
    }
}
