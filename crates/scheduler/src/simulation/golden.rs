//! What operators read from a node: the names of its metrics, and the fields of its list of waiting jobs.
//!
//! The values depend on the seeded run, so they are not recorded.

#![cfg(test)]

use super::{Simulation, job};
use crate::golden_group;
use serde_json::Value;
use std::collections::BTreeSet;

/// More tasks than the team may run at a time, so that some of them wait.
const TASKS: u32 = 40;

/// Runs a simulation in which one job waits for resources and another depends on it.
fn with_waiting_jobs() -> Simulation {
    let mut simulation = Simulation::new(3);
    simulation.add_user(500, job(0, "array", TASKS), None);
    let mut dependent = job(1, "array", 1);
    dependent["awaits"] = serde_json::json!([dependent_on(&simulation)]);
    simulation.add_user(600, dependent, None);
    simulation.run_until(20_000);
    simulation
}

fn dependent_on(simulation: &Simulation) -> String {
    simulation.users[0].id.clone()
}

fn leader(simulation: &Simulation) -> &crate::node::Controller {
    let leader = simulation.leader().expect("a node leads");
    simulation.nodes[leader].controller.as_ref().expect("the leader is running")
}

#[test]
fn golden_list_of_waiting_jobs() {
    let simulation = with_waiting_jobs();
    let list: Value =
        serde_json::from_str(&leader(&simulation).waiting_report()).expect("the report is valid JSON");
    let of = |n: usize| {
        let id = simulation.users[n].id.as_str();
        let line = list.as_array().into_iter().flatten().find(|line| line["id"] == id);
        line.cloned().unwrap_or_else(|| panic!("{id} is not listed in {list}"))
    };
    let fields = |line: &Value| line.as_object().expect("an object").keys().cloned().collect::<Vec<_>>();
    let (first, dependent) = (of(0), of(1));
    assert_eq!(fields(&first), ["id", "waiting", "why"]);
    assert!(first["waiting"].is_u64() && first["why"].is_string());
    assert_eq!(fields(&dependent), ["awaits", "id", "waiting", "why"]);
    assert_eq!(dependent["awaits"], serde_json::json!([simulation.users[0].id]));
}

#[test]
fn golden_names_of_metrics() {
    let simulation = with_waiting_jobs();
    let text = leader(&simulation).metrics();
    // Without labels, whose values name nodes and depend on the run.
    let names: BTreeSet<&str> = text.lines().filter_map(|line| line.split(['{', ' ']).next()).collect();
    let mut group = golden_group!("metrics.txt");
    group.writes("a leader's", names.into_iter().collect::<Vec<_>>().join(" "));
    group.finish();
}
