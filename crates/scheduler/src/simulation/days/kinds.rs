//! All kinds of days that the tests of the simulation play, for a comparison of two builds.

use super::bad_records::{
    BAD, contradicting_reports, impossible_job_records, unreadable_job_record, unreadable_machine_records,
};
use super::combined_faults::meeting_day;
use super::directed::ROWS;
use super::fields::{day_of_refused_submissions, day_without_machine_types};
use super::isolated_leader::{gap_day, held_day};
use super::ordinary;
use super::recovery::{self, Down};
use super::{DAY_ENDS, troubles};
use crate::jobs::graph::DependencyCheck;
use crate::node::{Controller, DisabledCheck};
use crate::simulation::Simulation;
use crate::types::Duration;
use pearford_heartbeat::DisabledCheck as LeaseCheck;

/// How long a day goes on after its last trouble, where that has no set time.
const CALM_MS: u64 = 120_000;
/// Jobs on a day of recovery with a usual number of machines.
const RECOVERY_JOBS: usize = 40;
/// Jobs on the day of 300 machines.
const LARGE_RECOVERY_JOBS: usize = 220;
/// How much of the day of 300 machines is played where the whole would take minutes: up to the first crashes.
const LARGE_RECOVERY_PART_MS: u64 = 28_000;
/// The end of the large fleet's day.
const LARGE_FLEET_ENDS_MS: u64 = 110_000;

/// A kind of day, which each seed plays differently.
pub struct DayKind {
    pub name: String,
    /// The first seed that the tests play.
    pub first_seed: u64,
    /// How many seeds the kind is played with at most: some days take long, some are written for one seed.
    seeds_max: u64,
    /// Of how many seeds asked for one is played: more than one for days that take seconds.
    one_in: u64,
    /// A day takes minutes.
    pub is_slow: bool,
    play: Box<dyn Fn(u64) -> Simulation + Send + Sync>,
}

impl DayKind {
    fn new(
        name: impl Into<String>,
        first_seed: u64,
        play: impl Fn(u64) -> Simulation + Send + Sync + 'static,
    ) -> Self {
        Self {
            name: name.into(),
            first_seed,
            seeds_max: u64::MAX,
            one_in: 1,
            is_slow: false,
            play: Box::new(play),
        }
    }

    /// A day that `build` sets up, played to its usual end.
    fn usual(
        name: impl Into<String>,
        first_seed: u64,
        build: impl Fn(u64) -> Simulation + Send + Sync + 'static,
    ) -> Self {
        Self::new(name, first_seed, move |seed| until(build(seed), DAY_ENDS))
    }

    fn recovery(
        name: &str,
        first_seed: u64,
        build: impl Fn(u64) -> Simulation + Send + Sync + 'static,
    ) -> Self {
        Self::new(name, first_seed, move |seed| until(build(seed), recovery::ENDS))
    }

    /// An ordinary day with troubles, in a world that `corrupt` changes.
    fn with_fault_injected(name: &str, corrupt: fn(&mut Simulation)) -> Self {
        Self::usual(name, 300, move |seed| {
            let mut w = ordinary::day(seed, troubles);
            corrupt(&mut w);
            w
        })
    }

    /// A day that goes on until some time after its last trouble, with a guard out of the core.
    fn gap(
        name: &str,
        first_seed: u64,
        day: fn(u64) -> (Simulation, u64),
        injected_fault: Option<fn(&mut Controller, u64)>,
    ) -> Self {
        Self::new(name, first_seed, move |seed| {
            let (mut w, over) = day(seed);
            w.injected_fault = injected_fault;
            until(w, over + CALM_MS)
        })
    }

    fn one_in(self, one_in: u64) -> Self {
        Self { one_in, ..self }
    }

    /// How many seeds are played if `asked` are asked for.
    pub fn seeds(&self, asked: u64) -> u64 {
        asked.div_ceil(self.one_in).min(self.seeds_max)
    }

    fn slow(self) -> Self {
        Self { is_slow: true, ..self }
    }

    fn at_most(self, seeds_max: u64) -> Self {
        Self { seeds_max, ..self }
    }

    /// Plays a seed's day to its end, or until a rule breaks.
    pub fn play(&self, seed: u64) -> Simulation {
        (self.play)(seed)
    }
}

