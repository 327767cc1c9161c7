//! Ids that the API gives out. They hold what they stand for, so that any node can look it up and none
//! needs to be stored: the first half of the name's hash, then version, and group and task for allocations.

use super::names::NameHash;

/// Digits of the name's hash that an id holds.
const HASH: usize = 16;

/// What an id stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Id {
    /// Beginning of the name's hash.
    pub hash: String,
    /// The version, its lower 32 bits.
    pub version: u32,
    /// Of an allocation: the group's place, and the task's by its progress.
    pub task: Option<(u8, u32)>,
}

fn dashed(hex: &str) -> String {
    format!("{}-{}-{}-{}-{}", &hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..])
}

/// Of an evaluation or a deployment.
pub fn of_version(hash: &NameHash, version: u64) -> String {
    dashed(&format!("{}{:08x}00000000", &hash.as_str()[..HASH], version as u32))
}

/// Of an allocation.
pub fn of_task(hash: &NameHash, version: u64, group: usize, task: u32) -> String {
    // Tasks are at most 100,000: 17 bits; the top bit tells it from a version's.
    let low = 0x8000_0000 | ((group as u32 & 0x7f) << 24) | (task & 0x00ff_ffff);
    dashed(&format!("{}{:08x}{low:08x}", &hash.as_str()[..HASH], version as u32))
}

/// Reads an id; none if it is not of this form.
pub fn parse(id: &str) -> Option<Id> {
    let hex: String = id.chars().filter(|c| *c != '-').collect();
    if hex.len() != 32 || !hex.bytes().all(|b| b.is_ascii_hexdigit() && !b.is_ascii_uppercase()) {
        return None;
    }
    let low = u32::from_str_radix(&hex[24..], 16).ok()?;
    let task = (low & 0x8000_0000 != 0).then_some((((low >> 24) & 0x7f) as u8, low & 0x00ff_ffff));
    Some(Id { hash: hex[..HASH].into(), version: u32::from_str_radix(&hex[16..24], 16).ok()?, task })
}

#[cfg(test)]
mod tests;
