use super::super::silence_rules::PROBES_LOST;
use super::super::test_support::{heartbeat, leader};
use super::*;
use crate::wire::cloud::CloudRequest;

/// A leader that has heard a machine in each of `zones`, `m-0` in the first.
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
    leader.machines.get_mut(&MachineId::from(id)).expect("there").unanswered_probes = probes;
}

fn lost(leader: &Leader) -> Vec<&str> {
    let lost = leader.machines.iter().filter(|machine| machine.status == MachineStatus::Releasing);
    lost.map(|machine| machine.id.as_str()).collect()
}

/// A lost machine was given up after four report intervals, and its replicas were down so long.
#[test]
fn a_silent_worker_is_probed_and_given_up_when_it_does_not_answer() {
    let mut leader = cluster(&["z0", "z0", "z1"]);
    let interval = (leader.settings.workers.report_s * 1000.0) as u64;
    let at = MonotonicTime::from_millis(1_000 + interval * 14 / 10);
    leader.process_heartbeat(&heartbeat("m-1", "z0", 2), at);
    leader.process_heartbeat(&heartbeat("m-2", "z1", 2), at);
    let probes = leader.silent_workers(at);
    assert_eq!(probes.iter().map(|probe| probe.machine.as_str()).collect::<Vec<_>>(), ["m-0"]);
    set_unanswered(&mut leader, "m-0", PROBES_LOST - 1);
    leader.return_lost_machines(&BTreeMap::new(), at);
    assert!(lost(&leader).is_empty(), "one lost answer proves little");
    set_unanswered(&mut leader, "m-0", PROBES_LOST);
    leader.return_lost_machines(&BTreeMap::new(), at);
    assert_eq!(lost(&leader), ["m-0"]);
}

/// A cut-off zone's tasks ran on inside until their machines were returned (andina, a day with
/// a zone cut alone).
#[test]
fn a_zone_silent_as_a_whole_is_kept_until_its_leases_end() {
    let mut leader = cluster(&["z0", "z0", "z0", "z0", "z1", "z1", "z1", "z1", "z1"]);
    let lease = (leader.settings.workers.lease_s * 1000.0) as u64;
    let hear_others =
        |leader: &mut Leader, heard: &BTreeMap<Zone, MonotonicTime>, at: MonotonicTime, serial: u64| {
            (4..9).for_each(|index| {
                leader.process_heartbeat(&heartbeat(&format!("m-{index}"), "z1", serial), at);
            });
            let silent = leader.machines.iter_mut().filter(|machine| machine.zone == "z0".into());
            silent.for_each(|machine| machine.unanswered_probes = 9);
            leader.return_lost_machines(heard, at);
        };
    let unknown = BTreeMap::new();
    hear_others(&mut leader, &unknown, MonotonicTime::from_millis(1_000 + lease - 2_500), 2);
    assert!(lost(&leader).is_empty());
    // A peer knows that an earlier leader had not heard the zone for longer than this one leads.
    let longer = BTreeMap::from([(Zone::from("z0"), MonotonicTime::from_millis(0))]);
    hear_others(&mut leader, &longer, MonotonicTime::from_millis(1_000 + lease - 1_500), 3);
    assert_eq!(lost(&leader).len(), 4);
    let mut leader = cluster(&["z0", "z0", "z0", "z0", "z1", "z1", "z1", "z1", "z1"]);
    hear_others(&mut leader, &unknown, MonotonicTime::from_millis(1_000 + lease), 2);
    assert_eq!(lost(&leader).len(), 4);
}

/// Machines that died together passed for a zone that is cut off, though the others there were heard.
#[test]
fn many_that_die_in_a_zone_whose_others_are_heard_are_given_up_at_once() {
    let mut leader = cluster(&["z0"; 10]);
    let interval = (leader.settings.workers.report_s * 1000.0) as u64;
    let mut at = MonotonicTime::from_millis(1_000);
    let mut serial = 1;
    // Five are silent, five go on, one after the other.
    while at < MonotonicTime::from_millis(1_000 + interval * 2) {
        at = at + Duration::from_millis(interval / 5);
        serial += 1;
        leader.process_heartbeat(&heartbeat(&format!("m-{}", 5 + serial % 5), "z0", serial), at);
    }
    (0..5).for_each(|index| set_unanswered(&mut leader, &format!("m-{index}"), PROBES_LOST));
    leader.return_lost_machines(&BTreeMap::new(), at);
    assert_eq!(lost(&leader), ["m-0", "m-1", "m-2", "m-3", "m-4"]);
    // The same five, and nobody heard any more: it may be the zone.
    let mut leader = cluster(&["z0"; 10]);
    (0..5).for_each(|index| set_unanswered(&mut leader, &format!("m-{index}"), PROBES_LOST));
    let at = MonotonicTime::from_millis(1_000 + interval * 2);
    leader.return_lost_machines(&BTreeMap::new(), at);
    assert!(lost(&leader).is_empty());
}

/// Faulty machines stand empty and so drew task after task; jobs that fail everywhere must not
/// make good machines look faulty.
#[test]
fn a_machine_that_fails_several_jobs_is_drained_and_one_job_alone_blames_nobody() {
    let mut leader = cluster(&["z0", "z0"]);
    let bad = MachineId::from("m-0");
    let job = |number: usize| JobId::from(format!("req-{number}").as_str());
    assert!(!leader.record_failed_job(&bad, &job(1), 1));
    assert!(!leader.record_failed_job(&bad, &job(1), 2), "the same job again says nothing new");
    assert!(!leader.record_failed_job(&bad, &job(2), JOB_FAULT_THRESHOLD), "this one fails wherever it runs");
    assert!(leader.record_failed_job(&bad, &job(3), 1));
    assert!(leader.machines.get(&bad).expect("there").draining);
    let call = leader.plan_returns(MonotonicTime::from_millis(9_000)).expect("a call");
    assert!(matches!(&call.request, CloudRequest::Release { machines } if *machines == [bad]));
}
