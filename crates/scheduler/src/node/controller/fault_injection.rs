//! Faults that the simulation injects into a controller to verify that its invariant checks detect them, and
//! accessors to the controller's state for those checks. Compiled only for tests and the simulation.

use super::Controller;
use crate::jobs::{JobSpec, graph};
use crate::node::leader::Leader;
use crate::node::prefix_watcher::ReadOutcome;
use crate::types::{Duration, JobId, MonotonicTime};

/// A check or a step of the protocol that can be disabled.
///
/// Disabling most of them changes the leader's state only once, so the simulation repeats it after every
/// step.
#[derive(Debug, Clone, Copy)]
pub enum DisabledCheck {
    /// Tasks of a worker that sends no heartbeats hold their resources until its lease has expired. When this
    /// is disabled, their assignments are removed `max_heartbeat_age_ms` after its last heartbeat.
    LeaseExpiry {
        /// Age of the last heartbeat at which the assignments are removed, in ms.
        max_heartbeat_age_ms: u64,
    },
    /// A start that was sent directly is assumed to be in flight until it is acknowledged.
    UnacknowledgedStarts,
    /// Isolation reports keep the leader from counting the workers of isolated nodes as lost.
    IsolationReports,
    /// After a failover, machines count as lost only after their workers have had time to send a heartbeat.
    HeartbeatCollection,
    /// A job is finished only when all its tasks are. When this is disabled, half of them are enough.
    TaskCompletion,
    /// Tasks of a cancelled job hold their resources until they are known to have stopped.
    StoppingTasks,
    /// A start is sent only after the machine's record is durable.
    DurableBeforeStart,
    /// Missing heartbeats of workers are detected.
    MissingHeartbeatDetection,
    /// Workers receive stop commands for the tasks that are to be stopped.
    StopCommands,
    /// An older heartbeat never replaces a newer one.
    HeartbeatOrder,
    /// Jobs bound to a zone run in that zone.
    ZoneConstraint,
    /// A check in the handling of job dependencies.
    JobGraph(graph::DependencyCheck),
    /// A check in the rules for renewing leases.
    LeaseRenewal(pearford_heartbeat::DisabledCheck),
    /// A feature is used only when every node supports it.
    ClusterVersion,
    /// Starts of finished jobs are not relayed.
    RelayFilter,
    /// Users' requests are answered only after a read that started after they arrived.
    ReadBeforeAnswer,
}

/// Faults that persist until the controller restarts.
#[derive(Debug, Default)]
pub(super) struct InjectedFaults {
    /// Behaves like the version before job dependencies.
    pub previous_version: bool,
    /// Relays starts of finished jobs as well.
    pub relays_all_starts: bool,
}

impl InjectedFaults {
    /// The submission as this controller's version parses it.
    pub fn filter_submission(&self, mut spec: JobSpec) -> JobSpec {
        if self.previous_version {
            spec.needs.clear();
        }
        spec
    }
}

impl Controller {
    /// Disables one check of this controller.
    pub fn disable_check(&mut self, check: DisabledCheck) {
        match check {
            DisabledCheck::JobGraph(check) => self.job_cache.disable(check),
            DisabledCheck::LeaseRenewal(check) => self.lease_renewal.disable(check),
            DisabledCheck::ClusterVersion => self.cluster_version.assume_current_level(),
            DisabledCheck::RelayFilter => self.injected_faults.relays_all_starts = true,
            DisabledCheck::ReadBeforeAnswer => {
                self.pending_requests.begin_read();
                self.finish_job_record_read(ReadOutcome::Succeeded);
            }
            check => {
                let now = self.now;
                if let Some(leader) = &mut self.leader {
                    disable_leader_check(leader, check, now);
                }
            }
        }
    }

    /// Behaves like the version before job dependencies, for simulations with nodes of both versions: it
    /// announces no feature level, ignores `awaits` in submissions, and can't parse records of dependent
    /// jobs.
    pub fn act_as_previous_version(&mut self) {
        self.injected_faults.previous_version = true;
        self.job_cache.skip_dependent = true;
    }

    /// Whether this node knows that a job is done or cancelled.
    pub fn knows_finished(&self, job: &JobId) -> bool {
        self.job_cache.terminal_status(job).is_some()
    }

    /// Compares the totals that the leader maintains with a full recount.
    ///
    /// # Errors
    ///
    /// The first total that differs.
    pub fn check_totals(&self) -> Result<(), String> {
        self.leader.as_ref().map_or(Ok(()), Leader::check_totals)
    }

    /// Whether this node's leadership lease is valid at `at`.
    pub fn holds_lease(&self, at: MonotonicTime) -> bool {
        self.election.has_valid_lease(at)
    }
}

fn disable_leader_check(leader: &mut Leader, check: DisabledCheck, now: MonotonicTime) {
    match check {
        DisabledCheck::LeaseExpiry { max_heartbeat_age_ms } => {
            leader.inject_early_assignment_removal(Duration::from_millis(max_heartbeat_age_ms), now);
        }
        DisabledCheck::UnacknowledgedStarts => leader.inject_loss_of_sent_starts(),
        DisabledCheck::IsolationReports => leader.disable_isolation_reports(),
        DisabledCheck::HeartbeatCollection => leader.inject_loss_of_unreported_machines(),
        DisabledCheck::TaskCompletion => leader.inject_early_completion(),
        DisabledCheck::StoppingTasks => leader.inject_freeing_of_stopping_tasks(now),
        DisabledCheck::DurableBeforeStart => leader.disable_record_before_start(),
        DisabledCheck::MissingHeartbeatDetection => leader.disable_missing_heartbeat_detection(now),
        DisabledCheck::StopCommands => leader.disable_stops(),
        DisabledCheck::HeartbeatOrder => leader.disable_heartbeat_order(),
        DisabledCheck::ZoneConstraint => leader.disable_zone_constraint(),
        DisabledCheck::JobGraph(_)
        | DisabledCheck::LeaseRenewal(_)
        | DisabledCheck::ClusterVersion
        | DisabledCheck::RelayFilter
        | DisabledCheck::ReadBeforeAnswer => {}
    }
}
