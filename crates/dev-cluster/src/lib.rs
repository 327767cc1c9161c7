//! A complete service on one machine, on loopback: controllers as real processes, and simulated versions of
//! the key-value store, the cloud and the workers, which implement the published protocols.
//!
//! The program `pearford-dev-cluster` and the end-to-end tests run it through [`cluster::Cluster`].
//! [`service_report`] is independent of it and evaluates the controllers' logs.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cloud;
pub mod cluster;
mod http_server;
pub mod service_report;
pub mod store;
mod worker;
