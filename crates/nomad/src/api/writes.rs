//! Builds the API's transactions from single writes.

use super::guards::{Guard, holds};
use pearford_scheduler::extension::View;
use pearford_scheduler::jobs::{self, Record};
use pearford_scheduler::types::{JobId, Revision};
use pearford_scheduler::wire::state::Change;

/// A transaction.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Writes {
    /// Keys with their required revisions; 0 requires that the key does not exist.
    pub conditions: Vec<(String, Revision)>,
    /// Changes that are applied if all conditions hold.
    pub changes: Vec<Change>,
}

impl Writes {
    /// Writes a key on the condition that it still has the given revision.
    pub fn put(&mut self, key: String, revision: Revision, value: String) {
        self.conditions.push((key.clone(), revision));
        self.changes.push(Change::Put { key, value, lease: None });
    }

    /// Cancels a native job that is not finished. The transaction fails if the job finishes before the
    /// commit, so that neither result overwrites the other.
    pub fn cancel(&mut self, view: &View<'_>, id: &JobId) {
        if holds(Guard::Cancellation)
            && let Some(known) = view.jobs.get(id).filter(|known| known.record.is_open())
        {
            self.put(jobs::key(id), known.revision, Record::Cancelled.to_value());
        }
    }

    /// Cancels at most `at_most` native jobs. Returns the others, which go into `ending` of the name's
    /// record.
    pub fn cancel_some(&mut self, view: &View<'_>, mut open: Vec<JobId>, at_most: usize) -> Vec<JobId> {
        let rest = open.split_off(at_most.min(open.len()));
        open.iter().for_each(|id| self.cancel(view, id));
        rest
    }
}
