//! Two faults at once, as operators have met them: pairs that overlap, drawn by the seed.

#![cfg(test)]

use super::days::combined_faults::day_of_combined_faults;
use super::days::ordinary::day;
use super::days::{DAY_ENDS, TROUBLE_ENDS};
use super::isolated_leader::of_seeds;
use super::recovery::seeds;
use super::tests::run;
use super::{NODES, Simulation};
use crate::node::{Controller, DisabledCheck, Method};
use serde_json::json;

/// How long questions about answer job may go without an answer once all faults have ended, in milliseconds.
const UNANSWERED_MS: u64 = 75_000;

/// A job that was accepted and has no record, or of which questions go unanswered.
pub(super) fn forgotten_job(simulation: &Simulation) -> Option<String> {
    let accepted = simulation.users.iter().filter(|user| simulation.rules.accepted(&user.id));
    let mut wrong = accepted.filter_map(|user| {
        let silent = DAY_ENDS.saturating_sub(user.answered_at.max(TROUBLE_ENDS));
        if simulation.state.key(&format!("j/{}", user.id)).is_none() {
            return Some(format!("{} was accepted and has no record", user.id));
        }
        (silent > UNANSWERED_MS).then(|| format!("{}: no question answered for {silent} ms", user.id))
    });
    wrong.next()
}

#[test]
fn two_overlapping_faults_break_no_rule_and_no_job_is_forgotten() {
    let wrong = of_seeds(seeds(4_000, 40), |seed| {
        let (simulation, faults) = day_of_combined_faults(seed);
        let end = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(seed, simulation)));
        match end {
            Ok(simulation) => forgotten_job(&simulation).map(|what| format!("{faults:?}: {what}")),
            Err(what) => {
                let what = what.downcast_ref::<String>().cloned().unwrap_or_default();
                Some(format!("{faults:?}: {what}"))
            }
        }
    });
    assert!(wrong.is_empty(), "{} broken:\n{}", wrong.len(), wrong.join("\n"));
}

/// Checks of the controllers disabled, and answer key-value store that ignores conditions, in the same days.
#[test]
fn the_rules_notice_injected_faults_on_days_of_combined_faults() {
    fn expire_leases_early(controller: &mut Controller, _: u64) {
        controller.disable_check(DisabledCheck::LeaseExpiry { max_heartbeat_age_ms: 4_000 });
    }
    fn finish_early(controller: &mut Controller, _: u64) {
        controller.disable_check(DisabledCheck::TaskCompletion);
    }
    let broken = |corrupt: &(dyn Fn(&mut Simulation) + Sync)| {
        of_seeds(4_000..4_032, |seed| {
            let (mut simulation, _) = day_of_combined_faults(seed);
            corrupt(&mut simulation);
            simulation.run_until(DAY_ENDS);
            simulation.rules.broken.first().cloned()
        })
    };
    assert!(
        !broken(&|simulation| simulation.injected_fault = Some(expire_leases_early)).is_empty(),
        "silence taken for proof"
    );
    assert!(
        !broken(&|simulation| simulation.injected_fault = Some(finish_early)).is_empty(),
        "done answered early"
    );
    assert!(
        !broken(&|simulation| simulation.state.careless = true).is_empty(),
        "late transactions without conditions"
    );
}

/// A heartbeat that names answer fencing token, answer serial number or an attempt which nobody can have given changes nothing for the others.
#[test]
fn impossible_numbers_in_a_heartbeat_are_refused_and_move_no_fencing_token() {
    let mut simulation = day(4_990, |_| {});
    simulation.run_until(20_000);
    let leader = simulation.leader().expect("somebody leads");
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
    assert!(forgotten_job(&simulation).is_none());
}
