use super::super::test_support::{heartbeat, leader};
use super::*;
use crate::assignments::CommitPriority;
use crate::jobs::{JobState, OpenJob};
use crate::settings::Settings;
use crate::types::{JobId, MachineId, MonotonicTime, NodeName, Resources, WallTime};
use std::collections::BTreeSet;
use std::sync::Arc;

const NOW: MonotonicTime = MonotonicTime::from_millis(1_000);

/// A leader that may write four changes per second, with two large machines and twenty small ones.
fn cluster() -> Leader {
    let mut leader = leader();
    leader.commits.limit_writes(4.0);
    for index in 0..22 {
        let id = MachineId::from(format!("m-{index:02}").as_str());
        leader.process_heartbeat(&heartbeat(id.as_str(), "z0", 1), NOW);
        let size = if index < 2 { 16.0 } else { 1.0 };
        let machine = leader.machines.get_mut(&id).expect("the machine was added by its heartbeat");
        machine.total = Resources { cpus: size, gpus: 0.0, memory_gb: size };
        leader.machines.recount(&id, NOW);
    }
    leader.settings = Arc::new(Settings { zones: vec!["z0".into()], ..(*leader.settings).clone() });
    leader
}

fn add_job(leader: &mut Leader, id: &str, job_type: JobType, tasks: u32) {
    let mut spec = crate::jobs::tests::spec();
    spec.job_type = job_type;
    spec.tasks = tasks;
    spec.types = None;
    spec.zone = None;
    spec.resources = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 1.0 };
    spec.team = leader.settings.teams.keys().next().expect("the settings have a team").clone();
    let job = OpenJob { spec, submitted: WallTime(1), assigned_node: "n0".into() };
    leader.job_states.insert(id.into(), JobState::new(Arc::new(job), NOW));
}

/// Runs a scheduling pass. Returns the first job and the machines of its only round.
fn run_pass(leader: &mut Leader) -> (JobId, Vec<MachineId>) {
    let own_node = NodeName::from("n0");
    let rounds = leader.build_rounds(&BTreeSet::from([own_node.clone()]), &own_node, NOW);
    let round = &rounds[0];
    let machines = round.machines.iter().map(|view| view.id.clone()).collect();
    (round.requests[0].job.clone(), machines)
}

/// Guards against spending the write budget on machines that start few tasks: spread over all machines with
/// free resources, the 30 tasks of this test need about 20 record writes, at four writes per second; on the
/// large machines they need two.
#[test]
fn array_tasks_use_fewest_records_when_writes_are_scarce() {
    let mut leader = cluster();
    add_job(&mut leader, "req-1", JobType::Array, 30);
    let (_, machines) = run_pass(&mut leader);
    assert_eq!(machines, ["m-00".into(), "m-01".into()]);
    // Machines whose record has an urgent write queued take tasks without an additional write; they use up
    // the limit, so no other machine is a candidate.
    let mut leader = cluster();
    add_job(&mut leader, "req-1", JobType::Array, 30);
    let queued: Vec<MachineId> = (5..9).map(|index| format!("m-{index:02}").as_str().into()).collect();
    for id in &queued {
        leader.commits.put(&assignments::key(id), Some("{}".into()), CommitPriority::Urgent);
    }
    let (_, machines) = run_pass(&mut leader);
    assert_eq!(machines, queued);
    // While the write budget suffices, all machines are candidates.
    let mut leader = cluster();
    add_job(&mut leader, "req-1", JobType::Array, 4);
    let (_, machines) = run_pass(&mut leader);
    assert_eq!(machines.len(), 22);
}

/// Guards against one kind of job delaying the other while writes are scarce: array jobs and services are
/// requested in alternating passes, and the rounds of a pass for services include all machines.
#[test]
fn passes_alternate_between_arrays_and_services_when_writes_are_scarce() {
    let mut leader = cluster();
    add_job(&mut leader, "req-1", JobType::Array, 30);
    add_job(&mut leader, "req-2", JobType::Service, 3);
    let mut seen = Vec::new();
    for _ in 0..4 {
        leader.job_states.values_mut().for_each(|job_state| job_state.tasks_in_round = 0);
        let (job, machines) = run_pass(&mut leader);
        seen.push((job.to_string(), machines.len()));
    }
    let array = ("req-1".to_string(), 2);
    let service = ("req-2".to_string(), 22);
    assert_eq!(seen, [array.clone(), service.clone(), array, service]);
}
