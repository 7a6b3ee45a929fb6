//! The process under test, started as the deploy file does, with the settings of a small deployment.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::socket;

/// The program that the deploy file names, from the project's root.
const PROGRAM: &str = "target/release/jujubedoor-platform";

/// A machine with the process under test. The process is killed when this value is dropped.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns the loopback addresses of a number of machines, and a port that is free on all of them.
fn free_addresses(machines: usize) -> Option<(Vec<[u8; 4]>, u16)> {
    let [_, _, a, b] = std::process::id().to_be_bytes();
    let addresses: Vec<[u8; 4]> = (0..machines).map(|n| [127, 10 + n as u8, a, b.max(1)]).collect();
    (20_000..28_000).step_by(7).find_map(|port| {
        let is_free = |ip: &[u8; 4]| {
            (port..port + 4).all(|port| TcpListener::bind(SocketAddr::from((*ip, port))).is_ok())
                && UdpSocket::bind(SocketAddr::from((*ip, port))).is_ok()
        };
        addresses.iter().all(is_free).then(|| (addresses.clone(), port))
    })
}

/// Starts a number of machines, each in a zone of its own, and waits until all are ready.
pub fn start_fleet(machines: usize, store: SocketAddr, folder: &PathBuf) -> Result<Vec<Vm>, String> {
    let (addresses, port) = free_addresses(machines).ok_or("no free ports")?;
    let seeds: Vec<String> =
        addresses.iter().take(3).map(|ip| format!("\"{}\"", SocketAddr::from((*ip, port)))).collect();
    let mut fleet = Vec::new();
    for (n, ip) in addresses.iter().enumerate() {
        let at = |offset: u16| SocketAddr::from((*ip, port + offset));
        let zone = ["zone-a", "zone-b", "zone-c"][n % 3];
        let text = format!(
            "vm: \"edge-{n}\"\ndomain: \"{zone}\"\nlisten: \"{}\"\nready_listen: \"{}\"\npeer_listen: \"{}\"\n\
             metrics_listen: \"{}\"\nseeds: [{}]\nregistry: \"{store}\"\nregistry_history_ms: 20e3\n\
             registration_interval_ms: 1200\nmax_clock_skew_ms: 5000\nfirst_start: true\nstop_ms: 8e3\n\
             cpu_share: 0.25\nmemory_mb: 260\nmax_files: 4100\ndrain_ms: 2000\nchange_ms: 2000\nretry_ratio: 0.2\n\
             retry_slack: 58\nretry_window_ms: 10e3\ncold_factor: 1.5\ncold_slack: 5\nmax_load_factor: 2\n\
             domain_crossing_cost_ms: 2\ndomain_crossing_min_rtt_us: 2300\n",
            at(1),
            at(2),
            at(0),
            at(3),
            seeds.join(",")
        );
        let settings = folder.join(format!("edge-{n}.yaml"));
        std::fs::write(&settings, text).map_err(|e| e.to_string())?;
        let log = folder.join(format!("edge-{n}.log"));
        let name = format!("edge-{n}");
        let mut vm = Vm { name, callers: at(1), ready: at(2), settings, log, child: None };
        vm.start()?;
        fleet.push(vm);
    }
    for vm in &fleet {
        vm.wait_ready()?;
    }
    Ok(fleet)
}

impl Vm {
    pub fn start(&mut self) -> Result<(), String> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new(PROGRAM);
        command.env("JUJUBEDOOR_CONFIG", &self.settings).stdin(Stdio::null()).stdout(log).stderr(errors);
        socket::end_with_parent(&mut command);
        let child = command.spawn();
        self.child = Some(child.map_err(|e| format!("{PROGRAM}: {e}"))?);
        Ok(())
    }

    #[allow(dead_code)]
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            socket::signal(child.id(), signal);
        }
    }

    #[allow(dead_code)]
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let request = format!("GET /readyz HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ready);
        let mut start = [0; 12];
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_exact(&mut start).is_ok()
            && &start[9..] == b"200"
    }

    pub fn wait_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > deadline {
                return Err(format!("{} does not become ready", self.name));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Returns the lines of the process's log that contain a text.
    #[allow(dead_code)]
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}
