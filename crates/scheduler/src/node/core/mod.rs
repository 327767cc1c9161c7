//! What every node does: follows the job records, runs for the lead, tells its peers; and hands each
//! input to the part whose duty it is.

mod features;
mod reports;
mod users;

use super::catalogue::Catalogue;
use super::follower::{Follower, Turn as ReadTurn};
use super::master::{Ctx, Leave, Master, heartbeats_delegated};
use super::outbox::{LeaderRequest, Outbox, Pending, Whose};
use super::peers::Peers;
use super::{Effect, Input, Method, Now};
use crate::blocks::{Envelope, PeerMessage};
use crate::compat::Levels;
use crate::election::{self, Election, ElectionChange};
use crate::jobs::{self, Desk, Mirror, Served};
use crate::placement::{self, COUNTS_PREFIX, Counts, Factors};
use crate::settings::Settings;
use crate::store::Budget;
use crate::types::{Duration, FencingToken, JobId, MonotonicTime, NodeName, RequestId, Revision, WallTime};
use crate::wire::cloud::CloudReply;
use crate::wire::state::{Change, StateReply, StateRequest};
use crate::wire::workers::{self, Heartbeat};
use features::Slot;
use pearford_heartbeat::{Bounds, Delegate, HeartbeatPosition, IsolationReporter, LeaseRenewal};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reports::Relay;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How often nodes tell one another that they are there.
const PING_EVERY: Duration = Duration::from_millis(1000);
const COUNTS_PAGE: u32 = 500;
/// How long the seat's requests may take: an answer later than that is of no use to it. While nobody leads there is
/// nothing to hurry for but an answer: asked anew each second, a slow state service gave no leader for 20 s.
const LEADER_REQUEST_TIMEOUT: Duration = Duration::from_millis(1000);
const CAMPAIGN_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a leader that gave the lead back leaves it to others.
const RESIGN_BACK_OFF: Duration = Duration::from_millis(20_000);

pub struct Core {
    settings: Arc<Settings>,
    rng: StdRng,
    now: MonotonicTime,
    wall_time: WallTime,
    out: Outbox,
    mirror: Mirror,
    follower: Follower,
    desk: Desk,
    election: Election,
    state_ok_at: MonotonicTime,
    peers: Peers,
    next_ping: MonotonicTime,
    /// Last report that this node, not leading, had to turn away.
    heard_worker: MonotonicTime,
    leader_hint: Option<(FencingToken, NodeName, MonotonicTime)>,
    highest_fencing_token: FencingToken,
    /// The state service's revision, as far as this node has ever known.
    latest_revision: u64,
    catalogue: Catalogue,
    /// How jobs stand, as the leader told last.
    standings: BTreeMap<JobId, (u32, u32)>,
    counts: Counts,
    beat_at: (FencingToken, u64),
    counts_loaded: bool,
    user_writes: Budget,
    levels: Levels,
    master: Option<Master>,
    delegate: Delegate,
    lease_renewal: LeaseRenewal,
    relay: Relay,
    isolation_reporter: IsolationReporter,
    served: Served,
    /// Messages in the name of nodes that are none of its peers.
    dropped: u64,
    features: Vec<Slot>,
    started_at: Option<MonotonicTime>,
    #[cfg(any(test, feature = "world"))]
    old: bool,
}

