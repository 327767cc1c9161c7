//! The outbox: collects the effects of a step in order, and records what each outstanding request is for.
//!
//! The controller and the leader write to it; the controller takes the effects at the end of each step.

use super::Effect;
use crate::jobs::{OpenJob, PendingRequest};
use crate::peer_messages::{self, PeerMessage};
use crate::types::{Duration, FencingToken, MonotonicTime, NodeName, RequestId};
use crate::wire::cloud::CloudRequest;
use crate::wire::state::{Change, StoreRequest};
use crate::wire::users;
use http::StatusCode;
use pearford_heartbeat::RelayedCommand;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Timeout of a request to the key-value store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a read of a page of records, which may hold half a megabyte. With a shorter timeout, at four
/// times the machines and with a slow key-value store, a node under load requested pages again before they
/// had arrived. It never completed its copy of the job records, and no node became leader.
const PAGE_TIMEOUT: Duration = Duration::from_millis(6000);
/// Added to the time that a watch may wait for changes, to get the timeout of the watch, in ms.
const WATCH_SLACK_MS: u64 = 2500;
/// Timeout of a request to the cloud.
const CLOUD_TIMEOUT: Duration = Duration::from_millis(5000);
/// Added to the timeout of a command that another node relays.
const RELAY_SLACK: Duration = Duration::from_millis(500);
/// Ids of the node's own requests are above this number. The program numbers users' requests from 1.
const FIRST_REQUEST_ID: u64 = 1 << 32;
/// Value of `Retry-After` in answers that ask the client to retry, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// What an outstanding request to the key-value store is for.
#[derive(Debug)]
pub(super) enum Pending {
    /// A read that keeps a copy of records up to date.
    PrefixRead(WatchedPrefix, Read),
    /// Creates the record of a submitted job.
    Create {
        /// The user's request.
        waiting: PendingRequest,
        /// The job.
        job: Arc<OpenJob>,
    },
    /// Cancels a job.
    Cancel {
        /// The user's request.
        waiting: PendingRequest,
    },
    /// Reads the stored success counts.
    SuccessCounts,
    /// Reads or writes records of the nodes' feature levels.
    ClusterVersion,
    /// Writes the report of the workers that this node answers while it is isolated from the leader.
    IsolationReport,
    /// An extension's commit.
    ExtensionCommit {
        /// The extension's slot.
        slot: usize,
        /// The extension's tag for the commit.
        tag: u64,
        /// What it changes.
        changes: Vec<Change>,
    },
    /// An extension's read of machines.
    ExtensionMachines {
        /// The extension's slot.
        slot: usize,
        /// The extension's tag for the read.
        tag: u64,
    },
    /// A request of the leader with this fencing token; its reply is ignored once that leadership has ended.
    Leader(FencingToken, LeaderRequest),
}

/// The records that a local copy follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WatchedPrefix {
    /// The job records.
    Jobs,
    /// The records of the extension in this slot.
    Extension(usize),
}

/// A read that keeps a copy of the records under a prefix up to date.
#[derive(Debug, Clone, Copy)]
pub(super) enum Read {
    /// One page of a listing of all keys. After the last page, a watch begins at the first page's revision.
    Page {
        /// Revision of the store at the first page; `None` if this is the first.
        first_store_revision: Option<u64>,
    },
    /// A watch that waits for changes.
    Watch,
    /// A watch that returns immediately. Its result is at least as recent as `started_at`, so it covers every
    /// request that arrived before then.
    Sync {
        /// When the read was sent.
        started_at: MonotonicTime,
    },
}

/// A request of the leader to the key-value store.
#[derive(Debug)]
pub(super) enum LeaderRequest {
    /// Reads a page of the assignment records.
    LoadMachines,
    /// Reads a page of the records of jobs' progress.
    LoadProgress,
    /// Commits changes of records.
    Commit,
    /// Reads a record again after a commit conflicted with it.
    RereadRecord {
        /// The record's key.
        key: String,
    },
    /// Writes the success counts.
    SaveCounts,
    /// Deletes the leader key.
    Resign,
    /// Reads the reports of nodes that are isolated from the leader.
    IsolationReports,
}

/// Effects of the current step, and requests that have no reply yet.
#[derive(Debug)]
pub(super) struct Outbox {
    /// This node.
    node: NodeName,
    effects: Vec<Effect>,
    last_request_id: u64,
    /// Outstanding requests to the key-value store, without those of the election.
    pending: BTreeMap<RequestId, Pending>,
    /// Commands of this step to be relayed, by relaying node.
    relays: BTreeMap<NodeName, Vec<RelayedCommand>>,
    /// Deadlines of relayed commands that have no result yet: the relaying node may have failed.
    relay_deadlines: BTreeMap<RequestId, MonotonicTime>,
}

impl Outbox {
    /// Creates the empty outbox of `node`.
    pub fn new(node: NodeName) -> Self {
        Self {
            node,
            effects: Vec::new(),
            last_request_id: FIRST_REQUEST_ID,
            pending: BTreeMap::new(),
            relays: BTreeMap::new(),
            relay_deadlines: BTreeMap::new(),
        }
    }

