//! The work of the leading node, in addition to that of every node: loads all records, processes
//! heartbeats, schedules, commits, rents and returns machines.
//!
//! The controller passes each input to the [`Leader`] while the node leads. `Leader` owns the state
//! that several concerns share (machines, job states, partitions) and one component for each concern,
//! whose fields are private to its file; the methods on `Leader` in those files combine the
//! components. [`Leader::tick`] and [`Leader::advance`] define the order of the work. `Leader`
//! accesses its node only through the [`StepContext`] of a step, and returns a [`LeadershipEnd`] when
//! the node must stop leading.

mod adoption;
mod broadcast;
mod candidates;
mod cloud_calls;
mod commits;
mod delegation;
mod failure_attribution;
#[cfg(any(test, feature = "simulation"))]
mod fault_injection;
mod heartbeats;
mod isolation;
mod job_changes;
mod leadership_end;
mod liveness_rules;
mod machine_health;
mod machine_records;
mod machines;
mod partition_moves;
mod placement_commits;
mod preemption;
mod probing;
mod quota;
mod reservations;
mod scale_in;
mod scale_out;
mod scheduling_pass;
mod scheduling_rounds;
mod state_loading;
mod status;
mod stops;
mod task_outcomes;
#[cfg(test)]
mod test_support;
mod worker_commands;
mod write_budget;
mod zones;

pub(super) use delegation::is_enabled as heartbeats_delegated;
pub(super) use isolation::PREFIX as ISOLATION_PREFIX;
pub(super) use leadership_end::{LeadershipEnd, LeadershipLost, ResignReason};

use super::catalogue::Catalogue;
use super::outbox::{LeaderRequest, Outbox};
use super::peers::Peers;
use crate::autoscaler::InstanceOffers;
use crate::gangs::Attempts;
use crate::jobs::{JobCache, JobCounters, JobState};
use crate::partitions::Partitions;
use crate::placement::SuccessCounts;
use crate::settings::Settings;
use crate::types::{Duration, FencingToken, JobId, MonotonicTime, TypeName};
use crate::wire::cloud::MachineType;
use crate::wire::state::{Pair, StoreReply};
use broadcast::StatusBroadcaster;
use cloud_calls::CloudClient;
use commits::CommitState;
use delegation::{FailoverLog, QueuedCommands};
use isolation::ZoneIsolation;
use machine_health::HeartbeatOutageDetector;
use machines::Machines;
use pearford_heartbeat::{Coordinator, FullHeartbeat, LeaseRenewal};
use pearford_recovery::{HeartbeatCollection, LeaderAction, Pacer};
use quota::Guarantees;
use rand::rngs::StdRng;
use scheduling_rounds::SchedulingRounds;
use state_loading::{RecordKind, RecordLoading};
use std::collections::BTreeMap;
use std::sync::Arc;
use worker_commands::WorkerCalls;
use write_budget::PassAlternation;

const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
/// How often placement of waiting tasks is retried without any known change of capacity: the health
/// of machines and the ends of pauses depend on time alone.
const RETRY_INTERVAL: Duration = Duration::from_millis(2000);

/// The parts of its node that the leader may use in a step.
pub(super) struct StepContext<'a> {
    /// The time of the step.
    pub now: MonotonicTime,
    /// The leadership lease is valid: commands, commits and rentals may be sent.
    pub lease_valid: bool,
    /// The node is in the leader role, whether or not its lease is still valid.
    pub in_leader_role: bool,
    /// When the newest linearizable read of the job records began.
    pub jobs_read_at: MonotonicTime,
    /// Decides whether workers' leases may be renewed.
    pub lease_renewal: &'a LeaseRenewal,
    /// All job records in the key-value store.
    pub job_cache: &'a mut JobCache,
    /// Successful and failed placements of each kind of work on each machine.
    pub success_counts: &'a mut SuccessCounts,
    /// Heartbeats are delegated: every node supports it, and answers heartbeats on the leader's behalf.
    pub heartbeats_delegated: bool,
    /// The other controllers.
    pub peers: &'a mut Peers,
    /// The instance types.
    pub catalogue: &'a mut Catalogue,
    /// The node's source of randomness.
    pub rng: &'a mut StdRng,
    /// Collects the effects of the step.
    pub outbox: &'a mut Outbox,
}

