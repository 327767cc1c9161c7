//! What a step asks for: its effects in their order, and what each request still out is for.

use super::Effect;
use crate::jobs::{OpenJob, PendingRequest};
use crate::partitions::{self, PeerMessage};
use crate::types::{Duration, FencingToken, MonotonicTime, NodeName, RequestId};
use crate::wire::cloud::CloudRequest;
use crate::wire::state::{Change, StoreRequest};
use crate::wire::users;
use pearford_heartbeat::RelayedCommand;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How long the shell waits for the state service before it reports no answer.
const STATE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The same for a page of records, which may hold half a megabyte: asked for anew before it had come in, a loaded node
/// never had its copy of the jobs, and nobody led (four times the andina fleet, a slow state service).
const PAGE_TIMEOUT: Duration = Duration::from_millis(6000);
const CLOUD_TIMEOUT: Duration = Duration::from_millis(5000);
/// What the way by another node takes, at most, beside the order itself.
const RELAY_SLACK: Duration = Duration::from_millis(500);
/// Requests of users are numbered by the shell, from 1.
const FIRST_REQUEST_ID: u64 = 1 << 32;

/// What an outstanding request to the state service is for.
#[derive(Debug)]
pub(super) enum Pending {
    /// Keeping a copy of records up to date.
    Follow(WatchedPrefix, Read),
    Create {
        waiting: PendingRequest,
        job: Arc<OpenJob>,
    },
    Cancel {
        waiting: PendingRequest,
    },
    SuccessCounts,
    ClusterVersion,
    /// What this node says of whom it hears, apart from the leader.
    Apart,
    /// A feature's commit.
    Extension {
        slot: usize,
        tag: u64,
        changes: Vec<Change>,
    },
    /// Machines that a feature asked for.
    Machines {
        slot: usize,
        tag: u64,
    },
    /// The leader's own, void when its fence has passed.
    Leader(FencingToken, LeaderRequest),
}

/// Whose records a copy is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WatchedPrefix {
    Jobs,
    Extension(usize),
}

/// A read that follows a prefix.
#[derive(Debug, Clone, Copy)]
pub(super) enum Read {
    /// A page of all keys; changes since the first page's revision are watched for afterwards.
    Page { first_store_revision: Option<u64> },
    /// A watch that waits for changes.
    Watch,
    /// A watch that returns at once: what it says holds for all that was asked before `began`.
    Sync { began: MonotonicTime },
}

#[derive(Debug)]
pub(super) enum LeaderRequest {
    LoadMachines,
    LoadProgress,
    Commit,
    Correct {
        key: String,
    },
    SaveCounts,
    Resign,
    /// What nodes that are apart say.
    Apart,
}

#[derive(Debug)]
pub(super) struct Outbox {
    me: NodeName,
    effects: Vec<Effect>,
    next_request_id: u64,
    pending: BTreeMap<RequestId, Pending>,
    /// Direct orders of this step that go by way of other nodes.
    relays: BTreeMap<NodeName, Vec<RelayedCommand>>,
    /// Those on their way, and when no answer is waited for any more: the node may be gone.
    relayed: BTreeMap<RequestId, MonotonicTime>,
}

impl Outbox {
    pub fn new(me: NodeName) -> Self {
        Self {
            me,
            effects: Vec::new(),
            next_request_id: FIRST_REQUEST_ID,
            pending: BTreeMap::new(),
            relays: BTreeMap::new(),
            relayed: BTreeMap::new(),
        }
    }

    /// The effects of the step that ends. `fencing_token`: of the orders that go by way of other nodes.
    pub fn take(&mut self, fencing_token: FencingToken) -> Vec<Effect> {
        for (node, calls) in std::mem::take(&mut self.relays) {
            self.tell(&node, PeerMessage::RelayCommands { fencing_token, calls });
        }
        std::mem::take(&mut self.effects)
    }

