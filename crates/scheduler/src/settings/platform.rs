//! The platform's file, in TOML: the nodes, and the facts about the surrounding services.
//!
//! Unknown fields are ignored, so that the platform can add new ones. Each section has its own check; the
//! checks run in the order of the file's tables.

use super::facts::{CloudFacts, MachineLimits, Objective, StateFacts, WorkerFacts};
use super::fault::{Checker, Fault};
use super::{Operator, Peer, Settings, SourceFile, Team};
use crate::types::{Duration, TeamName};
use serde::Deserialize;
use std::collections::BTreeMap;

/// Minimum number of changes in a transaction: a commit changes up to two keys atomically.
const MIN_TXN_OPS: usize = 2;
/// Minimum connection limit. With fewer, the reserved connections leave too few for users and workers.
const MIN_CONNECTIONS: usize = 16;
/// Upper limit of the bound on clock differences, in ms: one hour. Larger values are reduced to it.
const MAX_TIME_BOUND_MS: f64 = 3.6e6;

#[derive(Debug, Clone, Deserialize)]
pub(super) struct PlatformFile {
    node: String,
    site: String,
    api_addr: String,
    back: String,
    #[serde(default)]
    seeds: Vec<Seed>,
    outside: Outside,
    facts: Facts,
}

#[derive(Debug, Clone, Deserialize)]
struct Seed {
    node: String,
    #[serde(default)]
    site: String,
    peer_addr: String,
}

#[derive(Debug, Clone, Deserialize)]
struct Outside {
    cloud: String,
    state: String,
}

#[derive(Debug, Clone, Deserialize)]
struct Facts {
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    time_bound_ms: f64,
    #[serde(default)]
    teams: Vec<TeamSection>,
    #[serde(default)]
    objectives: Vec<Objective>,
    workers: WorkerFacts,
    state: StateFacts,
    cloud: CloudFacts,
    machine_limits: MachineLimits,
}

#[derive(Debug, Clone, Deserialize)]
struct TeamSection {
    name: String,
    #[serde(default)]
    cpus: f64,
    #[serde(default)]
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}

impl PlatformFile {
    pub(super) fn read(file: SourceFile) -> Result<Self, Fault> {
        toml::from_str(file.text).map_err(|error| Fault {
            file: file.name.into(),
            key: key_of(&error, file.text),
            message: error.message().to_string(),
        })
    }

    /// Converts the file to settings, with the operators' defaults. The result is usable only if `checker`
    /// has no faults.
    pub(super) fn into_settings(self, checker: &mut Checker) -> Settings {
        checker.not_empty("node", &self.node);
        checker.not_empty("site", &self.site);
        self.facts.check(checker);
        let teams = self.facts.teams(checker);
        let peers = self.peers(checker);
        let facts = self.facts;
        Settings {
            node: self.node.as_str().into(),
            zone: self.site.as_str().into(),
            api_addr: checker.address("api_addr", &self.api_addr),
            peer_addr: checker.address("back", &self.back),
            peers,
            cloud_addr: checker.address("outside.cloud", &self.outside.cloud),
            state_addr: checker.address("outside.state", &self.outside.state),
            zones: facts.zones.iter().map(|zone| zone.as_str().into()).collect(),
            max_clock_difference: Duration::from_millis(
                facts.time_bound_ms.clamp(0.0, MAX_TIME_BOUND_MS).ceil() as u64,
            ),
            teams,
            objectives: facts.objectives,
            workers: facts.workers,
            state: facts.state.limits(),
            cloud: facts.cloud,
            limits: facts.machine_limits,
            operator: Operator::default(),
        }
    }

    fn peers(&self, checker: &mut Checker) -> Vec<Peer> {
        let mut peers: Vec<Peer> = Vec::new();
        for seed in &self.seeds {
            checker.not_empty("seeds.node", &seed.node);
            let known = peers.iter().any(|peer| peer.name.as_str() == seed.node);
            if seed.node == self.node || known {
                checker.fault("seeds.node", format!("`{}` is given twice", seed.node));
            }
            peers.push(Peer {
                name: seed.node.as_str().into(),
                zone: seed.site.as_str().into(),
                addr: checker.address("seeds.peer_addr", &seed.peer_addr),
            });
        }
        peers
    }
}

