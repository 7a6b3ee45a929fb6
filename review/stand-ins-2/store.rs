//! The platform's store: `kv-key`, `kv-range` and `kv-watch`, and a call of its own by which workers write their entries.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record;

/// Maximum number of items on a page.
const PAGE: usize = 500;

/// Time that an entry of a worker lasts without being written, three intervals of 1.2 s.
const SILENCE: Duration = Duration::from_millis(3_600);

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Data>, Condvar)>,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    written_at: BTreeMap<String, Instant>,
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self { address: listener.local_addr()?, shared: Arc::default() };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                expiring.remove_silent();
            }
        });
        Ok(store)
    }

    /// Writes an item, or removes it.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let (data, changed) = &*self.shared;
        let mut data = data.lock().unwrap();
        let known = data.items.get(key).cloned();
        if value.is_none() && known.is_none() {
            return;
        }
        data.revision += 1;
        let revision = data.revision;
        let item = value.map(|value| Item {
            value: value.to_owned(),
            revision,
            created: known.map_or(revision, |known| known.created),
        });
        match &item {
            Some(item) => data.items.insert(key.to_owned(), item.clone()),
            None => data.items.remove(key),
        };
        data.history.push((revision, key.to_owned(), item));
        changed.notify_all();
        drop(data);
        record::add(&format!("store revision {revision} {key} {}", value.unwrap_or("removed")));
    }

    /// Writes the entry of a worker. One that differs in nothing but its count only lasts longer.
    fn register(&self, key: &str, value: &str) {
        let is_same = {
            let mut data = self.shared.0.lock().unwrap();
            data.written_at.insert(key.to_owned(), Instant::now());
            let rest = |text: &str| text.split_once("\"sequence\"").map(|(rest, _)| rest.to_owned());
            data.items.get(key).is_some_and(|item| rest(&item.value) == rest(value))
        };
        if !is_same {
            self.put(key, Some(value));
        }
    }

    fn remove_silent(&self) {
        let mut silent = Vec::new();
        self.shared.0.lock().unwrap().written_at.retain(|key, at| {
            let is_silent = at.elapsed() >= SILENCE;
            if is_silent {
                silent.push(key.clone());
            }
            !is_silent
        });
        for key in silent {
            self.put(&key, None);
        }
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let head = http::read_head(&mut reader)?;
            let body = http::read_body(&mut reader, &head)?;
            let target = head.word(1).to_owned();
            let (status, text) = match target.split('?').next().unwrap_or_default() {
                "/kv-key" => self.key(&target),
                "/kv-range" => ("200 OK", self.range(&target)),
                "/kv-watch" => ("200 OK", self.watch(&target)),
                "/worker" => {
                    self.register(&http::param(&target, "key"), &String::from_utf8_lossy(&body));
                    ("200 OK", "{}".to_owned())
                }
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let headers = "Content-Type: application/json\r\n";
            writer.write_all(&http::response(status, headers, text.as_bytes())).ok()?;
        }
    }

    fn key(&self, target: &str) -> (&'static str, String) {
        let key = http::param(target, "key");
        let data = self.shared.0.lock().unwrap();
        data.items
            .get(&key)
            .map_or(("404 Not Found", "{}".to_owned()), |item| ("200 OK", to_json(&key, item)))
    }

    fn range(&self, target: &str) -> String {
        let (prefix, after) = (http::param(target, "prefix"), http::param(target, "after"));
        let data = self.shared.0.lock().unwrap();
        let mut items: Vec<String> = data
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, item)| to_json(key, item))
            .collect();
        let has_more = items.len() > PAGE;
        items.truncate(PAGE);
        format!("{{\"items\":[{}],\"hasMore\":{has_more},\"at\":{}}}", items.join(","), data.revision)
    }

    fn watch(&self, target: &str) -> String {
        let prefix = http::param(target, "prefix");
        let after: u64 = http::param(target, "after").parse().unwrap_or_default();
        let wait = Duration::from_millis(http::param(target, "waitMs").parse().unwrap_or_default());
        let deadline = Instant::now() + wait;
        let (data, changed) = &*self.shared;
        let mut data = data.lock().unwrap();
        loop {
            let newer = data.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<String> = newer
                .map(|(at, key, item)| match item {
                    Some(item) => to_json(key, item),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"removed\":true}}"),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), data.revision);
            }
            data = changed.wait_timeout(data, left).unwrap().0;
        }
    }
}

fn to_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
        base64(item.value.as_bytes()),
        item.revision,
        item.created
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group =
            chunk.iter().fold(0, |group, byte| (group << 8) | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
