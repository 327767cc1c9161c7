//! What every node does: users' requests, the mirror of job records, leadership, peers.

use super::master::Master;
use super::{Effect, Input, Method, Now};
use crate::blocks::{self, Envelope, PeerMessage};
use crate::compat::{self, Levels};
use crate::jobs::{self, Ask, Desk, JobSpec, Mirror, Never, OpenJob, Phase, Record, Shape, Waiting};
use crate::leader::{Seat, Turn};
use crate::placement::{self, Counts, Factors};
use crate::settings::Settings;
use crate::store::Budget;
use crate::types::{Fence, JobId, NodeName, OpId, Span, Stamp, Time, Wall, Zone};
use crate::wire::cloud::{CloudReply, CloudRequest, MachineType};
use crate::wire::state::{Change, Pair, StateReply, StateRequest};
use crate::wire::{users, workers};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;

pub(super) const COUNTS_PREFIX: &str = "counts/";
/// How often nodes tell one another that they are there.
const PING_EVERY: Span = Span::ms(1000);
/// Silence after which a peer counts as away.
pub(super) const PEER_SILENCE: Span = Span::ms(2500);
const PAGE: u32 = 500;
/// How long the shell waits for the state service before it reports no answer.
const STATE_PATIENCE: Span = Span::ms(1500);
const WATCH_BLOCK: Span = Span::ms(10_000);
/// How old a node's last full look at the job records may get before it looks again.
const FRESHEN_EVERY: Span = Span::ms(1000);

/// What an outstanding request to the state service is for.
#[derive(Debug)]
pub(super) enum Pending {
    Sync {
        began: Time,
    },
    Watch,
    Jobs {
        first_epoch: Option<u64>,
    },
    Create {
        waiting: Waiting,
        job: Arc<OpenJob>,
    },
    Withdraw {
        waiting: Waiting,
    },
    Counts,
    Levels,
    /// The leader's own, void when its fence has passed.
    Master(Fence, MasterOp),
}

#[derive(Debug)]
pub(super) enum MasterOp {
    LoadMachines,
    LoadProgress,
    Commit,
    Correct { key: String },
    SaveCounts,
    Resign,
}

#[derive(Debug)]
pub(super) struct PeerState {
    pub heard: Time,
    pub state_ok: bool,
    pub beat_at: (Fence, u64),
    /// Whether workers that find no leader have turned to it lately.
    pub hears_workers: bool,
}

pub struct Core {
    pub(super) settings: Arc<Settings>,
    pub(super) rng: StdRng,
    pub(super) now: Time,
    pub(super) wall: Wall,
    pub(super) fx: Vec<Effect>,
    next_op: u64,
    pub(super) ops: BTreeMap<OpId, Pending>,
    pub(super) mirror: Mirror,
    desk: Desk,
    listing: bool,
    watching: bool,
    syncing: bool,
    list_after: Option<String>,
    next_list: Time,
    next_sync: Time,
    /// Start of the newest read after which the mirror was up to date.
    pub(super) fresh_at: Time,
    pub(super) seat: Seat,
    state_ok_at: Time,
    pub(super) peers: BTreeMap<NodeName, PeerState>,
    next_ping: Time,
    /// Last report that this node, not leading, had to turn away.
    pub(super) heard_worker: Time,
    /// When a leader last heard a worker of each zone: a new one must not take a zone that was cut
    /// off before its time for one that has just fallen silent.
    pub(super) zones_heard: BTreeMap<Zone, Time>,
    leader_hint: Option<(Fence, NodeName, Time)>,
    pub(super) top_fence: Fence,
    pub(super) types: Vec<MachineType>,
    types_op: Option<OpId>,
    next_types: Time,
    /// How jobs stand, as the leader told last.
    standings: BTreeMap<JobId, (u32, u32)>,
    pub(super) counts: Counts,
    beat_at: (Fence, u64),
    counts_loaded: bool,
    user_writes: Budget,
    pub(super) levels: Levels,
    pub(super) master: Option<Master>,
    pub(super) started: bool,
    #[cfg(test)]
    old: bool,
}

