//! Native jobs written as job files and translated back are the same.

use pearford_nomad::operator::NomadSettings;
use pearford_nomad::source;
use pearford_nomad::translate::Context;
use pearford_scheduler::jobs::{JobSpec, JobType, Priority};
use pearford_scheduler::types::{Duration, JobId, Resources, TypeName};
use proptest::prelude::*;

/// GPUs in one `device` block or in several: the sum is what counts.
fn devices(spec: &JobSpec, split: u32) -> Vec<u32> {
    let gpus = spec.resources.gpus as u32;
    let first = if gpus > 1 { split % gpus } else { 0 };
    [first, gpus - first].into_iter().filter(|n| *n > 0).collect()
}

fn meta(spec: &JobSpec) -> Vec<(String, String)> {
    let mut meta = vec![
        ("class", spec.kind.to_string()),
        ("image_gb", spec.image_gb.to_string()),
        ("snapshot_every_s", spec.checkpoint_interval.as_secs_f64().to_string()),
        ("snapshot_s", spec.checkpoint_duration.as_secs_f64().to_string()),
        ("together", spec.together.to_string()),
        ("spot", spec.spot.to_string()),
        ("gang", (spec.job_type == JobType::Gang).to_string()),
    ];
    if spec.job_type != JobType::Service {
        meta.push(("expected_s", spec.estimate.as_secs_f64().to_string()));
    }
    if let Some(due) = spec.deadline {
        meta.push(("due_s", due.as_secs_f64().to_string()));
    }
    if !spec.needs.is_empty() {
        meta.push(("awaits", spec.needs.iter().map(JobId::as_str).collect::<Vec<_>>().join(",")));
    }
    meta.into_iter().map(|(k, v)| (format!("pearford_{k}"), v)).collect()
}

fn priority(spec: &JobSpec) -> u32 {
    match spec.priority {
        Priority::Low => 10,
        Priority::Normal => 50,
        Priority::High => 70,
        Priority::Production => 90,
    }
}

fn class_constraint(spec: &JobSpec) -> Option<(&'static str, String)> {
    let types = spec.types.as_ref()?;
    let list = types.iter().map(TypeName::as_str).collect::<Vec<_>>().join(", ");
    Some((if types.len() == 1 { "=" } else { "set_contains_any" }, list))
}

fn kind(spec: &JobSpec) -> &'static str {
    if spec.job_type == JobType::Service { "service" } else { "batch" }
}

fn as_hcl(spec: &JobSpec, split: u32) -> String {
    let mut out = format!(
        "job \"j\" {{\n  type = \"{}\"\n  namespace = \"{}\"\n  priority = {}\n",
        kind(spec),
        spec.team,
        priority(spec)
    );
    if let Some(zone) = &spec.zone {
        out += &format!("  datacenters = [\"{zone}\"]\n");
    }
    if spec.spread {
        out += "  spread {\n    attribute = \"${node.datacenter}\"\n  }\n";
    }
    if let Some((operator, value)) = class_constraint(spec) {
        out += &format!(
            "  constraint {{\n    attribute = \"${{node.class}}\"\n    operator = \"{operator}\"\n    value = \"{value}\"\n  }}\n"
        );
    }
    out += "  meta {\n";
    for (k, v) in meta(spec) {
        out += &format!("    {k} = \"{v}\"\n");
    }
    out += &format!(
        "  }}\n  group \"g\" {{\n    count = {}\n    task \"t\" {{\n      driver = \"docker\"\n      config {{\n        image = \"{}\"\n      }}\n      resources {{\n        cores = {}\n        memory = {}\n",
        spec.tasks,
        spec.image,
        spec.resources.cpus,
        spec.resources.memory_gb * 1024.0
    );
    for count in devices(spec, split) {
        out += &format!("        device \"nvidia/gpu\" {{\n          count = {count}\n        }}\n");
    }
    out + "      }\n    }\n  }\n}\n"
}

