//! The platform's settings file of each controller in a cluster.

use super::{ClusterConfig, NodeAddresses};
use std::net::SocketAddr;

/// The key-value store's limit of requests a second, unless its limit of writes is higher.
const MIN_STORE_RPS: f64 = 250.0;
/// The facts that are the same for every cluster: those of workers, cloud and controllers' machines.
const FIXED_FACTS: &str = "\
[facts.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 20.0
gang_peer_s = 4.0
cancel_s = 30.0
[facts.cloud]
rps = 10.0
list_lag_s = 1.0
[facts.machine_limits]
cpu_share = 1.0
ram_mb = 256.0
max_connections = 1500
";

/// The addresses of the simulated services.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceAddresses {
    /// The key-value store.
    pub(super) store: SocketAddr,
    /// The cloud.
    pub(super) cloud: SocketAddr,
}

/// The zone of a node: each node has its own.
pub(super) fn zone(node: usize) -> String {
    format!("z{node}")
}

/// The settings of one node, in TOML.
pub(super) fn platform(
    config: &ClusterConfig,
    node: usize,
    nodes: &[NodeAddresses],
    services: ServiceAddresses,
) -> String {
    let own = &nodes[node];
    let mut toml = format!("node = \"n{node}\"\nsite = \"{}\"\n", zone(node));
    toml += &format!("api_addr = \"{}\"\nback = \"{}\"\n", own.api, own.peer);
    for (peer, addresses) in nodes.iter().enumerate().filter(|(peer, _)| *peer != node) {
        toml += &format!("[[seeds]]\nnode = \"n{peer}\"\nsite = \"{}\"\n", zone(peer));
        toml += &format!("peer_addr = \"{}\"\n", addresses.peer);
    }
    toml += &format!("[outside]\ncloud = \"{}\"\nstate = \"{}\"\n", services.cloud, services.store);
    toml += &facts(config);
    toml + FIXED_FACTS
}

/// The facts that depend on the configuration.
fn facts(config: &ClusterConfig) -> String {
    let zones: Vec<String> = (0..config.nodes).map(|node| format!("\"{}\"", zone(node))).collect();
    let mut toml = format!("[facts]\nzones = [{}]\ntime_bound_ms = 5.0\n", zones.join(", "));
    for team in &config.teams {
        toml += &format!("[[facts.teams]]\nname = \"{}\"\n", team.name);
        toml += &format!("gpus = 4.0\ngpus_max = {}.0\n", team.max_gpus);
    }
    let write_rps = config.write_rps;
    let rps = MIN_STORE_RPS.max(write_rps);
    toml += &format!("[facts.state]\nrps = {rps:?}\nwrite_rps = {write_rps:?}\n");
    toml + "value_kb = 16.0\ntxn_ops = 12\n"
}
