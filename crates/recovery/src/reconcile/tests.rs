use super::*;

const RECORDED_STATES: [RecordedState; 8] = [
    RecordedState::Nothing,
    RecordedState::Planned,
    RecordedState::Ready,
    RecordedState::Direct,
    RecordedState::Sent,
    RecordedState::Inherited,
    RecordedState::Listed,
    RecordedState::Done,
];
const REPORTED_STATES: [ReportedState; 12] = [
    ReportedState::Absent,
    ReportedState::Fetching,
    ReportedState::Waiting,
    ReportedState::Running,
    ReportedState::Saving,
    ReportedState::Ended(TaskExit::Done),
    ReportedState::Ended(TaskExit::Failed),
    ReportedState::Ended(TaskExit::Stopped { saved: true }),
    ReportedState::Ended(TaskExit::Stopped { saved: false }),
    ReportedState::Ended(TaskExit::GangBroke),
    ReportedState::Ended(TaskExit::InsufficientResources),
    ReportedState::Ended(TaskExit::Refused),
];
/// Number of combinations of the observation's five flags.
const FLAG_COMBINATIONS: u8 = 32;

fn all_observations() -> Vec<Observation> {
    let mut observations = Vec::new();
    for recorded_state in RECORDED_STATES {
        for reported_state in REPORTED_STATES {
            for bits in 0..FLAG_COMBINATIONS {
                let flag = |bit: u8| bits & (1 << bit) != 0;
                observations.push(Observation {
                    recorded_state,
                    reported_state,
                    stopping: flag(0),
                    after_command: flag(1),
                    saw_fencing_token: flag(2),
                    wanted_here: flag(3),
                    start_may_arrive: flag(4),
                });
            }
        }
    }
    observations
}

/// Whether, after such a heartbeat, the task may be on the machine or a start of this attempt may still take
/// effect. Derived from the protocol, independently of the decision table.
fn may_be_on_machine(observation: &Observation) -> bool {
    // A start of an earlier leader can take effect until the worker has seen a higher fencing token.
    let start_may_take_effect = !observation.saw_fencing_token;
    let recorded_state = observation.recorded_state;
    match observation.reported_state {
        ReportedState::Ended(_) => is_assigned(observation) && start_may_take_effect,
        ReportedState::Absent => match recorded_state {
            RecordedState::Nothing | RecordedState::Planned | RecordedState::Done => false,
            RecordedState::Direct => true,
            RecordedState::Sent => !observation.after_command || start_may_take_effect,
            RecordedState::Ready | RecordedState::Listed | RecordedState::Inherited => start_may_take_effect,
        },
        _ => true,
    }
}

/// Whether a start may have been sent for the recorded state, and the task's result is not recorded yet.
fn is_assigned(observation: &Observation) -> bool {
    let unassigned = [RecordedState::Nothing, RecordedState::Planned, RecordedState::Done];
    !unassigned.contains(&observation.recorded_state)
}

fn is_alive(reported_state: ReportedState) -> bool {
    !matches!(reported_state, ReportedState::Absent | ReportedState::Ended(_))
}

/// The rules `ran_twice`, `quota` and `wrong_place`: an assignment counts as long as its task may be on the
/// machine.
fn check_freed(observation: &Observation, decision: Decision) {
    let frees = matches!(decision, Decision::Gone(_));
    assert!(
        !(frees && may_be_on_machine(observation)),
        "freed although the task may be on the machine: {observation:?}"
    );
}

/// A start is sent only if the assignment is durable, the task is wanted, and it is certainly not on the
/// machine.
fn check_started(observation: &Observation, decision: Decision) {
    if decision != Decision::StartHere {
        return;
    }
    let recorded_state = observation.recorded_state;
    assert!(!may_be_on_machine(observation), "{observation:?}");
    assert!(observation.reported_state == ReportedState::Absent && !observation.stopping, "{observation:?}");
    let durable = !matches!(recorded_state, RecordedState::Nothing | RecordedState::Planned);
    assert!(durable, "started without a durable assignment: {observation:?}");
    let wanted = recorded_state == RecordedState::Sent || observation.wanted_here;
    assert!(wanted, "started although not wanted: {observation:?}");
}

