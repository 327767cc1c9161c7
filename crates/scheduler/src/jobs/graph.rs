//! Dependencies between jobs: which jobs wait for which. No other module tracks them.
//!
//! The graph depends only on the job records, so all nodes with the same records reach the same result: a job
//! waits until each of its dependencies is durably done (an unknown job isn't), and is cancelled as soon as
//! one of them is cancelled. The graph has no cycles, since a job can only name jobs that were accepted
//! before it. All traversals are iterative, and linear in the number of edges.
//!
//! The job cache owns the graph and updates it with each record.

use super::record::Phase;
use super::spec::{JobSpec, Priority};
use crate::types::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// An open job that has unfinished dependencies, or that is cancelled because a dependency is.
#[derive(Debug)]
struct BlockedJob {
    dependencies: Vec<JobId>,
    /// Number of dependencies that are not known to be done. Not maintained once the job is cancelled.
    unfinished: usize,
    /// The job's own priority.
    priority: Priority,
    /// A dependency is cancelled, so this job counts as cancelled even while its own record is still open.
    cancelled: bool,
}

/// The dependencies of all known open jobs.
#[derive(Debug, Default)]
pub struct Graph {
    /// Open jobs that wait for others, and cancelled jobs whose own records are still open.
    blocked: BTreeMap<JobId, BlockedJob>,
    /// For each unfinished job, known or not, the jobs that depend on it.
    dependents: BTreeMap<JobId, Vec<JobId>>,
    /// The check that a test has disabled, to prove that the simulation's invariants detect its absence.
    #[cfg(any(test, feature = "simulation"))]
    pub(crate) disabled_check: Option<DependencyCheck>,
}

/// A check that a test can disable.
#[cfg(any(test, feature = "simulation"))]
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DependencyCheck {
    /// A job waits for its dependencies.
    Order,
    /// A job is cancelled when one of its dependencies is.
    Cancellation,
}

impl Graph {
    /// Whether the job waits for dependencies, or is cancelled because one of them is.
    pub fn is_blocked(&self, id: &JobId) -> bool {
        #[cfg(any(test, feature = "simulation"))]
        if self.disabled_check == Some(DependencyCheck::Order) {
            return false;
        }
        self.blocked.contains_key(id)
    }

    /// Whether the job is cancelled because one of its dependencies is.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.blocked.get(id).is_some_and(|job| job.cancelled)
    }

    /// Number of jobs that wait for dependencies.
    pub fn waiting_count(&self) -> usize {
        self.waiting_ids().count()
    }

    /// The jobs that wait for dependencies, by id.
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

    /// Adds an open job. Returns the jobs that this affects.
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
            // Jobs that depend on this one may have been added before it.
            self.cancel(id)
        } else {
            self.dependencies_of(std::slice::from_ref(id))
        }
    }

    /// Records that the job is durably done or cancelled. Returns the jobs that this affects.
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

    /// Cancels `id` and all its direct and transitive dependents. Returns the cancelled jobs and their
    /// unfinished dependencies.
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
        // The dependencies may lose a priority that they inherited.
        affected.extend(self.dependencies_of(&affected));
        affected
    }

    /// The direct and transitive unfinished dependencies of `ids`.
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

    /// The priority of a job whose own priority is `own`, raised to that of its most urgent dependent.
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
