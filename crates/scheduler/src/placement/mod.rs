//! Placement: a controller places waiting tasks in rounds inside its block of machines.
//!
//! Each candidate's draw from its Beta counts, G1/(G1+G2) from two Gamma draws, is multiplied by
//! a health factor and, for an empty machine while a partly booked one fits too, by a packing
//! factor; the highest wins. See `docs/design.md` for the source.

use crate::jobs::JobType;
use crate::settings::Operator;
use crate::types::{Image, JobId, Kind, MachineId, Resources, TypeName, Zone};
use crate::workers::Health;
use rand::Rng;
use rand_distr::{Distribution, Gamma};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A machine as a controller sees it for one round.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineView {
    pub id: MachineId,
    pub type_name: TypeName,
    pub zone: Zone,
    pub spot: bool,
    pub free: Resources,
    pub total: Resources,
    pub empty: bool,
    pub health: Health,
    pub images: Vec<Image>,
    /// Images being fetched there, each for some task.
    pub fetching: Vec<Image>,
    pub fetch_gb_per_s: f64,
    /// The job that others made room for here.
    pub held_for: Option<JobId>,
}

/// Tasks of one job that wait for machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlacementRequest {
    pub job: JobId,
    pub kind: Kind,
    pub job_type: JobType,
    pub tasks: Vec<u32>,
    pub resources: Resources,
    pub types: Option<Vec<TypeName>>,
    pub spot: bool,
    /// Zones it may use and how many more of its tasks each may take.
    pub zones: Vec<(Zone, u32)>,
    /// All tasks of it must be in one zone.
    pub together: bool,
    pub image: Image,
    pub image_gb: f64,
}

impl PlacementRequest {
    pub fn allows(&self, m: &MachineView) -> bool {
        m.health != Health::Unreachable
            && m.held_for.as_ref().is_none_or(|j| *j == self.job)
            && (self.spot || !m.spot)
            && self.types.as_ref().is_none_or(|t| t.contains(&m.type_name))
            && self.zones.iter().any(|(z, n)| *z == m.zone && *n > 0)
            && self.resources.fits_in(&m.free)
    }
}

/// One task's machine, as a controller proposes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    pub job: JobId,
    pub task: u32,
    pub machine: MachineId,
}

/// Alpha and beta.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Pair(pub f32, pub f32);

impl Default for Pair {
    fn default() -> Self {
        Self(1.0, 1.0)
    }
}

impl Pair {
    fn add(&mut self, success: bool) {
        if success { self.0 += 1.0 } else { self.1 += 1.0 }
    }
}

/// What became of a task on a machine, as far as that speaks of the machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementOutcome {
    pub machine: MachineId,
    pub kind: Kind,
    pub success: bool,
}

/// The kind-free pair, and one per kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct MachineCounts(Pair, BTreeMap<Kind, Pair>);

/// Beta counts per machine and kind, with a kind-free fallback pair.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SuccessCounts {
    machines: BTreeMap<MachineId, MachineCounts>,
    /// Parts of the saved table that have changed since they were saved.
    #[serde(skip)]
    changed: BTreeSet<u32>,
    /// Where the next save begins, so that each part has its turn.
    #[serde(skip)]
    next_part: u32,
}

/// Keys that the saved table is spread over, so that each value stays small and only what has
/// changed is written. Earlier versions used 16 and read any number.
pub const PARTS: u32 = 128;
/// Parts saved at a time; the rest follows the next time.
/// Prefix of the saved counts in the state service.
pub const COUNTS_PREFIX: &str = "counts/";
pub const PARTS_AT_ONCE: usize = 16;

fn part_of(machine: &MachineId) -> u32 {
    machine.as_str().bytes().fold(0u32, |h, b| h.wrapping_mul(31).wrapping_add(u32::from(b))) % PARTS
}

impl SuccessCounts {
    pub fn learn(&mut self, l: &PlacementOutcome) {
        self.changed.insert(part_of(&l.machine));
        let m = self.machines.entry(l.machine.clone()).or_default();
        m.0.add(l.success);
        m.1.entry(l.kind.clone()).or_default().add(l.success);
    }

    pub fn pair(&self, machine: &MachineId, kind: &Kind) -> Pair {
        let Some(m) = self.machines.get(machine) else { return Pair::default() };
        m.1.get(kind).copied().unwrap_or(m.0)
    }

