//! Identifiers, revisions, times and resource amounts shared by all of pearford's packages.
//!
//! Each concept has its own type, so that the compiler rejects, for example, a fencing token in place of a
//! lease id, or a wall-clock time in place of a monotonic one. The serialised form of every type here is part
//! of stored records and of messages between controllers: it must not change.
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
