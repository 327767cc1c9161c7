//! The leader's state of workers: what their heartbeats report and prove, and the commands that they are sent.
//!
//! A [`Machine`] is the leader's state of one machine and its worker: identity, health and capacity
//! (`machine`, `capacity`, `images`, `failed_jobs`), what a heartbeat changes (`heartbeats`), and the commands to the worker
//! (`commands`). The leader owns all machines; delegates use only [`stop_tasks_of_finished_jobs`].

mod capacity;
mod commands;
mod failed_jobs;
mod heartbeats;
mod images;
mod machine;

pub use commands::{DelegateCommands, DirectAnswer, DirectCommands, stop_tasks_of_finished_jobs};
pub use failed_jobs::FailedJobs;
pub use heartbeats::{GoneTask, HeartbeatOutcome};
pub use images::ImageCache;
pub use machine::{CapacityHold, Health, Machine, MachineStatus, TaskAttempt};
pub use pearford_recovery::Outcome;

#[cfg(test)]
mod tests;
