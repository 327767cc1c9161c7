//! Room for work that fits nowhere: who makes way, and what is kept for whom.

use super::*;
use crate::preemption::{Candidate, Victim, Wanted, choose};

/// How long a job waits for the room it made before it makes more, besides a save.
const PREEMPT_PAUSE: Duration = Duration::from_millis(2000);
/// How long a search for room that found none holds good, and searches in one look at what waits:
/// each goes through the whole fleet.
const PREEMPT_AGAIN: Duration = Duration::from_millis(1000);
/// Part of the time within which work is to start that it waits before others are stopped for it.
const PREEMPT_AFTER: f64 = 0.6;
/// Seconds of fetching that are worth stopping less urgent work where the image is.
const IMAGE_WORTH_S: f64 = 5.0;
/// Machines due within this count as nearly there for a gang, and how long free ones are then kept
/// for it at a time.
const HOLD_AHEAD: Duration = Duration::from_millis(10_000);
const HOLD_FOR: Duration = Duration::from_millis(2000);
/// Waiting less urgent work, as a part of what is placed, from which on no gang stops more of it.
const CROWDED: f64 = 0.1;
/// What a stopped task loses besides its work, in seconds: a new place, and often a new fetch.
const RESTART_S: f64 = 15.0;

/// Whose work is stopped.
#[derive(Clone, Copy)]
enum Clear<'a> {
    /// Less urgent work.
    Lower,
    /// Less urgent work on machines that have the image, without waiting for saves.
    WithImage,
    /// Other teams' work beyond their guarantee: all but these jobs.
    Beyond(&'a BTreeSet<JobId>),
}

impl Leader {
    /// Makes room for a job that fits nowhere, if its rank allows that: all its tasks' if it is a
    /// gang. Tells whether the fleet was searched for it.
    pub(super) fn preempt(&mut self, request: &PlacementRequest, now: MonotonicTime) -> bool {
        let guaranteed = self.guaranteed();
        let Some(job_state) = self.job_states.get_mut(&request.job) else { return false };
        let (spec, priority) = (job_state.job.spec.clone(), job_state.priority);
        if job_state.preempting_until.is_some_and(|until| now < until) {
            return false;
        }
        let mine = guaranteed.contains(&request.job);
        // Room that comes free by itself loses nothing. Replicas don't wait for it.
        let timeout = self.settings.wait_objective(&spec.kind, mine).map_or(0.0, |s| s * PREEMPT_AFTER);
        if spec.job_type != JobType::Service && now.since(job_state.seen) < Duration::from_secs_f64(timeout) {
            return false;
        }
        job_state.preempting_until = Some(now + PREEMPT_AGAIN);
        // Less urgent work makes way for all tasks at once. Work beyond its team's guarantee makes
        // way for one at a time, and not whole gangs: with many teams near their guarantees they
        // would otherwise stop one another in turn.
        let one = request.tasks.len() == 1 || request.job_type != JobType::Gang;
        // A gang of several would put off more work than it is: while less urgent work waits for room
        // itself, that only passes the wait on.
        let several = request.job_type == JobType::Gang && request.tasks.len() > 1;
        if several && self.crowded(priority) {
            return true;
        }
        if self.clear_for(request, &spec, Clear::Lower, now) == 0 && mine && one {
            self.clear_for(request, &spec, Clear::Beyond(&guaranteed), now);
        }
        true
    }

