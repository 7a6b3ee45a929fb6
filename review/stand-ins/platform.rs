//! The platform of a case: its store, the processes that it starts, and the record.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::http::Head;

/// Ports of a machine; they are the same on all machines of a day. The last one is that of the deploy file.
const FRONT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const PEER_PORT: u16 = 7340;
const METRICS_PORT: u16 = 9464;

/// Why a case could not run.
pub type Failure = String;

/// Writes what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Result<Self, Failure> {
        let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Self { file: Arc::new(Mutex::new(file)), began: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.began.elapsed().as_secs_f64());
    }
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Contents>, Condvar)>,
}

/// What the store holds, or a copy of it.
#[derive(Clone, Default)]
pub struct Contents {
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
    /// Revision, key and, unless it was removed, the item.
    history: Vec<(u64, String, Option<(Vec<u8>, u64, u64)>)>,
    revision: u64,
    /// Revision up to which the history is discarded.
    compacted: u64,
    /// Number of times that the store came back from a copy.
    restores: u64,
    /// Whether the store answers nothing.
    is_away: bool,
}

impl Store {
    pub fn start() -> Result<Self, Failure> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let store = Self { address, shared: Arc::default() };
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value.as_bytes().to_vec()));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) {
        let (contents, changed) = &*self.shared;
        let mut contents = contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        let created = contents.items.get(key).map_or(revision, |known| known.1);
        let item = value.map(|value| (value, created, revision));
        match item.clone() {
            Some(item) => contents.items.insert(key.to_owned(), item),
            None => contents.items.remove(key),
        };
        contents.history.push((revision, key.to_owned(), item));
        changed.notify_all();
    }

    /// Returns a copy.
    pub fn copy(&self) -> Contents {
        self.shared.0.lock().unwrap().clone()
    }

    /// Lets the store answer nothing.
    pub fn go_away(&self) {
        let (contents, changed) = &*self.shared;
        contents.lock().unwrap().is_away = true;
        changed.notify_all();
    }

    /// Lets the store come back from a copy.
    pub fn come_back(&self, copy: Contents) {
        let (contents, changed) = &*self.shared;
        let mut contents = contents.lock().unwrap();
        let restores = contents.restores + 1;
        *contents = Contents { restores, is_away: false, ..copy };
        changed.notify_all();
    }

    /// Discards the history, and cuts the watches that wait.
    pub fn compact(&self) {
        let (contents, changed) = &*self.shared;
        let mut contents = contents.lock().unwrap();
        contents.compacted = contents.revision;
        contents.history.clear();
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let head = http::read_head(&mut reader)?;
            http::read_request_body(&mut reader, &head)?;
            let (status, body) = self.answer(&head);
            let (is_away, era) = {
                let contents = self.shared.0.lock().unwrap();
                (contents.is_away, contents.restores + 1)
            };
            if is_away {
                // The caller waits for an answer that never comes.
                std::thread::sleep(Duration::from_secs(5));
                return None;
            }
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\nStore-Era: {era}\r\n\r\n"
            );
            writer.write_all((head + &body).as_bytes()).ok()?;
        }
    }

    fn answer(&self, head: &Head) -> (&'static str, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let param = |name: &str| {
            let found = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
            found.map(|(_, v)| decode(v)).unwrap_or_default()
        };
        match path {
            "/kv-range" => {
                let contents = self.shared.0.lock().unwrap();
                let (prefix, after) = (param("prefix"), param("after"));
                let found = contents.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
                let at = contents.revision;
                ("200 OK", format!("{{\"items\":[{}],\"hasMore\":false,\"at\":{at}}}", items.join(",")))
            }
            "/kv-watch" => self.watch(&param("prefix"), &param("after"), &param("waitMs")),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: &str, wait_ms: &str) -> (&'static str, String) {
        let after: u64 = after.parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.parse().unwrap_or(0));
        let (contents, changed) = &*self.shared;
        let mut contents = contents.lock().unwrap();
        loop {
            let now = Instant::now();
            if contents.is_away || after < contents.compacted || after > contents.revision {
                return ("410 Gone", "{}".to_owned());
            }
            let newer = contents.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<String> = newer
                .map(|(at, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"removed\":true}}"),
                })
                .collect();
            if !events.is_empty() || now >= until {
                let at = contents.revision;
                return ("200 OK", format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            let left = until.saturating_duration_since(now).min(Duration::from_millis(20));
            contents = changed.wait_timeout(contents, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, (value, created, revision): &(Vec<u8>, u64, u64)) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0u32, |bits, b| bits << 8 | u32::from(*b)) << (8 * (3 - group.len()));
        for n in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * n) & 63) as usize];
            text.push(if n <= group.len() { char::from(letter) } else { '=' });
        }
    }
    text
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            bytes.push(u8::from_str_radix(&String::from_utf8_lossy(&digits), 16).unwrap_or(0));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Option of `prctl` that sets the signal which a process gets when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Makes a process end with the thread that starts it, whatever ends that one.
fn end_with_parent(command: &mut Command) {
    // The call is one that a process may make between its fork and the start of its program.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL, 0u64, 0u64, 0u64);
            Ok(())
        });
    }
}

