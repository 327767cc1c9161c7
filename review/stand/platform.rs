//! The cloud, its machines with their workers, and the rules, judged by what machines and users see.
//! Written from PROTOCOL alone.

use crate::http::{self, Answer, Request};
use crate::json::{Json, num, obj, string};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

pub const EPS: f64 = 1e-6;

#[derive(Clone)]
pub struct Flavor {
    pub name: &'static str,
    pub vcpus: f64,
    pub accelerators: f64,
    pub memory_gb: f64,
    pub pull_gb_per_s: f64,
    pub ready_s: f64,
    /// Seconds that a machine takes to boot here.
    pub boots_in_s: f64,
    /// Machines to be had in each zone, ordinary and spot.
    pub per_zone: usize,
    pub spot_per_zone: usize,
    pub hourly: f64,
    pub low_price: f64,
}

#[derive(Clone)]
pub struct Facts {
    pub zones: Vec<&'static str>,
    pub flavors: Vec<Flavor>,
    /// Teams with their guarantee and limit of GPUs.
    pub teams: Vec<(&'static str, f64, f64)>,
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, PartialEq, Debug)]
pub enum Phase {
    Fetching,
    Waiting(Instant),
    Running(Instant),
    Ended(&'static str),
}

#[derive(Clone, Debug)]
pub struct Task {
    pub name: String,
    pub attempt: u64,
    pub phase: Phase,
    /// When a gang's running task noticed that another one is gone.
    lonely: Option<Instant>,
}

impl Task {
    pub fn job(&self) -> &str {
        self.name.split('/').next().unwrap_or("")
    }
    /// Whether it is on its machine: from when it has its image until it exits.
    pub fn present(&self) -> bool {
        matches!(self.phase, Phase::Waiting(_) | Phase::Running(_))
    }
    fn ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }
}

pub struct Machine {
    pub id: String,
    pub flavor: Flavor,
    pub zone: &'static str,
    pub spot: bool,
    addr: Option<SocketAddr>,
    rented: Instant,
    up_at: Instant,
    pub hung: bool,
    /// Reports of this worker reach no node.
    pub mute: bool,
    tenure: u64,
    serial: u64,
    pub fence: u64,
    began: Instant,
    answered_sent: Option<Instant>,
    pub tasks: Vec<Task>,
    fetches: BTreeMap<String, f64>,
    images: BTreeSet<String>,
    node: usize,
    next_report: Instant,
    last_report: Instant,
    pub reports_200: u64,
}

#[derive(Default)]
pub struct Job {
    pub body: Option<Json>,
    pub accepted: Option<Instant>,
    pub asked_to_cancel: bool,
    pub cancelled: Option<Instant>,
    pub terminal: Option<String>,
    /// Since when some task waits although a machine that fits has room and its team is under its limit.
    pub waits_since: Option<Instant>,
    pub starts: u64,
    pub reported_waiting: bool,
}

pub struct World {
    pub facts: Facts,
    pub began: Instant,
    pub machines: BTreeMap<String, Machine>,
    last_machine: u64,
    claims: BTreeMap<String, Vec<String>>,
    pub jobs: BTreeMap<String, Job>,
    pub done: BTreeSet<String>,
    /// When each machine ended, for the lagging list.
    ended: BTreeMap<String, (Json, Instant)>,
    nodes: Vec<(String, SocketAddr)>,
    pub broken: Vec<String>,
    record: std::fs::File,
    pub cloud_down: bool,
    /// The share of the machines of a type in a zone that the cloud has to give, ordinary and spot.
    pub shares: BTreeMap<(String, String), (f64, f64)>,
    pub rented: u64,
    pub released: u64,
}

#[derive(Clone)]
pub struct Platform(pub Arc<Mutex<World>>);

