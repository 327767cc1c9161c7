//! The machines that a look at what waits goes by: those with room, or a part of them where they are many.

use super::*;

/// Machines in one look. Of a busy fleet fewer have room. Just after leases have ended nearly all have, and going
/// through them for each ask took a second of a leader's processor (four times the andina fleet, all nodes crashed).
const MOST: usize = 512;

/// What a look goes by.
pub(super) struct Field {
    pub views: Vec<MachineView>,
    /// Whose block each is in.
    pub owners: Vec<Option<NodeName>>,
    /// These are all that have room: what fits none of them fits nowhere.
    pub whole: bool,
}

impl Field {
    /// Drops the machines that are not `kept`: what fits none of the rest may fit elsewhere.
    pub fn keep(&mut self, kept: &[bool]) {
        let mut kept_views = kept.iter();
        self.views.retain(|_| kept_views.next() == Some(&true));
        let mut kept_owners = kept.iter();
        self.owners.retain(|_| kept_owners.next() == Some(&true));
        self.whole = false;
    }

    /// The machines in a controller's block.
    pub fn of(&self, node: &NodeName) -> impl Iterator<Item = &MachineView> {
        let owned = self.views.iter().zip(&self.owners);
        owned.filter(move |(_, owner)| owner.as_ref() == Some(node)).map(|(v, _)| v)
    }
}

impl Leader {
    /// Machines that could take some task of `requests`: of a busy fleet that is a small part.
    pub(super) fn open_field(&mut self, requests: &[PlacementRequest], now: MonotonicTime) -> Field {
        let least =
            |of: fn(&Resources) -> f64| requests.iter().map(|a| of(&a.resources)).fold(f64::MAX, f64::min);
        let least =
            Resources { cpus: least(|r| r.cpus), gpus: least(|r| r.gpus), memory_gb: least(|r| r.memory_gb) };
        // One whose record can't hold the largest entry is left out: offered, it would be chosen in vain.
        let last_task =
            |a: &PlacementRequest| TaskId { job: a.job.clone(), index: a.tasks.last().copied().unwrap_or(0) };
        let bytes = requests.iter().filter_map(|a| {
            self.job_states.get(&a.job).map(|r| self.assignment_bytes(&last_task(a), &r.job.spec))
        });
        let (bytes, limit) = (bytes.max().unwrap_or(0), self.settings.state.value_bytes);
        let asked: BTreeSet<&Image> = requests.iter().map(|a| &a.image).collect();
        let mut open = Vec::new();
        // Orders to a zone that is cut off arrive when the cut is over, or never.
        let reached = |m: &&Machine| m.status == MachineStatus::Up && !self.cut_zones.contains(&m.zone);
        for m in self.machines.values().filter(reached) {
            if !least.fits_in(&m.free()) || !m.open_for_tasks(now) || !m.record_holds(bytes, limit) {
                continue;
            }
            let health = self.health(m, now);
            if health != Health::Unreachable {
                open.push((m, health));
            }
        }
        let whole = open.len() <= MOST;
        if !whole {
            open = part_of(open, &asked);
        }
        let views: Vec<MachineView> =
            open.into_iter().map(|(m, health)| self.view(m, health, &asked, now)).collect();
        let owners = views.iter().map(|v| {
            self.partitions.add(&v.id);
            self.partitions.owner(&v.id).cloned()
        });
        Field { owners: owners.collect(), views, whole }
    }
}

type Open<'a> = (&'a Machine, Health);

/// A part of `open` that has some of each zone, type and kind; of those first the ones with an image asked for and the
/// fullest, and as many of the emptiest, for work that needs a whole machine.
fn part_of<'a>(open: Vec<Open<'a>>, asked: &BTreeSet<&Image>) -> Vec<Open<'a>> {
    let mut groups: BTreeMap<_, Vec<Open>> = BTreeMap::new();
    for (m, health) in open {
        groups.entry((&m.zone, &m.type_name, m.spot)).or_default().push((m, health));
    }
    let quota = (MOST / groups.len().max(1)).max(2);
    let mut out = Vec::new();
    for mut group in groups.into_values() {
        let ready = |m: &Machine| m.images.iter().any(|cached| asked.contains(&cached.image));
        group.sort_by_cached_key(|(m, _)| (!ready(m), (m.free().gpus * 1000.0) as u64));
        let rest = group.split_off(quota.min(group.len()) / 2);
        out.append(&mut group);
        let from = rest.len().saturating_sub(quota - quota / 2);
        out.extend_from_slice(&rest[from..]);
    }
    out
}
