//! Users -> controller nodes: submissions, job status and errors.

use super::read;
use crate::jobs::{JobSpec, JobType, MAX_TASKS, Phase, Priority, TaskCounts};
use crate::types::{Duration, JobId, Resources};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Prefix of job ids; 1 to `MAX_ID_DIGITS` digits follow.
const ID_PREFIX: &str = "req-";
const MAX_ID_DIGITS: usize = 32;
/// Maximum amount of a resource or a time: more than any machine has, and small enough for sums to stay
/// finite.
const MAX_AMOUNT: f64 = 1e9;
/// Maximum length of a name, in bytes.
const MAX_NAME: usize = 128;
/// Maximum number of machine types that a submission may list.
const MAX_TYPES: usize = 64;

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
    /// Parsed by `dependencies`, so that the error names the field.
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

impl From<WireShape> for JobType {
    fn from(shape: WireShape) -> Self {
        match shape {
            WireShape::Array => JobType::Array,
            WireShape::Ensemble => JobType::Gang,
            WireShape::Daemon => JobType::Service,
        }
    }
}

impl From<JobType> for WireShape {
    fn from(job_type: JobType) -> Self {
        match job_type {
            JobType::Array => WireShape::Array,
            JobType::Gang => WireShape::Ensemble,
            JobType::Service => WireShape::Daemon,
        }
    }
}

impl From<WireUrgency> for Priority {
    fn from(urgency: WireUrgency) -> Self {
        match urgency {
            WireUrgency::Production => Priority::Production,
            WireUrgency::Urgent => Priority::High,
            WireUrgency::Normal => Priority::Normal,
            WireUrgency::Idle => Priority::Low,
        }
    }
}

impl From<Priority> for WireUrgency {
    fn from(priority: Priority) -> Self {
        match priority {
            Priority::Production => WireUrgency::Production,
            Priority::High => WireUrgency::Urgent,
            Priority::Normal => WireUrgency::Normal,
            Priority::Low => WireUrgency::Idle,
        }
    }
}

/// Parses a job id; `None` if it is malformed.
pub fn job_id(id: &str) -> Option<JobId> {
    let digits = id.strip_prefix(ID_PREFIX)?;
    ((1..=MAX_ID_DIGITS).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit()))
        .then(|| id.into())
}

/// The id of a submission, without a check of its other fields: a retry for an accepted job is answered with
/// the job's status, whatever else its body contains.
pub fn submission_id(body: &[u8]) -> Option<JobId> {
    #[derive(Deserialize)]
    struct IdOnly {
        id: String,
    }
    let submission: IdOnly = read(body)?;
    job_id(&submission.id)
}

/// Why a submission is rejected. The text begins with the field and is returned to the user.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SubmissionError {
    /// The body is not JSON, or a field is missing or of the wrong type.
    #[error("{0}")]
    Body(String),
    /// The id is malformed.
    #[error("id: must look like req-000412")]
    Id,
    /// A name is empty or too long.
    #[error("{field}: must have 1 to {max} characters", max = MAX_NAME)]
    Name {
        /// The field with the name.
        field: &'static str,
    },
    /// An amount is negative, too large or not finite.
    #[error("{field}: must be a number from 0 to {max}, is {amount}", max = MAX_AMOUNT)]
    Amount {
        /// The field with the amount.
        field: &'static str,
        /// The amount.
        amount: f64,
    },
    /// Too many machine types are listed.
    #[error("flavors: at most {max}", max = MAX_TYPES)]
    TypeCount,
    /// The number of tasks is out of range.
    #[error("shards: must be from 1 to {max}, is {0}", max = MAX_TASKS)]
    TaskCount(u64),
    /// A task needs no CPU.
    #[error("vcpus: must be above 0, is {0}")]
    NoCpus(f64),
    /// The deadline is not after the submission.
    #[error("due_s: must be above 0 or null")]
    Deadline,
    /// The dependencies are not a list of job ids.
    #[error("awaits: must be a list of job ids like req-000412, or null")]
    Dependencies,
}

/// Parses and checks a submission.
///
/// # Errors
/// The first fault found.
pub fn submission(body: &[u8]) -> Result<(JobId, JobSpec), SubmissionError> {
    let submission: Submission =
        serde_json::from_slice(body).map_err(|error| SubmissionError::Body(error.to_string()))?;
    let id = job_id(&submission.id).ok_or(SubmissionError::Id)?;
    check_names(&submission)?;
    check_ranges(&submission)?;
    let needs = dependencies(&submission.awaits)?;
    Ok((id, spec(submission, needs)?))
}

fn check_names(submission: &Submission) -> Result<(), SubmissionError> {
    check_name("job_class", &submission.job_class)?;
    check_name("owner", &submission.owner)?;
    check_name("bundle", &submission.bundle)?;
    if let Some(region) = &submission.region {
        check_name("region", region)?;
    }
    for flavor in submission.flavors.iter().flatten() {
        check_name("flavors", flavor)?;
    }
    Ok(())
}

