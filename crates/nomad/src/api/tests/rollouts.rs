//! Rolls of services: no replica is missing where room was there, and no limit is passed.

use super::{api, call, job};
use crate::api::guards::{Guard, without};
use crate::api::names::{Ended, Head, NameHash};
use pearford_scheduler::extension::Verb;
use pearford_scheduler::simulation::{Event, Fault, Simulation};
use serde_json::{Value, json};

/// A service under way from file 0 to file 1.
struct Rollout {
    w: Simulation,
    name: &'static str,
    /// Fewest and most replicas that were up at once since the roll began.
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
            self.w.call(node % 3, 1, call(verb, path, "namespace=red", body));
            let until = self.w.now + 1_500;
            self.w.run_until(until);
            match self.w.answers.pop() {
                Some(answer) if answer.status != 503 => return answer.status,
                _ => {}
            }
        }
        503
    }

    fn begin(seed: u64, count: u32, edit: impl Fn(&mut Value)) -> Self {
        let mut roll =
            Rollout { w: Simulation::new(seed).with_extension(api), name: "quotes", fewest: 0, most: 0 };
        roll.w.run_until(6_000);
        let job = roll.file(count, 0, &edit);
        assert_eq!(roll.send(Verb::Post, "/v1/jobs", &json!({"Job": job})), 200);
        let until = roll.w.now + 35_000;
        roll.w.run_until(until);
        assert_eq!(roll.up(), count as usize, "seed {seed}: file 0 is not up");
        roll.fewest = roll.up();
        roll
    }

    fn up(&self) -> usize {
        let tasks = self.w.workers.iter().filter(|m| m.up).flat_map(|m| &m.tasks);
        tasks.filter(|t| t.present()).count()
    }

    fn play(&mut self, ms: u64) {
        let end = self.w.now + ms;
        while self.w.now < end {
            let next = self.w.now + 20;
            self.w.run_until(next);
            self.fewest = self.fewest.min(self.up());
            self.most = self.most.max(self.up());
        }
        assert!(self.w.rules.broken.is_empty(), "{:?}", self.w.rules.broken);
    }

    fn head(&self) -> Head {
        let key = NameHash::of("red", self.name).key();
        serde_json::from_str(self.w.state.key(&key).expect("registered")).expect("readable")
    }
}

#[test]
fn where_both_versions_fit_no_replica_is_ever_missing() {
    let mut shown = 0;
    for seed in 0..8 {
        let mut roll = Rollout::begin(seed, 4, |_| {});
        let job = roll.file(4, 1, &|_| {});
        assert_eq!(roll.send(Verb::Post, "/v1/jobs", &json!({"Job": job})), 200);
        roll.play(60_000);
        let head = roll.head();
        // One machine in thirty never comes up; waited for, it holds a roll up beyond its deadline.
        if head.ended == Some(Ended::Failed) && roll.w.workers.iter().any(|w| !w.up) {
            continue;
        }
        shown += 1;
        assert_eq!((head.version, head.roll, head.ended), (1, None, Some(Ended::Successful)), "seed {seed}");
        assert_eq!((roll.fewest, roll.up()), (4, 4), "seed {seed}");
    }
    assert!(shown >= 7, "{shown} seeds show it");
}

/// The team may hold 12: with 10 replicas two parts of 1 fit beside; with 12 one has to go first.
#[test]
fn where_the_limit_is_in_the_way_it_goes_in_steps() {
    for (seed, count, missing) in [(10, 10, 0), (11, 12, 2), (12, 7, 0)] {
        let mut roll = Rollout::begin(seed, count, |_| {});
        let parts = roll.head().groups[0].parts.len();
        assert!(parts > 1, "seed {seed}: {parts} parts");
        let job = roll.file(count, 1, &|_| {});
        assert_eq!(roll.send(Verb::Post, "/v1/jobs", &json!({"Job": job})), 200);
        roll.play(290_000);
        let head = roll.head();
        assert_eq!((head.version, head.ended), (1, Some(Ended::Successful)), "seed {seed}: {:?}", head.roll);
        assert_eq!(roll.up(), count as usize, "seed {seed}");
        assert!(roll.fewest + missing >= count as usize, "seed {seed}: {} of {count} up", roll.fewest);
        assert!(roll.most <= 12, "seed {seed}: {} up", roll.most);
    }
}

