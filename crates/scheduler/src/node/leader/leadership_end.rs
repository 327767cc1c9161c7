//! How a leadership ends, and why.

use std::fmt;

/// How a leadership ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::node) enum LeadershipEnd {
    /// It is lost already.
    Lost(LeadershipLost),
    /// The leader gives it back: another node may do better.
    Resign(ResignReason),
}

/// How a leader learned that it leads no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::node) enum LeadershipLost {
    /// A transaction failed by its condition on the leader key.
    LeaderKeyChanged,
}

impl LeadershipLost {
    /// The reason as operators read it.
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

/// Why a leader gives its leadership back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::node) enum ResignReason {
    /// It hears few workers while a peer hears some.
    HeartbeatsMissing,
    /// Isolated nodes hear many more workers.
    IsolatedNodesReachMoreWorkers,
}

impl ResignReason {
    /// The reason as operators read it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::HeartbeatsMissing => "most workers are silent: the fault may be here",
            Self::IsolatedNodesReachMoreWorkers => "nodes that are apart from this one hear more workers",
        }
    }
}

impl fmt::Display for ResignReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
