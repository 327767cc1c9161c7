//! The part of every node: which workers' heartbeats it answers, and what it reports of them to the leader.
//!
//! The scheduler's controller owns one [`Delegate`], hands it the leader's delegations and the workers'
//! heartbeats, and sends the digests that it makes. The leader's [`Coordinator`](crate::Coordinator) has one
//! too, to decide where workers belong that report to the leader itself.

mod heartbeat_log;
mod redirects;

use crate::NodeWeights;
use crate::checks::{DisabledCheck, SafetyChecks};
use crate::messages::{Delegation, FullHeartbeat, HeartbeatDigest, HeartbeatPosition};
use heartbeat_log::HeartbeatLog;
use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime, NodeName, Zone};
use redirects::{RedirectReason, Redirects};

/// How old the last delegation may be for the leader to count as reachable from here.
const MAX_DELEGATION_AGE: Duration = Duration::from_millis(3000);
/// How often machines are forgotten that have not been heard for long.
const PRUNE_INTERVAL: Duration = Duration::from_millis(5000);

/// A heartbeat, as far as it matters which node is to answer it.
#[derive(Debug)]
pub struct IncomingHeartbeat<'a> {
    /// The machine whose worker sent it.
    pub machine: &'a MachineId,
    /// The machine's zone.
    pub zone: &'a Zone,
    /// When in the worker's life it was sent.
    pub position: HeartbeatPosition,
    /// What the worker reports, as in [`FullHeartbeat::content`].
    pub content: Vec<u8>,
}

/// What becomes of a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Routing {
    /// It is answered with 200 and this fencing token.
    Answer(FencingToken),
    /// The worker is redirected to the node that its machine is assigned to.
    Redirect(NodeName),
    /// The worker is to try whichever node comes next in its list.
    TryAnotherNode,
    /// This node may not answer it: as if there were no delegation.
    NoDelegation,
}

/// The delegation that this node answers by.
#[derive(Debug, Clone)]
struct HeldDelegation {
    leader: NodeName,
    fencing_token: FencingToken,
    sequence: u64,
    /// When it came. For an inferred one: long enough ago for the leader to count as unreachable.
    received_at: MonotonicTime,
    ready: bool,
    node_weights: NodeWeights,
    /// Only workers of this zone are answered by it; `None`: all workers.
    only_zone: Option<Zone>,
}

impl HeldDelegation {
    fn is_fresh(&self, now: MonotonicTime) -> bool {
        now.since(self.received_at) < MAX_DELEGATION_AGE
    }
}

/// A digest and where it goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingDigest {
    /// The leader's node.
    pub leader: NodeName,
    /// The message.
    pub digest: HeartbeatDigest,
}

/// Answers workers in the leader's name on one node.
#[derive(Debug, Clone)]
pub struct Delegate {
    me: NodeName,
    held: Option<HeldDelegation>,
    /// Fencing token of the newest leader to which all known heartbeats have been reported in full.
    fully_reported_to: FencingToken,
    log: HeartbeatLog,
    redirects: Redirects,
    next_prune_at: MonotonicTime,
    checks: SafetyChecks,
}

impl Delegate {
    /// A node without a delegation.
    pub fn new(me: NodeName) -> Self {
        Self {
            me,
            held: None,
            fully_reported_to: FencingToken(0),
            log: HeartbeatLog::default(),
            redirects: Redirects::default(),
            next_prune_at: MonotonicTime::default(),
            checks: SafetyChecks::default(),
        }
    }

    /// Switches a safety check off.
    #[cfg(test)]
    pub(crate) fn disable(&mut self, check: DisabledCheck) {
        self.checks.disable(check);
    }

    /// The fencing token that this node answers with.
    pub fn fencing_token(&self) -> Option<FencingToken> {
        self.held.as_ref().map(|held| held.fencing_token)
    }

    /// How many workers' heartbeats this node has answered lately.
    pub fn len(&self) -> usize {
        self.log.len()
    }

    /// Whether this node has answered no worker lately.
    pub fn is_empty(&self) -> bool {
        self.log.len() == 0
    }

    /// This node leads now and answers in its own right. Returns the heartbeats that it received as a
    /// delegate, for the [`Coordinator`](crate::Coordinator) of its own.
    pub fn became_leader(&mut self, now: MonotonicTime) -> Vec<FullHeartbeat> {
        self.held = None;
        self.log.take_recent(now)
    }

    /// A delegation came. One of an older leader, or an older one of the same leader, changes nothing however
    /// late it comes.
    pub fn delegation_received(&mut self, from: &NodeName, delegation: Delegation, now: MonotonicTime) {
        let Delegation { fencing_token, sequence, ready, node_weights } = delegation;
        let held = self.held.as_ref().map(|held| (held.fencing_token, held.sequence));
        if held.is_some_and(|held| (fencing_token, sequence) <= held) {
            return;
        }
        if ready && self.fully_reported_to < fencing_token {
            // A new leader knows nothing yet: what the nodes know spares it a rush of all workers.
            self.fully_reported_to = fencing_token;
            self.log.report_all_in_full(now);
        }
        self.held = Some(HeldDelegation {
            leader: from.clone(),
            fencing_token,
            sequence,
            received_at: now,
            ready,
            node_weights,
            only_zone: None,
        });
    }

