//! The two deployments, by the site files of kit/sites and DEPLOY.

use crate::controllers::Site;
use crate::platform::Facts;
use crate::store::Limits;
use std::time::Duration;

pub static ANDINA: Site = Site {
    nodes: ["worker-0", "worker-1", "worker-2"],
    zones: ["quito", "guayaquil", "cuenca"],
    facts: "time_bound_ms = 25.0

[[facts.teams]]
name = \"core\"
cpus = 0.0
cpus_max = 0.0
gpus = 8.0
gpus_max = 16.0

[[facts.objectives]]
kind = \"wait\"
class = \"quote-api\"
within_s = 30.0
share = 0.88

[facts.workers]
report_s = 3.0
lease_s = 31.0
gang_wait_s = 50.0
gang_peer_s = 5.0
cancel_s = 61.0

[facts.state]
rps = 200.0
write_rps = 40.0
value_kb = 16.0
txn_ops = 24

[facts.cloud]
rps = 10.0
list_lag_s = 10.0

[facts.machine_limits]
cpu_share = 0.08
ram_mb = 136.0
max_connections = 2500
",
};

pub static TREMORLINE: Site = Site {
    nodes: ["worker-0", "worker-1", "worker-2"],
    zones: ["puget", "columbia", "olympic"],
    facts: "time_bound_ms = 5.0

[[facts.teams]]
name = \"duty-desk\"
cpus = 0.0
cpus_max = 0.0
gpus = 8.0
gpus_max = 50.0

[[facts.teams]]
name = \"station-ops\"
cpus = 0.0
cpus_max = 0.0
gpus = 16.0
gpus_max = 50.0

[[facts.objectives]]
kind = \"wait\"
class = \"picker\"
within_s = 12.0
share = 0.88

[facts.workers]
report_s = 3.0
lease_s = 18.0
gang_wait_s = 35.0
gang_peer_s = 4.0
cancel_s = 48.0

[facts.state]
rps = 250.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 12

[facts.cloud]
rps = 5.0
list_lag_s = 8.0

[facts.machine_limits]
cpu_share = 0.048
ram_mb = 72.0
max_connections = 1500
",
};

/// The same with a state service that takes more requests.
pub static TREMORLINE_FAST_STATE: Site = Site {
    nodes: ["worker-0", "worker-1", "worker-2"],
    zones: ["puget", "columbia", "olympic"],
    facts: "time_bound_ms = 5.0

[[facts.teams]]
name = \"duty-desk\"
cpus = 0.0
cpus_max = 0.0
gpus = 8.0
gpus_max = 50.0

[[facts.teams]]
name = \"station-ops\"
cpus = 0.0
cpus_max = 0.0
gpus = 16.0
gpus_max = 50.0

[[facts.objectives]]
kind = \"wait\"
class = \"picker\"
within_s = 12.0
share = 0.88

[facts.workers]
report_s = 3.0
lease_s = 18.0
gang_wait_s = 35.0
gang_peer_s = 4.0
cancel_s = 48.0

[facts.state]
rps = 1000.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 12

[facts.cloud]
rps = 5.0
list_lag_s = 8.0

[facts.machine_limits]
cpu_share = 0.048
ram_mb = 72.0
max_connections = 1500
",
};

pub fn andina_limits() -> Limits {
    Limits {
        rps: 200.0,
        write_rps: 40.0,
        value_bytes: 16 * 1024,
        txn_ops: 24,
        latency: Duration::from_millis(4),
    }
}

pub fn tremorline_limits() -> Limits {
    Limits {
        rps: 250.0,
        write_rps: 100.0,
        value_bytes: 16 * 1024,
        txn_ops: 12,
        latency: Duration::from_millis(5),
    }
}

pub fn andina_facts() -> Facts {
    Facts {
        report_s: 3.0,
        lease_s: 31.0,
        flavor: "bodega",
        vcpus: 16.0,
        accelerators: 2.0,
        memory_gb: 64.0,
        hourly: 6.52,
        low_price: 2.45,
        ready_s: 30.0,
        boot: Duration::from_secs(2),
        fetch: Duration::from_secs(1),
        regions: ANDINA.zones.iter().map(|zone| zone.to_string()).collect(),
    }
}

pub fn tremorline_facts() -> Facts {
    Facts {
        report_s: 3.0,
        lease_s: 18.0,
        flavor: "basalt",
        vcpus: 24.0,
        accelerators: 2.0,
        memory_gb: 192.0,
        hourly: 6.79,
        low_price: 2.86,
        ready_s: 35.0,
        boot: Duration::from_secs(2),
        fetch: Duration::from_secs(1),
        regions: TREMORLINE.zones.iter().map(|zone| zone.to_string()).collect(),
    }
}
