//! The operators' settings for Nomad's job files and API (YAML).

use crate::api::tokens::{Token, Tokens};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The `nomad` section. Every key has a default; see `docs/operating/nomad.md`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NomadSettings {
    /// Where clients connect; without it the API is off.
    pub listen: Option<SocketAddr>,
    /// Who may use the API. Without any, it may only listen on loopback.
    pub tokens: Vec<Token>,
    /// Requests that may wait for the state service at a time.
    pub max_waiting: usize,
    /// Blocking queries that may wait for a change at a time.
    pub max_blocking: usize,
    /// How long one waits at most, whatever it asks for.
    pub max_wait_s: f64,
    /// Connections at a time; they come out of the node's.
    pub max_connections: usize,
    /// MHz of `resources.cpu` that make one CPU. Without it `cpu` is refused.
    pub mhz_per_cpu: Option<f64>,
    /// MB of `resources.memory` that make one GB: 1024 or 1000, as machines' sizes are meant.
    pub mb_per_gb: f64,
    /// Teams by namespace; one that isn't named is the team of its own name.
    pub namespaces: BTreeMap<String, String>,
    /// Machine types that have a device with a model, such as `nvidia/gpu/a100`.
    pub devices: BTreeMap<String, Vec<String>>,
    /// Attributes that constraints may name besides ${node.datacenter} and ${node.class}, and which of
    /// the two they stand for.
    pub attributes: BTreeMap<String, AttributeMeaning>,
    /// GB of an image for which a job says nothing.
    pub image_gb: Option<f64>,
    /// Seconds that a batch task is expected to run, for jobs that say nothing.
    pub expected_s: Option<f64>,
}

/// What an attribute stands for in a constraint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttributeMeaning {
    /// The zone of a machine.
    Zone,
    /// The type of a machine.
    MachineType,
}

impl Default for NomadSettings {
    fn default() -> Self {
        Self {
            listen: None,
            tokens: Vec::new(),
            max_waiting: 256,
            max_blocking: 600,
            max_wait_s: 60.0,
            max_connections: 700,
            mhz_per_cpu: None,
            mb_per_gb: 1024.0,
            namespaces: BTreeMap::new(),
            devices: BTreeMap::new(),
            attributes: BTreeMap::new(),
            image_gb: None,
            expected_s: None,
        }
    }
}

impl NomadSettings {
    /// Reads the operators' `nomad` section.
    ///
    /// # Errors
    /// A line for each fault, with key and remedy.
    pub fn of(section: serde_yaml_ng::Value) -> Result<Self, Vec<String>> {
        // An empty or all-comment section is a valid way of saying "defaults".
        let settings: Self = if section.is_null() {
            Self::default()
        } else {
            serde_yaml_ng::from_value(section).map_err(|error| vec![error.to_string()])?
        };
        let faults = settings.faults();
        if faults.is_empty() { Ok(settings) } else { Err(faults) }
    }

    /// As `of`, from the section's text.
    pub fn parse(text: &str) -> Result<Self, Vec<String>> {
        Self::of(serde_yaml_ng::from_str(text).map_err(|e| vec![e.to_string()])?)
    }

    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut positive = |key: &str, value: Option<f64>| {
            if value.is_some_and(|v| !(v.is_finite() && v > 0.0)) {
                faults.push(format!("{key}: must be a number above 0, is {}", value.unwrap_or(0.0)));
            }
        };
        positive("mhz_per_cpu", self.mhz_per_cpu);
        positive("expected_s", self.expected_s);
        if self.image_gb.is_some_and(|v| !(v.is_finite() && v >= 0.0)) {
            faults.push("image_gb: must be a number from 0".into());
        }
        if self.mb_per_gb != 1024.0 && self.mb_per_gb != 1000.0 {
            faults.push(format!("mb_per_gb: must be 1024 or 1000, is {}", self.mb_per_gb));
        }
        for (device, types) in self.devices.iter().filter(|(_, types)| types.is_empty()) {
            faults.push(format!(
                "devices.{device}: names no machine type ({types:?}); name one or leave it out"
            ));
        }
        if !(self.max_wait_s >= 1.0 && self.max_wait_s <= 600.0) {
            faults.push(format!("max_wait_s: must be from 1 to 600, is {}", self.max_wait_s));
        }
        for (key, value, least) in [
            ("max_waiting", self.max_waiting, 1),
            ("max_blocking", self.max_blocking, 1),
            ("max_connections", self.max_connections, 2),
        ] {
            if value < least || value > 100_000 {
                faults.push(format!("{key}: must be from {least} to 100000, is {value}"));
            }
        }
        if let Err(more) = Tokens::new(&self.tokens) {
            faults.extend(more);
        }
        if let Some(listen) = self.listen.filter(|l| !l.ip().is_loopback() && self.tokens.is_empty()) {
            faults.push(format!(
                "listen: {listen} can be reached from elsewhere; give `tokens`, or listen on 127.0.0.1"
            ));
        }
        faults
    }
}

#[cfg(test)]
mod golden;
