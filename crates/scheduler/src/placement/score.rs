//! The score of a machine for a task: a sample of its success rate, times factors for its health, for the time to
//! fetch the image, for packing and for its price.

use super::success_counts::{BetaCounts, SuccessCounts};
use super::{MachineView, PlacementRequest};
use crate::jobs::JobType;
use crate::settings::Operator;
use crate::workers::Health;
use rand::Rng;
use rand_distr::{Distribution, Gamma};

/// Smallest shape of a Gamma distribution that is sampled.
const MIN_SHAPE: f32 = 1e-3;
/// What is left of a fetch that is under way for another task, on average.
const LEFT_OF_FETCH: f64 = 0.5;

/// The factors on sampled success rates, from the operators' settings.
#[derive(Debug, Clone, Copy)]
pub struct Factors {
    /// For a machine whose heartbeat is late.
    pub degraded: f64,
    /// For a machine that has not sent a heartbeat yet.
    pub unknown: f64,
    /// For an empty machine while a partly used one fits.
    pub empty: f64,
    /// For an on-demand machine while a spot machine fits.
    pub dear: f64,
    /// Fetch time, in seconds, that halves a score.
    pub fetch_half_s: f64,
}

impl Factors {
    /// The factors that the operators have set.
    pub fn of(operator: &Operator) -> Self {
        Self {
            degraded: operator.degraded_factor,
            unknown: operator.unknown_factor,
            empty: operator.empty_factor,
            dear: operator.dear_factor,
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

/// The index of the machine with the highest score, of those that may take a task of the request.
pub(super) fn pick(
    machines: &[MachineView],
    request: &PlacementRequest,
    counts: &SuccessCounts,
    factors: &Factors,
    rng: &mut impl Rng,
) -> Option<usize> {
    let candidates: Vec<usize> =
        (0..machines.len()).filter(|index| request.allows(&machines[*index])).collect();
    // A lone candidate wins without a sample.
    if candidates.len() <= 1 {
        return candidates.first().copied();
    }
    let partly_used_fits = candidates.iter().any(|index| !machines[*index].empty);
    let spot_fits = candidates.iter().any(|index| !is_needlessly_dear(&machines[*index], request));
    let mut best: Option<Scored> = None;
    for index in candidates {
        let machine = &machines[index];
        let mut score = sample(counts.get(&machine.id, &request.kind), rng)
            * factors.health(machine.health)
            * fetch_factor(machine, request, factors);
        if partly_used_fits {
            score *= packing_factor(machine, request, factors);
        }
        if spot_fits && is_needlessly_dear(machine, request) {
            score *= factors.dear;
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

/// Exception to the design: where an image takes most of a start, a machine that has it, or fetches
/// fast, starts the task long before one that must fetch it.
fn fetch_factor(machine: &MachineView, request: &PlacementRequest, factors: &Factors) -> f64 {
    if machine.images.contains(&request.image) || machine.fetch_gb_per_s <= 0.0 {
        return 1.0;
    }
    // All fetches of a machine share its rate.
    let under_way = machine.fetching.len() as f64;
    let fetches =
        if machine.fetching.contains(&request.image) { LEFT_OF_FETCH * under_way } else { 1.0 + under_way };
    let fetch_s = fetches * request.image_gb / machine.fetch_gb_per_s;
    factors.fetch_half_s / (factors.fetch_half_s + fetch_s)
}

/// The packing factor, graded: an empty machine gets `empty`, a full one 1, and one in between
/// accordingly. Only while some partly used machine fits too, as in the design.
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

/// Whether the machine is on-demand, and the task belongs to an array that may run on spot. Once it runs there, the
/// on-demand machine stays, and idle spot machines that were rented for it are returned.
fn is_needlessly_dear(machine: &MachineView, request: &PlacementRequest) -> bool {
    request.job_type == JobType::Array && request.spot && !machine.spot
}

/// A sample of the Beta distribution: G1/(G1+G2) of two Gamma samples.
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
