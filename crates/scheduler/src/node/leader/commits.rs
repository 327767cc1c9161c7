//! Commits of the leader's records to the key-value store: one transaction at a time, within the write
//! budget.

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

/// Changes that the write budget is charged for before the size of the transaction is known; the charge
/// is corrected afterwards.
const ESTIMATED_CHANGES: f64 = 4.0;
/// How long after a failed read of a record the read is retried.
const REREAD_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Bounds of the random delay before a failed transaction is retried, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 80..250;

/// A finished task whose assignment is removed once the task's result is durable.
#[derive(Debug)]
pub(super) struct PendingOutcome {
    /// The version of the key's value that contains the result.
    pub version: WriteVersion,
    /// The machine on which the task finished.
    pub machine: MachineId,
    /// The task.
    pub task: TaskId,
}

/// Queued records, the transaction in flight, and finished tasks that wait for a result to be durable.
#[derive(Debug)]
pub(super) struct CommitState {
    pipeline: CommitPipeline,
    budget: TokenBucket,
    /// Machines whose record must be written again.
    changed_machines: BTreeSet<MachineId>,
    /// Finished tasks, by the key under which their result is stored.
    pending_outcomes: BTreeMap<String, Vec<PendingOutcome>>,
    /// Number of records that have to be read again after a conflict. No transaction is sent until all reads
    /// have succeeded.
    open_rereads: usize,
    delayed_rereads: Vec<Delayed<String>>,
    /// No transaction is sent before this time.
    next_commit_at: MonotonicTime,
}

impl CommitState {
    /// Creates a state without queued records. Every transaction is conditional on the leader key's revision
    /// being `fencing_token`.
    pub fn new(fencing_token: FencingToken, settings: &Settings, now: MonotonicTime) -> Self {
        // Users rarely use their whole share, so the leader's budget includes half of it. Writes above the
        // store's limit are refused by the store and retried.
        let own_share = 1.0 - settings.operator.user_write_share / 2.0;
        Self {
            pipeline: CommitPipeline::new(election::LEADER_KEY, fencing_token, settings.state.txn_ops),
            budget: TokenBucket::new(settings.state.write_rps * own_share),
            changed_machines: BTreeSet::new(),
            pending_outcomes: BTreeMap::new(),
            open_rereads: 0,
            delayed_rereads: Vec::new(),
            next_commit_at: now,
        }
    }

    /// Marks the machine's record to be written again.
    pub fn mark_changed(&mut self, machine: MachineId) {
        self.changed_machines.insert(machine);
    }

    /// Removes the mark of [`CommitState::mark_changed`].
    pub fn unmark_changed(&mut self, machine: &MachineId) {
        self.changed_machines.remove(machine);
    }

    /// Takes the machines whose records must be written again.
    pub fn take_changed(&mut self) -> BTreeSet<MachineId> {
        std::mem::take(&mut self.changed_machines)
    }

    /// Queues a key's new value; `None` deletes the key. Returns the version of the value.
    pub fn put(&mut self, key: &str, value: Option<String>, priority: CommitPriority) -> WriteVersion {
        self.pipeline.put(key, value, priority)
    }

    /// Sets the revision at which a key is stored.
    pub fn set_stored_revision(&mut self, key: &str, revision: Revision) {
        self.pipeline.record_revision(key, revision);
    }

    /// Discards a key's queued value and its known revision.
    pub fn discard(&mut self, key: &str) {
        self.pipeline.forget(key);
    }

    /// Whether the key is stored or a change of it is queued.
    pub fn is_stored_or_queued(&self, key: &str) -> bool {
        self.pipeline.contains_key(key)
    }

    /// Whether the key is stored, as far as this leader knows.
    pub fn is_stored(&self, key: &str) -> bool {
        self.pipeline.revision(key) > Revision(0)
    }

    /// Number of queued changes, for the metrics.
    pub fn backlog(&self) -> usize {
        self.pipeline.backlog()
    }

    /// Number of queued changes that task starts or terminal statuses wait for.
    pub fn urgent_backlog(&self) -> usize {
        self.pipeline.urgent_backlog()
    }

    /// Whether task starts or a terminal status wait for a queued change of the key.
    pub fn is_urgent(&self, key: &str) -> bool {
        self.pipeline.is_urgent(key)
    }

    /// Changes that this leader may write per second.
    pub fn writes_per_s(&self) -> f64 {
        self.budget.rate()
    }

    /// Takes `changes` from the write budget. Returns false, and takes nothing, if the budget does not cover
    /// them.
    pub fn take_writes(&mut self, changes: usize, now: MonotonicTime) -> bool {
        self.budget.take(changes as f64, now)
    }

    /// Like [`CommitState::take_writes`], but takes nothing unless more than half of the budget is left, so
    /// that more urgent changes can be written.
    pub fn take_spare_writes(&mut self, changes: usize, now: MonotonicTime) -> bool {
        self.budget.is_ample(now) && self.take_writes(changes, now)
    }

    /// Keeps a finished task until its result under `key` is durable.
    pub fn add_pending_outcome(&mut self, key: String, outcome: PendingOutcome) {
        self.pending_outcomes.entry(key).or_default().push(outcome);
    }

    /// Drops the finished tasks that wait for `key`.
    pub fn drop_outcomes(&mut self, key: &str) {
        self.pending_outcomes.remove(key);
    }

    /// Takes the finished tasks whose result is durable now that `version` of `key` is.
    pub fn take_durable_outcomes(&mut self, key: &str, version: WriteVersion) -> Vec<PendingOutcome> {
        let Some(outcomes) = self.pending_outcomes.get_mut(key) else { return Vec::new() };
        let (durable, pending): (Vec<_>, Vec<_>) =
            std::mem::take(outcomes).into_iter().partition(|outcome| outcome.version <= version);
        if pending.is_empty() {
            self.pending_outcomes.remove(key);
        } else {
            *outcomes = pending;
        }
        durable
    }

