//! Pages for operators: the metrics, and the report of waiting jobs.

use super::Controller;
use crate::cluster_version::NodeVersion;
use crate::jobs::WaitingReason;
use crate::node::leader::Leader;
use crate::types::JobId;
use serde::Serialize;

/// Maximum number of jobs in each part of the waiting report.
const MAX_WAITING_JOBS: usize = 250;
/// Maximum number of unfinished dependencies listed for one job.
const MAX_DEPENDENCIES_SHOWN: usize = 8;

/// A waiting job in the report.
#[derive(Serialize)]
struct WaitingJob<'a> {
    id: &'a str,
    /// Number of waiting tasks.
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
            format!("pearford_leads {}", u8::from(self.election.is_leader())),
            format!("pearford_fence {}", self.highest_fencing_token),
            format!("pearford_jobs_known {}", self.job_cache.len()),
            format!("pearford_state_requests_open {}", self.outbox.pending_count()),
            format!("pearford_peer_messages_dropped {}", self.peer_messages_dropped),
            format!("pearford_records_unreadable {}", self.job_cache.unreadable_count()),
        ];
        for NodeVersion { node, level, version } in self.cluster_version.nodes() {
            lines.push(format!("pearford_node_level{{node=\"{node}\",version=\"{version}\"}} {level}"));
        }
        lines.push(format!("pearford_level_reached {}", self.cluster_version.reached()));
        lines.push(format!("pearford_jobs_awaiting {}", self.job_cache.graph().waiting_count()));
        let mut job_counters = self.job_counters.clone();
        if let Some(leader) = &self.leader {
            leader.metrics(&mut lines, self.now);
            job_counters.add(leader.job_counters().clone());
        }
        job_counters.metrics(&mut lines);
        self.extension_metrics(&mut lines);
        lines.join("\n") + "\n"
    }

    /// The waiting jobs and what each waits for, as JSON. Only the leader knows the jobs that wait for
    /// machines; every node knows the jobs that wait for other jobs, from the job records.
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
