//! A job's progress, as numbers of tasks.

use serde::{Deserialize, Serialize};

/// Numbers of done and running tasks of one job. The other tasks wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Tasks that have succeeded.
    pub done: u32,
    /// Tasks that are running on a machine.
    pub running: u32,
}
