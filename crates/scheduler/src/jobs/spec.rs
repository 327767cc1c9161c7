//! What a job asks for, and whether the service could ever run it.
//!
//! `wire::users` and the Nomad feature build a [`JobSpec`] from a submission; admission checks it before it
//! is stored, and the leader schedules by it.

use crate::settings::{Settings, Team};
use crate::types::{Duration, Image, JobId, Kind, Resources, TeamName, TypeName, Zone};
use crate::wire::cloud::MachineType;
use serde::{Deserialize, Serialize};

/// Maximum number of tasks of one job.
pub const MAX_TASKS: u64 = 100_000;

/// Tolerance when a job's resources are compared with its team's limit, in CPUs or GPUs.
const LIMIT_TOLERANCE: f64 = 1e-6;

/// How the tasks of a job relate to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum JobType {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// Tasks that start together and run only while all of them do.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// How urgent a job is, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Runs on resources that no other work needs.
    Low,
    /// The usual priority.
    Normal,
    /// May preempt normal and low work.
    High,
    /// May preempt all other work.
    Production,
}

/// A job as its user described it. Part of the stored job record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The users' name for a class of similar jobs; success counts and metrics are kept for each.
    pub kind: Kind,
    /// The team whose quota the job counts against.
    pub team: TeamName,
    /// How its tasks relate to one another.
    #[serde(rename = "shape")]
    pub job_type: JobType,
    /// Its own priority, without priority inherited from jobs that depend on it.
    pub priority: Priority,
    /// Number of tasks, from 1 to [`MAX_TASKS`].
    pub tasks: u32,
    /// Resources that each task takes on its machine.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// The image that each task runs.
    pub image: Image,
    /// Size of the image in GB.
    pub image_gb: f64,
    /// The machine types that it may run on; `None` allows all.
    pub types: Option<Vec<TypeName>>,
    /// The zone that it must run in; `None` allows all.
    pub zone: Option<Zone>,
    /// All tasks must be in one zone.
    pub together: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Its tasks may run on spot machines.
    pub spot: bool,
    /// How long a task is expected to run.
    pub estimate: Duration,
    /// Interval between a task's checkpoints; zero if it saves none.
    #[serde(rename = "checkpoint")]
    pub checkpoint_interval: Duration,
    /// How long it takes to write one checkpoint.
    #[serde(rename = "save")]
    pub checkpoint_duration: Duration,
    /// Time after submission by which the job should be done, if its user gave one.
    pub deadline: Option<Duration>,
    /// Jobs that must be done before any of its tasks starts, without duplicates.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub needs: Vec<JobId>,
}

/// Why a job can never run. The error text is returned to the user.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum AdmissionError {
    /// The settings don't contain the team.
    #[error("owner: there is no team `{0}`; see facts.teams in the platform's settings")]
    UnknownTeam(TeamName),
    /// No allowed machine type in an allowed zone holds one task.
    #[error("a task fits no allowed machine type; request fewer resources or allow other flavors or regions")]
    NoFittingMachineType,
    /// The limit per zone times the number of allowed zones is less than the number of tasks.
    #[error(
        "spread: at most half of the tasks may be in one zone, but all must be in the same zone; drop `together`, `region` or `spread`"
    )]
    TooFewZones,
    /// The tasks that must run at the same time need more than the team's limit.
    #[error("the job needs more than the limit of its team `{0}`; request fewer resources")]
    OverLimit(TeamName),
    /// It depends on a job that is unknown.
    #[error("awaits: job `{0}` was never accepted; submit it first")]
    UnknownDependency(JobId),
    /// It depends on a service, which is never done.
    #[error("awaits: `{0}` is a service, which is never done")]
    ServiceDependency(JobId),
    /// It depends on itself.
    #[error("awaits: a job can't wait for itself")]
    SelfDependency,
    /// Its record exceeds the key-value store's limit for a value.
    #[error(
        "the job's record takes {bytes} bytes, but the state service stores at most {limit}; shorten `awaits` or `flavors`"
    )]
    TooLarge {
        /// Size of the record.
        bytes: usize,
        /// Largest size that the store accepts.
        limit: usize,
    },
}

impl JobSpec {
    /// Whether its tasks may run on machines of type `name`.
    pub fn type_allowed(&self, name: &TypeName) -> bool {
        self.types.as_ref().is_none_or(|types| types.contains(name))
    }

    /// Whether its tasks may run in `zone`.
    pub fn zone_allowed(&self, zone: &Zone) -> bool {
        self.zone.as_ref().is_none_or(|required| required == zone)
    }

    /// Maximum number of the job's tasks in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread { self.tasks.div_ceil(2) } else { self.tasks }
    }

    /// Whether the job could run on an idle service with machines of `types`.
    ///
    /// # Errors
    /// The first reason found why it never can.
    pub fn can_run(&self, settings: &Settings, types: &[MachineType]) -> Result<(), AdmissionError> {
        let team = settings.teams.get(&self.team);
        let team = team.ok_or_else(|| AdmissionError::UnknownTeam(self.team.clone()))?;
        if !types.iter().any(|machine_type| self.fits_on(machine_type)) {
            return Err(AdmissionError::NoFittingMachineType);
        }
        if self.exceeds_limit_of(team) {
            return Err(AdmissionError::OverLimit(self.team.clone()));
        }
        if !self.zones_suffice(settings) {
            return Err(AdmissionError::TooFewZones);
        }
        Ok(())
    }

    /// Whether one task fits on an empty machine of the type, in an allowed zone.
    fn fits_on(&self, machine_type: &MachineType) -> bool {
        let zones = &machine_type.zones;
        self.type_allowed(&machine_type.name)
            && self.resources.fits_in(&machine_type.resources())
            && self.zone.as_ref().is_none_or(|zone| zones.is_empty() || zones.contains(zone))
    }

    /// Whether the tasks that must run at the same time exceed the team's limit: one task of an array, but
    /// all tasks of a gang or a service.
    fn exceeds_limit_of(&self, team: &Team) -> bool {
        let concurrent_tasks = if self.job_type == JobType::Array { 1.0 } else { f64::from(self.tasks) };
        let exceeds = |limit: Option<f64>, per_task: f64| {
            limit.is_some_and(|limit| per_task * concurrent_tasks > limit + LIMIT_TOLERANCE)
        };
        exceeds(team.max_gpus, self.resources.gpus) || exceeds(team.max_cpus, self.resources.cpus)
    }

    /// Whether the allowed zones have room for all tasks that must run at the same time, under the limit per
    /// zone.
    fn zones_suffice(&self, settings: &Settings) -> bool {
        let one_zone = self.together || self.zone.is_some();
        let zones = if one_zone { 1 } else { settings.zones.len() as u32 };
        self.job_type == JobType::Array || zones.saturating_mul(self.zone_cap()) >= self.tasks
    }
}
