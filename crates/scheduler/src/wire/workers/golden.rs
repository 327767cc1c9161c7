//! Golden bytes between workers and this node: heartbeats as parsed and as relayed, commands and redirects.

use super::*;
use crate::golden::{from_hex, recorded, to_hex};
use crate::golden_group;

const REPORTS: &str = include_str!("../../../tests/golden/reports_read.txt");

fn heartbeat(name: &str) -> Heartbeat {
    serde_json::from_str(recorded(REPORTS, name)).expect("the recorded heartbeat is valid")
}

#[test]
fn golden_heartbeats_are_parsed() {
    let full = heartbeat("every field");
    assert_eq!((full.machine, full.addr.as_str()), ("m-000231".into(), "10.1.0.232:9000"));
    assert_eq!((full.type_name, full.zone, full.spot), ("g8".into(), "z0".into(), true));
    assert_eq!((full.worker_epoch, full.serial, full.fencing_token), (WorkerEpoch(4), 88, FencingToken(412)));
    assert_eq!(full.notice_s, Some(30.5));
    let task = &full.tasks[0];
    assert_eq!(task.task(), TaskId::parse("req-000412/3"));
    assert_eq!((task.attempt, task.phase), (Attempt(2), TaskPhase::Exited));
    assert_eq!((task.cause, task.saved), (Some(Cause::Stopped), true));
    let minimal = heartbeat("required fields");
    assert_eq!(
        (minimal.spot, minimal.fencing_token, minimal.notice_s, minimal.tasks.len()),
        (false, FencingToken(0), None, 0)
    );
}

#[test]
fn golden_phases_and_causes_are_parsed() {
    let reported_state =
        |name: &str| heartbeat(name).tasks.iter().map(ReportedTask::reported_state).collect::<Vec<_>>();
    let phases = [
        ReportedState::Fetching,
        ReportedState::Waiting,
        ReportedState::Running,
        ReportedState::Saving,
        ReportedState::Fetching,
    ];
    assert_eq!(reported_state("phases"), phases);
    let phases: Vec<TaskPhase> = heartbeat("phases").tasks.iter().map(|task| task.phase).collect();
    let expected =
        [TaskPhase::Fetching, TaskPhase::Waiting, TaskPhase::Running, TaskPhase::Saving, TaskPhase::Other];
    assert_eq!(phases, expected);
    let causes: Vec<Option<Cause>> = heartbeat("causes").tasks.iter().map(|task| task.cause).collect();
    let expected = [
        Cause::Done,
        Cause::Stopped,
        Cause::GangPeerLost,
        Cause::GangIncomplete,
        Cause::Error,
        Cause::NoRoom,
        Cause::Busy,
        Cause::Unknown,
        Cause::Other,
    ];
    assert_eq!(causes, expected.map(Some));
}

#[test]
fn golden_relayed_heartbeat_contents() {
    let mut group = golden_group!("report_contents.txt");
    for name in ["every field", "required fields", "phases", "causes"] {
        let heartbeat = heartbeat(name);
        group.both_ways(name, to_hex(&heartbeat.content()), |digits| {
            let again =
                Heartbeat::from_content(&heartbeat.machine, heartbeat.position(), &from_hex(digits)?)?;
            assert_eq!(again.position(), heartbeat.position());
            assert_eq!(again.machine, heartbeat.machine);
            Some(to_hex(&again.content()))
        });
    }
    group.finish();
}

#[test]
fn golden_commands_and_redirects() {
    let task = TaskId { job: "req-000412".into(), index: 3 };
    let commands = [
        WorkerCommand::Start { task: task.clone(), attempt: Attempt(11) },
        WorkerCommand::Stop { task: task.clone(), attempt: Attempt(12), grace_s: 2.5 },
        WorkerCommand::Forget { task, attempt: Attempt(13) },
    ];
    let command = command(FencingToken(412), WorkerEpoch(4), &commands);
    let mut group = golden_group!("answers_to_workers.txt");
    group.writes("answer to a report", answer(FencingToken(412), &commands));
    group.writes("answer to a report, no orders", answer(FencingToken(412), &[]));
    let Filtered::Reduced(rest) = without_starts(&command, |job| *job == "req-000412".into()) else {
        panic!("the start must be removed")
    };
    group.writes("direct command", command);
    group.writes("direct command without starts", rest);
    group.writes("redirect", redirect(Some(&"n1".into())));
    group.writes("redirect, no leader known", redirect(None));
    group.finish();
}
