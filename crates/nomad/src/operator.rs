//! The operators' own settings for Nomad's files and door (YAML).

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Every key has a default; see `docs/operating/nomad.md`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NomadSettings {
    /// Where clients connect; without it the door is off.
    pub listen: Option<SocketAddr>,
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
    pub attributes: BTreeMap<String, Stands>,
    /// GB of an image for which a job says nothing.
    pub image_gb: Option<f64>,
    /// Seconds that a batch task is expected to run, for jobs that say nothing.
    pub expected_s: Option<f64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stands {
    Zone,
    MachineType,
}

impl Default for NomadSettings {
    fn default() -> Self {
        Self {
            listen: None,
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
    /// Reads the file; the error names key and remedy.
    pub fn parse(text: &str) -> Result<Self, Vec<String>> {
        let value: serde_yaml_ng::Value = serde_yaml_ng::from_str(text).map_err(|e| vec![e.to_string()])?;
        // An empty or all-comment file is a valid way of saying "defaults".
        let settings: Self = match value.is_null() {
            true => Self::default(),
            false => serde_yaml_ng::from_str(text).map_err(|e| vec![e.to_string()])?,
        };
        let faults = settings.faults();
        if faults.is_empty() { Ok(settings) } else { Err(faults) }
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
        faults
    }
}
