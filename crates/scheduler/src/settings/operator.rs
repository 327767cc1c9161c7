//! The operators' own settings, in YAML. Unknown keys are errors: with a misspelt key, the default would
//! otherwise apply without notice.

use super::fault::Checker;
use serde::Deserialize;

/// Maximum number of machines that the cloud rents out in one request.
const CLOUD_RENT_LIMIT: u32 = 50;

/// The operators' own settings. Every key has a default; see `docs/operating.md`. Fields are named after the
/// keys.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// TTL of the leader's lease in the key-value store, in ms. A shorter TTL makes failover faster; a longer
    /// one tolerates slower replies.
    pub leader_grant_ms: u64,
    /// Interval, in ms, between the leader's renewals of its lease.
    pub leader_renew_ms: u64,
    /// Duration, in seconds, of a controller's lease on a partition of the machines.
    pub block_lease_s: f64,
    /// How many ms the leader waits for a controller's proposals before it places the tasks itself.
    pub round_timeout_ms: u64,
    /// Interval, in seconds, between saves of the success counts.
    pub counts_save_s: f64,
    /// Factor on the sampled score of a machine whose heartbeat is late.
    pub degraded_factor: f64,
    /// Factor on the sampled score of a machine that has not sent a heartbeat yet.
    pub unknown_factor: f64,
    /// Factor on the sampled score of an empty machine while a partly used one fits; the score of a
    /// half-empty machine is multiplied by the square root of the factor.
    pub empty_factor: f64,
    /// Factor on the sampled score of an on-demand machine for an array that may run on spot, while a spot
    /// machine fits.
    pub dear_factor: f64,
    /// Image fetch time, in seconds, that halves the sampled score of a machine without the image.
    pub fetch_half_s: f64,
    /// A machine whose heartbeat is late by more than this many heartbeat intervals is degraded.
    pub degraded_reports: f64,
    /// A machine whose heartbeat is late by more than this many heartbeat intervals is unreachable: no task
    /// is placed on it.
    pub unreachable_reports: f64,
    /// A machine whose heartbeat is late by more than this many heartbeat intervals is lost: it is returned
    /// to the cloud, which guarantees that its tasks have ended.
    pub lost_reports: f64,
    /// How many seconds a machine may be empty before it is returned.
    pub idle_return_s: f64,
    /// A machine that has not become ready within this many nominal boot times is returned.
    pub boot_patience: f64,
    /// Delay, in seconds, after a refused rental before the same machine type, zone and market is tried
    /// again.
    pub refusal_pause_s: f64,
    /// Maximum number of machines rented in one request (the cloud's limit is 50).
    pub rent_at_most: u32,
    /// Maximum number of tasks in one scheduling round.
    pub round_tasks: usize,
    /// Maximum number of users' requests that wait for the key-value store at a time.
    pub max_waiting_requests: usize,
    /// Time, in ms, that a user's request may wait for the key-value store before it is refused and the user
    /// has to retry.
    pub request_patience_ms: u64,
    /// Share of the key-value store's write limit that users' requests may use, over all nodes.
    pub user_write_share: f64,
    /// Interval, in seconds, between reads of the cloud's list of machines.
    pub list_every_s: f64,
    /// Whether every node answers workers' heartbeats on behalf of the leader, or only the leader.
    pub report_homes: bool,
}

impl Default for Operator {
    fn default() -> Self {
        Self {
            leader_grant_ms: 4000,
            leader_renew_ms: 1000,
            block_lease_s: 30.0,
            round_timeout_ms: 400,
            counts_save_s: 10.0,
            degraded_factor: 0.5,
            unknown_factor: 0.8,
            empty_factor: 0.3,
            dear_factor: 0.3,
            fetch_half_s: 1.0,
            degraded_reports: 1.6,
            unreachable_reports: 2.5,
            lost_reports: 4.0,
            idle_return_s: 45.0,
            boot_patience: 4.0,
            refusal_pause_s: 8.0,
            rent_at_most: 50,
            round_tasks: 64,
            max_waiting_requests: 512,
            request_patience_ms: 1500,
            user_write_share: 0.5,
            list_every_s: 5.0,
            report_homes: true,
        }
    }
}

