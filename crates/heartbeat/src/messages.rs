//! Messages about heartbeats between the leader and its delegates.
//!
//! They are encoded with postcard: the order of fields is part of the format, and so is the order of variants
//! in the enum that contains these messages.

use crate::rendezvous::NodeWeights;
use pearford_types::{Duration, FencingToken, MachineId, WorkerEpoch};
use serde::{Deserialize, Serialize};

/// Identifies a heartbeat among those of its worker, with the highest fencing token that the worker had seen
/// when it sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatPosition {
    /// The worker's epoch; higher after each of its restarts.
    pub worker_epoch: WorkerEpoch,
    /// Serial number of the heartbeat within the worker epoch.
    pub serial: u64,
    /// The highest fencing token that the worker had seen.
    pub fencing_token: FencingToken,
}

impl HeartbeatPosition {
    /// Whether this heartbeat was sent after `other`.
    pub fn is_newer(&self, other: &HeartbeatPosition) -> bool {
        (self.worker_epoch, self.serial) > (other.worker_epoch, other.serial)
    }

    /// Whether both heartbeats come from the same worker epoch and carry the same fencing token. Only then
    /// does equal content prove the same facts.
    pub(crate) fn has_same_context(&self, other: &HeartbeatPosition) -> bool {
        (self.worker_epoch, self.fencing_token) == (other.worker_epoch, other.fencing_token)
    }
}

/// Sent by the leader to all nodes once a second: a node that has received it may answer heartbeats with this
/// fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delegation {
    /// The leader's fencing token.
    pub fencing_token: FencingToken,
    /// Sequence number among the leader's delegations. A digest contains that of the newest delegation that its
    /// sender had received.
    pub sequence: u64,
    /// The leader has read all records, so it can process digests.
    pub ready: bool,
    /// The nodes to which machines are assigned.
    pub node_weights: NodeWeights,
}

/// A heartbeat with its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullHeartbeat {
    /// The machine whose worker sent it.
    pub machine: MachineId,
    /// Which of the worker's heartbeats it is.
    pub position: HeartbeatPosition,
    /// Time from the receipt of the heartbeat to the sending of the digest.
    pub age: Duration,
    /// What the worker reported, in the encoding of the scheduler's nodes; opaque to this crate.
    pub content: Vec<u8>,
}

/// A heartbeat with the same content as an earlier one of the same worker epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnchangedHeartbeat {
    /// The machine whose worker sent it.
    pub machine: MachineId,
    /// Which of the worker's heartbeats it is.
    pub position: HeartbeatPosition,
    /// Time from the receipt of the heartbeat to the sending of the digest.
    pub age: Duration,
    /// [`content_hash`](crate::content_hash) of the content. A receiver that has other content for this
    /// machine must not use that content for this heartbeat.
    pub hash: u64,
}

/// Sent by a delegate to the leader: the heartbeats received since its last digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatDigest {
    /// Fencing token of the newest delegation that the sender has received.
    pub fencing_token: FencingToken,
    /// Sequence number of the newest delegation that the sender has received.
    pub sequence: u64,
    /// Heartbeats whose content has changed, or whose content the leader has requested.
    pub full: Vec<FullHeartbeat>,
    /// Heartbeats whose content has not changed.
    pub unchanged: Vec<UnchangedHeartbeat>,
}

/// A direct command to a worker, for a delegate to relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedCommand {
    /// The leader's request id, which the [`RelayResult`] repeats.
    pub call: u64,
    /// The worker's address.
    pub addr: String,
    /// Body of the request to the worker.
    pub body: String,
    /// How long the delegate waits for the worker's answer.
    pub timeout: Duration,
}

/// Result of a relayed command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayResult {
    /// The request id of the [`RelayedCommand`].
    pub call: u64,
    /// HTTP status of the worker's answer; 0 if there was no answer, in which case the command may still run.
    pub status: u16,
    /// Worker epoch, serial number and fencing token in the worker's answer, if it contains them.
    pub position: Option<HeartbeatPosition>,
}
