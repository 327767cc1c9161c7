//! A stand-in of the users: each submits one job, asks for its state, and may cancel it.

use super::Simulation;
use super::events::Event;
use super::links::Host;
use super::nodes::Requester;
use super::rules::Known;
use crate::node::Method;
use rand::RngExt;
use serde_json::Value;

/// How long a user waits before it looks again whether the jobs that it depends on let it submit, in milliseconds.
const DEPENDENCY_PAUSE_MS: u64 = 40;
/// How long a user waits for the answer to a question, and to a submission or cancellation, in milliseconds.
const QUESTION_TIMEOUT_MS: u64 = 2_000;
const CHANGE_TIMEOUT_MS: u64 = 5_000;

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
    /// The only node that it sends requests to, where not any.
    pub node: Option<usize>,
    /// The number of the request under way; the answer to an earlier one is ignored.
    request: u64,
    pub stage: Stage,
    /// What users had been told of the job as the request under way was sent.
    before: Known,
    /// The last answer's status and body.
    pub announced: (u16, String),
    /// When one of its requests was answered last, in milliseconds.
    pub answered_at: u64,
}

/// When a user submits, with regard to the jobs that the submission depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Submits {
    /// At once, which users don't do by themselves.
    AtOnce,
    OnceAccepted,
    OnceFinished,
}

/// What a user sends next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Stage {
    Submitting,
    Polling,
    Cancelling,
    /// The user knows its job's terminal status, and still asks now and then.
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
        if self.stage == Stage::Polling { QUESTION_TIMEOUT_MS } else { CHANGE_TIMEOUT_MS }
    }

    /// The longest pause after an answer, in milliseconds; the shortest is half of it.
    fn pause_ms(&self) -> u64 {
        match self.stage {
            // Users may ask again at any later time.
            Stage::Finished => 20_000,
            Stage::Polling => 2_000,
            Stage::Submitting | Stage::Cancelling => 1_200,
        }
    }
}

impl Simulation {
    /// Adds a user who submits `body` at a time and may cancel the job later; times in milliseconds.
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
            announced: Default::default(),
            answered_at: 0,
        });
        self.at(at, Event::User(self.users.len() - 1));
    }

    /// A user's next request, to the node that it keeps to or to any.
    pub(super) fn user_turn(&mut self, index: usize) {
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
            self.rules.submitted(&user.id, &user.body);
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
            self.rules.asked_to_cancel(&user.id);
        }
    }

    /// Whether the jobs that a user's job depends on are as far as the user waits for.
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
        user.announced = (status, body.to_string());
        let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let phase = value["phase"].as_str().unwrap_or_default();
        let submitting = user.stage == Stage::Submitting;
        self.rules.answered(now, &user.id, &user.before, submitting, status, phase);
        if matches!(status, 200 | 201 | 404) {
            user.answered_at = now;
        }
        if matches!(status, 200 | 201) {
            user.stage = match (user.stage, phase) {
                (_, "done" | "withdrawn") => Stage::Finished,
                (Stage::Submitting, _) => Stage::Polling,
                (stage, _) => stage,
            };
            self.note_job_state(index);
        }
        let pause_ms = self.users[index].pause_ms();
        let ms = self.rng_ms(pause_ms / 2, pause_ms);
        self.after(ms, Event::User(index));
    }

    /// Counts the first time that a user was told that its job is accepted or finished; close reads may follow.
    fn note_job_state(&mut self, index: usize) {
        let user = &self.users[index];
        let finished = user.stage == Stage::Finished;
        if user.before.accepted && !(finished && user.before.terminal_status.is_none()) {
            return;
        }
        self.count_job_state(finished);
        if self.faults.close_reads {
            self.read_closely(index);
        }
    }
}
