use super::*;

const STORED: [Stored; 8] = [
    Stored::Nothing,
    Stored::Planned,
    Stored::Ready,
    Stored::Direct,
    Stored::Sent,
    Stored::Inherited,
    Stored::Listed,
    Stored::Done,
];
const ENDINGS: [Ending; 7] = [
    Ending::Done,
    Ending::Failed,
    Ending::Stopped { saved: true },
    Ending::Stopped { saved: false },
    Ending::GangBroke,
    Ending::NoRoom,
    Ending::Refused,
];

fn cases() -> Vec<Case> {
    let said = [Said::Absent, Said::Fetching, Said::Waiting, Said::Running, Said::Saving];
    let said: Vec<Said> = said.into_iter().chain(ENDINGS.map(Said::Ended)).collect();
    let mut out = Vec::new();
    for stored in STORED {
        for said in &said {
            for bits in 0..32u8 {
                let bit = |n: u8| bits & (1 << n) != 0;
                out.push(Case {
                    stored,
                    said: *said,
                    stopping: bit(0),
                    after_order: bit(1),
                    under_fencing_token: bit(2),
                    wanted_here: bit(3),
                    may_come: bit(4),
                });
            }
        }
    }
    out
}

/// Whether an order to start this attempt may still act, or the task may be on the machine, after a report that
/// said this. Written from the protocol alone, not from the table.
fn may_be_there(c: &Case) -> bool {
    // An earlier leader's order acts as long as the worker hasn't seen a higher fence.
    let stored = !matches!(c.stored, Stored::Nothing | Stored::Planned | Stored::Done);
    match c.said {
        Said::Ended(_) => stored && !c.under_fencing_token,
        Said::Absent => match c.stored {
            Stored::Nothing | Stored::Planned | Stored::Done => false,
            Stored::Direct => true,
            Stored::Sent => !c.after_order || !c.under_fencing_token,
            Stored::Ready | Stored::Listed | Stored::Inherited => !c.under_fencing_token,
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
        let verdict = square(&c);
        // ran_twice, quota, wrong_place: what may still be there counts.
        let frees = matches!(verdict, Verdict::Gone(_));
        assert!(!(frees && may_be_there(&c)), "freed though it may be there: {c:?}");
        // A start goes out only for what is durable, wanted, and surely not there in any state.
        if verdict == Verdict::StartHere {
            assert!(!may_be_there(&c) && c.said == Said::Absent && !c.stopping, "{c:?}");
            assert!(!matches!(c.stored, Stored::Nothing | Stored::Planned), "not durable: {c:?}");
            assert!(c.stored == Stored::Sent || c.wanted_here, "not wanted: {c:?}");
        }
        // not_done, and a result is never lost: forgotten only when it is not in the ledger.
        if c.said == Said::Ended(Ending::Done) && !matches!(c.stored, Stored::Nothing | Stored::Done) {
            assert_eq!(verdict, Verdict::Done, "{c:?}");
        }
        assert_eq!(
            verdict == Verdict::Forget,
            c.stored == Stored::Nothing && !may_be_there(&c) && c.said != Said::Absent && !c.may_come
        );
        // Nothing that the ledger holds is stopped as unknown.
        assert!(verdict != Verdict::Stop || c.stored == Stored::Nothing, "{c:?}");
        // What lives and is stored is kept as it is.
        if matches!(c.said, Said::Running | Said::Waiting | Said::Saving | Said::Fetching) {
            let kept = matches!(c.stored, Stored::Nothing | Stored::Done) || verdict == Verdict::There;
            assert!(kept, "{c:?}");
        }
    }
}

/// With a row changed the walk above must notice: the guards are not there for show.
#[test]
fn without_the_fencing_token_or_the_order_a_start_would_act_twice() {
    let unfenced = Case {
        stored: Stored::Inherited,
        stopping: false,
        said: Said::Absent,
        after_order: false,
        under_fencing_token: false,
        wanted_here: true,
        may_come: false,
    };
    assert!(may_be_there(&unfenced) && square(&unfenced) == Verdict::Unproved);
    let sent = Case { stored: Stored::Sent, under_fencing_token: true, ..unfenced };
    assert!(may_be_there(&sent) && square(&sent) == Verdict::Unproved);
    let proved = Case { after_order: true, ..sent };
    assert_eq!(square(&Case { under_fencing_token: false, ..proved }), Verdict::Unproved);
    assert_eq!(square(&proved), Verdict::StartHere);
    assert_eq!(square(&Case { stopping: true, ..proved }), Verdict::Gone(Outcome::NeverStarted));
}

#[test]
fn an_entry_is_kept_only_for_an_open_job_and_the_latest_attempt() {
    assert_eq!(claim(true, false, false), Claim::Keep);
    assert_eq!(claim(true, false, true), Claim::Superseded);
    assert_eq!(claim(false, false, true), Claim::Superseded);
    for (open, done) in [(false, false), (false, true), (true, true)] {
        assert_eq!(claim(open, done, false), Claim::Over);
    }
}
