use super::*;
use crate::assignments::{Assignment, AssignmentState};
use crate::types::{Attempt, FencingToken, MonotonicTime, Resources, TaskId, WorkerEpoch};
use crate::wire::workers::{Heartbeat, WorkerCommand};

/// The leader's fencing token.
const TOKEN: FencingToken = FencingToken(9);

fn at_ms(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(ms)
}

fn machine_with(state: AssignmentState) -> (Machine, TaskId) {
    let resources = Resources { cpus: 4.0, gpus: 1.0, memory_gb: 4.0 };
    let mut machine =
        Machine::new("m-1".into(), "t".into(), "z".into(), false, resources, MonotonicTime::default());
    let task = TaskId::parse("req-1/0").expect("the task id parses");
    let assignment =
        Assignment::new(&task, Attempt(7), "red".into(), resources, state, MonotonicTime::default());
    machine.assignments.insert(task.clone(), assignment);
    (machine, task)
}

fn heartbeat(worker_epoch: u64, serial: u64, fencing_token: u64, tasks: &str) -> Heartbeat {
    serde_json::from_str(&format!(
        r#"{{"host":"m-1","addr":"1.1.1.1:1","flavor":"t","region":"z","preemptible":false,
            "tenure":{worker_epoch},"serial":{serial},"fence":{fencing_token},"shards":[{tasks}]}}"#
    ))
    .expect("the heartbeat parses")
}

/// Guards against placements on machines that no longer exist: records of machines that were returned shortly
/// before a failover may still be stored. Tasks placed on such a machine wait until it counts as lost.
#[test]
fn is_not_schedulable_before_first_heartbeat_to_this_leader() {
    let (mut machine, _) = machine_with(AssignmentState::Inherited);
    let now = at_ms(9_000);
    machine.status = MachineStatus::Up;
    machine.last_heartbeat = Some(now);
    assert!(!machine.is_schedulable(now));
    machine.process_heartbeat(&heartbeat(1, 1, 9, ""), TOKEN, &[], now);
    assert!(machine.is_schedulable(now));
}

#[test]
fn inherited_task_is_gone_only_if_absent_after_worker_saw_fencing_token() {
    let (mut machine, _) = machine_with(AssignmentState::Inherited);
    assert!(machine.process_heartbeat(&heartbeat(1, 1, 8, ""), TOKEN, &[], at_ms(1)).gone.is_empty());
    assert_eq!(
        machine.process_heartbeat(&heartbeat(1, 2, 9, ""), TOKEN, &[], at_ms(2)).gone[0].outcome,
        Outcome::Vanished
    );
}

#[test]
fn sent_start_counts_until_absent_from_newer_heartbeat() {
    let (mut machine, task) = machine_with(AssignmentState::Ready);
    let first = heartbeat(1, 5, 9, "");
    machine.process_heartbeat(&first, TOKEN, &[], at_ms(1));
    assert_eq!(machine.commands(&first, true, |_| false, true).len(), 1);
    assert!(machine.stop(&task, 0.0, at_ms(2)).is_none(), "a sent start must be proved gone");
    assert!(machine.process_heartbeat(&heartbeat(1, 4, 9, ""), TOKEN, &[], at_ms(3)).stale);
    let gone = machine.process_heartbeat(&heartbeat(1, 6, 9, ""), TOKEN, &[], at_ms(4)).gone;
    assert_eq!(gone[0].outcome, Outcome::NeverStarted);
}

#[test]
fn sends_no_start_before_it_is_durable_or_without_leadership() {
    let (mut machine, _) = machine_with(AssignmentState::Planned);
    let received = heartbeat(1, 1, 9, "");
    assert!(machine.commands(&received, true, |_| false, true).is_empty());
    let (mut machine, _) = machine_with(AssignmentState::Ready);
    assert!(machine.commands(&received, false, |_| false, false).is_empty());
}

