//! Free resources that are temporarily reserved for a job: for gangs until their remaining machines are
//! up, and for replicas of services on machines that have their image.

use super::Leader;
use super::candidates::Candidates;
use super::preemption::{PREEMPT_RETRY, Preemption};
use crate::placement::PlacementRequest;
use crate::types::{Duration, MonotonicTime, Zone};
use crate::wire::cloud::MachineType;
use crate::workers::{CapacityHold, Machine, MachineStatus};
use pearford_recovery::LeaderAction;
use std::collections::BTreeMap;

/// Duration of an image fetch, in seconds, above which less urgent tasks are preempted on machines that
/// have the image.
const MIN_FETCH_TO_PREEMPT_S: f64 = 5.0;
/// A booting machine counts for a gang from this long before the end of its expected boot time until this
/// long after it.
const BOOT_TIME_TOLERANCE: Duration = Duration::from_millis(10_000);
/// How long one hold reserves a free machine for a gang; each pass that considers the gang renews it.
const GANG_HOLD: Duration = Duration::from_millis(2000);

/// How many tasks of a gang fit the machines of a zone.
#[derive(Default)]
struct GangSlots {
    /// On machines that are up.
    free: u32,
    /// On machines that are booting.
    booting: u32,
}

impl GangSlots {
    /// Whether a part of the gang fits now, and all of it once the booting machines are up.
    fn suffice(&self, needed: u32) -> bool {
        self.free > 0 && self.free + self.booting >= needed
    }
}

impl Leader {
    /// Holds free machines for a gang that fits as soon as the booting machines are up. Without this,
    /// small tasks take the machines rented for the gang one by one as they come up.
    pub(super) fn hold_machines_for_gang(
        &mut self,
        request: &PlacementRequest,
        candidates: &mut Candidates,
        now: MonotonicTime,
    ) {
        // Holding machines idle pays only if some machine type takes longer to boot than the gang may wait.
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
                    Some(CapacityHold { job: request.job.clone(), until: now + GANG_HOLD });
            }
        }
    }

    /// How many of the gang's tasks fit each zone now, and on machines that will be up soon.
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
                zone.booting += machine.total.count_of(&request.resources);
            }
        }
        slots
    }

    /// Whether the machine is booting and is expected to be up soon. One that is long overdue may never be.
    fn is_nearly_up(&self, machine: &Machine, now: MonotonicTime) -> bool {
        if machine.status != MachineStatus::Booting {
            return false;
        }
        let machine_type = self.instance_offers.type_of(&machine.type_name);
        let up_at = machine.rented_at + machine_type.map(MachineType::boot).unwrap_or_default();
        now + BOOT_TIME_TOLERANCE >= up_at && now < up_at + BOOT_TIME_TOLERANCE
    }

    /// Decides how many replicas are not offered now because they wait for preempted resources on machines
    /// with their image: fetching the image elsewhere takes longer than stopping less urgent tasks. Preempts
    /// those tasks if necessary, and returns the number of replicas that wait. `searches_left` counts
    /// the searches of all machines that this pass may still make.
    pub(super) fn withhold_for_image(
        &mut self,
        request: &PlacementRequest,
        candidates: &Candidates,
        searches_left: &mut usize,
        now: MonotonicTime,
    ) -> u32 {
        let tasks = request.tasks.len() as u32;
        let free_slots = slots_with_image(request, candidates);
        let Some(job_state) = self.job_states.get_mut(&request.job) else { return 0 };
        if job_state.preempting_until.is_none_or(|until| now >= until) {
            job_state.awaiting_preemption = 0;
        }
        let no_preemption_pending =
            job_state.awaiting_preemption == 0 && job_state.preempting_until.is_none();
        if no_preemption_pending
            && free_slots < tasks
            && *searches_left > 0
            && self.is_fetch_worth_preempting(request)
            && self.heartbeat_collection.allows(LeaderAction::Preempt)
        {
            *searches_left -= 1;
            self.preempt_on_machines_with_image(request, tasks - free_slots, now);
        }
        let awaiting = self.job_states.get(&request.job).map_or(0, |job_state| job_state.awaiting_preemption);
        awaiting.saturating_sub(free_slots).min(tasks)
    }

    fn is_fetch_worth_preempting(&self, request: &PlacementRequest) -> bool {
        let rates = self.instance_offers.types.iter().map(|machine_type| machine_type.fetch_gb_per_s);
        let rate = rates.fold(0.0, f64::max);
        rate > 0.0 && request.image_gb / rate > MIN_FETCH_TO_PREEMPT_S
    }

    /// Preempts less urgent tasks on machines with the request's image, for `missing` of its tasks.
    fn preempt_on_machines_with_image(
        &mut self,
        request: &PlacementRequest,
        missing: u32,
        now: MonotonicTime,
    ) {
        let Some(job_state) = self.job_states.get(&request.job) else { return };
        let spec = job_state.job.spec.clone();
        let mut missing_request = request.clone();
        missing_request.tasks.truncate(missing as usize);
        let freed = self.free_by_preemption(&missing_request, &spec, Preemption::WithImage, now);
        if let Some(job_state) = self.job_states.get_mut(&request.job) {
            job_state.awaiting_preemption = freed;
            if freed == 0 {
                job_state.preempting_until = Some(now + PREEMPT_RETRY);
            }
        }
    }
}

/// Whether the request may use machines of this type, market (spot or on-demand) and zone.
pub(super) fn allows_machine(request: &PlacementRequest, machine: &Machine) -> bool {
    request.types.as_ref().is_none_or(|types| types.contains(&machine.type_name))
        && (request.spot || !machine.spot)
        && request.zones.iter().any(|(zone, left)| *zone == machine.zone && *left > 0)
}

/// Zones whose free machines are held for the gang; none if it will not fit soon.
fn zones_for_gang(request: &PlacementRequest, slots: BTreeMap<Zone, GangSlots>, needed: u32) -> Vec<Zone> {
    if request.together {
        let sufficient = slots.into_iter().filter(|(_, slots)| slots.suffice(needed));
        return sufficient.max_by_key(|(_, slots)| slots.free).map(|(zone, _)| zone).into_iter().collect();
    }
    let all = GangSlots {
        free: slots.values().map(|slots| slots.free).sum(),
        booting: slots.values().map(|slots| slots.booting).sum(),
    };
    if all.suffice(needed) { slots.into_keys().collect() } else { Vec::new() }
}

/// How many of the request's tasks fit the free resources of machines that have its image.
fn slots_with_image(request: &PlacementRequest, candidates: &Candidates) -> u32 {
    let with_image =
        candidates.views().filter(|view| request.allows(view) && view.images.contains(&request.image));
    with_image.map(|view| view.free.count_of(&request.resources)).sum()
}
