//! Users' requests: submissions, questions, withdrawals.
//!
//! Whatever is not final is answered only after a read begun since the request came: another node
//! may have answered something newer.

use super::super::outbox::Pending;
use super::Controller;
use crate::cluster_version;
use crate::jobs::{self, Admission, OpenJob, PendingRequest, Phase, Record, UserRequest};
use crate::types::{JobId, RequestId, Revision};
use crate::wire::state::{Change, StoreReply, StoreRequest};
use crate::wire::users;
use std::sync::Arc;

impl Controller {
    pub(super) fn status(&mut self, request: RequestId, id: &str) {
        self.ask_about(request, id, UserRequest::Status);
    }

    pub(super) fn ask_to_withdraw(&mut self, request: RequestId, id: &str) {
        self.ask_about(request, id, UserRequest::Cancel);
    }

    fn ask_about(&mut self, request: RequestId, id: &str, ask: UserRequest) {
        match users::job_id(id) {
            Some(id) => self.look_up(request, id, ask),
            None => self.out.refuse(request, 404, "no such job; ids look like req-000412"),
        }
    }

    pub(super) fn submit(&mut self, request: RequestId, body: &[u8]) {
        let Some(id) = users::submission_id(body) else {
            let error = users::submission(body).err();
            let reason = error.map_or_else(|| "id: invalid".into(), |error| error.to_string());
            return self.out.refuse(request, 400, &reason);
        };
        let read = users::submission(body);
        #[cfg(any(test, feature = "world"))]
        let read = read.map(|(id, mut spec)| {
            if self.old {
                spec.needs.clear();
            }
            (id, spec)
        });
        let spec = match read {
            Err(error) => {
                Err(jobs::Refusal { status: http::StatusCode::BAD_REQUEST, reason: error.to_string() })
            }
            Ok((_, spec)) => self.admission().check(&spec).map(|()| Box::new(spec)),
        };
        self.look_up(request, id, UserRequest::Submit { spec });
    }

