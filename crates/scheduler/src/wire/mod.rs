//! The outside protocols' own words. Nothing beyond this slice speaks of shards, tenures,
//! flavors or stamps: inside it is tasks, sessions, types and versions.

pub mod cloud;
pub mod state;
pub mod users;
pub mod workers;

/// What a request body may hold at most.
pub const MAX_BODY: usize = 64 * 1024;
