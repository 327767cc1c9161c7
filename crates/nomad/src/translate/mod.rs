//! From a job that has been read to native jobs.
//!
//! `decode` gives the job's sections; [`translate`] goes through them and collects every fault rather than stopping at
//! the first. Each module has one concern: `job` the job as a whole, `group` a group as a native job, and for that
//! `meta`, `resources`, `placement` and `update`.

mod group;
mod job;
mod meta;
mod placement;
mod resources;
mod update;

pub use update::Update;

use crate::decode::Section;
use crate::fault::{Fault, Faults};
use crate::operator::NomadSettings;
use pearford_scheduler::jobs::JobSpec;
use pearford_scheduler::types::JobId;
use pearford_scheduler::wire::users;
use sha2::{Digest, Sha256};

/// The most tasks of a native job.
const MAX_TASKS: i64 = 100_000;
/// Seconds, MHz, MB and GB beyond what any job has.
const MAX_AMOUNT: f64 = 1e9;
/// Bytes of a digest that tells versions apart, and of a hash that makes a native id.
const HASH_BYTES: usize = 16;
/// Decimal digits of a native job's id.
const NATIVE_ID_DIGITS: u32 = 32;

/// What a translation may know besides the job.
#[derive(Debug, Clone, Default)]
pub struct Context {
    /// The operators' settings.
    pub settings: NomadSettings,
    /// All zones, where they are known: naming them all is the same as naming none.
    pub zones: Vec<String>,
}

/// A job whose every field is understood.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Its name, unique within the namespace.
    pub id: String,
    /// The namespace that it belongs to.
    pub namespace: String,
    /// Whether it is a service, rather than a batch job.
    pub service: bool,
    /// Nomad's priority, from 1 to 100.
    pub priority: i64,
    /// Its groups, in the order in which they were written.
    pub groups: Vec<Group>,
    /// What two jobs that request the same have in common, however they are written.
    pub canonical: serde_json::Value,
}

/// A group of a job: the tasks of native jobs that differ in nothing but their number.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    /// Its name, unique within the job.
    pub name: String,
    /// Name of its one task.
    pub task: String,
    /// The native job that runs it.
    pub spec: JobSpec,
    /// How a service's group is replaced by its next version.
    pub update: Update,
}

impl Job {
    /// Tells versions apart: equal for jobs that request the same, however they are written.
    pub fn digest(&self) -> String {
        let bytes = Sha256::digest(self.canonical.to_string().as_bytes());
        bytes.iter().take(HASH_BYTES).map(|byte| format!("{byte:02x}")).collect()
    }

    /// The native submissions, each as JSON on one line.
    pub fn submissions(&self) -> Vec<String> {
        let digest = self.digest();
        let submission = |group: &Group| {
            let id = native_id(&[&self.namespace, &self.id, &digest, &group.name]);
            users::write_submission(&id, &group.spec)
        };
        self.groups.iter().map(submission).collect()
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
    let number = bytes.iter().take(HASH_BYTES).fold(0u128, |number, byte| (number << 8) | u128::from(*byte));
    JobId::from(format!("req-{:032}", number % 10u128.pow(NATIVE_ID_DIGITS)).as_str())
}

/// Translates a job.
///
/// # Errors
/// Everything that is wrong with it, together with the faults found before.
pub fn translate(job: &Section, context: &Context, faults: Faults) -> Result<Job, Vec<Fault>> {
    let mut translator = Translator { context, faults };
    let translated = translator.job(job);
    translator.faults.or(translated)
}

/// A translation under way. Its methods give something usable also where they find faults, so that later ones find
/// theirs too.
struct Translator<'a> {
    context: &'a Context,
    faults: Faults,
}

impl Translator<'_> {
    /// Notes a fault of a field, unless a fault of it is known already.
    fn fault(&mut self, section: &Section, name: &str, reason: impl Into<String>) {
        if section.is_bad(name.split('.').next().unwrap_or(name)) {
            return;
        }
        self.faults.add(section.place(name), &section.path_of(name), reason);
    }

    /// Notes a fault of a section as a whole.
    fn section_fault(&mut self, section: &Section, reason: impl Into<String>) {
        self.faults.add(section.at, &section.path, reason);
    }
}
