//! The checks on a submission before it is stored. All APIs use the same checks.

use super::cache::JobCache;
use super::pending_requests::Refusal;
use super::record::{OpenJob, Record};
use super::spec::{AdmissionError, JobSpec, JobType};
use crate::settings::Settings;
use crate::types::{JobId, WallTime};
use crate::wire::cloud::MachineType;
use http::StatusCode;
use std::sync::Arc;

/// This node's state at the time of a submission.
#[derive(Clone, Copy)]
pub struct Admission<'a> {
    /// This node's settings.
    pub settings: &'a Settings,
    /// The cloud's machine types; empty while they are not known.
    pub types: &'a [MachineType],
    /// Whether every node is known to support jobs with dependencies.
    pub dependencies: bool,
    /// The known jobs.
    pub jobs: &'a JobCache,
    /// The submission's time.
    pub wall_time: WallTime,
}

impl Admission<'_> {
    /// Whether the job can run and be stored, regardless of its id and its dependencies.
    ///
    /// # Errors
    /// The refusal to return to the user, unless a job with this id is already known.
    pub fn check(&self, spec: &JobSpec) -> Result<(), Refusal> {
        if self.types.is_empty() {
            return Err(self.refusal_without_types(spec));
        }
        spec.can_run(self.settings, self.types)?;
        self.check_storable(spec)
    }

    /// The refusal while no machine types are known: permanent for an unknown team, temporary otherwise.
    fn refusal_without_types(&self, spec: &JobSpec) -> Refusal {
        match spec.can_run(self.settings, &[]) {
            Err(error @ AdmissionError::UnknownTeam(_)) => error.into(),
            _ => Refusal {
                status: StatusCode::SERVICE_UNAVAILABLE,
                reason: "machine types are not known yet".into(),
            },
        }
    }

    /// Whether the job can be stored. A job with dependencies is stored only once every node is known to
    /// support them. A record over the store's limit for a value is refused here, since the store would
    /// refuse every retry.
    fn check_storable(&self, spec: &JobSpec) -> Result<(), Refusal> {
        if !spec.needs.is_empty() && !self.dependencies {
            let reason =
                "jobs with `awaits` are accepted once every controller has the new version; come back later";
            return Err(Refusal { status: StatusCode::SERVICE_UNAVAILABLE, reason: reason.into() });
        }
        let bytes = Record::Open(self.open(spec)).to_value().len();
        let limit = self.settings.state.value_bytes;
        if bytes > limit { Err(AdmissionError::TooLarge { bytes, limit }.into()) } else { Ok(()) }
    }

    /// Why the job can't depend on the jobs that it names, according to the records that this node knows.
    pub fn dependency_error(&self, id: &JobId, spec: &JobSpec) -> Option<AdmissionError> {
        spec.needs.iter().find_map(|dependency| {
            if dependency == id {
                return Some(AdmissionError::SelfDependency);
            }
            let Some(known) = self.jobs.get(dependency) else {
                return Some(AdmissionError::UnknownDependency(dependency.clone()));
            };
            let service = known.record.open().is_some_and(|job| job.spec.job_type == JobType::Service);
            service.then(|| AdmissionError::ServiceDependency(dependency.clone()))
        })
    }

    /// The job as it will be stored, assigned to this node.
    pub fn open(&self, spec: &JobSpec) -> Arc<OpenJob> {
        Arc::new(OpenJob {
            spec: spec.clone(),
            submitted: self.wall_time,
            assigned_node: self.settings.node.clone(),
        })
    }
}
