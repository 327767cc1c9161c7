use super::*;

#[test]
fn parses_generated_ids_and_rejects_other_text() {
    let hash = NameHash::of("red", "x");
    let parsed = |id: &str| parse(id).expect("a generated id is parsed");
    assert_eq!(
        parsed(&of_version(&hash, 7)),
        Id { hash: hash.as_str()[..16].into(), version: 7, task: None }
    );
    assert_eq!(parsed(&of_task(&hash, 7, 5, 99_999)).task, Some((5, 99_999)));
    for bad in ["", "x", "00000000-0000-0000-0000-00000000000g", "0000000000000000000000000000000é"] {
        assert_eq!(parse(bad), None, "{bad}");
    }
}
