//! A stand-in for the platform's configuration service and VM list.
//!
//! `GET /v1/changes?after=N&wait_ms=W` answers with everything that changed after change number N,
//! waiting up to W milliseconds for a change. `PUT /control/documents/TEAM`, `PUT /control/vms` and
//! `PUT /control/mode` stand for what the platform's own operators do.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use jujubedoor::documents::Published;
use jujubedoor::fleet::VmEntry;
use jujubedoor::fleet::VmList;
use jujubedoor::ids::Revision;
use jujubedoor_config::Name;
use jujubedoor_http::Body;
use jujubedoor_http::Query;
use jujubedoor_http::body;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::listen::Listen;
use crate::listen::Shared;
use crate::listen::lock;

/// The largest value that the control interface takes, in bytes.
const VALUE_BYTES: usize = 2 << 20;

/// A running stand-in for the platform.
#[derive(Clone)]
pub struct Platform {
    listen: Arc<Listen>,
    store: Shared<Store>,
    changed: watch::Sender<u64>,
}

/// How the platform behaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It answers truly.
    #[default]
    Up,
    /// It answers every call with an error.
    Down,
    /// It answers as of the moment when it turned stale.
    Stale,
}

/// The answer to a call.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Changes {
    /// The number of the last change.
    pub change: u64,
    /// The documents that changed.
    pub documents: Vec<Published>,
    /// The VM list, if it changed.
    pub vms: Option<VmList>,
}

#[derive(Clone, Default)]
struct Store {
    change: u64,
    documents: BTreeMap<Name, (u64, Published)>,
    vms: (u64, VmList),
    mode: Mode,
    stale: Option<Box<Store>>,
    calls: u64,
}

impl Platform {
    /// Starts the stand-in at an address; port zero lets the system choose.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let (listen, listener) = Listen::bind(address).await?;
        let (changed, _) = watch::channel(0);
        let platform = Self { listen: Arc::new(listen), store: Arc::new(Mutex::default()), changed };
        let handle = platform.clone();
        platform.listen.serve(listener, move |request| {
            let platform = handle.clone();
            async move { platform.answer(request).await }
        });
        Ok(platform)
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.listen.address()
    }

    /// Publishes a team's document and returns its revision.
    pub fn publish(&self, team: &str, text: &str) -> u64 {
        let mut store = lock(&self.store);
        store.change += 1;
        let change = store.change;
        let team = Name::new(team);
        let revision = store.documents.get(&team).map_or(0, |(_, p)| p.revision.0) + 1;
        let published = Published { team: team.clone(), revision: Revision(revision), text: Arc::from(text) };
        store.documents.insert(team, (change, published));
        drop(store);
        self.changed.send_replace(change);
        revision
    }

    /// Publishes the VM list.
    pub fn list(&self, vms: Vec<VmEntry>) {
        let mut store = lock(&self.store);
        store.change += 1;
        let change = store.change;
        let revision = Revision(store.vms.1.revision.0 + 1);
        store.vms = (change, VmList { revision, vms });
        drop(store);
        self.changed.send_replace(change);
    }

    /// Changes how the platform behaves.
    pub fn set_mode(&self, mode: Mode) {
        let mut store = lock(&self.store);
        store.stale = (mode == Mode::Stale).then(|| Box::new(store.clone()));
        store.mode = mode;
        drop(store);
        self.changed.send_modify(|_| ());
    }

    /// Refuses connections from now on.
    pub fn stop(&self) {
        self.listen.close();
    }

    /// Returns how many calls were answered.
    pub fn calls(&self) -> u64 {
        lock(&self.store).calls
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path == "/v1/changes" {
            return self.changes(request.uri().query().unwrap_or_default()).await;
        }
        let Some(control) = path.strip_prefix("/control/") else {
            return body::respond(404, "text/plain", "no such path");
        };
        let Ok(bytes) = body::collect(request.into_body(), VALUE_BYTES).await else {
            return body::respond(400, "text/plain", "the body did not arrive");
        };
        self.control(control, &bytes)
    }

    async fn changes(&self, query: &str) -> Response<Body> {
        let query = Query::parse(query);
        let parameter = |name: &str| query.text(name).parse().unwrap_or(0);
        let (after, wait) = (parameter("after"), Duration::from_millis(parameter("wait_ms")));
        let mut signal = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        lock(&self.store).calls += 1;
        loop {
            let Some(changes) = self.changes_after(after) else {
                return body::respond(503, "text/plain", "the platform is down");
            };
            let empty = changes.documents.is_empty() && changes.vms.is_none();
            let waited = empty && tokio::time::timeout_at(deadline, signal.changed()).await.is_ok();
            if !waited {
                return body::json(200, &changes);
            }
        }
    }

    fn changes_after(&self, after: u64) -> Option<Changes> {
        let store = lock(&self.store);
        if store.mode == Mode::Down {
            return None;
        }
        let store = store.stale.as_deref().unwrap_or(&store);
        // A client that saw more than a stale platform knows gets everything again.
        let after = if after > store.change { 0 } else { after };
        let newer = store.documents.values().filter(|(change, _)| *change > after);
        Some(Changes {
            change: store.change,
            documents: newer.map(|(_, published)| published.clone()).collect(),
            vms: (store.vms.0 > after).then(|| store.vms.1.clone()),
        })
    }

    fn control(&self, what: &str, bytes: &[u8]) -> Response<Body> {
        if let Some(team) = what.strip_prefix("documents/") {
            let revision = self.publish(team, &String::from_utf8_lossy(bytes));
            return body::json(200, &revision);
        }
        if what == "vms"
            && let Ok(vms) = serde_json::from_slice(bytes)
        {
            self.list(vms);
            return body::json(200, &true);
        }
        if what == "mode"
            && let Ok(mode) = serde_json::from_slice(bytes)
        {
            self.set_mode(mode);
            return body::json(200, &true);
        }
        body::respond(400, "text/plain", "not a control request")
    }
}
