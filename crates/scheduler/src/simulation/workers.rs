//! A stand-in of the workers, written from the protocol alone: it reads and writes JSON.

use super::{Asker, Event, Host, Input, Method, Simulation};
use crate::types::{MachineId, RequestId};
use crate::wire::cloud::ListedMachine;
use rand::RngExt;
use serde_json::{Value, json};
use std::collections::BTreeSet;

#[derive(Debug, Clone, PartialEq)]
pub enum State {
    Fetching { until: u64 },
    Waiting { since: u64 },
    Running { left: u64, kept: u64 },
    Saving { until: u64 },
    Exited { cause: &'static str, kept: bool },
}

#[derive(Debug, Clone)]
pub struct Task {
    pub name: String,
    pub attempt: u64,
    pub state: State,
    at: u64,
}

impl Task {
    pub fn job(&self) -> &str {
        self.name.split('/').next().unwrap_or_default()
    }
    /// Whether the task is on its machine: from having its image until it exits.
    pub fn present(&self) -> bool {
        !matches!(self.state, State::Fetching { .. } | State::Exited { .. })
    }
}

#[derive(Debug)]
pub struct Worker {
    pub id: MachineId,
    pub addr: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub boots_at: u64,
    pub up: bool,
    pub hung_until: u64,
    /// Answers and direct orders are lost until then.
    pub deaf_until: u64,
    /// It reaches no node until then; direct orders reach it.
    pub muted_until: u64,
    pub taken_at: Option<u64>,
    worker_epoch: u64,
    epoch_began: u64,
    serial: u64,
    pub fencing_token: u64,
    pub tasks: Vec<Task>,
    node: usize,
    next_heartbeat: u64,
    in_flight: Option<u64>,
    reports: u64,
    answered_sent: u64,
    /// Images that a task got here.
    images: BTreeSet<String>,
    /// Sabotage: obeys any token.
    pub gullible: bool,
}

const STEP: u64 = 100;
/// How long after a hang a machine may still be taken for lost.
const HANGOVER: u64 = 6_000;

impl Worker {
    /// Its processors and accelerators.
    pub fn resources(&self) -> (f64, f64) {
        match self.type_name.as_str() {
            "small" => (8.0, 2.0),
            _ => (16.0, 4.0),
        }
    }

    /// What its tasks take, those that are still to fetch too: processors and accelerators.
    pub fn on_resources(&self, body: impl Fn(&str) -> Option<Value>) -> (f64, f64) {
        self.tasks.iter().filter(|t| !matches!(t.state, State::Exited { .. })).fold(
            (0.0, 0.0),
            |(c, g), t| {
                let b = body(t.job()).unwrap_or(Value::Null);
                (c + b["vcpus"].as_f64().unwrap_or(0.0), g + b["accelerators"].as_f64().unwrap_or(0.0))
            },
        )
    }

    fn heartbeat(&mut self, now: u64) -> Value {
        self.serial += 1;
        let shards: Vec<Value> = self
            .tasks
            .iter()
            .map(|t| {
                let (phase, cause, kept) = match &t.state {
                    State::Fetching { .. } => ("fetching", None, false),
                    State::Waiting { .. } => ("waiting", None, false),
                    State::Running { .. } => ("running", None, false),
                    State::Saving { .. } => ("flushing", None, false),
                    State::Exited { cause, kept } => ("ended", Some(*cause), *kept),
                };
                json!({"shard": t.name, "try": t.attempt, "phase": phase, "cause": cause, "kept": kept})
            })
            .collect();
        let notice = self.taken_at.map(|t| t.saturating_sub(now) as f64 / 1000.0);
        json!({"host": self.id, "addr": self.addr, "flavor": self.type_name, "region": self.zone,
            "preemptible": self.spot, "tenure": self.worker_epoch, "serial": self.serial, "fence": self.fencing_token,
            "warning_s": notice, "shards": shards})
    }
}

impl Simulation {
    pub fn add_worker(&mut self, listed: &ListedMachine) {
        let never = self.rng.random_bool(0.03);
        let boots_at = self.now + if never { 10_000_000 } else { self.boots_in() };
        self.workers.push(Worker {
            id: listed.id.clone(),
            addr: listed.addr.clone().unwrap_or_default(),
            type_name: listed.type_name.to_string(),
            zone: listed.zone.to_string(),
            spot: listed.spot,
            boots_at,
            up: false,
            hung_until: 0,
            deaf_until: 0,
            muted_until: 0,
            taken_at: None,
            worker_epoch: 1,
            epoch_began: boots_at,
            serial: 0,
            fencing_token: 0,
            tasks: Vec::new(),
            node: self.rng.random_range(0..self.settings.len()),
            next_heartbeat: boots_at,
            in_flight: None,
            reports: 0,
            answered_sent: 0,
            images: BTreeSet::new(),
            gullible: false,
        });
        let m = self.workers.len() - 1;
        if !never {
            self.at(boots_at, Event::Worker(m));
        }
    }

