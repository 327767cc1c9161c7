//! Every node's copy of all job records, kept up to date from listings, watches and the node's own writes.
//!
//! The prefix watcher feeds it; the controller answers users from it, and the leader schedules from it.

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
/// A watch from `store_revision` that returns at once brings it up to date in one request, so an answer
/// to any number of waiting users costs one read begun after their requests.
#[derive(Debug, Default)]
pub struct JobCache {
    jobs: BTreeMap<JobId, CachedJob>,
    /// All changes up to this revision are in `jobs`; `None` until the first full read has finished.
    store_revision: Option<u64>,
    /// Dependencies between jobs, kept consistent with `jobs`.
    graph: Graph,
    /// Ids whose records changed since the last `take_changed`, or that are affected by another job's
    /// record: free to run, cancelled, or of another priority.
    changed: Vec<JobId>,
    /// Jobs whose record can't be read, and its revision.
    unreadable: BTreeMap<JobId, Revision>,
    /// Ignores records of jobs with dependencies, as the version before dependencies does.
    #[cfg(any(test, feature = "simulation"))]
    pub(crate) skip_dependent: bool,
}

impl JobCache {
    /// The newest known record of the job.
    pub fn get(&self, id: &JobId) -> Option<&CachedJob> {
        self.jobs.get(id)
    }

    /// The job's final phase, if it has one: its record's, or cancelled with a job that it needs. The latter
    /// is as final as the record that it follows from.
    pub fn terminal_status(&self, id: &JobId) -> Option<Phase> {
        let known = self.jobs.get(id)?;
        known.record.terminal().or_else(|| self.graph.is_cancelled(id).then_some(Phase::Cancelled))
    }

    /// Whether tasks of the job may run: it is open, and all that it needs is durably done.
    pub fn ready(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|known| known.record.is_open()) && !self.graph.is_blocked(id)
    }

    /// The priority of an open job: its own, or a higher one of a job that needs it.
    pub fn priority(&self, id: &JobId) -> Priority {
        let job = self.jobs.get(id).and_then(|known| known.record.open());
        let own = job.map_or(Priority::Low, |job| job.spec.priority);
        self.graph.priority(id, own)
    }

    /// Dependencies between jobs.
    pub fn graph(&self) -> &Graph {
        &self.graph
    }

    /// Disables a check, to prove that the simulation's rules notice its absence.
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

    /// Makes a full read necessary: some changes may have been missed.
    pub fn forget_store_revision(&mut self) {
        self.store_revision = None;
    }

    /// All changes up to `store_revision` are known now. Never goes back.
    pub fn reach(&mut self, store_revision: u64) {
        if self.store_revision.is_none_or(|known| known < store_revision) {
            self.store_revision = Some(store_revision);
        }
    }

    /// The jobs that changed, or that another job's change affects, since the last call. May name a job twice.
    pub fn take_changed(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// Takes in a record read or written; one that is older than the known one is ignored.
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

    /// Whether the known record makes one of `revision` meaningless. A terminal record is final: no late answer
    /// may reopen the job.
    fn supersedes(&self, id: &JobId, revision: Revision) -> bool {
        self.jobs.get(id).is_some_and(|known| known.revision >= revision || !known.record.is_open())
    }

    /// Gives the jobs that the new record affects.
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

    /// Takes in a stored pair, if its key is that of a job record.
    pub fn learn_pair(&mut self, pair: &Pair) {
        let Some(id) = pair.key.strip_prefix(PREFIX) else { return };
        #[cfg(any(test, feature = "simulation"))]
        if self.skip_dependent && pair.value.starts_with("{\"dependent\"") {
            return;
        }
        match serde_json::from_str(&pair.value) {
            Ok(record) if Record::is_possible(&record) => self.learn(id.into(), pair.revision, record),
            Ok(_) => self.mark_unreadable(id.into(), pair, "says what nobody can have stored"),
            Err(error) => self.mark_unreadable(id.into(), pair, &error.to_string()),
        }
    }

    /// The content isn't guessed at: for this node the job is neither open nor finished, and not unknown either,
    /// until its key holds a readable record again.
    fn mark_unreadable(&mut self, id: JobId, pair: &Pair, reason: &str) {
        if self.unreadable.insert(id, pair.revision) != Some(pair.revision) {
            tracing::error!(key = pair.key, reason, "job record can't be read; put a right one there");
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

    /// Takes in a watch's events up to `store_revision`.
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
