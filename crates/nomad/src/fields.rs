//! The one table of what becomes of each field of a job. Decoding, the schema, `pearford nomad fields`
//! and the operators' page are made from it, so that none can say anything else.

use crate::tree::Value;
use serde::Serialize;

/// What values a field takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Kind {
    /// A string.
    Text,
    /// A whole number.
    Whole,
    /// True or false.
    Flag,
    /// A string with units (`30s`, `1h30m`); as a number, nanoseconds.
    Duration,
    /// A list of strings.
    Texts,
    /// Names and strings, as a block or a map.
    Map,
    /// One block of the named form at most.
    Block(&'static str),
    /// Any number of blocks; each has a label, or in the API the named field, if it is given.
    Blocks(&'static str),
    /// Not read any further.
    Any,
}

/// What a field may be left at.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Lit {
    /// A string.
    Text(&'static str),
    /// A whole number.
    Whole(i64),
    /// True or false.
    Flag(bool),
    /// Seconds.
    Duration(f64),
}

/// What becomes of a field.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    /// pearford does what it says; how.
    Honoured(&'static str),
    /// Only at these values, which is what pearford does anyway; what that is.
    Only(&'static [Lit], &'static str),
    /// As `Only`, by the first; the second are defaults that clients fill in unasked: accepted from them,
    /// but not in a file, where somebody has written them.
    Sent(&'static [Lit], &'static [Lit], &'static str),
    /// Why not, and what to write instead. Accepted where it is not set: null, empty, zero, false.
    Refused(&'static str, &'static str),
    /// Part of the answer to a read; clients send it back, and it asks for nothing.
    Answer,
}

/// A row of the table.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// Form of block that it is in.
    pub form: &'static str,
    /// In job files; empty where only the API has it.
    pub name: &'static str,
    /// In the API.
    pub json: &'static str,
    /// What values it takes.
    pub kind: Kind,
    /// What becomes of it.
    pub rule: Rule,
}

/// Prefix of the `meta` keys that say what Nomad has no fields for.
pub const META: &str = "pearford_";

const fn f(form: &'static str, name: &'static str, json: &'static str, kind: Kind, rule: Rule) -> Field {
    Field { form, name, json, kind, rule }
}

use Kind::{Any, Block, Blocks, Duration, Flag, Map, Text, Texts, Whole};
use Rule::{Answer, Honoured, Only, Refused, Sent};

const NO_NETWORK: (&str, &str) = (
    "pearford gives tasks no ports and registers no services",
    "open ports in the image, and register there",
);
const NO_FILES: (&str, &str) =
    ("pearford puts no files beside a task", "put them into the image, or fetch them from within the task");
const NO_SECRETS: (&str, &str) = ("pearford hands out no secrets", "fetch them from within the task");
const NO_COMMAND: (&str, &str) = (
    "the worker takes what to run from the image's description, and pearford hands it nothing else",
    "put it into the image or its description",
);
const RESTARTS: &str =
    "a task that fails is started again, on another machine if need be, until its job is stopped";

/// The table, a row for each field.
#[rustfmt::skip]
pub const FIELDS: &[Field] = &[
    // ---- job ----
    f("job", "", "ID", Text, Honoured("the name, with its namespace; any script, up to 512 bytes")),
    f("job", "name", "Name", Text, Honoured("the name; must equal the label or ID if both are given")),
    f("job", "type", "Type", Text, Honoured("`service`: runs until it is stopped; `batch`: an array, or a gang with `meta` pearford_gang. Default: service")),
    f("job", "priority", "Priority", Whole, Honoured("1-29 idle, 30-59 normal, 60-79 urgent, 80-100 production. Default: 50")),
    f("job", "namespace", "Namespace", Text, Honoured("the team, by the operators' `namespaces` or its own name. Default: default")),
    f("job", "region", "Region", Text, Only(&[Lit::Text("global")], "there is one region")),
    f("job", "datacenters", "Datacenters", Texts, Honoured("one zone, all zones, or \"*\". Default: \"*\"")),
    f("job", "node_pool", "NodePool", Text, Only(&[Lit::Text("default"), Lit::Text("all")], "there is one pool of machines")),
    f("job", "all_at_once", "AllAtOnce", Flag, Refused("groups are placed one by one as room comes", "set `meta` pearford_gang on a batch group whose tasks must run together")),
    f("job", "meta", "Meta", Map, Honoured("keys that begin with pearford_, for all groups; see the table of `meta`")),
    f("job", "group", "TaskGroups", Blocks("group"), Honoured("each group becomes one job, or several for a service that is rolled in steps; all are accepted or none")),
    f("job", "constraint", "Constraints", Blocks("constraint"), Honoured("for all groups; see `constraint`")),
    f("job", "affinity", "Affinities", Blocks("affinity"), Refused("pearford knows no preferences between machines", "write a `constraint` if it must hold, or leave it out")),
    f("job", "spread", "Spreads", Blocks("spread"), Honoured("for all groups; see `spread`")),
    f("job", "update", "Update", Block("update"), Honoured("for all groups; see `update`")),
    f("job", "reschedule", "Reschedule", Block("reschedule"), Honoured("see `reschedule`")),
    f("job", "migrate", "Migrate", Block("migrate"), Honoured("see `migrate`")),
    f("job", "parameterized", "ParameterizedJob", Any, Refused("there are no dispatched jobs", "register a job of its own name for each set of parameters")),
    f("job", "periodic", "Periodic", Any, Refused("there are no periodic jobs", "register the job from a timer of your own, each time under a new name")),
    f("job", "multiregion", "Multiregion", Any, Refused("there is one region", "leave it out")),
    f("job", "vault", "Vault", Any, Refused(NO_SECRETS.0, NO_SECRETS.1)),
    f("job", "consul", "Consul", Any, Refused(NO_NETWORK.0, NO_NETWORK.1)),
    f("job", "consul_token", "ConsulToken", Text, Refused(NO_NETWORK.0, NO_NETWORK.1)),
    f("job", "vault_token", "VaultToken", Text, Refused(NO_SECRETS.0, NO_SECRETS.1)),
    f("job", "ui", "UI", Any, Refused("there is no page that would show it", "leave it out")),
    f("job", "", "ParentID", Text, Refused("there are no dispatched jobs", "leave it out")),
    f("job", "", "Payload", Any, Refused("there are no dispatched jobs", "leave it out")),
    f("job", "", "Dispatched", Flag, Refused("there are no dispatched jobs", "leave it out")),
    f("job", "", "DispatchIdempotencyToken", Any, Refused("there are no dispatched jobs", "leave it out")),
    f("job", "", "Stop", Flag, Refused("a job is stopped by deregistering it", "send DELETE for the job")),
    f("job", "", "ConsulNamespace", Text, Refused(NO_NETWORK.0, NO_NETWORK.1)),
    f("job", "", "VaultNamespace", Text, Refused(NO_SECRETS.0, NO_SECRETS.1)),
    f("job", "", "VersionTag", Any, Refused("versions have no tags", "leave it out")),
    f("job", "", "NomadTokenID", Text, Answer),
    f("job", "", "Status", Text, Answer),
    f("job", "", "StatusDescription", Text, Answer),
    f("job", "", "Stable", Flag, Answer),
    f("job", "", "Version", Whole, Answer),
    f("job", "", "SubmitTime", Whole, Answer),
    f("job", "", "CreateIndex", Whole, Answer),
    f("job", "", "ModifyIndex", Whole, Answer),
    f("job", "", "JobModifyIndex", Whole, Answer),
    // ---- group ----
    f("group", "", "Name", Text, Honoured("tells the groups of a job apart")),
    f("group", "count", "Count", Whole, Honoured("how many tasks, 1 to 100,000. Default: 1")),
    f("group", "task", "Tasks", Blocks("task"), Honoured("exactly one in a group")),
    f("group", "meta", "Meta", Map, Honoured("keys that begin with pearford_; before those of the job")),
    f("group", "constraint", "Constraints", Blocks("constraint"), Honoured("see `constraint`")),
    f("group", "affinity", "Affinities", Blocks("affinity"), Refused("pearford knows no preferences between machines", "write a `constraint` if it must hold, or leave it out")),
    f("group", "spread", "Spreads", Blocks("spread"), Honoured("see `spread`")),
    f("group", "update", "Update", Block("update"), Honoured("before that of the job; see `update`")),
    f("group", "restart", "RestartPolicy", Block("restart"), Honoured("see `restart`")),
    f("group", "reschedule", "ReschedulePolicy", Block("reschedule"), Honoured("see `reschedule`")),
    f("group", "migrate", "Migrate", Block("migrate"), Honoured("see `migrate`")),
    f("group", "ephemeral_disk", "EphemeralDisk", Block("ephemeral_disk"), Honoured("see `ephemeral_disk`")),
    f("group", "network", "Networks", Any, Refused(NO_NETWORK.0, NO_NETWORK.1)),
    f("group", "service", "Services", Any, Refused(NO_NETWORK.0, NO_NETWORK.1)),
    f("group", "volume", "Volumes", Any, Refused(NO_FILES.0, NO_FILES.1)),
    f("group", "scaling", "Scaling", Any, Refused("there is no autoscaler", "register the job with another `count`")),
    f("group", "vault", "Vault", Any, Refused(NO_SECRETS.0, NO_SECRETS.1)),
    f("group", "consul", "Consul", Any, Refused(NO_NETWORK.0, NO_NETWORK.1)),
    f("group", "disconnect", "Disconnect", Any, Refused("a task cut off runs on until its machine's lease ends, then starts elsewhere", "leave it out")),
    f("group", "shutdown_delay", "ShutdownDelay", Duration, Refused("a stopped task is told at once", "let the task finish its requests when it is told to stop")),
    f("group", "stop_after_client_disconnect", "StopAfterClientDisconnect", Duration, Refused("a task cut off runs on until its machine's lease ends", "leave it out")),
    f("group", "max_client_disconnect", "MaxClientDisconnect", Duration, Refused("a task cut off runs on until its machine's lease ends", "leave it out")),
    f("group", "prevent_reschedule_on_lost", "PreventRescheduleOnLost", Flag, Refused("lost tasks are started again", "leave it out")),
    // ---- task ----
    f("task", "", "Name", Text, Honoured("is kept for answers; a group has one task")),
    f("task", "driver", "Driver", Text, Honoured("`docker` or `podman`: the worker runs the image")),
    f("task", "config", "Config", Block("config"), Honoured("see `config`")),
    f("task", "resources", "Resources", Block("resources"), Honoured("see `resources`")),
    f("task", "meta", "Meta", Map, Honoured("keys that begin with pearford_; before those of group and job")),
    f("task", "constraint", "Constraints", Blocks("constraint"), Honoured("see `constraint`")),
    f("task", "affinity", "Affinities", Blocks("affinity"), Refused("pearford knows no preferences between machines", "write a `constraint` if it must hold, or leave it out")),
    f("task", "env", "Env", Map, Refused(NO_COMMAND.0, NO_COMMAND.1)),
    f("task", "lifecycle", "Lifecycle", Any, Refused("a group has one task and no hooks", "do it within the task, or as a job of its own that `meta` pearford_awaits names")),
    f("task", "leader", "Leader", Flag, Refused("a group has one task", "leave it out")),
    f("task", "user", "User", Text, Refused(NO_COMMAND.0, NO_COMMAND.1)),
    f("task", "kill_timeout", "KillTimeout", Duration, Sent(&[], &[Lit::Duration(5.0)], "a stopped task ends at once, or saves for as long as `meta` pearford_snapshot_s says")),
    f("task", "kill_signal", "KillSignal", Text, Refused("the worker decides how a task is told to stop", "leave it out")),
    f("task", "shutdown_delay", "ShutdownDelay", Duration, Refused("a stopped task is told at once", "let the task finish its requests when it is told to stop")),
    f("task", "restart", "RestartPolicy", Block("restart"), Honoured("see `restart`")),
    f("task", "logs", "LogConfig", Block("logs"), Honoured("see `logs`")),
    f("task", "service", "Services", Any, Refused(NO_NETWORK.0, NO_NETWORK.1)),
    f("task", "artifact", "Artifacts", Any, Refused(NO_FILES.0, NO_FILES.1)),
    f("task", "template", "Templates", Any, Refused(NO_FILES.0, NO_FILES.1)),
    f("task", "volume_mount", "VolumeMounts", Any, Refused(NO_FILES.0, NO_FILES.1)),
    f("task", "csi_plugin", "CSIPluginConfig", Any, Refused(NO_FILES.0, NO_FILES.1)),
    f("task", "vault", "Vault", Any, Refused(NO_SECRETS.0, NO_SECRETS.1)),
    f("task", "secret", "Secrets", Any, Refused(NO_SECRETS.0, NO_SECRETS.1)),
    f("task", "consul", "Consul", Any, Refused(NO_NETWORK.0, NO_NETWORK.1)),
    f("task", "identity", "Identity", Any, Refused(NO_SECRETS.0, NO_SECRETS.1)),
    f("task", "", "Identities", Any, Refused(NO_SECRETS.0, NO_SECRETS.1)),
    f("task", "dispatch_payload", "DispatchPayload", Any, Refused("there are no dispatched jobs", "leave it out")),
    f("task", "scaling", "ScalingPolicies", Any, Refused("there is no autoscaler", "leave it out")),
    f("task", "action", "Actions", Any, Refused("nothing can be run beside a task", "leave it out")),
    f("task", "schedule", "Schedule", Any, Refused("tasks run until they are done or stopped", "leave it out")),
    f("task", "kind", "Kind", Text, Refused(NO_NETWORK.0, NO_NETWORK.1)),
    // ---- config (of docker and podman) ----
    f("config", "image", "image", Text, Honoured("the image that a machine must have before the task starts")),
    f("config", "command", "command", Text, Refused(NO_COMMAND.0, NO_COMMAND.1)),
    f("config", "args", "args", Texts, Refused(NO_COMMAND.0, NO_COMMAND.1)),
    f("config", "entrypoint", "entrypoint", Any, Refused(NO_COMMAND.0, NO_COMMAND.1)),
    f("config", "ports", "ports", Texts, Refused(NO_NETWORK.0, NO_NETWORK.1)),
    f("config", "network_mode", "network_mode", Text, Refused(NO_NETWORK.0, NO_NETWORK.1)),
    f("config", "volumes", "volumes", Any, Refused(NO_FILES.0, NO_FILES.1)),
    f("config", "mounts", "mounts", Any, Refused(NO_FILES.0, NO_FILES.1)),
    f("config", "mount", "mount", Any, Refused(NO_FILES.0, NO_FILES.1)),
    f("config", "auth", "auth", Any, Refused(NO_SECRETS.0, NO_SECRETS.1)),
    f("config", "force_pull", "force_pull", Flag, Refused("a machine keeps images that it has", "give the image another name for each version")),
    f("config", "privileged", "privileged", Flag, Refused(NO_COMMAND.0, NO_COMMAND.1)),
    f("config", "runtime", "runtime", Text, Refused(NO_COMMAND.0, NO_COMMAND.1)),
    f("config", "gpus", "gpus", Any, Refused("a task gets the devices that its `resources` name", "write a `device` block")),
    f("config", "work_dir", "work_dir", Text, Refused(NO_COMMAND.0, NO_COMMAND.1)),
    f("config", "labels", "labels", Any, Refused(NO_COMMAND.0, NO_COMMAND.1)),
    // ---- resources ----
    f("resources", "cores", "Cores", Whole, Honoured("CPUs of the task")),
    f("resources", "cpu", "CPU", Whole, Honoured("MHz: CPUs by the operators' `mhz_per_cpu`; refused without it. Not beside `cores`")),
    f("resources", "memory", "MemoryMB", Whole, Honoured("MB; exactly, by the operators' `mb_per_gb` (default 1024). Default: 300")),
    f("resources", "memory_max", "MemoryMaxMB", Whole, Refused("a task gets what it asks for and no more", "ask for the most it needs in `memory`")),
    f("resources", "device", "Devices", Blocks("device"), Honoured("GPUs; the counts of all blocks are added")),
    f("resources", "disk", "DiskMB", Whole, Refused("machines' disks are not shared out", "leave it out")),
    f("resources", "iops", "IOPS", Whole, Refused("machines' disks are not shared out", "leave it out")),
    f("resources", "network", "Networks", Any, Refused(NO_NETWORK.0, NO_NETWORK.1)),
    f("resources", "numa", "NUMA", Block("numa"), Honoured("see `numa`")),
    f("resources", "secrets", "SecretsMB", Whole, Refused(NO_SECRETS.0, NO_SECRETS.1)),
    f("numa", "affinity", "Affinity", Text, Only(&[Lit::Text("none")], "cores are not pinned")),
    f("numa", "devices", "Devices", Texts, Refused("cores are not pinned", "leave it out")),
    f("device", "", "Name", Text, Honoured("`gpu`, `nvidia/gpu`, or one with a model that the operators' `devices` maps to machine types")),
    f("device", "count", "Count", Whole, Honoured("GPUs. Default: 1")),
    f("device", "constraint", "Constraints", Blocks("constraint"), Refused("GPUs are told apart by machine type", "constrain ${node.class}, or name a model that the operators' `devices` maps")),
    f("device", "affinity", "Affinities", Blocks("affinity"), Refused("pearford knows no preferences between machines", "leave it out")),
    // ---- constraint, spread ----
    f("constraint", "attribute", "LTarget", Text, Honoured("${node.datacenter}: the zone; ${node.class}: the machine type; others by the operators' `attributes`")),
    f("constraint", "operator", "Operator", Text, Honoured("`=` (also `==`, `is`); for ${node.class} also `set_contains_any` with a list by commas")),
    f("constraint", "value", "RTarget", Text, Honoured("a zone or a machine type")),
    f("constraint", "distinct_hosts", "", Flag, Refused("tasks are packed onto machines", "ask for what a whole machine has, or leave it out")),
    f("constraint", "distinct_property", "", Text, Refused("tasks are packed onto machines", "write `spread` for zones, or leave it out")),
    f("constraint", "regexp", "", Text, Refused("machine types and zones are compared whole", "name them")),
    f("constraint", "version", "", Text, Refused("machine types and zones are compared whole", "name them")),
    f("constraint", "semver", "", Text, Refused("machine types and zones are compared whole", "name them")),
    f("constraint", "set_contains", "", Text, Refused("a machine has one type", "write operator = \"set_contains_any\"")),
    f("constraint", "set_contains_any", "", Text, Refused("a machine has one type", "write operator = \"set_contains_any\" and value")),
    f("affinity", "attribute", "LTarget", Text, Refused("pearford knows no preferences", "leave it out")),
    f("spread", "attribute", "Attribute", Text, Only(&[Lit::Text("${node.datacenter}")], "at most half of the tasks, rounded up, are in one zone: always, not just if it can be")),
    f("spread", "weight", "Weight", Whole, Only(&[Lit::Whole(0), Lit::Whole(50), Lit::Whole(100)], "there is one spread")),
    f("spread", "target", "SpreadTarget", Any, Refused("zones get no shares", "leave it out: at most half of the tasks are in one zone")),
    // ---- what happens to tasks that fail ----
    f("restart", "attempts", "Attempts", Whole, Sent(&[], &[Lit::Whole(2), Lit::Whole(3)], RESTARTS)),
    f("restart", "interval", "Interval", Duration, Sent(&[], &[Lit::Duration(1800.0), Lit::Duration(86400.0)], RESTARTS)),
    f("restart", "delay", "Delay", Duration, Sent(&[], &[Lit::Duration(15.0)], RESTARTS)),
    f("restart", "mode", "Mode", Text, Sent(&[Lit::Text("delay")], &[Lit::Text("fail")], RESTARTS)),
    f("restart", "render_templates", "RenderTemplates", Flag, Refused(NO_FILES.0, NO_FILES.1)),
    f("reschedule", "attempts", "Attempts", Whole, Sent(&[], &[Lit::Whole(0), Lit::Whole(1)], RESTARTS)),
    f("reschedule", "interval", "Interval", Duration, Sent(&[], &[Lit::Duration(0.0), Lit::Duration(86400.0)], RESTARTS)),
    f("reschedule", "delay", "Delay", Duration, Sent(&[], &[Lit::Duration(5.0), Lit::Duration(30.0)], RESTARTS)),
    f("reschedule", "delay_function", "DelayFunction", Text, Sent(&[], &[Lit::Text("constant"), Lit::Text("exponential")], RESTARTS)),
    f("reschedule", "max_delay", "MaxDelay", Duration, Sent(&[], &[Lit::Duration(0.0), Lit::Duration(3600.0)], RESTARTS)),
    f("reschedule", "unlimited", "Unlimited", Flag, Sent(&[Lit::Flag(true)], &[Lit::Flag(false)], RESTARTS)),
    f("migrate", "max_parallel", "MaxParallel", Whole, Sent(&[], &[Lit::Whole(1)], "replicas are moved by pearford's own rules")),
    f("migrate", "health_check", "HealthCheck", Text, Sent(&[], &[Lit::Text("checks"), Lit::Text("task_states")], "replicas are moved by pearford's own rules")),
    f("migrate", "min_healthy_time", "MinHealthyTime", Duration, Sent(&[], &[Lit::Duration(10.0)], "replicas are moved by pearford's own rules")),
    f("migrate", "healthy_deadline", "HealthyDeadline", Duration, Sent(&[], &[Lit::Duration(300.0)], "replicas are moved by pearford's own rules")),
    f("ephemeral_disk", "size", "SizeMB", Whole, Sent(&[], &[Lit::Whole(300)], "machines' disks are not shared out")),
    f("ephemeral_disk", "sticky", "Sticky", Flag, Refused("a task that moves begins from its last save", "set `meta` pearford_snapshot_every_s")),
    f("ephemeral_disk", "migrate", "Migrate", Flag, Refused("a task that moves begins from its last save", "set `meta` pearford_snapshot_every_s")),
    f("logs", "max_files", "MaxFiles", Whole, Sent(&[], &[Lit::Whole(10)], "the worker keeps what a task writes")),
    f("logs", "max_file_size", "MaxFileSizeMB", Whole, Sent(&[], &[Lit::Whole(10)], "the worker keeps what a task writes")),
    f("logs", "disabled", "Disabled", Flag, Refused("the worker keeps what a task writes", "leave it out")),
    f("logs", "enabled", "Enabled", Flag, Only(&[Lit::Flag(true)], "the worker keeps what a task writes")),
    // ---- update ----
    f("update", "max_parallel", "MaxParallel", Whole, Honoured("where two versions don't fit the team's limit side by side, the service goes in steps of this many replicas; 0: of as many as fit. Where they fit, none is ever missing. Default: 1")),
    f("update", "health_check", "HealthCheck", Text, Only(&[Lit::Text("task_states"), Lit::Text("checks")], "a replica is healthy once it has run for min_healthy_time; there are no checks")),
    f("update", "min_healthy_time", "MinHealthyTime", Duration, Honoured("how long new replicas must run before old ones are stopped. Default: 10s")),
    f("update", "healthy_deadline", "HealthyDeadline", Duration, Honoured("by when new replicas must be healthy, or the roll has failed. Default: 5m")),
    f("update", "progress_deadline", "ProgressDeadline", Duration, Honoured("by when the next new replicas must be healthy, or the roll has failed; 0: the first failure ends it. Default: 10m")),
    f("update", "auto_revert", "AutoRevert", Flag, Honoured("a failed roll goes back to the version before; else it is kept as it stands. Default: false")),
    f("update", "auto_promote", "AutoPromote", Flag, Refused("there are no canaries", "leave it out")),
    f("update", "canary", "Canary", Whole, Refused("there are no canaries", "register the new version under another name beside the old")),
    f("update", "stagger", "Stagger", Duration, Sent(&[], &[Lit::Duration(30.0)], "the next replicas follow once the last are healthy")),
];

/// What a `meta` key under the prefix says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum MetaKind {
    /// Any string but the empty one.
    Text,
    /// Seconds or GB, a decimal number from 0.
    Amount,
    /// `true` or `false`.
    Flag,
    /// Names separated by commas.
    Names,
}

