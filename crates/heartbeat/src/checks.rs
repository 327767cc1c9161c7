//! Safety checks that tests can disable, as in mutation testing.
//!
//! A search over all orders of events, or a simulated day, shows that an invariant holds. With one check
//! disabled the same test must find a violation, which proves that the test can fail and that the check is
//! needed. In production no check is disabled: every component starts with [`SafetyChecks::default`].

use pearford_types::Duration;

/// A safety check that a test disables. Each variant describes the check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisabledCheck {
    /// The bound on renewals has a margin for clock drift and for messages in flight. Without it the bound is
    /// longer by this duration.
    Margin(Duration),
    /// The age of a read of the job records is counted from the start of the read, not from its answer.
    ReadStart,
    /// A node that has not read the job records yet renews no lease.
    FirstRead,
    /// While the key-value store is unreachable, leases are not renewed on machines where a start may still
    /// arrive.
    UnacknowledgedStarts,
    /// An answer that renews a lease stops the reported tasks of finished jobs.
    Stops,
    /// A worker is not answered with a lower fencing token than it has seen.
    OlderFencingToken,
    /// A heartbeat that is reported as unchanged counts only if the leader knows the same content.
    DigestContent,
}

/// Which safety checks a component performs: all except the one that a test has disabled.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SafetyChecks {
    disabled: Option<DisabledCheck>,
}

impl SafetyChecks {
    /// Disables a check, for tests. A check that was disabled before is enabled again.
    pub(crate) fn disable(&mut self, check: DisabledCheck) {
        self.disabled = Some(check);
    }

    /// Whether a check is enabled.
    pub(crate) fn is_enabled(&self, check: DisabledCheck) -> bool {
        self.disabled != Some(check)
    }

    /// The duration by which the bound on lease renewals is too long: 0 unless a test has disabled the margin.
    pub(crate) fn disabled_margin(&self) -> Duration {
        match self.disabled {
            Some(DisabledCheck::Margin(margin)) => margin,
            _ => Duration::from_millis(0),
        }
    }
}
