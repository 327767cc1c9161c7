//! Preemption: which running work makes way for more urgent work.
//!
//! Work makes way for a job of higher priority, and work beyond its own team's guarantee makes
//! way for another team's job within its guarantee. Replicas of services never do.
//!
//! The leader gathers the candidates, [`choose`] picks those that lose least, and the leader stops the victims.

use crate::types::{MachineId, Resources, TaskId, Zone};

/// A task that may be stopped.
#[derive(Debug, Clone)]
pub struct Victim {
    /// The task.
    pub task: TaskId,
    /// What it takes of its machine.
    pub resources: Resources,
    /// What stopping it loses, in seconds of work.
    pub loss_s: f64,
}

/// A machine that could hold a waiting task if some victims left.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The machine.
    pub machine: MachineId,
    /// The zone that it is in.
    pub zone: Zone,
    /// Resources that are free, or will be without a preemption.
    pub free: Resources,
    /// The tasks that may be stopped there.
    pub victims: Vec<Victim>,
    /// How many seconds the waiting task would still take to fetch its image there.
    pub fetch_s: f64,
}

/// Tasks that wait for resources.
#[derive(Debug, Clone)]
pub struct PreemptionRequest<'a> {
    /// What each task takes of its machine.
    pub resources: &'a Resources,
    /// How many tasks wait.
    pub tasks: u32,
    /// All tasks at once or none.
    pub gang: bool,
    /// All tasks in one zone.
    pub together: bool,
    /// Zones and how many of the tasks each may take.
    pub zones: &'a [(Zone, u32)],
}

/// A machine to be used, and the tasks that have to leave it; none if its free resources suffice.
#[derive(Debug, Clone, PartialEq)]
pub struct PreemptionTarget {
    /// The machine.
    pub machine: MachineId,
    /// The tasks to stop there.
    pub victims: Vec<TaskId>,
}

/// One machine that may be cleared.
struct Choice {
    /// Seconds of work and of fetching that it loses.
    cost: f64,
    zone: Zone,
    /// How many waiting tasks it would hold.
    slots: u32,
    target: PreemptionTarget,
}

/// Machines that hold the request tasks together.
struct Plan {
    cost: f64,
    targets: Vec<PreemptionTarget>,
}

/// Tasks that leave one machine.
struct VictimSet {
    loss_s: f64,
    victims: Vec<TaskId>,
}

/// The machines where freeing resources loses least. For a gang they hold all its tasks, machines with enough
/// free resources among them; for other jobs as many tasks as possible.
pub fn choose(candidates: Vec<Candidate>, request: &PreemptionRequest) -> Vec<PreemptionTarget> {
    let mut choices: Vec<Choice> =
        candidates.into_iter().filter_map(|candidate| choice(candidate, request)).collect();
    choices.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    let plan = if request.gang && request.together {
        let plans =
            request.zones.iter().filter_map(|zone| plan(&choices, request, std::slice::from_ref(zone)));
        plans.min_by(|a, b| a.cost.total_cmp(&b.cost))
    } else {
        plan(&choices, request, request.zones)
    };
    plan.map(|plan| plan.targets).unwrap_or_default()
}

/// What the machine offers to the request tasks, if anything.
fn choice(candidate: Candidate, request: &PreemptionRequest) -> Option<Choice> {
    let slots = candidate.free.count_of(request.resources);
    if slots == 0 {
        let VictimSet { loss_s, victims } = least_loss(&candidate, request.resources)?;
        let target = PreemptionTarget { machine: candidate.machine, victims };
        return Some(Choice { cost: loss_s + candidate.fetch_s, zone: candidate.zone, slots: 1, target });
    }
    // Scheduling rounds place all other work on free resources.
    request.gang.then(|| Choice {
        cost: candidate.fetch_s,
        zone: candidate.zone,
        slots,
        target: PreemptionTarget { machine: candidate.machine, victims: Vec::new() },
    })
}

/// The cheapest choices for the request tasks in `zones`. `choices` are sorted by cost.
fn plan(choices: &[Choice], request: &PreemptionRequest, zones: &[(Zone, u32)]) -> Option<Plan> {
    let mut zones = zones.to_vec();
    let mut remaining = request.tasks;
    let mut plan = Plan { cost: 0.0, targets: Vec::new() };
    for choice in choices {
        let zone = zones.iter_mut().find(|(zone, allowed)| *zone == choice.zone && *allowed > 0);
        let Some((_, allowed)) = zone else { continue };
        let slots = choice.slots.min(*allowed).min(remaining);
        *allowed -= slots;
        remaining -= slots;
        plan.cost += choice.cost;
        plan.targets.push(choice.target.clone());
        if remaining == 0 {
            break;
        }
    }
    (remaining == 0 || !request.gang).then_some(plan)
}

/// The tasks that leave the machine so that `need` fits; `None` if it doesn't fit even without all victims.
fn least_loss(candidate: &Candidate, need: &Resources) -> Option<VictimSet> {
    let mut by_loss: Vec<&Victim> = candidate.victims.iter().collect();
    by_loss.sort_by(|a, b| a.loss_s.total_cmp(&b.loss_s));
    let mut free = candidate.free;
    let mut loss_s = 0.0;
    let mut leaving: Vec<&Victim> = Vec::new();
    for victim in by_loss {
        if need.fits_in(&free) {
            break;
        }
        free = free.plus(&victim.resources);
        loss_s += victim.loss_s;
        leaving.push(victim);
    }
    if !need.fits_in(&free) {
        return None;
    }
    // Some taken first may prove unnecessary once larger ones are in.
    leaving.retain(|victim| {
        let without = free.minus(&victim.resources);
        let unnecessary = need.fits_in(&without);
        if unnecessary {
            free = without;
            loss_s -= victim.loss_s;
        }
        !unnecessary
    });
    let victims: Vec<TaskId> = leaving.into_iter().map(|victim| victim.task.clone()).collect();
    (!victims.is_empty()).then_some(VictimSet { loss_s, victims })
}

#[cfg(test)]
mod tests;
