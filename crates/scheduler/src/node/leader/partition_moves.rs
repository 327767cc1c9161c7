//! Moves machines between the controllers' partitions so that a request fits the partition of the
//! controller that places it.

use super::Leader;
use super::candidates::Candidates;
use crate::jobs::{JobType, WaitingReason};
use crate::placement::{MachineView, PlacementRequest};
use crate::types::{NodeName, Zone};
use std::collections::BTreeMap;

/// A request of the current pass, and the capacity that it needs in its controller's partition.
pub(super) struct Claim {
    node: NodeName,
    request: PlacementRequest,
    /// Slots for the request in the partition beyond its number of tasks.
    spare: u32,
}

/// How many tasks of a request fit the machines of each zone.
type SlotsByZone<'a> = BTreeMap<&'a Zone, u32>;

/// Where a request's tasks would fit.
struct Fit<'a> {
    /// Slots in its controller's partition.
    in_partition: SlotsByZone<'a>,
    /// Slots in the partition and on machines that may be moved to it.
    with_moves: SlotsByZone<'a>,
    /// Machines that may be moved, as indices into the candidates.
    movable: Vec<usize>,
}

impl Leader {
    /// Whether the request fits its controller's partition. If it does not, suitable machines are moved
    /// there from partitions without a round in progress. If it still does not fit, it waits.
    ///
    /// Machines that an earlier and thus more urgent request of the same pass needs are not moved.
    /// Otherwise the only machine with free resources moves from partition to partition, and the
    /// least urgent request gets it.
    pub(super) fn fit_into_partition(
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
        let mut slots: u32 = fit.in_partition.values().sum();
        if usable_slots(&fit.in_partition, request) < needed {
            let Some(job_state) = self.job_states.get_mut(&request.job) else { return false };
            if usable_slots(&fit.with_moves, request) < needed {
                // With an incomplete set of candidates, the request may still fit another machine.
                if candidates.complete {
                    job_state.failed_capacity_version = self.capacity_version;
                }
                job_state.reason = WaitingReason::NoCapacity;
                return false;
            }
            job_state.reason = WaitingReason::PartitionMove;
            let largest_zone =
                || fit.with_moves.iter().max_by_key(|(_, slots)| **slots).map(|(zone, _)| (*zone).clone());
            let only_zone = if gang && request.together { largest_zone() } else { None };
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
        let mut fit = Fit { in_partition: BTreeMap::new(), with_moves: BTreeMap::new(), movable: Vec::new() };
        for (index, candidate) in candidates.machines.iter().enumerate() {
            let view = &candidate.view;
            if !request.allows(view) {
                continue;
            }
            let slots = view.free.count_of(&request.resources);
            match &candidate.owner {
                Some(owner) if owner == node => *fit.in_partition.entry(&view.zone).or_default() += slots,
                Some(owner) if self.rounds.is_pending_at(owner) || is_claimed(claims, owner, view) => {
                    continue;
                }
                _ => fit.movable.push(index),
            }
            *fit.with_moves.entry(&view.zone).or_default() += slots;
        }
        fit
    }

    /// Moves machines to the controller's partition, and returns the slots gained. Moves all machines in
    /// `movable` for a gang, and for other jobs at most one per task.
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
            // Each move takes spare slots from the claims of the partition, so the next machine may be
            // claimed by then.
            let owner = candidate.owner.as_ref();
            if moved >= max_moves || owner.is_some_and(|owner| is_claimed(claims, owner, view)) {
                continue;
            }
            for claim in claims.iter_mut().filter(|claim| Some(&claim.node) == owner) {
                claim.subtract(view);
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
    /// Subtracts the slots of a machine that leaves the partition.
    fn subtract(&mut self, view: &MachineView) {
        if self.request.allows(view) {
            self.spare -= view.free.count_of(&self.request.resources);
        }
    }
}

/// The number of slots that the request can use: in each zone at most the tasks that the zone may still
/// take; for a gang with `together`, the slots of the best zone only.
fn usable_slots(slots: &SlotsByZone, request: &PlacementRequest) -> u32 {
    let max_in = |zone: &Zone| request.zones.iter().find(|(name, _)| name == zone).map_or(0, |(_, max)| *max);
    let usable = slots.iter().map(|(zone, slots)| (*slots).min(max_in(zone)));
    if request.job_type == JobType::Gang && request.together {
        usable.max().unwrap_or(0)
    } else {
        usable.sum()
    }
}

/// Whether an earlier request in the partition of `owner` would have too few slots without this machine.
fn is_claimed(claims: &[Claim], owner: &NodeName, view: &MachineView) -> bool {
    claims
        .iter()
        .filter(|claim| claim.node == *owner && claim.request.allows(view))
        .any(|claim| claim.spare < view.free.count_of(&claim.request.resources))
}