    /// The key-value store says who leads, though no delegation comes from there. What a leader delegates to
    /// all nodes alike this node may do too, with limits: no machine is assigned to a node by it, and nothing
    /// is reported to the leader. A worker is sent on once, as another node may reach the leader, and
    /// answered when it comes back. Only workers of this node's `own_zone` are answered: others may reach
    /// more nodes than this one, and the leader doesn't hear those that stay here.
    pub fn delegation_inferred(
        &mut self,
        leader: &NodeName,
        fencing_token: FencingToken,
        own_zone: &Zone,
        now: MonotonicTime,
    ) {
        if self.held.as_ref().is_none_or(|held| held.fencing_token < fencing_token) {
            self.held = Some(HeldDelegation {
                leader: leader.clone(),
                fencing_token,
                sequence: 0,
                received_at: now.before(MAX_DELEGATION_AGE),
                ready: false,
                node_weights: NodeWeights::default(),
                only_zone: Some(own_zone.clone()),
            });
        }
    }

    /// The leader lacks the content of these machines' newest heartbeats.
    pub fn resend_requested(&mut self, machines: Vec<MachineId>) {
        self.log.report_in_full(machines);
    }

    /// When the newest delegation came; the clock's zero if none ever did.
    pub fn last_delegation_at(&self) -> MonotonicTime {
        self.held.as_ref().map(|held| held.received_at).unwrap_or_default()
    }

    /// Whether the leader counts as reachable from here.
    pub fn is_fresh(&self, now: MonotonicTime) -> bool {
        self.held.as_ref().is_some_and(|held| held.is_fresh(now))
    }

    /// Takes in a heartbeat and decides what becomes of it. `highest_token`: the highest fencing token that
    /// this node knows of. `may_renew`: this node may renew the worker's lease, see
    /// [`LeaseRenewal::delegate_may_renew`](crate::LeaseRenewal::delegate_may_renew).
    pub fn heartbeat_received(
        &mut self,
        heartbeat: IncomingHeartbeat<'_>,
        highest_token: FencingToken,
        may_renew: bool,
        now: MonotonicTime,
    ) -> Routing {
        let Some(held) = &self.held else { return Routing::NoDelegation };
        let fencing_token = held.fencing_token;
        // A worker drops an answer with a lower fencing token than it has seen, and stays here while its
        // lease runs out. (The second condition only comes earlier: the worker says with its next heartbeat
        // that it has seen a higher one.)
        let outdated = fencing_token < heartbeat.position.fencing_token || fencing_token < highest_token;
        if outdated && self.checks.performs(DisabledCheck::OlderFencingToken) {
            return Routing::NoDelegation;
        }
        if held.only_zone.as_ref().is_some_and(|zone| zone != heartbeat.zone) {
            return Routing::NoDelegation;
        }
        // A cancellation may have been confirmed since this node's last read of the job records, without any
        // node on this side of a network partition seeing it; see the design document, "Outages".
        if !may_renew {
            return Routing::TryAnotherNode;
        }
        if let Some(routing) = self.redirect_for(heartbeat.machine, heartbeat.zone, now) {
            return routing;
        }
        self.log.received(heartbeat, now);
        Routing::Answer(fencing_token)
    }

    /// Where a worker is sent instead of being answered here, if it is.
    pub(crate) fn redirect_for(
        &mut self,
        machine: &MachineId,
        zone: &Zone,
        now: MonotonicTime,
    ) -> Option<Routing> {
        let reason = self.redirect_reason(machine, zone, now)?;
        if self.redirects.came_back(machine, &reason, now) {
            return None;
        }
        let routing = match &reason {
            RedirectReason::AssignedTo(_) if !self.redirects.may_move(now) => return None,
            RedirectReason::AssignedTo(node) => Routing::Redirect(node.clone()),
            RedirectReason::LeaderUnreachable { .. } => Routing::TryAnotherNode,
        };
        self.redirects.record(machine.clone(), &reason, now);
        // What the worker reports next, to another node, is not known here.
        self.log.forget(machine);
        Some(routing)
    }

    fn redirect_reason(
        &self,
        machine: &MachineId,
        zone: &Zone,
        now: MonotonicTime,
    ) -> Option<RedirectReason> {
        let held = self.held.as_ref()?;
        if !held.is_fresh(now) {
            // Another node may reach the leader. A worker that finds none which does comes back.
            return Some(RedirectReason::LeaderUnreachable { since: held.received_at });
        }
        let assigned = held.node_weights.assigned_node(machine, zone)?;
        (*assigned != self.me).then(|| RedirectReason::AssignedTo(assigned.clone()))
    }

    /// The digest to send now, if it is time for one.
    pub fn next_digest(&mut self, now: MonotonicTime) -> Option<OutgoingDigest> {
        self.prune(now);
        let held = self.held.as_ref().filter(|held| held.ready)?;
        let digest = self.log.next_digest(held.fencing_token, held.sequence, now)?;
        Some(OutgoingDigest { leader: held.leader.clone(), digest })
    }

    /// Forgets machines that have not been heard for long, here or after they were sent elsewhere.
    pub(crate) fn prune(&mut self, now: MonotonicTime) {
        if now < self.next_prune_at {
            return;
        }
        self.next_prune_at = now + PRUNE_INTERVAL;
        self.log.prune(now);
        let last_delegation_at = self.held.as_ref().map(|held| held.received_at);
        self.redirects.prune(last_delegation_at, now);
    }
}

#[cfg(test)]
mod tests;
