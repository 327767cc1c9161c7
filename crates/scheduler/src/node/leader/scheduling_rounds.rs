//! Rounds on their way: what goes out to controllers, what comes back, and what comes too late.

use super::*;

/// How often what waits is looked through for rounds. Going through it after every input took
/// most of a leader's processor share with hundreds of machines.
pub(super) const PASS_INTERVAL: Duration = Duration::from_millis(100);
/// After this long a controller that let a round time out is offered work again.
const SLOW_PAUSE: Duration = Duration::from_millis(3000);

impl Leader {
    pub(super) fn offer_rounds(&mut self, context: &mut StepContext) {
        let now = context.now;
        if !self.scheduling_passes.due(now) || !self.may_start(context) {
            return;
        }
        let me = self.settings.node.clone();
        self.scheduling_passes.begins(now);
        let mut live = context.peers.live(now);
        live.retain(|n| self.slow_until.get(n).is_none_or(|until| *until <= now));
        live.insert(me.clone());
        for (node, partition, mut machines, requests) in self.build_rounds(&live, &me, now) {
            self.next_round += 1;
            let (round, fencing_token) = (self.next_round, self.fencing_token);
            if node == me {
                let factors = Factors::of(&self.settings.operator);
                let proposals =
                    placement::round(&mut machines, &requests, context.success_counts, &factors, context.rng);
                self.close_round(&me, requests, proposals, now);
            } else {
                let pending_round = PendingRound { round, sent: now, requests: requests.clone() };
                self.pending_rounds.insert(node.clone(), pending_round);
                context.out.tell(
                    &node,
                    PeerMessage::RoundRequest { fencing_token, partition, round, machines, requests },
                );
            }
        }
    }

    pub(in crate::node) fn proposals(
        &mut self,
        context: &mut StepContext,
        from: &NodeName,
        fencing_token: FencingToken,
        partition: u64,
        round: u64,
        proposals: Vec<Proposal>,
    ) {
        if fencing_token != self.fencing_token
            || self.pending_rounds.get(from).is_none_or(|o| o.round != round)
        {
            return; // an answer that came too late
        }
        let Some(pending_round) = self.pending_rounds.remove(from) else { return };
        // A block cut anew since then may have given its machines to somebody else.
        let current = self.partitions.get(from).is_some_and(|b| b.id == partition);
        let proposals = if current && self.may_start(context) { proposals } else { Vec::new() };
        self.close_round(from, pending_round.requests, proposals, context.now);
    }

    pub(super) fn late_rounds(&mut self, now: MonotonicTime) {
        let limit = Duration::from_millis(self.settings.operator.round_timeout_ms);
        let late: Vec<NodeName> = self
            .pending_rounds
            .iter()
            .filter(|(_, o)| now.since(o.sent) >= limit)
            .map(|(n, _)| n.clone())
            .collect();
        for node in late {
            tracing::warn!(%node, "a controller let its round time out; its work is served here");
            if let Some(pending_round) = self.pending_rounds.remove(&node) {
                for request in pending_round.requests {
                    if let Some(job_state) = self.job_states.get_mut(&request.job) {
                        // Lost with the answer: it must be offered anew, here.
                        job_state.offered = 0;
                        job_state.home = self.settings.node.clone();
                    }
                }
            }
            self.slow_until.insert(node, now + SLOW_PAUSE);
        }
    }
}
