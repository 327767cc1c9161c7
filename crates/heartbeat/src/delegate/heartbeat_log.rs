//! The newest heartbeats that this node has answered, and which of them are not yet reported to the leader.
//!
//! Used by the [`Delegate`](super::Delegate).

use super::IncomingHeartbeat;
use crate::content_hash;
use crate::messages::{FullHeartbeat, HeartbeatDigest, HeartbeatPosition, UnchangedHeartbeat};
use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum interval between digests with changed heartbeats, which batches them.
const CHANGED_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between digests with unchanged heartbeats, which batches them.
const UNCHANGED_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes of content after which a digest is full; the remaining heartbeats are sent with the next one.
const MAX_DIGEST_BYTES: usize = 128 * 1024;
/// Heartbeats older than this are not reported to a new leader, since the worker may report to another node.
const MAX_AGE_FOR_NEW_LEADER: Duration = Duration::from_millis(15_000);
/// Heartbeats older than this are removed.
const MAX_AGE: Duration = Duration::from_millis(30_000);

/// The newest heartbeat of a machine.
#[derive(Debug, Clone)]
struct LoggedHeartbeat {
    position: HeartbeatPosition,
    received_at: MonotonicTime,
    content: Vec<u8>,
    hash: u64,
}

/// The newest heartbeat of each machine. `changed` and `unchanged` hold the machines whose newest heartbeat is
/// not reported yet.
#[derive(Debug, Clone, Default)]
pub(super) struct HeartbeatLog {
    newest: BTreeMap<MachineId, LoggedHeartbeat>,
    /// To be reported with content.
    changed: BTreeSet<MachineId>,
    /// To be reported as unchanged.
    unchanged: BTreeSet<MachineId>,
    next_changed_at: MonotonicTime,
    next_unchanged_at: MonotonicTime,
}

impl HeartbeatLog {
    pub(super) fn len(&self) -> usize {
        self.newest.len()
    }

    /// Logs a heartbeat that this node answers. It is ignored if a newer one is known.
    pub(super) fn received(&mut self, heartbeat: IncomingHeartbeat<'_>, now: MonotonicTime) {
        let IncomingHeartbeat { machine, position, content, .. } = heartbeat;
        let hash = content_hash(&content);
        let known = self.newest.get(machine);
        if known.is_some_and(|known| !position.is_newer(&known.position)) {
            return;
        }
        let same_content =
            known.is_some_and(|known| known.hash == hash && known.position.has_same_context(&position));
        if same_content && !self.changed.contains(machine) {
            self.unchanged.insert(machine.clone());
        } else {
            self.unchanged.remove(machine);
            self.changed.insert(machine.clone());
        }
        let logged = LoggedHeartbeat { position, received_at: now, content, hash };
        self.newest.insert(machine.clone(), logged);
    }

    /// Removes the heartbeat of a machine whose worker is redirected to another node.
    pub(super) fn remove(&mut self, machine: &MachineId) {
        self.newest.remove(machine);
        self.changed.remove(machine);
        self.unchanged.remove(machine);
    }

    /// Schedules the newest heartbeats of these machines, if known, to be reported with content.
    pub(super) fn report_in_full(&mut self, machines: Vec<MachineId>) {
        self.changed.extend(machines.into_iter().filter(|machine| self.newest.contains_key(machine)));
    }

    /// Schedules all recent heartbeats to be reported with content at once; older ones are removed.
    pub(super) fn report_all_in_full(&mut self, now: MonotonicTime) {
        self.newest.retain(|_, logged| now.since(logged.received_at) < MAX_AGE_FOR_NEW_LEADER);
        self.changed = self.newest.keys().cloned().collect();
        self.unchanged.clear();
        self.next_changed_at = now;
    }

    /// Empties the log and returns all recent heartbeats.
    pub(super) fn take_recent(&mut self, now: MonotonicTime) -> Vec<FullHeartbeat> {
        self.changed.clear();
        self.unchanged.clear();
        let newest = std::mem::take(&mut self.newest);
        newest
            .into_iter()
            .filter(|(_, logged)| now.since(logged.received_at) < MAX_AGE_FOR_NEW_LEADER)
            .map(|(machine, logged)| FullHeartbeat {
                machine,
                position: logged.position,
                age: now.since(logged.received_at),
                content: logged.content,
            })
            .collect()
    }

    /// A digest of the heartbeats that are not reported yet, if one is due. A digest is sent even if it
    /// contains no heartbeats, so that the leader knows that this node responds.
    pub(super) fn next_digest(
        &mut self,
        fencing_token: FencingToken,
        sequence: u64,
        now: MonotonicTime,
    ) -> Option<HeartbeatDigest> {
        let changed_due = !self.changed.is_empty() && now >= self.next_changed_at;
        let unchanged_due = now >= self.next_unchanged_at;
        if !changed_due && !unchanged_due {
            return None;
        }
        self.next_changed_at = now + CHANGED_INTERVAL;
        let full = self.take_changed(now);
        let mut unchanged = Vec::new();
        if unchanged_due {
            self.next_unchanged_at = now + UNCHANGED_INTERVAL;
            unchanged = self.take_unchanged(now);
        }
        Some(HeartbeatDigest { fencing_token, sequence, full, unchanged })
    }

    fn take_changed(&mut self, now: MonotonicTime) -> Vec<FullHeartbeat> {
        let mut full = Vec::new();
        let mut bytes = 0;
        while bytes < MAX_DIGEST_BYTES
            && let Some(machine) = self.changed.pop_first()
        {
            let Some(logged) = self.newest.get(&machine) else { continue };
            bytes += logged.content.len();
            full.push(FullHeartbeat {
                machine,
                position: logged.position,
                age: now.since(logged.received_at),
                content: logged.content.clone(),
            });
        }
        full
    }

    fn take_unchanged(&mut self, now: MonotonicTime) -> Vec<UnchangedHeartbeat> {
        let mut unchanged = Vec::new();
        for machine in std::mem::take(&mut self.unchanged) {
            let Some(logged) = self.newest.get(&machine) else { continue };
            unchanged.push(UnchangedHeartbeat {
                machine,
                position: logged.position,
                age: now.since(logged.received_at),
                hash: logged.hash,
            });
        }
        unchanged
    }

    /// Removes old heartbeats.
    pub(super) fn prune(&mut self, now: MonotonicTime) {
        self.newest.retain(|_, logged| now.since(logged.received_at) < MAX_AGE);
    }
}
