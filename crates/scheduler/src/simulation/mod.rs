//! The seeded test world: three cores against stand-ins of the state service, the cloud, workers
//! and users, with delays, late delivery, cuts, crashes, hangs and outages. `rules` checks every
//! rule after each step, from what the stand-ins see and never from the cores' own books.

mod bad_records;
mod close_reads;
mod cloud;
mod combined_faults;
pub mod days;
mod digest;
mod directed;
mod fields;
mod golden;
mod isolated_leader;
mod recovery;
mod rules;
mod store;
mod tests;
mod waiting;
mod workers;

use crate::extension::{Call, Extension};
use crate::node::{Controller, Effect, Input, Method, Now};
use crate::settings::{Settings, SourceFile, parse};
use crate::types::{Duration, MonotonicTime, RequestId, WallTime};
use crate::wire::state::StoreRequest;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rules::Rules;
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::ops::Range;
use std::sync::Arc;

pub const NODES: usize = 3;
const TICK: u64 = 50;
/// How late what was sent may come a second time.
const AGAIN_MS: u64 = 20_000;

/// An end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    Node(usize),
    State,
    Cloud,
    Machine(usize),
    User,
}

/// What happens at a set time.
#[derive(Debug)]
pub enum Event {
    Tick(usize, u64),
    /// An input for node life `.1` of node `.0`.
    Input(usize, u64, Input),
    State {
        from: usize,
        life: u64,
        request_id: RequestId,
        request: crate::wire::state::StoreRequest,
    },
    /// The state service's answer to a node is ready at last.
    Slow(usize, Box<Event>),
    /// A transaction that got no answer is carried out.
    LateWrite(crate::wire::state::StoreRequest),
    WatchEnds(u64),
    Cloud {
        from: usize,
        life: u64,
        request_id: RequestId,
        request: crate::wire::cloud::CloudRequest,
    },
    Direct {
        from: usize,
        life: u64,
        request_id: RequestId,
        addr: String,
        body: String,
    },
    Timeout {
        node: usize,
        life: u64,
        request_id: RequestId,
        kind: Kind,
    },
    Restart(usize),
    Worker(usize),
    ReportAnswer {
        machine: usize,
        worker_epoch: u64,
        sent: u64,
        node: usize,
        status: u16,
        body: String,
        heartbeat: u64,
    },
    ReportTimeout {
        machine: usize,
        heartbeat: u64,
    },
    /// A user that looks closely, or oddly, sends its request.
    CloseRead(close_reads::CloseRead),
    CloseReadAnswer {
        close_read: close_reads::CloseRead,
        before: rules::Known,
        node: usize,
        status: u16,
        body: String,
    },
    /// Odd requests go on.
    Odd,
    /// A copy of a report comes to a node.
    ReportAgain {
        machine: usize,
        node: usize,
        body: String,
    },
    User(usize),
    UserAnswer {
        user: usize,
        ask: u64,
        status: u16,
        body: String,
    },
    UserTimeout {
        user: usize,
        ask: u64,
    },
    Answered(Answered),
    Fault(Fault),
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    State,
    Cloud,
    Worker,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    Crash(usize),
    StateOutage(bool),
    Refuse(usize, bool),
    /// Cuts (true) or mends a link both ways; `late`: what was sent meanwhile arrives after.
    Cut {
        a: Host,
        b: Host,
        on: bool,
        late: bool,
    },
    CloudOutage(bool),
    /// Holds back what goes from `a` to `b` alone, and delivers it in its order when that is over.
    Hold {
        a: Host,
        b: Host,
        on: bool,
    },
    /// What befalls whoever leads then, for so long.
    Leader(Leader, u64),
    /// That share of transactions gets no answer and is carried out 2 to 12 s later, after newer ones.
    LateWrites(f64),
    /// Of that share of the workers' reports a copy comes again, 2 s to two leases later.
    LateReports(f64),
    /// That share of transactions is carried out at once, and only the answer is lost.
    LostAnswers(f64),
    /// Of that share of the workers' reports a copy is kept until a new leader has acted, and comes to it then.
    CopiesForNext(f64),
    /// The state service takes up to so long for an answer.
    StateSlow(u64),
    /// Users call off that many jobs that run and have long to go, within a fifth of a second; up to eight of their
    /// machines hang for so long.
    CancelNow(usize, u64),
    /// That share of the jobs that end is called off at the moment of the end.
    CancelAtEnd(f64),
    /// Users ask at all nodes within milliseconds after a job was accepted, ended or called off.
    CloseReads(bool),
    /// Users repeat submissions with faults in them, call off what is done, and send what can't run.
    OddRequests(bool),
    /// It reaches no node, while direct orders reach it.
    MachineMute(u64),
    /// The same of all machines there are.
    AllMute(u64),
    /// New machines are up within two seconds.
    FastBoots(bool),
    MachineDies,
    MachineHangs(u64),
    /// Its reports arrive; answers and direct orders to it are lost.
    MachineDeaf(u64),
    SpotNotice,
    /// Ends a node's process, which comes back with the new version.
    Upgrade(usize),
    /// The state service's next limits come into force.
    Limits,
}

