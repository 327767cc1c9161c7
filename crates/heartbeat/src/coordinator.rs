//! The leader's part of heartbeat delegation: evaluates digests, chooses the node through which a worker is
//! reached, and balances machines over nodes.
//!
//! The scheduler's leader owns one [`Coordinator`] for the term of its leadership, sends the delegations that
//! it makes and passes it the digests that the nodes send.

mod balancing;
mod contacts;

use crate::checks::{DisabledCheck, SafetyChecks};
use crate::messages::{Delegation, FullHeartbeat, HeartbeatDigest, HeartbeatPosition, UnchangedHeartbeat};
use crate::rendezvous::{NodeWeight, NodeWeights};
use crate::{Delegate, Routing, content_hash};
use balancing::WeightBalancer;
use contacts::{LastDigest, NodeContacts};
use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime, NodeName, Zone};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Interval between delegations.
const DELEGATION_INTERVAL: Duration = Duration::from_millis(1000);
/// A digest contains the sequence number of the newest delegation that its sender had received, so it was
/// sent at most this long after that delegation: [`DELEGATION_INTERVAL`] plus a margin.
const MAX_DIGEST_DELAY: Duration = Duration::from_millis(1500);
/// Number of delegations whose sending time is kept; a digest that refers to an older one is dropped.
const MAX_KEPT_DELEGATIONS: usize = 128;

/// A node that the leader considers alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveNode {
    /// The node.
    pub node: NodeName,
    /// The zone in which it runs.
    pub zone: Zone,
}

/// A new heartbeat, from a digest or received by this node before it led.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    /// The machine whose worker sent it.
    pub machine: MachineId,
    /// Which of the worker's heartbeats it is.
    pub position: HeartbeatPosition,
    /// When a node received it, estimated by the leader's clock; no later than the latest time at which the
    /// digest can have been sent.
    pub received_at: MonotonicTime,
    /// Whether it was reported with its content; otherwise that of the previously known heartbeat holds.
    pub content_changed: bool,
}

/// The newest heartbeat of a machine.
#[derive(Debug, Clone)]
pub struct KnownHeartbeat {
    /// The node that received it.
    pub node: NodeName,
    /// Which of the worker's heartbeats it is.
    pub position: HeartbeatPosition,
    /// What the worker reported; empty for a heartbeat that the leader itself received.
    pub content: Vec<u8>,
    hash: u64,
}

/// A request that a node send heartbeats again with their content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResendRequest {
    /// The node to ask.
    pub node: NodeName,
    /// Machines whose heartbeat content the leader lacks; never empty.
    pub machines: Vec<MachineId>,
}

/// A delegation that has been sent.
#[derive(Debug, Clone, Copy)]
struct SentDelegation {
    sequence: u64,
    sent_at: MonotonicTime,
}

/// The leader's state of all machines' heartbeats and of the nodes that receive them.
#[derive(Debug, Clone)]
pub struct Coordinator {
    own_node: NodeName,
    fencing_token: FencingToken,
    sequence: u64,
    /// The last delegations, oldest first.
    sent_delegations: VecDeque<SentDelegation>,
    next_delegation_at: MonotonicTime,
    contacts: NodeContacts,
    balancer: WeightBalancer,
    known_heartbeats: BTreeMap<MachineId, KnownHeartbeat>,
    /// Machines whose content the leader lacks, by the node that reported it as unchanged.
    missing_content: BTreeMap<NodeName, BTreeSet<MachineId>>,
    /// Decides whether workers that report to the leader itself are redirected, as on any node.
    own_delegate: Delegate,
    checks: SafetyChecks,
}

impl Coordinator {
    /// The coordinator of a leader on `own_node` whose leadership begins `now`.
    pub fn new(own_node: NodeName, fencing_token: FencingToken, now: MonotonicTime) -> Self {
        Self {
            own_delegate: Delegate::new(own_node.clone()),
            contacts: NodeContacts::new(own_node.clone()),
            balancer: WeightBalancer::new(own_node.clone(), now),
            own_node,
            fencing_token,
            sequence: 0,
            sent_delegations: VecDeque::new(),
            next_delegation_at: now,
            known_heartbeats: BTreeMap::new(),
            missing_content: BTreeMap::new(),
            checks: SafetyChecks::default(),
        }
    }

