//! Faults in settings files, and the checks that collect them.

use std::net::SocketAddr;

/// A fault in one key.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{file}: {key}: {message}")]
pub struct Fault {
    /// The file's name, as given to `parse`.
    pub file: String,
    /// The key, with the names of its tables, or `(syntax)`.
    pub key: String,
    /// The fault, and what a valid value is.
    pub message: String,
}

/// Collects the faults of a file, in the order of the checks.
pub(super) struct Checker {
    file: String,
    faults: Vec<Fault>,
}

impl Checker {
    pub(super) fn new(file: &str) -> Self {
        Self { file: file.into(), faults: Vec::new() }
    }

    /// Attributes the faults of all following checks to `file`.
    pub(super) fn enter_file(&mut self, file: &str) {
        self.file = file.into();
    }

    /// `value`, or all faults if there are any.
    pub(super) fn finish<T>(self, value: T) -> Result<T, Vec<Fault>> {
        if self.faults.is_empty() { Ok(value) } else { Err(self.faults) }
    }

    pub(super) fn fault(&mut self, key: &str, message: impl Into<String>) {
        self.faults.push(Fault { file: self.file.clone(), key: key.into(), message: message.into() });
    }

    /// Parses an address; records a fault and returns a placeholder if it is malformed.
    pub(super) fn address(&mut self, key: &str, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            self.fault(key, format!("`{text}` is not IP:PORT; give e.g. 10.0.0.1:8080"));
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    pub(super) fn above(&mut self, key: &str, value: f64, bound: f64) {
        if !value.is_finite() || value <= bound {
            self.fault(key, format!("must be a number above {bound}, is {value}"));
        }
    }

    pub(super) fn at_least(&mut self, key: &str, value: f64, least: f64) {
        if !value.is_finite() || value < least {
            self.fault(key, format!("must be a number of at least {least}, is {value}"));
        }
    }

    pub(super) fn share(&mut self, key: &str, value: f64) {
        if !(value > 0.0 && value <= 1.0) {
            self.fault(key, format!("must be above 0 and at most 1, is {value}"));
        }
    }

    pub(super) fn not_empty(&mut self, key: &str, value: &str) {
        if value.is_empty() {
            self.fault(key, "must not be empty");
        }
    }
}
