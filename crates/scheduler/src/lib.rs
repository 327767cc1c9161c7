//! The scheduler as a state machine without I/O: [`node::Controller`] takes inputs and returns effects, which
//! the program executes. `docs/architecture.md` describes the structure, `docs/design.md` the reasons for it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub use pearford_types as types;

pub mod assignments;
pub mod autoscaler;
pub mod cluster_version;
pub mod election;
pub mod extension;
pub mod gangs;
#[cfg(any(test, feature = "simulation"))]
pub mod golden;
pub mod jobs;
pub mod node;
pub mod partitions;
pub mod peer_messages;
pub mod placement;
pub mod preemption;
pub mod rate_limit;
pub mod settings;
#[allow(
    missing_docs,
    reason = "test code; the names of the variants describe its events and faults, see docs/ROADMAP.md"
)]
#[cfg(any(test, feature = "simulation"))]
pub mod simulation;
pub mod wire;
pub mod workers;
