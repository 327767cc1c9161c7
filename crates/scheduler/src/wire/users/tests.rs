use super::*;

const VALID: &str = r#"{"id":"req-000412","job_class":"train","owner":"vision","shape":"ensemble","urgency":"urgent","shards":16,
     "vcpus":8.0,"accelerators":1.0,"memory_gb":64.0,"bundle":"img-07","image_gb":6.2,"flavors":["g8"],"region":null,
     "together":true,"spread":false,"preemptible":true,"expected_s":240.0,"snapshot_every_s":30.0,"snapshot_s":4.0,"due_s":900.0}"#;

#[test]
fn valid_submission_is_parsed_with_and_without_optional_fields() {
    let (id, spec) = submission(VALID.as_bytes()).expect("valid");
    assert_eq!(id.as_str(), "req-000412");
    assert_eq!((spec.tasks, spec.job_type, spec.priority), (16, JobType::Gang, Priority::High));
    let minimal = VALID
        .replace("\"region\":null,", "")
        .replace(",\"due_s\":900.0", "")
        .replace("\"flavors\":[\"g8\"],", "");
    let (_, spec) = submission(minimal.as_bytes()).expect("nullable fields may be omitted");
    assert!(spec.types.is_none() && spec.zone.is_none() && spec.deadline.is_none());
}

#[test]
fn dependencies_are_parsed_and_deduplicated() {
    let with =
        |awaits: &str| VALID.replace("\"due_s\":900.0", &format!("\"due_s\":900.0,\"awaits\":{awaits}"));
    let needs = |awaits: &str| submission(with(awaits).as_bytes()).map(|(_, spec)| spec.needs);
    assert_eq!(needs("null"), Ok(Vec::new()));
    assert_eq!(needs("[]"), Ok(Vec::new()));
    assert_eq!(needs(r#"["req-2","req-1","req-2"]"#), Ok(vec!["req-2".into(), "req-1".into()]));
    for invalid in ["\"req-1\"", "[1]", "[\"job-1\"]", "[null]", "{}", "[\"req-1/2\"]"] {
        assert!(needs(invalid).is_err(), "{invalid} must be rejected");
    }
}

#[test]
fn invalid_submissions_are_rejected() {
    for (from, to) in [
        ("req-000412", "job-1"),
        ("req-000412", "req-12/3"),
        ("\"shards\":16", "\"shards\":0"),
        ("\"shards\":16", "\"shards\":100001"),
        ("\"shards\":16", "\"shards\":1.5"),
        ("\"vcpus\":8.0", "\"vcpus\":-8.0"),
        ("\"vcpus\":8.0", "\"vcpus\":1e999"),
        ("\"vcpus\":8.0", "\"vcpus\":\"8\""),
        ("\"memory_gb\":64.0,", ""),
        ("\"ensemble\"", "\"swarm\""),
        ("\"together\":true", "\"together\":1"),
        ("\"due_s\":900.0", "\"due_s\":-1"),
        ("{\"id\"", "[\"id\""),
    ] {
        let body = VALID.replace(from, to);
        assert_ne!(body, VALID, "{from} must occur");
        assert!(submission(body.as_bytes()).is_err(), "{to} must be rejected");
    }
    assert_eq!(
        submission_id(VALID.replace("\"shards\":16", "\"shards\":-1").as_bytes()),
        job_id("req-000412")
    );
}
