//! Malformed and excessive requests: each is answered with an expected status, and no invariant breaks.

use super::{api, call, job};
use arbtest::arbtest;
use pearford_scheduler::extension::{Call, Verb};
use pearford_scheduler::simulation::Simulation;
use serde_json::{Value, json};

/// A simulation with a leader and one registered job, without further events.
fn simulation_with_job() -> Simulation {
    let mut simulation = Simulation::new(77).with_extension(api);
    simulation.run_until(6_000);
    simulation.call(
        0,
        1,
        call(Verb::Post, "/v1/jobs", "namespace=red", &json!({"Job": job("a", "red", "batch", 2, 0)})),
    );
    simulation.run_until(20_000);
    assert_eq!(simulation.answers.pop().map(|a| a.status), Some(200));
    simulation
}

/// Sends a call and returns the answer's status; 0 without an answer.
fn answered(simulation: &mut Simulation, call: Call) -> u16 {
    simulation.answers.clear();
    simulation.call(0, 2, call);
    let until = simulation.now + 4_000;
    while simulation.answers.is_empty() && simulation.now < until {
        let next = simulation.now + 20;
        simulation.run_until(next);
    }
    assert!(simulation.rules.broken.is_empty(), "{:?}", simulation.rules.broken);
    simulation.answers.first().map_or(0, |a| a.status)
}

/// Appends the JSON pointers of a value and of everything in it.
fn pointers(value: &Value, at: &str, out: &mut Vec<String>) {
    out.push(at.into());
    match value {
        Value::Object(map) => map.iter().for_each(|(k, v)| pointers(v, &format!("{at}/{k}"), out)),
        Value::Array(list) => {
            list.iter().enumerate().for_each(|(i, v)| pointers(v, &format!("{at}/{i}"), out));
        }
        _ => {}
    }
}

#[test]
fn altered_registrations_get_an_expected_status() {
    let good = job("b", "red", "service", 2, 0);
    let mut simulation = simulation_with_job();
    arbtest(|u| {
        // A valid registration with some of its values replaced or duplicated.
        let mut body = json!({"Job": good});
        for _ in 0..u.int_in_range(1..=4)? {
            let mut places = Vec::new();
            pointers(&body, "", &mut places);
            let place = u.choose(&places)?.clone();
            let Some(at) = body.pointer_mut(&place) else { continue };
            *at = match u.int_in_range(0..=9)? {
                0 => Value::Null,
                1 => json!(-1),
                2 => json!(u64::MAX),
                3 => json!(1e300),
                4 => json!("x".repeat(usize::from(u.arbitrary::<u16>()?))),
                5 => json!([[[]]]),
                6 => json!({"a": {"b": null}}),
                7 => json!(u.arbitrary::<String>()?),
                8 => json!([at.clone(), at.clone()]),
                _ => json!(true),
            };
        }
        let status = answered(&mut simulation, call(Verb::Post, "/v1/jobs", "namespace=red", &body));
        assert!(matches!(status, 200 | 400 | 409 | 413 | 422 | 429), "{status}: {body}");
        Ok(())
    })
    .budget_ms(1_500);
}