impl Core {
    pub fn new(settings: Arc<Settings>, seed: u64) -> Self {
        let o = &settings.operator;
        let election = Election::new(
            settings.node.clone(),
            Duration::from_millis(o.leader_grant_ms),
            Duration::from_millis(o.leader_renew_ms),
        );
        let nodes = (settings.peers.len() + 1) as f64;
        // Each node has its part of the rate, but may use a second's worth of all parts at once: the
        // jobs of a pipeline come over one connection, and all nodes seldom have bursts together.
        let user_rate = (settings.state.write_rps * o.user_write_share).max(1.0);
        let user_writes = Budget::bursting((user_rate / nodes).max(1.0), user_rate);
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: MonotonicTime::default(),
            wall_time: WallTime(0),
            out: Outbox::new(settings.node.clone()),
            mirror: Mirror::default(),
            follower: Follower::new(Whose::Jobs, jobs::PREFIX, read_pause(&settings)),
            desk: Desk::default(),
            election,
            state_ok_at: MonotonicTime::default(),
            peers: Peers::new(&settings.peers),
            next_ping: MonotonicTime::default(),
            heard_worker: MonotonicTime::default(),
            leader_hint: None,
            highest_fencing_token: FencingToken(0),
            latest_revision: 0,
            catalogue: Catalogue::default(),
            standings: BTreeMap::new(),
            counts: Counts::default(),
            beat_at: (FencingToken(0), 0),
            counts_loaded: false,
            user_writes,
            levels: Levels::new(settings.node.clone(), settings.peers.iter().map(|p| p.name.clone())),
            master: None,
            delegate: Delegate::new(settings.node.clone()),
            lease_renewal: LeaseRenewal::new(Bounds::of(settings.workers.hold())),
            relay: Relay::default(),
            isolation_reporter: IsolationReporter::default(),
            served: Served::default(),
            dropped: 0,
            features: Vec::new(),
            started_at: None,
            #[cfg(any(test, feature = "world"))]
            old: false,
            settings,
        }
    }

    /// Takes one input; gives what to do.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Effect> {
        self.now = now.steady;
        self.wall_time = now.wall_time;
        if let Some(master) = &mut self.master {
            master.took(now.took, self.now);
        }
        if self.started_at.is_none() {
            self.started_at = Some(self.now);
            tracing::info!(node = %self.settings.node, "started");
        }
        // What only brings a feature's records up to date leaves the rest of the node as it was.
        let aside = matches!(&input, Input::State { request_id, .. } if self.out.is_aside(*request_id));
        match input {
            Input::Tick => self.tick(),
            Input::Http { request, method, path, body } => self.http(request, method, &path, body),
            Input::State { request_id, reply } => self.state(request_id, reply),
            Input::Cloud { request_id, reply } => self.cloud(request_id, reply),
            Input::Worker { request_id, status, body } => self.worker(request_id, status, &body),
            Input::Peer(envelope) => self.peer(envelope),
            Input::Call { slot, request, call } => self.call(slot, request, call),
        }
        self.latest_revision = self.latest_revision.max(self.mirror.store_revision().unwrap_or(0));
        let changed = self.mirror.take_changed();
        if !changed.is_empty() {
            for id in &changed {
                if self.mirror.verdict(id).is_some() {
                    self.standings.remove(id);
                }
            }
            self.features_learn_jobs(&changed);
            if let Some((master, ctx)) = self.leading() {
                master.jobs_changed(&ctx, changed);
            }
        }
        if aside {
            self.features_pump();
        } else {
            self.pump();
        }
        let fencing_token = self.election.fencing_token();
        self.out.take(fencing_token)
    }

    /// The leader's part and what it may use, if this node has it.
    fn leading(&mut self) -> Option<(&mut Master, Ctx<'_>)> {
        let master = self.master.as_mut()?;
        let ctx = Ctx {
            now: self.now,
            valid: self.election.valid(self.now),
            holds: self.election.leads(),
            fresh_at: self.follower.fresh_at(),
            lease_renewal: &self.lease_renewal,
            heartbeats_delegated: heartbeats_delegated(&self.settings, self.levels.reached()),
            mirror: &mut self.mirror,
            counts: &mut self.counts,
            peers: &mut self.peers,
            catalogue: &mut self.catalogue,
            rng: &mut self.rng,
            out: &mut self.out,
        };
        Some((master, ctx))
    }

    // ---- time ----

    fn tick(&mut self) {
        let now = self.now;
        let patience = Duration::from_millis(self.settings.operator.request_patience_ms);
        for w in self.desk.overdue(now, patience) {
            self.out.refuse(w.request, 503, "the state service does not answer; come back");
        }
        if now >= self.next_ping {
            self.next_ping = now + PING_EVERY;
            let zones = self.peers.zones_heard().iter();
            let ping = PeerMessage::Ping {
                state_ok: self.state_ok(),
                fencing_token_seen: self.highest_fencing_token,
                beat_at: self.beat_at,
                hears_workers: now.since(self.heard_worker) < Duration::from_millis(3000),
                zones_heard: zones.map(|(z, at)| (z.clone(), now.since(*at))).collect(),
            };
            for peer in self.peers.names() {
                self.out.tell(peer, ping.clone());
            }
        }
        let quiet = self.leader_hint.as_ref().is_some_and(|(f, n, at)| {
            *f >= self.highest_fencing_token
                && *n != self.settings.node
                && now.since(*at) < Duration::from_millis(2000)
        });
        let jitter = Duration::from_millis(self.rng.random_range(0..300));
        if let Some(request) =
            self.election.tick(now, quiet || self.mirror.store_revision().is_none(), jitter)
        {
            self.send_election_request(request);
        }
        self.catalogue.tick(now, &mut self.out);
        if !self.counts_loaded && !self.out.waits_for(|p| matches!(p, Pending::Counts)) {
            let request = StateRequest::Range { prefix: COUNTS_PREFIX, after: None, most: COUNTS_PAGE };
            self.out.ask_state(request, Pending::Counts);
        }
        self.levels_tick();
        self.features_tick();
        self.heartbeats_tick();
        let leave = self.leading().and_then(|(master, mut ctx)| master.tick(&mut ctx));
        self.leave(leave);
    }

    fn levels_tick(&mut self) {
        #[cfg(any(test, feature = "world"))]
        if self.old {
            return;
        }
        let fencing_token = self.election.valid(self.now).then(|| self.election.fencing_token());
        if let Some(request) = self.levels.tick(self.now, fencing_token) {
            self.out.ask_state(request, Pending::Levels);
        }
    }

    fn send_election_request(&mut self, request: StateRequest) {
        let patience = if self.election.leads() { LEADER_REQUEST_TIMEOUT } else { CAMPAIGN_REQUEST_TIMEOUT };
        let request_id = self.out.ask_state_for(request, patience);
        self.election.sent(request_id);
    }

    /// Work that any input may have made possible.
    fn pump(&mut self) {
        let fresh_at = self.follower.fresh_at();
        let stocking = self.master.as_ref().is_some_and(|m| m.wants_jobs(fresh_at));
        let wanted = self.desk.wants_read() || stocking || self.features_want_read();
        if self.follower.pump(self.now, self.mirror.store_revision(), wanted, &mut self.out) {
            self.desk.read_begins();
        }
        self.features_pump();
        if let Some((master, mut ctx)) = self.leading() {
            master.pump(&mut ctx);
        }
    }

    fn state_ok(&self) -> bool {
        self.mirror.store_revision().is_some()
            && self.now.since(self.state_ok_at) < Duration::from_millis(2500)
    }

    // ---- HTTP ----

    fn http(&mut self, request: RequestId, method: Method, path: &str, body: Vec<u8>) {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            (Method::Get, ["up"]) => self.up(request),
            (Method::Post, ["v1", "report"]) => self.heartbeat(request, &body),
            (Method::Post, ["submissions"]) => self.submit(request, &body),
            (Method::Get, ["submissions", id]) => self.status(request, id),
            (Method::Post, ["submissions", id, "withdraw"]) => self.ask_to_withdraw(request, id),
            (Method::Get, ["operator", "metrics"]) => {
                let text = self.metrics();
                self.out.answer(request, 200, text);
            }
            (Method::Get, ["operator", "waiting"]) => {
                let text = self.waiting_report();
                self.out.answer(request, 200, text);
            }
            (_, ["up"] | ["submissions"] | ["submissions", _] | ["submissions", _, "withdraw"])
            | (_, ["v1", "report"] | ["operator", "metrics" | "waiting"]) => {
                self.out.refuse(request, 405, "wrong method for this path");
            }
            _ => self.out.refuse(request, 404, "no such path"),
        }
    }

    /// This node can take requests if it reaches the state service, or if no node does: then
    /// being passed over would help nobody, and every answer says when to come back.
    fn up(&mut self, request: RequestId) {
        let loaded = self.mirror.store_revision().is_some();
        if loaded && (self.state_ok() || !self.peers.reach_state(self.now)) {
            self.out.answer(request, 200, "{}".into());
        } else {
            self.out.refuse(request, 503, "this node does not reach the state service");
        }
    }

    // ---- the state service's and the cloud's answers ----

    fn state(&mut self, request_id: RequestId, reply: StateReply) {
        let answered = !matches!(reply, StateReply::Refused | StateReply::Unknown);
        if answered && !self.out.is_aside(request_id) {
            self.state_ok_at = self.now;
        }
        if self.election.owns(request_id) {
            let (turn, next) = self.election.reply(self.now, reply);
            if let Some(request) = next {
                self.send_election_request(request);
            }
            match turn {
                ElectionChange::Won(fencing_token) => self.take_over(fencing_token),
                ElectionChange::Lost => self.step_down("the grant has ended"),
                ElectionChange::Unchanged => {}
            }
            return;
        }
        match self.out.answered(request_id) {
            None => {}
            Some(Pending::Follow(Whose::Feature(slot), read)) => self.feature_read(slot, read, reply),
            Some(Pending::Feature { slot, tag, changes }) => {
                self.feature_committed(slot, tag, changes, reply)
            }
            Some(Pending::Machines { slot, tag }) => self.feature_machines(slot, tag, reply),
            Some(Pending::Follow(Whose::Jobs, read)) => {
                let turn = self.follower.reply(
                    self.now,
                    read,
                    reply,
                    &mut self.mirror,
                    &mut self.rng,
                    &mut self.out,
                );
                if let ReadTurn::ReadEnds(fresh) = turn {
                    if fresh {
                        self.lease_renewal.records_read(self.follower.fresh_at(), self.now);
                    }
                    self.read_ends(fresh);
                }
            }
            Some(Pending::Create { waiting, job }) => self.created(waiting, job, reply),
            Some(Pending::Withdraw { waiting }) => self.withdrawn(waiting, reply),
            Some(Pending::Levels) => self.levels.reply(self.now, reply),
            Some(Pending::Apart) => {} // said again soon
            Some(Pending::Counts) => {
                if let StateReply::Pairs { pairs, .. } = reply {
                    self.counts_loaded = true;
                    for pair in pairs {
                        if let Err(error) = self.counts.add_part(&pair.value) {
                            tracing::error!(key = pair.key, %error, "counts can't be read; skipped");
                        }
                    }
                }
            }
            Some(Pending::Leader(fencing_token, request_id)) => {
                let leave = self.leading().and_then(|(master, mut ctx)| {
                    if master.fencing_token() == fencing_token {
                        master.state(&mut ctx, request_id, reply)
                    } else {
                        None
                    }
                });
                self.leave(leave);
            }
        }
    }

    fn cloud(&mut self, request_id: RequestId, reply: CloudReply) {
        if !self.catalogue.owns(request_id) {
            if let Some((master, mut ctx)) = self.leading() {
                master.cloud(&mut ctx, request_id, reply);
            }
            return;
        }
        if self.catalogue.reply(reply)
            && let Some((master, ctx)) = self.leading()
        {
            master.set_types(ctx.catalogue.types().to_vec(), ctx.now);
        }
    }

    // ---- taking and losing the lead ----

    fn take_over(&mut self, fencing_token: FencingToken) {
        tracing::info!(%fencing_token, "leads now");
        self.latest_revision = self.latest_revision.max(fencing_token.0);
        self.saw_fencing_token(fencing_token);
        let types = self.catalogue.types().to_vec();
        let early = self.delegate.became_leader(self.now);
        self.master = Some(Master::new(self.settings.clone(), fencing_token, self.now, types, early));
        if let Some((master, mut ctx)) = self.leading() {
            master.load(&mut ctx);
        }
    }

    fn step_down(&mut self, why: &str) {
        if let Some(master) = self.master.take() {
            self.served.add(master.into_served());
            self.out.forget_relays();
            tracing::warn!(why, "leads no longer");
        }
    }

    fn leave(&mut self, leave: Option<Leave>) {
        match leave {
            None => {}
            Some(Leave::Lost(why)) => {
                self.election.step_down(self.now);
                self.step_down(why);
            }
            Some(Leave::Resign(why)) => {
                let fencing_token = self.election.fencing_token();
                let request = StateRequest::Commit {
                    conditions: vec![(election::LEADER_KEY.into(), Revision(fencing_token.0))],
                    changes: vec![Change::Delete { key: election::LEADER_KEY.into() }],
                };
                self.out.ask_state(request, Pending::Leader(fencing_token, LeaderRequest::Resign));
                self.election.back_off(self.now, RESIGN_BACK_OFF);
                self.step_down(why);
            }
        }
    }

    // ---- peers ----

    fn peer(&mut self, envelope: Envelope) {
        let Envelope { from, message, .. } = envelope;
        if !self.peers.names().contains(&from) {
            self.dropped += 1;
            return;
        }
        match message {
            PeerMessage::Ping { state_ok, fencing_token_seen, beat_at, hears_workers, zones_heard } => {
                self.saw_fencing_token(fencing_token_seen);
                for (zone, age) in zones_heard {
                    self.peers.heard_zone(&zone, self.now.before(age));
                }
                self.peers.pinged(from, state_ok, beat_at, hears_workers, self.now);
            }
            PeerMessage::StatusBroadcast { fencing_token, beat, jobs, learned } => {
                if !self.heed(fencing_token, &from) {
                    return;
                }
                // Only an unbroken run of beats is taken in; a gap is mended by a table.
                if self.beat_at == (fencing_token, beat.wrapping_sub(1)) {
                    self.beat_at.1 = beat;
                    learned.iter().for_each(|l| self.counts.learn(l));
                    self.take_standings(jobs);
                } else if self.beat_at != (fencing_token, beat) {
                    self.beat_at = (FencingToken(0), 0);
                }
            }
            PeerMessage::StatusSnapshot { fencing_token, beat, jobs, counts } => {
                if self.heed(fencing_token, &from) {
                    self.counts = counts;
                    self.beat_at = (fencing_token, beat);
                    self.standings.clear();
                    self.take_standings(jobs);
                }
            }
            PeerMessage::RoundRequest { fencing_token, block, round, mut machines, asks } => {
                if !self.heed(fencing_token, &from) {
                    return;
                }
                let proposals = placement::round(
                    &mut machines,
                    &asks,
                    &self.counts,
                    &Factors::of(&self.settings.operator),
                    &mut self.rng,
                );
                self.out.tell(&from, PeerMessage::RoundProposals { fencing_token, block, round, proposals });
            }
            PeerMessage::RoundProposals { fencing_token, block, round, proposals } => {
                if let Some((master, mut ctx)) = self.leading() {
                    master.proposals(&mut ctx, &from, fencing_token, block, round, proposals);
                }
            }
            message => self.heartbeat_message(&from, message),
        }
    }

    fn take_standings(&mut self, jobs: Vec<(JobId, u32, u32)>) {
        self.standings.extend(jobs.into_iter().map(|(id, done, running)| (id, (done, running))));
    }

    /// Whether to listen to a leader with `fencing_token`; remembers it for redirects.
    fn heed(&mut self, fencing_token: FencingToken, from: &NodeName) -> bool {
        self.saw_fencing_token(fencing_token);
        if fencing_token < self.highest_fencing_token || !self.is_possible(fencing_token) {
            return false;
        }
        self.leader_hint = Some((fencing_token, from.clone(), self.now));
        true
    }

    /// Whether the state service can have given a fence: fences are its revisions, and each change is one at most. One
    /// report that named 2^64 - 1 would else have every leader step down, for good. A node that has read nothing yet
    /// can't tell, and notes none.
    fn is_possible(&self, fencing_token: FencingToken) -> bool {
        if self.latest_revision == 0 {
            return true;
        }
        let since = self.now.since(self.follower.fresh_at()).as_secs_f64() + 2.0;
        let more = 2.0 * self.settings.state.write_rps * since;
        fencing_token.0 <= self.highest_fencing_token.0.max(self.latest_revision).saturating_add(more as u64)
    }

    /// A higher fence means that somebody else has led since: stop at once. What can't be one says nothing.
    fn saw_fencing_token(&mut self, fencing_token: FencingToken) {
        if fencing_token > self.highest_fencing_token
            && self.latest_revision > 0
            && self.is_possible(fencing_token)
        {
            self.highest_fencing_token = fencing_token;
            if self.election.leads() && self.election.fencing_token() < fencing_token {
                self.election.step_down(self.now);
                self.step_down("a higher fence was seen");
            }
        }
    }

    // ---- for operators ----

    pub(crate) fn metrics(&self) -> String {
        let mut lines = vec![
            format!("pearford_leads {}", u8::from(self.election.leads())),
            format!("pearford_fence {}", self.highest_fencing_token),
            format!("pearford_jobs_known {}", self.mirror.len()),
            format!("pearford_state_requests_open {}", self.out.open()),
            format!("pearford_peer_messages_dropped {}", self.dropped),
            format!("pearford_records_unreadable {}", self.mirror.unreadable()),
        ];
        for (node, level, version) in self.levels.nodes() {
            lines.push(format!("pearford_node_level{{node=\"{node}\",version=\"{version}\"}} {level}"));
        }
        lines.push(format!("pearford_level_reached {}", self.levels.reached()));
        lines.push(format!("pearford_jobs_awaiting {}", self.mirror.graph().waiting()));
        let mut served = self.served.clone();
        if let Some(master) = &self.master {
            master.metrics(&mut lines);
            served.add(master.served().clone());
        }
        served.metrics(&mut lines);
        self.features_metrics(&mut lines);
        lines.join("\n") + "\n"
    }

    /// Why each job waits; the leader knows.
    pub(crate) fn waiting_report(&self) -> String {
        #[derive(serde::Serialize)]
        struct Line<'a> {
            id: &'a str,
            waiting: u32,
            why: &'a str,
            #[serde(skip_serializing_if = "Vec::is_empty")]
            awaits: Vec<&'a JobId>,
        }
        const MOST: usize = 250;
        let waiting = self.master.iter().flat_map(Master::waiting);
        let mut lines: Vec<Line> = waiting
            .take(MOST)
            .map(|(id, waiting, why)| Line { id: id.as_str(), waiting, why, awaits: Vec::new() })
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

