use super::super::test_support::{heartbeat, leader};
use super::*;
use crate::assignments::CommitPriority;
use crate::jobs::{JobState, OpenJob};
use crate::settings::Settings;
use crate::types::{JobId, MachineId, MonotonicTime, NodeName, Resources, WallTime};
use std::collections::BTreeSet;
use std::sync::Arc;

const NOW: MonotonicTime = MonotonicTime::from_millis(1_000);

/// Two large machines and twenty small ones, and a leader that may write four changes a second.
fn cluster() -> Leader {
    let mut leader = leader();
    leader.commits.limit_writes(4.0);
    for index in 0..22 {
        let id = MachineId::from(format!("m-{index:02}").as_str());
        leader.process_heartbeat(&heartbeat(id.as_str(), "z0", 1), NOW);
        let size = if index < 2 { 16.0 } else { 1.0 };
        let machine = leader.machines.get_mut(&id).expect("there");
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
    spec.team = leader.settings.teams.keys().next().expect("a team").clone();
    let job = OpenJob { spec, submitted: WallTime(1), assigned_node: "n0".into() };
    leader.job_states.insert(id.into(), JobState::new(Arc::new(job), NOW));
}

/// The first job and the machines of the one round that a scheduling pass makes.
fn pass(leader: &mut Leader) -> (JobId, Vec<MachineId>) {
    let me = NodeName::from("n0");
    let rounds = leader.build_rounds(&BTreeSet::from([me.clone()]), &me, NOW);
    let round = &rounds[0];
    let machines = round.machines.iter().map(|view| view.id.clone()).collect();
    (round.requests[0].job.clone(), machines)
}

/// Spread over all machines with free resources, thirty tasks took twenty records, at four changes a
/// second; on the large ones they take two.
#[test]
fn while_writes_are_scarce_arrays_go_where_a_change_carries_most_starts() {
    let mut leader = cluster();
    add_job(&mut leader, "req-1", JobType::Array, 30);
    let (_, machines) = pass(&mut leader);
    assert_eq!(machines, ["m-00".into(), "m-01".into()]);
    // One whose record waits anyway takes more for nothing, and beyond the bound nobody else does.
    let mut leader = cluster();
    add_job(&mut leader, "req-1", JobType::Array, 30);
    let pressing: Vec<MachineId> = (5..9).map(|index| format!("m-{index:02}").as_str().into()).collect();
    for id in &pressing {
        leader.commits.put(&assignments::key(id), Some("{}".into()), CommitPriority::Urgent);
    }
    let (_, machines) = pass(&mut leader);
    assert_eq!(machines, pressing);
    // With changes to spare all machines are there.
    let mut leader = cluster();
    add_job(&mut leader, "req-1", JobType::Array, 4);
    let (_, machines) = pass(&mut leader);
    assert_eq!(machines.len(), 22);
}

/// Replicas are requested in passes of their own, over all machines, and neither they nor arrays wait
/// for the other.
#[test]
fn replicas_and_arrays_have_their_turns() {
    let mut leader = cluster();
    add_job(&mut leader, "req-1", JobType::Array, 30);
    add_job(&mut leader, "req-2", JobType::Service, 3);
    let mut seen = Vec::new();
    for _ in 0..4 {
        leader.job_states.values_mut().for_each(|job_state| job_state.offered = 0);
        let (job, machines) = pass(&mut leader);
        seen.push((job.to_string(), machines.len()));
    }
    let array = ("req-1".to_string(), 2);
    let service = ("req-2".to_string(), 22);
    assert_eq!(seen, [array.clone(), service.clone(), array, service]);
}
