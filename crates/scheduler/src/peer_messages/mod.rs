//! Messages between the controllers of a service, and their encoding.
//!
//! The controllers' [`Outbox`](crate::node) encodes them; the program sends the bytes over its links to the peers
//! and decodes what arrives. The encoding is postcard's: variants go by their position, and structs have the bytes
//! of their fields in order. Adding a variant at the end keeps older versions working: they drop it unread. Any
//! other change of a message needs a new [`VERSION`].
//!
//! Messages of the leader carry its fencing token: a receiver that knows of a higher one ignores them.

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
    /// Name of the node that sent it; the receiver drops what comes from none of its peers.
    pub from: NodeName,
    /// What it says.
    pub message: PeerMessage,
}

/// What one controller says to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// From every node to every peer, once a second: the sender is alive. The receiver notes what the sender
    /// reaches and steps down as leader if the fencing token seen is higher than its own.
    Ping {
        /// Whether the key-value store has answered the sender lately.
        store_reachable: bool,
        /// Highest fencing token that the sender knows of.
        fencing_token_seen: FencingToken,
        /// Up to which of the leader's status broadcasts the sender has applied all.
        broadcast_seen: BroadcastPosition,
        /// Whether workers that found no leader have lately turned to the sender.
        has_unanswered_heartbeats: bool,
        /// When a worker of each zone last reached a leader, as far as the sender knows. A new leader thus tells
        /// a zone that was cut off before its time from one that has just fallen silent.
        last_heartbeat_by_zone: Vec<ZoneHeartbeat>,
    },
    /// From the leader to each peer that has applied the broadcasts before: what has changed since the last one.
    /// The receiver applies it if it has missed none; otherwise its next ping asks for a snapshot.
    StatusBroadcast {
        /// The leader's fencing token, and this broadcast's number.
        position: BroadcastPosition,
        /// Jobs whose task counts have changed.
        jobs: Vec<JobTaskCounts>,
        /// What was learned of machines and images since the last broadcast.
        placement_outcomes: Vec<PlacementOutcome>,
    },
    /// From the leader to a peer that has missed a broadcast: the whole status. The receiver replaces its copy.
    StatusSnapshot {
        /// The leader's fencing token, and the broadcast up to which the snapshot holds.
        position: BroadcastPosition,
        /// The task counts of all open jobs.
        jobs: Vec<JobTaskCounts>,
        /// All that is known of machines and images.
        success_counts: SuccessCounts,
    },
    /// From the leader to a controller that holds a partition of the machines: tasks to place on them. The receiver
    /// answers with `RoundProposals`.
    RoundRequest {
        /// The leader's fencing token.
        fencing_token: FencingToken,
        /// Id of the receiver's partition.
        partition: u64,
        /// Number of the scheduling round, for the answer.
        round: u64,
        /// Machines of the partition that may take tasks.
        machines: Vec<MachineView>,
        /// Tasks to place, the most urgent first.
        requests: Vec<PlacementRequest>,
    },
    /// The answer to a `RoundRequest`. The leader checks each proposal against its own state, and commits those that
    /// still hold.
    RoundProposals {
        /// The fencing token of the request.
        fencing_token: FencingToken,
        /// The partition of the request.
        partition: u64,
        /// The round of the request.
        round: u64,
        /// Which task could go to which machine.
        proposals: Vec<Proposal>,
    },
    // All variants from here on are understood from feature level `HEARTBEAT_DELEGATION` on, and are sent only once
    // every node has reached it.
    /// From the leader to every peer, periodically: the receiver may answer workers' heartbeats in its name.
    Delegation(Delegation),
    /// From a delegate to the leader, periodically: the heartbeats that it has received.
    HeartbeatDigest(HeartbeatDigest),
    /// From the leader to a delegate: the digests lacked the content of these machines' last heartbeats. The
    /// delegate sends it with its next digest.
    ResendHeartbeats {
        /// The leader's fencing token.
        fencing_token: FencingToken,
        /// Machines whose heartbeats are wanted in full.
        machines: Vec<MachineId>,
    },
    /// From the leader to a delegate: commands to pass on to workers at once. The delegate answers with
    /// `RelayResults` as the workers do.
    RelayCommands {
        /// The leader's fencing token.
        fencing_token: FencingToken,
        /// The commands, each with the leader's id for it.
        calls: Vec<RelayedCommand>,
    },
    /// From a delegate to the leader: what became of relayed commands.
    RelayResults {
        /// The fencing token of the leader that sent them.
        fencing_token: FencingToken,
        /// One result a command.
        calls: Vec<RelayResult>,
    },
    /// From the leader to a delegate: commands to send with its answers to these machines' next heartbeats.
    QueuedCommands {
        /// The leader's fencing token.
        fencing_token: FencingToken,
        /// The commands of each machine; they replace what is queued for it.
        commands: Vec<MachineCommands>,
    },
    /// From the leader to every peer, before each delegation: which machines its starts may still reach. A delegate
    /// does not renew the lease of those. Versions before feature level `UNACKNOWLEDGED_STARTS` drop it unread, and
    /// renew as they did.
    UnacknowledgedStarts(UnacknowledgedStarts),
}

/// A position in the sequence of a leader's status broadcasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BroadcastPosition {
    /// The leader's fencing token.
    pub fencing_token: FencingToken,
    /// Number of the broadcast within that leadership, from 1.
    pub sequence: u64,
}

impl BroadcastPosition {
    /// Before any broadcast of any leader.
    pub const NONE: Self = Self { fencing_token: FencingToken(0), sequence: 0 };

    /// The position just before this one.
    pub fn previous(self) -> Self {
        Self { sequence: self.sequence.wrapping_sub(1), ..self }
    }
}

/// How lately a worker of a zone was heard by a leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ZoneHeartbeat {
    /// The zone.
    pub zone: Zone,
    /// Time since then, when the message was sent.
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
    /// What its worker is to do, in order.
    pub commands: Vec<WorkerCommand>,
}

/// The bytes of a message from `from`.
pub fn encode(from: &NodeName, message: PeerMessage) -> Vec<u8> {
    let envelope = Envelope { version: VERSION, from: from.clone(), message };
    postcard::to_stdvec(&envelope).unwrap_or_default()
}

/// The message in `bytes`; `None` if they are none, or one of another [`VERSION`]. Bytes behind the message are
/// ignored: later versions may add to it.
pub fn decode(bytes: &[u8]) -> Option<Envelope> {
    postcard::from_bytes::<Envelope>(bytes).ok().filter(|envelope| envelope.version == VERSION)
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
