//! The autoscaler: decides which machines to rent for tasks that fit no machine.
//!
//! The leader collects the waiting tasks and the incoming machines, and rents what [`InstanceOffers::plan`]
//! returns.

use crate::types::{Duration, FencingToken, MonotonicTime, Resources, TypeName, Zone};
use crate::wire::cloud::MachineType;
use std::collections::BTreeMap;

/// Highest price per task slot for a price-capped request, as a multiple of the cheapest offer's price.
const PRICE_CAP_RATIO: f64 = 2.0;
/// Maximum number of machines planned in one step, so that machines for a large request are spread over
/// zones.
const MAX_MACHINES_PER_STEP: u32 = 4;
/// Added to the limit on a machine's boot time, in seconds.
const BOOT_MARGIN_S: f64 = 10.0;

/// A machine type in a zone, on-demand or spot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceOffer {
    /// The machine type.
    pub type_name: TypeName,
    /// The zone.
    pub zone: Zone,
    /// Whether the machines are spot machines.
    pub spot: bool,
}

/// A group of machines that are up or incoming, with the same offer and the same unassigned resources.
#[derive(Debug, Clone)]
pub struct IncomingCapacity {
    /// The offer that they were rented under.
    pub offer: InstanceOffer,
    /// Resources of each machine that are not assigned to a request.
    pub free: Resources,
    /// Number of machines.
    pub number: u32,
}

/// Tasks of one job that wait for machines.
#[derive(Debug, Clone)]
pub struct CapacityRequest {
    /// Number of waiting tasks.
    pub tasks: u32,
    /// Resources that each task takes on its machine.
    pub resources: Resources,
    /// The machine types that it may run on; `None` allows all.
    pub types: Option<Vec<TypeName>>,
    /// Whether its tasks may run on spot machines.
    pub spot: bool,
    /// The zones that it may use, and how many more of its tasks may be in each.
    pub zones: Vec<(Zone, u32)>,
    /// Whether all its tasks must be in one zone.
    pub together: bool,
    /// Whether expensive offers are excluded, because running tasks will soon free slots for it.
    pub price_capped: bool,
}

impl CapacityRequest {
    /// How many more of its tasks may run on machines of `offer`.
    fn allowed(&self, offer: &InstanceOffer) -> u32 {
        let market_allowed = self.spot || !offer.spot;
        let type_allowed = self.types.as_ref().is_none_or(|types| types.contains(&offer.type_name));
        if !market_allowed || !type_allowed {
            return 0;
        }
        let zone = self.zones.iter().find(|(zone, _)| *zone == offer.zone);
        zone.map_or(0, |(_, allowed)| *allowed)
    }

    /// Updates the waiting tasks and allowed zones after `tasks` of it were assigned to `zone`.
    fn assign(&mut self, zone: &Zone, tasks: u32) {
        self.tasks -= tasks;
        if self.together {
            self.zones.retain(|(allowed_zone, _)| allowed_zone == zone);
        }
        for (_, allowed) in self.zones.iter_mut().filter(|(allowed_zone, _)| allowed_zone == zone) {
            *allowed = allowed.saturating_sub(tasks);
        }
    }
}

/// Machines to rent.
#[derive(Debug, Clone, PartialEq)]
pub struct Rental {
    /// The offer to rent.
    pub offer: InstanceOffer,
    /// Number of machines.
    pub number: u32,
}

/// The cloud's machine types, and the offers that it refused recently.
#[derive(Debug, Default)]
pub struct InstanceOffers {
    /// All machine types.
    pub types: Vec<MachineType>,
    /// Offers that the cloud refused recently, with the end of the time in which they are not retried.
    refused: BTreeMap<InstanceOffer, MonotonicTime>,
    next_claim: u64,
}

/// An offer that a request may use.
struct RankedOffer {
    /// Hourly price per task slot.
    cost: f64,
    machines_in_zone: u32,
    offer: InstanceOffer,
    resources: Resources,
}

impl InstanceOffers {
    /// The offers of these machine types, none of them refused.
    pub fn new(types: Vec<MachineType>) -> Self {
        Self { types, ..Self::default() }
    }