fn until(mut w: Simulation, end_ms: u64) -> Simulation {
    w.run_until(end_ms);
    w
}

/// All kinds, in an order that stays: those that take longest first, so that threads end together.
pub fn all() -> Vec<DayKind> {
    let mut kinds = recovery_kinds();
    kinds.extend(ordinary_kinds());
    kinds.extend(kinds_with_faults_injected());
    kinds.extend(gap_kinds());
    kinds.extend(bad_input_kinds());
    kinds.extend(directed_kinds());
    kinds
}

fn ordinary_kinds() -> Vec<DayKind> {
    vec![
        DayKind::usual("quiet", 0, |seed| ordinary::day(seed, |_| {})),
        DayKind::usual("troubles", 100, |seed| ordinary::day(seed, troubles)),
        DayKind::usual("crash-of-all-in-an-outage", 200, ordinary::crash_of_all_in_an_outage),
        DayKind::usual("dead-majority", 390, ordinary::dead_majority),
        DayKind::usual("withdrawals", 400, ordinary::withdrawals),
        DayKind::usual("refused-leader", 500, ordinary::day_of_a_refused_leader),
        DayKind::new("large-fleet", 600, |seed| {
            until(ordinary::day_of_a_large_fleet(seed), LARGE_FLEET_ENDS_MS)
        })
        .one_in(3),
        DayKind::usual("pipelines", 700, ordinary::pipelined_day),
        DayKind::usual("upgrade", 800, |seed| ordinary::upgrade_day(seed, seed % 4 != 0)),
        DayKind::usual("mixed-versions", 850, ordinary::day_of_a_mixed_version),
        DayKind::usual("cut-off-zone", 910, ordinary::cut_off_zone),
        DayKind::usual("parted-zone", 920, |seed| ordinary::parted_day(seed, None).0),
        DayKind::usual("pair-of-troubles", 4_000, |seed| meeting_day(seed).0),
    ]
}

/// Days with a guard out of the core, or a stand-in that breaks its word.
fn kinds_with_faults_injected() -> Vec<DayKind> {
    fn pipelines_without(check: DependencyCheck, seed: u64) -> Simulation {
        let mut w = ordinary::pipelined_day(seed);
        w.injected_fault = Some(match check {
            DependencyCheck::Order => |controller: &mut Controller, _| {
                controller.disable_check(DisabledCheck::JobGraph(DependencyCheck::Order))
            },
            DependencyCheck::Cancellation => |controller: &mut Controller, _| {
                controller.disable_check(DisabledCheck::JobGraph(DependencyCheck::Cancellation))
            },
        });
        w
    }
    let apart: fn(&mut Controller, u64) =
        |controller, _| controller.disable_check(DisabledCheck::IsolationReports);
    vec![
        DayKind::with_fault_injected("forget-silent", |w| {
            w.injected_fault = Some(|controller, _| {
                controller.disable_check(DisabledCheck::LeaseExpiry { silence_ms: 4_000 })
            })
        }),
        DayKind::with_fault_injected("done-early", |w| {
            w.injected_fault = Some(|controller, _| controller.disable_check(DisabledCheck::TaskCompletion))
        }),
        DayKind::with_fault_injected("lazy-cloud", |w| w.cloud.lazy = true),
        DayKind::with_fault_injected("careless-state", |w| w.state.careless = true),
        DayKind::usual("pipelines-without-order", 700, |seed| {
            pipelines_without(DependencyCheck::Order, seed)
        }),
        DayKind::usual("pipelines-without-cancellation", 700, |seed| {
            pipelines_without(DependencyCheck::Cancellation, seed)
        }),
        DayKind::usual("mixed-versions-without-level", 850, |seed| {
            let mut w = ordinary::day_of_a_mixed_version(seed);
            w.injected_fault = Some(|controller, _| controller.disable_check(DisabledCheck::ClusterVersion));
            w
        }),
        DayKind::usual("parted-zone-without-word", 920, move |seed| {
            ordinary::parted_day(seed, Some(apart)).0
        }),
    ]
}