/// What befalls whoever leads.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Leader {
    /// The state service refuses it.
    Refused,
    /// It reaches neither the state service nor its peers, but workers and users.
    Apart,
    /// What it sends to each second machine, also to those to come, is held back.
    Held,
    /// Its process ends.
    Ends,
}

/// Who waits for the answer to a request at a node.
#[derive(Debug)]
enum Asker {
    User {
        user: usize,
        ask: u64,
    },
    Worker {
        machine: usize,
        worker_epoch: u64,
        sent: u64,
        heartbeat: u64,
    },
    CloseRead {
        close_read: close_reads::CloseRead,
        before: rules::Known,
    },
    /// Nobody any more: a report that came again.
    Nobody,
    /// The test itself.
    Test {
        tag: u64,
    },
}

/// An answer to the test itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Answered {
    pub tag: u64,
    pub node: usize,
    pub status: u16,
    pub retry_after_s: Option<u32>,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

pub struct Node {
    pub controller: Option<Controller>,
    pub life: u64,
    askers: BTreeMap<RequestId, Asker>,
    next_request: u64,
    open_requests: BTreeSet<RequestId>,
}

/// A user with one job.
#[derive(Debug)]
pub struct User {
    pub id: String,
    pub body: Value,
    pub cancel_at: Option<u64>,
    pub submits: Submits,
    /// The only node it asks, where not any.
    pub node: Option<usize>,
    ask: u64,
    pub stage: Stage,
    /// What users had been told of the job as the request under way was sent.
    before: rules::Known,
    /// The last answer's status and body.
    pub announced: (u16, String),
    /// When a question of its was answered last.
    pub answered_at: u64,
}

/// When a user submits, with regard to the jobs that the submission names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Submits {
    /// At once, which users don't.
    Rashly,
    OnceAccepted,
    OnceOver,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Stage {
    Submitting,
    Polling,
    Withdrawing,
    Over,
}

