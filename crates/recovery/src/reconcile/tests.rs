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
/// The observation's five flags, as bits.
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
                    may_still_arrive: flag(4),
                });
            }
        }
    }
    observations
}

/// Whether a start of this attempt may still act, or the task may be on the machine, after such a heartbeat.
/// Written from the protocol alone, not from the table.
fn may_be_there(observation: &Observation) -> bool {
    // An earlier leader's start acts as long as the worker hasn't seen a higher fencing token.
    let may_act = !observation.saw_fencing_token;
    let recorded_state = observation.recorded_state;
    match observation.reported_state {
        ReportedState::Ended(_) => is_assigned(observation) && may_act,
        ReportedState::Absent => match recorded_state {
            RecordedState::Nothing | RecordedState::Planned | RecordedState::Done => false,
            RecordedState::Direct => true,
            RecordedState::Sent => !observation.after_command || may_act,
            RecordedState::Ready | RecordedState::Listed | RecordedState::Inherited => may_act,
        },
        _ => true,
    }
}

/// Whether a start may have been sent for what is recorded, and its end is not recorded yet.
fn is_assigned(observation: &Observation) -> bool {
    let unassigned = [RecordedState::Nothing, RecordedState::Planned, RecordedState::Done];
    !unassigned.contains(&observation.recorded_state)
}

fn is_alive(reported_state: ReportedState) -> bool {
    !matches!(reported_state, ReportedState::Absent | ReportedState::Ended(_))
}

/// The rules `ran_twice`, `quota`, `wrong_place`: what may still be there counts.
fn check_freed(observation: &Observation, decision: Decision) {
    let frees = matches!(decision, Decision::Gone(_));
    assert!(!(frees && may_be_there(observation)), "freed though it may be there: {observation:?}");
}

/// A start leaves only for what is durable, wanted, and surely not there in any state.
fn check_started(observation: &Observation, decision: Decision) {
    if decision != Decision::StartHere {
        return;
    }
    let recorded_state = observation.recorded_state;
    assert!(!may_be_there(observation), "{observation:?}");
    assert!(observation.reported_state == ReportedState::Absent && !observation.stopping, "{observation:?}");
    let durable = !matches!(recorded_state, RecordedState::Nothing | RecordedState::Planned);
    assert!(durable, "not durable: {observation:?}");
    let wanted = recorded_state == RecordedState::Sent || observation.wanted_here;
    assert!(wanted, "not wanted: {observation:?}");
}

/// The rule `not_done`: a result is never lost, so a task is forgotten only when it has no assignment.
fn check_result_kept(observation: &Observation, decision: Decision) {
    let recorded_state = observation.recorded_state;
    let unfinished = !matches!(recorded_state, RecordedState::Nothing | RecordedState::Done);
    if observation.reported_state == ReportedState::Ended(TaskExit::Done) && unfinished {
        assert_eq!(decision, Decision::Done, "{observation:?}");
    }
    let may_forget = recorded_state == RecordedState::Nothing
        && !may_be_there(observation)
        && observation.reported_state != ReportedState::Absent
        && !observation.may_still_arrive;
    assert_eq!(decision == Decision::Forget, may_forget, "{observation:?}");
}

/// What has an assignment is not stopped as unknown, and is kept as long as it lives.
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
fn no_observation_leads_to_a_decision_that_breaks_a_rule() {
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

/// With a row changed the test above must notice: each condition of the table is needed.
#[test]
fn without_the_fencing_token_or_a_later_heartbeat_absence_proves_nothing() {
    let unfenced = Observation {
        recorded_state: RecordedState::Inherited,
        stopping: false,
        reported_state: ReportedState::Absent,
        after_command: false,
        saw_fencing_token: false,
        wanted_here: true,
        may_still_arrive: false,
    };
    assert!(may_be_there(&unfenced) && reconcile(&unfenced) == Decision::Unproved);
    let sent = Observation { recorded_state: RecordedState::Sent, saw_fencing_token: true, ..unfenced };
    assert!(may_be_there(&sent) && reconcile(&sent) == Decision::Unproved);
    let proved = Observation { after_command: true, ..sent };
    assert_eq!(reconcile(&Observation { saw_fencing_token: false, ..proved }), Decision::Unproved);
    assert_eq!(reconcile(&proved), Decision::StartHere);
    assert_eq!(reconcile(&Observation { stopping: true, ..proved }), Decision::Gone(Outcome::NeverStarted));
}

#[test]
fn an_assignment_is_kept_only_for_an_open_job_and_the_latest_attempt() {
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
