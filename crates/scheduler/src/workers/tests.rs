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
    let task = TaskId::parse("req-1/0").expect("valid");
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
    .expect("valid")
}

/// A new leader placed tasks on machines that its predecessor had returned a minute before, whose records
/// were still there, and waited for them to be given up (simulated fleet "andina", incident inc-72db).
#[test]
fn nothing_is_placed_on_a_machine_that_this_leader_has_not_heard() {
    let (mut machine, _) = machine_with(AssignmentState::Inherited);
    let now = at_ms(9_000);
    machine.status = MachineStatus::Up;
    machine.last_heartbeat = Some(now);
    assert!(!machine.is_schedulable(now));
    machine.process_heartbeat(&heartbeat(1, 1, 9, ""), TOKEN, &[], now);
    assert!(machine.is_schedulable(now));
}

#[test]
fn silence_about_an_inherited_task_proves_nothing_until_the_worker_saw_the_fencing_token() {
    let (mut machine, _) = machine_with(AssignmentState::Inherited);
    assert!(machine.process_heartbeat(&heartbeat(1, 1, 8, ""), TOKEN, &[], at_ms(1)).gone.is_empty());
    assert_eq!(
        machine.process_heartbeat(&heartbeat(1, 2, 9, ""), TOKEN, &[], at_ms(2)).gone[0].outcome,
        Outcome::Vanished
    );
}

#[test]
fn a_start_counts_until_a_later_heartbeat_lacks_it() {
    let (mut machine, task) = machine_with(AssignmentState::Ready);
    let first = heartbeat(1, 5, 9, "");
    machine.process_heartbeat(&first, TOKEN, &[], at_ms(1));
    assert_eq!(machine.commands(&first, true, |_| false, true).len(), 1);
    assert!(machine.stop(&task, 0.0, at_ms(2)).is_none(), "sent: needs proof");
    assert!(machine.process_heartbeat(&heartbeat(1, 4, 9, ""), TOKEN, &[], at_ms(3)).stale);
    let gone = machine.process_heartbeat(&heartbeat(1, 6, 9, ""), TOKEN, &[], at_ms(4)).gone;
    assert_eq!(gone[0].outcome, Outcome::NeverStarted);
}

#[test]
fn nothing_starts_before_it_is_durable_nor_without_leadership() {
    let (mut machine, _) = machine_with(AssignmentState::Planned);
    let received = heartbeat(1, 1, 9, "");
    assert!(machine.commands(&received, true, |_| false, true).is_empty());
    let (mut machine, _) = machine_with(AssignmentState::Ready);
    assert!(machine.commands(&received, false, |_| false, false).is_empty());
}

#[test]
fn a_done_task_is_not_forgotten_before_it_is_recorded() {
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
fn a_direct_start_without_answer_is_neither_disproved_by_heartbeats_nor_forgotten_until_the_epoch_ends() {
    let (mut machine, task) = machine_with(AssignmentState::Ready);
    machine.process_heartbeat(&heartbeat(1, 5, 9, ""), TOKEN, &[], at_ms(1));
    let direct = machine.direct_commands(true, at_ms(1));
    assert_eq!(direct.commands.len(), 1);
    machine.direct_starts_answered(direct.starts, WorkerEpoch(1), DirectAnswer::Missing);
    machine.stop(&task, 0.0, at_ms(2));
    assert!(
        machine.process_heartbeat(&heartbeat(1, 7, 9, ""), TOKEN, &[], at_ms(3)).gone.is_empty(),
        "may come late"
    );
    let ended = heartbeat(1, 8, 9, r#"{"shard":"req-1/0","try":7,"phase":"ended","cause":"stopped"}"#);
    assert_eq!(machine.process_heartbeat(&ended, TOKEN, &[], at_ms(4)).gone.len(), 1);
    assert!(machine.commands(&ended, true, |_| false, true).is_empty(), "forgotten, it would start again");
    let next = heartbeat(2, 9, 9, r#"{"shard":"req-1/0","try":7,"phase":"ended","cause":"stopped"}"#);
    machine.process_heartbeat(&next, TOKEN, &[], at_ms(5));
    assert_eq!(
        machine.commands(&next, true, |_| false, true).len(),
        1,
        "a new worker epoch ends the uncertainty"
    );
}

#[test]
fn tasks_without_assignment_are_stopped_and_keep_the_machine_closed_until_then() {
    let (mut machine, _) = machine_with(AssignmentState::Running);
    let received = heartbeat(1, 1, 9, r#"{"shard":"req-1/0","try":6,"phase":"running"}"#);
    let outcome = machine.process_heartbeat(&received, TOKEN, &[], at_ms(1));
    assert_eq!(outcome.gone.len(), 1, "attempt 7 is not there");
    assert!(!machine.is_schedulable(at_ms(1)));
    assert!(matches!(
        machine.commands(&received, true, |_| false, true)[..],
        [WorkerCommand::Stop { attempt: Attempt(6), .. }]
    ));
}