    /// Forgets machines that are gone, so that the table stays as small as the fleet.
    pub fn keep(&mut self, present: impl Fn(&MachineId) -> bool) {
        let changed = &mut self.changed;
        self.machines.retain(|id, _| {
            let stays = present(id);
            if !stays {
                changed.insert(part_of(id));
            }
            stays
        });
    }

    /// The parts that have changed since they were last taken, at most `most`, each as a JSON
    /// value of at most `max_bytes`: machines that don't fit lose their counts.
    pub fn take_changed(&mut self, most: usize, max_bytes: usize) -> Vec<(u32, String)> {
        let turn = self.changed.range(self.next_part..).chain(self.changed.range(..self.next_part));
        let turn: Vec<u32> = turn.copied().take(most).collect();
        self.next_part = turn.last().map_or(0, |p| p + 1);
        let parts: BTreeSet<u32> = turn.into_iter().collect();
        self.changed.retain(|p| !parts.contains(p));
        let mut out: BTreeMap<u32, (usize, BTreeMap<&MachineId, &MachineCounts>)> =
            parts.iter().map(|p| (*p, (2, BTreeMap::new()))).collect();
        for (id, counts) in &self.machines {
            let Some((bytes, table)) = out.get_mut(&part_of(id)) else { continue };
            let size = serde_json::to_string(counts).map_or(0, |t| t.len()) + id.as_str().len() + 4;
            if *bytes + size <= max_bytes {
                *bytes += size;
                table.insert(id, counts);
            }
        }
        out.into_iter().map(|(p, (_, t))| (p, serde_json::to_string(&t).unwrap_or_default())).collect()
    }

    /// Takes in a saved part.
    pub fn add_part(&mut self, value: &str) -> Result<(), serde_json::Error> {
        let table: BTreeMap<MachineId, MachineCounts> = serde_json::from_str(value)?;
        self.machines.extend(table);
        Ok(())
    }
}

#[derive(Debug, Clone, Copy)]
pub struct Factors {
    pub degraded: f64,
    pub unknown: f64,
    pub empty: f64,
    pub dear: f64,
    /// Fetch time, in seconds, that halves a draw.
    pub fetch_half_s: f64,
}

impl Factors {
    pub fn of(operator: &Operator) -> Self {
        Self {
            degraded: operator.degraded_factor,
            unknown: operator.unknown_factor,
            empty: operator.empty_factor,
            dear: operator.dear_factor,
            fetch_half_s: operator.fetch_half_s,
        }
    }

    fn health(&self, health: Health) -> f64 {
        match health {
            Health::Healthy => 1.0,
            Health::Degraded => self.degraded,
            Health::Unknown => self.unknown,
            Health::Unreachable => 0.0,
        }
    }
}

/// Exception to the design: where an image takes most of a start, a machine that has it, or fetches
/// fast, starts the task long before one that must fetch it.
fn fetch_factor(m: &MachineView, request: &PlacementRequest, factors: &Factors) -> f64 {
    if m.images.contains(&request.image) || m.fetch_gb_per_s <= 0.0 {
        return 1.0;
    }
    // Fetches share the rate; one under way for another task is about half done.
    let parts = match m.fetching.contains(&request.image) {
        true => 0.5 * m.fetching.len() as f64,
        false => 1.0 + m.fetching.len() as f64,
    };
    let fetch_s = parts * request.image_gb / m.fetch_gb_per_s;
    factors.fetch_half_s / (factors.fetch_half_s + fetch_s)
}

/// The packing factor, graded: an empty machine gets `empty`, a full one 1, and one in between
/// accordingly. Only while some partly booked machine fits too, as in the design.
fn packing_factor(m: &MachineView, request: &PlacementRequest, factors: &Factors) -> f64 {
    let part = |free: f64, total: f64| if total > 0.0 { (free / total).clamp(0.0, 1.0) } else { 0.0 };
    let free = if request.resources.gpus > 0.0 {
        part(m.free.gpus, m.total.gpus)
    } else {
        part(m.free.cpus, m.total.cpus)
    };
    factors.empty.powf(free)
}

/// Whether the machine is an ordinary one, and the task of an array that may run on a cheap one. Once it runs there the
/// dear machine stays, and cheap ones that stand idle for it are returned.
fn is_dear(m: &MachineView, request: &PlacementRequest) -> bool {
    request.job_type == JobType::Array && request.spot && !m.spot
}

