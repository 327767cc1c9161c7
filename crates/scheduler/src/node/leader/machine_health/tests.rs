use super::super::liveness_rules::UNANSWERED_PROBES_LIMIT;
use super::super::test_support::{heartbeat, leader};
use super::*;
use crate::types::MachineId;

/// A leader that has received a heartbeat from one machine in each of `zones`: `m-0` in the first, and so on.
fn cluster(zones: &[&str]) -> Leader {
    let now = MonotonicTime::from_millis(1_000);
    let mut leader = leader();
    for (index, zone) in zones.iter().enumerate() {
        leader.process_heartbeat(&heartbeat(&format!("m-{index}"), zone, 1), now);
    }
    leader.heartbeat_collection.records_read(now);
    leader.update_failover_phase(now);
    leader
}

fn set_unanswered(leader: &mut Leader, id: &str, probes: u32) {
    leader.machines.get_mut(&MachineId::from(id)).expect("known machine").unanswered_probes = probes;
}

fn lost_machines(leader: &Leader) -> Vec<&str> {
    let lost = leader.machines.iter().filter(|machine| machine.status == MachineStatus::Releasing);
    lost.map(|machine| machine.id.as_str()).collect()
}

/// Guards against a slow return of lost machines: without probes a lost machine is returned only after four
/// heartbeat intervals, and its replicas are down for as long.
#[test]
fn returns_machine_after_unanswered_probes() {
    let mut leader = cluster(&["z0", "z0", "z1"]);
    let interval = (leader.settings.workers.report_s * 1000.0) as u64;
    let at = MonotonicTime::from_millis(1_000 + interval * 14 / 10);
    leader.process_heartbeat(&heartbeat("m-1", "z0", 2), at);
    leader.process_heartbeat(&heartbeat("m-2", "z1", 2), at);
    let probes = leader.due_probes(at);
    assert_eq!(probes.iter().map(|probe| probe.machine.as_str()).collect::<Vec<_>>(), ["m-0"]);
    set_unanswered(&mut leader, "m-0", UNANSWERED_PROBES_LIMIT - 1);
    leader.return_lost_machines(&BTreeMap::new(), at);
    assert!(lost_machines(&leader).is_empty(), "one unanswered probe must not count as a loss");
    set_unanswered(&mut leader, "m-0", UNANSWERED_PROBES_LIMIT);
    leader.return_lost_machines(&BTreeMap::new(), at);
    assert_eq!(lost_machines(&leader), ["m-0"]);
}

/// Guards against the return of machines of an unreachable zone while their tasks still run: if the network
/// separates a whole zone, its workers keep their tasks until the leases expire.
#[test]
fn keeps_unreachable_zone_until_its_leases_expire() {
    let mut leader = cluster(&["z0", "z0", "z0", "z0", "z1", "z1", "z1", "z1", "z1"]);
    let lease = (leader.settings.workers.lease_s * 1000.0) as u64;
    let return_lost_with_z1_heartbeats = |leader: &mut Leader,
                                          last_heartbeat_by_zone: &BTreeMap<Zone, MonotonicTime>,
                                          at: MonotonicTime,
                                          serial: u64| {
        (4..9).for_each(|index| {
            leader.process_heartbeat(&heartbeat(&format!("m-{index}"), "z1", serial), at);
        });
        let unresponsive = leader.machines.iter_mut().filter(|machine| machine.zone == "z0".into());
        unresponsive.for_each(|machine| machine.unanswered_probes = 9);
        leader.return_lost_machines(last_heartbeat_by_zone, at);
    };
    let no_contacts = BTreeMap::new();
    return_lost_with_z1_heartbeats(
        &mut leader,
        &no_contacts,
        MonotonicTime::from_millis(1_000 + lease - 2_500),
        2,
    );
    assert!(lost_machines(&leader).is_empty());
    // The last contact that an earlier leader had with the zone is older than this leadership.
    let earlier_contact = BTreeMap::from([(Zone::from("z0"), MonotonicTime::from_millis(0))]);
    return_lost_with_z1_heartbeats(
        &mut leader,
        &earlier_contact,
        MonotonicTime::from_millis(1_000 + lease - 1_500),
        3,
    );
    assert_eq!(lost_machines(&leader).len(), 4);
    let mut leader = cluster(&["z0", "z0", "z0", "z0", "z1", "z1", "z1", "z1", "z1"]);
    return_lost_with_z1_heartbeats(&mut leader, &no_contacts, MonotonicTime::from_millis(1_000 + lease), 2);
    assert_eq!(lost_machines(&leader).len(), 4);
}

/// Guards against a late return of many machines of a zone that fail together: the zone must not count as
/// unreachable while its other machines still send heartbeats.
#[test]
fn returns_failed_machines_at_once_if_others_of_their_zone_send_heartbeats() {
    let mut leader = cluster(&["z0"; 10]);
    let interval = (leader.settings.workers.report_s * 1000.0) as u64;
    let mut at = MonotonicTime::from_millis(1_000);
    let mut serial = 1;
    // Five machines send no heartbeats; the other five send heartbeats in turn.
    while at < MonotonicTime::from_millis(1_000 + interval * 2) {
        at = at + Duration::from_millis(interval / 5);
        serial += 1;
        leader.process_heartbeat(&heartbeat(&format!("m-{}", 5 + serial % 5), "z0", serial), at);
    }
    (0..5).for_each(|index| set_unanswered(&mut leader, &format!("m-{index}"), UNANSWERED_PROBES_LIMIT));
    leader.return_lost_machines(&BTreeMap::new(), at);
    assert_eq!(lost_machines(&leader), ["m-0", "m-1", "m-2", "m-3", "m-4"]);
    // The same five unanswered, but no heartbeats from the zone at all: it may be unreachable.
    let mut leader = cluster(&["z0"; 10]);
    (0..5).for_each(|index| set_unanswered(&mut leader, &format!("m-{index}"), UNANSWERED_PROBES_LIMIT));
    let at = MonotonicTime::from_millis(1_000 + interval * 2);
    leader.return_lost_machines(&BTreeMap::new(), at);
    assert!(lost_machines(&leader).is_empty());
}
