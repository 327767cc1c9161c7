//! Attempt numbers, which identify one start of a task or gang.

use crate::types::{Attempt, FencingToken};

/// Bits of an attempt number below the fencing token: a term can issue about a million numbers before they
/// would overlap those of the next term.
const COUNTER_BITS: u32 = 20;

/// Issues attempt numbers that are unique across leader terms. The upper bits are the fencing token, so that
/// numbers are not reused although the counter is kept in memory only.
#[derive(Debug)]
pub struct Attempts {
    last: u64,
}

impl Attempts {
    /// A counter for the term of `fencing_token`.
    pub fn new(fencing_token: FencingToken) -> Self {
        Self { last: fencing_token.0 << COUNTER_BITS }
    }

    /// Issues the next number, which is higher than all earlier ones.
    pub fn issue(&mut self) -> Attempt {
        self.last += 1;
        Attempt(self.last)
    }
}

#[cfg(test)]
mod tests;
