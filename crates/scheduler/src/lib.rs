//! pearford, a cluster scheduler: see `docs/design.md`.
#![forbid(unsafe_code)]

pub use pearford_types as types;

pub mod blocks;
pub mod compat;
pub mod feature;
pub mod fleet;
pub mod gangs;
#[cfg(any(test, feature = "world"))]
pub mod golden;
pub mod jobs;
pub mod leader;
pub mod ledger;
pub mod node;
pub mod placement;
pub mod preemption;
pub mod settings;
pub mod store;
pub mod wire;
pub mod workers;
#[cfg(any(test, feature = "world"))]
pub mod world;
