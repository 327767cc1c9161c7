//! The limits of the key-value store.

/// What the key-value store accepts from the whole service, either at present or after an announced change.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Changes (puts and deletes) per second.
    pub write_rps: f64,
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Changes in a transaction.
    pub txn_ops: usize,
}
