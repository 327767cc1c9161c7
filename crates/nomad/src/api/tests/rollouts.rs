//! Rollouts of services: no replica is missing if the team's limit leaves room for both versions, and the
//! limit is never exceeded.

use super::{api, call, job};
use crate::api::guards::{Guard, with_disabled};
use crate::api::names::{Ended, Head, NameHash};
use pearford_scheduler::extension::Verb;
use pearford_scheduler::simulation::{Event, Fault, Simulation};
use serde_json::{Value, json};

/// A service and its rollout from file 0 to file 1.
struct Rollout {
    simulation: Simulation,
    name: &'static str,
    /// Fewest and most replicas that were up at the same time since the rollout began.
    fewest: usize,
    most: usize,
}

impl Rollout {
    fn file(&self, count: u32, run: u32, edit: &dyn Fn(&mut Value)) -> Value {
        let mut job = job(self.name, "red", "service", count, run);
        job["Update"] = json!({"MinHealthyTime": 2_000_000_000u64, "ProgressDeadline": 40_000_000_000u64});
        edit(&mut job);
        job
    }

    fn send(&mut self, verb: Verb, path: &str, body: &Value) -> u16 {
        for node in 0..6 {
            self.simulation.call(node % 3, 1, call(verb, path, "namespace=red", body));
            let until = self.simulation.now + 1_500;
            self.simulation.run_until(until);
            match self.simulation.answers.pop() {
                Some(answer) if answer.status != 503 => return answer.status,
                _ => {}
            }
        }
        503
    }

    fn begin(seed: u64, count: u32, edit: impl Fn(&mut Value)) -> Self {
        let mut rollout = Rollout {
            simulation: Simulation::new(seed).with_extension(api),
            name: "quotes",
            fewest: 0,
            most: 0,
        };
        rollout.simulation.run_until(6_000);
        let job = rollout.file(count, 0, &edit);
        assert_eq!(rollout.send(Verb::Post, "/v1/jobs", &json!({"Job": job})), 200);
        let until = rollout.simulation.now + 35_000;
        rollout.simulation.run_until(until);
        assert_eq!(rollout.up(), count as usize, "seed {seed}: not all replicas of file 0 are up");
        rollout.fewest = rollout.up();
        rollout
    }

    fn up(&self) -> usize {
        let tasks = self.simulation.workers.iter().filter(|m| m.up).flat_map(|m| &m.tasks);
        tasks.filter(|t| t.present()).count()
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.simulation.now + ms;
        while self.simulation.now < end {
            let next = self.simulation.now + 20;
            self.simulation.run_until(next);
            self.fewest = self.fewest.min(self.up());
            self.most = self.most.max(self.up());
        }
        assert!(self.simulation.rules.broken.is_empty(), "{:?}", self.simulation.rules.broken);
    }

    fn head(&self) -> Head {
        let key = NameHash::of("red", self.name).key();
        serde_json::from_str(self.simulation.state.key(&key).expect("the name has a record"))
            .expect("the record can be decoded")
    }
}

#[test]
fn rollout_keeps_all_replicas_if_both_versions_fit() {
    let mut completed = 0;
    for seed in 0..8 {
        let mut rollout = Rollout::begin(seed, 4, |_| {});
        let job = rollout.file(4, 1, &|_| {});
        assert_eq!(rollout.send(Verb::Post, "/v1/jobs", &json!({"Job": job})), 200);
        rollout.run_for(60_000);
        let head = rollout.head();
        // One machine in thirty never becomes ready. A rollout that waits for one exceeds its deadline.
        if head.ended == Some(Ended::Failed) && rollout.simulation.workers.iter().any(|worker| !worker.up) {
            continue;
        }
        completed += 1;
        assert_eq!((head.version, head.roll, head.ended), (1, None, Some(Ended::Successful)), "seed {seed}");
        assert_eq!((rollout.fewest, rollout.up()), (4, 4), "seed {seed}");
    }
    assert!(completed >= 7, "only {completed} rollouts completed");
}

/// The team's limit is 12 replicas. Ten replicas leave room for two new ones; with twelve, old replicas must
/// be cancelled before new ones can start.
#[test]
fn rollout_proceeds_in_steps_within_the_team_limit() {
    for (seed, count, missing) in [(10, 10, 0), (11, 12, 2), (12, 7, 0)] {
        let mut rollout = Rollout::begin(seed, count, |_| {});
        let parts = rollout.head().groups[0].parts.len();
        assert!(parts > 1, "seed {seed}: {parts} parts");
        let job = rollout.file(count, 1, &|_| {});
        assert_eq!(rollout.send(Verb::Post, "/v1/jobs", &json!({"Job": job})), 200);
        rollout.run_for(290_000);
        let head = rollout.head();
        assert_eq!((head.version, head.ended), (1, Some(Ended::Successful)), "seed {seed}: {:?}", head.roll);
        assert_eq!(rollout.up(), count as usize, "seed {seed}");
        assert!(rollout.fewest + missing >= count as usize, "seed {seed}: {} of {count} up", rollout.fewest);
        assert!(rollout.most <= 12, "seed {seed}: {} up", rollout.most);
    }
}

