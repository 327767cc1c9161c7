//! The controllers as processes, started with the command of the deploy file, and the users.

use crate::http;
use crate::json::{Json, num, obj, string};
use crate::platform::{Facts, Platform};
use crate::store::Limits;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}
/// Has the system end a process when the one that started it ends, however that is.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
/// Lets a stopped process go on, so that it can be ended.
const SIGCONT: i32 = 18;

pub struct Node {
    pub name: String,
    pub api: SocketAddr,
    pub back: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Cluster {
    pub nodes: Vec<Node>,
    pub folder: PathBuf,
    run: Vec<String>,
}

/// Where a node finds its surroundings; a case may put proxies here.
#[derive(Clone)]
pub struct Surroundings {
    pub state: SocketAddr,
    pub cloud: SocketAddr,
    /// The addresses of the other nodes, as this node is told.
    pub peers: Vec<SocketAddr>,
}

/// `run` of the deploy file, as words.
fn run_command(root: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(root.join("deploy/service.toml")).expect("deploy/service.toml");
    let line = text.lines().find(|line| line.starts_with("run")).expect("run");
    line.split('"').nth(1).expect("a command").split_whitespace().map(String::from).collect()
}

/// Ports that are free now, below those that outgoing connections get, so that a node finds its own free again after
/// a crash. Each process tries a block of its own first, so that runs at the same time don't meet.
fn free_ports(count: usize) -> Vec<u16> {
    const FIRST: u32 = 18_000;
    const BLOCKS: u32 = 1_200;
    const BLOCK: u32 = 10;
    let own = std::process::id() % BLOCKS;
    let blocks = (0..BLOCKS).map(|step| FIRST + (own + step) % BLOCKS * BLOCK);
    let ports = blocks.flat_map(|first| (first..first + BLOCK).map(|port| port as u16));
    ports.filter(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok()).take(count).collect()
}

impl Cluster {
    /// Nodes with addresses, one in each zone in turn; none is started yet.
    pub fn new(root: &Path, folder: &Path, names: &[&str]) -> Self {
        let ports = free_ports(names.len() * 2);
        let addr = |index: usize| SocketAddr::from(([127, 0, 0, 1], ports[index]));
        let nodes = names.iter().enumerate().map(|(index, name)| Node {
            name: name.to_string(),
            api: addr(2 * index),
            back: addr(2 * index + 1),
            config: folder.join(format!("{name}.toml")),
            log: folder.join(format!("{name}.log")),
            child: None,
        });
        Cluster { nodes: nodes.collect(), folder: folder.to_path_buf(), run: run_command(root) }
    }

    pub fn write_settings(&self, facts: &Facts, limits: Limits, extra_state: &str, around: &[Surroundings]) {
        for (index, node) in self.nodes.iter().enumerate() {
            let zone = |index: usize| facts.zones[index % facts.zones.len()];
            let mut text = format!(
                "node = \"{}\"\nsite = \"{}\"\napi_addr = \"{}\"\nback = \"{}\"\n",
                node.name,
                zone(index),
                node.api,
                node.back
            );
            for (peer, other) in self.nodes.iter().enumerate().filter(|(peer, _)| *peer != index) {
                text += &format!(
                    "[[seeds]]\nnode = \"{}\"\nsite = \"{}\"\npeer_addr = \"{}\"\n",
                    other.name,
                    zone(peer),
                    around[index].peers[peer]
                );
            }
            text += &format!(
                "[outside]\ncloud = \"{}\"\nstate = \"{}\"\n",
                around[index].cloud, around[index].state
            );
            let zones: Vec<String> = facts.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
            text += &format!(
                "[facts]\ninitial_size = {}\nzones = [{}]\ntime_bound_ms = 25.0\n",
                self.nodes.len(),
                zones.join(", ")
            );
            for (name, gpus, most) in &facts.teams {
                text += &format!(
                    "[[facts.teams]]\nname = \"{name}\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = {gpus:?}\ngpus_max = {most:?}\n"
                );
            }
            text += &format!(
                "[facts.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\ngang_peer_s = {:?}\ncancel_s = {:?}\n",
                facts.report_s, facts.lease_s, facts.gang_wait_s, facts.gang_peer_s, facts.cancel_s
            );
            text += &format!(
                "[facts.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n{extra_state}",
                limits.rps,
                limits.write_rps,
                limits.value_bytes as f64 / 1024.0,
                limits.txn_ops
            );
            text += &format!("[facts.cloud]\nrps = 10.0\nlist_lag_s = {:?}\n", facts.list_lag_s);
            text += "[facts.machine_limits]\ncpu_share = 0.08\nram_mb = 136.0\nmax_connections = 2500\n";
            std::fs::write(&node.config, text).expect("settings are written");
        }
    }

