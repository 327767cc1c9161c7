//! The cloud with its machines and their workers, as PROTOCOL describes them, and what their tasks did.

use crate::http::{self, Request, Response, response};
use crate::json::Json;
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How workers behave, and the one machine type.
#[derive(Clone)]
pub struct Facts {
    pub report_s: f64,
    pub lease_s: f64,
    pub flavor: &'static str,
    pub vcpus: f64,
    pub accelerators: f64,
    pub memory_gb: f64,
    pub hourly: f64,
    pub low_price: f64,
    pub ready_s: f64,
    /// How long a machine takes to be up here.
    pub boot: Duration,
    /// How long a fetch takes here.
    pub fetch: Duration,
    pub regions: Vec<String>,
}

/// What the tasks of a job do once they have their image.
#[derive(Clone, Copy)]
pub enum Run {
    /// They are done after this time.
    For(Duration),
    /// They run until they are stopped.
    Forever,
    /// They fail at once, as the job was submitted with a mistake.
    Fails,
}

/// What the jobs' tasks do, by job. Workers fetch a job's description themselves: it is what the users uploaded.
pub type Jobs = Arc<Mutex<BTreeMap<String, Run>>>;

/// A task that is on its machine, or was.
#[derive(Clone)]
pub struct Stay {
    pub shard: String,
    pub host: String,
    /// None while it is there.
    pub until: Option<Instant>,
}

struct Task {
    attempt: u64,
    /// When the image is there.
    ready: Instant,
    ends: Option<Instant>,
    cause_at_end: &'static str,
    phase: &'static str,
    cause: Option<&'static str>,
    stay: Option<usize>,
}

struct Worker {
    host: String,
    region: String,
    preemptible: bool,
    rented: Instant,
    up: Instant,
    addr: Option<SocketAddr>,
    tenure: u64,
    serial: u64,
    fence: u64,
    tasks: BTreeMap<String, Task>,
    changed: bool,
    /// When the last answered report was sent, or the session began.
    answered: Instant,
    gone: bool,
}

struct State {
    workers: BTreeMap<String, Arc<Mutex<Worker>>>,
    claims: BTreeMap<String, String>,
    last: u64,
}

#[derive(Clone)]
pub struct Platform {
    facts: Arc<Facts>,
    state: Arc<Mutex<State>>,
    pub jobs: Jobs,
    pub stays: Arc<Mutex<Vec<Stay>>>,
    nodes: Arc<Vec<(String, SocketAddr)>>,
    pub rentals: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    /// Zones where the cloud has no machine left to rent.
    pub full: Arc<Mutex<Vec<&'static str>>>,
    record: Record,
}

impl Platform {
    pub fn new(facts: Facts, nodes: Vec<(String, SocketAddr)>, record: Record) -> Self {
        Self {
            facts: Arc::new(facts),
            state: Arc::new(Mutex::new(State { workers: BTreeMap::new(), claims: BTreeMap::new(), last: 0 })),
            jobs: Jobs::default(),
            stays: Arc::default(),
            nodes: Arc::new(nodes),
            rentals: Arc::default(),
            stop: Arc::default(),
            full: Arc::default(),
            record,
        }
    }

    pub fn serve(&self) -> SocketAddr {
        let platform = self.clone();
        http::serve(move |request| platform.answer(&request))
    }

    /// The tasks of a job that are on machines now.
    pub fn present(&self, job: &str) -> Vec<Stay> {
        let stays = self.stays.lock().unwrap();
        let of_job =
            stays.iter().filter(|stay| stay.shard.split('/').next() == Some(job) && stay.until.is_none());
        of_job.cloned().collect()
    }

    /// All tasks that are on machines now.
    pub fn all_present(&self) -> Vec<Stay> {
        self.stays.lock().unwrap().iter().filter(|stay| stay.until.is_none()).cloned().collect()
    }