/// A key of `meta`.
#[derive(Debug, Clone, Copy)]
pub struct MetaField {
    /// Without the prefix.
    pub name: &'static str,
    /// What values it takes.
    pub kind: MetaKind,
    /// What it says, for readers.
    pub says: &'static str,
}

/// The keys of `meta` that mean something.
pub const META_FIELDS: &[MetaField] = &[
    MetaField {
        name: "class",
        kind: MetaKind::Text,
        says: "the class of jobs whose aims apply. Default: the job's name",
    },
    MetaField {
        name: "image_gb",
        kind: MetaKind::Amount,
        says: "GB of the image. Default: the operators' `image_gb`, else it must be given",
    },
    MetaField {
        name: "expected_s",
        kind: MetaKind::Amount,
        says: "how long a task of a batch job runs, in seconds, without the image's fetch. Default: the operators' `expected_s`, else it must be given",
    },
    MetaField {
        name: "snapshot_every_s",
        kind: MetaKind::Amount,
        says: "seconds of progress after which a running task saves by itself. Default: 0, never",
    },
    MetaField {
        name: "snapshot_s",
        kind: MetaKind::Amount,
        says: "seconds that a task needs to save when it is stopped. Default: 0",
    },
    MetaField {
        name: "due_s",
        kind: MetaKind::Amount,
        says: "by when the job should be done, in seconds from its registration. Default: none",
    },
    MetaField {
        name: "awaits",
        kind: MetaKind::Names,
        says: "ids of native jobs (req-...) that must be done before any task starts",
    },
    MetaField {
        name: "gang",
        kind: MetaKind::Flag,
        says: "all tasks of the batch group run at the same time, or none. Default: false",
    },
    MetaField {
        name: "together",
        kind: MetaKind::Flag,
        says: "all tasks must be in one zone. Default: false",
    },
    MetaField { name: "spot", kind: MetaKind::Flag, says: "the tasks may use spot machines. Default: false" },
    MetaField {
        name: "run",
        kind: MetaKind::Text,
        says: "has no effect; another value makes the job a new version, so that the same work runs again",
    },
];