    /// The machine type of this name.
    pub fn type_of(&self, name: &TypeName) -> Option<&MachineType> {
        self.types.iter().find(|machine_type| machine_type.name == *name)
    }

    /// Records that the cloud refused the offer. Plans don't use it before `until`.
    pub fn refuse(&mut self, offer: InstanceOffer, until: MonotonicTime) {
        self.refused.insert(offer, until);
    }

    /// Returns a claim that is unique among all rentals, since fencing tokens are unique to one leadership.
    pub fn claim(&mut self, fencing_token: FencingToken) -> String {
        self.next_claim += 1;
        format!("pf-{fencing_token}-{}", self.next_claim)
    }

    /// What to rent so that all `requests`, sorted by descending urgency, fit in addition to the machines
    /// that are already `incoming`. `machines_by_zone` counts the machines in each zone: of equally cheap
    /// offers, the one in the zone with the fewest machines is chosen. Works on groups of equal machines, so
    /// its cost doesn't grow with the number of tasks.
    pub fn plan(
        &mut self,
        requests: Vec<CapacityRequest>,
        incoming: Vec<IncomingCapacity>,
        machines_by_zone: &BTreeMap<Zone, u32>,
        now: MonotonicTime,
    ) -> Vec<Rental> {
        self.refused.retain(|_, until| *until > now);
        let mut planner = Planner {
            offers: self,
            incoming,
            machines_by_zone: machines_by_zone.clone(),
            rentals: BTreeMap::new(),
        };
        let mut later_tasks: u32 = requests.iter().map(|request| request.tasks).sum();
        for mut request in requests {
            later_tasks -= request.tasks;
            planner.choose_zone(&mut request);
            planner.use_incoming(&mut request);
            planner.rent(&mut request, later_tasks);
        }
        planner.rentals.into_iter().map(|(offer, number)| Rental { offer, number }).collect()
    }

    /// The offer with the lowest price per task slot among those that are not refused now; `None` if there is
    /// none, or if it exceeds the price cap. At most `waiting_tasks` slots of a machine count.
    fn best(
        &self,
        request: &CapacityRequest,
        waiting_tasks: u32,
        machines_by_zone: &BTreeMap<Zone, u32>,
    ) -> Option<RankedOffer> {
        let mut best: Option<RankedOffer> = None;
        let mut cheapest = f64::MAX;
        for ranked in self.offers_for(request, waiting_tasks, machines_by_zone) {
            cheapest = cheapest.min(ranked.cost);
            if self.refused.contains_key(&ranked.offer) {
                continue;
            }
            let better = best.as_ref().is_none_or(|best| {
                (ranked.cost, ranked.machines_in_zone) < (best.cost, best.machines_in_zone)
            });
            if better {
                best = Some(ranked);
            }
        }
        best.filter(|best| !request.price_capped || best.cost <= cheapest * PRICE_CAP_RATIO)
    }

    /// All offers that the request may use, including refused ones.
    fn offers_for<'a>(
        &'a self,
        request: &'a CapacityRequest,
        waiting_tasks: u32,
        machines_by_zone: &'a BTreeMap<Zone, u32>,
    ) -> impl Iterator<Item = RankedOffer> + 'a {
        let fitting = self.types.iter().filter(|t| request.resources.fits_in(&t.resources()));
        let by_zone =
            fitting.flat_map(|machine_type| machine_type.zones.iter().map(move |z| (machine_type, z)));
        let markets = by_zone.flat_map(|(machine_type, zone)| {
            [false, true].into_iter().map(move |spot| (machine_type, zone, spot))
        });
        markets.filter_map(move |(machine_type, zone, spot)| {
            let offer = InstanceOffer { type_name: machine_type.name.clone(), zone: zone.clone(), spot };
            if request.allowed(&offer) == 0 {
                return None;
            }
            let resources = machine_type.resources();
            let slots = resources.count_of(&request.resources).min(waiting_tasks.max(1)).max(1);
            let cost = machine_type.hourly(spot) / f64::from(slots);
            let machines_in_zone = machines_by_zone.get(zone).copied().unwrap_or(0);
            Some(RankedOffer { cost, machines_in_zone, offer, resources })
        })
    }
}