fn as_json(spec: &JobSpec, split: u32) -> String {
    let devices: Vec<_> =
        devices(spec, split).iter().map(|n| serde_json::json!({"Name": "gpu", "Count": n})).collect();
    let constraints: Vec<_> = class_constraint(spec)
        .iter()
        .map(|(o, v)| serde_json::json!({"LTarget": "${node.class}", "Operand": null, "Operator": o, "RTarget": v}))
        .collect();
    let spreads = if spec.spread {
        serde_json::json!([{"Attribute": "${node.datacenter}", "Weight": 50}])
    } else {
        serde_json::Value::Null
    };
    serde_json::json!({"Job": {
        "ID": "j", "Name": "j", "Type": kind(spec), "Namespace": spec.team, "Priority": priority(spec),
        "Datacenters": spec.zone.as_ref().map_or(vec!["*".to_string()], |z| vec![z.to_string()]),
        "Spreads": spreads, "Constraints": constraints,
        "Meta": meta(spec).into_iter().collect::<std::collections::BTreeMap<_, _>>(),
        "TaskGroups": [{"Name": "g", "Count": spec.tasks, "Tasks": [{
            "Name": "t", "Driver": "docker", "Config": {"image": spec.image}, "KillTimeout": 5_000_000_000u64,
            "Resources": {"Cores": spec.resources.cpus as u32, "CPU": 0, "MemoryMB": (spec.resources.memory_gb * 1024.0) as u64, "Devices": devices},
        }]}],
    }})
    .to_string()
}

prop_compose! {
    fn a_spec()(
        job_type in prop_oneof![Just(JobType::Array), Just(JobType::Gang), Just(JobType::Service)],
        priority in prop_oneof![Just(Priority::Low), Just(Priority::Normal), Just(Priority::High), Just(Priority::Production)],
        names in ("[a-z][a-z0-9-]{0,20}", "[a-z][a-z0-9-]{0,20}", "[a-z][a-z0-9./:-]{0,40}"),
        tasks in 1u32..=100_000,
        (cpus, gpus, memory_mb) in (1u32..512, 0u32..64, 1u32..4_000_000),
        (image_gb, estimate, checkpoint, save) in (0u64..100, 0u64..100_000, 0u64..1000, 0u64..100),
        types in proptest::option::of(proptest::collection::vec("[a-z][a-z0-9]{0,8}", 1..4)),
        zone in proptest::option::of("[a-z][a-z0-9]{0,8}"),
        deadline in proptest::option::of(1u64..100_000),
        needs in proptest::collection::btree_set(0u64..1_000_000, 0..4),
        (placing, spot) in (0u8..3, any::<bool>()),
    ) -> JobSpec {
        let quarters = |n: u64| n as f64 / 4.0;
        JobSpec {
            kind: names.0.as_str().into(),
            team: names.1.as_str().into(),
            job_type,
            priority,
            tasks,
            resources: Resources { cpus: cpus.into(), gpus: gpus.into(), memory_gb: f64::from(memory_mb) / 1024.0 },
            image: names.2.as_str().into(),
            image_gb: quarters(image_gb),
            types: types.map(|t| t.iter().map(|t| t.as_str().into()).collect()),
            zone: zone.map(|z| z.as_str().into()),
            together: placing == 1,
            spread: placing == 2,
            spot,
            estimate: Duration::from_secs_f64(if job_type == JobType::Service { 0.0 } else { quarters(estimate) }),
            checkpoint_interval: Duration::from_secs_f64(quarters(checkpoint)),
            checkpoint_duration: Duration::from_secs_f64(quarters(save)),
            deadline: deadline.map(|d| Duration::from_secs_f64(quarters(d))),
            needs: needs.into_iter().map(|n| format!("req-{n:06}").as_str().into()).collect(),
        }
    }
}

proptest! {
    #[test]
    fn a_native_job_survives_either_form(spec in a_spec(), split in any::<u32>()) {
        let context = Context { settings: NomadSettings::default(), zones: Vec::new() };
        let read = |text: &str| match source::job(text, &[], &context) {
            Ok(job) => Ok(job),
            Err(faults) => Err(TestCaseError::fail(format!("{faults:?}\n{text}"))),
        };
        let (hcl, json) = (read(&as_hcl(&spec, split))?, read(&as_json(&spec, split))?);
        prop_assert_eq!(&hcl.groups[0].spec, &spec);
        prop_assert_eq!(&json.groups[0].spec, &spec);
    }
}
