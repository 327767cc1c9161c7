//! Which node answers which workers' reports.
//!
//! One node used to answer all of them, and its sockets and processor were the size of the service. Now the
//! leader delegates its right to answer, and each node is the *home* of a part of the machines: it answers
//! their reports with the leader's fence, tells the leader what has changed in digests, and passes the
//! leader's orders on. `docs/design/homes.md` has the ways weighed and the safety argument.
//!
//! [`Delegate`] is every node's part, [`Hub`] the leader's. Both are state machines: time comes in as an
//! argument, what is to be sent comes out.
#![forbid(unsafe_code)]

mod apart;
mod delegate;
mod hub;
mod messages;
mod renewal;
mod rule;
#[cfg(test)]
mod tests;

pub use apart::{Teller, Told, Word};
pub use delegate::{Ask, Delegate, Guard, Turn};
pub use hub::{Heard, Hub, Known};
pub use messages::{Delegation, Digest, Full, Relayed, RelayedCall, Same, Stamped};
pub use renewal::{Bounds, Doubt, Renewal, Without};
pub use rule::{Homes, Place};

/// Identifies what a report says, whoever heard it.
pub fn content_hash(content: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(content)
}