    pub fn machine_ends(&mut self, m: usize) {
        let bound =
            |t: &Task| t.present() && self.rules.body(t.job()).is_some_and(|b| !b["region"].is_null());
        if self.workers[m].tasks.iter().any(bound) {
            self.count("a machine lost with tasks bound to its zone");
        }
        let w = &mut self.workers[m];
        w.up = false;
        w.boots_at = u64::MAX;
        w.tasks.clear();
    }

    /// Whether a machine is alive, within reach of every node, not about to be taken, and runs tasks that somebody
    /// wants.
    pub fn is_at_work(&self, m: usize) -> bool {
        let w = &self.workers[m];
        let apart = (0..self.nodes.len()).any(|i| self.cuts.contains_key(&(Host::Node(i), Host::Machine(m))));
        let wanted = |t: &Task| t.present() && self.rules.terminal_status(t.job()).is_none();
        w.up && !apart
            && w.taken_at.is_none()
            && self.now >= w.hung_until + HANGOVER
            && w.tasks.iter().any(wanted)
    }

    fn lease_ms(&self) -> u64 {
        // By a clock that is as slow as clocks may be.
        (self.settings[0].workers.lease_s * 1000.0 * 1.0005) as u64
    }

    /// One step of a worker's life.
    pub fn worker_turn(&mut self, m: usize) {
        let now = self.now;
        if self.workers[m].boots_at > now {
            return; // ended meanwhile
        }
        self.workers[m].up = true;
        if self.workers[m].taken_at.is_some_and(|t| t <= now) {
            let id = self.workers[m].id.clone();
            self.machine_ends(m);
            return self.cloud.take(&id, now);
        }
        let lease = self.lease_ms();
        let hung = self.workers[m].hung_until > now;
        self.after(if hung { self.workers[m].hung_until - now } else { STEP }, Event::Worker(m));
        if hung {
            return;
        }
        // Before a worker that resumes looks at its lease.
        self.check_present();
        let w = &mut self.workers[m];
        let last = w.answered_sent.max(w.epoch_began);
        if now > last + lease {
            w.worker_epoch += 1;
            w.epoch_began = now;
            w.tasks.clear();
            w.in_flight = None;
            w.next_heartbeat = now;
        }
        self.advance(m);
        self.check_present();
        let w = &mut self.workers[m];
        if w.in_flight.is_none() && now >= w.next_heartbeat {
            w.reports += 1;
            let (heartbeat, worker_epoch, node) = (w.reports, w.worker_epoch, w.node);
            w.in_flight = Some(heartbeat);
            let body = w.heartbeat(now).to_string();
            let asker = Asker::Worker { machine: m, worker_epoch, sent: now, heartbeat };
            if self.late_reports > 0.0 && self.rng.random_bool(self.late_reports) {
                let ms = self.rng_ms(2_000, 2 * lease);
                let (node, body) = (self.rng.random_range(0..self.settings.len()), body.clone());
                self.after(ms, Event::ReportAgain { machine: m, node, body });
            }
            if self.copies_for_next > 0.0 && self.rng.random_bool(self.copies_for_next) {
                let key = self.state.revision(crate::election::LEADER_KEY);
                let copy = Event::ReportAgain { machine: m, node, body: body.clone() };
                self.kept_copies.push((key, copy));
            }
            let path = "/v1/report".to_string();
            if self.workers[m].muted_until > now {
                *self.met.entry("mute").or_default() += 1;
                self.next_node(m, 1000);
            } else if self.request(node, asker, Host::Machine(m), Method::Post, path, body) {
                self.after(4000, Event::ReportTimeout { machine: m, heartbeat });
            } else {
                self.next_node(m, 1000);
            }
        }
    }

    fn boots_in(&mut self) -> u64 {
        if self.fast_boots { self.rng_ms(100, 2_000) } else { self.rng_ms(500, 6000) }
    }

    /// Copies of reports that wait for the next leader come to it once it has acted.
    pub fn release_copies(&mut self) {
        if self.kept_copies.is_empty() {
            return;
        }
        let Some(leader) = self.leader() else { return };
        let key = self.state.revision(crate::election::LEADER_KEY);
        let (out, keep): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.kept_copies).into_iter().partition(|(made, _)| *made != key);
        self.kept_copies = keep;
        for (_, event) in out {
            let Event::ReportAgain { machine, body, .. } = event else { continue };
            if self.rng.random_bool(0.5) {
                *self.met.entry("copy to every node as a leader begins").or_default() += 1;
                for node in 0..self.nodes.len() {
                    let ms = self.rng_ms(1, 100);
                    self.after(ms, Event::ReportAgain { machine, node, body: body.clone() });
                }
                continue;
            }
            *self.met.entry("copy for the next leader").or_default() += 1;
            let ms = self.rng_ms(100, 6_000);
            self.after(ms, Event::ReportAgain { machine, node: leader, body });
        }
    }

