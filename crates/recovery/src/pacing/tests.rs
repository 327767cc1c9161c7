use super::*;

const T: fn(u64) -> MonotonicTime = MonotonicTime::from_millis;

#[test]
fn costly_work_leaves_its_rest_to_others_and_cheap_work_comes_as_often_as_it_may() {
    let mut pace = Pacer::new(Duration::from_millis(100), 3.0, T(0));
    let (mut now, mut worked) = (0, 0);
    while now < 30_000 {
        let cost = if now < 15_000 { 5 } else { 400 };
        if pace.due(T(now)) {
            pace.begins(T(now));
            worked += cost;
            now += cost;
            pace.cost(Duration::from_millis(cost), T(now));
        } else {
            // Steps without the work say nothing of its cost.
            pace.cost(Duration::from_millis(900), T(now));
            now += 1;
        }
    }
    let cheap = 15_000 / 105 * 5;
    assert!((cheap..cheap + 15_000 / 4 + 500).contains(&worked), "{worked} ms");
}
