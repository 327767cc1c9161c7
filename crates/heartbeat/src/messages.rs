//! What leader and delegates say to each other about reports.

use crate::rendezvous::NodeWeights;
use pearford_types::{Duration, FencingToken, MachineId, WorkerEpoch};
use serde::{Deserialize, Serialize};

/// Where in its life a worker made a report, and the highest fence it had seen then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatPosition {
    pub worker_epoch: WorkerEpoch,
    pub serial: u64,
    pub fencing_token: FencingToken,
}

impl HeartbeatPosition {
    /// Whether it was made after `other`.
    pub fn is_newer(&self, other: &HeartbeatPosition) -> bool {
        (self.worker_epoch, self.serial) > (other.worker_epoch, other.serial)
    }
}

/// From the leader, once a second: whoever gets it may answer reports by this fence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delegation {
    pub fencing_token: FencingToken,
    /// Counts the leader's delegations: a digest says which one its sender has had last.
    pub sequence: u64,
    /// The leader has read all records and can judge what it is told.
    pub ready: bool,
    pub node_weights: NodeWeights,
}

/// A report in full.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullHeartbeat {
    pub machine: MachineId,
    pub at: HeartbeatPosition,
    /// How long ago it was heard when the digest left.
    pub age: Duration,
    /// What it says, in the form of the node's own.
    pub content: Vec<u8>,
}

/// A report that says what an earlier one of the same session said.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnchangedHeartbeat {
    pub machine: MachineId,
    pub at: HeartbeatPosition,
    pub age: Duration,
    /// Of the content: whoever has another one for this machine must not take it for that.
    pub hash: u64,
}

/// From a delegate: what it has heard since its last one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatDigest {
    pub fencing_token: FencingToken,
    pub sequence: u64,
    pub full: Vec<FullHeartbeat>,
    pub same: Vec<UnchangedHeartbeat>,
}

/// A direct order for a delegate to pass on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedCommand {
    pub call: u64,
    pub addr: String,
    pub body: String,
    pub timeout: Duration,
}

/// What became of one: the worker's status (0: no answer came; it may still run) and where in its life the
/// worker answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayResult {
    pub call: u64,
    pub status: u16,
    pub at: Option<HeartbeatPosition>,
}
