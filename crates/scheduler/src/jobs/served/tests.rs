use super::*;

#[test]
fn classes_are_bounded_and_nothing_is_left_out() {
    let (mut served, mut spec) = (Served::default(), crate::jobs::tests::spec());
    for i in 0..MOST + 40 {
        spec.kind = format!("c{i}").as_str().into();
        served.count(Stage::Accepted, &spec);
    }
    let mut all = Served::default();
    all.add(served.clone());
    all.add(served);
    let mut lines = Vec::new();
    all.metrics(&mut lines);
    assert_eq!(lines.len(), MOST + 1);
    assert_eq!(lines.last().map(String::as_str), Some("pearford_jobs_accepted{class=\"\",team=\"\"} 80"));
    assert!(lines[0].ends_with(" 2"), "{}", lines[0]);
}
