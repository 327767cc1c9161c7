//! How a leadership ends, and why.

use std::fmt;

/// How a leadership ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::node) enum LeadershipEnd {
    /// The leadership has already been lost.
    Lost(LeadershipLost),
    /// The leader resigns because another node may reach more workers.
    Resign(ResignReason),
}

/// How a leader found out that it is no longer leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::node) enum LeadershipLost {
    /// A transaction failed because its condition on the leader key did not hold.
    LeaderKeyChanged,
}

impl LeadershipLost {
    /// The reason, as logged for operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LeaderKeyChanged => "the leader key has changed",
        }
    }
}

impl fmt::Display for LeadershipLost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a leader resigns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::node) enum ResignReason {
    /// Most workers send it no heartbeats, but a peer receives some.
    HeartbeatsMissing,
    /// Nodes partitioned from the leader receive heartbeats from many more workers.
    IsolatedNodesReachMoreWorkers,
}

impl ResignReason {
    /// The reason, as logged for operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::HeartbeatsMissing => {
                "no heartbeats from most workers, but another node receives some; this node may be cut off"
            }
            Self::IsolatedNodesReachMoreWorkers => {
                "nodes partitioned from this one receive heartbeats from more workers"
            }
        }
    }
}

impl fmt::Display for ResignReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
