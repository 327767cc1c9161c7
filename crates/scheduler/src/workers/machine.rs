//! A machine and its worker: identity, status and health.

use super::capacity::CapacitySums;
use super::failed_jobs::FailedJobs;
use super::images::ImageCache;
use crate::assignments::{
    Assignment, AssignmentState, MAX_ASSIGNMENTS, MachineRecord, RecordedAssignment, WriteVersion,
};
use crate::types::{
    Attempt, Duration, FencingToken, Image, JobId, MachineId, MonotonicTime, Resources, TaskId, TypeName,
    WorkerEpoch, Zone,
};
use std::collections::{BTreeMap, BTreeSet};

/// Where a machine is between being rented and being returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineStatus {
    /// Rented; its worker has not reported yet.
    Booting,
    /// Its worker has reported.
    Up,
    /// Being returned: no task is placed there, and its tasks count as running until the cloud has confirmed
    /// the return with 200.
    Releasing,
}

/// Health of a machine, by the time since its worker's last heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Health {
    /// Its heartbeats arrive in time.
    Healthy,
    /// Its heartbeat is late.
    Degraded,
    /// No heartbeat has been received yet.
    Unknown,
    /// Its heartbeat is so late that the machine may be lost.
    Unreachable,
}

/// Maximum number of ended attempts, without done ones, that a worker has to keep because their starts may arrive
/// again. A machine with more is drained.
const MAX_KEPT_ATTEMPTS: usize = 256;

/// One attempt at a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
}

impl TaskAttempt {
    pub(super) fn of(task: &TaskId, attempt: Attempt) -> Self {
        Self { task: task.clone(), attempt }
    }
}

/// A hold on the free resources of a machine for one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityHold {
    /// The job for which the resources are held, for example after a preemption.
    pub job: JobId,
    /// Until when only this job may be placed on the machine.
    pub until: MonotonicTime,
}

/// The leader's state of a machine and its worker.
#[derive(Debug)]
pub struct Machine {
    /// Its id in the cloud.
    pub id: MachineId,
    /// The worker's address, once it is known.
    pub addr: Option<String>,
    /// Its machine type.
    pub type_name: TypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Its total resources.
    pub total: Resources,
    /// Where it is between being rented and being returned.
    pub status: MachineStatus,
    /// When it was rented.
    pub rented_at: MonotonicTime,
    /// When its worker's newest heartbeat was received.
    pub last_heartbeat: Option<MonotonicTime>,
    /// Number of consecutive probes without an answer since the last heartbeat.
    pub unanswered_probes: u32,
    /// When the worker last answered a probe.
    pub last_probe_answer: MonotonicTime,
    /// The worker's epoch, by its newest heartbeat.
    pub worker_epoch: WorkerEpoch,
    /// Serial number of its newest heartbeat; 0 if this leader has received none.
    pub serial: u64,
    /// The highest fencing token that the worker had seen, by its newest heartbeat.
    pub fencing_token: FencingToken,
    /// When the cloud will reclaim the spot instance, if it has given notice.
    pub spot_reclaim_at: Option<MonotonicTime>,
    /// The tasks that may be on the machine.
    pub assignments: BTreeMap<TaskId, Assignment>,
    pub(super) capacity_sums: CapacitySums,
    /// Reported tasks that have no assignment. They are stopped, and no task is placed on the machine as long
    /// as there are any.
    pub unknown_tasks: BTreeSet<TaskId>,
    /// Images that are on the machine.
    pub images: ImageCache,
    /// Since when the machine has been empty.
    pub empty_since: Option<MonotonicTime>,
    /// No task is placed on the machine before this time.
    pub no_placement_before: MonotonicTime,
    /// The worker epoch by an earlier leader's record, or by the worker's answer to a push of the fencing
    /// token. Requests to the worker contain it if it is newer than that of the newest heartbeat.
    pub last_known_epoch: WorkerEpoch,
    /// The write that makes each planned assignment durable.
    pub planned_writes: BTreeMap<TaskId, WriteVersion>,
    /// Jobs whose failures count against the machine.
    pub failed_jobs: FailedJobs,
    /// The job for which its free resources are held.
    pub capacity_hold: Option<CapacityHold>,
    /// Starts that were sent directly and got no answer, with the worker epoch that they name. They may still
    /// be executed until that epoch ends: until then the absence of the task from a heartbeat proves nothing,
    /// and the worker must not forget the attempt if it has ended, or it would start it again.
    pub unacknowledged_starts: BTreeMap<TaskAttempt, WorkerEpoch>,
    /// Starts that were sent directly in the current worker epoch, and when. Even one that was answered may
    /// arrive a second time, so the worker must not forget an attempt that has ended: it would start again, even
    /// if the task is done, and after its job was cancelled.
    pub(super) sent_starts: BTreeMap<TaskAttempt, MonotonicTime>,
    /// Number of ended attempts in its last heartbeat, without done ones, that are only kept because their start
    /// may arrive again.
    pub(super) kept_attempts: usize,
    /// Number of tasks in its last heartbeat, without ended attempts that are only kept because their start
    /// may arrive again.
    pub(super) reported_task_count: usize,
    /// Number of worker epochs that have ended since this leader received the first heartbeat.
    pub(super) epochs_ended: u32,
}

