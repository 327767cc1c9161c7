//! The simulated workers. They are written from the protocol alone and read and write plain JSON, without the
//! controller's message types. [`tasks`] simulates tasks, [`copies`] sends copies of heartbeats and of start
//! commands.

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

/// The time between the steps of a running worker, in milliseconds.
const STEP_MS: u64 = 100;
/// How long after a hang a controller may still treat the machine as lost, in milliseconds.
const AFTER_HANG_MS: u64 = 6_000;
/// The timeout of a heartbeat, in milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;
/// The time from a failed heartbeat to the next one, in milliseconds.
const RETRY_MS: u64 = 1_000;
/// The time from an answer that names the leader to the heartbeat to that leader, in milliseconds.
const REDIRECT_MS: u64 = 100;
/// The share of machines that never boot.
const NEVER_BOOTS_SHARE: f64 = 0.03;
/// The boot time of such a machine, in milliseconds: beyond the end of any day.
const NEVER_MS: u64 = 10_000_000;
/// How slow a worker's clock may be: by this factor its lease lasts longer in true time.
const SLOWEST_CLOCK: f64 = 1.0005;

/// Processors and accelerators of a machine or of its tasks.
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
    /// The address at which the worker receives direct commands.
    pub addr: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    /// When the machine boots; `u64::MAX` once it has ended.
    pub boots_at: u64,
    pub up: bool,
    /// The worker hangs until this time.
    pub hung_until: u64,
    /// Answers and direct commands to the worker are lost until this time.
    pub commands_lost_until: u64,
    /// The worker's heartbeats are lost until this time; direct commands reach it.
    pub heartbeats_lost_until: u64,
    /// When the cloud preempts the machine, if it has sent a notice.
    pub taken_at: Option<u64>,
    /// The worker's epoch: 1 at first, incremented whenever its lease expires.
    worker_epoch: u64,
    epoch_began: u64,
    /// The serial number of the last status that the worker sent, in a heartbeat or in an answer to a direct
    /// command.
    serial: u64,
    /// The highest fencing token that the worker has received.
    pub fencing_token: u64,
    pub tasks: Vec<Task>,
    /// The node that the next heartbeat is sent to.
    node: usize,
    next_heartbeat: u64,
    /// The number of the heartbeat that has not been answered yet.
    in_flight: Option<u64>,
    heartbeats_sent: u64,
    /// When the last answered heartbeat was sent; the lease counts from this time.
    answered_sent: u64,
    /// Images that tasks have fetched on this machine.
    images: BTreeSet<String>,
    /// Injected fault: accepts answers with outdated fencing tokens.
    pub ignores_fencing_tokens: bool,
}

/// A heartbeat that has been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentHeartbeat {
    pub machine: usize,
    pub worker_epoch: u64,
    /// In milliseconds.
    pub sent_at: u64,
    /// The heartbeat's number among the worker's heartbeats.
    pub number: u64,
}

impl Worker {
    /// Creates a machine that has been rented but has not booted.
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
            ignores_fencing_tokens: false,
        }
    }

    /// Returns the machine's total resources.
    pub fn resources(&self) -> Amount {
        match self.type_name.as_str() {
            "small" => Amount { cpus: 8.0, gpus: 2.0 },
            _ => Amount { cpus: 16.0, gpus: 4.0 },
        }
    }

    /// Returns the resources that tasks on the machine use, including tasks that still fetch their image.
    pub fn used_resources(&self, body: impl Fn(&str) -> Option<Value>) -> Amount {
        let mut used = Amount::default();
        for task in self.tasks.iter().filter(|task| !task.has_exited()) {
            let body = body(task.job()).unwrap_or(Value::Null);
            used.cpus += body["vcpus"].as_f64().unwrap_or(0.0);
            used.gpus += body["accelerators"].as_f64().unwrap_or(0.0);
        }
        used
    }

    /// Returns the next heartbeat in the protocol's format.
    fn heartbeat(&mut self, now: u64) -> Value {
        self.serial += 1;
        let tasks: Vec<Value> = self.tasks.iter().map(Task::status).collect();
        let notice_s = self.taken_at.map(|at| at.saturating_sub(now) as f64 / 1000.0);
        json!({"host": self.id, "addr": self.addr, "flavor": self.type_name, "region": self.zone,
            "preemptible": self.spot, "tenure": self.worker_epoch, "serial": self.serial, "fence": self.fencing_token,
            "warning_s": notice_s, "shards": tasks})
    }

    /// Begins a new epoch without tasks if the lease has expired.
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

    /// Begins a new epoch without tasks, images or a known fencing token.
    pub(super) fn restart(&mut self, now: u64) {
        self.worker_epoch += 1;
        self.epoch_began = now;
        self.serial = 0;
        self.fencing_token = 0;
        self.tasks.clear();
        self.images.clear();
        self.in_flight = None;
        self.next_heartbeat = now;
    }

    /// Whether the worker can receive a node's answer: the machine is up, does not hang and loses no answers.
    fn can_receive(&self, now: u64) -> bool {
        self.up && self.hung_until <= now && self.commands_lost_until <= now
    }

    /// Accepts the fencing token of a direct command. A higher token means a new leader, so a heartbeat is
    /// due at once.
    fn accept_token(&mut self, fencing_token: u64, now: u64) {
        if fencing_token > self.fencing_token {
            self.next_heartbeat = now;
        }
        self.fencing_token = fencing_token;
    }

    /// Schedules the next heartbeat, and the node that it is sent to.
    fn schedule_heartbeat(&mut self, at_ms: u64, node: usize) {
        self.in_flight = None;
        self.next_heartbeat = at_ms;
        self.node = node;
    }
}

