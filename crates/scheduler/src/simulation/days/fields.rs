//! Submissions with each field wrong in turn.

use crate::node::Method;
use crate::simulation::{Event, Fault, NODES, Simulation, job};
use serde_json::{Value, json};

/// Asks node `i`; the answer's status.
pub fn ask(w: &mut Simulation, i: usize, method: Method, path: &str, body: &str) -> u16 {
    let tag = w.answers.len() as u64 + 1_000;
    assert!(w.ask(i, tag, method, path, body));
    for _ in 0..40 {
        w.run_until(w.now + 50);
        if let Some(answer) = w.answers.iter().find(|a| a.tag == tag) {
            return answer.status;
        }
    }
    0
}

pub fn submit(w: &mut Simulation, i: usize, body: &str) -> u16 {
    ask(w, i, Method::Post, "/submissions", body)
}

/// Each field with what it may not be: that, and the status. `Null` stands for null; a field is also left out.
fn faults() -> Vec<(&'static str, Vec<(Value, u16)>)> {
    let amount = |fits: Value| {
        vec![
            (json!(-1.0), 400),
            (json!("8"), 400),
            (json!(2e9), 400),
            (json!([1]), 400),
            (json!({}), 400),
            (fits, 422),
        ]
    };
    let text = |unknown: Option<Value>| {
        let mut bad =
            vec![(json!(""), 400), (json!(7), 400), (json!("x".repeat(200)), 400), (json!(["a"]), 400)];
        bad.extend(unknown.map(|u| (u, 422)));
        bad
    };
    let span = || vec![(json!(-0.5), 400), (json!("2"), 400), (json!(true), 400), (json!(1e300), 400)];
    let flag = || vec![(json!(0), 400), (json!("true"), 400), (json!([]), 400)];
    vec![
        ("id", vec![(json!("job-1"), 400), (json!("req-"), 400), (json!("req-1/2"), 400), (json!(12), 400)]),
        ("job_class", text(None)),
        ("owner", text(Some(json!("nobody")))),
        ("shape", vec![(json!("swarm"), 400), (json!("Array"), 400), (json!(1), 400)]),
        ("urgency", vec![(json!("soon"), 400), (json!(3), 400)]),
        (
            "shards",
            vec![
                (json!(0), 400),
                (json!(-2), 400),
                (json!(1.5), 400),
                (json!("3"), 400),
                (json!(100_001), 400),
                (json!(1e30), 400),
            ],
        ),
        ("vcpus", {
            let mut bad = amount(json!(17.0));
            bad.push((json!(0.0), 400));
            bad
        }),
        ("accelerators", amount(json!(5.0))),
        ("memory_gb", amount(json!(65.0))),
        ("bundle", text(None)),
        ("image_gb", span()),
        (
            "flavors",
            vec![
                (json!("small"), 400),
                (json!([1]), 400),
                (json!([""]), 400),
                (json!(vec!["small"; 65]), 400),
                (json!(["none"]), 422),
                (json!([]), 422),
            ],
        ),
        ("region", vec![(json!(1), 400), (json!(""), 400), (json!(["z0"]), 400), (json!("nowhere"), 422)]),
        ("together", flag()),
        ("spread", flag()),
        ("preemptible", flag()),
        ("expected_s", span()),
        ("snapshot_every_s", span()),
        ("snapshot_s", span()),
        ("due_s", vec![(json!(0), 400), (json!(-3.0), 400), (json!("9"), 400), (json!(1e300), 400)]),
    ]
}

pub const MAY_BE_NULL: [&str; 3] = ["flavors", "region", "due_s"];

/// Bodies that must be refused, with the status.
pub fn refused() -> Vec<(String, u16)> {
    let good = job(1, "array", 2);
    let mut out = Vec::new();
    for (field, values) in faults() {
        for (value, status) in values {
            let mut body = good.clone();
            body[field] = value;
            out.push((body.to_string(), status));
        }
        if MAY_BE_NULL.contains(&field) {
            continue;
        }
        let mut body = good.clone();
        body[field] = Value::Null;
        out.push((body.to_string(), 400));
        body.as_object_mut().expect("an object").remove(field);
        out.push((body.to_string(), 400));
    }
    for number in ["1e999", "NaN", "Infinity", "-", "0x10"] {
        out.push((good.to_string().replace("\"vcpus\":2.0", &format!("\"vcpus\":{number}")), 400));
    }
    for text in ["", "[]", "null", "7", "\"req-1\"", "{", "{\"id\":\"req-000001\"}", "\u{0}"] {
        out.push((text.to_string(), 400));
    }
    // More than its team may have at once, as a whole; in one zone and in two.
    for (job_type, shards, spread) in
        [("ensemble", 13, false), ("daemon", 13, false), ("daemon", 2, true), ("ensemble", 3, true)]
    {
        let mut body = job(1, job_type, shards);
        (body["spread"], body["together"]) = (spread.into(), spread.into());
        out.push((body.to_string(), 422));
    }
    // Types and zones that don't go together: the big type is not in z2.
    let mut body = good.clone();
    (body["flavors"], body["region"]) = (json!(["big"]), json!("z2"));
    out.push((body.to_string(), 422));
    out
}

/// All nodes restart while the cloud is away.
pub fn restart_without_machine_types(w: &mut Simulation) {
    w.run_until(5_000);
    w.at(5_000, Event::Fault(Fault::CloudOutage(true)));
    (0..NODES).for_each(|i| w.at(5_001 + i as u64, Event::Fault(Fault::Crash(i))));
    w.run_until(14_000);
}

fn submit_refused(w: &mut Simulation) {
    for (body, _) in refused() {
        for i in 0..NODES {
            submit(w, i, &body);
        }
    }
}

/// All refused submissions at all nodes.
pub fn day_of_refused_submissions(seed: u64) -> Simulation {
    let mut w = Simulation::new(seed);
    w.run_until(5_000);
    submit_refused(&mut w);
    w
}

/// The same at nodes that do not know the machine types.
pub fn day_without_machine_types(seed: u64) -> Simulation {
    let mut w = Simulation::new(seed);
    restart_without_machine_types(&mut w);
    submit_refused(&mut w);
    w
}
