//! Small types of their own for ids, versions and times, shared by all packages.
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self(Arc::from(s))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

name_type!(
    /// A job, as its user named it.
    JobId
);
name_type!(
    /// A machine, as the cloud named it.
    MachineId
);
name_type!(
    /// A controller node.
    NodeName
);
name_type!(
    /// A zone.
    Zone
);
name_type!(
    /// A machine type.
    TypeName
);
name_type!(
    /// A team.
    TeamName
);
name_type!(
    /// A kind of job: its class. Counts are kept per kind.
    Kind
);
name_type!(
    /// An image a task needs on its machine.
    Image
);

number_type!(
    /// Shows workers who may give orders: the revision of the leader key.
    FencingToken
);
number_type!(
    /// Revision of a key in the state service; 0 means that it does not exist.
    Revision
);
number_type!(
    /// A grant (lease) of the state service.
    LeaseId
);
number_type!(
    /// Tells one start of a task from another; shared by the tasks of a gang's attempt.
    Attempt
);
number_type!(
    /// A worker's session.
    WorkerEpoch
);
number_type!(
    /// Correlates an effect with the input that answers it.
    RequestId
);
number_type!(
    /// Wall-clock time in milliseconds since 1970.
    WallTime
);

/// A point on this process's steady clock.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct MonotonicTime(u64);

/// A length of time in milliseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Duration(pub u64);

impl Duration {
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms)
    }
    pub fn from_secs_f64(s: f64) -> Self {
        Self((s.max(0.0) * 1000.0) as u64)
    }
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }
    pub fn times(self, f: f64) -> Self {
        Self((self.0 as f64 * f) as u64)
    }
}

impl MonotonicTime {
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms)
    }
    /// Time since `earlier`, 0 if that lies ahead.
    pub fn since(self, earlier: MonotonicTime) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
    pub fn before(self, s: Duration) -> MonotonicTime {
        MonotonicTime(self.0.saturating_sub(s.0))
    }
    pub fn as_millis(self) -> u64 {
        self.0
    }
}

impl std::ops::Add<Duration> for MonotonicTime {
    type Output = MonotonicTime;
    fn add(self, s: Duration) -> MonotonicTime {
        MonotonicTime(self.0.saturating_add(s.0))
    }
}

impl std::ops::Add for Duration {
    type Output = Duration;
    fn add(self, o: Duration) -> Duration {
        Duration(self.0 + o.0)
    }
}

/// One task of a job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl TaskId {
    /// Reads `job/3`.
    pub fn parse(s: &str) -> Option<Self> {
        let (job, index) = s.rsplit_once('/')?;
        Some(Self { job: job.into(), index: index.parse().ok()? })
    }
}

/// What a task takes of its machine, or what a machine has.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

/// Sums of decimals such as 0.1 must not make a full machine look a hair too small.
const EPSILON: f64 = 1e-6;

impl Resources {
    pub fn fits_in(&self, other: &Resources) -> bool {
        self.cpus <= other.cpus + EPSILON
            && self.gpus <= other.gpus + EPSILON
            && self.memory_gb <= other.memory_gb + EPSILON
    }
    pub fn plus(&self, o: &Resources) -> Resources {
        Resources {
            cpus: self.cpus + o.cpus,
            gpus: self.gpus + o.gpus,
            memory_gb: self.memory_gb + o.memory_gb,
        }
    }
    pub fn minus(&self, o: &Resources) -> Resources {
        Resources {
            cpus: self.cpus - o.cpus,
            gpus: self.gpus - o.gpus,
            memory_gb: self.memory_gb - o.memory_gb,
        }
    }
    pub fn times(&self, n: f64) -> Resources {
        Resources { cpus: self.cpus * n, gpus: self.gpus * n, memory_gb: self.memory_gb * n }
    }
    /// How many of `each` fit side by side.
    pub fn count_of(&self, each: &Resources) -> u32 {
        let per = |have: f64, need: f64| if need > 0.0 { ((have + EPSILON) / need) as u32 } else { u32::MAX };
        per(self.cpus, each.cpus)
            .min(per(self.gpus, each.gpus))
            .min(per(self.memory_gb, each.memory_gb))
            .min(100_000)
    }
}
