//! The state client's share of the service's limits.

use crate::types::Time;

/// A token bucket: `rate` a second, bursts of one second's worth.
#[derive(Debug)]
pub struct Budget {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Time,
}

impl Budget {
    pub fn new(rate: f64) -> Self {
        let burst = rate.max(1.0);
        Self { rate, burst, tokens: burst, at: Time::default() }
    }

    fn refill(&mut self, now: Time) {
        self.tokens = (self.tokens + now.since(self.at).as_secs() * self.rate).min(self.burst);
        self.at = now;
    }

    /// Whether more than half of a burst is left: then less urgent work may go too.
    pub fn ample(&mut self, now: Time) -> bool {
        self.refill(now);
        self.tokens > self.burst / 2.0
    }

    /// Corrects the last `take` by what it turned out to need.
    pub fn settle(&mut self, more: f64) {
        self.tokens = (self.tokens - more).min(self.burst);
    }

    /// Takes `n` tokens if there are as many (or the bucket is full, for an `n` above it).
    pub fn take(&mut self, n: f64, now: Time) -> bool {
        self.refill(now);
        let ok = self.tokens >= n.min(self.burst);
        if ok {
            self.tokens -= n;
        }
        ok
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_budget_bounds_the_rate_and_allows_a_burst() {
        let mut b = Budget::new(10.0);
        let taken = (0..100).filter(|_| b.take(1.0, Time::from_ms(5))).count();
        assert_eq!(taken, 10);
        assert!(!b.take(1.0, Time::from_ms(50)));
        assert!(b.take(1.0, Time::from_ms(110)));
        assert!(b.take(12.0, Time::from_ms(5000)), "more than the bucket holds passes when it is full");
        assert!(!b.take(1.0, Time::from_ms(5100)));
    }
}