/// Least time between reads for users. All requests that wait share one; reads of all nodes together stay
/// within half of the service's rate, or a rush of users would starve the leader's grant.
fn read_pause(settings: &Settings) -> Duration {
    let nodes = (settings.peers.len() + 1) as f64;
    Duration::from_secs_f64(2.0 * nodes / settings.state.rps)
}

/// The version before dependencies, for days on which both serve.
#[cfg(any(test, feature = "world"))]
impl Core {
    /// It announces nothing, ignores `awaits`, and can't read records of dependent jobs.
    pub fn act_like_the_version_before(&mut self) {
        self.old = true;
        self.mirror.skip_dependent = true;
    }

    pub fn sabotage_renewal(&mut self, without: pearford_heartbeat::DisabledCheck) {
        self.lease_renewal.disable(without);
    }

    pub fn sabotage_level(&mut self) {
        self.levels.sabotage_reached();
    }
}

/// Ways to take a guard out, for proving that the test world's checker notices.
#[cfg(any(test, feature = "world"))]
impl Core {
    pub fn sabotage_forget_silent(&mut self, ms: u64) {
        let now = self.now;
        if let Some(master) = &mut self.master {
            master.sabotage_forget_silent(ms, now);
        }
    }

    pub fn sabotage_forget_sent(&mut self) {
        self.master.iter_mut().for_each(Master::sabotage_forget_sent);
    }

