//! A stand-in of the cloud.

use super::Simulation;
use super::links::Host;
use super::nodes::Caller;
use super::workers::Worker;
use crate::node::Input;
use crate::types::{MachineId, TypeName, Zone};
use crate::wire::cloud::{CloudReply, CloudRequest, ListedMachine, MachinePhase, MachineType};
use rand::RngExt;
use std::collections::BTreeMap;

/// How old a list of machines is at least, in milliseconds; at most twice as old.
const LIST_LAG_MS: u64 = 4_000;
/// The share of requests for machines that the cloud has no capacity for.
const NO_CAPACITY_SHARE: f64 = 0.2;
/// How many machines the cloud rents out for one request, if it isn't more generous.
const LEAST_RENTED_AT_ONCE: u32 = 4;

/// A machine that was rented, with times in milliseconds.
#[derive(Debug, Clone)]
struct Rented {
    listed: ListedMachine,
    rented_at: u64,
    /// When it was returned or taken back.
    gone_at: Option<u64>,
    failed_at: Option<u64>,
}

impl Rented {
    fn is_listed(&self, at_ms: u64) -> bool {
        self.rented_at <= at_ms && self.gone_at.is_none_or(|gone_at| gone_at > at_ms)
    }
}

/// The machines that the cloud rents out, and its faults.
#[derive(Debug, Default)]
pub struct Cloud {
    machines: BTreeMap<MachineId, Rented>,
    /// The machines rented for each claim: a repeated request gets the same.
    claims: BTreeMap<String, Vec<MachineId>>,
    /// Every request is refused.
    pub outage: bool,
    /// Machines rented out for one request at most, if more than 4.
    pub generous: u32,
    /// Injected fault: answers 200 to a release and leaves the machine running.
    pub lazy: bool,
}

/// The machine types that the cloud offers.
pub fn types() -> Vec<MachineType> {
    serde_json::from_str(
        r#"[{"name":"small","vcpus":8,"accelerators":2,"memory_gb":16,"hourly":3.0,"low_price":1.0,"ready_s":3,"regions":["z0","z1","z2"]},
            {"name":"big","vcpus":16,"accelerators":4,"memory_gb":64,"hourly":5.0,"low_price":2.0,"ready_s":5,"regions":["z0","z1"]}]"#,
    )
    .expect("valid")
}

impl Cloud {
    /// A machine has failed, which later lists show.
    pub fn fail(&mut self, id: &MachineId, now: u64) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.failed_at = Some(now);
        }
    }

    /// A machine is gone, and missing from later lists.
    pub fn take(&mut self, id: &MachineId, now: u64) {
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
                if self.rng.random_bool(NO_CAPACITY_SHARE) {
                    return CloudReply::NoCapacity;
                }
                let number = number.min(self.cloud.generous.max(LEAST_RENTED_AT_ONCE));
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

    /// Takes a machine back; one at work shows that the leader returned it for no reason.
    fn release_machine(&mut self, id: &MachineId) {
        let now = self.now;
        self.cloud.take(id, now);
        let Some(machine) = self.workers.iter().position(|worker| worker.id == *id) else { return };
        if self.is_at_work(machine) {
            self.needless.push(format!("at {now} ms: {id} is returned with work on it"));
        }
        if !self.cloud.lazy {
            self.machine_ends(machine);
        }
    }

    /// The machines as they were some seconds ago.
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