/// An item to retry at a later time.
#[derive(Debug)]
struct Delayed<T> {
    due_at: MonotonicTime,
    item: T,
}

/// Removes the items that are due at `now` from the queue, and returns them in queue order.
fn take_due<T>(queue: &mut Vec<Delayed<T>>, now: MonotonicTime) -> Vec<T> {
    queue.extract_if(.., |delayed| delayed.due_at <= now).map(|delayed| delayed.item).collect()
}

/// The state of one leadership, from the election to its end.
#[derive(Debug)]
pub(super) struct Leader {
    settings: Arc<Settings>,
    fencing_token: FencingToken,
    /// When this leadership began.
    since: MonotonicTime,

    // State that several concerns share.
    machines: Machines,
    job_states: BTreeMap<JobId, JobState>,
    /// Progress records of jobs whose job record can't be parsed; the assignments of these jobs are
    /// left unchanged.
    unreadable_jobs: BTreeMap<JobId, Vec<Pair>>,
    /// Incremented by every event after which a waiting task may fit.
    capacity_version: u64,
    instance_offers: InstanceOffers,
    partitions: Partitions,
    attempts: Attempts,
    coordinator: Coordinator,
    heartbeat_collection: HeartbeatCollection,
    job_counters: JobCounters,

    // One component for each concern.
    record_loading: RecordLoading,
    failover_log: FailoverLog,
    commits: CommitState,
    worker_calls: WorkerCalls,
    queued_commands: QueuedCommands,
    isolation: ZoneIsolation,
    heartbeat_outage: HeartbeatOutageDetector,
    rounds: SchedulingRounds,
    pass_alternation: PassAlternation,
    guarantees: Guarantees,
    broadcaster: StatusBroadcaster,
    cloud: CloudClient,
    rental_pacer: Pacer,

    next_housekeeping: MonotonicTime,
    next_retry: MonotonicTime,
}

impl Leader {
    /// A leader that has read no records yet. `types` are the instance types known so far;
    /// `early_heartbeats` are those that the node received before it led.
    pub(in crate::node) fn new(
        settings: Arc<Settings>,
        fencing_token: FencingToken,
        now: MonotonicTime,
        types: Vec<MachineType>,
        early_heartbeats: Vec<FullHeartbeat>,
    ) -> Self {
        let counts_save_interval = Duration::from_secs_f64(settings.operator.counts_save_s);
        let heartbeat_collection = HeartbeatCollection::new(
            Duration::from_secs_f64(settings.workers.report_s),
            Duration::from_secs_f64(settings.workers.lease_s),
        );
        Self {
            fencing_token,
            since: now,
            machines: Machines::default(),
            job_states: BTreeMap::new(),
            unreadable_jobs: BTreeMap::new(),
            capacity_version: 1,
            instance_offers: InstanceOffers::new(types),
            partitions: Partitions::default(),
            attempts: Attempts::new(fencing_token),
            coordinator: Coordinator::new(settings.node.clone(), fencing_token, now),
            heartbeat_collection,
            job_counters: JobCounters::default(),
            record_loading: RecordLoading::new(early_heartbeats),
            failover_log: FailoverLog::new(fencing_token, now),
            commits: CommitState::new(fencing_token, &settings, now),
            worker_calls: WorkerCalls::default(),
            queued_commands: QueuedCommands::default(),
            isolation: ZoneIsolation::new(now),
            heartbeat_outage: HeartbeatOutageDetector::default(),
            rounds: SchedulingRounds::new(now),
            pass_alternation: PassAlternation::default(),
            guarantees: Guarantees::default(),
            broadcaster: StatusBroadcaster::new(counts_save_interval, now),
            cloud: CloudClient::new(settings.cloud.rps, now),
            rental_pacer: Pacer::new(HOUSEKEEPING_INTERVAL, scale_out::PLANNING_REST_FACTOR, now),
            next_housekeeping: now,
            next_retry: now,
            settings,
        }
    }

