//! What the leader does on top: loads all records, takes reports, runs rounds, commits, rents.

mod room;
mod rounds;
mod stock;
mod upkeep;

use super::Effect;
use super::core::{COUNTS_PREFIX, Core, MasterOp, PEER_SILENCE, Pending, factors};
use crate::blocks::{Blocks, PeerMessage};
use crate::fleet::{self, Coming, Market, Need, Offer};
use crate::gangs::{self, Attempts};
use crate::jobs::{self, JobSpec, Priority, Record, Run, Shape};
use crate::leader;
use crate::ledger::{self, Entry, EntryState, Haste, Journal, MachineRecord};
use crate::placement::{self, Learned, MachineView, Proposal, TaskAsk};
use crate::preemption::{self, Candidate, Victim};
use crate::settings::Settings;
use crate::store::Budget;
use crate::types::{
    Attempt, Fence, Image, JobId, MachineId, NodeName, OpId, Room, Session, Span, Stamp, TaskId, TeamName,
    Time, Zone,
};
use crate::wire::cloud::{CloudReply, CloudRequest, ListedMachine, MachinePhase, MachineType};
use crate::wire::state::{Change, Pair, StateReply, StateRequest};
use crate::wire::workers::{self, Report};
use crate::workers::{Digest, Health, Machine, Outcome, Standing};
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const PROGRESS_PREFIX: &str = "p/";
const PAGE: u32 = 200;
const HOUSEKEEPING_EVERY: Span = Span::ms(500);
/// How long a worker has to answer an order, and a question whether it is there.
const WORKER_PATIENCE: Span = Span::ms(3000);
const PROBE_PATIENCE: Span = Span::ms(1500);
/// Silent workers that are asked at a time, and from how many report intervals of silence on.
const PROBES_AT_ONCE: usize = 16;
const PROBE_AFTER_REPORTS: f64 = 1.35;
/// Questions in a row without an answer after which a worker counts as lost.
const PROBES_LOST: u32 = 2;
/// Part of a zone's machines that, silent together, are cut off rather than lost.
const ZONE_SILENT: f64 = 0.34;
/// A cut-off worker kills its tasks when its lease ends; shortly before, waiting gains no more.
const LEASE_MARGIN_S: f64 = 2.0;
/// Workers that are told the fence directly at a time.
const PUSHES_AT_ONCE: usize = 8;
/// How long nothing is placed on a machine whose record the state service refuses.
const UNWRITABLE_PAUSE: Span = Span::ms(30_000);
/// A returned machine's late reports and listings are ignored for this long.
const TOMB_LIFE: Span = Span::ms(600_000);
/// How often what waits is looked through for rounds. Going through it after every input took
/// most of a leader's processor share with hundreds of machines.
const OFFERS_EVERY: Span = Span::ms(100);
/// Slack left off the time for which a leader without the state service answers reports.
const HOLD_MARGIN_S: f64 = 4.0;
/// How long a job waits for the room it made before it makes more, besides a save.
const PREEMPT_PAUSE: Span = Span::ms(2000);
/// How long a search for room that found none holds good, and searches in one look at what waits:
/// each goes through the whole fleet.
const PREEMPT_AGAIN: Span = Span::ms(1000);
/// Part of the time within which work is to start that it waits before others are stopped for it.
const PREEMPT_AFTER: f64 = 0.6;
/// Seconds of fetching that are worth stopping less urgent work where the image is.
const IMAGE_WORTH_S: f64 = 5.0;
/// Part of the time a gang's task waits for the others from which on their fetch is slow.
const SLOW_FETCH: f64 = 0.4;
/// Machines due within this count as nearly there for a gang, and how long free ones are then kept
/// for it at a time.
const HOLD_AHEAD: Span = Span::ms(10_000);
const HOLD_FOR: Span = Span::ms(2000);
/// Jobs that have to fail on a machine, with none done between, before it counts as faulty.
const MACHINE_AT_FAULT: usize = 2;
/// Failures in a row from which on they speak of the job rather than of machines.
const JOB_AT_FAULT: u32 = 4;
/// Waiting less urgent work, as a part of what is placed, from which on no gang stops more of it.
const CROWDED: f64 = 0.1;
/// What a stopped task loses besides its work, in seconds: a new place, and often a new fetch.
const RESTART_S: f64 = 15.0;
const PREEMPTIONS_AT_ONCE: usize = 2;
/// Waiting tasks that rentals are planned for at a time.
const NEEDS_AT_MOST: u32 = 20_000;
/// While most machines are silent, none is given up for this many report intervals.
const SUSPECT_REPORTS: f64 = 4.0;
/// After this long a controller that let a round time out is offered work again.
const SLOW_PAUSE: Span = Span::ms(3000);

/// A round under way at a controller.
#[derive(Debug)]
struct Outstanding {
    round: u64,
    sent: Time,
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
    session: Session,
    starts: Vec<(TaskId, Attempt)>,
}

#[derive(Debug)]
enum CloudOp {
    Rent { offer: Offer, number: u32 },
    Release { machines: Vec<MachineId> },
    List,
}

