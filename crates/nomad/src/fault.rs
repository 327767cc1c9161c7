//! What is wrong with a job, and where.

use std::fmt;

/// A place in a text, from 1; the default where there is none to name.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pos {
    /// The line.
    pub line: u32,
    /// The column, in bytes.
    pub column: u32,
}

/// One thing that is wrong. The reason says what to write instead.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Fault {
    /// Where it is.
    pub at: Pos,
    /// The field, from the top: `job.group.task.resources.cores`.
    pub path: String,
    /// What is wrong, and what to write instead.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.at != Pos::default() {
            write!(f, "{}:{}: ", self.at.line, self.at.column)?;
        }
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// Faults found so far; no more are kept than a reader can use.
#[derive(Debug, Default)]
pub struct Faults {
    found: Vec<Fault>,
    left_out: usize,
}

/// The most faults that are kept.
const MAX_FAULTS: usize = 100;

impl Faults {
    /// Notes a fault, or only counts it if there are enough.
    pub fn add(&mut self, at: Pos, path: &str, reason: impl Into<String>) {
        if self.found.len() < MAX_FAULTS {
            self.found.push(Fault { at, path: path.into(), reason: reason.into() });
        } else {
            self.left_out += 1;
        }
    }

    /// `value`, if nothing was wrong; else all faults in the order of the text.
    pub fn or<T>(mut self, value: T) -> Result<T, Vec<Fault>> {
        if self.found.is_empty() {
            return Ok(value);
        }
        self.found.sort_by_key(|f| f.at);
        if self.left_out > 0 {
            let reason = format!("{} more faults are not listed", self.left_out);
            self.found.push(Fault { at: Pos::default(), path: "(more)".into(), reason });
        }
        Err(self.found)
    }

    /// Whether nothing has been found.
    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }
}
