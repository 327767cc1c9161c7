//! A stand-in of the state service. It forgets everything when its process ends.

use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use warp::Filter;
use warp::http::StatusCode;
use warp::reply::{Response, with_status};

const HISTORY: usize = 10_000;

#[derive(Default)]
struct Store {
    store_revision: u64,
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    grants: BTreeMap<u64, (Duration, Instant)>,
    next_grant: u64,
    news: Vec<(u64, Value)>,
}

#[derive(Clone, Default)]
pub struct StoreHandle {
    store: Arc<Mutex<Store>>,
    changed: Arc<Notify>,
}

type Query = HashMap<String, String>;

fn reply(status: u16, body: &Value) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    warp::Reply::into_response(with_status(warp::reply::json(body), status))
}

impl Store {
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.grants.iter().filter(|(_, (_, ends))| *ends < now).map(|(id, _)| *id).collect();
        for id in over {
            self.end(id);
        }
    }

    fn end(&mut self, grant: u64) {
        self.grants.remove(&grant);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, v)| v.2 == Some(grant)).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.store_revision += 1;
        }
        keys.into_iter().for_each(|key| self.drop_key(key));
    }

    fn drop_key(&mut self, key: String) {
        self.keys.remove(&key);
        let store_revision = self.store_revision;
        self.tell(json!({"drop": key, "stamp": store_revision}));
    }

    fn tell(&mut self, news: Value) {
        self.news.push((self.store_revision, news));
        if self.news.len() > HISTORY {
            self.news.remove(0);
        }
    }

    fn multi(&mut self, body: &Value) -> (u16, Value) {
        let empty = Vec::new();
        let list = |key: &str| body[key].as_array().unwrap_or(&empty);
        let revision = |key: &str| self.keys.get(key).map_or(0, |v| v.1);
        let failed: Vec<&str> = list("if")
            .iter()
            .filter_map(|c| Some((c["k"].as_str()?, c["stamp"].as_u64()?)))
            .filter(|(key, at)| revision(key) != *at)
            .map(|(key, _)| key)
            .collect();
        if list("apply").iter().any(|c| c["permit"].as_u64().is_some_and(|p| !self.grants.contains_key(&p))) {
            return (400, json!({"error": "no such lease"}));
        }
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.store_revision}));
        }
        if !list("apply").is_empty() {
            self.store_revision += 1;
        }
        let store_revision = self.store_revision;
        for change in list("apply") {
            if let Some(key) = change["set"].as_str() {
                self.keys
                    .insert(key.into(), (change["v"].clone(), store_revision, change["permit"].as_u64()));
                self.tell(json!({"set": key, "v": change["v"], "stamp": store_revision}));
            } else if let Some(key) = change["drop"].as_str() {
                self.drop_key(key.into());
            }
        }
        (200, json!({"epoch": store_revision}))
    }

    fn range(&self, query: &Query) -> Value {
        let text = |key: &str| query.get(key).map_or("", String::as_str);
        let most: usize = text("most").parse().unwrap_or(1000).min(1000);
        let mut pairs: Vec<Value> = self
            .keys
            .range(text("under").to_string()..)
            .take_while(|(k, _)| k.starts_with(text("under")))
            .filter(|(k, _)| k.as_str() > text("from"))
            .take(most + 1)
            .map(|(k, v)| json!({"k": k, "v": v.0, "stamp": v.1}))
            .collect();
        let more = pairs.len() > most;
        pairs.truncate(most);
        json!({"pairs": pairs, "more": more, "epoch": self.store_revision})
    }

    /// What changed under a prefix after a revision; none if that is too long ago.
    fn since(&self, under: &str, from: u64) -> Option<Vec<Value>> {
        if self.news.len() >= HISTORY && self.news.first().is_some_and(|(at, _)| *at > from + 1) {
            return None;
        }
        let of = |n: &Value| n["set"].as_str().or(n["drop"].as_str()).is_some_and(|k| k.starts_with(under));
        Some(self.news.iter().filter(|(at, n)| *at > from && of(n)).map(|(_, n)| n.clone()).collect())
    }
}

impl StoreHandle {
    fn lock(&self) -> MutexGuard<'_, Store> {
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        store.expire();
        store
    }

    /// A value, as the workers' stand-ins look up what a job is.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.lock().keys.get(key).map(|v| v.0.clone())
    }

    async fn watch(self, query: Query) -> Response {
        let number = |key: &str| query.get(key).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let under = query.get("under").cloned().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("block_ms").min(60_000));
        loop {
            let changed = self.changed.notified();
            let (store_revision, news) = {
                let store = self.lock();
                (store.store_revision, store.since(&under, number("from")))
            };
            match news {
                None => return reply(410, &json!({"epoch": store_revision})),
                Some(news) if !news.is_empty() || Instant::now() >= until => {
                    return reply(200, &json!({"epoch": store_revision, "news": news}));
                }
                Some(_) => {
                    let left =
                        until.saturating_duration_since(Instant::now()).min(Duration::from_millis(200));
                    let _ = tokio::time::timeout(left, changed).await;
                }
            }
        }
    }

    fn answer(&self, method: &warp::http::Method, path: &str, query: &Query, body: &Value) -> Response {
        let mut store = self.lock();
        let (status, body) = match (method.as_str(), path.trim_start_matches('/')) {
            ("GET", "kv") => (200, store.range(query)),
            ("GET", path) if path.starts_with("kv/") => {
                match store.keys.get_key_value(&path["kv/".len()..]) {
                    Some((k, v)) => (200, json!({"k": k, "v": v.0, "stamp": v.1, "permit": v.2})),
                    None => (404, json!({"epoch": store.store_revision})),
                }
            }
            ("POST", "multi") => store.multi(body),
            ("POST", "grants") => {
                let life = Duration::from_millis(body["life_ms"].as_u64().unwrap_or(5000));
                store.next_grant += 1;
                let id = store.next_grant;
                store.grants.insert(id, (life, Instant::now() + life));
                (200, json!({"permit": id}))
            }
            (method, path) if path.starts_with("grants/") => {
                let id = path.split('/').nth(1).and_then(|id| id.parse().ok()).unwrap_or(0);
                match (method, store.grants.get_mut(&id)) {
                    ("DELETE", Some(_)) => {
                        store.end(id);
                        (200, json!({}))
                    }
                    (_, Some((life, ends))) => {
                        *ends = Instant::now() + *life;
                        (200, json!({}))
                    }
                    _ => (404, json!({})),
                }
            }
            _ => (400, json!({"error": "malformed"})),
        };
        drop(store);
        self.changed.notify_waiters();
        reply(status, &body)
    }

    /// Serves it on a free port.
    pub fn serve(&self) -> std::io::Result<SocketAddr> {
        let (state, watched) = (self.clone(), self.clone());
        let watch =
            warp::path!("watch").and(warp::query::<Query>()).then(move |query| watched.clone().watch(query));
        let rest =
            warp::method().and(warp::path::full()).and(warp::query::<Query>()).and(warp::body::bytes()).map(
                move |method, path: warp::path::FullPath, query, body: bytes::Bytes| {
                    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
                    state.answer(&method, path.as_str(), &query, &body)
                },
            );
        crate::serve(watch.or(rest))
    }
}
