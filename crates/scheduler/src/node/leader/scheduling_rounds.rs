//! Scheduling rounds on their way: what goes out to controllers, what comes back, what comes too late.

use super::{Leader, StepContext};
use crate::peer_messages::PeerMessage;
use crate::placement::{self, Factors, MachineView, PlacementRequest, Proposal};
use crate::types::{Duration, FencingToken, MonotonicTime, NodeName};
use pearford_recovery::Pacer;
use std::collections::BTreeMap;

/// Time between scheduling passes, at least. A pass after every input took most of a leader's
/// processor share with hundreds of machines.
const PASS_INTERVAL: Duration = Duration::from_millis(100);
/// Parts of the time that scheduling passes leave to all else for each part that they take.
const PASS_REST: f64 = 3.0;
/// After this long a controller that let a round time out is offered work again.
const SLOW_PAUSE: Duration = Duration::from_millis(3000);

/// Work for one controller: what to place, and the machines of its partition that may take it.
#[derive(Debug)]
pub(super) struct Round {
    /// The controller.
    pub node: NodeName,
    /// Its partition's id.
    pub partition: u64,
    /// Machines of the partition that fit some request.
    pub machines: Vec<MachineView>,
    /// What to place, most urgent first.
    pub requests: Vec<PlacementRequest>,
}

/// A round under way at a controller.
#[derive(Debug)]
struct PendingRound {
    round: u64,
    sent: MonotonicTime,
    requests: Vec<PlacementRequest>,
}

/// When the next scheduling pass is due, and the rounds under way.
#[derive(Debug)]
pub(super) struct SchedulingRounds {
    pending: BTreeMap<NodeName, PendingRound>,
    /// Controllers that let a round time out, and until when they get no work.
    slow_until: BTreeMap<NodeName, MonotonicTime>,
    /// The number of the last round.
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
            passes: Pacer::new(PASS_INTERVAL, PASS_REST, now),
        }
    }

    /// The step that has ended took `cost`.
    pub fn record_step_cost(&mut self, cost: Duration, now: MonotonicTime) {
        self.passes.record_cost(cost, now);
    }

    /// Whether a round is under way at the controller.
    pub fn is_pending_at(&self, node: &NodeName) -> bool {
        self.pending.contains_key(node)
    }

    /// Whether a round is under way at any controller.
    pub fn any_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    fn is_slow(&self, node: &NodeName, now: MonotonicTime) -> bool {
        self.slow_until.get(node).is_some_and(|until| *until > now)
    }

    /// Takes the controller's round if it is the one with this number.
    fn take(&mut self, node: &NodeName, round: u64) -> Option<PendingRound> {
        if self.pending.get(node)?.round != round {
            return None;
        }
        self.pending.remove(node)
    }

    /// Takes the rounds that are under way for `timeout`; their controllers get no work for a while.
    fn take_late(&mut self, timeout: Duration, now: MonotonicTime) -> Vec<(NodeName, PendingRound)> {
        let is_late = |pending: &PendingRound| now.since(pending.sent) >= timeout;
        let late = self.pending.iter().filter(|(_, pending)| is_late(pending));
        let late: Vec<NodeName> = late.map(|(node, _)| node.clone()).collect();
        for node in &late {
            self.slow_until.insert(node.clone(), now + SLOW_PAUSE);
        }
        late.into_iter().filter_map(|node| self.pending.remove_entry(&node)).collect()
    }
}

impl Leader {
    /// Begins a scheduling pass if one is due: places this node's share, and sends the other
    /// controllers theirs.
    pub(super) fn offer_rounds(&mut self, context: &mut StepContext) {
        let now = context.now;
        if !self.rounds.passes.is_due(now) || !self.may_start(context) {
            return;
        }
        self.rounds.passes.begin(now);
        let me = self.settings.node.clone();
        let mut live = context.peers.live(now);
        live.retain(|node| !self.rounds.is_slow(node, now));
        live.insert(me.clone());
        for round in self.build_rounds(&live, &me, now) {
            self.rounds.last_round += 1;
            if round.node == me {
                self.place_here(context, round);
            } else {
                self.send_round(context, round);
            }
        }
    }

    fn place_here(&mut self, context: &mut StepContext, mut round: Round) {
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
        let pending = PendingRound { round: number, sent: context.now, requests: round.requests.clone() };
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

    /// A controller's proposals for a round.
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
            return; // an answer to an earlier leader
        }
        let Some(pending) = self.rounds.take(from, round) else { return }; // it came too late
        // A partition that was cut anew since then may have given its machines to another controller.
        let current = self.partitions.get(from).is_some_and(|known| known.id == partition);
        let proposals = if current && self.may_start(context) { proposals } else { Vec::new() };
        self.close_round(from, pending.requests, proposals, context.now);
    }

    /// Gives up rounds without an answer; their jobs are served by this node.
    pub(super) fn expire_rounds(&mut self, now: MonotonicTime) {
        let timeout = Duration::from_millis(self.settings.operator.round_timeout_ms);
        for (node, pending) in self.rounds.take_late(timeout, now) {
            tracing::warn!(%node, "a controller let its round time out; its work is served here");
            for request in pending.requests {
                if let Some(job_state) = self.job_states.get_mut(&request.job) {
                    // Lost with the answer: it must be offered anew, here.
                    job_state.offered = 0;
                    job_state.assigned_node = self.settings.node.clone();
                }
            }
        }
    }
}
