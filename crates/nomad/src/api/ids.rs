//! Ids that the API gives to objects. An id encodes the object that it refers to, so that any node can find
//! the object and no id needs to be stored: the first half of the name's hash, the version, and for an
//! allocation its group and task.

use super::names::NameHash;

/// Number of digits of the name's hash in an id.
const HASH_DIGITS: usize = 16;

/// A parsed id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Id {
    /// The first digits of the name's hash.
    pub hash: String,
    /// The lower 32 bits of the version.
    pub version: u32,
    /// For an allocation, the index of its group and of its task; tasks are ordered by progress.
    pub task: Option<(u8, u32)>,
}

fn dashed(hex: &str) -> String {
    format!("{}-{}-{}-{}-{}", &hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..])
}

/// The id of a version's evaluation or deployment.
pub fn of_version(hash: &NameHash, version: u64) -> String {
    dashed(&format!("{}{:08x}00000000", &hash.as_str()[..HASH_DIGITS], version as u32))
}

/// The id of an allocation.
pub fn of_task(hash: &NameHash, version: u64, group: usize, task: u32) -> String {
    // A task's index is below 100,000 and fits into 17 bits; the top bit distinguishes the id from a
    // version's id.
    let low = 0x8000_0000 | ((group as u32 & 0x7f) << 24) | (task & 0x00ff_ffff);
    dashed(&format!("{}{:08x}{low:08x}", &hash.as_str()[..HASH_DIGITS], version as u32))
}

/// Parses an id; none if it has another form.
pub fn parse(id: &str) -> Option<Id> {
    let hex: String = id.chars().filter(|c| *c != '-').collect();
    if hex.len() != 32 || !hex.bytes().all(|b| b.is_ascii_hexdigit() && !b.is_ascii_uppercase()) {
        return None;
    }
    let low = u32::from_str_radix(&hex[24..], 16).ok()?;
    let task = (low & 0x8000_0000 != 0).then_some((((low >> 24) & 0x7f) as u8, low & 0x00ff_ffff));
    Some(Id { hash: hex[..HASH_DIGITS].into(), version: u32::from_str_radix(&hex[16..24], 16).ok()?, task })
}

#[cfg(test)]
mod tests;
