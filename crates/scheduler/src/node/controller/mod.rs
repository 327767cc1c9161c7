//! The controller: the state machine that every node runs, leader or not.
//!
//! [`Controller::step`] takes one [`Input`] and returns the [`Effect`]s to execute. Each concern has its
//! own file with an `impl Controller`:
//!
//! - `http_api`: routes requests of users, operators and workers;
//! - `users`: submissions, status requests and cancellations;
//! - `heartbeats`: workers' heartbeats, answered as the leader, as its delegate, or redirected;
//! - `relay`: commands to workers that this node forwards for the leader;
//! - `store_replies`: replies of the key-value store, and the reads that keep the job cache up to date;
//! - `leadership`: winning, losing and resigning the leadership;
//! - `fencing_tokens`: which fencing tokens are accepted, and which leader they identify;
//! - `peer_messages`: messages of the other controllers;
//! - `operator_pages`: metrics and the report of waiting jobs;
//! - `extensions`: runs the features outside the core, such as the Nomad API.

mod extensions;
#[cfg(any(test, feature = "simulation"))]
mod fault_injection;
mod fencing_tokens;
mod heartbeats;
mod http_api;
mod leadership;
mod operator_pages;
mod peer_messages;
mod relay;
mod store_replies;
mod users;

#[cfg(any(test, feature = "simulation"))]
pub use fault_injection::DisabledCheck;

use super::catalogue::Catalogue;
use super::leader::{Leader, StepContext, heartbeats_delegated};
use super::outbox::{Outbox, Pending, WatchedPrefix};
use super::peers::Peers;
use super::prefix_watcher::PrefixWatcher;
use super::{Effect, Input, Now};
use crate::cluster_version::ClusterVersion;
use crate::election::Election;
use crate::jobs::{self, JobCache, JobCounters, PendingRequests, TaskCounts};
use crate::peer_messages::BroadcastPosition;
use crate::placement::SuccessCounts;
use crate::rate_limit::TokenBucket;
use crate::settings::Settings;
use crate::types::{Duration, FencingToken, JobId, MonotonicTime, RequestId, WallTime};
use crate::wire::cloud::CloudReply;
use extensions::ExtensionSlot;
use fencing_tokens::LeaderHint;
use heartbeats::DeferredHeartbeat;
use pearford_heartbeat::{Delegate, IsolationReporter, LeaseRenewal, RenewalBounds};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use relay::Relay;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Exclusive upper bound of the random delay before this node campaigns for the leadership, in ms.
const CAMPAIGN_JITTER_MS: u64 = 300;

/// The state machine of one node.
pub struct Controller {
    settings: Arc<Settings>,
    rng: StdRng,
    /// Monotonic clock at the current step.
    now: MonotonicTime,
    /// Wall clock at the current step.
    wall_time: WallTime,
    /// When the first step was taken.
    started_at: Option<MonotonicTime>,
    outbox: Outbox,

    /// This node's copy of the job records.
    job_cache: JobCache,
    /// Keeps `job_cache` up to date.
    job_watcher: PrefixWatcher,
    /// Users' requests that wait for a read of the job records.
    pending_requests: PendingRequests,
    /// Limits the writes of users' requests to this node's share of their rate.
    user_writes: TokenBucket,
    /// Task counts of open jobs, from the leader's latest broadcasts.
    job_counts: BTreeMap<JobId, TaskCounts>,
    /// Successes and failures of tasks by machine and class of jobs; used for placement.
    success_counts: SuccessCounts,
    /// Whether the stored success counts have been read.
    success_counts_loaded: bool,
    /// This node has applied all of the leader's status broadcasts up to this position.
    broadcast_seen: BroadcastPosition,
    /// Counts of users' jobs by stage, for the metrics.
    job_counters: JobCounters,

    /// When the key-value store last replied. Reads that only update extensions' records don't count.
    store_answered_at: MonotonicTime,
    /// Highest revision of the key-value store that this node knows of.
    latest_revision: u64,
    /// Highest fencing token accepted from any source.
    highest_fencing_token: FencingToken,
    election: Election,
    /// The leader's state, while this node leads.
    leader: Option<Leader>,
    /// The leader from which this node last received a message.
    leader_hint: Option<LeaderHint>,

    peers: Peers,
    next_ping: MonotonicTime,
    /// Number of messages dropped because their sender is not a peer.
    peer_messages_dropped: u64,
    /// The feature level that every node is known to support.
    cluster_version: ClusterVersion,

