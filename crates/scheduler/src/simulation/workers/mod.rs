//! A stand-in of the workers, written from the protocol alone: it reads and writes JSON. The steps of tasks are in
//! [`tasks`], copies of heartbeats in [`copies`].

mod copies;
mod tasks;

use super::Simulation;
use super::events::Event;
use super::links::Host;
use super::nodes::{Caller, Requester};
use crate::node::Input;
use crate::types::MachineId;
use crate::wire::cloud::ListedMachine;
use rand::RngExt;
use serde_json::{Value, json};
use std::collections::BTreeSet;
pub use tasks::Task;

/// How often a worker that runs takes a step, in milliseconds.
const STEP_MS: u64 = 100;
/// How long after a hang a machine may still be taken for lost, in milliseconds.
const AFTER_HANG_MS: u64 = 6_000;
/// How long a worker waits for the answer to a heartbeat, in milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;
/// How long a worker waits before its next heartbeat after one that failed, in milliseconds.
const RETRY_MS: u64 = 1_000;
/// The same where a node named the leader, in milliseconds.
const REDIRECT_MS: u64 = 100;
/// The share of machines that never boot.
const NEVER_BOOTS_SHARE: f64 = 0.03;
/// How long after now the boot of such a machine is, in milliseconds: beyond the end of any day.
const NEVER_MS: u64 = 10_000_000;
/// By how much a clock may be slow: a lease of a worker with such a clock lasts longer.
const SLOWEST_CLOCK: f64 = 1.0005;

/// Processors and accelerators, of a machine or of what runs there.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Amount {
    /// Processors.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
}

/// A machine with its worker.
#[derive(Debug)]
pub struct Worker {
    /// The machine's ID, as the cloud gave it.
    pub id: MachineId,
    /// Where the worker takes direct commands.
    pub addr: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    /// When the machine is up for the first time; `u64::MAX` once it has ended.
    pub boots_at: u64,
    pub up: bool,
    /// The worker does nothing until then.
    pub hung_until: u64,
    /// Answers and direct commands are lost until then.
    pub commands_lost_until: u64,
    /// Its heartbeats reach no node until then; direct commands reach it.
    pub heartbeats_lost_until: u64,
    /// When the cloud takes the machine back, if it has said so.
    pub taken_at: Option<u64>,
    /// How often the worker's lease has expired, and one.
    worker_epoch: u64,
    epoch_began: u64,
    /// The number of the last heartbeat or answer with a status.
    serial: u64,
    /// The highest fencing token that it was given.
    pub fencing_token: u64,
    pub tasks: Vec<Task>,
    /// The node that its next heartbeat goes to.
    node: usize,
    next_heartbeat: u64,
    /// The number of the heartbeat that it waits for the answer to.
    in_flight: Option<u64>,
    heartbeats_sent: u64,
    /// When the last heartbeat that was answered was sent: its lease counts from then.
    answered_sent: u64,
    /// Images that a task fetched here.
    images: BTreeSet<String>,
    /// Injected fault: obeys any fencing token.
    pub gullible: bool,
}

/// A heartbeat under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentHeartbeat {
    pub machine: usize,
    pub worker_epoch: u64,
    /// In milliseconds.
    pub sent_at: u64,
    /// Its number among the worker's heartbeats.
    pub number: u64,
}

impl Worker {
    /// A machine that the cloud lists, before it boots.
    fn new(listed: &ListedMachine, boots_at: u64, node: usize) -> Self {
        Self {
            id: listed.id.clone(),
            addr: listed.addr.clone().unwrap_or_default(),
            type_name: listed.type_name.to_string(),
            zone: listed.zone.to_string(),
            spot: listed.spot,
            boots_at,
            up: false,
            hung_until: 0,
            commands_lost_until: 0,
            heartbeats_lost_until: 0,
            taken_at: None,
            worker_epoch: 1,
            epoch_began: boots_at,
            serial: 0,
            fencing_token: 0,
            tasks: Vec::new(),
            node,
            next_heartbeat: boots_at,
            in_flight: None,
            heartbeats_sent: 0,
            answered_sent: 0,
            images: BTreeSet::new(),
            gullible: false,
        }
    }

    /// What the machine has.
    pub fn resources(&self) -> Amount {
        match self.type_name.as_str() {
            "small" => Amount { cpus: 8.0, gpus: 2.0 },
            _ => Amount { cpus: 16.0, gpus: 4.0 },
        }
    }

    /// What its tasks take, those that still fetch their image too.
    pub fn used_resources(&self, body: impl Fn(&str) -> Option<Value>) -> Amount {
        let mut used = Amount::default();
        for task in self.tasks.iter().filter(|task| !task.has_exited()) {
            let body = body(task.job()).unwrap_or(Value::Null);
            used.cpus += body["vcpus"].as_f64().unwrap_or(0.0);
            used.gpus += body["accelerators"].as_f64().unwrap_or(0.0);
        }
        used
    }

