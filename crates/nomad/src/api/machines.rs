//! Machines, as Nomad's nodes: read from the ledger's records when somebody asks, as no node but the leader
//! keeps a copy of them. Those listed hold tasks, or have held some lately: the ledger has no record of others.

use super::Reply;
use super::requests::{Ask, Page};
use pearford_scheduler::assignments::MachineRecord;
use pearford_scheduler::extension::{MachinePage, Machines, Outcome};
use pearford_scheduler::types::MachineId;
use serde_json::{Value, json};

/// Machines on one page: half a megabyte of records.
const MOST: usize = 500;
/// Bytes of a machine's name.
const LONGEST: usize = 150;

/// A question about machines.
#[derive(Debug)]
pub struct Asked {
    what: What,
    /// The asker may see all teams' tasks.
    all_teams: bool,
}

#[derive(Debug)]
enum What {
    One(String),
    Page { prefix: String, after: Option<MachineId>, most: usize },
}

impl Asked {
    /// None: the question is about something else.
    pub fn of(ask: &Ask, page: &Page, all_teams: bool) -> Option<Self> {
        let what = match ask {
            Ask::Node(id) => What::One(id.clone()),
            Ask::Nodes => What::Page {
                prefix: page.prefix.clone(),
                after: is_name(&page.from).then(|| MachineId::from(page.from.as_str())),
                most: page.most.min(MOST),
            },
            _ => return None,
        };
        Some(Self { what, all_teams })
    }

    pub fn which(&self) -> Machines {
        match &self.what {
            // What can't be a name is looked for under one that nothing has.
            What::One(id) if !is_name(id) => Machines::One("-".into()),
            What::One(id) => Machines::One(id.as_str().into()),
            What::Page { after, most, .. } => {
                Machines::Page { after: after.clone(), most: u32::try_from(*most).unwrap_or(1) }
            }
        }
    }
}

/// Whether it can be a machine's name: it becomes part of a path to the state service.
fn is_name(text: &str) -> bool {
    let fits = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= LONGEST && text.bytes().all(fits)
}

/// The answer, from what was found.
pub fn reply(asked: &Asked, found: Result<MachinePage, Outcome>) -> Reply {
    let found = match found {
        Ok(found) => found,
        Err(Outcome::NoBudget) => {
            return Reply::error(429, "machines are asked for too often here; come back");
        }
        Err(_) => return Reply::error(503, "the state service can't be read now; come back"),
    };
    match &asked.what {
        What::One(_) => match found.machines.first() {
            Some(machine) => Reply::json(200, None, &node(&machine.id, &machine.record, asked.all_teams)),
            None => Reply::error(404, "no machine of this name holds tasks"),
        },
        What::Page { prefix, .. } => {
            let of = found.machines.iter().filter(|machine| machine.id.as_str().starts_with(prefix));
            let nodes: Vec<Value> = of.map(|machine| stub(&machine.id, &machine.record)).collect();
            let mut reply = Reply::json(200, None, &nodes.into());
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
        // Native names: what a machine holds needn't have come through this door.
        node["Tasks"] = record.assignments.iter().map(|assignment| assignment.task.to_string()).collect();
    }
    node
}
