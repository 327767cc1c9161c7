//! The nodes' processes: starts, clocks, steps, and HTTP requests to them.

use super::Simulation;
use super::close_reads::CloseRead;
use super::events::{Event, Service};
use super::links::Host;
use super::rules::Known;
use super::settings::next_settings;
use super::workers::SentHeartbeat;
use crate::extension::{Call, Extension};
use crate::node::{Controller, Input, Method, Now};
use crate::types::{Duration, MonotonicTime, RequestId, WallTime};
use crate::wire::cloud::CloudReply;
use crate::wire::state::StoreReply;
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The time between a node's periodic steps, in milliseconds; up to `TICK_JITTER_MS` more each time.
const TICK_MS: u64 = 50;
const TICK_JITTER_MS: u64 = 4;
/// The value of the monotonic clocks at the start of the simulation, in milliseconds.
const MONOTONIC_START_MS: u64 = 1_000_000;
/// The value of the wall clocks at the start of the simulation, in milliseconds since 1970.
const WALL_START_MS: u64 = 1_700_000_000_000;

/// A node, with its process if it is running.
pub struct Node {
    /// The running process; `None` while the node is down.
    pub controller: Option<Controller>,
    /// How often the node has started.
    pub incarnation: u64,
    /// The requesters that wait for answers from this node.
    pub(super) requesters: BTreeMap<RequestId, Requester>,
    last_request: u64,
    /// The node's own requests that have been neither answered nor timed out.
    pub(super) open_requests: BTreeSet<RequestId>,
}

impl Node {
    fn down() -> Self {
        Self {
            controller: None,
            incarnation: 0,
            requesters: BTreeMap::new(),
            last_request: 0,
            open_requests: BTreeSet::new(),
        }
    }

    fn runs(&self, incarnation: u64) -> bool {
        self.controller.is_some() && self.incarnation == incarnation
    }
}

/// The request of a node, with the incarnation that waits for the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Caller {
    pub node: usize,
    pub incarnation: u64,
    pub request_id: RequestId,
}

impl Caller {
    /// Returns the event of an answer's arrival.
    pub(super) fn input(self, input: Input) -> Event {
        Event::Input { node: self.node, incarnation: self.incarnation, input }
    }
}

/// The recipient of the answer to a request at a node.
#[derive(Debug)]
pub(super) enum Requester {
    User {
        user: usize,
        request: u64,
    },
    Worker(SentHeartbeat),
    CloseRead {
        close_read: CloseRead,
        before: Known,
    },
    /// The answer is dropped: the request is a copy of a heartbeat.
    Dropped,
    /// The test itself, which identifies the request by a number.
    Test {
        tag: u64,
    },
}

/// An answer to a request of the test itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Answered {
    /// The number that the test gave the request.
    pub tag: u64,
    pub node: usize,
    pub status: u16,
    pub retry_after_s: Option<u32>,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

/// Returns the first `count` nodes as hosts.
pub(super) fn hosts(count: usize) -> impl Iterator<Item = Host> {
    (0..count).map(Host::Node)
}

impl Simulation {
    /// Adds a node that starts within the first 300 ms of the day.
    pub(super) fn add_node(&mut self) {
        self.nodes.push(Node::down());
        let at_ms = self.rng_ms(1, 300);
        self.at(at_ms, Event::Restart(self.nodes.len() - 1));
    }

    /// Gives every node an extension, from its next start on.
    pub fn with_extension(mut self, extension: fn() -> Box<dyn Extension>) -> Self {
        self.extension_prefix = Some(extension().prefix());
        self.extension = Some(extension);
        self
    }

    /// Makes all nodes start with the version without job dependencies and the key-value store's present
    /// limits. The settings of upgraded nodes name the next limits.
    pub fn start_with_previous_version(&mut self) {
        let nodes = self.settings.len();
        self.previous_version = self.settings.iter().cloned().enumerate().collect();
        self.settings = (0..nodes).map(|node| Arc::new(next_settings(node, nodes))).collect();
    }

    pub(super) fn start_node(&mut self, index: usize) {
        let seed = self.rng.random();
        let previous_settings = self.previous_version.get(&index);
        let settings = previous_settings.unwrap_or(&self.settings[index]).clone();
        let mut controller = Controller::new(settings, seed);
        if previous_settings.is_some() {
            controller.act_as_previous_version();
        }
        if let Some(extension) = self.extension {
            controller = controller.with_extension(extension());
        }
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.controller = Some(controller);
        node.requesters.clear();
        node.open_requests.clear();
        let incarnation = node.incarnation;
        self.after(1, Event::Tick { node: index, incarnation });
    }

    /// Ends a node's process if it is running. It starts again after a time drawn from `restart_delay_ms`.
    pub(super) fn crash_node(&mut self, index: usize) {
        if self.nodes[index].controller.take().is_some() {
            let ms = self.rng.random_range(self.restart_delay_ms.clone());
            self.after(ms, Event::Restart(index));
        }
    }

