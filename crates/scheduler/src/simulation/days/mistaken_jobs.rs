//! Days on which users submit jobs with a mistake, whose tasks fail on every machine, while the cloud has no
//! machines left.

use super::schedule_fault;
use crate::simulation::{Fault, MISTAKEN_IMAGE, NODES, Simulation, job};
use serde_json::Value;

/// The number of machines, each with a replica of a service and room for further tasks.
const MACHINES: usize = 6;
/// When the mistaken jobs are submitted, in milliseconds.
const SUBMITTED_AT: u64 = 60_000;
/// After which time their users cancel them, if they do, in milliseconds.
const CANCELLED_AFTER: u64 = 30_000;
/// When the job without a mistake is submitted, in milliseconds.
const VALID_JOB_AT: u64 = 95_000;
/// When such a day ends, in milliseconds.
pub const DAY_ENDS: u64 = 230_000;
/// The ID of the job without a mistake.
pub const VALID_JOB: &str = "req-000900";

/// How many mistaken jobs there are, and what becomes of them.
#[derive(Debug, Clone, Copy)]
pub struct Mistakes {
    pub jobs: usize,
    pub tasks: u32,
    pub job_type: &'static str,
    pub are_cancelled: bool,
}

/// A day with mistaken jobs, followed by a job without a mistake. All machines have room for each of them.
pub fn mistaken_jobs(seed: u64, mistakes: Mistakes) -> Simulation {
    let mut simulation = Simulation::with_nodes(seed, NODES, 200);
    for number in 0..MACHINES {
        simulation.add_user(1_000, replica(number), None);
    }
    schedule_fault(&mut simulation, SUBMITTED_AT - 10_000, Fault::CloudFull(true));
    for number in 0..mistakes.jobs {
        let mut body = job(100 + number, mistakes.job_type, mistakes.tasks);
        body["bundle"] = MISTAKEN_IMAGE.into();
        body["vcpus"] = 1.0.into();
        let cancel_at = mistakes.are_cancelled.then_some(SUBMITTED_AT + CANCELLED_AFTER);
        simulation.add_user(SUBMITTED_AT, body, cancel_at);
    }
    simulation.add_user(VALID_JOB_AT, job(900, "array", 1), None);
    simulation
}

/// A service of one replica, which takes most processors of a machine.
fn replica(number: usize) -> Value {
    let mut body = job(number, "daemon", 1);
    body["flavors"] = vec!["small"].into();
    body["vcpus"] = 5.0.into();
    body
}
