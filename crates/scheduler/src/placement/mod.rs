//! Placement: a controller places waiting tasks in scheduling rounds inside its partition of the machines.
//!
//! Each candidate's score is a sample from its Beta counts, G1/(G1+G2) from two Gamma samples, times a health factor
//! and, for an empty machine while a partly used one fits too, a packing factor; the highest wins. See
//! `docs/design.md` for the source.
//!
//! The leader calls [`round`] for its own partition, and every other controller when the leader requests a round.

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

/// A machine as a controller sees it for one round.
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
    /// Resources that no task has.
    pub free: Resources,
    /// All resources.
    pub total: Resources,
    /// Whether no task is placed there.
    pub empty: bool,
    /// How well its worker answers.
    pub health: Health,
    /// Images that waiting tasks need and that are there.
    pub images: Vec<Image>,
    /// Images being fetched there, each for some task.
    pub fetching: Vec<Image>,
    /// Rate at which it fetches images, in GB a second; 0 if it isn't known.
    pub fetch_gb_per_s: f64,
    /// The job for which tasks were preempted here; tasks of other jobs are not placed here.
    pub held_for: Option<JobId>,
}

/// Tasks of one job that wait for machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The job.
    pub job: JobId,
    /// Its class.
    pub kind: Kind,
    /// How its tasks belong together.
    pub job_type: JobType,
    /// The tasks' indices; of a gang, all.
    pub tasks: Vec<u32>,
    /// What each task takes of its machine.
    pub resources: Resources,
    /// The machine types that it may run on; `None` allows all.
    pub types: Option<Vec<TypeName>>,
    /// Whether its tasks may run on spot machines.
    pub spot: bool,
    /// Zones it may use and how many more of its tasks each may take.
    pub zones: Vec<(Zone, u32)>,
    /// All tasks of it must be in one zone.
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

    /// Notes that one of its tasks goes to `zone`.
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

/// One task's machine, as a controller proposes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The job.
    pub job: JobId,
    /// The task's index.
    pub task: u32,
    /// The machine that it should run on.
    pub machine: MachineId,
}

/// One controller's round. Reserves what it proposes in `machines`.
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

/// All tasks of a gang in one pass: every one gets a machine, or none does.
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
        // The first sample led into a zone that can't hold the gang: the others are tried before
        // it has to wait.
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
