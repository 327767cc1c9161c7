//! A group as a native job.

use super::job::namespace_of;
use super::meta::Meta;
use super::placement::Placement;
use super::{Group, MAX_TASKS, Translator};
use crate::decode::Section;
use pearford_scheduler::jobs::{JobSpec, JobType, Priority};
use pearford_scheduler::types::{Duration, JobId};
use std::borrow::Cow;

/// The most bytes of a name in native jobs: classes, teams, images.
const MAX_NATIVE_NAME_BYTES: usize = 128;

/// What a group takes over from its job.
pub struct JobProperties<'a> {
    /// The job's section.
    pub section: &'a Section,
    /// The job's name.
    pub id: &'a str,
    /// Whether it is a service.
    pub service: bool,
    /// Nomad's priority.
    pub priority: i64,
}

/// An image as a task names it.
struct Image {
    name: String,
    size_gb: f64,
}

impl Translator<'_> {
    /// Translates a group. Faults are found in the order of the calls.
    pub(super) fn group(&mut self, job: &JobProperties<'_>, group: &Section) -> Group {
        let name = self.group_name(group);
        let tasks = self.task_count(group);
        let task = self.only_task(group);
        let meta = self.meta([job.section, group, &task]);
        let job_type = self.job_type(job, group, &meta);
        let namespace = namespace_of(job.section);
        let team = self.context.settings.namespaces.get(namespace).map_or(namespace, String::as_str);
        let resources = self.resources(&task);
        let placement = self.placement(job.section, group, &task, &meta, resources.machine_types);
        let image = self.image(&task, &meta);
        let estimate_s = self.estimate_s(job, group, &meta);
        let class = meta.text("class").unwrap_or(job.id);
        self.check_native_name(group, "class", class, "; set meta pearford_class");
        self.check_native_name(group, "team", team, "");
        self.check_native_name(group, "image", &image.name, "");
        let Placement { machine_types, zone, together, spread } = placement;
        let spec = JobSpec {
            kind: class.into(),
            team: team.into(),
            job_type,
            priority: native_priority(job.priority),
            tasks,
            resources: resources.per_task,
            image: image.name.as_str().into(),
            image_gb: image.size_gb,
            types: machine_types.map(|types| types.iter().map(|name| name.as_str().into()).collect()),
            zone: zone.map(|zone| zone.as_str().into()),
            together,
            spread,
            spot: meta.flag("spot"),
            estimate: Duration::from_secs_f64(estimate_s),
            checkpoint_interval: Duration::from_secs_f64(meta.amount("snapshot_every_s").unwrap_or(0.0)),
            checkpoint_duration: Duration::from_secs_f64(meta.amount("snapshot_s").unwrap_or(0.0)),
            deadline: meta.amount("due_s").map(Duration::from_secs_f64),
            needs: meta.names("awaits").map(JobId::from).collect(),
        };
        let task_name = task.label.as_deref().or(task.text("Name")).unwrap_or_default().to_string();
        let update = self.update(job.section, group, job.service);
        Group { name, task: task_name, spec, update }
    }

    fn group_name(&mut self, group: &Section) -> String {
        let name = group.label.as_deref().or(group.text("Name")).unwrap_or_default();
        if name.is_empty() {
            self.section_fault(group, "needs a name");
        }
        name.to_string()
    }

    fn task_count(&mut self, group: &Section) -> u32 {
        let count = group.whole("count").unwrap_or(1);
        if !(1..=MAX_TASKS).contains(&count) {
            let reason = format!(
                "must be from 1 to {MAX_TASKS}, is {count}; leave out a group that is to have no task"
            );
            self.fault(group, "count", reason);
        }
        count.clamp(1, MAX_TASKS) as u32
    }

    /// The one task of a group. In place of a missing one comes a section of whose fields no faults are noted.
    fn only_task<'s>(&mut self, group: &'s Section) -> Cow<'s, Section> {
        match group.blocks("task") {
            [task] => Cow::Borrowed(task),
            [] => {
                self.fault(group, "task", "is missing; a group needs one task");
                let mut missing = Section::empty(group.at, group.path_of("task"));
                missing.bad_all(&["driver", "config", "resources", "meta"]);
                Cow::Owned(missing)
            }
            [first, second, ..] => {
                let reason =
                    "is the second in its group; write a group for each task, or one task that runs both";
                self.section_fault(second, reason);
                Cow::Borrowed(first)
            }
        }
    }

    fn job_type(&mut self, job: &JobProperties<'_>, group: &Section, meta: &Meta) -> JobType {
        let gang = meta.flag("gang");
        if job.service {
            if gang {
                let reason = "pearford_gang goes with type batch; a service's replicas are independent";
                self.fault(group, "meta", reason);
            }
            JobType::Service
        } else if gang {
            JobType::Gang
        } else {
            JobType::Array
        }
    }

    fn image(&mut self, task: &Section, meta: &Meta) -> Image {
        match task.text("driver") {
            Some("docker" | "podman") => {}
            Some(other) => {
                let reason =
                    format!("`{other}` is not run here; pack the task into an image and write docker");
                self.fault(task, "driver", reason);
            }
            None => self.fault(task, "driver", "is missing; write docker"),
        }
        let config = task.block("config");
        let name = config.and_then(|config| config.text("image")).unwrap_or_default().to_string();
        if name.is_empty() {
            match config {
                Some(config) => self.fault(config, "image", "is missing; a task needs an image"),
                None => self.fault(task, "config", "is missing; a task needs `image` in it"),
            }
        }
        let size_gb = meta.amount("image_gb").or(self.context.settings.image_gb);
        if size_gb.is_none() && !meta.is_bad("image_gb") {
            self.fault(task, "meta", "needs pearford_image_gb: how many GB the image has");
        }
        Image { name, size_gb: size_gb.unwrap_or(0.0) }
    }

    /// Seconds that a task is expected to run; 0 for a service, which has no end.
    fn estimate_s(&mut self, job: &JobProperties<'_>, group: &Section, meta: &Meta) -> f64 {
        if job.service {
            return 0.0;
        }
        if let Some(seconds) = meta.amount("expected_s") {
            return seconds;
        }
        if meta.is_bad("expected_s") {
            return 0.0;
        }
        self.context.settings.expected_s.unwrap_or_else(|| {
            let reason = "a batch job needs meta pearford_expected_s: how many seconds a task runs, roughly";
            self.fault(group, "meta", reason);
            0.0
        })
    }

    fn check_native_name(&mut self, group: &Section, what: &str, name: &str, remedy: &str) {
        if name.len() > MAX_NATIVE_NAME_BYTES {
            let reason =
                format!("the {what} `{name:.20}...` has more than {MAX_NATIVE_NAME_BYTES} bytes{remedy}");
            self.section_fault(group, reason);
        }
    }
}

/// Nomad's 1 to 100 in four bands; its default, 50, is normal.
fn native_priority(priority: i64) -> Priority {
    match priority {
        ..30 => Priority::Low,
        30..60 => Priority::Normal,
        60..80 => Priority::High,
        _ => Priority::Production,
    }
}
