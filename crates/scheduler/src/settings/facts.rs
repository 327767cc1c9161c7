//! The facts of the platform's file that nodes use unchanged: limits and objectives of the surrounding
//! services.
//!
//! Fields are named after the keys of the file, in the table `facts`.

use crate::rate_limit::StoreLimits;
use crate::types::Duration;
use serde::Deserialize;

/// Margin, in seconds, by which a node without the key-value store stops answering heartbeats early.
const ANSWER_MARGIN_S: f64 = 4.0;

/// Bytes in a KB. The smaller of 1000 and 1024, so that values fit whichever of the two the store counts by.
const BYTES_PER_KB: f64 = 1000.0;

/// A service objective for a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// The kind of objective: `wait` and `guarantee` bound the time until a job starts; other kinds are
    /// ignored.
    pub kind: String,
    /// The class of jobs that a `wait` objective is for.
    #[serde(default)]
    pub class: Option<String>,
    /// The bound in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share of jobs for which the bound must hold.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Intervals and timeouts of workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerFacts {
    /// Interval between a worker's heartbeats.
    pub report_s: f64,
    /// A worker whose last answered heartbeat is older stops its tasks.
    pub lease_s: f64,
    /// How long a gang's task waits for the others to start.
    pub gang_wait_s: f64,
    /// How long a gang's task keeps running after another task of the gang was lost.
    pub gang_peer_s: f64,
    /// Time within which a cancelled job's tasks must have ended after the cancellation was acknowledged.
    pub cancel_s: f64,
}

impl WorkerFacts {
    /// How long heartbeats may be answered with 200 after the start of the last linearizable read of the job
    /// records.
    ///
    /// A cancellation that the read didn't return was acknowledged after the read began. The worker's lease
    /// ends `lease_s` after its last answered heartbeat, and the task must have ended `cancel_s` after the
    /// cancellation. Heartbeats are therefore answered until `cancel_s - lease_s` after the read, less a
    /// margin.
    pub fn answer_window(&self) -> Duration {
        Duration::from_secs_f64(self.cancel_s - self.lease_s - ANSWER_MARGIN_S)
    }
}

/// The key-value store's limits.
#[derive(Debug, Clone, Deserialize)]
pub struct StateFacts {
    /// Requests a second.
    pub rps: f64,
    /// Changes (puts and deletes) a second.
    pub write_rps: f64,
    /// Maximum size of a value, in KB.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// Limits that come into force later, at an unannounced time.
    #[serde(default)]
    pub next: Option<NextStateFacts>,
}

/// The key-value store's next limits; a limit that isn't given stays as it is.
#[derive(Debug, Clone, Deserialize)]
pub struct NextStateFacts {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes (puts and deletes) a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of changes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateFacts {
    /// For each limit, the stricter of the present and the next one, which applies from the start: the change
    /// is not announced, and a value written under the larger limit could not be rewritten after it.
    pub(super) fn limits(&self) -> StoreLimits {
        let next = self.next.as_ref();
        let stricter = |now: f64, next: Option<f64>| next.map_or(now, |next| now.min(next));
        let value_kb = stricter(self.value_kb, next.and_then(|next| next.value_kb));
        let next_txn_ops = next.and_then(|next| next.txn_ops);
        StoreLimits {
            rps: stricter(self.rps, next.and_then(|next| next.rps)),
            write_rps: stricter(self.write_rps, next.and_then(|next| next.write_rps)),
            value_bytes: (value_kb * BYTES_PER_KB) as usize,
            txn_ops: next_txn_ops.map_or(self.txn_ops, |ops| ops.min(self.txn_ops)),
        }
    }
}

/// The cloud's limits.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudFacts {
    /// Requests a second.
    pub rps: f64,
    /// Maximum age, in seconds, of the data in the list of machines.
    pub list_lag_s: f64,
}

/// What a node may use of its own machine.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Share of the machine's processors.
    pub cpu_share: f64,
    /// Memory in MB.
    pub ram_mb: f64,
    /// Maximum number of open connections, incoming and outgoing.
    pub max_connections: usize,
}

impl MachineLimits {
    /// Connections reserved for outgoing calls and for peers; users and workers share the rest.
    pub fn reserved_connections(&self) -> usize {
        (self.max_connections / 5).clamp(8, 600)
    }

    /// Maximum number of concurrent commands to workers, each of which takes a connection. Only a part of
    /// `reserved_connections`: without this bound, a node at 1.5 times the planned load and with frequent
    /// faults used up its connections for commands and could no longer reach its peers.
    pub fn max_concurrent_commands(&self) -> usize {
        self.reserved_connections() * 3 / 4
    }
}
