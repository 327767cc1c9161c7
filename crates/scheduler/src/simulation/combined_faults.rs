//! Two troubles at once, as operators have met them: pairs that overlap, drawn by the seed.

#![cfg(test)]

use super::days::combined_faults::meeting_day;
use super::days::ordinary::day;
use super::days::{DAY_ENDS, TROUBLE_ENDS};
use super::isolated_leader::of_seeds;
use super::recovery::seeds;
use super::tests::run;
use super::{NODES, Simulation};
use crate::node::{Controller, DisabledCheck, Method};
use serde_json::json;

/// How long no question about a job may go without an answer, once all troubles are over.
const UNANSWERED: u64 = 75_000;

/// Every job that was accepted is answered for, and its record is there.
pub(super) fn nobody_forgotten(w: &Simulation) -> Option<String> {
    let accepted = w.users.iter().filter(|u| w.rules.accepted(&u.id));
    let mut wrong = accepted.filter_map(|u| {
        let silent = DAY_ENDS.saturating_sub(u.answered_at.max(TROUBLE_ENDS));
        if w.state.key(&format!("j/{}", u.id)).is_none() {
            return Some(format!("{} was accepted and has no record", u.id));
        }
        (silent > UNANSWERED).then(|| format!("{}: no question answered for {silent} ms", u.id))
    });
    wrong.next()
}

#[test]
fn where_two_troubles_meet_no_rule_breaks_and_nobody_is_forgotten() {
    let wrong = of_seeds(seeds(4_000, 40), |seed| {
        let (w, met) = meeting_day(seed);
        let end = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(seed, w)));
        match end {
            Ok(w) => nobody_forgotten(&w).map(|what| format!("{met:?}: {what}")),
            Err(what) => {
                let what = what.downcast_ref::<String>().cloned().unwrap_or_default();
                Some(format!("{met:?}: {what}"))
            }
        }
    });
    assert!(wrong.is_empty(), "{} broken:\n{}", wrong.len(), wrong.join("\n"));
}

/// Guards taken out of the core, and a world that breaks its word, in the same days.
#[test]
fn the_checker_notices_in_these_days_too() {
    fn forget_silent(controller: &mut Controller, _: u64) {
        controller.disable_check(DisabledCheck::LeaseExpiry { silence_ms: 4_000 });
    }
    fn done_early(controller: &mut Controller, _: u64) {
        controller.disable_check(DisabledCheck::TaskCompletion);
    }
    let broken = |corrupt: &(dyn Fn(&mut Simulation) + Sync)| {
        of_seeds(4_000..4_032, |seed| {
            let (mut w, _) = meeting_day(seed);
            corrupt(&mut w);
            w.run_until(DAY_ENDS);
            w.rules.broken.first().cloned()
        })
    };
    assert!(!broken(&|w| w.injected_fault = Some(forget_silent)).is_empty(), "silence taken for proof");
    assert!(!broken(&|w| w.injected_fault = Some(done_early)).is_empty(), "done told early");
    assert!(!broken(&|w| w.state.careless = true).is_empty(), "late transactions without conditions");
}

/// A report that names a fence, a serial or an attempt which nobody can have given changes nothing for the others.
#[test]
fn impossible_numbers_in_a_report_are_refused_and_move_no_fencing_token() {
    let mut w = day(4_990, |_| {});
    w.run_until(20_000);
    let leader = w.leader().expect("somebody leads");
    let top = u64::MAX;
    for (tag, (fencing_token, serial, tenure, attempt)) in
        [(top, 1, 1, 1), (top - 1, top, top, top), (1, top, top, top), (0, 0, 0, 0)].into_iter().enumerate()
    {
        let task = json!({"shard": "req-999999/0", "try": attempt, "phase": "running"});
        let body = json!({"host": "m-999999", "addr": "10.9.9.9:1", "flavor": "small", "region": "z0",
            "preemptible": false, "tenure": tenure, "serial": serial, "fence": fencing_token, "shards": [task, task]});
        for i in 0..NODES {
            assert!(w.ask(i, tag as u64, Method::Post, "/v1/report", &body.to_string()));
        }
        w.run_until(w.now + 1_000);
        assert_eq!(w.leader(), Some(leader), "fence {fencing_token}");
    }
    let refused = w.answers.iter().filter(|a| a.tag < 2);
    assert!(refused.clone().count() == 2 * NODES && refused.clone().all(|a| a.status == 400));
    let w = run(4_990, w);
    assert!(nobody_forgotten(&w).is_none());
}
