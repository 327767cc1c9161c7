//! Assignments: which task may be on which machine, and how that is made durable. Used by the leader.
//!
//! An assignment is durable before the command that starts its task is sent. It is removed only once the
//! task is proved to be gone from the machine. Quotas, free resources and the spread over zones count every
//! assignment, including those of lost and of stopping tasks.

mod assignment;
mod commit_pipeline;
mod machine_record;
mod quota;

pub use assignment::{Assignment, AssignmentState, Stop, UNACKNOWLEDGED_SERIAL};
pub use commit_pipeline::{
    CommitBatch, CommitPipeline, CommitPriority, CommittedWrite, RefusedWrite, WriteVersion,
};
pub use machine_record::{
    CachedImage, MAX_ASSIGNMENTS, MachineRecord, PREFIX, RecordedAssignment, assignment_bytes, key,
};
pub use quota::{tasks_within_limit, used_by_team, within_limit};

#[cfg(test)]
mod golden;
