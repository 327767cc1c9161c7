//! The seeded simulation: real controllers run against simulated versions of the key-value store, the cloud,
//! the workers and the users, with message delays, late delivery, network partitions, crashes, hangs and
//! outages. [`rules`] checks every rule of the protocol from what the simulated components observe, never
//! from the controllers' own records.
//!
//! A simulated run is called a day. All randomness comes from one generator, which is used in the order of
//! events, so a seed determines a day exactly. [`days`] builds days; the tests in this folder, those of other
//! packages and the example `simulation_digest` run them.

mod bad_records;
mod cancellations;
mod close_reads;
mod cloud;
mod combined_faults;
pub mod days;
mod digest;
mod directed;
mod effects;
mod events;
mod faults;
mod fields;
mod golden;
mod isolated_leader;
mod links;
mod mistaken_jobs;
mod nodes;
mod occurrences;
mod odd_requests;
mod recovery;
mod rules;
mod settings;
mod store;
mod tests;
mod users;
mod waiting;
mod workers;

pub use events::Event;
pub use faults::{Fault, LeaderFault};
pub use links::Host;
pub use nodes::{Answered, Node};
pub use rules::Start;
pub use settings::{MISTAKEN_IMAGE, job};
pub use users::{Stage, Submits, User};

use crate::extension::Extension;
use crate::node::{Controller, Method};
use crate::settings::Settings;
use crate::types::Revision;
use nodes::Requester;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rules::Rules;
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

/// The default number of nodes of a day.
pub const NODES: usize = 3;

/// A running day: the nodes, the simulated components and the pending events.
pub struct Simulation {
    /// The simulated time since the start of the day, in milliseconds.
    pub now: u64,
    /// The only source of randomness.
    pub rng: StdRng,
    queue: events::EventQueue,
    /// The nodes' settings.
    pub settings: Vec<Arc<Settings>>,
    /// Nodes that still run the version without job dependencies, with the settings that this version reads.
    pub previous_version: BTreeMap<usize, Arc<Settings>>,
    pub nodes: Vec<Node>,
    /// The simulated key-value store.
    pub state: store::Service,
    pub cloud: cloud::Cloud,
    /// All machines ever rented, indexed by machine number.
    pub workers: Vec<workers::Worker>,
    pub users: Vec<User>,
    links: links::Links,
    faults: faults::ActiveFaults,
    /// How much faster than true time each node's monotonic clock runs, in parts per million.
    pub drift_ppm: Vec<i64>,
    /// Whether a task starts without a fetch on a machine that has fetched the task's image before.
    pub keeps_images: bool,
    /// The number of requests sent so far that can never be accepted.
    impossible_requests: u64,
    /// How often each situation that days are meant to produce has occurred.
    pub occurrences: BTreeMap<&'static str, u64>,
    leadership: Leadership,
    pub rules: Rules,
    /// Descriptions of released machines that were healthy and still ran wanted tasks, which a heartbeat in
    /// transit would have shown.
    pub needless_returns: Vec<String>,
    /// The digest of all effects of the nodes so far, with their times.
    effects: digest::Digest,
    /// Creates the extension that each node gets at its start.
    extension: Option<fn() -> Box<dyn Extension>>,
    /// The prefix of the extension's keys.
    extension_prefix: Option<&'static str>,
    /// The store revision up to which the submissions of an extension's jobs have been passed to the rules.
    described_revision: u64,
    /// Answers to requests that the test itself sent, in order of arrival.
    pub answers: Vec<Answered>,
    /// The range of the time between a node's crash and its restart, in milliseconds.
    pub restart_delay_ms: Range<u64>,
    /// The share of the nodes' messages that arrive a second time, up to 20 s later.
    pub duplicate_share: f64,
    /// Called with a controller after each of its steps, and the simulated time; used to disable one of its
    /// checks.
    pub injected_fault: Option<fn(&mut Controller, u64)>,
}

/// The current leadership, identified by the leader key's revision.
#[derive(Debug, Default)]
struct Leadership {
    leader_key: Option<Revision>,
    /// When the leader key was first observed with that revision, in milliseconds.
    since_ms: u64,
}

impl Simulation {
    /// Creates a day with the default number of nodes and the default team limits.
    pub fn new(seed: u64) -> Self {
        Self::with_nodes(seed, NODES, settings::USUAL_GPUS)
    }

