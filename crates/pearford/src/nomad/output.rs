//! Formats the responses of a node's Nomad API for `pearford nomad`.

use serde_json::Value;

/// The lines for an accepted registration.
pub(super) fn registered(response: &Value) -> Vec<String> {
    let evaluation = text(response, "EvalID");
    let mut lines = vec![format!("evaluation {evaluation}, job modify index {}", response["JobModifyIndex"])];
    let warnings = text(response, "Warnings");
    if !warnings.is_empty() {
        lines.push(format!("note: {warnings}"));
    }
    lines
}

/// The line for a plan: what registering the job would change.
pub(super) fn planned(response: &Value) -> Vec<String> {
    let change = match response["Diff"]["Type"].as_str() {
        Some("Added") => "would be registered for the first time",
        Some("None") => "is registered as it is",
        _ => "would become a new version",
    };
    vec![format!("{change}; job modify index {}", response["JobModifyIndex"])]
}

/// The lines for a job's status, including one for each of its groups.
pub(super) fn status(job: &Value, summary: &Value) -> Vec<String> {
    let headline = format!("{}: {} {}", text(job, "ID"), text(job, "Status"), text(job, "StatusDescription"));
    let mut lines = vec![
        headline.trim_end().to_string(),
        format!(
            "type {}, namespace {}, version {}",
            text(job, "Type"),
            text(job, "Namespace"),
            job["Version"]
        ),
    ];
    for (group, tasks) in summary["Summary"].as_object().into_iter().flatten() {
        lines.push(format!(
            "group {group}: {} wait, {} run, {} complete",
            tasks["Queued"], tasks["Running"], tasks["Complete"]
        ));
    }
    lines
}

/// A field's text; empty if it is absent or not a string.
fn text<'a>(object: &'a Value, key: &str) -> &'a str {
    object[key].as_str().unwrap_or_default()
}
