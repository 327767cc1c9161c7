//! The state service: keys with stamps, grants, watches, and the limits of PROTOCOL.

use crate::http::{self, Answer, Request};
use crate::json::{Json, num, obj, string};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

struct Entry {
    value: Json,
    stamp: u64,
    permit: Option<u64>,
}

struct State {
    limits: Limits,
    epoch: u64,
    entries: BTreeMap<String, Entry>,
    grants: BTreeMap<u64, (Duration, Instant)>,
    last_grant: u64,
    news: Vec<(u64, String, Json)>,
    request_tokens: f64,
    write_tokens: f64,
    refilled: Instant,
    /// Number of refused requests: 429, and 400 for a value or transaction that is too large.
    pub refused: u64,
    pub too_large: u64,
}

#[derive(Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

const KEPT: usize = 10_000;
/// How long an answer takes: `latency_ms` of the site files is 4.0 or 5.0.
const LATENCY: Duration = Duration::from_millis(5);

impl Store {
    pub fn start(limits: Limits) -> (Self, SocketAddr) {
        let state = State {
            limits,
            epoch: 1,
            entries: BTreeMap::new(),
            grants: BTreeMap::new(),
            last_grant: 0,
            news: Vec::new(),
            request_tokens: limits.rps,
            write_tokens: limits.write_rps,
            refilled: Instant::now(),
            refused: 0,
            too_large: 0,
        };
        let store = Store(Arc::new((Mutex::new(state), Condvar::new())));
        let clock = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                if clock.0.0.lock().unwrap().expire() {
                    clock.0.1.notify_all();
                }
            }
        });
        let server = store.clone();
        let addr = http::serve(move |request| server.answer(request));
        (store, addr)
    }

    /// Adds a key that was written earlier.
    pub fn preload(&self, key: String, value: Json) {
        let mut state = self.0.0.lock().unwrap();
        state.epoch += 1;
        let stamp = state.epoch;
        state.entries.insert(key, Entry { value, stamp, permit: None });
    }

    pub fn set_limits(&self, limits: Limits) {
        self.0.0.lock().unwrap().limits = limits;
    }

    /// (429s, 400s for size) so far.
    pub fn refusals(&self) -> (u64, u64) {
        let state = self.0.0.lock().unwrap();
        (state.refused, state.too_large)
    }

    fn answer(&self, request: &Request) -> Answer {
        std::thread::sleep(LATENCY);
        let mut state = self.0.0.lock().unwrap();
        state.expire();
        if !state.take_request() {
            return Some((429, "{}".into()));
        }
        let path = request.path.trim_start_matches('/');
        let answer = match (request.method.as_str(), path) {
            ("GET", "watch") => {
                drop(state);
                return self.watch(request);
            }
            ("GET", "kv") => state.range(request),
            ("GET", key) if key.starts_with("kv/") => state.get(&key[3..]),
            ("POST", "multi") => state.multi(&request.body),
            ("POST", "grants") => {
                let life = Json::parse(&request.body).and_then(|body| body.get("life_ms").u64());
                match life {
                    Some(life) if (100..=600_000).contains(&life) => {
                        let life = Duration::from_millis(life);
                        state.last_grant += 1;
                        let id = state.last_grant;
                        state.grants.insert(id, (life, Instant::now() + life));
                        (200, obj(vec![("permit", num(id))]).text())
                    }
                    _ => (400, "{}".into()),
                }
            }
            (method, path) if path.starts_with("grants/") => {
                let id = path.split('/').nth(1).and_then(|id| id.parse().ok()).unwrap_or(0);
                let known = state.grants.contains_key(&id);
                if known && method == "DELETE" {
                    state.end_grant(id);
                } else if let Some((life, ends)) = state.grants.get_mut(&id) {
                    *ends = Instant::now() + *life;
                }
                (if known { 200 } else { 404 }, "{}".into())
            }
            _ => (400, "{}".into()),
        };
        drop(state);
        self.0.1.notify_all();
        Some(answer)
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.arg("under").to_string();
        let from: u64 = request.arg("from").parse().unwrap_or(0);
        let block: u64 = request.arg("block_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(block.min(60_000));
        let mut state = self.0.0.lock().unwrap();
        loop {
            let oldest = state.news.first().map_or(0, |news| news.0);
            if state.news.len() >= KEPT && oldest > from + 1 {
                return Some((410, "{}".into()));
            }
            let start = state.news.partition_point(|news| news.0 <= from);
            let news = state.news[start..].iter().filter(|news| news.1.starts_with(&prefix));
            let news: Vec<Json> = news.map(|news| news.2.clone()).collect();
            let now = Instant::now();
            if !news.is_empty() || now >= deadline {
                return Some((200, obj(vec![("epoch", num(state.epoch)), ("news", Json::Arr(news))]).text()));
            }
            state = self.0.1.wait_timeout(state, deadline - now).unwrap().0;
        }
    }
}

