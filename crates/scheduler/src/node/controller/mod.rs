//! What every node does: follows the job records, runs for the lead, tells its peers; and hands each
//! input to the part whose duty it is.

mod extensions;
mod heartbeats;
mod users;

use super::catalogue::Catalogue;
use super::leader::{Leader, LeadershipEnd, StepContext, heartbeats_delegated};
use super::outbox::{LeaderRequest, Outbox, Pending, WatchedPrefix};
use super::peers::Peers;
use super::prefix_watcher::{PrefixWatcher, Turn as ReadTurn};
use super::{Effect, Input, Method, Now};
use crate::cluster_version::{ClusterVersion, NodeVersion};
use crate::election::{self, Election, ElectionChange};
use crate::jobs::{self, JobCache, PendingRequests, Served};
use crate::partitions::{Envelope, PeerMessage};
use crate::placement::{self, COUNTS_PREFIX, Factors, SuccessCounts};
use crate::rate_limit::TokenBucket;
use crate::settings::Settings;
use crate::types::{Duration, FencingToken, JobId, MonotonicTime, NodeName, RequestId, Revision, WallTime};
use crate::wire::cloud::CloudReply;
use crate::wire::state::{Change, StoreReply, StoreRequest};
use crate::wire::workers::{self, Heartbeat};
use extensions::Slot;
use heartbeats::Relay;
use pearford_heartbeat::{Bounds, Delegate, HeartbeatPosition, IsolationReporter, LeaseRenewal};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
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

pub struct Controller {
    settings: Arc<Settings>,
    rng: StdRng,
    now: MonotonicTime,
    wall_time: WallTime,
    out: Outbox,
    job_cache: JobCache,
    job_watcher: PrefixWatcher,
    pending_requests: PendingRequests,
    election: Election,
    store_answered_at: MonotonicTime,
    peers: Peers,
    next_ping: MonotonicTime,
    /// Last report that this node, not leading, had to turn away.
    worker_turned_away_at: MonotonicTime,
    leader_hint: Option<(FencingToken, NodeName, MonotonicTime)>,
    highest_fencing_token: FencingToken,
    /// The state service's revision, as far as this node has ever known.
    latest_revision: u64,
    catalogue: Catalogue,
    /// How jobs stand, as the leader told last.
    job_counts: BTreeMap<JobId, (u32, u32)>,
    success_counts: SuccessCounts,
    broadcast_seen: (FencingToken, u64),
    counts_loaded: bool,
    user_writes: TokenBucket,
    cluster_version: ClusterVersion,
    leader: Option<Leader>,
    delegate: Delegate,
    lease_renewal: LeaseRenewal,
    relay: Relay,
    isolation_reporter: IsolationReporter,
    served: Served,
    /// Messages in the name of nodes that are none of its peers.
    dropped: u64,
    extensions: Vec<Slot>,
    started_at: Option<MonotonicTime>,
    #[cfg(any(test, feature = "world"))]
    old: bool,
}

