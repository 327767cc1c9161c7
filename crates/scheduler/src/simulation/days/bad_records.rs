//! Days with records that can't be read or say the impossible, and with reports that contradict themselves.

use super::ordinary::day;
use crate::node::Method;
use crate::simulation::{Event, Fault, NODES, Simulation, job};
use serde_json::{Value, json};

pub const BAD: [&str; 5] = ["{\"open\":{\"spec\":7}}", "torn {", "{\"later\":{\"form\":2}}", "", "[]"];

/// A long job's record becomes unreadable while it runs, all nodes begin anew, and the record is put back later.
pub fn unreadable_job_record(seed: u64, bad: &str) -> Simulation {
    let mut w = Simulation::new(seed);
    let mut body = job(0, "array", 2);
    body["expected_s"] = 30.0.into();
    w.add_user(1_000, body, None);
    w.add_user(1_500, job(1, "array", 3), None);
    w.run_until(12_000);
    let good = w.state.key("j/req-000000").expect("accepted").to_string();
    w.state.overwrite("j/req-000000", bad);
    (0..NODES).for_each(|i| w.at(12_100 + i as u64, Event::Fault(Fault::Crash(i))));
    w.run_until(24_000);
    for i in 0..NODES {
        let tag = i as u64;
        assert!(w.ask(i, tag, Method::Get, "/submissions/req-000000", ""));
        assert!(w.ask(i, 10 + tag, Method::Post, "/submissions/req-000000/withdraw", ""));
        assert!(w.ask(i, 20 + tag, Method::Post, "/submissions", &job(0, "array", 2).to_string()));
    }
    w.run_until(26_000);
    assert_eq!(w.answers.len(), 3 * NODES);
    for a in &w.answers {
        assert!(a.status == 503 && a.body.contains("j/req-000000"), "{a:?}");
    }
    assert_eq!(w.state.key("j/req-000000"), Some(bad), "left for whoever looks into it");
    let stays = w.workers.iter().flat_map(|m| &m.tasks).filter(|t| t.job() == "req-000000" && t.present());
    assert!(stays.count() > 0, "what runs is not stopped on a guess");
    w.state.overwrite("j/req-000000", &good);
    w
}

/// Two machines' records become unreadable while they work and reach nobody, and all nodes begin anew.
pub fn unreadable_machine_records(seed: u64, bad: &str) -> Simulation {
    let mut w = Simulation::new(seed);
    w.keeps_images = true;
    for k in 0..6 {
        let mut body = job(k, "array", 2);
        body["expected_s"] = 25.0.into();
        w.add_user(1_000, body, None);
    }
    // These leave room behind.
    for k in 10..14 {
        let mut body = job(k, "array", 2);
        body["expected_s"] = 2.0.into();
        w.add_user(1_100, body, None);
    }
    w.run_until(15_000);
    let keys: Vec<String> = w.state.under("m/").map(|(key, _)| key.to_string()).collect();
    assert!(keys.len() > 1, "several machines have records");
    keys.iter().take(2).for_each(|key| w.state.overwrite(key, bad));
    // Their workers reach nobody meanwhile, and the cloud answers late.
    w.workers.iter_mut().filter(|m| keys.iter().take(2).any(|k| k.ends_with(m.id.as_str()))).for_each(|m| {
        m.heartbeats_lost_until = 40_000;
    });
    w.at(15_050, Event::Fault(Fault::CloudOutage(true)));
    w.at(27_000, Event::Fault(Fault::CloudOutage(false)));
    (0..NODES).for_each(|i| w.at(15_100 + i as u64, Event::Fault(Fault::Crash(i))));
    w
}

/// Records that are whole JSON and say what nobody can have stored; all nodes begin anew and are asked for them.
pub fn impossible_job_records(seed: u64) -> Simulation {
    let mut w = day(seed, |w| w.add_user(1_000, job(50, "array", 2), None));
    w.run_until(10_000);
    let good: Value = serde_json::from_str(w.state.key("j/req-000050").expect("accepted")).expect("whole");
    for (n, (path, value)) in [
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
        w.state.overwrite(&format!("j/req-00070{n}"), &record.to_string());
    }
    (0..NODES).for_each(|i| w.at(10_100 + i as u64, Event::Fault(Fault::Crash(i))));
    w.run_until(16_000);
    for n in 0..4 {
        assert!(w.ask(0, n, Method::Get, &format!("/submissions/req-00070{n}"), ""));
    }
    w.run_until(18_000);
    w
}

/// A report with the same task twice, one of a job nobody submitted, and names that are none.
pub fn contradicting_reports(seed: u64) -> Simulation {
    let mut w = day(seed, |_| {});
    w.run_until(12_000);
    let leader = w.leader().expect("somebody leads");
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
    let fencing_token = w.state.revision(crate::election::LEADER_KEY).map_or(0, |s| s.0);
    let body = json!({"host": "m-999999", "addr": "10.9.9.9:1", "flavor": "small", "region": "z0", "preemptible": false,
        "tenure": 1, "serial": 1, "fence": fencing_token, "shards": shards});
    assert!(w.ask(leader, 1, Method::Post, "/v1/report", &body.to_string()));
    w.run_until(13_000);
    w
}
