//! Each meeting of troubles by itself: a day that brings it about, a count that shows that it took place, and the guard
//! whose removal the day notices. `docs/design/combined_failures.md` has the rows.

#![cfg(test)]

use super::Simulation;
use super::combined_faults::nobody_forgotten;
use super::days::directed::{ROWS, Row};
use super::days::{DAY_ENDS, TROUBLE_ENDS};
use super::isolated_leader::of_seeds;
use super::recovery::seeds;
use super::tests::judged;
use super::waiting::Waiting;

/// Plays a row's day; what is wrong with it, and how often each meeting took place.
fn play(row: &Row, seed: u64, without: bool) -> (Option<String>, Simulation) {
    let mut w = (row.day)(seed);
    if without {
        (row.without)(&mut w);
    }
    w.run_until(TROUBLE_ENDS);
    let mut waiting = Waiting::default();
    while w.now < DAY_ENDS && w.rules.broken.is_empty() {
        let next = w.now + 1_000;
        w.run_until(next);
        if let Some(what) = waiting.close_read(&w) {
            return (Some(what), w);
        }
    }
    let wrong = w.rules.broken.first().cloned().or_else(|| nobody_forgotten(&w)).or_else(|| judged(&w));
    (wrong, w)
}

const SEEDS: u64 = 4;

#[test]
fn each_meeting_takes_place_and_no_rule_breaks() {
    let mut wrong = Vec::new();
    for row in &ROWS {
        let counts = std::sync::Mutex::new(std::collections::BTreeMap::<&str, u64>::new());
        let all = seeds(6_000, SEEDS);
        let (asked, played) = (all.end - all.start, all.clone());
        let broken = of_seeds(played, |seed| {
            let (wrong, w) = play(row, seed, false);
            let mut counts = counts.lock().expect("no thread panicked");
            w.occurrences.iter().for_each(|(what, n)| *counts.entry(what).or_default() += n);
            wrong
        });
        let counts = counts.into_inner().expect("no thread panicked");
        println!("{}: {counts:?}", row.name);
        wrong.extend(broken.into_iter().map(|b| format!("{}: {b}", row.name)));
        let took_place = |(what, least): &&(&str, u64)| {
            counts.get(what).copied().unwrap_or(0) < (*least * asked).div_ceil(SEEDS)
        };
        wrong.extend(
            row.occurrences
                .iter()
                .filter(took_place)
                .map(|m| format!("{}: did not take place: {m:?}", row.name)),
        );
    }
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

#[test]
fn each_row_notices_its_guard_taken_out() {
    let blind: Vec<&str> = ROWS
        .iter()
        .filter(|row| {
            let first = |from: u64| !of_seeds(from..from + 8, |seed| play(row, seed, true).0).is_empty();
            !(0..4).any(|k| first(6_000 + 8 * k))
        })
        .map(|row| row.name)
        .collect();
    assert!(blind.is_empty(), "nothing noticed: {blind:?}");
}