impl Facts {
    fn check(&self, checker: &mut Checker) {
        let positive = [
            ("facts.workers.report_s", self.workers.report_s),
            ("facts.workers.lease_s", self.workers.lease_s),
            ("facts.workers.gang_wait_s", self.workers.gang_wait_s),
            ("facts.workers.gang_peer_s", self.workers.gang_peer_s),
            ("facts.workers.cancel_s", self.workers.cancel_s),
            ("facts.state.rps", self.state.rps),
            ("facts.state.write_rps", self.state.write_rps),
            ("facts.state.value_kb", self.state.value_kb),
            ("facts.cloud.rps", self.cloud.rps),
            ("facts.machine_limits.cpu_share", self.machine_limits.cpu_share),
            ("facts.machine_limits.ram_mb", self.machine_limits.ram_mb),
        ];
        for (key, value) in positive {
            checker.above(key, value, 0.0);
        }
        checker.at_least("facts.cloud.list_lag_s", self.cloud.list_lag_s, 0.0);
        checker.at_least("facts.time_bound_ms", self.time_bound_ms, 0.0);
        self.check_next_state(checker);
        if self.machine_limits.max_connections < MIN_CONNECTIONS {
            checker.fault("facts.machine_limits.max_connections", "must be at least 16");
        }
    }

    fn check_next_state(&self, checker: &mut Checker) {
        let next = self.state.next.as_ref();
        let positive = [
            ("facts.state.next.rps", next.and_then(|next| next.rps)),
            ("facts.state.next.write_rps", next.and_then(|next| next.write_rps)),
            ("facts.state.next.value_kb", next.and_then(|next| next.value_kb)),
        ];
        for (key, value) in positive {
            if let Some(value) = value {
                checker.above(key, value, 0.0);
            }
        }
        let transaction_sizes = [
            ("facts.state.txn_ops", Some(self.state.txn_ops)),
            ("facts.state.next.txn_ops", next.and_then(|next| next.txn_ops)),
        ];
        for (key, ops) in transaction_sizes {
            if ops.is_some_and(|ops| ops < MIN_TXN_OPS) {
                checker.fault(key, "must be at least 2: a commit needs room for two keys");
            }
        }
    }

    fn teams(&self, checker: &mut Checker) -> BTreeMap<TeamName, Team> {
        let mut teams = BTreeMap::new();
        for section in &self.teams {
            let key = format!("facts.teams.{}", section.name);
            checker.not_empty("facts.teams.name", &section.name);
            for amount in [section.cpus, section.cpus_max, section.gpus, section.gpus_max] {
                checker.at_least(&key, amount, 0.0);
            }
            let team = section.team();
            if teams.insert(team.name.clone(), team).is_some() {
                checker.fault(&key, "is given twice");
            }
        }
        teams
    }
}

impl TeamSection {
    fn team(&self) -> Team {
        let unless_zero = |amount: f64| (amount > 0.0).then_some(amount);
        Team {
            name: self.name.as_str().into(),
            guaranteed_cpus: unless_zero(self.cpus),
            guaranteed_gpus: unless_zero(self.gpus),
            max_cpus: unless_zero(self.cpus_max),
            max_gpus: unless_zero(self.gpus_max),
        }
    }
}

/// The key that a TOML error is about: the missing field, or the key of the line that the error points at.
fn key_of(error: &toml::de::Error, text: &str) -> String {
    let message = error.message();
    if let Some(field) = message.split('`').nth(1).filter(|_| message.contains("missing field")) {
        return field.to_string();
    }
    error
        .span()
        .and_then(|span| text.get(..span.start))
        .map(|before| {
            let line = before.rsplit('\n').next().unwrap_or("");
            line.split('=').next().unwrap_or("").trim().to_string()
        })
        .filter(|key| !key.is_empty())
        .unwrap_or_else(|| "(syntax)".to_string())
}
