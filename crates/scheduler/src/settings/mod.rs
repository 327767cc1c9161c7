//! Settings: the platform's TOML and the operators' own YAML, both checked as a whole at start.
//!
//! The program reads the files and calls [`parse`] once; nodes share the [`Settings`] that it gives.

mod facts;
mod fault;
mod operator;
mod platform;

pub use facts::{CloudFacts, MachineLimits, NextStateFacts, Objective, StateFacts, WorkerFacts};
pub use fault::Fault;
pub use operator::Operator;

use crate::rate_limit::StoreLimits;
use crate::types::{Duration, Kind, NodeName, TeamName, Zone};
use fault::Checker;
use platform::PlatformFile;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A team's guarantee and limit; `None` where the settings say 0.
#[derive(Debug, Clone)]
pub struct Team {
    /// The team's name, unique.
    pub name: TeamName,
    /// CPUs guaranteed to the team, if necessary by preemption.
    pub guaranteed_cpus: Option<f64>,
    /// GPUs guaranteed to the team, if necessary by preemption.
    pub guaranteed_gpus: Option<f64>,
    /// Maximum number of CPUs that it may use at a time.
    pub max_cpus: Option<f64>,
    /// Maximum number of GPUs that it may use at a time.
    pub max_gpus: Option<f64>,
}

/// Another node of the service.
#[derive(Debug, Clone)]
pub struct Peer {
    /// The node's name, unique.
    pub name: NodeName,
    /// The zone that it runs in.
    pub zone: Zone,
    /// The address at which it listens for other nodes.
    pub addr: SocketAddr,
}

/// A node's settings, checked at start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This node's name.
    pub node: NodeName,
    /// The zone that this node runs in.
    pub zone: Zone,
    /// The address at which this node listens for users and workers.
    pub api_addr: SocketAddr,
    /// The address at which this node listens for other nodes.
    pub peer_addr: SocketAddr,
    /// The other nodes.
    pub peers: Vec<Peer>,
    /// The address of the cloud's API.
    pub cloud_addr: SocketAddr,
    /// The address of the key-value store.
    pub state_addr: SocketAddr,
    /// The zones that machines may be in.
    pub zones: Vec<Zone>,
    /// Maximum difference between the clocks of two nodes.
    pub max_clock_difference: Duration,
    /// The teams, by name.
    pub teams: BTreeMap<TeamName, Team>,
    /// The users' service objectives for classes of jobs.
    pub objectives: Vec<Objective>,
    /// Intervals and timeouts of workers.
    pub workers: WorkerFacts,
    /// The key-value store's limits: each is the stricter of the present and the next one.
    pub state: StoreLimits,
    /// The cloud's limits.
    pub cloud: CloudFacts,
    /// What this node may use of its own machine.
    pub limits: MachineLimits,
    /// The operators' own settings.
    pub operator: Operator,
}

impl Settings {
    /// Number of seconds within which work of `kind` must start to meet the strictest applicable objective;
    /// `None` if no objective applies. `guaranteed` says whether the work is within its team's guarantee.
    pub fn wait_objective(&self, kind: &Kind, guaranteed: bool) -> Option<f64> {
        let applies = |objective: &&Objective| match objective.kind.as_str() {
            "wait" => objective.class.as_deref() == Some(kind.as_str()),
            "guarantee" => guaranteed,
            _ => false,
        };
        let applicable = self.objectives.iter().filter(applies);
        applicable.filter_map(|objective| objective.within_s).min_by(f64::total_cmp)
    }
}

/// The text of a settings file, with the name to use in faults.
#[derive(Debug, Clone, Copy)]
pub struct SourceFile<'a> {
    /// The file's name.
    pub name: &'a str,
    /// The file's contents.
    pub text: &'a str,
}

impl<'a> SourceFile<'a> {
    /// A file called `name` with the contents `text`.
    pub fn new(name: &'a str, text: &'a str) -> Self {
        Self { name, text }
    }
}

/// Parses and checks both files. Without an operators' file, the operators' settings have their defaults.
///
/// # Errors
/// All faults found. If the platform's file can't be parsed, only that fault is returned.
pub fn parse(platform: SourceFile, operator: Option<SourceFile>) -> Result<Settings, Vec<Fault>> {
    let platform_file = PlatformFile::read(platform).map_err(|fault| vec![fault])?;
    let mut checker = Checker::new(platform.name);
    let mut settings = platform_file.into_settings(&mut checker);
    if let Some(file) = operator {
        checker.enter_file(file.name);
        settings.operator = Operator::read(file.text, &mut checker);
    }
    settings.operator.check(&mut checker);
    checker.finish(settings)
}

/// A valid platform file, for tests.
#[cfg(any(test, feature = "simulation"))]
pub(crate) const SAMPLE: &str = include_str!("sample.toml");

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
