//! Extensions: features beside the core, such as the Nomad API.
//!
//! An extension is a state machine like the controller, and runs inside it: [`Input`]s come in, [`Action`]s go out.
//! It has its own keys in the key-value store, its own requests, and a part of the node's budgets. It sees the node
//! only through a [`View`]. The program registers extensions with `Controller::with_extension`, and the controller
//! calls them; a node without extensions pays nothing for them.

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

/// What an extension sees of its node in one step.
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
    /// The fencing token by which this node leads with a valid lease; `None` if it does not.
    pub leadership: Option<FencingToken>,
    /// What every submission is checked by, whichever API it comes through.
    pub admission: Admission<'a>,
    pub(crate) task_counts: &'a dyn Fn(&JobId) -> Option<TaskCounts>,
    pub(crate) waiting: &'a dyn Fn(&JobId) -> Option<u32>,
    pub(crate) remaining_quota: &'a dyn Fn(&TeamName) -> Option<Resources>,
}

impl View<'_> {
    /// Tasks of a job that are done and that run, as far as this node knows.
    pub fn task_counts(&self, id: &JobId) -> Option<TaskCounts> {
        (self.task_counts)(id)
    }

    /// How many tasks of an open job have no machine yet; only the leader knows.
    pub fn waiting(&self, id: &JobId) -> Option<u32> {
        (self.waiting)(id)
    }

    /// What the team may still use of its quota; only the leader knows.
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
    /// The path as it came, still percent-encoded.
    pub path: String,
    /// The query string, without the `?`.
    pub query: String,
    /// The client's token, if it sent one.
    pub token: Option<String>,
    /// The body, empty if there is none.
    pub body: Vec<u8>,
}

/// What happens to an extension.
#[derive(Debug)]
pub enum Input<'a> {
    /// Time has passed.
    Tick,
    /// A client's request; an [`Action::Answer`] with the same id answers it.
    Call {
        /// Id for the answer.
        request: RequestId,
        /// What the client sent.
        call: Call,
    },
    /// Own records changed, here or at another node: their keys.
    Records(&'a [String]),
    /// Job records changed: the jobs.
    Jobs(&'a [JobId]),
    /// An [`Action::Commit`] has ended.
    Committed {
        /// The tag of the action.
        tag: u64,
        /// What became of it.
        outcome: Outcome,
    },
    /// An [`Action::Read`] has ended.
    Read {
        /// The tag of the action.
        tag: u64,
        /// Whether the copies of the job records and of the own records are as of the action, or newer.
        fresh: bool,
    },
    /// An [`Action::Machines`] has ended.
    Machines {
        /// The tag of the action.
        tag: u64,
        /// The machines, or why there are none.
        found: Result<MachinePage, Outcome>,
    },
}

/// Machines that hold tasks, or have held some lately, by their assignment records.
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

/// Which machines an extension asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Machines {
    /// The one with this name.
    One(MachineId),
    /// A page of all.
    Page {
        /// The last machine of the page before; `None` for the first page.
        after: Option<MachineId>,
        /// Machines in the page, at most.
        limit: u32,
    },
}

/// What became of a commit or a read of machines.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Committed.
    Done {
        /// Revision of the key-value store with the changes.
        store_revision: u64,
    },
    /// Not committed: these keys no longer have the revision that the conditions name.
    Conflict(Vec<String>),
    /// Refused, as it would be at every further try.
    Malformed,
    /// Nothing is known: it may have been carried out.
    Unknown,
    /// Not sent: the budget is spent.
    NoBudget,
}

/// Whose write budget a commit takes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteBudget {
    /// The users' budget, as for submissions.
    Users,
    /// What the leader can spare. The commit is conditional on this node's leadership.
    Maintenance,
}

/// What an extension wants done.
#[derive(Debug)]
pub enum Action {
    /// Answers a client's request.
    Answer {
        /// Id of the request.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// Value of the `Retry-After` header in seconds, if there is to be one.
        retry_after_s: Option<u32>,
        /// Further headers.
        headers: Vec<(&'static str, String)>,
        /// The body.
        body: String,
    },
    /// Commits changes of own keys and job records in one transaction.
    Commit {
        /// Identifies the commit in [`Input::Committed`].
        tag: u64,
        /// Whose budget it takes from.
        budget: WriteBudget,
        /// Keys, and the revisions that they must have; 0 for a key that must not exist.
        conditions: Vec<(String, Revision)>,
        /// The changes.
        changes: Vec<Change>,
    },
    /// Reads the job records and the own records, as of now or later.
    Read {
        /// Identifies the read in [`Input::Read`].
        tag: u64,
    },
    /// Reads assignment records, of which only the leader keeps a copy. For operators' occasional requests: at most
    /// a few a second are sent.
    Machines {
        /// Identifies the read in [`Input::Machines`].
        tag: u64,
        /// Which machines.
        which: Machines,
    },
}

/// A feature beside the core.
pub trait Extension: Send {
    /// Prefix of its keys in the key-value store; nobody else has keys under it.
    fn prefix(&self) -> &'static str;

    /// Processes one input and returns what is to be done, in order.
    fn step(&mut self, view: &View<'_>, input: Input<'_>) -> Vec<Action>;

    /// Adds its metrics, one a line, in the text format of Prometheus.
    fn metrics(&self, lines: &mut Vec<String>);
}
