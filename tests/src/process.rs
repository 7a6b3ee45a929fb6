//! Child processes that a test starts, signals and stops.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Once;

use nix::sys::signal::Signal;
use nix::unistd::Pid;

/// A program of the workspace.
#[derive(Clone, Copy, Debug)]
pub enum Binary {
    /// The daemon.
    Daemon,
    /// The command-line tool.
    Tool,
    /// The fakes of the platform and of the upstreams.
    Fake,
}

/// A running process, which is killed when it is dropped.
pub struct Process {
    child: Child,
    /// First line that the process printed.
    pub first_line: String,
}

impl Binary {
    /// Returns the path of the program. The first call builds all programs.
    pub fn path(self) -> PathBuf {
        static BUILD: Once = Once::new();
        BUILD.call_once(build_programs);
        let name = match self {
            Self::Daemon => "jujubedoord",
            Self::Tool => "jujubedoor",
            Self::Fake => "jujubedoor-fake",
        };
        target_dir().join(name)
    }
}

impl Process {
    /// Starts a program and reads the first line that it prints.
    pub fn start(binary: Binary, args: &[&str]) -> Self {
        let mut command = Command::new(binary.path());
        command.args(args).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let stdout = child.stdout.take().expect("the output is piped");
        let mut first_line = String::new();
        BufReader::new(stdout).read_line(&mut first_line).expect("the program prints a first line");
        Self { child, first_line: first_line.trim().to_owned() }
    }

    /// Returns the address that follows a word in the first line.
    pub fn address(&self, word: &str) -> SocketAddr {
        let mut words = self.first_line.split(' ');
        words.find(|w| *w == word).expect("the first line contains the address");
        words.next().expect("the first line contains the address").parse().expect("the address is valid")
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("the process id fits into i32"));
        nix::sys::signal::kill(pid, signal).expect("the process exists");
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("the process status is available").is_some()
    }

    /// Returns the largest resident memory that the process has had, in megabytes.
    pub fn peak_memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process is running");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the memory is listed");
        line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number") / 1_024
    }

    /// Returns the number of files and sockets that the process has open.
    pub fn open_files(&self) -> usize {
        let files = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        files.expect("the process is running").count()
    }

    /// Waits until the process exits and returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("the process can be waited for").success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback address whose port was free just now; another process may take it at any time.
pub fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the listener has an address")
}

/// Builds all programs, which running a single test does not do.
fn build_programs() {
    let mut command = Command::new(env!("CARGO"));
    command.args(["build", "--workspace", "--bins", "--quiet"]);
    if target_dir().ends_with("release") {
        command.arg("--release");
    }
    assert!(command.status().expect("cargo runs").success(), "building the programs failed");
}

fn target_dir() -> PathBuf {
    let test = std::env::current_exe().expect("the test has a path");
    test.parent().and_then(std::path::Path::parent).expect("the test lies in a folder").to_owned()
}
