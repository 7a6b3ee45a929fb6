//! Model calls: chat completions and plain completions.

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

use super::AFFINITY_HEADER;
use super::CHAT_HEADER;
use super::ReceivedBody;
use super::WORKSPACE_HEADER;
use super::call;
use super::call::Holding;
use super::call::Outgoing;
use super::call_body::CallBody;
use super::reply;
use crate::core::Handle;

/// Handles a model call.
pub async fn handle_request(handle: Handle, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let workspace =
        super::header(&request, WORKSPACE_HEADER).or_else(|| bearer_token(&request)).unwrap_or_default();
    let chat = super::header(&request, CHAT_HEADER);
    let hint = super::header(&request, AFFINITY_HEADER);
    let ReceivedBody { bytes, account } = match super::read_body(&handle, request).await {
        Ok(received) => received,
        Err(response) => return response,
    };
    let call_body = match CallBody::parse(&bytes) {
        Ok(call_body) => call_body,
        Err(detail) => return reply::error_response(&super::bad_request(), "", &detail),
    };
    let pool = call_body.model.clone();
    let affinity = pool_affinity(&handle, &workspace, &pool).await;
    let open = handle.open_request();
    let arrival = Arrival {
        request: open.id,
        key: affinity_key(&call_body, chat.as_deref(), affinity),
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
        is_stream: call_body.is_stream,
        is_model_call: true,
        holding: Holding::new(account, 0),
    };
    // Its texts may be as large as the body.
    drop(call_body);
    call::serve(handle, open, arrival, outgoing).await
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
fn affinity_key(call_body: &CallBody, chat: Option<&str>, affinity: Affinity) -> AffinityKey {
    let chat = chat.or(call_body.chat_id.as_deref()).or(call_body.user.as_deref());
    let first_message = call_body.messages.first.as_deref().or(call_body.prompt.as_deref());
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

/// Returns the token in the authorization header, which names the workspace if there is no other name.
pub(super) fn bearer_token(request: &Request<Incoming>) -> Option<String> {
    super::header(request, "authorization")?.strip_prefix("Bearer ").map(str::to_owned)
}