impl Lit {
    /// Whether a value as written says the same.
    pub fn is(&self, value: &Value) -> bool {
        match (self, value) {
            (Lit::Text(l), Value::Text(t)) => l == t,
            (Lit::Whole(l), value) => value.as_f64() == Some(*l as f64),
            (Lit::Flag(l), Value::Bool(b)) => l == b,
            (Lit::Duration(l), Value::Number(seconds)) => l == seconds,
            _ => false,
        }
    }

    /// As it is written in a job file.
    pub fn shown(&self) -> String {
        match self {
            Lit::Text(t) => format!("\"{t}\""),
            Lit::Whole(n) => n.to_string(),
            Lit::Flag(b) => b.to_string(),
            Lit::Duration(s) => format!("{s}s"),
        }
    }
}

impl Field {
    /// What values it takes, for readers.
    pub fn shown_kind(&self) -> &'static str {
        match self.kind {
            Text => "string",
            Whole => "number",
            Flag => "bool",
            Duration => "duration",
            Texts => "list of strings",
            Map => "map of strings",
            Block(_) => "block",
            Blocks(_) => "blocks",
            Any => "any",
        }
    }

    /// What becomes of it, in words.
    pub fn says(&self) -> (&'static str, String) {
        match self.rule {
            Honoured(how) => ("honoured", how.into()),
            Only(values, does) => {
                let values: Vec<String> = values.iter().map(Lit::shown).collect();
                ("only", format!("{}: {does}", values.join(", ")))
            }
            Sent(always, sent, does) => {
                let shown = |values: &[Lit]| values.iter().map(Lit::shown).collect::<Vec<_>>().join(", ");
                let always = if always.is_empty() { String::new() } else { format!("{}; ", shown(always)) };
                ("only", format!("{always}from clients also {}: {does}", shown(sent)))
            }
            Refused(why, instead) => ("refused", format!("{why}; {instead}")),
            Answer => ("ignored", "part of the server's answers; asks for nothing".into()),
        }
    }
}