/// The rule `not_done`: a result must not be lost, so a worker may forget a task only if it has no
/// assignment.
fn check_result_kept(observation: &Observation, decision: Decision) {
    let recorded_state = observation.recorded_state;
    let unfinished = !matches!(recorded_state, RecordedState::Nothing | RecordedState::Done);
    if observation.reported_state == ReportedState::Ended(TaskExit::Done) && unfinished {
        assert_eq!(decision, Decision::Done, "{observation:?}");
    }
    let may_forget = recorded_state == RecordedState::Nothing
        && !may_be_on_machine(observation)
        && observation.reported_state != ReportedState::Absent
        && !observation.start_may_arrive;
    assert_eq!(decision == Decision::Forget, may_forget, "{observation:?}");
}

/// A task with an assignment is not stopped as unknown, and its assignment is kept while the task is alive.
fn check_assignment_kept(observation: &Observation, decision: Decision) {
    let recorded_state = observation.recorded_state;
    assert!(decision != Decision::Stop || recorded_state == RecordedState::Nothing, "{observation:?}");
    if is_alive(observation.reported_state) {
        let kept = matches!(recorded_state, RecordedState::Nothing | RecordedState::Done)
            || decision == Decision::Present;
        assert!(kept, "{observation:?}");
    }
}

#[test]
fn decisions_on_all_observations_satisfy_the_rules() {
    let observations = all_observations();
    assert_eq!(observations.len(), 8 * 12 * 32);
    for observation in &observations {
        let decision = reconcile(observation);
        check_freed(observation, decision);
        check_started(observation, decision);
        check_result_kept(observation, decision);
        check_assignment_kept(observation, decision);
    }
}

/// Guards against conditions that are missing from the decision table: absence from a heartbeat proves that a
/// task is gone only if the worker has seen the leader's fencing token and made the heartbeat after the
/// start.
#[test]
fn absence_is_unproved_without_the_fencing_token_or_a_later_heartbeat() {
    let unfenced = Observation {
        recorded_state: RecordedState::Inherited,
        stopping: false,
        reported_state: ReportedState::Absent,
        after_command: false,
        saw_fencing_token: false,
        wanted_here: true,
        start_may_arrive: false,
    };
    assert!(may_be_on_machine(&unfenced) && reconcile(&unfenced) == Decision::Unproved);
    let sent = Observation { recorded_state: RecordedState::Sent, saw_fencing_token: true, ..unfenced };
    assert!(may_be_on_machine(&sent) && reconcile(&sent) == Decision::Unproved);
    let proved = Observation { after_command: true, ..sent };
    assert_eq!(reconcile(&Observation { saw_fencing_token: false, ..proved }), Decision::Unproved);
    assert_eq!(reconcile(&proved), Decision::StartHere);
    assert_eq!(reconcile(&Observation { stopping: true, ..proved }), Decision::Gone(Outcome::NeverStarted));
}

#[test]
fn adopts_only_assignments_of_open_jobs_and_latest_attempts() {
    let open = InheritedAssignment { job_open: true, task_done: false, superseded: false };
    assert_eq!(adopt(&open), Adoption::Keep);
    let superseded = InheritedAssignment { superseded: true, ..open };
    assert_eq!(adopt(&superseded), Adoption::Superseded);
    let superseded_and_finished = InheritedAssignment { job_open: false, ..superseded };
    assert_eq!(adopt(&superseded_and_finished), Adoption::Superseded);
    for (job_open, task_done) in [(false, false), (false, true), (true, true)] {
        let finished = InheritedAssignment { job_open, task_done, superseded: false };
        assert_eq!(adopt(&finished), Adoption::Finished);
    }
}
