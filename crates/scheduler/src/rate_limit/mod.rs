//! The state service's limits, and the client's share of them.

use crate::types::MonotonicTime;

/// What the state service takes, now and after its next limits come into force.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreLimits {
    /// Requests a second.
    pub rps: f64,
    /// Changes (puts and deletes) a second.
    pub write_rps: f64,
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Changes in a transaction.
    pub txn_ops: usize,
}

/// A token bucket: `rate` a second, bursts of one second's worth unless said otherwise.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: MonotonicTime,
}

impl TokenBucket {
    pub fn new(rate: f64) -> Self {
        let burst = rate.max(1.0);
        Self { rate, burst, tokens: burst, at: MonotonicTime::default() }
    }

    fn refill(&mut self, now: MonotonicTime) {
        self.tokens = (self.tokens + now.since(self.at).as_secs_f64() * self.rate).min(self.burst);
        self.at = now;
    }

    /// As `new`, but with bursts of up to `burst`.
    pub fn bursting(rate: f64, burst: f64) -> Self {
        Self { burst, tokens: burst, ..Self::new(rate) }
    }

    /// Tokens a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Whether more than half of a burst is left: then less urgent work may go too.
    pub fn ample(&mut self, now: MonotonicTime) -> bool {
        self.refill(now);
        self.tokens > self.burst / 2.0
    }

    /// Corrects the last `take` by what it turned out to need.
    pub fn settle(&mut self, more: f64) {
        self.tokens = (self.tokens - more).min(self.burst);
    }

    /// Takes `n` tokens if there are as many (or the bucket is full, for an `n` above it).
    pub fn take(&mut self, n: f64, now: MonotonicTime) -> bool {
        self.refill(now);
        let ok = self.tokens >= n.min(self.burst);
        if ok {
            self.tokens -= n;
        }
        ok
    }
}

#[cfg(test)]
mod tests;