impl Platform {
    pub fn start(facts: Facts, record: std::fs::File) -> (Self, SocketAddr) {
        let world = World {
            facts,
            began: Instant::now(),
            machines: BTreeMap::new(),
            last_machine: 0,
            claims: BTreeMap::new(),
            jobs: BTreeMap::new(),
            done: BTreeSet::new(),
            ended: BTreeMap::new(),
            nodes: Vec::new(),
            broken: Vec::new(),
            record,
            cloud_down: false,
            shares: BTreeMap::new(),
            rented: 0,
            released: 0,
        };
        let platform = Platform(Arc::new(Mutex::new(world)));
        let cloud = platform.clone();
        let addr = http::serve(move |request| cloud.cloud(request));
        let clock = platform.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                clock.lock().tick();
            }
        });
        (platform, addr)
    }

    pub fn lock(&self) -> MutexGuard<'_, World> {
        self.0.lock().unwrap()
    }

    pub fn set_nodes(&self, nodes: Vec<(String, SocketAddr)>) {
        self.lock().nodes = nodes;
    }

    /// Adds a machine whose worker begins after `boots_in_s`.
    pub fn add_machine(&self, flavor: &str, zone: &'static str, spot: bool, boots_in_s: f64) -> String {
        let mut world = self.lock();
        let now = Instant::now();
        world.last_machine += 1;
        let id = format!("m-{:06}", world.last_machine);
        let flavor = world.facts.flavors.iter().find(|known| known.name == flavor).unwrap().clone();
        let up_at = now + Duration::from_secs_f64(boots_in_s);
        let node = world.last_machine as usize;
        let machine = Machine {
            id: id.clone(),
            flavor,
            zone,
            spot,
            addr: None,
            rented: now,
            up_at,
            hung: false,
            mute: false,
            tenure: 1,
            serial: 0,
            fence: 0,
            began: up_at,
            answered_sent: None,
            tasks: Vec::new(),
            fetches: BTreeMap::new(),
            images: BTreeSet::new(),
            node,
            next_report: up_at,
            last_report: up_at,
            reports_200: 0,
        };
        world.machines.insert(id.clone(), machine);
        drop(world);
        let server = self.clone();
        let name = id.clone();
        let addr = http::serve(move |request| server.command(&name, request));
        self.lock().machines.get_mut(&id).unwrap().addr = Some(addr);
        let worker = self.clone();
        let name = id.clone();
        std::thread::spawn(move || worker.report(&name));
        id
    }

    fn cloud(&self, request: &Request) -> Answer {
        if self.lock().cloud_down {
            return Some((503, obj(vec![("error", string("trouble"))]).text()));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => (200, self.lock().flavors()),
            ("GET", "/machines") => (200, self.lock().list(request.arg("from"), request.arg("most"))),
            ("POST", "/machines") => self.rent(&body),
            ("POST", "/machines/release") => {
                let mut world = self.lock();
                for id in body.get("hosts").arr() {
                    world.end_machine(id.str(), "released");
                }
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        };
        Some(answer)
    }

    fn rent(&self, body: &Json) -> (u16, String) {
        let claim = body.get("claim").str().to_string();
        let known = self.lock().claims.get(&claim).cloned();
        let hosts = known.unwrap_or_else(|| {
            let (flavor, free, zone) = {
                let world = self.lock();
                let zone = world.facts.zones.iter().find(|zone| **zone == body.get("region").str()).copied();
                let flavor = world
                    .facts
                    .flavors
                    .iter()
                    .find(|flavor| flavor.name == body.get("flavor").str())
                    .cloned();
                let (Some(zone), Some(flavor)) = (zone, flavor) else { return Vec::new() };
                let spot = body.get("preemptible").bool();
                let same = |m: &&Machine| m.zone == zone && m.flavor.name == flavor.name && m.spot == spot;
                let used = world.machines.values().filter(same).count();
                let key = (flavor.name.to_string(), zone.to_string());
                let (ordinary, cheap) = world.shares.get(&key).copied().unwrap_or((1.0, 1.0));
                let most = if spot {
                    flavor.spot_per_zone as f64 * cheap
                } else {
                    flavor.per_zone as f64 * ordinary
                };
                let free = (most as usize).saturating_sub(used);
                (flavor, free, zone)
            };
            let number = (body.get("number").u64().unwrap_or(1) as usize).min(free).min(50);
            let hosts: Vec<String> = (0..number)
                .map(|_| {
                    self.add_machine(flavor.name, zone, body.get("preemptible").bool(), flavor.boots_in_s)
                })
                .collect();
            if !hosts.is_empty() {
                let mut world = self.lock();
                world.rented += hosts.len() as u64;
                world.claims.insert(claim.clone(), hosts.clone());
                let kind = if body.get("preemptible").bool() { "spot" } else { "ordinary" };
                world.note(&format!("cloud: rented {} {} in {zone}, {kind}", hosts.join(" "), flavor.name));
            }
            hosts
        });
        if hosts.is_empty() {
            let text = format!(
                "cloud: no capacity: {} {} {}",
                body.get("flavor").str(),
                body.get("region").str(),
                if body.get("preemptible").bool() { "spot" } else { "ordinary" }
            );
            self.lock().note(&text);
            return (503, obj(vec![("error", string("no capacity"))]).text());
        }
        (200, obj(vec![("hosts", Json::Arr(hosts.into_iter().map(string).collect()))]).text())
    }

    /// POST /do and GET /inspect of a worker.
    fn command(&self, id: &str, request: &Request) -> Answer {
        loop {
            let mut world = self.lock();
            let machine = world.machines.get(id)?;
            if Instant::now() < machine.up_at {
                return None;
            }
            if machine.hung {
                drop(world);
                std::thread::sleep(Duration::from_millis(50));
                continue;
            }
            if request.path == "/inspect" {
                return Some((200, world.heartbeat(id)));
            }
            let body = Json::parse(&request.body)?;
            let (Some(fence), Some(tenure)) = (body.get("fence").u64(), body.get("tenure").u64()) else {
                return Some((400, "{}".into()));
            };
            let accepted = fence >= machine.fence && tenure == machine.tenure;
            if accepted {
                world.execute(id, fence, &body, "do");
            }
            return Some((if accepted { 200 } else { 409 }, world.heartbeat(id)));
        }
    }

    /// Sends a worker's reports until its machine is gone.
    fn report(&self, id: &str) {
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let now = Instant::now();
            let (body, addr, node, tenure) = {
                let mut world = self.lock();
                let nodes = world.nodes.clone();
                let Some(machine) = world.machines.get_mut(id) else { return };
                if now < machine.up_at || machine.hung || now < machine.next_report || nodes.is_empty() {
                    continue;
                }
                machine.node %= nodes.len();
                let (node, tenure) = (machine.node, machine.tenure);
                machine.last_report = now;
                if machine.mute {
                    machine.node = (node + 1) % nodes.len();
                    machine.next_report = now + Duration::from_secs(1);
                    continue;
                }
                (world.heartbeat(id), nodes[node].1, node, tenure)
            };
            let answer = http::call(addr, "POST", "/v1/report", &body, Duration::from_secs(4));
            loop {
                let mut world = self.lock();
                match world.machines.get(id) {
                    None => return,
                    Some(machine) if machine.hung => {
                        drop(world);
                        std::thread::sleep(Duration::from_millis(20));
                    }
                    Some(_) => {
                        world.report_answered(id, now, tenure, node, answer);
                        break;
                    }
                }
            }
        }
    }
}

