//! Placement: a controller places waiting tasks in scheduling rounds within its partition of the machines.
//!
//! The score of each candidate machine is a sample of its success rate from a Beta distribution, computed as
//! G1/(G1+G2) from two Gamma samples, times factors for health, image fetch time, packing and price. The
//! machine with the highest score is chosen. See `docs/design.md` for the source of this method.
//!
//! The leader calls [`round`] for its own partition, and every other controller when the leader requests a
//! round.

mod score;
mod success_counts;

pub use score::Factors;
pub use success_counts::{
    BetaCounts, COUNTS_PREFIX, PARTS, PARTS_AT_ONCE, PlacementOutcome, SavedPart, SuccessCounts,
};

use crate::jobs::JobType;
use crate::types::{Image, JobId, Kind, MachineId, Resources, TypeName, Zone};
use crate::workers::Health;
use rand::Rng;
use score::pick;
use serde::{Deserialize, Serialize};

/// A machine's state as given to a controller for one round.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineView {
    /// The machine.
    pub id: MachineId,
    /// Its type.
    pub type_name: TypeName,
    /// The zone that it is in.
    pub zone: Zone,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Resources that are not assigned to any task.
    pub free: Resources,
    /// Total resources.
    pub total: Resources,
    /// Whether no task is placed there.
    pub empty: bool,
    /// The health of its worker.
    pub health: Health,
    /// Images on the machine that waiting tasks need.
    pub images: Vec<Image>,
    /// Images that the machine is fetching for its tasks.
    pub fetching: Vec<Image>,
    /// Rate at which it fetches images, in GB per second; 0 if it isn't known.
    pub fetch_gb_per_s: f64,
    /// The job that its free resources are held for; tasks of other jobs are not placed here.
    pub held_for: Option<JobId>,
}

/// Tasks of one job that wait for machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The job.
    pub job: JobId,
    /// Its class.
    pub kind: Kind,
    /// How its tasks relate to one another.
    pub job_type: JobType,
    /// Indices of the waiting tasks; all tasks for a gang.
    pub tasks: Vec<u32>,
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
    /// The image that each task runs.
    pub image: Image,
    /// Size of the image in GB.
    pub image_gb: f64,
}

impl PlacementRequest {
    /// Whether one of its tasks may be placed on the machine now.
    pub fn allows(&self, machine: &MachineView) -> bool {
        machine.health != Health::Unreachable
            && machine.held_for.as_ref().is_none_or(|job| *job == self.job)
            && (self.spot || !machine.spot)
            && self.types.as_ref().is_none_or(|types| types.contains(&machine.type_name))
            && self.zones.iter().any(|(zone, allowed)| *zone == machine.zone && *allowed > 0)
            && self.resources.fits_in(&machine.free)
    }

    /// Updates the allowed zones after one of its tasks was placed in `zone`.
    fn use_zone(&mut self, zone: &Zone) {
        if self.together {
            self.zones.retain(|(allowed_zone, _)| allowed_zone == zone);
        }
        for (_, allowed) in self.zones.iter_mut().filter(|(allowed_zone, _)| allowed_zone == zone) {
            *allowed = allowed.saturating_sub(1);
        }
    }

    fn proposal(&self, task: u32, machine: &MachineView) -> Proposal {
        Proposal { job: self.job.clone(), task, machine: machine.id.clone() }
    }
}

/// A controller's proposal to run a task on a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The job.
    pub job: JobId,
    /// The task's index.
    pub task: u32,
    /// The machine that it should run on.
    pub machine: MachineId,
}

/// Runs one controller's scheduling round. Reserves the proposed tasks' resources in `machines`.
pub fn round(
    machines: &mut [MachineView],
    requests: &[PlacementRequest],
    counts: &SuccessCounts,
    factors: &Factors,
    rng: &mut impl Rng,
) -> Vec<Proposal> {
    let mut proposals = Vec::new();
    for request in requests {
        if request.job_type == JobType::Gang {
            proposals.extend(place_gang(machines, request, counts, factors, rng));
        } else {
            let mut request = request.clone();
            for task in std::mem::take(&mut request.tasks) {
                let Some(index) = pick(machines, &request, counts, factors, rng) else { break };
                reserve(&mut machines[index], &mut request);
                proposals.push(request.proposal(task, &machines[index]));
            }
        }
    }
    proposals
}

/// Places all tasks of a gang, or none.
fn place_gang(
    machines: &mut [MachineView],
    request: &PlacementRequest,
    counts: &SuccessCounts,
    factors: &Factors,
    rng: &mut impl Rng,
) -> Vec<Proposal> {
    let mut excluded: Vec<Zone> = Vec::new();
    loop {
        let mut scratch = machines.to_vec();
        let mut remaining = request.clone();
        remaining.zones.retain(|(zone, _)| !excluded.contains(zone));
        let mut proposals = Vec::new();
        for task in &request.tasks {
            let Some(index) = pick(&scratch, &remaining, counts, factors, rng) else { break };
            reserve(&mut scratch[index], &mut remaining);
            proposals.push(request.proposal(*task, &scratch[index]));
        }
        if proposals.len() == request.tasks.len() {
            machines.clone_from_slice(&scratch);
            return proposals;
        }
        // The zone of the first task can't hold the gang: try the other zones before the gang has to wait.
        match remaining.zones.first() {
            Some((zone, _)) if request.together && !proposals.is_empty() => excluded.push(zone.clone()),
            _ => return Vec::new(),
        }
    }
}

/// Reserves the machine's resources for one task of the request.
fn reserve(machine: &mut MachineView, request: &mut PlacementRequest) {
    machine.free = machine.free.minus(&request.resources);
    machine.empty = false;
    if !machine.images.contains(&request.image) && !machine.fetching.contains(&request.image) {
        machine.fetching.push(request.image.clone());
    }
    request.use_zone(&machine.zone);
}

#[cfg(test)]
mod tests;
