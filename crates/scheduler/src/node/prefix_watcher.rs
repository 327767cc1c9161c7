//! Keeps a copy of all keys under one prefix of the key-value store up to date.
//!
//! The keys are read once, page by page; then a watch that waits for changes keeps the copy up to date. A second
//! watch, which returns at once, proves that the copy is as new as the moment it was sent: users' requests wait for
//! such a *sync read*. The controller has one watcher for the job records and one for each extension.

use super::outbox::{Outbox, Pending, Read, WatchedPrefix};
use crate::extension::Records;
use crate::jobs::JobCache;
use crate::types::{Duration, MonotonicTime};
use crate::wire::state::{Event, Pair, StoreReply, StoreRequest};
use rand::RngExt;
use rand::rngs::StdRng;
use std::ops::Range;

/// Keys in a page.
const PAGE_SIZE: u32 = 500;
/// How long a watch may wait for changes.
const WATCH_WAIT: Duration = Duration::from_millis(10_000);
/// A watch with this wait returns at once.
const NO_WAIT: Duration = Duration::from_millis(0);
/// Greatest age of the last sync read of the job records.
const SYNC_EVERY: Duration = Duration::from_millis(1000);
/// Random pause after a failed page, in ms.
const PAGE_RETRY_MS: Range<u64> = 200..600;
/// Random pause after a failed watch, in ms.
const WATCH_RETRY_MS: Range<u64> = 200..500;
/// Random pause after a failed sync read, in ms.
const SYNC_RETRY_MS: Range<u64> = 50..150;

/// A copy of records that a watcher keeps up to date.
pub(super) trait Replica {
    /// All changes up to this revision are in the copy, if not later ones.
    fn reach(&mut self, store_revision: u64);
    /// Everything has to be read again.
    fn forget_store_revision(&mut self);
    /// Learns a key's value, which may be older than the known one.
    fn learn_pair(&mut self, pair: &Pair);
    /// Learns the changes that a watch has returned, which are all up to `store_revision`.
    fn learn_events(&mut self, store_revision: u64, events: &[Event]);
}

/// How a sync read has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// The copy is as new as the beginning of the read.
    Succeeded,
    /// There was no result.
    Failed,
}

/// The reads of one prefix.
#[derive(Debug)]
pub(super) struct PrefixWatcher {
    prefix: &'static str,
    watched: WatchedPrefix,
    /// Least time between sync reads.
    sync_interval: Duration,
    /// A page is under way.
    listing: bool,
    /// A watch that waits for changes is under way.
    watching: bool,
    /// A sync read is under way.
    syncing: bool,
    /// Earliest time of the next page or watch.
    next_list: MonotonicTime,
    /// Earliest time of the next sync read.
    next_sync: MonotonicTime,
    /// When the newest sync read that succeeded began.
    fresh_at: MonotonicTime,
    /// Sync reads begun so far; the count at its beginning is a read's number.
    reads_begun: u64,
    /// Number of the newest sync read that succeeded.
    last_succeeded: u64,
    /// Number of the newest sync read that failed.
    last_failed: u64,
}

impl PrefixWatcher {
    /// A watcher that has read nothing yet.
    pub fn new(watched: WatchedPrefix, prefix: &'static str, sync_interval: Duration) -> Self {
        Self {
            prefix,
            watched,
            sync_interval,
            listing: false,
            watching: false,
            syncing: false,
            next_list: MonotonicTime::default(),
            next_sync: MonotonicTime::default(),
            fresh_at: MonotonicTime::default(),
            reads_begun: 0,
            last_succeeded: 0,
            last_failed: 0,
        }
    }

    /// The copy has all changes up to this time.
    pub fn fresh_at(&self) -> MonotonicTime {
        self.fresh_at
    }

    /// Sync reads begun so far: a later one sees all that has happened by now.
    pub fn reads_begun(&self) -> u64 {
        self.reads_begun
    }

    /// How sync reads later than the first `reads_begun` have ended: whoever waits for one learns at once that it has
    /// failed, unless another one has succeeded. `None` while none has ended.
    pub fn read_after(&self, reads_begun: u64) -> Option<ReadOutcome> {
        if self.last_succeeded > reads_begun {
            Some(ReadOutcome::Succeeded)
        } else if self.last_failed > reads_begun {
            Some(ReadOutcome::Failed)
        } else {
            None
        }
    }

