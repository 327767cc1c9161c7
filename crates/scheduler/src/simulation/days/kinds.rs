//! All kinds of days that the simulation's tests run. `simulation_digest` runs them to compare two builds.

use super::bad_records::{
    BAD, contradicting_heartbeats, impossible_job_records, unreadable_job_record, unreadable_machine_records,
};
use super::combined_faults::day_of_combined_faults;
use super::directed::ROWS;
use super::fields::{day_of_refused_submissions, day_without_machine_types};
use super::isolated_leader::{held_starts_day, isolated_leader_day};
use super::ordinary;
use super::recovery::{self, Down};
use super::{DAY_ENDS, troubles};
use crate::jobs::graph::DependencyCheck;
use crate::node::{Controller, DisabledCheck};
use crate::simulation::Simulation;
use crate::types::Duration;
use pearford_heartbeat::DisabledCheck as LeaseCheck;

/// How long a day lasts after its last fault, for days whose faults end at a random time, in milliseconds.
const CALM_MS: u64 = 120_000;
/// The number of jobs on a recovery day with the usual number of machines.
const RECOVERY_JOBS: usize = 40;
/// The number of jobs on the recovery day with 300 machines.
const LARGE_RECOVERY_JOBS: usize = 220;
/// The end of the shortened day of 300 machines, whose full run takes minutes: after the first crashes.
const LARGE_RECOVERY_PART_MS: u64 = 28_000;
/// The simulated time at which the day of the large fleet ends, in milliseconds.
const LARGE_FLEET_ENDS_MS: u64 = 110_000;

/// A kind of day. Each seed gives a different run of it.
pub struct DayKind {
    pub name: String,
    /// The first seed that the tests run.
    pub first_seed: u64,
    /// The largest number of seeds for this kind: some days take long, and some are written for one seed.
    seeds_max: u64,
    /// One of this many requested seeds is run. Larger than 1 for days that take seconds.
    one_in: u64,
    /// Whether a run takes minutes.
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

    /// A day that `build` sets up and that ends at `DAY_ENDS`.
    fn usual(
        name: impl Into<String>,
        first_seed: u64,
        build: impl Fn(u64) -> Simulation + Send + Sync + 'static,
    ) -> Self {
        Self::new(name, first_seed, move |seed| run_until(build(seed), DAY_ENDS))
    }

    /// A recovery day that `build` sets up and that ends at `recovery::ENDS`.
    fn recovery(
        name: &str,
        first_seed: u64,
        build: impl Fn(u64) -> Simulation + Send + Sync + 'static,
    ) -> Self {
        Self::new(name, first_seed, move |seed| run_until(build(seed), recovery::ENDS))
    }

    /// An ordinary day with random faults, into whose simulation `corrupt` injects a defect.
    fn with_fault_injected(name: &str, corrupt: fn(&mut Simulation)) -> Self {
        Self::usual(name, 300, move |seed| {
            let mut simulation = ordinary::day(seed, troubles);
            corrupt(&mut simulation);
            simulation
        })
    }

    /// A day that ends `CALM_MS` after its last fault, with an optional fault injected into the controllers.
    fn isolated_leader(
        name: &str,
        first_seed: u64,
        day: fn(u64) -> (Simulation, u64),
        injected_fault: Option<fn(&mut Controller, u64)>,
    ) -> Self {
        Self::new(name, first_seed, move |seed| {
            let (mut simulation, last_fault_ends) = day(seed);
            simulation.injected_fault = injected_fault;
            run_until(simulation, last_fault_ends + CALM_MS)
        })
    }

    fn one_in(self, one_in: u64) -> Self {
        Self { one_in, ..self }
    }

    /// How many seeds are run if `requested` seeds are requested.
    pub fn seeds(&self, requested: u64) -> u64 {
        requested.div_ceil(self.one_in).min(self.seeds_max)
    }

    fn slow(self) -> Self {
        Self { is_slow: true, ..self }
    }

    fn at_most(self, seeds_max: u64) -> Self {
        Self { seeds_max, ..self }
    }