    pub(super) fn tick(&mut self, node: usize, incarnation: u64) {
        if !self.nodes[node].runs(incarnation) {
            return;
        }
        let jitter = self.rng_ms(0, TICK_JITTER_MS);
        self.after(TICK_MS + jitter, Event::Tick { node, incarnation });
        self.record_leader();
        self.release_copies();
        self.release_start_copies();
        self.step(node, Input::Tick);
    }

    pub(super) fn receive_input(&mut self, node: usize, incarnation: u64, input: Input) {
        if !self.nodes[node].runs(incarnation) {
            return;
        }
        let answered = match &input {
            Input::Store { request_id, .. }
            | Input::Cloud { request_id, .. }
            | Input::Worker { request_id, .. } => Some(*request_id),
            _ => None,
        };
        // An answer after the request's timeout is dropped.
        if answered.is_none_or(|request_id| self.nodes[node].open_requests.remove(&request_id)) {
            self.step(node, input);
        }
    }

    pub(super) fn request_timeout(&mut self, caller: Caller, service: Service) {
        let Caller { node, incarnation, request_id } = caller;
        let state = &mut self.nodes[node];
        if state.incarnation != incarnation || !state.open_requests.remove(&request_id) {
            return;
        }
        let input = match service {
            Service::Store => Input::Store { request_id, reply: StoreReply::Unknown },
            Service::Cloud => Input::Cloud { request_id, reply: CloudReply::Unknown },
            Service::Worker => Input::Worker { request_id, status: 0, body: Vec::new() },
        };
        self.step(node, input);
    }

    /// Returns the time of a node's monotonic clock.
    fn monotonic_time(&self, node: usize) -> MonotonicTime {
        let drift = self.now as i64 * self.drift_ppm[node] / 1_000_000;
        MonotonicTime::from_millis(MONOTONIC_START_MS + self.now.saturating_add_signed(drift))
    }

    /// Returns the node that holds a valid leader lease now, if any.
    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &usize| {
            let controller = self.nodes[*node].controller.as_ref();
            controller.is_some_and(|controller| controller.holds_lease(self.monotonic_time(*node)))
        };
        (0..self.nodes.len()).find(leads)
    }

    /// Passes an input to a node and carries out the effects.
    fn step(&mut self, node: usize, input: Input) {
        let now = Now {
            monotonic: self.monotonic_time(node),
            wall_time: WallTime(WALL_START_MS + self.now),
            last_step_duration: Duration::from_millis(0),
        };
        let incarnation = self.nodes[node].incarnation;
        let Some(controller) = &mut self.nodes[node].controller else { return };
        let effects = controller.step(now, input);
        if self.previous_version.contains_key(&node) {
            controller.act_as_previous_version();
        }
        if let Some(injected_fault) = self.injected_fault {
            injected_fault(controller, self.now);
        }
        if let Err(what) = controller.check_totals() {
            self.rules.broken.push(format!("at {} ms: wrong running totals: {what}", self.now));
        }
        for effect in effects {
            self.effects.effect(self.now, node, &effect);
            self.carry_out(node, incarnation, effect);
        }
    }

    /// Sends an HTTP request to a node. Returns false if the connection fails.
    pub(super) fn request(
        &mut self,
        node: usize,
        requester: Requester,
        from: Host,
        method: Method,
        path: String,
        body: String,
    ) -> bool {
        let input = |request| Input::Http { request, method, path, body: body.into_bytes() };
        self.send_request(node, requester, from, input)
    }

    fn send_request(
        &mut self,
        index: usize,
        requester: Requester,
        from: Host,
        input: impl FnOnce(RequestId) -> Input,
    ) -> bool {
        if self.nodes[index].controller.is_none() || self.links.refuses(from, Host::Node(index)) {
            return false;
        }
        let node = &mut self.nodes[index];
        node.last_request += 1;
        let request = RequestId(node.last_request);
        node.requesters.insert(request, requester);
        let incarnation = node.incarnation;
        let event = Event::Input { node: index, incarnation, input: input(request) };
        self.send(from, Host::Node(index), event);
        true
    }

    /// Sends a node a request as a user would; the answer is added to `answers`. Returns false if the
    /// connection fails.
    pub fn ask(&mut self, node: usize, tag: u64, method: Method, path: &str, body: &str) -> bool {
        self.request(node, Requester::Test { tag }, Host::User, method, path.into(), body.into())
    }

    /// Calls a node's extension; the answer is added to `answers`. Returns false if the connection fails.
    pub fn call(&mut self, node: usize, tag: u64, call: Call) -> bool {
        let input = |request| Input::Call { slot: 0, request, call };
        self.send_request(node, Requester::Test { tag }, Host::User, input)
    }
}
