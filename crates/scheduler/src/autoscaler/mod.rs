//! The fleet: what to rent for work that fits nowhere, and what to return.

use crate::types::{Duration, MonotonicTime, Resources, TypeName, Zone};
use crate::wire::cloud::MachineType;
use std::collections::BTreeMap;

/// A type in a zone, ordinary or spot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceOffer {
    pub type_name: TypeName,
    pub zone: Zone,
    pub spot: bool,
}

/// Machines that are there or on their way, alike in kind and in the room not yet promised.
#[derive(Debug, Clone)]
pub struct IncomingCapacity {
    pub instance_offer: InstanceOffer,
    pub free: Resources,
    pub number: u32,
}

/// Tasks of one job that wait for machines.
#[derive(Debug, Clone)]
pub struct CapacityRequest {
    pub tasks: u32,
    pub resources: Resources,
    pub types: Option<Vec<TypeName>>,
    pub spot: bool,
    /// Zones it may use and how many more of its tasks each may take.
    pub zones: Vec<(Zone, u32)>,
    /// All tasks of it must be in one zone.
    pub together: bool,
    /// It will soon have places that come free: nothing dear is rented for it.
    pub patient: bool,
}

impl CapacityRequest {
    /// How many of its tasks may still go to machines of `instance_offer`.
    fn allowed(&self, instance_offer: &InstanceOffer) -> u32 {
        let kind = (self.spot || !instance_offer.spot)
            && self.types.as_ref().is_none_or(|t| t.contains(&instance_offer.type_name));
        let zone = self.zones.iter().find(|(z, _)| *z == instance_offer.zone);
        zone.filter(|_| kind).map_or(0, |(_, n)| *n)
    }

    /// Notes that `tasks` of it go to `zone`.
    fn settle(&mut self, zone: &Zone, tasks: u32) {
        self.tasks -= tasks;
        if self.together {
            self.zones.retain(|(z, _)| z == zone);
        }
        for (_, n) in self.zones.iter_mut().filter(|(z, _)| z == zone) {
            *n = n.saturating_sub(tasks);
        }
    }
}

/// From how many times the cheapest price of a task's place on an offer is dear.
const DEAR: f64 = 2.0;
/// Machines planned for one need at a time, so that a large one is spread over zones.
const AT_ONCE: u32 = 4;

#[derive(Debug, Default)]
pub struct InstanceOffers {
    pub types: Vec<MachineType>,
    /// Offers refused lately, and until when they are left alone.
    refused: BTreeMap<InstanceOffer, MonotonicTime>,
    next_claim: u64,
}

impl InstanceOffers {
    pub fn new(types: Vec<MachineType>) -> Self {
        Self { types, ..Self::default() }
    }

