use super::super::reconciliation::tests::{heartbeat, leader};
use super::*;

/// A master with machines that hold one GPU task each, and nodes n0 (itself), n1 and n2.
fn fleet(machines: usize) -> (Leader, BTreeSet<NodeName>, NodeName, MonotonicTime) {
    let (mut m, now) = (leader(), MonotonicTime::from_millis(1_000));
    for i in 0..machines {
        let id = format!("m-{i}");
        m.process_heartbeat(&heartbeat(&id, "z0", 1), now);
        let m = m.machines.get_mut(&MachineId::from(id.as_str())).expect("there");
        m.total = Resources { cpus: 4.0, gpus: 1.0, memory_gb: 8.0 };
    }
    for i in 0..machines {
        m.recount(&MachineId::from(format!("m-{i}").as_str()), now);
    }
    m.settings = {
        let mut s = (*m.settings).clone();
        s.zones = vec!["z0".into()];
        Arc::new(s)
    };
    let nodes = ["n0", "n1", "n2"].map(NodeName::from);
    (m, nodes.iter().cloned().collect(), nodes[0].clone(), now)
}

fn job(m: &mut Leader, id: &str, home: &str, priority: Priority, tasks: u32, now: MonotonicTime) {
    let mut spec = jobs::tests::spec();
    (spec.priority, spec.tasks, spec.types, spec.zone) = (priority, tasks, None, None);
    spec.resources = Resources { cpus: 1.0, gpus: 1.0, memory_gb: 1.0 };
    let team = m.settings.teams.keys().next().expect("a team").clone();
    spec.team = team;
    let job = jobs::OpenJob { spec, submitted: crate::types::WallTime(1), home: home.into() };
    m.job_states.insert(id.into(), JobState::new(Arc::new(job), now));
}

/// Which job's round has each machine.
fn offered(rounds: &[(NodeName, u64, Vec<MachineView>, Vec<PlacementRequest>)]) -> Vec<(String, usize)> {
    let of = |(_, _, machines, requests): &(NodeName, u64, Vec<MachineView>, Vec<PlacementRequest>)| {
        (requests[0].job.to_string(), machines.len())
    };
    rounds.iter().map(of).collect()
}

/// The one machine with room went from block to block within a look, and the least urgent ask had it:
/// replicas stopped array tasks twice a second for half a minute, and array tasks took the room (inc-2777).
#[test]
fn a_scarce_machine_goes_to_the_most_urgent_ask_of_a_look() {
    for homes in [["n0", "n1", "n2"], ["n2", "n1", "n0"], ["n1", "n0", "n2"]] {
        let (mut m, live, me, now) = fleet(1);
        for (i, home) in homes.iter().enumerate() {
            let priority = [Priority::Production, Priority::Normal, Priority::Low][i];
            job(&mut m, &format!("req-{i}"), home, priority, 1, now);
        }
        let rounds = m.build_rounds(&live, &me, now);
        assert_eq!(offered(&rounds), [("req-0".to_string(), 1)], "{homes:?}");
    }
}

/// What an urgent ask doesn't need goes on to others in the same look.
#[test]
fn machines_beyond_what_urgent_asks_need_still_move() {
    let (mut m, live, me, now) = fleet(6);
    job(&mut m, "req-0", "n1", Priority::Production, 2, now);
    job(&mut m, "req-1", "n2", Priority::Low, 9, now);
    m.build_rounds(&live, &me, now); // cuts the blocks
    m.job_states.values_mut().for_each(|r| r.offered = 0);
    let all: Vec<MachineId> = m.machines.keys().cloned().collect();
    m.partitions.transfer(&"n1".into(), all);
    let mut offered = offered(&m.build_rounds(&live, &me, now));
    offered.sort();
    assert_eq!(offered, [("req-0".to_string(), 2), ("req-1".to_string(), 4)]);
}