impl Operator {
    /// Parses the file's text. If that fails, records the fault and returns the defaults.
    pub(super) fn read(text: &str, checker: &mut Checker) -> Self {
        deserialize(text).unwrap_or_else(|error| {
            let message = error.to_string();
            checker.fault(&key_in(&message), message.clone());
            Self::default()
        })
    }

    pub(super) fn check(&self, checker: &mut Checker) {
        self.check_lease(checker);
        self.check_numbers(checker);
        self.check_lateness(checker);
        self.check_limits(checker);
    }

    fn check_lease(&self, checker: &mut Checker) {
        if !(500..=60_000).contains(&self.leader_grant_ms) {
            checker.fault("leader_grant_ms", "must be between 500 and 60000");
        }
        if self.leader_renew_ms < 50 || self.leader_renew_ms * 2 > self.leader_grant_ms {
            checker.fault("leader_renew_ms", "must be at least 50 and at most half of leader_grant_ms");
        }
    }

    fn check_numbers(&self, checker: &mut Checker) {
        let positive = [
            ("block_lease_s", self.block_lease_s),
            ("counts_save_s", self.counts_save_s),
            ("idle_return_s", self.idle_return_s),
            ("fetch_half_s", self.fetch_half_s),
            ("boot_patience", self.boot_patience),
            ("refusal_pause_s", self.refusal_pause_s),
            ("list_every_s", self.list_every_s),
            ("degraded_reports", self.degraded_reports),
        ];
        for (key, value) in positive {
            checker.above(key, value, 0.0);
        }
        let shares = [
            ("degraded_factor", self.degraded_factor),
            ("unknown_factor", self.unknown_factor),
            ("empty_factor", self.empty_factor),
            ("dear_factor", self.dear_factor),
            ("user_write_share", self.user_write_share),
        ];
        for (key, value) in shares {
            checker.share(key, value);
        }
    }

    fn check_lateness(&self, checker: &mut Checker) {
        if self.unreachable_reports.is_nan() || self.unreachable_reports < self.degraded_reports {
            checker.fault("unreachable_reports", "must be at least degraded_reports");
        }
        if !(self.lost_reports >= self.unreachable_reports && self.lost_reports >= 2.0) {
            checker.fault("lost_reports", "must be at least unreachable_reports and at least 2");
        }
    }

    fn check_limits(&self, checker: &mut Checker) {
        if !(1..=CLOUD_RENT_LIMIT).contains(&self.rent_at_most) {
            checker.fault("rent_at_most", "must be between 1 and 50, the cloud's limit");
        }
        if !(1..=1000).contains(&self.round_tasks) {
            checker.fault("round_tasks", "must be between 1 and 1000");
        }
        if self.max_waiting_requests == 0 {
            checker.fault("max_waiting_requests", "must be at least 1");
        }
        if self.round_timeout_ms == 0 {
            checker.fault("round_timeout_ms", "must be at least 1");
        }
        if !(100..=4500).contains(&self.request_patience_ms) {
            checker.fault("request_patience_ms", "must be between 100 and 4500; users wait 5 s at most");
        }
    }
}

fn deserialize(text: &str) -> Result<Operator, serde_yaml_ng::Error> {
    // An empty file, or one with only comments, is valid and selects the defaults.
    let value: serde_yaml_ng::Value = serde_yaml_ng::from_str(text)?;
    if value.is_null() {
        return Ok(Operator::default());
    }
    serde_yaml_ng::from_str(text)
}

/// The key that an error's message names.
fn key_in(message: &str) -> String {
    match message.split('`').nth(1) {
        Some(key) if message.contains("unknown field") => key.to_string(),
        _ => message.split(':').next().filter(|key| !key.contains(' ')).unwrap_or("(syntax)").to_string(),
    }
}
