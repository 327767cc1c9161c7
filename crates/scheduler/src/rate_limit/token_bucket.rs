//! Token bucket.

use crate::types::MonotonicTime;

/// Allows a steady rate of operations, and bursts up to the size of the bucket. A new bucket is full.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    /// Capacity of the bucket, in tokens.
    burst: f64,
    /// Tokens in the bucket; negative after an operation larger than the bucket.
    tokens: f64,
    refilled_at: MonotonicTime,
}

impl TokenBucket {
    /// A bucket for `rate` operations per second, and bursts of as many as pass in a second, but at least
    /// one.
    pub fn new(rate: f64) -> Self {
        Self::with_burst(rate, rate.max(1.0))
    }

    /// A bucket for `rate` operations per second and bursts of up to `burst`.
    pub fn with_burst(rate: f64, burst: f64) -> Self {
        Self { rate, burst, tokens: burst, refilled_at: MonotonicTime::default() }
    }

    /// Tokens added per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Whether the bucket is more than half full, so that less urgent work may also be done.
    pub fn is_ample(&mut self, now: MonotonicTime) -> bool {
        self.refill(now);
        self.tokens > self.burst / 2.0
    }

    /// Takes `count` tokens if the bucket has that many, or if it is full and `count` exceeds its capacity.
    /// Returns whether the tokens were taken.
    pub fn take(&mut self, count: f64, now: MonotonicTime) -> bool {
        self.refill(now);
        let is_covered = self.tokens >= count.min(self.burst);
        if is_covered {
            self.tokens -= count;
        }
        is_covered
    }

    /// Corrects the last [`Self::take`] once the actual cost is known: takes `more` tokens, or returns tokens
    /// if `more` is negative.
    pub fn adjust(&mut self, more: f64) {
        self.tokens = (self.tokens - more).min(self.burst);
    }

    fn refill(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.refilled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        self.refilled_at = now;
    }
}

#[cfg(test)]
mod tests;
