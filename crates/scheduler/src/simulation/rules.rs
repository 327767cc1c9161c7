//! Every rule of the protocol, checked from what stand-ins see.

use super::Simulation;
use super::workers::Worker;
use crate::settings::Team;
use crate::types::{MachineId, TeamName};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What users had been told of a job by some moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Known {
    pub accepted: bool,
    pub terminal_status: Option<String>,
}

#[derive(Debug, Default)]
struct Told {
    accepted: bool,
    terminal_status: Option<String>,
    cancelled_at: Option<u64>,
    cancel_requested: bool,
}

pub struct Rules {
    pub broken: Vec<String>,
    cancel_ms: u64,
    limits: BTreeMap<String, f64>,
    bodies: BTreeMap<String, Value>,
    done: BTreeMap<String, BTreeSet<u64>>,
    announced: BTreeMap<String, Told>,
    pub started: u64,
    /// Every start: when, task, machine.
    pub starts: Vec<(u64, String, MachineId)>,
}

fn split(task: &str) -> (&str, u64) {
    let (job, index) = task.rsplit_once('/').unwrap_or((task, "0"));
    (job, index.parse().unwrap_or(0))
}

impl Rules {
    pub fn new(cancel_s: f64, teams: &BTreeMap<TeamName, Team>) -> Self {
        Self {
            broken: Vec::new(),
            cancel_ms: (cancel_s * 1000.0) as u64,
            limits: teams.iter().map(|(n, t)| (n.to_string(), t.max_gpus.unwrap_or(f64::MAX))).collect(),
            bodies: BTreeMap::new(),
            done: BTreeMap::new(),
            announced: BTreeMap::new(),
            started: 0,
            starts: Vec::new(),
        }
    }

    pub fn body(&self, job: &str) -> Option<Value> {
        self.bodies.get(job).cloned()
    }
    pub fn submitted(&mut self, id: &str, body: &Value) {
        self.bodies.insert(id.into(), body.clone());
    }
    pub fn asked_to_cancel(&mut self, id: &str) {
        self.announced.entry(id.into()).or_default().cancel_requested = true;
    }
    pub fn task_done(&self, task: &str) -> bool {
        let (job, index) = split(task);
        self.done.get(job).is_some_and(|d| d.contains(&index))
    }
    pub fn completes(&mut self, task: &str, gang: bool) {
        let (job, index) = split(task);
        let n = self.bodies[job]["shards"].as_u64().unwrap_or(1);
        let done = self.done.entry(job.into()).or_default();
        if gang {
            done.extend(0..n);
        } else {
            done.insert(index);
        }
    }
    pub fn all_done(&self, job: &str) -> bool {
        let n = self.bodies.get(job).and_then(|b| b["shards"].as_u64()).unwrap_or(u64::MAX);
        self.done.get(job).is_some_and(|d| d.len() as u64 >= n)
    }

    fn needs(&self, job: &str) -> Vec<String> {
        let named = self.bodies.get(job).and_then(|b| b["awaits"].as_array());
        named.into_iter().flatten().filter_map(|n| n.as_str().map(String::from)).collect()
    }

    /// The job and all that it needs, directly or through others.
    fn line(&self, job: &str) -> BTreeSet<String> {
        let (mut seen, mut next) = (BTreeSet::new(), vec![job.to_string()]);
        while let Some(job) = next.pop() {
            if seen.insert(job.clone()) {
                next.extend(self.needs(&job));
            }
        }
        seen
    }

    pub fn fail(&mut self, now: u64, what: String) {
        self.broken.push(format!("at {now} ms: {what}"));
    }

    /// A task has its image on a machine and starts.
    pub fn starts(&mut self, now: u64, worker: &Worker, task: &str, workers: &[Worker]) {
        let Worker { id: machine, type_name, zone, spot, .. } = worker;
        self.started += 1;
        self.starts.push((now, task.into(), machine.clone()));
        let (job, _) = split(task);
        let Some(body) = self.body(job) else {
            return self.fail(now, format!("invented: {task} starts, nobody submitted it"));
        };
        let early: Vec<String> = self.needs(job).into_iter().filter(|n| !self.all_done(n)).collect();
        for need in early {
            self.fail(now, format!("too_early: {task} starts, {need} is not done"));
        }
        let others = |f: &dyn Fn(&Worker, &super::workers::Task) -> bool| {
            workers
                .iter()
                .flat_map(|w| w.tasks.iter().map(move |t| (w, t)))
                .filter(|(w, t)| t.present() && f(w, t))
                .count() as u64
        };
        if others(&|w, t| t.name == task && w.id != *machine) > 0 {
            self.fail(now, format!("ran_twice: {task} on {machine} and elsewhere"));
        }
        let allowed = body["flavors"].as_array().is_none_or(|f| f.iter().any(|f| f == type_name.as_str()))
            && body["region"].as_str().is_none_or(|r| r == zone)
            && (!*spot || body["preemptible"] == true);
        let mates = |z: bool| others(&|w, t| t.job() == job && t.name != task && (w.zone == *zone) == z);
        let cap = body["shards"].as_u64().unwrap_or(1).div_ceil(2);
        let spread_ok = body["spread"] != true || mates(true) < cap;
        let together_ok = body["together"] != true || mates(false) == 0;
        if !allowed || !spread_ok || !together_ok {
            self.fail(now, format!("wrong_place: {task} on {machine} ({type_name}, {zone}, spot {spot})"));
        }
        if let Some(at) = self.announced.get(job).and_then(|t| t.cancelled_at)
            && now > at + self.cancel_ms
        {
            self.fail(now, format!("ran_cancelled: {task} starts"));
        }
    }

