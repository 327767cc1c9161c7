//! What the leader does on top: loads all records, takes reports, runs rounds, commits, rents.
//!
//! It knows its node only by the `Ctx` that it is given for a step, and says by what it returns when
//! the lead is to be left.

mod beat;
mod calls;
mod changes;
mod cloud;
mod commits;
mod delegation;
mod field;
mod isolation;
mod load;
mod offers;
mod preemption;
mod rounds;
mod stock;
mod upkeep;

pub(super) use delegation::on as heartbeats_delegated;
pub(super) use isolation::PREFIX as ISOLATION_PREFIX;

use super::catalogue::Catalogue;
use super::outbox::{LeaderRequest, Outbox, Pending};
use super::peers::Peers;
use crate::assignments::{self, Assignment, AssignmentState, CommitPipeline, CommitPriority, MachineRecord};
use crate::blocks::{Blocks, PeerMessage};
use crate::election;
use crate::fleet::{self, Coming, Market, Need, Offer};
use crate::gangs::{self, Attempts};
use crate::jobs::{self, JobSpec, Mirror, Priority, Record, Run, Served, Shape};
use crate::placement::{self, Counts, Factors, Learned, MachineView, Proposal, TaskAsk};
use crate::settings::Settings;
use crate::store::Budget;
use crate::types::{
    Attempt, Duration, FencingToken, Image, JobId, MachineId, MonotonicTime, NodeName, RequestId, Resources,
    Revision, TaskId, TeamName, WorkerEpoch, Zone,
};
use crate::wire::cloud::{CloudReply, CloudRequest, ListedMachine, MachinePhase, MachineType};
use crate::wire::state::{Change, Pair, StateReply, StateRequest};
use crate::wire::workers::{self, Heartbeat};
use crate::workers::{Health, HeartbeatOutcome, Machine, MachineStatus, Outcome};
use cloud::CloudCall;
use pearford_heartbeat::{Coordinator, FullHeartbeat, IsolationReports, LeaseRenewal};
use pearford_recovery::{FailoverPhase, HeartbeatCollection, LeaderAction, Pacer};
use rand::RngExt;
use rand::rngs::StdRng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const HOUSEKEEPING_EVERY: Duration = Duration::from_millis(500);
/// Parts of time that looks at what waits, and plans of what to rent, leave to all else for each that they take.
const LOOKS_REST: f64 = 3.0;
const PLANS_REST: f64 = 9.0;
const RETRY_EVERY: Duration = Duration::from_millis(2000);
/// A returned machine's late reports and listings are ignored for this long.
const TOMBSTONE_LIFE: Duration = Duration::from_millis(600_000);
/// Failures in a row from which on they speak of the job rather than of machines.
const JOB_AT_FAULT: u32 = 4;

/// What the leader's part may use of its node in a step.
pub(super) struct Ctx<'a> {
    pub now: MonotonicTime,
    /// The tenure is valid: orders, commits and rentals may leave.
    pub valid: bool,
    /// The node holds the lead as far as it knows, validly or only holding on.
    pub holds: bool,
    /// Start of the newest read of the job records.
    pub fresh_at: MonotonicTime,
    pub lease_renewal: &'a LeaseRenewal,
    pub mirror: &'a mut Mirror,
    pub counts: &'a mut Counts,
    /// Every node understands delegations, and answers reports in the leader's name.
    pub heartbeats_delegated: bool,
    pub peers: &'a mut Peers,
    pub catalogue: &'a mut Catalogue,
    pub rng: &'a mut StdRng,
    pub out: &'a mut Outbox,
}

/// How a leader leaves the lead.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Leave {
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
struct Outstanding {
    round: u64,
    sent: MonotonicTime,
    asks: Vec<TaskAsk>,
}

