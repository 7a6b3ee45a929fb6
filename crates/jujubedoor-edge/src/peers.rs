//! Communication with other VMs: heartbeats as datagrams, the directory and the cache index over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use jujubedoor::ids::StoreRevision;
use jujubedoor_config::Name;
use jujubedoor_http::Body;
use jujubedoor_http::Query;
use jujubedoor_http::body;
use jujubedoor_http::client;
use jujubedoor_http::client::Progress;
use jujubedoor_routing::Event;
use jujubedoor_routing::cache_index::CacheRecord;
use jujubedoor_routing::directory::Delta;
use jujubedoor_routing::event::ProbeOutcome;
use jujubedoor_routing::stream_origins::StreamOrigin;
use jujubedoor_routing::upstream_notices::Notice;
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::core::Handle;
use crate::core::Outgoing;
use crate::upstream_watch;

/// Maximum size of a datagram over UDP.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Maximum size of a response from another VM.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Maximum size of an upstream's list of the parts in its cache, in bytes.
const MAX_CACHE_LIST_BYTES: usize = 2 << 20;

/// Number of upstreams that list their caches for this VM at once, so that the lists together are limited.
pub const MAX_CACHE_LISTS: usize = 4;

/// Maximum size of the record of a stream, in bytes.
const MAX_STREAM_RECORD_BYTES: usize = 4 << 10;

/// Maximum time to the head of a response from another VM or an upstream, and between two pieces of its body.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Path at which a VM serves its directory to other VMs.
const DIRECTORY_PATH: &str = "/v1/directory";

/// Path at which a VM serves its index of the prompt parts cached by upstreams.
const CACHE_INDEX_PATH: &str = "/v1/warmth";

/// Path at which a VM serves the streams that it knows.
const STREAM_ORIGINS_PATH: &str = "/v1/streams";

/// Receives heartbeats and passes them to the reducer.
pub async fn receive(edge: Handle, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => match postcard::from_bytes(&buf[..length]) {
                Ok(heartbeat) => edge.submit(Event::HeartbeatReceived(Box::new(heartbeat))),
                Err(e) => log::warn!("cannot decode a datagram from {from}: {e}"),
            },
            // Sending to a port without a listener shows up as an error of the next receive.
            Err(e) => log::debug!("cannot receive a heartbeat: {e}"),
        }
    }
}

/// Sends outgoing messages until the channel closes.
pub async fn send(edge: Handle, socket: Arc<UdpSocket>, mut outgoing: mpsc::UnboundedReceiver<Outgoing>) {
    let mut last_encoded = None;
    let directory_progress = Progress::default();
    while let Some(message) = outgoing.recv().await {
        match message {
            Outgoing::Heartbeat(to, heartbeat) => {
                let bytes = match last_encoded.take() {
                    Some((previous, bytes)) if Arc::ptr_eq(&previous, &heartbeat) => bytes,
                    _ => postcard::to_allocvec(&*heartbeat).unwrap_or_default(),
                };
                if let Err(e) = socket.try_send_to(&bytes, to) {
                    log::debug!("cannot send a heartbeat to {to}: {e}");
                }
                last_encoded = Some((heartbeat, bytes));
            }
            Outgoing::Probe(id, address) => {
                tokio::spawn(probe(edge.clone(), id, address));
            }
            Outgoing::FetchDirectory(from, after, needs_all) => {
                // While one arrives, another one would share the VM's link. The reducer asks again if it is needed.
                if !directory_progress.has_advanced() {
                    let progress = directory_progress.clone();
                    tokio::spawn(fetch_directory(edge.clone(), from, after, needs_all, progress));
                }
            }
            Outgoing::FetchCacheIndex(from) => {
                tokio::spawn(fetch_cache_index(edge.clone(), from));
            }
            Outgoing::FetchStreamOrigins(from) => {
                tokio::spawn(fetch_stream_origins(edge.clone(), from));
            }
            Outgoing::FetchStreamOrigin(from, stream) => {
                tokio::spawn(fetch_stream_origin(edge.clone(), from, stream));
            }
            Outgoing::WatchUpstream(run) => {
                tokio::spawn(upstream_watch::watch(edge.clone(), run));
            }
            Outgoing::ListCache(id, address) => {
                tokio::spawn(list_cache(edge.clone(), id, address));
            }
        }
    }
}

/// Opens a connection to an upstream, keeps it for the next request, and reports whether it opened.
async fn probe(edge: Handle, id: Name, address: SocketAddr) {
    let outcome = match edge.pool.reconnect(&id, address).await {
        Ok(()) => ProbeOutcome::Opened,
        Err(e) => {
            log::debug!("{id}: {e}");
            if e.is_refused() { ProbeOutcome::Refused } else { ProbeOutcome::Unreachable }
        }
    };
    edge.submit(Event::ProbeCompleted(id, outcome));
}

/// Fetches the directory changes after a revision from another VM.
async fn fetch_directory(
    edge: Handle,
    from: SocketAddr,
    after: StoreRevision,
    needs_all: bool,
    progress: Progress,
) {
    let StoreRevision { epoch, number } = after;
    let path = format!("{DIRECTORY_PATH}?epoch={epoch}&after={number}&all={needs_all}");
    if let Some(delta) = fetch_postcard::<Delta>(from, &path, &progress).await {
        edge.submit(Event::DeltaReceived(Box::new(delta)));
    }
}

