//! Identifiers, revisions, times and resource amounts shared by all of pearford's packages.
//!
//! Each concept has a type of its own, so that the compiler keeps a fencing token from being passed
//! where a lease id is wanted, or a wall-clock time where a monotonic one is. The serialised form of
//! every type here is part of stored records and of messages between controllers: it must not change.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod ids;
mod macros;
mod resources;
mod time;

pub use ids::{
    Attempt, FencingToken, Image, JobId, Kind, LeaseId, MachineId, NodeName, RequestId, Revision, TaskId,
    TeamName, TypeName, WorkerEpoch, Zone,
};
pub use resources::Resources;
pub use time::{Duration, MonotonicTime, WallTime};
