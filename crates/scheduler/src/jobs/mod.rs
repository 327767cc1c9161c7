//! Jobs: what users asked for, the durable record of each, and every node's mirror of them.

mod admission;
pub mod graph;
mod job_state;
mod pending_requests;
mod served;
mod task_counts;

pub use admission::Admission;
pub use job_state::{CHUNK, JobState, TaskSet};
pub use pending_requests::{PendingRequest, PendingRequests, Refusal, UserRequest};
pub use served::{Served, Stage};
pub use task_counts::TaskCounts;

use crate::settings::Settings;
use crate::types::{
    Duration, Image, JobId, Kind, NodeName, Resources, Revision, TeamName, TypeName, WallTime, Zone,
};
use crate::wire::cloud::MachineType;
use crate::wire::state::{Event, Pair};
use graph::Graph;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Prefix of job records in the state service.
pub const PREFIX: &str = "j/";
/// Prefix of the records of which tasks are done.
pub const PROGRESS_PREFIX: &str = "p/";

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum JobType {
    Array,
    Gang,
    Service,
}

/// Higher is more urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    Low,
    Normal,
    High,
    Production,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Pending,
    Running,
    Done,
    Cancelled,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub kind: Kind,
    pub team: TeamName,
    #[serde(rename = "shape")]
    pub job_type: JobType,
    pub priority: Priority,
    pub tasks: u32,
    #[serde(rename = "room")]
    pub resources: Resources,
    pub image: Image,
    pub image_gb: f64,
    pub types: Option<Vec<TypeName>>,
    pub zone: Option<Zone>,
    pub together: bool,
    pub spread: bool,
    pub spot: bool,
    pub estimate: Duration,
    pub checkpoint: Duration,
    pub save: Duration,
    pub deadline: Option<Duration>,
    /// Jobs that have to be done before any of its tasks starts, each once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub needs: Vec<JobId>,
}

/// Why a job can never run.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum AdmissionError {
    #[error("owner: there is no team `{0}`; see facts.teams in the platform's settings")]
    UnknownTeam(TeamName),
    #[error("a task fits no allowed machine type; ask for less or allow other flavors or regions")]
    FitsNowhere,
    #[error(
        "spread: at most half of the tasks may be in one zone, and all have to be in the same; drop `together`, `region` or `spread`"
    )]
    SpreadNowhere,
    #[error("the job needs more than the limit of its team `{0}`; ask for less")]
    OverLimit(TeamName),
    #[error("awaits: `{0}` was never accepted; name jobs only once they are")]
    NeedsUnknown(JobId),
    #[error("awaits: `{0}` is a service, which is never done")]
    NeedsService(JobId),
    #[error("awaits: a job can't wait for itself")]
    NeedsItself,
    #[error(
        "the job's record takes {bytes} bytes and the state service stores {limit}; shorten `awaits` or `flavors`"
    )]
    TooLarge { bytes: usize, limit: usize },
}

impl JobSpec {
    pub fn type_allowed(&self, name: &TypeName) -> bool {
        self.types.as_ref().is_none_or(|t| t.contains(name))
    }

    pub fn zone_allowed(&self, zone: &Zone) -> bool {
        self.zone.as_ref().is_none_or(|z| z == zone)
    }

    /// How many of the job's tasks may be in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread { self.tasks.div_ceil(2) } else { self.tasks }
    }

    pub fn can_run(&self, settings: &Settings, types: &[MachineType]) -> Result<(), AdmissionError> {
        let team =
            settings.teams.get(&self.team).ok_or_else(|| AdmissionError::UnknownTeam(self.team.clone()))?;
        let fits = types.iter().any(|t| {
            self.type_allowed(&t.name)
                && self.resources.fits_in(&t.resources())
                && self.zone.as_ref().is_none_or(|z| t.zones.is_empty() || t.zones.contains(z))
        });
        if !fits {
            return Err(AdmissionError::FitsNowhere);
        }
        let together = if self.job_type == JobType::Array { 1.0 } else { f64::from(self.tasks) };
        let over = |max: Option<f64>, each: f64| max.is_some_and(|m| each * together > m + 1e-6);
        if over(team.max_gpus, self.resources.gpus) || over(team.max_cpus, self.resources.cpus) {
            return Err(AdmissionError::OverLimit(self.team.clone()));
        }
        let zones = if self.together || self.zone.is_some() { 1 } else { settings.zones.len() as u32 };
        if self.job_type != JobType::Array && zones.saturating_mul(self.zone_cap()) < self.tasks {
            return Err(AdmissionError::SpreadNowhere);
        }
        Ok(())
    }
}

/// A job that may still run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OpenJob {
    pub spec: JobSpec,
    pub submitted: WallTime,
    /// The node that accepted it and whose controller places it, while that node is there.
    pub home: NodeName,
}

