//! Commits: changes of records go out in transactions, one at a time, within the write budget.

use super::{Delayed, Leader, LeadershipEnd, LeadershipLost, StepContext, take_due};
use crate::assignments::{CommitPipeline, CommitPriority, CommittedWrite, RefusedWrite, WriteVersion};
use crate::election;
use crate::jobs::{self, JobCache, Record};
use crate::node::outbox::{LeaderRequest, Pending};
use crate::rate_limit::TokenBucket;
use crate::settings::Settings;
use crate::types::{Duration, FencingToken, JobId, MachineId, MonotonicTime, Revision, TaskId};
use crate::wire::state::{StoreReply, StoreRequest};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};

/// Changes that a transaction is charged for before it is known how many it has.
const USUAL_CHANGES: f64 = 4.0;
/// How long after a failed read of a record it is read again.
const REREAD_PAUSE: Duration = Duration::from_millis(200);
/// Bounds of the pause after a failed transaction, in milliseconds.
const FAILURE_PAUSE_MS: std::ops::Range<u64> = 80..250;

/// A finished task's assignment, which goes once the task's result is durable.
#[derive(Debug)]
pub(super) struct PendingOutcome {
    /// The version of the key that holds the result.
    pub version: WriteVersion,
    /// Where the task finished.
    pub machine: MachineId,
    /// The task.
    pub task: TaskId,
}

/// Records to write, the transaction under way, and what waits for it to be durable.
#[derive(Debug)]
pub(super) struct CommitState {
    pipeline: CommitPipeline,
    budget: TokenBucket,
    /// Machines whose record is to be written anew.
    changed_machines: BTreeSet<MachineId>,
    /// Finished tasks by the key that holds their result.
    pending_outcomes: BTreeMap<String, Vec<PendingOutcome>>,
    /// Reads of records under way after a conflict; no commit is sent meanwhile.
    rereads_open: usize,
    rereads_delayed: Vec<Delayed<String>>,
    not_before: MonotonicTime,
}

impl CommitState {
    /// Nothing to write yet. Transactions hold the condition that the leader key has `fencing_token`.
    pub fn new(fencing_token: FencingToken, settings: &Settings, now: MonotonicTime) -> Self {
        // Users seldom use their share, so the two overlap a little; what exceeds the limit is
        // refused by the store and comes again.
        let own_share = 1.0 - settings.operator.user_write_share / 2.0;
        Self {
            pipeline: CommitPipeline::new(election::LEADER_KEY, fencing_token, settings.state.txn_ops),
            budget: TokenBucket::new(settings.state.write_rps * own_share),
            changed_machines: BTreeSet::new(),
            pending_outcomes: BTreeMap::new(),
            rereads_open: 0,
            rereads_delayed: Vec::new(),
            not_before: now,
        }
    }

    /// Notes that the machine's record is to be written anew.
    pub fn mark_changed(&mut self, machine: MachineId) {
        self.changed_machines.insert(machine);
    }

    /// Drops the note that the machine's record is to be written anew.
    pub fn unmark_changed(&mut self, machine: &MachineId) {
        self.changed_machines.remove(machine);
    }

    /// Takes the machines whose records are to be written anew.
    pub fn take_changed(&mut self) -> BTreeSet<MachineId> {
        std::mem::take(&mut self.changed_machines)
    }

    /// Queues a key's new value (`None` deletes it); gives the version that is durable with it.
    pub fn put(&mut self, key: &str, value: Option<String>, priority: CommitPriority) -> WriteVersion {
        self.pipeline.put(key, value, priority)
    }

    /// Learns a key's stored revision.
    pub fn loaded(&mut self, key: &str, revision: Revision) {
        self.pipeline.loaded(key, revision);
    }

    /// Drops a key's queued value.
    pub fn give_up(&mut self, key: &str) {
        self.pipeline.give_up(key);
    }

    /// Whether the key is stored, or a value of it is queued.
    pub fn is_stored_or_queued(&self, key: &str) -> bool {
        self.pipeline.holds(key)
    }

    /// Whether the key is stored as far as this leader knows.
    pub fn is_stored(&self, key: &str) -> bool {
        self.pipeline.revision(key) > Revision(0)
    }

    /// Queued changes, for operators.
    pub fn backlog(&self) -> usize {
        self.pipeline.backlog()
    }

    /// Queued changes that tasks wait for.
    pub fn urgent_backlog(&self) -> usize {
        self.pipeline.urgent_backlog()
    }

    /// Whether tasks wait for a queued change of the key.
    pub fn is_urgent(&self, key: &str) -> bool {
        self.pipeline.is_urgent(key)
    }

    /// Changes that this leader may write in a second.
    pub fn writes_per_s(&self) -> f64 {
        self.budget.rate()
    }

    /// Takes `changes` from the write budget; false: there were not as many.
    pub fn take_writes(&mut self, changes: usize, now: MonotonicTime) -> bool {
        self.budget.take(changes as f64, now)
    }

    /// As [`CommitState::take_writes`], and nothing while more urgent changes may need the budget.
    pub fn take_spare_writes(&mut self, changes: usize, now: MonotonicTime) -> bool {
        self.budget.ample(now) && self.take_writes(changes, now)
    }

    /// Keeps a finished task's assignment until `key` is durable.
    pub fn await_outcome(&mut self, key: String, outcome: PendingOutcome) {
        self.pending_outcomes.entry(key).or_default().push(outcome);
    }

    /// Forgets the finished tasks that wait for `key`.
    pub fn forget_outcomes(&mut self, key: &str) {
        self.pending_outcomes.remove(key);
    }