    /// Machines that are up at the start.
    pub fn start_machines(&self, region: &str, number: usize) {
        for _ in 0..number {
            self.rent_one(region, false, Duration::ZERO);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => {
                let facts = &self.facts;
                let regions = facts.regions.iter().map(|region| format!("\"{region}\"")).collect::<Vec<_>>();
                response(
                    200,
                    format!(
                        "{{\"flavors\":[{{\"name\":\"{}\",\"vcpus\":{},\"accelerators\":{},\"memory_gb\":{},\"local_gb\":150,\"pull_gb_per_s\":0.2,\"hourly\":{},\"low_price\":{},\"ready_s\":{},\"regions\":[{}]}}]}}",
                        facts.flavor,
                        facts.vcpus,
                        facts.accelerators,
                        facts.memory_gb,
                        facts.hourly,
                        facts.low_price,
                        facts.ready_s,
                        regions.join(",")
                    ),
                )
            }
            ("GET", "/machines") => {
                let state = self.lock();
                let from = request.query("from").unwrap_or_default();
                let most =
                    request.query("most").and_then(|most| most.parse().ok()).unwrap_or(500usize).min(500);
                let listed: Vec<String> = state
                    .workers
                    .iter()
                    .filter(|(host, _)| host.as_str() > from)
                    .map(|(host, worker)| {
                        let worker = worker.lock().unwrap();
                        let phase = if Instant::now() >= worker.up { "running" } else { "starting" };
                        let addr = worker.addr.map_or("null".into(), |addr| format!("\"{addr}\""));
                        format!(
                            "{{\"id\":\"{host}\",\"addr\":{addr},\"flavor\":\"{}\",\"region\":\"{}\",\"preemptible\":{},\"phase\":\"{phase}\",\"age_s\":{:.1}}}",
                            self.facts.flavor, worker.region, worker.preemptible, worker.rented.elapsed().as_secs_f64()
                        )
                    })
                    .collect();
                let more = listed.len() > most;
                response(
                    200,
                    format!("{{\"hosts\":[{}],\"more\":{more}}}", listed[..listed.len().min(most)].join(",")),
                )
            }
            ("POST", "/machines") => {
                let Some(body) = Json::parse(&request.body) else { return response(400, "{}") };
                let claim = body.get("claim").text().unwrap_or_default().to_string();
                if let Some(answer) = self.lock().claims.get(&claim) {
                    return response(200, answer.clone());
                }
                let number = body.get("number").int().unwrap_or(0).min(50);
                let region = body.get("region").text().unwrap_or_default();
                let preemptible = body.get("preemptible").bool();
                let full = self.full.lock().unwrap().contains(&region);
                let kind = if preemptible { "spot" } else { "ordinary" };
                let answer = if full { "no capacity" } else { "rented" };
                self.record.line(&format!("cloud: {number} {kind} machines in {region}: {answer}"));
                if full {
                    return response(503, "{\"error\":\"no capacity\"}");
                }
                let hosts: Vec<String> = (0..number)
                    .map(|_| {
                        format!(
                            "\"{}\"",
                            self.rent_one(region, body.get("preemptible").bool(), self.facts.boot)
                        )
                    })
                    .collect();
                let answer = format!("{{\"hosts\":[{}]}}", hosts.join(","));
                self.lock().claims.insert(claim, answer.clone());
                response(200, answer)
            }
            ("POST", "/machines/release") => {
                let Some(body) = Json::parse(&request.body) else { return response(400, "{}") };
                for host in body.get("hosts").list().iter().filter_map(Json::text) {
                    let worker = self.lock().workers.remove(host);
                    if let Some(worker) = worker {
                        self.record.line(&format!("cloud: {host} released"));
                        let mut worker = worker.lock().unwrap();
                        worker.gone = true;
                        self.end_all(&mut worker);
                    }
                }
                response(200, "{}")
            }
            _ => response(400, "{}"),
        }
    }

    fn rent_one(&self, region: &str, preemptible: bool, boot: Duration) -> String {
        self.rentals.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let host = {
            let mut state = self.lock();
            state.last += 1;
            format!("m-{:06}", state.last)
        };
        let worker = Arc::new(Mutex::new(Worker {
            host: host.clone(),
            region: region.to_string(),
            preemptible,
            rented: now,
            up: now + boot,
            addr: None,
            tenure: 1,
            serial: 0,
            fence: 0,
            tasks: BTreeMap::new(),
            changed: false,
            answered: now + boot,
            gone: false,
        }));
        self.lock().workers.insert(host.clone(), worker.clone());
        let platform = self.clone();
        std::thread::spawn(move || platform.run_worker(&worker));
        host
    }

