//! The gap: the state service refuses the leader alone while another node confirms cancellations, and then it is down
//! for everybody for longer than a cancelled task may live, while workers go on reporting.

#![cfg(test)]

use super::Simulation;
use super::days::isolated_leader::{gap_day, held_day};
use super::recovery::seeds;
use crate::node::{Controller, DisabledCheck};
use crate::types::Duration;
use pearford_heartbeat::DisabledCheck as LeaseCheck;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// What is wrong with each of some seeds' days, on all processors.
pub fn of_seeds(seeds: Range<u64>, play: impl Fn(u64) -> Option<String> + Sync) -> Vec<String> {
    let next = AtomicU64::new(seeds.start);
    let wrong = Mutex::new(Vec::new());
    std::thread::scope(|s| {
        for _ in 0..std::thread::available_parallelism().map_or(1, |n| n.get()) {
            s.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    if let Some(what) = play(seed) {
                        wrong.lock().expect("no other thread panicked").push(format!("seed {seed}: {what}"));
                    }
                }
            });
        }
    });
    wrong.into_inner().expect("no thread panicked")
}

/// Plays a day, until two minutes after its last trouble.
fn broken(
    day: fn(u64) -> (Simulation, u64),
    seed: u64,
    injected_fault: Option<fn(&mut Controller, u64)>,
) -> Option<String> {
    let (mut w, over) = day(seed);
    w.injected_fault = injected_fault;
    w.run_until(over + 120_000);
    w.rules.broken.first().cloned()
}

#[test]
fn cancelled_tasks_are_gone_in_time_though_the_state_service_refuses_the_leader_and_then_everybody() {
    let wrong = of_seeds(seeds(3_000, 24), |seed| broken(gap_day, seed, None));
    assert!(wrong.is_empty(), "{} broken:\n{}", wrong.len(), wrong.join("\n"));
}

#[test]
fn starts_held_up_for_longer_than_a_cancellation_may_take_reach_no_living_session() {
    let wrong = of_seeds(seeds(3_500, 16), |seed| broken(held_day, seed, None));
    assert!(wrong.is_empty(), "{} broken:\n{}", wrong.len(), wrong.join("\n"));
}

/// Guards taken out after every step of a core.
#[test]
fn the_checker_notices_each_guard_of_the_gap_taken_out() {
    fn stops(controller: &mut Controller, _: u64) {
        controller.disable_check(DisabledCheck::LeaseRenewal(LeaseCheck::Stops));
    }
    fn longer(controller: &mut Controller, _: u64) {
        controller
            .disable_check(DisabledCheck::LeaseRenewal(LeaseCheck::Margin(Duration::from_millis(15_000))));
    }
    fn doubt(controller: &mut Controller, _: u64) {
        controller.disable_check(DisabledCheck::LeaseRenewal(LeaseCheck::UnacknowledgedStarts));
    }
    assert!(
        !of_seeds(3_238..3_250, |seed| broken(gap_day, seed, Some(stops))).is_empty(),
        "answers that stop nothing"
    );
    assert!(
        !of_seeds(3_000..3_032, |seed| broken(gap_day, seed, Some(longer))).is_empty(),
        "renewed for longer"
    );
    assert!(
        !of_seeds(3_500..3_532, |seed| broken(held_day, seed, Some(doubt))).is_empty(),
        "starts in doubt"
    );
}
