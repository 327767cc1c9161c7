use super::*;

#[test]
fn attempts_of_a_later_term_have_higher_numbers() {
    let mut attempts = Attempts::new(FencingToken(5));
    let first = attempts.issue();
    let second = attempts.issue();
    let of_next_leader = Attempts::new(FencingToken(6)).issue();
    assert!(first < second && second < of_next_leader);
}
