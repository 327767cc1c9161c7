//! Two troubles at once, as operators have met them: pairs that overlap, drawn by the seed.

#![cfg(test)]

use super::days::{DAY_ENDS, TROUBLE_ENDS};
use super::gap::of_seeds;
use super::recovery::seeds;
use super::tests::{day, run};
use super::{Event, Fault, Host, Leader, NODES, World, job};
use crate::node::{Controller, Method};
use rand::RngExt;
use serde_json::json;

/// How long no question about a job may go without an answer, once all troubles are over.
const UNANSWERED: u64 = 75_000;

/// The rows of `docs/design/meetings.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    HeldOrders,
    LateWrites,
    LateReports,
    LeaderApart,
    HandOvers,
    LeaderEnds,
    Deaf,
    Slow,
    RefusedThenAway,
    AllAway,
    CalledOffNow,
    CalledOffAtEnd,
    Mute,
    OddRequests,
    CloseLooks,
    LostAnswers,
    CopiesForNext,
    FastBoots,
}

const ALL: [Trouble; 18] = [
    Trouble::HeldOrders,
    Trouble::LateWrites,
    Trouble::LateReports,
    Trouble::LeaderApart,
    Trouble::HandOvers,
    Trouble::LeaderEnds,
    Trouble::Deaf,
    Trouble::Slow,
    Trouble::RefusedThenAway,
    Trouble::AllAway,
    Trouble::CalledOffNow,
    Trouble::CalledOffAtEnd,
    Trouble::Mute,
    Trouble::OddRequests,
    Trouble::CloseLooks,
    Trouble::LostAnswers,
    Trouble::CopiesForNext,
    Trouble::FastBoots,
];

/// Brings a trouble about from `from` to `to` at the latest.
fn bring(w: &mut World, trouble: Trouble, from: u64, to: u64) {
    let fault = Event::Fault;
    match trouble {
        Trouble::HeldOrders => {
            for _ in 0..8 {
                let (i, m) = (w.rng.random_range(0..NODES), w.rng.random_range(0..12));
                let (a, b) = (Host::Node(i), Host::Machine(m));
                let (a, b) = if w.rng.random_bool(0.4) { (b, a) } else { (a, b) };
                let at = w.rng_ms(from, to - 2_000);
                let until = (at + w.rng_ms(1_000, 30_000)).min(to);
                w.at(at, fault(Fault::Hold { a, b, on: true }));
                w.at(until, fault(Fault::Hold { a, b, on: false }));
            }
        }
        Trouble::LateWrites => {
            let share = w.rng.random_range(0.1..0.5);
            w.at(from, fault(Fault::LateWrites(share)));
            w.at(to, fault(Fault::LateWrites(0.0)));
        }
        Trouble::LateReports => {
            let share = w.rng.random_range(0.2..0.6);
            w.at(from, fault(Fault::LateReports(share)));
            w.at(to, fault(Fault::LateReports(0.0)));
        }
        Trouble::LeaderApart => w.at(from, fault(Fault::Leader(Leader::Apart, to - from))),
        Trouble::HandOvers => {
            let mut at = from;
            while at < to {
                let all = w.rng.random_bool(0.2);
                match all {
                    true => (0..NODES).for_each(|i| w.at(at + i as u64, fault(Fault::Crash(i)))),
                    false => w.at(at, fault(Fault::Leader(Leader::Ends, 0))),
                }
                at += w.rng_ms(2_000, 12_000);
            }
        }
        Trouble::LeaderEnds => w.at(from, fault(Fault::Leader(Leader::Ends, 0))),
        Trouble::Deaf => {
            for _ in 0..4 {
                let at = w.rng_ms(from, to);
                let ms = w.rng.random_range(2_000..40_000).min(TROUBLE_ENDS - at);
                w.at(at, fault(Fault::MachineDeaf(ms)));
            }
        }
        Trouble::Slow => {
            let ms = w.rng.random_range(200..4_000);
            w.at(from, fault(Fault::StateSlow(ms)));
            w.at(to, fault(Fault::StateSlow(0)));
        }
        Trouble::AllAway => {
            let every = w.rng.random_range(2_000..4_000);
            let until = to.min(from + 22_000);
            for at in (from..until).step_by(every) {
                (0..NODES).for_each(|i| w.at(at + i as u64, fault(Fault::Crash(i))));
            }
        }
        Trouble::CalledOffNow => {
            for _ in 0..2 {
                let at = w.rng_ms(from, to);
                let (count, hang) = (w.rng.random_range(2..8), w.rng.random_range(0..30_000));
                w.at(at, fault(Fault::CancelNow(count, hang.min(TROUBLE_ENDS - at))));
            }
        }
        Trouble::CalledOffAtEnd => {
            w.at(from, fault(Fault::CancelAtEnd(0.5)));
            w.at(to, fault(Fault::CancelAtEnd(0.0)));
        }
        Trouble::Mute => {
            for n in 0..4 {
                let at = w.rng_ms(from, to);
                let ms = w.rng.random_range(2_000..40_000).min(TROUBLE_ENDS - at);
                w.at(at, fault(if n == 0 { Fault::AllMute(ms) } else { Fault::MachineMute(ms) }));
            }
        }
        Trouble::OddRequests => {
            w.at(from, fault(Fault::OddRequests(true)));
            w.at(to, fault(Fault::OddRequests(false)));
        }
        Trouble::CloseLooks => {
            w.at(from, fault(Fault::CloseLooks(true)));
            w.at(to, fault(Fault::CloseLooks(false)));
        }
        Trouble::LostAnswers => {
            let share = w.rng.random_range(0.1..0.5);
            w.at(from, fault(Fault::LostAnswers(share)));
            w.at(to, fault(Fault::LostAnswers(0.0)));
        }
        Trouble::CopiesForNext => {
            let share = w.rng.random_range(0.2..0.6);
            w.at(from, fault(Fault::CopiesForNext(share)));
            w.at(to, fault(Fault::CopiesForNext(0.0)));
        }
        Trouble::FastBoots => {
            w.at(from, fault(Fault::FastBoots(true)));
            w.at(to, fault(Fault::FastBoots(false)));
        }
        Trouble::RefusedThenAway => {
            w.at(from, fault(Fault::Leader(Leader::Refused, 9_000)));
            let down = from + w.rng_ms(500, 8_000);
            w.at(down, fault(Fault::StateOutage(true)));
            w.at(to.max(down + 1_000), fault(Fault::StateOutage(false)));
        }
    }
}

