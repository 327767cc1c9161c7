//! Golden bytes of the records of levels: what a node announces, and what the leader marks as reached.

use super::*;
use crate::golden::request_line;
use crate::golden_group;

fn levels() -> Levels {
    Levels::new("n0".into(), std::iter::once("n1".into()))
}

/// What `levels` asks the state service at `now`, as one line without the program's version, which moves on.
fn asked(levels: &mut Levels, now: Time, fence: Option<Fence>) -> String {
    let request = levels.tick(now, fence).expect("something is due");
    request_line(request.http()).replace(VERSION, "VERSION")
}

#[test]
fn golden_records_of_levels() {
    let mut group = golden_group!("level_records.txt");
    let mut levels = levels();
    let mut now = Time::from_ms(1);
    group.writes("look", asked(&mut levels, now, None));
    levels.reply(now, StateReply::Pairs { pairs: Vec::new(), more: false, epoch: 1 });
    group.writes("announcement", asked(&mut levels, now, None));
    levels.reply(now, StateReply::Committed { epoch: 2 });
    levels.tick(now, None).expect("it looks");
    let announced = |node: &str| Pair {
        key: format!("level/node/{node}"),
        value: "{\"level\":3,\"version\":\"x\"}".into(),
        stamp: Stamp(2),
    };
    let pairs = vec![announced("n0"), announced("n1")];
    levels.reply(now, StateReply::Pairs { pairs, more: false, epoch: 3 });
    let nodes: Vec<_> =
        levels.nodes().map(|(node, level, version)| (node.as_str(), level, version)).collect();
    assert_eq!(nodes, [("n0", 3, "x"), ("n1", 3, "x")]);
    now = now + PAUSE;
    group.writes("mark", asked(&mut levels, now, Some(Fence(9))));
    group.finish();
}

#[test]
fn golden_value_of_a_node() {
    let value = NodeValue { level: 3, version: "0.3.0".into() };
    let mut group = golden_group!("level_values.txt");
    group.both_ways("node", serde_json::to_string(&value).expect("writable"), |value| {
        let read: NodeValue = serde_json::from_str(value).ok()?;
        serde_json::to_string(&read).ok()
    });
    let levels = [DEPENDENCIES, HOMES, DOUBTS, OURS].map(|level| level.to_string());
    group.writes("levels", levels.join(" "));
    group.finish();
}

#[test]
fn golden_mark_is_read() {
    let mut levels = levels();
    levels.learn(&Pair { key: "level/reached".into(), value: "3".into(), stamp: Stamp(5) });
    assert_eq!(levels.reached(), 3);
}