    /// Creates a day with `nodes` controllers and teams that may use `gpus` accelerators each.
    pub fn with_nodes(seed: u64, nodes: usize, gpus: u32) -> Self {
        let settings: Vec<Arc<Settings>> =
            (0..nodes).map(|node| Arc::new(settings::settings_of(node, nodes, gpus))).collect();
        let mut simulation = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            queue: events::EventQueue::default(),
            nodes: Vec::new(),
            state: store::Service::new(settings[0].state.clone()),
            cloud: cloud::Cloud::default(),
            workers: Vec::new(),
            users: Vec::new(),
            links: links::Links::default(),
            faults: faults::ActiveFaults::default(),
            drift_ppm: vec![0; nodes],
            keeps_images: false,
            impossible_requests: 0,
            occurrences: BTreeMap::new(),
            leadership: Leadership::default(),
            rules: Rules::new(settings[0].workers.cancel_s, &settings[0].teams),
            needless_returns: Vec::new(),
            effects: digest::Digest::default(),
            extension: None,
            extension_prefix: None,
            described_revision: 0,
            answers: Vec::new(),
            restart_delay_ms: 1_000..4_000,
            duplicate_share: 0.0,
            injected_fault: None,
            previous_version: BTreeMap::new(),
            settings,
        };
        (0..nodes).for_each(|_| simulation.add_node());
        simulation
    }

    /// Draws a time in milliseconds from `from` up to, but not including, `to`.
    pub fn rng_ms(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..to)
    }

    /// Schedules an event at a simulated time in milliseconds, or now if that time has passed.
    pub fn at(&mut self, time: u64, event: Event) {
        self.queue.push(time.max(self.now), event);
    }

    /// Schedules an event `ms` milliseconds from now.
    fn after(&mut self, ms: u64, event: Event) {
        self.at(self.now + ms, event);
    }

    /// Handles events until the simulated time `end`, in milliseconds, or until a rule is broken.
    pub fn run_until(&mut self, end: u64) {
        while let Some((at_ms, event)) = self.queue.pop_until(end) {
            self.now = at_ms;
            self.handle(event);
            if !self.rules.broken.is_empty() {
                return;
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { node, incarnation } => self.tick(node, incarnation),
            Event::Input { node, incarnation, input } => self.receive_input(node, incarnation, input),
            Event::Timeout { caller, service } => self.request_timeout(caller, service),
            Event::Restart(node) => self.start_node(node),
            Event::Store { caller, request } => self.store_request(caller, request),
            Event::SlowStoreAnswer { node, answer } => self.send(Host::Store, Host::Node(node), *answer),
            Event::LateWrite(request) => self.commit_late(request),
            Event::WatchEnds(watch) => self.end_watch(watch),
            Event::Cloud { caller, request } => self.cloud_request(caller, request),
            Event::Command { caller, addr, body } => self.receive_command(caller, &addr, &body),
            Event::Worker(machine) => self.step_worker(machine),
            Event::HeartbeatAnswer { heartbeat, node, status, body } => {
                self.heartbeat_answer(heartbeat, node, status, &body);
            }
            Event::HeartbeatTimeout { machine, heartbeat } => self.heartbeat_timeout(machine, heartbeat),
            Event::HeartbeatCopy { machine, node, body } => {
                self.send_heartbeat(machine, node, Requester::Dropped, body);
            }
            Event::CommandCopy { machine, body, situation } => {
                self.receive_command_copy(machine, body, situation);
            }
            Event::CloseRead(close_read) => self.close_read(close_read),
            Event::CloseReadAnswer { close_read, before, node, status, body } => {
                self.close_read_answer(close_read, &before, node, status, &body);
            }
            Event::OddRequest => self.send_odd_request(),
            Event::User(user) => self.send_next_request(user),
            Event::UserAnswer { user, request, status, body } => {
                self.user_answer(user, request, status, &body);
            }
            Event::UserTimeout { user, request } => self.user_timeout(user, request),
            Event::Answered(answer) => self.answers.push(answer),
            Event::Fault(fault) => self.apply_fault(fault),
        }
    }

    /// Sends a machine's heartbeat to a node. Returns false if the connection fails.
    fn send_heartbeat(&mut self, machine: usize, node: usize, requester: Requester, body: String) -> bool {
        let path = "/v1/report".to_string();
        self.request(node, requester, Host::Machine(machine), Method::Post, path, body)
    }

    /// Returns a hash of all effects of the nodes with their times, and of the key-value store's current
    /// content.
    pub fn digest(&self) -> u64 {
        let mut digest = self.effects.clone();
        self.state
            .stored()
            .for_each(|(key, value, revision, lease)| digest.stored(key, value, revision, lease));
        digest.finish()
    }
}
