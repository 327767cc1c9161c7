//! The leader's part: what digests prove, through which node a worker is reached, which node gets how many
//! machines.
//!
//! The scheduler's leader owns one [`Coordinator`] for the time it leads, sends the delegations that it makes
//! and hands it the digests that come back.

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

/// How often a delegation is sent.
const DELEGATION_INTERVAL: Duration = Duration::from_millis(1000);
/// A digest names the newest delegation that its sender had received, so it left at most this long after that
/// one: [`DELEGATION_INTERVAL`] and a margin.
const MAX_DIGEST_DELAY: Duration = Duration::from_millis(1500);
/// Delegations whose time is remembered; a digest that names an older one is dropped.
const REMEMBERED_DELEGATIONS: usize = 128;

/// A node that is alive, as far as the leader knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveNode {
    /// The node.
    pub node: NodeName,
    /// The zone that it runs in.
    pub zone: Zone,
}

/// A heartbeat that a digest, or this node before it led, has brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    /// The machine whose worker sent it.
    pub machine: MachineId,
    /// When in the worker's life it was sent.
    pub position: HeartbeatPosition,
    /// When a node received it, by the leader's clock, and rather too early than too late.
    pub received_at: MonotonicTime,
    /// Whether its content is new; else it is that of the heartbeat known before.
    pub content_changed: bool,
}

/// The newest heartbeat of a machine.
#[derive(Debug, Clone)]
pub struct KnownHeartbeat {
    /// The node that received it.
    pub node: NodeName,
    /// When in the worker's life it was sent.
    pub position: HeartbeatPosition,
    /// What the worker reported; empty for one that came to the leader itself.
    pub content: Vec<u8>,
    hash: u64,
}

/// Machines whose heartbeats a node is to send again with their content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResendRequest {
    /// The node to ask.
    pub node: NodeName,
    /// Machines whose content the leader lacks; never empty.
    pub machines: Vec<MachineId>,
}

/// A delegation that has been sent.
#[derive(Debug, Clone, Copy)]
struct SentDelegation {
    sequence: u64,
    sent_at: MonotonicTime,
}

/// The leader's record of all heartbeats and of the nodes that receive them.
#[derive(Debug, Clone)]
pub struct Coordinator {
    me: NodeName,
    fencing_token: FencingToken,
    sequence: u64,
    /// The last delegations, oldest first.
    sent: VecDeque<SentDelegation>,
    next_delegation_at: MonotonicTime,
    contacts: NodeContacts,
    balancer: WeightBalancer,
    known: BTreeMap<MachineId, KnownHeartbeat>,
    /// Machines whose content is lacking here, by the node that reported it as unchanged.
    missing: BTreeMap<NodeName, BTreeSet<MachineId>>,
    /// Decides where workers belong that report to the leader itself, as on any node.
    own: Delegate,
    checks: SafetyChecks,
}

impl Coordinator {
    /// A leader that begins to lead `now`, on node `me`.
    pub fn new(me: NodeName, fencing_token: FencingToken, now: MonotonicTime) -> Self {
        Self {
            own: Delegate::new(me.clone()),
            contacts: NodeContacts::new(me.clone()),
            balancer: WeightBalancer::new(me.clone(), now),
            me,
            fencing_token,
            sequence: 0,
            sent: VecDeque::new(),
            next_delegation_at: now,
            known: BTreeMap::new(),
            missing: BTreeMap::new(),
            checks: SafetyChecks::default(),
        }
    }

    /// Switches a safety check off.
    #[cfg(test)]
    pub(crate) fn disable(&mut self, check: DisabledCheck) {
        self.checks.disable(check);
    }

    /// The delegation to send to all nodes, if it is time for one. `live`: the nodes that are alive, this one
    /// among them. `ready`: this leader has read all records.
    pub fn delegation(&mut self, live: &[LiveNode], ready: bool, now: MonotonicTime) -> Option<Delegation> {
        if now < self.next_delegation_at {
            return None;
        }
        self.next_delegation_at = now + DELEGATION_INTERVAL;
        self.sequence += 1;
        self.remember_sent(now);
        self.balancer.balance(live, self.known.values().map(|known| &known.node), now);
        self.contacts.update_live(live, ready, now);
        let delegation = Delegation {
            fencing_token: self.fencing_token,
            sequence: self.sequence,
            ready,
            node_weights: self.node_weights(live, now),
        };
        self.own.delegation_received(&self.me, delegation.clone(), now);
        self.own.prune(now);
        Some(delegation)
    }

    fn remember_sent(&mut self, now: MonotonicTime) {
        self.sent.push_back(SentDelegation { sequence: self.sequence, sent_at: now });
        if self.sent.len() > REMEMBERED_DELEGATIONS {
            self.sent.pop_front();
        }
    }

    /// The nodes with their weights: 0 for one that does not respond.
    fn node_weights(&self, live: &[LiveNode], now: MonotonicTime) -> NodeWeights {
        let weighted = live.iter().map(|LiveNode { node, zone }| {
            let unresponsive = self.contacts.is_unresponsive(node, now);
            let weight = if unresponsive { 0 } else { self.balancer.weight(node) };
            NodeWeight { node: node.clone(), zone: zone.clone(), weight }
        });
        NodeWeights::new(weighted.collect())
    }

    /// The node to which a worker is redirected that reports to the leader itself; `None`: it is answered
    /// here.
    pub fn redirect_for(&mut self, machine: &MachineId, zone: &Zone, now: MonotonicTime) -> Option<NodeName> {
        match self.own.redirect_for(machine, zone, now) {
            Some(Routing::Redirect(node)) if self.contacts.is_responsive(&node, now) => Some(node),
            _ => None,
        }
    }

