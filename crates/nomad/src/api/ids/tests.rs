use super::*;

#[test]
fn ids_are_read_back_and_others_refused() {
    let hash = NameHash::of("red", "x");
    let of = |id: &str| parse(id).expect("an id of ours");
    assert_eq!(of(&of_version(&hash, 7)), Id { hash: hash.as_str()[..16].into(), version: 7, task: None });
    assert_eq!(of(&of_task(&hash, 7, 5, 99_999)).task, Some((5, 99_999)));
    for bad in ["", "x", "00000000-0000-0000-0000-00000000000g", "0000000000000000000000000000000é"] {
        assert_eq!(parse(bad), None, "{bad}");
    }
}
