//! Users beyond the usual ones: close reads, which are requests to all nodes within milliseconds, with repeats and
//! cancellations; requests that are malformed or impossible; and cancellations at chosen moments.

use super::events::Event;
use super::links::Host;
use super::nodes::Requester;
use super::rules::Known;
use super::users::Stage;
use super::workers::Worker;
use super::{Leadership, Simulation, job};
use crate::election::LEADER_KEY;
use crate::node::Method;
use crate::types::JobId;
use rand::RngExt;
use serde_json::{Value, json};

/// The number of the first job that can never be accepted.
const IMPOSSIBLE_JOBS: usize = 900_000;

/// A request beside a user's own, at one node.
#[derive(Debug, Clone)]
pub struct CloseRead {
    pub node: usize,
    pub id: String,
    pub request: CloseReadRequest,
}

#[derive(Debug, Clone)]
pub enum CloseReadRequest {
    Status,
    /// The submission again, as it was or with a fault in it.
    Repeat(String),
    Cancel,
    /// Something that can never run or lacks a field, or a question about a job that nobody submitted.
    AdmissionError(Option<String>),
}

impl Simulation {
    /// Notes whose leadership this is.
    pub fn note_leader(&mut self) {
        let leader_key = self.state.revision(LEADER_KEY);
        if leader_key.is_some() && self.leadership.leader_key != leader_key {
            self.leadership = Leadership { leader_key, since_ms: self.now };
            self.count("a new leader");
        }
    }

    /// Counts that a user was told that its job is accepted, or finished.
    pub fn count_job_state(&mut self, finished: bool) {
        self.count(if finished { "terminal status told" } else { "accepted" });
        if finished && self.now - self.leadership.since_ms < 2_000 {
            self.count("a terminal status within two seconds of a new leader");
        }
    }

    /// Sends a request; one that finds nobody is not sent again.
    pub fn close_read(&mut self, close_read: CloseRead) {
        let before = self.rules.known(&close_read.id);
        let (method, path, body) = match &close_read.request {
            CloseReadRequest::Status | CloseReadRequest::AdmissionError(None) => {
                (Method::Get, format!("/submissions/{}", close_read.id), String::new())
            }
            CloseReadRequest::Repeat(body) | CloseReadRequest::AdmissionError(Some(body)) => {
                (Method::Post, "/submissions".to_string(), body.clone())
            }
            CloseReadRequest::Cancel => {
                self.rules.asked_to_cancel(&close_read.id);
                (Method::Post, format!("/submissions/{}/withdraw", close_read.id), String::new())
            }
        };
        self.request(
            close_read.node,
            Requester::CloseRead { close_read, before },
            Host::User,
            method,
            path,
            body,
        );
    }

    pub fn close_read_answer(
        &mut self,
        close_read: CloseRead,
        before: &Known,
        node: usize,
        status: u16,
        body: &str,
    ) {
        let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let phase = value["phase"].as_str().unwrap_or_default();
        if let CloseReadRequest::AdmissionError(asked) = &close_read.request {
            if !matches!(status, 400 | 404 | 422 | 429 | 503) {
                let what = asked.as_ref().map_or("asked about", |_| "submitted");
                self.rules.fail(self.now, format!("accepted: {} was {what} and got {status}", close_read.id));
            }
            return;
        }
        self.count(match (before.accepted, &before.terminal_status, &close_read.request) {
            (_, Some(_), _) => "a close read after the terminal status",
            (true, None, CloseReadRequest::Repeat(_)) => "a repeat after the acceptance",
            (true, None, _) => "a close read after the acceptance",
            _ => "a close read before any answer",
        });
        let broken_before = self.rules.broken.len();
        let repeat = matches!(close_read.request, CloseReadRequest::Repeat(_));
        self.rules.answered(self.now, &close_read.id, before, repeat, status, phase);
        if self.rules.broken.len() > broken_before {
            let now = self.now;
            self.rules.fail(now, format!("(that was a close read: {close_read:?}, answered by node {node})"));
        }
    }

    /// Asks about a user's job at every node, twice, within milliseconds.
    pub fn read_closely(&mut self, user: usize) {
        let (id, body) = (self.users[user].id.clone(), self.users[user].body.clone());
        for node in 0..self.nodes.len() {
            for _ in 0..2 {
                let request = match self.rng.random_range(0..10) {
                    0..3 => CloseReadRequest::Repeat(body.to_string()),
                    3 => CloseReadRequest::Repeat(self.corrupt(&body)),
                    4 if self.rng.random_bool(0.2) => CloseReadRequest::Cancel,
                    _ => CloseReadRequest::Status,
                };
                let ms = self.rng_ms(0, 30);
                self.after(ms, Event::CloseRead(CloseRead { node, id: id.clone(), request }));
            }
        }
    }

