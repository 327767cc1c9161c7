//! Days with records that are unreadable or hold impossible values, and with heartbeats that contradict
//! themselves.

use super::ordinary::day;
use super::{crash_all_nodes, schedule_period};
use crate::node::Method;
use crate::simulation::{Fault, NODES, Simulation, job};
use serde_json::{Value, json};

/// Values that cannot be parsed as a record.
pub const BAD: [&str; 5] = ["{\"open\":{\"spec\":7}}", "torn {", "{\"later\":{\"form\":2}}", "", "[]"];

/// The record of a running job becomes unreadable and all nodes restart. The record is restored later.
pub fn unreadable_job_record(seed: u64, bad: &str) -> Simulation {
    let mut simulation = Simulation::new(seed);
    let mut body = job(0, "array", 2);
    body["expected_s"] = 30.0.into();
    simulation.add_user(1_000, body, None);
    simulation.add_user(1_500, job(1, "array", 3), None);
    simulation.run_until(12_000);
    let good = simulation.state.key("j/req-000000").expect("the job was accepted").to_string();
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
    assert_eq!(simulation.state.key("j/req-000000"), Some(bad), "an unreadable record is left for operators");
    let running_tasks =
        simulation.workers.iter().flat_map(|m| &m.tasks).filter(|t| t.job() == "req-000000" && t.present());
    assert!(running_tasks.count() > 0, "tasks of a job with an unreadable record keep running");
    simulation.state.overwrite("j/req-000000", &good);
    simulation
}

/// The records of two machines that run tasks become unreadable, no node receives their heartbeats, and all
/// nodes restart.
pub fn unreadable_machine_records(seed: u64, bad: &str) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.keeps_images = true;
    for number in 0..6 {
        let mut body = job(number, "array", 2);
        body["expected_s"] = 25.0.into();
        simulation.add_user(1_000, body, None);
    }
    // These short jobs end early and leave free capacity on their machines.
    for number in 10..14 {
        let mut body = job(number, "array", 2);
        body["expected_s"] = 2.0.into();
        simulation.add_user(1_100, body, None);
    }
    simulation.run_until(15_000);
    let keys: Vec<String> = simulation.state.under("m/").map(|(key, _)| key.to_string()).collect();
    assert!(keys.len() > 1, "several machines have records");
    keys.iter().take(2).for_each(|key| simulation.state.overwrite(key, bad));
    // The heartbeats of the two machines are lost until 40 s, and the cloud is unreachable until 27 s.
    simulation
        .workers
        .iter_mut()
        .filter(|m| keys.iter().take(2).any(|key| key.ends_with(m.id.as_str())))
        .for_each(|m| {
            m.heartbeats_lost_until = 40_000;
        });
    schedule_period(&mut simulation, 15_050, 27_000, Fault::CloudOutage(true), Fault::CloudOutage(false));
    crash_all_nodes(&mut simulation, 15_100);
    simulation
}

/// Job records are valid JSON but hold values that no node stores. All nodes restart, and users query these
/// jobs.
pub fn impossible_job_records(seed: u64) -> Simulation {
    let mut simulation = day(seed, |simulation| simulation.add_user(1_000, job(50, "array", 2), None));
    simulation.run_until(10_000);
    let good: Value =
        serde_json::from_str(simulation.state.key("j/req-000050").expect("the job was accepted"))
            .expect("the stored record is valid JSON");
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

/// A heartbeat reports a task several times with different phases, tasks of a job that was never submitted,
/// and invalid task names.
pub fn contradicting_heartbeats(seed: u64) -> Simulation {
    let mut simulation = day(seed, |_| {});
    simulation.run_until(12_000);
    let leader = simulation.leader().expect("there is a leader");
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
