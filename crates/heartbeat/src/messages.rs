//! Messages about heartbeats between the leader and its delegates.
//!
//! They travel between nodes in postcard: the order of fields is part of the format, and so is the order of
//! variants in what contains them.

use crate::rendezvous::NodeWeights;
use pearford_types::{Duration, FencingToken, MachineId, WorkerEpoch};
use serde::{Deserialize, Serialize};

/// When in its life a worker sent a heartbeat, and the highest fencing token that it had seen by then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatPosition {
    /// The worker's epoch; higher after each of its restarts.
    pub worker_epoch: WorkerEpoch,
    /// Counts the worker's heartbeats.
    pub serial: u64,
    /// The highest fencing token that the worker had seen.
    pub fencing_token: FencingToken,
}

impl HeartbeatPosition {
    /// Whether this heartbeat was made after `other`.
    pub fn is_newer(&self, other: &HeartbeatPosition) -> bool {
        (self.worker_epoch, self.serial) > (other.worker_epoch, other.serial)
    }

    /// Whether both heartbeats come from the same worker epoch and had seen the same fencing token: then
    /// equal content proves the same.
    pub(crate) fn has_same_context(&self, other: &HeartbeatPosition) -> bool {
        (self.worker_epoch, self.fencing_token) == (other.worker_epoch, other.fencing_token)
    }
}

/// Sent by the leader once a second: whoever receives it may answer heartbeats with this fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delegation {
    /// The leader's fencing token.
    pub fencing_token: FencingToken,
    /// Counts the leader's delegations. A digest names the last one that its sender had received.
    pub sequence: u64,
    /// The leader has read all records, so it can make use of digests.
    pub ready: bool,
    /// The nodes that machines are assigned to.
    pub node_weights: NodeWeights,
}

/// A heartbeat with its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullHeartbeat {
    /// The machine whose worker sent it.
    pub machine: MachineId,
    /// When in the worker's life it was sent.
    pub position: HeartbeatPosition,
    /// How long before the digest left the heartbeat was received.
    pub age: Duration,
    /// What the worker reported, in the encoding of the scheduler's nodes; opaque here.
    pub content: Vec<u8>,
}

/// A heartbeat with the same content as an earlier one of the same worker epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnchangedHeartbeat {
    /// The machine whose worker sent it.
    pub machine: MachineId,
    /// When in the worker's life it was sent.
    pub position: HeartbeatPosition,
    /// How long before the digest left the heartbeat was received.
    pub age: Duration,
    /// [`content_hash`](crate::content_hash) of the content. A receiver that knows other content for this
    /// machine must not take that for this heartbeat's.
    pub hash: u64,
}

/// Sent by a delegate to the leader: the heartbeats received since its last digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatDigest {
    /// Fencing token of the delegation that the sender holds.
    pub fencing_token: FencingToken,
    /// Sequence number of the delegation that the sender holds.
    pub sequence: u64,
    /// Heartbeats whose content has changed, or that the leader has asked for.
    pub full: Vec<FullHeartbeat>,
    /// Heartbeats whose content has not changed.
    pub unchanged: Vec<UnchangedHeartbeat>,
}

/// A direct command for a worker that a delegate is to relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedCommand {
    /// The leader's request id, by which it recognises the [`RelayResult`].
    pub call: u64,
    /// The worker's address.
    pub addr: String,
    /// Body of the request to the worker.
    pub body: String,
    /// How long the delegate waits for the worker's answer.
    pub timeout: Duration,
}

/// What became of a relayed command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayResult {
    /// The request id of the [`RelayedCommand`].
    pub call: u64,
    /// HTTP status of the worker's answer. 0: no answer came, and the command may still run.
    pub status: u16,
    /// When in its life the worker answered, if its answer says so.
    pub position: Option<HeartbeatPosition>,
}
