//! The platform's store, as far as the process under test reads it: `/kv-range` and `/kv-watch`.

use std::collections::BTreeMap;
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

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    data: Mutex<Data>,
    changed: Condvar,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The changes with their keys; a removed item has no value.
    history: Vec<(u64, String, Option<Item>)>,
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared { data: Mutex::default(), changed: Condvar::new() });
        let store = Self { address, shared };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.shared.data.lock().unwrap();
        data.revision += 1;
        let revision = data.revision;
        let created = data.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: http::base64(value.as_bytes()), revision, created };
        data.items.insert(key.to_owned(), item.clone());
        data.history.push((revision, key.to_owned(), Some(item)));
        self.shared.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut data = self.shared.data.lock().unwrap();
        if data.items.remove(key).is_some() {
            data.revision += 1;
            let revision = data.revision;
            data.history.push((revision, key.to_owned(), None));
            self.shared.changed.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(message)) = http::read_head(&mut stream, rest) {
            let path = message.path().to_owned();
            let (status, body) = match path.split('?').next() {
                Some("/kv-range") => ("200 OK", self.range(&path)),
                Some("/kv-watch") => ("200 OK", self.watch(&path)),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
            rest = message.rest;
        }
    }

    fn range(&self, path: &str) -> String {
        let (prefix, after) = (http::query(path, "prefix"), http::query(path, "after"));
        let data = self.shared.data.lock().unwrap();
        let matching = data.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = matching.map(|(key, item)| render(key, item)).collect();
        format!("{{\"items\":[{}],\"hasMore\":false,\"at\":{}}}", items.join(","), data.revision)
    }

    fn watch(&self, path: &str) -> String {
        let prefix = http::query(path, "prefix");
        let after: u64 = http::query(path, "after").parse().unwrap_or(0);
        let wait = Duration::from_millis(http::query(path, "waitMs").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut data = self.shared.data.lock().unwrap();
        loop {
            let newer = data.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<String> = newer.map(|(at, key, item)| event(*at, key, item.as_ref())).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), data.revision);
            }
            data = self.shared.changed.wait_timeout(data, left).unwrap().0;
        }
    }
}

fn event(revision: u64, key: &str, item: Option<&Item>) -> String {
    match item {
        Some(item) => render(key, item),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
    }
}

fn render(key: &str, item: &Item) -> String {
    let Item { value, revision, created } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}"
    )
}
