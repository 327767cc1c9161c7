//! Dependencies: which jobs wait for which. The only place that owns them.
//!
//! Everything here follows from the job records alone, so every node comes to the same result at
//! any moment: a job waits until each one it needs is durably done (an unknown one isn't), and is
//! withdrawn as soon as one of them is. A pipeline has no cycles, since a job can only name jobs
//! that were accepted before it. All walks are iterative, and linear in edges.

use super::{JobSpec, Phase, Priority};
use crate::types::JobId;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
struct Dependent {
    needs: Vec<JobId>,
    /// How many of them aren't known to be done.
    left: usize,
    priority: Priority,
    /// One of them is withdrawn, and so is this job, whatever its record says yet.
    doomed: bool,
}

#[derive(Debug, Default)]
pub struct Graph {
    /// Open jobs that wait for others, and those withdrawn with them whose records don't say so yet.
    waits: BTreeMap<JobId, Dependent>,
    /// Who waits for a job, be that known or not.
    dependents: BTreeMap<JobId, Vec<JobId>>,
    /// A guard to take out, for proving that the test world's checker notices.
    #[cfg(any(test, feature = "world"))]
    pub(crate) without: Option<Guard>,
}

#[cfg(any(test, feature = "world"))]
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Guard {
    /// Jobs wait for what they need.
    Order,
    /// Jobs are withdrawn with what they need.
    Cancellation,
}

impl Graph {
    /// Whether the job waits for others, or is withdrawn with one.
    pub fn waits(&self, id: &JobId) -> bool {
        #[cfg(any(test, feature = "world"))]
        if self.without == Some(Guard::Order) {
            return false;
        }
        self.waits.contains_key(id)
    }

    /// Whether the job is withdrawn because one that it needs is.
    pub fn doomed(&self, id: &JobId) -> bool {
        self.waits.get(id).is_some_and(|d| d.doomed)
    }

    /// How many jobs wait for others.
    pub fn waiting(&self) -> usize {
        self.waits.values().filter(|d| !d.doomed).count()
    }

    pub fn waiting_ids(&self) -> impl Iterator<Item = &JobId> {
        self.waits.iter().filter(|(_, d)| !d.doomed).map(|(id, _)| id)
    }

    /// What the job still waits for.
    pub fn missing(&self, id: &JobId) -> Vec<&JobId> {
        let open = |need: &&JobId| self.dependents.contains_key(*need);
        self.waits.get(id).map(|d| d.needs.iter().filter(open).collect()).unwrap_or_default()
    }

    /// An open job has become known. Gives the jobs that this changes something for.
    pub fn opened(
        &mut self,
        id: &JobId,
        spec: &JobSpec,
        terminal_status: impl Fn(&JobId) -> Option<Phase>,
    ) -> Vec<JobId> {
        if spec.needs.is_empty() || self.waits.contains_key(id) {
            return Vec::new();
        }
        let (mut left, mut doomed) = (0, false);
        for need in &spec.needs {
            match terminal_status(need) {
                Some(Phase::Done) => {}
                Some(_) => doomed = true,
                None => {
                    doomed |= self.doomed(need);
                    left += 1;
                    self.dependents.entry(need.clone()).or_default().push(id.clone());
                }
            }
        }
        if left == 0 && !doomed {
            return Vec::new();
        }
        let needs = spec.needs.clone();
        self.waits.insert(id.clone(), Dependent { needs, left, priority: spec.priority, doomed: false });
        // Jobs that need this one may have become known before it.
        if doomed { self.doom(id) } else { self.needed_by(std::slice::from_ref(id)) }
    }

    /// The job is done or withdrawn, durably. Gives the jobs that this changes something for.
    pub fn over(&mut self, id: &JobId, phase: Phase) -> Vec<JobId> {
        let mut changed = Vec::new();
        if self.waits.contains_key(id) {
            changed = self.needed_by(std::slice::from_ref(id));
            self.waits.remove(id);
        }
        for dependent in self.dependents.remove(id).unwrap_or_default() {
            let Some(d) = self.waits.get_mut(&dependent) else { continue };
            if phase != Phase::Done {
                changed.extend(self.doom(&dependent));
                continue;
            }
            d.left -= 1;
            if d.left == 0 && !d.doomed {
                self.waits.remove(&dependent);
                changed.push(dependent);
            }
        }
        changed
    }

    /// Withdraws `id` and all that need it, directly or through others.
    fn doom(&mut self, id: &JobId) -> Vec<JobId> {
        #[cfg(any(test, feature = "world"))]
        if self.without == Some(Guard::Cancellation) {
            return Vec::new();
        }
        let (mut doomed, mut next) = (Vec::new(), vec![id.clone()]);
        while let Some(id) = next.pop() {
            let Some(d) = self.waits.get_mut(&id).filter(|d| !d.doomed) else { continue };
            d.doomed = true;
            next.extend(self.dependents.get(&id).into_iter().flatten().cloned());
            doomed.push(id);
        }
        // What they need need not hurry for them any more.
        doomed.extend(self.needed_by(&doomed));
        doomed
    }

    /// What `ids` need, directly or through others, and isn't done.
    fn needed_by(&self, ids: &[JobId]) -> Vec<JobId> {
        let (mut seen, mut next) = (BTreeSet::new(), Vec::from_iter(ids));
        while let Some(id) = next.pop() {
            let Some(d) = self.waits.get(id) else { continue };
            for need in d.needs.iter().filter(|n| self.dependents.contains_key(*n)) {
                if seen.insert(need) {
                    next.push(need);
                }
            }
        }
        seen.into_iter().cloned().collect()
    }

    /// The priority of a job that has `own`: at least that of every job that needs it.
    pub fn priority(&self, id: &JobId, own: Priority) -> Priority {
        let (mut best, mut seen, mut next) = (own, BTreeSet::new(), vec![id]);
        while let Some(id) = next.pop() {
            for dependent in self.dependents.get(id).into_iter().flatten() {
                let Some(d) = self.waits.get(dependent).filter(|d| !d.doomed) else { continue };
                if seen.insert(dependent) {
                    best = best.max(d.priority);
                    next.push(dependent);
                }
            }
        }
        best
    }
}

#[cfg(test)]
mod tests;
