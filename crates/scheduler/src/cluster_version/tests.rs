use super::*;
use crate::assignments::{CachedImage, MachineRecord, RecordedAssignment};
use crate::jobs::{self, JobSpec, JobType, OpenJob, Priority, Record, TaskCounts};
use crate::peer_messages::{BroadcastPosition, JobTaskCounts, PeerMessage, ZoneHeartbeat, decode, encode};
use crate::placement::{MachineView, PlacementOutcome, PlacementRequest, Proposal, SuccessCounts};
use crate::types::{Attempt, Resources, TaskId, WallTime, WorkerEpoch};
use crate::workers::Health;
use std::sync::Arc;

/// Bytes written by the version before feature level `DEPENDENCIES` (commit 82043da), recorded with its own
/// code from the same values as below.
const GOLDEN: &str = include_str!("golden.txt");

fn golden(kind: &str) -> Vec<&'static str> {
    GOLDEN.lines().filter_map(|line| line.strip_prefix(kind)).map(str::trim).collect()
}

fn resources() -> Resources {
    Resources { cpus: 5.0, gpus: 1.0, memory_gb: 6.4 }
}

fn job(job_type: JobType, priority: Priority) -> Arc<OpenJob> {
    let spec = JobSpec {
        kind: "train".into(),
        team: "red".into(),
        job_type,
        priority,
        tasks: 16,
        resources: resources(),
        image: "img-07".into(),
        image_gb: 6.2,
        types: Some(vec!["g8".into(), "g2".into()]),
        zone: Some("z0".into()),
        together: true,
        spread: false,
        spot: true,
        estimate: Duration::from_secs_f64(240.0),
        checkpoint_interval: Duration::from_secs_f64(30.0),
        checkpoint_duration: Duration::from_secs_f64(4.0),
        deadline: Some(Duration::from_secs_f64(900.0)),
        needs: Vec::new(),
    };
    Arc::new(OpenJob { spec, submitted: WallTime(1_700_000_000_123), assigned_node: "n1".into() })
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

fn messages() -> Vec<PeerMessage> {
    let request = PlacementRequest {
        job: "req-000412".into(),
        kind: "train".into(),
        job_type: JobType::Gang,
        tasks: vec![0, 1, 300],
        resources: resources(),
        types: Some(vec!["g8".into()]),
        spot: false,
        zones: vec![("z0".into(), 3), ("z1".into(), 0)],
        together: true,
        image: "img-07".into(),
        image_gb: 6.2,
    };
    let view = MachineView {
        id: "m-000231".into(),
        type_name: "g8".into(),
        zone: "z0".into(),
        spot: true,
        free: resources(),
        total: resources().times(2.0),
        empty: false,
        health: Health::Degraded,
        images: vec!["img-07".into()],
        fetching: vec!["img-01".into()],
        fetch_gb_per_s: 0.2,
        held_for: Some("req-000001".into()),
    };
    let fencing_token = FencingToken(412);
    let position = BroadcastPosition { fencing_token, sequence: 10 };
    let counts = TaskCounts { done: 3, running: 13 };
    let jobs = vec![JobTaskCounts { job: "req-000412".into(), counts }];
    let proposal = Proposal { job: "req-000412".into(), task: 300, machine: "m-000231".into() };
    vec![
        PeerMessage::Ping {
            store_reachable: true,
            fencing_token_seen: fencing_token,
            broadcast_seen: BroadcastPosition { fencing_token, sequence: 9 },
            has_unanswered_heartbeats: false,
            last_heartbeat_by_zone: vec![ZoneHeartbeat {
                zone: "z0".into(),
                age: Duration::from_millis(1200),
            }],
        },
        PeerMessage::StatusBroadcast {
            position,
            jobs: jobs.clone(),
            placement_outcomes: placement_outcomes(),
        },
        PeerMessage::StatusSnapshot { position, jobs, success_counts: success_counts() },
        PeerMessage::RoundRequest {
            fencing_token,
            partition: 7,
            round: 8,
            machines: vec![view],
            requests: vec![request],
        },
        PeerMessage::RoundProposals { fencing_token, partition: 7, round: 8, proposals: vec![proposal] },
    ]
}

/// Guards against a change of encoding that breaks an upgrade: nodes of the previous version must be able to
/// decode the messages of this version and vice versa.
#[test]
fn messages_are_encoded_as_in_the_previous_version() {
    let recorded = golden("message");
    assert_eq!(recorded.len(), messages().len());
    for (message, hex) in messages().into_iter().zip(recorded) {
        let bytes: Vec<u8> =
            (0..hex.len() / 2).map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).unwrap_or(0)).collect();
        let envelope = decode(&bytes).expect("a message of the previous version is decoded");
        assert_eq!(encode(&"n0".into(), envelope.message), bytes);
        assert_eq!(
            encode(&"n0".into(), message),
            bytes,
            "both versions encode the message to the same bytes"
        );
        // Later versions may append to a message: this version ignores the additional bytes.
        let longer = [&bytes[..], &[1, 2, 3]].concat();
        assert!(decode(&longer).is_some());
    }
}