    /// Keeps free machines for a gang that fits as soon as others on their way are up: small tasks
    /// took those rented for it one by one as they came.
    pub(super) fn hold_for_gang(
        &mut self,
        request: &PlacementRequest,
        views: &mut [MachineView],
        now: MonotonicTime,
    ) {
        // Worth idle machines only where the next one could not be up in time.
        let within_s = self.settings.wait_objective(&request.kind, false).unwrap_or(f64::MAX);
        if self.instance_offers.types.iter().all(|t| t.boot_s <= within_s) {
            return;
        }
        let need = request.tasks.len() as u32;
        let mut zones: BTreeMap<Zone, (u32, u32)> = BTreeMap::new();
        for v in views.iter().filter(|v| request.allows(v)) {
            zones.entry(v.zone.clone()).or_default().0 += v.free.count_of(&request.resources);
        }
        for m in self.machines.values().filter(|m| m.status == MachineStatus::Booting) {
            let boot = self.instance_offers.type_of(&m.type_name).map(MachineType::boot).unwrap_or_default();
            // One that is long overdue may never come.
            let due = m.rented_at + boot;
            let fits = now + HOLD_AHEAD >= due
                && now < due + HOLD_AHEAD
                && request.types.as_ref().is_none_or(|t| t.contains(&m.type_name))
                && (request.spot || !m.spot)
                && request.zones.iter().any(|(z, n)| *z == m.zone && *n > 0);
            if fits {
                zones.entry(m.zone.clone()).or_default().1 += m.total.count_of(&request.resources);
            }
        }
        let enough = |(free, soon): &(u32, u32)| *free > 0 && free + soon >= need;
        let chosen: Vec<Zone> = if request.together {
            let best = zones.iter().filter(|(_, n)| enough(n)).max_by_key(|(_, n)| n.0);
            best.map(|(z, _)| z.clone()).into_iter().collect()
        } else {
            let sum = zones.values().fold((0, 0), |a, n| (a.0 + n.0, a.1 + n.1));
            if enough(&sum) { zones.into_keys().collect() } else { Vec::new() }
        };
        let mut left = need;
        for v in views.iter_mut().filter(|v| chosen.contains(&v.zone)) {
            if left == 0 {
                break;
            }
            if request.allows(v) {
                left = left.saturating_sub(v.free.count_of(&request.resources));
                v.held_for = Some(request.job.clone());
                if let Some(m) = self.machines.get_mut(&v.id) {
                    m.held = Some((request.job.clone(), now + HOLD_FOR));
                }
            }
        }
    }

    /// Replicas that should rather wait for room where their image is than be fetched elsewhere:
    /// a fetch takes longer than less urgent work needs to leave. Gives how many wait now.
    pub(super) fn keep_for_image(
        &mut self,
        request: &PlacementRequest,
        views: &[MachineView],
        scans: &mut usize,
        now: MonotonicTime,
    ) -> u32 {
        let tasks = request.tasks.len() as u32;
        let ready: u32 = views
            .iter()
            .filter(|v| request.allows(v) && v.images.contains(&request.image))
            .map(|v| v.free.count_of(&request.resources))
            .sum();
        let Some(job_state) = self.job_states.get_mut(&request.job) else { return 0 };
        if job_state.preempting_until.is_none_or(|until| now >= until) {
            job_state.promised = 0;
        }
        let fetch_rate = self.instance_offers.types.iter().map(|t| t.fetch_gb_per_s).fold(0.0, f64::max);
        let worth_it = fetch_rate > 0.0 && request.image_gb / fetch_rate > IMAGE_WORTH_S;
        let may = *scans > 0 && self.heartbeat_collection.allows(LeaderAction::Preempt);
        if job_state.promised == 0 && ready < tasks && worth_it && may && job_state.preempting_until.is_none()
        {
            *scans -= 1;
            let spec = job_state.job.spec.clone();
            let mut missing = request.clone();
            missing.tasks.truncate((tasks - ready) as usize);
            let made = self.clear_for(&missing, &spec, Clear::WithImage, now);
            if let Some(job_state) = self.job_states.get_mut(&request.job) {
                job_state.promised = made;
                if made == 0 {
                    job_state.preempting_until = Some(now + PREEMPT_AGAIN);
                }
            }
        }
        let promised = self.job_states.get(&request.job).map_or(0, |r| r.promised);
        promised.saturating_sub(ready).min(tasks)
    }

    /// Whether so much work below `priority` waits that what was stopped would wait long.
    fn crowded(&self, priority: Priority) -> bool {
        let lower = self.job_states.values().filter(|r| r.priority < priority);
        let (waiting, placed) =
            lower.fold((0, 0), |(w, p), r| (w + r.waiting_count() as usize, p + r.placed().len()));
        waiting as f64 > placed as f64 * CROWDED
    }

