use super::*;

const INTERVAL_MS: u64 = 100;
const REST_FACTOR: f64 = 3.0;
const CHEAP_COST_MS: u64 = 5;
const HIGH_COST_MS: u64 = 400;
const CHEAP_UNTIL_MS: u64 = 15_000;
const END_MS: u64 = 30_000;

#[test]
fn costly_work_pauses_in_proportion_to_its_cost_and_cheap_work_runs_every_interval() {
    let at_ms = MonotonicTime::from_millis;
    let mut pacer = Pacer::new(Duration::from_millis(INTERVAL_MS), REST_FACTOR, at_ms(0));
    let mut now = 0;
    let mut worked = 0;
    while now < END_MS {
        let cost = if now < CHEAP_UNTIL_MS { CHEAP_COST_MS } else { HIGH_COST_MS };
        if pacer.is_due(at_ms(now)) {
            pacer.begin(at_ms(now));
            worked += cost;
            now += cost;
            pacer.record_cost(Duration::from_millis(cost), at_ms(now));
        } else {
            // The cost of a step without the work is ignored.
            pacer.record_cost(Duration::from_millis(900), at_ms(now));
            now += 1;
        }
    }
    let cheap = CHEAP_UNTIL_MS / (INTERVAL_MS + CHEAP_COST_MS) * CHEAP_COST_MS;
    let costly = (END_MS - CHEAP_UNTIL_MS) / 4;
    assert!((cheap..cheap + costly + 500).contains(&worked), "the work took {worked} ms");
}