    fn request_id(&mut self) -> RequestId {
        self.next_request_id += 1;
        RequestId(self.next_request_id)
    }

    pub fn request_store(&mut self, request: StoreRequest, pending: Pending) {
        let timeout = match &request {
            StoreRequest::Watch { block_ms, .. } => Duration::from_millis(block_ms + 2500),
            StoreRequest::Range { .. } => PAGE_TIMEOUT,
            _ => STATE_TIMEOUT,
        };
        let request_id = self.request_store_with_timeout(request, timeout);
        self.pending.insert(request_id, pending);
    }

    /// A request whose answer the caller knows by its id.
    pub fn request_store_with_timeout(&mut self, request: StoreRequest, timeout: Duration) -> RequestId {
        let request_id = self.request_id();
        self.effects.push(Effect::Store { request_id, request, timeout });
        request_id
    }

    /// What an answer is for; each is taken once.
    pub fn answered(&mut self, request_id: RequestId) -> Option<Pending> {
        self.pending.remove(&request_id)
    }

    /// Whether it only follows a feature's records.
    pub fn is_aside(&self, request_id: RequestId) -> bool {
        matches!(self.pending.get(&request_id), Some(Pending::Follow(WatchedPrefix::Extension(_), _)))
    }

    pub fn waits_for(&self, what: impl Fn(&Pending) -> bool) -> bool {
        self.pending.values().any(what)
    }

    /// Requests to the state service without an answer yet.
    pub fn open(&self) -> usize {
        self.pending.len()
    }

    pub fn request_cloud(&mut self, request: CloudRequest) -> RequestId {
        let request_id = self.request_id();
        self.effects.push(Effect::Cloud { request_id, request, timeout: CLOUD_TIMEOUT });
        request_id
    }

    pub fn command_worker(&mut self, addr: String, body: String, timeout: Duration) -> RequestId {
        let request_id = self.request_id();
        self.effects.push(Effect::Worker { request_id, addr, body, timeout });
        request_id
    }

    /// As `command_worker`, by way of another node. Whoever passes it on may be gone: without an answer it may
    /// still run, as without one of the worker's.
    pub fn relay(
        &mut self,
        via: &NodeName,
        addr: String,
        body: String,
        timeout: Duration,
        now: MonotonicTime,
    ) -> RequestId {
        let request_id = self.request_id();
        let call = RelayedCommand { call: request_id.0, addr, body, timeout };
        self.relays.entry(via.clone()).or_default().push(call);
        self.relayed.insert(request_id, now + timeout + RELAY_SLACK);
        request_id
    }

    /// Whether this is an answer to one that is still waited for.
    pub fn relay_answered(&mut self, request_id: RequestId) -> bool {
        self.relayed.remove(&request_id).is_some()
    }

    /// Those that are not waited for any more.
    pub fn relays_overdue(&mut self, now: MonotonicTime) -> Vec<RequestId> {
        let late = self.relayed.iter().filter(|(_, until)| **until <= now).map(|(request_id, _)| *request_id);
        let late: Vec<RequestId> = late.collect();
        late.iter().for_each(|request_id| {
            self.relayed.remove(request_id);
        });
        late
    }

    /// The lead is over: nobody waits for its orders.
    pub fn forget_relays(&mut self) {
        self.relays.clear();
        self.relayed.clear();
    }

    pub fn tell(&mut self, to: &NodeName, message: PeerMessage) {
        let bytes = partitions::encode(&self.me, message);
        self.effects.push(Effect::Peer { to: to.clone(), bytes });
    }

    pub fn answer(&mut self, request: RequestId, status: u16, body: String) {
        let retry_after_s = matches!(status, 429 | 503).then_some(1);
        self.effects.push(Effect::Answer { request, status, retry_after_s, headers: Vec::new(), body });
    }

    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub fn refuse(&mut self, request: RequestId, status: u16, reason: &str) {
        self.answer(request, status, users::error(reason));
    }
}
