//! Guards against failures that appear only while two faults overlap: pairs of faults that occur in practice,
//! drawn by the seed.

#![cfg(test)]

use super::days::combined_faults::day_of_combined_faults;
use super::days::ordinary::day;
use super::days::{DAY_ENDS, TROUBLE_ENDS};
use super::isolated_leader::failures_of_seeds;
use super::recovery::seeds;
use super::tests::run;
use super::{NODES, Simulation};
use crate::node::{Controller, DisabledCheck, Method};
use serde_json::json;

/// How long a user's requests may go unanswered once all faults have ended, in milliseconds.
const UNANSWERED_MS: u64 = 75_000;

/// Returns a message about an accepted job that has no record, or whose user's requests go unanswered.
pub(super) fn lost_job(simulation: &Simulation) -> Option<String> {
    let accepted = simulation.users.iter().filter(|user| simulation.rules.accepted(&user.id));
    let mut wrong = accepted.filter_map(|user| {
        let unanswered_ms = DAY_ENDS.saturating_sub(user.answered_at.max(TROUBLE_ENDS));
        if simulation.state.key(&format!("j/{}", user.id)).is_none() {
            return Some(format!("{} was accepted but has no record", user.id));
        }
        (unanswered_ms > UNANSWERED_MS)
            .then(|| format!("{}: no request answered for {unanswered_ms} ms", user.id))
    });
    wrong.next()
}

#[test]
fn two_overlapping_faults_break_no_rule_and_lose_no_job() {
    let wrong = failures_of_seeds(seeds(4_000, 40), |seed| {
        let (simulation, faults) = day_of_combined_faults(seed);
        let end = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(seed, simulation)));
        match end {
            Ok(simulation) => lost_job(&simulation).map(|what| format!("{faults:?}: {what}")),
            Err(what) => {
                let what = what.downcast_ref::<String>().cloned().unwrap_or_default();
                Some(format!("{faults:?}: {what}"))
            }
        }
    });
    assert!(wrong.is_empty(), "{} broken:\n{}", wrong.len(), wrong.join("\n"));
}

/// The same days with a disabled check of the controllers, or a key-value store that ignores conditions, must
/// break a rule.
#[test]
fn rules_detect_injected_faults_on_days_of_combined_faults() {
    fn expire_leases_early(controller: &mut Controller, _: u64) {
        controller.disable_check(DisabledCheck::LeaseExpiry { max_heartbeat_age_ms: 4_000 });
    }
    fn finish_early(controller: &mut Controller, _: u64) {
        controller.disable_check(DisabledCheck::TaskCompletion);
    }
    let broken = |corrupt: &(dyn Fn(&mut Simulation) + Sync)| {
        failures_of_seeds(4_000..4_032, |seed| {
            let (mut simulation, _) = day_of_combined_faults(seed);
            corrupt(&mut simulation);
            simulation.run_until(DAY_ENDS);
            simulation.rules.broken.first().cloned()
        })
    };
    assert!(
        !broken(&|simulation| simulation.injected_fault = Some(expire_leases_early)).is_empty(),
        "no rule was broken although leases were treated as expired too early"
    );
    assert!(
        !broken(&|simulation| simulation.injected_fault = Some(finish_early)).is_empty(),
        "no rule was broken although jobs were reported done too early"
    );
    assert!(
        !broken(&|simulation| simulation.state.ignores_conditions = true).is_empty(),
        "no rule was broken although the store ignored the conditions of late transactions"
    );
}

/// A heartbeat with a fencing token, a serial number or an attempt that was never issued must not affect the
/// leader or other machines. Fencing tokens near the largest value are refused.
#[test]
fn refuses_heartbeats_with_impossible_numbers_and_keeps_the_leader() {
    let mut simulation = day(4_990, |_| {});
    simulation.run_until(20_000);
    let leader = simulation.leader().expect("a node leads");
    let top = u64::MAX;
    for (tag, (fencing_token, serial, worker_epoch, attempt)) in
        [(top, 1, 1, 1), (top - 1, top, top, top), (1, top, top, top), (0, 0, 0, 0)].into_iter().enumerate()
    {
        let task = json!({"shard": "req-999999/0", "try": attempt, "phase": "running"});
        let body = json!({"host": "m-999999", "addr": "10.9.9.9:1", "flavor": "small", "region": "z0",
            "preemptible": false, "tenure": worker_epoch, "serial": serial, "fence": fencing_token, "shards": [task, task]});
        for node in 0..NODES {
            assert!(simulation.ask(node, tag as u64, Method::Post, "/v1/report", &body.to_string()));
        }
        simulation.run_until(simulation.now + 1_000);
        assert_eq!(simulation.leader(), Some(leader), "fencing token {fencing_token}");
    }
    let refused = simulation.answers.iter().filter(|answer| answer.tag < 2);
    assert!(refused.clone().count() == 2 * NODES && refused.clone().all(|answer| answer.status == 400));
    let simulation = run(4_990, simulation);
    assert!(lost_job(&simulation).is_none());
}
