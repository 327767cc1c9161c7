//! Jobs that were submitted with a mistake fail on every machine until their users cancel them. They must not
//! keep others from running.

#![cfg(test)]

use super::Simulation;
use super::days::mistaken_jobs::{DAY_ENDS, Mistakes, VALID_JOB, mistaken_jobs};
use super::waiting::Waiting;

/// How often waiting jobs are checked, in milliseconds: less than the shortest fetch, so that no start of a job
/// that fails at once is missed.
const CHECK_EVERY_MS: u64 = 100;

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

fn assert_valid_job_runs(seeds: std::ops::Range<u64>, mistakes: Mistakes) {
    for seed in seeds {
        let (simulation, overdue) = run(mistaken_jobs(seed, mistakes));
        assert!(simulation.rules.broken.is_empty(), "seed {seed}: {:?}", simulation.rules.broken);
        assert_eq!(overdue, None, "seed {seed}, {mistakes:?}");
        assert_eq!(simulation.rules.terminal_status(VALID_JOB), Some("done"), "seed {seed}, {mistakes:?}");
    }
}

/// Guards against machines that accept no tasks any more because several jobs with a mistake failed on them: an
/// accepted job waited for ever although all machines had room for it.
#[test]
fn job_runs_after_mistaken_jobs_failed_on_all_machines_and_were_cancelled() {
    for job_type in ["array", "ensemble", "daemon"] {
        assert_valid_job_runs(9_300..9_304, Mistakes { jobs: 8, tasks: 1, job_type, are_cancelled: true });
    }
    assert_valid_job_runs(
        9_304..9_306,
        Mistakes { jobs: 30, tasks: 1, job_type: "array", are_cancelled: true },
    );
}

/// Guards against the same while the jobs go on failing, since their users don't cancel them.
#[test]
fn job_runs_while_mistaken_jobs_fail_on_all_machines() {
    for job_type in ["array", "ensemble", "daemon"] {
        assert_valid_job_runs(9_310..9_314, Mistakes { jobs: 8, tasks: 1, job_type, are_cancelled: false });
    }
    assert_valid_job_runs(
        9_314..9_316,
        Mistakes { jobs: 30, tasks: 1, job_type: "array", are_cancelled: false },
    );
}
