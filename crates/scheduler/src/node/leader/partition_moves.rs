//! Moves machines between controllers' partitions so that waiting work fits its controller's one.

use super::Leader;
use super::candidates::Candidates;
use crate::jobs::{JobType, WaitingReason};
use crate::placement::{MachineView, PlacementRequest};
use crate::types::{NodeName, Zone};
use std::collections::BTreeMap;

/// What a request of the pass under way counts on in its controller's partition.
pub(super) struct Claim {
    node: NodeName,
    request: PlacementRequest,
    /// Slots that the partition has for it beyond what it needs.
    spare: u32,
}

/// Tasks of a request that fit machines, by zone.
type SlotsByZone<'a> = BTreeMap<&'a Zone, u32>;

/// Where a request's tasks would fit.
struct Fit<'a> {
    /// In its controller's partition.
    own: SlotsByZone<'a>,
    /// There and on machines that may be moved there.
    all: SlotsByZone<'a>,
    /// Machines that may be moved, by their place among the candidates.
    movable: Vec<usize>,
}

impl Leader {
    /// Whether the request fits its controller's partition, if need be after moving machines there
    /// that fit it from partitions without a round under way. If not, it waits.
    ///
    /// What an earlier request of the same pass, a more urgent one, counts on stays where it is: a
    /// scarce machine used to go from partition to partition, and the least urgent request had it in
    /// the end (inc-2777).
    pub(super) fn make_fit(
        &mut self,
        node: &NodeName,
        request: &PlacementRequest,
        candidates: &mut Candidates,
        claims: &mut Vec<Claim>,
    ) -> bool {
        // A gang needs resources for all its tasks at once.
        let gang = request.job_type == JobType::Gang;
        let needed = if gang { request.tasks.len() as u32 } else { 1 };
        let fit = self.find_fit(node, request, candidates, claims);
        let mut slots: u32 = fit.own.values().sum();
        if usable_slots(&fit.own, request) < needed {
            let Some(job_state) = self.job_states.get_mut(&request.job) else { return false };
            if usable_slots(&fit.all, request) < needed {
                // Of a part of the machines nothing follows for the rest.
                if candidates.complete {
                    job_state.failed_capacity_version = self.capacity_version;
                }
                job_state.reason = WaitingReason::NoCapacity;
                return false;
            }
            job_state.reason = WaitingReason::MachinesMove;
            let best = || fit.all.iter().max_by_key(|(_, slots)| **slots).map(|(zone, _)| (*zone).clone());
            let only_zone = if gang && request.together { best() } else { None };
            slots += self.move_machines(node, request, candidates, claims, fit.movable, only_zone.as_ref());
        }
        let spare = slots.saturating_sub(request.tasks.len() as u32);
        claims.push(Claim { node: node.clone(), request: request.clone(), spare });
        true
    }

    fn find_fit<'a>(
        &self,
        node: &NodeName,
        request: &PlacementRequest,
        candidates: &'a Candidates,
        claims: &[Claim],
    ) -> Fit<'a> {
        let mut fit = Fit { own: BTreeMap::new(), all: BTreeMap::new(), movable: Vec::new() };
        for (index, candidate) in candidates.machines.iter().enumerate() {
            let view = &candidate.view;
            if !request.allows(view) {
                continue;
            }
            let slots = view.free.count_of(&request.resources);
            match &candidate.owner {
                Some(owner) if owner == node => *fit.own.entry(&view.zone).or_default() += slots,
                Some(owner) if self.rounds.is_pending_at(owner) || is_claimed(claims, owner, view) => {
                    continue;
                }
                _ => fit.movable.push(index),
            }
            *fit.all.entry(&view.zone).or_default() += slots;
        }
        fit
    }

    /// Moves machines to the controller's partition until they hold the request's tasks; gives the
    /// slots gained.
    fn move_machines(
        &mut self,
        node: &NodeName,
        request: &PlacementRequest,
        candidates: &mut Candidates,
        claims: &mut [Claim],
        movable: Vec<usize>,
        only_zone: Option<&Zone>,
    ) -> u32 {
        let gang = request.job_type == JobType::Gang;
        let max_moves = if gang { usize::MAX } else { request.tasks.len() };
        let mut moved = 0;
        let mut slots_gained = 0;
        for index in movable {
            let candidate = &mut candidates.machines[index];
            let view = &candidate.view;
            if only_zone.is_some_and(|zone| *zone != view.zone) {
                continue;
            }
            // Each machine that goes may leave the next one claimed.
            let owner = candidate.owner.as_ref();
            if moved >= max_moves || owner.is_some_and(|owner| is_claimed(claims, owner, view)) {
                continue;
            }
            for claim in claims.iter_mut().filter(|claim| Some(&claim.node) == owner) {
                claim.lose(view);
            }
            slots_gained += view.free.count_of(&request.resources);
            self.partitions.transfer(node, [view.id.clone()]);
            candidate.owner = Some(node.clone());
            moved += 1;
        }
        slots_gained
    }
}

impl Claim {
    /// The machine leaves the partition.
    fn lose(&mut self, view: &MachineView) {
        if self.request.allows(view) {
            self.spare -= view.free.count_of(&self.request.resources);
        }
    }
}

/// Slots count as far as the zone may take tasks of the job; with `together` those of one zone.
fn usable_slots(slots: &SlotsByZone, request: &PlacementRequest) -> u32 {
    let max_in = |zone: &Zone| request.zones.iter().find(|(name, _)| name == zone).map_or(0, |(_, max)| *max);
    let usable = slots.iter().map(|(zone, slots)| (*slots).min(max_in(zone)));
    if request.job_type == JobType::Gang && request.together {
        usable.max().unwrap_or(0)
    } else {
        usable.sum()
    }
}

/// Whether an earlier request of `owner`'s has no more slots than it needs without this machine.
fn is_claimed(claims: &[Claim], owner: &NodeName, view: &MachineView) -> bool {
    claims
        .iter()
        .filter(|claim| claim.node == *owner && claim.request.allows(view))
        .any(|claim| claim.spare < view.free.count_of(&claim.request.resources))
}
