//! The seeded simulation: controllers against stand-ins of the key-value store, the cloud, workers and users, with
//! delays, late delivery, cuts, crashes, hangs and outages. [`rules`] checks every rule of the protocol, from what
//! the stand-ins see and never from the controllers' own records.
//!
//! Everything random is drawn from one generator in the order of events, so a seed names a day exactly. [`days`]
//! builds days; the tests of this folder, of other packages and the example `simulation_digest` play them.

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
pub use settings::job;
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

/// How many nodes a day has, if it names no other number.
pub const NODES: usize = 3;

/// A day under way: the nodes, the stand-ins, and the events to come.
pub struct Simulation {
    /// The simulated time since the day began, in milliseconds.
    pub now: u64,
    /// The only source of randomness.
    pub rng: StdRng,
    queue: events::EventQueue,
    /// The nodes' settings.
    pub settings: Vec<Arc<Settings>>,
    /// Nodes that still run the version before dependencies, and the settings it read.
    pub previous_version: BTreeMap<usize, Arc<Settings>>,
    pub nodes: Vec<Node>,
    /// The stand-in of the key-value store.
    pub state: store::Service,
    pub cloud: cloud::Cloud,
    /// All machines that were ever rented, in the order of their numbers.
    pub workers: Vec<workers::Worker>,
    pub users: Vec<User>,
    links: links::Links,
    faults: faults::ActiveFaults,
    /// How fast each node's monotonic clock runs, in millionths beyond true time.
    pub drift_ppm: Vec<i64>,
    /// A task whose image its machine has fetched before starts at once.
    pub keeps_images: bool,
    /// How many impossible requests were sent.
    impossible_requests: u64,
    /// How often each situation that a day is to bring about took place.
    pub occurrences: BTreeMap<&'static str, u64>,
    leadership: Leadership,
    pub rules: Rules,
    /// Commands that a heartbeat on its way would have made needless: living machines returned with work on them.
    pub needless: Vec<String>,
    /// Over all that the nodes did so far, and when.
    effects: digest::Digest,
    /// The extension that each node is given as it starts.
    feature: Option<fn() -> Box<dyn Extension>>,
    /// The prefix of the extension's keys.
    feature_prefix: Option<&'static str>,
    /// Up to which revision jobs' descriptions are uploaded.
    described: u64,
    /// Answers to the test itself, in the order in which they came.
    pub answers: Vec<Answered>,
    /// How long a node that ends is away, in milliseconds.
    pub restart_delay_ms: Range<u64>,
    /// The share of all that nodes send which arrives a second time, up to 20 s later.
    pub duplicate_share: f64,
    /// Changes a controller after each of its steps, at that time: a check that is disabled.
    pub injected_fault: Option<fn(&mut Controller, u64)>,
}

/// Whose leadership it is, by the leader key's revision.
#[derive(Debug, Default)]
struct Leadership {
    leader_key: Option<Revision>,
    /// When the key was first seen with that revision, in milliseconds.
    since_ms: u64,
}

impl Simulation {
    /// A day with the usual nodes and limits.
    pub fn new(seed: u64) -> Self {
        Self::with_nodes(seed, NODES, settings::USUAL_GPUS)
    }

    /// A day with `nodes` controllers, and teams that may take `gpus` accelerators each.
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
            needless: Vec::new(),
            effects: digest::Digest::default(),
            feature: None,
            feature_prefix: None,
            described: 0,
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

    /// Draws a time in milliseconds, from `from` up to, but not including, `to`.
    pub fn rng_ms(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..to)
    }

    /// Schedules an event at a simulated time in milliseconds, or now if that has passed.
    pub fn at(&mut self, time: u64, event: Event) {
        self.queue.push(time.max(self.now), event);
    }

    /// Schedules an event so many milliseconds from now.
    fn after(&mut self, ms: u64, event: Event) {
        self.at(self.now + ms, event);
    }

    /// Plays on until a simulated time in milliseconds, or until a rule breaks.
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
            Event::LateWrite(request) => self.late_write(request),
            Event::WatchEnds(watch) => self.watch_ends(watch),
            Event::Cloud { caller, request } => self.cloud_request(caller, request),
            Event::Command { caller, addr, body } => self.receive_command(caller, &addr, &body),
            Event::Worker(machine) => self.worker_turn(machine),
            Event::HeartbeatAnswer { heartbeat, node, status, body } => {
                self.heartbeat_answer(heartbeat, node, status, &body);
            }
            Event::HeartbeatTimeout { machine, heartbeat } => self.heartbeat_timeout(machine, heartbeat),
            Event::HeartbeatCopy { machine, node, body } => {
                self.send_heartbeat(machine, node, Requester::Nobody, body);
            }
            Event::CloseRead(close_read) => self.close_read(close_read),
            Event::CloseReadAnswer { close_read, before, node, status, body } => {
                self.close_read_answer(close_read, &before, node, status, &body);
            }
            Event::OddRequest => self.odd_turn(),
            Event::User(user) => self.user_turn(user),
            Event::UserAnswer { user, request, status, body } => {
                self.user_answer(user, request, status, &body);
            }
            Event::UserTimeout { user, request } => self.user_timeout(user, request),
            Event::Answered(answer) => self.answers.push(answer),
            Event::Fault(fault) => self.apply_fault(fault),
        }
    }

    /// Sends a heartbeat of a machine to a node; false: the connection fails.
    fn send_heartbeat(&mut self, machine: usize, node: usize, requester: Requester, body: String) -> bool {
        let path = "/v1/report".to_string();
        self.request(node, requester, Host::Machine(machine), Method::Post, path, body)
    }

    /// A hash over all that the nodes did, and when, and over what the key-value store holds now.
    pub fn digest(&self) -> u64 {
        let mut digest = self.effects.clone();
        self.state
            .stored()
            .for_each(|(key, value, revision, lease)| digest.stored(key, value, revision, lease));
        digest.finish()
    }
}
