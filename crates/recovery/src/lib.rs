//! Recovery after a failover: reconciles what workers report with what is stored, and lets a new leader go on
//! without a burst of commands. `docs/design/recovery.md` weighs the alternatives and has the safety
//! argument.
//!
//! Plain data in, decisions out: nothing here does I/O, and the time is an argument. The scheduler's leader
//! and its record of the workers are the callers.
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
