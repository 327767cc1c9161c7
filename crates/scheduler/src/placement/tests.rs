use super::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const FACTORS: Factors =
    Factors { degraded: 0.5, unknown: 0.8, empty: 0.5, on_demand: 0.3, fetch_half_s: 5.0 };

fn view(id: &str, zone: &str, gpus: f64, empty: bool) -> MachineView {
    MachineView {
        id: id.into(),
        type_name: "t".into(),
        zone: zone.into(),
        spot: false,
        free: Resources { cpus: 99.0, gpus, memory_gb: 99.0 },
        total: Resources { cpus: 99.0, gpus: if empty { gpus } else { 2.0 * gpus }, memory_gb: 99.0 },
        empty,
        health: Health::Healthy,
        images: Vec::new(),
        fetching: Vec::new(),
        fetch_gb_per_s: 0.2,
        held_for: None,
    }
}

fn request(job_type: JobType, tasks: u32, together: bool) -> PlacementRequest {
    PlacementRequest {
        job: "req-1".into(),
        kind: "k".into(),
        job_type,
        tasks: (0..tasks).collect(),
        resources: Resources { cpus: 1.0, gpus: 1.0, memory_gb: 1.0 },
        types: None,
        spot: true,
        zones: vec![("a".into(), 99), ("b".into(), 99)],
        together,
        image: "i".into(),
        image_gb: 1.0,
    }
}

#[test]
fn gang_is_placed_whole_or_not_at_all_and_in_one_zone_if_together() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut machines =
            [view("m1", "a", 2.0, true), view("m2", "b", 2.0, true), view("m3", "b", 1.0, true)];
        let got = round(
            &mut machines,
            &[request(JobType::Gang, 3, true)],
            &SuccessCounts::default(),
            &FACTORS,
            &mut rng,
        );
        assert_eq!(got.len(), 3, "zone b holds the gang, whichever zone is sampled first (seed {seed})");
        assert!(got.iter().all(|p| p.machine != "m1".into()));
        let mut machines = [view("m1", "a", 2.0, true), view("m2", "b", 2.0, true)];
        let requests = [request(JobType::Gang, 5, false)];
        assert!(round(&mut machines, &requests, &SuccessCounts::default(), &FACTORS, &mut rng).is_empty());
        assert_eq!(machines[0].free.gpus, 2.0, "a gang that doesn't fit reserves nothing");
    }
}

#[test]
fn failures_and_being_empty_lower_the_score() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut counts = SuccessCounts::default();
    for _ in 0..20 {
        counts.record(&PlacementOutcome { machine: "bad".into(), kind: "k".into(), success: false });
        counts.record(&PlacementOutcome { machine: "good".into(), kind: "other".into(), success: true });
    }
    let mut bad = 0;
    let mut empty = 0;
    for _ in 0..200 {
        let mut machines = [view("bad", "a", 1.0, false), view("good", "a", 1.0, false)];
        let p = round(&mut machines, &[request(JobType::Array, 1, false)], &counts, &FACTORS, &mut rng);
        bad += u32::from(p[0].machine == "bad".into());
        let mut machines = [view("x", "a", 1.0, true), view("y", "a", 1.0, false)];
        let p = round(&mut machines, &[request(JobType::Array, 1, false)], &counts, &FACTORS, &mut rng);
        empty += u32::from(p[0].machine == "x".into());
    }
    assert!(bad < 10, "a class without outcomes uses the counts over all classes: {bad}");
    assert!((20..90).contains(&empty), "an empty machine is chosen less often: {empty}");
}

#[test]
fn a_machine_with_the_image_is_preferred() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut counts = SuccessCounts::default();
    for m in ["has", "lacks"] {
        for _ in 0..20 {
            counts.record(&PlacementOutcome { machine: m.into(), kind: "k".into(), success: true });
        }
    }
    let won = (0..100).filter(|_| {
        let mut machines = [view("has", "a", 1.0, false), view("lacks", "a", 1.0, false)];
        machines[0].images.push("i".into());
        let p = round(&mut machines, &[request(JobType::Array, 1, false)], &counts, &FACTORS, &mut rng);
        p[0].machine == "has".into()
    });
    assert!(won.count() > 90);
}

/// Two images fetched at the same time take twice as long each, but one image fetched for two tasks doesn't.
#[test]
fn a_machine_that_fetches_another_image_is_avoided() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut counts = SuccessCounts::default();
    for m in ["busy", "quiet", "same"] {
        for _ in 0..20 {
            counts.record(&PlacementOutcome { machine: m.into(), kind: "k".into(), success: true });
        }
    }
    let mut won = |a: &str, b: &str| {
        let rounds = (0..100).filter(|_| {
            let mut machines = [view(a, "a", 1.0, false), view(b, "a", 1.0, false)];
            for m in machines.iter_mut().filter(|m| m.id != "quiet".into()) {
                m.fetching.push(if m.id == "busy".into() { "j".into() } else { "i".into() });
            }
            let p = round(&mut machines, &[request(JobType::Array, 1, false)], &counts, &FACTORS, &mut rng);
            p[0].machine == a.into()
        });
        rounds.count()
    };
    assert!(won("quiet", "busy") > 90);
    assert!(won("same", "quiet") > 90);
}

/// Guards against repeated preemption for a task that needs a whole machine: small tasks of other jobs took
/// the freed resources one by one, so that more tasks were preempted each time.
#[test]
fn machine_held_for_a_job_takes_no_task_of_another() {
    let mut rng = StdRng::seed_from_u64(4);
    let mut machines = [view("m1", "a", 9.0, false)];
    machines[0].held_for = Some("req-2".into());
    let mut a = request(JobType::Array, 1, false);
    let requests = [a.clone()];
    assert!(round(&mut machines, &requests, &SuccessCounts::default(), &FACTORS, &mut rng).is_empty());
    a.job = "req-2".into();
    assert_eq!(round(&mut machines, &[a], &SuccessCounts::default(), &FACTORS, &mut rng).len(), 1);
}

#[test]
fn zone_limits_hold_within_a_round() {
    let mut rng = StdRng::seed_from_u64(2);
    let mut machines = [view("m1", "a", 9.0, true), view("m2", "b", 9.0, true)];
    let mut a = request(JobType::Service, 5, false);
    a.zones = vec![("a".into(), 3), ("b".into(), 1)];
    let got = round(&mut machines, &[a], &SuccessCounts::default(), &FACTORS, &mut rng);
    assert_eq!(got.iter().filter(|p| p.machine == "m1".into()).count(), 3);
    assert_eq!(got.len(), 4);
}