#[derive(Debug)]
pub(super) struct Master {
    settings: Arc<Settings>,
    fence: Fence,
    since: Time,
    machines_loaded: bool,
    progress_loaded: bool,
    stocked: bool,
    progress: Vec<Pair>,
    machines: BTreeMap<MachineId, Machine>,
    /// What teams take on all machines, kept as sums.
    used: BTreeMap<TeamName, Room>,
    /// Machines that report tasks the ledger doesn't know.
    stray_on: BTreeSet<MachineId>,
    /// Jobs within their team's guarantee, until the jobs change.
    guaranteed: Option<Arc<BTreeSet<JobId>>>,
    tombs: BTreeMap<MachineId, Time>,
    runs: BTreeMap<JobId, Run>,
    journal: Journal,
    dirty: BTreeSet<MachineId>,
    recorded: BTreeMap<String, Vec<Recorded>>,
    correcting: usize,
    commit_not_before: Time,
    writes: Budget,
    pub(super) market: Market,
    blocks: Blocks,
    attempts: Attempts,
    offers: BTreeMap<NodeName, Outstanding>,
    slow_until: BTreeMap<NodeName, Time>,
    next_round: u64,
    /// Moves on with everything that may let a waiting task fit.
    room_version: u64,
    learned: Vec<Learned>,
    /// Beats sent so far, and jobs that have moved since the last one.
    beats: u64,
    touched: BTreeSet<JobId>,
    next_offers: Time,
    cloud_ops: BTreeMap<OpId, CloudOp>,
    cloud_calls: Budget,
    list_after: Option<MachineId>,
    next_listing: Time,
    next_types: Time,
    next_beat: Time,
    next_counts: Time,
    next_housekeeping: Time,
    next_retry: Time,
    silent_since: Option<Time>,
    rent_not_before: Time,
    /// Machines whose release is under way.
    releasing: BTreeSet<MachineId>,
    /// Workers that must hear of this leader's fence directly, and calls under way for it.
    to_push: BTreeSet<MachineId>,
    pushes: BTreeMap<OpId, MachineId>,
    /// Silent workers that are asked whether they are there.
    probes: BTreeMap<OpId, MachineId>,
    /// Workers with orders that needn't wait for their next report, and calls under way.
    to_direct: BTreeSet<MachineId>,
    directs: BTreeMap<OpId, DirectCall>,
    reload: Vec<(Time, MasterOp)>,
    recheck: Vec<(Time, String)>,
}

impl Master {
    /// (done, running) of a job.
    pub(super) fn standing_of(&self, id: &JobId) -> Option<(u32, u32)> {
        let run = self.runs.get(id)?;
        let running = run.placed().iter().filter(|(index, machine)| {
            let task = TaskId { job: id.clone(), index: **index };
            self.machines.get(*machine).and_then(|m| m.entries.get(&task)).is_some_and(Entry::is_running)
        });
        Some((run.done().count(), running.count() as u32))
    }

    /// Whether a copy of the job records as of `fresh_at` is too old to build the runs from.
    pub(super) fn wants_jobs(&self, fresh_at: Time) -> bool {
        !self.stocked && fresh_at < self.since
    }

    /// Whether all records are read and taken in.
    fn loaded(&self) -> bool {
        self.stocked
    }

