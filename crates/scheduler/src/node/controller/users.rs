//! Users' requests: submissions, status requests and cancellations.
//!
//! A request about a job without a final phase is answered only after a read of the job records that started
//! after the request arrived (a linearizable read): another node may already have answered with a newer
//! phase.

use super::Controller;
use crate::cluster_version;
use crate::jobs::{
    self, Admission, JobSpec, OpenJob, PendingRequest, Phase, Record, TaskCounts, UserRequest,
};
use crate::node::outbox::Pending;
use crate::node::prefix_watcher::ReadOutcome;
use crate::types::{Duration, JobId, RequestId, Revision};
use crate::wire::state::{Change, StoreReply, StoreRequest};
use crate::wire::users;
use http::StatusCode;
use std::sync::Arc;

/// Maximum number of retries of a submission whose key was written concurrently.
const MAX_SUBMIT_RETRIES: u32 = 3;
/// Maximum number of retries of a cancellation whose job record was changed concurrently.
const MAX_CANCEL_RETRIES: u32 = 5;
/// Answer to requests whose write failed or may have failed.
const WRITE_FAILED: &str = "the state service can't be written now; come back";

impl Controller {
    pub(super) fn request_status(&mut self, request: RequestId, id: &str) {
        self.request_about_job(request, id, UserRequest::Status);
    }

    pub(super) fn request_cancellation(&mut self, request: RequestId, id: &str) {
        self.request_about_job(request, id, UserRequest::Cancel);
    }

    fn request_about_job(&mut self, request: RequestId, id: &str, user_request: UserRequest) {
        match users::job_id(id) {
            Some(id) => self.begin_request(request, id, user_request),
            None => {
                self.outbox.refuse(request, StatusCode::NOT_FOUND, "no such job; ids look like req-000412");
            }
        }
    }

    pub(super) fn submit(&mut self, request: RequestId, body: &[u8]) {
        let Some(id) = users::submission_id(body) else {
            let error = users::submission(body).err();
            let reason = error.map_or_else(|| "id: invalid".into(), |error| error.to_string());
            return self.outbox.refuse(request, StatusCode::BAD_REQUEST, &reason);
        };
        let spec = match self.parse_submission(body) {
            Err(error) => Err(jobs::Refusal { status: StatusCode::BAD_REQUEST, reason: error.to_string() }),
            Ok(spec) => self.admission().check(&spec).map(|()| Box::new(spec)),
        };
        self.begin_request(request, id, UserRequest::Submit { spec });
    }

    /// The job that a submission describes; `Err` says what is wrong with it.
    fn parse_submission(&self, body: &[u8]) -> Result<JobSpec, users::SubmissionError> {
        let (_, spec) = users::submission(body)?;
        #[cfg(any(test, feature = "simulation"))]
        let spec = self.injected_faults.filter_submission(spec);
        Ok(spec)
    }

