//! Users -> controller nodes.

use crate::jobs::{JobSpec, JobType, MAX_TASKS, Phase, Priority};
use crate::types::{Duration, JobId, Resources};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

const ID_PREFIX: &str = "req-";
/// Larger amounts than any machine has; bounds what arithmetic on them can reach.
const MAX_AMOUNT: f64 = 1e9;
const MAX_NAME: usize = 128;

#[derive(Serialize, Deserialize)]
struct Submission {
    id: String,
    job_class: String,
    owner: String,
    shape: WireShape,
    urgency: WireUrgency,
    shards: u64,
    vcpus: f64,
    accelerators: f64,
    memory_gb: f64,
    bundle: String,
    image_gb: f64,
    #[serde(default)]
    flavors: Option<Vec<String>>,
    #[serde(default)]
    region: Option<String>,
    together: bool,
    spread: bool,
    preemptible: bool,
    expected_s: f64,
    snapshot_every_s: f64,
    snapshot_s: f64,
    #[serde(default)]
    due_s: Option<f64>,
    /// Read by hand, so that the error names the field.
    #[serde(default, skip_serializing_if = "serde_json::Value::is_null")]
    awaits: serde_json::Value,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireShape {
    Array,
    Ensemble,
    Daemon,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireUrgency {
    Production,
    Urgent,
    Normal,
    Idle,
}

/// Whether `id` has the form that all job ids have.
pub fn job_id(id: &str) -> Option<JobId> {
    let digits = id.strip_prefix(ID_PREFIX)?;
    ((1..=32).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())).then(|| id.into())
}

/// The id of a submission whose other fields may be anything: a repeat of an accepted job gets
/// its state whatever the retry's body says.
pub fn submission_id(body: &[u8]) -> Option<JobId> {
    #[derive(Deserialize)]
    struct IdOnly {
        id: String,
    }
    serde_json::from_slice::<IdOnly>(body).ok().and_then(|s| job_id(&s.id))
}

/// Reads a submission; the error says what is wrong with it.
pub fn submission(body: &[u8]) -> Result<(JobId, JobSpec), String> {
    let s: Submission = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let id = job_id(&s.id).ok_or("id: must look like req-000412")?;
    let amount = |key: &str, v: f64, least: f64| {
        if v.is_finite() && v >= least && v <= MAX_AMOUNT {
            Ok(v)
        } else {
            Err(format!("{key}: must be a number from {least} to {MAX_AMOUNT}, is {v}"))
        }
    };
    let name = |key: &str, v: &str| {
        if v.is_empty() || v.len() > MAX_NAME {
            Err(format!("{key}: must have 1 to {MAX_NAME} characters"))
        } else {
            Ok(())
        }
    };
    name("job_class", &s.job_class)?;
    name("owner", &s.owner)?;
    name("bundle", &s.bundle)?;
    if let Some(region) = &s.region {
        name("region", region)?;
    }
    for flavor in s.flavors.iter().flatten() {
        name("flavors", flavor)?;
    }
    if s.flavors.as_ref().is_some_and(|f| f.len() > 64) {
        return Err("flavors: at most 64".into());
    }
    if s.shards == 0 || s.shards > MAX_TASKS {
        return Err(format!("shards: must be from 1 to {MAX_TASKS}, is {}", s.shards));
    }
    if s.vcpus <= 0.0 {
        return Err(format!("vcpus: must be above 0, is {}", s.vcpus));
    }
    if s.due_s.is_some_and(|d| d <= 0.0) {
        return Err("due_s: must be above 0 or null".into());
    }
    const NOT_IDS: &str = "awaits: must be a list of job ids like req-000412, or null";
    let listed = match &s.awaits {
        serde_json::Value::Null => &[][..],
        value => value.as_array().ok_or(NOT_IDS)?,
    };
    let (mut needs, mut named) = (Vec::new(), BTreeSet::new());
    for need in listed {
        let need = need.as_str().and_then(job_id).ok_or(NOT_IDS)?;
        if named.insert(need.clone()) {
            needs.push(need);
        }
    }
    let span = |key: &str, v: f64| amount(key, v, 0.0).map(Duration::from_secs_f64);
    let spec = JobSpec {
        kind: s.job_class.as_str().into(),
        team: s.owner.as_str().into(),
        job_type: match s.shape {
            WireShape::Array => JobType::Array,
            WireShape::Ensemble => JobType::Gang,
            WireShape::Daemon => JobType::Service,
        },
        priority: match s.urgency {
            WireUrgency::Production => Priority::Production,
            WireUrgency::Urgent => Priority::High,
            WireUrgency::Normal => Priority::Normal,
            WireUrgency::Idle => Priority::Low,
        },
        tasks: s.shards as u32,
        resources: Resources {
            cpus: amount("vcpus", s.vcpus, 0.0)?,
            gpus: amount("accelerators", s.accelerators, 0.0)?,
            memory_gb: amount("memory_gb", s.memory_gb, 0.0)?,
        },
        image: s.bundle.as_str().into(),
        image_gb: amount("image_gb", s.image_gb, 0.0)?,
        types: s.flavors.map(|f| f.iter().map(|t| t.as_str().into()).collect()),
        zone: s.region.map(|z| z.as_str().into()),
        together: s.together,
        spread: s.spread,
        spot: s.preemptible,
        estimate: span("expected_s", s.expected_s)?,
        checkpoint: span("snapshot_every_s", s.snapshot_every_s)?,
        save: span("snapshot_s", s.snapshot_s)?,
        deadline: s.due_s.map(|d| span("due_s", d)).transpose()?,
        needs,
    };
    Ok((id, spec))
}

/// A submission as its user would send it, on one line.
pub fn write_submission(id: &JobId, spec: &JobSpec) -> String {
    let submission = Submission {
        id: id.to_string(),
        job_class: spec.kind.to_string(),
        owner: spec.team.to_string(),
        shape: match spec.job_type {
            JobType::Array => WireShape::Array,
            JobType::Gang => WireShape::Ensemble,
            JobType::Service => WireShape::Daemon,
        },
        urgency: match spec.priority {
            Priority::Production => WireUrgency::Production,
            Priority::High => WireUrgency::Urgent,
            Priority::Normal => WireUrgency::Normal,
            Priority::Low => WireUrgency::Idle,
        },
        shards: u64::from(spec.tasks),
        vcpus: spec.resources.cpus,
        accelerators: spec.resources.gpus,
        memory_gb: spec.resources.memory_gb,
        bundle: spec.image.to_string(),
        image_gb: spec.image_gb,
        flavors: spec.types.as_ref().map(|types| types.iter().map(ToString::to_string).collect()),
        region: spec.zone.as_ref().map(ToString::to_string),
        together: spec.together,
        spread: spec.spread,
        preemptible: spec.spot,
        expected_s: spec.estimate.as_secs_f64(),
        snapshot_every_s: spec.checkpoint.as_secs_f64(),
        snapshot_s: spec.save.as_secs_f64(),
        due_s: spec.deadline.map(Duration::as_secs_f64),
        awaits: match spec.needs.as_slice() {
            [] => serde_json::Value::Null,
            needs => needs.iter().map(|n| n.as_str()).collect(),
        },
    };
    serde_json::to_string(&submission).unwrap_or_default()
}

#[derive(Serialize)]
struct Status<'a> {
    id: &'a str,
    phase: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u32>,
}

pub fn status(id: &JobId, phase: Phase, counts: Option<(u32, u32)>) -> String {
    let phase = match phase {
        Phase::Pending => "pending",
        Phase::Running => "running",
        Phase::Done => "done",
        Phase::Cancelled => "withdrawn",
    };
    let status = Status { id: id.as_str(), phase, done: counts.map(|c| c.0), running: counts.map(|c| c.1) };
    serde_json::to_string(&status).unwrap_or_default()
}

pub fn error(what: &str) -> String {
    #[derive(Serialize)]
    struct Error<'a> {
        error: &'a str,
    }
    serde_json::to_string(&Error { error: what }).unwrap_or_default()
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
