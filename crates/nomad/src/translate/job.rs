//! The job as a whole: its name, type and priority.

use super::group::JobProperties;
use super::{Group, Job, Translator};
use crate::decode::Section;

/// The most bytes of a job's name.
const MAX_ID_BYTES: usize = 512;
const DEFAULT_PRIORITY: i64 = 50;
const DEFAULT_NAMESPACE: &str = "default";

/// The namespace that a job belongs to.
pub fn namespace_of(job: &Section) -> &str {
    job.text("namespace").unwrap_or(DEFAULT_NAMESPACE)
}

impl Translator<'_> {
    pub(super) fn job(&mut self, job: &Section) -> Job {
        let id = self.job_id(job);
        let service = self.is_service(job);
        let priority = self.priority(job);
        let groups = self.groups(&JobProperties { section: job, id, service, priority });
        let namespace = namespace_of(job).to_string();
        Job { id: id.into(), namespace, service, priority, groups, canonical: job.canonical("job") }
    }

    fn job_id<'s>(&mut self, job: &'s Section) -> &'s str {
        let id = job.label.as_deref().or(job.text("ID")).or(job.text("name")).unwrap_or_default();
        if id.is_empty() || id.len() > MAX_ID_BYTES {
            self.section_fault(job, format!("needs a name of 1 to {MAX_ID_BYTES} bytes"));
        }
        if id.contains(|letter: char| letter.is_control() || letter.is_whitespace()) {
            self.section_fault(job, "its name may hold no blanks and no control characters");
        }
        if let Some(name) = job.text("name").filter(|name| *name != id) {
            self.fault(job, "name", format!("is `{name}`, but the job is `{id}`; give one name"));
        }
        id
    }

    fn is_service(&mut self, job: &Section) -> bool {
        match job.text("type") {
            None | Some("service") => true,
            Some("batch") => false,
            Some(other @ ("system" | "sysbatch")) => {
                let reason = format!(
                    "`{other}` runs on every machine, and machines come and go with the work here; \
                     write service or batch with a count"
                );
                self.fault(job, "type", reason);
                true
            }
            Some(other) => {
                self.fault(job, "type", format!("`{other}` is unknown; write service or batch"));
                true
            }
        }
    }

    fn priority(&mut self, job: &Section) -> i64 {
        let priority = job.whole("priority").filter(|priority| *priority != 0).unwrap_or(DEFAULT_PRIORITY);
        if !(1..=100).contains(&priority) {
            self.fault(job, "priority", format!("must be from 1 to 100, is {priority}"));
        }
        priority
    }

    fn groups(&mut self, job: &JobProperties<'_>) -> Vec<Group> {
        let sections = job.section.blocks("group");
        if sections.is_empty() {
            self.fault(job.section, "group", "is missing; a job needs one group at least");
        }
        let mut groups: Vec<Group> = Vec::new();
        for section in sections {
            let group = self.group(job, section);
            if groups.iter().any(|earlier| earlier.name == group.name) {
                self.section_fault(section, format!("there are two groups `{}`", group.name));
            }
            groups.push(group);
        }
        groups
    }
}
