//! Controller nodes -> cloud.

use crate::types::{Duration, MachineId, Resources, TypeName, Zone};
use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineType {
    pub name: TypeName,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly")]
    pub price: f64,
    #[serde(rename = "low_price", default)]
    pub spot_price: Option<f64>,
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    #[serde(rename = "regions", default)]
    pub zones: Vec<Zone>,
}

impl MachineType {
    pub fn resources(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb }
    }
    pub fn boot(&self) -> Duration {
        Duration::from_secs_f64(self.boot_s)
    }
    pub fn hourly(&self, spot: bool) -> f64 {
        if spot { self.spot_price.unwrap_or(self.price) } else { self.price }
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    pub id: MachineId,
    #[serde(default)]
    pub addr: Option<String>,
    #[serde(rename = "flavor")]
    pub type_name: TypeName,
    #[serde(rename = "region")]
    pub zone: Zone,
    #[serde(rename = "preemptible", default)]
    pub spot: bool,
    pub phase: MachinePhase,
    #[serde(default)]
    pub age_s: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachinePhase {
    #[serde(rename = "starting")]
    Booting,
    Running,
    Failed,
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    Types,
    Rent { claim: String, type_name: TypeName, zone: Zone, spot: bool, number: u32 },
    Release { machines: Vec<MachineId> },
    List { after: Option<MachineId>, most: u32 },
}

#[derive(Debug, Clone)]
pub enum CloudReply {
    Types(Vec<MachineType>),
    Rented(Vec<MachineId>),
    NoCapacity,
    Released,
    Listed {
        machines: Vec<ListedMachine>,
        more: bool,
    },
    /// Not executed, or not understood; ask again later.
    Refused,
    /// No answer: may have been executed or be executed later.
    Unknown,
}

#[derive(Serialize)]
struct RentBody<'a> {
    claim: &'a str,
    flavor: &'a TypeName,
    region: &'a Zone,
    preemptible: bool,
    number: u32,
}

#[derive(Serialize)]
struct ReleaseBody<'a> {
    hosts: &'a [MachineId],
}

impl CloudRequest {
    /// Method, path and body.
    pub fn http(&self) -> (http::Method, String, Vec<u8>) {
        match self {
            CloudRequest::Types => (http::Method::GET, "/flavors".into(), Vec::new()),
            CloudRequest::Rent { claim, type_name, zone, spot, number } => {
                let body =
                    RentBody { claim, flavor: type_name, region: zone, preemptible: *spot, number: *number };
                (http::Method::POST, "/machines".into(), serde_json::to_vec(&body).unwrap_or_default())
            }
            CloudRequest::Release { machines } => {
                let body = serde_json::to_vec(&ReleaseBody { hosts: machines }).unwrap_or_default();
                (http::Method::POST, "/machines/release".into(), body)
            }
            CloudRequest::List { after, most } => {
                let path = match after {
                    Some(id) => format!("/machines?from={id}&most={most}"),
                    None => format!("/machines?most={most}"),
                };
                (http::Method::GET, path, Vec::new())
            }
        }
    }

    /// Reads the answer.
    pub fn reply(&self, status: u16, body: &[u8]) -> CloudReply {
        #[derive(Deserialize)]
        struct Types {
            flavors: Vec<MachineType>,
        }
        #[derive(Deserialize)]
        struct Hosts {
            hosts: Vec<MachineId>,
        }
        #[derive(Deserialize)]
        struct List {
            hosts: Vec<ListedMachine>,
            #[serde(default)]
            more: bool,
        }
        #[derive(Deserialize)]
        struct Error {
            #[serde(default)]
            error: String,
        }
        if status != 200 {
            let error = serde_json::from_slice::<Error>(body).map(|e| e.error).unwrap_or_default();
            return match self {
                CloudRequest::Rent { .. } if status == 503 && error == "no capacity" => {
                    CloudReply::NoCapacity
                }
                _ => CloudReply::Refused,
            };
        }
        match self {
            CloudRequest::Types => serde_json::from_slice(body)
                .map(|t: Types| CloudReply::Types(t.flavors))
                .unwrap_or(CloudReply::Refused),
            CloudRequest::Rent { .. } => serde_json::from_slice(body)
                .map(|h: Hosts| CloudReply::Rented(h.hosts))
                .unwrap_or(CloudReply::Unknown),
            CloudRequest::Release { .. } => CloudReply::Released,
            CloudRequest::List { .. } => serde_json::from_slice(body)
                .map(|l: List| CloudReply::Listed { machines: l.hosts, more: l.more })
                .unwrap_or(CloudReply::Refused),
        }
    }
}

#[cfg(test)]
mod golden;