/// New replicas that need machines of their own, while the cloud gives none.
fn stuck(seed: u64, auto_revert: bool) -> Rollout {
    let mut roll = Rollout::begin(seed, 3, |_| {});
    let big = |job: &mut Value| {
        job["Update"]["AutoRevert"] = auto_revert.into();
        job["TaskGroups"][0]["Tasks"][0]["Resources"]["Cores"] = 8.into();
    };
    roll.w.at(roll.w.now, Event::Fault(Fault::CloudOutage(true)));
    let job = roll.file(3, 1, &big);
    assert_eq!(roll.send(Verb::Post, "/v1/jobs", &json!({"Job": job})), 200);
    roll
}

#[test]
fn a_failed_roll_goes_back_or_is_kept_as_the_job_says() {
    for seed in 20..24 {
        let mut back = stuck(seed, true);
        let before = back.head().roll.expect("on its way").olds;
        back.play(90_000);
        let head = back.head();
        assert_eq!((head.version, head.ended, &head.roll), (2, Some(Ended::Reverted), &None), "seed {seed}");
        let parts: Vec<_> = head.parts().cloned().collect();
        assert_eq!(
            parts,
            before.into_iter().map(|o| o.part).collect::<Vec<_>>(),
            "seed {seed}: the same go on"
        );
        assert_eq!((back.fewest, back.up()), (3, 3), "seed {seed}");

        let mut kept = stuck(seed, false);
        kept.play(70_000);
        let head = kept.head();
        assert!(head.version == 1 && head.roll.is_some_and(|r| r.kept && !r.olds.is_empty()), "seed {seed}");
        assert_eq!(kept.fewest, 3, "seed {seed}");
        // A stop in the midst wins, also over a roll that is kept.
        assert_eq!(kept.send(Verb::Delete, "/v1/job/quotes", &Value::Null), 200);
        kept.play(30_000);
        assert_eq!(kept.up(), 0, "seed {seed}");
    }
}

#[test]
fn a_stop_in_the_midst_of_a_roll_wins() {
    // Seeds on which every machine of file 0 comes up: waited for, one that never does takes longer than `begin` looks.
    for seed in 42..48 {
        let mut roll = Rollout::begin(seed, 10, |_| {});
        let job = roll.file(10, 1, &|_| {});
        assert_eq!(roll.send(Verb::Post, "/v1/jobs", &json!({"Job": job})), 200);
        roll.play(5_000 + 4_000 * (seed - 42));
        roll.w.at(roll.w.now, Event::Fault(Fault::Crash(seed as usize % 3)));
        assert_eq!(roll.send(Verb::Delete, "/v1/job/quotes", &Value::Null), 200);
        roll.play(45_000);
        let head = roll.head();
        assert!(head.stopped && head.roll.is_none() && head.ending.is_empty(), "seed {seed}: {head:?}");
        assert_eq!(roll.up(), 0, "seed {seed}");
    }
}

#[test]
fn an_old_part_that_goes_too_early_shows() {
    without(Guard::HealthyFirst, || {
        let mut roll = Rollout::begin(0, 4, |_| {});
        let job = roll.file(4, 1, &|_| {});
        assert_eq!(roll.send(Verb::Post, "/v1/jobs", &json!({"Job": job})), 200);
        roll.play(60_000);
        assert!(roll.fewest < 4, "{} up", roll.fewest);
    });
}

/// Two clients that have read the same index: one wins, the other is told.
#[test]
fn of_two_registrations_that_enforce_an_index_one_wins() {
    for seed in 40..52 {
        let mut roll = Rollout::begin(seed, 2, |_| {});
        let index = {
            let key = NameHash::of("red", "quotes").version_key(0);
            let revision = roll.w.state.revision(&key).expect("registered");
            revision.0
        };
        for (node, run) in [(0, 1), (1, 2)] {
            let body =
                json!({"Job": roll.file(2, run, &|_| {}), "EnforceIndex": true, "JobModifyIndex": index});
            roll.w.call(node, 10 + u64::from(run), call(Verb::Post, "/v1/jobs", "namespace=red", &body));
        }
        let until = roll.w.now + 3_000;
        roll.w.run_until(until);
        let mut answered: Vec<u16> = roll.w.answers.iter().map(|a| a.status).collect();
        answered.sort_unstable();
        assert_eq!(answered, [200, 409], "seed {seed}: {:?}", roll.w.answers);
        assert_eq!(roll.head().version, 1, "seed {seed}");
    }
}
