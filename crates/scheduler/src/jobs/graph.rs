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
        verdict: impl Fn(&JobId) -> Option<Phase>,
    ) -> Vec<JobId> {
        if spec.needs.is_empty() || self.waits.contains_key(id) {
            return Vec::new();
        }
        let (mut left, mut doomed) = (0, false);
        for need in &spec.needs {
            match verdict(need) {
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
mod tests {
    use super::super::{Mirror, OpenJob, Record};
    use super::*;
    use crate::types::{Stamp, Wall};
    use rand::rngs::StdRng;
    use rand::seq::SliceRandom;
    use rand::{RngExt, SeedableRng};
    use std::sync::Arc;

    fn id(n: usize) -> JobId {
        format!("req-{n}").as_str().into()
    }

    fn open(needs: &[usize], priority: Priority) -> Record {
        let mut spec = crate::jobs::tests::spec();
        spec.needs = needs.iter().map(|n| id(*n)).collect();
        spec.priority = priority;
        Record::Open(Arc::new(OpenJob { spec, submitted: Wall(1), home: "n0".into() }))
    }

    /// Records in any order, as listings and watches bring them, lead every node to the same result:
    /// that of a plain look at all records.
    #[test]
    fn what_waits_and_what_is_withdrawn_follows_from_the_records_in_any_order() {
        let mut rng = StdRng::seed_from_u64(3);
        for _ in 0..200 {
            let n = rng.random_range(2..14);
            let needs: Vec<Vec<usize>> =
                (0..n).map(|i| (0..i).filter(|_| rng.random_bool(0.3)).collect()).collect();
            // Verdicts as they can come about: done only after all needs are.
            let mut verdict: Vec<Option<Phase>> = vec![None; n];
            for i in 0..n {
                let ready = needs[i].iter().all(|j| verdict[*j] == Some(Phase::Done));
                verdict[i] = match rng.random_range(0..4) {
                    0 | 1 if ready => Some(Phase::Done),
                    2 => Some(Phase::Withdrawn),
                    _ => None,
                };
            }
            let mut records: Vec<(usize, u64, Record)> = Vec::new();
            for i in 0..n {
                // A listing may show the verdict alone.
                if verdict[i].is_none() || rng.random_bool(0.6) {
                    records.push((i, 1, open(&needs[i], Priority::Low)));
                }
                match verdict[i] {
                    Some(Phase::Done) => records.push((i, 2, Record::Done)),
                    Some(_) => records.push((i, 2, Record::Withdrawn)),
                    None => {}
                }
            }
            records.shuffle(&mut rng);
            let mut m = Mirror::default();
            for (i, stamp, record) in records {
                m.learn(id(i), Stamp(stamp), record);
            }
            let mut expected = verdict.clone();
            for i in 0..n {
                if expected[i].is_none() && needs[i].iter().any(|j| expected[*j] == Some(Phase::Withdrawn)) {
                    expected[i] = Some(Phase::Withdrawn);
                }
            }
            for i in 0..n {
                assert_eq!(m.verdict(&id(i)), expected[i], "job {i} of {needs:?}, {verdict:?}");
                let ready =
                    expected[i].is_none() && needs[i].iter().all(|j| expected[*j] == Some(Phase::Done));
                assert_eq!(m.ready(&id(i)), ready, "job {i} of {needs:?}, {verdict:?}");
            }
        }
    }

    #[test]
    fn priority_is_lent_along_the_chain_and_taken_back() {
        let mut m = Mirror::default();
        m.learn(id(0), Stamp(1), open(&[], Priority::Low));
        m.learn(id(1), Stamp(2), open(&[0], Priority::Low));
        m.learn(id(9), Stamp(3), open(&[0], Priority::Normal));
        assert_eq!(m.priority(&id(0)), Priority::Normal);
        m.take_changed();
        m.learn(id(2), Stamp(4), open(&[1], Priority::High));
        assert!(m.take_changed().contains(&id(0)), "the leader must look at it again");
        assert_eq!((m.priority(&id(0)), m.priority(&id(1))), (Priority::High, Priority::High));
        m.learn(id(2), Stamp(5), Record::Withdrawn);
        assert!(m.take_changed().contains(&id(0)));
        assert_eq!((m.priority(&id(0)), m.priority(&id(1))), (Priority::Normal, Priority::Low));
    }

    /// Walks go by edges, not by paths: here there are 2^60 of them.
    #[test]
    fn long_chains_and_wide_fans_are_walked_in_linear_time() {
        let mut m = Mirror::default();
        m.learn(id(0), Stamp(1), open(&[], Priority::Low));
        m.learn(id(1), Stamp(1), open(&[], Priority::Low));
        for level in 1..60 {
            let needs = [2 * level - 2, 2 * level - 1];
            m.learn(id(2 * level), Stamp(1), open(&needs, Priority::Low));
            m.learn(id(2 * level + 1), Stamp(1), open(&needs, Priority::Low));
        }
        for i in 1000..20_000 {
            m.learn(id(i), Stamp(1), open(&[118], Priority::High));
        }
        assert_eq!(m.priority(&id(0)), Priority::High);
        m.learn(id(0), Stamp(2), Record::Withdrawn);
        assert_eq!(m.verdict(&id(19_999)), Some(Phase::Withdrawn));
        assert_eq!(m.verdict(&id(1)), None);
    }
}
