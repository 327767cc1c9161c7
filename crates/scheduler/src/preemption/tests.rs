use super::*;

fn candidate(id: &str, free: f64, victims: &[(f64, f64)], fetch_s: f64) -> Candidate {
    let resources = |gpus| Resources { cpus: 0.0, gpus, memory_gb: 0.0 };
    Candidate {
        machine: id.into(),
        zone: if id < "c" { "x".into() } else { "y".into() },
        free: resources(free),
        victims: victims
            .iter()
            .enumerate()
            .map(|(i, (gpus, loss_s))| Victim {
                task: TaskId { job: id.into(), index: i as u32 },
                resources: resources(*gpus),
                loss_s: *loss_s,
            })
            .collect(),
        fetch_s,
    }
}

#[test]
fn victims_with_the_least_loss_are_chosen_and_no_unnecessary_ones() {
    let need = Resources { cpus: 0.0, gpus: 2.0, memory_gb: 0.0 };
    let all = vec![
        candidate("a", 0.0, &[(1.0, 9.0), (1.0, 9.0)], 0.0),
        candidate("b", 0.0, &[(1.0, 1.0), (2.0, 5.0)], 0.0),
        candidate("c", 1.0, &[(1.0, 0.5)], 25.0),
        candidate("d", 0.0, &[(1.0, 0.1)], 0.0),
    ];
    let zones = [("x".into(), 9), ("y".into(), 9)];
    let request =
        |tasks, gang, together| PreemptionRequest { resources: &need, tasks, gang, together, zones: &zones };
    let one = choose(all.clone(), &request(1, false, false));
    assert_eq!(one.len(), 1);
    assert_eq!((one[0].machine.as_str(), one[0].victims.len(), one[0].victims[0].index), ("b", 1, 1));
    assert_eq!(choose(all.clone(), &request(9, false, false)).len(), 3, "as many tasks as machines can hold");
    assert!(
        choose(all.clone(), &request(4, true, false)).is_empty(),
        "a gang needs resources for all its tasks"
    );
    let gang = choose(all, &request(2, true, true));
    let machines: Vec<&str> = gang.iter().map(|target| target.machine.as_str()).collect();
    assert_eq!(machines, ["b", "a"], "the whole gang fits in one zone");
}

/// Guards against ignoring machines with enough free resources when tasks are preempted for a gang: tasks
/// were then preempted only for gangs of one task.
#[test]
fn a_gang_counts_resources_that_are_free_already() {
    let need = Resources { cpus: 0.0, gpus: 2.0, memory_gb: 0.0 };
    let all = vec![candidate("a", 2.0, &[], 0.0), candidate("b", 0.0, &[(2.0, 3.0)], 0.0)];
    let zones = [("x".into(), 9)];
    let request = PreemptionRequest { resources: &need, tasks: 2, gang: true, together: true, zones: &zones };
    let targets = choose(all, &request);
    let victims = |target: &PreemptionTarget| (target.machine.to_string(), target.victims.len());
    assert_eq!(targets.iter().map(victims).collect::<Vec<_>>(), [("a".into(), 0), ("b".into(), 1)]);
}
