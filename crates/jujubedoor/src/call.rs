//! Requests of callers and responses of upstreams.

use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::AffinityKey;
use crate::ids::Fingerprint;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::Time;
use crate::ids::UpstreamId;

/// The properties of a caller's request that routing and admission decisions depend on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Identifier of the request.
    pub request: RequestId,
    /// Workspace given by the caller.
    pub workspace: Name,
    /// Name of the model or service given by the caller.
    pub pool: Name,
    /// Affinity key, equal for calls that can share an upstream's cache.
    pub key: AffinityKey,
    /// Hash of workspace and body.
    pub fingerprint: Fingerprint,
    /// Upstream named by the response to an earlier call, which the caller sent along.
    pub hint: Option<UpstreamId>,
    /// Ticket sent by the caller.
    pub ticket: Option<String>,
    /// The call to a plain service; `None` for a model call.
    pub service_call: Option<ServiceCall>,
    /// Deadline of the call.
    pub deadline: Time,
}

/// A complete HTTP call to a plain service, including its body.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ServiceCall {
    /// Workspace of the caller.
    pub workspace: Name,
    /// Identifier of the service's pool.
    pub pool: PoolId,
    /// HTTP method.
    pub method: String,
    /// Path and query, relative to the service's prefix.
    pub path: String,
    /// Headers that are forwarded to the upstream.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

/// A complete HTTP response of a plain service, including its body.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are forwarded to the caller.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}
