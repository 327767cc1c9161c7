//! Users' requests that wait for a read of the key-value store.
//!
//! The controller queues a request here, begins a read when one is needed, and goes on with the requests that the
//! read covers once it has finished.

use super::spec::{AdmissionError, JobSpec};
use crate::types::{Duration, JobId, MonotonicTime, RequestId};
use http::StatusCode;

/// What a user asked for about one job.
#[derive(Debug, Clone)]
pub enum UserRequest {
    /// Accept a job, or give its status if it is known already.
    Submit {
        /// `Err` says why it can't be accepted, should its id prove unknown.
        spec: Result<Box<JobSpec>, Refusal>,
    },
    /// Give the job's status.
    Status,
    /// Cancel the job.
    Cancel,
}

/// A refusal that stands only if the job isn't known already.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// Status of the answer.
    pub status: StatusCode,
    /// The answer's text.
    pub reason: String,
}

impl From<AdmissionError> for Refusal {
    fn from(error: AdmissionError) -> Self {
        Self { status: StatusCode::UNPROCESSABLE_ENTITY, reason: error.to_string() }
    }
}

/// A user's request that is not answered yet.
#[derive(Debug, Clone)]
pub struct PendingRequest {
    /// The request to answer.
    pub request: RequestId,
    /// The job that it is about.
    pub id: JobId,
    /// What to do with the job.
    pub operation: UserRequest,
    /// When it arrived.
    pub since: MonotonicTime,
    /// How often it was tried again after a conflicting write.
    pub retries: u32,
}

/// Requests that wait for the next read of the key-value store, and those that the read now under
/// way will answer. A request never joins a read that began before it: what that read returns may be
/// older than an answer another node has already given.
#[derive(Debug, Default)]
pub struct PendingRequests {
    /// Wait for the next read.
    next: Vec<PendingRequest>,
    /// Wait for the end of the read under way.
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

    /// Whether a read should begin: requests wait, and none is covered by a read under way.
    pub fn needs_read(&self) -> bool {
        !self.next.is_empty() && self.reading.is_empty()
    }

    /// A read begins now, which covers all queued requests.
    pub fn begin_read(&mut self) {
        self.reading = std::mem::take(&mut self.next);
    }

    /// The read has finished, with or without success. Gives the requests that it covered.
    pub fn finish_read(&mut self) -> Vec<PendingRequest> {
        std::mem::take(&mut self.reading)
    }

    /// Takes out the requests that waited for `timeout` or longer.
    pub fn take_timed_out(&mut self, now: MonotonicTime, timeout: Duration) -> Vec<PendingRequest> {
        let timed_out = |request: &mut PendingRequest| now.since(request.since) >= timeout;
        let mut taken: Vec<PendingRequest> = self.next.extract_if(.., timed_out).collect();
        taken.extend(self.reading.extract_if(.., timed_out));
        taken
    }
}

#[cfg(test)]
mod tests;