    /// Disables a safety check.
    #[cfg(test)]
    pub(crate) fn disable(&mut self, check: DisabledCheck) {
        self.checks.disable(check);
    }

    /// The delegation to send to all nodes, if one is due. `live`: the nodes that are alive, including this
    /// one. `ready`: this leader has read all records.
    pub fn delegation(&mut self, live: &[LiveNode], ready: bool, now: MonotonicTime) -> Option<Delegation> {
        if now < self.next_delegation_at {
            return None;
        }
        self.next_delegation_at = now + DELEGATION_INTERVAL;
        self.sequence += 1;
        self.record_sent_delegation(now);
        self.balancer.balance(live, self.known_heartbeats.values().map(|known| &known.node), now);
        self.contacts.update_live(live, ready, now);
        let delegation = Delegation {
            fencing_token: self.fencing_token,
            sequence: self.sequence,
            ready,
            node_weights: self.node_weights(live, now),
        };
        self.own_delegate.delegation_received(&self.own_node, delegation.clone(), now);
        self.own_delegate.prune(now);
        Some(delegation)
    }

    fn record_sent_delegation(&mut self, now: MonotonicTime) {
        self.sent_delegations.push_back(SentDelegation { sequence: self.sequence, sent_at: now });
        if self.sent_delegations.len() > MAX_KEPT_DELEGATIONS {
            self.sent_delegations.pop_front();
        }
    }

    /// The nodes with their weights; an unresponsive node has weight 0.
    fn node_weights(&self, live: &[LiveNode], now: MonotonicTime) -> NodeWeights {
        let weighted = live.iter().map(|LiveNode { node, zone }| {
            let unresponsive = self.contacts.is_unresponsive(node, now);
            let weight = if unresponsive { 0 } else { self.balancer.weight(node) };
            NodeWeight { node: node.clone(), zone: zone.clone(), weight }
        });
        NodeWeights::new(weighted.collect())
    }

    /// The node to which a worker that reports to the leader itself is redirected; `None`: the leader answers
    /// it.
    pub fn redirect_for(&mut self, machine: &MachineId, zone: &Zone, now: MonotonicTime) -> Option<NodeName> {
        match self.own_delegate.redirect_for(machine, zone, now) {
            Some(Routing::Redirect(node)) if self.contacts.is_responsive(&node, now) => Some(node),
            _ => None,
        }
    }

    /// Records a heartbeat that the leader received from the worker itself.
    pub fn heartbeat_received_here(
        &mut self,
        machine: &MachineId,
        position: HeartbeatPosition,
        content: Vec<u8>,
    ) {
        let hash = content_hash(&content);
        let known = KnownHeartbeat { node: self.own_node.clone(), position, content, hash };
        self.known_heartbeats.insert(machine.clone(), known);
    }

    /// The newest known heartbeat of a machine.
    pub fn known_heartbeat(&self, machine: &MachineId) -> Option<&KnownHeartbeat> {
        self.known_heartbeats.get(machine)
    }

    /// Removes the heartbeat of a machine that has been returned.
    pub fn forget(&mut self, machine: &MachineId) {
        self.known_heartbeats.remove(machine);
    }

    /// The node through which commands are sent to a machine; `None`: the leader sends them directly.
    pub fn route(&self, machine: &MachineId, now: MonotonicTime) -> Option<&NodeName> {
        let node = &self.known_heartbeats.get(machine)?.node;
        (*node != self.own_node && self.contacts.is_responsive(node, now)).then_some(node)
    }

    /// A route other than [`Self::route`], for a machine that did not answer through that one: a responsive
    /// node, or `None` if the leader sends directly.
    pub fn alternative_route(&self, machine: &MachineId, now: MonotonicTime) -> Option<&NodeName> {
        if self.route(machine, now).is_some() {
            return None;
        }
        let usual_node = self.known_heartbeats.get(machine).map(|known| &known.node);
        self.contacts.responsive_nodes(now).find(|node| Some(*node) != usual_node)
    }

