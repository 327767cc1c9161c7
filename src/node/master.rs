//! What the leader does on top: loads all records, takes reports, runs rounds, commits, rents.

use super::Effect;
use super::core::{COUNTS_KEY, Core, MasterOp, PEER_SILENCE, Pending, factors};
use crate::blocks::{Blocks, PeerMessage};
use crate::fleet::{self, Coming, Market, Offer};
use crate::gangs::{self, Attempts};
use crate::jobs::{self, JobSpec, Priority, Record, Run, Shape};
use crate::leader;
use crate::ledger::{self, Entry, EntryState, Journal, MachineRecord};
use crate::placement::{self, Learned, MachineView, Proposal, TaskAsk};
use crate::preemption::{self, Candidate, Victim};
use crate::settings::Settings;
use crate::store::Budget;
use crate::types::{
    Attempt, Fence, JobId, MachineId, NodeName, OpId, Room, Session, Span, Stamp, TaskId, TeamName, Time,
    Zone,
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
/// A returned machine's late reports and listings are ignored for this long.
const TOMB_LIFE: Span = Span::ms(600_000);
/// Slack left off the time for which a leader without the state service answers reports.
const HOLD_MARGIN_S: f64 = 4.0;
/// How long a job waits for the room it made before it makes more, besides a save.
const PREEMPT_PAUSE: Span = Span::ms(2000);
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
    progress: Vec<Pair>,
    machines: BTreeMap<MachineId, Machine>,
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
    learned_from: u64,
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
        let running = run.placed.iter().filter(|(index, machine)| {
            let task = TaskId { job: id.clone(), index: **index };
            self.machines.get(*machine).and_then(|m| m.entries.get(&task)).is_some_and(Entry::is_running)
        });
        Some((run.done.count(), running.count() as u32))
    }

    fn loaded(&self) -> bool {
        self.machines_loaded && self.progress_loaded
    }

    fn used(&self) -> BTreeMap<TeamName, Room> {
        ledger::used_by_team(self.machines.values().flat_map(|m| m.entries.values()))
    }

    /// How many tasks of `job` count in each zone.
    fn zones_of(&self, job: &JobId, run: &Run) -> BTreeMap<Zone, u32> {
        let mut zones = BTreeMap::new();
        for (index, machine) in &run.placed {
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
    fn zone_room(&self, job: &JobId, run: &Run, all: &BTreeSet<Zone>) -> Vec<(Zone, u32)> {
        let spec = &run.job.spec;
        let here = self.zones_of(job, run);
        let cap = spec.zone_cap();
        all.iter()
            .filter(|z| spec.zone_allowed(z))
            .filter(|z| !spec.together || here.is_empty() || here.contains_key(*z))
            .map(|z| (z.clone(), cap.saturating_sub(here.get(z).copied().unwrap_or(0))))
            .collect()
    }

    fn view(&self, m: &Machine, health: Health, now: Time) -> MachineView {
        MachineView {
            id: m.id.clone(),
            type_name: m.type_name.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            free: m.free(),
            total: m.total,
            empty: m.is_empty(),
            health,
            images: m.images.clone(),
            fetch_gb_per_s: self.market.type_of(&m.type_name).map_or(0.0, |t| t.fetch_gb_per_s),
            held_for: m.held_for(now).cloned(),
        }
    }

    /// Takes a stop wish to a task's machine; removes it at once if no order went out.
    fn stop_task(&mut self, machine: &MachineId, task: &TaskId, grace_s: f64, now: Time) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        self.to_direct.insert(machine.clone());
        if m.stop(task, grace_s, now).is_some() {
            self.dirty.insert(machine.clone());
            self.room_version += 1;
            if let Some(run) = self.runs.get_mut(&task.job)
                && run.placed.get(&task.index) == Some(machine)
            {
                run.placed.remove(&task.index);
            }
        }
    }

    fn stop_job(&mut self, id: &JobId, grace_s: f64, now: Time) {
        let placed: Vec<(u32, MachineId)> = match self.runs.get(id) {
            Some(run) => run.placed.iter().map(|(i, m)| (*i, m.clone())).collect(),
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
        let users = o.user_write_share * (settings.peers.len() + 1) as f64;
        let own_share = 1.0 - users.min(0.75);
        let market = Market::new(types);
        Self {
            fence,
            since: now,
            machines_loaded: false,
            progress_loaded: false,
            progress: Vec::new(),
            machines: BTreeMap::new(),
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
            learned_from: 0,
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
            to_direct: BTreeSet::new(),
            directs: BTreeMap::new(),
            reload: Vec::new(),
            recheck: Vec::new(),
            settings,
        }
    }

    pub(super) fn set_types(&mut self, types: Vec<MachineType>) {
        for m in self.machines.values_mut() {
            if let Some(t) = types.iter().find(|t| t.name == m.type_name) {
                m.total = t.room();
            }
        }
        self.market.types = types;
        self.room_version += 1;
    }

    // ---- take-over ----

    /// Takes a machine over from an earlier leader's record.
    fn inherit(&mut self, id: MachineId, record: MachineRecord, now: Time) {
        let total = self.market.type_of(&record.type_name).map(MachineType::room).unwrap_or_default();
        let m = self.machines.entry(id.clone()).or_insert_with(|| {
            Machine::new(id.clone(), record.type_name.clone(), record.zone.clone(), record.spot, total, now)
        });
        if m.addr.is_none() {
            m.addr = record.addr;
        }
        if m.addr.is_some() && m.last_report.is_none() {
            // It has reported before: a silence from now on means something.
            m.standing = Standing::Up;
            m.last_report = Some(now);
            m.push_session = record.session;
            self.to_push.insert(id);
        }
        for (task, attempt, team, room) in record.entries {
            m.entries.entry(task).or_insert(Entry {
                attempt,
                team,
                room,
                state: EntryState::Inherited,
                stop: None,
                running_since: None,
                planned_at: now,
            });
        }
        m.empty_since = m.is_empty().then_some(now);
    }

    /// All records are read: builds the runs, and stops what must not go on.
    fn take_stock(&mut self, mirror: &jobs::Mirror, now: Time) {
        for (id, known) in mirror.iter() {
            if let Some(job) = known.record.open() {
                self.journal.loaded(&jobs::key(id), known.stamp);
                self.runs.entry(id.clone()).or_insert_with(|| Run::new(job.clone()));
            }
        }
        for pair in std::mem::take(&mut self.progress) {
            let Some((id, chunk)) = pair.key.strip_prefix(PROGRESS_PREFIX).and_then(|k| k.rsplit_once('/'))
            else {
                continue;
            };
            match (self.runs.get_mut(&JobId::from(id)), chunk.parse()) {
                (Some(run), Ok(chunk)) => {
                    if let Err(error) = run.done.add_chunk(chunk, &pair.value) {
                        tracing::error!(key = pair.key, %error, "progress can't be read");
                    }
                }
                _ => {
                    self.journal.put(&pair.key, None, false);
                }
            }
        }
        let entries: Vec<(MachineId, TaskId, ledger::EntryState, crate::types::Attempt)> = self
            .machines
            .values()
            .flat_map(|m| m.entries.iter().map(|(t, e)| (m.id.clone(), t.clone(), e.state, e.attempt)))
            .collect();
        for (machine, task, state, attempt) in entries {
            match self.runs.get_mut(&task.job) {
                Some(run) if !run.done.has(task.index) => {
                    run.placed.insert(task.index, machine.clone());
                    run.attempt = Some(attempt);
                    if state == EntryState::Done {
                        self.task_done(&machine, &task);
                    }
                }
                _ => self.drop_or_stop(&machine, &task, now),
            }
        }
        // All tasks may be recorded as done without the job being so.
        let over: Vec<JobId> =
            self.runs.iter().filter(|(_, r)| r.all_done()).map(|(id, _)| id.clone()).collect();
        for id in over {
            self.finish(&id);
        }
    }

    /// A task of a job that is over, or done already: off the ledger if that is proved, else stopped.
    fn drop_or_stop(&mut self, machine: &MachineId, task: &TaskId, now: Time) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        if m.entries.get(task).is_some_and(|e| e.state == EntryState::Done) {
            m.entries.remove(task);
            self.dirty.insert(machine.clone());
        } else {
            self.stop_task(machine, task, 0.0, now);
        }
    }

    /// The job is withdrawn or done.
    fn job_over(&mut self, id: &JobId, now: Time) {
        // A "done" still waiting to be written must not follow a withdrawal: with the new version
        // as its condition it would overwrite the verdict the user was told (seed 247).
        self.journal.give_up(&jobs::key(id));
        self.stop_job(id, 0.0, now);
        let Some(run) = self.runs.remove(id) else { return };
        for (index, machine) in run.placed {
            self.drop_or_stop(&machine, &TaskId { job: id.clone(), index }, now);
        }
        for chunk in 0..run.job.spec.tasks.div_ceil(jobs::CHUNK) {
            let key = format!("{PROGRESS_PREFIX}{id}/{chunk}");
            self.recorded.remove(&key);
            if self.journal.stamp(&key) > Stamp(0) {
                self.journal.put(&key, None, false);
            }
        }
        self.recorded.remove(&jobs::key(id));
        self.room_version += 1;
    }

    // ---- reports and outcomes ----

    fn take_report(&mut self, report: &Report, now: Time) {
        if !self.machines.contains_key(&report.machine) {
            // Unexpected: a rental answered late or never. It is used like any other.
            let total = self.market.type_of(&report.type_name).map(MachineType::room).unwrap_or_default();
            let m = Machine::new(
                report.machine.clone(),
                report.type_name.clone(),
                report.zone.clone(),
                report.spot,
                total,
                now,
            );
            self.machines.insert(report.machine.clone(), m);
            self.dirty.insert(report.machine.clone());
        }
        let fence = self.fence;
        let Some(m) = self.machines.get_mut(&report.machine) else { return };
        let was = (m.standing, m.session, m.addr.is_some());
        let digest = m.digest(report, fence, now);
        if digest.stale {
            return;
        }
        if (m.standing, m.session, m.addr.is_some()) != was {
            self.dirty.insert(report.machine.clone());
            self.room_version += 1;
        }
        let id = report.machine.clone();
        self.take_digest(&id, digest, now);
    }

    fn take_digest(&mut self, machine: &MachineId, digest: Digest, now: Time) {
        for task in digest.began {
            let Some(run) = self.runs.get(&task.job) else { continue };
            let image = run.job.spec.image.clone();
            if let Some(m) = self.machines.get_mut(machine) {
                m.remember_image(&image);
            }
        }
        for (task, _) in digest.done {
            self.task_done(machine, &task);
        }
        for (task, entry, outcome) in digest.gone {
            self.task_gone(machine, &task, &entry, outcome, now);
        }
    }

    /// A worker reports a task as done: records it, then lets go.
    fn task_done(&mut self, machine: &MachineId, task: &TaskId) {
        let Some(run) = self.runs.get_mut(&task.job) else {
            // The verdict on the job stands; nothing is left to record.
            if let Some(m) = self.machines.get_mut(machine) {
                m.entries.remove(task);
                self.dirty.insert(machine.clone());
            }
            return;
        };
        if run.job.spec.shape == Shape::Service {
            // Services run until they are withdrawn: one that ends by itself is replaced.
            run.placed.remove(&task.index);
            if let Some(m) = self.machines.get_mut(machine) {
                m.entries.remove(task);
                self.dirty.insert(machine.clone());
            }
            return;
        }
        let already = self.recorded.values().flatten().any(|r| r.machine == *machine && r.task == *task);
        if already {
            return;
        }
        run.errors = 0;
        let kind = run.job.spec.kind.clone();
        if run.is_gang() {
            // They complete together: if one is done, all are.
            (0..run.job.spec.tasks).for_each(|i| {
                run.done.add(i);
            });
        } else {
            run.done.add(task.index);
        }
        let over = run.all_done();
        self.learned.push(Learned { machine: machine.clone(), kind, success: true });
        let (key, version) = if over {
            self.finish(&task.job)
        } else {
            let chunk = task.index / jobs::CHUNK;
            let key = format!("{PROGRESS_PREFIX}{}/{chunk}", task.job);
            let value = self.runs.get(&task.job).map(|r| r.done.chunk_value(chunk));
            let version = self.journal.put(&key, value, true);
            (key, version)
        };
        let recorded = Recorded { version, machine: machine.clone(), task: task.clone() };
        self.recorded.entry(key).or_default().push(recorded);
        self.room_version += 1;
    }

    /// Writes that a job is done.
    fn finish(&mut self, id: &JobId) -> (String, u64) {
        let key = jobs::key(id);
        if let Some(run) = self.runs.get_mut(id) {
            run.finishing = true;
        }
        let version = self.journal.put(&key, Some(Record::Done.to_value()), true);
        (key, version)
    }

    /// A version of a key is durable. Gives the job that is done by it.
    fn settle(&mut self, key: &str, version: u64, now: Time) -> Option<JobId> {
        if let Some(id) = key.strip_prefix(ledger::PREFIX) {
            let m = self.machines.get_mut(&MachineId::from(id))?;
            let ready: Vec<TaskId> =
                m.planned.iter().filter(|(_, v)| **v <= version).map(|(t, _)| t.clone()).collect();
            for task in ready {
                m.planned.remove(&task);
                if let Some(entry) = m.entries.get_mut(&task)
                    && entry.state == EntryState::Planned
                {
                    entry.state = EntryState::Ready;
                    self.to_direct.insert(MachineId::from(id));
                }
            }
            return None;
        }
        if let Some(list) = self.recorded.get_mut(key) {
            let (settled, later): (Vec<_>, Vec<_>) =
                std::mem::take(list).into_iter().partition(|r| r.version <= version);
            if later.is_empty() {
                self.recorded.remove(key);
            } else {
                *list = later;
            }
            for r in settled {
                if let Some(m) = self.machines.get_mut(&r.machine)
                    && m.entries.get(&r.task).is_some_and(|e| e.state == EntryState::Done)
                {
                    m.entries.remove(&r.task);
                    self.dirty.insert(r.machine.clone());
                    if m.is_empty() {
                        m.empty_since.get_or_insert(now);
                    }
                }
                if let Some(run) = self.runs.get_mut(&r.task.job) {
                    run.placed.remove(&r.task.index);
                }
            }
        }
        let id: JobId = key.strip_prefix(jobs::PREFIX)?.into();
        let done = self.runs.get(&id).is_some_and(|r| r.finishing);
        done.then_some(id)
    }

    /// A task is proved gone without being done.
    fn task_gone(&mut self, machine: &MachineId, task: &TaskId, entry: &Entry, outcome: Outcome, now: Time) {
        self.dirty.insert(machine.clone());
        self.room_version += 1;
        if outcome == Outcome::NoRoom
            && let Some(m) = self.machines.get_mut(machine)
        {
            m.not_before = now + Span::ms(2000);
        }
        let Some(run) = self.runs.get_mut(&task.job) else { return };
        if run.placed.get(&task.index) == Some(machine) {
            run.placed.remove(&task.index);
        }
        tracing::info!(%task, %machine, ?outcome, "task left");
        match outcome {
            Outcome::Failed => {
                run.errors += 1;
                let pause = 250u64 << run.errors.min(7);
                run.not_before = now + Span::ms(pause);
                let kind = run.job.spec.kind.clone();
                self.learned.push(Learned { machine: machine.clone(), kind, success: false });
            }
            Outcome::Refused | Outcome::NoRoom => run.not_before = now + Span::ms(1000),
            _ => {}
        }
        let _ = entry;
        if gangs::broken(run) {
            self.stop_job(&task.job, 0.0, now);
        }
    }

    // ---- watching the fleet ----

    /// Most machines fell silent at once: rather this node is cut off than all of them. But only
    /// if a peer hears workers meanwhile; else they are really gone, and another leader would
    /// only find the same.
    fn self_cut_off(&mut self, peers_hear: bool, now: Time) -> bool {
        let report = Span::secs(self.settings.workers.report_s);
        let up = self.machines.values().filter(|m| m.standing == Standing::Up);
        let (mut all, mut silent) = (0, 0);
        for m in up {
            all += 1;
            let late = m.last_report.is_none_or(|at| now.since(at) > report.times(2.0));
            silent += u32::from(late);
        }
        if all < 2 || silent * 2 <= all {
            self.silent_since = None;
            return false;
        }
        let since = *self.silent_since.get_or_insert(now);
        peers_hear && now.since(since) >= report.times(2.0)
    }

    fn drain_warned(&mut self, now: Time) {
        let mut stops = Vec::new();
        for m in self.machines.values() {
            let Some(taken_at) = m.taken_at else { continue };
            let left = taken_at.since(now);
            for (task, entry) in m.entries.iter().filter(|(_, e)| e.stop.is_none() && e.counts()) {
                let Some(run) = self.runs.get(&task.job) else { continue };
                let spec = &run.job.spec;
                let save = gangs::save_grace_s(spec);
                let ran = entry.running_since.map(|s| now.since(s)).unwrap_or_default();
                // It may end by itself in time: then stopping it only loses its work.
                let ends_in_time =
                    spec.shape != Shape::Service && spec.estimate.0 < ran.0 + left.0 && spec.estimate.0 > 0;
                if ends_in_time && left.as_secs() > save {
                    continue;
                }
                let grace = if save > 0.0 && left.as_secs() > save { save } else { 0.0 };
                stops.push((m.id.clone(), task.clone(), grace));
            }
        }
        for (machine, task, grace) in stops {
            let (gang, job) = match self.runs.get(&task.job) {
                Some(run) => (run.is_gang(), task.job.clone()),
                None => continue,
            };
            if gang {
                self.stop_job(&job, grace, now);
            } else {
                self.stop_task(&machine, &task, grace, now);
            }
        }
    }

    /// Gangs that lost a task for good: the rest makes way for a new attempt.
    fn mend_gangs(&mut self, now: Time) {
        let broken: Vec<JobId> =
            self.runs.iter().filter(|(_, r)| gangs::broken(r)).map(|(id, _)| id.clone()).collect();
        for id in broken {
            self.stop_job(&id, 0.0, now);
        }
    }

    /// Machines that fell silent, or never came up, are returned: the cloud's 200 is the quick
    /// proof that their tasks are gone.
    fn find_lost(&mut self, now: Time) {
        let o = &self.settings.operator;
        let report = Span::secs(self.settings.workers.report_s);
        let suspect = self.silent_since.is_some_and(|at| now.since(at) < report.times(SUSPECT_REPORTS));
        for m in self.machines.values_mut() {
            let lost = match (m.standing, m.last_report) {
                (Standing::Up, Some(at)) => !suspect && now.since(at) > report.times(o.lost_reports),
                (Standing::Booting, _) => self
                    .market
                    .types
                    .iter()
                    .find(|t| t.name == m.type_name)
                    .is_some_and(|t| now.since(m.rented_at) > fleet::boot_limit(t, o.boot_patience)),
                _ => false,
            };
            // A start that may still act can't be stopped before it does; the cloud can prove it
            // gone, long before a withdrawal's time is up.
            let haunted = m.doubtful.keys().any(|(task, attempt)| {
                m.entries.get(task).is_some_and(|e| {
                    e.attempt == *attempt
                        && matches!(e.state, EntryState::Sent { .. })
                        && e.stop.is_some_and(|s| now.since(s.since) > report.times(4.0))
                })
            });
            if lost || haunted {
                tracing::warn!(machine = %m.id, standing = ?m.standing, tasks = m.entries.len(), "machine lost; returning it");
                m.standing = Standing::Releasing;
                self.blocks.remove(&m.id);
            }
        }
    }

    /// Machines to return now.
    fn returns(&mut self, now: Time) -> Vec<(CloudRequest, CloudOp)> {
        let idle = Span::secs(self.settings.operator.idle_return_s);
        for m in self.machines.values_mut() {
            let empty = m.entries.is_empty() && m.strays.is_empty();
            let idle_for = m.empty_since.map(|at| now.since(at)).unwrap_or_default();
            if m.standing == Standing::Up && empty && idle_for >= idle {
                tracing::info!(machine = %m.id, "idle; returning it");
                m.standing = Standing::Releasing;
                self.blocks.remove(&m.id);
            }
        }
        let due: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.standing == Standing::Releasing && !self.releasing.contains(&m.id))
            .map(|m| m.id.clone())
            .take(100)
            .collect();
        if due.is_empty() || !self.cloud_calls.take(1.0, now) {
            return Vec::new();
        }
        self.releasing.extend(due.iter().cloned());
        vec![(CloudRequest::Release { machines: due.clone() }, CloudOp::Release { machines: due })]
    }

    /// The cloud has answered 200: the machine and everything on it are gone.
    fn released(&mut self, id: &MachineId, now: Time) {
        self.releasing.remove(id);
        self.tombs.insert(id.clone(), now);
        self.blocks.remove(id);
        let Some(m) = self.machines.remove(id) else { return };
        self.dirty.remove(id);
        for (task, entry) in m.entries {
            if entry.state == EntryState::Done {
                continue; // being recorded; the outcome is known
            }
            self.task_gone(id, &task, &entry, Outcome::Vanished, now);
        }
        self.dirty.remove(id);
        self.journal.put(&ledger::key(id), None, false);
    }

    fn rented(&mut self, id: MachineId, offer: &Offer, now: Time) {
        if self.tombs.contains_key(&id) || self.machines.contains_key(&id) {
            return;
        }
        let Some(total) = self.market.type_of(&offer.type_name).map(MachineType::room) else { return };
        let m = Machine::new(id.clone(), offer.type_name.clone(), offer.zone.clone(), offer.spot, total, now);
        self.machines.insert(id.clone(), m);
        self.dirty.insert(id);
    }

    fn listed(&mut self, listed: ListedMachine, now: Time) {
        if self.tombs.contains_key(&listed.id) {
            return;
        }
        if !self.machines.contains_key(&listed.id) {
            let offer = Offer { type_name: listed.type_name, zone: listed.zone, spot: listed.spot };
            self.rented(listed.id.clone(), &offer, now);
        }
        let Some(m) = self.machines.get_mut(&listed.id) else { return };
        if m.addr.is_none() {
            m.addr = listed.addr;
        }
        if listed.phase == MachinePhase::Failed && m.standing != Standing::Releasing {
            tracing::warn!(machine = %m.id, "machine failed; returning it");
            m.standing = Standing::Releasing;
            self.blocks.remove(&m.id);
        }
    }

    // ---- rounds ----

    fn order_key(
        &self,
        id: &JobId,
        run: &Run,
        guaranteed: &BTreeSet<JobId>,
    ) -> (Reverse<Priority>, bool, u64) {
        let spec = &run.job.spec;
        (Reverse(spec.priority), !guaranteed.contains(id), run.job.submitted.0)
    }

    /// Jobs within their team's guarantee, alongside the team's earlier unfinished jobs.
    fn guaranteed(&self) -> BTreeSet<JobId> {
        let mut jobs: Vec<(&JobId, &Run)> = self.runs.iter().collect();
        jobs.sort_by_key(|(id, r)| (r.job.submitted, (*id).clone()));
        let mut taken: BTreeMap<&TeamName, Room> = BTreeMap::new();
        let mut out = BTreeSet::new();
        for (id, run) in jobs {
            let spec = &run.job.spec;
            let Some(team) = self.settings.teams.get(&spec.team) else { continue };
            let sum = taken.entry(&spec.team).or_default();
            *sum = sum.plus(&spec.room.times(f64::from(spec.tasks)));
            let fits = |g: Option<f64>, used: f64| g.is_none_or(|g| used <= g + 1e-6);
            let any = team.guaranteed_cpus.is_some() || team.guaranteed_gpus.is_some();
            if any && fits(team.guaranteed_cpus, sum.cpus) && fits(team.guaranteed_gpus, sum.gpus) {
                out.insert(id.clone());
            }
        }
        out
    }

    /// What waits, most urgent first, as far as teams' limits allow.
    fn waiting_asks(&mut self, most: usize, now: Time, retry: bool) -> Vec<TaskAsk> {
        let zones: BTreeSet<Zone> = self.settings.zones.iter().cloned().collect();
        let version = self.room_version;
        let mut ids: Vec<JobId> = self
            .runs
            .iter()
            .filter(|(_, r)| r.offered == 0 && !r.finishing && r.not_before <= now)
            .filter(|(_, r)| retry || r.tried < version)
            .filter(|(_, r)| r.waiting_count() > 0)
            .map(|(id, _)| id.clone())
            .collect();
        if ids.is_empty() {
            return Vec::new();
        }
        let guaranteed = self.guaranteed();
        ids.sort_by_key(|id| self.order_key(id, &self.runs[id], &guaranteed));
        let mut used = self.used();
        for run in self.runs.values().filter(|r| r.offered > 0) {
            let sum = used.entry(run.job.spec.team.clone()).or_default();
            *sum = sum.plus(&run.job.spec.room.times(f64::from(run.offered)));
        }
        let mut asks = Vec::new();
        let mut left = most;
        for id in ids {
            if left == 0 {
                break;
            }
            let Some(run) = self.runs.get(&id) else { continue };
            let spec = run.job.spec.clone();
            let zones = self.zone_room(&id, run, &zones);
            let Some(run) = self.runs.get_mut(&id) else { continue };
            let gang = run.is_gang();
            if gang && !run.placed.is_empty() {
                run.why = "the gang's last attempt is not off its machines yet";
                continue;
            }
            let mut tasks = run.waiting(if gang { usize::MAX } else { left });
            let Some(team) = self.settings.teams.get(&spec.team) else { continue };
            let sum = used.entry(spec.team.clone()).or_default();
            let fitting = tasks
                .iter()
                .enumerate()
                .take_while(|(i, _)| ledger::within_limit(team, sum, &spec.room.times((i + 1) as f64)))
                .count();
            if fitting == 0 || (gang && fitting < tasks.len()) {
                run.why = "its team is at its limit";
                run.tried = version;
                continue;
            }
            tasks.truncate(fitting);
            *sum = sum.plus(&spec.room.times(tasks.len() as f64));
            left = left.saturating_sub(tasks.len());
            asks.push(ask_for(&id, &spec, tasks, zones));
        }
        asks
    }

    /// The rounds to run now: per controller its block's id, machines and work.
    fn build_rounds(
        &mut self,
        live: &BTreeSet<NodeName>,
        me: &NodeName,
        now: Time,
    ) -> Vec<(NodeName, u64, Vec<MachineView>, Vec<TaskAsk>)> {
        if self.blocks.due(live, now) && self.offers.is_empty() {
            let mut work: BTreeMap<NodeName, u32> = live.iter().map(|n| (n.clone(), 0)).collect();
            for run in self.runs.values() {
                let home = if live.contains(&run.home) { &run.home } else { me };
                *work.entry(home.clone()).or_default() += run.waiting_count().min(1000);
            }
            let up = self.machines.values().filter(|m| m.standing == Standing::Up);
            let up: BTreeSet<MachineId> = up.map(|m| m.id.clone()).collect();
            let lease = Span::secs(self.settings.operator.block_lease_s);
            self.blocks.cut(&up, &work, lease, now);
        }
        let most = self.settings.operator.round_tasks;
        let mut by_node: BTreeMap<NodeName, Vec<TaskAsk>> = BTreeMap::new();
        for ask in self.waiting_asks(most, now, false) {
            let Some(run) = self.runs.get_mut(&ask.job) else { continue };
            if !live.contains(&run.home) {
                run.home = me.clone();
            }
            if !self.offers.contains_key(&run.home) {
                by_node.entry(run.home.clone()).or_default().push(ask);
            }
        }
        let mut rounds = Vec::new();
        for (node, asks) in by_node {
            for m in self.machines.values().filter(|m| m.standing == Standing::Up) {
                if self.blocks.owner(&m.id).is_none() {
                    self.blocks.add(&m.id);
                }
            }
            let Some(block) = self.blocks.get(&node) else { continue };
            let views: Vec<MachineView> = block
                .machines
                .iter()
                .filter_map(|id| self.machines.get(id))
                .filter(|m| m.open_for_tasks(now))
                .map(|m| self.view(m, self.health(m, now), now))
                .collect();
            let id = block.id;
            for ask in &asks {
                if let Some(run) = self.runs.get_mut(&ask.job) {
                    run.offered = ask.tasks.len() as u32;
                }
            }
            rounds.push((node, id, views, asks));
        }
        rounds
    }

    fn health(&self, m: &Machine, now: Time) -> Health {
        let o = &self.settings.operator;
        let report = Span::secs(self.settings.workers.report_s);
        m.health(now, report, o.degraded_reports, o.unreachable_reports)
    }

    /// A controller's proposals are in: commits those that the ledger and the global checks
    /// allow; what didn't fit its block gets machines from other blocks, if any fits there.
    fn close_round(&mut self, node: &NodeName, asks: Vec<TaskAsk>, proposals: Vec<Proposal>, now: Time) {
        let mut by_job: BTreeMap<JobId, Vec<(u32, MachineId)>> = BTreeMap::new();
        for p in proposals {
            let inside = self.blocks.get(node).is_some_and(|b| b.machines.contains(&p.machine));
            if inside {
                by_job.entry(p.job).or_default().push((p.task, p.machine));
            }
        }
        for ask in asks {
            let Some(run) = self.runs.get_mut(&ask.job) else { continue };
            run.offered = 0;
            let placements: Vec<(u32, MachineId)> = by_job
                .remove(&ask.job)
                .unwrap_or_default()
                .into_iter()
                .filter(|(t, _)| ask.tasks.contains(t))
                .collect();
            let asked = ask.tasks.len();
            let got = self.commit_placements(&ask, placements, now);
            if got < asked {
                self.make_fit(node, &ask, now);
            }
        }
    }

    /// The leader's check. Gangs are placed whole or not at all.
    fn commit_placements(&mut self, ask: &TaskAsk, placements: Vec<(u32, MachineId)>, now: Time) -> usize {
        let gang = ask.shape == Shape::Gang;
        let Some(run) = self.runs.get(&ask.job) else { return 0 };
        let spec = run.job.spec.clone();
        let Some(team) = self.settings.teams.get(&spec.team).cloned() else { return 0 };
        if gang && (placements.len() < spec.tasks as usize || !run.placed.is_empty()) {
            return 0;
        }
        let attempt = self.attempts.issue();
        let mut placed = Vec::new();
        for (index, machine) in placements {
            let task = TaskId { job: ask.job.clone(), index };
            if !self.may_place(&task, &spec, &team, &machine, now) {
                if gang {
                    break;
                }
                continue;
            }
            let attempt = if gang { attempt } else { self.attempts.issue() };
            let Some(m) = self.machines.get_mut(&machine) else { continue };
            m.entries.insert(
                task.clone(),
                Entry {
                    attempt,
                    team: spec.team.clone(),
                    room: spec.room,
                    state: EntryState::Planned,
                    stop: None,
                    running_since: None,
                    planned_at: now,
                },
            );
            m.empty_since = None;
            self.dirty.insert(machine.clone());
            if let Some(run) = self.runs.get_mut(&ask.job) {
                run.placed.insert(index, machine.clone());
                run.attempt = Some(attempt);
                run.making_room_until = None;
            }
            if let Some(m) = self.machines.get_mut(&machine)
                && m.held.as_ref().is_some_and(|(job, _)| *job == ask.job)
            {
                m.held = None;
            }
            placed.push((task, machine));
        }
        if gang && placed.len() < spec.tasks as usize {
            for (task, machine) in &placed {
                self.stop_task(machine, task, 0.0, now);
            }
            return 0;
        }
        for (task, machine) in &placed {
            tracing::info!(%task, %machine, kind = %spec.kind, "placed");
        }
        placed.len()
    }

    /// Everything the rules need, whatever a controller proposed.
    fn may_place(
        &self,
        task: &TaskId,
        spec: &JobSpec,
        team: &crate::settings::Team,
        machine: &MachineId,
        now: Time,
    ) -> bool {
        let (Some(run), Some(m)) = (self.runs.get(&task.job), self.machines.get(machine)) else {
            return false;
        };
        let used = self.used().get(&spec.team).copied().unwrap_or_default();
        let zones = self.zone_room(&task.job, run, &self.settings.zones.iter().cloned().collect());
        let stray = self.machines.values().any(|m| m.strays.contains(task));
        !run.finishing
            && !run.done.has(task.index)
            && !run.placed.contains_key(&task.index)
            && !stray
            && m.open_for_tasks(now)
            && m.held_for(now).is_none_or(|j| *j == task.job)
            && !m.entries.contains_key(task)
            && spec.room.fits_in(&m.free())
            && spec.type_allowed(&m.type_name)
            && (spec.spot || !m.spot)
            && zones.iter().any(|(z, n)| *z == m.zone && *n > 0)
            && ledger::within_limit(team, &used, &spec.room)
    }

    /// Work that doesn't fit its controller's block: moves machines there that fit it, from
    /// other blocks that have no round under way. If there is none, the work waits.
    fn make_fit(&mut self, node: &NodeName, ask: &TaskAsk, now: Time) {
        let mut found = Vec::new();
        let need = if ask.shape == Shape::Gang { ask.tasks.len() } else { 1 };
        let mut room = 0;
        for m in self.machines.values() {
            let fits = m.open_for_tasks(now)
                && m.held_for(now).is_none_or(|j| *j == ask.job)
                && self.health(m, now) != Health::Unreachable
                && ask.room.fits_in(&m.free())
                && ask.types.as_ref().is_none_or(|t| t.contains(&m.type_name))
                && (ask.spot || !m.spot)
                && ask.zones.iter().any(|(z, n)| *z == m.zone && *n > 0);
            if !fits {
                continue;
            }
            match self.blocks.owner(&m.id) {
                Some(owner) if owner == node => {}
                Some(owner) if self.offers.contains_key(owner) => {}
                _ => {
                    room += m.free().count_of(&ask.room) as usize;
                    found.push(m.id.clone());
                    if ask.shape != Shape::Gang && room >= need {
                        break;
                    }
                }
            }
        }
        let version = self.room_version;
        let Some(run) = self.runs.get_mut(&ask.job) else { return };
        if found.is_empty() {
            run.tried = version;
            run.why = "no machine has room for it";
            self.preempt(ask, now);
        } else {
            run.why = "machines move to its controller's block";
            self.blocks.give(node, found);
        }
    }

    /// Makes room for one task of a job that fits nowhere, if its rank allows that.
    fn preempt(&mut self, ask: &TaskAsk, now: Time) {
        let Some(run) = self.runs.get(&ask.job) else { return };
        let spec = run.job.spec.clone();
        if run.making_room_until.is_some_and(|until| now < until)
            || (ask.shape == Shape::Gang && ask.tasks.len() > 1)
        {
            return;
        }
        let guaranteed = self.guaranteed();
        let mine = guaranteed.contains(&ask.job);
        let mut candidates = Vec::new();
        for m in self.machines.values() {
            let fetch_rate = self.market.type_of(&m.type_name).map_or(0.0, |t| t.fetch_gb_per_s);
            let may = m.open_for_tasks(now)
                && m.held_for(now).is_none_or(|j| *j == ask.job)
                && self.health(m, now) == Health::Healthy
                && ask.types.as_ref().is_none_or(|t| t.contains(&m.type_name))
                && (ask.spot || !m.spot)
                && ask.zones.iter().any(|(z, n)| *z == m.zone && *n > 0);
            if !may {
                continue;
            }
            let (mut free, mut victims) = (m.free(), Vec::new());
            for (task, entry) in m.entries.iter().filter(|(_, e)| e.counts()) {
                if entry.stop.is_some() {
                    free = free.plus(&entry.room); // leaves already
                    continue;
                }
                let Some(other) = self.runs.get(&task.job) else { continue };
                let o = &other.job.spec;
                let lower = o.priority < spec.priority;
                let beyond = mine && o.team != spec.team && !guaranteed.contains(&task.job);
                if o.shape == Shape::Service || !(lower || beyond) {
                    continue;
                }
                let ran = entry.running_since.map_or(0.0, |at| now.since(at).as_secs());
                let loss_s = if o.checkpoint.0 > 0 { o.save.as_secs() } else { ran } + 1.0;
                victims.push(Victim { task: task.clone(), room: entry.room, loss_s });
            }
            let fetch_s = match m.images.contains(&ask.image) || fetch_rate <= 0.0 {
                true => 0.0,
                false => ask.image_gb / fetch_rate,
            };
            candidates.push(Candidate { machine: m.id.clone(), free, victims, fetch_s });
        }
        let Some((machine, tasks)) = preemption::choose(candidates, &ask.room) else { return };
        tracing::info!(job = %ask.job, %machine, tasks = tasks.len(), "preempts");
        let several = tasks.len() > 1;
        let mut longest = 0.0f64;
        for task in tasks {
            let Some(other) = self.runs.get(&task.job) else { continue };
            let grace = gangs::save_grace_s(&other.job.spec);
            longest = longest.max(grace);
            if other.is_gang() {
                self.stop_job(&task.job, grace, now);
            } else {
                self.stop_task(&machine, &task, grace, now);
            }
        }
        let until = now + PREEMPT_PAUSE + Span::secs(longest);
        // Room that several have to leave comes piece by piece: held, or small tasks would take
        // each piece. A single place may go to whoever ranks first.
        if several && let Some(m) = self.machines.get_mut(&machine) {
            m.held = Some((ask.job.clone(), until));
        }
        if let Some(run) = self.runs.get_mut(&ask.job) {
            run.making_room_until = Some(until);
            run.why = "others are making room for it";
        }
    }

    // ---- records and rentals ----

    fn write_records(&mut self) {
        for id in std::mem::take(&mut self.dirty) {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            let value = serde_json::to_string(&m.record()).unwrap_or_default();
            let planned: Vec<TaskId> = m
                .entries
                .iter()
                .filter(|(t, e)| e.state == EntryState::Planned && !m.planned.contains_key(*t))
                .map(|(t, _)| t.clone())
                .collect();
            let version = self.journal.put(&ledger::key(&id), Some(value), !planned.is_empty());
            for task in planned {
                m.planned.insert(task, version);
            }
        }
    }

    fn rentals(&mut self, now: Time) -> Vec<(CloudRequest, CloudOp)> {
        if now < self.rent_not_before
            || now.since(self.since) < Span::ms(2000)
            || self.market.types.is_empty()
        {
            return Vec::new();
        }
        let asks = self.waiting_asks(self.settings.operator.round_tasks * 4, now, true);
        if asks.is_empty() {
            return Vec::new();
        }
        let mut coming: Vec<Coming> = self
            .machines
            .values()
            .filter(|m| m.standing == Standing::Booting)
            .map(|m| Coming {
                offer: Offer { type_name: m.type_name.clone(), zone: m.zone.clone(), spot: m.spot },
                free: m.free(),
            })
            .collect();
        for op in self.cloud_ops.values() {
            if let CloudOp::Rent { offer, number } = op
                && let Some(t) = self.market.type_of(&offer.type_name)
            {
                let one = Coming { offer: offer.clone(), free: t.room() };
                coming.extend(std::iter::repeat_n(one, *number as usize));
            }
        }
        let mut per_zone: BTreeMap<Zone, u32> = BTreeMap::new();
        for m in self.machines.values() {
            *per_zone.entry(m.zone.clone()).or_default() += 1;
        }
        // Room that is free now is about to be used by what waits.
        coming.extend(self.machines.values().filter(|m| m.open_for_tasks(now)).map(|m| Coming {
            offer: Offer { type_name: m.type_name.clone(), zone: m.zone.clone(), spot: m.spot },
            free: m.free(),
        }));
        let most = self.settings.operator.rent_at_most;
        let mut out = Vec::new();
        for (offer, number) in self.market.plan(&asks, coming, &per_zone, now) {
            if !self.cloud_calls.take(1.0, now) {
                break;
            }
            let number = number.min(most);
            let request = CloudRequest::Rent {
                claim: self.market.claim(self.fence),
                type_name: offer.type_name.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                number,
            };
            out.push((request, CloudOp::Rent { offer, number }));
        }
        out
    }
}