impl State {
    fn refill(&mut self) {
        let passed = self.refilled.elapsed().as_secs_f64();
        self.refilled = Instant::now();
        self.request_tokens = (self.request_tokens + passed * self.limits.rps).min(self.limits.rps);
        self.write_tokens = (self.write_tokens + passed * self.limits.write_rps).min(self.limits.write_rps);
    }

    fn take_request(&mut self) -> bool {
        self.refill();
        let taken = self.request_tokens >= 1.0;
        if taken {
            self.request_tokens -= 1.0;
        } else {
            self.refused += 1;
        }
        taken
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.grants.iter().filter(|(_, grant)| grant.1 < now).map(|(id, _)| *id).collect();
        ended.iter().for_each(|id| self.end_grant(*id));
        !ended.is_empty()
    }

    fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let attached = self.entries.iter().filter(|(_, entry)| entry.permit == Some(id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.epoch += 1;
        }
        for key in keys {
            self.drop_key(&key);
        }
    }

    fn drop_key(&mut self, key: &str) {
        self.entries.remove(key);
        let event = obj(vec![("drop", string(key)), ("stamp", num(self.epoch))]);
        self.add_news(key, event);
    }

    fn add_news(&mut self, key: &str, event: Json) {
        self.news.push((self.epoch, key.to_string(), event));
        if self.news.len() > KEPT {
            self.news.remove(0);
        }
    }

    fn get(&self, key: &str) -> (u16, String) {
        match self.entries.get(key) {
            Some(entry) => {
                let permit = entry.permit.map_or(Json::Null, num);
                let body = vec![
                    ("k", string(key)),
                    ("v", entry.value.clone()),
                    ("stamp", num(entry.stamp)),
                    ("permit", permit),
                ];
                (200, obj(body).text())
            }
            None => (404, obj(vec![("epoch", num(self.epoch))]).text()),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let (prefix, after) = (request.arg("under"), request.arg("from"));
        let most = request.arg("most").parse().unwrap_or(1000_usize).min(1000);
        let mut pairs = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        let first = if after > prefix {
            Bound::Excluded(after.to_string())
        } else {
            Bound::Included(prefix.to_string())
        };
        for (key, entry) in self.entries.range((first, Bound::Unbounded)) {
            if !key.starts_with(prefix) {
                break;
            }
            if pairs.len() >= most || bytes > 500 * 1024 {
                more = true;
                break;
            }
            let pair = obj(vec![("k", string(key)), ("v", entry.value.clone()), ("stamp", num(entry.stamp))]);
            bytes += pair.text().len();
            pairs.push(pair);
        }
        (
            200,
            obj(vec![("pairs", Json::Arr(pairs)), ("more", Json::Bool(more)), ("epoch", num(self.epoch))])
                .text(),
        )
    }

    fn multi(&mut self, text: &str) -> (u16, String) {
        let Some(body) = Json::parse(text) else { return (400, "{}".into()) };
        let (conditions, changes) = (body.get("if").arr(), body.get("apply").arr());
        if (self.write_tokens - changes.len() as f64) < 0.0 {
            self.refused += 1;
            return (429, "{}".into());
        }
        let oversized = changes.iter().any(|change| change.get("v").text().len() > self.limits.value_bytes);
        if oversized
            || text.len() > 64 * 1024
            || changes.len() > self.limits.txn_ops
            || conditions.len() > 4 * self.limits.txn_ops
        {
            self.too_large += 1;
            return (400, obj(vec![("error", string("too large"))]).text());
        }
        self.write_tokens -= changes.len() as f64;
        if changes
            .iter()
            .filter_map(|change| change.get("permit").u64())
            .any(|id| !self.grants.contains_key(&id))
        {
            return (400, obj(vec![("error", string("no such lease"))]).text());
        }
        let failed: Vec<Json> = conditions
            .iter()
            .filter(|condition| {
                let stamp = self.entries.get(condition.get("k").str()).map_or(0, |entry| entry.stamp);
                condition.get("stamp").u64() != Some(stamp)
            })
            .map(|condition| condition.get("k").clone())
            .collect();
        if !failed.is_empty() {
            return (409, obj(vec![("failed", Json::Arr(failed)), ("epoch", num(self.epoch))]).text());
        }
        if !changes.is_empty() {
            self.epoch += 1;
        }
        for change in changes {
            if let Json::Str(key) = change.get("set") {
                let entry = Entry {
                    value: change.get("v").clone(),
                    stamp: self.epoch,
                    permit: change.get("permit").u64(),
                };
                let event =
                    obj(vec![("set", string(key)), ("v", entry.value.clone()), ("stamp", num(self.epoch))]);
                self.entries.insert(key.clone(), entry);
                self.add_news(key, event);
            } else if let Json::Str(key) = change.get("drop") {
                self.drop_key(key);
            }
        }
        (200, obj(vec![("epoch", num(self.epoch))]).text())
    }
}