    pub fn start(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&node.log).expect("a log");
        let mut command = Command::new(&self.run[0]);
        // SAFETY: the call after the fork allocates nothing.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .args(&self.run[1..])
            .arg(&node.config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        node.child = Some(child.expect("the controller starts"));
    }

    fn signal(&self, index: usize, signal: i32) {
        if let Some(child) = &self.nodes[index].child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.nodes[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Anonymous memory that a node's process holds, in MB.
    pub fn memory_mb(&self, index: usize) -> f64 {
        let id = self.nodes[index].child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
        kb.unwrap_or(0.0) * 1024.0 / 1e6
    }

    /// Whether the process has ended by itself.
    pub fn ended(&mut self, index: usize) -> bool {
        self.nodes[index].child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(&self.nodes[index].log).unwrap_or_default()
    }

    /// The running node whose log last said that it became leader, and not that it stepped down or started
    /// since.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].child.is_some()).find(|index| {
            let log = self.log(*index);
            let won = log.rfind("became leader");
            won.is_some() && won > log.rfind("stepped down") && won > log.rfind("started node=")
        })
    }

    pub fn apis(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.api).collect()
    }

    /// Whether a node answers /up with 200.
    pub fn is_up(&self, index: usize) -> bool {
        http::call(self.nodes[index].api, "GET", "/up", "", Duration::from_secs(1))
            .is_some_and(|answer| answer.0 == 200)
    }

    /// Waits until every node answers /up with 200.
    pub fn wait_up(&self, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            let up = |node: &Node| {
                http::call(node.api, "GET", "/up", "", Duration::from_secs(1))
                    .is_some_and(|answer| answer.0 == 200)
            };
            if self.nodes.iter().all(up) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for index in 0..self.nodes.len() {
            self.signal(index, SIGCONT);
            self.kill(index);
        }
    }
}

/// A job as its user describes it.
#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub class: &'static str,
    pub owner: &'static str,
    pub shape: &'static str,
    pub urgency: &'static str,
    pub shards: u64,
    pub vcpus: f64,
    pub accelerators: f64,
    pub memory_gb: f64,
    pub bundle: &'static str,
    pub image_gb: f64,
    pub expected_s: f64,
    pub awaits: Vec<String>,
    pub region: Option<&'static str>,
    pub preemptible: bool,
    pub together: bool,
}

impl Spec {
    pub fn body(&self) -> Json {
        let mut fields = vec![
            ("id", string(self.id.clone())),
            ("job_class", string(self.class)),
            ("owner", string(self.owner)),
            ("shape", string(self.shape)),
            ("urgency", string(self.urgency)),
            ("shards", num(self.shards)),
            ("vcpus", num(format!("{:?}", self.vcpus))),
            ("accelerators", num(format!("{:?}", self.accelerators))),
            ("memory_gb", num(format!("{:?}", self.memory_gb))),
            ("bundle", string(self.bundle)),
            ("image_gb", num(format!("{:?}", self.image_gb))),
            ("flavors", Json::Null),
            ("region", self.region.map_or(Json::Null, string)),
            ("together", Json::Bool(self.together)),
            ("spread", Json::Bool(false)),
            ("preemptible", Json::Bool(self.preemptible)),
            ("expected_s", num(format!("{:?}", self.expected_s))),
            ("snapshot_every_s", num("0.0")),
            ("snapshot_s", num("0.0")),
            ("due_s", Json::Null),
        ];
        if !self.awaits.is_empty() {
            fields.push(("awaits", Json::Arr(self.awaits.iter().map(string).collect())));
        }
        obj(fields)
    }
}

