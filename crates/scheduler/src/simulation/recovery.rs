//! Guards against faults in the recovery after all controllers went down while several machines fail: five
//! nodes, many machines, repeated crashes and crashes during each phase of the recovery.

#![cfg(test)]

use super::Simulation;
use super::days::recovery::{DOWN_MS, Down, ENDS, day, day_of_lost_leases, day_of_quick_returns};
use crate::node::{Controller, DisabledCheck};

/// Checks the end of a day: no rule was broken, no healthy machine was returned, and all jobs are served.
fn check_day(seed: u64, simulation: &Simulation) {
    assert!(simulation.rules.broken.is_empty(), "seed {seed}: {:?}", simulation.rules.broken);
    // A heartbeat in transit would have shown that the machine still runs its tasks.
    assert!(
        simulation.needless_returns.is_empty(),
        "seed {seed}: needless returns: {:?}",
        simulation.needless_returns
    );
    for class in ["c-array", "c-ensemble", "c-daemon"] {
        check_served(seed, simulation, class, |user| user.body["job_class"] == class);
    }
    for team in ["red", "blue"] {
        check_served(seed, simulation, team, |user| user.body["owner"] == team);
    }
}

/// Checks that all accepted jobs of a class or a team are done, or run with all replicas: there are resources
/// for all.
fn check_served(seed: u64, simulation: &Simulation, what: &str, of: impl Fn(&super::User) -> bool) {
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

/// Returns the range of `default` seeds from `from`, or of as many as the variable `PEARFORD_SEEDS` says, for
/// searches that are too long for CI.
pub(super) fn seeds(from: u64, default: u64) -> std::ops::Range<u64> {
    let count = std::env::var("PEARFORD_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(default);
    from..from + count
}

#[test]
fn recovers_from_a_crash_of_all_nodes_while_machines_fail() {
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
fn recovers_from_repeated_crashes_that_outlast_the_leases() {
    for seed in seeds(2_100, 3) {
        let mut simulation = day(seed, Down::InARow, 40);
        simulation.run_until(ENDS);
        check_day(seed, &simulation);
    }
}

#[test]
fn recovers_from_crashes_during_each_phase_of_the_recovery() {
    for seed in seeds(2_200, 3) {
        let mut simulation = day(seed, Down::Midst, 40);
        simulation.run_until(ENDS);
        check_day(seed, &simulation);
    }
}

/// Recovery of at least three hundred machines, with a single seed because it takes long.
#[test]
fn three_hundred_machines_come_back_at_once() {
    let mut simulation = day(2_300, Down::InARow, 220);
    simulation.run_until(24_000);
    let up = simulation.workers.iter().filter(|m| m.up).count();
    assert!(up >= 300, "{up} machines");
    simulation.run_until(ENDS);
    check_day(2_300, &simulation);
}

/// Tasks that ended because their workers' leases expired while there was no leader restart on the same
/// machines, to which they are still assigned.
#[test]
fn tasks_ended_by_an_expired_lease_restart_on_their_machines() {
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
    assert!(places(&simulation).is_empty(), "a task still runs although all leases have expired");
    simulation.run_until(down + 45_000);
    assert!(simulation.rules.broken.is_empty(), "{:?}", simulation.rules.broken);
    let after = places(&simulation);
    let same = after.iter().filter(|p| before.contains(p)).count();
    assert!(after.len() == 80 && same >= 76, "{} tasks restarted, {same} on the same machine", after.len());
}

#[test]
fn quick_restarts_with_duplicated_messages_break_no_rule() {
    for seed in seeds(2_600, 4) {
        let mut simulation = day_of_quick_returns(seed, 30);
        simulation.run_until(ENDS);
        check_day(seed, &simulation);
    }
}

/// Whether any of 12 seeds breaks a rule or returns a healthy machine with a check disabled.
fn is_detected(from: u64, down: Down, injected_fault: fn(&mut Controller, u64)) -> bool {
    (from..from + 12).any(|seed| {
        let mut simulation = day(seed, down, 30);
        simulation.injected_fault = Some(injected_fault);
        simulation.run_until(120_000);
        !simulation.rules.broken.is_empty() || !simulation.needless_returns.is_empty()
    })
}

/// Detects a leader that treats machines as lost before it has collected their heartbeats. The check of the
/// fencing token is tested in the search of all interleavings (`crates/recovery`) instead: here a command is
/// almost never in transit when the next leader reads the records.
#[test]
fn rules_detect_disabled_heartbeat_collection() {
    assert!(is_detected(2_500, Down::InARow, |controller, _| controller
        .disable_check(DisabledCheck::HeartbeatCollection)));
}

/// If an ended attempt is forgotten while a copy of its start command is in transit, the copy starts the
/// attempt again while the task's next attempt runs elsewhere.
#[test]
fn rules_detect_ended_attempts_that_are_forgotten_too_early() {
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
