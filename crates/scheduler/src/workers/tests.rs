use super::*;

fn machine_with(state: AssignmentState) -> (Machine, TaskId) {
    let resources = Resources { cpus: 4.0, gpus: 1.0, memory_gb: 4.0 };
    let mut m =
        Machine::new("m-1".into(), "t".into(), "z".into(), false, resources, MonotonicTime::default());
    let task = TaskId::parse("req-1/0").expect("valid");
    let assignment =
        Assignment::new(&task, Attempt(7), "red".into(), resources, state, MonotonicTime::default());
    m.assignments.insert(task.clone(), assignment);
    (m, task)
}

fn heartbeat(worker_epoch: u64, serial: u64, fencing_token: u64, tasks: &str) -> Heartbeat {
    serde_json::from_str(&format!(
        r#"{{"host":"m-1","addr":"1.1.1.1:1","flavor":"t","region":"z","preemptible":false,
            "tenure":{worker_epoch},"serial":{serial},"fence":{fencing_token},"shards":[{tasks}]}}"#
    ))
    .expect("valid")
}

const MINE: FencingToken = FencingToken(9);

/// A new leader placed tasks on machines that its predecessor had returned a minute before, whose
/// records were still there, and waited for them to be given up (andina, inc-72db).
#[test]
fn nothing_is_placed_on_a_machine_that_this_leader_has_not_heard() {
    let (mut m, _) = machine_with(AssignmentState::Inherited);
    let now = MonotonicTime::from_millis(9_000);
    (m.status, m.last_heartbeat) = (MachineStatus::Up, Some(now));
    assert!(!m.open_for_tasks(now));
    m.process_heartbeat(&heartbeat(1, 1, 9, ""), MINE, &[], now);
    assert!(m.open_for_tasks(now));
}

#[test]
fn silence_about_an_inherited_task_proves_nothing_until_the_worker_saw_the_fencing_token() {
    let (mut m, _) = machine_with(AssignmentState::Inherited);
    assert!(
        m.process_heartbeat(&heartbeat(1, 1, 8, ""), MINE, &[], MonotonicTime::from_millis(1))
            .gone
            .is_empty()
    );
    assert_eq!(
        m.process_heartbeat(&heartbeat(1, 2, 9, ""), MINE, &[], MonotonicTime::from_millis(2)).gone[0].2,
        Outcome::Vanished
    );
}

#[test]
fn a_start_counts_until_a_later_report_lacks_it_and_only_then_can_be_dropped() {
    let (mut m, task) = machine_with(AssignmentState::Ready);
    let first = heartbeat(1, 5, 9, "");
    m.process_heartbeat(&first, MINE, &[], MonotonicTime::from_millis(1));
    assert_eq!(m.commands(&first, true, |_| false, true).len(), 1);
    assert!(m.stop(&task, 0.0, MonotonicTime::from_millis(2)).is_none(), "sent: needs proof");
    assert!(m.process_heartbeat(&heartbeat(1, 4, 9, ""), MINE, &[], MonotonicTime::from_millis(3)).stale);
    let gone = m.process_heartbeat(&heartbeat(1, 6, 9, ""), MINE, &[], MonotonicTime::from_millis(4)).gone;
    assert_eq!(gone[0].2, Outcome::NeverStarted);
}

#[test]
fn nothing_starts_before_it_is_durable_nor_without_leadership() {
    let (mut m, _) = machine_with(AssignmentState::Planned);
    let r = heartbeat(1, 1, 9, "");
    assert!(m.commands(&r, true, |_| false, true).is_empty());
    let (mut m, _) = machine_with(AssignmentState::Ready);
    assert!(m.commands(&r, false, |_| false, false).is_empty());
}

#[test]
fn a_done_task_is_not_forgotten_before_it_is_recorded() {
    let (mut m, task) = machine_with(AssignmentState::Running);
    let r = heartbeat(1, 1, 9, r#"{"shard":"req-1/0","try":7,"phase":"ended","cause":"done"}"#);
    assert_eq!(m.process_heartbeat(&r, MINE, &[], MonotonicTime::from_millis(1)).done.len(), 1);
    assert!(m.commands(&r, true, |_| false, true).is_empty());
    m.assignments.remove(&task);
    assert_eq!(m.commands(&r, true, |_| false, true), [WorkerCommand::Forget { task, attempt: Attempt(7) }]);
}

#[test]
fn a_direct_start_without_answer_is_neither_disproved_by_reports_nor_forgotten() {
    let (mut m, task) = machine_with(AssignmentState::Ready);
    m.process_heartbeat(&heartbeat(1, 5, 9, ""), MINE, &[], MonotonicTime::from_millis(1));
    let (commands, starts) = m.direct_commands(true, MonotonicTime::from_millis(1));
    assert_eq!(commands.len(), 1);
    m.direct_answered(starts, WorkerEpoch(1), None);
    m.stop(&task, 0.0, MonotonicTime::from_millis(2));
    assert!(
        m.process_heartbeat(&heartbeat(1, 7, 9, ""), MINE, &[], MonotonicTime::from_millis(3))
            .gone
            .is_empty(),
        "may come late"
    );
    let ended = heartbeat(1, 8, 9, r#"{"shard":"req-1/0","try":7,"phase":"ended","cause":"stopped"}"#);
    assert_eq!(m.process_heartbeat(&ended, MINE, &[], MonotonicTime::from_millis(4)).gone.len(), 1);
    assert!(m.commands(&ended, true, |_| false, true).is_empty(), "forgotten, it would start again");
    let next = heartbeat(2, 9, 9, r#"{"shard":"req-1/0","try":7,"phase":"ended","cause":"stopped"}"#);
    m.process_heartbeat(&next, MINE, &[], MonotonicTime::from_millis(5));
    assert_eq!(m.commands(&next, true, |_| false, true).len(), 1, "a new session ends the doubt");
}

#[test]
fn tasks_the_ledger_does_not_know_are_stopped_and_block_the_machine() {
    let (mut m, _) = machine_with(AssignmentState::Running);
    let r = heartbeat(1, 1, 9, r#"{"shard":"req-1/0","try":6,"phase":"running"}"#);
    let outcome = m.process_heartbeat(&r, MINE, &[], MonotonicTime::from_millis(1));
    assert_eq!(outcome.gone.len(), 1, "attempt 7 is not there");
    assert!(!m.open_for_tasks(MonotonicTime::from_millis(1)));
    assert!(matches!(
        m.commands(&r, true, |_| false, true)[..],
        [WorkerCommand::Stop { attempt: Attempt(6), .. }]
    ));
}
