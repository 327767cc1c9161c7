//! Each combination of faults by itself: a day that brings it about, a count that shows that it took place, and the check
//! that the day shows to be needed. `docs/design/combined_failures.md` has the rows.

#![cfg(test)]

use super::Simulation;
use super::combined_faults::forgotten_job;
use super::days::directed::{ROWS, Row};
use super::days::{DAY_ENDS, TROUBLE_ENDS};
use super::isolated_leader::of_seeds;
use super::recovery::seeds;
use super::tests::judged;
use super::waiting::Waiting;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// Plays a row's day, with its check or without; what is wrong with it, and the day.
fn play(row: &Row, seed: u64, without_check: bool) -> (Option<String>, Simulation) {
    let mut simulation = (row.day)(seed);
    if without_check {
        (row.without)(&mut simulation);
    }
    simulation.run_until(TROUBLE_ENDS);
    let mut waiting = Waiting::default();
    while simulation.now < DAY_ENDS && simulation.rules.broken.is_empty() {
        let next = simulation.now + 1_000;
        simulation.run_until(next);
        if let Some(what) = waiting.overdue_job(&simulation) {
            return (Some(what), simulation);
        }
    }
    let wrong = simulation
        .rules
        .broken
        .first()
        .cloned()
        .or_else(|| forgotten_job(&simulation))
        .or_else(|| judged(&simulation));
    (wrong, simulation)
}

/// How many seeds each row is played with; the rows' least counts are for so many.
const SEEDS: u64 = 4;

#[test]
fn each_combination_takes_place_and_no_rule_breaks() {
    let mut wrong = Vec::new();
    for row in &ROWS {
        let counts = Mutex::new(BTreeMap::<&str, u64>::new());
        let all = seeds(6_000, SEEDS);
        let asked = all.end - all.start;
        let broken = of_seeds(all, |seed| {
            let (wrong, simulation) = play(row, seed, false);
            let mut counts = counts.lock().expect("no thread panicked");
            simulation
                .occurrences
                .iter()
                .for_each(|(situation, count)| *counts.entry(situation).or_default() += count);
            wrong
        });
        let counts = counts.into_inner().expect("no thread panicked");
        println!("{}: {counts:?}", row.name);
        wrong.extend(broken.into_iter().map(|b| format!("{}: {b}", row.name)));
        let is_too_rare = |(what, least): &&(&str, u64)| {
            counts.get(what).copied().unwrap_or(0) < (*least * asked).div_ceil(SEEDS)
        };
        wrong.extend(
            row.occurrences
                .iter()
                .filter(is_too_rare)
                .map(|situation| format!("{}: did not take place: {situation:?}", row.name)),
        );
    }
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

#[test]
fn each_row_notices_its_disabled_check() {
    let unnoticed: Vec<&str> = ROWS
        .iter()
        .filter(|row| {
            let first = |from: u64| !of_seeds(from..from + 8, |seed| play(row, seed, true).0).is_empty();
            !(0..4).any(|k| first(6_000 + 8 * k))
        })
        .map(|row| row.name)
        .collect();
    assert!(unnoticed.is_empty(), "nothing noticed: {unnoticed:?}");
}
