//! From a job that has been read to native jobs.

use crate::decode::Section;
use crate::fault::{Fault, Faults};
use crate::fields::{META, META_FIELDS, MetaKind};
use crate::operator::{AttributeMeaning, NomadSettings};
use crate::tree::Value;
use pearford_scheduler::jobs::{JobSpec, JobType, Priority};
use pearford_scheduler::types::{Duration, JobId, Resources};
use pearford_scheduler::wire::users;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of a name that native jobs take: classes, teams, images, types, zones.
const MAX_NATIVE_NAME: usize = 128;
const MAX_ID: usize = 512;
/// Tasks of a native job.
const MAX_TASKS: i64 = 100_000;
/// Seconds and GB beyond what any job has.
const MAX_AMOUNT: f64 = 1e9;
const DEFAULT_PRIORITY: i64 = 50;
const DEFAULT_MEMORY_MB: i64 = 300;
const ZONE: &str = "${node.datacenter}";
const MACHINE_TYPE: &str = "${node.class}";

/// What a translation may know besides the job.
#[derive(Debug, Clone, Default)]
pub struct Context {
    pub settings: NomadSettings,
    /// All zones, where they are known: naming them all is the same as naming none.
    pub zones: Vec<String>,
}

/// A job whose every field is understood.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    pub id: String,
    pub namespace: String,
    pub service: bool,
    pub priority: i64,
    pub groups: Vec<Group>,
    /// What two jobs that ask for the same have in common.
    pub canonical: serde_json::Value,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    pub name: String,
    pub task: String,
    pub spec: JobSpec,
    pub update: Update,
}

/// How a service goes from one version to the next.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Replicas replaced at a time; 0: all.
    pub max_parallel: u32,
    pub min_healthy: Duration,
    pub healthy_deadline: Duration,
    /// 0: the first failure ends the roll.
    pub progress_deadline: Duration,
    pub auto_revert: bool,
}

impl Default for Update {
    fn default() -> Self {
        Self {
            max_parallel: 1,
            min_healthy: Duration::from_secs_f64(10.0),
            healthy_deadline: Duration::from_secs_f64(300.0),
            progress_deadline: Duration::from_secs_f64(600.0),
            auto_revert: false,
        }
    }
}

impl Job {
    /// Tells versions apart: equal for jobs that ask for the same, however they are written.
    pub fn digest(&self) -> String {
        let bytes = Sha256::digest(self.canonical.to_string().as_bytes());
        bytes.iter().take(16).map(|b| format!("{b:02x}")).collect()
    }

    /// The native submissions, each as JSON on one line.
    pub fn submissions(&self) -> Vec<String> {
        let digest = self.digest();
        let parts = |g: &Group| [&self.namespace, &self.id, &digest, &g.name].map(|s| s.clone());
        let id = |g: &Group| native_id(&parts(g).iter().map(String::as_str).collect::<Vec<_>>());
        self.groups.iter().map(|g| users::write_submission(&id(g), &g.spec)).collect()
    }
}

/// An id of the native form that follows from `parts` alone: 32 digits of a hash.
pub fn native_id(parts: &[&str]) -> JobId {
    let mut hash = Sha256::new();
    for part in parts {
        // With its length, so that no two lists of parts run together.
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    let bytes = hash.finalize();
    let number = bytes.iter().take(16).fold(0u128, |n, b| (n << 8) | u128::from(*b));
    JobId::from(format!("req-{:032}", number % 10u128.pow(32)).as_str())
}

/// Translates a job, or says everything that is wrong with it, after what was found before.
pub fn translate(job: &Section, context: &Context, faults: Faults) -> Result<Job, Vec<Fault>> {
    let mut t = Translator { context, faults };
    let out = t.job(job);
    t.faults.or(out)
}

struct Translator<'a> {
    context: &'a Context,
    faults: Faults,
}

