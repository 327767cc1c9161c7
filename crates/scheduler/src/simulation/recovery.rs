//! The start after all controllers went down, with several machines that fail: five nodes, hundreds of machines,
//! crashes in a row and in the midst of each phase.

#![cfg(test)]

use super::Simulation;
use super::days::recovery::{DOWN_MS, Down, ENDS, day, day_of_lost_leases, day_of_quick_returns};
use crate::node::{Controller, DisabledCheck};

/// What a day must show at its end, besides the rules after each step.
fn check_day(seed: u64, simulation: &Simulation) {
    assert!(simulation.rules.broken.is_empty(), "seed {seed}: {:?}", simulation.rules.broken);
    // A return that a heartbeat on its way proves wrong.
    assert!(simulation.needless.is_empty(), "seed {seed}: needless: {:?}", simulation.needless);
    for class in ["c-array", "c-ensemble", "c-daemon"] {
        served(seed, simulation, class, |user| user.body["job_class"] == class);
    }
    for team in ["red", "blue"] {
        served(seed, simulation, team, |user| user.body["owner"] == team);
    }
}

/// At least half of what a class or a team was promised, and here, with resources for all, everything.
fn served(seed: u64, simulation: &Simulation, what: &str, of: impl Fn(&super::User) -> bool) {
    let all: Vec<&super::User> = simulation
        .users
        .iter()
        .filter(|user| of(user) && user.cancel_at.is_none() && simulation.rules.accepted(&user.id))
        .collect();
    let is_served = |user: &super::User| {
        if user.body["shape"] != "daemon" {
            return simulation.rules.terminal_status(&user.id) == Some("done");
        }
        let tasks = simulation.workers.iter().flat_map(|worker| &worker.tasks);
        let up = tasks.filter(|task| task.job() == user.id && task.present());
        up.count() as u64 == user.body["shards"].as_u64().unwrap_or(0)
    };
    let served = all.iter().filter(|user| is_served(user)).count();
    assert!(!all.is_empty() && served == all.len(), "seed {seed}: {what}: {served} of {} served", all.len());
}

/// So many seeds as usual, or as `PEARFORD_SEEDS` says: a longer search plays more than CI has time for.
pub(super) fn seeds(from: u64, usual: u64) -> std::ops::Range<u64> {
    let more = std::env::var("PEARFORD_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(usual);
    from..from + more
}

#[test]
fn a_fleet_recovers_from_a_crash_of_all_nodes_while_machines_fail() {
    for seed in seeds(2_000, 3) {
        let mut simulation = day(seed, Down::Once, 40);
        simulation.run_until(24_000);
        let up = simulation.workers.iter().filter(|m| m.up).count();
        assert!(up >= 40, "seed {seed}: {up} machines");
        simulation.run_until(ENDS);
        check_day(seed, &simulation);
    }
}

#[test]
fn a_fleet_recovers_from_crashes_in_a_row_that_outlast_the_leases() {
    for seed in seeds(2_100, 3) {
        let mut simulation = day(seed, Down::InARow, 40);
        simulation.run_until(ENDS);
        check_day(seed, &simulation);
    }
}

#[test]
fn a_fleet_recovers_from_crashes_in_the_midst_of_each_phase() {
    for seed in seeds(2_200, 3) {
        let mut simulation = day(seed, Down::Midst, 40);
        simulation.run_until(ENDS);
        check_day(seed, &simulation);
    }
}

/// Three hundred machines and more: once, as it takes long.
#[test]
fn three_hundred_machines_come_back_at_once() {
    let mut simulation = day(2_300, Down::InARow, 220);
    simulation.run_until(24_000);
    let up = simulation.workers.iter().filter(|m| m.up).count();
    assert!(up >= 300, "{up} machines");
    simulation.run_until(ENDS);
    check_day(2_300, &simulation);
}

/// Tasks whose leases ran out while nobody led start again where they were: the assignments have them there.
#[test]
fn tasks_ended_by_a_lost_lease_start_again_where_they_were() {
    let mut simulation = day_of_lost_leases(2_400);
    let down = DOWN_MS;
    simulation.run_until(down);
    let places = |simulation: &Simulation| -> Vec<(String, String)> {
        let of = |m: &super::workers::Worker| {
            let id = m.id.to_string();
            m.tasks
                .iter()
                .filter(|task| task.present())
                .map(move |task| (task.name.clone(), id.clone()))
                .collect::<Vec<_>>()
        };
        let mut all: Vec<_> = simulation.workers.iter().flat_map(of).collect();
        all.sort();
        all
    };
    let before = places(&simulation);
    assert_eq!(before.len(), 80);
    simulation.run_until(down + 24_000);
    assert!(places(&simulation).is_empty(), "every lease has expired");
    simulation.run_until(down + 45_000);
    assert!(simulation.rules.broken.is_empty(), "{:?}", simulation.rules.broken);
    let after = places(&simulation);
    let same = after.iter().filter(|p| before.contains(p)).count();
    assert!(after.len() == 80 && same >= 76, "{} are back, {same} where they were", after.len());
}

#[test]
fn nodes_back_within_a_fraction_of_a_second_keep_the_rules_while_old_messages_come_again() {
    for seed in seeds(2_600, 4) {
        let mut simulation = day_of_quick_returns(seed, 30);
        simulation.run_until(ENDS);
        check_day(seed, &simulation);
    }
}

/// Whether some seed of a few breaks a rule, or does something needless, with a check disabled.
fn noticed(from: u64, down: Down, injected_fault: fn(&mut Controller, u64)) -> bool {
    (from..from + 12).any(|seed| {
        let mut simulation = day(seed, down, 30);
        simulation.injected_fault = Some(injected_fault);
        simulation.run_until(120_000);
        !simulation.rules.broken.is_empty() || !simulation.needless.is_empty()
    })
}

/// The check of the fencing token is disabled in the search of all interleavings (`crates/recovery`): here a command is
/// hardly ever still on its way when the next leader reads.
#[test]
fn the_rules_notice_machines_given_up_before_their_heartbeat() {
    assert!(noticed(2_500, Down::InARow, |controller, _| controller
        .disable_check(DisabledCheck::HeartbeatCollection)));
}

/// A start that had been carried out came again after the worker had forgotten how it ended: it ran once more, while the
/// task's next attempt ran elsewhere (seed 5002).
#[test]
fn the_rules_notice_ended_attempts_that_are_forgotten_too_soon() {
    let broken = (5_000..5_040).any(|seed| {
        let mut simulation = day_of_quick_returns(seed, 30);
        simulation.duplicate_share = 0.3;
        simulation.injected_fault =
            Some(|controller, _| controller.disable_check(DisabledCheck::UnacknowledgedStarts));
        simulation.run_until(120_000);
        simulation.rules.broken.iter().any(|b| b.contains("ran_twice"))
    });
    assert!(broken);
}
