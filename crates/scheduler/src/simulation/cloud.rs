//! The simulated cloud.

use super::Simulation;
use super::links::Host;
use super::nodes::Caller;
use super::workers::Worker;
use crate::node::Input;
use crate::types::{MachineId, TypeName, Zone};
use crate::wire::cloud::{CloudReply, CloudRequest, ListedMachine, MachinePhase, MachineType};
use rand::RngExt;
use std::collections::BTreeMap;

/// The smallest age of a list of machines, in milliseconds. The largest is twice this.
const LIST_LAG_MS: u64 = 4_000;
/// The share of rent requests that fail for lack of capacity.
const NO_CAPACITY_SHARE: f64 = 0.2;
/// The lower bound of [`Cloud::max_machines_per_request`].
const MIN_MACHINES_PER_REQUEST: u32 = 4;

/// A rented machine, with times in milliseconds.
#[derive(Debug, Clone)]
struct Rented {
    listed: ListedMachine,
    rented_at: u64,
    /// When the machine was released or preempted.
    gone_at: Option<u64>,
    failed_at: Option<u64>,
}

impl Rented {
    fn is_listed(&self, at_ms: u64) -> bool {
        self.rented_at <= at_ms && self.gone_at.is_none_or(|gone_at| gone_at > at_ms)
    }
}

/// The rented machines and the cloud's faults.
#[derive(Debug, Default)]
pub struct Cloud {
    machines: BTreeMap<MachineId, Rented>,
    /// The machines rented for each claim: a repeated request gets the same machines.
    claims: BTreeMap<String, Vec<MachineId>>,
    /// Whether every request is refused.
    pub outage: bool,
    /// Whether the cloud has no machine left to rent.
    pub is_full: bool,
    /// The largest number of machines per rent request; values below 4 mean 4.
    pub max_machines_per_request: u32,
    /// Injected fault: confirms a release but leaves the machine running.
    pub ignores_releases: bool,
}

/// Returns the machine types that the cloud offers.
pub fn types() -> Vec<MachineType> {
    serde_json::from_str(
        r#"[{"name":"small","vcpus":8,"accelerators":2,"memory_gb":16,"hourly":3.0,"low_price":1.0,"ready_s":3,"regions":["z0","z1","z2"]},
            {"name":"big","vcpus":16,"accelerators":4,"memory_gb":64,"hourly":5.0,"low_price":2.0,"ready_s":5,"regions":["z0","z1"]}]"#,
    )
    .expect("the machine types are valid JSON")
}

impl Cloud {
    /// Marks a machine as failed in later lists.
    pub fn mark_failed(&mut self, id: &MachineId, now: u64) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.failed_at = Some(now);
        }
    }

    /// Removes a machine from later lists.
    pub fn mark_gone(&mut self, id: &MachineId, now: u64) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.gone_at = Some(now);
        }
    }
}

impl Simulation {
    /// Carries out a node's request and sends the answer.
    pub(super) fn cloud_request(&mut self, caller: Caller, request: CloudRequest) {
        let reply = if self.cloud.outage { CloudReply::Refused } else { self.cloud_answer(request) };
        let answer = caller.input(Input::Cloud { request_id: caller.request_id, reply });
        self.send(Host::Cloud, Host::Node(caller.node), answer);
    }

    fn cloud_answer(&mut self, request: CloudRequest) -> CloudReply {
        match request {
            CloudRequest::Types => CloudReply::Types(types()),
            CloudRequest::Rent { claim, type_name, zone, spot, number } => {
                if let Some(ids) = self.cloud.claims.get(&claim) {
                    return CloudReply::Rented(ids.clone());
                }
                if self.cloud.is_full || self.rng.random_bool(NO_CAPACITY_SHARE) {
                    return CloudReply::NoCapacity;
                }
                let number = number.min(self.cloud.max_machines_per_request.max(MIN_MACHINES_PER_REQUEST));
                let ids: Vec<MachineId> =
                    (0..number).map(|_| self.rent_machine(&type_name, &zone, spot)).collect();
                self.cloud.claims.insert(claim, ids.clone());
                CloudReply::Rented(ids)
            }
            CloudRequest::Release { machines } => {
                machines.iter().for_each(|id| self.release_machine(id));
                CloudReply::Released
            }
            CloudRequest::List { after, limit } => self.list_machines(after.as_ref(), limit as usize),
        }
    }

    fn rent_machine(&mut self, type_name: &TypeName, zone: &Zone, spot: bool) -> MachineId {
        let number = self.workers.len();
        let id = MachineId::from(format!("m-{number:06}").as_str());
        let listed = ListedMachine {
            id: id.clone(),
            addr: Some(format!("10.1.{}.{}:9000", number / 200, number % 200)),
            type_name: type_name.clone(),
            zone: zone.clone(),
            spot,
            phase: MachinePhase::Booting,
            age_s: 0.0,
        };
        self.add_worker(&listed);
        let rented = Rented { listed, rented_at: self.now, gone_at: None, failed_at: None };
        self.cloud.machines.insert(id.clone(), rented);
        id
    }

    /// Releases a machine. If it runs wanted tasks, the leader had no reason to return it, which is recorded.
    fn release_machine(&mut self, id: &MachineId) {
        let now = self.now;
        self.cloud.mark_gone(id, now);
        let Some(machine) = self.workers.iter().position(|worker| worker.id == *id) else { return };
        if self.runs_wanted_tasks(machine) {
            self.needless_returns.push(format!("at {now} ms: {id} is returned while it runs wanted tasks"));
        }
        if !self.cloud.ignores_releases {
            self.end_machine(machine);
        }
    }

    /// Lists the machines as they were a few seconds ago.
    fn list_machines(&mut self, after: Option<&MachineId>, most: usize) -> CloudReply {
        let at_ms = self.now.saturating_sub(self.rng_ms(LIST_LAG_MS, 2 * LIST_LAG_MS));
        let mut machines: Vec<ListedMachine> = self
            .cloud
            .machines
            .values()
            .filter(|rented| rented.is_listed(at_ms))
            .filter(|rented| after.is_none_or(|after| rented.listed.id > *after))
            .map(|rented| ListedMachine { phase: self.phase(rented, at_ms), ..rented.listed.clone() })
            .collect();
        let more = machines.len() > most;
        machines.truncate(most);
        CloudReply::Listed { machines, more }
    }

    fn phase(&self, rented: &Rented, at_ms: u64) -> MachinePhase {
        if rented.failed_at.is_some_and(|failed_at| failed_at <= at_ms) {
            return MachinePhase::Failed;
        }
        let is_up = |worker: &Worker| worker.id == rented.listed.id && worker.boots_at <= at_ms;
        if self.workers.iter().any(is_up) { MachinePhase::Running } else { MachinePhase::Booting }
    }
}