    /// Sends the reads that are to be sent now. `store_revision` is the copy's, `None` while it is incomplete;
    /// `wanted` says that something waits for a sync read. Returns whether one has begun.
    pub fn pump(
        &mut self,
        now: MonotonicTime,
        store_revision: Option<u64>,
        wanted: bool,
        out: &mut Outbox,
    ) -> bool {
        let Some(from) = store_revision else {
            if !self.listing && now >= self.next_list {
                self.read_page(None, None, out);
            }
            return false;
        };
        if !self.watching && now >= self.next_list {
            self.watching = true;
            self.watch(from, WATCH_WAIT, Read::Watch, out);
        }
        // A node without requests must still learn whether it reaches the key-value store, or it
        // would call itself unhealthy, get no requests, and never find out.
        let stale = self.watched == WatchedPrefix::Jobs && now.since(self.fresh_at) >= SYNC_EVERY;
        let begins = !self.syncing && now >= self.next_sync && (wanted || stale);
        if begins {
            self.syncing = true;
            self.reads_begun += 1;
            self.next_sync = now + self.sync_interval;
            self.watch(from, NO_WAIT, Read::Sync { began: now }, out);
        }
        begins
    }

    fn watch(&self, from: u64, wait: Duration, read: Read, out: &mut Outbox) {
        let request = StoreRequest::Watch { prefix: self.prefix, from, block_ms: wait.0 };
        out.request_store(request, Pending::Follow(self.watched, read));
    }

    fn read_page(&mut self, after: Option<String>, first_store_revision: Option<u64>, out: &mut Outbox) {
        self.listing = true;
        let request = StoreRequest::Range { prefix: self.prefix, after, most: PAGE_SIZE };
        out.request_store(request, Pending::Follow(self.watched, Read::Page { first_store_revision }));
    }

    /// Processes the reply to one of its reads. Returns how a sync read has ended, if this was the reply to one.
    pub fn reply(
        &mut self,
        now: MonotonicTime,
        read: Read,
        reply: StoreReply,
        replica: &mut impl Replica,
        rng: &mut StdRng,
        out: &mut Outbox,
    ) -> Option<ReadOutcome> {
        match read {
            Read::Page { first_store_revision } => {
                self.page_reply(now, first_store_revision, reply, replica, rng, out);
                None
            }
            Read::Watch => {
                self.watch_reply(now, reply, replica, rng);
                None
            }
            Read::Sync { began } => Some(self.sync_reply(now, began, reply, replica, rng)),
        }
    }

    fn page_reply(
        &mut self,
        now: MonotonicTime,
        first_store_revision: Option<u64>,
        reply: StoreReply,
        replica: &mut impl Replica,
        rng: &mut StdRng,
        out: &mut Outbox,
    ) {
        self.listing = false;
        let StoreReply::Pairs { pairs, more, store_revision } = reply else {
            self.next_list = now + random_pause(PAGE_RETRY_MS, rng);
            return;
        };
        pairs.iter().for_each(|pair| replica.learn_pair(pair));
        // What changed while the pages were read is learned by watching from the first page's revision.
        let first = first_store_revision.unwrap_or(store_revision);
        match pairs.last() {
            Some(last) if more => self.read_page(Some(last.key.clone()), Some(first), out),
            _ => replica.reach(first),
        }
    }

    fn watch_reply(
        &mut self,
        now: MonotonicTime,
        reply: StoreReply,
        replica: &mut impl Replica,
        rng: &mut StdRng,
    ) {
        self.watching = false;
        match reply {
            StoreReply::Events { store_revision, events } => replica.learn_events(store_revision, &events),
            StoreReply::TooOld => replica.forget_store_revision(),
            _ => self.next_list = now + random_pause(WATCH_RETRY_MS, rng),
        }
    }

    fn sync_reply(
        &mut self,
        now: MonotonicTime,
        began: MonotonicTime,
        reply: StoreReply,
        replica: &mut impl Replica,
        rng: &mut StdRng,
    ) -> ReadOutcome {
        self.syncing = false;
        if let StoreReply::Events { store_revision, events } = reply {
            replica.learn_events(store_revision, &events);
            self.fresh_at = self.fresh_at.max(began);
            self.last_succeeded = self.reads_begun;
            return ReadOutcome::Succeeded;
        }
        self.last_failed = self.reads_begun;
        if reply == StoreReply::TooOld {
            replica.forget_store_revision();
        }
        self.next_sync = now + random_pause(SYNC_RETRY_MS, rng);
        ReadOutcome::Failed
    }
}

fn random_pause(range_ms: Range<u64>, rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(range_ms))
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
