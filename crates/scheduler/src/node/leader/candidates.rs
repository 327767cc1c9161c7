//! The machines that a scheduling pass considers: those with free resources, or a part of them where
//! they are many.

use super::Leader;
use crate::placement::{MachineView, PlacementRequest};
use crate::types::{Duration, Image, MonotonicTime, NodeName, Resources, TaskId};
use crate::workers::{Health, Machine, MachineStatus};
use std::collections::{BTreeMap, BTreeSet};

/// Machines in one pass, at most. Of a busy cluster fewer have free resources. Just after leases have
/// ended nearly all have, and going through them for each request took a second of a leader's
/// processor (four times the andina fleet, all nodes crashed).
const MAX_CANDIDATES: usize = 512;

/// A machine that a scheduling pass considers.
pub(super) struct Candidate {
    /// The machine as controllers see it.
    pub view: MachineView,
    /// The controller whose partition it is in.
    pub owner: Option<NodeName>,
}

/// The machines that a scheduling pass considers.
pub(super) struct Candidates {
    /// The machines, by id; where they are only a part, by the order in which that was selected.
    pub machines: Vec<Candidate>,
    /// These are all that have free resources: what fits none of them fits nowhere.
    pub complete: bool,
}

impl Candidates {
    /// Drops the machines that are not `kept`: what fits none of the rest may fit elsewhere.
    pub fn keep(&mut self, kept: &[bool]) {
        let mut kept = kept.iter();
        self.machines.retain(|_| kept.next() == Some(&true));
        self.complete = false;
    }

    /// All machines as controllers see them.
    pub fn views(&self) -> impl Iterator<Item = &MachineView> {
        self.machines.iter().map(|candidate| &candidate.view)
    }

    /// All machines as controllers see them, to change.
    pub fn views_mut(&mut self) -> impl Iterator<Item = &mut MachineView> {
        self.machines.iter_mut().map(|candidate| &mut candidate.view)
    }

    /// The machines in a controller's partition.
    pub fn of(&self, node: &NodeName) -> impl Iterator<Item = &MachineView> {
        let owned = self.machines.iter().filter(move |candidate| candidate.owner.as_ref() == Some(node));
        owned.map(|candidate| &candidate.view)
    }
}

/// A machine that may take tasks.
#[derive(Clone, Copy)]
struct OpenMachine<'a> {
    machine: &'a Machine,
    health: Health,
}

impl Leader {
    /// Machines that could take some task of `requests`: of a busy cluster that is a small part.
    pub(super) fn candidates(&mut self, requests: &[PlacementRequest], now: MonotonicTime) -> Candidates {
        let requested_images: BTreeSet<&Image> = requests.iter().map(|request| &request.image).collect();
        let mut open = self.open_machines(requests, now);
        let complete = open.len() <= MAX_CANDIDATES;
        if !complete {
            open = select_part(open, &requested_images);
        }
        let mut machines: Vec<Candidate> = open
            .into_iter()
            .map(|machine| Candidate { view: self.view(machine, &requested_images, now), owner: None })
            .collect();
        for candidate in &mut machines {
            self.partitions.add(&candidate.view.id);
            candidate.owner = self.partitions.owner(&candidate.view.id).cloned();
        }
        Candidates { machines, complete }
    }