#[test]
fn forgets_done_task_only_after_its_assignment_is_removed() {
    let (mut machine, task) = machine_with(AssignmentState::Running);
    let received = heartbeat(1, 1, 9, r#"{"shard":"req-1/0","try":7,"phase":"ended","cause":"done"}"#);
    assert_eq!(machine.process_heartbeat(&received, TOKEN, &[], at_ms(1)).done.len(), 1);
    assert!(machine.commands(&received, true, |_| false, true).is_empty());
    machine.assignments.remove(&task);
    assert_eq!(
        machine.commands(&received, true, |_| false, true),
        [WorkerCommand::Forget { task, attempt: Attempt(7) }]
    );
}

#[test]
fn unacknowledged_start_is_neither_gone_nor_forgotten_until_epoch_ends() {
    let (mut machine, task) = machine_with(AssignmentState::Ready);
    machine.process_heartbeat(&heartbeat(1, 5, 9, ""), TOKEN, &[], at_ms(1));
    let direct = machine.direct_commands(true, at_ms(1));
    assert_eq!(direct.commands.len(), 1);
    machine.direct_starts_answered(direct.starts, WorkerEpoch(1), DirectAnswer::Missing);
    machine.stop(&task, 0.0, at_ms(2));
    assert!(
        machine.process_heartbeat(&heartbeat(1, 7, 9, ""), TOKEN, &[], at_ms(3)).gone.is_empty(),
        "the start may still arrive"
    );
    let ended = heartbeat(1, 8, 9, r#"{"shard":"req-1/0","try":7,"phase":"ended","cause":"stopped"}"#);
    assert_eq!(machine.process_heartbeat(&ended, TOKEN, &[], at_ms(4)).gone.len(), 1);
    assert!(
        machine.commands(&ended, true, |_| false, true).is_empty(),
        "if the worker forgot it, it would start it again"
    );
    let next = heartbeat(2, 9, 9, r#"{"shard":"req-1/0","try":7,"phase":"ended","cause":"stopped"}"#);
    machine.process_heartbeat(&next, TOKEN, &[], at_ms(5));
    assert_eq!(
        machine.commands(&next, true, |_| false, true).len(),
        1,
        "in a new worker epoch the start can't arrive any more"
    );
}

#[test]
fn unknown_tasks_are_stopped_and_machine_is_not_schedulable_until_then() {
    let (mut machine, _) = machine_with(AssignmentState::Running);
    let received = heartbeat(1, 1, 9, r#"{"shard":"req-1/0","try":6,"phase":"running"}"#);
    let outcome = machine.process_heartbeat(&received, TOKEN, &[], at_ms(1));
    assert_eq!(outcome.gone.len(), 1, "attempt 7 is not reported");
    assert!(!machine.is_schedulable(at_ms(1)));
    assert!(matches!(
        machine.commands(&received, true, |_| false, true)[..],
        [WorkerCommand::Stop { attempt: Attempt(6), .. }]
    ));
}

/// Guards against machines that accept no tasks any more because their worker once kept many ended attempts,
/// whose starts may arrive again.
#[test]
fn machine_is_schedulable_again_once_its_worker_keeps_fewer_ended_attempts() {
    let (mut machine, _) = machine_with(AssignmentState::Running);
    machine.assignments.clear();
    machine.process_heartbeat(&heartbeat(1, 1, 9, ""), TOKEN, &[], at_ms(1));
    let mut ended = Vec::new();
    for index in 0..300 {
        let task = TaskId { job: "req-1".into(), index };
        machine.sent_starts.insert(TaskAttempt::of(&task, Attempt(7)), at_ms(1));
        ended.push(format!(r#"{{"shard":"{task}","try":7,"phase":"ended","cause":"stopped"}}"#));
    }
    machine.process_heartbeat(&heartbeat(1, 2, 9, &ended.join(",")), TOKEN, &[], at_ms(2));
    assert!(!machine.is_schedulable(at_ms(2)));
    assert!(
        !machine.is_settled(),
        "unchanged heartbeats must be processed, or the attempts are kept for ever"
    );
    machine.process_heartbeat(&heartbeat(1, 3, 9, &ended.join(",")), TOKEN, &[], at_ms(700_000));
    assert!(machine.is_schedulable(at_ms(700_000)), "the starts can't arrive any more");
}

/// A heartbeat element for a task that is done.
fn done(task: &TaskId) -> String {
    format!(r#"{{"shard":"{task}","try":7,"phase":"ended","cause":"done"}}"#)
}

/// Guards against a done task that starts again after its job was cancelled: a copy of its start arrives once the
/// worker has forgotten it.
#[test]
fn done_task_is_not_forgotten_while_its_answered_start_may_arrive_again() {
    let (mut machine, task) = machine_with(AssignmentState::Ready);
    machine.process_heartbeat(&heartbeat(1, 5, 9, ""), TOKEN, &[], at_ms(1));
    let direct = machine.direct_commands(true, at_ms(1));
    let answer = DirectAnswer::Executed { worker_epoch: WorkerEpoch(1), serial: 6 };
    machine.direct_starts_answered(direct.starts, WorkerEpoch(1), answer);
    let ended = |epoch, serial| heartbeat(epoch, serial, 9, &done(&task));
    assert_eq!(machine.process_heartbeat(&ended(1, 7), TOKEN, &[], at_ms(4)).done.len(), 1);
    machine.assignments.remove(&task);
    let mut forgets = |epoch, serial, at| {
        let received = ended(epoch, serial);
        machine.process_heartbeat(&received, TOKEN, &[], at);
        machine.commands(&received, true, |_| false, true).len()
    };
    assert_eq!(forgets(1, 8, at_ms(100_000)), 0);
    assert_eq!(forgets(1, 9, at_ms(700_000)), 1, "too late for a copy");
    assert_eq!(forgets(2, 1, at_ms(700_001)), 1, "a copy names the epoch before");
}

/// Guards against heartbeats that grow without bound on machines that do many short tasks, and against such
/// machines being drained.
#[test]
fn worker_keeps_a_bounded_number_of_done_tasks_and_is_not_drained() {
    let (mut machine, _) = machine_with(AssignmentState::Running);
    machine.assignments.clear();
    machine.process_heartbeat(&heartbeat(1, 1, 9, ""), TOKEN, &[], at_ms(1));
    let tasks: Vec<TaskId> = (0..300).map(|index| TaskId { job: "req-1".into(), index }).collect();
    for (sent_at, task) in tasks.iter().enumerate() {
        machine.sent_starts.insert(TaskAttempt::of(task, Attempt(7)), at_ms(1 + sent_at as u64));
    }
    let reported: Vec<String> = tasks.iter().map(done).collect();
    let received = heartbeat(1, 2, 9, &reported.join(","));
    machine.process_heartbeat(&received, TOKEN, &[], at_ms(1_000));
    assert!(machine.is_schedulable(at_ms(1_000)));
    let commands = machine.commands(&received, true, |_| false, true);
    let forgotten = |command: &WorkerCommand| match command {
        WorkerCommand::Forget { task, .. } => task.index,
        other => panic!("unexpected command: {other:?}"),
    };
    let forgotten: Vec<u32> = commands.iter().map(forgotten).collect();
    assert_eq!(forgotten, (0..172).collect::<Vec<u32>>(), "the tasks that were started first");
}
