//! Golden tests of the shape of every answer of Nomad's API: the members and their types.
//!
//! The members' values depend on the seeded simulation and are not recorded.

use super::{api, call, job};
use pearford_scheduler::extension::{Call, Verb};
use pearford_scheduler::golden_group;
use pearford_scheduler::simulation::Simulation;
use serde_json::{Value, json};

/// Members named after the caller's groups and tasks, which are not part of the shape.
const OWN_NAMES: [&str; 2] = ["g", "t"];

/// The members and types of a value; for a list, those of its first element.
fn shape(value: &Value) -> String {
    match value {
        Value::Null => "null".into(),
        Value::Bool(_) => "bool".into(),
        Value::Number(_) => "number".into(),
        Value::String(_) => "string".into(),
        Value::Array(list) => format!("[{}]", list.first().map(shape).unwrap_or_default()),
        Value::Object(members) => {
            let name = |key: &str| if OWN_NAMES.contains(&key) { "*".to_string() } else { key.to_string() };
            let members: Vec<String> =
                members.iter().map(|(k, v)| format!("{}:{}", name(k), shape(v))).collect();
            format!("{{{}}}", members.join(","))
        }
    }
}

/// The body of the answer to `call`, which must have the given status.
fn answer(simulation: &mut Simulation, call: Call, status: u16) -> String {
    simulation.answers.clear();
    let what = call.path.clone();
    simulation.call(0, 9, call);
    let until = simulation.now + 2_000;
    simulation.run_until(until);
    let answer = simulation.answers.first().expect("an answer");
    assert_eq!(answer.status, status, "{what}: {}", answer.body);
    answer.body.clone()
}

fn read(simulation: &mut Simulation, path: &str) -> Value {
    let body = answer(simulation, call(Verb::Get, path, "namespace=red", &Value::Null), 200);
    serde_json::from_str(&body).expect("JSON")
}

/// A simulation in which a service of two replicas runs.
fn with_a_service() -> Simulation {
    let mut simulation = Simulation::new(5).with_extension(api);
    simulation.run_until(6_000);
    let service = json!({"Job": job("a", "red", "service", 2, 0)});
    answer(&mut simulation, call(Verb::Post, "/v1/jobs", "namespace=red", &service), 200);
    simulation.run_until(60_000);
    simulation
}

#[test]
fn golden_shapes_of_answers_to_reads() {
    let mut simulation = with_a_service();
    let mut group = golden_group!("answer_shapes.txt");
    let id_of = |list: &Value| list[0]["ID"].as_str().expect("an id").to_string();
    let allocation = id_of(&read(&mut simulation, "/v1/allocations"));
    let evaluation = id_of(&read(&mut simulation, "/v1/evaluations"));
    let deployment = id_of(&read(&mut simulation, "/v1/deployments"));
    let node = id_of(&read(&mut simulation, "/v1/nodes"));
    let paths = [
        ("jobs", "/v1/jobs".to_string()),
        ("job", "/v1/job/a".into()),
        ("job, versions", "/v1/job/a/versions".into()),
        ("job, summary", "/v1/job/a/summary".into()),
        ("job, allocations", "/v1/job/a/allocations".into()),
        ("job, evaluations", "/v1/job/a/evaluations".into()),
        ("job, deployments", "/v1/job/a/deployments".into()),
        ("job, deployment", "/v1/job/a/deployment".into()),
        ("evaluations", "/v1/evaluations".into()),
        ("evaluation", format!("/v1/evaluation/{evaluation}")),
        ("evaluation, allocations", format!("/v1/evaluation/{evaluation}/allocations")),
        ("allocations", "/v1/allocations".into()),
        ("allocation", format!("/v1/allocation/{allocation}")),
        ("deployments", "/v1/deployments".into()),
        ("deployment", format!("/v1/deployment/{deployment}")),
        ("namespaces", "/v1/namespaces".into()),
        ("leader", "/v1/status/leader".into()),
        ("peers", "/v1/status/peers".into()),
        ("regions", "/v1/regions".into()),
        ("agent", "/v1/agent/self".into()),
        ("agent, health", "/v1/agent/health".into()),
        ("nodes", "/v1/nodes".into()),
        ("node", format!("/v1/node/{node}")),
    ];
    for (name, path) in paths {
        group.writes(name, shape(&read(&mut simulation, &path)));
    }
    group.finish();
}

#[test]
fn golden_shapes_of_answers_to_writes() {
    let mut simulation = with_a_service();
    let mut group = golden_group!("write_answer_shapes.txt");
    let next = json!({"Job": job("a", "red", "service", 2, 1)});
    let hcl = json!({"JobHCL": "job \"a\" {}"});
    let writes = [
        ("plan", Verb::Post, "/v1/job/a/plan", &next, 200),
        ("validate", Verb::Post, "/v1/validate/job", &next, 200),
        ("register", Verb::Post, "/v1/jobs", &next, 200),
        ("stop", Verb::Delete, "/v1/job/a", &Value::Null, 200),
    ];
    for (name, verb, path, body, status) in writes {
        let body = answer(&mut simulation, call(verb, path, "namespace=red", body), status);
        group.writes(name, shape(&serde_json::from_str(&body).expect("JSON")));
    }
    answer(&mut simulation, call(Verb::Post, "/v1/jobs/parse", "namespace=red", &hcl), 400);
    group.finish();
}
