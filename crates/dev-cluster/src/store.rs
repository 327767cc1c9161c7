//! A simulated key-value store with an HTTP interface. Its contents are not persisted.

mod state;

use crate::http_server::{self, Answer};
use serde_json::{Value, json};
use state::Store;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use warp::Filter;
use warp::http::{Method, StatusCode};
use warp::path::FullPath;
use warp::reply::Response;

/// Maximum time that a watch waits for a change, in milliseconds.
const MAX_WATCH_MS: u64 = 60_000;
/// Interval at which a waiting watch checks for changes without a notification, to detect expired leases.
const WATCH_POLL: Duration = Duration::from_millis(200);
/// Default duration of a lease, in milliseconds.
const DEFAULT_LEASE_MS: u64 = 5000;

/// A request's query parameters.
type Query = HashMap<String, String>;

/// The store. Clones share its contents.
#[derive(Clone, Default)]
pub struct StoreHandle {
    store: Arc<Mutex<Store>>,
    changed: Arc<Notify>,
}

impl StoreHandle {
    /// A key's value, if the key exists.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.lock().get(key).map(|entry| entry.value.clone())
    }

    /// Serves the store on a free port.
    ///
    /// # Errors
    ///
    /// The store can't listen on a port.
    pub fn serve(&self) -> std::io::Result<SocketAddr> {
        let watched = self.clone();
        let watch =
            warp::path!("watch").and(warp::query::<Query>()).then(move |query| watched.clone().watch(query));
        let store = self.clone();
        let rest =
            warp::method().and(warp::path::full()).and(warp::query::<Query>()).and(warp::body::bytes()).map(
                move |method: Method, path: FullPath, query, body: bytes::Bytes| {
                    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
                    store.answer(&method, path.as_str(), &query, &body)
                },
            );
        http_server::serve(watch.or(rest))
    }

    /// Locks the contents, after expiring leases and deleting their keys.
    fn lock(&self) -> MutexGuard<'_, Store> {
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        store.expire_leases();
        store
    }

    fn answer(&self, method: &Method, path: &str, query: &Query, body: &Value) -> Response {
        let mut store = self.lock();
        let answer = match (method.as_str(), path.trim_start_matches('/')) {
            ("GET", "kv") => range(&store, query),
            ("GET", path) if path.starts_with("kv/") => get(&store, &path["kv/".len()..]),
            ("POST", "multi") => store.transaction(body),
            ("POST", "grants") => {
                let ttl = Duration::from_millis(body["life_ms"].as_u64().unwrap_or(DEFAULT_LEASE_MS));
                Answer::ok(json!({"permit": store.grant_lease(ttl)}))
            }
            (method, path) if path.starts_with("grants/") => change_lease(&mut store, method, path),
            _ => Answer::malformed(),
        };
        drop(store);
        self.changed.notify_waiters();
        answer.into_response()
    }

    /// Answers with the changes of keys with a prefix since a revision; waits until there is one.
    async fn watch(self, query: Query) -> Response {
        let number = |key: &str| query.get(key).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let prefix = query.get("under").cloned().unwrap_or_default();
        let deadline = Instant::now() + Duration::from_millis(number("block_ms").min(MAX_WATCH_MS));
        loop {
            // Subscribes before reading the contents, so that no change in between is missed.
            let changed = self.changed.notified();
            if let Some(answer) = self.changes(&prefix, number("from"), Instant::now() >= deadline) {
                return answer.into_response();
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            // The contents are read again after a notification and after a timeout.
            let _ = tokio::time::timeout(remaining.min(WATCH_POLL), changed).await;
        }
    }

    /// The answer with the changes; `None` if there are none, unless `even_if_none`.
    fn changes(&self, prefix: &str, from: u64, even_if_none: bool) -> Option<Answer> {
        let store = self.lock();
        let revision = store.revision();
        match store.events_since(prefix, from) {
            None => Some(Answer::new(StatusCode::GONE, json!({"epoch": revision}))),
            Some(events) if events.is_empty() && !even_if_none => None,
            Some(events) => Some(Answer::ok(json!({"epoch": revision, "news": events}))),
        }
    }
}

fn get(store: &Store, key: &str) -> Answer {
    match store.get(key) {
        Some(entry) => {
            Answer::ok(json!({"k": key, "v": entry.value, "stamp": entry.revision, "permit": entry.lease}))
        }
        None => Answer::new(StatusCode::NOT_FOUND, json!({"epoch": store.revision()})),
    }
}

fn range(store: &Store, query: &Query) -> Answer {
    let text = |key: &str| query.get(key).map_or("", String::as_str);
    Answer::ok(store.range(text("under"), text("from"), text("most").parse().ok()))
}

/// Revokes or renews a lease.
fn change_lease(store: &mut Store, method: &str, path: &str) -> Answer {
    let lease = path.split('/').nth(1).and_then(|id| id.parse().ok()).unwrap_or(0);
    let known = match method {
        "DELETE" => store.revoke_lease(lease),
        _ => store.renew_lease(lease),
    };
    let status = if known { StatusCode::OK } else { StatusCode::NOT_FOUND };
    Answer::new(status, json!({}))
}