/// A process that ends with this value.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by its name.
    #[allow(dead_code)]
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([format!("-{name}"), self.pid().to_string()]).status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What all parts of a case share.
pub struct Case {
    pub record: Record,
    pub store: Store,
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// The temporary folder of the case.
    pub folder: PathBuf,
    /// First three bytes of the addresses of the case's machines.
    net: [u8; 3],
    /// Entries that each worker has written: its start, and their number.
    sequences: Mutex<BTreeMap<String, (u64, u64)>>,
}

/// A machine with the daemon.
pub struct Vm {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    program: PathBuf,
    log: PathBuf,
    pub process: Option<Process>,
}

/// What the registration of a worker says.
pub struct Entry<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub address: SocketAddr,
    pub zone: &'a str,
    pub version: &'a str,
    pub slots: u32,
    pub state: &'a str,
}

impl Case {
    pub fn start(dir: &Path) -> Result<Self, Failure> {
        let record = Record::create(&dir.join("record.txt"))?;
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let case = Self {
            record,
            store: Store::start()?,
            trouble,
            folder,
            net: free_net()?,
            sequences: Mutex::default(),
        };
        case.record.line(&format!("trouble: {trouble}"));
        Ok(case)
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        let [a, b, c] = self.net;
        Ipv4Addr::new(a, b, c, host).into()
    }

    /// Writes the registration of a worker. `new_run` states that it is the first of a run.
    pub fn register(&self, entry: &Entry<'_>, born_ms: u64) {
        let mut sequences = self.sequences.lock().unwrap();
        let (born, sequence) = sequences.entry(entry.id.to_owned()).or_default();
        if *born != born_ms {
            (*born, *sequence) = (born_ms, 0);
        }
        *sequence += 1;
        let Entry { id, service, address, zone, version, slots, state } = entry;
        let text = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\
             \"slotCount\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born_ms}}}"
        );
        self.record.line(&format!("store: servers/{id} = {text}"));
        self.store.put(&format!("servers/{id}"), &text);
    }

    /// Starts a worker process.
    pub fn start_worker(&self, address: SocketAddr, args: &[&str]) -> Result<Process, Failure> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.args(["worker", "--listen", &address.to_string()]).args(args);
        end_with_parent(&mut command);
        let mut child =
            command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().map_err(|e| e.to_string())?;
        let mut lines = BufReader::new(child.stdout.take().ok_or("no output")?).lines();
        let first = lines.next();
        self.record.line(&format!("{first:?}"));
        let record = self.record.clone();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(&line);
            }
        });
        if first.is_none() {
            return Err(format!("no worker listens at {address}"));
        }
        Ok(Process { child })
    }

    /// Starts the machines of a small deployment, one a host number and zone. `first` states that the whole system
    /// starts for the first time.
    pub fn start_vms(&self, zones: &[&str], first: bool) -> Result<Vec<Vm>, Failure> {
        let seeds: Vec<u8> = (1..=zones.len() as u8).take(3).collect();
        let mut vms = Vec::new();
        for (n, zone) in zones.iter().enumerate() {
            let mut vm = self.vm(n as u8 + 1, zone, &seeds)?;
            vm.write_settings(self, &seeds, first)?;
            vm.start(self)?;
            vms.push(vm);
        }
        for vm in &vms {
            wait_until(Duration::from_secs(15), || vm.is_ready())
                .ok_or(format!("{} is not ready", vm.name))?;
        }
        self.record.line("all machines are ready");
        Ok(vms)
    }

    fn vm(&self, host: u8, zone: &str, _seeds: &[u8]) -> Result<Vm, Failure> {
        let ip = self.ip(host);
        let name = format!("edge-{zone}-{host}");
        let program = PathBuf::from("target/release/jujubedoor-platform");
        if !program.exists() {
            return Err(format!("{} is not built", program.display()));
        }
        Ok(Vm {
            zone: zone.to_owned(),
            front: SocketAddr::new(ip, FRONT_PORT),
            ready: SocketAddr::new(ip, READY_PORT),
            settings: self.folder.join(format!("{name}.yaml")),
            log: self.folder.join(format!("{name}.log")),
            program,
            name,
            process: None,
        })
    }

    /// Sends a request of a requester to a machine and records it and its answer.
    pub fn send(&self, vm: &Vm, request: &Request<'_>) -> http::Answer {
        self.send_to(&vm.name, vm.front, request)
    }

    /// The same, for a machine of which only the name and the address are known.
    pub fn send_to(&self, name: &str, front: SocketAddr, request: &Request<'_>) -> http::Answer {
        let Request { method, path, id, fields, body, limit } = request;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: pamet.example\r\nX-Attempt-Id: {id}\r\nX-Api-Key: key-schools-1\r\n\
             X-Deadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n{fields}",
            limit.as_millis(),
            body.len(),
        );
        self.record.line(&format!(
            "requester sends {id} {method} {path} to {name} ({})",
            fields.trim().replace("\r\n", "; ")
        ));
        let answer = http::call(front, &head, body.as_bytes(), *limit);
        self.record.line(&format!(
            "requester gets for {id}: status {}, {}, {} bytes after {} ms: {:?}",
            answer.status,
            if answer.is_complete { "complete" } else { "not complete" },
            answer.body.len(),
            answer.took.as_millis(),
            answer.text(),
        ));
        answer
    }
}

