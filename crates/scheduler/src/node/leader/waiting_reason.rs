//! Why a job's tasks wait, as operators read it.

use std::fmt;

/// What keeps a job's tasks from being placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitingReason {
    /// Tasks of the gang's last attempt may still be on their machines.
    GangStillPlaced,
    /// The team takes all that it may.
    TeamAtLimit,
    /// No machine has the free resources.
    NoCapacity,
    /// Machines that fit are being moved to its controller's partition.
    MachinesMove,
    /// Other tasks are being stopped to free resources for it.
    Preempting,
}

impl WaitingReason {
    /// The reason as operators read it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::GangStillPlaced => "the gang's last attempt is not off its machines yet",
            Self::TeamAtLimit => "its team is at its limit",
            Self::NoCapacity => "no machine has room for it",
            Self::MachinesMove => "machines move to its controller's block",
            Self::Preempting => "others are making room for it",
        }
    }
}

impl fmt::Display for WaitingReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
