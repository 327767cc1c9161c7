//! What clients can read: the endpoints, and a read with its page and wait.

use super::names::NameHash;
use super::query::Page;
use pearford_scheduler::types::Duration;

/// What a read is about.
#[derive(Debug, Clone, PartialEq)]
pub enum Endpoint {
    /// Everything of one kind in the namespaces.
    List(ListKind),
    /// One job.
    Job {
        /// Its name within the namespace.
        name: String,
        /// What about it.
        part: JobPart,
    },
    /// What an id stands for.
    ById {
        /// The id, as it was given out.
        id: String,
        /// What it is to be the id of.
        kind: IdKind,
    },
    /// The machines.
    Machines,
    /// One machine, by its name.
    Machine(String),
    /// The cluster or this node.
    Cluster(ClusterInfo),
}

/// What a list is of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ListKind {
    /// Jobs, in short form.
    Jobs,
    /// One evaluation for each job.
    Evaluations,
    /// Tasks of all jobs.
    Allocations,
    /// One deployment for each service.
    Deployments,
}

/// What is read about one job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum JobPart {
    /// The job as it was registered.
    Registration,
    /// Its versions whose records are kept.
    Versions,
    /// Counts of its tasks by state.
    Summary,
    /// Its tasks.
    Allocations,
    /// Its evaluation, as a list.
    Evaluations,
    /// Its deployment, as a list.
    Deployments,
    /// Its latest deployment, or null.
    LatestDeployment,
}

/// What is read by an id.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum IdKind {
    /// An evaluation.
    Evaluation,
    /// The tasks of an evaluation's job.
    EvaluationAllocations,
    /// One task.
    Allocation,
    /// A deployment.
    Deployment,
}

/// What is read about the cluster or this node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ClusterInfo {
    /// The namespaces: teams, and names that the operators map to teams.
    Namespaces,
    /// Address of a node that answers for the leader.
    Leader,
    /// Addresses of all nodes.
    Peers,
    /// The one region.
    Regions,
    /// This node.
    Agent,
    /// Whether this node has read its records.
    Health,
}

impl Endpoint {
    /// Whether a read may go over all namespaces that its token reaches (`namespace=*`).
    pub fn spans_namespaces(&self) -> bool {
        matches!(self, Self::List(_) | Self::ById { .. })
    }

    /// The job whose changes a blocking query waits for; none if any job's change may matter.
    pub fn job(&self, namespaces: &[String]) -> Option<NameHash> {
        match self {
            Self::Job { name, .. } => namespaces.first().map(|namespace| NameHash::of(namespace, name)),
            Self::List(_) | Self::ById { .. } | Self::Machines | Self::Machine(_) | Self::Cluster(_) => None,
        }
    }
}

/// A read that has been checked.
#[derive(Debug, Clone)]
pub struct ReadRequest {
    /// What is read.
    pub endpoint: Endpoint,
    /// The namespaces that it covers, all of them readable with the client's token.
    pub namespaces: Vec<String>,
    /// Which part of a list.
    pub page: Page,
    /// A blocking query's index: the answer is to be newer than this.
    pub index: Option<u64>,
    /// How long a blocking query waits for that.
    pub wait: Duration,
}
