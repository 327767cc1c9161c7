//! Which node answers which workers' reports.
//!
//! One node used to answer all of them, and its sockets and processor were the size of the service. Now the
//! leader delegates its right to answer, and each node is the *home* of a part of the machines: it answers
//! their reports with the leader's fence, tells the leader what has changed in digests, and passes the
//! leader's orders on. `docs/design/node_weights.md` has the ways weighed and the safety argument.
//!
//! [`Delegate`] is every node's part, [`Coordinator`] the leader's. Both are state machines: time comes in as an
//! argument, what is to be sent comes out.
#![forbid(unsafe_code)]

mod coordinator;
mod delegate;
mod isolation;
mod lease_renewal;
mod messages;
mod rendezvous;
#[cfg(test)]
mod tests;

pub use coordinator::{Coordinator, HeardHeartbeat, KnownHeartbeat};
pub use delegate::{Delegate, DelegateCheck, IncomingHeartbeat, Routing};
pub use isolation::{IsolationReport, IsolationReporter, IsolationReports};
pub use lease_renewal::{Bounds, DisabledCheck, LeaseRenewal, UnacknowledgedStarts};
pub use messages::{
    Delegation, FullHeartbeat, HeartbeatDigest, HeartbeatPosition, RelayResult, RelayedCommand,
    UnchangedHeartbeat,
};
pub use rendezvous::{NodeWeight, NodeWeights};

/// Identifies what a report says, whoever heard it.
pub fn content_hash(content: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(content)
}
