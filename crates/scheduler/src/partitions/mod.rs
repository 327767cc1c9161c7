//! Machine blocks: the leader leases disjoint sets of machines to the live controllers; each
//! proposes inside its own. Also what controllers say to each other.

use crate::placement::{MachineView, PlacementOutcome, PlacementRequest, Proposal, SuccessCounts};
use crate::types::{Duration, FencingToken, JobId, MachineId, MonotonicTime, NodeName, Zone};
use crate::wire::workers::WorkerCommand;
use pearford_heartbeat::{Delegation, HeartbeatDigest, RelayResult, RelayedCommand, UnacknowledgedStarts};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

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

#[derive(Debug, Clone)]
pub struct Partition {
    pub id: u64,
    pub machines: BTreeSet<MachineId>,
    pub until: MonotonicTime,
}

/// The leader's division of the fleet.
#[derive(Debug, Default)]
pub struct Partitions {
    partitions: BTreeMap<NodeName, Partition>,
    /// Whose block each machine is in; rounds ask for it machine by machine.
    owners: BTreeMap<MachineId, NodeName>,
    next_id: u64,
}

impl Partitions {
    pub fn get(&self, node: &NodeName) -> Option<&Partition> {
        self.partitions.get(node)
    }

    pub fn owner(&self, machine: &MachineId) -> Option<&NodeName> {
        self.owners.get(machine)
    }

    /// Whether the division no longer suits: a lease is over, a controller came or went, or
    /// there are machines in no block.
    pub fn due(&self, live: &BTreeSet<NodeName>, now: MonotonicTime) -> bool {
        self.partitions.len() != live.len()
            || self.partitions.iter().any(|(n, b)| !live.contains(n) || now >= b.until)
    }

    /// Divides `machines` anew, by the work waiting with each live controller. Machines stay
    /// where they are as far as shares allow, so that a controller's rounds meet known ones.
    pub fn cut(
        &mut self,
        machines: &BTreeSet<MachineId>,
        work: &BTreeMap<NodeName, u32>,
        lease: Duration,
        now: MonotonicTime,
    ) {
        let total: u32 = work.values().map(|w| w + 1).sum();
        let mut free = machines.clone();
        let mut new: BTreeMap<NodeName, Partition> = BTreeMap::new();
        for (node, waiting) in work {
            let share =
                (machines.len() as f64 * f64::from(waiting + 1) / f64::from(total.max(1))).ceil() as usize;
            let kept: BTreeSet<MachineId> = self
                .partitions
                .get(node)
                .map(|b| b.machines.intersection(&free).take(share).cloned().collect())
                .unwrap_or_default();
            free = free.difference(&kept).cloned().collect();
            self.next_id += 1;
            new.insert(node.clone(), Partition { id: self.next_id, machines: kept, until: now + lease });
        }
        for machine in free {
            let wants = |n: &NodeName, b: &Partition| {
                let waiting = work.get(n).copied().unwrap_or(0) + 1;
                (b.machines.len() as u64 * 1000) / u64::from(waiting)
            };
            let Some(node) = new.iter().min_by_key(|(n, b)| wants(n, b)).map(|(n, _)| n.clone()) else {
                break;
            };
            if let Some(partition) = new.get_mut(&node) {
                partition.machines.insert(machine);
            }
        }
        self.owners =
            new.iter().flat_map(|(node, b)| b.machines.iter().map(|m| (m.clone(), node.clone()))).collect();
        self.partitions = new;
    }

    /// Adds a machine that came up to the smallest block.
    pub fn add(&mut self, machine: &MachineId) {
        if self.owner(machine).is_none()
            && let Some((node, partition)) = self.partitions.iter_mut().min_by_key(|(_, b)| b.machines.len())
        {
            partition.machines.insert(machine.clone());
            self.owners.insert(machine.clone(), node.clone());
        }
    }

    pub fn remove(&mut self, machine: &MachineId) {
        if let Some(owner) = self.owners.remove(machine)
            && let Some(partition) = self.partitions.get_mut(&owner)
        {
            partition.machines.remove(machine);
        }
    }

    /// Moves machines to `node`'s block: for work that fits no block as they are cut, such as a
    /// gang larger than any of them.
    pub fn give(&mut self, node: &NodeName, machines: impl IntoIterator<Item = MachineId>) {
        for machine in machines {
            self.remove(&machine);
            if let Some(partition) = self.partitions.get_mut(node) {
                partition.machines.insert(machine.clone());
                self.owners.insert(machine, node.clone());
            }
        }
    }
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
