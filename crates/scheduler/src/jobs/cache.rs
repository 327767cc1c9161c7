//! Every node's copy of all job records, kept up to date from listings, watches and the node's own writes.
//!
//! The prefix watcher updates it, the controller answers users from it, and the leader schedules from it.

use super::graph::Graph;
use super::record::{PREFIX, Phase, Record};
use super::spec::Priority;
use crate::types::{JobId, Revision};
use crate::wire::state::{Event, Pair};
use std::collections::BTreeMap;

/// The newest known record of a job.
#[derive(Debug, Clone)]
pub struct CachedJob {
    /// Revision at which the record was stored.
    pub revision: Revision,
    /// The record.
    pub record: Record,
}

/// This node's copy of all job records, as of `store_revision`.
///
/// A watch from `store_revision` that returns immediately brings the cache up to date in one request. So one
/// read that begins after the requests of any number of waiting users is enough to answer all of them.
#[derive(Debug, Default)]
pub struct JobCache {
    jobs: BTreeMap<JobId, CachedJob>,
    /// All changes up to this revision are in `jobs`; `None` while a full read is needed.
    store_revision: Option<u64>,
    /// Dependencies between jobs, kept consistent with `jobs`.
    graph: Graph,
    /// Jobs whose records changed since the last `take_changed`, or that another job's record affected: they
    /// became ready, were cancelled, or changed priority.
    changed: Vec<JobId>,
    /// Jobs whose record can't be read, with the revision of that record.
    unreadable: BTreeMap<JobId, Revision>,
    /// Ignores records of jobs with dependencies, like a version that doesn't support them.
    #[cfg(any(test, feature = "simulation"))]
    pub(crate) skip_dependent: bool,
}

impl JobCache {
    /// The newest known record of the job.
    pub fn get(&self, id: &JobId) -> Option<&CachedJob> {
        self.jobs.get(id)
    }

    /// The job's final phase, if it has one: that of its record, or cancelled because a dependency is. The
    /// latter is also final, since the record of the cancelled dependency never changes again.
    pub fn terminal_status(&self, id: &JobId) -> Option<Phase> {
        let known = self.jobs.get(id)?;
        known.record.terminal().or_else(|| self.graph.is_cancelled(id).then_some(Phase::Cancelled))
    }

    /// Whether tasks of the job may run: it is open, and all its dependencies are durably done.
    pub fn ready(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|known| known.record.is_open()) && !self.graph.is_blocked(id)
    }

    /// The priority of an open job: its own, or the higher one of a job that depends on it.
    pub fn priority(&self, id: &JobId) -> Priority {
        let job = self.jobs.get(id).and_then(|known| known.record.open());
        let own = job.map_or(Priority::Low, |job| job.spec.priority);
        self.graph.priority(id, own)
    }

    /// Dependencies between jobs.
    pub fn graph(&self) -> &Graph {
        &self.graph
    }

    /// Disables a check, to prove that the simulation's invariants detect its absence.
    #[cfg(any(test, feature = "simulation"))]
    pub(crate) fn disable(&mut self, check: super::graph::DependencyCheck) {
        self.graph.disabled_check = Some(check);
    }

    /// Number of known jobs, open or finished.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is known.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// All known jobs, by id.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &CachedJob)> {
        self.jobs.iter()
    }

    /// The revision of the store up to which all changes are known; `None` while a full read is needed.
    pub fn store_revision(&self) -> Option<u64> {
        self.store_revision
    }

    /// Makes a full read necessary, because some changes may have been missed.
    pub fn forget_store_revision(&mut self) {
        self.store_revision = None;
    }

    /// Records that all changes up to `store_revision` are known. Never moves backwards.
    pub fn reach(&mut self, store_revision: u64) {
        if self.store_revision.is_none_or(|known| known < store_revision) {
            self.store_revision = Some(store_revision);
        }
    }

    /// The jobs that changed, or that another job's change affects, since the last call. May name a job
    /// twice.
    pub fn take_changed(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// Stores a record that was read or written, unless the known record supersedes it.
    pub fn learn(&mut self, id: JobId, revision: Revision, record: Record) {
        if self.unreadable.get(&id).is_some_and(|unreadable| *unreadable < revision) {
            self.unreadable.remove(&id);
        }
        if self.supersedes(&id, revision) {
            return;
        }
        let affected = self.update_graph(&id, &record);
        self.changed.push(id.clone());
        self.changed.extend(affected);
        self.jobs.insert(id, CachedJob { revision, record });
    }

    /// Whether the known record takes precedence over one of `revision`. A terminal record always does: a
    /// delayed reply must not reopen the job.
    fn supersedes(&self, id: &JobId, revision: Revision) -> bool {
        self.jobs.get(id).is_some_and(|known| known.revision >= revision || !known.record.is_open())
    }

    /// Updates the dependency graph with the new record. Returns the jobs that this affects.
    fn update_graph(&mut self, id: &JobId, record: &Record) -> Vec<JobId> {
        match record {
            Record::Open(job) => {
                let jobs = &self.jobs;
                let terminal_status = |id: &JobId| jobs.get(id).and_then(|known| known.record.terminal());
                self.graph.opened(id, &job.spec, terminal_status)
            }
            Record::Done => self.graph.finished(id, Phase::Done),
            Record::Cancelled => self.graph.finished(id, Phase::Cancelled),
        }
    }

    /// Stores the record of a key-value pair, if the key is that of a job record.
    pub fn learn_pair(&mut self, pair: &Pair) {
        let Some(id) = pair.key.strip_prefix(PREFIX) else { return };
        #[cfg(any(test, feature = "simulation"))]
        if self.skip_dependent && pair.value.starts_with("{\"dependent\"") {
            return;
        }
        match serde_json::from_str(&pair.value) {
            Ok(record) if Record::is_valid(&record) => self.learn(id.into(), pair.revision, record),
            Ok(_) => self.mark_unreadable(id.into(), pair, "contains impossible values"),
            Err(error) => self.mark_unreadable(id.into(), pair, &error.to_string()),
        }
    }

    /// Marks a job's record as unreadable until its key holds a readable record again. Until then the job
    /// counts as neither open, finished nor unknown, since any assumption about its content could be wrong.
    fn mark_unreadable(&mut self, id: JobId, pair: &Pair, reason: &str) {
        if self.unreadable.insert(id, pair.revision) != Some(pair.revision) {
            tracing::error!(
                key = pair.key,
                reason,
                "job record can't be read; store a valid record under this key"
            );
        }
    }

    /// Whether the job's record can't be read, and no final phase is known from an earlier one.
    pub fn is_unreadable(&self, id: &JobId) -> bool {
        self.unreadable.contains_key(id) && self.terminal_status(id).is_none()
    }

    /// Number of records that can't be read.
    pub fn unreadable_count(&self) -> usize {
        self.unreadable.len()
    }

    /// Stores the records from a watch's events, which cover all changes up to `store_revision`.
    pub fn learn_events(&mut self, store_revision: u64, events: &[Event]) {
        for event in events {
            if let Event::Put(pair) = event {
                self.learn_pair(pair);
            }
        }
        if self.store_revision.is_some() {
            self.reach(store_revision);
        }
    }
}
