use super::*;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// How many of 100 single operations pass at `now`.
fn passed_at(bucket: &mut TokenBucket, now: MonotonicTime) -> usize {
    (0..100).filter(|_| bucket.take(1.0, now)).count()
}

#[test]
fn bucket_limits_the_rate_and_allows_a_burst() {
    let mut bucket = TokenBucket::new(10.0);
    assert_eq!(passed_at(&mut bucket, at(5)), 10);
    assert!(!bucket.take(1.0, at(50)));
    assert!(bucket.take(1.0, at(110)));
    assert!(
        bucket.take(12.0, at(5000)),
        "an operation larger than the bucket passes when the bucket is full"
    );
    assert!(!bucket.take(1.0, at(5100)));
}

/// Users submit all jobs of a pipeline over one connection, and so to one node: its bucket has to allow a
/// burst that exceeds a second of its rate.
#[test]
fn burst_may_exceed_one_second_of_the_rate() {
    let mut bucket = TokenBucket::with_burst(5.0, 15.0);
    assert_eq!(passed_at(&mut bucket, at(5)), 15);
    assert_eq!(passed_at(&mut bucket, at(1005)), 5);
}

#[test]
fn adjustment_takes_or_returns_tokens() {
    let mut bucket = TokenBucket::new(10.0);
    assert!(bucket.take(4.0, at(0)));
    assert!(bucket.is_ample(at(0)), "6 of 10 are left");
    bucket.adjust(2.0);
    assert!(!bucket.is_ample(at(0)), "4 of 10 are left");
    bucket.adjust(-20.0);
    assert_eq!(passed_at(&mut bucket, at(0)), 10, "returned tokens don't exceed the capacity");
}