impl Simulation {
    /// Adds a machine that the cloud has rented out. It boots later or, for a small share of machines, never.
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

    /// Ends a machine and all tasks on it.
    pub(super) fn end_machine(&mut self, machine: usize) {
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

    /// Whether a machine is healthy, partitioned from no node, under no preemption notice, and runs a task of
    /// an unfinished job.
    pub fn runs_wanted_tasks(&self, machine: usize) -> bool {
        let worker = &self.workers[machine];
        let is_wanted = |task: &Task| task.present() && self.rules.terminal_status(task.job()).is_none();
        worker.up
            && !self.is_partitioned_from_a_node(machine)
            && worker.taken_at.is_none()
            && self.now >= worker.hung_until + AFTER_HANG_MS
            && worker.tasks.iter().any(is_wanted)
    }

    /// Returns the duration of a worker's lease by the slowest allowed clock, in milliseconds.
    fn lease_ms(&self) -> u64 {
        (self.settings[0].workers.lease_s * 1000.0 * SLOWEST_CLOCK) as u64
    }

    /// Takes a worker's next step: checks its lease, advances its tasks and sends a heartbeat if one is due.
    pub(super) fn step_worker(&mut self, machine: usize) {
        let now = self.now;
        if self.workers[machine].boots_at > now {
            return; // the machine has ended
        }
        self.workers[machine].up = true;
        if self.workers[machine].taken_at.is_some_and(|at| at <= now) {
            let id = self.workers[machine].id.clone();
            self.end_machine(machine);
            return self.cloud.mark_gone(&id, now);
        }
        let hung_until = self.workers[machine].hung_until;
        if hung_until > now {
            return self.at(hung_until, Event::Worker(machine));
        }
        self.after(STEP_MS, Event::Worker(machine));
        // Also checked before a worker that resumes after a hang checks its lease and drops its tasks.
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

    /// Sends a worker's heartbeat, and copies of it if such faults are active.
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

    /// Schedules the next heartbeat of a worker whose heartbeat failed, to the next node and after a pause.
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

    /// Handles a node's answer to a heartbeat, which has commands or names the leader.
    pub(super) fn heartbeat_answer(
        &mut self,
        heartbeat: SentHeartbeat,
        node: usize,
        status: u16,
        body: &str,
    ) {
        let SentHeartbeat { machine, worker_epoch, sent_at, number } = heartbeat;
        let now = self.now;
        if self.workers[machine].in_flight != Some(number) || !self.workers[machine].can_receive(now) {
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
        let is_outdated = fencing_token < worker.fencing_token && !worker.ignores_fencing_tokens;
        if worker.worker_epoch != worker_epoch || is_outdated {
            return;
        }
        worker.fencing_token = worker.fencing_token.max(fencing_token);
        worker.answered_sent = worker.answered_sent.max(sent_at);
        self.run_commands(machine, &value["orders"]);
    }

    /// Schedules the next heartbeat to the leader that the answer names, or else to the next node.
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

    /// Carries out a direct command if its token and epoch allow it. Returns whether they do.
    fn execute_command(&mut self, machine: usize, body: &str) -> bool {
        let now = self.now;
        let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let fencing_token = value["fence"].as_u64().unwrap_or(0);
        let worker = &mut self.workers[machine];
        let accepted =
            fencing_token >= worker.fencing_token && value["tenure"].as_u64() == Some(worker.worker_epoch);
        if accepted {
            worker.accept_token(fencing_token, now);
            self.run_commands(machine, &value["orders"]);
        }
        accepted
    }

    /// Handles a direct command for the machine at an address. A machine that hangs handles it after the
    /// hang.
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
        let heartbeats_lost = worker.heartbeats_lost_until > now;
        let accepted = self.execute_command(machine, body);
        if accepted {
            if heartbeats_lost && body.contains("\"start\"") {
                self.count("a direct start at a machine whose heartbeats are lost");
            }
            self.copy_starts(machine, body);
        }
        let status = if accepted { 200 } else { 409 };
        let body = self.workers[machine].heartbeat(now).to_string().into_bytes();
        let answer = caller.input(Input::Worker { request_id: caller.request_id, status, body });
        self.send(Host::Machine(machine), Host::Node(caller.node), answer);
    }
}
