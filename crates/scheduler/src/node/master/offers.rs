//! Rounds on their way: what goes out to controllers, what comes back, and what comes too late.

use super::*;

/// How often what waits is looked through for rounds. Going through it after every input took
/// most of a leader's processor share with hundreds of machines.
pub(super) const LOOK_EVERY: Duration = Duration::from_millis(100);
/// After this long a controller that let a round time out is offered work again.
const SLOW_PAUSE: Duration = Duration::from_millis(3000);

impl Master {
    pub(super) fn offer_rounds(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        if !self.looks.due(now) || !self.may_start(ctx) {
            return;
        }
        let me = self.settings.node.clone();
        self.looks.begins(now);
        let mut live = ctx.peers.live(now);
        live.retain(|n| self.slow_until.get(n).is_none_or(|until| *until <= now));
        live.insert(me.clone());
        for (node, block, mut machines, asks) in self.build_rounds(&live, &me, now) {
            self.next_round += 1;
            let (round, fencing_token) = (self.next_round, self.fencing_token);
            if node == me {
                let factors = Factors::of(&self.settings.operator);
                let proposals = placement::round(&mut machines, &asks, ctx.counts, &factors, ctx.rng);
                self.close_round(&me, asks, proposals, now);
            } else {
                let outstanding = Outstanding { round, sent: now, asks: asks.clone() };
                self.offers.insert(node.clone(), outstanding);
                ctx.out
                    .tell(&node, PeerMessage::RoundRequest { fencing_token, block, round, machines, asks });
            }
        }
    }

    pub(in crate::node) fn proposals(
        &mut self,
        ctx: &mut Ctx,
        from: &NodeName,
        fencing_token: FencingToken,
        block: u64,
        round: u64,
        proposals: Vec<Proposal>,
    ) {
        if fencing_token != self.fencing_token || self.offers.get(from).is_none_or(|o| o.round != round) {
            return; // an answer that came too late
        }
        let Some(offer) = self.offers.remove(from) else { return };
        // A block cut anew since then may have given its machines to somebody else.
        let current = self.blocks.get(from).is_some_and(|b| b.id == block);
        let proposals = if current && self.may_start(ctx) { proposals } else { Vec::new() };
        self.close_round(from, offer.asks, proposals, ctx.now);
    }

    pub(super) fn late_rounds(&mut self, now: MonotonicTime) {
        let limit = Duration::from_millis(self.settings.operator.round_timeout_ms);
        let late: Vec<NodeName> =
            self.offers.iter().filter(|(_, o)| now.since(o.sent) >= limit).map(|(n, _)| n.clone()).collect();
        for node in late {
            tracing::warn!(%node, "a controller let its round time out; its work is served here");
            if let Some(offer) = self.offers.remove(&node) {
                for ask in offer.asks {
                    if let Some(run) = self.runs.get_mut(&ask.job) {
                        // Lost with the answer: it must be offered anew, here.
                        run.offered = 0;
                        run.home = self.settings.node.clone();
                    }
                }
            }
            self.slow_until.insert(node, now + SLOW_PAUSE);
        }
    }
}
