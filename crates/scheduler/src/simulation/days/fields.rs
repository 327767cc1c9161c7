//! Submissions that must be refused: each field with invalid values, and malformed bodies.

use super::{crash_all_nodes, schedule_fault};
use crate::node::Method;
use crate::simulation::{Fault, NODES, Simulation, job};
use serde_json::{Value, json};

/// Sends a request to a node. Returns the status of the answer, or 0 if there is no answer within 2 s.
pub fn ask(simulation: &mut Simulation, node: usize, method: Method, path: &str, body: &str) -> u16 {
    let tag = simulation.answers.len() as u64 + 1_000;
    assert!(simulation.ask(node, tag, method, path, body));
    for _ in 0..40 {
        simulation.run_until(simulation.now + 50);
        if let Some(answer) = simulation.answers.iter().find(|a| a.tag == tag) {
            return answer.status;
        }
    }
    0
}

/// Sends a submission to a node. Returns the status of the answer, or 0 if there is no answer within 2 s.
pub fn submit(simulation: &mut Simulation, node: usize, body: &str) -> u16 {
    ask(simulation, node, Method::Post, "/submissions", body)
}

/// An invalid value of a submission's field, and the HTTP status that the answer must have.
struct BadValue {
    value: Value,
    status: u16,
}

fn malformed(value: Value) -> BadValue {
    BadValue { value, status: 400 }
}

/// A well-formed value that no machine, team or zone of the cluster satisfies.
fn unsatisfiable(value: Value) -> BadValue {
    BadValue { value, status: 422 }
}

fn all_malformed(values: impl IntoIterator<Item = Value>) -> Vec<BadValue> {
    values.into_iter().map(malformed).collect()
}

/// Invalid values of a resource amount. `too_much` exceeds what any machine has.
fn bad_amounts(too_much: Value) -> Vec<BadValue> {
    let mut bad = all_malformed([json!(-1.0), json!("8"), json!(2e9), json!([1]), json!({})]);
    bad.push(unsatisfiable(too_much));
    bad
}

fn bad_strings() -> Vec<BadValue> {
    all_malformed([json!(""), json!(7), json!("x".repeat(200)), json!(["a"])])
}

fn bad_non_negative_numbers() -> Vec<BadValue> {
    all_malformed([json!(-0.5), json!("2"), json!(true), json!(1e300)])
}

fn bad_booleans() -> Vec<BadValue> {
    all_malformed([json!(0), json!("true"), json!([])])
}

fn bad_owners() -> Vec<BadValue> {
    let mut bad = bad_strings();
    bad.push(unsatisfiable(json!("nobody")));
    bad
}

fn bad_task_counts() -> Vec<BadValue> {
    all_malformed([json!(0), json!(-2), json!(1.5), json!("3"), json!(100_001), json!(1e30)])
}

fn bad_cpus() -> Vec<BadValue> {
    let mut bad = bad_amounts(json!(17.0));
    bad.push(malformed(json!(0.0)));
    bad
}

fn bad_machine_types() -> Vec<BadValue> {
    let mut bad = all_malformed([json!("small"), json!([1]), json!([""]), json!(vec!["small"; 65])]);
    bad.push(unsatisfiable(json!(["none"])));
    bad.push(unsatisfiable(json!([])));
    bad
}

fn bad_zones() -> Vec<BadValue> {
    let mut bad = all_malformed([json!(1), json!(""), json!(["z0"])]);
    bad.push(unsatisfiable(json!("nowhere")));
    bad
}

/// Each field with its invalid values. `refused_fields` adds the cases of a null and of a missing field.
fn bad_values() -> Vec<(&'static str, Vec<BadValue>)> {
    vec![
        ("id", all_malformed([json!("job-1"), json!("req-"), json!("req-1/2"), json!(12)])),
        ("job_class", bad_strings()),
        ("owner", bad_owners()),
        ("shape", all_malformed([json!("swarm"), json!("Array"), json!(1)])),
        ("urgency", all_malformed([json!("soon"), json!(3)])),
        ("shards", bad_task_counts()),
        ("vcpus", bad_cpus()),
        ("accelerators", bad_amounts(json!(5.0))),
        ("memory_gb", bad_amounts(json!(65.0))),
        ("bundle", bad_strings()),
        ("image_gb", bad_non_negative_numbers()),
        ("flavors", bad_machine_types()),
        ("region", bad_zones()),
        ("together", bad_booleans()),
        ("spread", bad_booleans()),
        ("preemptible", bad_booleans()),
        ("expected_s", bad_non_negative_numbers()),
        ("snapshot_every_s", bad_non_negative_numbers()),
        ("snapshot_s", bad_non_negative_numbers()),
        ("due_s", all_malformed([json!(0), json!(-3.0), json!("9"), json!(1e300)])),
    ]
}