impl Machine {
    /// A machine that has just been rented, or that this leader did not know before.
    pub fn new(
        id: MachineId,
        type_name: TypeName,
        zone: Zone,
        spot: bool,
        total: Resources,
        now: MonotonicTime,
    ) -> Self {
        Self {
            id,
            addr: None,
            type_name,
            zone,
            spot,
            total,
            status: MachineStatus::Booting,
            rented_at: now,
            last_heartbeat: None,
            unanswered_probes: 0,
            last_probe_answer: MonotonicTime::default(),
            worker_epoch: WorkerEpoch(0),
            serial: 0,
            fencing_token: FencingToken(0),
            spot_reclaim_at: None,
            assignments: BTreeMap::new(),
            capacity_sums: CapacitySums::of_empty_machine(total),
            unknown_tasks: BTreeSet::new(),
            images: ImageCache::default(),
            empty_since: Some(now),
            no_placement_before: MonotonicTime::default(),
            last_known_epoch: WorkerEpoch(0),
            planned_writes: BTreeMap::new(),
            failed_jobs: FailedJobs::default(),
            capacity_hold: None,
            unacknowledged_starts: BTreeMap::new(),
            sent_starts: BTreeMap::new(),
            kept_attempts: 0,
            reported_task_count: 0,
            epochs_ended: 0,
        }
    }

    /// Its record in the key-value store, for the next leader.
    pub fn record(&self) -> MachineRecord {
        let assignments = self.assignments.iter().map(|(task, assignment)| RecordedAssignment {
            task: task.clone(),
            attempt: assignment.attempt,
            team: assignment.team.clone(),
            resources: assignment.resources,
        });
        MachineRecord {
            type_name: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            addr: self.addr.clone(),
            worker_epoch: self.worker_epoch,
            assignments: assignments.collect(),
            images: self.images.to_record(),
        }
    }

    /// Its health, by the time since its last heartbeat. `degraded_after` and `unreachable_after` are in
    /// heartbeat intervals.
    pub fn health(
        &self,
        now: MonotonicTime,
        heartbeat_interval: Duration,
        degraded_after: f64,
        unreachable_after: f64,
    ) -> Health {
        let Some(last_heartbeat) = self.last_heartbeat else { return Health::Unknown };
        let elapsed = now.since(last_heartbeat);
        if elapsed > heartbeat_interval.times(unreachable_after) {
            Health::Unreachable
        } else if elapsed > heartbeat_interval.times(degraded_after) {
            Health::Degraded
        } else {
            Health::Healthy
        }
    }

    /// Whether this leader has received a heartbeat of the worker. A machine without one may not exist any
    /// more: the record of a returned machine remains if a failover occurred before its removal was written.
    pub fn has_reported(&self) -> bool {
        self.serial > 0
    }

    /// Whether a start that this leader has sent may still arrive at the machine.
    pub fn has_unacknowledged_starts(&self) -> bool {
        !self.unacknowledged_starts.is_empty()
            || self.assignments.values().any(|assignment| assignment.state == AssignmentState::Direct)
    }

    /// Whether the machine accepts no new tasks and is returned once it is empty: it counts as faulty, or its
    /// worker keeps too many ended attempts. Both may end before the machine is empty.
    pub fn is_draining(&self, now: MonotonicTime) -> bool {
        self.failed_jobs.is_faulty(now) || self.keeps_too_many_attempts()
    }

    /// Whether its worker keeps too many ended attempts because their starts may arrive again.
    pub(super) fn keeps_too_many_attempts(&self) -> bool {
        self.kept_attempts > MAX_KEPT_ATTEMPTS
    }

    /// Whether tasks may be placed on the machine.
    pub fn is_schedulable(&self, now: MonotonicTime) -> bool {
        self.status == MachineStatus::Up
            && self.has_reported()
            && !self.is_draining(now)
            && self.spot_reclaim_at.is_none()
            && self.unknown_tasks.is_empty()
            && now >= self.no_placement_before
            && self.assignments.len() < MAX_ASSIGNMENTS
    }

    /// The job for which its free resources are held, if the hold has not expired.
    pub fn held_for(&self, now: MonotonicTime) -> Option<&JobId> {
        self.capacity_hold.as_ref().filter(|hold| now < hold.until).map(|hold| &hold.job)
    }

    /// Records that a task uses an image on the machine, whose image cache holds `cache_gb`.
    pub fn remember_image(&mut self, image: &Image, size_gb: f64, cache_gb: f64) {
        self.images.remember(image, size_gb, cache_gb);
    }

    /// Whether an image is on the machine.
    pub fn has_image(&self, image: &Image) -> bool {
        self.images.contains(image)
    }
}
