//! What a submission may hold, field by field, at every node; also at one that has just started and at a repeat.

#![cfg(test)]

use super::{Event, Fault, NODES, World, job};
use crate::node::Method;
use serde_json::{Value, json};

/// Asks node `i`; the answer's status.
fn ask(w: &mut World, i: usize, method: Method, path: &str, body: &str) -> u16 {
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

fn submit(w: &mut World, i: usize, body: &str) -> u16 {
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

const MAY_BE_NULL: [&str; 3] = ["flavors", "region", "due_s"];

/// Bodies that must be refused, with the status.
fn refused() -> Vec<(String, u16)> {
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

#[test]
fn nothing_that_cannot_run_or_lacks_a_field_is_accepted_by_any_node() {
    let mut w = World::new(9_100);
    w.run_until(5_000);
    for (body, status) in refused() {
        for i in 0..NODES {
            let told = submit(&mut w, i, &body);
            assert_eq!(told, status, "node {i}: {body:.400}");
        }
    }
    assert!(w.state.key("j/req-000001").is_none());
    // One that fits the limits exactly, and what may be null or left out.
    let mut n = 10;
    for i in 0..NODES {
        let mut body = job(n, "ensemble", 12);
        body["owner"] = "red".into();
        assert_eq!(submit(&mut w, i, &body.to_string()), 201, "{body}");
        let mut bare = job(n + 1, "array", 1);
        for field in MAY_BE_NULL {
            bare.as_object_mut().expect("an object").remove(field);
        }
        assert_eq!(submit(&mut w, i, &bare.to_string()), 201, "{bare}");
        n += 2;
    }
}

/// A repeat gets its job's state whatever is wrong with it now, at every node.
#[test]
fn a_repeat_of_a_known_job_is_never_refused_whatever_it_says() {
    let mut w = World::new(9_101);
    w.run_until(5_000);
    assert_eq!(submit(&mut w, 0, &job(1, "array", 2).to_string()), 201);
    for (body, _) in
        refused().into_iter().filter(|(body, _)| body.contains("\"req-000001\"") && body.starts_with('{'))
    {
        if serde_json::from_str::<Value>(&body).is_err() {
            continue; // without JSON there is no id
        }
        for i in 0..NODES {
            assert_eq!(submit(&mut w, i, &body), 200, "node {i}: {body:.400}");
        }
    }
}

/// A node that has just started, and does not know the machine types while the cloud is away, decides nothing that
/// depends on them, and accepts nothing.
#[test]
fn a_node_without_the_machine_types_accepts_nothing() {
    let mut w = World::new(9_102);
    w.run_until(5_000);
    w.at(5_000, Event::Fault(Fault::CloudOutage(true)));
    (0..NODES).for_each(|i| w.at(5_001 + i as u64, Event::Fault(Fault::Crash(i))));
    w.run_until(14_000);
    for i in 0..NODES {
        assert_eq!(submit(&mut w, i, &job(1, "array", 2).to_string()), 503);
        for (body, status) in refused() {
            let told = submit(&mut w, i, &body);
            let undecided = status == 422 && told == 503;
            assert!(told == status || undecided, "node {i}: {told} for {body:.300}");
        }
    }
    assert!(w.state.key("j/req-000001").is_none());
    w.at(w.now, Event::Fault(Fault::CloudOutage(false)));
    w.run_until(w.now + 20_000);
    assert_eq!(submit(&mut w, 0, &job(1, "array", 2).to_string()), 201);
}

#[test]
fn questions_about_unknown_jobs_get_404_and_what_is_done_stays_done() {
    let mut w = World::new(9_103);
    w.add_user(2_000, job(1, "array", 1), None);
    w.run_until(30_000);
    assert_eq!(w.rules.verdict("req-000001"), Some("done"));
    for i in 0..NODES {
        for path in [
            "/submissions/req-777",
            "/submissions/job-1",
            "/submissions/req-1%2f2",
            "/submissions/req-000001x",
        ] {
            assert_eq!(ask(&mut w, i, Method::Get, path, ""), 404, "{path}");
            assert_eq!(ask(&mut w, i, Method::Post, &format!("{path}/withdraw"), ""), 404, "{path}");
        }
        for (method, path) in
            [(Method::Post, "/submissions/req-000001/withdraw"), (Method::Get, "/submissions/req-000001")]
        {
            assert_eq!(ask(&mut w, i, method, path, ""), 200);
            assert!(w.answers.last().is_some_and(|a| a.body.contains("\"done\"")), "{path}");
        }
    }
}