    fn next_node(&mut self, m: usize, pause: u64) {
        let nodes = self.settings.len();
        let w = &mut self.workers[m];
        w.in_flight = None;
        w.node = (w.node + 1) % nodes;
        w.next_heartbeat = self.now + pause;
    }

    pub fn report_timeout(&mut self, m: usize, heartbeat: u64) {
        if self.workers[m].in_flight == Some(heartbeat) {
            self.next_node(m, 1000);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub fn report_answer(
        &mut self,
        m: usize,
        worker_epoch: u64,
        sent: u64,
        node: usize,
        status: u16,
        body: &str,
        heartbeat: u64,
    ) {
        if self.workers[m].in_flight != Some(heartbeat)
            || !self.workers[m].up
            || self.workers[m].hung_until > self.now
            || self.workers[m].deaf_until > self.now
        {
            return;
        }
        let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        if status != 200 {
            let master =
                value["master"].as_str().and_then(|s| s.strip_prefix('n')).and_then(|s| s.parse().ok());
            match master.filter(|n: &usize| status == 421 && *n < self.settings.len() && *n != node) {
                Some(n) => {
                    let w = &mut self.workers[m];
                    w.in_flight = None;
                    w.node = n;
                    w.next_heartbeat = self.now + 100;
                }
                None => self.next_node(m, 1000),
            }
            return;
        }
        let jitter = self.rng_ms(2250, 3750);
        let w = &mut self.workers[m];
        w.in_flight = None;
        w.next_heartbeat = self.now + jitter;
        let fencing_token = value["fence"].as_u64().unwrap_or(0);
        if w.worker_epoch != worker_epoch || (fencing_token < w.fencing_token && !w.gullible) {
            return;
        }
        w.fencing_token = w.fencing_token.max(fencing_token);
        w.answered_sent = w.answered_sent.max(sent);
        self.obey(m, &value["orders"]);
    }

    pub fn direct(&mut self, from: usize, life: u64, request_id: RequestId, addr: &str, body: &str) {
        let Some(m) = self.workers.iter().position(|w| w.addr == addr && w.up) else { return };
        if self.workers[m].deaf_until > self.now {
            return;
        }
        if self.workers[m].hung_until > self.now {
            let later = self.workers[m].hung_until;
            let (addr, body) = (addr.to_string(), body.to_string());
            return self.at(later, Event::Direct { from, life, request_id, addr, body });
        }
        let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let w = &mut self.workers[m];
        let fencing_token = value["fence"].as_u64().unwrap_or(0);
        let ok = fencing_token >= w.fencing_token && value["tenure"].as_u64() == Some(w.worker_epoch);
        if ok {
            if w.muted_until > self.now && body.contains("\"start\"") {
                *self.met.entry("a direct start at a mute machine").or_default() += 1;
            }
            if fencing_token > w.fencing_token {
                w.next_heartbeat = self.now;
            }
            w.fencing_token = fencing_token;
            self.obey(m, &value["orders"]);
        }
        let body = self.workers[m].heartbeat(self.now).to_string().into_bytes();
        let input = Input::Worker { request_id, status: if ok { 200 } else { 409 }, body };
        self.send(Host::Machine(m), Host::Node(from), Event::Input(from, life, input));
    }

    fn obey(&mut self, m: usize, orders: &Value) {
        let now = self.now;
        for order in orders.as_array().into_iter().flatten() {
            let name = order["shard"].as_str().unwrap_or_default().to_string();
            let attempt = order["try"].as_u64().unwrap_or(0);
            let at = self.workers[m].tasks.iter().position(|t| t.name == name && t.attempt == attempt);
            match (order["verb"].as_str(), at) {
                (Some("start"), None) => self.start(m, name, attempt),
                (Some("stop"), Some(i)) => {
                    let grace = order["drain_s"].as_f64().unwrap_or(0.0);
                    let t = &mut self.workers[m].tasks[i];
                    let saves = matches!(t.state, State::Running { .. }) && grace >= 1.0;
                    t.at = now;
                    t.state = match &t.state {
                        State::Exited { .. } => continue,
                        State::Running { .. } if saves => State::Saving { until: now + 1000 },
                        State::Saving { until } if grace > 0.0 => State::Saving { until: *until },
                        _ => State::Exited { cause: "stopped", kept: false },
                    };
                }
                (Some("forget"), Some(i))
                    if matches!(self.workers[m].tasks[i].state, State::Exited { .. }) =>
                {
                    self.workers[m].tasks.remove(i);
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, m: usize, name: String, attempt: u64) {
        let now = self.now;
        let job = name.split('/').next().unwrap_or_default().to_string();
        let resources = self.workers[m].resources();
        let (cpus, gpus) = self.workers[m].on_resources(|j| self.rules.body(j));
        let body = self.rules.body(&job);
        let refuse = match &body {
            None => Some("unknown"),
            Some(_)
                if self.workers[m]
                    .tasks
                    .iter()
                    .any(|t| t.name == name && !matches!(t.state, State::Exited { .. })) =>
            {
                Some("busy")
            }
            Some(b) => {
                let over = cpus + b["vcpus"].as_f64().unwrap_or(0.0) > resources.0
                    || gpus + b["accelerators"].as_f64().unwrap_or(0.0) > resources.1;
                over.then_some("no_room")
            }
        };
        if now < self.workers[m].boots_at + 3_000 {
            self.count("a start within three seconds of the boot");
        }
        let fetch = self.rng_ms(200, 2500);
        let image = body.as_ref().and_then(|b| b["bundle"].as_str()).unwrap_or_default().to_string();
        let has = !self.workers[m].images.insert(image) && self.keeps_images;
        let fetch = if has { 0 } else { fetch };
        let state = match refuse {
            Some(cause) => State::Exited { cause, kept: false },
            None if self.rules.known(&job).terminal_status.as_deref() == Some("withdrawn") => {
                *self.met.entry("start after a confirmed cancellation").or_default() += 1;
                State::Fetching { until: now + fetch }
            }
            None => State::Fetching { until: now + fetch },
        };
        self.workers[m].tasks.push(Task { name, attempt, state, at: now });
        if has {
            self.advance(m);
        }
    }

    /// Lets a worker's tasks move on.
    fn advance(&mut self, m: usize) {
        let now = self.now;
        for i in 0..self.workers[m].tasks.len() {
            let t = self.workers[m].tasks[i].clone();
            let body = self.rules.body(t.job()).unwrap_or(Value::Null);
            let gang = body["shape"] == "ensemble";
            let total = (body["expected_s"].as_f64().unwrap_or(1.0) * 1000.0) as u64;
            let next = match &t.state {
                State::Fetching { until } if *until <= now => {
                    let (w, rules) = (&self.workers[m], &mut self.rules);
                    rules.starts(now, &w.id, &w.type_name, &w.zone, w.spot, &t.name, &self.workers);
                    Some(if self.rules.task_done(&t.name) {
                        State::Exited { cause: "done", kept: false }
                    } else if gang {
                        State::Waiting { since: now }
                    } else {
                        let kept = self.rules.progress(&t.name);
                        State::Running { left: total.saturating_sub(kept), kept }
                    })
                }
                State::Waiting { since } => {
                    let n = body["shards"].as_u64().unwrap_or(1);
                    let together = self
                        .workers
                        .iter()
                        .flat_map(|w| &w.tasks)
                        .filter(|o| o.job() == t.job() && o.attempt == t.attempt)
                        .filter(|o| matches!(o.state, State::Waiting { .. } | State::Running { .. }))
                        .count() as u64;
                    if together >= n {
                        let kept = self.rules.progress(t.job());
                        Some(State::Running { left: total.saturating_sub(kept), kept })
                    } else {
                        (now > since + 35_000).then_some(State::Exited { cause: "incomplete", kept: false })
                    }
                }
                State::Running { left, kept } if body["shape"] != "daemon" => {
                    let alone = gang
                        && (self
                            .workers
                            .iter()
                            .flat_map(|w| &w.tasks)
                            .filter(|o| o.job() == t.job() && o.attempt == t.attempt)
                            .filter(|o| {
                                !matches!(
                                    o.state,
                                    State::Fetching { .. }
                                        | State::Exited { cause: "peers" | "stopped" | "incomplete", .. }
                                )
                            })
                            .count() as u64)
                            < body["shards"].as_u64().unwrap_or(1);
                    let spent = now - t.at;
                    if alone && !self.rules.task_done(&t.name) {
                        Some(State::Exited { cause: "peers", kept: false })
                    } else if spent >= *left {
                        self.rules.completes(&t.name, gang);
                        self.task_completed(t.job());
                        Some(State::Exited { cause: "done", kept: false })
                    } else {
                        let _ = kept;
                        None
                    }
                }
                State::Saving { until } if *until <= now => {
                    Some(State::Exited { cause: "stopped", kept: true })
                }
                _ => None,
            };
            if let Some(state) = next {
                let ended = matches!(state, State::Exited { .. });
                let w = &mut self.workers[m];
                w.tasks[i].state = state;
                w.tasks[i].at = now;
                if ended || now + 500 < w.next_heartbeat {
                    w.next_heartbeat = w.next_heartbeat.min(now + 300);
                }
            }
        }
    }
}
