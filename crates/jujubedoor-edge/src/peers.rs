//! Speaks with other VMs: beats as datagrams, the directory over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use jujubedoor_config::Name;
use jujubedoor_http::Body;
use jujubedoor_http::Query;
use jujubedoor_http::body;
use jujubedoor_http::client;
use jujubedoor_routing::Event;
use jujubedoor_routing::directory::Delta;
use jujubedoor_routing::warmth::Known;
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::core::Handle;
use crate::core::Outgoing;

/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// The largest answer that is read from another VM or an upstream, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// How long a read from another VM or an upstream may take.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The path under which a VM serves its directory to others.
const DIRECTORY_PATH: &str = "/v1/directory";

/// The path under which a VM serves what it knows of the upstreams' caches.
const CACHE_INDEX_PATH: &str = "/v1/warmth";

/// Receives beats until the socket fails.
pub async fn receive(edge: Handle, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => match postcard::from_bytes(&buf[..length]) {
                Ok(heartbeat) => edge.submit(Event::Heard(Box::new(heartbeat))),
                Err(e) => log::warn!("a datagram from {from} cannot be read: {e}"),
            },
            // A port that nobody listens on shows as an error of the message receive.
            Err(e) => log::debug!("a beat could not be received: {e}"),
        }
    }
}

/// Sends what goes to other VMs.
pub async fn send(edge: Handle, socket: Arc<UdpSocket>, mut outgoing: mpsc::UnboundedReceiver<Outgoing>) {
    let mut last_encoded = None;
    while let Some(message) = outgoing.recv().await {
        match message {
            Outgoing::Heartbeat(to, heartbeat) => {
                let bytes = match last_encoded.take() {
                    Some((known, bytes)) if Arc::ptr_eq(&known, &heartbeat) => bytes,
                    _ => postcard::to_allocvec(&*heartbeat).unwrap_or_default(),
                };
                if let Err(e) = socket.try_send_to(&bytes, to) {
                    log::debug!("a beat to {to} could not be sent: {e}");
                }
                last_encoded = Some((heartbeat, bytes));
            }
            Outgoing::Probe(id, address) => {
                tokio::spawn(probe(edge.clone(), id, address));
            }
            Outgoing::FetchDirectory(from, after, needs_all) => {
                tokio::spawn(fetch_directory(edge.clone(), from, after, needs_all));
            }
            Outgoing::FetchCacheIndex(from) => {
                tokio::spawn(fetch_cache_index(edge.clone(), from));
            }
            Outgoing::ListCache(id, address) => {
                tokio::spawn(list_cache(edge.clone(), id, address));
            }
        }
    }
}

/// Tries to open a connection to an upstream, and keeps it for the message request.
async fn probe(edge: Handle, id: Name, address: SocketAddr) {
    let opened = edge.pool.reconnect(&id, address).await;
    if let Err(e) = &opened {
        log::debug!("{id}: {e}");
    }
    edge.submit(Event::Probed(id, opened.is_ok()));
}

/// Reads from another VM what was published after a revision.
async fn fetch_directory(edge: Handle, from: SocketAddr, after: u64, needs_all: bool) {
    let path = format!("{DIRECTORY_PATH}?after={after}&all={needs_all}");
    if let Some(delta) = fetch::<Delta>(from, &path).await {
        edge.submit(Event::PassedOn(Box::new(delta)));
    }
}

/// Reads what another VM knows of the upstreams' caches.
async fn fetch_cache_index(edge: Handle, from: SocketAddr) {
    if let Some(known) = fetch::<Vec<Known>>(from, CACHE_INDEX_PATH).await {
        edge.submit(Event::Learned(known));
    }
}

/// Reads the list of an upstream's cache.
async fn list_cache(edge: Handle, id: Name, address: SocketAddr) {
    let Some(bytes) = get(address, edge.dialect.cache_list_path).await else { return };
    match (edge.dialect.parse_cache_list)(&bytes) {
        Ok(parts) => edge.submit(Event::CacheListed(id, parts)),
        Err(e) => log::warn!("the cache list of {id} cannot be read: {e}"),
    }
}

async fn fetch<T>(from: SocketAddr, path: &str) -> Option<T>
where
    T: DeserializeOwned,
{
    let bytes = get(from, path).await?;
    let value = postcard::from_bytes(&bytes);
    value.inspect_err(|e| log::warn!("{path} of {from} cannot be read: {e}")).ok()
}

async fn get(from: SocketAddr, path: &str) -> Option<Bytes> {
    let request = client::request("GET", from, path, body::full(""));
    let request = request.inspect_err(|e| log::error!("{path} cannot be asked for: {e}")).ok()?;
    let fetched = client::fetch(from, request, MAX_RESPONSE_BYTES, FETCH_TIMEOUT).await;
    fetched.inspect_err(|e| log::warn!("{path} of {from} was not received: {e}")).ok()
}

/// Serves what other VMs read.
pub fn handle(edge: &Handle, request: &Request<Incoming>) -> Response<Body> {
    let encoded = match request.uri().path() {
        DIRECTORY_PATH => {
            let query = Query::parse(request.uri().query().unwrap_or_default());
            // Without a revision all is told.
            let after = query.param("after").parse().unwrap_or_default();
            postcard::to_allocvec(&edge.delta(after, query.param("all") == "true"))
        }
        CACHE_INDEX_PATH => postcard::to_allocvec(&edge.cache_index()),
        _ => return body::respond(404, "text/plain", "not found\n"),
    };
    match encoded {
        Ok(bytes) => body::respond(200, "application/octet-stream", bytes),
        Err(e) => {
            log::error!("{} cannot be encoded: {e}", request.uri().path());
            body::respond(500, "text/plain", "it cannot be encoded\n")
        }
    }
}
