//! Keeps a copy of all keys under one prefix of the key-value store up to date.
//!
//! The keys are read once, page by page; then a watch that waits for changes keeps the copy up to date. A
//! second watch, which returns immediately, proves that the copy is at least as recent as the time when it
//! was sent: users' requests wait for such a *sync read*. The controller has one watcher for the job records
//! and one for each extension.

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
/// A watch with this wait returns immediately.
const NO_WAIT: Duration = Duration::from_millis(0);
/// Maximum age of the last sync read of the job records; when it is reached, another one is sent.
const MAX_SYNC_AGE: Duration = Duration::from_millis(1000);
/// Range of the random delay after a failed read of a page, in ms.
const PAGE_RETRY_DELAY_MS: Range<u64> = 200..600;
/// Range of the random delay after a failed watch, in ms.
const WATCH_RETRY_DELAY_MS: Range<u64> = 200..500;
/// Range of the random delay after a failed sync read, in ms.
const SYNC_RETRY_DELAY_MS: Range<u64> = 50..150;

/// A copy of records that a watcher updates.
pub(super) trait Replica {
    /// Records that the copy has all changes up to this revision.
    fn advance_to(&mut self, store_revision: u64);
    /// Marks the copy as incomplete: all keys have to be read again.
    fn forget_store_revision(&mut self);
    /// Adds a key's value to the copy. The value may be older than the one there.
    fn apply_pair(&mut self, pair: &Pair);
    /// Applies the changes that a watch has returned: all changes up to `store_revision`.
    fn apply_events(&mut self, store_revision: u64, events: &[Event]);
}

/// Outcome of a sync read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// The copy is at least as recent as the start of the read.
    Succeeded,
    /// The read returned no changes that the copy could apply.
    Failed,
}

/// Schedules the reads that keep the copy of one prefix up to date.
#[derive(Debug)]
pub(super) struct PrefixWatcher {
    prefix: &'static str,
    watched: WatchedPrefix,
    /// Minimum time between sync reads.
    sync_interval: Duration,
    /// A read of a page is in flight.
    listing: bool,
    /// A watch that waits for changes is in flight.
    watching: bool,
    /// A sync read is in flight.
    syncing: bool,
    /// Earliest time of the next page or watch.
    next_list: MonotonicTime,
    /// Earliest time of the next sync read.
    next_sync: MonotonicTime,
    /// Start of the latest sync read that succeeded.
    fresh_at: MonotonicTime,
    /// Number of sync reads started so far; each read is numbered by this count at its start.
    reads_started: u64,
    /// Number of the latest sync read that succeeded.
    last_succeeded: u64,
    /// Number of the latest sync read that failed.
    last_failed: u64,
}

