//! Runs the extensions: passes inputs to them and executes the actions that they return.

use super::{Controller, read_interval};
use crate::assignments;
use crate::election;
use crate::extension::{
    Action, Call, Extension, Input, MachinePage, Machines, Outcome, RecordedMachine, Records, View,
    WriteBudget,
};
use crate::jobs;
use crate::node::Effect;
use crate::node::outbox::{Pending, Read, WatchedPrefix};
use crate::node::prefix_watcher::{PrefixWatcher, ReadOutcome};
use crate::rate_limit::TokenBucket;
use crate::types::{Duration, JobId, MachineId, MonotonicTime, RequestId, Revision};
use crate::wire::state::{Change, Pair, StoreReply, StoreRequest};
use http::StatusCode;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Timeout of a read that an extension has requested.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum rate of each extension's reads of machine records, per second: a read may return half a megabyte.
const MACHINE_READS_PER_S: f64 = 2.0;

/// An extension, and the state that the controller keeps for it.
pub(super) struct ExtensionSlot {
    /// `None` while the extension runs a step.
    extension: Option<Box<dyn Extension>>,
    /// This node's copy of the extension's records.
    records: Records,
    /// Keeps `records` up to date.
    watcher: PrefixWatcher,
    /// Reads that the extension waits for.
    reads: Vec<PendingRead>,
    machine_reads: TokenBucket,
    /// Separate from the core's, so that the core's random numbers are the same with and without the
    /// extension.
    rng: StdRng,
}

/// A read that an extension waits for, and the numbers of reads started when it was requested.
struct PendingRead {
    tag: u64,
    requested_at: MonotonicTime,
    /// Reads of the extension's records started by then.
    own_reads_started: u64,
    /// Reads of the job records started by then.
    job_reads_started: u64,
}

/// A read that has completed.
struct FinishedRead {
    tag: u64,
    fresh: bool,
}

impl Controller {
    /// Adds an extension. Its slot is the number of extensions added before it.
    pub fn with_extension(mut self, extension: Box<dyn Extension>) -> Self {
        let slot = self.extensions.len();
        let watched = WatchedPrefix::Extension(slot);
        self.extensions.push(ExtensionSlot {
            watcher: PrefixWatcher::new(watched, extension.prefix(), read_interval(&self.settings)),
            extension: Some(extension),
            records: Records::default(),
            reads: Vec::new(),
            machine_reads: TokenBucket::new(MACHINE_READS_PER_S),
            rng: StdRng::seed_from_u64(slot as u64),
        });
        self
    }

    /// Passes a client's request to the extension in `slot`.
    pub(super) fn extension_call(&mut self, slot: usize, request: RequestId, call: Call) {
        if slot >= self.extensions.len() {
            return self.outbox.refuse(request, StatusCode::NOT_FOUND, "no such path");
        }
        self.run_extension(slot, Input::Call { request, call });
    }

    pub(super) fn tick_extensions(&mut self) {
        let now = self.now;
        for slot in 0..self.extensions.len() {
            let reads = &mut self.extensions[slot].reads;
            let overdue = reads.extract_if(.., |read| now.since(read.requested_at) >= READ_TIMEOUT);
            let tags: Vec<u64> = overdue.map(|read| read.tag).collect();
            for tag in tags {
                self.run_extension(slot, Input::Read { tag, fresh: false });
            }
            self.run_extension(slot, Input::Tick);
        }
    }

    pub(super) fn announce_jobs_to_extensions(&mut self, changed: &[JobId]) {
        for slot in 0..self.extensions.len() {
            self.run_extension(slot, Input::Jobs(changed));
        }
    }

    /// Whether an extension waits for a read of the job records. It waits for one of its own records as well;
    /// either read may complete first.
    pub(super) fn extensions_want_read(&self) -> bool {
        let mut reads = self.extensions.iter().flat_map(|slot| &slot.reads);
        reads.any(|read| self.job_watcher.outcome_since(read.job_reads_started).is_none())
    }

