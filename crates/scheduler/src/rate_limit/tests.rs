use super::*;

#[test]
fn a_budget_bounds_the_rate_and_allows_a_burst() {
    let mut b = TokenBucket::new(10.0);
    let taken = (0..100).filter(|_| b.take(1.0, MonotonicTime::from_millis(5))).count();
    assert_eq!(taken, 10);
    assert!(!b.take(1.0, MonotonicTime::from_millis(50)));
    assert!(b.take(1.0, MonotonicTime::from_millis(110)));
    assert!(
        b.take(12.0, MonotonicTime::from_millis(5000)),
        "more than the bucket holds passes when it is full"
    );
    assert!(!b.take(1.0, MonotonicTime::from_millis(5100)));
    // Users submit all jobs of a pipeline over one connection, that is at one node.
    let mut b = TokenBucket::bursting(5.0, 15.0);
    assert_eq!((0..100).filter(|_| b.take(1.0, MonotonicTime::from_millis(5))).count(), 15);
    assert_eq!((0..100).filter(|_| b.take(1.0, MonotonicTime::from_millis(1005))).count(), 5);
}
