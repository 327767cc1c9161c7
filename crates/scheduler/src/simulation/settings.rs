//! The settings of the simulation's nodes, and the jobs that its users submit.

use crate::settings::{SAMPLE, Settings, SourceFile, parse};
use serde_json::{Value, json};

/// The key-value store's next limits, so small that a machine's record holds only a few tasks.
const NEXT_STORE_LIMITS: &str = "[facts.state.next]\nvalue_kb = 0.75\ntxn_ops = 4\nwrite_rps = 50.0\n";
/// The default number of accelerators that a team may use.
pub(super) const USUAL_GPUS: u32 = 12;
/// The operator's settings, which are read besides the settings file.
const OPERATOR_SETTINGS: &str = "idle_return_s: 20\nrefusal_pause_s: 3\n";

/// Returns a node's settings, with teams that may use `gpus` accelerators each.
pub(super) fn settings_of(node: usize, nodes: usize, gpus: u32) -> Settings {
    settings_with(node, nodes, gpus, "")
}

/// Returns a node's settings that include the key-value store's next limits.
pub(super) fn next_settings(node: usize, nodes: usize) -> Settings {
    settings_with(node, nodes, USUAL_GPUS, NEXT_STORE_LIMITS)
}

fn settings_with(node: usize, nodes: usize, gpus: u32, next_limits: &str) -> Settings {
    let mut text = format!(
        "node = \"n{node}\"\nsite = \"z{node}\"\napi_addr = \"10.0.0.{node}:8080\"\nback = \"10.0.0.{node}:8081\"\n"
    );
    for seed in (0..nodes).filter(|seed| *seed != node) {
        text += &format!(
            "[[seeds]]\nnode = \"n{seed}\"\nsite = \"z{seed}\"\npeer_addr = \"10.0.0.{seed}:8081\"\n"
        );
    }
    text += &SAMPLE[SAMPLE.find("[outside]").unwrap_or(0)..];
    let text = text.replace("[facts.cloud]", &format!("{next_limits}[facts.cloud]"));
    let text = text.replace("gpus_max = 12.0", &format!("gpus_max = {gpus}.0"));
    parse(SourceFile::new("test", &text), Some(SourceFile::new("operator", OPERATOR_SETTINGS)))
        .expect("the test settings are valid")
}

/// The image of jobs that were submitted with a mistake: their tasks fail on every machine.
pub const MISTAKEN_IMAGE: &str = "img-mistaken";

/// Returns the submission of job `number` with `tasks` tasks. Callers change the fields that they need
/// otherwise.
pub fn job(number: usize, job_type: &str, tasks: u32) -> Value {
    let owner = if number.is_multiple_of(2) { "red" } else { "blue" };
    let is_daemon = job_type == "daemon";
    json!({
        "id": format!("req-{number:06}"),
        "job_class": format!("c-{job_type}"),
        "owner": owner,
        "shape": job_type,
        "urgency": if is_daemon { "production" } else { "normal" },
        "shards": tasks,
        "vcpus": 2.0,
        "accelerators": 1.0,
        "memory_gb": 4.0,
        "bundle": format!("img-{}", number % 3),
        "image_gb": 1.0,
        "flavors": null,
        "region": null,
        "together": false,
        "spread": false,
        "preemptible": true,
        "expected_s": 6.0,
        "snapshot_every_s": if is_daemon { 0.0 } else { 2.0 },
        "snapshot_s": 1.0,
        "due_s": null,
    })
}
