//! Numbers that tell one start of a task or gang from another.

use crate::types::{Attempt, FencingToken};

/// Bits of a number below the fencing token: a term has about a million attempts before it would reach the
/// numbers of the next.
const COUNTER_BITS: u32 = 20;

/// Issues attempt numbers that are unique over all terms of leadership: the fencing token is in the upper bits,
/// so a number is never used again although the counter is only kept in memory.
#[derive(Debug)]
pub struct Attempts {
    last: u64,
}

impl Attempts {
    /// The numbers of the term `fencing_token`.
    pub fn new(fencing_token: FencingToken) -> Self {
        Self { last: fencing_token.0 << COUNTER_BITS }
    }

    /// The next number, higher than all before it.
    pub fn issue(&mut self) -> Attempt {
        self.last += 1;
        Attempt(self.last)
    }
}

#[cfg(test)]
mod tests;
