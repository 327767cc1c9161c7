//! Requests that users should not send: repeated submissions with an error in them, cancellations of
//! completed jobs, and submissions that are malformed or can never run.

use super::close_reads::{CloseRead, CloseReadRequest};
use super::events::Event;
use super::{Simulation, job};
use rand::RngExt;
use serde_json::{Value, json};

/// The numbers of jobs that can never be accepted begin after this one.
const IMPOSSIBLE_JOBS: usize = 900_000;

impl Simulation {
    /// Sends a malformed or impossible request, and schedules the next while the fault lasts.
    pub(super) fn send_odd_request(&mut self) {
        if !self.faults.odd_requests {
            return;
        }
        let ms = self.rng_ms(100, 400);
        self.after(ms, Event::OddRequest);
        let node = self.rng.random_range(0..self.nodes.len());
        let accepted: Vec<usize> =
            (0..self.users.len()).filter(|user| self.rules.accepted(&self.users[*user].id)).collect();
        let any = (!accepted.is_empty()).then(|| accepted[self.rng.random_range(0..accepted.len())]);
        match (self.rng.random_range(0..3), any) {
            (0, Some(user)) => {
                let id = self.users[user].id.clone();
                let body = self.users[user].body.clone();
                let request = CloseReadRequest::Repeat(self.corrupt(&body));
                self.close_read(CloseRead { node, id, request });
            }
            (1, Some(user)) if self.rules.terminal_status(&self.users[user].id) == Some("done") => {
                let id = self.users[user].id.clone();
                self.count("a cancellation of what is done");
                self.close_read(CloseRead { node, id, request: CloseReadRequest::Cancel });
            }
            _ => self.send_impossible_request(node),
        }
    }

    /// Sends a query for an unknown job, or a submission that lacks a field or can never run.
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

    /// Returns the submission with an error in it. A repeat of a known job's submission gets the job's state
    /// anyway.
    pub(super) fn corrupt(&mut self, body: &Value) -> String {
        let mut body = body.clone();
        match self.rng.random_range(0..5) {
            0 => body["shards"] = json!(-1),
            1 => body["owner"] = json!("nobody"),
            2 => body["vcpus"] = json!(1e6),
            3 => body["padding"] = json!("x".repeat(30_000)),
            _ => {
                if let Some(fields) = body.as_object_mut() {
                    fields.remove("bundle");
                }
            }
        }
        body.to_string()
    }
}