    pub fn sabotage_apart(&mut self) {
        self.master.iter_mut().for_each(Master::sabotage_apart);
    }

    pub fn sabotage_unheard(&mut self) {
        self.master.iter_mut().for_each(Master::sabotage_unheard);
    }

    pub fn sabotage_done_early(&mut self) {
        self.master.iter_mut().for_each(Master::sabotage_done_early);
    }

    pub fn sabotage_free_cancelled(&mut self) {
        let now = self.now;
        self.master.iter_mut().for_each(|m| m.sabotage_free_cancelled(now));
    }

    pub fn sabotage_start_early(&mut self) {
        self.master.iter_mut().for_each(Master::sabotage_start_early);
    }

    pub fn sabotage_keep_silent(&mut self) {
        let now = self.now;
        self.master.iter_mut().for_each(|m| m.sabotage_keep_silent(now));
    }

    pub fn sabotage_no_stops(&mut self) {
        self.master.iter_mut().for_each(Master::sabotage_no_stops);
    }

    pub fn sabotage_any_serial(&mut self) {
        self.master.iter_mut().for_each(Master::sabotage_any_serial);
    }

    pub fn sabotage_any_zone(&mut self) {
        self.master.iter_mut().for_each(Master::sabotage_any_zone);
    }

    pub fn sabotage_graph(&mut self, guard: jobs::graph::Guard) {
        self.mirror.take_out(guard);
    }

    /// Whether this node knows that a job is done or withdrawn.
    pub fn knows_over(&self, job: &JobId) -> bool {
        self.mirror.verdict(job).is_some()
    }

    /// The kept sums against a recount from the ground up.
    pub fn sums_hold(&self) -> Result<(), String> {
        self.master.as_ref().map_or(Ok(()), Master::sums_hold)
    }

    pub fn validly_leads(&self, at: crate::types::MonotonicTime) -> bool {
        self.election.valid(at)
    }
}
