//! Scheduling rounds in progress: sends rounds to the controllers, accepts their proposals, and expires
//! rounds that time out.

use super::{Leader, StepContext};
use crate::peer_messages::PeerMessage;
use crate::placement::{self, Factors, MachineView, PlacementRequest, Proposal};
use crate::types::{Duration, FencingToken, MonotonicTime, NodeName};
use pearford_recovery::Pacer;
use std::collections::BTreeMap;

/// Minimum time between scheduling passes. With hundreds of machines, a pass after every input took most of
/// the leader's processor time.
const PASS_INTERVAL: Duration = Duration::from_millis(100);
/// After each scheduling pass, at least this multiple of its duration is left to other work.
const PASS_REST_FACTOR: f64 = 3.0;
/// How long a controller gets no rounds after one of its rounds timed out.
const SLOW_CONTROLLER_PAUSE: Duration = Duration::from_millis(3000);

/// The work of one controller: requests, and the machines of its partition that may take their tasks.
#[derive(Debug)]
pub(super) struct Round {
    /// The controller.
    pub node: NodeName,
    /// Its partition's id.
    pub partition: u64,
    /// Machines of the partition that fit at least one request.
    pub machines: Vec<MachineView>,
    /// The requests to place, most urgent first.
    pub requests: Vec<PlacementRequest>,
}

/// A round that was sent to a controller and not answered yet.
#[derive(Debug)]
struct PendingRound {
    round: u64,
    sent_at: MonotonicTime,
    requests: Vec<PlacementRequest>,
}

/// The rounds in progress, and the pacing of scheduling passes.
#[derive(Debug)]
pub(super) struct SchedulingRounds {
    pending: BTreeMap<NodeName, PendingRound>,
    /// Controllers whose last round timed out, and until when they get no rounds.
    slow_until: BTreeMap<NodeName, MonotonicTime>,
    /// The number of the most recent round.
    last_round: u64,
    passes: Pacer,
}

impl SchedulingRounds {
    /// The first pass is due at `now`.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            pending: BTreeMap::new(),
            slow_until: BTreeMap::new(),
            last_round: 0,
            passes: Pacer::new(PASS_INTERVAL, PASS_REST_FACTOR, now),
        }
    }

    /// Records that the previous step took `cost`.
    pub fn record_step_cost(&mut self, cost: Duration, now: MonotonicTime) {
        self.passes.record_cost(cost, now);
    }

    /// Whether a round is in progress at the controller.
    pub fn is_pending_at(&self, node: &NodeName) -> bool {
        self.pending.contains_key(node)
    }

    /// Whether a round is in progress at any controller.
    pub fn any_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    fn is_slow(&self, node: &NodeName, now: MonotonicTime) -> bool {
        self.slow_until.get(node).is_some_and(|until| *until > now)
    }

    /// Removes and returns the controller's pending round if it has this number.
    fn take(&mut self, node: &NodeName, round: u64) -> Option<PendingRound> {
        if self.pending.get(node)?.round != round {
            return None;
        }
        self.pending.remove(node)
    }

    /// Removes and returns the rounds that have been pending for `timeout` or longer. Their controllers
    /// get no rounds for [`SLOW_CONTROLLER_PAUSE`].
    fn take_expired(&mut self, timeout: Duration, now: MonotonicTime) -> Vec<(NodeName, PendingRound)> {
        let is_expired = |pending: &PendingRound| now.since(pending.sent_at) >= timeout;
        let expired = self.pending.iter().filter(|(_, pending)| is_expired(pending));
        let expired: Vec<NodeName> = expired.map(|(node, _)| node.clone()).collect();
        for node in &expired {
            self.slow_until.insert(node.clone(), now + SLOW_CONTROLLER_PAUSE);
        }
        expired.into_iter().filter_map(|node| self.pending.remove_entry(&node)).collect()
    }
}

impl Leader {
    /// Runs a scheduling pass if one is due: places the requests of this node's round, and sends the
    /// other controllers their rounds.
    pub(super) fn offer_rounds(&mut self, context: &mut StepContext) {
        let now = context.now;
        if !self.rounds.passes.is_due(now) || !self.may_start(context) {
            return;
        }
        self.rounds.passes.begin(now);
        let own_node = self.settings.node.clone();
        let mut live = context.peers.live(now);
        live.retain(|node| !self.rounds.is_slow(node, now));
        live.insert(own_node.clone());
        for round in self.build_rounds(&live, &own_node, now) {
            self.rounds.last_round += 1;
            if round.node == own_node {
                self.place_locally(context, round);
            } else {
                self.send_round(context, round);
            }
        }
    }

    fn place_locally(&mut self, context: &mut StepContext, mut round: Round) {
        let factors = Factors::of(&self.settings.operator);
        let proposals = placement::round(
            &mut round.machines,
            &round.requests,
            context.success_counts,
            &factors,
            context.rng,
        );
        self.close_round(&round.node, round.requests, proposals, context.now);
    }

    fn send_round(&mut self, context: &mut StepContext, round: Round) {
        let number = self.rounds.last_round;
        let pending = PendingRound { round: number, sent_at: context.now, requests: round.requests.clone() };
        self.rounds.pending.insert(round.node.clone(), pending);
        let message = PeerMessage::RoundRequest {
            fencing_token: self.fencing_token,
            partition: round.partition,
            round: number,
            machines: round.machines,
            requests: round.requests,
        };
        context.outbox.send(&round.node, message);
    }

    /// Processes a controller's proposals for a round.
    pub(in crate::node) fn process_proposals(
        &mut self,
        context: &mut StepContext,
        from: &NodeName,
        fencing_token: FencingToken,
        partition: u64,
        round: u64,
        proposals: Vec<Proposal>,
    ) {
        if fencing_token != self.fencing_token {
            return; // the round belongs to an earlier leader
        }
        let Some(pending) = self.rounds.take(from, round) else { return }; // the round has ended or expired
        // If the partitions were divided again since the round was sent, its machines may belong to
        // another controller now.
        let is_current = self.partitions.get(from).is_some_and(|known| known.id == partition);
        let proposals = if is_current && self.may_start(context) { proposals } else { Vec::new() };
        self.close_round(from, pending.requests, proposals, context.now);
    }

    /// Ends rounds that were not answered in time, and assigns their jobs to this node.
    pub(super) fn expire_rounds(&mut self, now: MonotonicTime) {
        let timeout = Duration::from_millis(self.settings.operator.round_timeout_ms);
        for (node, pending) in self.rounds.take_expired(timeout, now) {
            tracing::warn!(
                %node,
                "scheduling round timed out; the leader places its jobs; check this node's load and network"
            );
            for request in pending.requests {
                if let Some(job_state) = self.job_states.get_mut(&request.job) {
                    // The proposals are lost: this node offers the tasks again in its own round.
                    job_state.tasks_in_round = 0;
                    job_state.assigned_node = self.settings.node.clone();
                }
            }
        }
    }
}