    pub(super) fn admission(&self) -> Admission<'_> {
        Admission {
            settings: &self.settings,
            types: self.catalogue.types(),
            dependencies: self.cluster_version.reached() >= cluster_version::DEPENDENCIES,
            jobs: &self.job_cache,
            wall_time: self.wall_time,
        }
    }

    /// Starts on a request about job `id`.
    fn look_up(&mut self, request: RequestId, id: JobId, ask: UserRequest) {
        if let Some(phase) = self.job_cache.terminal_status(&id) {
            return self.out.answer(request, 200, users::status(&id, phase, self.counts_of(&id)));
        }
        if self.job_cache.store_revision().is_none() {
            return self.out.refuse(request, 503, "job records are not read yet; come back");
        }
        if self.pending_requests.len() >= self.settings.operator.max_waiting_requests {
            return self.out.refuse(request, 429, "too many requests wait here; come back");
        }
        let known = self.job_cache.get(&id).is_some() && !self.job_cache.is_unreadable(&id);
        let waiting = PendingRequest { request, id, operation: ask, since: self.now, retries: 0 };
        match &waiting.operation {
            // Setting the key if absent decides by itself; no read is needed before. A name that this
            // node doesn't know may have been accepted by another one a moment ago.
            UserRequest::Submit { spec: Ok(spec) }
                if !known && self.admission().dependency_error(&waiting.id, spec).is_none() =>
            {
                self.create(waiting);
            }
            UserRequest::Cancel if known => self.cancel(waiting),
            _ => self.pending_requests.push(waiting),
        }
    }

    fn create(&mut self, waiting: PendingRequest) {
        let UserRequest::Submit { spec: Ok(spec) } = &waiting.operation else { return };
        if !self.user_writes.take(1.0, self.now) {
            return self.out.refuse(waiting.request, 429, "too many submissions at once; come back");
        }
        let job = self.admission().open(spec);
        let key = jobs::key(&waiting.id);
        let value = Record::Open(job.clone()).to_value();
        let request = StoreRequest::Commit {
            conditions: vec![(key.clone(), Revision(0))],
            changes: vec![Change::Put { key, value, lease: None }],
        };
        self.out.request_store(request, Pending::Create { waiting, job });
    }

    fn cancel(&mut self, waiting: PendingRequest) {
        let Some(revision) = self.job_cache.get(&waiting.id).map(|k| k.revision) else { return };
        if !self.user_writes.take(1.0, self.now) {
            return self.out.refuse(waiting.request, 429, "too many withdrawals at once; come back");
        }
        let key = jobs::key(&waiting.id);
        let request = StoreRequest::Commit {
            conditions: vec![(key.clone(), revision)],
            changes: vec![Change::Put { key, value: Record::Cancelled.to_value(), lease: None }],
        };
        self.out.request_store(request, Pending::Cancel { waiting });
    }

    /// Goes on with a request after a read begun since it came.
    fn after_read(&mut self, waiting: PendingRequest) {
        let PendingRequest { request, id, .. } = &waiting;
        let (request, id) = (*request, id.clone());
        let known = self.job_cache.get(&id).map(|_| self.job_cache.terminal_status(&id));
        match (known, &waiting.operation) {
            (Some(Some(phase)), _) => {
                self.out.answer(request, 200, users::status(&id, phase, self.counts_of(&id)));
            }
            // Neither unknown nor anything else.
            _ if self.job_cache.is_unreadable(&id) => {
                let reason =
                    format!("the record {} can't be read; the operators have to mend it", jobs::key(&id));
                self.out.refuse(request, 503, &reason);
            }
            (Some(None), UserRequest::Cancel) => {
                if waiting.retries >= 5 {
                    return self.out.refuse(request, 503, "the job is changing; come back");
                }
                self.cancel(PendingRequest { retries: waiting.retries + 1, ..waiting });
            }
            (Some(None), _) => {
                let counts = self.counts_of(&id);
                let running = counts.is_some_and(|(_, running)| running > 0);
                let phase = if running { Phase::Running } else { Phase::Pending };
                self.out.answer(request, 200, users::status(&id, phase, Some(counts.unwrap_or((0, 0)))));
            }
            (None, UserRequest::Submit { spec: Ok(spec) }) => {
                match self.admission().dependency_error(&id, spec) {
                    Some(never) => self.out.refuse(request, 422, &never.to_string()),
                    None => self.create(waiting),
                }
            }
            (None, UserRequest::Submit { spec: Err(refusal) }) => {
                let (status, reason) = (refusal.status.as_u16(), refusal.reason.clone());
                self.out.refuse(request, status, &reason);
            }
            (None, _) => self.out.refuse(request, 404, "no such job"),
        }
    }

    pub(super) fn read_ends(&mut self, fresh: bool) {
        for waiting in self.pending_requests.finish_read() {
            if fresh {
                self.after_read(waiting);
            } else {
                let reason = "the state service can't be read now; come back";
                self.out.refuse(waiting.request, 503, reason);
            }
        }
    }

    pub(super) fn created(&mut self, waiting: PendingRequest, job: Arc<OpenJob>, reply: StoreReply) {
        match reply {
            StoreReply::Committed { store_revision } => {
                let id = waiting.id.clone();
                self.job_cache.learn(id.clone(), Revision(store_revision), Record::Open(job.clone()));
                tracing::info!(job = %id, class = %job.spec.kind, team = %job.spec.team, "accepted");
                self.served.count(jobs::Stage::Accepted, &job.spec);
                // Withdrawn at once, if one that it names is.
                let phase = self.job_cache.terminal_status(&id).unwrap_or(Phase::Pending);
                self.out.answer(waiting.request, 201, users::status(&id, phase, None));
            }
            StoreReply::Conflict { .. } if waiting.retries < 3 => {
                self.pending_requests.push(PendingRequest { retries: waiting.retries + 1, ..waiting });
            }
            // Refused for good, as it would be at every further try.
            StoreReply::Malformed => {
                tracing::error!(job = %waiting.id, "the state service refuses the job's record");
                self.out.refuse(waiting.request, 422, "the state service does not take the job's record");
            }
            _ => self.out.refuse(waiting.request, 503, "the state service can't be written now; come back"),
        }
    }

    pub(super) fn cancelled(&mut self, waiting: PendingRequest, reply: StoreReply) {
        match reply {
            StoreReply::Committed { store_revision } => {
                let id = waiting.id.clone();
                self.job_cache.learn(id.clone(), Revision(store_revision), Record::Cancelled);
                tracing::info!(job = %id, "withdrawn");
                self.out.answer(waiting.request, 200, users::status(&id, Phase::Cancelled, None));
            }
            StoreReply::Conflict { .. } => self.pending_requests.push(waiting),
            _ => self.out.refuse(waiting.request, 503, "the state service can't be written now; come back"),
        }
    }

    fn counts_of(&self, id: &JobId) -> Option<(u32, u32)> {
        match &self.leader {
            Some(leader) => leader.counts_of_job(id),
            None => self.job_counts.get(id).copied(),
        }
    }
}
