//! The state service, as PROTOCOL describes it. Each controller has a listener of its own, so that answers to
//! one controller can be refused or delayed without the others.

use crate::http::{self, Request, Response, response};
use crate::json::Json;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const KEPT_CHANGES: usize = 10_000;
const MAX_ITEMS: usize = 1000;
const MAX_RESPONSE_BYTES: usize = 512 * 1024;

#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
    /// How long an ordinary answer takes.
    pub latency: Duration,
}

struct Entry {
    value: Arc<str>,
    stamp: u64,
    permit: Option<u64>,
}

struct Change {
    stamp: u64,
    key: String,
    value: Option<Arc<str>>,
}

struct Grant {
    life: Duration,
    until: Instant,
}

struct Bucket {
    rate: f64,
    left: f64,
    at: Instant,
}

impl Bucket {
    /// Holds one second's worth.
    fn new(rate: f64) -> Self {
        Self { rate, left: rate, at: Instant::now() }
    }

    fn take(&mut self, number: f64) -> bool {
        let now = Instant::now();
        self.left = (self.left + (now - self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let enough = self.left >= number;
        if enough {
            self.left -= number;
        }
        enough
    }
}

struct State {
    epoch: u64,
    entries: BTreeMap<String, Entry>,
    changes: VecDeque<Change>,
    grants: BTreeMap<u64, Grant>,
    last_grant: u64,
    requests: Bucket,
    writes: Bucket,
}

/// Delays an answer: for a request with this path and `under`, of a controller.
pub type Delay = Box<dyn Fn(usize, &Request) -> Duration + Send + Sync>;

#[derive(Clone)]
pub struct Store {
    limits: Limits,
    state: Arc<(Mutex<State>, Condvar)>,
    delay: Arc<Mutex<Option<Arc<Delay>>>>,
}

impl Store {
    pub fn new(limits: Limits) -> Self {
        let state = State {
            epoch: 1,
            entries: BTreeMap::new(),
            changes: VecDeque::new(),
            grants: BTreeMap::new(),
            last_grant: 0,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
        };
        let store = Self {
            limits,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            delay: Arc::new(Mutex::new(None)),
        };
        let expiry = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expiry.end_grants();
            }
        });
        store
    }

    pub fn serve(&self, node: usize) -> SocketAddr {
        let store = self.clone();
        http::serve(move |request| store.answer(node, request))
    }

    pub fn set_delay(&self, delay: Option<Delay>) {
        *self.delay.lock().unwrap() = delay.map(Arc::new);
    }

    pub fn value(&self, key: &str) -> Option<Arc<str>> {
        self.lock().entries.get(key).map(|entry| entry.value.clone())
    }

    /// Adds keys that were written long ago: their changes are no longer kept for watches.
    pub fn add_history(&self, pairs: impl Iterator<Item = (String, Arc<str>)>) {
        let mut state = self.lock();
        for (key, value) in pairs {
            state.epoch += 1;
            let stamp = state.epoch;
            state.entries.insert(key, Entry { value, stamp, permit: None });
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    fn end_grants(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> = state.grants.iter().filter(|(_, g)| g.until < now).map(|(id, _)| *id).collect();
        for id in ended {
            state.end_grant(id);
            self.state.1.notify_all();
        }
    }

    fn answer(&self, node: usize, request: Request) -> Option<Response> {
        let delay = self.delay.lock().unwrap().clone();
        let delay = delay.map_or(Duration::ZERO, |delay| delay(node, &request));
        let answer = self.execute(&request);
        std::thread::sleep(self.limits.latency + delay);
        answer
    }

    fn execute(&self, request: &Request) -> Option<Response> {
        {
            let mut state = self.lock();
            if !state.requests.take(1.0) {
                return response(429, "{\"error\":\"too many requests\"}");
            }
        }
        let path = request.path.clone();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["kv"]) => self.range(request),
            ("GET", ["kv", ..]) => self.get(path.trim_start_matches("/kv/")),
            ("POST", ["multi"]) => self.multi(&request.body),
            ("GET", ["watch"]) => self.watch(request),
            ("POST", ["grants"]) => {
                let Some(life) = Json::parse(&request.body).and_then(|body| body.get("life_ms").int()) else {
                    return malformed();
                };
                let mut state = self.lock();
                state.last_grant += 1;
                let id = state.last_grant;
                let life = Duration::from_millis(life);
                state.grants.insert(id, Grant { life, until: Instant::now() + life });
                response(200, format!("{{\"permit\":{id}}}"))
            }
            ("POST", ["grants", id, "renew"]) => {
                let mut state = self.lock();
                match id.parse().ok().and_then(|id: u64| state.grants.get_mut(&id)) {
                    Some(grant) => {
                        grant.until = Instant::now() + grant.life;
                        response(200, format!("{{\"permit\":{id}}}"))
                    }
                    None => response(404, "{\"error\":\"no such lease\"}"),
                }
            }
            ("DELETE", ["grants", id]) => {
                let mut state = self.lock();
                state.end_grant(id.parse().unwrap_or(0));
                self.state.1.notify_all();
                response(200, "{}")
            }
            _ => malformed(),
        }
    }

    fn get(&self, key: &str) -> Option<Response> {
        let state = self.lock();
        match state.entries.get(key) {
            Some(entry) => {
                let permit = entry.permit.map_or("null".to_string(), |permit| permit.to_string());
                let (value, stamp) = (&entry.value, entry.stamp);
                response(
                    200,
                    format!("{{\"k\":\"{key}\",\"v\":{value},\"stamp\":{stamp},\"permit\":{permit}}}"),
                )
            }
            None => response(404, format!("{{\"epoch\":{}}}", state.epoch)),
        }
    }

    fn range(&self, request: &Request) -> Option<Response> {
        let prefix = request.query("under").unwrap_or_default();
        let from = request.query("from").unwrap_or_default().to_string();
        let most =
            request.query("most").and_then(|most| most.parse().ok()).unwrap_or(MAX_ITEMS).min(MAX_ITEMS);
        let state = self.lock();
        let begin =
            if from.as_str() < prefix { Bound::Included(prefix.to_string()) } else { Bound::Excluded(from) };
        let mut items = String::new();
        let mut number = 0;
        let mut more = false;
        for (key, entry) in state.entries.range((begin, Bound::Unbounded)) {
            if !key.starts_with(prefix) {
                break;
            }
            let item = format!("{{\"k\":\"{key}\",\"v\":{},\"stamp\":{}}}", entry.value, entry.stamp);
            if number >= most || items.len() + item.len() + 100 > MAX_RESPONSE_BYTES {
                more = true;
                break;
            }
            if number > 0 {
                items.push(',');
            }
            items.push_str(&item);
            number += 1;
        }
        response(200, format!("{{\"pairs\":[{items}],\"more\":{more},\"epoch\":{}}}", state.epoch))
    }

    fn multi(&self, body: &[u8]) -> Option<Response> {
        let Some(body) = Json::parse(body) else { return malformed() };
        let conditions = body.get("if").list();
        let apply = body.get("apply").list();
        let mut state = self.lock();
        if apply.len() > self.limits.txn_ops || conditions.len() > 4 * self.limits.txn_ops {
            return malformed();
        }
        if apply.iter().any(|change| change.get("v").to_string().len() > self.limits.value_bytes) {
            return malformed();
        }
        if !state.writes.take(apply.len() as f64) {
            return response(429, "{\"error\":\"too many changes\"}");
        }
        let mut permits = apply.iter().filter_map(|change| change.get("permit").int());
        if permits.any(|permit| !state.grants.contains_key(&permit)) {
            return response(400, "{\"error\":\"no such lease\"}");
        }
        let mut failed = Vec::new();
        for condition in conditions {
            let (Some(key), Some(stamp)) = (condition.get("k").text(), condition.get("stamp").int()) else {
                return malformed();
            };
            if state.entries.get(key).map_or(0, |entry| entry.stamp) != stamp {
                failed.push(format!("\"{key}\""));
            }
        }
        if !failed.is_empty() {
            return response(409, format!("{{\"failed\":[{}],\"epoch\":{}}}", failed.join(","), state.epoch));
        }
        if !apply.is_empty() {
            state.epoch += 1;
        }
        for change in apply {
            if let Some(key) = change.get("set").text() {
                let value: Arc<str> = change.get("v").to_string().into();
                state.set(key, Some(value), change.get("permit").int());
            } else if let Some(key) = change.get("drop").text() {
                state.set(key, None, None);
            }
        }
        self.state.1.notify_all();
        response(200, format!("{{\"epoch\":{}}}", state.epoch))
    }

    fn watch(&self, request: &Request) -> Option<Response> {
        let prefix = request.query("under").unwrap_or_default();
        let number = |key: &str| request.query(key).and_then(|value| value.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("block_ms").unwrap_or(0).min(60_000));
        let mut state = self.lock();
        loop {
            let oldest = state.changes.front().map_or(state.epoch + 1, |change| change.stamp);
            if from + 1 < oldest && from < state.epoch {
                return response(410, "{\"error\":\"too old\"}");
            }
            let news =
                state.changes.iter().filter(|change| change.stamp > from && change.key.starts_with(prefix));
            let news: Vec<String> = news
                .map(|Change { stamp, key, value }| match value {
                    Some(value) => format!("{{\"set\":\"{key}\",\"v\":{value},\"stamp\":{stamp}}}"),
                    None => format!("{{\"drop\":\"{key}\",\"stamp\":{stamp}}}"),
                })
                .collect();
            let now = Instant::now();
            if !news.is_empty() || now >= until {
                return response(200, format!("{{\"epoch\":{},\"news\":[{}]}}", state.epoch, news.join(",")));
            }
            state = self.state.1.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

impl State {
    fn set(&mut self, key: &str, value: Option<Arc<str>>, permit: Option<u64>) {
        let stamp = self.epoch;
        match &value {
            Some(value) => {
                self.entries.insert(key.to_string(), Entry { value: value.clone(), stamp, permit });
            }
            None => {
                if self.entries.remove(key).is_none() {
                    return;
                }
            }
        }
        self.changes.push_back(Change { stamp, key: key.to_string(), value });
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let attached = self.entries.iter().filter(|(_, entry)| entry.permit == Some(id));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if !attached.is_empty() {
            self.epoch += 1;
        }
        for key in attached {
            self.set(&key, None, None);
        }
    }
}

fn malformed() -> Option<Response> {
    response(400, "{\"error\":\"malformed\"}")
}
