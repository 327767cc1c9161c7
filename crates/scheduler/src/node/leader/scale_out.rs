//! Scale out: determines the capacity that waiting tasks need, subtracts the capacity that is already
//! incoming, and rents machines for the rest.

use super::Leader;
use super::cloud_calls::{CloudCall, PlannedCall};
use super::scale_in::begin_return;
use crate::assignments;
use crate::autoscaler::{CapacityRequest, IncomingCapacity, InstanceOffer, Rental};
use crate::jobs::{JobState, JobType};
use crate::types::{Duration, JobId, MachineId, MonotonicTime, Resources, TeamName, Zone};
use crate::wire::cloud::{CloudRequest, ListedMachine, MachinePhase, MachineType};
use crate::workers::{Machine, MachineStatus};
use pearford_recovery::LeaderAction;
use std::collections::BTreeMap;

/// After planning rentals, at least this multiple of its duration is left to other work.
pub(super) const PLANNING_REST_FACTOR: f64 = 9.0;
/// Maximum number of waiting tasks for which rentals are planned at a time.
const MAX_WAITING_TASKS: u32 = 20_000;
/// How long after a failover a new leader rents no machines.
const RENT_DELAY_AFTER_FAILOVER: Duration = Duration::from_millis(2000);
/// A machine may lack this many GPUs through rounding and still count as having enough.
const GPU_TOLERANCE: f64 = 1e-6;

/// An offer and the free CPUs, GPUs and memory in thousandths, by which machines are grouped.
type CapacityGroup = (InstanceOffer, [u64; 3]);

/// Incoming capacity, grouped by offer and free resources.
#[derive(Default)]
struct IncomingGroups {
    groups: BTreeMap<CapacityGroup, IncomingCapacity>,
}

impl IncomingGroups {
    fn add(&mut self, offer: InstanceOffer, free: Resources, number: u32) {
        let thousandths =
            [free.cpus, free.gpus, free.memory_gb].map(|amount| (amount.max(0.0) * 1000.0) as u64);
        let new = IncomingCapacity { offer: offer.clone(), free, number: 0 };
        self.groups.entry((offer, thousandths)).or_insert(new).number += number;
    }

    /// All groups, those with the fewest free GPUs first, so that empty machines remain for requests that
    /// need a whole machine.
    fn into_sorted(self) -> Vec<IncomingCapacity> {
        let mut incoming: Vec<IncomingCapacity> = self.groups.into_values().collect();
        incoming.sort_by(|first, second| first.free.gpus.total_cmp(&second.free.gpus));
        incoming
    }
}

impl Leader {
    /// The calls to the cloud that rent machines now.
    pub(super) fn plan_rentals(&mut self, now: MonotonicTime) -> Vec<PlannedCall> {
        if !self.heartbeat_collection.allows(LeaderAction::ScaleOut)
            || !self.cloud.may_rent(now)
            || now.since(self.since) < RENT_DELAY_AFTER_FAILOVER
            || self.instance_offers.types.is_empty()
        {
            return Vec::new();
        }
        self.rental_pacer.begin(now);
        let mut requests = self.capacity_requests(now);
        requests.iter_mut().for_each(|request| self.avoid_unreachable_zones(request));
        if requests.is_empty() {
            return Vec::new();
        }
        let incoming = self.incoming_capacity(&requests, now);
        let mut machines_by_zone: BTreeMap<Zone, u32> = BTreeMap::new();
        for machine in self.machines.iter() {
            *machines_by_zone.entry(machine.zone.clone()).or_default() += 1;
        }
        let mut calls = Vec::new();
        for Rental { offer, number } in self.instance_offers.plan(requests, incoming, &machines_by_zone, now)
        {
            if !self.cloud.take_call(now) {
                break;
            }
            calls.push(self.rental_call(offer, number));
        }
        calls
    }

    fn rental_call(&mut self, offer: InstanceOffer, number: u32) -> PlannedCall {
        let number = number.min(self.settings.operator.rent_at_most);
        let request = CloudRequest::Rent {
            claim: self.instance_offers.claim(self.fencing_token),
            type_name: offer.type_name.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
            number,
        };
        PlannedCall { request, call: CloudCall::Rent { offer, number } }
    }

    /// Removes unreachable zones from the request, since machines rented there can't be used. The request is
    /// left unchanged if it may use no other zone.
    fn avoid_unreachable_zones(&self, request: &mut CapacityRequest) {
        if request.zones.iter().any(|(zone, left)| *left > 0 && !self.isolation.is_zone_unreachable(zone)) {
            request.zones.retain(|(zone, _)| !self.isolation.is_zone_unreachable(zone));
        }
    }

    /// Capacity that will be available without further rentals.
    fn incoming_capacity(&self, requests: &[CapacityRequest], now: MonotonicTime) -> Vec<IncomingCapacity> {
        let least_gpus = requests.iter().map(|request| request.resources.gpus).fold(f64::MAX, f64::min);
        let mut groups = IncomingGroups::default();
        for machine in self.machines.iter() {
            // Right after a failover most machines have not sent a heartbeat to this leader yet; their
            // resources will be available once they have.
            let unreported = machine.status == MachineStatus::Up && !machine.has_reported();
            let usable =
                machine.status == MachineStatus::Booting || unreported || machine.is_schedulable(now);
            if machine.free().gpus + GPU_TOLERANCE >= least_gpus && usable {
                groups.add(offer_of(machine), machine.free(), 1);
            }
        }
        for (offer, number) in self.cloud.open_rentals() {
            if let Some(machine_type) = self.instance_offers.type_of(&offer.type_name) {
                groups.add(offer.clone(), machine_type.resources(), number);
            }
        }
        groups.into_sorted()
    }

