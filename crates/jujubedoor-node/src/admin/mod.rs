//! The administration API: metrics, status, explanations and the timeline, and a few commands to this VM.
//!
//! Every call needs the operators' token, which is derived from the fleet's secret; without it the
//! response is 401 with an empty body. No call changes the configuration that the VMs share.

pub mod explain;
pub mod status;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use jujubedoor::Event;
use jujubedoor::ids::Fingerprint;
use jujubedoor_http::Body;
use jujubedoor_http::Query;
use jujubedoor_http::body;

use crate::core::Handle;

pub use explain::Explanation;
pub use status::Status;

/// Derives the operators' token of a fleet from its secret.
pub fn token(secret: &str) -> String {
    let key = blake3::derive_key("jujubedoor admin v1", secret.as_bytes());
    blake3::Hash::from(key).to_hex().to_string()
}

/// Handles a request of an operator.
pub async fn handle_request(handle: Handle, request: Request<Incoming>) -> Response<Body> {
    if !is_authentic(&handle, &request) {
        return body::respond(401, "text/plain", "");
    }
    let path = request.uri().path().to_owned();
    let query = Query::parse(request.uri().query().unwrap_or_default());
    match (request.method(), path.as_str()) {
        (&Method::GET, "/metrics") => {
            body::respond(200, "text/plain; version=1.0.0", handle.metrics.encode())
        }
        (&Method::GET, "/v1/status") => read_state(&handle, status::describe).await,
        (&Method::GET, "/v1/explain") => {
            read_state(&handle, move |state| explain::explain(state, &query)).await
        }
        (&Method::GET, "/v1/timeline") => timeline(&handle, &query),
        (&Method::POST, "/v1/drain") => {
            handle.drain_signal.send_replace(true);
            body::json(202, &"draining")
        }
        (&Method::DELETE, path) if path.starts_with("/v1/suspects/") => clear_suspect(&handle, path),
        _ => body::json(404, &format!("there is nothing at {path}")),
    }
}

fn is_authentic(handle: &Handle, request: &Request<Incoming>) -> bool {
    let header = request.headers().get("authorization").and_then(|value| value.to_str().ok());
    let token_text = header.and_then(|text| text.strip_prefix("Bearer ")).unwrap_or_default();
    let presented: Result<blake3::Hash, _> = token_text.parse();
    // Hashes are compared in constant time, so that response times do not reveal the token.
    presented.is_ok_and(|presented| {
        token(&handle.settings.key).parse::<blake3::Hash>().is_ok_and(|expected| expected == presented)
    })
}

async fn read_state<T, F>(handle: &Handle, describe: F) -> Response<Body>
where
    T: serde::Serialize + Send + 'static,
    F: FnOnce(&jujubedoor::State) -> T + Send + 'static,
{
    match handle.query(describe).await {
        Some(value) => body::json(200, &value),
        None => body::json(503, &"this VM is stopping"),
    }
}

fn timeline(handle: &Handle, query: &Query) -> Response<Body> {
    let request = query.param("request").to_owned();
    let since: u64 = query.param("since").parse().unwrap_or(0);
    let predicate = |entry: &crate::timeline::Entry| {
        let matches_request = request.is_empty() || entry.request.as_deref() == Some(request.as_str());
        matches_request && entry.stamp >= since
    };
    body::json(200, &handle.timeline.entries(&handle.settings.vm, predicate))
}

fn clear_suspect(handle: &Handle, path: &str) -> Response<Body> {
    let text = path.trim_start_matches("/v1/suspects/");
    let Ok(fingerprint) = u64::from_str_radix(text, 16) else {
        return body::json(400, &"a fingerprint is a hexadecimal number");
    };
    handle.submit(Event::ClearSuspect(Fingerprint(fingerprint)));
    body::json(202, &"cleared")
}
