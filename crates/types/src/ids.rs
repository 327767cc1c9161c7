//! Names and numbers that identify jobs, tasks, machines, nodes and revisions.

use crate::macros::{name_type, number_type};
use serde::{Deserialize, Serialize};
use std::fmt;

name_type!(
    /// Name of a job, given by its user.
    JobId
);
name_type!(
    /// Name of a machine, given by the cloud.
    MachineId
);
name_type!(
    /// Name of a controller node.
    NodeName
);
name_type!(
    /// Name of an availability zone of the cloud.
    Zone
);
name_type!(
    /// Name of a machine type of the cloud.
    TypeName
);
name_type!(
    /// Name of a team, the unit of quotas.
    TeamName
);
name_type!(
    /// Class of a job, given by its user; placement outcomes are counted per kind.
    Kind
);
name_type!(
    /// Name of the image that a task needs on its machine.
    Image
);

number_type!(
    /// Identifies one term of leadership: the revision at which the leader key was written. Workers and
    /// conditional commits refuse a leader whose token is older than the newest one they have seen.
    FencingToken
);
number_type!(
    /// Revision of a key in the key-value store; 0 means that the key does not exist.
    Revision
);
number_type!(
    /// Id of a lease of the key-value store; the keys attached to the lease are deleted when it expires.
    LeaseId
);
number_type!(
    /// Identifies one start of a task; all tasks of a gang's attempt share the number.
    Attempt
);
number_type!(
    /// Identifies one run of a worker.
    WorkerEpoch
);
number_type!(
    /// Id of a request, which correlates an effect of the controller with the input that is its reply.
    RequestId
);

/// One task of a job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Position of the task within its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses the form that `Display` writes, such as `job/3`; `None` if `text` has another form.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.rsplit_once('/')?;
        Some(Self { job: job.into(), index: index.parse().ok()? })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.job, self.index)
    }
}

#[cfg(test)]
mod tests;
