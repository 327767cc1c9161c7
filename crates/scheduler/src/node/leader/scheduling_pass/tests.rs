use super::super::test_support::{heartbeat, leader};
use super::*;
use crate::jobs::{JobState, OpenJob, Priority};
use crate::types::WallTime;
use std::sync::Arc;

/// A leader on node n0 with peers n1 and n2, and with machines that hold one GPU task each.
struct Cluster {
    leader: Leader,
    live: BTreeSet<NodeName>,
    own_node: NodeName,
    now: MonotonicTime,
}

impl Cluster {
    fn new(machines: usize) -> Self {
        let now = MonotonicTime::from_millis(1_000);
        let mut leader = leader();
        let ids: Vec<MachineId> =
            (0..machines).map(|index| MachineId::from(format!("m-{index}").as_str())).collect();
        for id in &ids {
            leader.process_heartbeat(&heartbeat(id.as_str(), "z0", 1), now);
            let machine = leader.machines.get_mut(id).expect("the heartbeat adds the machine");
            machine.total = Resources { cpus: 4.0, gpus: 1.0, memory_gb: 8.0 };
        }
        ids.iter().for_each(|id| leader.machines.recount(id, now));
        let mut settings = (*leader.settings).clone();
        settings.zones = vec!["z0".into()];
        leader.settings = Arc::new(settings);
        let nodes = ["n0", "n1", "n2"].map(NodeName::from);
        Self { leader, live: nodes.iter().cloned().collect(), own_node: nodes[0].clone(), now }
    }

    /// Adds a job of one-GPU tasks that is assigned to the controller `node`.
    fn add_job(&mut self, id: &str, node: &str, priority: Priority, tasks: u32) {
        let mut spec = crate::jobs::tests::spec();
        spec.priority = priority;
        spec.tasks = tasks;
        spec.types = None;
        spec.zone = None;
        spec.resources = Resources { cpus: 1.0, gpus: 1.0, memory_gb: 1.0 };
        spec.team =
            self.leader.settings.teams.keys().next().expect("the sample settings have a team").clone();
        let job = OpenJob { spec, submitted: WallTime(1), assigned_node: node.into() };
        self.leader.job_states.insert(id.into(), JobState::new(Arc::new(job), self.now));
    }

    fn build_rounds(&mut self) -> Vec<Round> {
        self.leader.build_rounds(&self.live, &self.own_node, self.now)
    }
}

/// The first job and the number of machines of each round.
fn first_jobs_and_machine_counts(rounds: &[Round]) -> Vec<(String, usize)> {
    rounds.iter().map(|round| (round.requests[0].job.to_string(), round.machines.len())).collect()
}

/// Guards against priority inversion within a pass: if each request of the pass transfers the only machine
/// with free resources to its own controller's partition, the least urgent request gets it. Replicas then
/// preempt array tasks in each pass, and array tasks take the machine again.
#[test]
fn includes_only_free_machine_in_round_of_most_urgent_request() {
    for nodes in [["n0", "n1", "n2"], ["n2", "n1", "n0"], ["n1", "n0", "n2"]] {
        let mut cluster = Cluster::new(1);
        for (index, node) in nodes.iter().enumerate() {
            let priority = [Priority::Production, Priority::Normal, Priority::Low][index];
            cluster.add_job(&format!("req-{index}"), node, priority, 1);
        }
        let rounds = cluster.build_rounds();
        assert_eq!(first_jobs_and_machine_counts(&rounds), [("req-0".to_string(), 1)], "{nodes:?}");
    }
}

/// Machines that an urgent request doesn't need are transferred to the partitions of less urgent
/// requests in the same pass.
#[test]
fn transfers_machines_that_urgent_request_does_not_need() {
    let mut cluster = Cluster::new(6);
    cluster.add_job("req-0", "n1", Priority::Production, 2);
    cluster.add_job("req-1", "n2", Priority::Low, 9);
    cluster.build_rounds(); // divides the partitions
    cluster.leader.job_states.values_mut().for_each(|job_state| job_state.tasks_in_round = 0);
    let all: Vec<MachineId> = cluster.leader.machines.ids().cloned().collect();
    cluster.leader.partitions.transfer(&"n1".into(), all);
    let mut counts = first_jobs_and_machine_counts(&cluster.build_rounds());
    counts.sort();
    assert_eq!(counts, [("req-0".to_string(), 2), ("req-1".to_string(), 4)]);
}