impl Controller {
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
        let user_writes = TokenBucket::bursting((user_rate / nodes).max(1.0), user_rate);
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: MonotonicTime::default(),
            wall_time: WallTime(0),
            out: Outbox::new(settings.node.clone()),
            job_cache: JobCache::default(),
            job_watcher: PrefixWatcher::new(WatchedPrefix::Jobs, jobs::PREFIX, read_pause(&settings)),
            pending_requests: PendingRequests::default(),
            election,
            store_answered_at: MonotonicTime::default(),
            peers: Peers::new(&settings.peers),
            next_ping: MonotonicTime::default(),
            worker_turned_away_at: MonotonicTime::default(),
            leader_hint: None,
            highest_fencing_token: FencingToken(0),
            latest_revision: 0,
            catalogue: Catalogue::default(),
            job_counts: BTreeMap::new(),
            success_counts: SuccessCounts::default(),
            broadcast_seen: (FencingToken(0), 0),
            counts_loaded: false,
            user_writes,
            cluster_version: ClusterVersion::new(
                settings.node.clone(),
                settings.peers.iter().map(|p| p.name.clone()),
            ),
            leader: None,
            delegate: Delegate::new(settings.node.clone()),
            lease_renewal: LeaseRenewal::new(Bounds::of(settings.workers.answer_window())),
            relay: Relay::default(),
            isolation_reporter: IsolationReporter::default(),
            served: Served::default(),
            dropped: 0,
            extensions: Vec::new(),
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
        if let Some(leader) = &mut self.leader {
            leader.took(now.took, self.now);
        }
        if self.started_at.is_none() {
            self.started_at = Some(self.now);
            tracing::info!(node = %self.settings.node, "started");
        }
        // What only brings a feature's records up to date leaves the rest of the node as it was.
        let aside = matches!(&input, Input::Store { request_id, .. } if self.out.is_aside(*request_id));
        match input {
            Input::Tick => self.tick(),
            Input::Http { request, method, path, body } => self.http(request, method, &path, body),
            Input::Store { request_id, reply } => self.state(request_id, reply),
            Input::Cloud { request_id, reply } => self.cloud(request_id, reply),
            Input::Worker { request_id, status, body } => self.worker(request_id, status, &body),
            Input::Peer(envelope) => self.peer(envelope),
            Input::Call { slot, request, call } => self.call(slot, request, call),
        }
        self.latest_revision = self.latest_revision.max(self.job_cache.store_revision().unwrap_or(0));
        let changed = self.job_cache.take_changed();
        if !changed.is_empty() {
            for id in &changed {
                if self.job_cache.terminal_status(id).is_some() {
                    self.job_counts.remove(id);
                }
            }
            self.extensions_learn_jobs(&changed);
            if let Some((leader, context)) = self.leading() {
                leader.jobs_changed(&context, changed);
            }
        }
        if aside {
            self.extensions_pump();
        } else {
            self.pump();
        }
        let fencing_token = self.election.fencing_token();
        self.out.take(fencing_token)
    }

    /// The leader's part and what it may use, if this node has it.
    fn leading(&mut self) -> Option<(&mut Leader, StepContext<'_>)> {
        let leader = self.leader.as_mut()?;
        let context = StepContext {
            now: self.now,
            valid: self.election.valid(self.now),
            holds: self.election.leads(),
            fresh_at: self.job_watcher.fresh_at(),
            lease_renewal: &self.lease_renewal,
            heartbeats_delegated: heartbeats_delegated(&self.settings, self.cluster_version.reached()),
            job_cache: &mut self.job_cache,
            success_counts: &mut self.success_counts,
            peers: &mut self.peers,
            catalogue: &mut self.catalogue,
            rng: &mut self.rng,
            out: &mut self.out,
        };
        Some((leader, context))
    }

    // ---- time ----

    fn tick(&mut self) {
        let now = self.now;
        let timeout = Duration::from_millis(self.settings.operator.request_patience_ms);
        for w in self.pending_requests.take_timed_out(now, timeout) {
            self.out.refuse(w.request, 503, "the state service does not answer; come back");
        }
        if now >= self.next_ping {
            self.next_ping = now + PING_EVERY;
            let zones = self.peers.zones_heard().iter();
            let ping = PeerMessage::Ping {
                store_reachable: self.store_reachable(),
                fencing_token_seen: self.highest_fencing_token,
                broadcast_seen: self.broadcast_seen,
                hears_workers: now.since(self.worker_turned_away_at) < Duration::from_millis(3000),
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
            self.election.tick(now, quiet || self.job_cache.store_revision().is_none(), jitter)
        {
            self.send_election_request(request);
        }
        self.catalogue.tick(now, &mut self.out);
        if !self.counts_loaded && !self.out.waits_for(|p| matches!(p, Pending::SuccessCounts)) {
            let request = StoreRequest::Range { prefix: COUNTS_PREFIX, after: None, most: COUNTS_PAGE };
            self.out.request_store(request, Pending::SuccessCounts);
        }
        self.levels_tick();
        self.extensions_tick();
        self.heartbeats_tick();
        let end_leadership = self.leading().and_then(|(leader, mut context)| leader.tick(&mut context));
        self.end_leadership(end_leadership);
    }

    fn levels_tick(&mut self) {
        #[cfg(any(test, feature = "world"))]
        if self.old {
            return;
        }
        let fencing_token = self.election.valid(self.now).then(|| self.election.fencing_token());
        if let Some(request) = self.cluster_version.tick(self.now, fencing_token) {
            self.out.request_store(request, Pending::ClusterVersion);
        }
    }

    fn send_election_request(&mut self, request: StoreRequest) {
        let timeout = if self.election.leads() { LEADER_REQUEST_TIMEOUT } else { CAMPAIGN_REQUEST_TIMEOUT };
        let request_id = self.out.request_store_with_timeout(request, timeout);
        self.election.sent(request_id);
    }

    /// Work that any input may have made possible.
    fn pump(&mut self) {
        let fresh_at = self.job_watcher.fresh_at();
        let loading = self.leader.as_ref().is_some_and(|m| m.wants_jobs(fresh_at));
        let wanted = self.pending_requests.needs_read() || loading || self.extensions_want_read();
        if self.job_watcher.pump(self.now, self.job_cache.store_revision(), wanted, &mut self.out) {
            self.pending_requests.begin_read();
        }
        self.extensions_pump();
        if let Some((leader, mut context)) = self.leading() {
            leader.pump(&mut context);
        }
    }

    fn store_reachable(&self) -> bool {
        self.job_cache.store_revision().is_some()
            && self.now.since(self.store_answered_at) < Duration::from_millis(2500)
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
        let loaded = self.job_cache.store_revision().is_some();
        if loaded && (self.store_reachable() || !self.peers.any_reaches_store(self.now)) {
            self.out.answer(request, 200, "{}".into());
        } else {
            self.out.refuse(request, 503, "this node does not reach the state service");
        }
    }

    // ---- the state service's and the cloud's answers ----

    fn state(&mut self, request_id: RequestId, reply: StoreReply) {
        let answered = !matches!(reply, StoreReply::Refused | StoreReply::Unknown);
        if answered && !self.out.is_aside(request_id) {
            self.store_answered_at = self.now;
        }
        if self.election.owns(request_id) {
            let election_step = self.election.reply(self.now, reply);
            if let Some(request) = election_step.next_request {
                self.send_election_request(request);
            }
            match election_step.change {
                ElectionChange::Won(fencing_token) => self.take_over(fencing_token),
                ElectionChange::Lost => self.step_down("the grant has ended"),
                ElectionChange::Unchanged => {}
            }
            return;
        }
        match self.out.answered(request_id) {
            None => {}
            Some(Pending::Follow(WatchedPrefix::Extension(slot), read)) => {
                self.extension_read(slot, read, reply)
            }
            Some(Pending::Extension { slot, tag, changes }) => {
                self.extension_committed(slot, tag, changes, reply)
            }
            Some(Pending::Machines { slot, tag }) => self.extension_machines(slot, tag, reply),
            Some(Pending::Follow(WatchedPrefix::Jobs, read)) => {
                let turn = self.job_watcher.reply(
                    self.now,
                    read,
                    reply,
                    &mut self.job_cache,
                    &mut self.rng,
                    &mut self.out,
                );
                if let ReadTurn::ReadEnds(fresh) = turn {
                    if fresh {
                        self.lease_renewal.records_read(self.job_watcher.fresh_at(), self.now);
                    }
                    self.read_ends(fresh);
                }
            }
            Some(Pending::Create { waiting, job }) => self.created(waiting, job, reply),
            Some(Pending::Cancel { waiting }) => self.cancelled(waiting, reply),
            Some(Pending::ClusterVersion) => self.cluster_version.reply(self.now, reply),
            Some(Pending::Apart) => {} // said again soon
            Some(Pending::SuccessCounts) => {
                if let StoreReply::Pairs { pairs, .. } = reply {
                    self.counts_loaded = true;
                    for pair in pairs {
                        if let Err(error) = self.success_counts.add_part(&pair.value) {
                            tracing::error!(key = pair.key, %error, "counts can't be read; skipped");
                        }
                    }
                }
            }
            Some(Pending::Leader(fencing_token, request_id)) => {
                let end_leadership = self.leading().and_then(|(leader, mut context)| {
                    if leader.fencing_token() == fencing_token {
                        leader.store_reply(&mut context, request_id, reply)
                    } else {
                        None
                    }
                });
                self.end_leadership(end_leadership);
            }
        }
    }

    fn cloud(&mut self, request_id: RequestId, reply: CloudReply) {
        if !self.catalogue.owns(request_id) {
            if let Some((leader, mut context)) = self.leading() {
                leader.cloud_reply(&mut context, request_id, reply);
            }
            return;
        }
        if self.catalogue.reply(reply)
            && let Some((leader, context)) = self.leading()
        {
            leader.set_types(context.catalogue.types().to_vec(), context.now);
        }
    }

    // ---- taking and losing the lead ----

    fn take_over(&mut self, fencing_token: FencingToken) {
        tracing::info!(%fencing_token, "leads now");
        self.latest_revision = self.latest_revision.max(fencing_token.0);
        self.saw_fencing_token(fencing_token);
        let types = self.catalogue.types().to_vec();
        let early_heartbeats = self.delegate.became_leader(self.now);
        self.leader =
            Some(Leader::new(self.settings.clone(), fencing_token, self.now, types, early_heartbeats));
        if let Some((leader, mut context)) = self.leading() {
            leader.load(&mut context);
        }
    }

    fn step_down(&mut self, reason: &str) {
        if let Some(leader) = self.leader.take() {
            self.served.add(leader.into_served());
            self.out.forget_relays();
            tracing::warn!(reason, "leads no longer");
        }
    }

    fn end_leadership(&mut self, end_leadership: Option<LeadershipEnd>) {
        match end_leadership {
            None => {}
            Some(LeadershipEnd::Lost(reason)) => {
                self.election.step_down(self.now);
                self.step_down(reason.as_str());
            }
            Some(LeadershipEnd::Resign(reason)) => {
                let fencing_token = self.election.fencing_token();
                let request = StoreRequest::Commit {
                    conditions: vec![(election::LEADER_KEY.into(), Revision(fencing_token.0))],
                    changes: vec![Change::Delete { key: election::LEADER_KEY.into() }],
                };
                self.out.request_store(request, Pending::Leader(fencing_token, LeaderRequest::Resign));
                self.election.back_off(self.now, RESIGN_BACK_OFF);
                self.step_down(reason.as_str());
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
            PeerMessage::Ping {
                store_reachable,
                fencing_token_seen,
                broadcast_seen,
                hears_workers,
                zones_heard,
            } => {
                self.saw_fencing_token(fencing_token_seen);
                for (zone, age) in zones_heard {
                    self.peers.heard_zone(&zone, self.now.before(age));
                }
                self.peers.pinged(from, store_reachable, broadcast_seen, hears_workers, self.now);
            }
            PeerMessage::StatusBroadcast { fencing_token, broadcast, jobs, placement_outcomes } => {
                if !self.heed(fencing_token, &from) {
                    return;
                }
                // Only an unbroken run of beats is taken in; a gap is mended by a table.
                if self.broadcast_seen == (fencing_token, broadcast.wrapping_sub(1)) {
                    self.broadcast_seen.1 = broadcast;
                    placement_outcomes.iter().for_each(|l| self.success_counts.learn(l));
                    self.take_job_counts(jobs);
                } else if self.broadcast_seen != (fencing_token, broadcast) {
                    self.broadcast_seen = (FencingToken(0), 0);
                }
            }
            PeerMessage::StatusSnapshot { fencing_token, broadcast, jobs, success_counts } => {
                if self.heed(fencing_token, &from) {
                    self.success_counts = success_counts;
                    self.broadcast_seen = (fencing_token, broadcast);
                    self.job_counts.clear();
                    self.take_job_counts(jobs);
                }
            }
            PeerMessage::RoundRequest { fencing_token, partition, round, mut machines, requests } => {
                if !self.heed(fencing_token, &from) {
                    return;
                }
                let proposals = placement::round(
                    &mut machines,
                    &requests,
                    &self.success_counts,
                    &Factors::of(&self.settings.operator),
                    &mut self.rng,
                );
                self.out
                    .tell(&from, PeerMessage::RoundProposals { fencing_token, partition, round, proposals });
            }
            PeerMessage::RoundProposals { fencing_token, partition, round, proposals } => {
                if let Some((leader, mut context)) = self.leading() {
                    leader.proposals(&mut context, &from, fencing_token, partition, round, proposals);
                }
            }
            message => self.heartbeat_message(&from, message),
        }
    }

    fn take_job_counts(&mut self, jobs: Vec<(JobId, u32, u32)>) {
        self.job_counts.extend(jobs.into_iter().map(|(id, done, running)| (id, (done, running))));
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
        let since = self.now.since(self.job_watcher.fresh_at()).as_secs_f64() + 2.0;
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
            format!("pearford_jobs_known {}", self.job_cache.len()),
            format!("pearford_state_requests_open {}", self.out.open()),
            format!("pearford_peer_messages_dropped {}", self.dropped),
            format!("pearford_records_unreadable {}", self.job_cache.unreadable_count()),
        ];
        for NodeVersion { node, level, version } in self.cluster_version.nodes() {
            lines.push(format!("pearford_node_level{{node=\"{node}\",version=\"{version}\"}} {level}"));
        }
        lines.push(format!("pearford_level_reached {}", self.cluster_version.reached()));
        lines.push(format!("pearford_jobs_awaiting {}", self.job_cache.graph().waiting_count()));
        let mut served = self.served.clone();
        if let Some(leader) = &self.leader {
            leader.metrics(&mut lines);
            served.add(leader.served().clone());
        }
        served.metrics(&mut lines);
        self.extensions_metrics(&mut lines);
        lines.join("\n") + "\n"
    }

    /// Why each job waits; the leader knows.
    pub(crate) fn waiting_report(&self) -> String {
        #[derive(serde::Serialize)]
        struct Line<'a> {
            id: &'a str,
            waiting: u32,
            #[serde(rename = "why")]
            reason: &'a str,
            #[serde(skip_serializing_if = "Vec::is_empty")]
            awaits: Vec<&'a JobId>,
        }
        const MOST: usize = 250;
        let waiting = self.leader.iter().flat_map(Leader::waiting);
        let mut lines: Vec<Line> = waiting
            .take(MOST)
            .map(|(id, waiting, reason)| Line {
                id: id.as_str(),
                waiting,
                reason: reason.as_str(),
                awaits: Vec::new(),
            })
            .collect();
        // Which jobs wait for others follows from the records: every node knows.
        let graph = self.job_cache.graph();
        lines.extend(graph.waiting_ids().take(MOST).map(|id| Line {
            id: id.as_str(),
            waiting: self.job_cache.get(id).and_then(|k| k.record.open()).map_or(0, |j| j.spec.tasks),
            reason: jobs::WaitingReason::Dependencies.as_str(),
            awaits: graph.unfinished_dependencies(id).into_iter().take(8).collect(),
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
impl Controller {
    /// It announces nothing, ignores `awaits`, and can't read records of dependent jobs.
    pub fn act_like_the_version_before(&mut self) {
        self.old = true;
        self.job_cache.skip_dependent = true;
    }

    pub fn sabotage_renewal(&mut self, without: pearford_heartbeat::DisabledCheck) {
        self.lease_renewal.disable(without);
    }

    pub fn sabotage_level(&mut self) {
        self.cluster_version.assume_current_level();
    }
}

/// Ways to take a guard out, for proving that the test world's checker notices.
#[cfg(any(test, feature = "world"))]
impl Controller {
    pub fn sabotage_forget_silent(&mut self, ms: u64) {
        let now = self.now;
        if let Some(leader) = &mut self.leader {
            leader.inject_forgetting_silent_machines(Duration::from_millis(ms), now);
        }
    }

    pub fn sabotage_forget_sent(&mut self) {
        self.leader.iter_mut().for_each(Leader::inject_forgetting_sent_starts);
    }

    pub fn sabotage_apart(&mut self) {
        self.leader.iter_mut().for_each(Leader::disable_isolation_reports);
    }

    pub fn sabotage_unheard(&mut self) {
        self.leader.iter_mut().for_each(Leader::inject_loss_of_unheard_machines);
    }

    pub fn sabotage_done_early(&mut self) {
        self.leader.iter_mut().for_each(Leader::inject_early_completion);
    }

    pub fn sabotage_free_cancelled(&mut self) {
        let now = self.now;
        self.leader.iter_mut().for_each(|m| m.inject_freeing_of_stopping_tasks(now));
    }

    pub fn sabotage_start_early(&mut self) {
        self.leader.iter_mut().for_each(Leader::disable_record_before_start);
    }

    pub fn sabotage_keep_silent(&mut self) {
        let now = self.now;
        self.leader.iter_mut().for_each(|m| m.disable_silence_detection(now));
    }

    pub fn sabotage_no_stops(&mut self) {
        self.leader.iter_mut().for_each(Leader::disable_stops);
    }

    pub fn sabotage_any_serial(&mut self) {
        self.leader.iter_mut().for_each(Leader::disable_heartbeat_order);
    }

    pub fn sabotage_any_zone(&mut self) {
        self.leader.iter_mut().for_each(Leader::disable_zone_binding);
    }

    pub fn sabotage_graph(&mut self, guard: jobs::graph::DependencyCheck) {
        self.job_cache.disable(guard);
    }

    /// Whether this node knows that a job is done or withdrawn.
    pub fn knows_over(&self, job: &JobId) -> bool {
        self.job_cache.terminal_status(job).is_some()
    }

    /// The kept sums against a recount from the ground up.
    pub fn sums_hold(&self) -> Result<(), String> {
        self.leader.as_ref().map_or(Ok(()), Leader::check_totals)
    }

    pub fn validly_leads(&self, at: crate::types::MonotonicTime) -> bool {
        self.election.valid(at)
    }
}