impl Translator<'_> {
    fn fault(&mut self, section: &Section, name: &str, reason: impl Into<String>) {
        if section.is_bad(name.split('.').next().unwrap_or(name)) {
            return;
        }
        self.faults.add(section.place(name), &section.path_of(name), reason);
    }

    fn job(&mut self, job: &Section) -> Job {
        let id = job.label.as_deref().or(job.text("ID")).or(job.text("name")).unwrap_or_default();
        if id.is_empty() || id.len() > MAX_ID {
            self.faults.add(job.at, &job.path, format!("needs a name of 1 to {MAX_ID} bytes"));
        }
        if id.contains(|c: char| c.is_control() || c.is_whitespace()) {
            self.faults.add(job.at, &job.path, "its name may hold no blanks and no control characters");
        }
        if let Some(name) = job.text("name").filter(|name| *name != id) {
            self.fault(job, "name", format!("is `{name}`, but the job is `{id}`; give one name"));
        }
        let service = match job.text("type") {
            None | Some("service") => true,
            Some("batch") => false,
            Some(other @ ("system" | "sysbatch")) => {
                let why =
                    format!("`{other}` runs on every machine, and machines come and go with the work here");
                self.fault(job, "type", format!("{why}; write service or batch with a count"));
                true
            }
            Some(other) => {
                self.fault(job, "type", format!("`{other}` is unknown; write service or batch"));
                true
            }
        };
        let priority = job.whole("priority").filter(|p| *p != 0).unwrap_or(DEFAULT_PRIORITY);
        if !(1..=100).contains(&priority) {
            self.fault(job, "priority", format!("must be from 1 to 100, is {priority}"));
        }
        let groups = job.blocks("group");
        if groups.is_empty() {
            self.fault(job, "group", "is missing; a job needs one group at least");
        }
        let mut out = Vec::new();
        for group in groups {
            let made = self.group(job, group, id, service, priority);
            if out.iter().any(|g: &Group| g.name == made.name) {
                self.faults.add(group.at, &group.path, format!("there are two groups `{}`", made.name));
            }
            out.push(made);
        }
        let namespace = job.text("namespace").unwrap_or("default").to_string();
        let canonical = job.canonical("job");
        Job { id: id.into(), namespace, service, priority, groups: out, canonical }
    }

    fn group(&mut self, job: &Section, group: &Section, id: &str, service: bool, priority: i64) -> Group {
        let name = group.label.as_deref().or(group.text("Name")).unwrap_or_default().to_string();
        if name.is_empty() {
            self.faults.add(group.at, &group.path, "needs a name");
        }
        let count = group.whole("count").unwrap_or(1);
        if !(1..=MAX_TASKS).contains(&count) {
            let why = format!(
                "must be from 1 to {MAX_TASKS}, is {count}; leave out a group that is to have no task"
            );
            self.fault(group, "count", why);
        }
        let mut none = Section::empty(group.at, group.path_of("task"));
        let task = match group.blocks("task") {
            [task] => task,
            [] => {
                self.fault(group, "task", "is missing; a group needs one task");
                none.bad_all(&["driver", "config", "resources", "meta"]);
                &none
            }
            [_, second, ..] => {
                let why =
                    "is the second in its group; write a group for each task, or one task that runs both";
                self.faults.add(second.at, &second.path, why);
                &group.blocks("task")[0]
            }
        };
        let meta = self.meta([job, group, task]);
        let gang = meta.flag("gang");
        if service && gang {
            self.fault(
                group,
                "meta",
                "pearford_gang goes with type batch; a service's replicas are independent",
            );
        }
        let namespace = job.text("namespace").unwrap_or("default");
        let team = self.context.settings.namespaces.get(namespace).map_or(namespace, String::as_str);
        let (resources, device_types) = self.resources(task);
        let (zone, mut types) = self.constraints([job, group, task]);
        for allowed in device_types {
            types = Some(meet(types, allowed));
        }
        if types.as_ref().is_some_and(Vec::is_empty) {
            self.faults.add(group.at, &group.path_of("constraint"), "leaves no machine type; loosen one");
        }
        let zone = self.datacenters(job, zone);
        let spread = self.spread(job, group);
        let together = meta.flag("together");
        if spread && together {
            let why = "pearford_together wants one zone and `spread` several; keep one of them";
            self.fault(group, "spread", why);
        }
        let (image, image_gb) = self.image(task, &meta);
        let estimate = match meta.amount("expected_s") {
            _ if service => 0.0,
            Some(seconds) => seconds,
            None if meta.bad.contains("expected_s") => 0.0,
            None => self.context.settings.expected_s.unwrap_or_else(|| {
                let why = "a batch job needs meta pearford_expected_s: how many seconds a task runs, roughly";
                self.fault(group, "meta", why);
                0.0
            }),
        };
        let class = meta.text("class").unwrap_or(id).to_string();
        for (what, value) in [("class", &class), ("team", &team.to_string()), ("image", &image)] {
            if value.len() > MAX_NATIVE_NAME {
                let why = format!("the {what} `{value:.20}...` has more than {MAX_NATIVE_NAME} bytes");
                let why = if what == "class" { format!("{why}; set meta pearford_class") } else { why };
                self.faults.add(group.at, &group.path, why);
            }
        }
        let spec = JobSpec {
            kind: class.as_str().into(),
            team: team.into(),
            job_type: match (service, gang) {
                (true, _) => JobType::Service,
                (false, true) => JobType::Gang,
                (false, false) => JobType::Array,
            },
            priority: band(priority),
            tasks: count.clamp(1, MAX_TASKS) as u32,
            resources,
            image: image.as_str().into(),
            image_gb,
            types: types.map(|types| types.iter().map(|t| t.as_str().into()).collect()),
            zone: zone.map(|z| z.as_str().into()),
            together,
            spread,
            spot: meta.flag("spot"),
            estimate: Duration::from_secs_f64(estimate),
            checkpoint: Duration::from_secs_f64(meta.amount("snapshot_every_s").unwrap_or(0.0)),
            save: Duration::from_secs_f64(meta.amount("snapshot_s").unwrap_or(0.0)),
            deadline: meta.amount("due_s").map(Duration::from_secs_f64),
            needs: meta.names("awaits").map(JobId::from).collect(),
        };
        let task_name = task.label.as_deref().or(task.text("Name")).unwrap_or_default().to_string();
        let update = self.update(job, group, service);
        Group { name, task: task_name, spec, update }
    }

    /// `meta` under the prefix: the task's before the group's before the job's.
    fn meta(&mut self, sections: [&Section; 3]) -> Meta {
        let mut out = Meta::default();
        for section in sections {
            for (key, value) in section.map("meta") {
                let Value::Text(value) = value else { continue };
                let at = (section.place("meta"), section.path_of(&format!("meta.{key}")));
                let field =
                    key.strip_prefix(META).and_then(|name| META_FIELDS.iter().find(|f| f.name == name));
                let Some(field) = field else {
                    let (why, meant) = meta_unknown(key);
                    self.faults.add(at.0, &at.1, why);
                    out.bad.extend(meant);
                    continue;
                };
                match meta_value(field.kind, field.name, value) {
                    Ok(()) => {
                        out.good.insert(field.name, value.clone());
                    }
                    Err(why) => {
                        self.faults.add(at.0, &at.1, why);
                        out.bad.insert(field.name);
                    }
                }
            }
        }
        out
    }

    /// What each task takes, and the machine types that devices with a model allow.
    fn resources(&mut self, task: &Section) -> (Resources, Vec<Vec<String>>) {
        let none = Section::empty(task.at, task.path_of("resources"));
        let r = match task.block("resources") {
            Some(r) => r,
            None if task.is_bad("resources") => return (Resources::default(), Vec::new()),
            None => &none,
        };
        let settings = &self.context.settings;
        let (cores, mhz) = (r.whole("cores"), r.whole("cpu"));
        for (name, value) in [("cores", cores), ("cpu", mhz), ("memory", r.whole("memory"))] {
            if value.is_some_and(|v| v < 1 || v as f64 > MAX_AMOUNT) {
                self.fault(r, name, format!("must be at least 1, is {}", value.unwrap_or(0)));
            }
        }
        let cpus = match (cores, mhz, settings.mhz_per_cpu) {
            (Some(_), Some(_), _) => {
                self.fault(r, "cpu", "stands beside `cores`; keep one of them");
                1.0
            }
            (Some(cores), None, _) => cores as f64,
            (None, Some(mhz), Some(per_cpu)) => mhz as f64 / per_cpu,
            (None, Some(_), None) => {
                let why =
                    "MHz can't be told from CPUs here; write `cores`, or have the operators set mhz_per_cpu";
                self.fault(r, "cpu", why);
                1.0
            }
            (None, None, _) if r.is_bad("cpu") => 1.0,
            (None, None, _) => {
                self.fault(r, "cores", "is missing; say how many CPUs a task takes");
                1.0
            }
        };
        let memory_mb = r.whole("memory").unwrap_or(DEFAULT_MEMORY_MB);
        let (mut gpus, mut types) = (0i64, Vec::new());
        for device in r.blocks("device") {
            let name = device.label.as_deref().or(device.text("Name")).unwrap_or_default();
            let count = device.whole("count").unwrap_or(1);
            if !(1..=MAX_TASKS).contains(&count) {
                self.fault(device, "count", format!("must be from 1 to {MAX_TASKS}, is {count}"));
            }
            match (name, self.context.settings.devices.get(name)) {
                (_, Some(allowed)) => types.push(allowed.clone()),
                ("gpu" | "nvidia/gpu", None) => {}
                _ => {
                    let why = format!(
                        "`{name}` is no device here; write \"nvidia/gpu\", or have the operators map it in `devices`"
                    );
                    self.faults.add(device.at, &device.path, why);
                }
            }
            // Every block counts: a request of which a part is lost runs on the wrong machines.
            gpus = gpus.saturating_add(count);
        }
        let resources =
            Resources { cpus, gpus: gpus as f64, memory_gb: memory_mb as f64 / settings.mb_per_gb };
        (resources, types)
    }

    /// The zone and the machine types that constraints leave.
    fn constraints(&mut self, sections: [&Section; 3]) -> (Option<String>, Option<Vec<String>>) {
        let (mut zone, mut types): (Option<String>, Option<Vec<String>>) = (None, None);
        for c in sections.into_iter().flat_map(|s| s.blocks("constraint")) {
            if c.has_bad() {
                continue;
            }
            let (attribute, value) =
                (c.text("attribute").unwrap_or_default(), c.text("value").unwrap_or_default());
            let meaning = match attribute {
                ZONE => Some(AttributeMeaning::Zone),
                MACHINE_TYPE => Some(AttributeMeaning::MachineType),
                other => self.context.settings.attributes.get(other).copied(),
            };
            let Some(meaning) = meaning else {
                let why = format!(
                    "`{attribute}` says nothing here; constrain {MACHINE_TYPE} or {ZONE}, or have the operators map it in `attributes`"
                );
                self.fault(c, "attribute", why);
                continue;
            };
            if value.is_empty() {
                self.fault(c, "value", "is missing; name a zone or a machine type");
                continue;
            }
            match (meaning, c.text("operator").unwrap_or("=")) {
                (AttributeMeaning::Zone, "=" | "==" | "is") => match &zone {
                    Some(other) if other != value => {
                        self.fault(c, "value", format!("wants zone `{value}`, another constraint `{other}`"));
                    }
                    _ => zone = Some(value.into()),
                },
                (AttributeMeaning::MachineType, "=" | "==" | "is") => {
                    types = Some(meet(types, vec![value.into()]))
                }
                (AttributeMeaning::MachineType, "set_contains_any") => {
                    let list = value.split(',').map(|t| t.trim().to_string()).filter(|t| !t.is_empty());
                    types = Some(meet(types, list.collect()));
                }
                (AttributeMeaning::Zone, other) => {
                    let why = format!("`{other}` can't be checked for zones; write \"=\" and one zone");
                    self.fault(c, "operator", why);
                }
                (AttributeMeaning::MachineType, other) => {
                    let why = format!(
                        "`{other}` can't be checked for machine types; write \"=\" or \"set_contains_any\" and name them"
                    );
                    self.fault(c, "operator", why);
                }
            }
        }
        (zone, types)
    }

    fn datacenters(&mut self, job: &Section, constrained: Option<String>) -> Option<String> {
        let named = job.texts("datacenters").unwrap_or_default();
        let zone = match named.as_slice() {
            [] | ["*"] => None,
            [one] => Some(one.to_string()),
            several => {
                let zones = &self.context.zones;
                let all = !zones.is_empty() && zones.iter().all(|z| several.contains(&z.as_str()));
                if !all {
                    let why = "a job runs in one zone or in any; name one, or write [\"*\"]";
                    self.fault(job, "datacenters", why);
                }
                None
            }
        };
        if let (Some(a), Some(b)) = (&zone, &constrained)
            && a != b
        {
            self.fault(job, "datacenters", format!("names `{a}`, a constraint `{b}`"));
        }
        constrained.or(zone)
    }

    fn spread(&mut self, job: &Section, group: &Section) -> bool {
        let spreads: Vec<&Section> = job.blocks("spread").iter().chain(group.blocks("spread")).collect();
        for s in &spreads {
            if s.text("attribute").is_none() {
                self.fault(s, "attribute", format!("is missing; write \"{ZONE}\""));
            }
        }
        if let [_, second, ..] = spreads.as_slice() {
            self.faults.add(second.at, &second.path, "is the second; one is enough");
        }
        !spreads.is_empty()
    }

    fn image(&mut self, task: &Section, meta: &Meta) -> (String, f64) {
        match task.text("driver") {
            Some("docker" | "podman") => {}
            Some(other) => {
                let why = format!("`{other}` is not run here; pack the task into an image and write docker");
                self.fault(task, "driver", why);
            }
            None => self.fault(task, "driver", "is missing; write docker"),
        }
        let image = task.block("config").and_then(|c| c.text("image")).unwrap_or_default().to_string();
        if image.is_empty() {
            match task.block("config") {
                Some(config) => self.fault(config, "image", "is missing; a task needs an image"),
                None => self.fault(task, "config", "is missing; a task needs `image` in it"),
            }
        }
        let image_gb = meta.amount("image_gb").or(self.context.settings.image_gb);
        if image_gb.is_none() && !meta.bad.contains("image_gb") {
            self.fault(task, "meta", "needs pearford_image_gb: how many GB the image has");
        }
        let image_gb = image_gb.unwrap_or(0.0);
        (image, image_gb)
    }

    fn update(&mut self, job: &Section, group: &Section, service: bool) -> Update {
        let default = Update::default();
        let sections: Vec<&Section> = group.block("update").into_iter().chain(job.block("update")).collect();
        if let (Some(section), false) = (group.block("update"), service) {
            self.faults.add(
                section.at,
                &section.path,
                "goes with type service; a batch job's new version is new work",
            );
        }
        let span = |name: &str, default: Duration| {
            sections.iter().find_map(|s| s.seconds(name)).map_or(default, Duration::from_secs_f64)
        };
        let max_parallel = sections.iter().find_map(|s| s.whole("max_parallel"));
        if max_parallel.is_some_and(|n| !(0..=MAX_TASKS).contains(&n)) {
            let why = format!("max_parallel must be from 0 to {MAX_TASKS}");
            self.fault(sections[0], "max_parallel", why);
        }
        Update {
            max_parallel: max_parallel.map_or(default.max_parallel, |n| n.clamp(0, MAX_TASKS) as u32),
            min_healthy: span("min_healthy_time", default.min_healthy),
            healthy_deadline: span("healthy_deadline", default.healthy_deadline),
            progress_deadline: span("progress_deadline", default.progress_deadline),
            auto_revert: sections.iter().find_map(|s| s.flag("auto_revert")).unwrap_or(default.auto_revert),
        }
    }
}

