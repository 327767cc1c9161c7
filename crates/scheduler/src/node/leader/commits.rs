//! Commits: what the journal holds goes out in transactions, one at a time.

use super::*;

/// What a transaction is taken for before it is known how many changes it has.
const USUAL_CHANGES: f64 = 4.0;
const CORRECT_AGAIN: Duration = Duration::from_millis(200);

impl Leader {
    /// Sends the next transaction, if the last is over and the budget has room.
    pub(super) fn commit(&mut self, context: &mut StepContext) {
        let now = context.now;
        if self.rewrites_pending > 0 || now < self.commit_not_before || !self.commit_pipeline.is_idle() {
            return;
        }
        let most = self.settings.state.txn_ops as f64;
        let ample = self.writes.ample(now);
        if self.commit_pipeline.has_batch(ample)
            && self.writes.take(most.min(USUAL_CHANGES), now)
            && let Some(batch) = self.commit_pipeline.next_batch(ample)
        {
            self.writes.settle(batch.changes.len() as f64 - USUAL_CHANGES);
            let request = StoreRequest::Commit { conditions: batch.conditions, changes: batch.changes };
            context.out.request_store(request, Pending::Leader(self.fencing_token, LeaderRequest::Commit));
        }
    }

    pub(super) fn committed(
        &mut self,
        context: &mut StepContext,
        reply: StoreReply,
    ) -> Option<LeadershipEnd> {
        let now = context.now;
        let pause = Duration::from_millis(context.rng.random_range(80..250));
        match reply {
            StoreReply::Committed { store_revision } => {
                for CommittedWrite { key, version } in self.commit_pipeline.committed(store_revision) {
                    if let Some(id) = self.settle(&key, version, now) {
                        context.job_cache.learn(id, Revision(store_revision), Record::Done);
                    } else if let Some(id) = key.strip_prefix(jobs::PREFIX).map(JobId::from)
                        && context.job_cache.graph().doomed(&id)
                    {
                        context.job_cache.learn(id, Revision(store_revision), Record::Cancelled);
                    }
                }
            }
            StoreReply::Conflict { failed } => {
                self.commit_pipeline.failed();
                self.commit_not_before = now + pause;
                if failed.iter().any(|k| k == election::LEADER_KEY) {
                    return Some(LeadershipEnd::Lost("the leader key has changed"));
                }
                self.rewrites_pending = failed.len();
                failed.into_iter().for_each(|key| self.read_key(context, key));
            }
            StoreReply::Malformed => {
                self.commit_not_before = now + pause;
                if let Some(RefusedWrite { key, bytes }) = self.commit_pipeline.refused() {
                    tracing::error!(key, bytes, "the state service refuses this value; left as it is stored");
                    self.unwritable(&key, now);
                }
            }
            _ => {
                self.commit_pipeline.failed();
                self.commit_not_before = now + pause;
            }
        }
        None
    }

    fn read_key(&self, context: &mut StepContext, key: String) {
        let request = StoreRequest::Get { key: key.clone() };
        context
            .out
            .request_store(request, Pending::Leader(self.fencing_token, LeaderRequest::Correct { key }));
    }

    /// Asks again for keys whose answer did not come.
    pub(super) fn correct_due(&mut self, context: &mut StepContext) {
        due(&mut self.recheck, context.now).into_iter().for_each(|key| self.read_key(context, key));
    }

    pub(super) fn corrected(&mut self, context: &mut StepContext, key: &str, reply: StoreReply) {
        self.rewrites_pending = self.rewrites_pending.saturating_sub(1);
        match reply {
            StoreReply::Found(pair) => {
                self.commit_pipeline.corrected(key, pair.revision);
                context.job_cache.learn_pair(&pair);
                let over = key
                    .strip_prefix(jobs::PREFIX)
                    .and_then(|id| context.job_cache.get(&id.into()))
                    .is_some_and(|k| !k.record.is_open());
                // Not for a job withdrawn with another: its record still waits to say so.
                let unreadable = key
                    .strip_prefix(jobs::PREFIX)
                    .is_some_and(|id| context.job_cache.is_unreadable(&id.into()));
                if over || unreadable {
                    self.commit_pipeline.give_up(key);
                }
            }
            StoreReply::Missing { .. } => self.commit_pipeline.corrected(key, Revision(0)),
            _ => {
                self.rewrites_pending += 1;
                self.recheck.push((context.now + CORRECT_AGAIN, key.to_string()));
            }
        }
    }
}
