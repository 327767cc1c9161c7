//! The cases. Each is named by what it does.

use crate::cluster::{Cluster, Spec, Surroundings, Users};
use crate::platform::{Facts, Flavor, Platform};
use crate::store::{Limits, Store};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A small deployment like andina-quito: `kit/sites/andina-quito.toml`, with some of its machines.
fn andina() -> Facts {
    Facts {
        zones: vec!["quito", "guayaquil", "cuenca"],
        flavors: vec![Flavor {
            name: "bodega",
            vcpus: 16.0,
            accelerators: 2.0,
            memory_gb: 64.0,
            pull_gb_per_s: 0.2,
            ready_s: 30.0,
            boots_in_s: 18.0,
            per_zone: 7,
            spot_per_zone: 5,
            hourly: 6.52,
            low_price: 2.45,
        }],
        teams: vec![("core-1", 8.0, 16.0), ("core-2", 8.0, 16.0)],
        report_s: 3.0,
        lease_s: 31.0,
        gang_wait_s: 50.0,
        gang_peer_s: 5.0,
        cancel_s: 61.0,
        list_lag_s: 10.0,
    }
}

/// A small deployment like the small form of `kit/next/tremorline-pnw-grown.toml`.
fn tremorline() -> Facts {
    Facts {
        zones: vec!["puget", "columbia", "olympic"],
        flavors: vec![
            Flavor {
                name: "basalt",
                vcpus: 24.0,
                accelerators: 2.0,
                memory_gb: 192.0,
                pull_gb_per_s: 0.2,
                ready_s: 35.0,
                boots_in_s: 21.0,
                per_zone: 5,
                spot_per_zone: 1,
                hourly: 6.79,
                low_price: 2.86,
            },
            Flavor {
                name: "andesite",
                vcpus: 64.0,
                accelerators: 8.0,
                memory_gb: 256.0,
                pull_gb_per_s: 0.6,
                ready_s: 50.0,
                boots_in_s: 30.0,
                per_zone: 2,
                spot_per_zone: 1,
                hourly: 21.04,
                low_price: 8.43,
            },
        ],
        teams: vec![("station-ops", 16.0, 184.0), ("cataloguers", 24.0, 48.0)],
        report_s: 4.0,
        lease_s: 18.0,
        gang_wait_s: 35.0,
        gang_peer_s: 4.0,
        cancel_s: 48.0,
        list_lag_s: 8.0,
    }
}

const LIMITS: Limits = Limits { rps: 200.0, write_rps: 40.0, value_bytes: 16 * 1024, txn_ops: 24 };

pub struct Bench {
    pub cluster: Cluster,
    pub store: Store,
    pub platform: Platform,
    pub users: Users,
    root: PathBuf,
}

