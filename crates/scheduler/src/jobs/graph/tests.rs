use super::super::cache::JobCache;
use super::super::record::{OpenJob, Record};
use super::*;
use crate::types::{Revision, WallTime};
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
    Record::Open(Arc::new(OpenJob { spec, submitted: WallTime(1), assigned_node: "n0".into() }))
}

/// Guards against nodes that disagree on which jobs wait or are cancelled: listings and watches deliver the
/// same records in different orders. The expected result is computed directly from all records.
#[test]
fn waiting_and_cancelled_jobs_do_not_depend_on_the_order_of_records() {
    let mut rng = StdRng::seed_from_u64(3);
    for _ in 0..200 {
        let n = rng.random_range(2..14);
        let needs: Vec<Vec<usize>> =
            (0..n).map(|i| (0..i).filter(|_| rng.random_bool(0.3)).collect()).collect();
        // Only states that can occur: a job is done only after all its dependencies are.
        let mut terminal_status: Vec<Option<Phase>> = vec![None; n];
        for i in 0..n {
            let ready = needs[i].iter().all(|j| terminal_status[*j] == Some(Phase::Done));
            terminal_status[i] = match rng.random_range(0..4) {
                0 | 1 if ready => Some(Phase::Done),
                2 => Some(Phase::Cancelled),
                _ => None,
            };
        }
        let mut records: Vec<(usize, u64, Record)> = Vec::new();
        for i in 0..n {
            // A listing may contain only the terminal record.
            if terminal_status[i].is_none() || rng.random_bool(0.6) {
                records.push((i, 1, open(&needs[i], Priority::Low)));
            }
            match terminal_status[i] {
                Some(Phase::Done) => records.push((i, 2, Record::Done)),
                Some(_) => records.push((i, 2, Record::Cancelled)),
                None => {}
            }
        }
        records.shuffle(&mut rng);
        let mut cache = JobCache::default();
        for (i, revision, record) in records {
            cache.learn(id(i), Revision(revision), record);
        }
        let mut expected = terminal_status.clone();
        for i in 0..n {
            if expected[i].is_none() && needs[i].iter().any(|j| expected[*j] == Some(Phase::Cancelled)) {
                expected[i] = Some(Phase::Cancelled);
            }
        }
        for i in 0..n {
            assert_eq!(
                cache.terminal_status(&id(i)),
                expected[i],
                "job {i} of {needs:?}, {terminal_status:?}"
            );
            let ready = expected[i].is_none() && needs[i].iter().all(|j| expected[*j] == Some(Phase::Done));
            assert_eq!(cache.ready(&id(i)), ready, "job {i} of {needs:?}, {terminal_status:?}");
        }
    }
}

#[test]
fn priority_is_inherited_transitively_until_the_dependent_is_cancelled() {
    let mut cache = JobCache::default();
    cache.learn(id(0), Revision(1), open(&[], Priority::Low));
    cache.learn(id(1), Revision(2), open(&[0], Priority::Low));
    cache.learn(id(9), Revision(3), open(&[0], Priority::Normal));
    assert_eq!(cache.priority(&id(0)), Priority::Normal);
    cache.take_changed();
    cache.learn(id(2), Revision(4), open(&[1], Priority::High));
    assert!(cache.take_changed().contains(&id(0)), "the leader must reconsider the job");
    assert_eq!((cache.priority(&id(0)), cache.priority(&id(1))), (Priority::High, Priority::High));
    cache.learn(id(2), Revision(5), Record::Cancelled);
    assert!(cache.take_changed().contains(&id(0)));
    assert_eq!((cache.priority(&id(0)), cache.priority(&id(1))), (Priority::Normal, Priority::Low));
}

/// Guards against traversals that follow every path instead of every edge: this graph has 2^60 paths.
#[test]
fn long_chains_and_many_dependents_are_traversed_in_linear_time() {
    let mut cache = JobCache::default();
    cache.learn(id(0), Revision(1), open(&[], Priority::Low));
    cache.learn(id(1), Revision(1), open(&[], Priority::Low));
    for level in 1..60 {
        let needs = [2 * level - 2, 2 * level - 1];
        cache.learn(id(2 * level), Revision(1), open(&needs, Priority::Low));
        cache.learn(id(2 * level + 1), Revision(1), open(&needs, Priority::Low));
    }
    for i in 1000..20_000 {
        cache.learn(id(i), Revision(1), open(&[118], Priority::High));
    }
    assert_eq!(cache.priority(&id(0)), Priority::High);
    cache.learn(id(0), Revision(2), Record::Cancelled);
    assert_eq!(cache.terminal_status(&id(19_999)), Some(Phase::Cancelled));
    assert_eq!(cache.terminal_status(&id(1)), None);
}
