//! The simulated users: each submits one job, polls its state and may cancel it.

use super::Simulation;
use super::events::Event;
use super::links::Host;
use super::nodes::Requester;
use super::rules::Known;
use crate::node::Method;
use rand::RngExt;
use serde_json::Value;

/// The time between a user's checks whether its job's dependencies are ready for the submission, in
/// milliseconds.
const DEPENDENCY_PAUSE_MS: u64 = 40;
/// The timeout of a user's poll, in milliseconds.
const POLL_TIMEOUT_MS: u64 = 2_000;
/// The timeout of a user's other requests, in milliseconds.
const OTHER_TIMEOUT_MS: u64 = 5_000;

/// A user with one job.
#[derive(Debug)]
pub struct User {
    /// The job's ID.
    pub id: String,
    /// The submission.
    pub body: Value,
    /// When the user cancels the job, in milliseconds.
    pub cancel_at: Option<u64>,
    pub submits: Submits,
    /// The only node that the user sends requests to; `None`: a random one for each request.
    pub node: Option<usize>,
    /// The number of the current request; answers to earlier ones are ignored.
    request: u64,
    pub stage: Stage,
    /// What users had been told about the job when the current request was sent.
    before: Known,
    /// The last answer's status and body.
    pub last_answer: (u16, String),
    /// The time of the last answer with status 200, 201 or 404, in milliseconds.
    pub answered_at: u64,
}

/// When a user submits, relative to the jobs that the submission depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Submits {
    /// Without waiting for the dependencies; real users do not do this.
    AtOnce,
    OnceAccepted,
    OnceFinished,
}

/// A user's stage, which decides what it sends next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Stage {
    Submitting,
    Polling,
    Cancelling,
    /// The user knows its job's terminal status and still polls at longer intervals.
    Finished,
}

impl User {
    fn request_for_stage(&self) -> (Method, String, String) {
        match self.stage {
            Stage::Submitting => (Method::Post, "/submissions".to_string(), self.body.to_string()),
            Stage::Cancelling => (Method::Post, format!("/submissions/{}/withdraw", self.id), String::new()),
            Stage::Polling | Stage::Finished => {
                (Method::Get, format!("/submissions/{}", self.id), String::new())
            }
        }
    }

    fn timeout_ms(&self) -> u64 {
        if self.stage == Stage::Polling { POLL_TIMEOUT_MS } else { OTHER_TIMEOUT_MS }
    }

    /// The longest pause after an answer, in milliseconds. The shortest is half of it.
    fn pause_ms(&self) -> u64 {
        match self.stage {
            // Users may poll a finished job at any later time.
            Stage::Finished => 20_000,
            Stage::Polling => 2_000,
            Stage::Submitting | Stage::Cancelling => 1_200,
        }
    }
}

impl Simulation {
    /// Adds a user that submits `body` at `at` and cancels the job at `cancel_at`, if given. Times are in
    /// milliseconds.
    pub fn add_user(&mut self, at: u64, body: Value, cancel_at: Option<u64>) {
        let id = body["id"].as_str().unwrap_or_default().to_string();
        self.users.push(User {
            id,
            body,
            cancel_at,
            submits: Submits::OnceAccepted,
            node: None,
            request: 0,
            stage: Stage::Submitting,
            before: Known::default(),
            last_answer: Default::default(),
            answered_at: 0,
        });
        self.at(at, Event::User(self.users.len() - 1));
    }

    /// Sends a user's next request to its fixed node or to a random one.
    pub(super) fn send_next_request(&mut self, index: usize) {
        self.start_cancelling_when_due(index);
        if self.users[index].stage == Stage::Submitting && !self.may_submit(index) {
            return self.after(DEPENDENCY_PAUSE_MS, Event::User(index));
        }
        let before = self.rules.known(&self.users[index].id);
        let user = &mut self.users[index];
        user.before = before;
        user.request += 1;
        let request = user.request;
        let (method, path, body) = user.request_for_stage();
        if user.stage == Stage::Submitting {
            self.rules.record_submission(&user.id, &user.body);
        }
        let any = self.rng.random_range(0..self.settings.len());
        let node = self.users[index].node.unwrap_or(any);
        let timeout_ms = self.users[index].timeout_ms();
        let requester = Requester::User { user: index, request };
        if self.request(node, requester, Host::User, method, path, body) {
            self.after(timeout_ms, Event::UserTimeout { user: index, request });
        } else {
            self.retry_user(index);
        }
    }

    fn start_cancelling_when_due(&mut self, index: usize) {
        let now = self.now;
        let user = &mut self.users[index];
        if user.stage == Stage::Polling && user.cancel_at.is_some_and(|at| at <= now) {
            user.stage = Stage::Cancelling;
            self.rules.record_cancel_request(&user.id);
        }
    }

    /// Whether the dependencies of a user's job have reached the state that the user waits for.
    fn may_submit(&self, index: usize) -> bool {
        let user = &self.users[index];
        let is_ready = |dependency: &Value| {
            let dependency = dependency.as_str().unwrap_or_default();
            match user.submits {
                Submits::AtOnce => true,
                Submits::OnceAccepted => self.rules.accepted(dependency),
                Submits::OnceFinished => self.rules.terminal_status(dependency).is_some(),
            }
        };
        user.body["awaits"].as_array().into_iter().flatten().all(is_ready)
    }

    fn retry_user(&mut self, index: usize) {
        let ms = self.rng_ms(1000, 2000);
        self.after(ms, Event::User(index));
    }

    pub(super) fn user_timeout(&mut self, index: usize, request: u64) {
        if self.users[index].request == request {
            self.users[index].request += 1;
            self.retry_user(index);
        }
    }

    pub(super) fn user_answer(&mut self, index: usize, request: u64, status: u16, body: &str) {
        let now = self.now;
        let user = &mut self.users[index];
        if user.request != request {
            return;
        }
        user.request += 1;
        user.last_answer = (status, body.to_string());
        let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let phase = value["phase"].as_str().unwrap_or_default();
        let submitting = user.stage == Stage::Submitting;
        self.rules.check_answer(now, &user.id, &user.before, submitting, status, phase);
        if matches!(status, 200 | 201 | 404) {
            user.answered_at = now;
        }
        if matches!(status, 200 | 201) {
            user.stage = match (user.stage, phase) {
                (_, "done" | "withdrawn") => Stage::Finished,
                (Stage::Submitting, _) => Stage::Polling,
                (stage, _) => stage,
            };
            self.record_job_state(index);
        }
        let pause_ms = self.users[index].pause_ms();
        let ms = self.rng_ms(pause_ms / 2, pause_ms);
        self.after(ms, Event::User(index));
    }

    /// Counts the first answer that told a user that its job is accepted or finished. Close reads may follow.
    fn record_job_state(&mut self, index: usize) {
        let user = &self.users[index];
        let finished = user.stage == Stage::Finished;
        if user.before.accepted && !(finished && user.before.terminal_status.is_none()) {
            return;
        }
        self.count_job_state(finished);
        if self.faults.close_reads {
            self.send_close_reads(index);
        }
    }
}