    pub fn known(&self, id: &str) -> Known {
        let announced = self.announced.get(id);
        announced.map_or(Known::default(), |t| Known {
            accepted: t.accepted,
            terminal_status: t.terminal_status.clone(),
        })
    }

    /// An answer reached its user. `before`: what users had been told as the request was sent; of two answers to
    /// requests that overlapped, either may come first.
    pub fn answered(
        &mut self,
        now: u64,
        id: &str,
        before: &Known,
        submitting: bool,
        status: u16,
        phase: &str,
    ) {
        let all_done = self.all_done(id);
        let line: Vec<&Told> = self.line(id).iter().filter_map(|j| self.announced.get(j)).collect();
        let cancel_requested = line.iter().any(|t| t.cancel_requested);
        let orphan = line.iter().filter_map(|t| t.cancelled_at).any(|at| now > at + self.cancel_ms);
        let named = self.needs(id);
        let service = |n: &String| self.bodies.get(n).is_some_and(|b| b["shape"] == "daemon");
        let known = named.iter().all(|n| self.accepted(n) && !service(n) && n != id);
        let t = self.announced.entry(id.into()).or_default();
        let mut bad = Vec::new();
        match status {
            422 if submitting && !named.is_empty() && known => {
                bad.push(format!("refused: {id}, though all that it names was accepted"));
            }
            200 | 201 => {
                t.accepted = true;
                let last = matches!(phase, "done" | "withdrawn");
                if let Some(v) = if last { &t.terminal_status } else { &before.terminal_status }
                    && v != phase
                {
                    bad.push(format!("went_back: {id} was {v}, is now {phase}"));
                }
                if phase == "done" && !all_done {
                    bad.push(format!("not_done: {id}"));
                }
                if phase == "withdrawn" && !cancel_requested {
                    bad.push(format!("went_back: nobody withdrew {id}, nor what it needs"));
                }
                if orphan && phase != "withdrawn" {
                    bad.push(format!("orphaned: {id} is called {phase}"));
                }
                if matches!(phase, "done" | "withdrawn") {
                    t.terminal_status = Some(phase.into());
                    if phase == "withdrawn" {
                        t.cancelled_at.get_or_insert(now);
                    }
                }
            }
            404 if before.accepted => bad.push(format!("forgotten: {id} got 404")),
            400 | 422 if before.accepted && submitting => bad.push(format!("forgotten: {id} got {status}")),
            _ => {}
        }
        bad.into_iter().for_each(|b| self.fail(now, b));
    }

    pub fn terminal_status(&self, id: &str) -> Option<&str> {
        self.announced.get(id).and_then(|t| t.terminal_status.as_deref())
    }
    /// Accelerators that a team may take.
    pub fn limit(&self, team: &str) -> f64 {
        self.limits.get(team).copied().unwrap_or(0.0)
    }
    pub fn accepted(&self, id: &str) -> bool {
        self.announced.get(id).is_some_and(|t| t.accepted)
    }
}

impl Simulation {
    /// Quota and withdrawal, over all tasks that are on a machine now.
    pub fn check_present(&mut self) {
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        let mut late = Vec::new();
        for (w, t) in
            self.workers.iter().flat_map(|w| w.tasks.iter().map(move |t| (w, t))).filter(|(_, t)| t.present())
        {
            let Some(body) = self.rules.bodies.get(t.job()) else { continue };
            let owner = body["owner"].as_str().unwrap_or_default().to_string();
            *used.entry(owner).or_default() += body["accelerators"].as_f64().unwrap_or(0.0);
            let announced = self.rules.announced.get(t.job()).and_then(|t| t.cancelled_at);
            if announced.is_some_and(|at| self.now > at + self.rules.cancel_ms) {
                late.push(format!("ran_cancelled: {} on {}", t.name, w.id));
            }
        }
        let now = self.now;
        late.into_iter().for_each(|l| self.rules.fail(now, l));
        for (team, used) in used {
            if used > self.rules.limits.get(&team).copied().unwrap_or(0.0) + 1e-6 {
                self.rules.fail(now, format!("quota: {team} uses {used}"));
            }
        }
    }
}
