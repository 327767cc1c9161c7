//! Controllers as real processes around the stand-ins.

use crate::cloud::Cloud;
use crate::store::StoreHandle;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tempfile::TempDir;
use tokio::process::{Child, Command};

/// What a cluster is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The program that each controller runs.
    pub program: PathBuf,
    pub nodes: usize,
    /// Teams, and how many GPUs each may hold.
    pub teams: Vec<(String, u32)>,
    /// The operators' file; `PORT` in it becomes a free port, another for each node.
    pub operator: String,
    /// Changes a second that the state service is said to take.
    pub write_rps: f64,
}

/// A running cluster. Its processes end with it.
pub struct Cluster {
    plan: Plan,
    folder: TempDir,
    nodes: Vec<Option<Child>>,
    /// The stand-in that rents the machines.
    pub cloud: Cloud,
    /// Where users and workers turn to.
    pub api: Vec<SocketAddr>,
    /// Where the port in the operators' file has come to be.
    pub nomad_apis: Vec<SocketAddr>,
}

fn free_ports(n: usize) -> std::io::Result<Vec<SocketAddr>> {
    // Held together, so that none is given twice.
    let held = (0..n).map(|_| TcpListener::bind(("127.0.0.1", 0))).collect::<std::io::Result<Vec<_>>>()?;
    held.iter().map(TcpListener::local_addr).collect()
}

fn settings(
    plan: &Plan,
    i: usize,
    api: &[SocketAddr],
    back: &[SocketAddr],
    cloud: SocketAddr,
    state: SocketAddr,
) -> String {
    let zones: Vec<String> = (0..plan.nodes).map(|i| format!("\"z{i}\"")).collect();
    let mut out =
        format!("node = \"n{i}\"\nsite = \"z{i}\"\napi_addr = \"{}\"\nback = \"{}\"\n", api[i], back[i]);
    for j in (0..plan.nodes).filter(|j| *j != i) {
        out += &format!("[[seeds]]\nnode = \"n{j}\"\nsite = \"z{j}\"\npeer_addr = \"{}\"\n", back[j]);
    }
    out += &format!("[outside]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n");
    out += &format!("[facts]\nzones = [{}]\ntime_bound_ms = 5.0\n", zones.join(", "));
    for (team, gpus) in &plan.teams {
        out += &format!("[[facts.teams]]\nname = \"{team}\"\ngpus = 4.0\ngpus_max = {gpus}.0\n");
    }
    let (rps, write_rps) = (250.0_f64.max(plan.write_rps), plan.write_rps);
    out +=
        &format!("[facts.state]\nrps = {rps:?}\nwrite_rps = {write_rps:?}\nvalue_kb = 16.0\ntxn_ops = 12\n");
    out + "[facts.workers]\nreport_s = 1.0\nlease_s = 10.0\ngang_wait_s = 20.0\ngang_peer_s = 4.0\ncancel_s = 30.0\n\
           [facts.cloud]\nrps = 10.0\nlist_lag_s = 1.0\n\
           [facts.machine_limits]\ncpu_share = 1.0\nram_mb = 256.0\nmax_connections = 1500\n"
}

impl Cluster {
    pub async fn start(plan: Plan) -> std::io::Result<Self> {
        let ports = free_ports(3 * plan.nodes)?;
        let (api, rest) = ports.split_at(plan.nodes);
        let (back, nomad_apis) = rest.split_at(plan.nodes);
        let store = StoreHandle::default();
        let zones = (0..plan.nodes).map(|i| format!("z{i}")).collect();
        let cloud = Cloud::new(store.clone(), api.to_vec(), zones);
        let (state_addr, cloud_addr) = (store.serve()?, cloud.serve()?);
        let folder = TempDir::new()?;
        for (i, nomad_api) in nomad_apis.iter().enumerate() {
            std::fs::write(
                folder.path().join(format!("n{i}.toml")),
                settings(&plan, i, api, back, cloud_addr, state_addr),
            )?;
            let operator = plan.operator.replace("PORT", &nomad_api.port().to_string());
            std::fs::write(folder.path().join(format!("n{i}.yaml")), operator)?;
        }
        let nodes = (0..plan.nodes).map(|_| None).collect();
        let mut cluster =
            Self { plan, folder, nodes, cloud, api: api.to_vec(), nomad_apis: nomad_apis.to_vec() };
        for i in 0..cluster.plan.nodes {
            cluster.start_node(i)?;
        }
        Ok(cluster)
    }

    pub fn start_node(&mut self, i: usize) -> std::io::Result<()> {
        let file = |ending: &str| self.folder.path().join(format!("n{i}.{ending}"));
        let log = std::fs::File::create(file("log"))?;
        let child = Command::new(&self.plan.program)
            .args([
                Path::new("serve"),
                Path::new("--operator"),
                &file("yaml"),
                Path::new("--config"),
                &file("toml"),
            ])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.nodes[i] = Some(child);
        Ok(())
    }

    /// Ends a controller's process at once.
    pub async fn kill_node(&mut self, i: usize) -> std::io::Result<()> {
        match &mut self.nodes[i] {
            Some(child) => child.kill().await,
            None => Ok(()),
        }
    }

    /// A controller's process, while it runs.
    pub fn pid(&self, i: usize) -> Option<u32> {
        self.nodes[i].as_ref().and_then(Child::id)
    }

    /// What a controller has logged since its last start.
    pub fn log(&self, i: usize) -> String {
        std::fs::read_to_string(self.folder.path().join(format!("n{i}.log"))).unwrap_or_default()
    }
}
