//! Users' requests that wait for a read of the key-value store.
//!
//! The controller queues a request here, begins a read when one is needed, and continues with the requests
//! that the read covers when it has finished.

use super::spec::{AdmissionError, JobSpec};
use crate::types::{Duration, JobId, MonotonicTime, RequestId};
use http::StatusCode;

/// A user's operation on one job.
#[derive(Debug, Clone)]
pub enum UserRequest {
    /// Accept a job, or return its status if it is already known.
    Submit {
        /// `Err` is the refusal to return if the job's id is unknown.
        spec: Result<Box<JobSpec>, Refusal>,
    },
    /// Return the job's status.
    Status,
    /// Cancel the job.
    Cancel,
}

/// A refusal that is returned only if the job isn't already known.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Text of the response.
    pub reason: String,
}

impl From<AdmissionError> for Refusal {
    fn from(error: AdmissionError) -> Self {
        Self { status: StatusCode::UNPROCESSABLE_ENTITY, reason: error.to_string() }
    }
}

/// A user's request that has no response yet.
#[derive(Debug, Clone)]
pub struct PendingRequest {
    /// Identifies the request in the response.
    pub request: RequestId,
    /// The job that the request is for.
    pub id: JobId,
    /// The requested operation.
    pub operation: UserRequest,
    /// When it arrived.
    pub since: MonotonicTime,
    /// Number of retries after conflicting writes.
    pub retries: u32,
}

/// Requests that wait for the next read of the key-value store, and those that the read in progress covers. A
/// read doesn't cover requests that arrive after it began: its result may be older than a response that
/// another node has already sent.
#[derive(Debug, Default)]
pub struct PendingRequests {
    /// Requests that wait for the next read.
    next: Vec<PendingRequest>,
    /// Requests that the read in progress covers.
    reading: Vec<PendingRequest>,
}

impl PendingRequests {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.next.len() + self.reading.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a request for the next read.
    pub fn push(&mut self, request: PendingRequest) {
        self.next.push(request);
    }

    /// Whether a read should begin: requests wait for the next read, and no read that covers requests is in
    /// progress.
    pub fn needs_read(&self) -> bool {
        !self.next.is_empty() && self.reading.is_empty()
    }

    /// Records the start of a read, which covers all queued requests.
    pub fn begin_read(&mut self) {
        self.reading = std::mem::take(&mut self.next);
    }

    /// Records the end of the read, successful or not. Returns the requests that it covered.
    pub fn finish_read(&mut self) -> Vec<PendingRequest> {
        std::mem::take(&mut self.reading)
    }

    /// Removes and returns the requests that have waited for `timeout` or longer.
    pub fn take_timed_out(&mut self, now: MonotonicTime, timeout: Duration) -> Vec<PendingRequest> {
        let timed_out = |request: &mut PendingRequest| now.since(request.since) >= timeout;
        let mut taken: Vec<PendingRequest> = self.next.extract_if(.., timed_out).collect();
        taken.extend(self.reading.extract_if(.., timed_out));
        taken
    }
}

#[cfg(test)]
mod tests;
