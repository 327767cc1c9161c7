use super::*;

#[test]
fn attempts_of_a_later_leader_are_later() {
    let mut a = Attempts::new(FencingToken(5));
    let (x, y) = (a.issue(), a.issue());
    assert!(x < y && y < Attempts::new(FencingToken(6)).issue());
}