/// A day on which two troubles overlap, twice, while at least three machines fail.
fn meeting_day(seed: u64) -> (World, Vec<Trouble>) {
    let mut met = Vec::new();
    let w = day(seed, |w| {
        w.keeps_images = true;
        w.away_ms = if seed.is_multiple_of(2) { 20..400 } else { 1_000..4_000 };
        w.drift_ppm = vec![500, -500, 0];
        // Jobs of two or three tasks, some of which end far apart.
        for n in 20..30 {
            let job_type = ["array", "ensemble", "array"][n % 3];
            let mut body = job(n, job_type, 2 + n as u32 % 2);
            body["expected_s"] = w.rng.random_range(1.0..6.0).into();
            let at = w.rng_ms(500, 60_000);
            let gone = w.rng.random_bool(0.3).then(|| at + w.rng_ms(500, 15_000));
            w.add_user(at, body, gone);
        }
        for part in [10_000..45_000, 48_000..TROUBLE_ENDS - 1_000] {
            let first = w.rng.random_range(0..ALL.len());
            let second = (first + w.rng.random_range(1..ALL.len())) % ALL.len();
            for trouble in [ALL[first], ALL[second]] {
                let from = w.rng_ms(part.start, part.start + 10_000);
                let to = w.rng_ms(from + 10_000, part.end.max(from + 10_001)).min(TROUBLE_ENDS);
                bring(w, trouble, from, to);
                met.push(trouble);
            }
        }
        for n in 0..w.rng.random_range(3..6) {
            let (at, ms) = (w.rng_ms(8_000, 80_000), w.rng.random_range(2_000..30_000));
            let fails =
                [Fault::MachineDies, Fault::MachineHangs(ms), Fault::SpotNotice, Fault::MachineHangs(ms)];
            w.at(at, Event::Fault(fails[n % 4].clone()));
        }
    });
    (w, met)
}

/// Every job that was accepted is answered for, and its record is there.
pub(super) fn nobody_forgotten(w: &World) -> Option<String> {
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
        controller.sabotage_forget_silent(4_000);
    }
    fn done_early(controller: &mut Controller, _: u64) {
        controller.sabotage_done_early();
    }
    let broken = |spoil: &(dyn Fn(&mut World) + Sync)| {
        of_seeds(4_000..4_032, |seed| {
            let (mut w, _) = meeting_day(seed);
            spoil(&mut w);
            w.run_until(DAY_ENDS);
            w.rules.broken.first().cloned()
        })
    };
    assert!(!broken(&|w| w.sabotage = Some(forget_silent)).is_empty(), "silence taken for proof");
    assert!(!broken(&|w| w.sabotage = Some(done_early)).is_empty(), "done told early");
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