/// Fetches the index of the prompt parts cached by upstreams from another VM.
async fn fetch_cache_index(edge: Handle, from: SocketAddr) {
    if let Some(records) =
        fetch_postcard::<Vec<CacheRecord>>(from, CACHE_INDEX_PATH, &Progress::default()).await
    {
        edge.submit(Event::CacheIndexReceived(records));
    }
}

/// Fetches the streams that another VM knows.
async fn fetch_stream_origins(edge: Handle, from: SocketAddr) {
    if let Some(origins) =
        fetch_postcard::<Vec<StreamOrigin>>(from, STREAM_ORIGINS_PATH, &Progress::default()).await
    {
        edge.submit(Event::StreamOriginsReceived(origins));
    }
}

/// Fetches the record of a stream from another VM.
async fn fetch_stream_origin(edge: Handle, from: SocketAddr, stream: u64) {
    let path = format!("{STREAM_ORIGINS_PATH}?stream={stream}");
    let progress = Progress::default();
    let response = fetch(from, &path, MAX_STREAM_RECORD_BYTES, &progress).await;
    let origins: Vec<StreamOrigin> =
        response.and_then(|response| decode(from, &path, &response)).unwrap_or_default();
    let origin = origins.into_iter().find(|origin| origin.stream == stream);
    edge.submit(Event::StreamOriginReceived(stream, origin));
}

/// Fetches the list of prompt parts in an upstream's cache.
async fn list_cache(edge: Handle, id: Name, address: SocketAddr) {
    let Ok(_permit) = edge.cache_lists.acquire().await else { return };
    let started = edge.state().upstreams.get(&id).map(|upstream| upstream.registration.started);
    let (path, progress) = (edge.dialect.cache_list_path, Progress::default());
    let Some(response) = fetch(address, path, MAX_CACHE_LIST_BYTES, &progress).await else { return };
    let leaving = (edge.dialect.parse_response)(response.status(), response.headers()).leaving;
    if let Some(started) = started.filter(|_| leaving) {
        let notice = Notice { started, leaving, ..Notice::default() };
        edge.submit(Event::NoticeReceived(id.clone(), notice));
    }
    match (edge.dialect.parse_cache_list)(response.body()) {
        Ok(parts) => edge.submit(Event::CacheListed(id, parts)),
        Err(e) => log::warn!("cannot parse the cache list of {id}: {e}"),
    }
}

async fn fetch_postcard<T>(from: SocketAddr, path: &str, progress: &Progress) -> Option<T>
where
    T: DeserializeOwned,
{
    let response = fetch(from, path, MAX_RESPONSE_BYTES, progress).await?;
    decode(from, path, &response)
}

fn decode<T>(from: SocketAddr, path: &str, response: &Response<Bytes>) -> Option<T>
where
    T: DeserializeOwned,
{
    let value = postcard::from_bytes(response.body());
    value.inspect_err(|e| log::warn!("cannot decode {path} from {from}: {e}")).ok()
}

async fn fetch(
    from: SocketAddr,
    path: &str,
    max_bytes: usize,
    progress: &Progress,
) -> Option<Response<Bytes>> {
    let fetched = client::fetch_with_idle_timeout(from, path, max_bytes, FETCH_TIMEOUT, progress).await;
    fetched.inspect_err(|e| log::warn!("cannot fetch {path} from {from}: {e}")).ok()
}

/// Returns the known streams for another VM, or the one that it names.
fn listed_streams(edge: &Handle, request: &Request<Incoming>) -> Vec<StreamOrigin> {
    let query = Query::parse(request.uri().query().unwrap_or_default());
    match query.param("stream").parse() {
        Ok(stream) => edge.stream_origin(stream).into_iter().collect(),
        Err(_) => edge.stream_origins(),
    }
}

/// Handles a request of another VM.
pub fn handle(edge: &Handle, request: &Request<Incoming>) -> Response<Body> {
    let encoded = match request.uri().path() {
        DIRECTORY_PATH => {
            let query = Query::parse(request.uri().query().unwrap_or_default());
            // Without a revision, the response covers the entire directory.
            let number = |name| query.param(name).parse().unwrap_or_default();
            let after = StoreRevision { epoch: number("epoch"), number: number("after") };
            postcard::to_allocvec(&edge.delta(after, query.param("all") == "true"))
        }
        STREAM_ORIGINS_PATH => postcard::to_allocvec(&listed_streams(edge, request)),
        CACHE_INDEX_PATH => postcard::to_allocvec(&edge.cache_index()),
        _ => return body::respond(404, "text/plain", "not found\n"),
    };
    match encoded {
        Ok(bytes) => body::respond(200, "application/octet-stream", bytes),
        Err(e) => {
            log::error!("cannot encode the response for {}: {e}", request.uri().path());
            body::respond(500, "text/plain", "it cannot be encoded\n")
        }
    }
}
