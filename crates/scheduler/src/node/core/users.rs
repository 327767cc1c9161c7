//! Users' requests: submissions, questions, withdrawals.
//!
//! Whatever is not final is answered only after a read begun since the request came: another node
//! may have answered something newer.

use super::super::outbox::Pending;
use super::Core;
use crate::compat;
use crate::jobs::{self, Admission, Ask, OpenJob, Phase, Record, Waiting};
use crate::types::{JobId, RequestId, Revision};
use crate::wire::state::{Change, StateReply, StateRequest};
use crate::wire::users;
use std::sync::Arc;

impl Core {
    pub(super) fn status(&mut self, request: RequestId, id: &str) {
        self.ask_about(request, id, Ask::Status);
    }

    pub(super) fn ask_to_withdraw(&mut self, request: RequestId, id: &str) {
        self.ask_about(request, id, Ask::Withdraw);
    }

    fn ask_about(&mut self, request: RequestId, id: &str, ask: Ask) {
        match users::job_id(id) {
            Some(id) => self.look_up(request, id, ask),
            None => self.out.refuse(request, 404, "no such job; ids look like req-000412"),
        }
    }

    pub(super) fn submit(&mut self, request: RequestId, body: &[u8]) {
        let Some(id) = users::submission_id(body) else {
            let why = users::submission(body).err().unwrap_or_else(|| "id: invalid".into());
            return self.out.refuse(request, 400, &why);
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
            Err(why) => Err(jobs::Refusal { status: 400, why }),
            Ok((_, spec)) => self.admission().check(&spec).map(|()| Box::new(spec)),
        };
        self.look_up(request, id, Ask::Submit { spec });
    }