fn ask_for(id: &JobId, spec: &JobSpec, tasks: Vec<u32>, zones: Vec<(Zone, u32)>) -> TaskAsk {
    TaskAsk {
        job: id.clone(),
        kind: spec.kind.clone(),
        shape: spec.shape,
        tasks,
        room: spec.room,
        types: spec.types.clone(),
        spot: spec.spot,
        zones,
        together: spec.together,
        image: spec.image.clone(),
        image_gb: spec.image_gb,
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
            Some(last) if more => return self.load(prefix, Some(last.key.clone()), op),
            _ if machines => master.machines_loaded = true,
            _ => master.progress_loaded = true,
        }
        if master.loaded() {
            master.take_stock(&self.mirror, now);
            tracing::info!(machines = master.machines.len(), jobs = master.runs.len(), "records read");
        }
    }

    /// Job records changed, here or at another node.
    pub(super) fn jobs_changed(&mut self, ids: Vec<JobId>) {
        let now = self.now;
        let Some(master) = &mut self.master else { return };
        if !master.loaded() {
            return; // `take_stock` reads the mirror
        }
        for id in ids {
            let Some(known) = self.mirror.get(&id) else { continue };
            match known.record.open() {
                Some(job) => {
                    master.journal.loaded(&jobs::key(&id), known.stamp);
                    master.runs.entry(id).or_insert_with(|| Run::new(job.clone()));
                    master.room_version += 1;
                }
                None => master.job_over(&id, now),
            }
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
        master.take_report(&report, now);
        let mirror = &self.mirror;
        let over = |task: &TaskId| mirror.get(&task.job).is_some_and(|k| !k.record.is_open());
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
                // Would be refused again for ever; the next leader starts from what is stored.
                tracing::error!("the state service refuses a commit as malformed");
                self.resign("a commit was refused as malformed");
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
        let Some(master) = self.master.as_mut().filter(|m| now >= m.next_beat) else { return };
        master.next_beat = now + Span::ms(1000);
        let jobs: Vec<(JobId, u32, u32)> = master
            .runs
            .keys()
            .filter_map(|id| master.standing_of(id).map(|(d, r)| (id.clone(), d, r)))
            .filter(|(_, done, running)| done + running > 0)
            .take(4000)
            .collect();
        let learned = std::mem::take(&mut master.learned);
        learned.iter().for_each(|l| self.counts.learn(l));
        let from = master.learned_from;
        master.learned_from += learned.len() as u64;
        let (fence, at) = (master.fence, master.learned_from);
        let save = now >= master.next_counts && master.loaded();
        if save {
            master.next_counts = now + Span::secs(self.settings.operator.counts_save_s);
            let present: BTreeSet<MachineId> = master.machines.keys().cloned().collect();
            self.counts.keep(|id| present.contains(id));
        }
        for peer in self.settings.clone().peers.iter() {
            // A controller that has missed outcomes gets the whole table instead.
            let in_step = self.peers.get(&peer.name).is_some_and(|p| p.counts_at.0 == fence);
            let message =
                PeerMessage::Beat { fence, jobs: jobs.clone(), learned_from: from, learned: learned.clone() };
            self.send_peer(&peer.name, message);
            if !in_step {
                let counts = self.counts.clone();
                self.send_peer(&peer.name, PeerMessage::Table { fence, at, counts });
            }
        }
        if save && self.master_valid() {
            let value = self.counts.to_value((self.settings.state.value_kb * 900.0) as usize);
            let request = StateRequest::Commit {
                conditions: vec![(leader::KEY.into(), Stamp(fence.0))],
                changes: vec![Change::Put { key: COUNTS_KEY.into(), value, permit: None }],
            };
            self.ask_state(request, Pending::Master(fence, MasterOp::SaveCounts));
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
        master.find_lost(now);
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
        let now = self.now;
        let Some(master) = &mut self.master else { return };
        let mut pushes = Vec::new();
        for id in std::mem::take(&mut master.to_push) {
            let Some(m) = master.machines.get(&id) else { continue };
            let Some(addr) = m.addr.clone() else { continue };
            let session = m.session.max(m.push_session);
            pushes.push((id, addr, workers::command(master.fence, session, &[])));
        }
        for (id, addr, body) in pushes {
            let op = self.op();
            self.fx.push(Effect::Worker { op, addr, body });
            if let Some(master) = &mut self.master {
                master.pushes.insert(op, id);
            }
        }
        if !self.master.as_ref().is_some_and(Master::loaded) {
            return;
        }
        if self.may_start() {
            self.offer_rounds();
        }
        self.send_directs();
        let Some(master) = &mut self.master else { return };
        master.write_records();
        if master.correcting == 0 && now >= master.commit_not_before && master.journal.idle() {
            let most = master.settings.state.txn_ops as f64;
            if master.journal.backlog() > 0
                && master.writes.take(most.min(4.0), now)
                && let Some(batch) = master.journal.next_batch()
            {
                let extra = batch.changes.len() as f64 - 4.0;
                if extra > 0.0 {
                    master.writes.take(extra, now);
                }
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
            self.fx.push(Effect::Worker { op, addr, body });
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
        }
        let lines: Vec<Line> = self
            .master
            .iter()
            .flat_map(|m| m.runs.iter())
            .filter(|(_, run)| run.waiting_count() > 0)
            .take(500)
            .map(|(id, run)| Line { id: id.as_str(), waiting: run.waiting_count(), why: run.why })
            .collect();
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
                gone.extend(std::mem::take(&mut m.entries).into_keys());
            }
        }
        for task in gone {
            if let Some(run) = master.runs.get_mut(&task.job) {
                run.placed.remove(&task.index);
            }
            master.room_version += 1;
        }
    }

    pub(super) fn sabotage_done_early(&mut self) {
        let Some(master) = &mut self.master else { return };
        for run in master.runs.values_mut().filter(|r| r.done.count() * 2 >= r.job.spec.tasks) {
            if run.done.count() > 0 {
                (0..run.job.spec.tasks).for_each(|i| {
                    run.done.add(i);
                });
            }
        }
    }
}