impl World {
    pub fn note(&mut self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.began.elapsed().as_secs_f64());
        let _ = self.record.write_all(line.as_bytes());
    }

    pub fn fail(&mut self, text: String) {
        self.note(&format!("BROKEN {text}"));
        self.broken.push(text);
    }

    fn flavors(&self) -> String {
        let flavors = self.facts.flavors.iter().map(|flavor| {
            obj(vec![
                ("name", string(flavor.name)),
                ("vcpus", num(flavor.vcpus)),
                ("accelerators", num(flavor.accelerators)),
                ("memory_gb", num(flavor.memory_gb)),
                ("local_gb", num(150.0)),
                ("pull_gb_per_s", num(flavor.pull_gb_per_s)),
                ("hourly", num(flavor.hourly)),
                ("low_price", num(flavor.low_price)),
                ("ready_s", num(flavor.ready_s)),
                ("regions", Json::Arr(self.facts.zones.iter().map(|zone| string(*zone)).collect())),
            ])
        });
        obj(vec![("flavors", Json::Arr(flavors.collect()))]).text()
    }

    fn listed(machine: &Machine) -> Json {
        let phase = if Instant::now() < machine.up_at { "starting" } else { "running" };
        obj(vec![
            ("id", string(machine.id.clone())),
            ("addr", machine.addr.map_or(Json::Null, |addr| string(addr.to_string()))),
            ("flavor", string(machine.flavor.name)),
            ("region", string(machine.zone)),
            ("preemptible", Json::Bool(machine.spot)),
            ("phase", string(phase)),
            ("age_s", num(machine.rented.elapsed().as_secs_f64())),
        ])
    }

    /// The list as it was `list_lag_s` ago.
    fn list(&mut self, from: &str, most: &str) -> String {
        let lag = Duration::from_secs_f64(self.facts.list_lag_s);
        let most = most.parse().unwrap_or(500_usize).min(500);
        self.ended.retain(|_, (_, at)| at.elapsed() < lag);
        let mut all: BTreeMap<String, Json> =
            self.ended.iter().map(|(id, (json, _))| (id.clone(), json.clone())).collect();
        for machine in self.machines.values().filter(|machine| machine.rented.elapsed() >= lag) {
            all.insert(machine.id.clone(), Self::listed(machine));
        }
        let after: Vec<Json> =
            all.into_iter().filter(|(id, _)| id.as_str() > from).map(|(_, json)| json).collect();
        let more = after.len() > most;
        obj(vec![("hosts", Json::Arr(after.into_iter().take(most).collect())), ("more", Json::Bool(more))])
            .text()
    }

    pub fn end_machine(&mut self, id: &str, why: &str) {
        let Some(machine) = self.machines.remove(id) else { return };
        let tasks: Vec<&str> = machine.tasks.iter().filter(|t| !t.ended()).map(|t| t.name.as_str()).collect();
        let text = format!("cloud: {why} {id} with tasks [{}]", tasks.join(" "));
        self.released += 1;
        self.ended.insert(id.to_string(), (Self::listed(&machine), Instant::now()));
        self.note(&text);
    }

    fn heartbeat(&mut self, id: &str) -> String {
        let Some(machine) = self.machines.get_mut(id) else { return "{}".into() };
        machine.serial += 1;
        let shards = machine.tasks.iter().map(|task| {
            let (phase, cause) = match task.phase {
                Phase::Fetching => ("fetching", None),
                Phase::Waiting(_) => ("waiting", None),
                Phase::Running(_) => ("running", None),
                Phase::Ended(cause) => ("ended", Some(cause)),
            };
            let mut fields = vec![
                ("shard", string(task.name.clone())),
                ("try", num(task.attempt)),
                ("phase", string(phase)),
            ];
            if let Some(cause) = cause {
                fields.push(("cause", string(cause)));
            }
            obj(fields)
        });
        obj(vec![
            ("host", string(machine.id.clone())),
            ("addr", string(machine.addr.map_or(String::new(), |addr| addr.to_string()))),
            ("flavor", string(machine.flavor.name)),
            ("region", string(machine.zone)),
            ("preemptible", Json::Bool(machine.spot)),
            ("tenure", num(machine.tenure)),
            ("serial", num(machine.serial)),
            ("fence", num(machine.fence)),
            ("warning_s", Json::Null),
            ("shards", Json::Arr(shards.collect())),
        ])
        .text()
    }

    fn report_answered(
        &mut self,
        id: &str,
        sent: Instant,
        tenure: u64,
        node: usize,
        answer: Option<(u16, String)>,
    ) {
        let now = Instant::now();
        let report_s = self.facts.report_s;
        let nodes = self.nodes.len();
        let next = (node + 1) % nodes;
        let names: Vec<String> = self.nodes.iter().map(|(name, _)| name.clone()).collect();
        let Some(machine) = self.machines.get_mut(id) else { return };
        let (status, text) = answer.unwrap_or((0, String::new()));
        let body = Json::parse(&text).unwrap_or(Json::Null);
        if status == 421 {
            let named = names.iter().position(|name| name == body.get("master").str());
            if let Some(named) = named.filter(|named| *named != node) {
                machine.node = named;
                machine.next_report = now + Duration::from_millis(100);
                return;
            }
        }
        if status != 200 {
            machine.node = next;
            machine.next_report = now + Duration::from_secs(1);
            return;
        }
        machine.reports_200 += 1;
        // Give or take a quarter, by a simple spread over machines and reports.
        let spread = 0.75 + 0.5 * ((machine.serial * 7 + machine.id.len() as u64) % 10) as f64 / 10.0;
        machine.next_report = sent + Duration::from_secs_f64(report_s * spread);
        let Some(fence) = body.get("fence").u64() else { return };
        if fence < machine.fence || tenure != machine.tenure {
            return;
        }
        machine.answered_sent = Some(sent);
        self.execute(id, fence, &body, "answer");
    }

    /// Brings the next report forward after a change: at most one every half second.
    fn changed(machine: &mut Machine) {
        let soon = machine.last_report + Duration::from_millis(500);
        machine.next_report = machine.next_report.min(soon.max(Instant::now()));
    }

    fn execute(&mut self, id: &str, fence: u64, body: &Json, how: &str) {
        if let Some(machine) = self.machines.get_mut(id) {
            if fence > machine.fence {
                Self::changed(machine);
            }
            machine.fence = fence;
        }
        for order in body.get("orders").arr() {
            let name = order.get("shard").str().to_string();
            let attempt = order.get("try").u64().unwrap_or(0);
            match order.get("verb").str() {
                "start" => self.start_task(id, &name, attempt, how),
                "stop" => {
                    let Some(machine) = self.machines.get_mut(id) else { return };
                    let task =
                        machine.tasks.iter_mut().find(|task| task.name == name && task.attempt == attempt);
                    if let Some(task) = task.filter(|task| !task.ended()) {
                        task.phase = Phase::Ended("stopped");
                        Self::changed(machine);
                        self.note(&format!("{id}: stop {name} try {attempt} ({how}, fence {fence})"));
                    }
                }
                "forget" => {
                    let Some(machine) = self.machines.get_mut(id) else { return };
                    machine
                        .tasks
                        .retain(|task| task.name != name || task.attempt != attempt || !task.ended());
                }
                _ => {}
            }
        }
    }

    pub fn body(&self, job: &str) -> Option<&Json> {
        self.jobs.get(job).and_then(|job| job.body.as_ref())
    }

    fn need(body: &Json) -> [f64; 3] {
        [body.get("vcpus").f64(), body.get("accelerators").f64(), body.get("memory_gb").f64()]
    }

    /// What tasks that have not ended leave free.
    pub fn free(&self, machine: &Machine) -> [f64; 3] {
        let mut free = [machine.flavor.vcpus, machine.flavor.accelerators, machine.flavor.memory_gb];
        for task in machine.tasks.iter().filter(|task| !task.ended()) {
            if let Some(body) = self.body(task.job()) {
                let need = Self::need(body);
                (0..3).for_each(|index| free[index] -= need[index]);
            }
        }
        free
    }

    fn start_task(&mut self, id: &str, name: &str, attempt: u64, how: &str) {
        let Some(machine) = self.machines.get(id) else { return };
        if machine.tasks.iter().any(|task| task.name == name && task.attempt == attempt) {
            return;
        }
        let job = name.split('/').next().unwrap_or("").to_string();
        let cause = match self.body(&job) {
            None => Some("unknown"),
            Some(_) if machine.tasks.iter().any(|task| task.name == name && !task.ended()) => Some("busy"),
            Some(body) => {
                let (free, need) = (self.free(machine), Self::need(body));
                (0..3).any(|index| need[index] > free[index] + EPS).then_some("no_room")
            }
        };
        let phase = cause.map_or(Phase::Fetching, Phase::Ended);
        if self.jobs.get(&job).is_none_or(|job| job.starts < 5) || cause.is_some() {
            self.note(&format!("{id}: start {name} try {attempt} ({how}) {}", cause.unwrap_or("")));
        }
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.tasks.push(Task { name: name.to_string(), attempt, phase, lonely: None });
        Self::changed(machine);
    }

    fn tick(&mut self) {
        self.leases();
        self.fetch();
        self.gangs();
        self.finish();
        self.judge();
    }

    fn leases(&mut self) {
        let now = Instant::now();
        let lease = Duration::from_secs_f64(self.facts.lease_s);
        let mut expired = Vec::new();
        for machine in self.machines.values_mut().filter(|machine| now >= machine.up_at && !machine.hung) {
            let since = machine.answered_sent.unwrap_or(machine.began).max(machine.began);
            if now.duration_since(since) > lease {
                machine.tenure += 1;
                machine.began = now;
                machine.answered_sent = None;
                machine.fetches.clear();
                expired.push(format!("{}: lease ended, {} tasks killed", machine.id, machine.tasks.len()));
                machine.tasks.clear();
                Self::changed(machine);
            }
        }
        expired.iter().for_each(|text| self.note(text));
    }

    fn fetch(&mut self) {
        let mut started: Vec<(String, String)> = Vec::new();
        let ids: Vec<String> = self.machines.keys().cloned().collect();
        for id in ids {
            let images: Vec<(String, f64)> = {
                let machine = &self.machines[&id];
                if machine.hung {
                    continue;
                }
                let fetching = machine.tasks.iter().filter(|task| task.phase == Phase::Fetching);
                fetching
                    .filter_map(|task| self.body(task.job()))
                    .map(|body| (body.get("bundle").str().to_string(), body.get("image_gb").f64()))
                    .collect()
            };
            let bundles: BTreeMap<String, String> = {
                let machine = &self.machines[&id];
                let names = machine.tasks.iter().map(|task| task.job().to_string());
                names
                    .filter_map(|job| Some((job.clone(), self.body(&job)?.get("bundle").str().to_string())))
                    .collect()
            };
            let machine = self.machines.get_mut(&id).unwrap();
            let wanted: BTreeMap<String, f64> =
                images.into_iter().filter(|(image, _)| !machine.images.contains(image)).collect();
            machine.fetches.retain(|image, _| wanted.contains_key(image));
            for (image, gb) in &wanted {
                machine.fetches.entry(image.clone()).or_insert(*gb);
            }
            let share = 0.05 * machine.flavor.pull_gb_per_s / machine.fetches.len().max(1) as f64;
            let mut fetched = Vec::new();
            for (image, left) in &mut machine.fetches {
                *left -= share;
                if *left <= 0.0 {
                    fetched.push(image.clone());
                }
            }
            for image in fetched {
                machine.fetches.remove(&image);
                machine.images.insert(image);
            }
            let Machine { tasks, images, .. } = machine;
            for task in tasks.iter().filter(|task| task.phase == Phase::Fetching) {
                if bundles.get(task.job()).is_some_and(|bundle| images.contains(bundle)) {
                    started.push((id.clone(), task.name.clone()));
                }
            }
        }
        for (id, name) in started {
            self.begin(&id, &name);
        }
    }

    /// A task has its image: from now on it is on the machine.
    fn begin(&mut self, id: &str, name: &str) {
        let job = name.split('/').next().unwrap_or("").to_string();
        let Some(body) = self.body(&job).cloned() else { return };
        let cancel = Duration::from_secs_f64(self.facts.cancel_s);
        let mut failures = Vec::new();
        let machine = &self.machines[id];
        for other in self.machines.values().filter(|other| other.id != id) {
            if other.tasks.iter().any(|task| task.name == name && task.present()) {
                failures.push(format!("ran_twice: {name} starts on {id} while it is on {}", other.id));
            }
        }
        let flavors = body.get("flavors").arr();
        let flavor_ok =
            body.get("flavors").is_null() || flavors.iter().any(|f| f.str() == machine.flavor.name);
        let zone_ok = body.get("region").is_null() || body.get("region").str() == machine.zone;
        let kind_ok = !machine.spot || body.get("preemptible").bool();
        let others = |same: bool| {
            self.machines
                .values()
                .filter(|other| (other.zone == machine.zone) == same)
                .flat_map(|other| other.tasks.iter())
                .filter(|task| task.present() && task.job() == job && task.name != name)
                .count() as u64
        };
        let shards = body.get("shards").u64().unwrap_or(1);
        let spread_ok = !body.get("spread").bool() || others(true) < shards.div_ceil(2);
        let together_ok = !body.get("together").bool() || others(false) == 0;
        if !(flavor_ok && zone_ok && kind_ok && spread_ok && together_ok) {
            failures.push(format!("wrong_place: {name} on {id}"));
        }
        let told = self.jobs.get(&job).and_then(|job| job.cancelled);
        if told.is_some_and(|told| told.elapsed() > cancel) {
            failures.push(format!("ran_cancelled: {name} starts on {id}"));
        }
        for needed in body.get("awaits").arr() {
            if !self.all_done(needed.str()) {
                failures.push(format!("too_early: {name} starts before {} is done", needed.str()));
            }
        }
        let gang = body.get("shape").str() == "ensemble";
        let done = self.done.contains(name);
        let now = Instant::now();
        let machine = self.machines.get_mut(id).unwrap();
        for task in machine.tasks.iter_mut().filter(|task| task.name == name && task.phase == Phase::Fetching)
        {
            task.phase = match (done, gang) {
                (true, _) => Phase::Ended("done"),
                (_, true) => Phase::Waiting(now),
                _ => Phase::Running(now),
            };
        }
        Self::changed(machine);
        let starts = self.jobs.get_mut(&job).map_or(0, |job| {
            job.starts += 1;
            job.starts
        });
        if starts <= 5 {
            self.note(&format!("{id}: {name} is on the machine"));
        }
        failures.into_iter().for_each(|failure| self.fail(failure));
    }

    /// The node that a machine's worker reports to.
    pub fn reports_to(&self, machine: &str) -> Option<usize> {
        self.machines.get(machine).map(|machine| machine.node)
    }

    /// Whether a user asked to cancel the job or one that it needs.
    pub fn asked_to_cancel(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|job| {
            job.asked_to_cancel
                || job.body.as_ref().is_some_and(|body| {
                    body.get("awaits").arr().iter().any(|needed| self.asked_to_cancel(needed.str()))
                })
        })
    }

    pub fn all_done(&self, job: &str) -> bool {
        let shards = self.body(job).and_then(|body| body.get("shards").u64()).unwrap_or(u64::MAX);
        shards < u64::MAX && (0..shards).all(|index| self.done.contains(&format!("{job}/{index}")))
    }

    /// Gangs start together once the last task has its image, and break if one goes away.
    fn gangs(&mut self) {
        let now = Instant::now();
        let mut waiting: BTreeMap<(String, u64), u64> = BTreeMap::new();
        let mut running: BTreeMap<(String, u64), u64> = BTreeMap::new();
        for task in self.machines.values().filter(|m| !m.hung).flat_map(|m| m.tasks.iter()) {
            let key = (task.job().to_string(), task.attempt);
            match task.phase {
                Phase::Waiting(_) => *waiting.entry(key).or_default() += 1,
                Phase::Running(_) => *running.entry(key).or_default() += 1,
                _ => {}
            }
        }
        let jobs = &self.jobs;
        let shards = |job: &str| {
            jobs.get(job).and_then(|j| j.body.as_ref()).and_then(|b| b.get("shards").u64()).unwrap_or(0)
        };
        let gang = |job: &str| {
            jobs.get(job).and_then(|j| j.body.as_ref()).is_some_and(|b| b.get("shape").str() == "ensemble")
        };
        let (wait, peer) = (self.facts.gang_wait_s, self.facts.gang_peer_s);
        for machine in self.machines.values_mut().filter(|machine| !machine.hung) {
            let mut changed = false;
            for task in machine.tasks.iter_mut() {
                let job = task.job().to_string();
                if !gang(&job) {
                    continue;
                }
                let key = (job.clone(), task.attempt);
                match task.phase {
                    Phase::Waiting(_) if waiting.get(&key) == Some(&shards(&job)) => {
                        task.phase = Phase::Running(now);
                        changed = true;
                    }
                    Phase::Waiting(since) if now.duration_since(since).as_secs_f64() > wait => {
                        task.phase = Phase::Ended("incomplete");
                        changed = true;
                    }
                    Phase::Running(_) if running.get(&key).copied().unwrap_or(0) < shards(&job) => {
                        let since = *task.lonely.get_or_insert(now);
                        if now.duration_since(since).as_secs_f64() > peer {
                            task.phase = Phase::Ended("peers");
                            changed = true;
                        }
                    }
                    _ => {}
                }
            }
            if changed {
                Self::changed(machine);
            }
        }
    }

    fn finish(&mut self) {
        let now = Instant::now();
        let mut done = Vec::new();
        let mut finished: Vec<(String, bool, f64)> = Vec::new();
        for (id, job) in &self.jobs {
            if let Some(body) = &job.body {
                if body.get("shape").str() != "daemon" {
                    finished.push((
                        id.clone(),
                        body.get("shape").str() == "ensemble",
                        body.get("expected_s").f64(),
                    ));
                }
            }
        }
        let length: BTreeMap<String, (bool, f64)> =
            finished.into_iter().map(|(id, gang, s)| (id, (gang, s))).collect();
        for machine in self.machines.values_mut().filter(|machine| !machine.hung) {
            let mut changed = false;
            for task in machine.tasks.iter_mut() {
                if let (Phase::Running(since), Some((gang, s))) = (&task.phase, length.get(task.job())) {
                    if now.duration_since(*since).as_secs_f64() >= *s && (!gang || task.lonely.is_none()) {
                        task.phase = Phase::Ended("done");
                        done.push((task.name.clone(), *gang));
                        changed = true;
                    }
                }
            }
            if changed {
                Self::changed(machine);
            }
        }
        for (name, gang) in done {
            let job = name.split('/').next().unwrap_or("").to_string();
            if gang {
                let shards = self.body(&job).and_then(|body| body.get("shards").u64()).unwrap_or(0);
                self.done.extend((0..shards).map(|index| format!("{job}/{index}")));
            }
            self.done.insert(name);
        }
    }

    /// The rules that hold at every moment.
    fn judge(&mut self) {
        let cancel = Duration::from_secs_f64(self.facts.cancel_s);
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        let mut occupied: BTreeMap<String, f64> = BTreeMap::new();
        let mut placed: BTreeMap<String, u64> = BTreeMap::new();
        let mut failures = Vec::new();
        for machine in self.machines.values() {
            for task in &machine.tasks {
                let Some(body) = self.body(task.job()) else { continue };
                let owner = body.get("owner").str().to_string();
                if !task.ended() {
                    *occupied.entry(owner.clone()).or_default() += body.get("accelerators").f64();
                    *placed.entry(task.job().to_string()).or_default() += 1;
                }
                if !task.present() {
                    continue;
                }
                *used.entry(owner).or_default() += body.get("accelerators").f64();
                let told = self.jobs.get(task.job()).and_then(|job| job.cancelled);
                if told.is_some_and(|told| told.elapsed() > cancel) {
                    failures.push(format!("ran_cancelled: {} is still on {}", task.name, machine.id));
                }
            }
        }
        for (team, _, limit) in &self.facts.teams {
            if used.get(*team).copied().unwrap_or(0.0) > limit + EPS {
                failures.push(format!("quota: {team} uses {}", used[*team]));
            }
        }
        let mut waits: Vec<(String, bool)> = Vec::new();
        for (id, job) in &self.jobs {
            let (Some(body), Some(_), None, false) =
                (&job.body, job.accepted, &job.terminal, job.asked_to_cancel)
            else {
                continue;
            };
            if !body.get("awaits").arr().iter().all(|needed| self.all_done(needed.str())) {
                continue;
            }
            let shards = body.get("shards").u64().unwrap_or(0);
            let done = self.done.iter().filter(|name| name.split('/').next() == Some(id)).count() as u64;
            let waiting = shards.saturating_sub(done + placed.get(id).copied().unwrap_or(0));
            let gang = body.get("shape").str() == "ensemble";
            let needed = if gang { shards } else { 1 };
            let limit = self
                .facts
                .teams
                .iter()
                .find(|team| team.0 == body.get("owner").str())
                .map_or(0.0, |team| team.2);
            let under_limit = occupied.get(body.get("owner").str()).copied().unwrap_or(0.0)
                + needed as f64 * body.get("accelerators").f64()
                <= limit + EPS;
            let room: u64 = self
                .machines
                .values()
                .filter(|m| Instant::now() >= m.up_at && !m.hung && !m.mute)
                .filter(|m| body.get("region").is_null() || body.get("region").str() == m.zone)
                .filter(|m| !m.spot || body.get("preemptible").bool())
                .map(|m| {
                    let (free, need) = (self.free(m), Self::need(body));
                    let fits = |i: usize| {
                        if need[i] > 0.0 { ((free[i] + EPS) / need[i]).max(0.0) as u64 } else { u64::MAX }
                    };
                    fits(0).min(fits(1)).min(fits(2)).min(100_000)
                })
                .sum();
            let broken_gang = gang && placed.get(id).copied().unwrap_or(0) > 0;
            waits.push((id.clone(), waiting > 0 && under_limit && room >= needed && !broken_gang));
        }
        for (id, waiting) in waits {
            let job = self.jobs.get_mut(&id).unwrap();
            if !waiting {
                job.waits_since = None;
                continue;
            }
            let since = *job.waits_since.get_or_insert_with(Instant::now);
            if since.elapsed() >= Duration::from_secs(90) && !job.reported_waiting {
                job.reported_waiting = true;
                failures.push(format!(
                    "left_waiting: {id} has a task that waits for {:.0} s while machines that fit have room and its team is under its limit",
                    since.elapsed().as_secs_f64()
                ));
            }
        }
        failures.sort();
        for failure in failures {
            if !self.broken.contains(&failure) {
                self.fail(failure);
            }
        }
    }
}
