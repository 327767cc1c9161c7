//! Durable records: one for each name, and one for each version of it.
//!
//! A name's record lists the native jobs that run it and the state of its rollout. It is never removed: it
//! holds the final state of the newest version, also after a purge. A version's record holds the job as it
//! was registered.

use crate::translate::{Job, Update, native_id};
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use pearford_scheduler::jobs::JobType;
use pearford_scheduler::settings::{Settings, Team};
use pearford_scheduler::types::JobId;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Prefix of all keys of the API.
pub const PREFIX: &str = "nomad/";
/// Prefix of names' records.
pub const NAMES: &str = "nomad/n/";
/// Prefix of versions' records.
const VERSIONS: &str = "nomad/v/";
/// Maximum size of a stored job after decompression, in bytes.
const MAX_JOB_BYTES: usize = 1024 * 1024;
/// Compression level, from 1 to 10.
const COMPRESSION: u8 = 6;
/// Maximum size of a job that is stored uncompressed, in bytes. Most jobs are this small, and compression
/// would take longer than the rest of a registration.
const MAX_PLAIN_BYTES: usize = 1024;

/// Domain prefix of the hash from which native jobs' ids are made. It must not change: stored records hold
/// the ids.
const PART_ID_DOMAIN: &str = "door";

/// Hash of a namespace and a name, for use in keys, which are short and have no blanks.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct NameHash(String);

impl NameHash {
    /// The hash of a name in a namespace.
    pub fn of(namespace: &str, name: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update((namespace.len() as u64).to_be_bytes());
        hash.update(namespace.as_bytes());
        hash.update(name.as_bytes());
        Self(hash.finalize().iter().take(16).map(|b| format!("{b:02x}")).collect())
    }

    /// The lower bound of hashes that begin with these digits.
    pub fn beginning(hash: &str) -> Self {
        Self(hash.into())
    }

    /// The name whose record a key holds; none for other keys.
    pub fn from_key(key: &str) -> Option<Self> {
        key.strip_prefix(NAMES).map(|hash| Self(hash.into()))
    }

    /// The hash, in hexadecimal digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The key of the name's record.
    pub fn key(&self) -> String {
        format!("{NAMES}{}", self.0)
    }

    /// The key of a version's record.
    pub fn version_key(&self, version: u64) -> String {
        format!("{VERSIONS}{}/{version:010}", self.0)
    }

    /// The prefix of the keys of its version records.
    pub fn versions_prefix(&self) -> String {
        format!("{VERSIONS}{}/", self.0)
    }
}

/// A native job that runs some or all tasks of a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The native job.
    pub id: JobId,
    /// Number of its tasks.
    pub tasks: u32,
}

/// A group in a name's record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Name of the group.
    pub name: String,
    /// Name of its task.
    pub task: String,
    /// The native jobs that run it.
    pub parts: Vec<Part>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    /// How a newer version replaces it; none for a batch job.
    pub update: Option<Update>,
}

impl GroupRecord {
    /// Number of its tasks.
    pub fn tasks(&self) -> u32 {
        self.parts.iter().map(|part| part.tasks).sum()
    }
}

/// The rollout of a service from one version to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that the rollout replaces, and that a revert restores.
    pub from: u64,
    /// Remaining parts of earlier versions with their groups, in the order of their removal.
    pub olds: Vec<Old>,
    /// Number of removed replicas of earlier versions, by group.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<(String, u32)>,
    /// Time of day of its last step, in ms.
    pub progressed_ms: u64,
    /// Whether it failed and is left as it is.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub kept: bool,
}

/// A native job of an earlier version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Old {
    /// The group whose tasks it runs.
    pub group: String,
    /// The native job.
    #[serde(flatten)]
    pub part: Part,
}

/// How the last rollout ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ended {
    /// Only the new version runs.
    Successful,
    /// New replicas did not become healthy in time.
    Failed,
    /// The rollout of a version failed, and the job was reverted to the version before it.
    Reverted,
    /// The job was stopped during the rollout.
    Cancelled,
}

/// The record of a name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The namespace.
    pub namespace: String,
    /// The job's name within it.
    pub name: String,
    /// The newest version, from 0.
    pub version: u64,
    /// Digest of the newest version: see `translate::Job::digest`.
    pub digest: String,
    /// Whether it is a service, rather than a batch job.
    pub service: bool,
    /// Nomad's priority, from 1 to 100.
    pub priority: i64,
    /// Time of day when the newest version was registered, in ms.
    pub submitted_ms: u64,
    /// Revision of the name's record before its second registration; 0 until then.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub created: u64,
    /// Its groups.
    pub groups: Vec<GroupRecord>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    /// Whether it was stopped.
    pub stopped: bool,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    /// Whether it is no longer listed.
    pub purged: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    /// The rollout in progress, or a failed one that is left as it is.
    pub roll: Option<Rollout>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    /// How the last rollout ended.
    pub ended: Option<Ended>,
    /// Native jobs that must still be cancelled.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ending: Vec<JobId>,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

