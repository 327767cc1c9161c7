//! Rate limits: the limits of the key-value store, and token buckets that keep a node's requests to the store
//! and the cloud within its share.

mod store_limits;
mod token_bucket;

pub use store_limits::StoreLimits;
pub use token_bucket::TokenBucket;
