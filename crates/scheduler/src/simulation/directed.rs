//! Runs each known combination of faults on days of its own: a count shows that the combination occurred, and
//! with one check of the controllers disabled the days must show a failure.
//! `docs/design/combined_failures.md` lists the rows.

#![cfg(test)]

use super::Simulation;
use super::combined_faults::lost_job;
use super::days::directed::{ROWS, Row};
use super::days::{DAY_ENDS, TROUBLE_ENDS};
use super::isolated_leader::failures_of_seeds;
use super::recovery::seeds;
use super::tests::unserved_job;
use super::waiting::Waiting;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// Runs a row's day, with or without the row's check. Returns the first failure, if any, and the day.
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
        .or_else(|| lost_job(&simulation))
        .or_else(|| unserved_job(&simulation));
    (wrong, simulation)
}

/// The default number of seeds per row. The rows' minimum counts are for this number.
const SEEDS: u64 = 4;

#[test]
fn each_combination_occurs_and_breaks_no_rule() {
    let mut wrong = Vec::new();
    for row in &ROWS {
        let counts = Mutex::new(BTreeMap::<&str, u64>::new());
        let all = seeds(6_000, SEEDS);
        let seed_count = all.end - all.start;
        let broken = failures_of_seeds(all, |seed| {
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
        let is_too_rare = |(situation, least): &&(&str, u64)| {
            counts.get(situation).copied().unwrap_or(0) < (*least * seed_count).div_ceil(SEEDS)
        };
        wrong.extend(
            row.occurrences
                .iter()
                .filter(is_too_rare)
                .map(|situation| format!("{}: occurred too rarely: {situation:?}", row.name)),
        );
    }
    assert!(wrong.is_empty(), "{} failures:\n{}", wrong.len(), wrong.join("\n"));
}

#[test]
fn each_row_fails_with_its_check_disabled() {
    let undetected: Vec<&str> = ROWS
        .iter()
        .filter(|row| {
            let fails =
                |from: u64| !failures_of_seeds(from..from + 8, |seed| play(row, seed, true).0).is_empty();
            !(0..4).any(|k| fails(6_000 + 8 * k))
        })
        .map(|row| row.name)
        .collect();
    assert!(undetected.is_empty(), "rows without a failure although their check is disabled: {undetected:?}");
}
