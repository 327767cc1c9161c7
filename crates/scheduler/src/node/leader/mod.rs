//! What the leader does on top: loads all records, takes reports, runs rounds, commits, rents.
//!
//! It knows its node only by the `StepContext` that it is given for a step, and says by what it returns when
//! the lead is to be left.

mod broadcast;
mod candidates;
mod cloud_calls;
mod commits;
mod delegation;
#[cfg(any(test, feature = "world"))]
mod fault_injection;
mod isolation;
mod preemption;
mod reconciliation;
mod rounds;
mod scheduling_rounds;
mod state_loading;
mod upkeep;
mod worker_commands;
mod write_budget;

pub(super) use delegation::on as heartbeats_delegated;
pub(super) use isolation::PREFIX as ISOLATION_PREFIX;

use super::catalogue::Catalogue;
use super::outbox::{LeaderRequest, Outbox, Pending};
use super::peers::Peers;
use crate::assignments::{
    self, Assignment, AssignmentState, CommitPipeline, CommitPriority, CommittedWrite, MachineRecord,
    RecordedAssignment, RefusedWrite, WriteVersion,
};
use crate::autoscaler::{self, CapacityRequest, IncomingCapacity, InstanceOffer, InstanceOffers};
use crate::election;
use crate::gangs::{self, Attempts};
use crate::jobs::{self, JobCache, JobSpec, JobState, JobType, Priority, Record, Served};
use crate::partitions::{Partitions, PeerMessage};
use crate::placement::{
    self, Factors, MachineView, PlacementOutcome, PlacementRequest, Proposal, SuccessCounts,
};
use crate::rate_limit::TokenBucket;
use crate::settings::Settings;
use crate::types::{
    Attempt, Duration, FencingToken, Image, JobId, MachineId, MonotonicTime, NodeName, RequestId, Resources,
    Revision, TaskId, TeamName, WorkerEpoch, Zone,
};
use crate::wire::cloud::{CloudReply, CloudRequest, ListedMachine, MachinePhase, MachineType};
use crate::wire::state::{Change, Pair, StoreReply, StoreRequest};
use crate::wire::workers::{self, Heartbeat};
use crate::workers::{Health, HeartbeatOutcome, Machine, MachineStatus, Outcome};
use cloud_calls::CloudCall;
use pearford_heartbeat::{Coordinator, FullHeartbeat, IsolationReports, LeaseRenewal};
use pearford_recovery::{FailoverPhase, HeartbeatCollection, LeaderAction, Pacer};
use rand::RngExt;
use rand::rngs::StdRng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const HOUSEKEEPING_EVERY: Duration = Duration::from_millis(500);
/// Parts of time that looks at what waits, and plans of what to rent, leave to all else for each that they take.
const PASS_REST: f64 = 3.0;
const PLANS_REST: f64 = 9.0;
const RETRY_EVERY: Duration = Duration::from_millis(2000);
/// A returned machine's late reports and listings are ignored for this long.
const TOMBSTONE_LIFE: Duration = Duration::from_millis(600_000);
/// Failures in a row from which on they speak of the job rather than of machines.
const JOB_AT_FAULT: u32 = 4;

/// What the leader's part may use of its node in a step.
pub(super) struct StepContext<'a> {
    pub now: MonotonicTime,
    /// The tenure is valid: orders, commits and rentals may leave.
    pub valid: bool,
    /// The node holds the lead as far as it knows, validly or only holding on.
    pub holds: bool,
    /// Start of the newest read of the job records.
    pub fresh_at: MonotonicTime,
    pub lease_renewal: &'a LeaseRenewal,
    pub job_cache: &'a mut JobCache,
    pub success_counts: &'a mut SuccessCounts,
    /// Every node understands delegations, and answers reports in the leader's name.
    pub heartbeats_delegated: bool,
    pub peers: &'a mut Peers,
    pub catalogue: &'a mut Catalogue,
    pub rng: &'a mut StdRng,
    pub out: &'a mut Outbox,
}

