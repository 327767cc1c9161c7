//! Which controller node answers which workers' heartbeats.
//!
//! If one node answered every heartbeat, its sockets and processor would have to be sized for the whole
//! service. Instead the leader delegates its right to answer. Each node is the *assigned node* of a part of
//! the machines: it answers their heartbeats with the leader's fencing token, reports changes to the leader
//! in digests, and relays the leader's commands. `docs/design/heartbeat.md` compares the alternatives and
//! gives the safety argument.
//!
//! Every node has a [`Delegate`]; the leader also has a [`Coordinator`]. [`LeaseRenewal`] bounds how long a
//! node may continue to renew workers' leases. Nodes that can't reach the leader report through the key-value
//! store: [`IsolationReporter`] makes these reports, [`IsolationReports`] collects them on the leader. All of
//! these types are state machines without I/O: the current time is an argument, and messages to send are
//! return values.
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

/// Hash for recognising that two heartbeats have the same content (xxh3, 64 bits).
pub fn content_hash(content: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(content)
}
