//! Nodes that the leader can't reach, while they reach the state service: what they say there of the workers they answer.

use super::*;
use pearford_heartbeat::IsolationReport;

/// Prefix of what nodes say that are apart from the leader.
pub(in crate::node) const PREFIX: &str = "apart/";
const ASK_EVERY: Duration = Duration::from_millis(2000);
const MOST: u32 = 100;
/// After the first reports, until they have come by way of other nodes as well.
const SETTLES: Duration = Duration::from_millis(1000);

impl Leader {
    /// While some node isn't heard, what it says is looked up.
    pub(super) fn read_isolation_reports(&mut self, context: &mut StepContext) {
        if context.now < self.next_isolation_read
            || context.peers.live(context.now).len() >= context.peers.names().len()
        {
            return;
        }
        self.next_isolation_read = context.now + ASK_EVERY;
        let request = StoreRequest::Range { prefix: PREFIX, after: None, most: MOST };
        context.out.request_store(request, Pending::Leader(self.fencing_token, LeaderRequest::Apart));
    }

    pub(super) fn isolation_reports_read(&mut self, context: &mut StepContext, reply: StoreReply) {
        let StoreReply::Pairs { pairs, .. } = reply else { return };
        for pair in pairs {
            let Some(node) = pair.key.strip_prefix(PREFIX) else { continue };
            // Said before this leader's time, perhaps long before: read as new, a word of a minute ago kept a zone that
            // was cut off altogether for 20 s too long (andina grown, rough).
            if pair.revision.0 <= self.fencing_token.0 {
                continue;
            }
            match serde_json::from_str::<IsolationReport>(&pair.value) {
                Ok(isolation_report) => {
                    self.isolation_reports.learn(node.into(), pair.revision, isolation_report, context.now)
                }
                Err(error) => tracing::error!(key = pair.key, %error, "a node's word can't be read"),
            }
        }
    }

    /// Whether a node that is apart hears so many more workers that it should lead: this one would place work on the
    /// smaller side only for as long as the cut lasts.
    pub(super) fn is_outnumbered(&self, now: MonotonicTime) -> bool {
        let interval = Duration::from_secs_f64(self.settings.workers.report_s).times(1.25);
        // A new leader has not heard its own side yet: compared too early each resigned to the next, all stood aside, and
        // nobody led for 14 s (parted days, seed 928).
        if now.since(self.since) < interval + SETTLES {
            return false;
        }
        let heard =
            |m: &&Machine| m.has_been_heard() && m.last_heartbeat.is_some_and(|at| now.since(at) <= interval);
        self.isolation_reports.is_outnumbered(
            || self.machines.values().filter(heard).count() as u32,
            self.fencing_token,
            now,
        )
    }
}

#[cfg(test)]
mod golden;
