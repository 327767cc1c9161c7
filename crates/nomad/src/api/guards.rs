//! Guarantees that tests can disable, to prove that the checks of them can fail (as in mutation testing). Outside of
//! tests all hold.

/// A guarantee of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// A file that is registered already makes no new version.
    Repeat,
    /// An answer is as of a read begun after the request.
    FreshRead,
    /// A stop cancels the native jobs.
    Cancellation,
    /// An old part goes only once new replicas are healthy in its place.
    HealthyFirst,
}

#[cfg(test)]
thread_local! {
    static OUT: std::cell::Cell<Option<Guard>> = const { std::cell::Cell::new(None) };
}

/// Whether the guarantee holds: always, but in tests that disable it.
#[cfg(test)]
pub fn holds(guard: Guard) -> bool {
    OUT.get() != Some(guard)
}

#[cfg(not(test))]
pub const fn holds(_: Guard) -> bool {
    true
}

/// Does something with a guarantee disabled.
#[cfg(test)]
pub fn without<T>(guard: Guard, what: impl FnOnce() -> T) -> T {
    OUT.set(Some(guard));
    let out = what();
    OUT.set(None);
    out
}