    /// Reads the extensions' records as needed, and passes changed records and completed reads to the
    /// extensions.
    pub(super) fn update_extensions(&mut self) {
        for slot_number in 0..self.extensions.len() {
            let slot = &mut self.extensions[slot_number];
            let wanted =
                slot.reads.iter().any(|read| slot.watcher.outcome_since(read.own_reads_started).is_none());
            slot.watcher.send_due_reads(self.now, slot.records.store_revision(), wanted, &mut self.outbox);
            let changed = slot.records.take_changed();
            if !changed.is_empty() {
                self.run_extension(slot_number, Input::Records(&changed));
            }
            for FinishedRead { tag, fresh } in self.take_finished_reads(slot_number) {
                self.run_extension(slot_number, Input::Read { tag, fresh });
            }
        }
    }

    /// Removes and returns the completed reads, of which both parts have succeeded or one has failed.
    fn take_finished_reads(&mut self, slot: usize) -> Vec<FinishedRead> {
        let slot = &mut self.extensions[slot];
        let job_watcher = &self.job_watcher;
        let mut finished = Vec::new();
        slot.reads.retain(|read| {
            let own = slot.watcher.outcome_since(read.own_reads_started);
            let jobs = job_watcher.outcome_since(read.job_reads_started);
            let fresh = match (own, jobs) {
                (Some(ReadOutcome::Succeeded), Some(ReadOutcome::Succeeded)) => true,
                (Some(ReadOutcome::Failed), _) | (_, Some(ReadOutcome::Failed)) => false,
                _ => return true,
            };
            finished.push(FinishedRead { tag: read.tag, fresh });
            false
        });
        finished
    }

    /// Processes the store's reply to a read of an extension's records.
    pub(super) fn extension_records_reply(&mut self, slot: usize, read: Read, reply: StoreReply) {
        let Some(slot) = self.extensions.get_mut(slot) else { return };
        slot.watcher.reply(self.now, read, reply, &mut slot.records, &mut slot.rng, &mut self.outbox);
    }

    /// Processes the store's reply to an extension's commit.
    pub(super) fn extension_commit_reply(
        &mut self,
        slot: usize,
        tag: u64,
        changes: Vec<Change>,
        reply: StoreReply,
    ) {
        let outcome = match reply {
            StoreReply::Committed { store_revision } => {
                // Updates the local copies immediately, before the watch returns the change.
                for change in &changes {
                    self.apply_change(slot, store_revision, change);
                }
                Outcome::Done { store_revision }
            }
            StoreReply::Conflict { failed } => Outcome::Conflict(failed),
            StoreReply::Malformed => Outcome::Malformed,
            _ => Outcome::Unknown,
        };
        self.run_extension(slot, Input::Committed { tag, outcome });
    }

    fn apply_change(&mut self, slot: usize, store_revision: u64, change: &Change) {
        let revision = Revision(store_revision);
        match change {
            Change::Put { key, value, .. } => match key.strip_prefix(jobs::PREFIX) {
                Some(id) => match serde_json::from_str(value) {
                    Ok(record) => self.job_cache.learn(JobId::from(id), revision, record),
                    Err(error) => {
                        tracing::error!(key, %error, "committed job record can't be read; skipping it");
                    }
                },
                None => self.extensions[slot].records.learn(key, revision, value),
            },
            Change::Delete { key } => self.extensions[slot].records.learn_removed(key, revision),
        }
    }

    /// Passes an input to an extension and executes the returned actions.
    fn run_extension(&mut self, slot: usize, input: Input<'_>) {
        let actions = self.step_extension(slot, input);
        for action in actions {
            self.execute(slot, action);
        }
    }

    fn step_extension(&mut self, slot: usize, input: Input<'_>) -> Vec<Action> {
        let Some(mut extension) = self.extensions[slot].extension.take() else { return Vec::new() };
        let fencing_token = self.election.has_valid_lease(self.now).then(|| self.election.fencing_token());
        let leader = self.leader.as_ref();
        let view = View {
            now: self.now,
            wall_time: self.wall_time,
            node: &self.settings.node,
            settings: &self.settings,
            jobs: &self.job_cache,
            records: &self.extensions[slot].records,
            leadership: fencing_token.filter(|_| leader.is_some()),
            admission: self.admission(),
            task_counts: &|id| self.counts_of(id),
            waiting: &|id| leader.and_then(|leader| leader.waiting_task_count(id)),
            remaining_quota: &|team| leader.and_then(|leader| leader.remaining_quota(team)),
        };
        let actions = extension.step(&view, input);
        self.extensions[slot].extension = Some(extension);
        actions
    }

