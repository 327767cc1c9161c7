//! The checks on a submission before it is stored, the same for every API that it may come through.

use super::cache::JobCache;
use super::pending_requests::Refusal;
use super::record::{OpenJob, Record};
use super::spec::{AdmissionError, JobSpec, JobType};
use crate::settings::Settings;
use crate::types::{JobId, WallTime};
use crate::wire::cloud::MachineType;
use http::StatusCode;
use std::sync::Arc;

/// What this node knows at the moment of a submission.
#[derive(Clone, Copy)]
pub struct Admission<'a> {
    /// This node's settings.
    pub settings: &'a Settings,
    /// The cloud's machine types; empty while they are not known.
    pub types: &'a [MachineType],
    /// Whether every node is known to understand jobs that need others.
    pub dependencies: bool,
    /// The known jobs.
    pub jobs: &'a JobCache,
    /// The submission's time.
    pub wall_time: WallTime,
}

impl Admission<'_> {
    /// Whether the job can run and be stored, regardless of its id and the jobs that it needs.
    ///
    /// # Errors
    /// The answer to the user, should the job's id prove unknown.
    pub fn check(&self, spec: &JobSpec) -> Result<(), Refusal> {
        if self.types.is_empty() {
            return Err(self.refusal_without_types(spec));
        }
        spec.can_run(self.settings, self.types)?;
        self.check_storable(spec)
    }

    /// Without machine types nothing can be accepted, and only an unknown team can be refused for good.
    fn refusal_without_types(&self, spec: &JobSpec) -> Refusal {
        match spec.can_run(self.settings, &[]) {
            Err(error @ AdmissionError::UnknownTeam(_)) => error.into(),
            _ => Refusal {
                status: StatusCode::SERVICE_UNAVAILABLE,
                reason: "machine types are not known yet".into(),
            },
        }
    }

    /// A job that needs others is stored only once every node is known to understand that, and any
    /// job only if its record fits: a larger one would be refused at every try.
    fn check_storable(&self, spec: &JobSpec) -> Result<(), Refusal> {
        if !spec.needs.is_empty() && !self.dependencies {
            let reason = "jobs with `awaits` are taken once every controller has the new version; come back";
            return Err(Refusal { status: StatusCode::SERVICE_UNAVAILABLE, reason: reason.into() });
        }
        let bytes = Record::Open(self.open(spec)).to_value().len();
        let limit = self.settings.state.value_bytes;
        if bytes > limit { Err(AdmissionError::TooLarge { bytes, limit }.into()) } else { Ok(()) }
    }

    /// Why the job can't depend on the jobs that it names, as far as this node knows.
    pub fn dependency_error(&self, id: &JobId, spec: &JobSpec) -> Option<AdmissionError> {
        spec.needs.iter().find_map(|dependency| {
            if dependency == id {
                return Some(AdmissionError::NeedsItself);
            }
            let Some(known) = self.jobs.get(dependency) else {
                return Some(AdmissionError::NeedsUnknown(dependency.clone()));
            };
            let service = known.record.open().is_some_and(|job| job.spec.job_type == JobType::Service);
            service.then(|| AdmissionError::NeedsService(dependency.clone()))
        })
    }

    /// The job as it is stored now, assigned to this node.
    pub fn open(&self, spec: &JobSpec) -> Arc<OpenJob> {
        Arc::new(OpenJob {
            spec: spec.clone(),
            submitted: self.wall_time,
            assigned_node: self.settings.node.clone(),
        })
    }
}