#[test]
fn records_are_read_and_written_as_in_the_previous_version() {
    let open = [
        (JobType::Array, Priority::Low),
        (JobType::Gang, Priority::High),
        (JobType::Service, Priority::Production),
        (JobType::Array, Priority::Normal),
    ];
    let mut records: Vec<Record> =
        open.map(|(job_type, priority)| Record::Open(job(job_type, priority))).into();
    records.extend([Record::Done, Record::Cancelled]);
    let recorded = golden("job");
    assert_eq!(recorded.len(), records.len());
    for (record, text) in records.iter().zip(recorded) {
        assert_eq!(&serde_json::from_str::<Record>(text).expect("readable"), record);
        assert_eq!(record.to_value(), text);
    }
    let machine: MachineRecord = serde_json::from_str(golden("machine")[0]).expect("readable");
    let task = TaskId { job: "req-000412".into(), index: 3 };
    let assignment = RecordedAssignment {
        task,
        attempt: Attempt(432_013_319),
        team: "red".into(),
        resources: resources(),
    };
    assert_eq!(machine.assignments, [assignment]);
    assert_eq!(machine.worker_epoch, WorkerEpoch(2));
    assert_eq!(machine.images, [CachedImage { image: "img-07".into(), size_gb: 6.2 }]);
    assert_eq!(serde_json::to_string(&machine).expect("writable"), golden("machine")[0]);
    let mut task_set = jobs::TaskSet::default();
    for (n, text) in golden("progress").into_iter().enumerate() {
        task_set.add_chunk(n as u32, text).expect("readable");
    }
    for (n, text) in golden("progress").into_iter().enumerate() {
        assert_eq!(task_set.chunk_value(n as u32), text);
    }
    assert_eq!(task_set.count(), 6);
    let mut read_counts = SuccessCounts::default();
    for text in golden("counts") {
        read_counts.add_part(text.split_once(' ').expect("part and value").1).expect("readable");
    }
    let get =
        |counts: &SuccessCounts, outcome: &PlacementOutcome| counts.get(&outcome.machine, &outcome.kind);
    let expected = success_counts();
    assert!(placement_outcomes().iter().all(|outcome| get(&read_counts, outcome) == get(&expected, outcome)));
}

/// The version before feature level `DEPENDENCIES` knows the records `open`, `done` and `withdrawn`, and
/// ignores unknown fields: it would run a dependent job stored as `open` without waiting for the jobs that it
/// needs.
#[test]
fn dependent_job_is_not_stored_as_an_open_job() {
    let mut job = (*job(JobType::Array, Priority::Low)).clone();
    job.spec.needs = vec!["req-1".into()];
    let record = Record::Open(Arc::new(job));
    let value = record.to_value();
    assert!(value.starts_with("{\"dependent\":") && !value.contains("\"open\""));
    assert_eq!(serde_json::from_str::<Record>(&value).expect("readable"), record);
}

