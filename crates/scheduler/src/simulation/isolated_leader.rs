//! Guards against cancelled tasks that outlive their cancellation under an isolated leader: the key-value
//! store refuses only the leader while another node confirms cancellations, and then refuses all nodes for
//! longer than a cancelled task may run, while workers keep sending heartbeats.

#![cfg(test)]

use super::Simulation;
use super::days::isolated_leader::{held_starts_day, isolated_leader_day};
use super::recovery::seeds;
use crate::node::{Controller, DisabledCheck};
use crate::types::Duration;
use pearford_heartbeat::DisabledCheck as LeaseCheck;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Runs a day for each seed, on all processors, and returns the days' failures.
pub fn failures_of_seeds(seeds: Range<u64>, play: impl Fn(u64) -> Option<String> + Sync) -> Vec<String> {
    let next = AtomicU64::new(seeds.start);
    let wrong = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, std::num::NonZero::get) {
            scope.spawn(|| {
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

/// Runs a day until two minutes after its last fault, and returns the first broken rule.
fn first_broken_rule(
    day: fn(u64) -> (Simulation, u64),
    seed: u64,
    injected_fault: Option<fn(&mut Controller, u64)>,
) -> Option<String> {
    let (mut simulation, last_fault_ends) = day(seed);
    simulation.injected_fault = injected_fault;
    simulation.run_until(last_fault_ends + 120_000);
    simulation.rules.broken.first().cloned()
}

#[test]
fn cancelled_tasks_end_in_time_when_the_store_refuses_the_leader_and_then_all_nodes() {
    let wrong =
        failures_of_seeds(seeds(3_000, 24), |seed| first_broken_rule(isolated_leader_day, seed, None));
    assert!(wrong.is_empty(), "{} broken:\n{}", wrong.len(), wrong.join("\n"));
}

#[test]
fn delayed_starts_of_cancelled_tasks_run_in_no_current_worker_epoch() {
    let wrong = failures_of_seeds(seeds(3_500, 16), |seed| first_broken_rule(held_starts_day, seed, None));
    assert!(wrong.is_empty(), "{} broken:\n{}", wrong.len(), wrong.join("\n"));
}

/// Each check of the lease renewal is disabled after every step of a controller, and some day must break a
/// rule.
#[test]
fn rules_detect_each_disabled_check_of_lease_renewal() {
    fn ignore_stops(controller: &mut Controller, _: u64) {
        controller.disable_check(DisabledCheck::LeaseRenewal(LeaseCheck::Stops));
    }
    fn renew_for_longer(controller: &mut Controller, _: u64) {
        controller
            .disable_check(DisabledCheck::LeaseRenewal(LeaseCheck::Margin(Duration::from_millis(15_000))));
    }
    fn ignore_unacknowledged_starts(controller: &mut Controller, _: u64) {
        controller.disable_check(DisabledCheck::LeaseRenewal(LeaseCheck::UnacknowledgedStarts));
    }
    assert!(
        !failures_of_seeds(3_238..3_250, |seed| first_broken_rule(
            isolated_leader_day,
            seed,
            Some(ignore_stops)
        ))
        .is_empty(),
        "no rule was broken although lease renewal ignored pending stops"
    );
    assert!(
        !failures_of_seeds(3_000..3_032, |seed| first_broken_rule(
            isolated_leader_day,
            seed,
            Some(renew_for_longer)
        ))
        .is_empty(),
        "no rule was broken although leases were renewed for longer than allowed"
    );
    assert!(
        !failures_of_seeds(3_500..3_532, |seed| first_broken_rule(
            held_starts_day,
            seed,
            Some(ignore_unacknowledged_starts)
        ))
        .is_empty(),
        "no rule was broken although lease renewal ignored unacknowledged starts"
    );
}