fn draw(pair: Pair, rng: &mut impl Rng) -> f64 {
    let gamma = |job_type: f32, rng: &mut _| {
        Gamma::new(f64::from(job_type.max(1e-3)), 1.0).map(|g| g.sample(rng)).unwrap_or(0.0)
    };
    let (a, b) = (gamma(pair.0, rng), gamma(pair.1, rng));
    if a + b > 0.0 { a / (a + b) } else { 0.5 }
}

/// One controller's round. Works on `machines` as its own scratch.
pub fn round(
    machines: &mut [MachineView],
    requests: &[PlacementRequest],
    counts: &SuccessCounts,
    factors: &Factors,
    rng: &mut impl Rng,
) -> Vec<Proposal> {
    let mut out = Vec::new();
    for request in requests {
        if request.job_type == JobType::Gang {
            out.extend(place_gang(machines, request, counts, factors, rng));
        } else {
            let mut request = request.clone();
            for task in std::mem::take(&mut request.tasks) {
                let Some(i) = pick(machines, &request, counts, factors, rng) else { break };
                book(machines, i, &mut request);
                out.push(Proposal { job: request.job.clone(), task, machine: machines[i].id.clone() });
            }
        }
    }
    out
}

/// All tasks of a gang in one pass: every one gets a machine, or none does.
fn place_gang(
    machines: &mut [MachineView],
    request: &PlacementRequest,
    counts: &SuccessCounts,
    factors: &Factors,
    rng: &mut impl Rng,
) -> Vec<Proposal> {
    let mut shut: Vec<Zone> = Vec::new();
    loop {
        let mut scratch = machines.to_vec();
        let mut left = request.clone();
        left.zones.retain(|(z, _)| !shut.contains(z));
        let mut chosen = Vec::new();
        for task in &request.tasks {
            let Some(i) = pick(&scratch, &left, counts, factors, rng) else { break };
            book(&mut scratch, i, &mut left);
            chosen.push(Proposal { job: request.job.clone(), task: *task, machine: scratch[i].id.clone() });
        }
        if chosen.len() == request.tasks.len() {
            machines.clone_from_slice(&scratch);
            return chosen;
        }
        // The first draw led into a zone that can't hold the gang: the others are tried before
        // it has to wait.
        match left.zones.first() {
            Some((zone, _)) if request.together && !chosen.is_empty() => shut.push(zone.clone()),
            _ => return Vec::new(),
        }
    }
}

fn book(machines: &mut [MachineView], i: usize, request: &mut PlacementRequest) {
    let m = &mut machines[i];
    m.free = m.free.minus(&request.resources);
    m.empty = false;
    if !m.images.contains(&request.image) && !m.fetching.contains(&request.image) {
        m.fetching.push(request.image.clone());
    }
    let zone = m.zone.clone();
    if request.together {
        request.zones.retain(|(z, _)| *z == zone);
    }
    for (_, left) in request.zones.iter_mut().filter(|(z, _)| *z == zone) {
        *left = left.saturating_sub(1);
    }
}

fn pick(
    machines: &[MachineView],
    request: &PlacementRequest,
    counts: &SuccessCounts,
    factors: &Factors,
    rng: &mut impl Rng,
) -> Option<usize> {
    let candidates: Vec<usize> = (0..machines.len()).filter(|i| request.allows(&machines[*i])).collect();
    // A lone candidate wins unsampled.
    if candidates.len() <= 1 {
        return candidates.first().copied();
    }
    let booked_fits = candidates.iter().any(|i| !machines[*i].empty);
    let cheap_fits = candidates.iter().any(|i| !is_dear(&machines[*i], request));
    let mut best: Option<(f64, usize)> = None;
    for i in candidates {
        let m = &machines[i];
        let mut value = draw(counts.pair(&m.id, &request.kind), rng)
            * factors.health(m.health)
            * fetch_factor(m, request, factors);
        if booked_fits {
            value *= packing_factor(m, request, factors);
        }
        if cheap_fits && is_dear(m, request) {
            value *= factors.dear;
        }
        if best.is_none_or(|(b, _)| value > b) {
            best = Some((value, i));
        }
    }
    best.map(|(_, i)| i)
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