    /// Takes the effects at the end of a step. `fencing_token` is this leader's, sent with the commands to be
    /// relayed.
    pub fn take(&mut self, fencing_token: FencingToken) -> Vec<Effect> {
        for (node, calls) in std::mem::take(&mut self.relays) {
            self.send(&node, PeerMessage::RelayCommands { fencing_token, calls });
        }
        std::mem::take(&mut self.effects)
    }

    fn next_request_id(&mut self) -> RequestId {
        self.last_request_id += 1;
        RequestId(self.last_request_id)
    }

    /// Sends a request to the key-value store, and records what it is for.
    pub fn request_store(&mut self, request: StoreRequest, pending: Pending) {
        let timeout = match &request {
            StoreRequest::Watch { block_ms, .. } => Duration::from_millis(block_ms + WATCH_SLACK_MS),
            StoreRequest::Range { .. } => PAGE_TIMEOUT,
            _ => STORE_TIMEOUT,
        };
        let request_id = self.request_store_with_timeout(request, timeout);
        self.pending.insert(request_id, pending);
    }

    /// Sends a request to the key-value store. The caller recognises the reply by the returned id.
    pub fn request_store_with_timeout(&mut self, request: StoreRequest, timeout: Duration) -> RequestId {
        let request_id = self.next_request_id();
        self.effects.push(Effect::Store { request_id, request, timeout });
        request_id
    }

    /// Removes and returns what the request with this id is for; `None` if it is unknown or already answered.
    pub fn take_pending(&mut self, request_id: RequestId) -> Option<Pending> {
        self.pending.remove(&request_id)
    }

    /// Whether the request only keeps a copy of an extension's records up to date.
    pub fn is_extension_read(&self, request_id: RequestId) -> bool {
        matches!(self.pending.get(&request_id), Some(Pending::PrefixRead(WatchedPrefix::Extension(_), _)))
    }

    /// Whether a request of this kind is outstanding.
    pub fn has_pending(&self, is_kind: impl Fn(&Pending) -> bool) -> bool {
        self.pending.values().any(is_kind)
    }

    /// Number of outstanding requests to the key-value store, without those of the election.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Sends a request to the cloud, and returns its id.
    pub fn request_cloud(&mut self, request: CloudRequest) -> RequestId {
        let request_id = self.next_request_id();
        self.effects.push(Effect::Cloud { request_id, request, timeout: CLOUD_TIMEOUT });
        request_id
    }

    /// Sends a command directly to the worker at `addr`, and returns its id.
    pub fn command_worker(&mut self, addr: String, body: String, timeout: Duration) -> RequestId {
        let request_id = self.next_request_id();
        self.effects.push(Effect::Worker { request_id, addr, body, timeout });
        request_id
    }

    /// Like [`Self::command_worker`], but relayed by the node `via`, which may have failed. A command without
    /// a result may have been carried out, like a direct command without a reply of the worker.
    pub fn relay(
        &mut self,
        via: &NodeName,
        addr: String,
        body: String,
        timeout: Duration,
        now: MonotonicTime,
    ) -> RequestId {
        let request_id = self.next_request_id();
        let call = RelayedCommand { call: request_id.0, addr, body, timeout };
        self.relays.entry(via.clone()).or_default().push(call);
        self.relay_deadlines.insert(request_id, now + timeout + RELAY_SLACK);
        request_id
    }

    /// Stops waiting for the result of a relayed command. Returns whether it was still awaited.
    pub fn complete_relay(&mut self, request_id: RequestId) -> bool {
        self.relay_deadlines.remove(&request_id).is_some()
    }

    /// Removes and returns the relayed commands whose deadline has passed.
    pub fn take_overdue_relays(&mut self, now: MonotonicTime) -> Vec<RequestId> {
        let deadlines = &self.relay_deadlines;
        let overdue = deadlines.iter().filter(|(_, deadline)| **deadline <= now);
        let overdue: Vec<RequestId> = overdue.map(|(request_id, _)| *request_id).collect();
        for request_id in &overdue {
            self.relay_deadlines.remove(request_id);
        }
        overdue
    }

    /// Discards relayed commands when the leadership ends: their results are no longer needed.
    pub fn discard_relays(&mut self) {
        self.relays.clear();
        self.relay_deadlines.clear();
    }

    /// Sends a message to another controller.
    pub fn send(&mut self, to: &NodeName, message: PeerMessage) {
        let bytes = peer_messages::encode(&self.node, message);
        self.effects.push(Effect::Peer { to: to.clone(), bytes });
    }

    /// Answers an HTTP request.
    pub fn answer(&mut self, request: RequestId, status: StatusCode, body: String) {
        let is_retryable = matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE);
        let retry_after_s = is_retryable.then_some(RETRY_AFTER_S);
        let status = status.as_u16();
        self.effects.push(Effect::Answer { request, status, retry_after_s, headers: Vec::new(), body });
    }

    /// Answers an HTTP request with an error that gives the reason.
    pub fn refuse(&mut self, request: RequestId, status: StatusCode, reason: &str) {
        self.answer(request, status, users::error(reason));
    }

    /// Adds an effect without changes.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }
}
