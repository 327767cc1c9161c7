//! Free resources that are kept for a job for a while: for gangs until the rest of their machines
//! are there, and for replicas where their image is.

use super::Leader;
use super::candidates::Candidates;
use super::preemption::{PREEMPT_RETRY, Preemption};
use crate::placement::PlacementRequest;
use crate::types::{Duration, MonotonicTime, Zone};
use crate::wire::cloud::MachineType;
use crate::workers::{CapacityHold, Machine, MachineStatus};
use pearford_recovery::LeaderAction;
use std::collections::BTreeMap;

/// Seconds of fetching that are worth stopping less urgent work where the image is.
const IMAGE_WORTH_S: f64 = 5.0;
/// Machines that should be up within this time count as nearly there for a gang.
const HOLD_AHEAD: Duration = Duration::from_millis(10_000);
/// How long free machines are then kept for the gang at a time.
const HOLD_FOR: Duration = Duration::from_millis(2000);

/// Tasks of a gang that fit the machines of a zone.
#[derive(Default)]
struct GangSlots {
    /// On machines that are up.
    free: u32,
    /// On machines that boot.
    soon: u32,
}

impl GangSlots {
    /// Whether the gang fits once the machines that boot are up, and part of it now.
    fn suffice(&self, needed: u32) -> bool {
        self.free > 0 && self.free + self.soon >= needed
    }
}

impl Leader {
    /// Keeps free machines for a gang that fits as soon as others on their way are up: small tasks
    /// took those rented for it one by one as they came.
    pub(super) fn hold_for_gang(
        &mut self,
        request: &PlacementRequest,
        candidates: &mut Candidates,
        now: MonotonicTime,
    ) {
        // Worth idle machines only where the next one could not be up in time.
        let within_s = self.settings.wait_objective(&request.kind, false).unwrap_or(f64::MAX);
        if self.instance_offers.types.iter().all(|machine_type| machine_type.boot_s <= within_s) {
            return;
        }
        let needed = request.tasks.len() as u32;
        let slots = self.gang_slots(request, candidates, now);
        let zones = zones_for_gang(request, slots, needed);
        let mut left = needed;
        for view in candidates.views_mut().filter(|view| zones.contains(&view.zone)) {
            if left == 0 {
                break;
            }
            if !request.allows(view) {
                continue;
            }
            left = left.saturating_sub(view.free.count_of(&request.resources));
            view.held_for = Some(request.job.clone());
            if let Some(machine) = self.machines.get_mut(&view.id) {
                machine.capacity_hold =
                    Some(CapacityHold { job: request.job.clone(), until: now + HOLD_FOR });
            }
        }
    }

    /// Where the gang's tasks fit now, or will soon.
    fn gang_slots(
        &self,
        request: &PlacementRequest,
        candidates: &Candidates,
        now: MonotonicTime,
    ) -> BTreeMap<Zone, GangSlots> {
        let mut slots: BTreeMap<Zone, GangSlots> = BTreeMap::new();
        for view in candidates.views().filter(|view| request.allows(view)) {
            let zone = slots.entry(view.zone.clone()).or_default();
            zone.free += view.free.count_of(&request.resources);
        }
        for machine in self.machines.iter() {
            if self.is_nearly_up(machine, now) && allows_machine(request, machine) {
                let zone = slots.entry(machine.zone.clone()).or_default();
                zone.soon += machine.total.count_of(&request.resources);
            }
        }
        slots
    }

    /// Whether the machine boots and should be up soon. One that is long overdue may never come.
    fn is_nearly_up(&self, machine: &Machine, now: MonotonicTime) -> bool {
        if machine.status != MachineStatus::Booting {
            return false;
        }
        let machine_type = self.instance_offers.type_of(&machine.type_name);
        let up_at = machine.rented_at + machine_type.map(MachineType::boot).unwrap_or_default();
        now + HOLD_AHEAD >= up_at && now < up_at + HOLD_AHEAD
    }

