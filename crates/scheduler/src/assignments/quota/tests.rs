use super::*;

fn cpus(cpus: f64) -> Resources {
    Resources { cpus, ..Resources::default() }
}

fn team(max_cpus: Option<f64>) -> Team {
    Team { name: "red".into(), guaranteed_cpus: None, guaranteed_gpus: None, max_cpus, max_gpus: None }
}

#[test]
fn team_can_use_its_exact_decimal_limit_and_no_more() {
    let team = team(Some(0.3));
    assert_eq!(tasks_within_limit(&team, &cpus(0.1), &cpus(0.1)), 2);
    assert!(within_limit(&team, &cpus(0.1 + 0.1), &cpus(0.1)));
    assert!(!within_limit(&team, &cpus(0.3), &cpus(0.1)));
    assert_eq!(tasks_within_limit(&team, &cpus(0.5), &cpus(0.1)), 0);
}

#[test]
fn team_without_limits_is_unbounded() {
    assert_eq!(tasks_within_limit(&team(None), &cpus(1e9), &cpus(1.0)), u32::MAX);
    assert!(within_limit(&team(None), &cpus(1e9), &cpus(1.0)));
}
