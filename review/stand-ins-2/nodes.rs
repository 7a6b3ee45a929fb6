//! The processes of a case: nodes of the system, and workers.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record;

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The program of the deploy file.
const PROGRAM: &str = "target/release/jujubedoor-platform";

const FRONT_PORT: u16 = 8_227;
const READY_PORT: u16 = 8_220;
const CONTROL_PORT: u16 = 8_229;
const FIRST_PORT: u16 = 7_340;
const METRICS_PORT: u16 = 9_464;
const WORKER_PORT: u16 = 8_100;

/// All processes that were started, so that they end with the case.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// The loopback addresses of a case.
pub struct Net {
    prefix: String,
}

/// A node of the system.
#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub pid: u32,
    ready: SocketAddr,
}

/// A worker process.
#[derive(Clone)]
pub struct WorkerSpec {
    pub id: String,
    pub version: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub first_entry_ms: u64,
    pub cold_ms: u64,
}

impl Net {
    /// Finds loopback addresses that nobody uses.
    pub fn find() -> Option<Self> {
        let start = std::process::id();
        let prefixes = (0..200).map(|n| {
            let [.., a, b] = start.wrapping_add(n * 37).to_be_bytes();
            format!("127.{}.{b}", 64 + a % 128)
        });
        let is_free = |prefix: &String| {
            let ports = [FRONT_PORT, READY_PORT, CONTROL_PORT, FIRST_PORT, METRICS_PORT, WORKER_PORT];
            (1..32).all(|host| {
                ports.iter().all(|port| TcpListener::bind((format!("{prefix}.{host}"), *port)).is_ok())
            })
        };
        prefixes.into_iter().find(is_free).map(|prefix| Self { prefix })
    }

    pub fn ip(&self, host: usize) -> String {
        format!("{}.{host}", self.prefix)
    }

    pub fn worker_address(&self, number: usize) -> SocketAddr {
        format!("{}:{WORKER_PORT}", self.ip(16 + number)).parse().expect("an address")
    }
}

/// Starts nodes with the settings that `deploy/vm.yaml` gives for a small deployment.
pub fn start_nodes(net: &Net, count: usize, store: SocketAddr) -> Option<Vec<Node>> {
    let folder = folder()?;
    let seeds: Vec<String> =
        (0..3.min(count)).map(|n| format!("\"{}:{CONTROL_PORT}\"", net.ip(2 + n))).collect();
    let seeds = seeds.join(",");
    let mut nodes = Vec::new();
    for number in 0..count {
        let (ip, zone) = (net.ip(2 + number), ZONES[number % ZONES.len()]);
        let name = format!("edge-{zone}-{}", 1 + number / ZONES.len());
        let settings = format!(
            "vm: \"{name}\"\ndomain: \"{zone}\"\nlisten: \"{ip}:{FRONT_PORT}\"\nready_listen: \"{ip}:{READY_PORT}\"\n\
             peer_listen: \"{ip}:{FIRST_PORT}\"\nmetrics_listen: \"{ip}:{METRICS_PORT}\"\nseeds: [{seeds}]\n\
             registry: \"{store}\"\nregistry_history_ms: 20e3\nregistration_interval_ms: 1200\n\
             max_clock_skew_ms: 5000\nfirst_start: true\nstop_ms: 8e3\ncpu_share: 0.25\nmemory_mb: 260\n\
             max_files: 4100\ndrain_ms: 2000\nchange_ms: 2000\nretry_ratio: 0.2\nretry_slack: 58\n\
             retry_window_ms: 10e3\ncold_factor: 1.5\ncold_slack: 5\nmax_load_factor: 2\n\
             domain_crossing_cost_ms: 2\ndomain_crossing_min_rtt_us: 2300\n"
        );
        let path = folder.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).ok()?;
        let log = std::fs::File::create(folder.join(format!("{name}.log"))).ok()?;
        let mut command = Command::new(PROGRAM);
        command.env("JUJUBEDOOR_CONFIG", &path).stdin(Stdio::null()).stdout(log);
        let child = command.spawn().ok()?;
        let pid = child.id();
        CHILDREN.lock().unwrap().push(child);
        let address = |port| format!("{ip}:{port}").parse().ok();
        nodes.push(Node { name, front: address(FRONT_PORT)?, pid, ready: address(READY_PORT)? });
    }
    let deadline = Instant::now() + Duration::from_secs(15);
    for node in &nodes {
        while !http::call(node.ready, "GET", "/readyz", "").is_some_and(|(status, _)| status == 200) {
            if Instant::now() > deadline {
                return None;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    record::add(&format!("{count} nodes are ready"));
    Some(nodes)
}

/// Starts a worker and returns the identifier of its process.
pub fn start_worker(spec: &WorkerSpec, store: SocketAddr, interval_ms: u64) -> Option<u32> {
    let mut command = Command::new(std::env::current_exe().ok()?);
    let pairs = [
        ("id", spec.id.clone()),
        ("version", spec.version.clone()),
        ("zone", spec.zone.to_owned()),
        ("listen", spec.address.to_string()),
        ("service", "ezik".to_owned()),
        ("slots", "64".to_owned()),
        ("store", store.to_string()),
        ("interval_ms", interval_ms.to_string()),
        ("first_entry_ms", spec.first_entry_ms.to_string()),
        ("cold_ms", spec.cold_ms.to_string()),
    ];
    command.arg("worker").stdin(Stdio::null()).stdout(Stdio::piped());
    for (name, value) in pairs {
        command.arg(name).arg(value);
    }
    let mut child = command.spawn().ok()?;
    let (pid, stdout) = (child.id(), child.stdout.take()?);
    std::thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            record::add(&format!("worker {line}"));
        }
    });
    CHILDREN.lock().unwrap().push(child);
    record::add(&format!("worker {} of version {} starts", spec.id, spec.version));
    Some(pid)
}

/// Kills a process that was started here.
pub fn kill(pid: u32) {
    let mut children = CHILDREN.lock().unwrap();
    if let Some(child) = children.iter_mut().find(|child| child.id() == pid) {
        let _ = child.kill();
        let _ = child.wait();
    }
    children.retain(|child| child.id() != pid);
}

/// Ends all processes that were started, and removes the folder.
pub fn end() {
    for child in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    // The logs of the nodes can be kept for a look.
    if std::env::var_os("KEEP").is_none()
        && let Some(folder) = folder()
    {
        let _ = std::fs::remove_dir_all(folder);
    }
}

fn folder() -> Option<PathBuf> {
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder).ok()?;
    Some(folder)
}
