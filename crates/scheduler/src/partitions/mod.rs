//! Partitions: the leader leases disjoint sets of machines to the live controllers, and each proposes
//! placements on its own set. The design documents call a partition a block.

mod division;

pub use division::{Partition, Partitions};