    /// Runs the day of a seed to its end, or until a rule is violated.
    pub fn play(&self, seed: u64) -> Simulation {
        (self.play)(seed)
    }
}

fn run_until(mut simulation: Simulation, end_ms: u64) -> Simulation {
    simulation.run_until(end_ms);
    simulation
}

/// All kinds in a fixed order. The slowest kinds come first, so that parallel threads finish at about the
/// same time.
pub fn all() -> Vec<DayKind> {
    let mut kinds = recovery_kinds();
    kinds.extend(ordinary_kinds());
    kinds.extend(kinds_with_faults_injected());
    kinds.extend(isolated_leader_kinds());
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
        DayKind::usual("withdrawals", 400, ordinary::cancellations),
        DayKind::usual("refused-leader", 500, ordinary::day_of_a_refused_leader),
        DayKind::new("large-fleet", 600, |seed| {
            run_until(ordinary::day_of_a_large_fleet(seed), LARGE_FLEET_ENDS_MS)
        })
        .one_in(3),
        DayKind::usual("pipelines", 700, ordinary::pipelined_day),
        DayKind::usual("upgrade", 800, |seed| ordinary::upgrade_day(seed, seed % 4 != 0)),
        DayKind::usual("mixed-versions", 850, ordinary::day_of_a_mixed_version),
        DayKind::usual("cut-off-zone", 910, ordinary::cut_off_zone),
        DayKind::usual("parted-zone", 920, |seed| ordinary::day_of_a_partitioned_zone(seed, None).0),
        DayKind::usual("pair-of-troubles", 4_000, |seed| day_of_combined_faults(seed).0),
    ]
}

/// Days with a safety check of the controllers disabled, or with a defect in the simulated cloud or key-value
/// store.
fn kinds_with_faults_injected() -> Vec<DayKind> {
    fn pipelines_without(check: DependencyCheck, seed: u64) -> Simulation {
        let mut simulation = ordinary::pipelined_day(seed);
        simulation.injected_fault = Some(match check {
            DependencyCheck::Order => |controller: &mut Controller, _| {
                controller.disable_check(DisabledCheck::JobGraph(DependencyCheck::Order));
            },
            DependencyCheck::Cancellation => |controller: &mut Controller, _| {
                controller.disable_check(DisabledCheck::JobGraph(DependencyCheck::Cancellation));
            },
        });
        simulation
    }
    let without_isolation_reports: fn(&mut Controller, u64) =
        |controller, _| controller.disable_check(DisabledCheck::IsolationReports);
    vec![
        DayKind::with_fault_injected("forget-silent", |simulation| {
            simulation.injected_fault = Some(|controller, _| {
                controller.disable_check(DisabledCheck::LeaseExpiry { max_heartbeat_age_ms: 4_000 });
            });
        }),
        DayKind::with_fault_injected("done-early", |simulation| {
            simulation.injected_fault =
                Some(|controller, _| controller.disable_check(DisabledCheck::TaskCompletion));
        }),
        DayKind::with_fault_injected("lazy-cloud", |simulation| simulation.cloud.ignores_releases = true),
        DayKind::with_fault_injected("careless-state", |simulation| {
            simulation.state.ignores_conditions = true;
        }),
        DayKind::usual("pipelines-without-order", 700, |seed| {
            pipelines_without(DependencyCheck::Order, seed)
        }),
        DayKind::usual("pipelines-without-cancellation", 700, |seed| {
            pipelines_without(DependencyCheck::Cancellation, seed)
        }),
        DayKind::usual("mixed-versions-without-level", 850, |seed| {
            let mut simulation = ordinary::day_of_a_mixed_version(seed);
            simulation.injected_fault =
                Some(|controller, _| controller.disable_check(DisabledCheck::ClusterVersion));
            simulation
        }),
        DayKind::usual("parted-zone-without-word", 920, move |seed| {
            ordinary::day_of_a_partitioned_zone(seed, Some(without_isolation_reports)).0
        }),
    ]
}

