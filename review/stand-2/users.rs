//! Users, and the load balancer between them and the controllers.

use crate::http::{self, Response};
use crate::json::Json;
use crate::record::Record;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Users {
    pub nodes: Vec<SocketAddr>,
    pub record: Record,
}

impl Users {
    /// Sends a request to each healthy node in turn, to all if none is healthy, until one answers it.
    pub fn ask(&self, method: &str, path: &str, body: &str, timeout: Duration) -> Option<Response> {
        let healthy: Vec<SocketAddr> = self.nodes.iter().copied().filter(|node| up(*node)).collect();
        let nodes = if healthy.is_empty() { &self.nodes } else { &healthy };
        let mut last = None;
        for node in nodes {
            let answer = http::send(*node, method, path, body, timeout);
            let text =
                answer.as_ref().map_or("no answer".to_string(), |a| format!("{} {}", a.status, a.body));
            self.record.line(&format!("user: {method} {path} at {node}: {text}"));
            if answer.as_ref().is_some_and(|a| matches!(a.status, 200 | 201 | 400 | 404 | 422)) {
                return answer;
            }
            last = answer.or(last);
        }
        last
    }

    /// Submits for up to 60 s, as PROTOCOL says; whether it was accepted.
    pub fn submit(&self, body: &str) -> bool {
        self.repeat("/submissions", body, |status, _| matches!(status, 200 | 201))
    }

    fn repeat(&self, path: &str, body: &str, good: impl Fn(u16, &str) -> bool) -> bool {
        let until = Instant::now() + Duration::from_secs(60);
        while Instant::now() < until {
            if let Some(Response { status, body }) = self.ask("POST", path, body, Duration::from_secs(5)) {
                let phase = Json::parse(body.as_bytes()).unwrap_or(Json::Null);
                if good(status, phase.get("phase").text().unwrap_or_default()) {
                    return true;
                }
                if matches!(status, 400 | 422) {
                    return false;
                }
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        false
    }

    /// The phase of a job; none without a 200.
    pub fn phase(&self, id: &str) -> Option<String> {
        let answer = self.ask("GET", &format!("/submissions/{id}"), "", Duration::from_secs(2))?;
        let body = Json::parse(answer.body.as_bytes()).filter(|_| answer.status == 200)?;
        body.get("phase").text().map(str::to_string)
    }

    /// Polls until the job has this phase.
    pub fn wait_for(&self, id: &str, phase: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.phase(id).as_deref() == Some(phase) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(500));
        }
        false
    }
}

/// Whether `GET /up` says 200 within the load balancer's second.
pub fn up(node: SocketAddr) -> bool {
    http::send(node, "GET", "/up", "", Duration::from_secs(1)).is_some_and(|answer| answer.status == 200)
}

/// A submission of an array or a service, with the fields that PROTOCOL names.
#[allow(clippy::too_many_arguments)]
pub fn submission(
    id: &str,
    class: &str,
    owner: &str,
    shape: &str,
    urgency: &str,
    shards: u32,
    vcpus: f64,
    accelerators: f64,
    memory_gb: f64,
    expected_s: f64,
) -> String {
    format!(
        "{{\"id\":\"{id}\",\"job_class\":\"{class}\",\"owner\":\"{owner}\",\"shape\":\"{shape}\",\"urgency\":\"{urgency}\",\"shards\":{shards},\"vcpus\":{vcpus:?},\"accelerators\":{accelerators:?},\"memory_gb\":{memory_gb:?},\"bundle\":\"img-01\",\"image_gb\":5.0,\"flavors\":null,\"region\":null,\"together\":false,\"spread\":false,\"preemptible\":false,\"expected_s\":{expected_s:?},\"snapshot_every_s\":0.0,\"snapshot_s\":0.0,\"due_s\":null}}"
    )
}

impl Users {
    /// Cancels a job; whether the service confirmed that it is cancelled, or done.
    pub fn withdraw(&self, id: &str) -> bool {
        self.repeat(&format!("/submissions/{id}/withdraw"), "", |status, phase| {
            status == 200 && matches!(phase, "withdrawn" | "done")
        })
    }
}
