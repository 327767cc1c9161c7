//! Preemption: selects the running tasks that are stopped for more urgent work.
//!
//! Tasks may be stopped for a job of higher priority, and tasks beyond their team's guarantee for another
//! team's job within its guarantee. Replicas of services are never stopped.
//!
//! The leader collects the candidates, [`choose`] picks those that lose the least work, and the leader stops
//! the victims.

use crate::types::{MachineId, Resources, TaskId, Zone};

/// A task that may be stopped.
#[derive(Debug, Clone)]
pub struct Victim {
    /// The task.
    pub task: TaskId,
    /// Resources that it takes on its machine.
    pub resources: Resources,
    /// Work that is lost if it is stopped, in seconds.
    pub loss_s: f64,
}

/// A machine that could hold a waiting task if some victims were stopped.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The machine.
    pub machine: MachineId,
    /// The zone that it is in.
    pub zone: Zone,
    /// Resources that are free, or that are already being freed.
    pub free: Resources,
    /// The tasks that may be stopped there.
    pub victims: Vec<Victim>,
    /// Time to fetch the waiting task's image there, in seconds.
    pub fetch_s: f64,
}

/// Tasks that wait for resources.
#[derive(Debug, Clone)]
pub struct PreemptionRequest<'a> {
    /// Resources that each task takes on its machine.
    pub resources: &'a Resources,
    /// Number of waiting tasks.
    pub tasks: u32,
    /// Whether all tasks must be placed at once, or none.
    pub gang: bool,
    /// Whether all tasks must be in one zone.
    pub together: bool,
    /// The allowed zones, and how many of the tasks may be in each.
    pub zones: &'a [(Zone, u32)],
}

/// A machine chosen for the request, and the tasks to stop there: none if its free resources suffice.
#[derive(Debug, Clone, PartialEq)]
pub struct PreemptionTarget {
    /// The machine.
    pub machine: MachineId,
    /// The tasks to stop there.
    pub victims: Vec<TaskId>,
}

/// A possible target with its cost.
struct RankedTarget {
    /// Seconds of lost work and of fetching the image.
    cost: f64,
    zone: Zone,
    /// Number of waiting tasks that it would hold.
    slots: u32,
    target: PreemptionTarget,
}

/// Targets that together hold the requested tasks.
struct Plan {
    cost: f64,
    targets: Vec<PreemptionTarget>,
}

/// Tasks to stop on one machine.
struct VictimSet {
    loss_s: f64,
    victims: Vec<TaskId>,
}

/// Chooses the machines where freeing resources for the request loses the least work. For a gang, the targets
/// hold all its tasks, and include machines with enough free resources; if there aren't enough, none is
/// returned. For other jobs, the targets hold as many tasks as possible.
pub fn choose(candidates: Vec<Candidate>, request: &PreemptionRequest) -> Vec<PreemptionTarget> {
    let mut ranked: Vec<RankedTarget> =
        candidates.into_iter().filter_map(|candidate| rank(candidate, request)).collect();
    ranked.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    let plan = if request.gang && request.together {
        let plans =
            request.zones.iter().filter_map(|zone| plan(&ranked, request, std::slice::from_ref(zone)));
        plans.min_by(|a, b| a.cost.total_cmp(&b.cost))
    } else {
        plan(&ranked, request, request.zones)
    };
    plan.map(|plan| plan.targets).unwrap_or_default()
}

/// The candidate as a possible target; `None` if it is of no use to the request.
fn rank(candidate: Candidate, request: &PreemptionRequest) -> Option<RankedTarget> {
    let slots = candidate.free.count_of(request.resources);
    if slots == 0 {
        let VictimSet { loss_s, victims } = least_loss(&candidate, request.resources)?;
        let target = PreemptionTarget { machine: candidate.machine, victims };
        return Some(RankedTarget {
            cost: loss_s + candidate.fetch_s,
            zone: candidate.zone,
            slots: 1,
            target,
        });
    }
    // Only gangs need targets with free resources: scheduling rounds place all other tasks there.
    request.gang.then(|| RankedTarget {
        cost: candidate.fetch_s,
        zone: candidate.zone,
        slots,
        target: PreemptionTarget { machine: candidate.machine, victims: Vec::new() },
    })
}

/// The cheapest targets for the requested tasks in `zones`. `ranked` is sorted by cost.
fn plan(ranked: &[RankedTarget], request: &PreemptionRequest, zones: &[(Zone, u32)]) -> Option<Plan> {
    let mut zones = zones.to_vec();
    let mut remaining = request.tasks;
    let mut plan = Plan { cost: 0.0, targets: Vec::new() };
    for candidate in ranked {
        let zone = zones.iter_mut().find(|(zone, allowed)| *zone == candidate.zone && *allowed > 0);
        let Some((_, allowed)) = zone else { continue };
        let slots = candidate.slots.min(*allowed).min(remaining);
        *allowed -= slots;
        remaining -= slots;
        plan.cost += candidate.cost;
        plan.targets.push(candidate.target.clone());
        if remaining == 0 {
            break;
        }
    }
    (remaining == 0 || !request.gang).then_some(plan)
}

/// The tasks to stop so that `need` fits; `None` if it doesn't fit even with all victims stopped.
fn least_loss(candidate: &Candidate, need: &Resources) -> Option<VictimSet> {
    let mut by_loss: Vec<&Victim> = candidate.victims.iter().collect();
    by_loss.sort_by(|a, b| a.loss_s.total_cmp(&b.loss_s));
    let mut free = candidate.free;
    let mut loss_s = 0.0;
    let mut selected: Vec<&Victim> = Vec::new();
    for victim in by_loss {
        if need.fits_in(&free) {
            break;
        }
        free = free.plus(&victim.resources);
        loss_s += victim.loss_s;
        selected.push(victim);
    }
    if !need.fits_in(&free) {
        return None;
    }
    // Victims selected first may be unnecessary once larger ones are selected too.
    selected.retain(|victim| {
        let without = free.minus(&victim.resources);
        let unnecessary = need.fits_in(&without);
        if unnecessary {
            free = without;
            loss_s -= victim.loss_s;
        }
        !unnecessary
    });
    let victims: Vec<TaskId> = selected.into_iter().map(|victim| victim.task.clone()).collect();
    (!victims.is_empty()).then_some(VictimSet { loss_s, victims })
}

#[cfg(test)]
mod tests;
