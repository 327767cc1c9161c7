//! Controllers as real processes, around the stand-ins of the key-value store and the cloud.

mod node_settings;

use crate::cloud::Cloud;
use crate::store::StoreHandle;
use node_settings::ServiceAddresses;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tempfile::TempDir;
use tokio::process::{Child, Command};

/// What in the operators' file is replaced by a free port.
const PORT_PLACEHOLDER: &str = "PORT";

/// A team of users.
#[derive(Debug, Clone)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// How many GPUs it may hold at most.
    pub max_gpus: u32,
}

impl Team {
    /// A team that may hold `max_gpus` GPUs at most.
    pub fn new(name: &str, max_gpus: u32) -> Self {
        Self { name: name.to_string(), max_gpus }
    }
}

/// What a cluster is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The program that each controller runs.
    pub program: PathBuf,
    /// How many controllers there are.
    pub nodes: usize,
    /// The teams that may submit jobs.
    pub teams: Vec<Team>,
    /// The operators' file; `PORT` in it becomes a free port, another for each node.
    pub operator: String,
    /// Writes a second that the controllers are told the key-value store takes.
    pub write_rps: f64,
}

/// The addresses of a controller.
#[derive(Debug, Clone, Copy)]
struct NodeAddresses {
    api: SocketAddr,
    peer: SocketAddr,
    /// With the port that the operators' file gets.
    nomad_api: SocketAddr,
}

/// A running cluster. Its processes end with it.
pub struct Cluster {
    plan: Plan,
    /// Holds the settings and the log of each node.
    folder: TempDir,
    /// The controllers' processes, once they have been started.
    processes: Vec<Option<Child>>,
    /// The stand-in that rents out the machines.
    pub cloud: Cloud,
    /// Each node's address for users and workers.
    pub api_addrs: Vec<SocketAddr>,
    /// Each node's address with the port that its operators' file got.
    pub nomad_api_addrs: Vec<SocketAddr>,
}

impl Cluster {
    /// Starts the stand-ins and all controllers. Returns before the controllers answer.
    ///
    /// # Errors
    ///
    /// There are no free ports, files can't be written, or the program can't be started.
    pub async fn start(plan: Plan) -> std::io::Result<Self> {
        let nodes = free_addresses(plan.nodes)?;
        let api_addrs: Vec<SocketAddr> = nodes.iter().map(|node| node.api).collect();
        let nomad_api_addrs = nodes.iter().map(|node| node.nomad_api).collect();
        let zones = (0..plan.nodes).map(node_settings::zone).collect();
        let store = StoreHandle::default();
        let cloud = Cloud::new(store.clone(), api_addrs.clone(), zones);
        let services = ServiceAddresses { store: store.serve()?, cloud: cloud.serve()? };
        let processes = (0..plan.nodes).map(|_| None).collect();
        let folder = TempDir::new()?;
        let mut cluster = Self { plan, folder, processes, cloud, api_addrs, nomad_api_addrs };
        for node in 0..nodes.len() {
            cluster.write_settings(node, &nodes, services)?;
        }
        for node in 0..nodes.len() {
            cluster.start_node(node)?;
        }
        Ok(cluster)
    }

    fn write_settings(
        &self,
        node: usize,
        nodes: &[NodeAddresses],
        services: ServiceAddresses,
    ) -> std::io::Result<()> {
        let platform = node_settings::platform(&self.plan, node, nodes, services);
        std::fs::write(self.file(node, "toml"), platform)?;
        let port = nodes[node].nomad_api.port().to_string();
        std::fs::write(self.file(node, "yaml"), self.plan.operator.replace(PORT_PLACEHOLDER, &port))
    }

    /// A node's file of one kind.
    fn file(&self, node: usize, extension: &str) -> PathBuf {
        self.folder.path().join(format!("n{node}.{extension}"))
    }

    /// Starts a controller's process. Its log begins anew.
    ///
    /// # Errors
    ///
    /// The log can't be written, or the program can't be started.
    pub fn start_node(&mut self, node: usize) -> std::io::Result<()> {
        let log = std::fs::File::create(self.file(node, "log"))?;
        let operator = self.file(node, "yaml");
        let platform = self.file(node, "toml");
        let arguments =
            [Path::new("serve"), Path::new("--operator"), &operator, Path::new("--config"), &platform];
        let process = Command::new(&self.plan.program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.processes[node] = Some(process);
        Ok(())
    }

    /// Kills a controller's process, and returns when it has ended.
    ///
    /// # Errors
    ///
    /// The operating system refuses.
    pub async fn kill_node(&mut self, node: usize) -> std::io::Result<()> {
        match &mut self.processes[node] {
            Some(process) => process.kill().await,
            None => Ok(()),
        }
    }

    /// The process id of a controller, while it runs.
    pub fn pid(&self, node: usize) -> Option<u32> {
        self.processes[node].as_ref().and_then(Child::id)
    }

    /// What a controller has logged since its latest start.
    pub fn log(&self, node: usize) -> String {
        std::fs::read_to_string(self.file(node, "log")).unwrap_or_default()
    }
}

/// Free addresses for as many nodes. They are only free for now: another process may take one before it is used.
fn free_addresses(nodes: usize) -> std::io::Result<Vec<NodeAddresses>> {
    let listen = || TcpListener::bind(("127.0.0.1", 0));
    // Held together, so that none is given twice.
    let mut held = Vec::new();
    let mut addresses = Vec::new();
    for _ in 0..nodes {
        let listeners = [listen()?, listen()?, listen()?];
        addresses.push(NodeAddresses {
            api: listeners[0].local_addr()?,
            peer: listeners[1].local_addr()?,
            nomad_api: listeners[2].local_addr()?,
        });
        held.push(listeners);
    }
    Ok(addresses)
}
