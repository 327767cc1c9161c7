//! Preemption: which running work makes room for more urgent work.
//!
//! Work makes way for a job of higher priority, and work beyond its own team's guarantee makes
//! way for another team's job within its guarantee. Replicas of services never do.

use crate::types::{MachineId, Resources, TaskId, Zone};

/// A task that may be stopped, and what that loses in seconds of work.
#[derive(Debug, Clone)]
pub struct Victim {
    pub task: TaskId,
    pub resources: Resources,
    pub loss_s: f64,
}

/// A machine that could hold a waiting task if some victims left.
#[derive(Debug, Clone)]
pub struct Candidate {
    pub machine: MachineId,
    pub zone: Zone,
    pub free: Resources,
    pub victims: Vec<Victim>,
    /// What the waiting task would still wait for there.
    pub fetch_s: f64,
}

/// Work that waits for room.
#[derive(Debug, Clone)]
pub struct Wanted<'a> {
    pub resources: &'a Resources,
    pub tasks: u32,
    /// All tasks at once or none.
    pub gang: bool,
    pub together: bool,
    /// Zones and how many of the tasks each may take.
    pub zones: &'a [(Zone, u32)],
}

/// A machine where room is made, and who has to leave it.
pub type Clearing = (MachineId, Vec<TaskId>);

struct Choice {
    cost: f64,
    zone: Zone,
    slots: u32,
    clearing: Clearing,
}

/// Where making room loses least. For a gang that is room for all its tasks, machines with room
/// already among them; else as many as there are.
pub fn choose(candidates: Vec<Candidate>, wanted: &Wanted) -> Vec<Clearing> {
    let mut options: Vec<Choice> = Vec::new();
    for c in candidates {
        let slots = c.free.count_of(wanted.resources);
        if slots > 0 {
            // Work other than gangs is placed there by rounds.
            if wanted.gang {
                let clearing = (c.machine, Vec::new());
                options.push(Choice { cost: c.fetch_s, zone: c.zone, slots, clearing });
            }
        } else if let Some((loss, leave)) = least_loss(&c, wanted.resources) {
            let clearing = (c.machine, leave);
            options.push(Choice { cost: loss + c.fetch_s, zone: c.zone, slots: 1, clearing });
        }
    }
    options.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    if !(wanted.gang && wanted.together) {
        return take(&options, wanted, wanted.zones).map(|(_, c)| c).unwrap_or_default();
    }
    let by_zone = wanted.zones.iter().filter_map(|zone| take(&options, wanted, std::slice::from_ref(zone)));
    by_zone.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, c)| c).unwrap_or_default()
}

/// The cheapest options for `wanted` in `zones`, and what they cost.
fn take(options: &[Choice], wanted: &Wanted, zones: &[(Zone, u32)]) -> Option<(f64, Vec<Clearing>)> {
    let (mut zones, mut left, mut cost, mut out) = (zones.to_vec(), wanted.tasks, 0.0, Vec::new());
    for o in options {
        let Some((_, allowed)) = zones.iter_mut().find(|(z, n)| *z == o.zone && *n > 0) else { continue };
        let slots = o.slots.min(*allowed).min(left);
        *allowed -= slots;
        left -= slots;
        cost += o.cost;
        out.push(o.clearing.clone());
        if left == 0 {
            break;
        }
    }
    (left == 0 || !wanted.gang).then_some((cost, out))
}

/// Who leaves the machine so that `need` fits, and what that loses.
fn least_loss(c: &Candidate, need: &Resources) -> Option<(f64, Vec<TaskId>)> {
    let mut victims: Vec<&Victim> = c.victims.iter().collect();
    victims.sort_by(|a, b| a.loss_s.total_cmp(&b.loss_s));
    let (mut free, mut cost, mut leave) = (c.free, 0.0, Vec::new());
    for v in victims {
        if need.fits_in(&free) {
            break;
        }
        free = free.plus(&v.resources);
        cost += v.loss_s;
        leave.push(v);
    }
    if !need.fits_in(&free) || leave.is_empty() {
        return None;
    }
    // Some taken first may prove unnecessary once larger ones are in.
    let mut i = 0;
    while i < leave.len() {
        let without = free.minus(&leave[i].resources);
        if need.fits_in(&without) {
            free = without;
            cost -= leave[i].loss_s;
            leave.remove(i);
        } else {
            i += 1;
        }
    }
    (!leave.is_empty()).then(|| (cost, leave.into_iter().map(|v| v.task.clone()).collect()))
}

#[cfg(test)]
mod tests;
