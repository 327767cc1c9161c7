use super::*;

const STORED: [RecordedState; 8] = [
    RecordedState::Nothing,
    RecordedState::Planned,
    RecordedState::Ready,
    RecordedState::Direct,
    RecordedState::Sent,
    RecordedState::Inherited,
    RecordedState::Listed,
    RecordedState::Done,
];
const ENDINGS: [TaskExit; 7] = [
    TaskExit::Done,
    TaskExit::Failed,
    TaskExit::Stopped { saved: true },
    TaskExit::Stopped { saved: false },
    TaskExit::GangBroke,
    TaskExit::NoRoom,
    TaskExit::Refused,
];

fn cases() -> Vec<Observation> {
    let reported_state = [
        ReportedState::Absent,
        ReportedState::Fetching,
        ReportedState::Waiting,
        ReportedState::Running,
        ReportedState::Saving,
    ];
    let reported_state: Vec<ReportedState> =
        reported_state.into_iter().chain(ENDINGS.map(ReportedState::Ended)).collect();
    let mut out = Vec::new();
    for recorded_state in STORED {
        for reported_state in &reported_state {
            for bits in 0..32u8 {
                let bit = |n: u8| bits & (1 << n) != 0;
                out.push(Observation {
                    recorded_state,
                    reported_state: *reported_state,
                    stopping: bit(0),
                    after_command: bit(1),
                    under_fencing_token: bit(2),
                    wanted_here: bit(3),
                    may_still_arrive: bit(4),
                });
            }
        }
    }
    out
}

/// Whether an order to start this attempt may still act, or the task may be on the machine, after a report that
/// said this. Written from the protocol alone, not from the table.
fn may_be_there(c: &Observation) -> bool {
    // An earlier leader's order acts as long as the worker hasn't seen a higher fence.
    let recorded_state =
        !matches!(c.recorded_state, RecordedState::Nothing | RecordedState::Planned | RecordedState::Done);
    match c.reported_state {
        ReportedState::Ended(_) => recorded_state && !c.under_fencing_token,
        ReportedState::Absent => match c.recorded_state {
            RecordedState::Nothing | RecordedState::Planned | RecordedState::Done => false,
            RecordedState::Direct => true,
            RecordedState::Sent => !c.after_command || !c.under_fencing_token,
            RecordedState::Ready | RecordedState::Listed | RecordedState::Inherited => !c.under_fencing_token,
        },
        _ => true,
    }
}

/// Every combination against the rules of the protocol.
#[test]
fn no_case_breaks_a_rule() {
    let all = cases();
    assert_eq!(all.len(), 8 * 12 * 32);
    for c in all {
        let verdict = reconcile(&c);
        // ran_twice, quota, wrong_place: what may still be there counts.
        let frees = matches!(verdict, Decision::Gone(_));
        assert!(!(frees && may_be_there(&c)), "freed though it may be there: {c:?}");
        // A start goes out only for what is durable, wanted, and surely not there in any state.
        if verdict == Decision::StartHere {
            assert!(!may_be_there(&c) && c.reported_state == ReportedState::Absent && !c.stopping, "{c:?}");
            assert!(
                !matches!(c.recorded_state, RecordedState::Nothing | RecordedState::Planned),
                "not durable: {c:?}"
            );
            assert!(c.recorded_state == RecordedState::Sent || c.wanted_here, "not wanted: {c:?}");
        }
        // not_done, and a result is never lost: forgotten only when it is not in the ledger.
        if c.reported_state == ReportedState::Ended(TaskExit::Done)
            && !matches!(c.recorded_state, RecordedState::Nothing | RecordedState::Done)
        {
            assert_eq!(verdict, Decision::Done, "{c:?}");
        }
        assert_eq!(
            verdict == Decision::Forget,
            c.recorded_state == RecordedState::Nothing
                && !may_be_there(&c)
                && c.reported_state != ReportedState::Absent
                && !c.may_still_arrive
        );
        // Nothing that the ledger holds is stopped as unknown.
        assert!(verdict != Decision::Stop || c.recorded_state == RecordedState::Nothing, "{c:?}");
        // What lives and is stored is kept as it is.
        if matches!(
            c.reported_state,
            ReportedState::Running | ReportedState::Waiting | ReportedState::Saving | ReportedState::Fetching
        ) {
            let kept = matches!(c.recorded_state, RecordedState::Nothing | RecordedState::Done)
                || verdict == Decision::There;
            assert!(kept, "{c:?}");
        }
    }
}

/// With a row changed the walk above must notice: the guards are not there for show.
#[test]
fn without_the_fencing_token_or_the_order_a_start_would_act_twice() {
    let unfenced = Observation {
        recorded_state: RecordedState::Inherited,
        stopping: false,
        reported_state: ReportedState::Absent,
        after_command: false,
        under_fencing_token: false,
        wanted_here: true,
        may_still_arrive: false,
    };
    assert!(may_be_there(&unfenced) && reconcile(&unfenced) == Decision::Unproved);
    let sent = Observation { recorded_state: RecordedState::Sent, under_fencing_token: true, ..unfenced };
    assert!(may_be_there(&sent) && reconcile(&sent) == Decision::Unproved);
    let proved = Observation { after_command: true, ..sent };
    assert_eq!(reconcile(&Observation { under_fencing_token: false, ..proved }), Decision::Unproved);
    assert_eq!(reconcile(&proved), Decision::StartHere);
    assert_eq!(reconcile(&Observation { stopping: true, ..proved }), Decision::Gone(Outcome::NeverStarted));
}

#[test]
fn an_entry_is_kept_only_for_an_open_job_and_the_latest_attempt() {
    assert_eq!(adopt(true, false, false), Adoption::Keep);
    assert_eq!(adopt(true, false, true), Adoption::Superseded);
    assert_eq!(adopt(false, false, true), Adoption::Superseded);
    for (open, done) in [(false, false), (false, true), (true, true)] {
        assert_eq!(adopt(open, done, false), Adoption::Over);
    }
}
