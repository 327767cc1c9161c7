//! The machines that a scheduling pass considers: all machines with free resources, or a selection if
//! there are too many.

use super::Leader;
use crate::placement::{MachineView, PlacementRequest};
use crate::types::{Duration, Image, MonotonicTime, NodeName, Resources, TaskId};
use crate::workers::{Health, Machine, MachineStatus};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of machines in one pass. In a busy cluster fewer machines have free resources. But after
/// all workers' leases have expired, nearly all machines do: at four times the machines, after all
/// controllers had crashed, checking each machine for every request took a second of processor time.
const MAX_CANDIDATES: usize = 512;

/// A machine that a scheduling pass considers.
pub(super) struct Candidate {
    /// The machine's state as sent to controllers.
    pub view: MachineView,
    /// The controller whose partition contains the machine.
    pub owner: Option<NodeName>,
}

/// The machines that a scheduling pass considers.
pub(super) struct Candidates {
    /// The machines, sorted by id; a selection is in the order in which it was made.
    pub machines: Vec<Candidate>,
    /// Whether these are all machines with free resources, so that a task that fits none of them fits
    /// no machine.
    pub complete: bool,
}

impl Candidates {
    /// Removes the machines whose element of `kept` is false. The candidates are incomplete afterwards.
    pub fn keep(&mut self, kept: &[bool]) {
        let mut kept = kept.iter();
        self.machines.retain(|_| kept.next() == Some(&true));
        self.complete = false;
    }

    /// The states of all machines as sent to controllers.
    pub fn views(&self) -> impl Iterator<Item = &MachineView> {
        self.machines.iter().map(|candidate| &candidate.view)
    }

    /// The states of all machines as sent to controllers, mutable.
    pub fn views_mut(&mut self) -> impl Iterator<Item = &mut MachineView> {
        self.machines.iter_mut().map(|candidate| &mut candidate.view)
    }

    /// The machines in a controller's partition.
    pub fn in_partition_of(&self, node: &NodeName) -> impl Iterator<Item = &MachineView> {
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
    /// Machines that could take at least one task of `requests`: a small part of a busy cluster.
    pub(super) fn candidates(&mut self, requests: &[PlacementRequest], now: MonotonicTime) -> Candidates {
        let requested_images: BTreeSet<&Image> = requests.iter().map(|request| &request.image).collect();
        let mut open = self.open_machines(requests, now);
        let complete = open.len() <= MAX_CANDIDATES;
        if !complete {
            open = select_subset(open, &requested_images);
        }
        let mut machines: Vec<Candidate> = open
            .into_iter()
            .map(|machine| Candidate { view: self.view_of(machine, &requested_images, now), owner: None })
            .collect();
        for candidate in &mut machines {
            self.partitions.add(&candidate.view.id);
            candidate.owner = self.partitions.owner(&candidate.view.id).cloned();
        }
        Candidates { machines, complete }
    }

    fn open_machines(&self, requests: &[PlacementRequest], now: MonotonicTime) -> Vec<OpenMachine<'_>> {
        let smallest = smallest_of_each(requests);
        // A machine whose record can't hold the largest assignment is left out: a placement on it would
        // be rejected.
        let record_bytes = self.largest_assignment_bytes(requests);
        let record_limit = self.settings.state.value_bytes;
        let mut open = Vec::new();
        for machine in self.machines.iter() {
            // Commands to an unreachable zone arrive only after the network partition ends, if at all.
            if machine.status != MachineStatus::Up || self.isolation.is_zone_unreachable(&machine.zone) {
                continue;
            }
            if !smallest.fits_in(&machine.free())
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

    /// The machine's state as sent to controllers, which need only the requested ones of its images.
    fn view_of(
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

    /// Images that the machine lacks and that tasks on it need that are not running yet.
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

    /// The rate at which the machine fetches images, in GB per second; 0 if it is unknown.
    pub(super) fn fetch_gb_per_s(&self, machine: &Machine) -> f64 {
        let machine_type = self.instance_offers.type_of(&machine.type_name);
        machine_type.map_or(0.0, |machine_type| machine_type.fetch_gb_per_s)
    }

    /// The machine's health, by the time since its last heartbeat.
    pub(super) fn health(&self, machine: &Machine, now: MonotonicTime) -> Health {
        let operator = &self.settings.operator;
        let heartbeat_interval = Duration::from_secs_f64(self.settings.workers.report_s);
        machine.health(now, heartbeat_interval, operator.degraded_reports, operator.unreachable_reports)
    }
}

/// The smallest amount of each resource that a task of any request takes.
fn smallest_of_each(requests: &[PlacementRequest]) -> Resources {
    let smallest = |of: fn(&Resources) -> f64| {
        requests.iter().map(|request| of(&request.resources)).fold(f64::MAX, f64::min)
    };
    Resources {
        cpus: smallest(|resources| resources.cpus),
        gpus: smallest(|resources| resources.gpus),
        memory_gb: smallest(|resources| resources.memory_gb),
    }
}

/// A subset of `open` with machines of each zone, type and market (spot or on-demand). Each group is
/// sorted with requested images first, then by free GPUs. Half of its share is taken from the start,
/// the other half from the end, for tasks that need a whole machine.
fn select_subset<'a>(
    open: Vec<OpenMachine<'a>>,
    requested_images: &BTreeSet<&Image>,
) -> Vec<OpenMachine<'a>> {
    let mut groups: BTreeMap<_, Vec<OpenMachine>> = BTreeMap::new();
    for candidate in open {
        let machine = candidate.machine;
        let group = groups.entry((&machine.zone, &machine.type_name, machine.spot)).or_default();
        group.push(candidate);
    }
    let share = (MAX_CANDIDATES / groups.len().max(1)).max(2);
    let mut selected = Vec::new();
    for mut group in groups.into_values() {
        let has_requested =
            |machine: &Machine| machine.images.iter().any(|image| requested_images.contains(image));
        group.sort_by_cached_key(|candidate| {
            let machine = candidate.machine;
            (!has_requested(machine), (machine.free().gpus * 1000.0) as u64)
        });
        let rest = group.split_off(share.min(group.len()) / 2);
        selected.append(&mut group);
        let from = rest.len().saturating_sub(share - share / 2);
        selected.extend_from_slice(&rest[from..]);
    }
    selected
}
