//! The score of a machine for a task: a sample of its success rate, times factors for its health, for the
//! time to fetch the task's image, for packing and for price.

use super::success_counts::{BetaCounts, SuccessCounts};
use super::{MachineView, PlacementRequest};
use crate::jobs::JobType;
use crate::settings::Operator;
use crate::workers::Health;
use rand::Rng;
use rand_distr::{Distribution, Gamma};

/// Lower bound of the shape of a sampled Gamma distribution, which must be positive.
const MIN_SHAPE: f32 = 1e-3;
/// Average remaining fraction of a fetch that is already in progress for another task.
const REMAINING_FETCH_SHARE: f64 = 0.5;

/// Factors that sampled success rates are multiplied by, from the operators' settings.
#[derive(Debug, Clone, Copy)]
pub struct Factors {
    /// For a machine whose heartbeat is late.
    pub degraded: f64,
    /// For a machine that has not sent a heartbeat yet.
    pub unknown: f64,
    /// For an empty machine while a partly used one fits.
    pub empty: f64,
    /// For an on-demand machine while a spot machine fits.
    pub on_demand: f64,
    /// Fetch time, in seconds, that halves a score.
    pub fetch_half_s: f64,
}

impl Factors {
    /// The factors in the operators' settings.
    pub fn of(operator: &Operator) -> Self {
        Self {
            degraded: operator.degraded_factor,
            unknown: operator.unknown_factor,
            empty: operator.empty_factor,
            on_demand: operator.dear_factor,
            fetch_half_s: operator.fetch_half_s,
        }
    }

    fn health(&self, health: Health) -> f64 {
        match health {
            Health::Healthy => 1.0,
            Health::Degraded => self.degraded,
            Health::Unknown => self.unknown,
            Health::Unreachable => 0.0,
        }
    }
}

/// The index of the machine with the highest score among those that may take a task of the request.
pub(super) fn pick(
    machines: &[MachineView],
    request: &PlacementRequest,
    counts: &SuccessCounts,
    factors: &Factors,
    rng: &mut impl Rng,
) -> Option<usize> {
    let candidates: Vec<usize> =
        (0..machines.len()).filter(|index| request.allows(&machines[*index])).collect();
    // A single candidate is chosen without sampling.
    if candidates.len() <= 1 {
        return candidates.first().copied();
    }
    let partly_used_fits = candidates.iter().any(|index| !machines[*index].empty);
    let spot_fits = candidates.iter().any(|index| !is_avoidable_on_demand(&machines[*index], request));
    let mut best: Option<Scored> = None;
    for index in candidates {
        let machine = &machines[index];
        let mut score = sample(counts.get(&machine.id, &request.kind), rng)
            * factors.health(machine.health)
            * fetch_factor(machine, request, factors);
        if partly_used_fits {
            score *= packing_factor(machine, request, factors);
        }
        if spot_fits && is_avoidable_on_demand(machine, request) {
            score *= factors.on_demand;
        }
        if best.as_ref().is_none_or(|best| score > best.score) {
            best = Some(Scored { score, index });
        }
    }
    best.map(|best| best.index)
}

struct Scored {
    score: f64,
    index: usize,
}

/// Lowers the score by the time that the machine needs to fetch the image. This factor is an addition to the
/// design: where the fetch takes most of a task's start, a machine that has the image, or fetches fast,
/// starts the task much earlier.
fn fetch_factor(machine: &MachineView, request: &PlacementRequest, factors: &Factors) -> f64 {
    if machine.images.contains(&request.image) || machine.fetch_gb_per_s <= 0.0 {
        return 1.0;
    }
    // All fetches of a machine share its rate.
    let in_progress = machine.fetching.len() as f64;
    let fetches = if machine.fetching.contains(&request.image) {
        REMAINING_FETCH_SHARE * in_progress
    } else {
        1.0 + in_progress
    };
    let fetch_s = fetches * request.image_gb / machine.fetch_gb_per_s;
    factors.fetch_half_s / (factors.fetch_half_s + fetch_s)
}

/// The packing factor: `empty` for an empty machine, 1 for a full one, and a power of `empty` by the free
/// share in between. As in the design, it is used only while a partly used machine fits too.
fn packing_factor(machine: &MachineView, request: &PlacementRequest, factors: &Factors) -> f64 {
    let free_share = if request.resources.gpus > 0.0 {
        share(machine.free.gpus, machine.total.gpus)
    } else {
        share(machine.free.cpus, machine.total.cpus)
    };
    factors.empty.powf(free_share)
}

fn share(free: f64, total: f64) -> f64 {
    if total > 0.0 { (free / total).clamp(0.0, 1.0) } else { 0.0 }
}

/// Whether the machine is on-demand although the task belongs to an array that may run on spot machines.
/// Placing the task there would keep the on-demand machine rented, while idle spot machines rented for the
/// task are returned.
fn is_avoidable_on_demand(machine: &MachineView, request: &PlacementRequest) -> bool {
    request.job_type == JobType::Array && request.spot && !machine.spot
}

/// Samples the Beta distribution, as G1/(G1+G2) of two Gamma samples.
fn sample(counts: BetaCounts, rng: &mut impl Rng) -> f64 {
    let successes = sample_gamma(counts.alpha, rng);
    let failures = sample_gamma(counts.beta, rng);
    let sum = successes + failures;
    if sum > 0.0 { successes / sum } else { 0.5 }
}

fn sample_gamma(shape: f32, rng: &mut impl Rng) -> f64 {
    let gamma = Gamma::new(f64::from(shape.max(MIN_SHAPE)), 1.0);
    gamma.map(|gamma| gamma.sample(rng)).unwrap_or(0.0)
}
