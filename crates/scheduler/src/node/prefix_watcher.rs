//! Keeps a copy of all keys under one prefix up to date: reads them once, then watches; a watch
//! that returns at once brings the copy up to date for everything asked before it.

use super::outbox::{Outbox, Pending, Read, WatchedPrefix};
use crate::extension::Records;
use crate::jobs::JobCache;
use crate::types::{Duration, MonotonicTime};
use crate::wire::state::{Event, Pair, StoreReply, StoreRequest};
use rand::RngExt;
use rand::rngs::StdRng;

const PAGE: u32 = 500;
const WATCH_BLOCK: Duration = Duration::from_millis(10_000);
/// How old the last full look may get before there is another.
const FRESHEN_EVERY: Duration = Duration::from_millis(1000);

/// Where what was read goes.
pub(super) trait Replica {
    /// All changes up to this revision are in it, if not later ones.
    fn reach(&mut self, store_revision: u64);
    /// Everything has to be read again.
    fn forget_store_revision(&mut self);
    fn learn_pair(&mut self, pair: &Pair);
    fn learn_events(&mut self, store_revision: u64, events: &[Event]);
}

/// What an answer led to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Turn {
    Nothing,
    /// The read that was begun last is over; whether the copy is up to date as of its beginning.
    ReadEnds(bool),
}

#[derive(Debug)]
pub(super) struct PrefixWatcher {
    prefix: &'static str,
    watched: WatchedPrefix,
    /// Least time between reads that return at once. All requests that wait share one; reads of all
    /// nodes together stay within half of the service's rate, or a rush of users would starve the
    /// leader's grant.
    pause: Duration,
    listing: bool,
    watching: bool,
    syncing: bool,
    next_list: MonotonicTime,
    next_sync: MonotonicTime,
    /// Start of the newest read after which the copy was up to date.
    fresh_at: MonotonicTime,
    /// Reads begun, and the number of the newest after which the copy was up to date.
    begun: u64,
    up_to: u64,
    /// Number of the newest that came to nothing.
    failed: u64,
}

impl PrefixWatcher {
    pub fn new(watched: WatchedPrefix, prefix: &'static str, pause: Duration) -> Self {
        Self {
            prefix,
            watched,
            pause,
            begun: 0,
            up_to: 0,
            failed: 0,
            listing: false,
            watching: false,
            syncing: false,
            next_list: MonotonicTime::default(),
            next_sync: MonotonicTime::default(),
            fresh_at: MonotonicTime::default(),
        }
    }

    pub fn fresh_at(&self) -> MonotonicTime {
        self.fresh_at
    }

    /// Reads begun so far: a later one sees all that has happened by now.
    pub fn begun(&self) -> u64 {
        self.begun
    }

    /// Whether a read begun after `begun` were is over, and if so whether it has brought the copy up to
    /// date: whoever waits for one that has failed is told at once.
    pub fn is_past(&self, begun: u64) -> Option<bool> {
        match (self.up_to > begun, self.failed > begun) {
            (true, _) => Some(true),
            (false, true) => Some(false),
            (false, false) => None,
        }
    }

    /// Sends what is due; whether a read began that answers all that was asked so far. `wanted`:
    /// something waits for one.
    pub fn pump(
        &mut self,
        now: MonotonicTime,
        store_revision: Option<u64>,
        wanted: bool,
        out: &mut Outbox,
    ) -> bool {
        let Some(from) = store_revision else {
            if !self.listing && now >= self.next_list {
                self.page(None, None, out);
            }
            return false;
        };
        if !self.watching && now >= self.next_list {
            self.watching = true;
            self.watch(from, WATCH_BLOCK, Read::Watch, out);
        }
        // A node without requests must still learn whether it reaches the state service, or it
        // would call itself unfit, get no requests, and never find out.
        let stale = self.watched == WatchedPrefix::Jobs && now.since(self.fresh_at) >= FRESHEN_EVERY;
        let begins = !self.syncing && now >= self.next_sync && (wanted || stale);
        if begins {
            self.syncing = true;
            self.begun += 1;
            self.next_sync = now + self.pause;
            self.watch(from, Duration::from_millis(0), Read::Sync { began: now }, out);
        }
        begins
    }

    fn watch(&self, from: u64, partition: Duration, read: Read, out: &mut Outbox) {
        let request = StoreRequest::Watch { prefix: self.prefix, from, block_ms: partition.0 };
        out.request_store(request, Pending::Follow(self.watched, read));
    }

    fn page(&mut self, after: Option<String>, first_store_revision: Option<u64>, out: &mut Outbox) {
        self.listing = true;
        let request = StoreRequest::Range { prefix: self.prefix, after, most: PAGE };
        out.request_store(request, Pending::Follow(self.watched, Read::Page { first_store_revision }));
    }

    pub fn reply(
        &mut self,
        now: MonotonicTime,
        read: Read,
        reply: StoreReply,
        replica: &mut impl Replica,
        rng: &mut StdRng,
        out: &mut Outbox,
    ) -> Turn {
        match (read, reply) {
            (Read::Page { first_store_revision }, StoreReply::Pairs { pairs, more, store_revision }) => {
                self.listing = false;
                pairs.iter().for_each(|p| replica.learn_pair(p));
                // What changed while the pages were read is learned again by watching from the first.
                let first = first_store_revision.unwrap_or(store_revision);
                match pairs.last() {
                    Some(last) if more => self.page(Some(last.key.clone()), Some(first), out),
                    _ => replica.reach(first),
                }
            }
            (Read::Page { .. }, _) => {
                self.listing = false;
                self.next_list = now + Duration::from_millis(rng.random_range(200..600));
            }
            (Read::Watch, reply) => {
                self.watching = false;
                match reply {
                    StoreReply::Events { store_revision, events } => {
                        replica.learn_events(store_revision, &events)
                    }
                    StoreReply::TooOld => replica.forget_store_revision(),
                    _ => self.next_list = now + Duration::from_millis(rng.random_range(200..500)),
                }
            }
            (Read::Sync { began }, StoreReply::Events { store_revision, events }) => {
                self.syncing = false;
                replica.learn_events(store_revision, &events);
                self.fresh_at = self.fresh_at.max(began);
                self.up_to = self.begun;
                return Turn::ReadEnds(true);
            }
            (Read::Sync { .. }, reply) => {
                self.syncing = false;
                self.failed = self.begun;
                if reply == StoreReply::TooOld {
                    replica.forget_store_revision();
                }
                self.next_sync = now + Duration::from_millis(rng.random_range(50..150));
                return Turn::ReadEnds(false);
            }
        }
        Turn::Nothing
    }
}

impl Replica for JobCache {
    fn reach(&mut self, store_revision: u64) {
        JobCache::reach(self, store_revision);
    }
    fn forget_store_revision(&mut self) {
        JobCache::forget_store_revision(self);
    }
    fn learn_pair(&mut self, pair: &Pair) {
        JobCache::learn_pair(self, pair);
    }
    fn learn_events(&mut self, store_revision: u64, events: &[Event]) {
        JobCache::learn_events(self, store_revision, events);
    }
}

impl Replica for Records {
    fn reach(&mut self, store_revision: u64) {
        Records::reach(self, store_revision);
    }
    fn forget_store_revision(&mut self) {
        Records::forget_store_revision(self);
    }
    fn learn_pair(&mut self, pair: &Pair) {
        self.learn(&pair.key, pair.revision, &pair.value);
    }
    fn learn_events(&mut self, store_revision: u64, events: &[Event]) {
        Records::learn_events(self, store_revision, events);
    }
}
