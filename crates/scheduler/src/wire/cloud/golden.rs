//! Golden bytes between this node and the cloud: every request, and the parsed form of every answer.

use super::*;
use crate::golden::{recorded, request_line};
use crate::golden_group;

const REPLIES: &str = include_str!("../../../tests/golden/cloud_replies_read.txt");

fn rent() -> CloudRequest {
    CloudRequest::Rent {
        claim: "n0-412-7".into(),
        type_name: "g8".into(),
        zone: "z0".into(),
        spot: true,
        number: 3,
    }
}
fn release() -> CloudRequest {
    CloudRequest::Release { machines: vec!["m-1".into(), "m-2".into()] }
}
fn list(after: Option<MachineId>) -> CloudRequest {
    CloudRequest::List { after, limit: 500 }
}

#[test]
fn golden_requests_to_the_cloud() {
    let requests = [
        ("types", CloudRequest::Types),
        ("rent", rent()),
        ("release", release()),
        ("list", list(None)),
        ("list, further page", list(Some("m-000231".into()))),
    ];
    let mut group = golden_group!("cloud_requests.txt");
    for (name, request) in requests {
        group.writes(name, request_line(request.http()));
    }
    group.finish();
}

fn reply(name: &str, request: &CloudRequest, status: u16) -> CloudReply {
    request.reply(status, recorded(REPLIES, name).as_bytes())
}

#[test]
fn golden_machine_types() {
    let CloudReply::Types(types) = reply("types", &CloudRequest::Types, 200) else {
        panic!("the reply must be machine types")
    };
    let [full, minimal] = &types[..] else { panic!("two types") };
    assert_eq!(full.name, "g8".into());
    assert_eq!((full.cpus, full.gpus, full.memory_gb), (64.0, 8.0, 512.5));
    assert_eq!((full.cache_gb, full.fetch_gb_per_s), (100.5, 0.25));
    assert_eq!((full.price, full.spot_price), (12.5, Some(4.25)));
    assert_eq!(full.boot_s, 35.5);
    assert_eq!(full.zones, ["z0".into(), "z1".into()]);
    assert_eq!(minimal.name, "c2".into());
    assert_eq!((minimal.cpus, minimal.memory_gb, minimal.price), (2.0, 8.0, 0.5));
    assert_eq!(
        (minimal.gpus, minimal.cache_gb, minimal.fetch_gb_per_s, minimal.boot_s),
        (0.0, 0.0, 0.0, 0.0)
    );
    assert_eq!(minimal.spot_price, None);
    assert!(minimal.zones.is_empty());
}

#[test]
fn golden_machine_list() {
    let CloudReply::Listed { machines, more } = reply("list", &list(None), 200) else {
        panic!("the reply must be a list")
    };
    assert!(more);
    let full = &machines[0];
    assert_eq!((&full.id, &full.type_name, &full.zone), (&"m-1".into(), &"g8".into(), &"z0".into()));
    assert_eq!(full.addr.as_deref(), Some("10.1.0.1:9000"));
    assert!(full.spot);
    assert_eq!(full.age_s, 61.5);
    let minimal = &machines[1];
    assert_eq!((minimal.addr.as_deref(), minimal.spot, minimal.age_s), (None, false, 0.0));
    let phases: Vec<MachinePhase> = machines.iter().map(|machine| machine.phase).collect();
    let expected = [MachinePhase::Running, MachinePhase::Booting, MachinePhase::Failed, MachinePhase::Other];
    assert_eq!(phases, expected);
    let CloudReply::Listed { machines, more } = reply("list, empty", &list(None), 200) else {
        panic!("the reply must be a list")
    };
    assert!(machines.is_empty() && !more);
}

#[test]
fn golden_answers_of_the_cloud() {
    let CloudReply::Rented(machines) = reply("rented", &rent(), 200) else {
        panic!("the reply must be rented machines")
    };
    assert_eq!(machines, ["m-1".into(), "m-2".into()]);
    assert!(matches!(reply("no capacity", &rent(), 503), CloudReply::NoCapacity));
    assert!(matches!(reply("away", &rent(), 503), CloudReply::Refused));
    assert!(matches!(reply("not understood", &rent(), 200), CloudReply::Unknown));
    assert!(matches!(reply("released", &release(), 200), CloudReply::Released));
}