    fn run_worker(&self, worker: &Arc<Mutex<Worker>>) {
        let up = worker.lock().unwrap().up;
        std::thread::sleep(up.saturating_duration_since(Instant::now()));
        let commands = (self.clone(), worker.clone());
        let addr = http::serve(move |request| commands.0.command(&commands.1, &request));
        worker.lock().unwrap().addr = Some(addr);
        let number: usize = worker.lock().unwrap().host[2..].parse().unwrap_or(0);
        let mut node = number % self.nodes.len();
        let mut next = Instant::now() + Duration::from_millis(50 * (number as u64 % 20));
        let mut not_before = Instant::now();
        loop {
            std::thread::sleep(Duration::from_millis(25));
            let now = Instant::now();
            let body = {
                let mut worker = worker.lock().unwrap();
                if worker.gone || self.stop.load(Ordering::Relaxed) {
                    return;
                }
                self.proceed(&mut worker, now);
                if now < next && !(worker.changed && now >= not_before) {
                    continue;
                }
                worker.changed = false;
                self.report(&mut worker)
            };
            let (tenure, sent) = (worker.lock().unwrap().tenure, Instant::now());
            let answer = http::send(self.nodes[node].1, "POST", "/v1/report", &body, Duration::from_secs(4));
            let mut worker = worker.lock().unwrap();
            let now = Instant::now();
            self.proceed(&mut worker, now);
            not_before = now + Duration::from_millis(500);
            match answer {
                Some(Response { status: 200, body }) => {
                    next = now + Duration::from_secs_f64(self.facts.report_s);
                    if let Some(body) = Json::parse(body.as_bytes())
                        && worker.tenure == tenure
                        && body.get("fence").int().is_some_and(|fence| fence >= worker.fence)
                    {
                        self.see(&mut worker, body.get("fence").int().unwrap_or(0));
                        worker.answered = sent;
                        self.execute(&mut worker, body.get("orders").list());
                    }
                }
                Some(Response { status: 421, body }) => {
                    let named = Json::parse(body.as_bytes());
                    let named = named.as_ref().and_then(|body| body.get("master").text());
                    let named = named.and_then(|named| self.nodes.iter().position(|(name, _)| name == named));
                    match named.filter(|named| *named != node) {
                        Some(named) => {
                            node = named;
                            next = now;
                        }
                        None => {
                            node = (node + 1) % self.nodes.len();
                            next = now + Duration::from_secs(1);
                            not_before = next;
                        }
                    }
                }
                _ => {
                    node = (node + 1) % self.nodes.len();
                    next = now + Duration::from_secs(1);
                    not_before = next;
                }
            }
        }
    }