/// A rollout whose new replicas need new machines during a cloud outage.
fn rollout_without_machines(seed: u64, auto_revert: bool) -> Rollout {
    let mut rollout = Rollout::begin(seed, 3, |_| {});
    let big = |job: &mut Value| {
        job["Update"]["AutoRevert"] = auto_revert.into();
        job["TaskGroups"][0]["Tasks"][0]["Resources"]["Cores"] = 8.into();
    };
    rollout.simulation.at(rollout.simulation.now, Event::Fault(Fault::CloudOutage(true)));
    let job = rollout.file(3, 1, &big);
    assert_eq!(rollout.send(Verb::Post, "/v1/jobs", &json!({"Job": job})), 200);
    rollout
}

#[test]
fn failed_rollout_is_reverted_only_with_auto_revert() {
    for seed in 20..24 {
        let mut reverted = rollout_without_machines(seed, true);
        let before = reverted.head().roll.expect("the rollout is in progress").olds;
        reverted.run_for(90_000);
        let head = reverted.head();
        assert_eq!((head.version, head.ended, &head.roll), (2, Some(Ended::Reverted), &None), "seed {seed}");
        let parts: Vec<_> = head.parts().cloned().collect();
        assert_eq!(
            parts,
            before.into_iter().map(|o| o.part).collect::<Vec<_>>(),
            "seed {seed}: the old parts must be kept"
        );
        assert_eq!((reverted.fewest, reverted.up()), (3, 3), "seed {seed}");

        let mut kept = rollout_without_machines(seed, false);
        kept.run_for(70_000);
        let head = kept.head();
        assert!(head.version == 1 && head.roll.is_some_and(|r| r.kept && !r.olds.is_empty()), "seed {seed}");
        assert_eq!(kept.fewest, 3, "seed {seed}");
        // A stop also ends a failed rollout that was left as it is.
        assert_eq!(kept.send(Verb::Delete, "/v1/job/quotes", &Value::Null), 200);
        kept.run_for(30_000);
        assert_eq!(kept.up(), 0, "seed {seed}");
    }
}

#[test]
fn stop_during_a_rollout_cancels_all_replicas() {
    // Seeds with which every machine of file 0 becomes ready: a replacement takes longer than `begin` waits.
    for seed in 42..48 {
        let mut rollout = Rollout::begin(seed, 10, |_| {});
        let job = rollout.file(10, 1, &|_| {});
        assert_eq!(rollout.send(Verb::Post, "/v1/jobs", &json!({"Job": job})), 200);
        rollout.run_for(5_000 + 4_000 * (seed - 42));
        rollout.simulation.at(rollout.simulation.now, Event::Fault(Fault::Crash(seed as usize % 3)));
        assert_eq!(rollout.send(Verb::Delete, "/v1/job/quotes", &Value::Null), 200);
        rollout.run_for(45_000);
        let head = rollout.head();
        assert!(head.stopped && head.roll.is_none() && head.ending.is_empty(), "seed {seed}: {head:?}");
        assert_eq!(rollout.up(), 0, "seed {seed}");
    }
}

#[test]
fn early_cancellation_of_an_old_part_is_detected() {
    with_disabled(Guard::HealthyFirst, || {
        let mut rollout = Rollout::begin(0, 4, |_| {});
        let job = rollout.file(4, 1, &|_| {});
        assert_eq!(rollout.send(Verb::Post, "/v1/jobs", &json!({"Job": job})), 200);
        rollout.run_for(60_000);
        assert!(rollout.fewest < 4, "{} up", rollout.fewest);
    });
}

/// If two clients enforce the same index, one registration must succeed and the other be refused: otherwise
/// the later one would overwrite the earlier one unseen.
#[test]
fn only_one_of_two_registrations_with_the_same_enforced_index_succeeds() {
    for seed in 40..52 {
        let mut rollout = Rollout::begin(seed, 2, |_| {});
        let index = {
            let key = NameHash::of("red", "quotes").version_key(0);
            let revision = rollout.simulation.state.revision(&key).expect("the version has a record");
            revision.0
        };
        for (node, run) in [(0, 1), (1, 2)] {
            let body =
                json!({"Job": rollout.file(2, run, &|_| {}), "EnforceIndex": true, "JobModifyIndex": index});
            rollout.simulation.call(
                node,
                10 + u64::from(run),
                call(Verb::Post, "/v1/jobs", "namespace=red", &body),
            );
        }
        let until = rollout.simulation.now + 3_000;
        rollout.simulation.run_until(until);
        let mut answered: Vec<u16> = rollout.simulation.answers.iter().map(|a| a.status).collect();
        answered.sort_unstable();
        assert_eq!(answered, [200, 409], "seed {seed}: {:?}", rollout.simulation.answers);
        assert_eq!(rollout.head().version, 1, "seed {seed}");
    }
}