    /// Takes the finished tasks whose result is durable with `version` of `key`.
    pub fn take_settled(&mut self, key: &str, version: WriteVersion) -> Vec<PendingOutcome> {
        let Some(outcomes) = self.pending_outcomes.get_mut(key) else { return Vec::new() };
        let (settled, later): (Vec<_>, Vec<_>) =
            std::mem::take(outcomes).into_iter().partition(|outcome| outcome.version <= version);
        if later.is_empty() {
            self.pending_outcomes.remove(key);
        } else {
            *outcomes = later;
        }
        settled
    }

    /// The next transaction, if none is under way and the budget allows it.
    fn next_transaction(&mut self, max_changes: usize, now: MonotonicTime) -> Option<StoreRequest> {
        if self.rereads_open > 0 || now < self.not_before || !self.pipeline.is_idle() {
            return None;
        }
        let ample = self.budget.ample(now);
        let charge = (max_changes as f64).min(USUAL_CHANGES);
        if !self.pipeline.has_batch(ample) || !self.budget.take(charge, now) {
            return None;
        }
        let batch = self.pipeline.next_batch(ample)?;
        self.budget.settle(batch.changes.len() as f64 - USUAL_CHANGES);
        Some(StoreRequest::Commit { conditions: batch.conditions, changes: batch.changes })
    }

    /// The transaction failed: it is sent again after a pause.
    fn failed(&mut self, retry_at: MonotonicTime) {
        self.pipeline.failed();
        self.not_before = retry_at;
    }

    #[cfg(test)]
    pub fn limit_writes(&mut self, per_s: f64) {
        self.budget = TokenBucket::new(per_s);
    }
}

impl Leader {
    /// Sends the next transaction, if the last is finished and the write budget allows it.
    pub(super) fn commit(&mut self, context: &mut StepContext) {
        if let Some(request) = self.commits.next_transaction(self.settings.state.txn_ops, context.now) {
            context.outbox.request_store(request, Pending::Leader(self.fencing_token, LeaderRequest::Commit));
        }
    }

    /// The store's reply to the transaction under way.
    pub(super) fn commit_reply(
        &mut self,
        context: &mut StepContext,
        reply: StoreReply,
    ) -> Option<LeadershipEnd> {
        let now = context.now;
        let retry_at = now + Duration::from_millis(context.rng.random_range(FAILURE_PAUSE_MS));
        match reply {
            StoreReply::Committed { store_revision } => {
                self.committed(context.job_cache, store_revision, now);
            }
            StoreReply::Conflict { failed } => {
                self.commits.failed(retry_at);
                if failed.iter().any(|key| key == election::LEADER_KEY) {
                    return Some(LeadershipEnd::Lost(LeadershipLost::LeaderKeyChanged));
                }
                self.commits.rereads_open = failed.len();
                failed.into_iter().for_each(|key| self.reread(context, key));
            }
            StoreReply::Malformed => {
                self.commits.not_before = retry_at;
                if let Some(RefusedWrite { key, bytes }) = self.commits.pipeline.refused() {
                    tracing::error!(
                        key,
                        bytes,
                        "the key-value store refuses this value; left as it is stored"
                    );
                    self.record_refused(&key, now);
                }
            }
            _ => self.commits.failed(retry_at),
        }
        None
    }

    fn committed(&mut self, job_cache: &mut JobCache, store_revision: u64, now: MonotonicTime) {
        for CommittedWrite { key, version } in self.commits.pipeline.committed(store_revision) {
            if let Some(id) = self.settle(&key, version, now) {
                job_cache.learn(id, Revision(store_revision), Record::Done);
            } else if let Some(id) = key.strip_prefix(jobs::PREFIX).map(JobId::from)
                && job_cache.graph().is_cancelled(&id)
            {
                job_cache.learn(id, Revision(store_revision), Record::Cancelled);
            }
        }
    }

    /// Reads a record whose revision was not the expected one.
    fn reread(&self, context: &mut StepContext, key: String) {
        let request = StoreRequest::Get { key: key.clone() };
        let pending = Pending::Leader(self.fencing_token, LeaderRequest::RereadRecord { key });
        context.outbox.request_store(request, pending);
    }

    /// Reads records again whose read had failed.
    pub(super) fn retry_rereads(&mut self, context: &mut StepContext) {
        for key in take_due(&mut self.commits.rereads_delayed, context.now) {
            self.reread(context, key);
        }
    }

    /// The reply to a read after a conflict: the commit goes on with the revision found.
    pub(super) fn reread_reply(&mut self, context: &mut StepContext, key: &str, reply: StoreReply) {
        self.commits.rereads_open = self.commits.rereads_open.saturating_sub(1);
        match reply {
            StoreReply::Found(pair) => {
                self.commits.pipeline.corrected(key, pair.revision);
                context.job_cache.learn_pair(&pair);
                if holds_final_or_unreadable_job(context.job_cache, key) {
                    self.commits.give_up(key);
                }
            }
            StoreReply::Missing { .. } => self.commits.pipeline.corrected(key, Revision(0)),
            _ => {
                self.commits.rereads_open += 1;
                let due_at = context.now + REREAD_PAUSE;
                self.commits.rereads_delayed.push(Delayed { due_at, item: key.to_string() });
            }
        }
    }
}

/// Whether the key is of a job whose record is final or can't be read: then it must not be
/// overwritten. Not so for a job cancelled with another one: its record is yet to say so.
fn holds_final_or_unreadable_job(job_cache: &JobCache, key: &str) -> bool {
    let Some(id) = key.strip_prefix(jobs::PREFIX).map(JobId::from) else { return false };
    let finished = job_cache.get(&id).is_some_and(|known| !known.record.is_open());
    finished || job_cache.is_unreadable(&id)
}