/// What both allow.
fn meet(a: Option<Vec<String>>, b: Vec<String>) -> Vec<String> {
    match a {
        None => b,
        Some(a) => a.into_iter().filter(|t| b.contains(t)).collect(),
    }
}

/// Nomad's 1 to 100 in four bands; its default, 50, is normal.
fn band(priority: i64) -> Priority {
    match priority {
        ..30 => Priority::Low,
        30..60 => Priority::Normal,
        60..80 => Priority::High,
        _ => Priority::Production,
    }
}

/// Good values of `meta` under the prefix.
#[derive(Debug, Default)]
struct Meta {
    good: BTreeMap<&'static str, String>,
    /// Names whose values have faults, of which nothing more need be said.
    bad: BTreeSet<&'static str>,
}

impl Meta {
    fn text(&self, name: &str) -> Option<&str> {
        self.good.get(name).map(String::as_str)
    }
    fn flag(&self, name: &str) -> bool {
        self.text(name) == Some("true")
    }
    fn amount(&self, name: &str) -> Option<f64> {
        self.text(name).and_then(|t| t.trim().parse().ok())
    }
    fn names(&self, name: &str) -> impl Iterator<Item = &str> {
        self.text(name).into_iter().flat_map(|t| t.split(',')).map(str::trim).filter(|t| !t.is_empty())
    }
}

