//! Machines, shown as Nomad's nodes. Their assignment records are read from the store for each request, as
//! only the leader keeps a copy. Machines that hold no task and have not held one recently have no record and
//! are not listed.

use super::endpoints::Endpoint;
use super::query::Page;
use super::reply::{Reply, status};
use pearford_scheduler::assignments::MachineRecord;
use pearford_scheduler::extension::{MachinePage, Machines, Outcome};
use pearford_scheduler::types::MachineId;
use serde_json::{Value, json};

/// Maximum number of machines on a page, which bounds the records of a read to half a megabyte.
const MAX_MACHINES: usize = 500;
/// Maximum length of a machine's name, in bytes.
const MAX_NAME_BYTES: usize = 150;

/// A read of machines.
#[derive(Debug)]
pub struct MachineQuery {
    scope: Scope,
    /// Whether the client may see all teams' tasks.
    all_teams: bool,
}

#[derive(Debug)]
enum Scope {
    One(String),
    Page { prefix: String, after: Option<MachineId>, most: usize },
}

impl MachineQuery {
    /// The read of an endpoint; none if the endpoint is not about machines.
    pub fn of(endpoint: &Endpoint, page: &Page, all_teams: bool) -> Option<Self> {
        let scope = match endpoint {
            Endpoint::Machine(name) => Scope::One(name.clone()),
            Endpoint::Machines => Scope::Page {
                prefix: page.prefix.clone(),
                after: is_name(&page.from).then(|| MachineId::from(page.from.as_str())),
                most: page.most.min(MAX_MACHINES),
            },
            _ => return None,
        };
        Some(Self { scope, all_teams })
    }

    /// The machines to read from the store.
    pub fn selection(&self) -> Machines {
        match &self.scope {
            // An invalid name is replaced by a name that no machine has.
            Scope::One(id) if !is_name(id) => Machines::One("-".into()),
            Scope::One(id) => Machines::One(id.as_str().into()),
            Scope::Page { after, most, .. } => {
                Machines::Page { after: after.clone(), limit: u32::try_from(*most).unwrap_or(1) }
            }
        }
    }
}

/// Whether `text` is a valid machine name. The check is required because the name becomes part of a path to
/// the state service.
fn is_name(text: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(fits)
}

/// The answer to a query, made from the records that were read.
pub fn reply(query: &MachineQuery, found: Result<MachinePage, Outcome>) -> Reply {
    let found = match found {
        Ok(found) => found,
        Err(Outcome::NoBudget) => {
            return Reply::error(
                status::TOO_MANY_REQUESTS,
                "machines are asked for too often here; come back",
            );
        }
        Err(_) => return Reply::error(status::UNAVAILABLE, "the state service can't be read now; come back"),
    };
    match &query.scope {
        Scope::One(_) => match found.machines.first() {
            Some(machine) => {
                Reply::json(status::OK, None, &node(&machine.id, &machine.record, query.all_teams))
            }
            None => Reply::error(status::NOT_FOUND, "no machine of this name holds tasks"),
        },
        Scope::Page { prefix, .. } => {
            let of = found.machines.iter().filter(|machine| machine.id.as_str().starts_with(prefix));
            let nodes: Vec<Value> = of.map(|machine| stub(&machine.id, &machine.record)).collect();
            let mut reply = Reply::json(status::OK, None, &nodes.into());
            let last = found.machines.last().filter(|_| found.more);
            reply.next_token = last.map(|machine| machine.id.to_string());
            reply
        }
    }
}

fn stub(id: &MachineId, record: &MachineRecord) -> Value {
    let ip = record.addr.as_deref().and_then(|a| a.rsplit_once(':')).map_or("", |(ip, _)| ip);
    json!({"ID": id, "Name": id, "Address": ip, "Datacenter": record.zone, "NodeClass": record.type_name,
        "NodePool": "default", "Version": "", "Drain": false, "SchedulingEligibility": "eligible",
        "Status": "ready", "StatusDescription": "", "Drivers": {},
        "Attributes": {"pearford.spot": record.spot.to_string()}})
}

fn node(id: &MachineId, record: &MachineRecord, all_teams: bool) -> Value {
    let mut node = stub(id, record);
    if all_teams {
        // Tasks have native names, as a machine can also run jobs that were not registered through this API.
        node["Tasks"] = record.assignments.iter().map(|assignment| assignment.task.to_string()).collect();
    }
    node
}
