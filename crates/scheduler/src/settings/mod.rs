//! Settings: the platform's TOML and the operators' own YAML, both checked as a whole at start.
//!
//! Unknown fields of the platform's file are ignored (new ones may come); unknown operator keys
//! are errors, since a misspelt key would otherwise silently leave its default in force.

use crate::rate_limit::StoreLimits;
use crate::types::{Duration, Kind, NodeName, TeamName, Zone};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Slack left off the time for which a node without the state service answers reports.
const HOLD_MARGIN_S: f64 = 4.0;

/// What is wrong with one key.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{file}: {key}: {what}")]
pub struct Fault {
    pub file: String,
    pub key: String,
    pub what: String,
}

#[derive(Debug, Clone, Deserialize)]
struct PlatformFile {
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
    teams: Vec<TeamFile>,
    #[serde(default)]
    objectives: Vec<Objective>,
    workers: WorkerFacts,
    state: StateFacts,
    cloud: CloudFacts,
    machine_limits: MachineLimits,
}

#[derive(Debug, Clone, Deserialize)]
struct TeamFile {
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

/// What the users expect of a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct WorkerFacts {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

impl WorkerFacts {
    /// How long reports may be answered with 200 after a look at the job records.
    ///
    /// A withdrawal that isn't seen yet was told after the look. The worker's lease ends `lease_s` after the
    /// last answer, and the task must be gone `cancel_s` after the withdrawal: so until the look +
    /// `cancel_s - lease_s`, less a margin.
    pub fn hold(&self) -> Duration {
        Duration::from_secs_f64(self.cancel_s - self.lease_s - HOLD_MARGIN_S)
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct StateFacts {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Limits that the state service will have from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextStateFacts>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct NextStateFacts {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateFacts {
    /// The stricter of the present and the next limits holds from the start. The change comes without
    /// notice, and what was written by the larger one could not be rewritten after it.
    fn limits(&self) -> StoreLimits {
        let next = self.next.as_ref();
        let least = |now: f64, next: Option<f64>| next.map_or(now, |next| now.min(next));
        let value_kb = least(self.value_kb, next.and_then(|n| n.value_kb));
        StoreLimits {
            rps: least(self.rps, next.and_then(|n| n.rps)),
            write_rps: least(self.write_rps, next.and_then(|n| n.write_rps)),
            // Whether a KiB counts as 1000 or 1024 need not be known.
            value_bytes: (value_kb * 1000.0) as usize,
            txn_ops: next.and_then(|n| n.txn_ops).map_or(self.txn_ops, |ops| ops.min(self.txn_ops)),
        }
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudFacts {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    pub cpu_share: f64,
    pub ram_mb: f64,
    pub max_connections: usize,
}

impl MachineLimits {
    /// Sockets that stay for what this node opens itself, and for its peers: users and workers get the rest.
    pub fn outward(&self) -> usize {
        (self.max_connections / 5).clamp(8, 600)
    }

    /// Orders to workers under way at a time, a socket each. A part of `outward`: with orders as many as there were, a
    /// node reached its limit, and could no longer reach its peers (offshore deployment at 1.5 times, rough).
    pub fn commands(&self) -> usize {
        self.outward() * 3 / 4
    }
}

/// A team's guarantee and limit; `None` where the settings say 0.
#[derive(Debug, Clone)]
pub struct Team {
    pub name: TeamName,
    pub guaranteed_cpus: Option<f64>,
    pub guaranteed_gpus: Option<f64>,
    pub max_cpus: Option<f64>,
    pub max_gpus: Option<f64>,
}

#[derive(Debug, Clone)]
pub struct Peer {
    pub name: NodeName,
    pub zone: Zone,
    pub addr: SocketAddr,
}

/// The operators' own settings. Every key has a default; see `docs/operating.md`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Life of the leader's grant. Shorter: faster take-over; longer: rides out slow answers.
    pub leader_grant_ms: u64,
    /// How often the leader renews its grant.
    pub leader_renew_ms: u64,
    /// How long a machine block is leased to a controller.
    pub block_lease_s: f64,
    /// How long the leader waits for a controller's proposals before it serves the work itself.
    pub round_timeout_ms: u64,
    /// How often the Beta counts are saved.
    pub counts_save_s: f64,
    /// Factor on the draw of a machine whose report is late.
    pub degraded_factor: f64,
    /// Factor on the draw of a machine that has not reported yet.
    pub unknown_factor: f64,
    /// Factor on the draw of an empty machine while a partly booked one fits; a half empty one
    /// gets its square root.
    pub empty_factor: f64,
    /// Factor on the draw of an ordinary machine for an array that may run on a cheap one, while a cheap one fits.
    pub dear_factor: f64,
    /// Image fetch time that halves the draw of a machine without the image.
    pub fetch_half_s: f64,
    /// Reports late by more than this many report intervals make a machine degraded.
    pub degraded_reports: f64,
    /// ... unreachable: nothing is placed there.
    pub unreachable_reports: f64,
    /// ... lost: it is returned to the cloud, which proves its tasks gone.
    pub lost_reports: f64,
    /// How long a machine may stand empty before it is returned.
    pub idle_return_s: f64,
    /// A machine that has not come up after this many nominal boot times is returned.
    pub boot_patience: f64,
    /// Pause after a refused rental of one type, zone and kind.
    pub refusal_pause_s: f64,
    /// Most machines rented in one request (the cloud takes 50).
    pub rent_at_most: u32,
    /// Tasks offered in one round at most.
    pub round_tasks: usize,
    /// Requests of users that may wait for the state service at a time.
    pub max_waiting_requests: usize,
    /// How long a user's request may wait for the state service before it is told to come back.
    pub request_patience_ms: u64,
    /// Share of the state service's change budget that users' requests may take, over all nodes.
    pub user_write_share: f64,
    /// How often the cloud's machine list is read.
    pub list_every_s: f64,
    /// Whether every node answers workers' reports in the leader's name, or only the leader.
    pub report_homes: bool,
}

impl Default for Operator {
    fn default() -> Self {
        Self {
            leader_grant_ms: 4000,
            leader_renew_ms: 1000,
            block_lease_s: 30.0,
            round_timeout_ms: 400,
            counts_save_s: 10.0,
            degraded_factor: 0.5,
            unknown_factor: 0.8,
            empty_factor: 0.3,
            dear_factor: 0.3,
            fetch_half_s: 1.0,
            degraded_reports: 1.6,
            unreachable_reports: 2.5,
            lost_reports: 4.0,
            idle_return_s: 45.0,
            boot_patience: 4.0,
            refusal_pause_s: 8.0,
            rent_at_most: 50,
            round_tasks: 64,
            max_waiting_requests: 512,
            request_patience_ms: 1500,
            user_write_share: 0.5,
            list_every_s: 5.0,
            report_homes: true,
        }
    }
}

/// Everything a node knows at start.
#[derive(Debug, Clone)]
pub struct Settings {
    pub node: NodeName,
    pub zone: Zone,
    pub api_addr: SocketAddr,
    pub peer_addr: SocketAddr,
    pub peers: Vec<Peer>,
    pub cloud_addr: SocketAddr,
    pub state_addr: SocketAddr,
    pub zones: Vec<Zone>,
    pub time_bound: Duration,
    pub teams: BTreeMap<TeamName, Team>,
    pub objectives: Vec<Objective>,
    pub workers: WorkerFacts,
    /// What the state service takes, now and after its next limits come into force.
    pub state: StoreLimits,
    pub cloud: CloudFacts,
    pub limits: MachineLimits,
    pub operator: Operator,
}

impl Settings {
    /// Within how many seconds work of `kind` is to start, if the users say so.
    pub fn wait_objective(&self, kind: &Kind, guaranteed: bool) -> Option<f64> {
        let counts = |o: &&Objective| match o.kind.as_str() {
            "wait" => o.class.as_deref() == Some(kind.as_str()),
            "guarantee" => guaranteed,
            _ => false,
        };
        self.objectives.iter().filter(counts).filter_map(|o| o.within_s).min_by(f64::total_cmp)
    }
}

struct Checker {
    file: String,
    faults: Vec<Fault>,
}

impl Checker {
    fn fault(&mut self, key: &str, what: impl Into<String>) {
        self.faults.push(Fault { file: self.file.clone(), key: key.into(), what: what.into() });
    }
    fn addr(&mut self, key: &str, text: &str) -> SocketAddr {
        match text.parse() {
            Ok(addr) => addr,
            Err(_) => {
                self.fault(key, format!("`{text}` is not IP:PORT; give e.g. 10.0.0.1:8080"));
                SocketAddr::from(([0, 0, 0, 0], 0))
            }
        }
    }
    fn above(&mut self, key: &str, value: f64, least: f64) {
        if !value.is_finite() || value <= least {
            self.fault(key, format!("must be a number above {least}, is {value}"));
        }
    }
    fn at_least(&mut self, key: &str, value: f64, least: f64) {
        if !value.is_finite() || value < least {
            self.fault(key, format!("must be a number of at least {least}, is {value}"));
        }
    }
    fn share(&mut self, key: &str, value: f64) {
        if !(value > 0.0 && value <= 1.0) {
            self.fault(key, format!("must be above 0 and at most 1, is {value}"));
        }
    }
    fn text(&mut self, key: &str, value: &str) {
        if value.is_empty() {
            self.fault(key, "must not be empty");
        }
    }
}

/// Reads and checks both files' texts, with the names to use in faults; the error lists every fault found.
pub fn parse((file, text): (&str, &str), operator: Option<(String, &str)>) -> Result<Settings, Vec<Fault>> {
    let raw: PlatformFile = toml::from_str(text).map_err(|e| {
        vec![Fault { file: file.into(), key: toml_key(&e, text), what: e.message().to_string() }]
    })?;
    let mut c = Checker { file: file.into(), faults: Vec::new() };
    c.text("node", &raw.node);
    c.text("site", &raw.site);
    let f = &raw.facts;
    for (key, v) in [
        ("facts.workers.report_s", f.workers.report_s),
        ("facts.workers.lease_s", f.workers.lease_s),
        ("facts.workers.gang_wait_s", f.workers.gang_wait_s),
        ("facts.workers.gang_peer_s", f.workers.gang_peer_s),
        ("facts.workers.cancel_s", f.workers.cancel_s),
        ("facts.state.rps", f.state.rps),
        ("facts.state.write_rps", f.state.write_rps),
        ("facts.state.value_kb", f.state.value_kb),
        ("facts.cloud.rps", f.cloud.rps),
        ("facts.machine_limits.cpu_share", f.machine_limits.cpu_share),
        ("facts.machine_limits.ram_mb", f.machine_limits.ram_mb),
    ] {
        c.above(key, v, 0.0);
    }
    c.at_least("facts.cloud.list_lag_s", f.cloud.list_lag_s, 0.0);
    c.at_least("facts.time_bound_ms", f.time_bound_ms, 0.0);
    let next = f.state.next.as_ref();
    for (key, v) in [
        ("facts.state.next.rps", next.and_then(|n| n.rps)),
        ("facts.state.next.write_rps", next.and_then(|n| n.write_rps)),
        ("facts.state.next.value_kb", next.and_then(|n| n.value_kb)),
    ] {
        v.into_iter().for_each(|v| c.above(key, v, 0.0));
    }
    for (key, ops) in [
        ("facts.state.txn_ops", Some(f.state.txn_ops)),
        ("facts.state.next.txn_ops", next.and_then(|n| n.txn_ops)),
    ] {
        if ops.is_some_and(|ops| ops < 2) {
            c.fault(key, "must be at least 2: a commit needs room for two keys");
        }
    }
    if f.machine_limits.max_connections < 16 {
        c.fault("facts.machine_limits.max_connections", "must be at least 16");
    }
    let mut teams = BTreeMap::new();
    let some = |v: f64| (v > 0.0).then_some(v);
    for t in &f.teams {
        let key = format!("facts.teams.{}", t.name);
        c.text("facts.teams.name", &t.name);
        for v in [t.cpus, t.cpus_max, t.gpus, t.gpus_max] {
            c.at_least(&key, v, 0.0);
        }
        let name = TeamName::from(t.name.as_str());
        let team = Team {
            name: name.clone(),
            guaranteed_cpus: some(t.cpus),
            guaranteed_gpus: some(t.gpus),
            max_cpus: some(t.cpus_max),
            max_gpus: some(t.gpus_max),
        };
        if teams.insert(name, team).is_some() {
            c.fault(&key, "is given twice");
        }
    }
    let mut peers = Vec::new();
    for p in &raw.seeds {
        c.text("seeds.node", &p.node);
        if p.node == raw.node || peers.iter().any(|q: &Peer| q.name.as_str() == p.node) {
            c.fault("seeds.node", format!("`{}` is given twice", p.node));
        }
        peers.push(Peer {
            name: p.node.as_str().into(),
            zone: p.site.as_str().into(),
            addr: c.addr("seeds.peer_addr", &p.peer_addr),
        });
    }
    let settings = Settings {
        node: raw.node.as_str().into(),
        zone: raw.site.as_str().into(),
        api_addr: c.addr("api_addr", &raw.api_addr),
        peer_addr: c.addr("back", &raw.back),
        peers,
        cloud_addr: c.addr("outside.cloud", &raw.outside.cloud),
        state_addr: c.addr("outside.state", &raw.outside.state),
        zones: f.zones.iter().map(|z| z.as_str().into()).collect(),
        time_bound: Duration::from_millis(f.time_bound_ms.clamp(0.0, 3.6e6).ceil() as u64),
        teams,
        objectives: f.objectives.clone(),
        workers: f.workers.clone(),
        state: f.state.limits(),
        cloud: f.cloud.clone(),
        limits: f.machine_limits.clone(),
        operator: Operator::default(),
    };
    let operator = match operator {
        None => Operator::default(),
        Some((name, text)) => {
            c.file = name;
            match parse_operator(text) {
                Ok(o) => o,
                Err(what) => {
                    c.fault(&yaml_key(&what), what.clone());
                    Operator::default()
                }
            }
        }
    };
    check_operator(&mut c, &operator);
    if c.faults.is_empty() { Ok(Settings { operator, ..settings }) } else { Err(c.faults) }
}

fn parse_operator(text: &str) -> Result<Operator, String> {
    // An empty or all-comment file is a valid way of saying "defaults".
    let value: serde_yaml_ng::Value = serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?;
    if value.is_null() {
        return Ok(Operator::default());
    }
    serde_yaml_ng::from_str(text).map_err(|e| e.to_string())
}

fn check_operator(c: &mut Checker, o: &Operator) {
    if o.leader_grant_ms < 500 || o.leader_grant_ms > 60_000 {
        c.fault("leader_grant_ms", "must be between 500 and 60000");
    }
    if o.leader_renew_ms < 50 || o.leader_renew_ms * 2 > o.leader_grant_ms {
        c.fault("leader_renew_ms", "must be at least 50 and at most half of leader_grant_ms");
    }
    for (key, v) in [
        ("block_lease_s", o.block_lease_s),
        ("counts_save_s", o.counts_save_s),
        ("idle_return_s", o.idle_return_s),
        ("fetch_half_s", o.fetch_half_s),
        ("boot_patience", o.boot_patience),
        ("refusal_pause_s", o.refusal_pause_s),
        ("list_every_s", o.list_every_s),
        ("degraded_reports", o.degraded_reports),
    ] {
        c.above(key, v, 0.0);
    }
    for (key, v) in [
        ("degraded_factor", o.degraded_factor),
        ("unknown_factor", o.unknown_factor),
        ("empty_factor", o.empty_factor),
        ("dear_factor", o.dear_factor),
        ("user_write_share", o.user_write_share),
    ] {
        c.share(key, v);
    }
    if o.unreachable_reports.is_nan() || o.unreachable_reports < o.degraded_reports {
        c.fault("unreachable_reports", "must be at least degraded_reports");
    }
    if !(o.lost_reports >= o.unreachable_reports && o.lost_reports >= 2.0) {
        c.fault("lost_reports", "must be at least unreachable_reports and at least 2");
    }
    if o.rent_at_most == 0 || o.rent_at_most > 50 {
        c.fault("rent_at_most", "must be between 1 and 50, the cloud's limit");
    }
    if o.round_tasks == 0 || o.round_tasks > 1000 {
        c.fault("round_tasks", "must be between 1 and 1000");
    }
    if o.max_waiting_requests == 0 {
        c.fault("max_waiting_requests", "must be at least 1");
    }
    if o.round_timeout_ms == 0 {
        c.fault("round_timeout_ms", "must be at least 1");
    }
    if !(100..=4500).contains(&o.request_patience_ms) {
        c.fault("request_patience_ms", "must be between 100 and 4500; users wait 5 s at most");
    }
}

/// Names the key a TOML error speaks of: the missing field, or the line it points at.
fn toml_key(e: &toml::de::Error, text: &str) -> String {
    let message = e.message();
    if let Some(field) = message.split('`').nth(1).filter(|_| message.contains("missing field")) {
        return field.to_string();
    }
    e.span()
        .and_then(|span| text.get(..span.start))
        .map(|before| {
            let line = before.rsplit('\n').next().unwrap_or("");
            line.split('=').next().unwrap_or("").trim().to_string()
        })
        .filter(|key| !key.is_empty())
        .unwrap_or_else(|| "(syntax)".to_string())
}

fn yaml_key(message: &str) -> String {
    match message.split('`').nth(1) {
        Some(key) if message.contains("unknown field") => key.to_string(),
        _ => message.split(':').next().filter(|k| !k.contains(' ')).unwrap_or("(syntax)").to_string(),
    }
}

/// A valid platform file, for tests.
#[cfg(any(test, feature = "world"))]
pub(crate) const SAMPLE: &str = include_str!("sample.toml");

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
