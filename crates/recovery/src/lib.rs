//! The start after controllers went down: squaring what workers report with what is stored, and going on without a
//! storm of orders. `docs/design/recovery.md` has the ways weighed and the safety argument.
//!
//! Plain data in, verdicts out: nothing here does I/O, and time comes in as an argument.
#![forbid(unsafe_code)]

mod failover;
mod pacing;
mod reconcile;

pub use failover::{FailoverPhase, HeartbeatCollection, LeaderAction};
pub use pacing::Pacer;
pub use reconcile::{
    Adoption, Decision, Observation, Outcome, RecordedState, ReportedState, TaskExit, adopt, reconcile,
};
