//! Which controller node answers which workers' heartbeats.
//!
//! If one node answered every heartbeat, its sockets and processor would have to be sized for the whole
//! service. Instead the leader delegates its right to answer. Each node is the *assigned node* of a part of
//! the machines: it answers their heartbeats with the leader's fencing token, reports what has changed to the
//! leader in digests, and relays the leader's commands. `docs/design/heartbeat.md` weighs the alternatives
//! and has the safety argument.
//!
//! [`Delegate`] is the part of every node, [`Coordinator`] that of the leader. [`LeaseRenewal`] bounds until
//! when a node may renew workers' leases, and [`IsolationReporter`] and [`IsolationReports`] carry what nodes
//! that can't reach the leader report through the key-value store. All of them are state machines without
//! I/O: the time is an argument, and what is to be sent is the return value.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod checks;
mod coordinator;
mod delegate;
mod isolation;
mod lease_renewal;
mod messages;
mod rendezvous;
#[cfg(test)]
mod tests;

pub use checks::DisabledCheck;
pub use coordinator::{Coordinator, KnownHeartbeat, LiveNode, ReceivedHeartbeat, ResendRequest};
pub use delegate::{Delegate, IncomingHeartbeat, OutgoingDigest, Routing};
pub use isolation::{IsolationReport, IsolationReporter, IsolationReports};
pub use lease_renewal::{LeaseRenewal, RenewalBounds, UnacknowledgedStarts};
pub use messages::{
    Delegation, FullHeartbeat, HeartbeatDigest, HeartbeatPosition, RelayResult, RelayedCommand,
    UnchangedHeartbeat,
};
pub use rendezvous::{NodeWeight, NodeWeights};

/// Hash by which nodes recognise that two heartbeats have the same content (xxh3, 64 bits).
pub fn content_hash(content: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(content)
}