fn pair(key: &str, value: &str) -> Pair {
    Pair { key: key.into(), value: value.into(), revision: Revision(3) }
}

#[test]
fn level_is_reached_only_after_every_configured_node_has_announced_it() {
    let mut cluster = ClusterVersion::new("n0".into(), ["n1", "n2"].map(NodeName::from).into_iter());
    let mut now = MonotonicTime::from_millis(1);
    assert!(
        matches!(cluster.tick(now, Some(FencingToken(9))), Some(StoreRequest::Range { .. })),
        "the node reads the stored keys first"
    );
    cluster.reply(now, StoreReply::Pairs { pairs: Vec::new(), more: false, store_revision: 1 });
    let first = cluster
        .tick(now, Some(FencingToken(9)))
        .expect("the node announces its level before it raises the cluster's");
    assert!(matches!(&first, StoreRequest::Commit { changes, .. } if changes[0].key() == "level/node/n0"));
    cluster.reply(now, StoreReply::Committed { store_revision: 2 });
    let mut seen = vec![pair("level/node/n0", "{\"level\":1}"), pair("level/node/n2", "{\"level\":1}")];
    for _ in 0..5000 {
        now = now + Duration::from_millis(1000);
        let request = cluster.tick(now, Some(FencingToken(9))).expect("a read is due");
        assert!(matches!(request, StoreRequest::Range { .. }), "n1 has not announced a level: {request:?}");
        cluster.reply(now, StoreReply::Pairs { pairs: seen.clone(), more: false, store_revision: 3 });
    }
    // An announcement of a node that isn't configured doesn't count.
    seen.push(pair("level/node/n7", "{\"level\":1}"));
    seen.push(pair("level/node/n1", "{\"level\":1,\"version\":\"x\"}"));
    now = now + Duration::from_millis(1000);
    cluster.tick(now, None).expect("a read is due");
    cluster.reply(now, StoreReply::Pairs { pairs: seen, more: false, store_revision: 4 });
    now = now + Duration::from_millis(1000);
    assert!(
        matches!(cluster.tick(now, None), Some(StoreRequest::Range { .. })),
        "only the leader raises the level"
    );
    cluster.reply(now, StoreReply::Unknown);
    now = now + Duration::from_millis(1000);
    let Some(StoreRequest::Commit { conditions, .. }) = cluster.tick(now, Some(FencingToken(9))) else {
        panic!("the leader raises the level")
    };
    assert_eq!(conditions[0], ("leader".to_string(), Revision(9)));
    assert_eq!(cluster.reached(), FeatureLevel(0), "the level is reached only once the commit is durable");
    cluster.reply(now, StoreReply::Committed { store_revision: 5 });
    assert_eq!(cluster.reached(), FeatureLevel(1));
}

/// Guards against announcements that are written again after each restart: while other requests used up the
/// write limit, the store refused them, and nodes didn't learn the cluster's level.
#[test]
fn restarted_node_announces_its_level_only_if_another_one_is_stored() {
    for (stored, announces) in [(CURRENT, false), (FeatureLevel(CURRENT.0 + 1), true)] {
        let mut cluster = ClusterVersion::new("n0".into(), std::iter::empty());
        let now = MonotonicTime::from_millis(1);
        cluster.tick(now, None).expect("a read is due");
        let value = format!("{{\"level\":{stored},\"version\":\"{PROGRAM_VERSION}\"}}");
        let pairs = vec![pair("level/node/n0", &value), pair(CLUSTER_LEVEL_KEY, &CURRENT.to_string())];
        cluster.reply(now, StoreReply::Pairs { pairs, more: false, store_revision: 3 });
        assert_eq!(cluster.reached(), CURRENT);
        let next = cluster.tick(now + STEP_INTERVAL, None);
        assert_eq!(matches!(next, Some(StoreRequest::Commit { .. })), announces, "{stored}: {next:?}");
    }
}
