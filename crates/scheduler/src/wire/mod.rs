//! The outside protocols: how requests and answers are written and read.
//!
//! The protocols' own terms (shards, tenures, flavors, stamps, grants) occur only in this module; the rest of
//! the code uses tasks, worker epochs, machine types, revisions and leases. Nodes build requests and read
//! answers through these types; the program's runtime sends them.

pub mod cloud;
pub mod state;
pub mod users;
pub mod workers;

use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a request body, in bytes.
pub const MAX_BODY: usize = 64 * 1024;

/// A request as it is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path, with its query.
    pub path: String,
    /// The body, a JSON text or empty.
    pub body: Vec<u8>,
}

impl HttpRequest {
    fn get(path: String) -> Self {
        Self { method: Method::GET, path, body: Vec::new() }
    }

    fn post(path: impl Into<String>, body: Vec<u8>) -> Self {
        Self { method: Method::POST, path: path.into(), body }
    }
}

/// Deserializes a body; `None` if it doesn't have the expected format.
fn read<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

/// Serializes a body. Serialization of this module's types doesn't fail.
fn write<T: Serialize>(body: &T) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_default()
}