    fn open_machines(&self, requests: &[PlacementRequest], now: MonotonicTime) -> Vec<OpenMachine<'_>> {
        let least = least_of_each(requests);
        // A machine whose record can't hold the largest assignment is left out: offered, it would be
        // chosen in vain.
        let record_bytes = self.largest_assignment_bytes(requests);
        let record_limit = self.settings.state.value_bytes;
        let mut open = Vec::new();
        for machine in self.machines.iter() {
            // Commands to a zone that is cut off arrive when the cut has ended, or never.
            if machine.status != MachineStatus::Up || self.isolation.is_zone_unreachable(&machine.zone) {
                continue;
            }
            if !least.fits_in(&machine.free())
                || !machine.is_schedulable(now)
                || !machine.record_holds(record_bytes, record_limit)
            {
                continue;
            }
            let health = self.health(machine, now);
            if health != Health::Unreachable {
                open.push(OpenMachine { machine, health });
            }
        }
        open
    }

    fn largest_assignment_bytes(&self, requests: &[PlacementRequest]) -> usize {
        let bytes = requests.iter().filter_map(|request| {
            let job_state = self.job_states.get(&request.job)?;
            let index = request.tasks.last().copied().unwrap_or(0);
            let task = TaskId { job: request.job.clone(), index };
            Some(self.assignment_bytes(&task, &job_state.job.spec))
        });
        bytes.max().unwrap_or(0)
    }

    /// A machine as controllers see it; of its images they need to know the requested ones.
    fn view(
        &self,
        OpenMachine { machine, health }: OpenMachine,
        requested_images: &BTreeSet<&Image>,
        now: MonotonicTime,
    ) -> MachineView {
        let images = machine.images.iter();
        let images = images.filter(|image| requested_images.contains(image)).cloned().collect();
        MachineView {
            id: machine.id.clone(),
            type_name: machine.type_name.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            free: machine.free(),
            total: machine.total,
            empty: machine.is_empty(),
            health,
            fetching: self.images_being_fetched(machine),
            images,
            fetch_gb_per_s: self.fetch_gb_per_s(machine),
            held_for: machine.held_for(now).cloned(),
        }
    }

    /// Images that tasks on the machine wait for.
    fn images_being_fetched(&self, machine: &Machine) -> Vec<Image> {
        let mut images: Vec<Image> = Vec::new();
        for (task, assignment) in &machine.assignments {
            if !assignment.occupies() || assignment.running_since.is_some() {
                continue;
            }
            let Some(job_state) = self.job_states.get(&task.job) else { continue };
            let image = &job_state.job.spec.image;
            if !machine.has_image(image) && !images.contains(image) {
                images.push(image.clone());
            }
        }
        images
    }

    /// How fast the machine fetches images, in GB a second; 0 if that isn't known.
    pub(super) fn fetch_gb_per_s(&self, machine: &Machine) -> f64 {
        let machine_type = self.instance_offers.type_of(&machine.type_name);
        machine_type.map_or(0.0, |machine_type| machine_type.fetch_gb_per_s)
    }

    /// The machine's health, by how long it has been silent.
    pub(super) fn health(&self, machine: &Machine, now: MonotonicTime) -> Health {
        let operator = &self.settings.operator;
        let heartbeat = Duration::from_secs_f64(self.settings.workers.report_s);
        machine.health(now, heartbeat, operator.degraded_reports, operator.unreachable_reports)
    }
}

/// The least that any request's task takes, of each resource.
fn least_of_each(requests: &[PlacementRequest]) -> Resources {
    let least = |of: fn(&Resources) -> f64| {
        requests.iter().map(|request| of(&request.resources)).fold(f64::MAX, f64::min)
    };
    Resources {
        cpus: least(|resources| resources.cpus),
        gpus: least(|resources| resources.gpus),
        memory_gb: least(|resources| resources.memory_gb),
    }
}

/// A part of `open` that has some of each zone, type and kind; of those first the ones with a
/// requested image and the fullest, and as many of the emptiest, for work that needs a whole machine.
fn select_part<'a>(open: Vec<OpenMachine<'a>>, requested_images: &BTreeSet<&Image>) -> Vec<OpenMachine<'a>> {
    let mut groups: BTreeMap<_, Vec<OpenMachine>> = BTreeMap::new();
    for candidate in open {
        let machine = candidate.machine;
        let group = groups.entry((&machine.zone, &machine.type_name, machine.spot)).or_default();
        group.push(candidate);
    }
    let quota = (MAX_CANDIDATES / groups.len().max(1)).max(2);
    let mut selected = Vec::new();
    for mut group in groups.into_values() {
        let has_requested =
            |machine: &Machine| machine.images.iter().any(|image| requested_images.contains(image));
        group.sort_by_cached_key(|candidate| {
            let machine = candidate.machine;
            (!has_requested(machine), (machine.free().gpus * 1000.0) as u64)
        });
        let rest = group.split_off(quota.min(group.len()) / 2);
        selected.append(&mut group);
        let from = rest.len().saturating_sub(quota - quota / 2);
        selected.extend_from_slice(&rest[from..]);
    }
    selected
}