    /// Brings the kept sums in line after a change of a machine's entries.
    fn recount(&mut self, machine: &MachineId, now: Time) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.recount(&mut self.used, now);
            if m.strays.is_empty() {
                self.stray_on.remove(machine);
            } else {
                self.stray_on.insert(machine.clone());
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
                && m.entries.get(&task).is_some_and(Entry::counts)
            {
                *zones.entry(m.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// Zones that `job` may use, and how many more of its tasks each may take.
    fn zone_room(&self, job: &JobId, run: &Run) -> Vec<(Zone, u32)> {
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

    /// A machine as controllers see it for `asks`; of its images they need to know no others.
    fn view(&self, m: &Machine, health: Health, asks: &[TaskAsk], now: Time) -> MachineView {
        let asked = |image: &Image| asks.iter().any(|a| a.image == *image);
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
            images: m.images.iter().map(|(i, _)| i).filter(|i| asked(i)).cloned().collect(),
            fetch_gb_per_s: self.market.type_of(&m.type_name).map_or(0.0, |t| t.fetch_gb_per_s),
            held_for: m.held_for(now).cloned(),
        }
    }

    /// Images that tasks on the machine wait for.
    fn fetching(&self, m: &Machine) -> Vec<Image> {
        let mut images: Vec<Image> = Vec::new();
        for (task, _) in m.entries.iter().filter(|(_, e)| e.counts() && e.running_since.is_none()) {
            let Some(run) = self.runs.get(&task.job) else { continue };
            let image = &run.job.spec.image;
            if !m.has_image(image) && !images.contains(image) {
                images.push(image.clone());
            }
        }
        images
    }

    /// Takes a stop wish to a task's machine; removes it at once if no order went out.
    fn stop_task(&mut self, machine: &MachineId, task: &TaskId, grace_s: f64, now: Time) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        self.to_direct.insert(machine.clone());
        if !self.touched.contains(&task.job) {
            self.touched.insert(task.job.clone());
        }
        if m.stop(task, grace_s, now).is_some() {
            self.dirty.insert(machine.clone());
            self.room_version += 1;
            if let Some(run) = self.runs.get_mut(&task.job) {
                run.unplace(task.index, machine);
            }
            self.recount(machine, now);
        }
    }

    fn stop_job(&mut self, id: &JobId, grace_s: f64, now: Time) {
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
    fn new(settings: Arc<Settings>, fence: Fence, now: Time, types: Vec<MachineType>) -> Self {
        let o = &settings.operator;
        // Users seldom use theirs, so the two overlap a little; what is over the limit is refused by
        // the service and comes again.
        let own_share = 1.0 - o.user_write_share / 2.0;
        let market = Market::new(types);
        Self {
            fence,
            since: now,
            machines_loaded: false,
            progress_loaded: false,
            stocked: false,
            progress: Vec::new(),
            machines: BTreeMap::new(),
            used: BTreeMap::new(),
            stray_on: BTreeSet::new(),
            guaranteed: None,
            tombs: BTreeMap::new(),
            runs: BTreeMap::new(),
            journal: Journal::new(leader::KEY, fence, settings.state.txn_ops),
            dirty: BTreeSet::new(),
            recorded: BTreeMap::new(),
            correcting: 0,
            commit_not_before: now,
            writes: Budget::new(settings.state.write_rps * own_share),
            market,
            blocks: Blocks::default(),
            attempts: Attempts::new(fence),
            offers: BTreeMap::new(),
            slow_until: BTreeMap::new(),
            next_round: 0,
            room_version: 1,
            learned: Vec::new(),
            beats: 0,
            touched: BTreeSet::new(),
            next_offers: now,
            cloud_ops: BTreeMap::new(),
            cloud_calls: Budget::new(settings.cloud.rps * 0.7),
            list_after: None,
            next_listing: now,
            next_types: now,
            next_beat: now,
            next_counts: now + Span::secs(o.counts_save_s),
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
            reload: Vec::new(),
            recheck: Vec::new(),
            settings,
        }
    }

    pub(super) fn set_types(&mut self, types: Vec<MachineType>, now: Time) {
        for m in self.machines.values_mut() {
            if let Some(t) = types.iter().find(|t| t.name == m.type_name) {
                m.total = t.room();
                m.recount(&mut self.used, now);
            }
        }
        self.market.types = types;
        self.room_version += 1;
    }
}

impl Core {
    fn master_valid(&self) -> bool {
        self.master.is_some() && self.seat.valid(self.now)
    }

    /// Whether starts may leave: validly leading, all records read, withdrawals known.
    fn may_start(&self) -> bool {
        self.master_valid()
            && self.master.as_ref().is_some_and(Master::loaded)
            && self.now.since(self.fresh_at) < Span::ms(5000)
    }

    /// Whether reports may be answered with 200, which renews the worker's lease.
    ///
    /// A withdrawal this node can't see yet was accepted after `fresh_at`. The worker's lease
    /// ends `lease_s` after the last answer, and the task must be gone `cancel_s` after the
    /// withdrawal; so answering until `fresh_at + cancel_s - lease_s` is safe, less a margin.
    fn may_renew(&self) -> bool {
        let w = &self.settings.workers;
        let hold = Span::secs(w.cancel_s - w.lease_s - HOLD_MARGIN_S);
        self.seat.leads() && self.now.since(self.fresh_at) < hold
    }

    // ---- taking and losing the lead ----

    pub(super) fn take_over(&mut self, fence: Fence) {
        tracing::info!(%fence, "leads now");
        self.saw_fence(fence);
        self.master = Some(Master::new(self.settings.clone(), fence, self.now, self.types.clone()));
        self.load(ledger::PREFIX, None, MasterOp::LoadMachines);
        self.load(PROGRESS_PREFIX, None, MasterOp::LoadProgress);
    }

    pub(super) fn step_down(&mut self, why: &str) {
        if self.master.take().is_some() {
            tracing::warn!(why, "leads no longer");
        }
    }

    fn resign(&mut self, why: &'static str) {
        let Some(master) = &self.master else { return };
        let fence = master.fence;
        let request = StateRequest::Commit {
            conditions: vec![(leader::KEY.into(), Stamp(fence.0))],
            changes: vec![Change::Delete { key: leader::KEY.into() }],
        };
        self.ask_state(request, Pending::Master(fence, MasterOp::Resign));
        self.seat.shun(self.now, Span::ms(20_000));
        self.step_down(why);
    }

    fn load(&mut self, prefix: &'static str, after: Option<String>, op: MasterOp) {
        let Some(master) = &self.master else { return };
        let pending = Pending::Master(master.fence, op);
        self.ask_state(StateRequest::Range { prefix, after, most: PAGE }, pending);
    }

    pub(super) fn master_state(&mut self, fence: Fence, op: MasterOp, reply: StateReply) {
        if self.master.as_ref().is_none_or(|m| m.fence != fence) {
            return;
        }
        match op {
            MasterOp::LoadMachines | MasterOp::LoadProgress => self.loaded_page(op, reply),
            MasterOp::Commit => self.committed(reply),
            MasterOp::Correct { key } => self.corrected(&key, reply),
            MasterOp::SaveCounts | MasterOp::Resign => {}
        }
    }

    fn loaded_page(&mut self, op: MasterOp, reply: StateReply) {
        let now = self.now;
        let Some(master) = &mut self.master else { return };
        let machines = matches!(op, MasterOp::LoadMachines);
        let prefix = if machines { ledger::PREFIX } else { PROGRESS_PREFIX };
        let StateReply::Pairs { pairs, more, .. } = reply else {
            master.reload.push((now + Span::ms(200), op));
            return;
        };
        for pair in &pairs {
            master.journal.loaded(&pair.key, pair.stamp);
            if !machines {
                master.progress.push(pair.clone());
                continue;
            }
            let Some(id) = pair.key.strip_prefix(ledger::PREFIX) else { continue };
            match serde_json::from_str::<MachineRecord>(&pair.value) {
                Ok(record) => master.inherit(id.into(), record, now),
                Err(error) => tracing::error!(key = pair.key, %error, "machine record can't be read"),
            }
        }
        match pairs.last() {
            Some(last) if more => self.load(prefix, Some(last.key.clone()), op),
            _ if machines => master.machines_loaded = true,
            _ => master.progress_loaded = true,
        }
    }

    /// Builds the runs once all records are read: machines, progress, and job records by a read
    /// that began under this leadership. With an older copy of the jobs, tasks of one accepted
    /// meanwhile would be taken for strays, and placed a second time when it shows up.
    fn stock_taken(&mut self) {
        let now = self.now;
        let fresh_at = self.fresh_at;
        let Some(master) = &mut self.master else { return };
        if master.stocked || !master.machines_loaded || !master.progress_loaded || master.wants_jobs(fresh_at)
        {
            return;
        }
        master.stocked = true;
        master.take_stock(&self.mirror, now);
        tracing::info!(machines = master.machines.len(), jobs = master.runs.len(), "records read");
    }

    /// Job records changed, here or at another node.
    pub(super) fn jobs_changed(&mut self, ids: Vec<JobId>) {
        let now = self.now;
        let Some(master) = &mut self.master else { return };
        if !master.loaded() {
            return; // `take_stock` reads the mirror
        }
        for id in ids {
            master.job_changed(&self.mirror, &id, now);
        }
    }

    // ---- workers ----

    pub(super) fn report(&mut self, request: OpId, body: &[u8]) {
        let report: Report = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(error) => {
                let why = crate::wire::users::error(&error.to_string());
                return self.answer(request, 400, why);
            }
        };
        self.saw_fence(report.fence);
        let (may_start, may_renew) = (self.may_start(), self.may_renew());
        let now = self.now;
        let Some(master) = self.master.as_mut().filter(|_| may_renew) else {
            self.heard_worker = now;
            return self.redirect(request);
        };
        if master.tombs.contains_key(&report.machine) {
            let why = crate::wire::users::error("this machine was returned");
            return self.answer(request, 503, why);
        }
        match self.zones_heard.get_mut(&report.zone) {
            Some(heard) => *heard = now,
            None => {
                self.zones_heard.insert(report.zone.clone(), now);
            }
        }
        if !master.loaded() {
            // Its lease is renewed and it learns the fence; what it says of its tasks can only be
            // judged once the records are read.
            let text = workers::answer(master.fence, &[]);
            return self.answer(request, 200, text);
        }
        master.take_report(&report, now);
        let mirror = &self.mirror;
        let over = |task: &TaskId| mirror.verdict(&task.job).is_some();
        let orders = match master.machines.get_mut(&report.machine) {
            Some(m) if (m.session, m.serial) == (report.session, report.serial) => {
                m.orders(&report, may_start, over)
            }
            _ => Vec::new(),
        };
        let text = workers::answer(master.fence, &orders);
        self.answer(request, 200, text);
    }

    pub(super) fn worker(&mut self, op: OpId, status: u16, body: &[u8]) {
        let Some(master) = &mut self.master else { return };
        if let Some(call) = master.directs.remove(&op) {
            let report = serde_json::from_slice::<Report>(body).ok();
            let at = match (&report, status) {
                (Some(r), 200) => Some(Some((r.session, r.serial))),
                (_, 400 | 409) => Some(None),
                _ => None,
            };
            if let Some(m) = master.machines.get_mut(&call.machine) {
                m.direct_answered(call.starts, call.session, at);
            }
            if let Some(r) = report {
                self.saw_fence(r.fence);
            }
            return;
        }
        if let Some(machine) = master.probes.remove(&op) {
            if let Some(m) = master.machines.get_mut(&machine) {
                m.unanswered = if status == 0 { m.unanswered + 1 } else { 0 };
            }
            return;
        }
        let Some(machine) = master.pushes.remove(&op) else { return };
        // The body is a report, but only what it says of fence and session is used: it may have
        // been made before an order sent in answer to a report ran, and would prove nothing.
        let Ok(report) = serde_json::from_slice::<Report>(body) else { return };
        let fence = master.fence;
        if let Some(m) = master.machines.get_mut(&machine)
            && status == 409
            && report.fence < fence
            && report.session > m.session
        {
            m.push_session = report.session;
            master.to_push.insert(machine);
        }
        self.saw_fence(report.fence);
    }

    // ---- committing ----

    fn committed(&mut self, reply: StateReply) {
        let now = self.now;
        let pause = Span::ms(self.rng.random_range(80..250));
        let Some(master) = &mut self.master else { return };
        match reply {
            StateReply::Committed { epoch } => {
                let settled = master.journal.committed(epoch);
                for (key, version) in settled.keys {
                    if let Some(id) = master.settle(&key, version, now) {
                        self.mirror.learn(id.clone(), Stamp(epoch), Record::Done);
                        tracing::info!(job = %id, "done");
                    } else if let Some(id) = key.strip_prefix(jobs::PREFIX).map(JobId::from)
                        && self.mirror.graph().doomed(&id)
                    {
                        self.mirror.learn(id, Stamp(epoch), Record::Withdrawn);
                    }
                }
            }
            StateReply::Conflict { failed } => {
                master.journal.failed();
                master.commit_not_before = now + pause;
                if failed.iter().any(|k| k == leader::KEY) {
                    self.seat.step_down(now);
                    return self.step_down("the leader key has changed");
                }
                master.correcting = failed.len();
                let fence = master.fence;
                for key in failed {
                    let request = StateRequest::Get { key: key.clone() };
                    self.ask_state(request, Pending::Master(fence, MasterOp::Correct { key }));
                }
            }
            StateReply::Malformed => {
                master.commit_not_before = now + pause;
                if let Some((key, bytes)) = master.journal.refused() {
                    tracing::error!(key, bytes, "the state service refuses this value; left as it is stored");
                    master.unwritable(&key, now);
                }
            }
            _ => {
                master.journal.failed();
                master.commit_not_before = now + pause;
            }
        }
    }

    fn corrected(&mut self, key: &str, reply: StateReply) {
        let now = self.now;
        let Some(master) = &mut self.master else { return };
        master.correcting = master.correcting.saturating_sub(1);
        match reply {
            StateReply::Found(pair) => {
                master.journal.corrected(key, pair.stamp);
                self.mirror.learn_pair(&pair);
                let over = key
                    .strip_prefix(jobs::PREFIX)
                    .and_then(|id| self.mirror.get(&id.into()))
                    .is_some_and(|k| !k.record.is_open());
                // Not for a job withdrawn with another: its record still waits to say so.
                if over {
                    master.journal.give_up(key);
                }
            }
            StateReply::Missing { .. } => master.journal.corrected(key, Stamp(0)),
            _ => {
                master.correcting += 1;
                master.recheck.push((now + Span::ms(200), key.to_string()));
            }
        }
    }

    // ---- time ----

    pub(super) fn master_tick(&mut self) {
        let now = self.now;
        let Some(master) = &mut self.master else { return };
        let reload: Vec<MasterOp> = {
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut master.reload).into_iter().partition(|(at, _)| *at <= now);
            master.reload = later;
            due.into_iter().map(|(_, op)| op).collect()
        };
        let (recheck, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut master.recheck).into_iter().partition(|(at, _)| *at <= now);
        master.recheck = later;
        let fence = master.fence;
        for op in reload {
            // From the top: taking in a page twice changes nothing.
            let prefix = if matches!(op, MasterOp::LoadMachines) { ledger::PREFIX } else { PROGRESS_PREFIX };
            self.load(prefix, None, op);
        }
        for (_, key) in recheck {
            let request = StateRequest::Get { key: key.clone() };
            self.ask_state(request, Pending::Master(fence, MasterOp::Correct { key }));
        }
        self.beat();
        self.late_rounds();
        let due = self.master.as_ref().is_some_and(|m| m.loaded() && now >= m.next_housekeeping);
        if due && self.master_valid() {
            self.housekeeping();
        }
    }

    fn beat(&mut self) {
        let now = self.now;
        // A leader that only holds on must not keep the others from taking over: they may reach the
        // state service that it has lost.
        if !self.seat.valid(now) {
            return;
        }
        let Some(master) = self.master.as_mut().filter(|m| now >= m.next_beat) else { return };
        master.next_beat = now + Span::ms(1000);
        master.beats += 1;
        let touched = std::mem::take(&mut master.touched);
        let standings = |ids: &mut dyn Iterator<Item = &JobId>| -> Vec<(JobId, u32, u32)> {
            ids.filter_map(|id| master.standing_of(id).map(|(d, r)| (id.clone(), d, r))).collect()
        };
        let jobs = standings(&mut touched.iter());
        let (fence, beat) = (master.fence, master.beats);
        // A controller that has missed a beat gets everything instead; an answer may be under way.
        let in_step = |p: &super::core::PeerState| p.beat_at.0 == fence && p.beat_at.1 + 4 >= beat;
        let peers: Vec<(NodeName, bool)> = self
            .settings
            .peers
            .iter()
            .map(|p| (p.name.clone(), self.peers.get(&p.name).is_some_and(in_step)))
            .collect();
        let all = match peers.iter().all(|(_, in_step)| *in_step) {
            true => Vec::new(),
            false => standings(&mut master.runs.keys()),
        };
        let learned = std::mem::take(&mut master.learned);
        learned.iter().for_each(|l| self.counts.learn(l));
        let save = now >= master.next_counts && master.loaded();
        if save {
            master.next_counts = now + Span::secs(self.settings.operator.counts_save_s);
            let present: BTreeSet<MachineId> = master.machines.keys().cloned().collect();
            self.counts.keep(|id| present.contains(id));
        }
        for (peer, in_step) in peers {
            let message = if in_step {
                PeerMessage::Beat { fence, beat, jobs: jobs.clone(), learned: learned.clone() }
            } else {
                PeerMessage::Table { fence, beat, jobs: all.clone(), counts: self.counts.clone() }
            };
            self.send_peer(&peer, message);
        }
        if save && self.master_valid() {
            let (max_bytes, most) =
                (self.settings.state.value_bytes.min(14_000), self.settings.state.txn_ops.min(4));
            let parts = self.counts.take_changed(placement::PARTS_AT_ONCE, max_bytes);
            for parts in parts.chunks(most) {
                if let Some(master) = &mut self.master {
                    master.writes.take(parts.len() as f64, now);
                }
                let put = |(part, value): &(u32, String)| Change::Put {
                    key: format!("{COUNTS_PREFIX}{part}"),
                    value: value.clone(),
                    permit: None,
                };
                let request = StateRequest::Commit {
                    conditions: vec![(leader::KEY.into(), Stamp(fence.0))],
                    changes: parts.iter().map(put).collect(),
                };
                self.ask_state(request, Pending::Master(fence, MasterOp::SaveCounts));
            }
        }
    }

    fn housekeeping(&mut self) {
        let now = self.now;
        let Some(master) = &mut self.master else { return };
        master.next_housekeeping = now + HOUSEKEEPING_EVERY;
        if now >= master.next_retry {
            // Machines' health and pauses change with time alone.
            master.next_retry = now + Span::ms(2000);
            master.room_version += 1;
        }
        master.tombs.retain(|_, at| now.since(*at) < TOMB_LIFE);
        let peers_hear = self.peers.values().any(|p| p.hears_workers && now.since(p.heard) < PEER_SILENCE);
        if master.self_cut_off(peers_hear, now) {
            return self.resign("most workers are silent: the fault may be here");
        }
        let Some(master) = &mut self.master else { return };
        master.drain_warned(now);
        master.mend_gangs(now);
        master.find_lost(&self.zones_heard, now);
        for (id, addr, body) in master.silent_workers(now) {
            let op = self.op();
            self.fx.push(Effect::Worker { op, addr, body, patience: PROBE_PATIENCE });
            if let Some(master) = &mut self.master {
                master.probes.insert(op, id);
            }
        }
        let Some(master) = &mut self.master else { return };
        let mut calls = Vec::new();
        if now >= master.next_listing && master.list_after.is_none() {
            master.next_listing = now + Span::secs(self.settings.operator.list_every_s);
            calls.push((CloudRequest::List { after: None, most: 500 }, CloudOp::List));
        }
        if now >= master.next_types {
            master.next_types = now + Span::ms(60_000);
            self.refresh_types();
        }
        let Some(master) = &mut self.master else { return };
        calls.extend(master.returns(now));
        calls.extend(master.rentals(now));
        for (request, op) in calls {
            let id = self.ask_cloud(request);
            if let Some(master) = &mut self.master {
                master.cloud_ops.insert(id, op);
            }
        }
    }

    pub(super) fn master_cloud(&mut self, op: OpId, reply: CloudReply) {
        let now = self.now;
        let pause = Span::secs(self.settings.operator.refusal_pause_s);
        let Some(master) = &mut self.master else { return };
        let Some(what) = master.cloud_ops.remove(&op) else { return };
        match (what, reply) {
            (CloudOp::Rent { offer, number, .. }, CloudReply::Rented(ids)) => {
                tracing::info!(machine_type = %offer.type_name, zone = %offer.zone, spot = offer.spot,
                    wanted = number, got = ids.len(), "rented");
                if (ids.len() as u32) < number {
                    master.market.refuse(offer.clone(), now + pause);
                }
                for id in ids {
                    master.rented(id, &offer, now);
                }
            }
            (CloudOp::Rent { offer, .. }, CloudReply::NoCapacity) => {
                master.market.refuse(offer, now + pause);
            }
            // Away or no answer: what was rented after all shows in the list or by its reports.
            (CloudOp::Rent { .. }, _) => master.rent_not_before = now + Span::ms(2000),
            (CloudOp::Release { machines }, CloudReply::Released) => {
                for id in machines {
                    master.released(&id, now);
                }
            }
            (CloudOp::Release { machines }, _) => {
                for id in machines {
                    master.releasing.remove(&id);
                }
            }
            (CloudOp::List, CloudReply::Listed { machines, more }) => {
                let last = machines.last().map(|m| m.id.clone());
                for listed in machines {
                    master.listed(listed, now);
                }
                master.list_after = None;
                if let Some(last) = last.filter(|_| more) {
                    master.list_after = Some(last.clone());
                    let id = self.ask_cloud(CloudRequest::List { after: Some(last), most: 500 });
                    if let Some(master) = &mut self.master {
                        master.cloud_ops.insert(id, CloudOp::List);
                    }
                }
            }
            (CloudOp::List, _) => master.list_after = None,
        }
    }

    /// After any input: writes what is new, then offers what waits.
    pub(super) fn master_pump(&mut self) {
        if !self.master_valid() {
            return;
        }
        self.stock_taken();
        let now = self.now;
        let Some(master) = &mut self.master else { return };
        let mut pushes = Vec::new();
        // A few at a time: most workers learn the fence by their next report before their turn comes.
        while master.pushes.len() + pushes.len() < PUSHES_AT_ONCE
            && let Some(id) = master.to_push.pop_first()
        {
            let Some(m) = master.machines.get(&id).filter(|m| m.fence < master.fence) else { continue };
            let Some(addr) = m.addr.clone() else { continue };
            let session = m.session.max(m.push_session);
            pushes.push((id, addr, workers::command(master.fence, session, &[])));
        }
        for (id, addr, body) in pushes {
            let op = self.op();
            self.fx.push(Effect::Worker { op, addr, body, patience: WORKER_PATIENCE });
            if let Some(master) = &mut self.master {
                master.pushes.insert(op, id);
            }
        }
        if !self.master.as_ref().is_some_and(Master::loaded) {
            return;
        }
        let due = self.master.as_ref().is_some_and(|m| now >= m.next_offers);
        if due && self.may_start() {
            self.offer_rounds();
        }
        self.send_directs();
        let Some(master) = &mut self.master else { return };
        master.write_records();
        if master.correcting == 0 && now >= master.commit_not_before && master.journal.idle() {
            let most = master.settings.state.txn_ops as f64;
            let ample = master.writes.ample(now);
            if master.journal.wants(ample)
                && master.writes.take(most.min(4.0), now)
                && let Some(batch) = master.journal.next_batch(ample)
            {
                let extra = batch.changes.len() as f64 - 4.0;
                master.writes.settle(extra);
                let fence = master.fence;
                let request = StateRequest::Commit { conditions: batch.conditions, changes: batch.changes };
                self.ask_state(request, Pending::Master(fence, MasterOp::Commit));
            }
        }
    }

    /// Orders that needn't wait for a worker's next report go straight to it.
    fn send_directs(&mut self) {
        let may_start = self.may_start();
        let Some(master) = &mut self.master else { return };
        let (fence, mut calls) = (master.fence, Vec::new());
        for id in std::mem::take(&mut master.to_direct) {
            let Some(m) = master.machines.get_mut(&id).filter(|m| m.reachable(fence)) else { continue };
            let (orders, starts) = m.direct_orders(may_start);
            if let (false, Some(addr)) = (orders.is_empty(), m.addr.clone()) {
                let body = workers::command(fence, m.session, &orders);
                calls.push((addr, body, DirectCall { machine: id, session: m.session, starts }));
            }
        }
        for (addr, body, call) in calls {
            let op = self.op();
            self.fx.push(Effect::Worker { op, addr, body, patience: WORKER_PATIENCE });
            if let Some(master) = &mut self.master {
                master.directs.insert(op, call);
            }
        }
    }

    // ---- rounds ----

    fn offer_rounds(&mut self) {
        let now = self.now;
        let me = self.settings.node.clone();
        let silent = |p: &super::core::PeerState| now.since(p.heard) >= PEER_SILENCE;
        let Some(master) = &mut self.master else { return };
        master.next_offers = now + OFFERS_EVERY;
        let mut live: BTreeSet<NodeName> =
            self.peers.iter().filter(|(_, p)| !silent(p)).map(|(n, _)| n.clone()).collect();
        live.retain(|n| master.slow_until.get(n).is_none_or(|until| *until <= now));
        live.insert(me.clone());
        let rounds = master.build_rounds(&live, &me, now);
        for (node, block, machines, asks) in rounds {
            master.next_round += 1;
            let (round, fence) = (master.next_round, master.fence);
            if node == me {
                let mut machines = machines;
                let proposals = placement::round(
                    &mut machines,
                    &asks,
                    &self.counts,
                    &factors(&self.settings),
                    &mut self.rng,
                );
                master.close_round(&me, asks, proposals, now);
            } else {
                let outstanding = Outstanding { round, sent: now, asks: asks.clone() };
                master.offers.insert(node.clone(), outstanding);
                let bytes =
                    crate::blocks::encode(&me, PeerMessage::Offer { fence, block, round, machines, asks });
                self.fx.push(Effect::Peer { to: node, bytes });
            }
        }
    }

    pub(super) fn master_proposals(
        &mut self,
        from: &NodeName,
        fence: Fence,
        block: u64,
        round: u64,
        proposals: Vec<Proposal>,
    ) {
        let (now, valid) = (self.now, self.may_start());
        let Some(master) = &mut self.master else { return };
        if fence != master.fence || master.offers.get(from).is_none_or(|o| o.round != round) {
            return; // an answer that came too late
        }
        let Some(offer) = master.offers.remove(from) else { return };
        // A block cut anew since then may have given its machines to somebody else.
        let current = master.blocks.get(from).is_some_and(|b| b.id == block);
        let proposals = if current && valid { proposals } else { Vec::new() };
        master.close_round(from, offer.asks, proposals, now);
    }

    fn late_rounds(&mut self) {
        let now = self.now;
        let limit = Span::ms(self.settings.operator.round_timeout_ms);
        let me = self.settings.node.clone();
        let Some(master) = &mut self.master else { return };
        let late: Vec<NodeName> = master
            .offers
            .iter()
            .filter(|(_, o)| now.since(o.sent) >= limit)
            .map(|(n, _)| n.clone())
            .collect();
        for node in late {
            tracing::warn!(%node, "a controller let its round time out; its work is served here");
            if let Some(offer) = master.offers.remove(&node) {
                for ask in offer.asks {
                    if let Some(run) = master.runs.get_mut(&ask.job) {
                        // Lost with the answer: it must be offered anew, here.
                        run.offered = 0;
                        run.home = me.clone();
                    }
                }
            }
            master.slow_until.insert(node, now + SLOW_PAUSE);
        }
    }

    // ---- for operators ----

    pub(super) fn metrics(&self) -> String {
        let mut lines = vec![
            format!("pearford_leads {}", u8::from(self.seat.leads())),
            format!("pearford_fence {}", self.top_fence),
            format!("pearford_jobs_known {}", self.mirror.len()),
            format!("pearford_state_requests_open {}", self.ops.len()),
        ];
        for (node, level, version) in self.levels.nodes() {
            lines.push(format!("pearford_node_level{{node=\"{node}\",version=\"{version}\"}} {level}"));
        }
        lines.push(format!("pearford_level_reached {}", self.levels.reached()));
        lines.push(format!("pearford_jobs_awaiting {}", self.mirror.graph().waiting()));
        if let Some(m) = &self.master {
            let entries: usize = m.machines.values().map(|m| m.entries.len()).sum();
            lines.push(format!("pearford_machines {}", m.machines.len()));
            lines.push(format!(
                "pearford_machines_up {}",
                m.machines.values().filter(|m| m.standing == Standing::Up).count()
            ));
            lines.push(format!("pearford_ledger_entries {entries}"));
            lines.push(format!("pearford_jobs_open {}", m.runs.len()));
            lines.push(format!(
                "pearford_tasks_waiting {}",
                m.runs.values().map(Run::waiting_count).sum::<u32>()
            ));
            lines.push(format!("pearford_journal_backlog {}", m.journal.backlog()));
        }
        lines.join("\n") + "\n"
    }

    /// Why each job waits; the leader knows.
    pub(super) fn waiting_report(&self) -> String {
        #[derive(serde::Serialize)]
        struct Line<'a> {
            id: &'a str,
            waiting: u32,
            why: &'a str,
            #[serde(skip_serializing_if = "Vec::is_empty")]
            awaits: Vec<&'a JobId>,
        }
        const MOST: usize = 250;
        let runs = self.master.iter().flat_map(|m| m.runs.iter());
        let mut lines: Vec<Line> = runs
            .filter(|(_, run)| run.waiting_count() > 0)
            .take(MOST)
            .map(|(id, run)| Line {
                id: id.as_str(),
                waiting: run.waiting_count(),
                why: run.why,
                awaits: Vec::new(),
            })
            .collect();
        // Which jobs wait for others follows from the records: every node knows.
        let graph = self.mirror.graph();
        lines.extend(graph.waiting_ids().take(MOST).map(|id| Line {
            id: id.as_str(),
            waiting: self.mirror.get(id).and_then(|k| k.record.open()).map_or(0, |j| j.spec.tasks),
            why: "jobs that it needs are not done",
            awaits: graph.missing(id).into_iter().take(8).collect(),
        }));
        serde_json::to_string(&lines).unwrap_or_default()
    }
}

