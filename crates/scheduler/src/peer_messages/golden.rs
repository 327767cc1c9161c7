//! Golden tests of the bytes of every message between nodes.

use super::*;
use crate::golden::{from_hex, to_hex};
use crate::golden_group;
use crate::jobs::JobType;
use crate::types::{Attempt, Resources, TaskId, WorkerEpoch};
use crate::workers::Health;
use pearford_heartbeat::{FullHeartbeat, HeartbeatPosition, NodeWeight, NodeWeights, UnchangedHeartbeat};
use std::collections::BTreeSet;

const FENCING_TOKEN: FencingToken = FencingToken(412);

fn resources(cpus: f64) -> Resources {
    Resources { cpus, gpus: cpus + 1.0, memory_gb: cpus + 2.5 }
}

fn placement_outcomes() -> Vec<PlacementOutcome> {
    vec![
        PlacementOutcome { machine: "m-000231".into(), kind: "train".into(), success: true },
        PlacementOutcome { machine: "m-000007".into(), kind: "serve".into(), success: false },
    ]
}

fn success_counts() -> SuccessCounts {
    let mut success_counts = SuccessCounts::default();
    placement_outcomes().iter().for_each(|outcome| success_counts.record(outcome));
    success_counts
}

fn machine(health: Health, held_for: Option<JobId>) -> MachineView {
    MachineView {
        id: "m-000231".into(),
        type_name: "g8".into(),
        zone: "z0".into(),
        spot: true,
        free: resources(3.0),
        total: resources(7.0),
        empty: false,
        health,
        images: vec!["img-07".into()],
        fetching: vec!["img-01".into()],
        fetch_gb_per_s: 0.25,
        held_for,
    }
}

fn placement_request(job_type: JobType, types: Option<Vec<crate::types::TypeName>>) -> PlacementRequest {
    PlacementRequest {
        job: "req-000412".into(),
        kind: "train".into(),
        job_type,
        tasks: vec![0, 1, 300],
        resources: resources(5.0),
        types,
        spot: false,
        zones: vec![("z0".into(), 3), ("z1".into(), 0)],
        together: true,
        image: "img-08".into(),
        image_gb: 6.5,
    }
}

fn position(serial: u64) -> HeartbeatPosition {
    HeartbeatPosition { worker_epoch: WorkerEpoch(4), serial, fencing_token: FencingToken(411) }
}

fn commands() -> Vec<WorkerCommand> {
    let task = TaskId { job: "req-000412".into(), index: 3 };
    vec![
        WorkerCommand::Start { task: task.clone(), attempt: Attempt(11) },
        WorkerCommand::Stop { task: task.clone(), attempt: Attempt(12), grace_s: 2.5 },
        WorkerCommand::Forget { task, attempt: Attempt(13) },
    ]
}

fn round_request() -> PeerMessage {
    PeerMessage::RoundRequest {
        fencing_token: FENCING_TOKEN,
        partition: 7,
        round: 8,
        machines: vec![
            machine(Health::Healthy, Some("req-000001".into())),
            machine(Health::Degraded, None),
            machine(Health::Unknown, None),
            machine(Health::Unreachable, None),
        ],
        requests: vec![
            placement_request(JobType::Array, Some(vec!["g8".into()])),
            placement_request(JobType::Gang, None),
            placement_request(JobType::Service, None),
        ],
    }
}

fn delegation() -> PeerMessage {
    let node_weight = NodeWeight { node: "n1".into(), zone: "z1".into(), weight: 900 };
    PeerMessage::Delegation(Delegation {
        fencing_token: FENCING_TOKEN,
        sequence: 21,
        ready: true,
        node_weights: NodeWeights::new(vec![node_weight]),
    })
}

fn heartbeat_digest() -> PeerMessage {
    let full = FullHeartbeat {
        machine: "m-1".into(),
        position: position(5),
        age: Duration::from_millis(700),
        content: vec![1, 2, 3],
    };
    let unchanged = UnchangedHeartbeat {
        machine: "m-2".into(),
        position: position(6),
        age: Duration::from_millis(800),
        hash: 0x0102_0304_0506,
    };
    PeerMessage::HeartbeatDigest(HeartbeatDigest {
        fencing_token: FENCING_TOKEN,
        sequence: 22,
        full: vec![full],
        unchanged: vec![unchanged],
    })
}

