//! Golden bytes of every message between nodes.

use super::*;
use crate::golden::{from_hex, to_hex};
use crate::golden_group;
use crate::jobs::Shape;
use crate::types::{Attempt, Room, Session, TaskId};
use crate::workers::Health;
use pearford_homes::{Full, Homes, Place, Same, Stamped};

const FENCE: Fence = Fence(412);

fn room(cpus: f64) -> Room {
    Room { cpus, gpus: cpus + 1.0, memory_gb: cpus + 2.5 }
}

fn learned() -> Vec<Learned> {
    vec![
        Learned { machine: "m-000231".into(), kind: "train".into(), success: true },
        Learned { machine: "m-000007".into(), kind: "serve".into(), success: false },
    ]
}

fn counts() -> Counts {
    let mut counts = Counts::default();
    learned().iter().for_each(|l| counts.learn(l));
    counts
}

fn machine(health: Health, held_for: Option<JobId>) -> MachineView {
    MachineView {
        id: "m-000231".into(),
        type_name: "g8".into(),
        zone: "z0".into(),
        spot: true,
        free: room(3.0),
        total: room(7.0),
        empty: false,
        health,
        images: vec!["img-07".into()],
        fetching: vec!["img-01".into()],
        fetch_gb_per_s: 0.25,
        held_for,
    }
}

fn ask(shape: Shape, types: Option<Vec<crate::types::TypeName>>) -> TaskAsk {
    TaskAsk {
        job: "req-000412".into(),
        kind: "train".into(),
        shape,
        tasks: vec![0, 1, 300],
        room: room(5.0),
        types,
        spot: false,
        zones: vec![("z0".into(), 3), ("z1".into(), 0)],
        together: true,
        image: "img-08".into(),
        image_gb: 6.5,
    }
}

fn stamped(serial: u64) -> Stamped {
    Stamped { session: Session(4), serial, fence: Fence(411) }
}

fn orders() -> Vec<Order> {
    let task = TaskId { job: "req-000412".into(), index: 3 };
    vec![
        Order::Start { task: task.clone(), attempt: Attempt(11) },
        Order::Stop { task: task.clone(), attempt: Attempt(12), grace_s: 2.5 },
        Order::Forget { task, attempt: Attempt(13) },
    ]
}

fn offer() -> PeerMessage {
    PeerMessage::Offer {
        fence: FENCE,
        block: 7,
        round: 8,
        machines: vec![
            machine(Health::Healthy, Some("req-000001".into())),
            machine(Health::Degraded, None),
            machine(Health::Unknown, None),
            machine(Health::Unreachable, None),
        ],
        asks: vec![
            ask(Shape::Array, Some(vec!["g8".into()])),
            ask(Shape::Gang, None),
            ask(Shape::Service, None),
        ],
    }
}

fn delegation() -> PeerMessage {
    let place = Place { node: "n1".into(), zone: "z1".into(), weight: 900 };
    PeerMessage::Delegation(Delegation {
        fence: FENCE,
        beat: 21,
        ready: true,
        homes: Homes::new(vec![place]),
    })
}

fn digest() -> PeerMessage {
    let full = Full { machine: "m-1".into(), at: stamped(5), age: Span::ms(700), content: vec![1, 2, 3] };
    let same = Same { machine: "m-2".into(), at: stamped(6), age: Span::ms(800), hash: 0x0102_0304_0506 };
    PeerMessage::Digest(Digest { fence: FENCE, beat: 22, full: vec![full], same: vec![same] })
}

fn relayed() -> PeerMessage {
    let answered = Relayed { call: 31, status: 200, at: Some(stamped(9)) };
    let silent = Relayed { call: 32, status: 0, at: None };
    PeerMessage::Relayed { fence: FENCE, calls: vec![answered, silent] }
}

fn relay() -> PeerMessage {
    let call = RelayedCall {
        call: 31,
        addr: "10.1.0.232:9000".into(),
        body: "{\"fence\":412}".into(),
        patience: Span::ms(1500),
    };
    PeerMessage::Relay { fence: FENCE, calls: vec![call] }
}

fn messages() -> Vec<(&'static str, PeerMessage)> {
    let (fence, beat) = (FENCE, 10);
    let jobs = vec![("req-000412".into(), 3, 13)];
    let proposal = Proposal { job: "req-000412".into(), task: 300, machine: "m-000231".into() };
    let ping = PeerMessage::Ping {
        state_ok: true,
        fence_seen: fence,
        beat_at: (Fence(411), 9),
        hears_workers: false,
        zones_heard: vec![("z0".into(), Span::ms(1200))],
    };
    let doubt = |machines| PeerMessage::Doubt(Doubt { fence, beat: 23, machines, never: vec!["m-4".into()] });
    vec![
        ("ping", ping),
        ("beat", PeerMessage::Beat { fence, beat, jobs: jobs.clone(), learned: learned() }),
        ("table", PeerMessage::Table { fence, beat, jobs, counts: counts() }),
        ("offer", offer()),
        ("proposals", PeerMessage::Proposals { fence, block: 7, round: 8, proposals: vec![proposal] }),
        ("delegation", delegation()),
        ("digest", digest()),
        ("want", PeerMessage::Want { fence, machines: vec!["m-1".into(), "m-2".into()] }),
        ("relay", relay()),
        ("relayed", relayed()),
        ("errands", PeerMessage::Errands { fence, orders: vec![("m-3".into(), orders())] }),
        ("doubt", doubt(Some(vec!["m-3".into(), "m-4".into()]))),
        ("doubt, too many machines", doubt(None)),
    ]
}

/// A match without a wildcard: a new variant does not compile until it is named here and has a message above.
fn variant(message: &PeerMessage) -> usize {
    match message {
        PeerMessage::Ping { .. } => 0,
        PeerMessage::Beat { .. } => 1,
        PeerMessage::Table { .. } => 2,
        PeerMessage::Offer { .. } => 3,
        PeerMessage::Proposals { .. } => 4,
        PeerMessage::Delegation(_) => 5,
        PeerMessage::Digest(_) => 6,
        PeerMessage::Want { .. } => 7,
        PeerMessage::Relay { .. } => 8,
        PeerMessage::Relayed { .. } => 9,
        PeerMessage::Errands { .. } => 10,
        PeerMessage::Doubt(_) => 11,
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
