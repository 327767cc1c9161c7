//! Guards that tests take out, to prove that what checks them can fail. Outside of tests all are in.

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// A file that is registered already makes no new version.
    Repeat,
    /// An answer is as of a read begun after the question.
    FreshRead,
    /// A stop withdraws the native jobs.
    Cancellation,
    /// An old part goes only once new replicas are healthy in its place.
    HealthyFirst,
}

#[cfg(test)]
thread_local! {
    static OUT: std::cell::Cell<Option<Guard>> = const { std::cell::Cell::new(None) };
}

/// Whether the guard is in its place.
#[cfg(test)]
pub fn holds(guard: Guard) -> bool {
    OUT.get() != Some(guard)
}

#[cfg(not(test))]
pub const fn holds(_: Guard) -> bool {
    true
}

/// Does something with a guard taken out.
#[cfg(test)]
pub fn without<T>(guard: Guard, what: impl FnOnce() -> T) -> T {
    OUT.set(Some(guard));
    let out = what();
    OUT.set(None);
    out
}
