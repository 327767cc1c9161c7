//! The seam for features: state machines beside the core, each with its own keys in the state service,
//! its own requests, and a part of the node's budgets. What a feature may see of the node is a `View`;
//! what it wants done it returns. A node without features pays nothing for the seam.

mod records;

pub use records::Records;

use crate::assignments::MachineRecord;
use crate::jobs::{Admission, JobCache};
use crate::settings::Settings;
use crate::types::{
    FencingToken, JobId, MachineId, MonotonicTime, NodeName, RequestId, Resources, TeamName, WallTime,
};
use crate::wire::state::Change;

/// What a node and a feature have in common for a step.
pub struct View<'a> {
    pub now: MonotonicTime,
    pub wall_time: WallTime,
    pub node: &'a NodeName,
    pub settings: &'a Settings,
    /// The copy of the job records.
    pub jobs: &'a JobCache,
    /// The copy of the feature's own records.
    pub records: &'a Records,
    /// This node validly leads, by this fence.
    pub leads: Option<FencingToken>,
    /// What a submission is checked by, whichever door it comes through.
    pub admission: Admission<'a>,
    pub(crate) standing: &'a dyn Fn(&JobId) -> Option<(u32, u32)>,
    pub(crate) waiting: &'a dyn Fn(&JobId) -> Option<u32>,
    pub(crate) remaining_quota: &'a dyn Fn(&TeamName) -> Option<Resources>,
}

impl View<'_> {
    /// (done, running) tasks of a job, as far as this node knows.
    pub fn standing(&self, id: &JobId) -> Option<(u32, u32)> {
        (self.standing)(id)
    }

    /// How many tasks of an open job have no machine yet; the leader knows.
    pub fn waiting(&self, id: &JobId) -> Option<u32> {
        (self.waiting)(id)
    }

    /// What the team may still take; the leader knows.
    pub fn remaining_quota(&self, team: &TeamName) -> Option<Resources> {
        (self.remaining_quota)(team)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verb {
    Get,
    Post,
    Put,
    Delete,
    Other,
}

/// A request to a feature's own listener.
#[derive(Debug, Clone)]
pub struct Call {
    pub verb: Verb,
    /// As it came, still escaped.
    pub path: String,
    pub query: String,
    /// Of the client, if it sent one.
    pub token: Option<String>,
    pub body: Vec<u8>,
}

/// What happens to a feature.
#[derive(Debug)]
pub enum Input<'a> {
    Tick,
    Call {
        request: RequestId,
        call: Call,
    },
    /// Own records changed, here or at another node.
    Records(&'a [String]),
    /// Job records changed.
    Jobs(&'a [JobId]),
    /// What became of a commit.
    Committed {
        tag: u64,
        outcome: Outcome,
    },
    /// A read that it asked for is over; whether both copies are as of when it asked, or newer.
    Read {
        tag: u64,
        fresh: bool,
    },
    /// Machines that it asked for.
    Machines {
        tag: u64,
        found: Result<MachinePage, Outcome>,
    },
}

/// Machines by the ledger's records: those that hold tasks, or have held some lately.
#[derive(Debug, Clone, Default)]
pub struct MachinePage {
    /// In the order of their names.
    pub machines: Vec<(MachineId, MachineRecord)>,
    /// Whether there are more after the last.
    pub more: bool,
}

/// Which machines are asked for.
#[derive(Debug, Clone, PartialEq)]
pub enum Machines {
    One(MachineId),
    Page { after: Option<MachineId>, most: u32 },
}

#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    Done {
        store_revision: u64,
    },
    /// These keys are no longer as the conditions have them.
    Conflict(Vec<String>),
    /// Refused, as it would be at every further try.
    Malformed,
    /// Not executed, or nobody knows.
    Unknown,
    /// Not sent: the budget is spent.
    NoBudget,
}

/// Whose budget a commit takes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// The users', as submissions do.
    Users,
    /// What the leader has to spare; conditional on its fence.
    Upkeep,
}

/// What a feature does.
#[derive(Debug)]
pub enum Action {
    Answer {
        request: RequestId,
        status: u16,
        retry_after_s: Option<u32>,
        headers: Vec<(&'static str, String)>,
        body: String,
    },
    /// One transaction over own keys and job records.
    Commit { tag: u64, share: Share, conditions: Vec<(String, crate::types::Revision)>, changes: Vec<Change> },
    /// A read of the job records and its own, begun from now on.
    Read { tag: u64 },
    /// A read of the ledger's records, which no node but the leader keeps a copy of: for operators now and
    /// then, so at most a few a second.
    Machines { tag: u64, which: Machines },
}

pub trait Extension: Send {
    /// Prefix of its keys; nobody else has keys under it.
    fn prefix(&self) -> &'static str;

    fn step(&mut self, view: &View<'_>, input: Input<'_>) -> Vec<Action>;

    fn metrics(&self, lines: &mut Vec<String>);
}