/// What a durable key will settle.
#[derive(Debug)]
struct Recorded {
    version: u64,
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
pub(super) struct Master {
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
    runs: BTreeMap<JobId, Run>,
    commit_pipeline: CommitPipeline,
    dirty: BTreeSet<MachineId>,
    recorded: BTreeMap<String, Vec<Recorded>>,
    correcting: usize,
    commit_not_before: MonotonicTime,
    writes: Budget,
    market: Market,
    blocks: Blocks,
    attempts: Attempts,
    offers: BTreeMap<NodeName, Outstanding>,
    slow_until: BTreeMap<NodeName, MonotonicTime>,
    next_round: u64,
    /// Moves on with everything that may let a waiting task fit.
    capacity_version: u64,
    learned: Vec<Learned>,
    /// Beats sent so far, and jobs that have moved since the last one.
    beats: u64,
    touched: BTreeSet<JobId>,
    looks: Pacer,
    /// While changes are short: the last look was at arrays.
    arrays_looked: bool,
    plans: Pacer,
    cloud_calls_open: BTreeMap<RequestId, CloudCall>,
    cloud_calls: Budget,
    list_after: Option<MachineId>,
    next_listing: MonotonicTime,
    next_types: MonotonicTime,
    next_beat: MonotonicTime,
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
    cut: BTreeSet<Zone>,
    /// Until when a zone was cut off and answered by a node in there.
    parted: BTreeMap<Zone, MonotonicTime>,
    /// What this node heard before it led, for when all records are read.
    early: Vec<FullHeartbeat>,
    /// Orders that go out with answers to the next reports at other nodes.
    queued_commands: BTreeMap<NodeName, Vec<(MachineId, Vec<workers::WorkerCommand>)>>,
    phases: delegation::Phases,
    heartbeat_collection: HeartbeatCollection,
    served: Served,
    reload: Vec<(MonotonicTime, LeaderRequest)>,
    recheck: Vec<(MonotonicTime, String)>,
}

impl Master {
    /// (done, running) of a job.
    pub(in crate::node) fn standing_of(&self, id: &JobId) -> Option<(u32, u32)> {
        let run = self.runs.get(id)?;
        let running = run.placed().iter().filter(|(index, machine)| {
            let task = TaskId { job: id.clone(), index: **index };
            self.machines
                .get(*machine)
                .and_then(|m| m.assignments.get(&task))
                .is_some_and(Assignment::is_running)
        });
        Some((run.done().count(), running.count() as u32))
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

    fn touch(&mut self, job: &JobId) {
        if !self.touched.contains(job) {
            self.touched.insert(job.clone());
        }
    }

    /// How many tasks of `job` count in each zone.
    fn zones_of(&self, job: &JobId, run: &Run) -> BTreeMap<Zone, u32> {
        let mut zones = BTreeMap::new();
        if !run.job.spec.spread && !run.job.spec.together {
            return zones; // nothing depends on them
        }
        for (index, machine) in run.placed() {
            let task = TaskId { job: job.clone(), index: *index };
            if let Some(m) = self.machines.get(machine)
                && m.assignments.get(&task).is_some_and(Assignment::counts)
            {
                *zones.entry(m.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// Zones that `job` may use, and how many more of its tasks each may take.
    fn zone_capacity(&self, job: &JobId, run: &Run) -> Vec<(Zone, u32)> {
        let spec = &run.job.spec;
        let here = self.zones_of(job, run);
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
            images: m.images.iter().map(|(i, _)| i).filter(|i| asked.contains(i)).cloned().collect(),
            fetch_gb_per_s: self.market.type_of(&m.type_name).map_or(0.0, |t| t.fetch_gb_per_s),
            held_for: m.held_for(now).cloned(),
        }
    }

    /// Images that tasks on the machine wait for.
    fn fetching(&self, m: &Machine) -> Vec<Image> {
        let mut images: Vec<Image> = Vec::new();
        for (task, _) in m.assignments.iter().filter(|(_, e)| e.counts() && e.running_since.is_none()) {
            let Some(run) = self.runs.get(&task.job) else { continue };
            let image = &run.job.spec.image;
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
        if !self.touched.contains(&task.job) {
            self.touched.insert(task.job.clone());
        }
        if m.stop(task, grace_s, now).is_some() {
            self.dirty.insert(machine.clone());
            self.capacity_version += 1;
            if let Some(run) = self.runs.get_mut(&task.job) {
                run.unplace(task.index, machine);
            }
            self.recount(machine, now);
        }
    }

    fn stop_job(&mut self, id: &JobId, grace_s: f64, now: MonotonicTime) {
        let placed: Vec<(u32, MachineId)> = match self.runs.get(id) {
            Some(run) => run.placed().iter().map(|(i, m)| (*i, m.clone())).collect(),
            None => return,
        };
        for (index, machine) in placed {
            self.stop_task(&machine, &TaskId { job: id.clone(), index }, grace_s, now);
        }
    }
}

impl Master {
    pub(in crate::node) fn new(
        settings: Arc<Settings>,
        fencing_token: FencingToken,
        now: MonotonicTime,
        types: Vec<MachineType>,
        early: Vec<FullHeartbeat>,
    ) -> Self {
        let o = &settings.operator;
        // Users seldom use theirs, so the two overlap a little; what is over the limit is refused by
        // the service and comes again.
        let own_share = 1.0 - o.user_write_share / 2.0;
        let market = Market::new(types);
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
            runs: BTreeMap::new(),
            commit_pipeline: CommitPipeline::new(election::LEADER_KEY, fencing_token, settings.state.txn_ops),
            dirty: BTreeSet::new(),
            recorded: BTreeMap::new(),
            correcting: 0,
            commit_not_before: now,
            writes: Budget::new(settings.state.write_rps * own_share),
            market,
            blocks: Blocks::default(),
            attempts: Attempts::new(fencing_token),
            offers: BTreeMap::new(),
            slow_until: BTreeMap::new(),
            next_round: 0,
            capacity_version: 1,
            learned: Vec::new(),
            beats: 0,
            touched: BTreeSet::new(),
            looks: Pacer::new(offers::LOOK_EVERY, LOOKS_REST, now),
            arrays_looked: false,
            plans: Pacer::new(HOUSEKEEPING_EVERY, PLANS_REST, now),
            cloud_calls_open: BTreeMap::new(),
            cloud_calls: Budget::new(settings.cloud.rps * 0.7),
            list_after: None,
            next_listing: now,
            next_types: now,
            next_beat: now,
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
            cut: BTreeSet::new(),
            parted: BTreeMap::new(),
            early,
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
        self.market.types = types;
        self.capacity_version += 1;
    }
}

impl Master {
    pub(super) fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// The step that is over took `cost`.
    pub(in crate::node) fn took(&mut self, cost: Duration, now: MonotonicTime) {
        self.looks.cost(cost, now);
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
    fn may_start(&self, ctx: &Ctx) -> bool {
        ctx.valid
            && self.heartbeat_collection.allows(LeaderAction::Start)
            && self.unreadable_machines.is_empty()
            && ctx.lease_renewal.is_fresh(ctx.now)
    }

    /// Whether a machine's reports may be answered with 200, which renews the worker's lease.
    fn may_renew(&self, ctx: &Ctx, machine: &MachineId) -> bool {
        let unacknowledged = self.machines.get(machine).filter(|m| m.has_unacknowledged_starts());
        let returned = unacknowledged.is_some_and(|m| m.status == MachineStatus::Releasing);
        ctx.holds && !returned && ctx.lease_renewal.leader_may_renew(unacknowledged.is_some(), ctx.now)
    }

    /// An answer of the state service to one of this leader's requests.
    pub(super) fn state(
        &mut self,
        ctx: &mut Ctx,
        request_id: LeaderRequest,
        reply: StateReply,
    ) -> Option<Leave> {
        match request_id {
            LeaderRequest::LoadMachines | LeaderRequest::LoadProgress => {
                self.loaded_page(ctx, request_id, reply)
            }
            LeaderRequest::Commit => return self.committed(ctx, reply),
            LeaderRequest::Correct { key } => self.corrected(ctx, &key, reply),
            LeaderRequest::Apart => self.isolation_reports_read(ctx, reply),
            LeaderRequest::SaveCounts | LeaderRequest::Resign => {}
        }
        None
    }

    pub(super) fn tick(&mut self, ctx: &mut Ctx) -> Option<Leave> {
        self.reload_due(ctx);
        self.correct_due(ctx);
        self.beat(ctx);
        self.delegate(ctx);
        self.late_rounds(ctx.now);
        if self.loaded() && ctx.now >= self.next_housekeeping && ctx.valid {
            return self.housekeeping(ctx);
        }
        None
    }

    fn housekeeping(&mut self, ctx: &mut Ctx) -> Option<Leave> {
        let now = ctx.now;
        self.next_housekeeping = now + HOUSEKEEPING_EVERY;
        if now >= self.next_retry {
            // Machines' health and pauses change with time alone.
            self.next_retry = now + RETRY_EVERY;
            self.capacity_version += 1;
        }
        self.tombstones.retain(|_, at| now.since(*at) < TOMBSTONE_LIFE);
        if self.self_cut_off(ctx.peers.hear_workers(now), now) {
            return Some(Leave::Resign("most workers are silent: the fault may be here"));
        }
        self.read_isolation_reports(ctx);
        if self.is_outnumbered(now) {
            return Some(Leave::Resign("nodes that are apart from this one hear more workers"));
        }
        self.gather(now);
        self.drain_warned(now);
        self.mend_gangs(now);
        self.find_lost(ctx.peers.zones_heard(), now);
        self.find_unstoppable(ctx.lease_renewal, now);
        self.probe(ctx);
        self.call_cloud(ctx);
        None
    }

    /// After any input: writes what is new, then offers what waits.
    pub(super) fn pump(&mut self, ctx: &mut Ctx) {
        if !ctx.valid {
            return;
        }
        self.stock_taken(ctx);
        self.push_fencing_token(ctx);
        if !self.loaded() {
            return;
        }
        self.offer_rounds(ctx);
        self.send_directs(ctx);
        self.send_queued_commands(ctx);
        self.write_records();
        self.commit(ctx);
    }

    /// How many tasks of a job have no machine yet.
    pub(super) fn waiting_of(&self, id: &JobId) -> Option<u32> {
        self.runs.get(id).map(Run::waiting_count)
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
        let waiting: u32 = self.runs.values().map(Run::waiting_count).sum();
        lines.push(format!("pearford_machines {}", self.machines.len()));
        lines.push(format!("pearford_machines_up {up}"));
        lines.push(format!("pearford_ledger_entries {assignments}"));
        lines.push(format!("pearford_jobs_open {}", self.runs.len()));
        lines.push(format!("pearford_tasks_waiting {waiting}"));
        lines.push(format!("pearford_journal_backlog {}", self.commit_pipeline.backlog()));
        lines.push(format!("pearford_recovery_phase {}", self.heartbeat_collection.phase() as u8));
        for (node, machines) in self.coordinator.counts() {
            lines.push(format!("pearford_reports_home{{node=\"{node}\"}} {machines}"));
        }
    }

    /// Jobs with tasks that wait, how many, and why.
    pub(super) fn waiting(&self) -> impl Iterator<Item = (&JobId, u32, &'static str)> {
        let waiting = self.runs.iter().filter(|(_, run)| run.waiting_count() > 0);
        waiting.map(|(id, run)| (id, run.waiting_count(), run.why))
    }
}

/// Ways to take a guard out, for proving that the test world's checker notices.
#[cfg(any(test, feature = "world"))]
impl Master {
    pub(super) fn sabotage_forget_silent(&mut self, ms: u64, now: MonotonicTime) {
        let mut gone = Vec::new();
        for m in self.machines.values_mut() {
            if m.last_heartbeat.is_some_and(|at| now.since(at) > Duration::from_millis(ms)) {
                gone.extend(std::mem::take(&mut m.assignments).into_keys().map(|t| (t, m.id.clone())));
                m.recount(&mut self.used, now);
            }
        }
        for (task, machine) in gone {
            if let Some(run) = self.runs.get_mut(&task.job) {
                run.unplace(task.index, &machine);
            }
            self.capacity_version += 1;
        }
    }

    /// What was sent directly counts as unable to come again.
    pub(super) fn sabotage_forget_sent(&mut self) {
        self.machines.values_mut().for_each(Machine::sabotage_forget_sent);
    }

    /// Nothing that nodes say through the state service is heeded.
    pub(super) fn sabotage_apart(&mut self) {
        self.isolation_reports = IsolationReports::default();
    }

    /// Unheard machines are given up at once.
    pub(super) fn sabotage_unheard(&mut self) {
        if !self.loaded() {
            return;
        }
        self.machines.values_mut().filter(|m| !m.has_been_heard()).for_each(|m| m.unanswered = 9);
        let workers = &self.settings.workers;
        self.heartbeat_collection = HeartbeatCollection::new(
            Duration::from_secs_f64(workers.report_s),
            Duration::from_secs_f64(workers.lease_s),
        );
        self.heartbeat_collection.records_read(MonotonicTime::default());
        self.heartbeat_collection.heard(1, 1, self.since);
    }

    /// What is to stop makes room for its team at once, without a proof that it is gone.
    pub(super) fn sabotage_free_cancelled(&mut self, now: MonotonicTime) {
        let mut gone = Vec::new();
        for m in self.machines.values_mut() {
            let (stopping, stay) =
                std::mem::take(&mut m.assignments).into_iter().partition(|(_, e)| e.stop.is_some());
            m.assignments = stay;
            let stopping: BTreeMap<TaskId, Assignment> = stopping;
            gone.extend(stopping.into_keys().map(|task| (task, m.id.clone())));
            m.recount(&mut self.used, now);
        }
        for (task, machine) in gone {
            if let Some(run) = self.runs.get_mut(&task.job) {
                run.unplace(task.index, &machine);
            }
            self.capacity_version += 1;
        }
    }

    /// Starts leave before their machine's record is durable.
    pub(super) fn sabotage_start_early(&mut self) {
        for m in self.machines.values_mut() {
            let planned = m.assignments.values_mut().filter(|e| e.state == AssignmentState::Planned);
            planned.for_each(|e| e.state = AssignmentState::Ready);
            if m.has_starts() {
                self.to_direct.insert(m.id.clone());
            }
        }
    }

    /// Nothing is ever to be stopped.
    pub(super) fn sabotage_no_stops(&mut self) {
        self.machines.values_mut().flat_map(|m| m.assignments.values_mut()).for_each(|e| e.stop = None);
    }

    /// No machine ever counts as silent.
    pub(super) fn sabotage_keep_silent(&mut self, now: MonotonicTime) {
        for m in self.machines.values_mut().filter(|m| m.last_heartbeat.is_some()) {
            (m.last_heartbeat, m.unanswered) = (Some(now), 0);
        }
    }

    /// The newest report is whichever came last.
    pub(super) fn sabotage_any_serial(&mut self) {
        self.machines.values_mut().for_each(|m| (m.worker_epoch, m.serial) = (WorkerEpoch(0), 1));
    }

    /// Jobs bound to a zone go anywhere.
    pub(super) fn sabotage_any_zone(&mut self) {
        for run in self.runs.values_mut().filter(|run| run.job.spec.zone.is_some()) {
            let mut job = (*run.job).clone();
            job.spec.zone = None;
            run.job = Arc::new(job);
        }
    }

    pub(super) fn sabotage_done_early(&mut self) {
        for run in self.runs.values_mut().filter(|r| r.done().count() * 2 >= r.job.spec.tasks) {
            if run.done().count() > 0 {
                (0..run.job.spec.tasks).for_each(|i| run.mark_done(i));
            }
        }
    }

    /// The kept sums against a recount from the ground up.
    pub(super) fn sums_hold(&self) -> Result<(), String> {
        let assignments = self.machines.values().flat_map(|m| m.assignments.values());
        let used = assignments::used_by_team(assignments);
        for team in self.used.keys().chain(used.keys()) {
            let of = |sums: &BTreeMap<TeamName, Resources>| sums.get(team).copied().unwrap_or_default();
            let (kept, real) = (of(&self.used), of(&used));
            if !kept.fits_in(&real) || !real.fits_in(&kept) {
                return Err(format!("team {team}: kept {kept:?}, recounted {real:?}"));
            }
        }
        for m in self.machines.values() {
            let booked = m.assignments.values().filter(|e| e.counts());
            let free = booked.fold(m.total, |free, e| free.minus(&e.resources));
            let empty = !m.assignments.values().any(Assignment::counts) && m.unknown_tasks.is_empty();
            if !free.fits_in(&m.free()) || !m.free().fits_in(&free) || empty != m.is_empty() {
                return Err(format!("{}: kept {:?}, recounted {free:?}", m.id, m.free()));
            }
        }
        match self.runs.iter().find(|(_, r)| r.recount() != r.waiting_count()) {
            Some((id, r)) => Err(format!("{id}: {} wait, kept {}", r.recount(), r.waiting_count())),
            None => Ok(()),
        }
    }
}