fn isolated_leader_kinds() -> Vec<DayKind> {
    let without_stops: fn(&mut Controller, u64) =
        |controller, _| controller.disable_check(DisabledCheck::LeaseRenewal(LeaseCheck::Stops));
    let with_longer_margin: fn(&mut Controller, u64) = |controller, _| {
        controller
            .disable_check(DisabledCheck::LeaseRenewal(LeaseCheck::Margin(Duration::from_millis(15_000))));
    };
    let without_unacknowledged: fn(&mut Controller, u64) = |controller, _| {
        controller.disable_check(DisabledCheck::LeaseRenewal(LeaseCheck::UnacknowledgedStarts));
    };
    vec![
        DayKind::isolated_leader("gap", 3_000, isolated_leader_day, None),
        DayKind::isolated_leader("gap-without-stops", 3_238, isolated_leader_day, Some(without_stops)),
        DayKind::isolated_leader("gap-without-margin", 3_000, isolated_leader_day, Some(with_longer_margin)),
        DayKind::isolated_leader("held-starts", 3_500, held_starts_day, None),
        DayKind::isolated_leader(
            "held-starts-without-doubt",
            3_500,
            held_starts_day,
            Some(without_unacknowledged),
        ),
    ]
}

fn day_of_300_machines(seed: u64) -> Simulation {
    recovery::day(seed, Down::InARow, LARGE_RECOVERY_JOBS)
}

fn recovery_kinds() -> Vec<DayKind> {
    vec![
        DayKind::recovery("recovery-of-300-machines", 2_300, day_of_300_machines).at_most(1).slow(),
        DayKind::new("recovery-of-300-machines-part", 2_300, |seed| {
            run_until(day_of_300_machines(seed), LARGE_RECOVERY_PART_MS)
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
            let mut simulation = recovery::day(seed, Down::InARow, 30);
            simulation.injected_fault =
                Some(|controller, _| controller.disable_check(DisabledCheck::HeartbeatCollection));
            simulation
        }),
        DayKind::recovery("forgotten-attempts", 5_000, |seed| {
            let mut simulation = recovery::day_of_quick_returns(seed, 30);
            simulation.duplicate_share = 0.3;
            simulation.injected_fault =
                Some(|controller, _| controller.disable_check(DisabledCheck::UnacknowledgedStarts));
            simulation
        }),
    ]
}

fn bad_input_kinds() -> Vec<DayKind> {
    const JOB_RECORDS: u64 = 9_200;
    const MACHINE_RECORDS: u64 = 9_220;
    let bad_record = |n: u64| BAD[n as usize % BAD.len()];
    let each = BAD.len() as u64;
    vec![
        DayKind::usual("unreadable-job-record", JOB_RECORDS, move |seed| {
            unreadable_job_record(seed, bad_record(seed - JOB_RECORDS))
        })
        .at_most(each),
        DayKind::usual("unreadable-machine-records", MACHINE_RECORDS, move |seed| {
            unreadable_machine_records(seed, bad_record(seed - MACHINE_RECORDS))
        })
        .at_most(each),
        DayKind::usual("impossible-job-records", 9_240, impossible_job_records).at_most(1),
        DayKind::usual("contradicting-reports", 9_260, contradicting_heartbeats).at_most(1),
        DayKind::new("refused-submissions", 9_100, day_of_refused_submissions).at_most(1),
        DayKind::new("submissions-without-machine-types", 9_102, day_without_machine_types).at_most(1),
    ]
}

/// The day of each directed row, unchanged and with the fault of the row's `without` injected.
fn directed_kinds() -> Vec<DayKind> {
    const FIRST_SEED: u64 = 6_000;
    let mut kinds = Vec::new();
    for row in &ROWS {
        let name = row.name.replace([' ', ','], "-");
        kinds.push(DayKind::usual(format!("directed-{name}"), FIRST_SEED, row.day));
        kinds.push(DayKind::usual(format!("directed-{name}-without-guard"), FIRST_SEED, |seed| {
            let mut simulation = (row.day)(seed);
            (row.without)(&mut simulation);
            simulation
        }));
    }
    kinds
}