    pub(super) fn admission(&self) -> Admission<'_> {
        Admission {
            settings: &self.settings,
            types: self.catalogue.types(),
            dependencies: self.levels.reached() >= compat::DEPENDENCIES,
            jobs: &self.mirror,
            wall_time: self.wall_time,
        }
    }

    /// Starts on a request about job `id`.
    fn look_up(&mut self, request: RequestId, id: JobId, ask: Ask) {
        if let Some(phase) = self.mirror.verdict(&id) {
            return self.out.answer(request, 200, users::status(&id, phase, self.counts_of(&id)));
        }
        if self.mirror.store_revision().is_none() {
            return self.out.refuse(request, 503, "job records are not read yet; come back");
        }
        if self.desk.len() >= self.settings.operator.max_waiting_requests {
            return self.out.refuse(request, 429, "too many requests wait here; come back");
        }
        let known = self.mirror.get(&id).is_some() && !self.mirror.is_unreadable(&id);
        let waiting = Waiting { request, id, ask, since: self.now, tries: 0 };
        match &waiting.ask {
            // Setting the key if absent decides by itself; no read is needed before. A name that this
            // node doesn't know may have been accepted by another one a moment ago.
            Ask::Submit { spec: Ok(spec) }
                if !known && self.admission().needs_fault(&waiting.id, spec).is_none() =>
            {
                self.create(waiting);
            }
            Ask::Withdraw if known => self.withdraw(waiting),
            _ => self.desk.wait(waiting),
        }
    }

    fn create(&mut self, waiting: Waiting) {
        let Ask::Submit { spec: Ok(spec) } = &waiting.ask else { return };
        if !self.user_writes.take(1.0, self.now) {
            return self.out.refuse(waiting.request, 429, "too many submissions at once; come back");
        }
        let job = self.admission().open(spec);
        let key = jobs::key(&waiting.id);
        let value = Record::Open(job.clone()).to_value();
        let request = StateRequest::Commit {
            conditions: vec![(key.clone(), Revision(0))],
            changes: vec![Change::Put { key, value, lease: None }],
        };
        self.out.ask_state(request, Pending::Create { waiting, job });
    }

    fn withdraw(&mut self, waiting: Waiting) {
        let Some(revision) = self.mirror.get(&waiting.id).map(|k| k.revision) else { return };
        if !self.user_writes.take(1.0, self.now) {
            return self.out.refuse(waiting.request, 429, "too many withdrawals at once; come back");
        }
        let key = jobs::key(&waiting.id);
        let request = StateRequest::Commit {
            conditions: vec![(key.clone(), revision)],
            changes: vec![Change::Put { key, value: Record::Withdrawn.to_value(), lease: None }],
        };
        self.out.ask_state(request, Pending::Withdraw { waiting });
    }

    /// Goes on with a request after a read begun since it came.
    fn after_read(&mut self, waiting: Waiting) {
        let Waiting { request, id, .. } = &waiting;
        let (request, id) = (*request, id.clone());
        let known = self.mirror.get(&id).map(|_| self.mirror.verdict(&id));
        match (known, &waiting.ask) {
            (Some(Some(phase)), _) => {
                self.out.answer(request, 200, users::status(&id, phase, self.counts_of(&id)));
            }
            // Neither unknown nor anything else.
            _ if self.mirror.is_unreadable(&id) => {
                let why =
                    format!("the record {} can't be read; the operators have to mend it", jobs::key(&id));
                self.out.refuse(request, 503, &why);
            }
            (Some(None), Ask::Withdraw) => {
                if waiting.tries >= 5 {
                    return self.out.refuse(request, 503, "the job is changing; come back");
                }
                self.withdraw(Waiting { tries: waiting.tries + 1, ..waiting });
            }
            (Some(None), _) => {
                let counts = self.counts_of(&id);
                let running = counts.is_some_and(|(_, running)| running > 0);
                let phase = if running { Phase::Running } else { Phase::Pending };
                self.out.answer(request, 200, users::status(&id, phase, Some(counts.unwrap_or((0, 0)))));
            }
            (None, Ask::Submit { spec: Ok(spec) }) => match self.admission().needs_fault(&id, spec) {
                Some(never) => self.out.refuse(request, 422, &never.to_string()),
                None => self.create(waiting),
            },
            (None, Ask::Submit { spec: Err(refusal) }) => {
                let (status, why) = (refusal.status, refusal.why.clone());
                self.out.refuse(request, status, &why);
            }
            (None, _) => self.out.refuse(request, 404, "no such job"),
        }
    }

    pub(super) fn read_ends(&mut self, fresh: bool) {
        for waiting in self.desk.read_ends() {
            if fresh {
                self.after_read(waiting);
            } else {
                let why = "the state service can't be read now; come back";
                self.out.refuse(waiting.request, 503, why);
            }
        }
    }

    pub(super) fn created(&mut self, waiting: Waiting, job: Arc<OpenJob>, reply: StateReply) {
        match reply {
            StateReply::Committed { store_revision } => {
                let id = waiting.id.clone();
                self.mirror.learn(id.clone(), Revision(store_revision), Record::Open(job.clone()));
                tracing::info!(job = %id, class = %job.spec.kind, team = %job.spec.team, "accepted");
                self.served.count(jobs::Stage::Accepted, &job.spec);
                // Withdrawn at once, if one that it names is.
                let phase = self.mirror.verdict(&id).unwrap_or(Phase::Pending);
                self.out.answer(waiting.request, 201, users::status(&id, phase, None));
            }
            StateReply::Conflict { .. } if waiting.tries < 3 => {
                self.desk.wait(Waiting { tries: waiting.tries + 1, ..waiting });
            }
            // Refused for good, as it would be at every further try.
            StateReply::Malformed => {
                tracing::error!(job = %waiting.id, "the state service refuses the job's record");
                self.out.refuse(waiting.request, 422, "the state service does not take the job's record");
            }
            _ => self.out.refuse(waiting.request, 503, "the state service can't be written now; come back"),
        }
    }

    pub(super) fn withdrawn(&mut self, waiting: Waiting, reply: StateReply) {
        match reply {
            StateReply::Committed { store_revision } => {
                let id = waiting.id.clone();
                self.mirror.learn(id.clone(), Revision(store_revision), Record::Withdrawn);
                tracing::info!(job = %id, "withdrawn");
                self.out.answer(waiting.request, 200, users::status(&id, Phase::Withdrawn, None));
            }
            StateReply::Conflict { .. } => self.desk.wait(waiting),
            _ => self.out.refuse(waiting.request, 503, "the state service can't be written now; come back"),
        }
    }

    fn counts_of(&self, id: &JobId) -> Option<(u32, u32)> {
        match &self.master {
            Some(master) => master.standing_of(id),
            None => self.standings.get(id).copied(),
        }
    }
}
