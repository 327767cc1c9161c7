//! The newest heartbeats that this node has answered, and what of them the leader has not been told.
//!
//! Used by the [`Delegate`](super::Delegate).

use super::IncomingHeartbeat;
use crate::content_hash;
use crate::messages::{FullHeartbeat, HeartbeatDigest, HeartbeatPosition, UnchangedHeartbeat};
use pearford_types::{Duration, FencingToken, MachineId, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};

/// How long changed heartbeats wait for more of them.
const CHANGED_INTERVAL: Duration = Duration::from_millis(100);
/// How long unchanged heartbeats wait for more of them.
const UNCHANGED_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes of content after which a digest is full; the rest goes with the next one.
const MAX_DIGEST_BYTES: usize = 128 * 1024;
/// A heartbeat that is older is not reported to a new leader: the worker may have gone to another node.
const MAX_AGE_FOR_NEW_LEADER: Duration = Duration::from_millis(15_000);
/// A heartbeat that is older is forgotten.
const MAX_AGE: Duration = Duration::from_millis(30_000);

/// The newest heartbeat of a machine.
#[derive(Debug, Clone)]
struct LoggedHeartbeat {
    position: HeartbeatPosition,
    received_at: MonotonicTime,
    content: Vec<u8>,
    hash: u64,
}

/// Heartbeats by machine. Of a machine in `changed` or `unchanged` the newest one has not been reported yet;
/// no machine is in both.
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

    /// This node answers a heartbeat. One that was overtaken by a newer one changes nothing.
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

    /// A machine's worker reports to another node now.
    pub(super) fn forget(&mut self, machine: &MachineId) {
        self.newest.remove(machine);
        self.changed.remove(machine);
        self.unchanged.remove(machine);
    }

    /// Reports these machines' newest heartbeats with content, as far as they are known.
    pub(super) fn report_in_full(&mut self, machines: Vec<MachineId>) {
        self.changed.extend(machines.into_iter().filter(|machine| self.newest.contains_key(machine)));
    }

    /// Reports all recent heartbeats with content, at once; older ones are forgotten.
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

    /// What has not been reported, if it is time for a digest. One without heartbeats is due, too: it tells
    /// the leader that this node responds.
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

    /// Forgets machines that have not been heard for long.
    pub(super) fn prune(&mut self, now: MonotonicTime) {
        self.newest.retain(|_, logged| now.since(logged.received_at) < MAX_AGE);
    }
}
