//! Safety checks that tests can switch off, as in mutation testing.
//!
//! A search over all orders of events, or a simulated day, shows that a rule holds. With one check switched
//! off the same test must find how the rule breaks, which proves that the test can fail and that the check is
//! needed. In production nothing is switched off: every component starts with [`SafetyChecks::default`].

use pearford_types::Duration;

/// A safety check that a test switches off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisabledCheck {
    /// The margin for clock drift and for messages on their way: the bound on renewals is longer by this
    /// much.
    Margin(Duration),
    /// A read of the job records counts from when it was begun, not from its answer.
    ReadStart,
    /// A node that has not read the job records yet renews nothing.
    FirstRead,
    /// Where a start may still arrive, leases are not renewed without the key-value store.
    UnacknowledgedStarts,
    /// An answer that renews a lease stops the listed tasks of finished jobs.
    Stops,
    /// A worker that has seen a higher fencing token is not answered with a lower one.
    OlderFencingToken,
    /// A heartbeat that is reported as unchanged counts only where the same content is known.
    DigestContent,
}

/// Which safety checks a component performs: all but the one that a test has switched off.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SafetyChecks {
    disabled: Option<DisabledCheck>,
}

impl SafetyChecks {
    /// Switches a check off, for tests; one that was off before is on again.
    pub(crate) fn disable(&mut self, check: DisabledCheck) {
        self.disabled = Some(check);
    }

    /// Whether a check is performed.
    pub(crate) fn performs(&self, check: DisabledCheck) -> bool {
        self.disabled != Some(check)
    }

    /// By how much the bound on lease renewals is too long: 0 unless a test has switched the margin off.
    pub(crate) fn skipped_margin(&self) -> Duration {
        match self.disabled {
            Some(DisabledCheck::Margin(margin)) => margin,
            _ => Duration::from_millis(0),
        }
    }
}
