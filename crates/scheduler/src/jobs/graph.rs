//! Dependencies between jobs: which jobs wait for which. The only module that tracks them.
//!
//! Everything here follows from the job records alone, so every node comes to the same result at
//! any moment: a job waits until each one it needs is durably done (an unknown one isn't), and is
//! cancelled as soon as one of them is. The graph has no cycles, since a job can only name jobs
//! that were accepted before it. All traversals are iterative, and linear in the number of edges.
//!
//! The job cache owns the graph and updates it with each record.

use super::record::Phase;
use super::spec::{JobSpec, Priority};
use crate::types::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// An open job with unfinished dependencies, or one cancelled with a dependency.
#[derive(Debug)]
struct BlockedJob {
    dependencies: Vec<JobId>,
    /// How many of the dependencies aren't known to be done.
    unfinished: usize,
    /// The job's own priority.
    priority: Priority,
    /// One of the dependencies is cancelled, and so is this job, even while its own record is still open.
    cancelled: bool,
}

/// The dependencies of all known open jobs.
#[derive(Debug, Default)]
pub struct Graph {
    /// Open jobs that wait for others, and those cancelled with a dependency whose records are still open.
    blocked: BTreeMap<JobId, BlockedJob>,
    /// The jobs that wait for a job, whether that one is known or not.
    dependents: BTreeMap<JobId, Vec<JobId>>,
    /// A check that is disabled, to prove that the simulation's rules notice its absence.
    #[cfg(any(test, feature = "simulation"))]
    pub(crate) disabled_check: Option<DependencyCheck>,
}

/// A check that a simulation can disable.
#[cfg(any(test, feature = "simulation"))]
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DependencyCheck {
    /// Jobs wait for what they need.
    Order,
    /// Jobs are cancelled with what they need.
    Cancellation,
}

impl Graph {
    /// Whether the job waits for others, or is cancelled with one.
    pub fn is_blocked(&self, id: &JobId) -> bool {
        #[cfg(any(test, feature = "simulation"))]
        if self.disabled_check == Some(DependencyCheck::Order) {
            return false;
        }
        self.blocked.contains_key(id)
    }

    /// Whether the job is cancelled because one that it needs is.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.blocked.get(id).is_some_and(|job| job.cancelled)
    }

    /// Number of jobs that wait for others.
    pub fn waiting_count(&self) -> usize {
        self.waiting_ids().count()
    }

    /// The jobs that wait for others, by id.
    pub fn waiting_ids(&self) -> impl Iterator<Item = &JobId> {
        self.blocked.iter().filter(|(_, job)| !job.cancelled).map(|(id, _)| id)
    }

    /// The dependencies that the job still waits for.
    pub fn unfinished_dependencies(&self, id: &JobId) -> Vec<&JobId> {
        let Some(job) = self.blocked.get(id) else { return Vec::new() };
        self.unfinished_of(job).collect()
    }

    fn unfinished_of<'a>(&'a self, job: &'a BlockedJob) -> impl Iterator<Item = &'a JobId> {
        job.dependencies.iter().filter(|dependency| self.dependents.contains_key(*dependency))
    }

    /// An open job has become known. Gives the jobs that this affects.
    pub fn opened(
        &mut self,
        id: &JobId,
        spec: &JobSpec,
        terminal_status: impl Fn(&JobId) -> Option<Phase>,
    ) -> Vec<JobId> {
        if spec.needs.is_empty() || self.blocked.contains_key(id) {
            return Vec::new();
        }
        let mut unfinished = 0;
        let mut cancelled = false;
        for dependency in &spec.needs {
            match terminal_status(dependency) {
                Some(Phase::Done) => {}
                Some(_) => cancelled = true,
                None => {
                    cancelled |= self.is_cancelled(dependency);
                    unfinished += 1;
                    self.dependents.entry(dependency.clone()).or_default().push(id.clone());
                }
            }
        }
        if unfinished == 0 && !cancelled {
            return Vec::new();
        }
        let dependencies = spec.needs.clone();
        let job = BlockedJob { dependencies, unfinished, priority: spec.priority, cancelled: false };
        self.blocked.insert(id.clone(), job);
        if cancelled {
            // Jobs that need this one may have become known before it.
            self.cancel(id)
        } else {
            self.dependencies_of(std::slice::from_ref(id))
        }
    }

    /// The job is durably done or cancelled. Gives the jobs that this affects.
    pub fn finished(&mut self, id: &JobId, phase: Phase) -> Vec<JobId> {
        let mut affected = Vec::new();
        if self.blocked.contains_key(id) {
            affected = self.dependencies_of(std::slice::from_ref(id));
            self.blocked.remove(id);
        }
        for dependent in self.dependents.remove(id).unwrap_or_default() {
            let Some(job) = self.blocked.get_mut(&dependent) else { continue };
            if phase != Phase::Done {
                affected.extend(self.cancel(&dependent));
                continue;
            }
            job.unfinished -= 1;
            if job.unfinished == 0 && !job.cancelled {
                self.blocked.remove(&dependent);
                affected.push(dependent);
            }
        }
        affected
    }

    /// Cancels `id` and all that need it, directly or through others. Gives these, and the jobs that they need.
    fn cancel(&mut self, id: &JobId) -> Vec<JobId> {
        #[cfg(any(test, feature = "simulation"))]
        if self.disabled_check == Some(DependencyCheck::Cancellation) {
            return Vec::new();
        }
        let mut affected = Vec::new();
        let mut queue = vec![id.clone()];
        while let Some(id) = queue.pop() {
            let Some(job) = self.blocked.get_mut(&id).filter(|job| !job.cancelled) else { continue };
            job.cancelled = true;
            queue.extend(self.dependents.get(&id).into_iter().flatten().cloned());
            affected.push(id);
        }
        // The priority of what they need may fall.
        affected.extend(self.dependencies_of(&affected));
        affected
    }

    /// The unfinished jobs that `ids` need, directly or through others.
    fn dependencies_of(&self, ids: &[JobId]) -> Vec<JobId> {
        let mut visited = BTreeSet::new();
        let mut queue = Vec::from_iter(ids);
        while let Some(id) = queue.pop() {
            let Some(job) = self.blocked.get(id) else { continue };
            for dependency in self.unfinished_of(job) {
                if visited.insert(dependency) {
                    queue.push(dependency);
                }
            }
        }
        visited.into_iter().cloned().collect()
    }

    /// The priority of a job whose own priority is `own`: at least that of every job that needs it.
    pub fn priority(&self, id: &JobId, own: Priority) -> Priority {
        let mut highest = own;
        let mut visited = BTreeSet::new();
        let mut queue = vec![id];
        while let Some(id) = queue.pop() {
            for dependent in self.dependents.get(id).into_iter().flatten() {
                let Some(job) = self.blocked.get(dependent).filter(|job| !job.cancelled) else { continue };
                if visited.insert(dependent) {
                    highest = highest.max(job.priority);
                    queue.push(dependent);
                }
            }
        }
        highest
    }
}

#[cfg(test)]
mod tests;