    /// A heartbeat came to the leader itself.
    pub fn heartbeat_received_here(
        &mut self,
        machine: &MachineId,
        position: HeartbeatPosition,
        content: Vec<u8>,
    ) {
        let hash = content_hash(&content);
        let known = KnownHeartbeat { node: self.me.clone(), position, content, hash };
        self.known.insert(machine.clone(), known);
    }

    /// The newest heartbeat of a machine.
    pub fn known_heartbeat(&self, machine: &MachineId) -> Option<&KnownHeartbeat> {
        self.known.get(machine)
    }

    /// Forgets a machine that is gone.
    pub fn forget(&mut self, machine: &MachineId) {
        self.known.remove(machine);
    }

    /// The node through which commands reach a machine; `None`: directly from here.
    pub fn route(&self, machine: &MachineId, now: MonotonicTime) -> Option<&NodeName> {
        let node = &self.known.get(machine)?.node;
        (*node != self.me && self.contacts.is_responsive(node, now)).then_some(node)
    }

    /// Another way than [`Self::route`], for a machine that did not answer that way: some responsive node, or
    /// `None` for directly from here.
    pub fn alternative_route(&self, machine: &MachineId, now: MonotonicTime) -> Option<&NodeName> {
        if self.route(machine, now).is_some() {
            return None;
        }
        let usual = self.known.get(machine).map(|known| &known.node);
        self.contacts.responsive_nodes(now).find(|node| Some(*node) != usual)
    }

    /// Takes in a digest. A heartbeat in it proves what the heartbeat itself proves: only one that is newer
    /// than the known one counts, and one that is reported as unchanged only if the same content is known
    /// here; else the content is to be asked for, see [`Self::take_resend_requests`].
    pub fn digest_received(
        &mut self,
        from: &NodeName,
        digest: HeartbeatDigest,
        now: MonotonicTime,
    ) -> Vec<ReceivedHeartbeat> {
        if digest.fencing_token != self.fencing_token {
            return Vec::new();
        }
        // The delegation that a digest names tells how old it is at least, should a network partition have
        // held it back.
        let Some(delegation) = self.sent.iter().find(|sent| sent.sequence == digest.sequence) else {
            return Vec::new();
        };
        let delegation_sent_at = delegation.sent_at;
        self.contacts.digest_received(from, LastDigest { received_at: now, delegation_sent_at });
        let received_at = |age: Duration| now.before(age).min(delegation_sent_at + MAX_DIGEST_DELAY);
        let mut received = Vec::new();
        for full in digest.full {
            received.extend(self.take_full(from, received_at(full.age), full));
        }
        for unchanged in digest.unchanged {
            received.extend(self.take_unchanged(from, received_at(unchanged.age), unchanged));
        }
        received
    }

    /// Takes in the heartbeats that this node received as a delegate before it led, as of `since`.
    pub fn seed(
        &mut self,
        own: Vec<FullHeartbeat>,
        since: MonotonicTime,
        now: MonotonicTime,
    ) -> Vec<ReceivedHeartbeat> {
        let me = self.me.clone();
        let take = |full: FullHeartbeat| self.take_full(&me, since.before(full.age).min(now), full);
        own.into_iter().filter_map(take).collect()
    }

    fn take_full(
        &mut self,
        from: &NodeName,
        received_at: MonotonicTime,
        full: FullHeartbeat,
    ) -> Option<ReceivedHeartbeat> {
        let FullHeartbeat { machine, position, content, .. } = full;
        if self.known.get(&machine).is_some_and(|known| !position.is_newer(&known.position)) {
            return None;
        }
        let hash = content_hash(&content);
        let known = KnownHeartbeat { node: from.clone(), position, content, hash };
        self.known.insert(machine.clone(), known);
        if let Some(missing) = self.missing.get_mut(from) {
            missing.remove(&machine);
        }
        Some(ReceivedHeartbeat { machine, position, received_at, content_changed: true })
    }

    fn take_unchanged(
        &mut self,
        from: &NodeName,
        received_at: MonotonicTime,
        unchanged: UnchangedHeartbeat,
    ) -> Option<ReceivedHeartbeat> {
        let UnchangedHeartbeat { machine, position, hash, .. } = unchanged;
        if let Some(known) = self.known.get_mut(&machine) {
            if !position.is_newer(&known.position) {
                return None;
            }
            let same_content = known.hash == hash && known.position.has_same_context(&position);
            if same_content || !self.checks.performs(DisabledCheck::DigestContent) {
                known.position = position;
                known.node = from.clone();
                return Some(ReceivedHeartbeat { machine, position, received_at, content_changed: false });
            }
        }
        self.missing.entry(from.clone()).or_default().insert(machine);
        None
    }

    /// The heartbeats whose content is lacking here, by the nodes to ask for them; each is returned once.
    pub fn take_resend_requests(&mut self) -> Vec<ResendRequest> {
        let missing = std::mem::take(&mut self.missing);
        missing
            .into_iter()
            .filter(|(_, machines)| !machines.is_empty())
            .map(|(node, machines)| ResendRequest { node, machines: machines.into_iter().collect() })
            .collect()
    }

    /// How many machines each node receives heartbeats from.
    pub fn machines_by_node(&self) -> BTreeMap<NodeName, usize> {
        let mut counts = BTreeMap::new();
        for known in self.known.values() {
            *counts.entry(known.node.clone()).or_default() += 1;
        }
        counts
    }
}

#[cfg(test)]
mod tests;
