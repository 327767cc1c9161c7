//! A machine and its worker: identity, status and health.

use super::capacity::CapacitySums;
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
    /// Being returned: nothing new goes there, and its tasks count until the cloud confirms with 200.
    Releasing,
}

/// How long ago a machine's worker was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Health {
    /// Its heartbeats come.
    Healthy,
    /// Its heartbeat is late.
    Degraded,
    /// It has never been heard.
    Unknown,
    /// Its heartbeat is so late that the machine may be lost.
    Unreachable,
}

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

/// Free resources that are held for one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityHold {
    /// The job for which other tasks were preempted.
    pub job: JobId,
    /// Until when only this job may be placed here.
    pub until: MonotonicTime,
}

/// The leader's state of a machine and its worker.
#[derive(Debug)]
pub struct Machine {
    /// The cloud's name for it.
    pub id: MachineId,
    /// The worker's address, once it is known.
    pub addr: Option<String>,
    /// Its machine type.
    pub type_name: TypeName,
    /// Its zone.
    pub zone: Zone,
    /// It is a spot instance.
    pub spot: bool,
    /// What it has.
    pub total: Resources,
    /// Where it is between being rented and being returned.
    pub status: MachineStatus,
    /// When it was rented.
    pub rented_at: MonotonicTime,
    /// When its worker's newest heartbeat was received.
    pub last_heartbeat: Option<MonotonicTime>,
    /// Probes in a row since the last heartbeat that the worker didn't answer.
    pub unanswered_probes: u32,
    /// When it last answered a probe.
    pub last_probe_answer: MonotonicTime,
    /// The worker's epoch, by its newest heartbeat.
    pub worker_epoch: WorkerEpoch,
    /// Serial of its newest heartbeat; 0: this leader has not heard it.
    pub serial: u64,
    /// The highest fencing token that the worker had seen, by its newest heartbeat.
    pub fencing_token: FencingToken,
    /// When the cloud will take a spot instance back, if it has given notice.
    pub spot_reclaim_at: Option<MonotonicTime>,
    /// What may be on the machine.
    pub assignments: BTreeMap<TaskId, Assignment>,
    pub(super) capacity_sums: CapacitySums,
    /// Reported tasks that have no assignment: they are stopped, and until then nothing starts here.
    pub unknown_tasks: BTreeSet<TaskId>,
    /// Images that are there.
    pub images: ImageCache,
    /// Since when it has had nothing to do.
    pub empty_since: Option<MonotonicTime>,
    /// Nothing is placed here before this time.
    pub no_placement_before: MonotonicTime,
    /// The worker epoch that a direct command should name, as far as an earlier leader knew it.
    pub last_known_epoch: WorkerEpoch,
    /// The write that makes each planned assignment durable.
    pub planned_writes: BTreeMap<TaskId, WriteVersion>,
    /// Nothing new goes there, and it is returned once it is empty.
    pub draining: bool,
    /// Jobs that have failed here since one was done.
    pub failed_jobs: Vec<JobId>,
    /// The job that its free resources are held for.
    pub capacity_hold: Option<CapacityHold>,
    /// Starts that were sent directly and never answered, with the worker epoch that they name: while that
    /// lasts they may still act. Their absence proves nothing, and one that has ended isn't forgotten, since
    /// the worker would then start it again.
    pub unacknowledged_starts: BTreeMap<TaskAttempt, WorkerEpoch>,
    /// Starts that were sent directly in its present epoch, and when: one that was answered may come again
    /// all the same, so what has ended without a result is not forgotten.
    pub(super) sent_starts: BTreeMap<TaskAttempt, MonotonicTime>,
    /// Tasks in its last heartbeat, but for those that have ended and are only kept listed.
    pub(super) reported_task_count: usize,
    /// Epochs of its worker that have ended while this leader heard it.
    pub(super) epochs_ended: u32,
}

impl Machine {
    /// A machine that has just been rented, or that this leader has just learnt of.
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
            draining: false,
            failed_jobs: Vec::new(),
            capacity_hold: None,
            unacknowledged_starts: BTreeMap::new(),
            sent_starts: BTreeMap::new(),
            reported_task_count: 0,
            epochs_ended: 0,
        }
    }

    /// What is stored of it, for the next leader.
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
        let silence = now.since(last_heartbeat);
        if silence > heartbeat_interval.times(unreachable_after) {
            Health::Unreachable
        } else if silence > heartbeat_interval.times(degraded_after) {
            Health::Degraded
        } else {
            Health::Healthy
        }
    }

    /// Whether this leader has heard the worker. The record of a machine that was returned may outlive the
    /// machine, where its removal was not written before a failover.
    pub fn has_reported(&self) -> bool {
        self.serial > 0
    }

    /// Whether a start of this leader's may still arrive there, for all that is known.
    pub fn has_unacknowledged_starts(&self) -> bool {
        !self.unacknowledged_starts.is_empty()
            || self.assignments.values().any(|assignment| assignment.state == AssignmentState::Direct)
    }

    /// Whether new tasks may go there.
    pub fn is_schedulable(&self, now: MonotonicTime) -> bool {
        self.status == MachineStatus::Up
            && self.has_reported()
            && !self.draining
            && self.spot_reclaim_at.is_none()
            && self.unknown_tasks.is_empty()
            && now >= self.no_placement_before
            && self.assignments.len() < MAX_ASSIGNMENTS
    }

    /// The job that its free resources are held for, if the hold lasts.
    pub fn held_for(&self, now: MonotonicTime) -> Option<&JobId> {
        self.capacity_hold.as_ref().filter(|hold| now < hold.until).map(|hold| &hold.job)
    }

    /// A task uses an image here. The machine keeps as many images as `cache_gb` holds.
    pub fn remember_image(&mut self, image: &Image, size_gb: f64, cache_gb: f64) {
        self.images.remember(image, size_gb, cache_gb);
    }

    /// Whether an image is here.
    pub fn has_image(&self, image: &Image) -> bool {
        self.images.contains(image)
    }
}
