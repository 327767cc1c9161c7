//! Combinations of faults. Each has a day on which it occurs, and an injected fault that the rules must
//! detect on that day. `docs/design/combined_failures.md` describes the rows.

mod scenarios;

use crate::node::{Controller, DisabledCheck};
use crate::simulation::Simulation;
use pearford_heartbeat::DisabledCheck as LeaseCheck;

/// A combination of faults: its day, the occurrences that the day must show, and an injected fault.
pub struct Row {
    pub name: &'static str,
    pub day: fn(u64) -> Simulation,
    /// Situations that must occur, each with the minimum count over all seeds.
    pub occurrences: &'static [(&'static str, u64)],
    /// Disables a safety check or injects another fault. The rules must detect it on this day.
    pub without: fn(&mut Simulation),
}

fn inject_fault(simulation: &mut Simulation, fault: fn(&mut Controller, u64)) {
    simulation.injected_fault = Some(fault);
}

/// All combinations.
pub static ROWS: [Row; 17] = [
    Row {
        name: "held words",
        day: scenarios::held_messages,
        occurrences: &[("a link held", 10), ("cancelled now", 1)],
        without: |simulation| {
            inject_fault(simulation, |controller, _| {
                controller.disable_check(DisabledCheck::LeaseExpiry { max_heartbeat_age_ms: 4_000 });
            });
        },
    },
    Row {
        name: "close looks",
        day: scenarios::close_reads,
        occurrences: &[
            ("a close read after the terminal status", 1),
            ("a close read after the acceptance", 1),
            ("a repeat after the acceptance", 1),
        ],
        without: |simulation| {
            inject_fault(simulation, |controller, _| {
                controller.disable_check(DisabledCheck::ReadBeforeAnswer);
            });
        },
    },
    Row {
        name: "only the answer of a transaction is lost",
        day: scenarios::lost_answers,
        occurrences: &[("only the answer lost", 1), ("a close read after the terminal status", 1)],
        without: |simulation| simulation.state.ignores_conditions = true,
    },
    Row {
        name: "every team at its limit",
        day: scenarios::full_teams,
        occurrences: &[("cancelled and hung", 1)],
        without: |simulation| {
            inject_fault(simulation, |controller, _| {
                controller.disable_check(DisabledCheck::StoppingTasks);
            });
        },
    },
    Row {
        name: "work changes hands",
        day: scenarios::failovers,
        occurrences: &[("a terminal status within two seconds of a new leader", 1)],
        without: |simulation| {
            inject_fault(simulation, |controller, _| controller.disable_check(DisabledCheck::RelayFilter));
        },
    },
    Row {
        name: "new machines at once",
        day: scenarios::fast_boots,
        occurrences: &[("a start within three seconds of the boot", 1)],
        without: |simulation| {
            inject_fault(simulation, |controller, _| {
                controller.disable_check(DisabledCheck::DurableBeforeStart);
            });
        },
    },
    Row {
        name: "old reports for a new leader",
        day: scenarios::old_heartbeats,
        occurrences: &[("copy for the next leader", 1), ("copy to every node as a leader begins", 1)],
        without: |simulation| {
            inject_fault(simulation, |controller, _| {
                controller.disable_check(DisabledCheck::HeartbeatOrder);
            });
        },
    },
    Row {
        name: "four jobs a second",
        day: scenarios::small_jobs,
        occurrences: &[("accepted", 800)],
        without: |simulation| {
            inject_fault(simulation, |controller, _| {
                controller.disable_check(DisabledCheck::LeaseRenewal(LeaseCheck::Stops));
                controller.disable_check(DisabledCheck::StopCommands);
            });
        },
    },
    Row {
        name: "called off at the end and now",
        day: scenarios::cancelled,
        occurrences: &[("cancelled at the end", 1), ("cancelled now", 1), ("cancelled and hung", 1)],
        without: |simulation| {
            inject_fault(simulation, |controller, _| {
                controller.disable_check(DisabledCheck::MissingHeartbeatDetection);
            });
        },
    },
    Row {
        name: "mute machines",
        day: scenarios::heartbeats_lost,
        occurrences: &[("heartbeats lost", 1), ("a direct start at a machine whose heartbeats are lost", 1)],
        without: |simulation| {
            inject_fault(simulation, |controller, _| {
                controller.disable_check(DisabledCheck::LeaseExpiry { max_heartbeat_age_ms: 4_000 });
            });
        },
    },
    Row {
        name: "ten leaders",
        day: scenarios::ten_leaders,
        occurrences: &[("a new leader", 40)],
        without: |simulation| {
            inject_fault(simulation, |controller, _| {
                controller.disable_check(DisabledCheck::TaskCompletion);
            });
        },
    },
    Row {
        name: "more work than room, odd requests",
        day: scenarios::overload,
        occurrences: &[
            ("an impossible request", 1),
            ("a cancellation of what is done", 1),
            ("a repeat after the acceptance", 1),
        ],
        without: |simulation| {
            inject_fault(simulation, |controller, _| {
                controller.disable_check(DisabledCheck::StoppingTasks);
            });
        },
    },
    Row {
        name: "bound to a zone",
        day: scenarios::bound_to_a_zone,
        occurrences: &[("a machine lost with tasks bound to its zone", 1)],
        without: |simulation| {
            inject_fault(simulation, |controller, _| {
                controller.disable_check(DisabledCheck::ZoneConstraint);
            });
        },
    },
    Row {
        name: "a zone cut off",
        day: scenarios::cut_off_zone,
        occurrences: &[("a zone cut off", 1), ("cancelled now", 1)],
        without: |simulation| {
            inject_fault(simulation, |controller, _| {
                controller.disable_check(DisabledCheck::LeaseExpiry { max_heartbeat_age_ms: 4_000 });
            });
        },
    },
    Row {
        name: "all nodes away",
        day: scenarios::all_away,
        occurrences: &[("copy for the next leader", 1)],
        without: |simulation| {
            inject_fault(simulation, |controller, _| {
                controller.disable_check(DisabledCheck::HeartbeatOrder);
            });
        },
    },
    Row {
        name: "starts that arrive again",
        day: scenarios::repeated_starts,
        occurrences: &[
            ("a copy of a start after its task moved", 8),
            ("a copy of a start after its job was cancelled", 8),
            ("a new leader", 8),
        ],
        without: |simulation| {
            inject_fault(simulation, |controller, _| {
                controller.disable_check(DisabledCheck::UnacknowledgedStarts);
            });
        },
    },
    Row {
        name: "starts of done tasks that arrive again",
        day: scenarios::repeated_starts_of_done_tasks,
        occurrences: &[("a copy of a start after its job was cancelled", 8)],
        without: |simulation| {
            inject_fault(simulation, |controller, _| {
                controller.disable_check(DisabledCheck::UnacknowledgedStarts);
            });
        },
    },
];
