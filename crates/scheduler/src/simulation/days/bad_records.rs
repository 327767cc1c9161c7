//! Days with records that can't be read or say the impossible, and with heartbeats that contradict themselves.

use super::ordinary::day;
use super::{crash_all_nodes, schedule_period};
use crate::node::Method;
use crate::simulation::{Fault, NODES, Simulation, job};
use serde_json::{Value, json};

/// Records that can't be read.
pub const BAD: [&str; 5] = ["{\"open\":{\"spec\":7}}", "torn {", "{\"later\":{\"form\":2}}", "", "[]"];

/// A long job's record becomes unreadable while it runs, all nodes begin anew, and the record is put back later.
pub fn unreadable_job_record(seed: u64, bad: &str) -> Simulation {
    let mut simulation = Simulation::new(seed);
    let mut body = job(0, "array", 2);
    body["expected_s"] = 30.0.into();
    simulation.add_user(1_000, body, None);
    simulation.add_user(1_500, job(1, "array", 3), None);
    simulation.run_until(12_000);
    let good = simulation.state.key("j/req-000000").expect("accepted").to_string();
    simulation.state.overwrite("j/req-000000", bad);
    crash_all_nodes(&mut simulation, 12_100);
    simulation.run_until(24_000);
    for node in 0..NODES {
        let tag = node as u64;
        assert!(simulation.ask(node, tag, Method::Get, "/submissions/req-000000", ""));
        assert!(simulation.ask(node, 10 + tag, Method::Post, "/submissions/req-000000/withdraw", ""));
        assert!(simulation.ask(
            node,
            20 + tag,
            Method::Post,
            "/submissions",
            &job(0, "array", 2).to_string()
        ));
    }
    simulation.run_until(26_000);
    assert_eq!(simulation.answers.len(), 3 * NODES);
    for answer in &simulation.answers {
        assert!(answer.status == 503 && answer.body.contains("j/req-000000"), "{answer:?}");
    }
    assert_eq!(simulation.state.key("j/req-000000"), Some(bad), "left for operators");
    let stays =
        simulation.workers.iter().flat_map(|m| &m.tasks).filter(|t| t.job() == "req-000000" && t.present());
    assert!(stays.count() > 0, "what runs is not stopped on a guess");
    simulation.state.overwrite("j/req-000000", &good);
    simulation
}

/// Two machines' records become unreadable while they work and their heartbeats reach nobody, and all nodes begin anew.
pub fn unreadable_machine_records(seed: u64, bad: &str) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.keeps_images = true;
    for repetition in 0..6 {
        let mut body = job(repetition, "array", 2);
        body["expected_s"] = 25.0.into();
        simulation.add_user(1_000, body, None);
    }
    // These leave free resources behind.
    for repetition in 10..14 {
        let mut body = job(repetition, "array", 2);
        body["expected_s"] = 2.0.into();
        simulation.add_user(1_100, body, None);
    }
    simulation.run_until(15_000);
    let keys: Vec<String> = simulation.state.under("m/").map(|(key, _)| key.to_string()).collect();
    assert!(keys.len() > 1, "several machines have records");
    keys.iter().take(2).for_each(|key| simulation.state.overwrite(key, bad));
    // Their workers reach nobody meanwhile, and the cloud answers late.
    simulation
        .workers
        .iter_mut()
        .filter(|m| keys.iter().take(2).any(|repetition| repetition.ends_with(m.id.as_str())))
        .for_each(|m| {
            m.heartbeats_lost_until = 40_000;
        });
    schedule_period(&mut simulation, 15_050, 27_000, Fault::CloudOutage(true), Fault::CloudOutage(false));
    crash_all_nodes(&mut simulation, 15_100);
    simulation
}

/// Records that are whole JSON and say what nobody can have stored; all nodes begin anew and are asked for them.
pub fn impossible_job_records(seed: u64) -> Simulation {
    let mut simulation = day(seed, |simulation| simulation.add_user(1_000, job(50, "array", 2), None));
    simulation.run_until(10_000);
    let good: Value =
        serde_json::from_str(simulation.state.key("j/req-000050").expect("accepted")).expect("whole");
    for (number, (path, value)) in [
        ("/open/spec/tasks", json!(4_000_000_000_u32)),
        ("/open/spec/tasks", json!(0)),
        ("/open/spec/room/cpus", json!(-5.0)),
        ("/open/spec/room/gpus", json!(1e300)),
    ]
    .into_iter()
    .enumerate()
    {
        let mut record = good.clone();
        *record.pointer_mut(path).unwrap_or_else(|| panic!("{path} in {good}")) = value;
        simulation.state.overwrite(&format!("j/req-00070{number}"), &record.to_string());
    }
    crash_all_nodes(&mut simulation, 10_100);
    simulation.run_until(16_000);
    for number in 0..4 {
        assert!(simulation.ask(0, number, Method::Get, &format!("/submissions/req-00070{number}"), ""));
    }
    simulation.run_until(18_000);
    simulation
}

/// A heartbeat with the same task twice, one of a job nobody submitted, and names that are none.
pub fn contradicting_heartbeats(seed: u64) -> Simulation {
    let mut simulation = day(seed, |_| {});
    simulation.run_until(12_000);
    let leader = simulation.leader().expect("somebody leads");
    let task = |name: &str, attempt: u64, phase: &str| json!({"shard": name, "try": attempt, "phase": phase, "cause": "done"});
    let shards = json!([
        task("req-000000/0", 1, "running"),
        task("req-000000/0", 1, "ended"),
        task("req-000000/0", 2, "running"),
        task("req-999998/0", 1, "running"),
        task("req-999998/0", 1, "ended"),
        task("no task", 1, "running"),
        task("req-000000/4000000000", 1, "running"),
        task("req-000000/", 1, "ended"),
    ]);
    let fencing_token = simulation.state.revision(crate::election::LEADER_KEY).map_or(0, |s| s.0);
    let body = json!({"host": "m-999999", "addr": "10.9.9.9:1", "flavor": "small", "region": "z0", "preemptible": false,
        "tenure": 1, "serial": 1, "fence": fencing_token, "shards": shards});
    assert!(simulation.ask(leader, 1, Method::Post, "/v1/report", &body.to_string()));
    simulation.run_until(13_000);
    simulation
}