/// How a leader leaves the lead.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum LeadershipEnd {
    /// It has lost it already.
    Lost(&'static str),
    /// It gives it back: another node may do better.
    Resign(&'static str),
}

/// Takes out what is due at `now`.
fn due<T>(queue: &mut Vec<(MonotonicTime, T)>, now: MonotonicTime) -> Vec<T> {
    queue.extract_if(.., |(at, _)| *at <= now).map(|(_, what)| what).collect()
}

/// A round under way at a controller.
#[derive(Debug)]
struct PendingRound {
    round: u64,
    sent: MonotonicTime,
    requests: Vec<PlacementRequest>,
}

/// What a durable key will settle.
#[derive(Debug)]
struct PendingOutcome {
    version: WriteVersion,
    machine: MachineId,
    task: TaskId,
}

#[derive(Debug)]
struct DirectCall {
    machine: MachineId,
    worker_epoch: WorkerEpoch,
    starts: Vec<(TaskId, Attempt)>,
}

#[derive(Debug)]
pub(super) struct Leader {
    settings: Arc<Settings>,
    fencing_token: FencingToken,
    since: MonotonicTime,
    machines_loaded: bool,
    progress_loaded: bool,
    progress: Vec<Pair>,
    machines: BTreeMap<MachineId, Machine>,
    /// What teams take on all machines, kept as sums.
    used: BTreeMap<TeamName, Resources>,
    /// Machines whose record can't be read.
    unreadable_machines: BTreeSet<MachineId>,
    /// Progress of jobs whose own record can't be read: what they have on machines is left as it is.
    unreadable_jobs: BTreeMap<JobId, Vec<Pair>>,
    /// Machines that report tasks the ledger doesn't know.
    machines_with_unknown_tasks: BTreeSet<MachineId>,
    /// Jobs within their team's guarantee, until the jobs change.
    guaranteed: Option<Arc<BTreeSet<JobId>>>,
    tombstones: BTreeMap<MachineId, MonotonicTime>,
    job_states: BTreeMap<JobId, JobState>,
    commit_pipeline: CommitPipeline,
    pending_records: BTreeSet<MachineId>,
    pending_outcomes: BTreeMap<String, Vec<PendingOutcome>>,
    rewrites_pending: usize,
    commit_not_before: MonotonicTime,
    writes: TokenBucket,
    instance_offers: InstanceOffers,
    partitions: Partitions,
    attempts: Attempts,
    pending_rounds: BTreeMap<NodeName, PendingRound>,
    slow_until: BTreeMap<NodeName, MonotonicTime>,
    next_round: u64,
    /// Moves on with everything that may let a waiting task fit.
    capacity_version: u64,
    placement_outcomes: Vec<PlacementOutcome>,
    /// Beats sent so far, and jobs that have moved since the last one.
    broadcasts_sent: u64,
    changed_jobs: BTreeSet<JobId>,
    scheduling_passes: Pacer,
    /// While changes are short: the last look was at arrays.
    arrays_scheduled: bool,
    plans: Pacer,
    cloud_calls_open: BTreeMap<RequestId, CloudCall>,
    cloud_calls: TokenBucket,
    list_after: Option<MachineId>,
    next_listing: MonotonicTime,
    next_types: MonotonicTime,
    next_broadcast: MonotonicTime,
    next_counts: MonotonicTime,
    next_housekeeping: MonotonicTime,
    next_retry: MonotonicTime,
    silent_since: Option<MonotonicTime>,
    rent_not_before: MonotonicTime,
    /// Machines whose release is under way.
    releasing: BTreeSet<MachineId>,
    /// Workers that must hear of this leader's fence directly, and calls under way for it.
    to_push: BTreeSet<MachineId>,
    pushes: BTreeMap<RequestId, MachineId>,
    /// Silent workers that are asked whether they are there.
    probes: BTreeMap<RequestId, MachineId>,
    /// Workers with orders that needn't wait for their next report, and calls under way.
    to_direct: BTreeSet<MachineId>,
    directs: BTreeMap<RequestId, DirectCall>,
    coordinator: Coordinator,
    /// What nodes say that are apart from this one, and the zones that are cut off as far as this node can tell.
    isolation_reports: IsolationReports,
    next_isolation_read: MonotonicTime,
    cut_zones: BTreeSet<Zone>,
    /// Until when a zone was cut off and answered by a node in there.
    partitioned_until: BTreeMap<Zone, MonotonicTime>,
    /// What this node heard before it led, for when all records are read.
    early_heartbeats: Vec<FullHeartbeat>,
    /// Orders that go out with answers to the next reports at other nodes.
    queued_commands: BTreeMap<NodeName, Vec<(MachineId, Vec<workers::WorkerCommand>)>>,
    phases: delegation::Phases,
    heartbeat_collection: HeartbeatCollection,
    served: Served,
    reload: Vec<(MonotonicTime, LeaderRequest)>,
    recheck: Vec<(MonotonicTime, String)>,
}

impl Leader {
    /// (done, running) of a job.
    pub(in crate::node) fn counts_of_job(&self, id: &JobId) -> Option<(u32, u32)> {
        let job_state = self.job_states.get(id)?;
        let running = job_state.placed().iter().filter(|(index, machine)| {
            let task = TaskId { job: id.clone(), index: **index };
            self.machines
                .get(*machine)
                .and_then(|m| m.assignments.get(&task))
                .is_some_and(Assignment::is_running)
        });
        Some((job_state.done().count(), running.count() as u32))
    }

    /// Whether a copy of the job records as of `fresh_at` is too old to build the runs from.
    pub(in crate::node) fn wants_jobs(&self, fresh_at: MonotonicTime) -> bool {
        !self.loaded() && fresh_at < self.since
    }

    /// Whether all records are read and taken in.
    fn loaded(&self) -> bool {
        self.heartbeat_collection.phase() > FailoverPhase::ReadingRecords
    }

    /// Brings the kept sums in line after a change of a machine's entries.
    fn recount(&mut self, machine: &MachineId, now: MonotonicTime) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.recount(&mut self.used, now);
            if m.unknown_tasks.is_empty() {
                self.machines_with_unknown_tasks.remove(machine);
            } else {
                self.machines_with_unknown_tasks.insert(machine.clone());
            }
        }
    }

    fn mark_changed(&mut self, job: &JobId) {
        if !self.changed_jobs.contains(job) {
            self.changed_jobs.insert(job.clone());
        }
    }

    /// How many tasks of `job` count in each zone.
    fn zones_of(&self, job: &JobId, job_state: &JobState) -> BTreeMap<Zone, u32> {
        let mut zones = BTreeMap::new();
        if !job_state.job.spec.spread && !job_state.job.spec.together {
            return zones; // nothing depends on them
        }
        for (index, machine) in job_state.placed() {
            let task = TaskId { job: job.clone(), index: *index };
            if let Some(m) = self.machines.get(machine)
                && m.assignments.get(&task).is_some_and(Assignment::occupies)
            {
                *zones.entry(m.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// Zones that `job` may use, and how many more of its tasks each may take.
    fn zone_capacity(&self, job: &JobId, job_state: &JobState) -> Vec<(Zone, u32)> {
        let spec = &job_state.job.spec;
        let here = self.zones_of(job, job_state);
        let cap = spec.zone_cap();
        self.settings
            .zones
            .iter()
            .filter(|z| spec.zone_allowed(z))
            .filter(|z| !spec.together || here.is_empty() || here.contains_key(*z))
            .map(|z| (z.clone(), cap.saturating_sub(here.get(z).copied().unwrap_or(0))))
            .collect()
    }

    /// A machine as controllers see it; of its images they need to know those asked for.
    fn view(&self, m: &Machine, health: Health, asked: &BTreeSet<&Image>, now: MonotonicTime) -> MachineView {
        MachineView {
            id: m.id.clone(),
            type_name: m.type_name.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            free: m.free(),
            total: m.total,
            empty: m.is_empty(),
            health,
            fetching: self.fetching(m),
            images: m
                .images
                .iter()
                .map(|cached| &cached.image)
                .filter(|i| asked.contains(i))
                .cloned()
                .collect(),
            fetch_gb_per_s: self.instance_offers.type_of(&m.type_name).map_or(0.0, |t| t.fetch_gb_per_s),
            held_for: m.held_for(now).cloned(),
        }
    }

    /// Images that tasks on the machine wait for.
    fn fetching(&self, m: &Machine) -> Vec<Image> {
        let mut images: Vec<Image> = Vec::new();
        for (task, _) in m.assignments.iter().filter(|(_, e)| e.occupies() && e.running_since.is_none()) {
            let Some(job_state) = self.job_states.get(&task.job) else { continue };
            let image = &job_state.job.spec.image;
            if !m.has_image(image) && !images.contains(image) {
                images.push(image.clone());
            }
        }
        images
    }

    /// Takes a stop wish to a task's machine; removes it at once if no order went out.
    fn stop_task(&mut self, machine: &MachineId, task: &TaskId, grace_s: f64, now: MonotonicTime) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        self.to_direct.insert(machine.clone());
        if !self.changed_jobs.contains(&task.job) {
            self.changed_jobs.insert(task.job.clone());
        }
        if m.stop(task, grace_s, now).is_some() {
            self.pending_records.insert(machine.clone());
            self.capacity_version += 1;
            if let Some(job_state) = self.job_states.get_mut(&task.job) {
                job_state.unplace(task.index, machine);
            }
            self.recount(machine, now);
        }
    }

    fn stop_job(&mut self, id: &JobId, grace_s: f64, now: MonotonicTime) {
        let placed: Vec<(u32, MachineId)> = match self.job_states.get(id) {
            Some(job_state) => job_state.placed().iter().map(|(i, m)| (*i, m.clone())).collect(),
            None => return,
        };
        for (index, machine) in placed {
            self.stop_task(&machine, &TaskId { job: id.clone(), index }, grace_s, now);
        }
    }
}

impl Leader {
    pub(in crate::node) fn new(
        settings: Arc<Settings>,
        fencing_token: FencingToken,
        now: MonotonicTime,
        types: Vec<MachineType>,
        early_heartbeats: Vec<FullHeartbeat>,
    ) -> Self {
        let o = &settings.operator;
        // Users seldom use theirs, so the two overlap a little; what is over the limit is refused by
        // the service and comes again.
        let own_share = 1.0 - o.user_write_share / 2.0;
        let instance_offers = InstanceOffers::new(types);
        Self {
            fencing_token,
            since: now,
            machines_loaded: false,
            progress_loaded: false,
            progress: Vec::new(),
            machines: BTreeMap::new(),
            used: BTreeMap::new(),
            unreadable_machines: BTreeSet::new(),
            unreadable_jobs: BTreeMap::new(),
            machines_with_unknown_tasks: BTreeSet::new(),
            guaranteed: None,
            tombstones: BTreeMap::new(),
            job_states: BTreeMap::new(),
            commit_pipeline: CommitPipeline::new(election::LEADER_KEY, fencing_token, settings.state.txn_ops),
            pending_records: BTreeSet::new(),
            pending_outcomes: BTreeMap::new(),
            rewrites_pending: 0,
            commit_not_before: now,
            writes: TokenBucket::new(settings.state.write_rps * own_share),
            instance_offers,
            partitions: Partitions::default(),
            attempts: Attempts::new(fencing_token),
            pending_rounds: BTreeMap::new(),
            slow_until: BTreeMap::new(),
            next_round: 0,
            capacity_version: 1,
            placement_outcomes: Vec::new(),
            broadcasts_sent: 0,
            changed_jobs: BTreeSet::new(),
            scheduling_passes: Pacer::new(scheduling_rounds::PASS_INTERVAL, PASS_REST, now),
            arrays_scheduled: false,
            plans: Pacer::new(HOUSEKEEPING_EVERY, PLANS_REST, now),
            cloud_calls_open: BTreeMap::new(),
            cloud_calls: TokenBucket::new(settings.cloud.rps * 0.7),
            list_after: None,
            next_listing: now,
            next_types: now,
            next_broadcast: now,
            next_counts: now + Duration::from_secs_f64(o.counts_save_s),
            next_housekeeping: now,
            next_retry: now,
            silent_since: None,
            rent_not_before: now,
            releasing: BTreeSet::new(),
            to_push: BTreeSet::new(),
            pushes: BTreeMap::new(),
            probes: BTreeMap::new(),
            to_direct: BTreeSet::new(),
            directs: BTreeMap::new(),
            coordinator: Coordinator::new(settings.node.clone(), fencing_token, now),
            isolation_reports: IsolationReports::default(),
            next_isolation_read: now,
            cut_zones: BTreeSet::new(),
            partitioned_until: BTreeMap::new(),
            early_heartbeats,
            queued_commands: BTreeMap::new(),
            phases: delegation::Phases::default(),
            served: Served::default(),
            heartbeat_collection: HeartbeatCollection::new(
                Duration::from_secs_f64(settings.workers.report_s),
                Duration::from_secs_f64(settings.workers.lease_s),
            ),
            reload: Vec::new(),
            recheck: Vec::new(),
            settings,
        }
    }

    pub(in crate::node) fn set_types(&mut self, types: Vec<MachineType>, now: MonotonicTime) {
        for m in self.machines.values_mut() {
            if let Some(t) = types.iter().find(|t| t.name == m.type_name) {
                m.total = t.resources();
                m.recount(&mut self.used, now);
            }
        }
        self.instance_offers.types = types;
        self.capacity_version += 1;
    }
}

impl Leader {
    pub(super) fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// The step that is over took `cost`.
    pub(in crate::node) fn took(&mut self, cost: Duration, now: MonotonicTime) {
        self.scheduling_passes.cost(cost, now);
        self.plans.cost(cost, now);
    }

    /// Jobs started and done under this leadership.
    pub(super) fn served(&self) -> &Served {
        &self.served
    }

    pub(super) fn into_served(self) -> Served {
        self.served
    }

    /// Whether starts may leave: validly leading, all records read, withdrawals known.
    fn may_start(&self, context: &StepContext) -> bool {
        context.valid
            && self.heartbeat_collection.allows(LeaderAction::Start)
            && self.unreadable_machines.is_empty()
            && context.lease_renewal.is_fresh(context.now)
    }

    /// Whether a machine's reports may be answered with 200, which renews the worker's lease.
    fn may_renew(&self, context: &StepContext, machine: &MachineId) -> bool {
        let unacknowledged = self.machines.get(machine).filter(|m| m.has_unacknowledged_starts());
        let returned = unacknowledged.is_some_and(|m| m.status == MachineStatus::Releasing);
        context.holds
            && !returned
            && context.lease_renewal.leader_may_renew(unacknowledged.is_some(), context.now)
    }

    /// An answer of the state service to one of this leader's requests.
    pub(super) fn state(
        &mut self,
        context: &mut StepContext,
        request_id: LeaderRequest,
        reply: StoreReply,
    ) -> Option<LeadershipEnd> {
        match request_id {
            LeaderRequest::LoadMachines | LeaderRequest::LoadProgress => {
                self.loaded_page(context, request_id, reply)
            }
            LeaderRequest::Commit => return self.committed(context, reply),
            LeaderRequest::Correct { key } => self.corrected(context, &key, reply),
            LeaderRequest::Apart => self.isolation_reports_read(context, reply),
            LeaderRequest::SaveCounts | LeaderRequest::Resign => {}
        }
        None
    }

    pub(super) fn tick(&mut self, context: &mut StepContext) -> Option<LeadershipEnd> {
        self.reload_due(context);
        self.correct_due(context);
        self.broadcast(context);
        self.delegate(context);
        self.late_rounds(context.now);
        if self.loaded() && context.now >= self.next_housekeeping && context.valid {
            return self.housekeeping(context);
        }
        None
    }

    fn housekeeping(&mut self, context: &mut StepContext) -> Option<LeadershipEnd> {
        let now = context.now;
        self.next_housekeeping = now + HOUSEKEEPING_EVERY;
        if now >= self.next_retry {
            // Machines' health and pauses change with time alone.
            self.next_retry = now + RETRY_EVERY;
            self.capacity_version += 1;
        }
        self.tombstones.retain(|_, at| now.since(*at) < TOMBSTONE_LIFE);
        if self.self_cut_off(context.peers.hear_workers(now), now) {
            return Some(LeadershipEnd::Resign("most workers are silent: the fault may be here"));
        }
        self.read_isolation_reports(context);
        if self.is_outnumbered(now) {
            return Some(LeadershipEnd::Resign("nodes that are apart from this one hear more workers"));
        }
        self.gather(now);
        self.drain_warned(now);
        self.mend_gangs(now);
        self.find_lost(context.peers.zones_heard(), now);
        self.find_unstoppable(context.lease_renewal, now);
        self.probe(context);
        self.call_cloud(context);
        None
    }

    /// After any input: writes what is new, then offers what waits.
    pub(super) fn pump(&mut self, context: &mut StepContext) {
        if !context.valid {
            return;
        }
        self.records_loaded(context);
        self.push_fencing_token(context);
        if !self.loaded() {
            return;
        }
        self.offer_rounds(context);
        self.send_directs(context);
        self.send_queued_commands(context);
        self.write_records();
        self.commit(context);
    }

    /// How many tasks of a job have no machine yet.
    pub(super) fn waiting_of(&self, id: &JobId) -> Option<u32> {
        self.job_states.get(id).map(JobState::waiting_count)
    }

    /// What `team` may still take.
    pub(super) fn remaining_quota(&self, team: &TeamName) -> Option<Resources> {
        let limits = self.settings.teams.get(team)?;
        let used = self.used.get(team).copied().unwrap_or_default();
        let left = |max: Option<f64>, used: f64| max.map_or(f64::MAX, |max| (max - used).max(0.0));
        Some(Resources {
            cpus: left(limits.max_cpus, used.cpus),
            gpus: left(limits.max_gpus, used.gpus),
            memory_gb: f64::MAX,
        })
    }

    /// Takes `n` changes from what is to spare: nothing while more urgent ones wait.
    pub(super) fn spare_writes(&mut self, n: usize, now: MonotonicTime) -> bool {
        self.writes.ample(now) && self.writes.take(n as f64, now)
    }

    // ---- for operators ----

    pub(super) fn metrics(&self, lines: &mut Vec<String>) {
        let assignments: usize = self.machines.values().map(|m| m.assignments.len()).sum();
        let up = self.machines.values().filter(|m| m.status == MachineStatus::Up).count();
        let waiting: u32 = self.job_states.values().map(JobState::waiting_count).sum();
        lines.push(format!("pearford_machines {}", self.machines.len()));
        lines.push(format!("pearford_machines_up {up}"));
        lines.push(format!("pearford_ledger_entries {assignments}"));
        lines.push(format!("pearford_jobs_open {}", self.job_states.len()));
        lines.push(format!("pearford_tasks_waiting {waiting}"));
        lines.push(format!("pearford_journal_backlog {}", self.commit_pipeline.backlog()));
        lines.push(format!("pearford_recovery_phase {}", self.heartbeat_collection.phase() as u8));
        for (node, machines) in self.coordinator.machines_by_node() {
            lines.push(format!("pearford_reports_home{{node=\"{node}\"}} {machines}"));
        }
    }

    /// Jobs with tasks that wait, how many, and why.
    pub(super) fn waiting(&self) -> impl Iterator<Item = (&JobId, u32, &'static str)> {
        let waiting = self.job_states.iter().filter(|(_, job_state)| job_state.waiting_count() > 0);
        waiting.map(|(id, job_state)| (id, job_state.waiting_count(), job_state.reason))
    }
}
