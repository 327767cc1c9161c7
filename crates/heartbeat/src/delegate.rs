//! The part of every node: decides which workers' heartbeats the node answers, and reports them to the leader.
//!
//! The scheduler's controller owns one [`Delegate`], passes it the leader's delegations and the workers'
//! heartbeats, and sends the digests that it makes. The leader's [`Coordinator`](crate::Coordinator) has its
//! own, to decide whether workers that report to the leader itself are redirected.

mod heartbeat_log;
mod redirects;

use crate::NodeWeights;
use crate::checks::{DisabledCheck, SafetyChecks};
use crate::messages::{Delegation, FullHeartbeat, HeartbeatDigest, HeartbeatPosition};
use heartbeat_log::HeartbeatLog;
use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime, NodeName, Zone};
use redirects::{RedirectReason, Redirects};

/// The leader counts as reachable while its newest delegation is younger than this.
const MAX_DELEGATION_AGE: Duration = Duration::from_millis(3000);
/// Interval at which old heartbeats and redirects are removed.
const PRUNE_INTERVAL: Duration = Duration::from_millis(5000);

/// A received heartbeat, in the form that [`Delegate::heartbeat_received`] needs.
#[derive(Debug)]
pub struct IncomingHeartbeat<'a> {
    /// The machine whose worker sent it.
    pub machine: &'a MachineId,
    /// The machine's zone.
    pub zone: &'a Zone,
    /// Which of the worker's heartbeats it is.
    pub position: HeartbeatPosition,
    /// What the worker reports, as in [`FullHeartbeat::content`].
    pub content: Vec<u8>,
}

/// How a heartbeat is answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Routing {
    /// It is answered with 200 and this fencing token.
    Answer(FencingToken),
    /// The worker is redirected to the node to which its machine is assigned.
    Redirect(NodeName),
    /// The worker is redirected to the next node in its list.
    TryAnotherNode,
    /// This node may not answer it, as if it had no delegation.
    NoDelegation,
}

/// The delegation under which this node answers heartbeats.
#[derive(Debug, Clone)]
struct CurrentDelegation {
    leader: NodeName,
    fencing_token: FencingToken,
    sequence: u64,
    /// When it was received. For an inferred delegation, a time so long ago that the leader counts as
    /// unreachable.
    received_at: MonotonicTime,
    ready: bool,
    node_weights: NodeWeights,
    /// Only workers of this zone are answered; `None`: all workers.
    only_zone: Option<Zone>,
}

impl CurrentDelegation {
    fn is_fresh(&self, now: MonotonicTime) -> bool {
        now.since(self.received_at) < MAX_DELEGATION_AGE
    }
}

/// A digest and its destination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingDigest {
    /// The leader's node.
    pub leader: NodeName,
    /// The message.
    pub digest: HeartbeatDigest,
}

/// Answers workers on behalf of the leader on one node.
#[derive(Debug, Clone)]
pub struct Delegate {
    own_node: NodeName,
    current: Option<CurrentDelegation>,
    /// Fencing token of the newest leader to which all known heartbeats were reported in full.
    fully_reported_to: FencingToken,
    log: HeartbeatLog,
    redirects: Redirects,
    next_prune_at: MonotonicTime,
    checks: SafetyChecks,
}

impl Delegate {
    /// The delegate of `own_node`, which has no delegation yet.
    pub fn new(own_node: NodeName) -> Self {
        Self {
            own_node,
            current: None,
            fully_reported_to: FencingToken(0),
            log: HeartbeatLog::default(),
            redirects: Redirects::default(),
            next_prune_at: MonotonicTime::default(),
            checks: SafetyChecks::default(),
        }
    }

    /// Disables a safety check.
    #[cfg(test)]
    pub(crate) fn disable(&mut self, check: DisabledCheck) {
        self.checks.disable(check);
    }

    /// The fencing token that this node answers with.
    pub fn fencing_token(&self) -> Option<FencingToken> {
        self.current.as_ref().map(|current| current.fencing_token)
    }

    /// Number of workers whose heartbeats this node has answered recently.
    pub fn len(&self) -> usize {
        self.log.len()
    }

    /// Whether this node has answered no worker recently.
    pub fn is_empty(&self) -> bool {
        self.log.len() == 0
    }

    /// Drops the delegation because this node has become leader. Returns the recent heartbeats that it
    /// received as a delegate, for its own [`Coordinator`](crate::Coordinator).
    pub fn became_leader(&mut self, now: MonotonicTime) -> Vec<FullHeartbeat> {
        self.current = None;
        self.log.take_recent(now)
    }

    /// Adopts a delegation. One of an older leader, or an older one of the same leader, is ignored.
    pub fn delegation_received(&mut self, from: &NodeName, delegation: Delegation, now: MonotonicTime) {
        let Delegation { fencing_token, sequence, ready, node_weights } = delegation;
        let current = self.current.as_ref().map(|current| (current.fencing_token, current.sequence));
        if current.is_some_and(|current| (fencing_token, sequence) <= current) {
            return;
        }
        if ready && self.fully_reported_to < fencing_token {
            // A new leader has no heartbeats yet; those of its delegates spare it a burst of reports from all
            // workers.
            self.fully_reported_to = fencing_token;
            self.log.report_all_in_full(now);
        }
        self.current = Some(CurrentDelegation {
            leader: from.clone(),
            fencing_token,
            sequence,
            received_at: now,
            ready,
            node_weights,
            only_zone: None,
        });
    }