    /// The fencing token that every change under this leadership carries.
    pub(super) fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// Records that the previous step took `cost`.
    pub(in crate::node) fn record_step_cost(&mut self, cost: Duration, now: MonotonicTime) {
        self.rounds.record_step_cost(cost, now);
        self.rental_pacer.record_cost(cost, now);
    }

    /// Replaces the instance types after the catalogue was read.
    pub(in crate::node) fn set_types(&mut self, types: Vec<MachineType>, now: MonotonicTime) {
        let size_of =
            |name: &TypeName| types.iter().find(|known| known.name == *name).map(MachineType::resources);
        self.machines.resize(size_of, now);
        self.instance_offers.types = types;
        self.capacity_version += 1;
    }

    /// Processes the key-value store's reply to one of this leader's requests.
    pub(super) fn store_reply(
        &mut self,
        context: &mut StepContext,
        request: LeaderRequest,
        reply: StoreReply,
    ) -> Option<LeadershipEnd> {
        match request {
            LeaderRequest::LoadMachines => self.page_loaded(context, RecordKind::Machines, reply),
            LeaderRequest::LoadProgress => self.page_loaded(context, RecordKind::Progress, reply),
            LeaderRequest::Commit => return self.commit_reply(context, reply),
            LeaderRequest::RereadRecord { key } => self.reread_reply(context, &key, reply),
            LeaderRequest::IsolationReports => self.isolation_reports_read(context, reply),
            LeaderRequest::SaveCounts | LeaderRequest::Resign => {}
        }
        None
    }

    /// Does the work that depends on time alone.
    pub(super) fn tick(&mut self, context: &mut StepContext) -> Option<LeadershipEnd> {
        self.retry_loading(context);
        self.retry_rereads(context);
        self.broadcast(context);
        self.delegate(context);
        self.expire_rounds(context.now);
        if self.loaded() && context.now >= self.next_housekeeping && context.lease_valid {
            return self.housekeeping(context);
        }
        None
    }

    fn housekeeping(&mut self, context: &mut StepContext) -> Option<LeadershipEnd> {
        let now = context.now;
        self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
        self.retry_waiting(now);
        self.machines.expire_tombstones(now);
        if self.is_cut_off_from_workers(context.peers.any_has_unanswered_heartbeats(now), now) {
            return Some(LeadershipEnd::Resign(ResignReason::HeartbeatsMissing));
        }
        self.read_isolation_reports(context);
        if self.is_outnumbered(now) {
            return Some(LeadershipEnd::Resign(ResignReason::IsolatedNodesReachMoreWorkers));
        }
        self.update_failover_phase(now);
        self.drain_reclaimed(now);
        self.stop_broken_gangs(now);
        self.return_lost_machines(context.peers.last_heartbeat_by_zone(), now);
        self.return_machines_with_overdue_stops(context.lease_renewal, now);
        self.probe(context);
        self.call_cloud(context);
        None
    }

    /// Periodically makes all waiting tasks eligible for another placement attempt.
    fn retry_waiting(&mut self, now: MonotonicTime) {
        if now >= self.next_retry {
            self.next_retry = now + RETRY_INTERVAL;
            self.capacity_version += 1;
        }
    }

    /// Does the work that any input may have enabled: schedules waiting tasks, sends new commands to
    /// workers, and writes changed records.
    pub(super) fn advance(&mut self, context: &mut StepContext) {
        if !context.lease_valid {
            return;
        }
        self.finish_loading(context);
        self.push_fencing_token(context);
        if !self.loaded() {
            return;
        }
        self.run_scheduling_pass(context);
        self.send_direct_commands(context);
        self.send_queued_commands(context);
        self.write_records();
        self.commit(context);
    }

    /// Whether start commands may be sent: the leadership lease is valid, all records are read, every
    /// machine record could be parsed, and the node's read of the job records is recent enough for
    /// all cancellations to be known.
    fn may_start(&self, context: &StepContext) -> bool {
        context.lease_valid
            && self.heartbeat_collection.allows(LeaderAction::Start)
            && !self.machines.any_unreadable()
            && context.lease_renewal.is_fresh(context.now)
    }
}
