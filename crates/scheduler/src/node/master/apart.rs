//! Nodes that the leader can't reach, while they reach the state service: what they say there of the workers they answer.

use super::*;
use pearford_homes::Word;

/// Prefix of what nodes say that are apart from the leader.
pub(in crate::node) const PREFIX: &str = "apart/";
const ASK_EVERY: Span = Span::ms(2000);
const MOST: u32 = 100;
/// After the first reports, until they have come by way of other nodes as well.
const SETTLES: Span = Span::ms(1000);

impl Master {
    /// While some node isn't heard, what it says is looked up.
    pub(super) fn ask_apart(&mut self, ctx: &mut Ctx) {
        if ctx.now < self.next_told || ctx.peers.live(ctx.now).len() >= ctx.peers.names().len() {
            return;
        }
        self.next_told = ctx.now + ASK_EVERY;
        let request = StateRequest::Range { prefix: PREFIX, after: None, most: MOST };
        ctx.out.ask_state(request, Pending::Leader(self.fence, LeaderOp::Apart));
    }

    pub(super) fn apart_told(&mut self, ctx: &mut Ctx, reply: StateReply) {
        let StateReply::Pairs { pairs, .. } = reply else { return };
        for pair in pairs {
            let Some(node) = pair.key.strip_prefix(PREFIX) else { continue };
            // Said before this leader's time, perhaps long before: read as new, a word of a minute ago kept a zone that
            // was cut off altogether for 20 s too long (andina grown, rough).
            if pair.stamp.0 <= self.fence.0 {
                continue;
            }
            match serde_json::from_str::<Word>(&pair.value) {
                Ok(word) => self.told.learn(node.into(), pair.stamp, word, ctx.now),
                Err(error) => tracing::error!(key = pair.key, %error, "a node's word can't be read"),
            }
        }
    }

    /// Whether a node that is apart hears so many more workers that it should lead: this one would place work on the
    /// smaller side only for as long as the cut lasts.
    pub(super) fn is_outweighed(&self, now: Time) -> bool {
        let interval = Span::secs(self.settings.workers.report_s).times(1.25);
        // A new leader has not heard its own side yet: compared too early each resigned to the next, all stood aside, and
        // nobody led for 14 s (parted days, seed 928).
        if now.since(self.since) < interval + SETTLES {
            return false;
        }
        let heard = |m: &&Machine| m.heard() && m.last_report.is_some_and(|at| now.since(at) <= interval);
        self.told.outweigh(|| self.machines.values().filter(heard).count() as u32, self.fence, now)
    }
}

#[cfg(test)]
mod golden;
