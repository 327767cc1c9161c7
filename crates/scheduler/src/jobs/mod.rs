//! Jobs: what users submitted, the durable record of each, and every node's cache of the records.
//!
//! - [`spec`]: what a job asks for; [`admission`]: the checks before it is stored.
//! - [`record`]: what is stored; [`cache`]: each node's copy of all records; [`graph`]: dependencies between
//!   jobs.
//! - [`job_state`]: the tasks of a job, as the leader sees them; [`failure_history`]: its failures.
//! - [`pending_requests`]: users' requests that wait for the key-value store; [`job_counters`]: counters for
//!   operators.

mod admission;
mod cache;
mod failure_history;
pub mod graph;
mod job_counters;
mod job_state;
mod pending_requests;
mod record;
mod spec;
mod task_counts;

pub use admission::Admission;
pub use cache::{CachedJob, JobCache};
pub use failure_history::{FailureCause, FailureHistory};
pub use job_counters::{JobCounters, JobMilestone};
pub use job_state::{JobState, TASKS_PER_CHUNK, TaskSet, WaitingReason};
pub use pending_requests::{PendingRequest, PendingRequests, Refusal, UserRequest};
pub use record::{OpenJob, PREFIX, PROGRESS_PREFIX, Phase, Record, key};
pub use spec::{AdmissionError, JobSpec, JobType, MAX_TASKS, Priority};
pub use task_counts::TaskCounts;

#[cfg(test)]
mod golden;
#[cfg(test)]
pub(crate) mod tests;