/// The users: they meet the nodes in turn, as through the load balancer.
pub struct Users {
    pub platform: Platform,
    pub nodes: Vec<SocketAddr>,
    pub turn: usize,
}

impl Users {
    fn next(&mut self) -> SocketAddr {
        self.turn += 1;
        self.nodes[self.turn % self.nodes.len()]
    }

    /// Submits a job, and tries again for up to 60 s. The status of the last answer; 0 without one.
    pub fn submit(&mut self, spec: &Spec) -> u16 {
        let body = spec.body();
        self.platform.lock().jobs.entry(spec.id.clone()).or_default().body = Some(body.clone());
        let text = body.text();
        let first = Instant::now();
        loop {
            let node = self.next();
            let answer = http::call(node, "POST", "/submissions", &text, Duration::from_secs(5));
            let (status, answer) = answer.unwrap_or((0, String::new()));
            self.platform.lock().note(&format!("user: submit {} -> {status} {}", spec.id, short(&answer)));
            if matches!(status, 200 | 201) {
                self.told(&spec.id, &answer, true);
            }
            if matches!(status, 200 | 201 | 400 | 422) || first.elapsed() > Duration::from_secs(60) {
                return status;
            }
            std::thread::sleep(Duration::from_secs(1));
        }
    }

    /// Asks for a job's state once; `None` without a 200.
    pub fn status(&mut self, id: &str) -> Option<String> {
        let node = self.next();
        self.status_at(node, id)
    }

    pub fn status_at(&mut self, node: SocketAddr, id: &str) -> Option<String> {
        let accepted = self.platform.lock().jobs.get(id).is_some_and(|job| job.accepted.is_some());
        let answer = http::call(node, "GET", &format!("/submissions/{id}"), "", Duration::from_secs(2));
        let (status, answer) = answer.unwrap_or((0, String::new()));
        if status == 404 && accepted {
            self.platform.lock().fail(format!("forgotten: accepted job {id} got 404"));
        }
        if status != 200 {
            return None;
        }
        self.told(id, &answer, false);
        Some(Json::parse(&answer)?.get("phase").str().to_string())
    }

    /// Cancels a job, and tries again for up to 60 s.
    pub fn withdraw(&mut self, id: &str) -> u16 {
        self.platform.lock().jobs.entry(id.to_string()).or_default().asked_to_cancel = true;
        let first = Instant::now();
        loop {
            let node = self.next();
            let path = format!("/submissions/{id}/withdraw");
            let (status, answer) =
                http::call(node, "POST", &path, "", Duration::from_secs(5)).unwrap_or((0, String::new()));
            self.platform.lock().note(&format!("user: withdraw {id} -> {status} {}", short(&answer)));
            if status == 200 {
                self.told(id, &answer, false);
            }
            if status == 200 || first.elapsed() > Duration::from_secs(60) {
                return status;
            }
            std::thread::sleep(Duration::from_secs(1));
        }
    }

    /// Judges an answer about a job against earlier answers and what ran.
    fn told(&mut self, id: &str, answer: &str, submitting: bool) {
        let phase =
            Json::parse(answer).map(|answer| answer.get("phase").str().to_string()).unwrap_or_default();
        let mut world = self.platform.lock();
        let all_done = world.all_done(id);
        let asked = world.asked_to_cancel(id);
        let job = world.jobs.entry(id.to_string()).or_default();
        let mut failures = Vec::new();
        if job.accepted.is_none() && submitting {
            job.accepted = Some(Instant::now());
        }
        if let Some(before) = &job.terminal {
            if *before != phase {
                failures.push(format!("went_back: {id} was {before} and is {phase}"));
            }
        }
        if phase == "done" && !all_done {
            failures.push(format!("not_done: {id} is called done"));
        }
        if phase == "withdrawn" && !asked {
            failures.push(format!("went_back: {id} is withdrawn, and nobody asked"));
        }
        if phase == "withdrawn" && job.cancelled.is_none() {
            job.cancelled = Some(Instant::now());
        }
        if phase == "done" || phase == "withdrawn" {
            job.terminal = Some(phase);
        }
        failures.into_iter().for_each(|failure| world.fail(failure));
    }
}

fn short(text: &str) -> String {
    text.chars().take(160).collect()
}
