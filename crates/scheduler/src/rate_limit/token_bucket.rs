//! A token bucket.

use crate::types::MonotonicTime;

/// Allows a steady rate of operations, and bursts up to the size of the bucket, which is full at first.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    /// Most tokens that the bucket holds.
    burst: f64,
    /// Tokens in the bucket; negative after an operation larger than the bucket.
    tokens: f64,
    refilled_at: MonotonicTime,
}

impl TokenBucket {
    /// A bucket for `rate` operations per second and bursts of one second's worth, at least of one operation.
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

    /// Whether more than half of a burst is left, so that less urgent work may be done too.
    pub fn is_ample(&mut self, now: MonotonicTime) -> bool {
        self.refill(now);
        self.tokens > self.burst / 2.0
    }

    /// Takes `count` tokens if there are as many, or if the bucket is full and `count` is larger than it.
    /// Returns whether they were taken.
    pub fn take(&mut self, count: f64, now: MonotonicTime) -> bool {
        self.refill(now);
        let is_covered = self.tokens >= count.min(self.burst);
        if is_covered {
            self.tokens -= count;
        }
        is_covered
    }

    /// Corrects the last [`Self::take`] once the real cost is known: takes `more` tokens, or returns them if
    /// negative.
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