    /// Processes a digest and returns its new heartbeats. A heartbeat counts only if it is newer than the
    /// known one of its machine. One that is reported as unchanged counts only if the same content is known
    /// here; if not, the content is requested, see [`Self::take_resend_requests`].
    pub fn digest_received(
        &mut self,
        from: &NodeName,
        digest: HeartbeatDigest,
        now: MonotonicTime,
    ) -> Vec<ReceivedHeartbeat> {
        if digest.fencing_token != self.fencing_token {
            return Vec::new();
        }
        // The sending time of the delegation gives a minimum age of the digest, in case a network partition has
        // delayed it.
        let Some(delegation) = self.sent_delegations.iter().find(|sent| sent.sequence == digest.sequence)
        else {
            return Vec::new();
        };
        let delegation_sent_at = delegation.sent_at;
        self.contacts.digest_received(from, LastDigest { received_at: now, delegation_sent_at });
        let received_at = |age: Duration| now.before(age).min(delegation_sent_at + MAX_DIGEST_DELAY);
        let mut received = Vec::new();
        for full in digest.full {
            received.extend(self.record_full(from, received_at(full.age), full));
        }
        for unchanged in digest.unchanged {
            received.extend(self.record_unchanged(from, received_at(unchanged.age), unchanged));
        }
        received
    }

    /// Records the heartbeats that this node received as a delegate before it became leader. Their ages are as
    /// of `led_since`, when it did.
    pub fn record_early_heartbeats(
        &mut self,
        heartbeats: Vec<FullHeartbeat>,
        led_since: MonotonicTime,
        now: MonotonicTime,
    ) -> Vec<ReceivedHeartbeat> {
        let own_node = self.own_node.clone();
        let record =
            |full: FullHeartbeat| self.record_full(&own_node, led_since.before(full.age).min(now), full);
        heartbeats.into_iter().filter_map(record).collect()
    }

    fn record_full(
        &mut self,
        from: &NodeName,
        received_at: MonotonicTime,
        full: FullHeartbeat,
    ) -> Option<ReceivedHeartbeat> {
        let FullHeartbeat { machine, position, content, .. } = full;
        if self.known_heartbeats.get(&machine).is_some_and(|known| !position.is_newer(&known.position)) {
            return None;
        }
        let hash = content_hash(&content);
        let known = KnownHeartbeat { node: from.clone(), position, content, hash };
        self.known_heartbeats.insert(machine.clone(), known);
        if let Some(machines) = self.missing_content.get_mut(from) {
            machines.remove(&machine);
        }
        Some(ReceivedHeartbeat { machine, position, received_at, content_changed: true })
    }

    fn record_unchanged(
        &mut self,
        from: &NodeName,
        received_at: MonotonicTime,
        unchanged: UnchangedHeartbeat,
    ) -> Option<ReceivedHeartbeat> {
        let UnchangedHeartbeat { machine, position, hash, .. } = unchanged;
        if let Some(known) = self.known_heartbeats.get_mut(&machine) {
            if !position.is_newer(&known.position) {
                return None;
            }
            let same_content = known.hash == hash && known.position.has_same_context(&position);
            if same_content || !self.checks.is_enabled(DisabledCheck::DigestContent) {
                known.position = position;
                known.node = from.clone();
                return Some(ReceivedHeartbeat { machine, position, received_at, content_changed: false });
            }
        }
        self.missing_content.entry(from.clone()).or_default().insert(machine);
        None
    }

    /// Requests for the heartbeat content that the leader lacks, one per node; each is returned once.
    pub fn take_resend_requests(&mut self) -> Vec<ResendRequest> {
        let missing_content = std::mem::take(&mut self.missing_content);
        missing_content
            .into_iter()
            .filter(|(_, machines)| !machines.is_empty())
            .map(|(node, machines)| ResendRequest { node, machines: machines.into_iter().collect() })
            .collect()
    }

    /// From how many machines each node receives heartbeats.
    pub fn machines_by_node(&self) -> BTreeMap<NodeName, usize> {
        let mut counts = BTreeMap::new();
        for known in self.known_heartbeats.values() {
            *counts.entry(known.node.clone()).or_default() += 1;
        }
        counts
    }
}

#[cfg(test)]
mod tests;
