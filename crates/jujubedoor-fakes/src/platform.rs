//! A fake platform: the store that holds the service documents and the VM list.
//!
//! Requests from VMs are handled by the fake store. `PUT /control/documents/TEAM`, `PUT /control/vms` and
//! `PUT /control/mode` simulate the actions of the platform's operators.

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

use crate::server::RestartableServer;

/// Maximum size of a value that the control interface accepts, in bytes.
const MAX_VALUE_BYTES: usize = 2 << 20;

/// A running fake platform.
#[derive(Clone)]
pub struct Platform {
    server: Arc<RestartableServer>,
    store: Store,
}

/// Whether the platform is available.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Requests to the store are served.
    #[default]
    Up,
    /// Every request to the store gets an error response. Control requests are still served.
    Down,
}

impl Platform {
    /// Starts the platform at an address. With port 0 the operating system chooses the port.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let (server, listener) = RestartableServer::bind(address).await?;
        let store = Store::with_address(server.address());
        let platform = Self { server: Arc::new(server), store };
        let handle = platform.clone();
        platform.server.serve(listener, move |request| {
            let platform = handle.clone();
            async move { platform.serve_request(request).await }
        });
        Ok(platform)
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a team's document and returns its revision.
    pub fn publish_document(&self, team: &str, text: &str) -> u64 {
        self.store.put_bytes(&format!("{DOCUMENTS_PREFIX}{team}"), text.as_bytes())
    }

    /// Publishes the VM list.
    pub fn publish_vm_list(&self, vms: &[VmEntry]) {
        let text = serde_json::to_vec(vms).expect("the VM list can be serialized");
        self.store.put_bytes(VMS_KEY, &text);
    }

    /// Sets whether the platform is available.
    pub fn set_mode(&self, mode: Mode) {
        self.store.set_mode(match mode {
            Mode::Up => store::Mode::Up,
            Mode::Down => store::Mode::Unavailable,
        });
    }

    /// Returns a copy of the store's contents, for a later restore.
    pub fn copy(&self) -> store::Contents {
        self.store.copy()
    }

    /// Restores the store from an older copy.
    pub fn restore(&self, copy: store::Contents) {
        self.store.restore(copy);
    }

    /// Closes all connections and refuses new ones.
    pub fn stop(&self) {
        self.server.close();
    }

    async fn serve_request(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let Some(control_path) = path.strip_prefix("/control/") else {
            let response = self.store.handle_request(request).await;
            return response.unwrap_or_else(|| body::respond(503, "text/plain", "the platform is down"));
        };
        let Ok(bytes) = body::collect(request.into_body(), MAX_VALUE_BYTES).await else {
            return body::respond(400, "text/plain", "the body did not arrive");
        };
        self.control(control_path, &bytes)
    }

    /// Handles a request to the control interface. `target` is the path below `/control/`.
    fn control(&self, target: &str, bytes: &[u8]) -> Response<Body> {
        if let Some(team) = target.strip_prefix("documents/") {
            let revision = self.publish_document(team, &String::from_utf8_lossy(bytes));
            return body::json(200, &revision);
        }
        if target == "vms"
            && let Ok(vms) = serde_json::from_slice::<Vec<VmEntry>>(bytes)
        {
            self.publish_vm_list(&vms);
            return body::json(200, &true);
        }
        if target == "mode"
            && let Ok(mode) = serde_json::from_slice(bytes)
        {
            self.set_mode(mode);
            return body::json(200, &true);
        }
        body::respond(400, "text/plain", "not a control request")
    }
}