pub struct Simulation {
    pub now: u64,
    pub rng: StdRng,
    seq: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<(u64, u64), Event>,
    pub settings: Vec<Arc<Settings>>,
    /// Nodes that still run the version before dependencies, and the settings it read.
    pub old: BTreeMap<usize, Arc<Settings>>,
    pub nodes: Vec<Node>,
    pub state: store::Service,
    pub cloud: cloud::Cloud,
    pub workers: Vec<workers::Worker>,
    pub users: Vec<User>,
    cuts: BTreeMap<(Host, Host), bool>,
    /// Links on which what goes one way is held back.
    holds: BTreeSet<(Host, Host)>,
    /// Held back by a cut or a hold, per link.
    held: Vec<(Host, Host, Event)>,
    /// How fast each node's steady clock runs, in millionths beyond true time.
    pub drift_ppm: Vec<i64>,
    /// A task whose image its machine has got before starts at once.
    pub keeps_images: bool,
    late_writes: f64,
    late_reports: f64,
    lost_answers: f64,
    copies_for_next: f64,
    /// Copies of reports, and under which leader key they were made.
    kept_copies: Vec<(Option<crate::types::Revision>, Event)>,
    fast_boots: bool,
    cancel_at_end: f64,
    close_reads: bool,
    odd: bool,
    odd_ids: u64,
    /// How often each meeting took place.
    pub met: BTreeMap<&'static str, u64>,
    /// The leader key's version, and since when it has had that.
    led_by: (Option<crate::types::Revision>, u64),
    state_slow: u64,
    pub rules: Rules,
    /// Orders that a report on its way would have made needless: living machines returned with work on them.
    pub needless: Vec<String>,
    /// Over all that the nodes did so far, and when.
    effects: digest::Digest,
    /// What each node is given as it starts.
    feature: Option<fn() -> Box<dyn Extension>>,
    feature_prefix: Option<&'static str>,
    /// Up to which revision jobs' descriptions are uploaded.
    described: u64,
    /// Answers to the test itself that have come, in their order.
    pub answers: Vec<Answered>,
    /// How long a node that ends is away, in milliseconds.
    pub away_ms: Range<u64>,
    /// Part of all that nodes send which comes again, up to `AGAIN_MS` later.
    pub again: f64,
    /// Takes a guard out of a core after each of its steps.
    pub injected_fault: Option<fn(&mut Controller, u64)>,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        Self::of(seed, NODES, 12)
    }

    /// A world with `nodes` controllers and teams that may take `gpus` each.
    pub fn of(seed: u64, nodes: usize, gpus: u32) -> Self {
        let settings: Vec<Arc<Settings>> =
            (0..nodes).map(|i| Arc::new(settings_of(i, nodes, gpus))).collect();
        let mut w = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            seq: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            nodes: Vec::new(),
            state: store::Service::new(settings[0].state.clone()),
            cloud: cloud::Cloud::default(),
            workers: Vec::new(),
            users: Vec::new(),
            cuts: BTreeMap::new(),
            holds: BTreeSet::new(),
            held: Vec::new(),
            drift_ppm: vec![0; nodes],
            keeps_images: false,
            late_writes: 0.0,
            late_reports: 0.0,
            lost_answers: 0.0,
            copies_for_next: 0.0,
            kept_copies: Vec::new(),
            fast_boots: false,
            cancel_at_end: 0.0,
            close_reads: false,
            odd: false,
            odd_ids: 0,
            met: BTreeMap::new(),
            led_by: (None, 0),
            state_slow: 0,
            rules: Rules::new(settings[0].workers.cancel_s, &settings[0].teams),
            needless: Vec::new(),
            effects: digest::Digest::default(),
            feature: None,
            feature_prefix: None,
            described: 0,
            answers: Vec::new(),
            away_ms: 1_000..4_000,
            again: 0.0,
            injected_fault: None,
            old: BTreeMap::new(),
            settings,
        };
        for i in 0..nodes {
            let empty = Node {
                controller: None,
                life: 0,
                askers: BTreeMap::new(),
                next_request: 0,
                open_requests: BTreeSet::new(),
            };
            w.nodes.push(empty);
            let at = w.rng_ms(1, 300);
            w.at(at, Event::Restart(i));
        }
        w
    }

    pub fn rng_ms(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..to)
    }

    pub fn at(&mut self, time: u64, event: Event) {
        self.seq += 1;
        let key = (time.max(self.now), self.seq);
        self.queue.push(Reverse(key));
        self.events.insert(key, event);
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.at(self.now + ms, event);
    }

    fn is_cut(&self, a: Host, b: Host) -> Option<bool> {
        self.cuts.get(&(a.min(b), a.max(b))).copied()
    }

    /// Sends over a link: with a delay, held back by a cut, or lost in it.
    pub fn send(&mut self, a: Host, b: Host, event: Event) {
        self.send_aside(a, b, event, false);
    }

    fn send_aside(&mut self, a: Host, b: Host, event: Event, aside: bool) {
        match self.is_cut(a, b) {
            Some(true) => self.held.push((a, b, event)),
            Some(false) => {}
            None if self.holds.contains(&(a, b)) => self.held.push((a, b, event)),
            None => {
                // What is aside takes no draw and no longer than anything else.
                let slow = !aside && self.rng.random_bool(0.01);
                let ms = match (aside, slow) {
                    (true, _) => 1,
                    (_, true) => self.rng_ms(100, 600),
                    _ => self.rng_ms(1, 8),
                };
                self.after(ms, event);
            }
        }
    }

    /// Gives every node a feature, from its next start on.
    pub fn with_feature(mut self, feature: fn() -> Box<dyn Extension>) -> Self {
        self.feature_prefix = Some(feature().prefix());
        self.feature = Some(feature);
        self
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse(key)) = self.queue.peek().copied() {
            if key.0 > end {
                break;
            }
            self.queue.pop();
            self.now = key.0;
            let Some(event) = self.events.remove(&key) else { continue };
            self.handle(event);
            if !self.rules.broken.is_empty() {
                return;
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(i, life) => {
                if self.nodes[i].controller.is_some() && self.nodes[i].life == life {
                    let drift = self.rng_ms(0, 4);
                    self.after(TICK + drift, Event::Tick(i, life));
                    self.note_leader();
                    self.release_copies();
                    self.step(i, Input::Tick);
                }
            }
            Event::Input(i, life, input) => {
                if self.nodes[i].controller.is_none() || self.nodes[i].life != life {
                    return;
                }
                let request_id = match &input {
                    Input::Store { request_id, .. }
                    | Input::Cloud { request_id, .. }
                    | Input::Worker { request_id, .. } => Some(*request_id),
                    _ => None,
                };
                // An answer after the caller gave up reaches nobody.
                if request_id.is_none_or(|request_id| self.nodes[i].open_requests.remove(&request_id)) {
                    self.step(i, input);
                }
            }
            Event::Timeout { node, life, request_id, kind } => {
                let n = &mut self.nodes[node];
                if n.life == life && n.open_requests.remove(&request_id) {
                    let input = match kind {
                        Kind::State => {
                            Input::Store { request_id, reply: crate::wire::state::StoreReply::Unknown }
                        }
                        Kind::Cloud => {
                            Input::Cloud { request_id, reply: crate::wire::cloud::CloudReply::Unknown }
                        }
                        Kind::Worker => Input::Worker { request_id, status: 0, body: Vec::new() },
                    };
                    self.step(node, input);
                }
            }
            Event::State { from, life, request_id, request } => {
                self.state_request(from, life, request_id, request)
            }
            Event::Slow(node, event) => self.send(Host::State, Host::Node(node), *event),
            Event::LateWrite(request) => self.late_write(request),
            Event::WatchEnds(id) => self.watch_ends(id),
            Event::Cloud { from, life, request_id, request } => {
                self.cloud_request(from, life, request_id, request)
            }
            Event::Direct { from, life, request_id, addr, body } => {
                self.direct(from, life, request_id, &addr, &body)
            }
            Event::Restart(i) => {
                let seed = self.rng.random();
                let node = &mut self.nodes[i];
                node.life += 1;
                let mut controller =
                    Controller::new(self.old.get(&i).unwrap_or(&self.settings[i]).clone(), seed);
                if self.old.contains_key(&i) {
                    controller.act_as_previous_version();
                }
                if let Some(feature) = self.feature {
                    controller = controller.with_extension(feature());
                }
                node.controller = Some(controller);
                node.askers.clear();
                node.open_requests.clear();
                let life = node.life;
                self.after(1, Event::Tick(i, life));
            }
            Event::Worker(m) => self.worker_turn(m),
            Event::CloseRead(close_read) => self.close_read(close_read),
            Event::CloseReadAnswer { close_read, before, node, status, body } => {
                self.close_read_answer(close_read, &before, node, status, &body);
            }
            Event::Odd => self.odd_turn(),
            Event::ReportAgain { machine, node, body } => {
                let path = "/v1/report".to_string();
                self.request(node, Asker::Nobody, Host::Machine(machine), Method::Post, path, body);
            }
            Event::ReportAnswer { machine, worker_epoch, sent, node, status, body, heartbeat } => {
                self.report_answer(machine, worker_epoch, sent, node, status, &body, heartbeat);
            }
            Event::ReportTimeout { machine, heartbeat } => self.report_timeout(machine, heartbeat),
            Event::User(u) => self.user_turn(u),
            Event::UserAnswer { user, ask, status, body } => self.user_answer(user, ask, status, &body),
            Event::UserTimeout { user, ask } => {
                if self.users[user].ask == ask {
                    self.users[user].ask += 1;
                    let ms = self.rng_ms(1000, 2000);
                    self.after(ms, Event::User(user));
                }
            }
            Event::Answered(answer) => self.answers.push(answer),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    /// All nodes begin with the version before dependencies, and the state service with the limits
    /// that it has then. The settings name its next ones.
    pub fn begin_old(&mut self) {
        let nodes = self.settings.len();
        self.old = self.settings.iter().cloned().enumerate().collect();
        self.settings = (0..nodes).map(|i| Arc::new(settings_text(i, nodes, 12, NEXT))).collect();
    }

    /// What a node's steady clock says.
    fn steady(&self, i: usize) -> MonotonicTime {
        let drift = self.now as i64 * self.drift_ppm[i] / 1_000_000;
        MonotonicTime::from_millis(1_000_000 + self.now.saturating_add_signed(drift))
    }

    /// The node that validly leads now, if one does.
    pub fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| {
            let controller = self.nodes[*i].controller.as_ref();
            controller.is_some_and(|c| c.holds_lease(self.steady(*i)))
        };
        (0..self.nodes.len()).find(leads)
    }

    fn step(&mut self, i: usize, input: Input) {
        let now = Now {
            steady: self.steady(i),
            wall_time: WallTime(1_700_000_000_000 + self.now),
            took: Duration::from_millis(0),
        };
        let life = self.nodes[i].life;
        let Some(controller) = &mut self.nodes[i].controller else { return };
        let effects = controller.step(now, input);
        if self.old.contains_key(&i) {
            controller.act_as_previous_version();
        }
        if let Some(injected_fault) = self.injected_fault {
            injected_fault(controller, self.now);
        }
        if let Err(what) = controller.check_sums() {
            self.rules.broken.push(format!("at {} ms: kept sums: {what}", self.now));
        }
        for effect in effects {
            self.effects.effect(self.now, i, &effect);
            self.effect(i, life, effect);
        }
    }

    /// A hash over all that the nodes did, and when, and over what the state service holds now.
    pub fn digest(&self) -> u64 {
        let mut digest = self.effects.clone();
        self.state
            .stored()
            .for_each(|(key, value, revision, lease)| digest.stored(key, value, revision, lease));
        digest.finish()
    }

    fn effect(&mut self, i: usize, life: u64, effect: Effect) {
        let host = Host::Node(i);
        let opens = |node: &mut Node, request_id: RequestId| {
            node.open_requests.insert(request_id);
        };
        match effect {
            Effect::Answer { request, status, retry_after_s, headers, body } => {
                let event = match self.nodes[i].askers.remove(&request) {
                    Some(Asker::User { user, ask }) => {
                        (Host::User, Event::UserAnswer { user, ask, status, body })
                    }
                    Some(Asker::Worker { machine, worker_epoch, sent, heartbeat }) => {
                        self.check_orders(i, &body);
                        (
                            Host::Machine(machine),
                            Event::ReportAnswer {
                                machine,
                                worker_epoch,
                                sent,
                                node: i,
                                status,
                                body,
                                heartbeat,
                            },
                        )
                    }
                    Some(Asker::CloseRead { close_read, before }) => {
                        (Host::User, Event::CloseReadAnswer { close_read, before, node: i, status, body })
                    }
                    Some(Asker::Test { tag }) => {
                        let answer = Answered { tag, node: i, status, retry_after_s, headers, body };
                        (Host::User, Event::Answered(answer))
                    }
                    Some(Asker::Nobody) | None => return,
                };
                self.send(host, event.0, event.1);
            }
            Effect::Peer { to, bytes } => {
                let Some(j) = self.settings.iter().position(|s| s.node == to) else { return };
                let Some(envelope) = crate::peer_messages::decode(&bytes) else { return };
                let life = self.nodes[j].life;
                let event = |envelope| Event::Input(j, life, Input::Peer(envelope));
                self.again(|| event(envelope.clone()));
                self.send(host, Host::Node(j), event(envelope));
            }
            Effect::Store { request_id, request, timeout } => {
                opens(&mut self.nodes[i], request_id);
                self.after(timeout.0, Event::Timeout { node: i, life, request_id, kind: Kind::State });
                let aside = self.is_aside(&request);
                let event = |request| Event::State { from: i, life, request_id, request };
                if !matches!(request, StoreRequest::Watch { .. }) {
                    self.again(|| event(request.clone()));
                }
                self.send_aside(host, Host::State, event(request), aside);
            }
            Effect::Cloud { request_id, request, timeout } => {
                opens(&mut self.nodes[i], request_id);
                self.after(timeout.0, Event::Timeout { node: i, life, request_id, kind: Kind::Cloud });
                let event = |request| Event::Cloud { from: i, life, request_id, request };
                self.again(|| event(request.clone()));
                self.send(host, Host::Cloud, event(request));
            }
            Effect::Worker { request_id, addr, body, timeout } => {
                self.check_orders(i, &body);
                opens(&mut self.nodes[i], request_id);
                self.after(timeout.0, Event::Timeout { node: i, life, request_id, kind: Kind::Worker });
                if let Some(m) = self.workers.iter().position(|w| w.addr == addr) {
                    let event = |addr, body| Event::Direct { from: i, life, request_id, addr, body };
                    self.again(|| event(addr.clone(), body.clone()));
                    self.send(host, Host::Machine(m), event(addr, body));
                }
            }
        }
    }

    /// Now and then what was sent comes a second time, however long the first was carried out.
    fn again(&mut self, copy: impl FnOnce() -> Event) {
        if self.again > 0.0 && self.rng.random_bool(self.again) {
            let (ms, event) = (self.rng_ms(1, AGAIN_MS), copy());
            self.after(ms, event);
        }
    }

    /// Hands a request to a node, as one that came over HTTP; false: the connection fails.
    fn request(
        &mut self,
        i: usize,
        asker: Asker,
        from: Host,
        method: Method,
        path: String,
        body: String,
    ) -> bool {
        let input = |request| Input::Http { request, method, path, body: body.into_bytes() };
        self.hand(i, asker, from, input)
    }

    fn hand(&mut self, i: usize, asker: Asker, from: Host, input: impl FnOnce(RequestId) -> Input) -> bool {
        if self.nodes[i].controller.is_none() || self.is_cut(from, Host::Node(i)) == Some(false) {
            return false;
        }
        let node = &mut self.nodes[i];
        node.next_request += 1;
        let request = RequestId(node.next_request);
        node.askers.insert(request, asker);
        let life = node.life;
        self.send(from, Host::Node(i), Event::Input(i, life, input(request)));
        true
    }

    /// Asks a node, as a user would; the answer comes to `answers`. False: the connection fails.
    pub fn ask(&mut self, i: usize, tag: u64, method: Method, path: &str, body: &str) -> bool {
        self.request(i, Asker::Test { tag }, Host::User, method, path.into(), body.into())
    }

    /// Calls a node's feature; the answer comes to `answers`. False: the connection fails.
    pub fn call(&mut self, i: usize, tag: u64, call: Call) -> bool {
        self.hand(i, Asker::Test { tag }, Host::User, |request| Input::Call { slot: 0, request, call })
    }

    // ---- users ----

    pub fn add_user(&mut self, at: u64, body: Value, cancel_at: Option<u64>) {
        let id = body["id"].as_str().unwrap_or_default().to_string();
        self.users.push(User {
            id,
            body,
            cancel_at,
            submits: Submits::OnceAccepted,
            node: None,
            ask: 0,
            stage: Stage::Submitting,
            before: Default::default(),
            announced: Default::default(),
            answered_at: 0,
        });
        self.at(at, Event::User(self.users.len() - 1));
    }

    fn user_turn(&mut self, u: usize) {
        let now = self.now;
        let user = &mut self.users[u];
        if user.stage == Stage::Polling && user.cancel_at.is_some_and(|t| t <= now) {
            user.stage = Stage::Withdrawing;
            self.rules.asked_to_cancel(&self.users[u].id);
        }
        let ready = |need: &Value| {
            let need = need.as_str().unwrap_or_default();
            match self.users[u].submits {
                Submits::Rashly => true,
                Submits::OnceAccepted => self.rules.accepted(need),
                Submits::OnceOver => self.rules.terminal_status(need).is_some(),
            }
        };
        if self.users[u].stage == Stage::Submitting
            && !self.users[u].body["awaits"].as_array().into_iter().flatten().all(ready)
        {
            return self.after(40, Event::User(u));
        }
        let before = self.rules.known(&self.users[u].id);
        let user = &mut self.users[u];
        user.before = before;
        user.ask += 1;
        let ask = user.ask;
        let (method, path, body) = match user.stage {
            Stage::Submitting => (Method::Post, "/submissions".to_string(), user.body.to_string()),
            Stage::Withdrawing => (Method::Post, format!("/submissions/{}/withdraw", user.id), String::new()),
            _ => (Method::Get, format!("/submissions/{}", user.id), String::new()),
        };
        if user.stage == Stage::Submitting {
            self.rules.submitted(&user.id, &user.body);
        }
        let any = self.rng.random_range(0..self.settings.len());
        let i = self.users[u].node.unwrap_or(any);
        let timeout = if self.users[u].stage == Stage::Polling { 2000 } else { 5000 };
        if self.request(i, Asker::User { user: u, ask }, Host::User, method, path, body) {
            self.after(timeout, Event::UserTimeout { user: u, ask });
        } else {
            let ms = self.rng_ms(1000, 2000);
            self.after(ms, Event::User(u));
        }
    }

    fn user_answer(&mut self, u: usize, ask: u64, status: u16, body: &str) {
        if self.users[u].ask != ask {
            return;
        }
        self.users[u].ask += 1;
        let user = &mut self.users[u];
        user.announced = (status, body.to_string());
        let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let phase = value["phase"].as_str().unwrap_or_default().to_string();
        let submitting = user.stage == Stage::Submitting;
        self.rules.answered(self.now, &user.id, &user.before, submitting, status, &phase);
        if matches!(status, 200 | 201 | 404) {
            user.answered_at = self.now;
        }
        if matches!(status, 200 | 201) {
            user.stage = match (user.stage, phase.as_str()) {
                (_, "done" | "withdrawn") => Stage::Over,
                (Stage::Submitting, _) => Stage::Polling,
                (stage, _) => stage,
            };
        }
        let (was_told, over) = (matches!(status, 200 | 201), user.stage == Stage::Over);
        let news = was_told && (!user.before.accepted || over && user.before.terminal_status.is_none());
        if news {
            self.note_news(over);
        }
        if news && self.close_reads {
            self.read_closely(u, "told");
        }
        let user = &self.users[u];
        let pause = match user.stage {
            // Users may ask again at any later time.
            Stage::Over => 20_000,
            Stage::Polling => 2_000,
            _ => 1_200,
        };
        let ms = self.rng_ms(pause / 2, pause);
        self.after(ms, Event::User(u));
    }

    // ---- faults ----

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(i) => {
                if self.nodes[i].controller.take().is_some() {
                    let ms = self.rng.random_range(self.away_ms.clone());
                    self.after(ms, Event::Restart(i));
                }
            }
            Fault::StateOutage(on) => self.state.outage(on, self.now),
            Fault::Refuse(i, on) => {
                if on {
                    self.state.refused.insert(i);
                } else {
                    self.state.refused.remove(&i);
                }
            }
            Fault::Cut { a, b, on, late } => {
                let link = (a.min(b), a.max(b));
                if on {
                    self.cuts.insert(link, late);
                } else {
                    self.cuts.remove(&link);
                    self.release(|x, y| (x.min(y), x.max(y)) == link);
                }
            }
            Fault::Upgrade(i) => {
                self.old.remove(&i);
                self.fault(Fault::Crash(i));
            }
            Fault::Limits => self.state.limits = self.settings[0].state.clone(),
            Fault::CloudOutage(on) => self.cloud.outage = on,
            Fault::Hold { a, b, on } => {
                if on {
                    self.holds.insert((a, b));
                } else if self.holds.remove(&(a, b)) {
                    self.release(|x, y| (x, y) == (a, b));
                }
            }
            Fault::Leader(what, ms) => {
                let Some(i) = self.leader() else { return };
                match what {
                    Leader::Ends => self.fault(Fault::Crash(i)),
                    Leader::Held => {
                        for m in (0..self.workers.len() + 100).step_by(2) {
                            let hold = |on| Fault::Hold { a: Host::Node(i), b: Host::Machine(m), on };
                            self.fault(hold(true));
                            self.after(ms, Event::Fault(hold(false)));
                        }
                    }
                    Leader::Refused => {
                        self.fault(Fault::Refuse(i, true));
                        self.after(ms, Event::Fault(Fault::Refuse(i, false)));
                    }
                    Leader::Apart => {
                        let peers = (0..self.nodes.len()).filter(|j| *j != i).map(Host::Node);
                        for b in peers.chain([Host::State]) {
                            let cut = |on| Fault::Cut { a: Host::Node(i), b, on, late: ms.is_multiple_of(2) };
                            self.fault(cut(true));
                            self.after(ms, Event::Fault(cut(false)));
                        }
                    }
                }
            }
            Fault::LateWrites(share) => self.late_writes = share,
            Fault::LateReports(share) => self.late_reports = share,
            Fault::LostAnswers(share) => self.lost_answers = share,
            Fault::CopiesForNext(share) => self.copies_for_next = share,
            Fault::FastBoots(on) => self.fast_boots = on,
            Fault::CancelAtEnd(share) => self.cancel_at_end = share,
            Fault::CloseReads(on) => self.close_reads = on,
            Fault::OddRequests(on) => {
                self.odd = on;
                self.after(1, Event::Odd);
            }
            Fault::CancelNow(count, hang_ms) => self.cancel_now(count, hang_ms),
            Fault::MachineMute(ms) => {
                if let Some(m) = self.any_machine(|_| true) {
                    self.workers[m].muted_until = self.now + ms;
                }
            }
            Fault::AllMute(ms) => {
                let until = self.now + ms;
                self.workers.iter_mut().filter(|w| w.up).for_each(|w| w.muted_until = until);
            }
            Fault::StateSlow(ms) => self.state_slow = ms,
            Fault::MachineDeaf(ms) => {
                if let Some(m) = self.any_machine(|_| true) {
                    self.workers[m].deaf_until = self.now + ms;
                }
            }
            Fault::MachineDies => {
                if let Some(m) = self.any_machine(|_| true) {
                    self.machine_ends(m);
                    self.cloud.fail(&self.workers[m].id, self.now);
                }
            }
            Fault::MachineHangs(ms) => {
                if let Some(m) = self.any_machine(|_| true) {
                    self.workers[m].hung_until = self.now + ms;
                }
            }
            Fault::SpotNotice => {
                if let Some(m) = self.any_machine(|w| w.spot) {
                    self.workers[m].taken_at = Some(self.now + 8_000);
                }
            }
        }
    }

    /// What was held back arrives, in its order.
    fn release(&mut self, link: impl Fn(Host, Host) -> bool) {
        let (out, keep): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.held).into_iter().partition(|(x, y, _)| link(*x, *y));
        self.held = keep;
        for (n, (_, _, event)) in out.into_iter().enumerate() {
            self.after(1 + n as u64 / 50, event);
        }
    }

    fn any_machine(&mut self, ok: impl Fn(&workers::Worker) -> bool) -> Option<usize> {
        let up: Vec<usize> =
            (0..self.workers.len()).filter(|m| self.workers[*m].up && ok(&self.workers[*m])).collect();
        (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())])
    }
}

