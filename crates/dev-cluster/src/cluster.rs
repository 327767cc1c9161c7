//! Controllers as real processes, with a simulated key-value store and cloud.

mod node_settings;

use crate::cloud::Cloud;
use crate::store::StoreHandle;
use node_settings::ServiceAddresses;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tempfile::TempDir;
use tokio::process::{Child, Command};

/// The text in the operators' file that is replaced by a free port.
const PORT_PLACEHOLDER: &str = "PORT";

/// A team of users.
#[derive(Debug, Clone)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Maximum number of GPUs that it may use.
    pub max_gpus: u32,
}

impl Team {
    /// A team that may use up to `max_gpus` GPUs.
    pub fn new(name: &str, max_gpus: u32) -> Self {
        Self { name: name.to_string(), max_gpus }
    }
}

/// Configuration of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// The program that each controller runs.
    pub program: PathBuf,
    /// Number of controllers.
    pub nodes: usize,
    /// The teams that may submit jobs.
    pub teams: Vec<Team>,
    /// The operators' file; `PORT` in it is replaced by a free port, a different one for each node.
    pub operator: String,
    /// The key-value store's limit of writes a second, as given in the controllers' settings.
    pub write_rps: f64,
}

/// The addresses of a controller.
#[derive(Debug, Clone, Copy)]
struct NodeAddresses {
    api: SocketAddr,
    peer: SocketAddr,
    /// The address with the port that replaces `PORT` in the operators' file.
    nomad_api: SocketAddr,
}

/// A running cluster. Its processes are killed when it is dropped.
pub struct Cluster {
    config: ClusterConfig,
    /// Holds the settings and the log of each node.
    folder: TempDir,
    /// The controllers' processes, once they have been started.
    processes: Vec<Option<Child>>,
    /// The simulated cloud, which rents out the machines.
    pub cloud: Cloud,
    /// Each node's address for users and workers.
    pub api_addrs: Vec<SocketAddr>,
    /// Each node's address with the port that replaces `PORT` in its operators' file.
    pub nomad_api_addrs: Vec<SocketAddr>,
}

impl Cluster {
    /// Starts the simulated services and all controllers. Returns before the controllers accept requests.
    ///
    /// # Errors
    ///
    /// There are no free ports, files can't be written, or the program can't be started.
    pub async fn start(config: ClusterConfig) -> std::io::Result<Self> {
        let nodes = free_addresses(config.nodes)?;
        let api_addrs: Vec<SocketAddr> = nodes.iter().map(|node| node.api).collect();
        let nomad_api_addrs = nodes.iter().map(|node| node.nomad_api).collect();
        let zones = (0..config.nodes).map(node_settings::zone).collect();
        let store = StoreHandle::default();
        let cloud = Cloud::new(store.clone(), api_addrs.clone(), zones);
        let services = ServiceAddresses { store: store.serve()?, cloud: cloud.serve()? };
        let processes = (0..config.nodes).map(|_| None).collect();
        let folder = TempDir::new()?;
        let mut cluster = Self { config, folder, processes, cloud, api_addrs, nomad_api_addrs };
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
        let platform = node_settings::platform(&self.config, node, nodes, services);
        std::fs::write(self.file(node, "toml"), platform)?;
        let port = nodes[node].nomad_api.port().to_string();
        std::fs::write(self.file(node, "yaml"), self.config.operator.replace(PORT_PLACEHOLDER, &port))
    }

    /// The path of a node's file with the given extension.
    fn file(&self, node: usize, extension: &str) -> PathBuf {
        self.folder.path().join(format!("n{node}.{extension}"))
    }

    /// Starts a controller's process, with an empty log.
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
        let process = Command::new(&self.config.program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.processes[node] = Some(process);
        Ok(())
    }

    /// Kills a controller's process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// The operating system can't kill the process.
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

    /// A controller's log since its latest start.
    pub fn log(&self, node: usize) -> String {
        std::fs::read_to_string(self.file(node, "log")).unwrap_or_default()
    }
}

/// Returns addresses that are free at the moment. They are not reserved: another process may bind one before
/// it is used.
fn free_addresses(nodes: usize) -> std::io::Result<Vec<NodeAddresses>> {
    let listen = || TcpListener::bind(("127.0.0.1", 0));
    // All listeners stay open until the end, so that no port is returned twice.
    let mut open_listeners = Vec::new();
    let mut addresses = Vec::new();
    for _ in 0..nodes {
        let listeners = [listen()?, listen()?, listen()?];
        addresses.push(NodeAddresses {
            api: listeners[0].local_addr()?,
            peer: listeners[1].local_addr()?,
            nomad_api: listeners[2].local_addr()?,
        });
        open_listeners.push(listeners);
    }
    Ok(addresses)
}
