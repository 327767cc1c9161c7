//! Records that can't be read or say the impossible, messages from unknown senders, heartbeats that contradict themselves.

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
fn a_job_whose_record_cannot_be_read_is_never_called_unknown_and_goes_on_once_it_can() {
    for (number, bad) in BAD.iter().enumerate() {
        let seed = 9_200 + number as u64;
        let simulation = run(seed, unreadable_job_record(seed, bad));
        assert_eq!(simulation.rules.terminal_status("req-000000"), Some("done"), "{bad}");
    }
}

/// Tasks on answer machine whose record can't be read were unknown to the next leader, and were started elsewhere.
#[test]
fn nothing_starts_until_a_machine_whose_record_cannot_be_read_is_gone() {
    for (number, bad) in BAD.iter().enumerate() {
        let seed = 9_220 + number as u64;
        run(seed, unreadable_machine_records(seed, bad));
    }
}

/// Records that are whole JSON and say what nobody can have stored.
#[test]
fn impossible_job_records_take_no_node_down() {
    let simulation = impossible_job_records(9_240);
    assert!(
        simulation.answers.iter().all(|answer| answer.status == 503) && simulation.answers.len() == 4,
        "{:?}",
        simulation.answers
    );
    run(9_240, simulation);
}

/// What comes from no peer, or under answer leader's name from one that does not lead, changes nothing and is counted.
#[test]
fn messages_of_unknown_senders_are_dropped_and_counted() {
    let mut simulation = day(9_250, |_| {});
    simulation.run_until(10_000);
    let leader = simulation.leader().expect("somebody leads");
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
        let envelope = peer_messages::decode(&bytes).expect("well formed");
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

/// The same task twice in answer heartbeat, one of answer job nobody submitted, names that are none: stopped or ignored, and
/// nothing else moves.
#[test]
fn heartbeats_that_contradict_themselves_prove_nothing() {
    let simulation = contradicting_heartbeats(9_260);
    assert_eq!(simulation.answers.len(), 1);
    assert!(matches!(simulation.answers[0].status, 200 | 400 | 421), "{:?}", simulation.answers[0]);
    let simulation = run(9_260, simulation);
    assert!(simulation.state.key("j/req-999998").is_none());
}
