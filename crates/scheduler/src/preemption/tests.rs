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
fn the_least_loss_is_chosen_and_nobody_leaves_in_vain() {
    let need = Resources { cpus: 0.0, gpus: 2.0, memory_gb: 0.0 };
    let all = vec![
        candidate("a", 0.0, &[(1.0, 9.0), (1.0, 9.0)], 0.0),
        candidate("b", 0.0, &[(1.0, 1.0), (2.0, 5.0)], 0.0),
        candidate("c", 1.0, &[(1.0, 0.5)], 25.0),
        candidate("d", 0.0, &[(1.0, 0.1)], 0.0),
    ];
    let zones = [("x".into(), 9), ("y".into(), 9)];
    let wanted = |tasks, gang, together| Wanted { resources: &need, tasks, gang, together, zones: &zones };
    let one = choose(all.clone(), &wanted(1, false, false));
    assert_eq!((one.len(), one[0].0.as_str(), one[0].1.len(), one[0].1[0].index), (1, "b", 1, 1));
    assert_eq!(choose(all.clone(), &wanted(9, false, false)).len(), 3, "as many as there are");
    assert!(choose(all.clone(), &wanted(4, true, false)).is_empty(), "a gang: all or none");
    let gang = choose(all, &wanted(2, true, true));
    let machines: Vec<&str> = gang.iter().map(|(m, _)| m.as_str()).collect();
    assert_eq!(machines, ["b", "a"], "room for all of it, in one zone");
}

/// Only gangs of one task ever had room made for them.
#[test]
fn a_gang_counts_room_that_is_there_already() {
    let need = Resources { cpus: 0.0, gpus: 2.0, memory_gb: 0.0 };
    let all = vec![candidate("a", 2.0, &[], 0.0), candidate("b", 0.0, &[(2.0, 3.0)], 0.0)];
    let zones = [("x".into(), 9)];
    let wanted = Wanted { resources: &need, tasks: 2, gang: true, together: true, zones: &zones };
    let got = choose(all, &wanted);
    assert_eq!(got.iter().map(|(m, t)| (m.as_str(), t.len())).collect::<Vec<_>>(), [("a", 0), ("b", 1)]);
}
