//! Guarantees that tests can disable, to prove that the tests detect a violation (as in mutation testing).
//! Outside tests all guarantees hold.

/// A guarantee of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// The repeat of a registration makes no new version.
    Repeat,
    /// An answer reflects a store read that began after the request arrived.
    FreshRead,
    /// Native jobs of a stopped job or a replaced version are cancelled.
    Cancellation,
    /// An old part is cancelled only once as many new replicas are healthy.
    HealthyFirst,
}

#[cfg(test)]
thread_local! {
    static DISABLED: std::cell::Cell<Option<Guard>> = const { std::cell::Cell::new(None) };
}

/// Whether the guarantee holds: always, except in tests that disable it.
#[cfg(test)]
pub fn holds(guard: Guard) -> bool {
    DISABLED.get() != Some(guard)
}

#[cfg(not(test))]
pub const fn holds(_: Guard) -> bool {
    true
}

/// Runs `action` with a guarantee disabled.
#[cfg(test)]
pub fn with_disabled<T>(guard: Guard, action: impl FnOnce() -> T) -> T {
    DISABLED.set(Some(guard));
    let result = action();
    DISABLED.set(None);
    result
}
