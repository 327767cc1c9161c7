use super::*;

#[test]
fn names_of_any_script_and_length_get_distinct_keys_and_ids() {
    let long = "x".repeat(512);
    let names = ["a", "b", "ab", "a b", "señal", "地震", "рой", "j/x", long.as_str()];
    let mut keys = std::collections::BTreeSet::new();
    let mut ids = std::collections::BTreeSet::new();
    for namespace in ["", "a", "default", "地"] {
        for name in names {
            let hash = NameHash::of(namespace, name);
            let key = hash.version_key(u64::MAX);
            assert!(key.len() <= 200 && !key.contains(' '), "{key}");
            assert!(keys.insert(hash.key()), "{namespace}/{name}");
            for (version, group, part) in [(0, "g", 0), (0, "g", 1), (1, "g", 0), (0, "h", 0), (0, "g0", 0)] {
                let id = part_id(&hash, version, group, part, 0);
                assert!(pearford_scheduler::wire::users::job_id(id.as_str()).is_some(), "{id}");
                assert!(ids.insert(id), "{namespace}/{name} {version} {group} {part}");
            }
        }
    }
}

#[test]
fn version_record_returns_its_job_unless_it_decompresses_beyond_the_limit() {
    let job = serde_json::json!({"ID": "x", "Meta": {"k": "v".repeat(40_000)}});
    let record = VersionRecord::new("d", 7, &job);
    assert!(record.to_value().len() < 1000, "{}", record.to_value().len());
    assert_eq!(record.job(), Some(job));
    let oversized = VersionRecord::new("d", 7, &serde_json::json!("x".repeat(2 * MAX_JOB_BYTES)));
    assert_eq!(oversized.job(), None);
}