impl Drop for Case {
    fn drop(&mut self) {
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A request of a requester.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    /// Further header lines, each with its line end.
    pub fields: &'a str,
    pub body: &'a str,
    pub limit: Duration,
}

impl Vm {
    /// Writes the settings file as the platform fills in `deploy/vm.yaml`.
    pub fn write_settings(&self, case: &Case, seeds: &[u8], first: bool) -> Result<(), Failure> {
        let ip = self.front.ip();
        let seeds: Vec<String> = seeds.iter().map(|n| format!("\"{}:8229\"", case.ip(*n))).collect();
        let text = format!(
            "vm: \"{}\"\ndomain: \"{}\"\nlisten: \"{}\"\nready_listen: \"{}\"\npeer_listen: \"{ip}:{PEER_PORT}\"\n\
             metrics_listen: \"{ip}:{METRICS_PORT}\"\nseeds: [{}]\nregistry: \"{}\"\nregistry_history_ms: 20000\n\
             first_start: {first}\nstop_ms: 8000\ncpu_share: 0.25\ndrain_ms: 2000\nchange_ms: 2000\nretry_ratio: 0.2\n\
             retry_slack: 58\nretry_window_ms: 10000\ncold_factor: 1.5\ncold_slack: 5\nmax_load_factor: 2\n",
            self.name,
            self.zone,
            self.front,
            self.ready,
            seeds.join(","),
            case.store.address,
        );
        std::fs::write(&self.settings, text).map_err(|e| e.to_string())
    }

    pub fn start(&mut self, case: &Case) -> Result<(), Failure> {
        let log = File::options().create(true).append(true).open(&self.log).map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new(&self.program);
        command.env("JUJUBEDOOR_CONFIG", &self.settings).stdin(Stdio::null()).stdout(log).stderr(errors);
        end_with_parent(&mut command);
        let child = command.spawn().map_err(|e| e.to_string())?;
        case.record.line(&format!("{} starts as process {}", self.name, child.id()));
        self.process = Some(Process { child });
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::call(
            self.ready,
            "GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n",
            b"",
            Duration::from_secs(1),
        );
        answer.status == 200
    }
}

pub fn wait_until<F>(limit: Duration, condition: F) -> Option<()>
where
    F: Fn() -> bool,
{
    let until = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= until {
            return None;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Some(())
}

/// Returns the time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    time.as_millis() as u64
}

/// Returns the first three bytes of loopback addresses at which the ports of the machines are free.
fn free_net() -> Result<[u8; 3], Failure> {
    let mut seed =
        unix_ms().wrapping_mul(6_364_136_223_846_793_005).wrapping_add(u64::from(std::process::id()));
    for _ in 0..50 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let net = [127, (seed >> 40) as u8 | 1, (seed >> 48) as u8];
        let is_free = |host: u8| {
            let ip = Ipv4Addr::new(net[0], net[1], net[2], host);
            [FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT]
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        };
        if (1..=9).all(is_free) {
            return Ok(net);
        }
    }
    Err("no free loopback addresses".to_owned())
}
