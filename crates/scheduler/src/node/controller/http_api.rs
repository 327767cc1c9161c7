//! Routes HTTP requests of users, workers and operators to the methods that answer them.

use super::Controller;
use crate::node::Method;
use crate::types::RequestId;
use http::StatusCode;

impl Controller {
    pub(super) fn http_request(&mut self, request: RequestId, method: Method, path: &str, body: Vec<u8>) {
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method, segments.as_slice()) {
            (Method::Get, ["up"]) => self.health_check(request),
            (Method::Post, ["v1", "report"]) => self.heartbeat_request(request, &body),
            (Method::Post, ["submissions"]) => self.submit(request, &body),
            (Method::Get, ["submissions", id]) => self.request_status(request, id),
            (Method::Post, ["submissions", id, "withdraw"]) => self.request_cancellation(request, id),
            (Method::Get, ["operator", "metrics"]) => {
                let text = self.metrics();
                self.outbox.answer(request, StatusCode::OK, text);
            }
            (Method::Get, ["operator", "waiting"]) => {
                let text = self.waiting_report();
                self.outbox.answer(request, StatusCode::OK, text);
            }
            (
                _,
                ["up" | "submissions"]
                | ["submissions", _]
                | ["submissions", _, "withdraw"]
                | ["v1", "report"]
                | ["operator", "metrics" | "waiting"],
            ) => {
                self.outbox.refuse(request, StatusCode::METHOD_NOT_ALLOWED, "wrong method for this path");
            }
            _ => self.outbox.refuse(request, StatusCode::NOT_FOUND, "no such path"),
        }
    }

    /// A node is healthy if it reaches the key-value store, or if no node does: then removing it from the
    /// load balancer would have no benefit, and its error answers tell clients when to retry.
    fn health_check(&mut self, request: RequestId) {
        let jobs_read = self.job_cache.store_revision().is_some();
        if jobs_read && (self.store_reachable() || !self.peers.any_reaches_store(self.now)) {
            self.outbox.answer(request, StatusCode::OK, "{}".into());
        } else {
            self.outbox.refuse(
                request,
                StatusCode::SERVICE_UNAVAILABLE,
                "this node does not reach the state service",
            );
        }
    }
}