    /// The next heartbeat, as the protocol has it.
    fn heartbeat(&mut self, now: u64) -> Value {
        self.serial += 1;
        let tasks: Vec<Value> = self.tasks.iter().map(Task::status).collect();
        let notice_s = self.taken_at.map(|at| at.saturating_sub(now) as f64 / 1000.0);
        json!({"host": self.id, "addr": self.addr, "flavor": self.type_name, "region": self.zone,
            "preemptible": self.spot, "tenure": self.worker_epoch, "serial": self.serial, "fence": self.fencing_token,
            "warning_s": notice_s, "shards": tasks})
    }

    /// Begins a new epoch without tasks if the lease has run out.
    fn check_lease(&mut self, now: u64, lease_ms: u64) {
        let last_renewal = self.answered_sent.max(self.epoch_began);
        if now > last_renewal + lease_ms {
            self.worker_epoch += 1;
            self.epoch_began = now;
            self.tasks.clear();
            self.in_flight = None;
            self.next_heartbeat = now;
        }
    }

    /// Whether what a node sends reaches a worker that can take it in.
    fn hears(&self, now: u64) -> bool {
        self.up && self.hung_until <= now && self.commands_lost_until <= now
    }

    /// Takes a fencing token from a direct command; a new leader gets a heartbeat at once.
    fn accept_token(&mut self, fencing_token: u64, now: u64) {
        if fencing_token > self.fencing_token {
            self.next_heartbeat = now;
        }
        self.fencing_token = fencing_token;
    }

    /// Chooses when the next heartbeat goes out, and to which node.
    fn schedule_heartbeat(&mut self, at_ms: u64, node: usize) {
        self.in_flight = None;
        self.next_heartbeat = at_ms;
        self.node = node;
    }
}

impl Simulation {
    /// Adds a machine that the cloud has rented out; it boots later, or never.
    pub(super) fn add_worker(&mut self, listed: &ListedMachine) {
        let never = self.rng.random_bool(NEVER_BOOTS_SHARE);
        let boots_in = if never { NEVER_MS } else { self.boot_ms() };
        let boots_at = self.now + boots_in;
        let node = self.rng.random_range(0..self.settings.len());
        self.workers.push(Worker::new(listed, boots_at, node));
        if !never {
            self.at(boots_at, Event::Worker(self.workers.len() - 1));
        }
    }

    fn boot_ms(&mut self) -> u64 {
        if self.faults.fast_boots { self.rng_ms(100, 2_000) } else { self.rng_ms(500, 6000) }
    }

    /// Ends a machine and all that runs on it.
    pub(super) fn machine_ends(&mut self, machine: usize) {
        let is_zonal = |task: &Task| {
            task.present() && self.rules.body(task.job()).is_some_and(|body| !body["region"].is_null())
        };
        if self.workers[machine].tasks.iter().any(is_zonal) {
            self.count("a machine lost with tasks bound to its zone");
        }
        let worker = &mut self.workers[machine];
        worker.up = false;
        worker.boots_at = u64::MAX;
        worker.tasks.clear();
    }

    /// Whether a machine is alive, within reach of every node, not about to be taken, and runs tasks that somebody
    /// wants.
    pub fn is_at_work(&self, machine: usize) -> bool {
        let worker = &self.workers[machine];
        let is_wanted = |task: &Task| task.present() && self.rules.terminal_status(task.job()).is_none();
        worker.up
            && !self.is_cut_from_a_node(machine)
            && worker.taken_at.is_none()
            && self.now >= worker.hung_until + AFTER_HANG_MS
            && worker.tasks.iter().any(is_wanted)
    }

    /// A worker's lease by a clock that is as slow as clocks may be, in milliseconds.
    fn lease_ms(&self) -> u64 {
        (self.settings[0].workers.lease_s * 1000.0 * SLOWEST_CLOCK) as u64
    }

    /// A worker's next step: its lease, its tasks, its heartbeat.
    pub(super) fn worker_turn(&mut self, machine: usize) {
        let now = self.now;
        if self.workers[machine].boots_at > now {
            return; // ended meanwhile
        }
        self.workers[machine].up = true;
        if self.workers[machine].taken_at.is_some_and(|at| at <= now) {
            let id = self.workers[machine].id.clone();
            self.machine_ends(machine);
            return self.cloud.take(&id, now);
        }
        let hung_until = self.workers[machine].hung_until;
        if hung_until > now {
            return self.at(hung_until, Event::Worker(machine));
        }
        self.after(STEP_MS, Event::Worker(machine));
        // Before a worker that resumes checks its lease.
        self.check_present();
        let lease_ms = self.lease_ms();
        self.workers[machine].check_lease(now, lease_ms);
        self.advance(machine);
        self.check_present();
        let worker = &self.workers[machine];
        if worker.in_flight.is_none() && now >= worker.next_heartbeat {
            self.heartbeat(machine);
        }
    }

