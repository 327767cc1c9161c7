//! Compares native submission with submission through the API: with the same seed, the same tasks must start
//! on the same machines at the same times.

use super::{api, call};
use crate::api::names::{NameHash, part_id};
use crate::source;
use crate::translate::Context;
use pearford_scheduler::extension::Verb;
use pearford_scheduler::node::Method;
use pearford_scheduler::simulation::days::{DAY_ENDS, troubles};
use pearford_scheduler::simulation::{NODES, Simulation, Start};
use pearford_scheduler::wire::users;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

/// One job in its native form and in Nomad's.
struct JobPair {
    at: u64,
    native: Value,
    nomad: Value,
}

fn jobs(seed: u64) -> Vec<JobPair> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut out = Vec::new();
    for n in 0..14 {
        let shape = ["array", "ensemble", "daemon"][n % 3];
        let (name, team) = (format!("job-{n}"), ["red", "blue"][n % 2]);
        let tasks: u32 = rng.random_range(1..5);
        let gpus: u32 = if shape == "ensemble" { 2 } else { rng.random_range(1..=2) };
        let (together, spot) = (n % 4 == 1, n % 2 == 0);
        let spread = n % 5 == 2 && !together;
        let expected = f64::from(rng.random_range(2..15));
        let service = shape == "daemon";
        // At most two tasks, so that two versions fit the team's limit and the service isn't split into
        // parts.
        let tasks = if service { tasks.min(2) } else { tasks };
        let id = part_id(&NameHash::of(team, &name), 0, "g", 0, 0);
        let native = json!({"id": id, "job_class": format!("c-{shape}"), "owner": team, "shape": shape,
            "urgency": if service { "production" } else { "normal" }, "shards": tasks, "vcpus": 2.0,
            "accelerators": f64::from(gpus), "memory_gb": 4.0, "bundle": format!("img-{}", n % 3), "image_gb": 1.0,
            "flavors": null, "region": null, "together": together, "spread": spread, "preemptible": spot,
            "expected_s": if service { 0.0 } else { expected }, "snapshot_every_s": if service { 0.0 } else { 2.0 },
            "snapshot_s": 1.0, "due_s": null});
        // Two GPUs are requested in one device block or in two.
        let devices: Vec<Value> = match gpus {
            2 if n % 2 == 0 => {
                vec![json!({"Name": "gpu", "Count": 1}), json!({"Name": "nvidia/gpu", "Count": 1})]
            }
            gpus => vec![json!({"Name": "nvidia/gpu", "Count": gpus})],
        };
        let mut meta = json!({"pearford_class": format!("c-{shape}"), "pearford_image_gb": "1",
            "pearford_snapshot_s": "1", "pearford_together": together.to_string(), "pearford_spot": spot.to_string(),
            "pearford_gang": (shape == "ensemble").to_string()});
        if !service {
            meta["pearford_expected_s"] = expected.to_string().into();
            meta["pearford_snapshot_every_s"] = "2".into();
        }
        let spreads = if spread { json!([{"Attribute": "${node.datacenter}"}]) } else { Value::Null };
        let nomad = json!({"ID": name, "Namespace": team, "Type": if service { "service" } else { "batch" },
            "Priority": if service { 90 } else { 50 }, "Spreads": spreads, "Meta": meta,
            "TaskGroups": [{"Name": "g", "Count": tasks, "Tasks": [{"Name": "t", "Driver": "docker",
                "Config": {"image": format!("img-{}", n % 3)},
                "Resources": {"Cores": 2, "MemoryMB": 4096, "Devices": devices}}]}]});
        let (_, spec) = users::submission(native.to_string().as_bytes()).expect("the job is valid");
        let job = source::job(&nomad.to_string(), &[], &Context::default()).expect("the job is valid");
        assert_eq!(job.groups[0].spec, spec, "{name}");
        out.push(JobPair { at: rng.random_range(500..50_000), native, nomad });
    }
    out
}

/// Runs a day and returns the starts of tasks. Each submission is retried at other nodes until it is
/// accepted.
fn starts(seed: u64, through_api: bool, troubled: bool, change: fn(&mut Value)) -> Vec<Start> {
    let mut simulation = Simulation::new(seed).with_extension(api);
    if troubled {
        troubles(&mut simulation);
    }
    let mut jobs = jobs(seed);
    jobs.iter_mut().for_each(|j| change(&mut j.nomad));
    let mut next: Vec<Option<u64>> = jobs.iter().map(|j| Some(j.at)).collect();
    let mut attempts = vec![0usize; jobs.len()];
    for now in (0..DAY_ENDS).step_by(50) {
        simulation.run_until(now);
        for answer in std::mem::take(&mut simulation.answers) {
            let n = answer.tag as usize % jobs.len();
            let last = answer.tag as usize / jobs.len() == attempts[n];
            match answer.status {
                200 | 201 if last => next[n] = None,
                _ if last => next[n] = Some(now + 1_000),
                _ => {}
            }
        }
        for n in 0..jobs.len() {
            if next[n].is_none_or(|at| at > now) {
                continue;
            }
            attempts[n] += 1;
            next[n] = Some(now + 5_000);
            let tag = (attempts[n] * jobs.len() + n) as u64;
            let node = (n + attempts[n]) % NODES;
            if through_api {
                simulation.call(node, tag, call(Verb::Post, "/v1/jobs", "", &json!({"Job": jobs[n].nomad})));
            } else {
                simulation.ask(node, tag, Method::Post, "/submissions", &jobs[n].native.to_string());
            }
        }
    }
    assert!(simulation.rules.broken.is_empty(), "seed {seed}: {:?}", simulation.rules.broken);
    assert!(next.iter().all(Option::is_none), "seed {seed}: some jobs were not accepted");
    std::mem::take(&mut simulation.rules.starts)
}

fn compare(seed: u64, troubled: bool) {
    let native = starts(seed, false, troubled, |_| {});
    let nomad = starts(seed, true, troubled, |_| {});
    assert!(native.len() >= 20, "seed {seed}: {} starts", native.len());
    let first = native.iter().zip(&nomad).position(|(a, b)| a != b);
    assert!(
        native == nomad,
        "seed {seed}: {} starts natively, {} through the API; first difference: {:?}",
        native.len(),
        nomad.len(),
        first.map(|i| (&native[i], &nomad[i]))
    );
}

#[test]
fn both_apis_start_the_same_tasks_without_faults() {
    for seed in 0..6 {
        compare(seed, false);
    }
}

#[test]
fn both_apis_start_the_same_tasks_with_faults() {
    let more = std::env::var("PEARFORD_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(12);
    for seed in 100..100 + more {
        compare(seed, true);
    }
}

/// The comparison must detect a translation that drops one of a job's two device blocks.
#[test]
fn lost_device_block_is_detected() {
    fn drop_second_block(job: &mut Value) {
        let devices = &mut job["TaskGroups"][0]["Tasks"][0]["Resources"]["Devices"];
        if devices.as_array().is_some_and(|d| d.len() == 2) {
            devices.as_array_mut().expect("a list").truncate(1);
        }
    }
    assert_ne!(starts(1, false, false, |_| {}), starts(1, true, false, drop_second_block));
}
