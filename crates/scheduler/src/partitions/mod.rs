//! Partitions: the leader leases disjoint sets of machines to the live controllers, and each proposes placements
//! inside its own (the design's documents call a partition a block). Also the messages between controllers.

mod division;

pub use division::{Partition, Partitions};

use crate::placement::{MachineView, PlacementOutcome, PlacementRequest, Proposal, SuccessCounts};
use crate::types::{Duration, FencingToken, JobId, MachineId, NodeName, Zone};
use crate::wire::workers::WorkerCommand;
use pearford_heartbeat::{Delegation, HeartbeatDigest, RelayResult, RelayedCommand, UnacknowledgedStarts};
use serde::{Deserialize, Serialize};

/// Raised when messages change; a node drops what it doesn't understand.
pub const VERSION: u16 = 5;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Envelope {
    pub version: u16,
    pub from: NodeName,
    pub message: PeerMessage,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// "I am there", what I can reach, and how long ago a worker of each zone was heard by a
    /// leader, as far as I know.
    Ping {
        store_reachable: bool,
        fencing_token_seen: FencingToken,
        broadcast_seen: (FencingToken, u64),
        hears_workers: bool,
        zones_heard: Vec<(Zone, Duration)>,
    },
    /// From the leader: it leads, how jobs stand that have moved since its last beat, and what was
    /// learned of machines.
    StatusBroadcast {
        fencing_token: FencingToken,
        broadcast: u64,
        jobs: Vec<(JobId, u32, u32)>,
        placement_outcomes: Vec<PlacementOutcome>,
    },
    /// From the leader: all of that as of a beat, for a controller that missed some.
    StatusSnapshot {
        fencing_token: FencingToken,
        broadcast: u64,
        jobs: Vec<(JobId, u32, u32)>,
        success_counts: SuccessCounts,
    },
    /// From the leader: a round's work inside the receiver's block.
    RoundRequest {
        fencing_token: FencingToken,
        partition: u64,
        round: u64,
        machines: Vec<MachineView>,
        requests: Vec<PlacementRequest>,
    },
    /// The controller's answer.
    RoundProposals { fencing_token: FencingToken, partition: u64, round: u64, proposals: Vec<Proposal> },
    // What follows is understood from level `HEARTBEAT_DELEGATION` on, and is sent from then on only.
    /// From the leader: the receiver may answer workers' reports.
    Delegation(Delegation),
    /// To the leader: what was heard of workers.
    HeartbeatDigest(HeartbeatDigest),
    /// From the leader: it lacks what these machines last said.
    ResendHeartbeats { fencing_token: FencingToken, machines: Vec<MachineId> },
    /// From the leader: direct orders to pass on.
    RelayCommands { fencing_token: FencingToken, calls: Vec<RelayedCommand> },
    /// To the leader: what became of them.
    RelayResults { fencing_token: FencingToken, calls: Vec<RelayResult> },
    /// From the leader: orders to go out with the answers to the next reports.
    QueuedCommands { fencing_token: FencingToken, commands: Vec<(MachineId, Vec<WorkerCommand>)> },
    /// From the leader, before each delegation: where its starts may still arrive. Versions before level `UNACKNOWLEDGED_STARTS` drop
    /// it unread, and hold on as they did.
    UnacknowledgedStarts(UnacknowledgedStarts),
}

pub fn encode(from: &NodeName, message: PeerMessage) -> Vec<u8> {
    let envelope = Envelope { version: VERSION, from: from.clone(), message };
    postcard::to_stdvec(&envelope).unwrap_or_default()
}

pub fn decode(bytes: &[u8]) -> Option<Envelope> {
    postcard::from_bytes::<Envelope>(bytes).ok().filter(|e| e.version == VERSION)
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