    /// Requests for the capacity that waiting tasks need, most urgent first, within the teams' limits.
    fn capacity_requests(&mut self, now: MonotonicTime) -> Vec<CapacityRequest> {
        let guaranteed = self.guaranteed_jobs();
        let mut waiting: Vec<(&JobId, &JobState)> = self
            .job_states
            .iter()
            .filter(|(_, job_state)| {
                job_state.waiting_count() > 0 && !job_state.finishing && job_state.not_before <= now
            })
            .collect();
        waiting.sort_by_cached_key(|(id, job_state)| self.scheduling_order(id, job_state, &guaranteed));
        let mut used = self.machines.used_by_teams().clone();
        let mut left = MAX_WAITING_TASKS;
        let mut requests = Vec::new();
        for (id, job_state) in waiting {
            if let Some(request) = self.capacity_request(id, job_state, left, &mut used) {
                left -= request.tasks;
                requests.push(request);
            }
        }
        self.limit_patience(&mut requests);
        requests
    }

    /// The capacity that a job's waiting tasks need, for at most `max_tasks` of them. Adds the resources of
    /// the request to `used`.
    fn capacity_request(
        &self,
        id: &JobId,
        job_state: &JobState,
        max_tasks: u32,
        used: &mut BTreeMap<TeamName, Resources>,
    ) -> Option<CapacityRequest> {
        let spec = &job_state.job.spec;
        let team = self.settings.teams.get(&spec.team)?;
        let sum = used.entry(spec.team.clone()).or_default();
        let within_limit = assignments::tasks_within_limit(team, sum, &spec.resources);
        let tasks = within_limit.min(job_state.waiting_count()).min(max_tasks);
        if tasks == 0 || (job_state.is_gang() && tasks < spec.tasks) {
            return None;
        }
        *sum = sum.plus(&spec.resources.times(f64::from(tasks)));
        Some(CapacityRequest {
            tasks,
            resources: spec.resources,
            types: spec.types.clone(),
            spot: spec.spot,
            zones: self.zone_capacity(id, job_state),
            together: spec.together,
            price_capped: spec.job_type == JobType::Array && spec.estimate.0 > 0,
        })
    }

    /// Clears `price_capped` unless the waiting tasks of arrays will get slots soon. Array tasks reuse the slots
    /// of finished ones. If all waiting tasks can finish on the present and booting slots before a new
    /// machine could boot and finish a task, they need no expensive machines. Otherwise they do not
    /// wait for cheap ones.
    fn limit_patience(&self, requests: &mut [CapacityRequest]) {
        let arrays =
            || self.job_states.values().filter(|job_state| job_state.job.spec.job_type == JobType::Array);
        let mut waiting = 0.0;
        let mut work_s = 0.0;
        for job_state in arrays() {
            let tasks = f64::from(job_state.waiting_count());
            waiting += tasks;
            work_s += tasks * job_state.job.spec.estimate.as_secs_f64();
        }
        let first_price_capped = requests.iter().find(|request| request.price_capped);
        let Some(resources) = first_price_capped.map(|request| request.resources) else { return };
        let placed: usize = arrays().map(|job_state| job_state.placed().len()).sum();
        let booting = self.machines.iter().filter(|machine| machine.status == MachineStatus::Booting);
        let booting_slots: u32 = booting.map(|machine| machine.free().count_of(&resources)).sum();
        let slots = (placed as f64 + f64::from(booting_slots)).max(1.0);
        let types = self.instance_offers.types.iter();
        let boot_s = types.map(|machine_type| machine_type.boot_s).fold(0.0, f64::max);
        let mean_task_s = if waiting > 0.0 { work_s / waiting } else { 0.0 };
        let finish_soon = work_s / slots <= boot_s + mean_task_s;
        for request in requests {
            request.price_capped &= finish_soon;
        }
    }

    /// Adds a machine that the cloud has rented or that appears in its list for the first time. Ignores
    /// returned and known machines, and those of unknown type.
    pub(super) fn add_rented_machine(&mut self, id: MachineId, offer: &InstanceOffer, now: MonotonicTime) {
        if self.machines.was_returned(&id) || self.machines.contains(&id) {
            return;
        }
        let machine_type = self.instance_offers.type_of(&offer.type_name);
        let Some(total) = machine_type.map(MachineType::resources) else { return };
        let type_name = offer.type_name.clone();
        self.machines.insert(Machine::new(id.clone(), type_name, offer.zone.clone(), offer.spot, total, now));
        self.commits.mark_changed(id);
    }

    /// Processes a machine in the cloud's list: adds it if it is unknown, and returns it if it has failed.
    pub(super) fn process_listed_machine(&mut self, listed: ListedMachine, now: MonotonicTime) {
        if self.machines.was_returned(&listed.id) {
            return;
        }
        if !self.machines.contains(&listed.id) {
            let offer = InstanceOffer { type_name: listed.type_name, zone: listed.zone, spot: listed.spot };
            self.add_rented_machine(listed.id.clone(), &offer, now);
        }
        let Some(machine) = self.machines.get_mut(&listed.id) else { return };
        if machine.addr.is_none() {
            machine.addr = listed.addr;
        }
        if listed.phase == MachinePhase::Failed && machine.status != MachineStatus::Releasing {
            tracing::warn!(machine = %machine.id, "cloud lists the machine as failed; returning it");
            begin_return(machine, &mut self.partitions);
        }
    }
}

fn offer_of(machine: &Machine) -> InstanceOffer {
    InstanceOffer { type_name: machine.type_name.clone(), zone: machine.zone.clone(), spot: machine.spot }
}
