use super::*;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// How many of 100 single operations pass at `now`.
fn passed_at(bucket: &mut TokenBucket, now: MonotonicTime) -> usize {
    (0..100).filter(|_| bucket.take(1.0, now)).count()
}

#[test]
fn a_bucket_bounds_the_rate_and_allows_a_burst() {
    let mut bucket = TokenBucket::new(10.0);
    assert_eq!(passed_at(&mut bucket, at(5)), 10);
    assert!(!bucket.take(1.0, at(50)));
    assert!(bucket.take(1.0, at(110)));
    assert!(bucket.take(12.0, at(5000)), "more than the bucket holds passes when it is full");
    assert!(!bucket.take(1.0, at(5100)));
}

/// Users submit all jobs of a pipeline over one connection, that is at one node.
#[test]
fn a_burst_may_be_larger_than_a_second_of_the_rate() {
    let mut bucket = TokenBucket::with_burst(5.0, 15.0);
    assert_eq!(passed_at(&mut bucket, at(5)), 15);
    assert_eq!(passed_at(&mut bucket, at(1005)), 5);
}

#[test]
fn a_settled_cost_is_taken_or_returned() {
    let mut bucket = TokenBucket::new(10.0);
    assert!(bucket.take(4.0, at(0)));
    assert!(bucket.is_ample(at(0)), "6 of 10 are left");
    bucket.adjust(2.0);
    assert!(!bucket.is_ample(at(0)), "4 of 10 are left");
    bucket.adjust(-20.0);
    assert_eq!(passed_at(&mut bucket, at(0)), 10, "never more than a burst");
}
