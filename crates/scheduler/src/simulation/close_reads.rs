//! Close reads: requests for a user's job besides the user's own. They reach all nodes within milliseconds of
//! a change of the job, and include repeated submissions and cancellations.

use super::Simulation;
use super::events::Event;
use super::links::Host;
use super::nodes::Requester;
use super::rules::Known;
use crate::node::Method;
use rand::RngExt;
use serde_json::Value;

/// A request besides a user's own, to one node.
#[derive(Debug, Clone)]
pub struct CloseRead {
    pub node: usize,
    /// The job's ID.
    pub id: String,
    pub request: CloseReadRequest,
}

/// The content of a close read.
#[derive(Debug, Clone)]
pub enum CloseReadRequest {
    /// The job's state.
    Status,
    /// The submission again, unchanged or with an error in it.
    Repeat(String),
    /// The job's cancellation.
    Cancel,
    /// A submission that can never run or lacks a field (`Some`), or a query for a job that was never
    /// submitted (`None`).
    AdmissionError(Option<String>),
}

impl Simulation {
    /// Sends a close read. If the connection fails, it is not retried.
    pub(super) fn close_read(&mut self, close_read: CloseRead) {
        let before = self.rules.known(&close_read.id);
        let (method, path, body) = match &close_read.request {
            CloseReadRequest::Status | CloseReadRequest::AdmissionError(None) => {
                (Method::Get, format!("/submissions/{}", close_read.id), String::new())
            }
            CloseReadRequest::Repeat(body) | CloseReadRequest::AdmissionError(Some(body)) => {
                (Method::Post, "/submissions".to_string(), body.clone())
            }
            CloseReadRequest::Cancel => {
                self.rules.record_cancel_request(&close_read.id);
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

    /// Checks the answer to a close read against what users knew when it was sent.
    pub(super) fn close_read_answer(
        &mut self,
        close_read: CloseRead,
        before: &Known,
        node: usize,
        status: u16,
        body: &str,
    ) {
        let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let phase = value["phase"].as_str().unwrap_or_default();
        if let CloseReadRequest::AdmissionError(submission) = &close_read.request {
            if !matches!(status, 400 | 404 | 422 | 429 | 503) {
                let what = submission.as_ref().map_or("asked about", |_| "submitted");
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
        self.rules.check_answer(self.now, &close_read.id, before, repeat, status, phase);
        if self.rules.broken.len() > broken_before {
            let now = self.now;
            self.rules.fail(now, format!("(the answer of node {node} to close read {close_read:?})"));
        }
    }

    /// Sends every node two close reads for a user's job within 30 ms.
    pub(super) fn send_close_reads(&mut self, user: usize) {
        let id = self.users[user].id.clone();
        let body = self.users[user].body.clone();
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
}