impl Bench {
    fn new(case: &str, folder: &Path, facts: Facts, extra_state: &str) -> Self {
        let root = std::env::current_dir().expect("the repository");
        let record = std::fs::File::create(folder.join("record.txt")).expect("record.txt");
        let temporary = std::env::temp_dir().join(format!("pearford-review-{case}-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).expect("a temporary folder");
        let (store, state) = Store::start(LIMITS);
        let (platform, cloud) = Platform::start(facts.clone(), record);
        let cluster = Cluster::new(&root, &temporary, &["worker-0", "worker-1", "worker-2"]);
        let peers: Vec<_> = cluster.nodes.iter().map(|node| node.back).collect();
        let around = vec![Surroundings { state, cloud, peers }; 3];
        cluster.write_settings(&facts, LIMITS, extra_state, &around);
        platform.set_nodes(cluster.nodes.iter().map(|node| (node.name.clone(), node.api)).collect());
        let users = Users { platform: platform.clone(), nodes: cluster.apis(), turn: 0 };
        Bench { cluster, store, platform, users, root }
    }

    /// Starts all controllers; `false` if they don't come up.
    fn start(&mut self) -> bool {
        let _ = &self.root;
        (0..self.cluster.nodes.len()).for_each(|index| self.cluster.start(index));
        self.cluster.wait_up(Duration::from_secs(15))
    }

    fn note(&self, text: &str) {
        self.platform.lock().note(text);
    }

    /// Ends the processes; the exit code from the broken rules that count for the case.
    fn finish(mut self, rules: &[&str]) -> i32 {
        let ended = (0..self.cluster.nodes.len()).any(|index| self.cluster.ended(index));
        let broken: Vec<String> = self.platform.lock().broken.clone();
        let counts = |text: &&String| rules.iter().any(|rule| text.starts_with(rule));
        let relevant = broken.iter().filter(counts).count();
        let (refused, too_large) = self.store.refusals();
        self.note(&format!(
            "end: {} broken rules, {relevant} of this case; state service: {refused} times 429, {too_large} times 400 for size; a controller ended by itself: {ended}",
            broken.len()
        ));
        for index in 0..self.cluster.nodes.len() {
            self.cluster.kill(index);
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.cluster.folder);
        } else {
            println!("logs: {}", self.cluster.folder.display());
        }
        // A controller that ends by itself is in none of the cases; it could not listen, say.
        if ended { 2 } else { i32::from(relevant > 0) }
    }
}

fn job(id: u64, shape: &'static str, shards: u64, vcpus: f64, accelerators: f64, memory_gb: f64) -> Spec {
    Spec {
        id: format!("req-{id:06}"),
        class: "forecast",
        owner: "core-1",
        shape,
        urgency: "normal",
        shards,
        vcpus,
        accelerators,
        memory_gb,
        bundle: "img-1",
        image_gb: 1.0,
        expected_s: 10.0,
        awaits: Vec::new(),
        region: None,
        preemptible: false,
        together: false,
    }
}

/// The cases of `review/N`: `restart`, `gang`, `spot`. The others are those that the report tells of beside them.
pub fn run(case: &str, folder: &Path, trouble: bool) -> i32 {
    match case {
        "gang" => gang(folder, trouble),
        "limits" => limits(folder, trouble),
        "hang" => hang(folder, trouble),
        "spot" => spot(folder, trouble),
        "restart" => restart(folder, trouble),
        "zone" => zone(folder, trouble),
        _ => 2,
    }
}

/// One gang of many small tasks, and then ordinary jobs of another team.
fn gang(folder: &Path, trouble: bool) -> i32 {
    let mut bench = Bench::new("gang", folder, andina(), "");
    for zone in ["quito", "guayaquil", "cuenca"] {
        bench.platform.add_machine("bodega", zone, false, 1.0);
    }
    if !bench.start() {
        return 2;
    }
    // A first job shows that the service runs.
    if bench.users.submit(&job(1, "array", 2, 2.0, 1.0, 8.0)) != 201 {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(8));
    let shards = std::env::var("GANG").ok().and_then(|n| n.parse().ok()).unwrap_or(400_u64);
    if trouble {
        let gang = Spec {
            class: "pricetrain",
            ..job(2, "ensemble", shards, 12.0 / shards as f64, 0.0, 8.0 / shards as f64)
        };
        if bench.users.submit(&gang) != 201 {
            return 2;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    for id in 3..5 {
        let array = Spec { owner: "core-2", ..job(id, "array", 2, 2.0, 1.0, 8.0) };
        if bench.users.submit(&array) != 201 {
            return 2;
        }
    }
    watch(&mut bench, 1..5, Duration::from_secs(94));
    bench.finish(&["left_waiting"])
}

/// Users ask for their jobs every 5 s.
fn watch(bench: &mut Bench, ids: std::ops::Range<u64>, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        std::thread::sleep(Duration::from_secs(5).min(end.saturating_duration_since(Instant::now())));
        let mut line = String::from("user: asks:");
        for id in ids.clone() {
            let id = format!("req-{id:06}");
            if bench.platform.lock().jobs.get(&id).is_some_and(|job| job.accepted.is_some()) {
                let phase = bench.users.status(&id).unwrap_or_else(|| "no answer".into());
                line += &format!(" {id} {phase};");
            }
        }
        bench.note(&line);
    }
}

/// A service of small replicas; the state service's next limits are in the settings.
fn limits(folder: &Path, trouble: bool) -> i32 {
    let next = "[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 8\nwrite_rps = 28.0\n";
    let mut bench = Bench::new("limits", folder, andina(), if trouble { next } else { "" });
    for zone in ["quito", "guayaquil", "cuenca"] {
        bench.platform.add_machine("bodega", zone, false, 1.0);
    }
    if !bench.start() {
        return 2;
    }
    let daemon = Spec { class: "quote-api", urgency: "production", ..job(1, "daemon", 80, 0.5, 0.0, 0.5) };
    if bench.users.submit(&daemon) != 201 {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(3));
    if trouble {
        bench.store.set_limits(Limits { write_rps: 28.0, value_bytes: 2 * 1024, txn_ops: 8, ..LIMITS });
        bench.note("trouble: the state service lowers its limits: values of 2 KiB, 8 changes, 28 a second");
    }
    watch(&mut bench, 1..2, Duration::from_secs(97));
    let world = bench.platform.lock();
    let replicas = world.machines.values().flat_map(|m| m.tasks.iter()).filter(|task| task.present()).count();
    drop(world);
    bench.note(&format!("at the end {replicas} of 80 replicas are on machines"));
    bench.finish(&["left_waiting"])
}

/// A machine hangs, its job is cancelled, and the leaders change.
fn hang(folder: &Path, trouble: bool) -> i32 {
    let facts = tremorline();
    let mut bench = Bench::new("hang", folder, facts.clone(), "");
    let machines: usize = std::env::var("MACHINES").ok().and_then(|n| n.parse().ok()).unwrap_or(3);
    let every_s: u64 = std::env::var("EVERY").ok().and_then(|n| n.parse().ok()).unwrap_or(15);
    for index in 0..machines {
        bench.platform.add_machine("basalt", facts.zones[index % 3], false, 0.5);
    }
    if !bench.start() {
        return 2;
    }
    // Each job fills one machine.
    for id in 1..=machines as u64 {
        let array = Spec { owner: "station-ops", expected_s: 600.0, ..job(id, "array", 1, 6.0, 2.0, 24.0) };
        if bench.users.submit(&array) != 201 {
            return 2;
        }
    }
    let deadline = Instant::now() + Duration::from_secs(15);
    let on_machines = |bench: &Bench| -> Vec<(String, String)> {
        let world = bench.platform.lock();
        let tasks =
            world.machines.values().flat_map(|m| m.tasks.iter().map(|task| (m.id.clone(), task.clone())));
        tasks.filter(|(_, task)| task.present()).map(|(id, task)| (id, task.name)).collect()
    };
    while on_machines(&bench).len() < machines && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(5));
    let placed = on_machines(&bench);
    let Some((machine, task)) = placed.first().cloned().filter(|_| placed.len() >= machines) else {
        return 2;
    };
    let set_hung = |bench: &Bench, hung: bool| {
        let mut world = bench.platform.lock();
        if let Some(known) = world.machines.get_mut(&machine) {
            known.hung = hung;
        }
        world.note(&format!("trouble: {machine} {}", if hung { "hangs" } else { "goes on" }));
    };
    let began = Instant::now();
    if trouble {
        set_hung(&bench, true);
    }
    let victim = task.split('/').next().unwrap_or("").to_string();
    if bench.users.withdraw(&victim) != 200 {
        return 2;
    }
    let told = Instant::now();
    let mut next_kill = told + Duration::from_secs(2);
    let mut restart: Vec<(usize, Instant)> = Vec::new();
    let mut first = true;
    while told.elapsed() < Duration::from_secs(51) {
        std::thread::sleep(Duration::from_millis(50));
        if let Some(index) = restart.iter().position(|(_, at)| Instant::now() >= *at) {
            let (node, _) = restart.remove(index);
            bench.cluster.start(node);
            bench.note(&format!("trouble: worker-{node} is back"));
        }
        if trouble && Instant::now() >= next_kill && restart.is_empty() {
            if let Some(leader) = bench.cluster.leader() {
                next_kill = Instant::now() + Duration::from_secs(every_s);
                let mut ends = vec![leader];
                // The first time two controllers end: the other one is where the hung machine reported.
                let reported_to = bench.platform.lock().reports_to(&machine);
                ends.extend(reported_to.filter(|node| first && *node != leader));
                first = false;
                for node in ends {
                    bench.cluster.kill(node);
                    let role = if node == leader { "the leader, " } else { "" };
                    bench.note(&format!("trouble: {role}worker-{node} ends"));
                    restart.push((node, Instant::now() + Duration::from_secs(3)));
                }
            }
        }
    }
    let still = on_machines(&bench).iter().any(|(_, name)| *name == task);
    bench.note(&format!(
        "judged {:.1} s after the user was told: {task} {}; {machine} has hung for {:.1} s",
        told.elapsed().as_secs_f64(),
        if still { "is still on its machine" } else { "is gone" },
        if trouble { began.elapsed().as_secs_f64() } else { 0.0 }
    ));
    if trouble {
        set_hung(&bench, false);
    }
    std::thread::sleep(Duration::from_secs(1));
    bench.finish(&["ran_cancelled"])
}

/// Jobs that may use cheap machines, while the cloud has no cheap ones of their type and zone to give.
fn spot(folder: &Path, trouble: bool) -> i32 {
    let facts = Facts { report_s: 3.0, ..tremorline() };
    let mut bench = Bench::new("spot", folder, facts, "");
    if trouble {
        let key = ("andesite".to_string(), "columbia".to_string());
        bench.platform.lock().shares.insert(key, (0.5, 0.5));
        bench.note(
            "trouble: andesite in columbia: half of 2 ordinary machines and of 1 spot machine to be had",
        );
    }
    if !bench.start() {
        return 2;
    }
    for id in 1..=2 {
        let array = Spec {
            class: "rescore",
            owner: "cataloguers",
            region: Some("columbia"),
            preemptible: true,
            expected_s: 35.0,
            ..job(id, "array", 1, 24.0, 4.0, 96.0)
        };
        if bench.users.submit(&array) != 201 {
            return 2;
        }
    }
    watch(&mut bench, 1..3, Duration::from_secs(108));
    let started: u64 = bench.platform.lock().jobs.values().map(|job| job.starts).sum();
    bench.note(&format!("{started} tasks were started"));
    if started == 0 {
        bench.platform.lock().fail("nothing_ran: no task was started".into());
    }
    bench.finish(&["nothing_ran"])
}

/// Four weeks of finished jobs, and then all controllers crash once.
fn restart(folder: &Path, trouble: bool) -> i32 {
    let facts = Facts { report_s: 3.0, ..tremorline() };
    let mut bench = Bench::new("restart", folder, facts, "");
    // Records as the service leaves them of jobs that are over, at the 10 jobs a minute of the site.
    let finished: u64 = std::env::var("FINISHED").ok().and_then(|n| n.parse().ok()).unwrap_or(400_000);
    for id in 0..finished {
        let value = if id % 16 == 0 { "withdrawn" } else { "done" };
        bench.store.preload(format!("j/req-{:06}", 1_000_000 + id), crate::json::string(value));
    }
    bench.note(&format!("the state service holds the records of {finished} finished jobs"));
    bench.platform.add_machine("basalt", "puget", false, 0.5);
    let nodes = bench.cluster.nodes.len();
    for index in 0..nodes {
        bench.cluster.start(index);
        let deadline = Instant::now() + Duration::from_secs(8);
        while !bench.cluster.is_up(index) && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(50));
        }
        let text = format!(
            "worker-{index} started: up {}, {:.0} MB",
            bench.cluster.is_up(index),
            bench.cluster.memory_mb(index)
        );
        bench.note(&text);
    }
    if !bench.cluster.wait_up(Duration::from_secs(5)) {
        return 2;
    }
    let array = Spec { owner: "station-ops", expected_s: 600.0, ..job(1, "array", 1, 6.0, 1.0, 24.0) };
    if bench.users.submit(&array) != 201 {
        return 2;
    }
    let deadline = Instant::now() + Duration::from_secs(15);
    while bench.users.status(&array.id).as_deref() != Some("running") && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(500));
    }
    if trouble {
        (0..nodes).for_each(|index| bench.cluster.kill(index));
        bench.note("trouble: all controllers crash");
        std::thread::sleep(Duration::from_secs(3));
        (0..nodes).for_each(|index| bench.cluster.start(index));
        bench.note("trouble: all controllers are back");
    }
    let mut answered = Instant::now();
    let end = Instant::now() + Duration::from_secs(80);
    let mut asked = 0;
    while Instant::now() < end {
        std::thread::sleep(Duration::from_millis(1000));
        asked += 1;
        let status = bench.users.status(&array.id);
        if status.is_some() {
            answered = Instant::now();
        }
        if asked % 5 == 0 {
            let up: Vec<bool> = (0..nodes).map(|index| bench.cluster.is_up(index)).collect();
            let (refused, _) = bench.store.refusals();
            bench.note(&format!(
                "user: asks for {} -> {}; up {up:?}; 429 so far {refused}; leader {:?}",
                array.id,
                status.unwrap_or_else(|| "no answer".into()),
                bench.cluster.leader()
            ));
        }
        if answered.elapsed() >= Duration::from_secs(75) {
            let text = format!("forgotten: no question about {} was answered for 75 s", array.id);
            bench.platform.lock().fail(text);
            break;
        }
    }
    bench.finish(&["forgotten"])
}

