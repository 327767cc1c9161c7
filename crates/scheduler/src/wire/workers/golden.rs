//! Golden bytes between workers and this node: reports as they are read and passed on, orders, redirects.

use super::*;
use crate::golden::{from_hex, recorded, to_hex};
use crate::golden_group;

const REPORTS: &str = include_str!("../../../tests/golden/reports_read.txt");

fn report(name: &str) -> Report {
    serde_json::from_str(recorded(REPORTS, name)).expect("the recorded report is read")
}

#[test]
fn golden_reports_are_read() {
    let full = report("every field");
    assert_eq!((full.machine, full.addr.as_str()), ("m-000231".into(), "10.1.0.232:9000"));
    assert_eq!((full.type_name, full.zone, full.spot), ("g8".into(), "z0".into(), true));
    assert_eq!((full.session, full.serial, full.fence), (Session(4), 88, Fence(412)));
    assert_eq!(full.notice_s, Some(30.5));
    let task = &full.tasks[0];
    assert_eq!(task.task(), TaskId::parse("req-000412/3"));
    assert_eq!((task.attempt, task.phase), (Attempt(2), TaskPhase::Exited));
    assert_eq!((task.cause, task.saved), (Some(Cause::Stopped), true));
    let bare = report("required fields");
    assert_eq!((bare.spot, bare.fence, bare.notice_s, bare.tasks.len()), (false, Fence(0), None, 0));
}

#[test]
fn golden_phases_and_causes_are_read() {
    let said = |name: &str| report(name).tasks.iter().map(ReportedTask::said).collect::<Vec<_>>();
    let phases = [Said::Fetching, Said::Waiting, Said::Running, Said::Saving, Said::Fetching];
    assert_eq!(said("phases"), phases);
    let phases: Vec<TaskPhase> = report("phases").tasks.iter().map(|task| task.phase).collect();
    let expected =
        [TaskPhase::Fetching, TaskPhase::Waiting, TaskPhase::Running, TaskPhase::Saving, TaskPhase::Other];
    assert_eq!(phases, expected);
    let causes: Vec<Option<Cause>> = report("causes").tasks.iter().map(|task| task.cause).collect();
    let expected = [
        Cause::Done,
        Cause::Stopped,
        Cause::Peers,
        Cause::Alone,
        Cause::Error,
        Cause::NoRoom,
        Cause::Busy,
        Cause::Unknown,
        Cause::Other,
    ];
    assert_eq!(causes, expected.map(Some));
}

#[test]
fn golden_content_of_reports_between_nodes() {
    let mut group = golden_group!("report_contents.txt");
    for name in ["every field", "required fields", "phases", "causes"] {
        let report = report(name);
        group.both_ways(name, to_hex(&report.content()), |digits| {
            let again = Report::of(&report.machine, report.stamped(), &from_hex(digits)?)?;
            assert_eq!(again.stamped(), report.stamped());
            assert_eq!(again.machine, report.machine);
            Some(to_hex(&again.content()))
        });
    }
    group.finish();
}

#[test]
fn golden_orders_and_redirects() {
    let task = TaskId { job: "req-000412".into(), index: 3 };
    let orders = [
        Order::Start { task: task.clone(), attempt: Attempt(11) },
        Order::Stop { task: task.clone(), attempt: Attempt(12), grace_s: 2.5 },
        Order::Forget { task, attempt: Attempt(13) },
    ];
    let command = command(Fence(412), Session(4), &orders);
    let mut group = golden_group!("answers_to_workers.txt");
    group.writes("answer to a report", answer(Fence(412), &orders));
    group.writes("answer to a report, no orders", answer(Fence(412), &[]));
    let Passed::Without(rest) = without_starts(&command, |job| *job == "req-000412".into()) else {
        panic!("the start is taken out")
    };
    group.writes("direct command", command);
    group.writes("direct command without starts", rest);
    group.writes("redirect", redirect(Some(&"n1".into())));
    group.writes("redirect, no leader known", redirect(None));
    group.finish();
}
