use super::super::test_support::{heartbeat, leader};
use super::*;
use crate::jobs::{JobCache, OpenJob, Phase, Record};
use crate::types::{Revision, WallTime};
use crate::wire::cloud::CloudRequest;
use std::sync::Arc;

const NOW: MonotonicTime = MonotonicTime::from_millis(9_000);

fn machine_id(number: usize) -> MachineId {
    MachineId::from(format!("m-{number}").as_str())
}

fn job_id(number: usize) -> JobId {
    JobId::from(format!("req-{number}").as_str())
}

fn open_job(job_type: JobType) -> Arc<OpenJob> {
    let mut spec = crate::jobs::tests::spec();
    spec.job_type = job_type;
    Arc::new(OpenJob { spec, submitted: WallTime(1), assigned_node: "n0".into() })
}

/// A leader with two machines, `m-0` and `m-1`, and the jobs `req-0` to `req-9`.
fn cluster(job_type: JobType) -> Leader {
    let mut leader = leader();
    for number in 0..2 {
        leader.process_heartbeat(&heartbeat(machine_id(number).as_str(), "z0", 1), NOW);
    }
    leader.heartbeat_collection.records_read(NOW);
    leader.update_failover_phase(NOW);
    for number in 0..10 {
        leader.job_states.insert(job_id(number), JobState::new(open_job(job_type), NOW));
    }
    leader
}

fn is_schedulable(leader: &Leader, machine: usize) -> bool {
    leader.machines.get(&machine_id(machine)).expect("known machine").is_schedulable(NOW)
}

/// Guards against faulty machines that attract one task after the other because they are empty, and against
/// jobs that fail everywhere and make good machines count as faulty.
#[test]
fn drains_machine_on_which_several_jobs_failed_but_not_for_one_job() {
    let mut leader = cluster(JobType::Array);
    leader.task_failed(&machine_id(0), &job_id(1), NOW);
    leader.task_failed(&machine_id(0), &job_id(1), NOW);
    assert!(is_schedulable(&leader, 0), "the same job must not count twice");
    (0..2).for_each(|machine| leader.task_failed(&machine_id(machine), &job_id(2), NOW));
    assert!(is_schedulable(&leader, 0), "a job that fails everywhere must not count");
    leader.task_failed(&machine_id(0), &job_id(3), NOW);
    assert!(!is_schedulable(&leader, 0));
    assert!(is_schedulable(&leader, 1));
    let call = leader.plan_returns(NOW).expect("machine to return");
    assert!(matches!(&call.request, CloudRequest::Release { machines } if *machines == [machine_id(0)]));
}

/// Guards against machines that no job may use any more after several jobs failed everywhere.
#[test]
fn machines_are_schedulable_again_once_the_jobs_that_failed_there_fail_elsewhere() {
    for job_type in [JobType::Array, JobType::Gang, JobType::Service] {
        let mut leader = cluster(job_type);
        (0..4).for_each(|number| leader.task_failed(&machine_id(0), &job_id(number), NOW));
        assert!(!is_schedulable(&leader, 0));
        (0..3).for_each(|number| leader.task_failed(&machine_id(1), &job_id(number), NOW));
        assert!(is_schedulable(&leader, 0), "one job remains that failed on this machine alone");
        assert!(is_schedulable(&leader, 1));
    }
}

/// Guards against machines that no job may use any more although the users have cancelled the failing jobs.
#[test]
fn machines_are_schedulable_again_once_the_jobs_that_failed_there_are_cancelled() {
    let mut leader = cluster(JobType::Array);
    (0..2).for_each(|number| leader.task_failed(&machine_id(0), &job_id(number), NOW));
    assert!(!is_schedulable(&leader, 0));
    let mut job_cache = JobCache::default();
    job_cache.learn(job_id(0), Revision(1), Record::Open(open_job(JobType::Array)));
    job_cache.learn(job_id(0), Revision(2), Record::Cancelled);
    assert_eq!(job_cache.terminal_status(&job_id(0)), Some(Phase::Cancelled));
    leader.job_changed(&job_cache, &job_id(0), NOW);
    assert!(is_schedulable(&leader, 0));
}

/// Guards against faulty machines that stay in use because other tasks of the job fail on another one: a job
/// of which a task is done does not fail everywhere.
#[test]
fn job_with_a_done_task_does_not_exonerate_machines() {
    let mut leader = cluster(JobType::Array);
    for number in 0..2 {
        leader.job_states.get_mut(&job_id(number)).expect("known job").mark_done(0);
        (0..2).for_each(|machine| leader.task_failed(&machine_id(machine), &job_id(number), NOW));
    }
    assert!(!is_schedulable(&leader, 0) && !is_schedulable(&leader, 1));
}
