//! The start after all controllers went down, with several machines that fail: five nodes, hundreds of machines,
//! crashes in a row and in the midst of each phase.

#![cfg(test)]

use super::Simulation;
use super::days::recovery::{DOWN_MS, Down, ENDS, day, day_of_lost_leases, day_of_quick_returns};
use crate::node::{Controller, DisabledCheck};

/// What a day must show at its end, besides the rules after each step.
fn judge(seed: u64, w: &Simulation) {
    assert!(w.rules.broken.is_empty(), "seed {seed}: {:?}", w.rules.broken);
    // A return that a report on its way proves wrong.
    assert!(w.needless.is_empty(), "seed {seed}: needless: {:?}", w.needless);
    for class in ["c-array", "c-ensemble", "c-daemon"] {
        served(seed, w, class, |u| u.body["job_class"] == class);
    }
    for team in ["red", "blue"] {
        served(seed, w, team, |u| u.body["owner"] == team);
    }
}

/// At least half of what a class or a team was promised, and here, with room for all, everything.
fn served(seed: u64, w: &Simulation, what: &str, of: impl Fn(&super::User) -> bool) {
    let all: Vec<&super::User> =
        w.users.iter().filter(|u| of(u) && u.cancel_at.is_none() && w.rules.accepted(&u.id)).collect();
    let served = all.iter().filter(|u| match u.body["shape"] == "daemon" {
        true => {
            let up = w.workers.iter().flat_map(|w| &w.tasks).filter(|t| t.job() == u.id && t.present());
            up.count() as u64 == u.body["shards"].as_u64().unwrap_or(0)
        }
        false => w.rules.terminal_status(&u.id) == Some("done"),
    });
    let served = served.count();
    assert!(!all.is_empty() && served == all.len(), "seed {seed}: {what}: {served} of {} served", all.len());
}

/// So many seeds as usual, or as `PEARFORD_SEEDS` says: it looks further than a landing has time for.
pub(super) fn seeds(from: u64, usual: u64) -> std::ops::Range<u64> {
    let more = std::env::var("PEARFORD_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(usual);
    from..from + more
}

#[test]
fn a_fleet_recovers_from_a_crash_of_all_nodes_while_machines_fail() {
    for seed in seeds(2_000, 3) {
        let mut w = day(seed, Down::Once, 40);
        w.run_until(24_000);
        let up = w.workers.iter().filter(|m| m.up).count();
        assert!(up >= 40, "seed {seed}: {up} machines");
        w.run_until(ENDS);
        judge(seed, &w);
    }
}

#[test]
fn a_fleet_recovers_from_crashes_in_a_row_that_outlast_the_leases() {
    for seed in seeds(2_100, 3) {
        let mut w = day(seed, Down::InARow, 40);
        w.run_until(ENDS);
        judge(seed, &w);
    }
}

#[test]
fn a_fleet_recovers_from_crashes_in_the_midst_of_each_phase() {
    for seed in seeds(2_200, 3) {
        let mut w = day(seed, Down::Midst, 40);
        w.run_until(ENDS);
        judge(seed, &w);
    }
}

/// Three hundred machines and more: once, as it takes long.
#[test]
fn three_hundred_machines_come_back_at_once() {
    let mut w = day(2_300, Down::InARow, 220);
    w.run_until(24_000);
    let up = w.workers.iter().filter(|m| m.up).count();
    assert!(up >= 300, "{up} machines");
    w.run_until(ENDS);
    judge(2_300, &w);
}

/// Tasks whose leases ran out while nobody led start again where they were: the ledger has them there.
#[test]
fn what_a_lost_lease_killed_starts_again_where_it_was() {
    let mut w = day_of_lost_leases(2_400);
    let down = DOWN_MS;
    w.run_until(down);
    let places = |w: &Simulation| -> Vec<(String, String)> {
        let of = |m: &super::workers::Worker| {
            let id = m.id.to_string();
            m.tasks
                .iter()
                .filter(|t| t.present())
                .map(move |t| (t.name.clone(), id.clone()))
                .collect::<Vec<_>>()
        };
        let mut all: Vec<_> = w.workers.iter().flat_map(of).collect();
        all.sort();
        all
    };
    let before = places(&w);
    assert_eq!(before.len(), 80);
    w.run_until(down + 24_000);
    assert!(places(&w).is_empty(), "every lease is over");
    w.run_until(down + 45_000);
    assert!(w.rules.broken.is_empty(), "{:?}", w.rules.broken);
    let after = places(&w);
    let same = after.iter().filter(|p| before.contains(p)).count();
    assert!(after.len() == 80 && same >= 76, "{} are back, {same} where they were", after.len());
}

#[test]
fn nodes_back_within_a_fraction_of_a_second_keep_the_rules_while_old_messages_come_again() {
    for seed in seeds(2_600, 4) {
        let mut w = day_of_quick_returns(seed, 30);
        w.run_until(ENDS);
        judge(seed, &w);
    }
}

/// Whether some seed of a few breaks a rule, or does something needless, with a guard out.
fn noticed(from: u64, down: Down, injected_fault: fn(&mut Controller, u64)) -> bool {
    (from..from + 12).any(|seed| {
        let mut w = day(seed, down, 30);
        w.injected_fault = Some(injected_fault);
        w.run_until(120_000);
        !w.rules.broken.is_empty() || !w.needless.is_empty()
    })
}

/// The guard on the fence is taken out in the search of all orders (`crates/recovery`): here an order is hardly ever
/// still on its way when the next leader reads.
#[test]
fn the_checkers_notice_machines_given_up_unheard() {
    assert!(noticed(2_500, Down::InARow, |controller, _| controller
        .disable_check(DisabledCheck::HeartbeatCollection)));
}

/// A start that had been carried out came again after the worker had forgotten how it ended: it ran once more, while the
/// task's next attempt ran elsewhere (seed 5002).
#[test]
fn the_checkers_notice_ended_attempts_that_are_forgotten_too_soon() {
    let broken = (5_000..5_040).any(|seed| {
        let mut w = day_of_quick_returns(seed, 30);
        w.again = 0.3;
        w.injected_fault =
            Some(|controller, _| controller.disable_check(DisabledCheck::UnacknowledgedStarts));
        w.run_until(120_000);
        w.rules.broken.iter().any(|b| b.contains("ran_twice"))
    });
    assert!(broken);
}
