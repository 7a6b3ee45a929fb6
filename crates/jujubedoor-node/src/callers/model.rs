//! Model calls: the chat-completions form and the plain completion form.

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

/// Answers a model call.
pub async fn handle_request(handle: Handle, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let workspace =
        super::header(&request, WORKSPACE_HEADER).or_else(|| bearer(&request)).unwrap_or_default();
    let chat = super::header(&request, CHAT_HEADER);
    let hint = super::header(&request, AFFINITY_HEADER);
    let bytes = match super::collect(&handle, request).await {
        Ok(bytes) => bytes,
        Err(response) => return response,
    };
    let value = match parse(&bytes) {
        Ok(value) => value,
        Err(detail) => return reply::refuse(&super::bad_request(), "", &detail),
    };
    let pool = value["model"].as_str().unwrap_or_default().to_owned();
    let affinity = affinity_of(&handle, &workspace, &pool).await;
    let open = handle.open_request();
    let arrival = Arrival {
        request: open.id,
        key: key_of(&value, chat.as_deref(), affinity),
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
        streams: value["stream"].as_bool().unwrap_or(false),
        model: true,
    };
    call::serve(handle, open, arrival, outgoing).await
}

/// Parses a body and checks the fields that decisions need.
fn parse(bytes: &Bytes) -> Result<Value, String> {
    let value: Value = serde_json::from_slice(bytes).map_err(|e| format!("the body is not JSON: {e}"))?;
    if value["model"].as_str().is_none_or(str::is_empty) {
        return Err("`model` is missing".into());
    }
    let messages = value["messages"].as_array().is_some_and(|messages| !messages.is_empty());
    if !messages && !value["prompt"].is_string() {
        return Err("`messages` or `prompt` is missing".into());
    }
    Ok(value)
}

async fn affinity_of(handle: &Handle, workspace: &str, pool: &str) -> Affinity {
    let (workspace, pool) = (workspace.to_owned(), pool.to_owned());
    let look = move |state: &jujubedoor::State| {
        let id = state.catalog.pool_of(&workspace, &pool)?;
        Some(state.catalog.pools.get(&id)?.pool.affinity)
    };
    handle.query(look).await.flatten().unwrap_or_default()
}

/// Returns the affinity key: the chat's id, or its first message when that is shared or no id is given.
fn key_of(value: &Value, chat: Option<&str>, affinity: Affinity) -> AffinityKey {
    let chat = chat.or(value["chat_id"].as_str()).or(value["user"].as_str());
    let first = value["messages"][0]["content"].as_str().or(value["prompt"].as_str());
    let text = match affinity {
        Affinity::Chat => chat.or(first),
        Affinity::Prefix => first.or(chat),
    };
    AffinityKey(rendezvous::key_of(text.unwrap_or_default()))
}

/// Hashes the workspace and the body.
pub fn fingerprint(workspace: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(workspace.as_bytes()).update(&[0]).update(body);
    let mut start = [0; 8];
    hasher.finalize_xof().fill(&mut start);
    Fingerprint(u64::from_le_bytes(start))
}

fn bearer(request: &Request<Incoming>) -> Option<String> {
    super::header(request, "authorization")?.strip_prefix("Bearer ").map(str::to_owned)
}
