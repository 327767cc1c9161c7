//! The endpoints that clients can read, and a read request with its page and wait.

use super::names::NameHash;
use super::query::Page;
use pearford_scheduler::types::Duration;

/// The subject of a read.
#[derive(Debug, Clone, PartialEq)]
pub enum Endpoint {
    /// All objects of one kind in the namespaces.
    List(ListKind),
    /// One job.
    Job {
        /// Its name within the namespace.
        name: String,
        /// The part of the job's data that is read.
        part: JobPart,
    },
    /// The object that an id refers to.
    ById {
        /// The id as the client sent it.
        id: String,
        /// The kind of object that the id must refer to.
        kind: IdKind,
    },
    /// The machines.
    Machines,
    /// One machine, by its name.
    Machine(String),
    /// The cluster or this node.
    Cluster(ClusterInfo),
}

/// The kind of a list's elements.
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
    /// Its versions that still have a record.
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
    /// Address of this node's API if this node is the leader, else empty.
    Leader,
    /// Addresses of all nodes.
    Peers,
    /// The names of regions, of which there is one.
    Regions,
    /// This node.
    Agent,
    /// Whether this node has read its records.
    Health,
}

impl Endpoint {
    /// Whether a read may cover all namespaces that its token gives access to (`namespace=*`).
    pub fn spans_namespaces(&self) -> bool {
        matches!(self, Self::List(_) | Self::ById { .. })
    }

    /// The job whose changes a blocking query waits for; none if it waits for changes of any job.
    pub fn job(&self, namespaces: &[String]) -> Option<NameHash> {
        match self {
            Self::Job { name, .. } => namespaces.first().map(|namespace| NameHash::of(namespace, name)),
            Self::List(_) | Self::ById { .. } | Self::Machines | Self::Machine(_) | Self::Cluster(_) => None,
        }
    }
}

/// A read request that has passed its checks.
#[derive(Debug, Clone)]
pub struct ReadRequest {
    /// What is read.
    pub endpoint: Endpoint,
    /// The namespaces that it covers, all of them readable with the client's token.
    pub namespaces: Vec<String>,
    /// The requested page of a list.
    pub page: Page,
    /// A blocking query's index: the query waits until the answer's index is greater.
    pub index: Option<u64>,
    /// Maximum wait of a blocking query.
    pub wait: Duration,
}