/// The state of a plan while it is computed.
struct Planner<'a> {
    offers: &'a InstanceOffers,
    /// Extended by each rental, and by each group that is split because only a part of it is assigned.
    incoming: Vec<IncomingCapacity>,
    machines_by_zone: BTreeMap<Zone, u32>,
    rentals: BTreeMap<InstanceOffer, u32>,
}

impl Planner<'_> {
    /// Restricts a request whose tasks must be in one zone to the zone with the most incoming slots, if these
    /// suffice for all its tasks.
    fn choose_zone(&self, request: &mut CapacityRequest) {
        if !request.together {
            return;
        }
        let mut slots_by_zone: BTreeMap<&Zone, u32> = BTreeMap::new();
        for group in self.incoming.iter().filter(|group| request.allowed(&group.offer) > 0) {
            let slots = group.free.count_of(&request.resources) * group.number;
            *slots_by_zone.entry(&group.offer.zone).or_default() += slots;
        }
        if let Some((zone, slots)) = slots_by_zone.into_iter().max_by_key(|(_, slots)| *slots)
            && slots >= request.tasks
        {
            request.zones.retain(|(allowed_zone, _)| allowed_zone == zone);
        }
    }

    /// Assigns incoming machines to the request.
    fn use_incoming(&mut self, request: &mut CapacityRequest) {
        let mut index = 0;
        while index < self.incoming.len() && request.tasks > 0 {
            self.assign(index, request);
            index += 1;
        }
    }

    /// Rents machines until all tasks of the request have a slot or no offer is left.
    fn rent(&mut self, request: &mut CapacityRequest, later_tasks: u32) {
        while request.tasks > 0 {
            let waiting_tasks = request.tasks + later_tasks;
            let best = self.offers.best(request, waiting_tasks, &self.machines_by_zone);
            let Some(RankedOffer { offer, resources, .. }) = best else { break };
            let slots = resources.count_of(&request.resources).max(1);
            let tasks = request.tasks.min(request.allowed(&offer));
            let number = tasks.div_ceil(slots).min(MAX_MACHINES_PER_STEP);
            *self.machines_by_zone.entry(offer.zone.clone()).or_default() += number;
            *self.rentals.entry(offer.clone()).or_default() += number;
            self.incoming.push(IncomingCapacity { offer, free: resources, number });
            if self.assign(self.incoming.len() - 1, request) == 0 {
                break;
            }
        }
    }

    /// Assigns as many machines of a group to the request as it can use, and returns the number of assigned
    /// tasks. Machines that are assigned tasks are split off into groups of their own, with what remains
    /// free.
    fn assign(&mut self, index: usize, request: &mut CapacityRequest) -> u32 {
        let group = &self.incoming[index];
        let slots = group.free.count_of(&request.resources);
        let total_slots = slots.saturating_mul(group.number);
        let tasks = request.tasks.min(request.allowed(&group.offer)).min(total_slots);
        if tasks == 0 {
            return 0;
        }
        let zone = group.offer.zone.clone();
        let full_machines = tasks / slots;
        let remainder = tasks % slots;
        self.split_off(index, full_machines, slots, &request.resources);
        self.split_off(index, remainder.min(1), remainder, &request.resources);
        request.assign(&zone, tasks);
        tasks
    }

    /// Moves `number` machines of a group to a new group, with `tasks` tasks assigned to each.
    fn split_off(&mut self, index: usize, number: u32, tasks: u32, resources: &Resources) {
        if number == 0 {
            return;
        }
        let group = &mut self.incoming[index];
        group.number -= number;
        let free = group.free.minus(&resources.times(f64::from(tasks)));
        let offer = group.offer.clone();
        self.incoming.push(IncomingCapacity { offer, free, number });
    }
}

/// How long a machine of this type may take to boot before it is returned: its nominal boot time times
/// `factor`, plus a margin.
pub fn boot_limit(machine_type: &MachineType, factor: f64) -> Duration {
    machine_type.boot().times(factor) + Duration::from_secs_f64(BOOT_MARGIN_S)
}

#[cfg(test)]
mod tests;