fn gap_kinds() -> Vec<DayKind> {
    let stops: fn(&mut Controller, u64) =
        |controller, _| controller.disable_check(DisabledCheck::LeaseRenewal(LeaseCheck::Stops));
    let margin: fn(&mut Controller, u64) = |controller, _| {
        controller
            .disable_check(DisabledCheck::LeaseRenewal(LeaseCheck::Margin(Duration::from_millis(15_000))))
    };
    let doubt: fn(&mut Controller, u64) = |controller, _| {
        controller.disable_check(DisabledCheck::LeaseRenewal(LeaseCheck::UnacknowledgedStarts))
    };
    vec![
        DayKind::gap("gap", 3_000, gap_day, None),
        DayKind::gap("gap-without-stops", 3_238, gap_day, Some(stops)),
        DayKind::gap("gap-without-margin", 3_000, gap_day, Some(margin)),
        DayKind::gap("held-starts", 3_500, held_day, None),
        DayKind::gap("held-starts-without-doubt", 3_500, held_day, Some(doubt)),
    ]
}

fn day_of_300_machines(seed: u64) -> Simulation {
    recovery::day(seed, Down::InARow, LARGE_RECOVERY_JOBS)
}

fn recovery_kinds() -> Vec<DayKind> {
    vec![
        DayKind::recovery("recovery-of-300-machines", 2_300, day_of_300_machines).at_most(1).slow(),
        DayKind::new("recovery-of-300-machines-part", 2_300, |seed| {
            until(day_of_300_machines(seed), LARGE_RECOVERY_PART_MS)
        })
        .at_most(1),
        DayKind::recovery("recovery-once", 2_000, |seed| recovery::day(seed, Down::Once, RECOVERY_JOBS))
            .one_in(3),
        DayKind::recovery("recovery-in-a-row", 2_100, |seed| {
            recovery::day(seed, Down::InARow, RECOVERY_JOBS)
        })
        .one_in(3),
        DayKind::recovery("recovery-in-the-midst", 2_200, |seed| {
            recovery::day(seed, Down::Midst, RECOVERY_JOBS)
        })
        .one_in(3),
        DayKind::recovery("lost-leases", 2_400, recovery::day_of_lost_leases),
        DayKind::recovery("quick-returns", 2_600, |seed| recovery::day_of_quick_returns(seed, 30)),
        DayKind::recovery("unheard-machines", 2_500, |seed| {
            let mut w = recovery::day(seed, Down::InARow, 30);
            w.injected_fault =
                Some(|controller, _| controller.disable_check(DisabledCheck::HeartbeatCollection));
            w
        }),
        DayKind::recovery("forgotten-attempts", 5_000, |seed| {
            let mut w = recovery::day_of_quick_returns(seed, 30);
            w.again = 0.3;
            w.injected_fault =
                Some(|controller, _| controller.disable_check(DisabledCheck::UnacknowledgedStarts));
            w
        }),
    ]
}

fn bad_input_kinds() -> Vec<DayKind> {
    const JOB_RECORDS: u64 = 9_200;
    const MACHINE_RECORDS: u64 = 9_220;
    let bad = |n: u64| BAD[n as usize % BAD.len()];
    let each = BAD.len() as u64;
    vec![
        DayKind::usual("unreadable-job-record", JOB_RECORDS, move |seed| {
            unreadable_job_record(seed, bad(seed - JOB_RECORDS))
        })
        .at_most(each),
        DayKind::usual("unreadable-machine-records", MACHINE_RECORDS, move |seed| {
            unreadable_machine_records(seed, bad(seed - MACHINE_RECORDS))
        })
        .at_most(each),
        DayKind::usual("impossible-job-records", 9_240, impossible_job_records).at_most(1),
        DayKind::usual("contradicting-reports", 9_260, contradicting_reports).at_most(1),
        DayKind::new("refused-submissions", 9_100, day_of_refused_submissions).at_most(1),
        DayKind::new("submissions-without-machine-types", 9_102, day_without_machine_types).at_most(1),
    ]
}

/// Each directed row as it is, and with its guard out.
fn directed_kinds() -> Vec<DayKind> {
    const FIRST_SEED: u64 = 6_000;
    let mut kinds = Vec::new();
    for row in &ROWS {
        let name = row.name.replace([' ', ','], "-");
        kinds.push(DayKind::usual(format!("directed-{name}"), FIRST_SEED, row.day));
        kinds.push(DayKind::usual(format!("directed-{name}-without-guard"), FIRST_SEED, |seed| {
            let mut w = (row.day)(seed);
            (row.without)(&mut w);
            w
        }));
    }
    kinds
}
