//! The desk: users' requests that wait for the state service.

use super::{AdmissionError, JobSpec};
use crate::types::{Duration, JobId, MonotonicTime, RequestId};

/// What a user asked for.
#[derive(Debug, Clone)]
pub enum UserRequest {
    /// A submission; `Err` says why it can't be taken, should its id prove unknown.
    Submit {
        spec: Result<Box<JobSpec>, Refusal>,
    },
    Status,
    Cancel,
}

/// A refusal that stands only if the job isn't known already.
#[derive(Debug, Clone)]
pub struct Refusal {
    pub status: u16,
    pub reason: String,
}

impl From<AdmissionError> for Refusal {
    fn from(never: AdmissionError) -> Self {
        Self { status: 422, reason: never.to_string() }
    }
}

#[derive(Debug, Clone)]
pub struct PendingRequest {
    pub request: RequestId,
    pub id: JobId,
    pub ask: UserRequest,
    pub since: MonotonicTime,
    pub tries: u32,
}

/// Requests that wait for the next read of the state service, and those that the read now under
/// way will answer. A request never joins a read that began before it: what that read saw may be
/// older than an answer another node has already given.
#[derive(Debug, Default)]
pub struct PendingRequests {
    next: Vec<PendingRequest>,
    reading: Vec<PendingRequest>,
}

impl PendingRequests {
    pub fn len(&self) -> usize {
        self.next.len() + self.reading.len()
    }
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
    pub fn wait(&mut self, w: PendingRequest) {
        self.next.push(w);
    }
    pub fn wants_read(&self) -> bool {
        !self.next.is_empty() && self.reading.is_empty()
    }
    pub fn read_begins(&mut self) {
        self.reading = std::mem::take(&mut self.next);
    }
    pub fn read_ends(&mut self) -> Vec<PendingRequest> {
        std::mem::take(&mut self.reading)
    }
    /// Takes out those that waited too long: they are told at once to come back.
    pub fn overdue(&mut self, now: MonotonicTime, timeout: Duration) -> Vec<PendingRequest> {
        let mut out: Vec<PendingRequest> =
            self.next.extract_if(.., |w| now.since(w.since) >= timeout).collect();
        out.extend(self.reading.extract_if(.., |w| now.since(w.since) >= timeout));
        out
    }
}

#[cfg(test)]
mod tests;
