//! Jobs that were submitted with a mistake fail on every machine until their users cancel them. They must not
//! keep others from running.

#![cfg(test)]

use super::Simulation;
use super::days::mistaken_jobs::{DAY_ENDS, Mistakes, VALID_JOB, mistaken_jobs};
use super::waiting::Waiting;

/// How often waiting jobs are checked, in milliseconds: less than the shortest fetch, so that no start of a job
/// that fails at once is missed.
const CHECK_EVERY_MS: u64 = 100;
/// The number of seeds of each kind of day.
const SEEDS: u64 = 4;

/// Runs a day to its end or until a job has waited for too long although a machine had room for it.
fn run(mut simulation: Simulation) -> (Simulation, Option<String>) {
    let mut waiting = Waiting::default();
    while simulation.now < DAY_ENDS {
        simulation.run_until(simulation.now + CHECK_EVERY_MS);
        let overdue = waiting.overdue_job(&simulation);
        if overdue.is_some() || !simulation.rules.broken.is_empty() {
            return (simulation, overdue);
        }
    }
    (simulation, None)
}

/// Runs days with a few jobs of each type and with many, and checks that the job without a mistake is done on each.
fn assert_valid_job_runs(first_seed: u64, are_cancelled: bool) {
    let few = |job_type| Mistakes { jobs: 8, tasks: 1, job_type, are_cancelled };
    let many = Mistakes { jobs: 30, ..few("array") };
    for mistakes in [few("array"), few("ensemble"), few("daemon"), many] {
        for seed in first_seed..first_seed + SEEDS {
            let (simulation, overdue) = run(mistaken_jobs(seed, mistakes));
            let broken = &simulation.rules.broken;
            assert!(broken.is_empty(), "seed {seed}, {mistakes:?}: {broken:?}");
            assert_eq!(overdue, None, "seed {seed}, {mistakes:?}");
            let status = simulation.rules.terminal_status(VALID_JOB);
            assert_eq!(status, Some("done"), "seed {seed}, {mistakes:?}");
        }
    }
}

/// Guards against machines that accept no tasks any more because several jobs with a mistake failed on them: an
/// accepted job waited for ever although all machines had room for it.
#[test]
fn job_runs_after_mistaken_jobs_failed_on_all_machines_and_were_cancelled() {
    assert_valid_job_runs(9_300, true);
}

/// Guards against the same while the jobs go on failing, since their users don't cancel them.
#[test]
fn job_runs_while_mistaken_jobs_fail_on_all_machines() {
    assert_valid_job_runs(9_310, false);
}