impl Head {
    /// The hash of the name.
    pub fn hash(&self) -> NameHash {
        NameHash::of(&self.namespace, &self.name)
    }

    /// The native jobs of the newest version.
    pub fn parts(&self) -> impl Iterator<Item = &Part> {
        self.groups.iter().flat_map(|group| &group.parts)
    }

    /// All native jobs of the name: of the newest version, of its rollout, and those that must still be
    /// cancelled.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        let olds = self.roll.iter().flat_map(|rollout| &rollout.olds).map(|old| &old.part.id);
        self.parts().map(|part| &part.id).chain(olds).chain(&self.ending)
    }

    /// The record as it is stored.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// The record of a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Digest of the version.
    pub digest: String,
    /// Time of day when it was registered, in ms.
    pub submitted_ms: u64,
    job: Stored,
}

/// A job as it was registered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Stored {
    Plain(serde_json::Value),
    /// Deflated, in base 64: the state service limits the size of values, and large jobs compress well.
    Packed(String),
}

impl VersionRecord {
    /// The record of a job as it was registered, compressed if it is large.
    pub fn new(digest: &str, submitted_ms: u64, job: &serde_json::Value) -> Self {
        let text = job.to_string();
        let job = if text.len() <= MAX_PLAIN_BYTES {
            Stored::Plain(job.clone())
        } else {
            Stored::Packed(STANDARD_NO_PAD.encode(compress_to_vec(text.as_bytes(), COMPRESSION)))
        };
        Self { digest: digest.into(), submitted_ms, job }
    }

    /// The job as it was registered; none if the record is damaged or too large.
    pub fn job(&self) -> Option<serde_json::Value> {
        match &self.job {
            Stored::Plain(job) => Some(job.clone()),
            Stored::Packed(packed) => {
                let packed = STANDARD_NO_PAD.decode(packed).ok()?;
                let text = decompress_to_vec_with_limit(&packed, MAX_JOB_BYTES).ok()?;
                serde_json::from_slice(&text).ok()
            }
        }
    }

    /// The record as it is stored.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Splits a group into parts and returns the number of tasks of each. A group is one part, unless it is a
/// service of which two versions don't fit into the team's quota at the same time. Then each part is one step
/// of a rollout.
///
/// There are at most `most` parts. If a service is spread, each part but the last has an even number of
/// tasks, so that each part can be spread evenly. A group whose tasks must be placed together is one part.
pub fn split(job: &Job, group: usize, settings: &Settings, most: usize) -> Vec<u32> {
    let group = &job.groups[group];
    let spec = &group.spec;
    let tasks = spec.tasks;
    let whole = vec![tasks];
    let Some(team) = settings.teams.get(&spec.team) else { return whole };
    if spec.job_type != JobType::Service || spec.together || tasks < 2 || most < 2 {
        return whole;
    }
    let spare = fitting(team, spec.resources.cpus, spec.resources.gpus).saturating_sub(tasks);
    if spare >= tasks {
        return whole;
    }
    let wanted = match group.update.max_parallel {
        0 => tasks,
        replicas => replicas.min(tasks),
    };
    let mut size = wanted.min(spare.max(1)).max(tasks.div_ceil(most as u32));
    if spec.spread && size % 2 == 1 {
        size += 1;
    }
    let full = tasks / size;
    let rest = tasks % size;
    std::iter::repeat_n(size, full as usize).chain((rest > 0).then_some(rest)).collect()
}

/// Number of tasks of this size that fit the team's limit if the team runs nothing else.
fn fitting(team: &Team, cpus: f64, gpus: f64) -> u32 {
    let of = |max: Option<f64>, each: f64| match max {
        Some(max) if each > 0.0 => ((max + 1e-6) / each) as u32,
        _ => u32::MAX,
    };
    of(team.max_cpus, cpus).min(of(team.max_gpus, gpus))
}

/// The id of a part's native job. It is derived from its arguments, so that two nodes that accept the same
/// version concurrently make the same id. `salt` changes the id if a user's own job has it already.
pub fn part_id(hash: &NameHash, version: u64, group: &str, part: usize, salt: u64) -> JobId {
    native_id(&[
        PART_ID_DOMAIN,
        hash.as_str(),
        &version.to_string(),
        group,
        &part.to_string(),
        &salt.to_string(),
    ])
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