    /// Answers heartbeats on the leader's behalf.
    delegate: Delegate,
    /// Decides whether an answer to a heartbeat may renew the worker's lease.
    lease_renewal: LeaseRenewal,
    /// Reports through the key-value store how many workers this node answers while it is isolated from the
    /// leader.
    isolation_reporter: IsolationReporter,
    /// Heartbeats that arrived while no leader was known, in order of arrival.
    deferred_heartbeats: VecDeque<DeferredHeartbeat>,
    /// When this node last received a heartbeat that it could not answer itself.
    heartbeat_unanswered_at: MonotonicTime,
    relay: Relay,

    /// Machine types that the cloud offers.
    catalogue: Catalogue,
    extensions: Vec<ExtensionSlot>,
    /// Faults that the simulation has injected here.
    #[cfg(any(test, feature = "simulation"))]
    injected_faults: fault_injection::InjectedFaults,
}

impl Controller {
    /// Creates a controller that has read nothing yet. `seed` determines all its random numbers.
    pub fn new(settings: Arc<Settings>, seed: u64) -> Self {
        let operator = &settings.operator;
        let election = Election::new(
            settings.node.clone(),
            Duration::from_millis(operator.leader_grant_ms),
            Duration::from_millis(operator.leader_renew_ms),
        );
        let peer_names = settings.peers.iter().map(|peer| peer.name.clone());
        let cluster_version = ClusterVersion::new(settings.node.clone(), peer_names);
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: MonotonicTime::default(),
            wall_time: WallTime(0),
            started_at: None,
            outbox: Outbox::new(settings.node.clone()),
            job_cache: JobCache::default(),
            job_watcher: PrefixWatcher::new(WatchedPrefix::Jobs, jobs::PREFIX, read_interval(&settings)),
            pending_requests: PendingRequests::default(),
            user_writes: user_write_budget(&settings),
            job_counts: BTreeMap::new(),
            success_counts: SuccessCounts::default(),
            success_counts_loaded: false,
            broadcast_seen: BroadcastPosition::NONE,
            job_counters: JobCounters::default(),
            store_answered_at: MonotonicTime::default(),
            latest_revision: 0,
            highest_fencing_token: FencingToken(0),
            election,
            leader: None,
            leader_hint: None,
            peers: Peers::new(&settings.peers),
            next_ping: MonotonicTime::default(),
            peer_messages_dropped: 0,
            cluster_version,
            delegate: Delegate::new(settings.node.clone()),
            lease_renewal: LeaseRenewal::new(RenewalBounds::with_answer_window(
                settings.workers.answer_window(),
            )),
            isolation_reporter: IsolationReporter::default(),
            deferred_heartbeats: VecDeque::new(),
            heartbeat_unanswered_at: MonotonicTime::default(),
            relay: Relay::default(),
            catalogue: Catalogue::default(),
            extensions: Vec::new(),
            #[cfg(any(test, feature = "simulation"))]
            injected_faults: fault_injection::InjectedFaults::default(),
            settings,
        }
    }

    /// Processes one input and returns the effects to execute, in order.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Effect> {
        self.start_step(now);
        // A reply that only updates an extension's copy of records doesn't affect the rest of the node.
        let extension_only = matches!(
            &input,
            Input::Store { request_id, .. } if self.outbox.is_extension_read(*request_id)
        );
        match input {
            Input::Tick => self.tick(),
            Input::Http { request, method, path, body } => self.http_request(request, method, &path, body),
            Input::Store { request_id, reply } => self.store_reply(request_id, reply),
            Input::Cloud { request_id, reply } => self.cloud_reply(request_id, reply),
            Input::Worker { request_id, status, body } => self.worker_reply(request_id, status, &body),
            Input::Peer(envelope) => self.peer_message(envelope),
            Input::Call { slot, request, call } => self.extension_call(slot, request, call),
        }
        self.latest_revision = self.latest_revision.max(self.job_cache.store_revision().unwrap_or(0));
        self.announce_changed_jobs();
        if extension_only {
            self.update_extensions();
        } else {
            self.start_ready_work();
        }
        let fencing_token = self.election.fencing_token();
        self.outbox.take(fencing_token)
    }

    fn start_step(&mut self, now: Now) {
        self.now = now.monotonic;
        self.wall_time = now.wall_time;
        if let Some(leader) = &mut self.leader {
            leader.record_step_cost(now.last_step_duration, self.now);
        }
        if self.started_at.is_none() {
            self.started_at = Some(self.now);
            tracing::info!(node = %self.settings.node, "started");
        }
    }

    /// Passes the jobs that changed in this step to the extensions and the leader.
    fn announce_changed_jobs(&mut self) {
        let changed = self.job_cache.take_changed();
        if changed.is_empty() {
            return;
        }
        for id in &changed {
            if self.job_cache.terminal_status(id).is_some() {
                self.job_counts.remove(id);
            }
        }
        self.announce_jobs_to_extensions(&changed);
        if let Some((leader, context)) = self.leader_and_context() {
            leader.jobs_changed(&context, changed);
        }
    }

    /// The leader's state, and the parts of this node that it uses in a step; `None` while this node is not
    /// leader.
    fn leader_and_context(&mut self) -> Option<(&mut Leader, StepContext<'_>)> {
        let leader = self.leader.as_mut()?;
        let context = StepContext {
            now: self.now,
            lease_valid: self.election.has_valid_lease(self.now),
            in_leader_role: self.election.is_leader(),
            jobs_read_at: self.job_watcher.fresh_at(),
            lease_renewal: &self.lease_renewal,
            heartbeats_delegated: heartbeats_delegated(&self.settings, self.cluster_version.reached()),
            job_cache: &mut self.job_cache,
            success_counts: &mut self.success_counts,
            peers: &mut self.peers,
            catalogue: &mut self.catalogue,
            rng: &mut self.rng,
            outbox: &mut self.outbox,
        };
        Some((leader, context))
    }

    /// Does the work that is due at certain times. The order of these calls is part of the behaviour: it
    /// determines the order of the effects and of the random numbers.
    fn tick(&mut self) {
        self.refuse_overdue_requests();
        self.ping_peers();
        self.tick_election();
        self.catalogue.tick(self.now, &mut self.outbox);
        self.load_success_counts();
        self.tick_cluster_version();
        self.tick_extensions();
        self.tick_heartbeats();
        let leadership_end =
            self.leader_and_context().and_then(|(leader, mut context)| leader.tick(&mut context));
        self.end_leadership(leadership_end);
    }

    fn tick_election(&mut self) {
        let has_recent_leader = self.has_recent_leader();
        let jitter = Duration::from_millis(self.rng.random_range(0..CAMPAIGN_JITTER_MS));
        let jobs_unread = self.job_cache.store_revision().is_none();
        if let Some(request) = self.election.tick(self.now, has_recent_leader || jobs_unread, jitter) {
            self.send_election_request(request);
        }
    }

    fn tick_cluster_version(&mut self) {
        #[cfg(any(test, feature = "simulation"))]
        if self.injected_faults.previous_version {
            return;
        }
        let fencing_token = self.election.has_valid_lease(self.now).then(|| self.election.fencing_token());
        if let Some(request) = self.cluster_version.tick(self.now, fencing_token) {
            self.outbox.request_store(request, Pending::ClusterVersion);
        }
    }

    /// Starts the work that this step's input may have made possible.
    fn start_ready_work(&mut self) {
        self.send_job_record_reads();
        self.update_extensions();
        if let Some((leader, mut context)) = self.leader_and_context() {
            leader.advance(&mut context);
        }
    }

    fn cloud_reply(&mut self, request_id: RequestId, reply: CloudReply) {
        if !self.catalogue.owns(request_id) {
            if let Some((leader, mut context)) = self.leader_and_context() {
                leader.cloud_reply(&mut context, request_id, reply);
            }
            return;
        }
        if self.catalogue.reply(reply)
            && let Some((leader, context)) = self.leader_and_context()
        {
            leader.set_types(context.catalogue.types().to_vec(), context.now);
        }
    }

    /// Time since this node's first step.
    fn uptime(&self) -> Duration {
        self.now.since(self.started_at.unwrap_or(self.now))
    }
}

/// Minimum time between reads for users' requests; all waiting requests share one read. The reads of all
/// nodes together stay within half of the store's request rate. Otherwise a burst of users' requests would
/// keep the leader from renewing its lease.
fn read_interval(settings: &Settings) -> Duration {
    Duration::from_secs_f64(2.0 * node_count(settings) / settings.state.rps)
}

/// Each node has an equal share of the users' write rate, but may use one second of the whole rate in a
/// burst: the jobs of a pipeline arrive over one connection, and bursts on several nodes at the same time are
/// rare.
fn user_write_budget(settings: &Settings) -> TokenBucket {
    let user_rate = (settings.state.write_rps * settings.operator.user_write_share).max(1.0);
    TokenBucket::with_burst((user_rate / node_count(settings)).max(1.0), user_rate)
}

/// Number of nodes of the service, as floating point for rates.
fn node_count(settings: &Settings) -> f64 {
    (settings.peers.len() + 1) as f64
}
