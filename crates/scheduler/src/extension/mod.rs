//! Extensions: optional features outside the core, such as the Nomad API.
//!
//! An extension is a state machine like the controller, and runs inside it: it receives [`Input`]s and
//! returns [`Action`]s. It has its own keys in the key-value store, its own requests, and a part of the
//! node's budgets. Its only access to the node's state is a [`View`]. The program registers extensions with
//! `Controller::with_extension`, and the controller calls them; a node without extensions has no overhead.

mod records;

pub use records::Records;

use crate::assignments::MachineRecord;
use crate::jobs::{Admission, JobCache, TaskCounts};
use crate::settings::Settings;
use crate::types::{
    FencingToken, JobId, MachineId, MonotonicTime, NodeName, RequestId, Resources, Revision, TeamName,
    WallTime,
};
use crate::wire::state::Change;

/// The part of the node's state that an extension can read in one step.
pub struct View<'a> {
    /// Monotonic clock of this step.
    pub now: MonotonicTime,
    /// Wall clock of this step.
    pub wall_time: WallTime,
    /// Name of this node.
    pub node: &'a NodeName,
    /// The settings of the service.
    pub settings: &'a Settings,
    /// This node's copy of the job records.
    pub jobs: &'a JobCache,
    /// This node's copy of the extension's own records.
    pub records: &'a Records,
    /// This node's fencing token while it is the leader and its lease is valid; otherwise `None`.
    pub leadership: Option<FencingToken>,
    /// The admission checks for submissions, which are the same for every API.
    pub admission: Admission<'a>,
    pub(crate) task_counts: &'a dyn Fn(&JobId) -> Option<TaskCounts>,
    pub(crate) waiting: &'a dyn Fn(&JobId) -> Option<u32>,
    pub(crate) remaining_quota: &'a dyn Fn(&TeamName) -> Option<Resources>,
}

impl View<'_> {
    /// Numbers of a job's done and running tasks, if this node knows them.
    pub fn task_counts(&self, id: &JobId) -> Option<TaskCounts> {
        (self.task_counts)(id)
    }

    /// Number of tasks of an open job that have no machine yet; known only to the leader.
    pub fn waiting(&self, id: &JobId) -> Option<u32> {
        (self.waiting)(id)
    }

    /// The unused part of the team's quota; known only to the leader.
    pub fn remaining_quota(&self, team: &TeamName) -> Option<Resources> {
        (self.remaining_quota)(team)
    }
}

/// HTTP method of a request to an extension.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verb {
    /// `GET`
    Get,
    /// `POST`
    Post,
    /// `PUT`
    Put,
    /// `DELETE`
    Delete,
    /// Any other method.
    Other,
}

/// A request to an extension's own HTTP listener.
#[derive(Debug, Clone)]
pub struct Call {
    /// The HTTP method.
    pub verb: Verb,
    /// The path, still percent-encoded.
    pub path: String,
    /// The query string, without the `?`.
    pub query: String,
    /// The client's token, if it sent one.
    pub token: Option<String>,
    /// The body, empty if there is none.
    pub body: Vec<u8>,
}

/// An input of an extension.
#[derive(Debug)]
pub enum Input<'a> {
    /// Periodic tick of the clock.
    Tick,
    /// A client's request; an [`Action::Answer`] with the same id answers it.
    Call {
        /// Id for the answer.
        request: RequestId,
        /// What the client sent.
        call: Call,
    },
    /// Keys of the extension's own records that were changed by this or another node.
    Records(&'a [String]),
    /// Jobs whose records changed.
    Jobs(&'a [JobId]),
    /// An [`Action::Commit`] has completed.
    Committed {
        /// The tag of the action.
        tag: u64,
        /// Its outcome.
        outcome: Outcome,
    },
    /// An [`Action::Read`] has completed.
    Read {
        /// The tag of the action.
        tag: u64,
        /// Whether this node's copies of the job records and of the extension's records are at least as
        /// recent as the action.
        fresh: bool,
    },
    /// An [`Action::Machines`] has completed.
    Machines {
        /// The tag of the action.
        tag: u64,
        /// The machines, or why they could not be read.
        found: Result<MachinePage, Outcome>,
    },
}

/// Machines with an assignment record: those that hold tasks, or held some recently.
#[derive(Debug, Clone, Default)]
pub struct MachinePage {
    /// The machines in the order of their names.
    pub machines: Vec<RecordedMachine>,
    /// Whether there are more after the last.
    pub more: bool,
}

/// A machine with its assignment record.
#[derive(Debug, Clone)]
pub struct RecordedMachine {
    /// The machine.
    pub id: MachineId,
    /// Its record.
    pub record: MachineRecord,
}

/// The machines that an extension requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Machines {
    /// The machine with this name.
    One(MachineId),
    /// A page of all machines.
    Page {
        /// The last machine of the page before; `None` for the first page.
        after: Option<MachineId>,
        /// Maximum number of machines in the page.
        limit: u32,
    },
}

/// Outcome of a commit or of a read of machines.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Committed.
    Done {
        /// Revision of the key-value store with the changes.
        store_revision: u64,
    },
    /// Not committed: these keys no longer have the revision that the conditions name.
    Conflict(Vec<String>),
    /// Rejected as malformed: a retry would be rejected too.
    Malformed,
    /// Unknown: it may have been executed.
    Unknown,
    /// Not sent: the budget is exhausted.
    NoBudget,
}

/// The write budget that a commit is charged to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteBudget {
    /// The users' budget, as for submissions.
    Users,
    /// Writes that the leader has to spare. The commit is conditional on this node's leadership.
    Maintenance,
}

/// An action that an extension requests.
#[derive(Debug)]
pub enum Action {
    /// Answers a client's request.
    Answer {
        /// Id of the request.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// Value of the `Retry-After` header in seconds, if the answer has one.
        retry_after_s: Option<u32>,
        /// Further headers.
        headers: Vec<(&'static str, String)>,
        /// The body.
        body: String,
    },
    /// Commits changes of the extension's own keys and of job records in one transaction.
    Commit {
        /// Identifies the commit in [`Input::Committed`].
        tag: u64,
        /// The budget that it is charged to.
        budget: WriteBudget,
        /// Keys, and the revisions that they must have; 0 for a key that must not exist.
        conditions: Vec<(String, Revision)>,
        /// The changes.
        changes: Vec<Change>,
    },
    /// Brings this node's copies of the job records and of the extension's records up to date.
    Read {
        /// Identifies the read in [`Input::Read`].
        tag: u64,
    },
    /// Reads assignment records, of which only the leader keeps a copy. For operators' occasional requests:
    /// at most a few a second are sent.
    Machines {
        /// Identifies the read in [`Input::Machines`].
        tag: u64,
        /// The machines to read.
        which: Machines,
    },
}

/// An optional feature outside the core.
pub trait Extension: Send {
    /// Prefix of its keys in the key-value store; no other component has keys with this prefix.
    fn prefix(&self) -> &'static str;

    /// Processes one input and returns the actions to carry out, in order.
    fn step(&mut self, view: &View<'_>, input: Input<'_>) -> Vec<Action>;

    /// Appends its metrics, one per line, in the text format of Prometheus.
    fn metrics(&self, lines: &mut Vec<String>);
}