    /// The next transaction, if none is in flight and the write budget allows it.
    fn next_transaction(&mut self, max_changes: usize, now: MonotonicTime) -> Option<StoreRequest> {
        if self.open_rereads > 0 || now < self.next_commit_at || !self.pipeline.is_idle() {
            return None;
        }
        let ample = self.budget.is_ample(now);
        let charge = (max_changes as f64).min(ESTIMATED_CHANGES);
        if !self.pipeline.has_batch(ample) || !self.budget.take(charge, now) {
            return None;
        }
        let batch = self.pipeline.next_batch(ample)?;
        self.budget.adjust(batch.changes.len() as f64 - ESTIMATED_CHANGES);
        Some(StoreRequest::Commit { conditions: batch.conditions, changes: batch.changes })
    }

    /// Queues the changes of the failed transaction again; nothing is sent before `retry_at`.
    fn transaction_failed(&mut self, retry_at: MonotonicTime) {
        self.pipeline.failed();
        self.next_commit_at = retry_at;
    }

    #[cfg(test)]
    pub fn limit_writes(&mut self, per_s: f64) {
        self.budget = TokenBucket::new(per_s);
    }
}

impl Leader {
    /// Sends the next transaction, if none is in flight and the write budget allows it.
    pub(super) fn commit(&mut self, context: &mut StepContext) {
        if let Some(request) = self.commits.next_transaction(self.settings.state.txn_ops, context.now) {
            context.outbox.request_store(request, Pending::Leader(self.fencing_token, LeaderRequest::Commit));
        }
    }

    /// Processes the store's reply to the transaction in flight.
    pub(super) fn commit_reply(
        &mut self,
        context: &mut StepContext,
        reply: StoreReply,
    ) -> Option<LeadershipEnd> {
        let now = context.now;
        let retry_at = now + Duration::from_millis(context.rng.random_range(RETRY_DELAY_MS));
        match reply {
            StoreReply::Committed { store_revision } => {
                self.committed(context.job_cache, store_revision, now);
            }
            StoreReply::Conflict { failed } => {
                self.commits.transaction_failed(retry_at);
                if failed.iter().any(|key| key == election::LEADER_KEY) {
                    return Some(LeadershipEnd::Lost(LeadershipLost::LeaderKeyChanged));
                }
                self.commits.open_rereads = failed.len();
                failed.into_iter().for_each(|key| self.reread(context, key));
            }
            StoreReply::Malformed => {
                self.commits.next_commit_at = retry_at;
                if let Some(RefusedWrite { key, bytes }) = self.commits.pipeline.refused() {
                    tracing::error!(
                        key,
                        bytes,
                        "the key-value store refuses this value; keeping the stored one. Check that value_kb \
                         is not above the store's limit"
                    );
                    self.record_refused(&key, now);
                }
            }
            _ => self.commits.transaction_failed(retry_at),
        }
        None
    }

    fn committed(&mut self, job_cache: &mut JobCache, store_revision: u64, now: MonotonicTime) {
        for CommittedWrite { key, version } in self.commits.pipeline.committed(store_revision) {
            if let Some(id) = self.write_durable(&key, version, now) {
                job_cache.learn(id, Revision(store_revision), Record::Done);
            } else if let Some(id) = key.strip_prefix(jobs::PREFIX).map(JobId::from)
                && job_cache.graph().is_cancelled(&id)
            {
                job_cache.learn(id, Revision(store_revision), Record::Cancelled);
            }
        }
    }

    /// Reads a record again whose revision differed from the expected one.
    fn reread(&self, context: &mut StepContext, key: String) {
        let request = StoreRequest::Get { key: key.clone() };
        let pending = Pending::Leader(self.fencing_token, LeaderRequest::RereadRecord { key });
        context.outbox.request_store(request, pending);
    }

    /// Retries failed reads of records that are due.
    pub(super) fn retry_rereads(&mut self, context: &mut StepContext) {
        for key in take_due(&mut self.commits.delayed_rereads, context.now) {
            self.reread(context, key);
        }
    }

    /// Processes the reply to a read after a conflict. The next transaction uses the revision that was read.
    pub(super) fn reread_reply(&mut self, context: &mut StepContext, key: &str, reply: StoreReply) {
        self.commits.open_rereads = self.commits.open_rereads.saturating_sub(1);
        match reply {
            StoreReply::Found(pair) => {
                self.commits.pipeline.correct_revision(key, pair.revision);
                context.job_cache.learn_pair(&pair);
                if is_final_or_unreadable_job(context.job_cache, key) {
                    self.commits.discard(key);
                }
            }
            StoreReply::Missing { .. } => self.commits.pipeline.correct_revision(key, Revision(0)),
            _ => {
                self.commits.open_rereads += 1;
                let due_at = context.now + REREAD_RETRY_DELAY;
                self.commits.delayed_rereads.push(Delayed { due_at, item: key.to_string() });
            }
        }
    }
}

/// Whether the key holds the record of a job that is final or can't be read, and so must not be overwritten.
/// False for a job that was cancelled because a job that it needs was, and whose own record is still open:
/// that record must be updated.
fn is_final_or_unreadable_job(job_cache: &JobCache, key: &str) -> bool {
    let Some(id) = key.strip_prefix(jobs::PREFIX).map(JobId::from) else { return false };
    let finished = job_cache.get(&id).is_some_and(|known| !known.record.is_open());
    finished || job_cache.is_unreadable(&id)
}
