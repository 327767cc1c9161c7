//! Scale out: what waits, what is on its way for it, and what is rented.

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

/// Parts of the time that planning rentals leaves to all else for each part that it takes.
pub(super) const PLANNING_REST: f64 = 9.0;
/// Waiting tasks that rentals are planned for at a time.
const MAX_WAITING_TASKS: u32 = 20_000;
/// Nothing is rented for so long after a failover.
const RENT_AFTER_FAILOVER: Duration = Duration::from_millis(2000);
/// Difference up to which GPUs count as enough.
const GPU_TOLERANCE: f64 = 1e-6;

/// Machines of one offer with the same free resources, in thousandths.
type CapacityGroup = (InstanceOffer, [u64; 3]);

/// Capacity on its way, grouped.
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

    /// All groups, small gaps first: whole machines stay for those that need them whole.
    fn into_sorted(self) -> Vec<IncomingCapacity> {
        let mut incoming: Vec<IncomingCapacity> = self.groups.into_values().collect();
        incoming.sort_by(|first, second| first.free.gpus.total_cmp(&second.free.gpus));
        incoming
    }
}

impl Leader {
    /// The calls that rent machines now.
    pub(super) fn plan_rentals(&mut self, now: MonotonicTime) -> Vec<PlannedCall> {
        if !self.heartbeat_collection.allows(LeaderAction::ScaleOut)
            || !self.cloud.may_rent(now)
            || now.since(self.since) < RENT_AFTER_FAILOVER
            || self.instance_offers.types.is_empty()
        {
            return Vec::new();
        }
        self.rental_pacer.begin(now);
        let mut requests = self.capacity_requests(now);
        requests.iter_mut().for_each(|request| self.avoid_cut_zones(request));
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
            calls.push(self.rental(offer, number));
        }
        calls
    }

    fn rental(&mut self, offer: InstanceOffer, number: u32) -> PlannedCall {
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

    /// What is rented in a zone that is cut off can't be used: the request takes others, if it may.
    fn avoid_cut_zones(&self, request: &mut CapacityRequest) {
        if request.zones.iter().any(|(zone, left)| *left > 0 && !self.isolation.is_zone_unreachable(zone)) {
            request.zones.retain(|(zone, _)| !self.isolation.is_zone_unreachable(zone));
        }
    }

    /// Capacity that will be there without further rentals.
    fn incoming_capacity(&self, requests: &[CapacityRequest], now: MonotonicTime) -> Vec<IncomingCapacity> {
        let least_gpus = requests.iter().map(|request| request.resources.gpus).fold(f64::MAX, f64::min);
        let mut groups = IncomingGroups::default();
        for machine in self.machines.iter() {
            // Just after a failover most have not been heard yet; their resources will be there.
            let unheard = machine.status == MachineStatus::Up && !machine.has_reported();
            let usable = machine.status == MachineStatus::Booting || unheard || machine.is_schedulable(now);
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

    /// All that waits, most urgent first, as far as teams' limits allow.
    fn capacity_requests(&mut self, now: MonotonicTime) -> Vec<CapacityRequest> {
        let guaranteed = self.guaranteed_jobs();
        let mut waiting: Vec<(&JobId, &JobState)> = self
            .job_states
            .iter()
            .filter(|(_, job_state)| {
                job_state.waiting_count() > 0 && !job_state.finishing && job_state.not_before <= now
            })
            .collect();
        waiting.sort_by_cached_key(|(id, job_state)| self.service_order(id, job_state, &guaranteed));
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

    /// What a job's waiting tasks need, `max_tasks` at most; it is added to `used`.
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
            patient: spec.job_type == JobType::Array && spec.estimate.0 > 0,
        })
    }

    /// Tasks of arrays follow one another on the same slots. While those that wait will get one
    /// sooner than a new machine would be up and done with its first, they needn't have expensive
    /// machines; otherwise they don't wait for cheap ones.
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
        let patient = requests.iter().find(|request| request.patient);
        let Some(resources) = patient.map(|request| request.resources) else { return };
        let placed: usize = arrays().map(|job_state| job_state.placed().len()).sum();
        let booting = self.machines.iter().filter(|machine| machine.status == MachineStatus::Booting);
        let incoming: u32 = booting.map(|machine| machine.free().count_of(&resources)).sum();
        let slots = (placed as f64 + f64::from(incoming)).max(1.0);
        let types = self.instance_offers.types.iter();
        let boot_s = types.map(|machine_type| machine_type.boot_s).fold(0.0, f64::max);
        let mean_s = if waiting > 0.0 { work_s / waiting } else { 0.0 };
        let soon = work_s / slots <= boot_s + mean_s;
        for request in requests {
            request.patient &= soon;
        }
    }

    /// The cloud has rented a machine, or lists one that is not known yet.
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

    /// The cloud lists a machine.
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
            tracing::warn!(machine = %machine.id, "machine failed; returning it");
            begin_return(machine, &mut self.partitions);
        }
    }
}

fn offer_of(machine: &Machine) -> InstanceOffer {
    InstanceOffer { type_name: machine.type_name.clone(), zone: machine.zone.clone(), spot: machine.spot }
}
