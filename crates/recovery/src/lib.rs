//! Recovery after a failover: reconciles workers' heartbeats with the stored records, so that a new leader
//! takes over running tasks without a burst of commands. `docs/design/recovery.md` compares the alternatives
//! and has the safety argument.
//!
//! This crate does no I/O and reads no clock: it takes plain data and the time as arguments, and returns
//! decisions. The callers are the scheduler's leader and its model of the workers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod failover;
mod pacing;
mod reconcile;

pub use failover::{FailoverPhase, HeartbeatCollection, LeaderAction};
pub use pacing::Pacer;
pub use reconcile::{
    Adoption, Decision, InheritedAssignment, Observation, Outcome, RecordedState, ReportedState, TaskExit,
    adopt, reconcile,
};