#[test]
fn every_path_and_query_gets_an_answer() {
    const WORDS: &[&str] = &[
        "v1",
        "jobs",
        "job",
        "a",
        "%E5%9C%B0",
        "%",
        "%zz",
        "",
        "..",
        "plan",
        "versions",
        "summary",
        "allocations",
        "evaluations",
        "deployments",
        "deployment",
        "evaluation",
        "allocation",
        "validate",
        "parse",
        "status",
        "leader",
        "agent",
        "self",
        "health",
        "nodes",
        "event",
        "stream",
        "00000000-0000-0000-0000-000000000000",
        "ffffffff-ffff-ffff-ffff-ffffffffffff",
        "scale",
        "regions",
        "namespaces",
    ];
    const QUERIES: &[&str] = &[
        "stale",
        "index=0",
        "index=18446744073709551615",
        "wait=1ms",
        "wait=-1",
        "wait=99999999h",
        "per_page=1",
        "per_page=-1",
        "per_page=99999999999999999999",
        "next_token=%FF",
        "next_token=zzz",
        "prefix=a",
        "namespace=*",
        "namespace=red",
        "purge=true",
        "&&&",
        "=",
        "filter=x",
        "index=x",
    ];
    let mut simulation = simulation_with_job();
    arbtest(|u| {
        let mut path = String::new();
        for _ in 0..u.int_in_range(0..=5)? {
            path += "/";
            path += u.choose(WORDS)?;
        }
        let mut query = String::new();
        for _ in 0..u.int_in_range(0..=3)? {
            query += u.choose(QUERIES)?;
            query += "&";
        }
        let verb = *u.choose(&[Verb::Get, Verb::Post, Verb::Put, Verb::Delete, Verb::Other])?;
        let body: Vec<u8> = u.arbitrary()?;
        // Removes an index that would make the query wait longer than `answered` does.
        let query = if query.contains("index=1844") {
            query.replace("index=18446744073709551615", "")
        } else {
            query
        };
        let status = answered(
            &mut simulation,
            Call { verb, path: path.clone(), query: query.clone(), token: None, body },
        );
        assert!((200..=599).contains(&status) && status != 500, "{verb:?} {path}?{query}: {status}");
        Ok(())
    })
    .budget_ms(1_500);
}

/// Blocking queries must be bounded in number and time, and be answered after a change. Otherwise they could
/// exhaust a node's memory or hold clients forever.
#[test]
fn blocking_queries_are_bounded_and_answered_after_a_change() {
    let mut simulation = simulation_with_job();
    let ask = |query: &str| call(Verb::Get, "/v1/job/a", query, &Value::Null);
    assert_eq!(answered(&mut simulation, ask("namespace=red")), 200);
    let index = simulation.answers[0]
        .headers
        .iter()
        .find(|(k, _)| *k == "x-nomad-index")
        .map(|(_, v)| v.clone())
        .expect("the answer has an index");
    simulation.answers.clear();
    for tag in 0..700 {
        simulation.call(0, 1_000 + tag, ask(&format!("namespace=red&stale&index={index}&wait=20s")));
    }
    let until = simulation.now + 1_000;
    simulation.run_until(until);
    let refused = simulation.answers.iter().filter(|a| a.status == 429 && a.retry_after_s.is_some()).count();
    assert_eq!((simulation.answers.len(), refused), (100, 100), "at most 600 queries may wait");
    simulation.answers.clear();
    // A stop answers all of them, a bounded number in each step.
    simulation.call(1, 5, call(Verb::Delete, "/v1/job/a", "namespace=red", &Value::Null));
    let until = simulation.now + 6_000;
    simulation.run_until(until);
    let woken =
        simulation.answers.iter().filter(|a| a.tag >= 1_000 && a.body.contains("\"Stop\":true")).count();
    assert_eq!(woken, 600);
    simulation.answers.clear();
    // A query without a change is answered at its deadline.
    assert_eq!(answered(&mut simulation, ask("namespace=red&index=999999&wait=2s")), 200);
}

/// The node evaluates job files that clients send for parsing. A budget limits this, so that a file can't
/// block the node.
#[test]
fn refuses_a_file_that_exceeds_the_evaluation_budget() {
    let mut simulation = simulation_with_job();
    let mut parse = |hcl: &str| {
        let body = json!({"JobHCL": hcl});
        let status = answered(&mut simulation, call(Verb::Post, "/v1/jobs/parse", "namespace=red", &body));
        (status, simulation.answers.first().map(|a| a.body.clone()).unwrap_or_default())
    };
    let good = include_str!("../../../../../examples/quote-api.nomad.hcl");
    let (status, body) = parse(good);
    assert!(status == 200 && body.contains("\"Count\":6"), "{status} {body}");
    let (status, body) =
        parse("job \"x\" {\n  priority = length([for a in range(100) : [for b in range(100) : a * b]])\n}\n");
    assert!(status == 400 && body.contains("takes too long"), "{status} {body}");
}
