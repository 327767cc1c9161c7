//! pearford, a cluster scheduler: see `docs/design.md`.
#![forbid(unsafe_code)]

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
#[cfg(any(test, feature = "simulation"))]
pub mod simulation;
pub mod wire;
pub mod workers;