    /// The rules that submissions are checked against.
    pub(super) fn admission(&self) -> Admission<'_> {
        Admission {
            settings: &self.settings,
            types: self.catalogue.types(),
            dependencies: self.cluster_version.reached() >= cluster_version::DEPENDENCIES,
            jobs: &self.job_cache,
            wall_time: self.wall_time,
        }
    }

    /// Starts to process a request about job `id`: answers it if the job's phase is final, writes if no read
    /// is needed first, and otherwise queues it for a read.
    fn begin_request(&mut self, request: RequestId, id: JobId, user_request: UserRequest) {
        if let Some(phase) = self.job_cache.terminal_status(&id) {
            return self.answer_status(request, &id, phase, self.counts_of(&id));
        }
        if self.job_cache.store_revision().is_none() {
            return self.outbox.refuse(
                request,
                StatusCode::SERVICE_UNAVAILABLE,
                "job records are not read yet; come back",
            );
        }
        if self.pending_requests.len() >= self.settings.operator.max_waiting_requests {
            return self.outbox.refuse(
                request,
                StatusCode::TOO_MANY_REQUESTS,
                "too many requests wait here; come back",
            );
        }
        let known = self.job_cache.get(&id).is_some() && !self.job_cache.is_unreadable(&id);
        let waiting = PendingRequest { request, id, operation: user_request, since: self.now, retries: 0 };
        match &waiting.operation {
            // The write is conditional on the key being absent, so no read is needed first. But a dependency
            // that is unknown here may just have been accepted by another node, so that case needs a read.
            UserRequest::Submit { spec: Ok(spec) }
                if !known && self.admission().dependency_error(&waiting.id, spec).is_none() =>
            {
                self.create(waiting);
            }
            UserRequest::Cancel if known => self.cancel(waiting),
            _ => self.pending_requests.push(waiting),
        }
    }

    /// Writes the record of a new job, conditional on the key being absent.
    fn create(&mut self, waiting: PendingRequest) {
        let UserRequest::Submit { spec: Ok(spec) } = &waiting.operation else { return };
        if !self.user_writes.take(1.0, self.now) {
            return self.outbox.refuse(
                waiting.request,
                StatusCode::TOO_MANY_REQUESTS,
                "too many submissions at once; come back",
            );
        }
        let job = self.admission().open(spec);
        let key = jobs::key(&waiting.id);
        let value = Record::Open(job.clone()).to_value();
        let request = StoreRequest::Commit {
            conditions: vec![(key.clone(), Revision(0))],
            changes: vec![Change::Put { key, value, lease: None }],
        };
        self.outbox.request_store(request, Pending::Create { waiting, job });
    }

    /// Replaces the record of an open job by a cancelled one, conditional on the record's revision.
    fn cancel(&mut self, waiting: PendingRequest) {
        let Some(revision) = self.job_cache.get(&waiting.id).map(|job| job.revision) else { return };
        if !self.user_writes.take(1.0, self.now) {
            return self.outbox.refuse(
                waiting.request,
                StatusCode::TOO_MANY_REQUESTS,
                "too many withdrawals at once; come back",
            );
        }
        let key = jobs::key(&waiting.id);
        let request = StoreRequest::Commit {
            conditions: vec![(key.clone(), revision)],
            changes: vec![Change::Put { key, value: Record::Cancelled.to_value(), lease: None }],
        };
        self.outbox.request_store(request, Pending::Cancel { waiting });
    }

    /// Rejects requests that have waited too long for a read.
    pub(super) fn refuse_overdue_requests(&mut self) {
        let timeout = Duration::from_millis(self.settings.operator.request_patience_ms);
        for overdue in self.pending_requests.take_timed_out(self.now, timeout) {
            self.outbox.refuse(
                overdue.request,
                StatusCode::SERVICE_UNAVAILABLE,
                "the state service does not answer; come back",
            );
        }
    }

    /// Continues the requests that waited for the read that has completed.
    pub(super) fn finish_job_record_read(&mut self, outcome: ReadOutcome) {
        for waiting in self.pending_requests.finish_read() {
            match outcome {
                ReadOutcome::Succeeded => self.continue_request(waiting),
                ReadOutcome::Failed => {
                    let reason = "the state service can't be read now; come back";
                    self.outbox.refuse(waiting.request, StatusCode::SERVICE_UNAVAILABLE, reason);
                }
            }
        }
    }

    /// Continues a request after a read that started after it arrived.
    fn continue_request(&mut self, waiting: PendingRequest) {
        let request = waiting.request;
        let id = waiting.id.clone();
        if let Some(phase) = self.job_cache.terminal_status(&id) {
            return self.answer_status(request, &id, phase, self.counts_of(&id));
        }
        // The record exists but can't be read, so the job's phase is unknown.
        if self.job_cache.is_unreadable(&id) {
            let reason =
                format!("the record {} can't be read; the operators have to mend it", jobs::key(&id));
            return self.outbox.refuse(request, StatusCode::SERVICE_UNAVAILABLE, &reason);
        }
        if self.job_cache.get(&id).is_some() {
            self.continue_for_open_job(waiting);
        } else {
            self.continue_for_unknown_job(waiting);
        }
    }

    fn continue_for_open_job(&mut self, waiting: PendingRequest) {
        if !matches!(waiting.operation, UserRequest::Cancel) {
            let counts = self.counts_of(&waiting.id).unwrap_or_default();
            let phase = if counts.running > 0 { Phase::Running } else { Phase::Pending };
            return self.answer_status(waiting.request, &waiting.id, phase, Some(counts));
        }
        if waiting.retries >= MAX_CANCEL_RETRIES {
            return self.outbox.refuse(
                waiting.request,
                StatusCode::SERVICE_UNAVAILABLE,
                "the job is changing; come back",
            );
        }
        self.cancel(PendingRequest { retries: waiting.retries + 1, ..waiting });
    }

    fn continue_for_unknown_job(&mut self, waiting: PendingRequest) {
        let request = waiting.request;
        match &waiting.operation {
            UserRequest::Submit { spec: Ok(spec) } => {
                match self.admission().dependency_error(&waiting.id, spec) {
                    Some(error) => {
                        self.outbox.refuse(request, StatusCode::UNPROCESSABLE_ENTITY, &error.to_string());
                    }
                    None => self.create(waiting),
                }
            }
            UserRequest::Submit { spec: Err(refusal) } => {
                self.outbox.refuse(request, refusal.status, &refusal.reason);
            }
            UserRequest::Status | UserRequest::Cancel => {
                self.outbox.refuse(request, StatusCode::NOT_FOUND, "no such job");
            }
        }
    }

    /// Processes the store's reply to a submission.
    pub(super) fn create_reply(&mut self, waiting: PendingRequest, job: Arc<OpenJob>, reply: StoreReply) {
        match reply {
            StoreReply::Committed { store_revision } => {
                let id = waiting.id;
                self.job_cache.learn(id.clone(), Revision(store_revision), Record::Open(job.clone()));
                tracing::info!(job = %id, class = %job.spec.kind, team = %job.spec.team, "accepted");
                self.job_counters.count(jobs::JobMilestone::Accepted, &job.spec);
                // The job is cancelled immediately if one of its dependencies is cancelled.
                let phase = self.job_cache.terminal_status(&id).unwrap_or(Phase::Pending);
                self.outbox.answer(waiting.request, StatusCode::CREATED, users::status(&id, phase, None));
            }
            StoreReply::Conflict { .. } if waiting.retries < MAX_SUBMIT_RETRIES => {
                self.pending_requests.push(PendingRequest { retries: waiting.retries + 1, ..waiting });
            }
            // The store rejects the record permanently, so a retry is of no use.
            StoreReply::Malformed => {
                tracing::error!(
                    job = %waiting.id,
                    "submission rejected: the key-value store doesn't accept the job's record"
                );
                self.outbox.refuse(
                    waiting.request,
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "the state service does not take the job's record",
                );
            }
            _ => self.outbox.refuse(waiting.request, StatusCode::SERVICE_UNAVAILABLE, WRITE_FAILED),
        }
    }

    /// Processes the store's reply to a cancellation.
    pub(super) fn cancel_reply(&mut self, waiting: PendingRequest, reply: StoreReply) {
        match reply {
            StoreReply::Committed { store_revision } => {
                let id = waiting.id;
                self.job_cache.learn(id.clone(), Revision(store_revision), Record::Cancelled);
                tracing::info!(job = %id, "cancelled");
                self.answer_status(waiting.request, &id, Phase::Cancelled, None);
            }
            StoreReply::Conflict { .. } => self.pending_requests.push(waiting),
            _ => self.outbox.refuse(waiting.request, StatusCode::SERVICE_UNAVAILABLE, WRITE_FAILED),
        }
    }

    fn answer_status(&mut self, request: RequestId, id: &JobId, phase: Phase, counts: Option<TaskCounts>) {
        self.outbox.answer(request, StatusCode::OK, users::status(id, phase, counts));
    }

    /// Task counts of a job, as known to this node.
    pub(super) fn counts_of(&self, id: &JobId) -> Option<TaskCounts> {
        match &self.leader {
            Some(leader) => leader.counts_of_job(id),
            None => self.job_counts.get(id).copied(),
        }
    }
}