    fn command(&self, worker: &Mutex<Worker>, request: &Request) -> Option<Response> {
        let mut worker = worker.lock().unwrap();
        if worker.gone {
            return None;
        }
        self.proceed(&mut worker, Instant::now());
        if request.method == "GET" {
            return response(200, self.report(&mut worker));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let (Some(fence), Some(tenure)) = (body.get("fence").int(), body.get("tenure").int()) else {
            return response(400, "{}");
        };
        if fence < worker.fence || tenure != worker.tenure {
            return response(409, self.report(&mut worker));
        }
        self.see(&mut worker, fence);
        self.execute(&mut worker, body.get("orders").list());
        response(200, self.report(&mut worker))
    }

    fn see(&self, worker: &mut Worker, fence: u64) {
        worker.fence = worker.fence.max(fence);
    }

    fn report(&self, worker: &mut Worker) -> String {
        worker.serial += 1;
        let shards = worker.tasks.iter().map(|(shard, task)| {
            let cause = task.cause.map_or(String::new(), |cause| format!(",\"cause\":\"{cause}\""));
            format!("{{\"shard\":\"{shard}\",\"try\":{},\"phase\":\"{}\"{cause}}}", task.attempt, task.phase)
        });
        let shards = shards.collect::<Vec<_>>().join(",");
        let addr = worker.addr.map_or(String::new(), |addr| addr.to_string());
        format!(
            "{{\"host\":\"{}\",\"addr\":\"{addr}\",\"flavor\":\"{}\",\"region\":\"{}\",\"preemptible\":{},\"tenure\":{},\"serial\":{},\"fence\":{},\"warning_s\":null,\"shards\":[{shards}]}}",
            worker.host,
            self.facts.flavor,
            worker.region,
            worker.preemptible,
            worker.tenure,
            worker.serial,
            worker.fence
        )
    }

    /// Ends what is over by now: fetches, tasks, and the session.
    fn proceed(&self, worker: &mut Worker, now: Instant) {
        if now.saturating_duration_since(worker.answered).as_secs_f64() > self.facts.lease_s {
            self.end_all(worker);
            worker.tasks.clear();
            worker.tenure += 1;
            worker.answered = now;
            worker.changed = true;
            self.record.line(&format!("worker {}: lease over, session {}", worker.host, worker.tenure));
        }
        let host = worker.host.clone();
        let mut lines = Vec::new();
        for (shard, task) in &mut worker.tasks {
            if task.phase == "fetching" && now >= task.ready {
                task.phase = "running";
                let mut stays = self.stays.lock().unwrap();
                stays.push(Stay { shard: shard.clone(), host: host.clone(), until: None });
                task.stay = Some(stays.len() - 1);
                worker.changed = true;
                lines.push(format!("worker {host}: {shard} runs"));
            }
            if task.phase == "running" && task.ends.is_some_and(|ends| now >= ends) {
                let cause = task.cause_at_end;
                end(&self.stays, task, cause, now);
                worker.changed = true;
                lines.push(format!("worker {host}: {shard} {cause}"));
            }
        }
        lines.iter().for_each(|line| self.record.line(line));
    }

    fn end_all(&self, worker: &mut Worker) {
        let now = Instant::now();
        worker.tasks.values_mut().for_each(|task| end(&self.stays, task, "stopped", now));
    }

    fn execute(&self, worker: &mut Worker, orders: &[Json]) {
        let now = Instant::now();
        for order in orders {
            let shard = order.get("shard").text().unwrap_or_default().to_string();
            let attempt = order.get("try").int().unwrap_or(0);
            let known = worker.tasks.get(&shard).map(|task| (task.attempt, task.phase));
            match order.get("verb").text().unwrap_or_default() {
                "start" if known.is_none_or(|(known, phase)| known != attempt && phase == "ended") => {
                    let job = shard.split('/').next().unwrap_or_default();
                    let runs = self.jobs.lock().unwrap().get(job).copied();
                    // The native jobs of Nomad's names, whose ids only the service knows, are services here.
                    let is_part = job.len() == "req-".len() + 32;
                    let Some(runs) = runs.or(is_part.then_some(Run::Forever)) else { continue };
                    let ready = now + self.facts.fetch;
                    let ends = match runs {
                        Run::For(time) => Some(ready + time),
                        Run::Forever => None,
                        Run::Fails => Some(ready),
                    };
                    let cause_at_end = if matches!(runs, Run::Fails) { "error" } else { "done" };
                    self.record.line(&format!("worker {}: start {shard}", worker.host));
                    worker.tasks.insert(
                        shard,
                        Task {
                            attempt,
                            ready,
                            ends,
                            cause_at_end,
                            phase: "fetching",
                            cause: None,
                            stay: None,
                        },
                    );
                    worker.changed = true;
                }
                "stop" => {
                    if let Some(task) = worker.tasks.get_mut(&shard).filter(|task| task.attempt == attempt)
                        && task.phase != "ended"
                    {
                        end(&self.stays, task, "stopped", now);
                        worker.changed = true;
                        self.record.line(&format!("worker {}: stop {shard}", worker.host));
                    }
                }
                "forget" => {
                    if worker
                        .tasks
                        .get(&shard)
                        .is_some_and(|task| task.attempt == attempt && task.phase == "ended")
                    {
                        worker.tasks.remove(&shard);
                        worker.changed = true;
                    }
                }
                _ => {}
            }
        }
    }
}

fn end(stays: &Mutex<Vec<Stay>>, task: &mut Task, cause: &'static str, now: Instant) {
    if task.phase == "ended" {
        return;
    }
    task.phase = "ended";
    task.cause = Some(cause);
    if let Some(stay) = task.stay {
        stays.lock().unwrap()[stay].until = Some(now);
    }
}
