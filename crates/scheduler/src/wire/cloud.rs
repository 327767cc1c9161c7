//! Controller nodes -> cloud: machine types, rentals, returns and the list of machines.

use super::{HttpRequest, read, write};
use crate::types::{Duration, MachineId, Resources, TypeName, Zone};
use http::StatusCode;
use serde::{Deserialize, Serialize};

/// The error text of a refused rental, when no machine of the type is left in the zone.
const NO_CAPACITY: &str = "no capacity";

/// A machine type.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineType {
    /// The type's name, unique.
    pub name: TypeName,
    /// CPUs of a machine.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory of a machine in GB.
    pub memory_gb: f64,
    /// Local space for images in GB.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB a second.
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine an hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Price of a spot machine an hour.
    #[serde(rename = "low_price", default)]
    pub spot_price: Option<f64>,
    /// Nominal time, in seconds, from a rental until the machine is ready.
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    /// Zones where it is offered.
    #[serde(rename = "regions", default)]
    pub zones: Vec<Zone>,
}

impl MachineType {
    /// The resources of an empty machine.
    pub fn resources(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb }
    }

    /// Nominal time from a rental until the machine is ready.
    pub fn boot(&self) -> Duration {
        Duration::from_secs_f64(self.boot_s)
    }

    /// The price an hour; that of an on-demand machine if spot machines have no price of their own.
    pub fn hourly(&self, spot: bool) -> f64 {
        if spot { self.spot_price.unwrap_or(self.price) } else { self.price }
    }
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    /// The machine's id.
    pub id: MachineId,
    /// The address at which its worker listens, once it is known.
    #[serde(default)]
    pub addr: Option<String>,
    /// The machine's type.
    #[serde(rename = "flavor")]
    pub type_name: TypeName,
    /// The zone that it is in.
    #[serde(rename = "region")]
    pub zone: Zone,
    /// Whether it is a spot machine.
    #[serde(rename = "preemptible", default)]
    pub spot: bool,
    /// Its lifecycle phase.
    pub phase: MachinePhase,
    /// Seconds since it was rented.
    #[serde(default)]
    pub age_s: f64,
}

/// Lifecycle phase of a machine, as the cloud reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachinePhase {
    /// Not ready yet.
    #[serde(rename = "starting")]
    Booting,
    /// Ready.
    Running,
    /// Broken, or failed to start.
    Failed,
    /// A phase that this version does not know.
    #[serde(other)]
    Other,
}

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// List the machine types.
    Types,
    /// Rent machines.
    Rent {
        /// Idempotency key: a request that repeats a claim returns the machines of the first request.
        claim: String,
        /// Type of the machines.
        type_name: TypeName,
        /// Zone of the machines.
        zone: Zone,
        /// Whether to rent spot machines.
        spot: bool,
        /// How many machines.
        number: u32,
    },
    /// Return machines.
    Release {
        /// The machines to return.
        machines: Vec<MachineId>,
    },
    /// List rented machines.
    List {
        /// Only machines after this one.
        after: Option<MachineId>,
        /// Maximum number of machines in the answer.
        limit: u32,
    },
}

/// The cloud's answer.
#[derive(Debug, Clone)]
pub enum CloudReply {
    /// All machine types.
    Types(Vec<MachineType>),
    /// The rented machines.
    Rented(Vec<MachineId>),
    /// No machine of the type is left in the zone.
    NoCapacity,
    /// The machines are returned.
    Released,
    /// A page of the list of machines.
    Listed {
        /// The machines.
        machines: Vec<ListedMachine>,
        /// Whether there are further machines after these.
        more: bool,
    },
    /// Not executed, or the answer is unreadable; to be retried later.
    Refused,
    /// No usable answer: the request may have been executed, or may still be.
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

#[derive(Deserialize)]
struct TypesBody {
    flavors: Vec<MachineType>,
}

#[derive(Deserialize)]
struct RentedBody {
    hosts: Vec<MachineId>,
}

#[derive(Deserialize)]
struct ListBody {
    hosts: Vec<ListedMachine>,
    #[serde(default)]
    more: bool,
}

#[derive(Default, Deserialize)]
struct ErrorBody {
    #[serde(default)]
    error: String,
}

impl CloudRequest {
    /// The HTTP request.
    pub fn http(&self) -> HttpRequest {
        match self {
            CloudRequest::Types => HttpRequest::get("/flavors".into()),
            CloudRequest::Rent { claim, type_name, zone, spot, number } => {
                let body =
                    RentBody { claim, flavor: type_name, region: zone, preemptible: *spot, number: *number };
                HttpRequest::post("/machines", write(&body))
            }
            CloudRequest::Release { machines } => {
                HttpRequest::post("/machines/release", write(&ReleaseBody { hosts: machines }))
            }
            CloudRequest::List { after, limit } => {
                let path = match after {
                    Some(id) => format!("/machines?from={id}&most={limit}"),
                    None => format!("/machines?most={limit}"),
                };
                HttpRequest::get(path)
            }
        }
    }

    /// Parses the HTTP answer.
    pub fn reply(&self, status: u16, body: &[u8]) -> CloudReply {
        if status != StatusCode::OK {
            return self.failure(status, body);
        }
        match self {
            CloudRequest::Types => {
                read(body).map_or(CloudReply::Refused, |types: TypesBody| CloudReply::Types(types.flavors))
            }
            // An unreadable answer may name machines that were rented and are charged for.
            CloudRequest::Rent { .. } => {
                read(body).map_or(CloudReply::Unknown, |rented: RentedBody| CloudReply::Rented(rented.hosts))
            }
            CloudRequest::Release { .. } => CloudReply::Released,
            CloudRequest::List { .. } => read(body).map_or(CloudReply::Refused, |list: ListBody| {
                CloudReply::Listed { machines: list.hosts, more: list.more }
            }),
        }
    }

    fn failure(&self, status: u16, body: &[u8]) -> CloudReply {
        let error: ErrorBody = read(body).unwrap_or_default();
        let no_capacity = status == StatusCode::SERVICE_UNAVAILABLE && error.error == NO_CAPACITY;
        if no_capacity && matches!(self, CloudRequest::Rent { .. }) {
            CloudReply::NoCapacity
        } else {
            CloudReply::Refused
        }
    }
}

#[cfg(test)]
mod golden;