/// Ways to take a guard out of the core, for proving that the test world's checker notices.
#[cfg(test)]
impl Core {
    pub(super) fn sabotage_forget_silent(&mut self, ms: u64) {
        let now = self.now;
        let Some(master) = &mut self.master else { return };
        let mut gone = Vec::new();
        for m in master.machines.values_mut() {
            if m.last_report.is_some_and(|at| now.since(at) > Span::ms(ms)) {
                gone.extend(std::mem::take(&mut m.entries).into_keys().map(|t| (t, m.id.clone())));
                m.recount(&mut master.used, now);
            }
        }
        for (task, machine) in gone {
            if let Some(run) = master.runs.get_mut(&task.job) {
                run.unplace(task.index, &machine);
            }
            master.room_version += 1;
        }
    }

    pub(super) fn sabotage_done_early(&mut self) {
        let Some(master) = &mut self.master else { return };
        for run in master.runs.values_mut().filter(|r| r.done().count() * 2 >= r.job.spec.tasks) {
            if run.done().count() > 0 {
                (0..run.job.spec.tasks).for_each(|i| run.mark_done(i));
            }
        }
    }

    /// The kept sums against a recount from the ground up.
    pub(super) fn sums_hold(&self) -> Result<(), String> {
        let Some(master) = &self.master else { return Ok(()) };
        let entries = master.machines.values().flat_map(|m| m.entries.values());
        let used = ledger::used_by_team(entries);
        for team in master.used.keys().chain(used.keys()) {
            let of = |sums: &BTreeMap<TeamName, Room>| sums.get(team).copied().unwrap_or_default();
            let (kept, real) = (of(&master.used), of(&used));
            if !kept.fits_in(&real) || !real.fits_in(&kept) {
                return Err(format!("team {team}: kept {kept:?}, recounted {real:?}"));
            }
        }
        for m in master.machines.values() {
            let booked = m.entries.values().filter(|e| e.counts());
            let free = booked.fold(m.total, |free, e| free.minus(&e.room));
            let empty = !m.entries.values().any(Entry::counts) && m.strays.is_empty();
            if !free.fits_in(&m.free()) || !m.free().fits_in(&free) || empty != m.is_empty() {
                return Err(format!("{}: kept {:?}, recounted {free:?}", m.id, m.free()));
            }
        }
        match master.runs.iter().find(|(_, r)| r.recount() != r.waiting_count()) {
            Some((id, r)) => Err(format!("{id}: {} wait, kept {}", r.recount(), r.waiting_count())),
            None => Ok(()),
        }
    }
}
