//! A digest of the effects of a simulation's nodes. Runs with the same effects at the same times have equal
//! digests.
//!
//! It covers each effect as it is sent over the network, and no Rust name, `Debug` output or derived `Hash`,
//! so renaming items does not change the digest.

use crate::node::Effect;
use crate::types::{Duration, LeaseId, RequestId, Revision};
use xxhash_rust::xxh3::Xxh3Default;

/// A tag that distinguishes the kinds of hashed data.
#[derive(Clone, Copy)]
enum Section {
    Answer = 1,
    StoreRequest = 2,
    CloudRequest = 3,
    WorkerRequest = 4,
    PeerMessage = 5,
    StoredValue = 6,
}

/// An incremental hash over effects and stored values, in order.
#[derive(Clone, Default)]
pub struct Digest {
    hasher: Xxh3Default,
}

impl Digest {
    /// Adds an effect of a node at a simulated time, in milliseconds.
    pub fn effect(&mut self, now_ms: u64, node: usize, effect: &Effect) {
        self.number(now_ms);
        self.number(node as u64);
        match effect {
            Effect::Answer { request, status, retry_after_s, headers, body } => {
                self.section(Section::Answer);
                self.number(request.0);
                self.number(u64::from(*status));
                self.optional_number(retry_after_s.map(u64::from));
                self.number(headers.len() as u64);
                for (name, value) in headers {
                    self.bytes(name.as_bytes());
                    self.bytes(value.as_bytes());
                }
                self.bytes(body.as_bytes());
            }
            Effect::Store { request_id, request, timeout } => {
                self.section(Section::StoreRequest);
                self.request(*request_id, &request.http(), *timeout);
            }
            Effect::Cloud { request_id, request, timeout } => {
                self.section(Section::CloudRequest);
                self.request(*request_id, &request.http(), *timeout);
            }
            Effect::Worker { request_id, addr, body, timeout } => {
                self.section(Section::WorkerRequest);
                self.number(request_id.0);
                self.bytes(addr.as_bytes());
                self.bytes(body.as_bytes());
                self.number(timeout.0);
            }
            Effect::Peer { to, bytes } => {
                self.section(Section::PeerMessage);
                self.bytes(to.as_str().as_bytes());
                self.bytes(bytes);
            }
        }
    }

    /// Adds a value of the key-value store with its revision and the lease that it is bound to.
    pub fn stored(&mut self, key: &str, value: &str, revision: Revision, lease: Option<LeaseId>) {
        self.section(Section::StoredValue);
        self.bytes(key.as_bytes());
        self.bytes(value.as_bytes());
        self.number(revision.0);
        self.optional_number(lease.map(|lease| lease.0));
    }

    /// Returns the hash of everything added so far.
    pub fn finish(&self) -> u64 {
        self.hasher.digest()
    }

    fn request(&mut self, request_id: RequestId, request: &crate::wire::HttpRequest, timeout: Duration) {
        let crate::wire::HttpRequest { method, path, body } = request;
        self.number(request_id.0);
        self.bytes(method.as_str().as_bytes());
        self.bytes(path.as_bytes());
        self.bytes(body);
        self.number(timeout.0);
    }

    fn section(&mut self, section: Section) {
        self.hasher.update(&[section as u8]);
    }

    fn number(&mut self, number: u64) {
        self.hasher.update(&number.to_le_bytes());
    }

    fn optional_number(&mut self, number: Option<u64>) {
        self.hasher.update(&[u8::from(number.is_some())]);
        self.number(number.unwrap_or_default());
    }

    /// Adds the length before the bytes, so that different sequences of fields never hash the same bytes.
    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.hasher.update(bytes);
    }
}