    /// Sends a worker's heartbeat, and copies of it as the faults have it.
    fn heartbeat(&mut self, machine: usize) {
        let now = self.now;
        let worker = &mut self.workers[machine];
        worker.heartbeats_sent += 1;
        let number = worker.heartbeats_sent;
        worker.in_flight = Some(number);
        let node = worker.node;
        let sent = SentHeartbeat { machine, worker_epoch: worker.worker_epoch, sent_at: now, number };
        let body = worker.heartbeat(now).to_string();
        self.copy_heartbeat(machine, &body);
        if self.workers[machine].heartbeats_lost_until > now {
            self.count("heartbeats lost");
            self.try_next_node(machine);
        } else if self.send_heartbeat(machine, node, Requester::Worker(sent), body) {
            self.after(HEARTBEAT_TIMEOUT_MS, Event::HeartbeatTimeout { machine, heartbeat: number });
        } else {
            self.try_next_node(machine);
        }
    }

    /// A worker whose heartbeat failed turns to the next node after a pause.
    fn try_next_node(&mut self, machine: usize) {
        let nodes = self.settings.len();
        let worker = &mut self.workers[machine];
        worker.schedule_heartbeat(self.now + RETRY_MS, (worker.node + 1) % nodes);
    }

    pub(super) fn heartbeat_timeout(&mut self, machine: usize, heartbeat: u64) {
        if self.workers[machine].in_flight == Some(heartbeat) {
            self.try_next_node(machine);
        }
    }

    /// A node's answer to a heartbeat: commands, or the name of the leader.
    pub(super) fn heartbeat_answer(
        &mut self,
        heartbeat: SentHeartbeat,
        node: usize,
        status: u16,
        body: &str,
    ) {
        let SentHeartbeat { machine, worker_epoch, sent_at, number } = heartbeat;
        let now = self.now;
        if self.workers[machine].in_flight != Some(number) || !self.workers[machine].hears(now) {
            return;
        }
        let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        if status != 200 {
            return self.heartbeat_refused(machine, node, status, &value);
        }
        let pause_ms = self.rng_ms(2250, 3750);
        let worker = &mut self.workers[machine];
        worker.schedule_heartbeat(now + pause_ms, worker.node);
        let fencing_token = value["fence"].as_u64().unwrap_or(0);
        let is_outdated = fencing_token < worker.fencing_token && !worker.gullible;
        if worker.worker_epoch != worker_epoch || is_outdated {
            return;
        }
        worker.fencing_token = worker.fencing_token.max(fencing_token);
        worker.answered_sent = worker.answered_sent.max(sent_at);
        self.obey(machine, &value["orders"]);
    }

    /// Turns to the leader that the answer names, or to the next node.
    fn heartbeat_refused(&mut self, machine: usize, node: usize, status: u16, answer: &Value) {
        let named: Option<usize> = answer["master"]
            .as_str()
            .and_then(|name| name.strip_prefix('n'))
            .and_then(|number| number.parse().ok());
        let leader = named.filter(|leader| status == 421 && *leader < self.settings.len() && *leader != node);
        match leader {
            Some(leader) => self.workers[machine].schedule_heartbeat(self.now + REDIRECT_MS, leader),
            None => self.try_next_node(machine),
        }
    }

    /// A request with commands reaches the machine at an address; one that hangs takes it in afterwards.
    pub(super) fn receive_command(&mut self, caller: Caller, addr: &str, body: &str) {
        let now = self.now;
        let reached = self.workers.iter().position(|worker| worker.addr == addr && worker.up);
        let Some(machine) = reached else { return };
        let worker = &mut self.workers[machine];
        if worker.commands_lost_until > now {
            return;
        }
        if worker.hung_until > now {
            let hung_until = worker.hung_until;
            let event = Event::Command { caller, addr: addr.to_string(), body: body.to_string() };
            return self.at(hung_until, event);
        }
        let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let fencing_token = value["fence"].as_u64().unwrap_or(0);
        let accepted =
            fencing_token >= worker.fencing_token && value["tenure"].as_u64() == Some(worker.worker_epoch);
        if accepted {
            if worker.heartbeats_lost_until > now && body.contains("\"start\"") {
                self.count("a direct start at a machine whose heartbeats are lost");
            }
            self.workers[machine].accept_token(fencing_token, now);
            self.obey(machine, &value["orders"]);
        }
        let status = if accepted { 200 } else { 409 };
        let body = self.workers[machine].heartbeat(now).to_string().into_bytes();
        let answer = caller.input(Input::Worker { request_id: caller.request_id, status, body });
        self.send(Host::Machine(machine), Host::Node(caller.node), answer);
    }
}
