//! A stand-in of the cloud.

use super::{Event, Host, Input, Simulation};
use crate::types::{MachineId, RequestId};
use crate::wire::cloud::{CloudReply, CloudRequest, ListedMachine, MachinePhase, MachineType};
use rand::RngExt;
use std::collections::BTreeMap;

const LAG: u64 = 4_000;

#[derive(Debug, Clone)]
struct Rented {
    listed: ListedMachine,
    at: u64,
    gone: Option<u64>,
    failed: Option<u64>,
}

#[derive(Debug, Default)]
pub struct Cloud {
    machines: BTreeMap<MachineId, Rented>,
    claims: BTreeMap<String, Vec<MachineId>>,
    pub outage: bool,
    /// Machines given out in one answer at most, if more than 4.
    pub generous: u32,
    /// Sabotage: answers 200 to a release and leaves the machine running.
    pub lazy: bool,
}

pub fn types() -> Vec<MachineType> {
    serde_json::from_str(
        r#"[{"name":"small","vcpus":8,"accelerators":2,"memory_gb":16,"hourly":3.0,"low_price":1.0,"ready_s":3,"regions":["z0","z1","z2"]},
            {"name":"big","vcpus":16,"accelerators":4,"memory_gb":64,"hourly":5.0,"low_price":2.0,"ready_s":5,"regions":["z0","z1"]}]"#,
    )
    .expect("valid")
}

impl Cloud {
    pub fn fail(&mut self, id: &MachineId, now: u64) {
        if let Some(m) = self.machines.get_mut(id) {
            m.failed = Some(now);
        }
    }
    pub fn take(&mut self, id: &MachineId, now: u64) {
        if let Some(m) = self.machines.get_mut(id) {
            m.gone = Some(now);
        }
    }
}

impl Simulation {
    pub fn cloud_request(&mut self, from: usize, life: u64, request_id: RequestId, request: CloudRequest) {
        let reply = if self.cloud.outage { CloudReply::Refused } else { self.cloud_answer(request) };
        self.send(
            Host::Cloud,
            Host::Node(from),
            Event::Input(from, life, Input::Cloud { request_id, reply }),
        );
    }

    fn cloud_answer(&mut self, request: CloudRequest) -> CloudReply {
        let now = self.now;
        match request {
            CloudRequest::Types => CloudReply::Types(types()),
            CloudRequest::Rent { claim, type_name, zone, spot, number } => {
                if let Some(ids) = self.cloud.claims.get(&claim) {
                    return CloudReply::Rented(ids.clone());
                }
                if self.rng.random_bool(0.2) {
                    return CloudReply::NoCapacity;
                }
                let mut ids = Vec::new();
                for _ in 0..number.min(self.cloud.generous.max(4)) {
                    let n = self.workers.len();
                    let id = MachineId::from(format!("m-{n:06}").as_str());
                    let listed = ListedMachine {
                        id: id.clone(),
                        addr: Some(format!("10.1.{}.{}:9000", n / 200, n % 200)),
                        type_name: type_name.clone(),
                        zone: zone.clone(),
                        spot,
                        phase: MachinePhase::Booting,
                        age_s: 0.0,
                    };
                    self.cloud.machines.insert(
                        id.clone(),
                        Rented { listed: listed.clone(), at: now, gone: None, failed: None },
                    );
                    self.add_worker(&listed);
                    ids.push(id);
                }
                self.cloud.claims.insert(claim, ids.clone());
                CloudReply::Rented(ids)
            }
            CloudRequest::Release { machines } => {
                for id in machines {
                    self.cloud.take(&id, now);
                    let Some(m) = self.workers.iter().position(|w| w.id == id) else { continue };
                    if self.is_at_work(m) {
                        self.needless.push(format!("at {now} ms: {id} is returned with work on it"));
                    }
                    if !self.cloud.lazy {
                        self.machine_ends(m);
                    }
                }
                CloudReply::Released
            }
            CloudRequest::List { after, most } => {
                let at = now.saturating_sub(self.rng_ms(LAG, 2 * LAG));
                let mut machines: Vec<ListedMachine> = self
                    .cloud
                    .machines
                    .values()
                    .filter(|m| m.at <= at && m.gone.is_none_or(|g| g > at))
                    .filter(|m| after.as_ref().is_none_or(|a| m.listed.id > *a))
                    .map(|m| {
                        let mut listed = m.listed.clone();
                        let booted = self.workers.iter().any(|w| w.id == listed.id && w.boots_at <= at);
                        listed.phase = match m.failed {
                            Some(t) if t <= at => MachinePhase::Failed,
                            _ if booted => MachinePhase::Running,
                            _ => MachinePhase::Booting,
                        };
                        listed
                    })
                    .collect();
                let more = machines.len() > most as usize;
                machines.truncate(most as usize);
                CloudReply::Listed { machines, more }
            }
        }
    }
}
