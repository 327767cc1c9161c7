//! Feature levels: each stands for the features that programs from a certain version on understand.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A set of features of stored records and of messages. A node that understands a level understands all lower
/// ones. Stored as a plain number; 0 stands for programs older than the first level, which announce none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FeatureLevel(pub(super) u32);

impl fmt::Display for FeatureLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Jobs may depend on other jobs.
pub const DEPENDENCIES: FeatureLevel = FeatureLevel(1);
/// Nodes other than the leader answer workers' heartbeats on its behalf.
pub const HEARTBEAT_DELEGATION: FeatureLevel = FeatureLevel(2);
/// The leader announces the machines at which it has unacknowledged starts.
pub const UNACKNOWLEDGED_STARTS: FeatureLevel = FeatureLevel(3);
/// The level that this program understands.
pub(super) const CURRENT: FeatureLevel = UNACKNOWLEDGED_STARTS;