    fn execute(&mut self, slot: usize, action: Action) {
        match action {
            Action::Answer { request, status, retry_after_s, headers, body } => {
                self.outbox.push(Effect::Answer { request, status, retry_after_s, headers, body });
            }
            Action::Read { tag } => {
                let own_reads_started = self.extensions[slot].watcher.reads_started();
                let job_reads_started = self.job_watcher.reads_started();
                let read = PendingRead { tag, requested_at: self.now, own_reads_started, job_reads_started };
                self.extensions[slot].reads.push(read);
            }
            Action::Machines { tag, which } => self.read_machines(slot, tag, which),
            Action::Commit { tag, budget, conditions, changes } => {
                self.commit_for_extension(slot, tag, budget, conditions, changes);
            }
        }
    }

    fn read_machines(&mut self, slot: usize, tag: u64, which: Machines) {
        if !self.extensions[slot].machine_reads.take(1.0, self.now) {
            return self.run_extension(slot, Input::Machines { tag, found: Err(Outcome::NoBudget) });
        }
        let request = match which {
            Machines::One(id) => StoreRequest::Get { key: assignments::key(&id) },
            Machines::Page { after, limit } => StoreRequest::Range {
                prefix: assignments::PREFIX,
                after: after.map(|id| assignments::key(&id)),
                limit,
            },
        };
        self.outbox.request_store(request, Pending::ExtensionMachines { slot, tag });
    }

    /// Processes the store's reply to an extension's read of machines.
    pub(super) fn extension_machines_reply(&mut self, slot: usize, tag: u64, reply: StoreReply) {
        let found = match reply {
            StoreReply::Found(pair) => {
                Ok(MachinePage { machines: recorded_machine(&pair).into_iter().collect(), more: false })
            }
            StoreReply::Missing { .. } => Ok(MachinePage::default()),
            StoreReply::Pairs { pairs, more, .. } => {
                Ok(MachinePage { machines: pairs.iter().filter_map(recorded_machine).collect(), more })
            }
            _ => Err(Outcome::Unknown),
        };
        self.run_extension(slot, Input::Machines { tag, found });
    }

    fn commit_for_extension(
        &mut self,
        slot: usize,
        tag: u64,
        budget: WriteBudget,
        mut conditions: Vec<(String, Revision)>,
        changes: Vec<Change>,
    ) {
        let now = self.now;
        let within_budget = match budget {
            WriteBudget::Users => self.user_writes.take(changes.len() as f64, now),
            WriteBudget::Maintenance => {
                conditions.push((election::LEADER_KEY.into(), Revision(self.election.fencing_token().0)));
                self.election.has_valid_lease(now)
                    && self.leader.as_mut().is_some_and(|leader| leader.take_spare_writes(changes.len(), now))
            }
        };
        if !within_budget {
            return self.run_extension(slot, Input::Committed { tag, outcome: Outcome::NoBudget });
        }
        let request = StoreRequest::Commit { conditions, changes: changes.clone() };
        self.outbox.request_store(request, Pending::ExtensionCommit { slot, tag, changes });
    }

    pub(super) fn extension_metrics(&self, lines: &mut Vec<String>) {
        for extension in self.extensions.iter().filter_map(|slot| slot.extension.as_ref()) {
            extension.metrics(lines);
        }
    }
}

/// The machine of an assignment record; `None`, with an error in the log, if the record can't be read.
fn recorded_machine(pair: &Pair) -> Option<RecordedMachine> {
    match serde_json::from_str(&pair.value) {
        Ok(record) => {
            let id = MachineId::from(pair.key.strip_prefix(assignments::PREFIX)?);
            Some(RecordedMachine { id, record })
        }
        Err(error) => {
            tracing::error!(key = pair.key, %error, "machine record can't be read; skipping it");
            None
        }
    }
}