/// So small that a machine's record holds few tasks.
const NEXT: &str = "[facts.state.next]\nvalue_kb = 0.75\ntxn_ops = 4\nwrite_rps = 50.0\n";

fn settings_of(i: usize, nodes: usize, gpus: u32) -> Settings {
    settings_text(i, nodes, gpus, "")
}

fn settings_text(i: usize, nodes: usize, gpus: u32, next: &str) -> Settings {
    let mut text = format!(
        "node = \"n{i}\"\nsite = \"z{i}\"\napi_addr = \"10.0.0.{i}:8080\"\nback = \"10.0.0.{i}:8081\"\n"
    );
    for j in (0..nodes).filter(|j| *j != i) {
        text += &format!("[[seeds]]\nnode = \"n{j}\"\nsite = \"z{j}\"\npeer_addr = \"10.0.0.{j}:8081\"\n");
    }
    let sample = crate::settings::SAMPLE;
    text += &sample[sample.find("[outside]").unwrap_or(0)..];
    let text = text.replace("[facts.cloud]", &format!("{next}[facts.cloud]"));
    let text = text.replace("gpus_max = 12.0", &format!("gpus_max = {gpus}.0"));
    let operator = "idle_return_s: 20\nrefusal_pause_s: 3\n";
    parse(SourceFile::new("test", &text), Some(SourceFile::new("operator", operator)))
        .expect("the test settings are valid")
}

/// A submission; the caller changes what it needs.
pub fn job(n: usize, job_type: &str, tasks: u32) -> Value {
    json!({"id": format!("req-{n:06}"), "job_class": format!("c-{job_type}"), "owner": if n.is_multiple_of(2) { "red" } else { "blue" },
        "shape": job_type, "urgency": if job_type == "daemon" { "production" } else { "normal" }, "shards": tasks,
        "vcpus": 2.0, "accelerators": 1.0, "memory_gb": 4.0, "bundle": format!("img-{}", n % 3), "image_gb": 1.0,
        "flavors": null, "region": null, "together": false, "spread": false, "preemptible": true, "expected_s": 6.0,
        "snapshot_every_s": if job_type == "daemon" { 0.0 } else { 2.0 }, "snapshot_s": 1.0, "due_s": null})
}