impl PrefixWatcher {
    /// Creates a watcher that has read nothing yet.
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
            reads_started: 0,
            last_succeeded: 0,
            last_failed: 0,
        }
    }

    /// The time up to which the copy is known to have all changes.
    pub fn fresh_at(&self) -> MonotonicTime {
        self.fresh_at
    }

    /// Number of sync reads started so far. Any later read returns all changes made until now.
    pub fn reads_started(&self) -> u64 {
        self.reads_started
    }

    /// Outcome of the sync reads after the first `reads_started`: a success if any of them has succeeded,
    /// otherwise a failure as soon as one has failed. `None` while none of them has completed.
    pub fn outcome_since(&self, reads_started: u64) -> Option<ReadOutcome> {
        if self.last_succeeded > reads_started {
            Some(ReadOutcome::Succeeded)
        } else if self.last_failed > reads_started {
            Some(ReadOutcome::Failed)
        } else {
            None
        }
    }

    /// Sends the reads that are due. `store_revision` is the copy's, `None` while it is incomplete; `wanted`
    /// is true while a request waits for a sync read. Returns whether a sync read has been started.
    pub fn send_due_reads(
        &mut self,
        now: MonotonicTime,
        store_revision: Option<u64>,
        wanted: bool,
        outbox: &mut Outbox,
    ) -> bool {
        let Some(from) = store_revision else {
            if !self.listing && now >= self.next_list {
                self.read_page(None, None, outbox);
            }
            return false;
        };
        if !self.watching && now >= self.next_list {
            self.watching = true;
            self.watch(from, WATCH_WAIT, Read::Watch, outbox);
        }
        // A node without requests must still check whether it reaches the key-value store. Otherwise it would
        // report itself as unhealthy, receive no requests, and stay unhealthy.
        let stale = self.watched == WatchedPrefix::Jobs && now.since(self.fresh_at) >= MAX_SYNC_AGE;
        let starts = !self.syncing && now >= self.next_sync && (wanted || stale);
        if starts {
            self.syncing = true;
            self.reads_started += 1;
            self.next_sync = now + self.sync_interval;
            self.watch(from, NO_WAIT, Read::Sync { started_at: now }, outbox);
        }
        starts
    }

    fn watch(&self, from: u64, wait: Duration, read: Read, outbox: &mut Outbox) {
        let request = StoreRequest::Watch { prefix: self.prefix, from, block_ms: wait.0 };
        outbox.request_store(request, Pending::PrefixRead(self.watched, read));
    }

    fn read_page(&mut self, after: Option<String>, first_store_revision: Option<u64>, outbox: &mut Outbox) {
        self.listing = true;
        let request = StoreRequest::Range { prefix: self.prefix, after, limit: PAGE_SIZE };
        outbox.request_store(request, Pending::PrefixRead(self.watched, Read::Page { first_store_revision }));
    }

    /// Processes the reply to one of its reads. Returns the outcome if it was a sync read.
    pub fn reply(
        &mut self,
        now: MonotonicTime,
        read: Read,
        reply: StoreReply,
        replica: &mut impl Replica,
        rng: &mut StdRng,
        outbox: &mut Outbox,
    ) -> Option<ReadOutcome> {
        match read {
            Read::Page { first_store_revision } => {
                self.page_reply(now, first_store_revision, reply, replica, rng, outbox);
                None
            }
            Read::Watch => {
                self.watch_reply(now, reply, replica, rng);
                None
            }
            Read::Sync { started_at } => Some(self.sync_reply(now, started_at, reply, replica, rng)),
        }
    }

    fn page_reply(
        &mut self,
        now: MonotonicTime,
        first_store_revision: Option<u64>,
        reply: StoreReply,
        replica: &mut impl Replica,
        rng: &mut StdRng,
        outbox: &mut Outbox,
    ) {
        self.listing = false;
        let StoreReply::Pairs { pairs, more, store_revision } = reply else {
            self.next_list = now + random_delay(PAGE_RETRY_DELAY_MS, rng);
            return;
        };
        pairs.iter().for_each(|pair| replica.apply_pair(pair));
        // A watch from the first page's revision returns the changes made while the pages were read.
        let first = first_store_revision.unwrap_or(store_revision);
        match pairs.last() {
            Some(last) if more => self.read_page(Some(last.key.clone()), Some(first), outbox),
            _ => replica.advance_to(first),
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
            StoreReply::Events { store_revision, events } => replica.apply_events(store_revision, &events),
            StoreReply::TooOld => replica.forget_store_revision(),
            _ => self.next_list = now + random_delay(WATCH_RETRY_DELAY_MS, rng),
        }
    }

    fn sync_reply(
        &mut self,
        now: MonotonicTime,
        started_at: MonotonicTime,
        reply: StoreReply,
        replica: &mut impl Replica,
        rng: &mut StdRng,
    ) -> ReadOutcome {
        self.syncing = false;
        if let StoreReply::Events { store_revision, events } = reply {
            replica.apply_events(store_revision, &events);
            self.fresh_at = self.fresh_at.max(started_at);
            self.last_succeeded = self.reads_started;
            return ReadOutcome::Succeeded;
        }
        self.last_failed = self.reads_started;
        if reply == StoreReply::TooOld {
            replica.forget_store_revision();
        }
        self.next_sync = now + random_delay(SYNC_RETRY_DELAY_MS, rng);
        ReadOutcome::Failed
    }
}

fn random_delay(range_ms: Range<u64>, rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(range_ms))
}

impl Replica for JobCache {
    fn advance_to(&mut self, store_revision: u64) {
        JobCache::reach(self, store_revision);
    }

    fn forget_store_revision(&mut self) {
        JobCache::forget_store_revision(self);
    }

    fn apply_pair(&mut self, pair: &Pair) {
        JobCache::learn_pair(self, pair);
    }

    fn apply_events(&mut self, store_revision: u64, events: &[Event]) {
        JobCache::learn_events(self, store_revision, events);
    }
}

impl Replica for Records {
    fn advance_to(&mut self, store_revision: u64) {
        Records::reach(self, store_revision);
    }

    fn forget_store_revision(&mut self) {
        Records::forget_store_revision(self);
    }

    fn apply_pair(&mut self, pair: &Pair) {
        self.learn(&pair.key, pair.revision, &pair.value);
    }

    fn apply_events(&mut self, store_revision: u64, events: &[Event]) {
        Records::learn_events(self, store_revision, events);
    }
}
