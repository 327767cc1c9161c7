//! Amounts of CPU, GPU and memory.

use serde::{Deserialize, Serialize};

/// Tolerance of comparisons: rounding errors of sums such as 0.1 + 0.2 must not make a machine of exactly the
/// right size appear too small.
const EPSILON: f64 = 1e-6;

/// Upper bound of [`Resources::count_of`], for requests of zero or very small amounts.
const MAX_COUNT: u32 = 100_000;

/// Resources that a task takes, or that a machine has.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Number of CPU cores; fractions are allowed.
    pub cpus: f64,
    /// Number of GPUs; fractions are allowed.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
}

impl Resources {
    /// Whether `other` has at least these amounts of each resource.
    pub fn fits_in(&self, other: &Resources) -> bool {
        self.cpus <= other.cpus + EPSILON
            && self.gpus <= other.gpus + EPSILON
            && self.memory_gb <= other.memory_gb + EPSILON
    }

    /// The sum of both amounts.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }

    /// The difference of both amounts, which may be negative.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory_gb: self.memory_gb - other.memory_gb,
        }
    }

    /// Each amount multiplied by `factor`.
    pub fn times(&self, factor: f64) -> Resources {
        Resources { cpus: self.cpus * factor, gpus: self.gpus * factor, memory_gb: self.memory_gb * factor }
    }

    /// How many requests of `each` fit at the same time, at most 100,000.
    pub fn count_of(&self, each: &Resources) -> u32 {
        count_of_one(self.cpus, each.cpus)
            .min(count_of_one(self.gpus, each.gpus))
            .min(count_of_one(self.memory_gb, each.memory_gb))
            .min(MAX_COUNT)
    }
}

/// How many times `needed` fits into `available`; `u32::MAX` if `needed` is zero.
fn count_of_one(available: f64, needed: f64) -> u32 {
    if needed > 0.0 { ((available + EPSILON) / needed) as u32 } else { u32::MAX }
}

#[cfg(test)]
mod tests;
