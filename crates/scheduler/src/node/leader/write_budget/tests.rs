use super::super::reconciliation::tests::{heartbeat, leader};
use super::*;

/// Two large machines and twenty small ones, and a leader that may write four changes a second.
fn fleet() -> (Leader, MonotonicTime) {
    let (mut m, now) = (leader(), MonotonicTime::from_millis(1_000));
    m.writes = TokenBucket::new(4.0);
    for i in 0..22 {
        let id = format!("m-{i:02}");
        m.process_heartbeat(&heartbeat(&id, "z0", 1), now);
        let size = if i < 2 { 16.0 } else { 1.0 };
        let total = Resources { cpus: size, gpus: 0.0, memory_gb: size };
        m.machines.get_mut(&MachineId::from(id.as_str())).expect("there").total = total;
        m.recount(&id.as_str().into(), now);
    }
    m.settings = Arc::new(Settings { zones: vec!["z0".into()], ..(*m.settings).clone() });
    (m, now)
}

fn job(m: &mut Leader, id: &str, job_type: JobType, tasks: u32, now: MonotonicTime) {
    let mut spec = jobs::tests::spec();
    (spec.job_type, spec.tasks, spec.types, spec.zone) = (job_type, tasks, None, None);
    spec.resources = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 1.0 };
    spec.team = m.settings.teams.keys().next().expect("a team").clone();
    let job = jobs::OpenJob { spec, submitted: crate::types::WallTime(1), home: "n0".into() };
    m.job_states.insert(id.into(), JobState::new(Arc::new(job), now));
}

fn look(m: &mut Leader, now: MonotonicTime) -> Vec<(Vec<MachineId>, Vec<PlacementRequest>)> {
    let me = NodeName::from("n0");
    let rounds = m.build_rounds(&BTreeSet::from([me.clone()]), &me, now);
    let ids = |views: Vec<MachineView>| views.into_iter().map(|v| v.id).collect();
    rounds.into_iter().map(|(_, _, views, requests)| (ids(views), requests)).collect()
}

/// Spread over all machines with room, thirty tasks took twenty records, at four changes a second; on the large
/// ones they take two.
#[test]
fn while_changes_are_short_arrays_go_where_a_change_carries_most_starts() {
    let (mut m, now) = fleet();
    job(&mut m, "req-1", JobType::Array, 30, now);
    let scheduling_passes = look(&mut m, now);
    assert_eq!(scheduling_passes[0].0, ["m-00".into(), "m-01".into()]);
    // One whose record waits anyway takes more for nothing, and beyond the bound nobody else does.
    let (mut m, now) = fleet();
    job(&mut m, "req-1", JobType::Array, 30, now);
    for i in 5..9 {
        m.commit_pipeline.put(
            &assignments::key(&format!("m-{i:02}").as_str().into()),
            Some("{}".into()),
            CommitPriority::Urgent,
        );
    }
    let ids: Vec<MachineId> = (5..9).map(|i| format!("m-{i:02}").as_str().into()).collect();
    assert_eq!(look(&mut m, now)[0].0, ids);
    // With changes to spare all machines are there.
    let (mut m, now) = fleet();
    job(&mut m, "req-1", JobType::Array, 4, now);
    assert_eq!(look(&mut m, now)[0].0.len(), 22);
}

/// Replicas are asked in looks of their own, over all machines, and neither they nor arrays wait for the other.
#[test]
fn replicas_and_arrays_have_their_turns() {
    let (mut m, now) = fleet();
    job(&mut m, "req-1", JobType::Array, 30, now);
    job(&mut m, "req-2", JobType::Service, 3, now);
    let mut seen = Vec::new();
    for _ in 0..4 {
        m.job_states.values_mut().for_each(|r| r.offered = 0);
        let scheduling_passes = look(&mut m, now);
        seen.push((scheduling_passes[0].1[0].job.to_string(), scheduling_passes[0].0.len()));
    }
    let (array, service) = (("req-1".to_string(), 2), ("req-2".to_string(), 22));
    assert_eq!(seen, [array.clone(), service.clone(), array, service]);
}
