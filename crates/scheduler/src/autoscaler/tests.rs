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
        price_capped: false,
    }
}

#[test]
fn cheapest_fitting_offer_is_rented_unless_incoming_machines_suffice() {
    let mut offers = instance_offers();
    let now = MonotonicTime::from_millis(0);
    let plan = |offers: &mut InstanceOffers, request: CapacityRequest, incoming: Vec<IncomingCapacity>| {
        offers.plan(vec![request], incoming, &BTreeMap::new(), now)
    };
    let offer =
        |name: &str, zone: &str, spot| InstanceOffer { type_name: name.into(), zone: zone.into(), spot };
    let one = |name: &str, zone: &str, spot| Rental { offer: offer(name, zone, spot), number: 1 };
    assert_eq!(plan(&mut offers, capacity_request(1, 1.0, false), vec![]), [one("small", "a", false)]);
    assert_eq!(plan(&mut offers, capacity_request(8, 1.0, false), vec![]), [one("big", "a", false)]);
    assert_eq!(plan(&mut offers, capacity_request(1, 8.0, true), vec![]), [one("big", "a", true)]);
    let resources = Resources { cpus: 8.0, gpus: 2.0, memory_gb: 8.0 };
    let incoming = vec![IncomingCapacity { offer: offer("small", "b", false), free: resources, number: 1 }];
    assert_eq!(plan(&mut offers, capacity_request(2, 1.0, false), incoming), []);
    offers.refuse(offer("small", "a", true), MonotonicTime::from_millis(9));
    offers.refuse(offer("small", "b", true), MonotonicTime::from_millis(9));
    let mut request = capacity_request(1, 1.0, true);
    assert_eq!(plan(&mut offers, request.clone(), vec![]), [one("small", "a", false)]);
    request.price_capped = true;
    assert_eq!(
        plan(&mut offers, request, vec![]),
        [],
        "the remaining offer costs three times the cheapest price"
    );
    offers.refuse(offer("small", "a", false), MonotonicTime::from_millis(9));
    assert_eq!(plan(&mut offers, capacity_request(1, 1.0, false), vec![]), [one("small", "b", false)]);
}

/// Guards against planning for only the first few hundred waiting tasks: while their machines booted, none
/// were rented for the other tasks.
#[test]
fn all_waiting_tasks_get_machines_and_together_restricts_to_one_zone() {
    let mut offers = instance_offers();
    let now = MonotonicTime::from_millis(0);
    let count = |plan: Vec<Rental>| plan.iter().map(|rental| rental.number).sum::<u32>();
    let mut many = capacity_request(8000, 1.0, true);
    many.types = Some(vec!["big".into()]);
    assert_eq!(count(offers.plan(vec![many], vec![], &BTreeMap::new(), now)), 1000);
    let mut gang = capacity_request(2, 2.0, false);
    gang.together = true;
    let resources = Resources { cpus: 8.0, gpus: 2.0, memory_gb: 8.0 };
    let small = |zone: &str| InstanceOffer { type_name: "small".into(), zone: zone.into(), spot: false };
    let incoming = |zone: &str, number| IncomingCapacity { offer: small(zone), free: resources, number };
    let plan =
        offers.plan(vec![gang.clone()], vec![incoming("a", 1), incoming("b", 2)], &BTreeMap::new(), now);
    assert_eq!(plan, [], "the incoming machines in zone b hold the gang");
    gang.types = Some(vec!["small".into()]);
    let plan = offers.plan(vec![gang], vec![incoming("b", 1)], &BTreeMap::new(), now);
    assert_eq!(plan, [Rental { offer: small("b"), number: 1 }]);
}
