use super::*;

fn instance_offers() -> InstanceOffers {
    let types = serde_json::from_str(
            r#"[{"name":"small","vcpus":8,"accelerators":2,"memory_gb":8,"hourly":6.0,"low_price":2.0,"regions":["a","b"]},
                {"name":"big","vcpus":32,"accelerators":8,"memory_gb":32,"hourly":16.0,"low_price":8.0,"regions":["a"]}]"#,
        )
        .expect("valid");
    InstanceOffers::new(types)
}

fn capacity_request(tasks: u32, gpus: f64, spot: bool) -> CapacityRequest {
    CapacityRequest {
        tasks,
        resources: Resources { cpus: 1.0, gpus, memory_gb: 1.0 },
        types: None,
        spot,
        zones: vec![("a".into(), 99_999), ("b".into(), 99_999)],
        together: false,
        patient: false,
    }
}

#[test]
fn the_cheapest_adequate_offer_is_rented_and_what_is_coming_counts() {
    let mut m = instance_offers();
    let now = MonotonicTime::from_millis(0);
    let plan = |m: &mut InstanceOffers, n: CapacityRequest, c: Vec<IncomingCapacity>| {
        m.plan(vec![n], c, &BTreeMap::new(), now)
    };
    let instance_offer = |t: &str, z: &str, spot| InstanceOffer { type_name: t.into(), zone: z.into(), spot };
    assert_eq!(
        plan(&mut m, capacity_request(1, 1.0, false), vec![]),
        [(instance_offer("small", "a", false), 1)]
    );
    assert_eq!(
        plan(&mut m, capacity_request(8, 1.0, false), vec![]),
        [(instance_offer("big", "a", false), 1)]
    );
    assert_eq!(plan(&mut m, capacity_request(1, 8.0, true), vec![]), [(instance_offer("big", "a", true), 1)]);
    let resources = Resources { cpus: 8.0, gpus: 2.0, memory_gb: 8.0 };
    let incoming = vec![IncomingCapacity {
        instance_offer: instance_offer("small", "b", false),
        free: resources,
        number: 1,
    }];
    assert_eq!(plan(&mut m, capacity_request(2, 1.0, false), incoming), []);
    m.refuse(instance_offer("small", "a", true), MonotonicTime::from_millis(9));
    m.refuse(instance_offer("small", "b", true), MonotonicTime::from_millis(9));
    let mut patient = capacity_request(1, 1.0, true);
    assert_eq!(plan(&mut m, patient.clone(), vec![]), [(instance_offer("small", "a", false), 1)]);
    patient.patient = true;
    assert_eq!(plan(&mut m, patient, vec![]), [], "three times the price, and it can wait");
    m.refuse(instance_offer("small", "a", false), MonotonicTime::from_millis(9));
    assert_eq!(
        plan(&mut m, capacity_request(1, 1.0, false), vec![]),
        [(instance_offer("small", "b", false), 1)]
    );
}

/// Only the first few hundred waiting tasks were looked at: while their machines booted, no
/// more were rented for those behind them.
#[test]
fn all_that_waits_gets_machines_and_together_means_one_zone() {
    let mut m = instance_offers();
    let now = MonotonicTime::from_millis(0);
    let count = |plan: Vec<(InstanceOffer, u32)>| plan.iter().map(|(_, n)| *n).sum::<u32>();
    let mut many = capacity_request(8000, 1.0, true);
    many.types = Some(vec!["big".into()]);
    assert_eq!(count(m.plan(vec![many], vec![], &BTreeMap::new(), now)), 1000);
    let mut gang = capacity_request(2, 2.0, false);
    gang.together = true;
    let resources = Resources { cpus: 8.0, gpus: 2.0, memory_gb: 8.0 };
    let small = |z: &str| InstanceOffer { type_name: "small".into(), zone: z.into(), spot: false };
    let one = |z: &str, number| IncomingCapacity { instance_offer: small(z), free: resources, number };
    let plan = m.plan(vec![gang.clone()], vec![one("a", 1), one("b", 2)], &BTreeMap::new(), now);
    assert_eq!(plan, [], "zone b holds it");
    gang.types = Some(vec!["small".into()]);
    let plan = m.plan(vec![gang], vec![one("b", 1)], &BTreeMap::new(), now);
    assert_eq!(plan, [(small("b"), 1)]);
}