    /// Infers a delegation from the leader record in the key-value store, when none arrives from that leader.
    /// A leader delegates to all nodes alike, so this node may assume the delegation, with restrictions: it
    /// assigns no machines to nodes, and nothing is reported to the leader. A worker is redirected once, since
    /// another node may reach the leader, and answered when it returns. Only workers of `own_zone` are
    /// answered: the others may be able to reach other nodes, and the leader would not learn of workers that
    /// stay with this one.
    pub fn delegation_inferred(
        &mut self,
        leader: &NodeName,
        fencing_token: FencingToken,
        own_zone: &Zone,
        now: MonotonicTime,
    ) {
        if self.current.as_ref().is_none_or(|current| current.fencing_token < fencing_token) {
            self.current = Some(CurrentDelegation {
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

    /// Schedules the newest heartbeats of these machines to be reported with content, which the leader lacks.
    pub fn resend_requested(&mut self, machines: Vec<MachineId>) {
        self.log.report_in_full(machines);
    }

    /// When the current delegation was received; the clock's zero if there is none.
    pub fn last_delegation_at(&self) -> MonotonicTime {
        self.current.as_ref().map(|current| current.received_at).unwrap_or_default()
    }

    /// Whether the leader counts as reachable from this node.
    pub fn is_fresh(&self, now: MonotonicTime) -> bool {
        self.current.as_ref().is_some_and(|current| current.is_fresh(now))
    }

    /// Decides how a heartbeat is answered, and logs it if this node answers it. `highest_token`: the highest
    /// fencing token that this node knows. `may_renew`: this node may renew the worker's lease, see
    /// [`LeaseRenewal::delegate_may_renew`](crate::LeaseRenewal::delegate_may_renew).
    pub fn heartbeat_received(
        &mut self,
        heartbeat: IncomingHeartbeat<'_>,
        highest_token: FencingToken,
        may_renew: bool,
        now: MonotonicTime,
    ) -> Routing {
        let Some(current) = &self.current else { return Routing::NoDelegation };
        let fencing_token = current.fencing_token;
        // A worker ignores an answer with a lower fencing token than it has seen, but would keep reporting to
        // this node until its lease expires. The second condition only takes effect earlier: the worker itself
        // would report the higher token with its next heartbeat.
        let outdated = fencing_token < heartbeat.position.fencing_token || fencing_token < highest_token;
        if outdated && self.checks.is_enabled(DisabledCheck::OlderFencingToken) {
            return Routing::NoDelegation;
        }
        if current.only_zone.as_ref().is_some_and(|zone| zone != heartbeat.zone) {
            return Routing::NoDelegation;
        }
        // Since this node's last read of the job records a cancellation may have been confirmed that no node
        // on this side of a network partition knows of; see `docs/design.md`, "Outages".
        if !may_renew {
            return Routing::TryAnotherNode;
        }
        if let Some(routing) = self.redirect_for(heartbeat.machine, heartbeat.zone, now) {
            return routing;
        }
        self.log.received(heartbeat, now);
        Routing::Answer(fencing_token)
    }

    /// The redirect with which a worker is answered; `None`: this node answers its heartbeat itself.
    pub(crate) fn redirect_for(
        &mut self,
        machine: &MachineId,
        zone: &Zone,
        now: MonotonicTime,
    ) -> Option<Routing> {
        let reason = self.redirect_reason(machine, zone, now)?;
        if self.redirects.has_returned(machine, &reason, now) {
            return None;
        }
        let routing = match &reason {
            RedirectReason::AssignedTo(_) if !self.redirects.count_move(now) => return None,
            RedirectReason::AssignedTo(node) => Routing::Redirect(node.clone()),
            RedirectReason::LeaderUnreachable { .. } => Routing::TryAnotherNode,
        };
        self.redirects.record(machine.clone(), &reason, now);
        // The worker's next heartbeats go to another node.
        self.log.remove(machine);
        Some(routing)
    }

    fn redirect_reason(
        &self,
        machine: &MachineId,
        zone: &Zone,
        now: MonotonicTime,
    ) -> Option<RedirectReason> {
        let current = self.current.as_ref()?;
        if !current.is_fresh(now) {
            // Another node may reach the leader. A worker that finds no such node returns to this one.
            return Some(RedirectReason::LeaderUnreachable { since: current.received_at });
        }
        let assigned = current.node_weights.assigned_node(machine, zone)?;
        (*assigned != self.own_node).then(|| RedirectReason::AssignedTo(assigned.clone()))
    }

    /// The digest to send, if one is due.
    pub fn next_digest(&mut self, now: MonotonicTime) -> Option<OutgoingDigest> {
        self.prune(now);
        let current = self.current.as_ref().filter(|current| current.ready)?;
        let digest = self.log.next_digest(current.fencing_token, current.sequence, now)?;
        Some(OutgoingDigest { leader: current.leader.clone(), digest })
    }

    /// Removes old heartbeats and redirects.
    pub(crate) fn prune(&mut self, now: MonotonicTime) {
        if now < self.next_prune_at {
            return;
        }
        self.next_prune_at = now + PRUNE_INTERVAL;
        self.log.prune(now);
        let last_delegation_at = self.current.as_ref().map(|current| current.received_at);
        self.redirects.prune(last_delegation_at, now);
    }
}

#[cfg(test)]
mod tests;