fn check_name(field: &'static str, name: &str) -> Result<(), SubmissionError> {
    let valid = (1..=MAX_NAME).contains(&name.len());
    if valid { Ok(()) } else { Err(SubmissionError::Name { field }) }
}

fn check_ranges(submission: &Submission) -> Result<(), SubmissionError> {
    if submission.flavors.as_ref().is_some_and(|flavors| flavors.len() > MAX_TYPES) {
        return Err(SubmissionError::TypeCount);
    }
    if !(1..=MAX_TASKS).contains(&submission.shards) {
        return Err(SubmissionError::TaskCount(submission.shards));
    }
    if submission.vcpus <= 0.0 {
        return Err(SubmissionError::NoCpus(submission.vcpus));
    }
    if submission.due_s.is_some_and(|due_s| due_s <= 0.0) {
        return Err(SubmissionError::Deadline);
    }
    Ok(())
}

/// The listed job ids, each once, in the order of the list.
fn dependencies(awaits: &serde_json::Value) -> Result<Vec<JobId>, SubmissionError> {
    if awaits.is_null() {
        return Ok(Vec::new());
    }
    let mut dependencies = Vec::new();
    let mut known = BTreeSet::new();
    for id in awaits.as_array().ok_or(SubmissionError::Dependencies)? {
        let id = id.as_str().and_then(job_id).ok_or(SubmissionError::Dependencies)?;
        if known.insert(id.clone()) {
            dependencies.push(id);
        }
    }
    Ok(dependencies)
}

fn spec(submission: Submission, needs: Vec<JobId>) -> Result<JobSpec, SubmissionError> {
    Ok(JobSpec {
        kind: submission.job_class.as_str().into(),
        team: submission.owner.as_str().into(),
        job_type: submission.shape.into(),
        priority: submission.urgency.into(),
        tasks: submission.shards as u32,
        resources: Resources {
            cpus: amount("vcpus", submission.vcpus)?,
            gpus: amount("accelerators", submission.accelerators)?,
            memory_gb: amount("memory_gb", submission.memory_gb)?,
        },
        image: submission.bundle.as_str().into(),
        image_gb: amount("image_gb", submission.image_gb)?,
        types: submission.flavors.map(|flavors| flavors.iter().map(|name| name.as_str().into()).collect()),
        zone: submission.region.map(|region| region.as_str().into()),
        together: submission.together,
        spread: submission.spread,
        spot: submission.preemptible,
        estimate: duration("expected_s", submission.expected_s)?,
        checkpoint_interval: duration("snapshot_every_s", submission.snapshot_every_s)?,
        checkpoint_duration: duration("snapshot_s", submission.snapshot_s)?,
        deadline: submission.due_s.map(|due_s| duration("due_s", due_s)).transpose()?,
        needs,
    })
}

fn amount(field: &'static str, amount: f64) -> Result<f64, SubmissionError> {
    let valid = (0.0..=MAX_AMOUNT).contains(&amount);
    if valid { Ok(amount) } else { Err(SubmissionError::Amount { field, amount }) }
}

fn duration(field: &'static str, seconds: f64) -> Result<Duration, SubmissionError> {
    amount(field, seconds).map(Duration::from_secs_f64)
}

/// A submission as its user would send it, on one line.
pub fn write_submission(id: &JobId, spec: &JobSpec) -> String {
    let submission = Submission {
        id: id.to_string(),
        job_class: spec.kind.to_string(),
        owner: spec.team.to_string(),
        shape: spec.job_type.into(),
        urgency: spec.priority.into(),
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
        snapshot_every_s: spec.checkpoint_interval.as_secs_f64(),
        snapshot_s: spec.checkpoint_duration.as_secs_f64(),
        due_s: spec.deadline.map(Duration::as_secs_f64),
        awaits: match spec.needs.as_slice() {
            [] => serde_json::Value::Null,
            needs => needs.iter().map(JobId::as_str).collect(),
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

/// A job's status; `counts` has the numbers of its done and running tasks, if they are known.
pub fn status(id: &JobId, phase: Phase, counts: Option<TaskCounts>) -> String {
    let status = Status {
        id: id.as_str(),
        phase: phase_name(phase),
        done: counts.map(|counts| counts.done),
        running: counts.map(|counts| counts.running),
    };
    serde_json::to_string(&status).unwrap_or_default()
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Pending => "pending",
        Phase::Running => "running",
        Phase::Done => "done",
        Phase::Cancelled => "withdrawn",
    }
}

/// The body of an error answer.
pub fn error(message: &str) -> String {
    #[derive(Serialize)]
    struct Error<'a> {
        error: &'a str,
    }
    serde_json::to_string(&Error { error: message }).unwrap_or_default()
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
