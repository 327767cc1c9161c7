//! Helpers shared by the leader's test modules.

use super::Leader;
use crate::types::{FencingToken, MonotonicTime};
use crate::wire::workers::Heartbeat;
use std::sync::Arc;

/// A heartbeat without tasks from a worker in epoch 1 that has seen the fencing token of [`leader`].
pub fn heartbeat(machine: &str, zone: &str, serial: u64) -> Heartbeat {
    serde_json::from_str(&format!(
        r#"{{"host":"{machine}","addr":"10.9.0.1:1","flavor":"t","region":"{zone}","preemptible":false,
            "tenure":1,"serial":{serial},"fence":9,"shards":[]}}"#
    ))
    .expect("the heartbeat parses")
}

/// A leader with the sample settings and without instance types.
pub fn leader() -> Leader {
    let settings =
        crate::settings::parse(crate::settings::SourceFile::new("p", crate::settings::SAMPLE), None)
            .expect("the sample settings are valid");
    Leader::new(Arc::new(settings), FencingToken(9), MonotonicTime::from_millis(1), Vec::new(), Vec::new())
}
