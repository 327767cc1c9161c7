//! A whole service on one machine, on loopback: controllers as real processes, and stand-ins of the key-value store, the
//! cloud and the workers, which speak the published protocols of the real ones.
//!
//! `pearford-dev-cluster` runs it by hand, and the program's end-to-end tests through [`cluster::Cluster`].
//! [`service_report`] is apart: it evaluates the controllers' logs.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cloud;
pub mod cluster;
mod http_server;
pub mod service_report;
pub mod store;
mod worker;
