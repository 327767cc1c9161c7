//! What the leader does on top of what every node does: loads all records, takes in heartbeats,
//! schedules, commits, rents and returns machines.
//!
//! The controller calls it with each input while the node leads. [`Leader`] owns what several
//! concerns need (machines, job states, partitions) and one component for each concern, whose fields
//! are private to its file; the methods on `Leader` in those files bring the components together.
//! [`Leader::tick`] and [`Leader::advance`] are the order in which things happen. It knows its node only
//! by the [`StepContext`] that it is given for a step, and returns a [`LeadershipEnd`] when the node
//! is to lead no longer.

mod adoption;
mod broadcast;
mod candidates;
mod cloud_calls;
mod commits;
mod delegation;
#[cfg(any(test, feature = "simulation"))]
mod fault_injection;
mod heartbeats;
mod isolation;
mod job_changes;
mod leadership_end;
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
mod silence_rules;
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
use crate::jobs::{JobCache, JobState, Served};
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
/// How often waiting tasks are tried again though nothing is known to have changed: machines' health
/// and pauses change with time alone.
const RETRY_INTERVAL: Duration = Duration::from_millis(2000);

/// What the leader may use of its node in a step.
pub(super) struct StepContext<'a> {
    /// When the step happens.
    pub now: MonotonicTime,
    /// The leadership lease is valid: commands, commits and rentals may leave.
    pub lease_valid: bool,
    /// The node leads as far as it knows, whether its lease is still valid or not.
    pub in_leader_role: bool,
    /// Start of the newest linearizable read of the job records.
    pub jobs_read_at: MonotonicTime,
    /// Until when workers' leases may be renewed.
    pub lease_renewal: &'a LeaseRenewal,
    /// All jobs as stored.
    pub job_cache: &'a mut JobCache,
    /// How placements of each kind of work have gone on each machine.
    pub success_counts: &'a mut SuccessCounts,
    /// Every node understands delegations, and answers heartbeats in the leader's name.
    pub heartbeats_delegated: bool,
    /// The other controllers.
    pub peers: &'a mut Peers,
    /// The instance types.
    pub catalogue: &'a mut Catalogue,
    /// The node's source of randomness.
    pub rng: &'a mut StdRng,
    /// Where the step's effects go.
    pub outbox: &'a mut Outbox,
}

/// Something to do again later.
#[derive(Debug)]
struct Delayed<T> {
    due_at: MonotonicTime,
    item: T,
}

/// Takes what is due at `now` out of the queue, in its order.
fn take_due<T>(queue: &mut Vec<Delayed<T>>, now: MonotonicTime) -> Vec<T> {
    queue.extract_if(.., |delayed| delayed.due_at <= now).map(|delayed| delayed.item).collect()
}

/// The state of one leadership.
#[derive(Debug)]
pub(super) struct Leader {
    settings: Arc<Settings>,
    fencing_token: FencingToken,
    /// When this leadership began.
    since: MonotonicTime,

    // What several concerns need.
    machines: Machines,
    job_states: BTreeMap<JobId, JobState>,
    /// Progress of jobs whose own record can't be read: what they have on machines is left as it is.
    unreadable_jobs: BTreeMap<JobId, Vec<Pair>>,
    /// Grows with everything that may let a waiting task fit.
    capacity_version: u64,
    instance_offers: InstanceOffers,
    partitions: Partitions,
    attempts: Attempts,
    coordinator: Coordinator,
    heartbeat_collection: HeartbeatCollection,
    served: Served,

    // A component for each concern.
    record_loading: RecordLoading,
    failover_log: FailoverLog,
    commits: CommitState,
    worker_calls: WorkerCalls,
    queued_commands: QueuedCommands,
    isolation: ZoneIsolation,
    silence: HeartbeatOutageDetector,
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
    /// A leader that has read nothing yet. `types`: the instance types as far as they are known;
    /// `early_heartbeats`: what the node heard of workers before it led.
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
            served: Served::default(),
            record_loading: RecordLoading::new(early_heartbeats),
            failover_log: FailoverLog::new(fencing_token, now),
            commits: CommitState::new(fencing_token, &settings, now),
            worker_calls: WorkerCalls::default(),
            queued_commands: QueuedCommands::default(),
            isolation: ZoneIsolation::new(now),
            silence: HeartbeatOutageDetector::default(),
            rounds: SchedulingRounds::new(now),
            pass_alternation: PassAlternation::default(),
            guarantees: Guarantees::default(),
            broadcaster: StatusBroadcaster::new(counts_save_interval, now),
            cloud: CloudClient::new(settings.cloud.rps, now),
            rental_pacer: Pacer::new(HOUSEKEEPING_INTERVAL, scale_out::PLANNING_REST, now),
            next_housekeeping: now,
            next_retry: now,
            settings,
        }
    }

    /// The token that every change under this leadership carries.
    pub(super) fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// The step that has ended took `cost`.
    pub(in crate::node) fn record_step_cost(&mut self, cost: Duration, now: MonotonicTime) {
        self.rounds.record_step_cost(cost, now);
        self.rental_pacer.record_cost(cost, now);
    }

    /// The instance types were read anew.
    pub(in crate::node) fn set_types(&mut self, types: Vec<MachineType>, now: MonotonicTime) {
        let size_of =
            |name: &TypeName| types.iter().find(|known| known.name == *name).map(MachineType::resources);
        self.machines.resize(size_of, now);
        self.instance_offers.types = types;
        self.capacity_version += 1;
    }

    /// A reply of the key-value store to one of this leader's requests.
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

    /// What happens with time alone.
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

    /// Lets everything that waits be tried again from time to time.
    fn retry_waiting(&mut self, now: MonotonicTime) {
        if now >= self.next_retry {
            self.next_retry = now + RETRY_INTERVAL;
            self.capacity_version += 1;
        }
    }

    /// What any input may have made possible: schedules what waits, sends what is new to workers,
    /// and writes what has changed.
    pub(super) fn advance(&mut self, context: &mut StepContext) {
        if !context.lease_valid {
            return;
        }
        self.finish_loading(context);
        self.push_fencing_token(context);
        if !self.loaded() {
            return;
        }
        self.offer_rounds(context);
        self.send_direct_commands(context);
        self.send_queued_commands(context);
        self.write_records();
        self.commit(context);
    }

    /// Whether starts may leave: the lease is valid, all records are read, cancellations are known.
    fn may_start(&self, context: &StepContext) -> bool {
        context.lease_valid
            && self.heartbeat_collection.allows(LeaderAction::Start)
            && !self.machines.any_unreadable()
            && context.lease_renewal.is_fresh(context.now)
    }
}
