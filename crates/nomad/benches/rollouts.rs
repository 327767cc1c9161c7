//! An hour of rolls in the seeded world: what they write, against the state service's rate of changes and
//! against the same changes of version made natively (submit the new, cancel the old).
//! `cargo bench -p pearford-nomad --bench rollouts`

use pearford_nomad::api::NomadApi;
use pearford_nomad::operator::NomadSettings;
use pearford_scheduler::extension::{Call, Extension, Verb};
use pearford_scheduler::simulation::Simulation;
use serde_json::json;

const HOUR_MS: u64 = 3_600_000;
const SERVICES: u64 = 3;
const EVERY_MS: u64 = 60_000;

fn api() -> Box<dyn Extension> {
    Box::new(NomadApi::new(NomadSettings::default()).expect("the defaults are valid"))
}

/// Plays an hour with services of `count` replicas; gives rolls and changes under both prefixes.
fn play(count: u32) -> (u64, usize, usize, u64) {
    let mut w = Simulation::new(5).with_extension(api);
    w.run_until(5_000);
    let (mut rollouts, mut refused, mut run) = (0, 0, 0);
    while w.now < HOUR_MS {
        for service in 0..SERVICES {
            let body = json!({"Job": {"ID": format!("svc-{service}"), "Namespace": "red", "Type": "service",
                "Meta": {"pearford_image_gb": "1", "pearford_run": run.to_string()},
                "Update": {"MinHealthyTime": 2_000_000_000u64},
                "TaskGroups": [{"Name": "g", "Count": count, "Tasks": [{"Name": "t", "Driver": "docker", "Config": {"image": "img"},
                    "Resources": {"Cores": 1, "MemoryMB": 512, "Devices": [{"Name": "gpu", "Count": 1}]}}]}]}});
            let call = Call {
                verb: Verb::Post,
                path: "/v1/jobs".into(),
                query: "namespace=red".into(),
                token: None,
                body: body.to_string().into_bytes(),
            };
            w.call((service + run) as usize % 3, 1, call);
            rollouts += 1;
        }
        run += 1;
        let next = w.now + EVERY_MS;
        w.run_until(next);
        refused += w.answers.drain(..).filter(|a| a.status != 200).count() as u64;
        assert!(w.rules.broken.is_empty(), "{:?}", w.rules.broken);
    }
    (rollouts, w.state.changes("nomad/"), w.state.changes("j/"), refused)
}

fn main() {
    for count in [1, 2, 4] {
        let (rollouts, own, jobs, refused) = play(count);
        let rate = 100.0 * HOUR_MS as f64 / 1000.0;
        let all = (own + jobs) as f64;
        println!(
            "{SERVICES} services of {count}: {rollouts} versions ({refused} refused), {own} changes of names and versions, {jobs} of \
             native jobs: {:.1} a version, {:.2} of what native changes take, {:.2}% of a rate of 100 a second",
            all / rollouts as f64,
            all / (2 * rollouts) as f64,
            100.0 * all / rate
        );
    }
}
