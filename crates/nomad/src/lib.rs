//! Nomad's job files and API on pearford's core: see `docs/design/nomad.md`.
//!
//! `hcl` reads job files; `fields` is the one table that says what becomes of each field; `decode` reads files and API
//! bodies by it; `translate` gives the native jobs; `api` serves Nomad's HTTP API in a node.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod decode;
pub mod fault;
pub mod fields;
pub mod hcl;
mod json_places;
pub mod operator;
pub mod schema;
pub mod source;
pub mod translate;
pub mod tree;