/// Fields that may be null or missing in a submission.
pub const MAY_BE_NULL: [&str; 3] = ["flavors", "region", "due_s"];

/// A submission that must be refused, and the HTTP status that the answer must have.
pub struct RefusedSubmission {
    pub body: String,
    pub status: u16,
}

impl RefusedSubmission {
    fn new(body: impl ToString, status: u16) -> Self {
        Self { body: body.to_string(), status }
    }
}

/// All submissions that must be refused.
pub fn refused() -> Vec<RefusedSubmission> {
    let mut refused = refused_fields();
    refused.extend(malformed_bodies());
    refused.extend(over_team_limit());
    refused.push(impossible_combination());
    refused
}

/// Submissions in which one field is invalid, null or missing.
fn refused_fields() -> Vec<RefusedSubmission> {
    let good = job(1, "array", 2);
    let mut refused = Vec::new();
    for (field, values) in bad_values() {
        for BadValue { value, status } in values {
            let mut body = good.clone();
            body[field] = value;
            refused.push(RefusedSubmission::new(body, status));
        }
        if MAY_BE_NULL.contains(&field) {
            continue;
        }
        let mut body = good.clone();
        body[field] = Value::Null;
        refused.push(RefusedSubmission::new(&body, 400));
        body.as_object_mut().expect("an object").remove(field);
        refused.push(RefusedSubmission::new(body, 400));
    }
    refused
}

/// Bodies that are not valid JSON, or not a submission.
fn malformed_bodies() -> Vec<RefusedSubmission> {
    let good = job(1, "array", 2).to_string();
    let numbers = ["1e999", "NaN", "Infinity", "-", "0x10"];
    let with_number = |number| good.replace("\"vcpus\":2.0", &format!("\"vcpus\":{number}"));
    let texts = ["", "[]", "null", "7", "\"req-1\"", "{", "{\"id\":\"req-000001\"}", "\u{0}"];
    let bodies = numbers.map(with_number).into_iter().chain(texts.map(String::from));
    bodies.map(|body| RefusedSubmission::new(body, 400)).collect()
}

/// Jobs that need all their tasks at once and exceed the limit of their team, in one zone or spread over
/// zones.
fn over_team_limit() -> Vec<RefusedSubmission> {
    let jobs = [("ensemble", 13, false), ("daemon", 13, false), ("daemon", 2, true), ("ensemble", 3, true)];
    let bodies = jobs.map(|(job_type, tasks, spread)| {
        let mut body = job(1, job_type, tasks);
        body["spread"] = spread.into();
        body["together"] = spread.into();
        body
    });
    bodies.map(|body| RefusedSubmission::new(body, 422)).into()
}

/// A machine type that is not available in the requested zone: zone z2 has no `big` machines.
fn impossible_combination() -> RefusedSubmission {
    let mut body = job(1, "array", 2);
    body["flavors"] = json!(["big"]);
    body["region"] = json!("z2");
    RefusedSubmission::new(body, 422)
}

/// Restarts all nodes during a cloud outage, so that they cannot load the machine types.
pub fn restart_without_machine_types(simulation: &mut Simulation) {
    simulation.run_until(5_000);
    schedule_fault(simulation, 5_000, Fault::CloudOutage(true));
    crash_all_nodes(simulation, 5_001);
    simulation.run_until(14_000);
}

fn submit_refused(simulation: &mut Simulation) {
    for RefusedSubmission { body, .. } in refused() {
        for node in 0..NODES {
            submit(simulation, node, &body);
        }
    }
}

/// Sends every submission that must be refused to every node.
pub fn day_of_refused_submissions(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.run_until(5_000);
    submit_refused(&mut simulation);
    simulation
}

/// Sends the same submissions to nodes that have not loaded the machine types.
pub fn day_without_machine_types(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    restart_without_machine_types(&mut simulation);
    submit_refused(&mut simulation);
    simulation
}
