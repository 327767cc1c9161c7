//! The controllers: processes of the project's own program, started by the commands of the deploy file.

use crate::record::Record;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

/// The processes that run, by controller. Ended by [`end_all`], also if a case takes too long.
static PROCESSES: Mutex<[Option<Child>; 3]> = Mutex::new([None, None, None]);

/// Ends all processes that were started.
pub fn end_all() {
    for process in PROCESSES.lock().unwrap().iter_mut() {
        if let Some(mut process) = process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// What the settings files say, beyond the addresses.
pub struct Site {
    pub nodes: [&'static str; 3],
    pub zones: [&'static str; 3],
    /// The tables under `[facts]`.
    pub facts: &'static str,
}

pub struct Controllers {
    root: PathBuf,
    run: Vec<String>,
    folder: PathBuf,
    site: &'static Site,
    pub api: Vec<SocketAddr>,
    pub extra: Vec<SocketAddr>,
    operator: Option<String>,
    back: Vec<SocketAddr>,
    record: Record,
}

impl Controllers {
    pub fn new(
        root: &Path,
        site: &'static Site,
        operator: Option<String>,
        record: Record,
    ) -> Result<Self, String> {
        let deploy = fs::read_to_string(root.join("deploy/service.toml")).map_err(|e| e.to_string())?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run: Vec<String> = run.ok_or("no run command")?.split(' ').map(str::to_string).collect();
        let free = free_addresses()?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        Ok(Self {
            root: root.to_path_buf(),
            run,
            folder,
            site,
            api: free[0..3].to_vec(),
            back: free[3..6].to_vec(),
            extra: free[6..9].to_vec(),
            operator,
            record,
        })
    }

    pub fn names(&self) -> Vec<(String, SocketAddr)> {
        self.site.nodes.iter().map(|name| name.to_string()).zip(self.api.iter().copied()).collect()
    }

    /// Writes the settings. `state` has the address of the state service for each controller.
    pub fn settings(&self, state: &[SocketAddr], cloud: SocketAddr) -> std::io::Result<()> {
        let Site { nodes, zones, facts, .. } = self.site;
        for node in 0..3 {
            let mut text = format!("node = \"{}\"\nsite = \"{}\"\n", nodes[node], zones[node]);
            text += &format!("api_addr = \"{}\"\nback = \"{}\"\n", self.api[node], self.back[node]);
            for peer in (0..3).filter(|peer| *peer != node) {
                text += &format!(
                    "\n[[seeds]]\nnode = \"{}\"\nsite = \"{}\"\npeer_addr = \"{}\"\n",
                    nodes[peer], zones[peer], self.back[peer]
                );
            }
            text += &format!(
                "\n[outside]\ncloud = \"{cloud}\"\nstate = \"{}\"\n\n[facts]\ninitial_size = 3\n",
                state[node]
            );
            let mut sorted = *zones;
            sorted.sort_unstable();
            text += &format!("zones = {sorted:?}\n{facts}");
            fs::write(self.folder.join(format!("{node}.toml")), text)?;
            if let Some(operator) = &self.operator {
                let operator = operator.replace("LISTEN", &self.extra[node].to_string());
                fs::write(self.folder.join(format!("{node}.yaml")), operator)?;
            }
        }
        Ok(())
    }

    pub fn start(&mut self, node: usize) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{node}.log")))?;
        let mut arguments = self.run[1..].to_vec();
        if self.operator.is_some() {
            let file = self.folder.join(format!("{node}.yaml")).display().to_string();
            arguments.insert(1, "--operator".into());
            arguments.insert(2, file);
        }
        let process = Command::new(self.root.join(&self.run[0]))
            .args(arguments)
            .arg(self.folder.join(format!("{node}.toml")))
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("platform: {} started", self.site.nodes[node]));
        PROCESSES.lock().unwrap()[node] = Some(process);
        Ok(())
    }

    pub fn kill(&mut self, node: usize) {
        let process = PROCESSES.lock().unwrap()[node].take();
        if let Some(mut process) = process {
            let _ = process.kill();
            let _ = process.wait();
            self.record.line(&format!("platform: {} killed", self.site.nodes[node]));
        }
    }

    /// Resident memory of the process in KiB.
    pub fn memory_kib(&self, node: usize) -> Option<u64> {
        let id = PROCESSES.lock().unwrap()[node].as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }
}

/// Nine addresses that nobody listens on. They belong to this run alone: an address of loopback made of the process's
/// id, which no connection has as its own end.
fn free_addresses() -> Result<Vec<SocketAddr>, String> {
    let id = std::process::id();
    let host = Ipv4Addr::new(127, 64 + (id >> 16 & 0x3f) as u8, (id >> 8) as u8, 1 + (id % 254) as u8);
    let mut free = Vec::new();
    for port in 20_000..30_000 {
        let address = SocketAddr::from((host, port));
        if TcpListener::bind(address).is_ok() {
            free.push(address);
        }
        if free.len() == 9 {
            return Ok(free);
        }
    }
    Err("no free ports".into())
}

impl Drop for Controllers {
    fn drop(&mut self) {
        end_all();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