    /// Replicas that should rather wait for resources where their image is than be fetched
    /// elsewhere: a fetch takes longer than less urgent work needs to leave. Gives how many wait
    /// now. `searches_left`: searches of all machines that this pass may still make.
    pub(super) fn keep_for_image(
        &mut self,
        request: &PlacementRequest,
        candidates: &Candidates,
        searches_left: &mut usize,
        now: MonotonicTime,
    ) -> u32 {
        let tasks = request.tasks.len() as u32;
        let ready = slots_with_image(request, candidates);
        let Some(job_state) = self.job_states.get_mut(&request.job) else { return 0 };
        if job_state.preempting_until.is_none_or(|until| now >= until) {
            job_state.awaiting_preemption = 0;
        }
        let nothing_under_way = job_state.awaiting_preemption == 0 && job_state.preempting_until.is_none();
        if nothing_under_way
            && ready < tasks
            && *searches_left > 0
            && self.is_fetch_worth_preempting(request)
            && self.heartbeat_collection.allows(LeaderAction::Preempt)
        {
            *searches_left -= 1;
            self.preempt_where_image_is(request, tasks - ready, now);
        }
        let promised = self.job_states.get(&request.job).map_or(0, |job_state| job_state.awaiting_preemption);
        promised.saturating_sub(ready).min(tasks)
    }

    fn is_fetch_worth_preempting(&self, request: &PlacementRequest) -> bool {
        let rates = self.instance_offers.types.iter().map(|machine_type| machine_type.fetch_gb_per_s);
        let rate = rates.fold(0.0, f64::max);
        rate > 0.0 && request.image_gb / rate > IMAGE_WORTH_S
    }

    /// Has less urgent work stopped for `missing` of the request's tasks on machines with its image.
    fn preempt_where_image_is(&mut self, request: &PlacementRequest, missing: u32, now: MonotonicTime) {
        let Some(job_state) = self.job_states.get(&request.job) else { return };
        let spec = job_state.job.spec.clone();
        let mut missing_request = request.clone();
        missing_request.tasks.truncate(missing as usize);
        let promised = self.free_by_preemption(&missing_request, &spec, Preemption::WithImage, now);
        if let Some(job_state) = self.job_states.get_mut(&request.job) {
            job_state.awaiting_preemption = promised;
            if promised == 0 {
                job_state.preempting_until = Some(now + PREEMPT_RETRY);
            }
        }
    }
}

/// Whether the request may use machines of this type, kind and zone.
pub(super) fn allows_machine(request: &PlacementRequest, machine: &Machine) -> bool {
    request.types.as_ref().is_none_or(|types| types.contains(&machine.type_name))
        && (request.spot || !machine.spot)
        && request.zones.iter().any(|(zone, left)| *zone == machine.zone && *left > 0)
}

/// Zones whose free machines are kept for the gang: none if it won't fit soon.
fn zones_for_gang(request: &PlacementRequest, slots: BTreeMap<Zone, GangSlots>, needed: u32) -> Vec<Zone> {
    if request.together {
        let sufficient = slots.into_iter().filter(|(_, slots)| slots.suffice(needed));
        return sufficient.max_by_key(|(_, slots)| slots.free).map(|(zone, _)| zone).into_iter().collect();
    }
    let all = GangSlots {
        free: slots.values().map(|slots| slots.free).sum(),
        soon: slots.values().map(|slots| slots.soon).sum(),
    };
    if all.suffice(needed) { slots.into_keys().collect() } else { Vec::new() }
}

/// How many of the request's tasks fit machines that have its image.
fn slots_with_image(request: &PlacementRequest, candidates: &Candidates) -> u32 {
    let with_image =
        candidates.views().filter(|view| request.allows(view) && view.images.contains(&request.image));
    with_image.map(|view| view.free.count_of(&request.resources)).sum()
}
