//! Speaks with other VMs: beats as datagrams, the directory over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use jujubedoor_http::Body;
use jujubedoor_http::body;
use jujubedoor_http::client;
use jujubedoor_routing::Event;
use jujubedoor_routing::directory::Directory;
use jujubedoor_routing::event::Source;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::core::Handle;
use crate::core::Outgoing;

/// The largest datagram, in bytes.
const DATAGRAM: usize = 8 << 10;

/// The largest directory that is read from another VM, in bytes.
const DIRECTORY: usize = 8 << 20;

/// How long a read of another VM's directory may take.
const FETCH: Duration = Duration::from_millis(1_500);

/// The path under which a VM serves its directory to others.
const PATH: &str = "/v1/directory";

/// Receives beats until the socket fails.
pub async fn receive(edge: Handle, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; DATAGRAM];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => match postcard::from_bytes(&buf[..length]) {
                Ok(beat) => edge.submit(Event::Heard(from, Box::new(beat))),
                Err(e) => log::warn!("a datagram from {from} cannot be read: {e}"),
            },
            // A port that nobody listens on shows as an error of the next receive.
            Err(e) => log::debug!("a beat could not be received: {e}"),
        }
    }
}

/// Sends what goes to other VMs.
pub async fn send(edge: Handle, socket: Arc<UdpSocket>, mut outgoing: mpsc::UnboundedReceiver<Outgoing>) {
    let mut last = None;
    while let Some(next) = outgoing.recv().await {
        match next {
            Outgoing::Beat(to, beat) => {
                let bytes = match last.take() {
                    Some((known, bytes)) if Arc::ptr_eq(&known, &beat) => bytes,
                    _ => postcard::to_allocvec(&*beat).unwrap_or_default(),
                };
                if let Err(e) = socket.try_send_to(&bytes, to) {
                    log::debug!("a beat to {to} could not be sent: {e}");
                }
                last = Some((beat, bytes));
            }
            Outgoing::Fetch(from) => {
                tokio::spawn(fetch(edge.clone(), from));
            }
        }
    }
}

/// Reads the directory of another VM.
async fn fetch(edge: Handle, from: SocketAddr) {
    let request = match client::request("GET", from, PATH, body::full("")) {
        Ok(request) => request,
        Err(e) => {
            log::error!("the directory cannot be asked for: {e}");
            return;
        }
    };
    match client::fetch(from, request, DIRECTORY, FETCH).await {
        Ok(bytes) => match postcard::from_bytes::<Directory>(&bytes) {
            Ok(directory) => edge.submit(Event::Replaced(Box::new(directory), Source::Peer)),
            Err(e) => log::warn!("the directory of {from} cannot be read: {e}"),
        },
        Err(e) => log::warn!("the directory of {from} was not received: {e}"),
    }
}

/// Serves the directory to other VMs.
pub fn answer(edge: &Handle, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() != PATH {
        return body::respond(404, "text/plain", "not found\n");
    }
    match postcard::to_allocvec(&edge.directory()) {
        Ok(bytes) => body::respond(200, "application/octet-stream", bytes),
        Err(e) => {
            log::error!("the directory cannot be encoded: {e}");
            body::respond(500, "text/plain", "the directory cannot be encoded\n")
        }
    }
}
