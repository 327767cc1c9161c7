//! Tests of the API in the scheduler's seeded simulation.

mod golden;
mod histories;
mod hostile;
mod machines;
mod placements;
mod rollouts;

use crate::api::NomadApi;
use crate::operator::NomadSettings;
use pearford_scheduler::extension::{Call, Extension, Verb};
use serde_json::{Value, json};

pub(super) fn api() -> Box<dyn Extension> {
    Box::new(NomadApi::new(NomadSettings::default()).expect("the defaults are valid"))
}

pub(super) fn call(verb: Verb, path: &str, query: &str, body: &Value) -> Call {
    let body = if body.is_null() { Vec::new() } else { body.to_string().into_bytes() };
    Call { verb, path: path.into(), query: query.into(), token: None, body }
}

/// A job of one group. A different `run` makes a different version of the job.
pub(super) fn job(name: &str, namespace: &str, kind: &str, count: u32, run: u32) -> Value {
    json!({"ID": name, "Name": name, "Namespace": namespace, "Type": kind, "Priority": 50, "Datacenters": ["*"],
        "Meta": {"pearford_class": format!("c-{kind}"), "pearford_image_gb": "1", "pearford_expected_s": "5",
            "pearford_run": run.to_string()},
        "TaskGroups": [{"Name": "g", "Count": count, "Tasks": [{"Name": "t", "Driver": "docker",
            "Config": {"image": format!("img-{}", run % 3)},
            "Resources": {"Cores": 2, "MemoryMB": 4096, "Devices": [{"Name": "nvidia/gpu", "Count": 1}]}}]}]})
}
