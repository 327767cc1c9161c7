use super::*;

fn keys(platform: &str, operator: Option<&str>) -> Vec<String> {
    match parse(SourceFile::new("p", platform), operator.map(|text| SourceFile::new("o", text))) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.into_iter().map(|fault| fault.key).collect(),
    }
}

#[test]
fn sample_is_accepted_and_unknown_platform_fields_are_ignored() {
    let settings = parse(SourceFile::new("p", SAMPLE), None).expect("the sample is valid");
    assert_eq!(settings.peers.len(), 2);
    assert_eq!(settings.teams[&TeamName::from("red")].max_gpus, Some(12.0));
    assert_eq!(settings.teams[&TeamName::from("red")].max_cpus, None);
}

#[test]
fn every_fault_names_its_key() {
    assert_eq!(keys(&SAMPLE.replace("site = \"z0\"\n", ""), None), ["site"]);
    assert_eq!(
        keys(&SAMPLE.replace("10.2.0.1:2", "nowhere").replace("lease_s = 18.0", "lease_s = -1"), None),
        ["facts.workers.lease_s", "outside.state"]
    );
    assert_eq!(keys(SAMPLE, Some("idle_return: 3")), ["idle_return"]);
    assert_eq!(keys(SAMPLE, Some("rent_at_most: 51\nround_tasks: 0")), ["rent_at_most", "round_tasks"]);
    assert_eq!(keys(SAMPLE, Some("# nothing\n")), Vec::<String>::new());
}

#[test]
fn next_store_limits_are_checked_like_the_present_ones() {
    let with =
        |next: &str| SAMPLE.replace("[facts.cloud]", &format!("[facts.state.next]\n{next}\n[facts.cloud]"));
    assert_eq!(
        keys(&with("value_kb = 0\nwrite_rps = -1.0\ntxn_ops = 1"), None),
        ["facts.state.next.write_rps", "facts.state.next.value_kb", "facts.state.next.txn_ops"]
    );
    let text = with("value_kb = 2.0\ntxn_ops = 40\nlater = 1");
    let settings = parse(SourceFile::new("p", &text), None).expect("valid");
    // The stricter of the present and the next limit applies.
    assert_eq!(
        (settings.state.value_bytes, settings.state.txn_ops, settings.state.write_rps),
        (2000, 12, 100.0)
    );
}
