//! The durable record of a job in the key-value store, one key per job.

use super::spec::{JobSpec, MAX_TASKS};
use crate::types::{JobId, NodeName, WallTime};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Prefix of the keys of job records in the key-value store.
pub const PREFIX: &str = "j/";
/// Prefix of the keys that record which tasks of a job are done.
pub const PROGRESS_PREFIX: &str = "p/";

/// Largest valid amount of a resource in a record; a larger one means that the record is damaged.
const MAX_AMOUNT: f64 = 1e12;

/// The key of a job's record.
pub fn key(id: &JobId) -> String {
    format!("{PREFIX}{id}")
}

/// A job's phase, as reported to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepted; none of its tasks is running.
    Pending,
    /// At least one of its tasks is running.
    Running,
    /// All its tasks are done. Final.
    Done,
    /// Cancelled by its user, or because a dependency was cancelled. Final.
    Cancelled,
}

/// A job that is neither done nor cancelled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OpenJob {
    /// What its user asked for.
    pub spec: JobSpec,
    /// When it was accepted.
    pub submitted: WallTime,
    /// The node that accepted it; its controller places the job's tasks while that node is alive.
    #[serde(rename = "home")]
    pub assigned_node: NodeName,
}

/// The durable record of a job. The record of a terminal job contains only its phase, and never changes
/// again.
///
/// An open job with dependencies is stored as `dependent`, so that a version that doesn't support
/// dependencies skips the record instead of running the job too early.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Record {
    /// Neither done nor cancelled.
    #[serde(alias = "dependent")]
    Open(Arc<OpenJob>),
    /// All its tasks are done.
    Done,
    /// Cancelled by its user, or because a dependency was cancelled.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl Record {
    /// The record as it is stored, in JSON.
    pub fn to_value(&self) -> String {
        #[derive(Serialize)]
        struct Dependent<'a> {
            dependent: &'a OpenJob,
        }
        match self {
            Record::Open(job) if !job.spec.needs.is_empty() => {
                serde_json::to_string(&Dependent { dependent: job })
            }
            _ => serde_json::to_string(self),
        }
        .unwrap_or_default()
    }

    /// Whether the number of tasks and all amounts are in their valid ranges; otherwise the record is damaged.
    pub(super) fn is_valid(&self) -> bool {
        let Record::Open(job) = self else { return true };
        let spec = &job.spec;
        let resources = &spec.resources;
        let amounts = [resources.cpus, resources.gpus, resources.memory_gb, spec.image_gb];
        (1..=MAX_TASKS).contains(&u64::from(spec.tasks))
            && amounts.iter().all(|amount| (0.0..=MAX_AMOUNT).contains(amount))
    }

    /// Whether the job is neither done nor cancelled.
    pub fn is_open(&self) -> bool {
        matches!(self, Record::Open(_))
    }

    /// The job, if it is open.
    pub fn open(&self) -> Option<&Arc<OpenJob>> {
        match self {
            Record::Open(job) => Some(job),
            _ => None,
        }
    }

    /// The final phase, if the job has one.
    pub fn terminal(&self) -> Option<Phase> {
        match self {
            Record::Open(_) => None,
            Record::Done => Some(Phase::Done),
            Record::Cancelled => Some(Phase::Cancelled),
        }
    }
}
