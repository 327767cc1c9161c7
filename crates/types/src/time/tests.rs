use super::*;

#[test]
fn time_arithmetic_saturates_at_zero() {
    let early = MonotonicTime::from_millis(10);
    let late = MonotonicTime::from_millis(25);
    assert_eq!(late.since(early), Duration::from_millis(15));
    assert_eq!(early.since(late), Duration::default());
    assert_eq!(early.before(Duration::from_millis(15)), MonotonicTime::default());
    assert_eq!(early + Duration::from_millis(15), late);
}

#[test]
fn seconds_are_rounded_down_to_milliseconds() {
    assert_eq!(Duration::from_secs_f64(1.2345), Duration::from_millis(1234));
    assert_eq!(Duration::from_secs_f64(-1.0), Duration::default());
    assert_eq!(Duration::from_secs_f64(f64::NAN), Duration::default());
    assert_eq!(Duration::from_millis(1001).times(0.5), Duration::from_millis(500));
    assert_eq!(
        std::time::Duration::from(Duration::from_millis(1234)),
        std::time::Duration::from_millis(1234)
    );
}