    /// The same submission with a fault in it: a repeat gets the job's state whatever it says.
    fn corrupt(&mut self, body: &Value) -> String {
        let mut body = body.clone();
        match self.rng.random_range(0..5) {
            0 => body["shards"] = json!(-1),
            1 => body["owner"] = json!("nobody"),
            2 => body["vcpus"] = json!(1e6),
            3 => body["padding"] = json!("x".repeat(30_000)),
            _ => {
                let fields = body.as_object_mut().into_iter();
                fields.for_each(|o| drop(o.remove("bundle")));
            }
        }
        body.to_string()
    }

    /// A job's task has completed.
    pub fn task_completed(&mut self, id: &str) {
        if !self.rules.all_done(id) {
            return;
        }
        let Some(user) = self.users.iter().position(|u| u.id == id) else { return };
        if self.faults.close_reads {
            self.read_closely(user);
        }
        if self.faults.cancel_at_end > 0.0
            && self.users[user].stage == Stage::Polling
            && self.rng.random_bool(self.faults.cancel_at_end)
        {
            self.count("cancelled at the end");
            self.cancel_within(user, 3);
        }
    }

    fn cancel_within(&mut self, user: usize, within: u64) {
        let at = self.now + self.rng_ms(0, within);
        self.users[user].cancel_at = Some(at);
        self.at(at, Event::User(user));
    }

    pub fn cancel_now(&mut self, count: usize, hang_ms: u64) {
        let runs = |id: &str| {
            let at = |w: &Worker| w.tasks.iter().any(|t| t.job() == id && t.present());
            self.workers.iter().position(at)
        };
        let running: Vec<(usize, usize)> = (0..self.users.len())
            .filter(|u| self.users[*u].stage == Stage::Polling && self.users[*u].cancel_at.is_none())
            .filter_map(|u| Some((u, runs(&self.users[u].id)?)))
            .take(count)
            .collect();
        let mut hang = 8;
        for (user, machine) in running {
            self.count("cancelled now");
            self.cancel_within(user, 200);
            if hang_ms > 0 && hang > 0 && self.workers[machine].hung_until <= self.now {
                hang -= 1;
                self.count("cancelled and hung");
                self.workers[machine].hung_until = self.now + hang_ms;
            }
        }
    }

    pub fn odd_turn(&mut self) {
        if !self.faults.odd_requests {
            return;
        }
        let ms = self.rng_ms(100, 400);
        self.after(ms, Event::OddRequest);
        let node = self.rng.random_range(0..self.nodes.len());
        let accepted: Vec<usize> =
            (0..self.users.len()).filter(|u| self.rules.accepted(&self.users[*u].id)).collect();
        let any = (!accepted.is_empty()).then(|| accepted[self.rng.random_range(0..accepted.len())]);
        match (self.rng.random_range(0..3), any) {
            (0, Some(u)) => {
                let (id, body) = (self.users[u].id.clone(), self.users[u].body.clone());
                let request = CloseReadRequest::Repeat(self.corrupt(&body));
                self.close_read(CloseRead { node, id, request });
            }
            (1, Some(u)) if self.rules.terminal_status(&self.users[u].id) == Some("done") => {
                let id = self.users[u].id.clone();
                self.count("a cancellation of what is done");
                self.close_read(CloseRead { node, id, request: CloseReadRequest::Cancel });
            }
            _ => self.send_impossible_request(node),
        }
    }

    /// A question about an unknown job, or a submission that lacks a field or can never run.
    fn send_impossible_request(&mut self, node: usize) {
        self.impossible_requests += 1;
        let mut body = job(IMPOSSIBLE_JOBS + self.impossible_requests as usize, "array", 1);
        let id = body["id"].as_str().unwrap_or_default().to_string();
        let submission = match self.impossible_requests % 6 {
            0 => None,
            1 => Some(self.corrupt(&body)).filter(|body| !body.contains("padding")),
            kind => {
                match kind {
                    2 => body["accelerators"] = json!(64.0),
                    3 => body["flavors"] = json!(["none-such"]),
                    4 => body["region"] = json!("nowhere"),
                    _ => {
                        body["shape"] = json!("ensemble");
                        body["shards"] = json!(5_000);
                    }
                }
                Some(body.to_string())
            }
        };
        self.count("an impossible request");
        self.close_read(CloseRead { node, id, request: CloseReadRequest::AdmissionError(submission) });
    }

    /// A start must not leave a node that knows its job to have finished. (What had left before is allowed, and gone in time.)
    pub fn check_commands(&mut self, node: usize, body: &str) {
        if !body.contains("\"start\"") {
            return;
        }
        let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let starts = value["orders"].as_array().into_iter().flatten().filter(|o| o["verb"] == "start");
        let mut wrong = Vec::new();
        for command in starts {
            let task = command["shard"].as_str().unwrap_or_default();
            let job = JobId::from(task.split('/').next().unwrap_or_default());
            if self.nodes[node].controller.as_ref().is_some_and(|c| c.knows_finished(&job)) {
                wrong.push(task.to_string());
            }
        }
        for task in wrong {
            self.rules.fail(
                self.now,
                format!("node {node} lets a start of {task} go and knows its job has finished"),
            );
        }
    }
}
