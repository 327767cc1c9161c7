//! Answers about the cluster and this node.

use super::endpoints::ClusterInfo;
use super::reply::{Reply, status};
use crate::operator::NomadSettings;
use pearford_scheduler::extension::View;
use pearford_scheduler::types::TeamName;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::iter::once;

/// Index of answers that don't change while a node runs.
const CONSTANT_INDEX: u64 = 1;

/// Whether the node has read all records that answers are made from.
pub fn records_are_read(view: &View<'_>) -> bool {
    view.records.store_revision().is_some() && view.jobs.store_revision().is_some()
}

/// Answers a read about the cluster or this node.
pub fn answer(view: &View<'_>, settings: &NomadSettings, info: ClusterInfo) -> Reply {
    match info {
        ClusterInfo::Namespaces => namespaces(view, settings),
        ClusterInfo::Leader => {
            let address = view.leadership.map(|_| view.settings.api_addr.to_string()).unwrap_or_default();
            Reply::json(status::OK, None, &json!(address))
        }
        ClusterInfo::Peers => peers(view),
        ClusterInfo::Regions => Reply::json(status::OK, None, &json!(["global"])),
        ClusterInfo::Agent => agent(view),
        ClusterInfo::Health => health(view),
    }
}

fn namespaces(view: &View<'_>, settings: &NomadSettings) -> Reply {
    let teams = view.settings.teams.keys().map(TeamName::as_str);
    let mapped = settings.namespaces.keys().map(String::as_str);
    let names: BTreeSet<&str> = teams.chain(mapped).collect();
    let namespaces: Vec<Value> = names
        .into_iter()
        .map(|name| json!({"Name": name, "Description": "", "CreateIndex": 1, "ModifyIndex": 1}))
        .collect();
    Reply::json(status::OK, Some(CONSTANT_INDEX), &namespaces.into())
}

fn peers(view: &View<'_>) -> Reply {
    let others = view.settings.peers.iter().map(|peer| peer.addr);
    let addresses: Vec<String> =
        once(view.settings.peer_addr).chain(others).map(|address| address.to_string()).collect();
    Reply::json(status::OK, None, &json!(addresses))
}

fn agent(view: &View<'_>) -> Reply {
    let version = env!("CARGO_PKG_VERSION");
    let node = view.node.as_str();
    let agent = json!({
        "config": {"Region": "global", "Datacenter": view.settings.zone, "NodeName": node,
            "Version": {"Version": version}, "Server": {"Enabled": true}},
        "member": {"Name": node, "Status": "alive", "Tags": {"role": "pearford", "region": "global"}},
        "stats": {}});
    Reply::json(status::OK, None, &agent)
}

fn health(view: &View<'_>) -> Reply {
    if records_are_read(view) {
        Reply::json(status::OK, None, &json!({"server": {"ok": true, "message": "ok"}}))
    } else {
        let health = json!({"server": {"ok": false, "message": "records are not read yet"}});
        Reply::json(status::UNAVAILABLE, None, &health)
    }
}
