//! How far a job has come, in numbers of tasks.

use serde::{Deserialize, Serialize};

/// Tasks of one job that are finished, and that run now. The rest wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Tasks that have succeeded.
    pub done: u32,
    /// Tasks that run on a machine now.
    pub running: u32,
}