fn relay_results() -> PeerMessage {
    let with_answer = RelayResult { call: 31, status: 200, position: Some(position(9)) };
    let without_answer = RelayResult { call: 32, status: 0, position: None };
    PeerMessage::RelayResults { fencing_token: FENCING_TOKEN, calls: vec![with_answer, without_answer] }
}

fn relay_commands() -> PeerMessage {
    let call = RelayedCommand {
        call: 31,
        addr: "10.1.0.232:9000".into(),
        body: "{\"fence\":412}".into(),
        timeout: Duration::from_millis(1500),
    };
    PeerMessage::RelayCommands { fencing_token: FENCING_TOKEN, calls: vec![call] }
}

fn messages() -> Vec<(&'static str, PeerMessage)> {
    let fencing_token = FENCING_TOKEN;
    let position = BroadcastPosition { fencing_token, sequence: 10 };
    let counts = TaskCounts { done: 3, running: 13 };
    let jobs = vec![JobTaskCounts { job: "req-000412".into(), counts }];
    let proposal = Proposal { job: "req-000412".into(), task: 300, machine: "m-000231".into() };
    let ping = PeerMessage::Ping {
        store_reachable: true,
        fencing_token_seen: fencing_token,
        broadcast_seen: BroadcastPosition { fencing_token: FencingToken(411), sequence: 9 },
        has_unanswered_heartbeats: false,
        last_heartbeat_by_zone: vec![ZoneHeartbeat { zone: "z0".into(), age: Duration::from_millis(1200) }],
    };
    let unacknowledged_starts = |machines| {
        PeerMessage::UnacknowledgedStarts(UnacknowledgedStarts {
            fencing_token,
            sequence: 23,
            machines,
            never_renew: vec!["m-4".into()],
        })
    };
    vec![
        ("ping", ping),
        (
            "beat",
            PeerMessage::StatusBroadcast {
                position,
                jobs: jobs.clone(),
                placement_outcomes: placement_outcomes(),
            },
        ),
        ("table", PeerMessage::StatusSnapshot { position, jobs, success_counts: success_counts() }),
        ("offer", round_request()),
        (
            "proposals",
            PeerMessage::RoundProposals { fencing_token, partition: 7, round: 8, proposals: vec![proposal] },
        ),
        ("delegation", delegation()),
        ("digest", heartbeat_digest()),
        ("want", PeerMessage::ResendHeartbeats { fencing_token, machines: vec!["m-1".into(), "m-2".into()] }),
        ("relay", relay_commands()),
        ("relayed", relay_results()),
        (
            "errands",
            PeerMessage::QueuedCommands {
                fencing_token,
                commands: vec![MachineCommands { machine: "m-3".into(), commands: commands() }],
            },
        ),
        ("doubt", unacknowledged_starts(Some(vec!["m-3".into(), "m-4".into()]))),
        ("doubt, too many machines", unacknowledged_starts(None)),
    ]
}

/// Position of the message's variant. The match has no wildcard, so that a new variant fails to compile until
/// it is added here and to `messages`.
fn variant(message: &PeerMessage) -> usize {
    match message {
        PeerMessage::Ping { .. } => 0,
        PeerMessage::StatusBroadcast { .. } => 1,
        PeerMessage::StatusSnapshot { .. } => 2,
        PeerMessage::RoundRequest { .. } => 3,
        PeerMessage::RoundProposals { .. } => 4,
        PeerMessage::Delegation(_) => 5,
        PeerMessage::HeartbeatDigest(_) => 6,
        PeerMessage::ResendHeartbeats { .. } => 7,
        PeerMessage::RelayCommands { .. } => 8,
        PeerMessage::RelayResults { .. } => 9,
        PeerMessage::QueuedCommands { .. } => 10,
        PeerMessage::UnacknowledgedStarts(_) => 11,
    }
}
const VARIANTS: usize = 12;

#[test]
fn golden_messages_between_nodes() {
    let variants: BTreeSet<usize> = messages().iter().map(|(_, message)| variant(message)).collect();
    assert!(variants.into_iter().eq(0..VARIANTS), "every variant has a message");
    let mut group = golden_group!("peer_messages.txt");
    for (name, message) in messages() {
        group.both_ways(name, to_hex(&encode(&"n0".into(), message)), |digits| {
            let envelope = decode(&from_hex(digits)?)?;
            Some(to_hex(&encode(&envelope.from, envelope.message)))
        });
    }
    group.finish();
}