/// Why a key means nothing, and the name that it was probably meant to be.
fn meta_unknown(key: &str) -> (String, Option<&'static str>) {
    let Some(name) = key.strip_prefix(META) else {
        return (
            format!("pearford hands tasks no meta; only keys that begin with {META} mean something"),
            None,
        );
    };
    let near = META_FIELDS.iter().map(|f| (crate::decode::distance(f.name, name), f.name)).min();
    match near {
        Some((d, near)) if d <= 2 => (format!("is unknown; did you mean `{META}{near}`?"), Some(near)),
        _ => ("is unknown; see `pearford nomad fields`".into(), None),
    }
}

fn meta_value(kind: MetaKind, name: &str, value: &str) -> Result<(), String> {
    match kind {
        MetaKind::Text if value.is_empty() => Err("must not be empty".into()),
        MetaKind::Text => Ok(()),
        MetaKind::Flag if value == "true" || value == "false" => Ok(()),
        MetaKind::Flag => Err(format!("must be true or false, is \"{value}\"")),
        MetaKind::Amount => match value.trim().parse::<f64>() {
            Ok(n) if n == 0.0 && name == "due_s" => Err("must be above 0".into()),
            Ok(n) if n.is_finite() && (0.0..=MAX_AMOUNT).contains(&n) => Ok(()),
            _ => Err(format!("must be a number from 0 to {MAX_AMOUNT}, is \"{value}\"")),
        },
        MetaKind::Names => {
            let bad = value.split(',').map(str::trim).find(|n| users::job_id(n).is_none());
            bad.map_or(Ok(()), |bad| {
                Err(format!("`{bad}` is no id of a native job; those look like req-000412"))
            })
        }
    }
}