    /// Stops what loses least so that `request` fits; gives the number of machines where that makes room.
    fn clear_for(
        &mut self,
        request: &PlacementRequest,
        spec: &JobSpec,
        how: Clear,
        now: MonotonicTime,
    ) -> u32 {
        let mut candidates = Vec::new();
        let Some(priority) = self.job_states.get(&request.job).map(|r| r.priority) else { return 0 };
        for m in self.machines.values() {
            let may = m.open_for_tasks(now)
                && m.held_for(now).is_none_or(|j| *j == request.job)
                && self.health(m, now) == Health::Healthy
                && request.types.as_ref().is_none_or(|t| t.contains(&m.type_name))
                && (request.spot || !m.spot)
                && request.resources.fits_in(&m.total)
                && request.zones.iter().any(|(z, n)| *z == m.zone && *n > 0);
            if !may || (matches!(how, Clear::WithImage) && !m.has_image(&request.image)) {
                continue;
            }
            let (mut free, mut victims) = (m.free(), Vec::new());
            for (task, assignment) in m.assignments.iter().filter(|(_, e)| e.occupies()) {
                if assignment.stop.is_some() {
                    free = free.plus(&assignment.resources); // leaves already
                    continue;
                }
                let Some(other) = self.job_states.get(&task.job) else { continue };
                let o = &other.job.spec;
                let may_stop = match how {
                    Clear::Lower => other.priority < priority,
                    // At once: no whole gangs, and no wait for a save below.
                    Clear::WithImage => other.priority < priority && !(other.is_gang() && o.tasks > 1),
                    Clear::Beyond(kept) => {
                        o.team != spec.team && !kept.contains(&task.job) && !(other.is_gang() && o.tasks > 1)
                    }
                };
                if o.job_type == JobType::Service || !may_stop {
                    continue;
                }
                let ran = assignment.running_since.map_or(0.0, |at| now.since(at).as_secs_f64());
                // Work since the last checkpoint, and a new start.
                let again = if o.checkpoint.0 > 0 { o.save.as_secs_f64() } else { ran };
                let loss_s = again + RESTART_S;
                // With one task of a gang all of it stops.
                let loss_s = if other.is_gang() { loss_s * f64::from(o.tasks) } else { loss_s };
                victims.push(Victim { task: task.clone(), resources: assignment.resources, loss_s });
            }
            let fetch_rate = self.instance_offers.type_of(&m.type_name).map_or(0.0, |t| t.fetch_gb_per_s);
            let fetch_s = match m.has_image(&request.image) || fetch_rate <= 0.0 {
                true => 0.0,
                false => request.image_gb / fetch_rate,
            };
            let (machine, zone) = (m.id.clone(), m.zone.clone());
            candidates.push(Candidate { machine, zone, free, victims, fetch_s });
        }
        let wanted = Wanted {
            resources: &request.resources,
            tasks: if matches!(how, Clear::Beyond(_)) { 1 } else { request.tasks.len() as u32 },
            gang: request.job_type == JobType::Gang,
            together: request.together,
            zones: &request.zones,
        };
        let clearings = choose(candidates, &wanted);
        if clearings.iter().all(|(_, tasks)| tasks.is_empty()) {
            return 0;
        }
        let stopped: usize = clearings.iter().map(|(_, tasks)| tasks.len()).sum();
        tracing::info!(job = %request.job, machines = clearings.len(), stopped, "preempts");
        let mut longest = 0.0f64;
        for (machine, task) in clearings.iter().flat_map(|(m, tasks)| tasks.iter().map(move |t| (m, t))) {
            let Some(other) = self.job_states.get(&task.job) else { continue };
            let grace = match how {
                Clear::WithImage => 0.0,
                _ => gangs::save_grace_s(&other.job.spec),
            };
            longest = longest.max(grace);
            if other.is_gang() {
                self.stop_job(&task.job, grace, now);
            } else {
                self.stop_task(machine, task, grace, now);
            }
        }
        let until = now + PREEMPT_PAUSE + Duration::from_secs_f64(longest);
        // Room that several have to leave, or that lies on several machines, comes piece by piece:
        // held, or small tasks would take each piece. A single place may go to whoever ranks first.
        for (machine, tasks) in &clearings {
            let image = matches!(how, Clear::WithImage);
            if (image || wanted.gang && wanted.tasks > 1 || tasks.len() > 1)
                && let Some(m) = self.machines.get_mut(machine)
            {
                m.held = Some((request.job.clone(), until));
            }
        }
        if let Some(job_state) = self.job_states.get_mut(&request.job) {
            job_state.preempting_until = Some(until);
            job_state.reason = "others are making room for it";
        }
        clearings.len() as u32
    }
}
