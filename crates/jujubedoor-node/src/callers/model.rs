//! Model calls: chat completions and plain completions.

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use jujubedoor::call::Arrival;
use jujubedoor::ids::AffinityKey;
use jujubedoor::ids::Fingerprint;
use jujubedoor::ids::UpstreamId;
use jujubedoor::rendezvous;
use jujubedoor_config::Affinity;
use jujubedoor_config::Name;
use jujubedoor_http::Body;
use serde_json::Value;

use super::AFFINITY_HEADER;
use super::CHAT_HEADER;
use super::WORKSPACE_HEADER;
use super::call;
use super::call::Outgoing;
use super::reply;
use crate::core::Handle;

/// Handles a model call.
pub async fn handle_request(handle: Handle, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let workspace =
        super::header(&request, WORKSPACE_HEADER).or_else(|| bearer_token(&request)).unwrap_or_default();
    let chat = super::header(&request, CHAT_HEADER);
    let hint = super::header(&request, AFFINITY_HEADER);
    let bytes = match super::read_body(&handle, request).await {
        Ok(bytes) => bytes,
        Err(response) => return response,
    };
    let value = match parse(&bytes) {
        Ok(value) => value,
        Err(detail) => return reply::error_response(&super::bad_request(), "", &detail),
    };
    let pool = value["model"].as_str().unwrap_or_default().to_owned();
    let affinity = pool_affinity(&handle, &workspace, &pool).await;
    let open = handle.open_request();
    let arrival = Arrival {
        request: open.id,
        key: affinity_key(&value, chat.as_deref(), affinity),
        fingerprint: fingerprint(&workspace, &bytes),
        hint: hint.map(|hint| UpstreamId(Name::from(hint))),
        workspace: workspace.into(),
        pool: pool.into(),
        deadline: handle.clock.now().after(handle.settings.call_ms),
        ..Arrival::default()
    };
    let outgoing = Outgoing {
        method: "POST".into(),
        path,
        headers: vec![("content-type".into(), b"application/json".to_vec())],
        body: bytes,
        is_stream: value["stream"].as_bool().unwrap_or(false),
        is_model_call: true,
    };
    call::serve(handle, open, arrival, outgoing).await
}

/// Parses a body and checks that the fields needed for routing are present.
fn parse(bytes: &Bytes) -> Result<Value, String> {
    let value: Value = serde_json::from_slice(bytes).map_err(|e| format!("the body is not JSON: {e}"))?;
    if value["model"].as_str().is_none_or(str::is_empty) {
        return Err("`model` is missing".into());
    }
    let has_messages = value["messages"].as_array().is_some_and(|messages| !messages.is_empty());
    if !has_messages && !value["prompt"].is_string() {
        return Err("`messages` or `prompt` is missing".into());
    }
    Ok(value)
}

async fn pool_affinity(handle: &Handle, workspace: &str, pool: &str) -> Affinity {
    let (workspace, pool) = (workspace.to_owned(), pool.to_owned());
    let read = move |state: &jujubedoor::State| {
        let id = state.catalog.pool_of(&workspace, &pool)?;
        Some(state.catalog.pools.get(&id)?.pool.affinity)
    };
    handle.query(read).await.flatten().unwrap_or_default()
}

/// Returns the affinity key of a call.
///
/// By default it is derived from the chat's id. For pools with prefix affinity, whose chats share their first
/// message, it is derived from that message. If one is missing, the other is used.
fn affinity_key(value: &Value, chat: Option<&str>, affinity: Affinity) -> AffinityKey {
    let chat = chat.or(value["chat_id"].as_str()).or(value["user"].as_str());
    let first_message = value["messages"][0]["content"].as_str().or(value["prompt"].as_str());
    let text = match affinity {
        Affinity::Chat => chat.or(first_message),
        Affinity::Prefix => first_message.or(chat),
    };
    AffinityKey(rendezvous::key_of(text.unwrap_or_default()))
}

/// Returns the fingerprint of a request: a hash of its workspace and its body.
pub fn fingerprint(workspace: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(workspace.as_bytes()).update(&[0]).update(body);
    let mut hash = [0; 8];
    hasher.finalize_xof().fill(&mut hash);
    Fingerprint(u64::from_le_bytes(hash))
}

fn bearer_token(request: &Request<Incoming>) -> Option<String> {
    super::header(request, "authorization")?.strip_prefix("Bearer ").map(str::to_owned)
}
