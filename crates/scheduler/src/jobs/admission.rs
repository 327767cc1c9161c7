//! What a submission is checked by before it is stored, whichever door it comes through.

use super::{AdmissionError, JobCache, JobSpec, JobType, OpenJob, Record, Refusal};
use crate::settings::Settings;
use crate::types::{JobId, WallTime};
use crate::wire::cloud::MachineType;
use std::sync::Arc;

#[derive(Clone, Copy)]
pub struct Admission<'a> {
    pub settings: &'a Settings,
    /// Empty while they are not known.
    pub types: &'a [MachineType],
    /// Whether every node is known to understand jobs that need others.
    pub dependencies: bool,
    pub jobs: &'a JobCache,
    pub wall_time: WallTime,
}

impl Admission<'_> {
    /// Whether the job can run and be stored, its id and what it names aside.
    pub fn check(&self, spec: &JobSpec) -> Result<(), Refusal> {
        if self.types.is_empty() {
            // Undecidable yet, unless the team alone decides it.
            return match spec.can_run(self.settings, &[]) {
                Err(never @ AdmissionError::UnknownTeam(_)) => Err(never.into()),
                _ => Err(Refusal { status: 503, reason: "machine types are not known yet".into() }),
            };
        }
        spec.can_run(self.settings, self.types)?;
        self.storable(spec)
    }

    /// A job that needs others is stored only once every node is known to understand that, and any
    /// job only if its record fits: a larger one would be refused at every try.
    fn storable(&self, spec: &JobSpec) -> Result<(), Refusal> {
        if !spec.needs.is_empty() && !self.dependencies {
            let reason = "jobs with `awaits` are taken once every controller has the new version; come back";
            return Err(Refusal { status: 503, reason: reason.into() });
        }
        let bytes = Record::Open(self.open(spec)).to_value().len();
        let limit = self.settings.state.value_bytes;
        if bytes > limit { Err(AdmissionError::TooLarge { bytes, limit }.into()) } else { Ok(()) }
    }

    /// Why the job can't wait for those that it names, as far as this node knows.
    pub fn dependency_error(&self, id: &JobId, spec: &JobSpec) -> Option<AdmissionError> {
        spec.needs.iter().find_map(|need| match self.jobs.get(need) {
            _ if need == id => Some(AdmissionError::NeedsItself),
            None => Some(AdmissionError::NeedsUnknown(need.clone())),
            Some(known) => {
                let service = known.record.open().is_some_and(|j| j.spec.job_type == JobType::Service);
                service.then(|| AdmissionError::NeedsService(need.clone()))
            }
        })
    }

    /// The job as it is stored now, by this node.
    pub fn open(&self, spec: &JobSpec) -> Arc<OpenJob> {
        Arc::new(OpenJob { spec: spec.clone(), submitted: self.wall_time, home: self.settings.node.clone() })
    }
}