/// Fields of a form.
pub fn of_form(form: &str) -> impl Iterator<Item = &'static Field> {
    FIELDS.iter().filter(move |f| f.form == form)
}

/// What honoured fields say when they are left out.
const DEFAULTS: &[(&str, &str, Lit)] = &[
    ("job", "type", Lit::Text("service")),
    ("job", "priority", Lit::Whole(50)),
    ("job", "namespace", Lit::Text("default")),
    ("group", "count", Lit::Whole(1)),
    ("resources", "memory", Lit::Whole(300)),
    ("device", "count", Lit::Whole(1)),
    ("constraint", "operator", Lit::Text("=")),
    ("update", "max_parallel", Lit::Whole(1)),
    ("update", "min_healthy_time", Lit::Duration(10.0)),
    ("update", "healthy_deadline", Lit::Duration(300.0)),
    ("update", "progress_deadline", Lit::Duration(600.0)),
];

/// Whether a field says what it would say left out.
pub fn is_default(form: &str, name: &str, value: &Value) -> bool {
    let any = Value::List(vec![Value::Text("*".into())]);
    DEFAULTS.iter().any(|(f, n, lit)| (*f, *n) == (form, name) && lit.is(value))
        || (form, name, value) == ("job", "datacenters", &any)
}

/// Where each form stands, for readers: `job.group.task`.
pub fn path_of(form: &str) -> &'static str {
    match form {
        "job" => "job",
        "group" => "job.group",
        "task" => "job.group.task",
        "config" => "job.group.task.config",
        "resources" => "job.group.task.resources",
        "numa" => "job.group.task.resources.numa",
        "device" => "job.group.task.resources.device",
        "constraint" => "(any).constraint",
        "affinity" => "(any).affinity",
        "spread" => "(any).spread",
        "restart" => "job.group.restart",
        "reschedule" => "job.group.reschedule",
        "migrate" => "job.group.migrate",
        "ephemeral_disk" => "job.group.ephemeral_disk",
        "logs" => "job.group.task.logs",
        "update" => "job.group.update",
        _ => "(unknown)",
    }
}

/// The table as Markdown, as `pearford nomad fields` prints it and the operators' page holds it.
pub fn as_markdown() -> String {
    let mut out =
        String::from("| field | API | takes | | what becomes of it |\n| --- | --- | --- | --- | --- |\n");
    for field in FIELDS {
        let (outcome, what) = field.says();
        let name = if field.name.is_empty() {
            String::new()
        } else {
            format!("`{}.{}`", path_of(field.form), field.name)
        };
        let json = if field.json.is_empty() { String::new() } else { format!("`{}`", field.json) };
        out += &format!("| {name} | {json} | {} | {outcome} | {what} |\n", field.shown_kind());
    }
    out += "\n| `meta` key | takes | what it says |\n| --- | --- | --- |\n";
    for m in META_FIELDS {
        let kind = match m.kind {
            MetaKind::Text => "string",
            MetaKind::Amount => "number",
            MetaKind::Flag => "true or false",
            MetaKind::Names => "names by commas",
        };
        out += &format!("| `{META}{}` | {kind} | {} |\n", m.name, m.says);
    }
    out
}
