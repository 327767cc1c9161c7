//! Pages for operators: the metrics, and the report of jobs that wait.

use super::Controller;
use crate::cluster_version::NodeVersion;
use crate::jobs::WaitingReason;
use crate::node::leader::Leader;
use crate::types::JobId;
use serde::Serialize;

/// Jobs in each part of the waiting report, at most.
const MAX_WAITING_JOBS: usize = 250;
/// Unfinished dependencies named for one job, at most.
const MAX_DEPENDENCIES_SHOWN: usize = 8;

/// A job that waits, as the report shows it.
#[derive(Serialize)]
struct WaitingJob<'a> {
    id: &'a str,
    /// Tasks that wait.
    waiting: u32,
    #[serde(rename = "why")]
    reason: &'a str,
    /// Dependencies that are not done yet.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    awaits: Vec<&'a JobId>,
}

impl Controller {
    /// The metrics in the text format of Prometheus.
    pub(crate) fn metrics(&self) -> String {
        let mut lines = vec![
            format!("pearford_leads {}", u8::from(self.election.leads())),
            format!("pearford_fence {}", self.highest_fencing_token),
            format!("pearford_jobs_known {}", self.job_cache.len()),
            format!("pearford_state_requests_open {}", self.out.pending_count()),
            format!("pearford_peer_messages_dropped {}", self.peer_messages_dropped),
            format!("pearford_records_unreadable {}", self.job_cache.unreadable_count()),
        ];
        for NodeVersion { node, level, version } in self.cluster_version.nodes() {
            lines.push(format!("pearford_node_level{{node=\"{node}\",version=\"{version}\"}} {level}"));
        }
        lines.push(format!("pearford_level_reached {}", self.cluster_version.reached()));
        lines.push(format!("pearford_jobs_awaiting {}", self.job_cache.graph().waiting_count()));
        let mut served = self.served.clone();
        if let Some(leader) = &self.leader {
            leader.metrics(&mut lines);
            served.add(leader.served().clone());
        }
        served.metrics(&mut lines);
        self.extension_metrics(&mut lines);
        lines.join("\n") + "\n"
    }

    /// Which jobs wait, and for what, as JSON. Jobs that wait for machines are known to the leader alone; those that
    /// wait for other jobs follow from the records, which every node has.
    pub(crate) fn waiting_report(&self) -> String {
        let mut jobs: Vec<WaitingJob> = self.waiting_for_machines().collect();
        jobs.extend(self.waiting_for_dependencies());
        serde_json::to_string(&jobs).unwrap_or_default()
    }

    fn waiting_for_machines(&self) -> impl Iterator<Item = WaitingJob<'_>> {
        let waiting = self.leader.iter().flat_map(Leader::waiting);
        waiting.take(MAX_WAITING_JOBS).map(|(id, waiting, reason)| WaitingJob {
            id: id.as_str(),
            waiting,
            reason: reason.as_str(),
            awaits: Vec::new(),
        })
    }

    fn waiting_for_dependencies(&self) -> impl Iterator<Item = WaitingJob<'_>> {
        let graph = self.job_cache.graph();
        graph.waiting_ids().take(MAX_WAITING_JOBS).map(|id| {
            let job = self.job_cache.get(id).and_then(|cached| cached.record.open());
            WaitingJob {
                id: id.as_str(),
                waiting: job.map_or(0, |job| job.spec.tasks),
                reason: WaitingReason::Dependencies.as_str(),
                awaits: graph.unfinished_dependencies(id).into_iter().take(MAX_DEPENDENCIES_SHOWN).collect(),
            }
        })
    }
}
