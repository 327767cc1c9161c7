use super::super::reconciliation::tests::{heartbeat, leader};
use super::*;

fn fleet(zones: &[&str]) -> Leader {
    let mut m = leader();
    for (i, zone) in zones.iter().enumerate() {
        m.process_heartbeat(&heartbeat(&format!("m-{i}"), zone, 1), MonotonicTime::from_millis(1_000));
    }
    m.heartbeat_collection.records_read(MonotonicTime::from_millis(1_000));
    m.gather(MonotonicTime::from_millis(1_000));
    m
}

fn lost(m: &Leader) -> Vec<&str> {
    let lost = m.machines.values().filter(|m| m.status == MachineStatus::Releasing);
    lost.map(|m| m.id.as_str()).collect()
}

/// A lost machine was given up after four report intervals, and its replicas were down so long.
#[test]
fn a_silent_worker_is_asked_and_given_up_when_it_does_not_answer() {
    let mut m = fleet(&["z0", "z0", "z1"]);
    let interval = (m.settings.workers.report_s * 1000.0) as u64;
    let at = MonotonicTime::from_millis(1_000 + interval * 14 / 10);
    m.process_heartbeat(&heartbeat("m-1", "z0", 2), at);
    m.process_heartbeat(&heartbeat("m-2", "z1", 2), at);
    let asked = m.silent_workers(at);
    assert_eq!(asked.iter().map(|(id, ..)| id.as_str()).collect::<Vec<_>>(), ["m-0"]);
    m.machines.get_mut(&MachineId::from("m-0")).expect("there").unanswered = PROBES_LOST - 1;
    m.find_lost(&BTreeMap::new(), at);
    assert!(lost(&m).is_empty(), "one lost answer proves little");
    m.machines.get_mut(&MachineId::from("m-0")).expect("there").unanswered = PROBES_LOST;
    m.find_lost(&BTreeMap::new(), at);
    assert_eq!(lost(&m), ["m-0"]);
}

/// A cut-off zone's tasks ran on inside until their machines were returned (andina, a day with
/// a zone cut alone).
#[test]
fn a_zone_silent_as_a_whole_is_kept_until_its_leases_end() {
    let mut m = fleet(&["z0", "z0", "z0", "z0", "z1", "z1", "z1", "z1", "z1"]);
    let lease = (m.settings.workers.lease_s * 1000.0) as u64;
    let hear_others =
        |m: &mut Leader, heard: &BTreeMap<Zone, MonotonicTime>, at: MonotonicTime, serial: u64| {
            (4..9).for_each(|i| m.process_heartbeat(&heartbeat(&format!("m-{i}"), "z1", serial), at));
            m.machines.values_mut().filter(|m| m.zone == "z0".into()).for_each(|m| m.unanswered = 9);
            m.find_lost(heard, at);
        };
    let unknown = BTreeMap::new();
    hear_others(&mut m, &unknown, MonotonicTime::from_millis(1_000 + lease - 2_500), 2);
    assert!(lost(&m).is_empty());
    // A peer knows that an earlier leader had not heard the zone for longer than this one leads.
    let longer = BTreeMap::from([(Zone::from("z0"), MonotonicTime::from_millis(0))]);
    hear_others(&mut m, &longer, MonotonicTime::from_millis(1_000 + lease - 1_500), 3);
    assert_eq!(lost(&m).len(), 4);
    let mut m = fleet(&["z0", "z0", "z0", "z0", "z1", "z1", "z1", "z1", "z1"]);
    hear_others(&mut m, &unknown, MonotonicTime::from_millis(1_000 + lease), 2);
    assert_eq!(lost(&m).len(), 4);
}

/// Machines that died together passed for a zone that is cut off, though the others there were heard.
#[test]
fn many_that_die_in_a_zone_whose_others_are_heard_are_given_up_at_once() {
    let mut m = fleet(&["z0"; 10]);
    let interval = (m.settings.workers.report_s * 1000.0) as u64;
    let (mut at, mut serial) = (MonotonicTime::from_millis(1_000), 1);
    // Five are silent, five go on, one after the other.
    while at < MonotonicTime::from_millis(1_000 + interval * 2) {
        at = at + Duration::from_millis(interval / 5);
        serial += 1;
        m.process_heartbeat(&heartbeat(&format!("m-{}", 5 + serial % 5), "z0", serial), at);
    }
    (0..5).for_each(|i| {
        m.machines.get_mut(&MachineId::from(format!("m-{i}").as_str())).expect("there").unanswered =
            PROBES_LOST;
    });
    m.find_lost(&BTreeMap::new(), at);
    assert_eq!(lost(&m), ["m-0", "m-1", "m-2", "m-3", "m-4"]);
    // The same five, and nobody heard any more: it may be the zone.
    let mut m = fleet(&["z0"; 10]);
    (0..5).for_each(|i| {
        m.machines.get_mut(&MachineId::from(format!("m-{i}").as_str())).expect("there").unanswered =
            PROBES_LOST;
    });
    let at = MonotonicTime::from_millis(1_000 + interval * 2);
    m.find_lost(&BTreeMap::new(), at);
    assert!(lost(&m).is_empty());
}

/// Faulty machines stand empty and so drew task after task; jobs that fail everywhere must not
/// make good machines look faulty.
#[test]
fn a_machine_that_fails_several_jobs_is_drained_and_one_job_alone_blames_nobody() {
    let mut m = fleet(&["z0", "z0"]);
    let (bad, job) = (MachineId::from("m-0"), |n: usize| JobId::from(format!("req-{n}").as_str()));
    assert!(!m.blame(&bad, &job(1), 1));
    assert!(!m.blame(&bad, &job(1), 2), "the same job again says nothing new");
    assert!(!m.blame(&bad, &job(2), JOB_AT_FAULT), "this one fails wherever it runs");
    assert!(m.blame(&bad, &job(3), 1));
    assert!(m.machines[&bad].draining);
    let calls = m.returns(MonotonicTime::from_millis(9_000));
    assert!(matches!(&calls[..], [(CloudRequest::Release { machines }, _)] if *machines == [bad]));
}
