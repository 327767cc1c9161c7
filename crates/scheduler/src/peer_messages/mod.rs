//! Messages between the controllers of a service, and their encoding.
//!
//! The controllers' [`Outbox`](crate::node) encodes them; the program sends the bytes over its links to the
//! peers and decodes the messages that it receives. The encoding is postcard: a variant is identified by its
//! position, and a struct is the concatenation of its fields in order. A variant added at the end is
//! compatible: older versions drop it, since they can't decode it. Any other change of a message needs a new
//! [`VERSION`].
//!
//! Messages of the leader carry its fencing token: a receiver that knows a higher one ignores them.

use crate::jobs::TaskCounts;
use crate::placement::{MachineView, PlacementOutcome, PlacementRequest, Proposal, SuccessCounts};
use crate::types::{Duration, FencingToken, JobId, MachineId, NodeName, Zone};
use crate::wire::workers::WorkerCommand;
use pearford_heartbeat::{Delegation, HeartbeatDigest, RelayResult, RelayedCommand, UnacknowledgedStarts};
use serde::{Deserialize, Serialize};

/// Version of the encoding. A node drops messages of any other version.
pub const VERSION: u16 = 5;

/// A message with its sender.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's [`VERSION`].
    pub version: u16,
    /// Name of the sender. The receiver drops messages of nodes that aren't among its peers.
    pub from: NodeName,
    /// The message.
    pub message: PeerMessage,
}

/// A message from one controller to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// From every node to every peer, once a second, to show that the sender is alive. The receiver records
    /// the fields, and steps down as leader if the fencing token seen is higher than its own.
    Ping {
        /// Whether the key-value store recently answered the sender.
        store_reachable: bool,
        /// Highest fencing token that the sender knows of.
        fencing_token_seen: FencingToken,
        /// Position of the last of the leader's status broadcasts up to which the sender has applied all.
        broadcast_seen: BroadcastPosition,
        /// Whether the sender recently received heartbeats that it could not answer.
        has_unanswered_heartbeats: bool,
        /// Time since a worker of each zone last reached a leader, as far as the sender knows. From it, a new
        /// leader can tell a zone that was unreachable before its term from one that has just become
        /// unreachable.
        last_heartbeat_by_zone: Vec<ZoneHeartbeat>,
    },
    /// From the leader to each peer that has applied the previous broadcasts: the changes since the last one.
    /// The receiver applies it if it missed none before it; otherwise its next ping reports that it needs a
    /// snapshot.
    StatusBroadcast {
        /// Position of this broadcast.
        position: BroadcastPosition,
        /// Jobs whose task counts have changed.
        jobs: Vec<JobTaskCounts>,
        /// Outcomes of placements, recorded since the last broadcast.
        placement_outcomes: Vec<PlacementOutcome>,
    },
    /// From the leader to a peer that missed a broadcast: the whole status. The receiver replaces its copy.
    StatusSnapshot {
        /// Position of the last broadcast that the snapshot includes.
        position: BroadcastPosition,
        /// The task counts of all open jobs.
        jobs: Vec<JobTaskCounts>,
        /// Success counts of all machines and job kinds.
        success_counts: SuccessCounts,
    },
    /// From the leader to a controller that a partition of the machines is leased to: tasks to place on them.
    /// The receiver answers with `RoundProposals`.
    RoundRequest {
        /// The leader's fencing token.
        fencing_token: FencingToken,
        /// Id of the receiver's partition.
        partition: u64,
        /// Number of the scheduling round; the answer repeats it.
        round: u64,
        /// Machines of the partition that may take tasks.
        machines: Vec<MachineView>,
        /// Tasks to place, the most urgent first.
        requests: Vec<PlacementRequest>,
    },
    /// The answer to a `RoundRequest`. The leader checks each proposal against its own state, and commits
    /// those that are still valid.
    RoundProposals {
        /// The fencing token of the request.
        fencing_token: FencingToken,
        /// The partition of the request.
        partition: u64,
        /// The round of the request.
        round: u64,
        /// The proposed machine of each task.
        proposals: Vec<Proposal>,
    },
    // Nodes understand the following variants from feature level `HEARTBEAT_DELEGATION` on. They are sent
    // only once every node has reached that level.
    /// From the leader to every peer, periodically: the receiver may answer workers' heartbeats on its
    /// behalf.
    Delegation(Delegation),
    /// From a delegate to the leader, periodically: the heartbeats that it has received.
    HeartbeatDigest(HeartbeatDigest),
    /// From the leader to a delegate: the leader doesn't have the content of these machines' last heartbeats.
    /// The delegate sends it with its next digest.
    ResendHeartbeats {
        /// The leader's fencing token.
        fencing_token: FencingToken,
        /// Machines whose heartbeats are requested in full.
        machines: Vec<MachineId>,
    },
    /// From the leader to a delegate: commands to send to workers immediately. The delegate sends
    /// `RelayResults` as the workers answer.
    RelayCommands {
        /// The leader's fencing token.
        fencing_token: FencingToken,
        /// The commands, each with the leader's id for it.
        calls: Vec<RelayedCommand>,
    },
    /// From a delegate to the leader: results of relayed commands.
    RelayResults {
        /// The fencing token of the leader that sent the commands.
        fencing_token: FencingToken,
        /// One result per command.
        calls: Vec<RelayResult>,
    },
    /// From the leader to a delegate: commands to include in the answers to these machines' next heartbeats.
    QueuedCommands {
        /// The leader's fencing token.
        fencing_token: FencingToken,
        /// The commands of each machine; they replace those already queued for it.
        commands: Vec<MachineCommands>,
    },
    /// From the leader to every peer, before each delegation: machines at which a start may still arrive. A
    /// delegate does not renew their leases. Versions before feature level `UNACKNOWLEDGED_STARTS` drop this
    /// message and renew these leases too.
    UnacknowledgedStarts(UnacknowledgedStarts),
}

/// A position in the sequence of a leader's status broadcasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BroadcastPosition {
    /// The leader's fencing token.
    pub fencing_token: FencingToken,
    /// Number of the broadcast within the leader's term, from 1.
    pub sequence: u64,
}

impl BroadcastPosition {
    /// The position before the first broadcast of any leader.
    pub const NONE: Self = Self { fencing_token: FencingToken(0), sequence: 0 };

    /// The position just before this one.
    pub fn previous(self) -> Self {
        Self { sequence: self.sequence.wrapping_sub(1), ..self }
    }
}

/// Time of the last heartbeat of a zone's workers that reached a leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ZoneHeartbeat {
    /// The zone.
    pub zone: Zone,
    /// Time since that heartbeat, as of the sending of the message.
    pub age: Duration,
}

/// The task counts of one job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobTaskCounts {
    /// The job.
    pub job: JobId,
    /// Its counts, as the leader knows them.
    pub counts: TaskCounts,
}

/// Commands for one machine's worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineCommands {
    /// The machine.
    pub machine: MachineId,
    /// The commands, in order.
    pub commands: Vec<WorkerCommand>,
}

/// Encodes a message from `from`.
pub fn encode(from: &NodeName, message: PeerMessage) -> Vec<u8> {
    let envelope = Envelope { version: VERSION, from: from.clone(), message };
    postcard::to_stdvec(&envelope).unwrap_or_default()
}

/// Decodes a message; `None` if `bytes` are no valid message of this [`VERSION`]. Bytes after the message are
/// ignored: later versions may append to it.
pub fn decode(bytes: &[u8]) -> Option<Envelope> {
    postcard::from_bytes::<Envelope>(bytes).ok().filter(|envelope| envelope.version == VERSION)
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
