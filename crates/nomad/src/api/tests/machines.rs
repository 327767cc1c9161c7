//! Machines in the API: every node lists them from their stored assignment records.

use super::{api, call, job};
use crate::api::endpoints::Endpoint;
use crate::api::machines::{MachineQuery, reply};
use crate::api::query::{Page, Query};
use pearford_scheduler::assignments::MachineRecord;
use pearford_scheduler::extension::{MachinePage, RecordedMachine, Verb};
use pearford_scheduler::simulation::Simulation;
use serde_json::{Value, json};

fn ask(simulation: &mut Simulation, node: usize, path: &str, query: &str) -> (u16, Value, Option<u32>) {
    simulation.answers.clear();
    simulation.call(node, 9, call(Verb::Get, path, query, &Value::Null));
    let until = simulation.now + 900;
    simulation.run_until(until);
    let answer = simulation.answers.first().expect("an answer");
    (answer.status, serde_json::from_str(&answer.body).unwrap_or_default(), answer.retry_after_s)
}

#[test]
fn every_node_lists_machines_with_their_tasks() {
    let mut simulation = Simulation::new(5).with_extension(api);
    simulation.run_until(6_000);
    let service = json!({"Job": job("a", "red", "service", 2, 0)});
    simulation.call(0, 1, call(Verb::Post, "/v1/jobs", "namespace=red", &service));
    simulation.run_until(30_000);
    let mut held: Vec<String> = simulation
        .workers
        .iter()
        .flat_map(|m| &m.tasks)
        .filter(|t| t.present())
        .map(|t| t.name.clone())
        .collect();
    held.sort();
    assert_eq!(held.len(), 2, "both replicas run");
    for node in 0..3 {
        let (status, nodes, _) = ask(&mut simulation, node, "/v1/nodes", "");
        let nodes = nodes.as_array().expect("a list").clone();
        assert_eq!(status, 200);
        let mut seen: Vec<String> = Vec::new();
        for n in &nodes {
            let id = n["ID"].as_str().expect("an id");
            let machine =
                simulation.workers.iter().find(|m| m.id.as_str() == id).expect("the listed machine exists");
            assert_eq!(
                (&n["Datacenter"], &n["NodeClass"]),
                (&json!(machine.zone), &json!(machine.type_name))
            );
            let (status, one, _) = ask(&mut simulation, node, &format!("/v1/node/{id}"), "");
            assert_eq!(status, 200);
            seen.extend(
                one["Tasks"].as_array().expect("tasks").iter().filter_map(Value::as_str).map(String::from),
            );
        }
        seen.sort();
        assert_eq!(seen, held);
        let (_, page, _) = ask(&mut simulation, node, "/v1/nodes", "per_page=1");
        assert_eq!(page.as_array().map(Vec::len), Some(1.min(nodes.len())));
    }
    for unknown in ["m-999999", "..", "a%20b", "a%3Fb", "%2F", "-"] {
        assert_eq!(ask(&mut simulation, 0, &format!("/v1/node/{unknown}"), "").0, 404, "{unknown}");
    }
}

/// Each read can load half a megabyte of records, so the rate of reads must be limited to protect a node's
/// memory.
#[test]
fn rate_of_machine_reads_is_limited() {
    let mut simulation = Simulation::new(5).with_extension(api);
    simulation.run_until(6_000);
    for tag in 0..50 {
        simulation.call(0, tag, call(Verb::Get, "/v1/nodes", "", &Value::Null));
    }
    simulation.run_until(7_000);
    let refused = simulation.answers.iter().filter(|a| a.status == 429 && a.retry_after_s.is_some()).count();
    assert_eq!(simulation.answers.len(), 50);
    assert!((46..50).contains(&refused), "{refused}");
}

#[test]
fn machine_tasks_are_shown_only_with_access_to_all_teams() {
    let record: MachineRecord = serde_json::from_str(
        r#"{"f":"g8","z":"z0","s":true,"a":"10.0.0.9:9000","t":[[{"job":"req-1","index":0},7,"red",{"cpus":1,"gpus":1,"memory_gb":1}]]}"#,
    )
    .expect("the record can be decoded");
    let page = Page::of(&Query::default()).expect("the page is valid");
    for all in [false, true] {
        let query = MachineQuery::of(&Endpoint::Machine("m-1".into()), &page, all)
            .expect("the endpoint is about machines");
        let machine = RecordedMachine { id: "m-1".into(), record: record.clone() };
        let found = MachinePage { machines: vec![machine], more: false };
        let body: Value = serde_json::from_str(&reply(&query, Ok(found)).body).expect("JSON");
        assert_eq!(body["Address"], "10.0.0.9");
        assert_eq!(body.get("Tasks").is_some(), all);
    }
}