/// A gang that has to be in one zone: one of its two tasks fits a machine there, and the cloud has no more machines
/// in that zone, but has some in the others.
fn zone(folder: &Path, trouble: bool) -> i32 {
    let mut facts = Facts { report_s: 3.0, ..tremorline() };
    facts.flavors.truncate(1);
    facts.flavors[0].boots_in_s = 5.0;
    let mut bench = Bench::new("zone", folder, facts, "");
    if trouble {
        let key = ("basalt".to_string(), "puget".to_string());
        bench.platform.lock().shares.insert(key, (0.2, 0.0));
        bench.note("trouble: the cloud has one basalt in puget");
    }
    bench.platform.add_machine("basalt", "puget", false, 0.5);
    if !bench.start() {
        return 2;
    }
    let daemon = Spec { urgency: "production", owner: "station-ops", ..job(1, "daemon", 1, 5.0, 1.0, 19.0) };
    let gang = Spec { owner: "cataloguers", together: true, ..job(2, "ensemble", 2, 5.0, 1.0, 19.0) };
    for spec in [daemon, gang] {
        if bench.users.submit(&spec) != 201 {
            return 2;
        }
        std::thread::sleep(Duration::from_secs(8));
    }
    watch(&mut bench, 1..3, Duration::from_secs(90));
    let gang_starts = bench.platform.lock().jobs.get("req-000002").map_or(0, |job| job.starts);
    if gang_starts == 0 {
        bench.platform.lock().fail("never_started: the gang was accepted and not started".into());
    }
    bench.finish(&["never_started"])
}
