//! Commits: what the journal holds goes out in transactions, one at a time.

use super::*;

/// What a transaction is taken for before it is known how many changes it has.
const USUAL_CHANGES: f64 = 4.0;
const CORRECT_AGAIN: Duration = Duration::from_millis(200);

impl Master {
    /// Sends the next transaction, if the last is over and the budget has room.
    pub(super) fn commit(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        if self.correcting > 0 || now < self.commit_not_before || !self.commit_pipeline.is_idle() {
            return;
        }
        let most = self.settings.state.txn_ops as f64;
        let ample = self.writes.ample(now);
        if self.commit_pipeline.wants(ample)
            && self.writes.take(most.min(USUAL_CHANGES), now)
            && let Some(batch) = self.commit_pipeline.next_batch(ample)
        {
            self.writes.settle(batch.changes.len() as f64 - USUAL_CHANGES);
            let request = StateRequest::Commit { conditions: batch.conditions, changes: batch.changes };
            ctx.out.ask_state(request, Pending::Leader(self.fencing_token, LeaderRequest::Commit));
        }
    }

    pub(super) fn committed(&mut self, ctx: &mut Ctx, reply: StateReply) -> Option<Leave> {
        let now = ctx.now;
        let pause = Duration::from_millis(ctx.rng.random_range(80..250));
        match reply {
            StateReply::Committed { store_revision } => {
                let settled = self.commit_pipeline.committed(store_revision);
                for (key, version) in settled.keys {
                    if let Some(id) = self.settle(&key, version, now) {
                        ctx.mirror.learn(id, Revision(store_revision), Record::Done);
                    } else if let Some(id) = key.strip_prefix(jobs::PREFIX).map(JobId::from)
                        && ctx.mirror.graph().doomed(&id)
                    {
                        ctx.mirror.learn(id, Revision(store_revision), Record::Withdrawn);
                    }
                }
            }
            StateReply::Conflict { failed } => {
                self.commit_pipeline.failed();
                self.commit_not_before = now + pause;
                if failed.iter().any(|k| k == election::LEADER_KEY) {
                    return Some(Leave::Lost("the leader key has changed"));
                }
                self.correcting = failed.len();
                failed.into_iter().for_each(|key| self.ask_for(ctx, key));
            }
            StateReply::Malformed => {
                self.commit_not_before = now + pause;
                if let Some((key, bytes)) = self.commit_pipeline.refused() {
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

    fn ask_for(&self, ctx: &mut Ctx, key: String) {
        let request = StateRequest::Get { key: key.clone() };
        ctx.out.ask_state(request, Pending::Leader(self.fencing_token, LeaderRequest::Correct { key }));
    }

    /// Asks again for keys whose answer did not come.
    pub(super) fn correct_due(&mut self, ctx: &mut Ctx) {
        due(&mut self.recheck, ctx.now).into_iter().for_each(|key| self.ask_for(ctx, key));
    }

    pub(super) fn corrected(&mut self, ctx: &mut Ctx, key: &str, reply: StateReply) {
        self.correcting = self.correcting.saturating_sub(1);
        match reply {
            StateReply::Found(pair) => {
                self.commit_pipeline.corrected(key, pair.revision);
                ctx.mirror.learn_pair(&pair);
                let over = key
                    .strip_prefix(jobs::PREFIX)
                    .and_then(|id| ctx.mirror.get(&id.into()))
                    .is_some_and(|k| !k.record.is_open());
                // Not for a job withdrawn with another: its record still waits to say so.
                let unreadable =
                    key.strip_prefix(jobs::PREFIX).is_some_and(|id| ctx.mirror.is_unreadable(&id.into()));
                if over || unreadable {
                    self.commit_pipeline.give_up(key);
                }
            }
            StateReply::Missing { .. } => self.commit_pipeline.corrected(key, Revision(0)),
            _ => {
                self.correcting += 1;
                self.recheck.push((ctx.now + CORRECT_AGAIN, key.to_string()));
            }
        }
    }
}