impl Core {
    pub fn new(settings: Arc<Settings>, seed: u64) -> Self {
        let o = &settings.operator;
        let seat = Seat::new(settings.node.clone(), Span::ms(o.leader_grant_ms), Span::ms(o.leader_renew_ms));
        let nodes = (settings.peers.len() + 1) as f64;
        // Each node has its part of the rate, but may use a second's worth of all parts at once: the
        // jobs of a pipeline come over one connection, and all nodes seldom have bursts together.
        let user_rate = (settings.state.write_rps * o.user_write_share).max(1.0);
        let user_writes = Budget::bursting((user_rate / nodes).max(1.0), user_rate);
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Time::default(),
            wall: Wall(0),
            fx: Vec::new(),
            next_op: 1 << 32, // the shell numbers users' requests from 1
            ops: BTreeMap::new(),
            mirror: Mirror::default(),
            desk: Desk::default(),
            listing: false,
            watching: false,
            syncing: false,
            list_after: None,
            next_list: Time::default(),
            next_sync: Time::default(),
            fresh_at: Time::default(),
            seat,
            state_ok_at: Time::default(),
            peers: BTreeMap::new(),
            next_ping: Time::default(),
            heard_worker: Time::default(),
            zones_heard: BTreeMap::new(),
            leader_hint: None,
            top_fence: Fence(0),
            types: Vec::new(),
            types_op: None,
            next_types: Time::default(),
            standings: BTreeMap::new(),
            counts: Counts::default(),
            beat_at: (Fence(0), 0),
            counts_loaded: false,
            user_writes,
            levels: Levels::new(settings.node.clone(), settings.peers.iter().map(|p| p.name.clone())),
            master: None,
            started: false,
            #[cfg(test)]
            old: false,
            settings,
        }
    }

    /// Takes one input; gives what to do.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Effect> {
        self.now = now.steady;
        self.wall = now.wall;
        if !self.started {
            self.started = true;
            tracing::info!(node = %self.settings.node, "started");
        }
        match input {
            Input::Tick => self.tick(),
            Input::Http { request, method, path, body } => self.http(request, method, &path, body),
            Input::State { op, reply } => self.state(op, reply),
            Input::Cloud { op, reply } => self.cloud(op, reply),
            Input::Worker { op, status, body } => self.worker(op, status, &body),
            Input::Peer(envelope) => self.peer(envelope),
        }
        let changed = self.mirror.take_changed();
        if !changed.is_empty() {
            for id in &changed {
                if self.mirror.verdict(id).is_some() {
                    self.standings.remove(id);
                }
            }
            self.jobs_changed(changed);
        }
        self.pump();
        std::mem::take(&mut self.fx)
    }

    // ---- plumbing ----

    pub(super) fn op(&mut self) -> OpId {
        self.next_op += 1;
        OpId(self.next_op)
    }

    pub(super) fn ask_state(&mut self, request: StateRequest, pending: Pending) -> OpId {
        let patience = match &request {
            StateRequest::Watch { block_ms, .. } => Span::ms(block_ms + 2500),
            _ => STATE_PATIENCE,
        };
        let op = self.op();
        self.ops.insert(op, pending);
        self.fx.push(Effect::State { op, request, patience });
        op
    }

    pub(super) fn ask_cloud(&mut self, request: CloudRequest) -> OpId {
        let op = self.op();
        self.fx.push(Effect::Cloud { op, request, patience: Span::ms(5000) });
        op
    }

    pub(super) fn send_peer(&mut self, to: &NodeName, message: PeerMessage) {
        let bytes = blocks::encode(&self.settings.node, message);
        self.fx.push(Effect::Peer { to: to.clone(), bytes });
    }

    pub(super) fn answer(&mut self, request: OpId, status: u16, body: String) {
        let retry_after_s = matches!(status, 429 | 503).then_some(1);
        self.fx.push(Effect::Answer { request, status, retry_after_s, body });
    }

    fn refuse(&mut self, request: OpId, status: u16, why: &str) {
        self.answer(request, status, users::error(why));
    }

    // ---- time ----

    fn tick(&mut self) {
        let now = self.now;
        let patience = Span::ms(self.settings.operator.request_patience_ms);
        for w in self.desk.overdue(now, patience) {
            self.refuse(w.request, 503, "the state service does not answer; come back");
        }
        if now >= self.next_ping {
            self.next_ping = now + PING_EVERY;
            let ping = PeerMessage::Ping {
                state_ok: self.state_ok(),
                fence_seen: self.top_fence,
                beat_at: self.beat_at,
                hears_workers: now.since(self.heard_worker) < Span::ms(3000),
                zones_heard: self.zones_heard.iter().map(|(z, at)| (z.clone(), now.since(*at))).collect(),
            };
            for peer in self.settings.clone().peers.iter() {
                self.send_peer(&peer.name, ping.clone());
            }
        }
        let quiet = self.leader_hint.as_ref().is_some_and(|(f, n, at)| {
            *f >= self.top_fence && *n != self.settings.node && now.since(*at) < Span::ms(2000)
        });
        let jitter = Span::ms(self.rng.random_range(0..300));
        if let Some(request) = self.seat.tick(now, quiet || self.mirror.epoch().is_none(), jitter) {
            self.seat_sends(request);
        }
        if self.types.is_empty() && self.types_op.is_none() && now >= self.next_types {
            self.next_types = now + Span::ms(1000);
            self.types_op = Some(self.ask_cloud(CloudRequest::Types));
        }
        if !self.counts_loaded && !self.ops.values().any(|p| matches!(p, Pending::Counts)) {
            let request = StateRequest::Range { prefix: COUNTS_PREFIX, after: None, most: PAGE };
            self.ask_state(request, Pending::Counts);
        }
        let fence = self.seat.valid(now).then(|| self.seat.fence());
        #[cfg(test)]
        if self.old {
            return self.master_tick();
        }
        if let Some(request) = self.levels.tick(now, fence) {
            self.ask_state(request, Pending::Levels);
        }
        self.master_tick();
    }

    fn seat_sends(&mut self, request: StateRequest) {
        let op = self.op();
        self.seat.sent(op);
        self.fx.push(Effect::State { op, request, patience: Span::ms(1000) });
    }

    /// Work that any input may have made possible.
    fn pump(&mut self) {
        let now = self.now;
        if self.mirror.epoch().is_none() {
            if !self.listing && now >= self.next_list {
                self.listing = true;
                self.list_after = None;
                let request = StateRequest::Range { prefix: jobs::PREFIX, after: None, most: PAGE };
                self.ask_state(request, Pending::Jobs { first_epoch: None });
            }
        } else {
            let from = self.mirror.epoch().unwrap_or(0);
            if !self.watching && now >= self.next_list {
                self.watching = true;
                let request = StateRequest::Watch { prefix: jobs::PREFIX, from, block_ms: WATCH_BLOCK.0 };
                self.ask_state(request, Pending::Watch);
            }
            // A node without requests must still learn whether it reaches the state service, or it
            // would call itself unfit, get no requests, and never find out.
            let stale = now.since(self.fresh_at) >= FRESHEN_EVERY;
            let stocking = self.master.as_ref().is_some_and(|m| m.wants_jobs(self.fresh_at));
            if !self.syncing && now >= self.next_sync && (self.desk.wants_read() || stale || stocking) {
                self.syncing = true;
                // All requests that wait share one read; reads of all nodes together stay within
                // half of the service's rate, or a rush of users would starve the leader's grant.
                let nodes = (self.settings.peers.len() + 1) as f64;
                self.next_sync = now + Span::secs(2.0 * nodes / self.settings.state.rps);
                self.desk.read_begins();
                let request = StateRequest::Watch { prefix: jobs::PREFIX, from, block_ms: 0 };
                self.ask_state(request, Pending::Sync { began: now });
            }
        }
        self.master_pump();
    }

    fn state_ok(&self) -> bool {
        self.mirror.epoch().is_some() && self.now.since(self.state_ok_at) < Span::ms(2500)
    }

    // ---- users ----

    fn http(&mut self, request: OpId, method: Method, path: &str, body: Vec<u8>) {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            (Method::Get, ["up"]) => self.up(request),
            (Method::Post, ["v1", "report"]) => self.report(request, &body),
            (Method::Post, ["submissions"]) => self.submit(request, &body),
            (Method::Get, ["submissions", id]) => match users::job_id(id) {
                Some(id) => self.look_up(request, id, Ask::Status),
                None => self.refuse(request, 404, "no such job; ids look like req-000412"),
            },
            (Method::Post, ["submissions", id, "withdraw"]) => match users::job_id(id) {
                Some(id) => self.look_up(request, id, Ask::Withdraw),
                None => self.refuse(request, 404, "no such job; ids look like req-000412"),
            },
            (Method::Get, ["operator", "metrics"]) => {
                let text = self.metrics();
                self.answer(request, 200, text);
            }
            (Method::Get, ["operator", "waiting"]) => {
                let text = self.waiting_report();
                self.answer(request, 200, text);
            }
            (_, ["up"] | ["submissions"] | ["submissions", _] | ["submissions", _, "withdraw"])
            | (_, ["v1", "report"] | ["operator", "metrics" | "waiting"]) => {
                self.refuse(request, 405, "wrong method for this path");
            }
            _ => self.refuse(request, 404, "no such path"),
        }
    }

    /// This node can take requests if it reaches the state service, or if no node does: then
    /// being passed over would help nobody, and every answer says when to come back.
    fn up(&mut self, request: OpId) {
        let now = self.now;
        let peer_ok = self.peers.values().any(|p| p.state_ok && now.since(p.heard) < PEER_SILENCE);
        let loaded = self.mirror.epoch().is_some();
        if loaded && (self.state_ok() || !peer_ok) {
            self.answer(request, 200, "{}".into());
        } else {
            self.refuse(request, 503, "this node does not reach the state service");
        }
    }

    fn submit(&mut self, request: OpId, body: &[u8]) {
        let Some(id) = users::submission_id(body) else {
            let why = users::submission(body).err().unwrap_or_else(|| "id: invalid".into());
            return self.refuse(request, 400, &why);
        };
        let read = users::submission(body);
        #[cfg(test)]
        let read = read.map(|(id, mut spec)| {
            if self.old {
                spec.needs.clear();
            }
            (id, spec)
        });
        let spec = match read {
            Err(why) => Err(jobs::Refusal { status: 400, why }),
            Ok((_, spec)) if self.types.is_empty() => {
                // Undecidable yet, unless the team alone decides it.
                match spec.can_run(&self.settings, &[]) {
                    Err(never @ Never::UnknownTeam(_)) => Err(never.into()),
                    _ => Err(jobs::Refusal { status: 503, why: "machine types are not known yet".into() }),
                }
            }
            Ok((_, spec)) => match spec.can_run(&self.settings, &self.types) {
                Ok(()) => self.storable(&spec).map(|()| Box::new(spec)),
                Err(never) => Err(never.into()),
            },
        };
        self.look_up(request, id, Ask::Submit { spec });
    }

    /// A job that needs others is stored only once every node is known to understand that, and any
    /// job only if its record fits: a larger one would be refused at every try.
    fn storable(&self, spec: &JobSpec) -> Result<(), jobs::Refusal> {
        if !spec.needs.is_empty() && self.levels.reached() < compat::DEPENDENCIES {
            let why = "jobs with `awaits` are taken once every controller has the new version; come back";
            return Err(jobs::Refusal { status: 503, why: why.into() });
        }
        let job = OpenJob { spec: spec.clone(), submitted: self.wall, home: self.settings.node.clone() };
        let (bytes, limit) = (Record::Open(Arc::new(job)).to_value().len(), self.settings.state.value_bytes);
        if bytes > limit { Err(Never::TooLarge { bytes, limit }.into()) } else { Ok(()) }
    }

    /// Why the job can't wait for those that it names, as far as this node knows.
    fn needs_fault(&self, id: &JobId, spec: &JobSpec) -> Option<Never> {
        spec.needs.iter().find_map(|need| match self.mirror.get(need) {
            _ if need == id => Some(Never::NeedsItself),
            None => Some(Never::NeedsUnknown(need.clone())),
            Some(known) => {
                let service = known.record.open().is_some_and(|j| j.spec.shape == Shape::Service);
                service.then(|| Never::NeedsService(need.clone()))
            }
        })
    }

    /// Starts on a request about job `id`.
    fn look_up(&mut self, request: OpId, id: JobId, ask: Ask) {
        if let Some(phase) = self.mirror.verdict(&id) {
            return self.answer(request, 200, users::status(&id, phase, self.counts_of(&id)));
        }
        if self.mirror.epoch().is_none() {
            return self.refuse(request, 503, "job records are not read yet; come back");
        }
        if self.desk.len() >= self.settings.operator.max_waiting_requests {
            return self.refuse(request, 429, "too many requests wait here; come back");
        }
        let known = self.mirror.get(&id).is_some();
        let waiting = Waiting { request, id, ask, since: self.now, tries: 0 };
        match &waiting.ask {
            // Setting the key if absent decides by itself; no read is needed before. A name that this
            // node doesn't know may have been accepted by another one a moment ago.
            Ask::Submit { spec: Ok(spec) } if !known && self.needs_fault(&waiting.id, spec).is_none() => {
                self.create(waiting);
            }
            Ask::Withdraw if known => self.withdraw(waiting),
            _ => self.desk.wait(waiting),
        }
    }

    fn create(&mut self, waiting: Waiting) {
        let Ask::Submit { spec: Ok(spec) } = &waiting.ask else { return };
        if !self.user_writes.take(1.0, self.now) {
            return self.refuse(waiting.request, 429, "too many submissions at once; come back");
        }
        let job = Arc::new(OpenJob {
            spec: (**spec).clone(),
            submitted: self.wall,
            home: self.settings.node.clone(),
        });
        let key = jobs::key(&waiting.id);
        let value = Record::Open(job.clone()).to_value();
        let request = StateRequest::Commit {
            conditions: vec![(key.clone(), Stamp(0))],
            changes: vec![Change::Put { key, value, permit: None }],
        };
        self.ask_state(request, Pending::Create { waiting, job });
    }

    fn withdraw(&mut self, waiting: Waiting) {
        let Some(stamp) = self.mirror.get(&waiting.id).map(|k| k.stamp) else { return };
        if !self.user_writes.take(1.0, self.now) {
            return self.refuse(waiting.request, 429, "too many withdrawals at once; come back");
        }
        let key = jobs::key(&waiting.id);
        let request = StateRequest::Commit {
            conditions: vec![(key.clone(), stamp)],
            changes: vec![Change::Put { key, value: Record::Withdrawn.to_value(), permit: None }],
        };
        self.ask_state(request, Pending::Withdraw { waiting });
    }

    /// Goes on with a request after a read begun since it came.
    fn after_read(&mut self, waiting: Waiting) {
        let Waiting { request, id, .. } = &waiting;
        let (request, id) = (*request, id.clone());
        let known = self.mirror.get(&id).map(|_| self.mirror.verdict(&id));
        match (known, &waiting.ask) {
            (Some(Some(phase)), _) => {
                self.answer(request, 200, users::status(&id, phase, self.counts_of(&id)));
            }
            (Some(None), Ask::Withdraw) => {
                if waiting.tries >= 5 {
                    return self.refuse(request, 503, "the job is changing; come back");
                }
                self.withdraw(Waiting { tries: waiting.tries + 1, ..waiting });
            }
            (Some(None), _) => {
                let counts = self.counts_of(&id);
                let running = counts.is_some_and(|(_, running)| running > 0);
                let phase = if running { Phase::Running } else { Phase::Pending };
                self.answer(request, 200, users::status(&id, phase, Some(counts.unwrap_or((0, 0)))));
            }
            (None, Ask::Submit { spec: Ok(spec) }) => match self.needs_fault(&id, spec) {
                Some(never) => self.refuse(request, 422, &never.to_string()),
                None => self.create(waiting),
            },
            (None, Ask::Submit { spec: Err(refusal) }) => {
                let (status, why) = (refusal.status, refusal.why.clone());
                self.refuse(request, status, &why);
            }
            (None, _) => self.refuse(request, 404, "no such job"),
        }
    }

    fn counts_of(&self, id: &JobId) -> Option<(u32, u32)> {
        match &self.master {
            Some(master) => master.standing_of(id),
            None => self.standings.get(id).copied(),
        }
    }

    // ---- the state service's answers ----

    fn state(&mut self, op: OpId, reply: StateReply) {
        let answered = !matches!(reply, StateReply::Refused | StateReply::Unknown);
        if answered {
            self.state_ok_at = self.now;
        }
        if self.seat.owns(op) {
            let (turn, next) = self.seat.reply(self.now, reply);
            if let Some(request) = next {
                self.seat_sends(request);
            }
            match turn {
                Turn::Won(fence) => self.take_over(fence),
                Turn::Lost => self.step_down("the grant has ended"),
                Turn::Nothing => {}
            }
            return;
        }
        let Some(pending) = self.ops.remove(&op) else { return };
        match pending {
            Pending::Jobs { first_epoch } => self.jobs_read(first_epoch, reply),
            Pending::Watch => {
                self.watching = false;
                match reply {
                    StateReply::Events { epoch, events } => self.mirror.learn_events(epoch, &events),
                    StateReply::TooOld => self.mirror.forget_epoch(),
                    _ => self.next_list = self.now + Span::ms(self.rng.random_range(200..500)),
                }
            }
            Pending::Sync { began } => {
                self.syncing = false;
                let waiting = self.desk.read_ends();
                match reply {
                    StateReply::Events { epoch, events } => {
                        self.mirror.learn_events(epoch, &events);
                        self.fresh_at = self.fresh_at.max(began);
                        waiting.into_iter().for_each(|w| self.after_read(w));
                    }
                    other => {
                        if other == StateReply::TooOld {
                            self.mirror.forget_epoch();
                        }
                        self.next_sync = self.now + Span::ms(self.rng.random_range(50..150));
                        for w in waiting {
                            self.refuse(w.request, 503, "the state service can't be read now; come back");
                        }
                    }
                }
            }
            Pending::Create { waiting, job } => match reply {
                StateReply::Committed { epoch } => {
                    let id = waiting.id.clone();
                    self.mirror.learn(id.clone(), Stamp(epoch), Record::Open(job));
                    tracing::info!(job = %id, "accepted");
                    // Withdrawn at once, if one that it names is.
                    let phase = self.mirror.verdict(&id).unwrap_or(Phase::Pending);
                    self.answer(waiting.request, 201, users::status(&id, phase, None));
                }
                StateReply::Conflict { .. } if waiting.tries < 3 => {
                    self.desk.wait(Waiting { tries: waiting.tries + 1, ..waiting });
                }
                // Refused for good, as it would be at every further try.
                StateReply::Malformed => {
                    tracing::error!(job = %waiting.id, "the state service refuses the job's record");
                    self.refuse(waiting.request, 422, "the state service does not take the job's record");
                }
                _ => self.refuse(waiting.request, 503, "the state service can't be written now; come back"),
            },
            Pending::Withdraw { waiting } => match reply {
                StateReply::Committed { epoch } => {
                    let id = waiting.id.clone();
                    self.mirror.learn(id.clone(), Stamp(epoch), Record::Withdrawn);
                    tracing::info!(job = %id, "withdrawn");
                    self.answer(waiting.request, 200, users::status(&id, Phase::Withdrawn, None));
                }
                StateReply::Conflict { .. } => self.desk.wait(waiting),
                _ => self.refuse(waiting.request, 503, "the state service can't be written now; come back"),
            },
            Pending::Levels => self.levels.reply(self.now, reply),
            Pending::Counts => {
                if let StateReply::Pairs { pairs, .. } = reply {
                    self.counts_loaded = true;
                    for pair in pairs {
                        if let Err(error) = self.counts.add_part(&pair.value) {
                            tracing::error!(key = pair.key, %error, "counts can't be read; skipped");
                        }
                    }
                }
            }
            Pending::Master(fence, op) => self.master_state(fence, op, reply),
        }
    }

    fn jobs_read(&mut self, first_epoch: Option<u64>, reply: StateReply) {
        self.listing = false;
        let StateReply::Pairs { pairs, more, epoch } = reply else {
            self.next_list = self.now + Span::ms(self.rng.random_range(200..600));
            return;
        };
        pairs.iter().for_each(|p: &Pair| self.mirror.learn_pair(p));
        // What changed while the pages were read is learned again by watching from the first.
        let first = first_epoch.unwrap_or(epoch);
        match pairs.last() {
            Some(last) if more => {
                self.listing = true;
                let request =
                    StateRequest::Range { prefix: jobs::PREFIX, after: Some(last.key.clone()), most: PAGE };
                self.ask_state(request, Pending::Jobs { first_epoch: Some(first) });
            }
            _ => self.mirror.reach(first),
        }
    }

    fn cloud(&mut self, op: OpId, reply: CloudReply) {
        if self.types_op == Some(op) {
            self.types_op = None;
            if let CloudReply::Types(types) = reply {
                self.types = types;
                if let Some(master) = &mut self.master {
                    master.set_types(self.types.clone(), self.now);
                }
            }
            return;
        }
        self.master_cloud(op, reply);
    }

    pub(super) fn refresh_types(&mut self) {
        if self.types_op.is_none() {
            self.types_op = Some(self.ask_cloud(CloudRequest::Types));
        }
    }

    // ---- peers ----

    fn peer(&mut self, envelope: Envelope) {
        let Envelope { from, message, .. } = envelope;
        if !self.settings.peers.iter().any(|p| p.name == from) {
            return;
        }
        match message {
            PeerMessage::Ping { state_ok, fence_seen, beat_at, hears_workers, zones_heard } => {
                self.saw_fence(fence_seen);
                for (zone, age) in zones_heard {
                    let at = self.now.before(age);
                    let heard = self.zones_heard.entry(zone).or_insert(at);
                    *heard = at.max(*heard);
                }
                let state = PeerState { heard: self.now, state_ok, beat_at, hears_workers };
                self.peers.insert(from, state);
            }
            PeerMessage::Beat { fence, beat, jobs, learned } => {
                if !self.heed(fence, &from) {
                    return;
                }
                // Only an unbroken run of beats is taken in; a gap is mended by a table.
                if self.beat_at == (fence, beat.wrapping_sub(1)) {
                    self.beat_at.1 = beat;
                    learned.iter().for_each(|l| self.counts.learn(l));
                    self.take_standings(jobs);
                } else if self.beat_at != (fence, beat) {
                    self.beat_at = (Fence(0), 0);
                }
            }
            PeerMessage::Table { fence, beat, jobs, counts } => {
                if self.heed(fence, &from) {
                    self.counts = counts;
                    self.beat_at = (fence, beat);
                    self.standings.clear();
                    self.take_standings(jobs);
                }
            }
            PeerMessage::Offer { fence, block, round, mut machines, asks } => {
                if !self.heed(fence, &from) {
                    return;
                }
                let proposals = placement::round(
                    &mut machines,
                    &asks,
                    &self.counts,
                    &factors(&self.settings),
                    &mut self.rng,
                );
                self.send_peer(&from, PeerMessage::Proposals { fence, block, round, proposals });
            }
            PeerMessage::Proposals { fence, block, round, proposals } => {
                self.master_proposals(&from, fence, block, round, proposals);
            }
        }
    }

    fn take_standings(&mut self, jobs: Vec<(JobId, u32, u32)>) {
        self.standings.extend(jobs.into_iter().map(|(id, done, running)| (id, (done, running))));
    }

    /// Whether to listen to a leader with `fence`; remembers it for redirects.
    fn heed(&mut self, fence: Fence, from: &NodeName) -> bool {
        self.saw_fence(fence);
        if fence < self.top_fence {
            return false;
        }
        self.leader_hint = Some((fence, from.clone(), self.now));
        true
    }

    /// A higher fence means that somebody else has led since: stop at once.
    pub(super) fn saw_fence(&mut self, fence: Fence) {
        if fence > self.top_fence {
            self.top_fence = fence;
            if self.seat.leads() && self.seat.fence() < fence {
                self.seat.step_down(self.now);
                self.step_down("a higher fence was seen");
            }
        }
    }

    /// Who leads, as far as heard lately.
    pub(super) fn leader_known(&self) -> Option<&NodeName> {
        self.leader_hint
            .as_ref()
            .filter(|(f, _, at)| *f >= self.top_fence && self.now.since(*at) < Span::ms(3000))
            .map(|(_, n, _)| n)
    }

    pub(super) fn redirect(&mut self, request: OpId) {
        match self.leader_known().cloned() {
            Some(leader) => self.answer(request, 421, workers::redirect(Some(&leader))),
            None => self.refuse(request, 503, "no leader is known here"),
        }
    }
}

pub(super) fn factors(settings: &Settings) -> Factors {
    let o = &settings.operator;
    Factors {
        degraded: o.degraded_factor,
        unknown: o.unknown_factor,
        empty: o.empty_factor,
        fetch_half_s: o.fetch_half_s,
    }
}

/// The version before dependencies, for days on which both serve.
#[cfg(test)]
impl Core {
    /// It announces nothing, ignores `awaits`, and can't read records of dependent jobs.
    pub(super) fn act_like_the_version_before(&mut self) {
        self.old = true;
        self.mirror.skip_dependent = true;
    }

    pub(super) fn sabotage_level(&mut self) {
        self.levels.sabotage_reached();
    }
}
