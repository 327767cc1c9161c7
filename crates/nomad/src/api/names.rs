//! Durable records: one for each name, and one for each version of it.
//!
//! A name's record says which native jobs stand for it now, and what is under way between versions. It
//! is never removed: it carries the final answer of the newest version, also after a purge. A version's
//! record holds the job as it was registered.

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
/// Bytes that a stored job may unfold to.
const MAX_JOB_BYTES: usize = 1024 * 1024;
/// Level of compression, from 1 to 10.
const COMPRESSION: u8 = 6;
/// Bytes up to which a job is stored as it is: most are, and deflating cost more than all else of a
/// registration.
const MAX_PLAIN_BYTES: usize = 1024;

/// First part of what native jobs' ids are hashes of. Stored records hold the ids: it must not change.
const PART_ID_DOMAIN: &str = "door";

/// Stands for a namespace and a name in keys, which hold neither blanks nor many bytes.
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

    /// Where hashes with this beginning lie.
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

    /// From which key on its versions lie.
    pub fn versions_from(&self) -> String {
        format!("{VERSIONS}{}/", self.0)
    }
}

/// A native job that runs a part of a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The native job.
    pub id: JobId,
    /// How many tasks it has.
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
    /// How its next version replaces it; none for a batch job.
    pub update: Option<Update>,
}

impl GroupRecord {
    /// How many tasks it has.
    pub fn tasks(&self) -> u32 {
        self.parts.iter().map(|part| part.tasks).sum()
    }
}

/// A service's way from one version to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that runs as long as the new one doesn't.
    pub from: u64,
    /// Parts of earlier versions that are still there, by group, in the order in which they go.
    pub olds: Vec<Old>,
    /// Replicas of earlier versions that have gone already, by group.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<(String, u32)>,
    /// Time of day of its last step.
    pub progressed_ms: u64,
    /// It failed, and is kept as it stands.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub kept: bool,
}

/// A native job of an earlier version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Old {
    /// The group that it runs a part of.
    pub group: String,
    /// The native job.
    #[serde(flatten)]
    pub part: Part,
}

/// How the last rollout ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ended {
    /// The new version runs alone.
    Successful,
    /// New replicas did not become healthy in time.
    Failed,
    /// The version is the one before, after the version between had failed.
    Reverted,
    /// A newer registration or a stop came in between.
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
    /// Revision of the first registration, from the second on.
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
    /// The rollout under way, or one that failed and is kept.
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

    /// All native jobs that it still answers for.
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
    /// Deflated, in base 64: values of the state service are small, and large jobs repeat themselves.
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

/// Tasks of each part of a group: one part, unless it is a service of which two versions can't run side by side within
/// the team's quota. Then it is rolled in steps, and each step is a part.
///
/// `most` parts at the most. A part of a service that is spread has an even number of tasks where
/// there are two or more, so that half of each is half of all; one that is kept together is one part.
pub fn split(job: &Job, group: usize, settings: &Settings, most: usize) -> Vec<u32> {
    let group = &job.groups[group];
    let spec = &group.spec;
    let tasks = spec.tasks;
    let whole = vec![tasks];
    let Some(team) = settings.teams.get(&spec.team) else { return whole };
    if spec.job_type != JobType::Service || spec.together || tasks < 2 || most < 2 {
        return whole;
    }
    let beside = fitting(team, spec.resources.cpus, spec.resources.gpus).saturating_sub(tasks);
    if beside >= tasks {
        return whole;
    }
    let wanted = match group.update.max_parallel {
        0 => tasks,
        replicas => replicas.min(tasks),
    };
    let mut size = wanted.min(beside.max(1)).max(tasks.div_ceil(most as u32));
    if spec.spread && size % 2 == 1 {
        size += 1;
    }
    let full = tasks / size;
    let rest = tasks % size;
    std::iter::repeat_n(size, full as usize).chain((rest > 0).then_some(rest)).collect()
}

/// Tasks of this size that fit the team's limit when nothing else of it runs.
fn fitting(team: &Team, cpus: f64, gpus: f64) -> u32 {
    let of = |max: Option<f64>, each: f64| match max {
        Some(max) if each > 0.0 => ((max + 1e-6) / each) as u32,
        _ => u32::MAX,
    };
    of(team.max_cpus, cpus).min(of(team.max_gpus, gpus))
}

/// The native job of a part. It follows from what it stands for, so that two nodes that accept the same
/// version at once make the same; `salt` tells it from one that a user happens to have.
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
