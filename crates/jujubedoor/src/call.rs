//! Calls of callers and answers of upstreams.

use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::AffinityKey;
use crate::ids::Fingerprint;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::Time;
use crate::ids::UpstreamId;

/// What a caller asks for, as far as decisions need it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// The workspace that the caller names.
    pub workspace: Name,
    /// The model or service that the caller names.
    pub pool: Name,
    /// What identifies calls that share a cache.
    pub key: AffinityKey,
    /// The hash of workspace and body.
    pub fingerprint: Fingerprint,
    /// The upstream that an earlier answer named.
    pub hint: Option<UpstreamId>,
    /// The ticket that the caller sent.
    pub ticket: Option<String>,
    /// The call, when it is for a plain service.
    pub service_call: Option<ServiceCall>,
    /// When the call's time runs out.
    pub deadline: Time,
}

/// A whole call of a plain service.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ServiceCall {
    /// The workspace of the caller.
    pub workspace: Name,
    /// The service.
    pub pool: PoolId,
    /// The HTTP method.
    pub method: String,
    /// The path and query below the service's prefix.
    pub path: String,
    /// The headers that go to the upstream.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
}

/// A whole answer of a plain service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that go to the caller.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
}