/// The durable record of a job. A terminal job shrinks to its verdict, and never changes again.
///
/// A job that needs others is stored as `dependent`, so that a version that doesn't know
/// dependencies skips the record rather than runs the job too early.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Record {
    #[serde(alias = "dependent")]
    Open(Arc<OpenJob>),
    Done,
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl Record {
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
    /// Whether a node can have stored it.
    fn is_possible(&self) -> bool {
        let Record::Open(job) = self else { return true };
        let (spec, amount) = (&job.spec, |v: f64| (0.0..=1e12).contains(&v));
        let resources = [spec.resources.cpus, spec.resources.gpus, spec.resources.memory_gb, spec.image_gb];
        (1..=crate::wire::users::MAX_TASKS).contains(&u64::from(spec.tasks))
            && resources.into_iter().all(amount)
    }
    pub fn is_open(&self) -> bool {
        matches!(self, Record::Open(_))
    }
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

pub fn key(id: &JobId) -> String {
    format!("{PREFIX}{id}")
}

#[derive(Debug, Clone)]
pub struct CachedJob {
    pub revision: Revision,
    pub record: Record,
}

/// This node's copy of all job records, as of `store_revision`.
///
/// A watch from `store_revision` that returns at once brings it up to date in one request, so an answer
/// to any number of waiting users costs one read begun after their requests.
#[derive(Debug, Default)]
pub struct JobCache {
    jobs: BTreeMap<JobId, CachedJob>,
    /// All changes up to this revision are in `jobs`; `None` until the first full read is over.
    store_revision: Option<u64>,
    /// Who waits for whom, kept in line with `jobs`.
    graph: Graph,
    /// Ids whose records changed since the last `take_changed`, or for whom others' records change
    /// something: free to run, withdrawn, or of another priority.
    changed: Vec<JobId>,
    /// Jobs whose record can't be read, and its version.
    bad: BTreeMap<JobId, Revision>,
    /// As the version before dependencies does.
    #[cfg(any(test, feature = "world"))]
    pub(crate) skip_dependent: bool,
}

impl JobCache {
    pub fn get(&self, id: &JobId) -> Option<&CachedJob> {
        self.jobs.get(id)
    }
    /// The job's final phase, if it has one: its record's, or withdrawn with one that it needs. That
    /// is as final as the record it follows from.
    pub fn terminal_status(&self, id: &JobId) -> Option<Phase> {
        let known = self.jobs.get(id)?;
        known.record.terminal().or_else(|| self.graph.doomed(id).then_some(Phase::Cancelled))
    }
    /// Whether tasks of the job may run: it is open, and all that it needs is durably done.
    pub fn ready(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|k| k.record.is_open()) && !self.graph.waits(id)
    }
    /// The priority of an open job: its own, or a higher one of a job that needs it.
    pub fn priority(&self, id: &JobId) -> Priority {
        let own = self.jobs.get(id).and_then(|k| k.record.open()).map_or(Priority::Low, |j| j.spec.priority);
        self.graph.priority(id, own)
    }
    /// Who waits for whom.
    pub fn graph(&self) -> &Graph {
        &self.graph
    }
    #[cfg(any(test, feature = "world"))]
    pub(crate) fn take_out(&mut self, guard: graph::Guard) {
        self.graph.without = Some(guard);
    }
    pub fn len(&self) -> usize {
        self.jobs.len()
    }
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &CachedJob)> {
        self.jobs.iter()
    }
    pub fn store_revision(&self) -> Option<u64> {
        self.store_revision
    }
    pub fn forget_store_revision(&mut self) {
        self.store_revision = None;
    }
    pub fn reach(&mut self, store_revision: u64) {
        if self.store_revision.is_none_or(|e| e < store_revision) {
            self.store_revision = Some(store_revision);
        }
    }
    pub fn take_changed(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// Takes in a record read or written; older ones than the known one are ignored.
    pub fn learn(&mut self, id: JobId, revision: Revision, record: Record) {
        if self.bad.get(&id).is_some_and(|bad| *bad < revision) {
            self.bad.remove(&id);
        }
        match self.jobs.get(&id) {
            // A terminal verdict is final: no late answer may reopen it.
            Some(known) if known.revision >= revision || !known.record.is_open() => {}
            _ => {
                let jobs = &self.jobs;
                let terminal_status = |id: &JobId| jobs.get(id).and_then(|k| k.record.terminal());
                let affected = match (&record, record.terminal()) {
                    (Record::Open(job), _) => self.graph.opened(&id, &job.spec, terminal_status),
                    (_, Some(phase)) => self.graph.over(&id, phase),
                    _ => Vec::new(),
                };
                self.changed.push(id.clone());
                self.changed.extend(affected);
                self.jobs.insert(id, CachedJob { revision, record });
            }
        }
    }

    pub fn learn_pair(&mut self, pair: &Pair) {
        let Some(id) = pair.key.strip_prefix(PREFIX) else { return };
        #[cfg(any(test, feature = "world"))]
        if self.skip_dependent && pair.value.starts_with("{\"dependent\"") {
            return;
        }
        match serde_json::from_str(&pair.value) {
            Ok(record) if Record::is_possible(&record) => self.learn(id.into(), pair.revision, record),
            Ok(_) => self.cannot_read(pair, "says what nobody can have stored"),
            Err(error) => self.cannot_read(pair, &error.to_string()),
        }
    }

    /// Not guessed at: the job is neither open nor over for this node, and not unknown either, until its key holds a
    /// record again that can be read.
    fn cannot_read(&mut self, pair: &Pair, reason: &str) {
        let id: JobId = pair.key[PREFIX.len()..].into();
        if self.bad.insert(id, pair.revision) != Some(pair.revision) {
            tracing::error!(key = pair.key, reason, "job record can't be read; put a right one there");
        }
    }

    /// Whether the job's record can't be read.
    pub fn is_unreadable(&self, id: &JobId) -> bool {
        self.bad.contains_key(id) && self.terminal_status(id).is_none()
    }

    /// Records that can't be read.
    pub fn unreadable(&self) -> usize {
        self.bad.len()
    }

    pub fn learn_events(&mut self, store_revision: u64, events: &[Event]) {
        for event in events {
            if let Event::Put(pair) = event {
                self.learn_pair(pair);
            }
        }
        if self.store_revision.is_some() {
            self.reach(store_revision);
        }
    }
}

#[cfg(test)]
mod golden;
#[cfg(test)]
pub(crate) mod tests;