    pub fn type_of(&self, name: &TypeName) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == *name)
    }

    pub fn refuse(&mut self, instance_offer: InstanceOffer, until: MonotonicTime) {
        self.refused.insert(instance_offer, until);
    }

    /// A request name that no other request has: fences are unique to one leadership.
    pub fn claim(&mut self, fencing_token: crate::types::FencingToken) -> String {
        self.next_claim += 1;
        format!("pf-{fencing_token}-{}", self.next_claim)
    }

    /// What to rent so that `capacity_requests` fit, given the machines that are `incoming` already. `per_zone`
    /// counts the machines in each zone: of equal offers, the emptiest zone is taken. Works on
    /// groups of equal machines, so that its effort doesn't grow with the number of tasks.
    pub fn plan(
        &mut self,
        capacity_requests: Vec<CapacityRequest>,
        mut incoming: Vec<IncomingCapacity>,
        per_zone: &BTreeMap<Zone, u32>,
        now: MonotonicTime,
    ) -> Vec<(InstanceOffer, u32)> {
        self.refused.retain(|_, until| *until > now);
        let mut per_zone = per_zone.clone();
        let mut out: BTreeMap<InstanceOffer, u32> = BTreeMap::new();
        let mut left: u32 = capacity_requests.iter().map(|n| n.tasks).sum();
        for mut capacity_request in capacity_requests {
            left -= capacity_request.tasks;
            if capacity_request.together {
                // The zone that holds all of it, or else most, with what is coming.
                let mut slots: BTreeMap<&Zone, u32> = BTreeMap::new();
                for c in incoming.iter().filter(|c| capacity_request.allowed(&c.instance_offer) > 0) {
                    *slots.entry(&c.instance_offer.zone).or_default() +=
                        c.free.count_of(&capacity_request.resources) * c.number;
                }
                if let Some((zone, n)) = slots.into_iter().max_by_key(|(_, n)| *n)
                    && n >= capacity_request.tasks
                {
                    let zone = zone.clone();
                    capacity_request.zones.retain(|(z, _)| *z == zone);
                }
            }
            let mut i = 0;
            while i < incoming.len() && capacity_request.tasks > 0 {
                let take = fill(&mut incoming, i, &capacity_request);
                if take > 0 {
                    let zone = incoming[i].instance_offer.zone.clone();
                    capacity_request.settle(&zone, take);
                }
                i += 1;
            }
            while capacity_request.tasks > 0 {
                let wanted = capacity_request.tasks + left;
                let Some((instance_offer, resources)) = self.best(&capacity_request, wanted, &per_zone)
                else {
                    break;
                };
                let slots = resources.count_of(&capacity_request.resources).max(1);
                let tasks = capacity_request.tasks.min(capacity_request.allowed(&instance_offer));
                let number = tasks.div_ceil(slots).min(AT_ONCE);
                *per_zone.entry(instance_offer.zone.clone()).or_default() += number;
                *out.entry(instance_offer.clone()).or_default() += number;
                incoming.push(IncomingCapacity {
                    instance_offer: instance_offer.clone(),
                    free: resources,
                    number,
                });
                let last = incoming.len() - 1;
                let take = fill(&mut incoming, last, &capacity_request);
                if take == 0 {
                    break;
                }
                capacity_request.settle(&instance_offer.zone, take);
            }
        }
        out.into_iter().collect()
    }

    /// The cheapest offer per task that isn't refused now, and what one machine of it holds.
    fn best(
        &self,
        capacity_request: &CapacityRequest,
        wanted: u32,
        per_zone: &BTreeMap<Zone, u32>,
    ) -> Option<(InstanceOffer, Resources)> {
        let mut best: Option<(f64, u32, InstanceOffer, Resources)> = None;
        let mut cheapest = f64::MAX;
        for t in self.types.iter().filter(|t| capacity_request.resources.fits_in(&t.resources())) {
            let slots = t.resources().count_of(&capacity_request.resources).min(wanted.max(1));
            for zone in &t.zones {
                for spot in [false, true] {
                    let instance_offer =
                        InstanceOffer { type_name: t.name.clone(), zone: zone.clone(), spot };
                    if capacity_request.allowed(&instance_offer) == 0 {
                        continue;
                    }
                    let cost = t.hourly(spot) / f64::from(slots.max(1));
                    cheapest = cheapest.min(cost);
                    if self.refused.contains_key(&instance_offer) {
                        continue;
                    }
                    let there = per_zone.get(zone).copied().unwrap_or(0);
                    if best.as_ref().is_none_or(|(c, n, ..)| (cost, there) < (*c, *n)) {
                        best = Some((cost, there, instance_offer, t.resources()));
                    }
                }
            }
        }
        best.filter(|(cost, ..)| !capacity_request.patient || *cost <= cheapest * DEAR)
            .map(|(_, _, instance_offer, resources)| (instance_offer, resources))
    }
}

/// Promises as much of group `i` to `capacity_request` as fits; gives the number of tasks. What a machine
/// keeps free goes on as a group of its own.
fn fill(incoming: &mut Vec<IncomingCapacity>, i: usize, capacity_request: &CapacityRequest) -> u32 {
    let group = &incoming[i];
    let slots = group.free.count_of(&capacity_request.resources);
    let take = capacity_request
        .tasks
        .min(capacity_request.allowed(&group.instance_offer))
        .min(slots.saturating_mul(group.number));
    if take == 0 {
        return 0;
    }
    let (full, rest) = (take / slots, take % slots);
    let mut parts = vec![(full, slots)];
    if rest > 0 {
        parts.push((1, rest));
    }
    for (number, tasks) in parts.into_iter().filter(|(n, _)| *n > 0) {
        let free = incoming[i].free.minus(&capacity_request.resources.times(f64::from(tasks)));
        incoming[i].number -= number;
        incoming.push(IncomingCapacity { instance_offer: incoming[i].instance_offer.clone(), free, number });
    }
    take
}

/// How long a machine of this type may take to come up before it is given up.
pub fn boot_limit(t: &MachineType, patience: f64) -> Duration {
    t.boot().times(patience) + Duration::from_secs_f64(10.0)
}

#[cfg(test)]
mod tests;
