//! Guards against failures from bad input: records that cannot be parsed or have impossible content, messages
//! from unknown senders, and heartbeats that contradict themselves.

#![cfg(test)]

use super::days::bad_records::{
    BAD, contradicting_heartbeats, impossible_job_records, unreadable_job_record, unreadable_machine_records,
};
use super::days::ordinary::day;
use super::tests::run;
use super::{Event, NODES};
use crate::node::{Controller, Input};
use crate::peer_messages::{self, BroadcastPosition, PeerMessage};
use crate::types::FencingToken;

#[test]
fn job_with_unreadable_record_is_never_reported_unknown_and_resumes_once_readable() {
    for (number, bad) in BAD.iter().enumerate() {
        let seed = 9_200 + number as u64;
        let simulation = run(seed, unreadable_job_record(seed, bad));
        assert_eq!(simulation.rules.terminal_status("req-000000"), Some("done"), "{bad}");
    }
}

/// The next leader did not know the tasks on a machine whose record cannot be parsed, and started them
/// elsewhere.
#[test]
fn starts_no_task_twice_when_a_machine_record_is_unreadable() {
    for (number, bad) in BAD.iter().enumerate() {
        let seed = 9_220 + number as u64;
        run(seed, unreadable_machine_records(seed, bad));
    }
}

/// The records are valid JSON with content that no controller stores.
#[test]
fn impossible_job_records_crash_no_node() {
    let simulation = impossible_job_records(9_240);
    assert!(
        simulation.answers.iter().all(|answer| answer.status == 503) && simulation.answers.len() == 4,
        "{:?}",
        simulation.answers
    );
    run(9_240, simulation);
}

/// A status snapshot from a sender that is no peer, with a fencing token above the leader's, must not replace
/// the leader's state. The leader drops and counts it.
#[test]
fn drops_and_counts_messages_from_unknown_senders() {
    let mut simulation = day(9_250, |_| {});
    simulation.run_until(10_000);
    let leader = simulation.leader().expect("a node leads");
    for (number, from) in ["n9", "", "stranger"].into_iter().enumerate() {
        let message = PeerMessage::StatusSnapshot {
            position: BroadcastPosition {
                fencing_token: FencingToken(u64::MAX - number as u64),
                sequence: 1,
            },
            jobs: Vec::new(),
            success_counts: Default::default(),
        };
        let bytes = peer_messages::encode(&from.into(), message);
        let envelope = peer_messages::decode(&bytes).expect("the message is well formed");
        for node in 0..NODES {
            let incarnation = simulation.nodes[node].incarnation;
            let input = Input::Peer(envelope.clone());
            simulation.at(simulation.now, Event::Input { node, incarnation, input });
        }
    }
    assert!(peer_messages::decode(b"no envelope").is_none() && peer_messages::decode(&[]).is_none());
    simulation.run_until(11_000);
    assert_eq!(simulation.leader(), Some(leader));
    let metrics = simulation.nodes[leader].controller.as_ref().map(Controller::metrics).unwrap_or_default();
    assert!(metrics.contains("pearford_peer_messages_dropped 3"), "{metrics}");
    run(9_250, simulation);
}

/// A heartbeat that lists a task twice, a task of a job that was never submitted, and malformed task names
/// must not create jobs or affect other jobs.
#[test]
fn contradicting_heartbeats_change_no_job() {
    let simulation = contradicting_heartbeats(9_260);
    assert_eq!(simulation.answers.len(), 1);
    assert!(matches!(simulation.answers[0].status, 200 | 400 | 421), "{:?}", simulation.answers[0]);
    let simulation = run(9_260, simulation);
    assert!(simulation.state.key("j/req-999998").is_none());
}
