//! Rate limits: what the key-value store and the cloud take, and token buckets that keep a node within its share.

mod store_limits;
mod token_bucket;

pub use store_limits::StoreLimits;
pub use token_bucket::TokenBucket;
