//! Close reads: requests beside a user's own, to all nodes within milliseconds, with repeats and cancellations.

use super::Simulation;
use super::events::Event;
use super::links::Host;
use super::nodes::Requester;
use super::rules::Known;
use crate::node::Method;
use rand::RngExt;
use serde_json::Value;

/// A request beside a user's own, at one node.
#[derive(Debug, Clone)]
pub struct CloseRead {
    pub node: usize,
    /// The job's ID.
    pub id: String,
    pub request: CloseReadRequest,
}

/// What a close read asks for.
#[derive(Debug, Clone)]
pub enum CloseReadRequest {
    /// The job's state.
    Status,
    /// The submission again, as it was or with a fault in it.
    Repeat(String),
    /// The job's cancellation.
    Cancel,
    /// Something that can never run or lacks a field, or a question about a job that nobody submitted.
    AdmissionError(Option<String>),
}

impl Simulation {
    /// Sends a request; one that finds nobody is not sent again.
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

    /// Checks the answer to a close read, given what users knew as it was sent.
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
        self.rules.answered(self.now, &close_read.id, before, repeat, status, phase);
        if self.rules.broken.len() > broken_before {
            let now = self.now;
            self.rules.fail(now, format!("(that was a close read: {close_read:?}, answered by node {node})"));
        }
    }

    /// Sends every node two requests for a user's job within milliseconds.
    pub(super) fn read_closely(&mut self, user: usize) {
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
