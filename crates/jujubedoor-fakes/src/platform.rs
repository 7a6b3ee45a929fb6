//! A stand-in for the platform of the daemon's own interface: the store with the documents and the VM list.
//!
//! The calls of VMs go to the stand-in of the store. `PUT /control/documents/TEAM`, `PUT /control/vms` and
//! `PUT /control/mode` stand for what the platform's own operators do.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use jujubedoor::fleet::VmEntry;
use jujubedoor_http::Body;
use jujubedoor_http::body;
use jujubedoor_node::platform::DOCUMENTS_PREFIX;
use jujubedoor_node::platform::VMS_KEY;
use jujubedoor_platform_stand_ins::Store;
use jujubedoor_platform_stand_ins::store;
use serde::Deserialize;
use serde::Serialize;

use crate::listen::Listen;

/// The largest value that the control interface takes, in bytes.
const VALUE_BYTES: usize = 2 << 20;

/// A running stand-in for the platform.
#[derive(Clone)]
pub struct Platform {
    listen: Arc<Listen>,
    store: Store,
}

/// How the platform behaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It answers.
    #[default]
    Up,
    /// It answers every call with an error.
    Down,
}

impl Platform {
    /// Starts the stand-in at an address; port zero lets the system choose.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let (listen, listener) = Listen::bind(address).await?;
        let store = Store::with_address(listen.address());
        let platform = Self { listen: Arc::new(listen), store };
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
    pub fn publish_document(&self, team: &str, text: &str) -> u64 {
        self.store.put_bytes(&format!("{DOCUMENTS_PREFIX}{team}"), text.as_bytes())
    }

    /// Publishes the VM list.
    pub fn publish_vms(&self, vms: &[VmEntry]) {
        let text = serde_json::to_vec(vms).expect("a list of VMs can be written");
        self.store.put_bytes(VMS_KEY, &text);
    }

    /// Changes how the platform behaves.
    pub fn set_mode(&self, mode: Mode) {
        self.store.set_mode(match mode {
            Mode::Up => store::Mode::Up,
            Mode::Down => store::Mode::Unavailable,
        });
    }

    /// Refuses connections from now on.
    pub fn stop(&self) {
        self.listen.close();
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let Some(control) = path.strip_prefix("/control/") else {
            let answer = self.store.handle_request(request).await;
            return answer.unwrap_or_else(|| body::respond(503, "text/plain", "the platform is down"));
        };
        let Ok(bytes) = body::collect(request.into_body(), VALUE_BYTES).await else {
            return body::respond(400, "text/plain", "the body did not arrive");
        };
        self.control(control, &bytes)
    }

    fn control(&self, what: &str, bytes: &[u8]) -> Response<Body> {
        if let Some(team) = what.strip_prefix("documents/") {
            let revision = self.publish_document(team, &String::from_utf8_lossy(bytes));
            return body::json(200, &revision);
        }
        if what == "vms"
            && let Ok(vms) = serde_json::from_slice::<Vec<VmEntry>>(bytes)
        {
            self.publish_vms(&vms);
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
