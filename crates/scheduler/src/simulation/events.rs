//! The simulation's events and the queue that orders them by simulated time.

use super::close_reads::CloseRead;
use super::faults::Fault;
use super::nodes::{Answered, Caller};
use super::rules::Known;
use super::workers::SentHeartbeat;
use crate::node::Input;
use crate::wire::cloud::CloudRequest;
use crate::wire::state::StoreRequest;
use std::collections::BTreeMap;

/// An event that takes place at a scheduled time.
#[derive(Debug)]
pub enum Event {
    /// The next periodic step of an incarnation of a node.
    Tick { node: usize, incarnation: u64 },
    /// An input reaches an incarnation of a node.
    Input { node: usize, incarnation: u64, input: Input },
    /// A request reaches the key-value store.
    Store { caller: Caller, request: StoreRequest },
    /// The key-value store sends an answer to a node that it delayed.
    SlowStoreAnswer { node: usize, answer: Box<Event> },
    /// A delayed transaction is carried out; its sender gets no answer.
    LateWrite(StoreRequest),
    /// The watch with this number ends and is answered.
    WatchEnds(u64),
    /// A request reaches the cloud.
    Cloud { caller: Caller, request: CloudRequest },
    /// A request with commands reaches the machine at an address.
    Command { caller: Caller, addr: String, body: String },
    /// A request of a node reaches its timeout.
    Timeout { caller: Caller, service: Service },
    /// A node's process starts.
    Restart(usize),
    /// The next step of the worker on this machine.
    Worker(usize),
    /// A node's answer to a heartbeat reaches its worker.
    HeartbeatAnswer { heartbeat: SentHeartbeat, node: usize, status: u16, body: String },
    /// The heartbeat with this number reaches its timeout.
    HeartbeatTimeout { machine: usize, heartbeat: u64 },
    /// A close read is sent.
    CloseRead(CloseRead),
    /// A node's answer to a close read arrives; `before` is what users knew when it was sent.
    CloseReadAnswer { close_read: CloseRead, before: Known, node: usize, status: u16, body: String },
    /// The next malformed or impossible request is sent.
    OddRequest,
    /// A copy of a heartbeat is sent to a node.
    HeartbeatCopy { machine: usize, node: usize, body: String },
    /// A copy of a command that a worker has carried out reaches it again, in this situation.
    CommandCopy { machine: usize, body: String, situation: &'static str },
    /// A user sends its next request.
    User(usize),
    /// A node's answer reaches a user.
    UserAnswer { user: usize, request: u64, status: u16, body: String },
    /// A user's request reaches its timeout.
    UserTimeout { user: usize, request: u64 },
    /// An answer to a request of the test itself arrives.
    Answered(Answered),
    /// A fault begins or ends.
    Fault(Fault),
}

/// The service that a node's request went to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Service {
    Store,
    Cloud,
    Worker,
}

/// The position of an event in the queue: by time, and within one millisecond in the order of insertion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at_ms: u64,
    sequence: u64,
}

/// Pending events in the order in which they take place.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    last_sequence: u64,
    events: BTreeMap<EventKey, Event>,
}

impl EventQueue {
    /// Adds an event at a simulated time, in milliseconds.
    pub(super) fn push(&mut self, at_ms: u64, event: Event) {
        self.last_sequence += 1;
        let key = EventKey { at_ms, sequence: self.last_sequence };
        self.events.insert(key, event);
    }

    /// Removes and returns the next event and its time, if it takes place no later than `end_ms`.
    pub(super) fn pop_until(&mut self, end_ms: u64) -> Option<(u64, Event)> {
        let next = self.events.first_entry()?;
        let at_ms = next.key().at_ms;
        (at_ms <= end_ms).then(|| (at_ms, next.remove()))
    }
}
