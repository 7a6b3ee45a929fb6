//! Identifiers and points in time.

use std::fmt;

use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

/// A point on the monotonic clock of one VM, in milliseconds since an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time a number of milliseconds later.
    #[must_use]
    pub fn after(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds since an earlier time, or zero.
    pub fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A random number that a VM draws at each start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// One run of the daemon on a VM.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VmRef {
    /// The name of the VM in the platform's list.
    pub name: Name,
    /// The run of the daemon.
    pub incarnation: Incarnation,
}

/// A revision number, raised by the platform only.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// One request of a caller at the VM that received it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// The run of the daemon that received the request.
    pub incarnation: Incarnation,
    /// The number of the request within the run.
    pub seq: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.incarnation.0, self.seq)
    }
}

/// A permission of an admission owner to send one call to one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PermitId {
    /// The run of the daemon that granted the permit.
    pub granter: Incarnation,
    /// The number of the permit within the run.
    pub seq: u64,
}

/// A model or service of one team, as `team/name`.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PoolId(pub Name);

impl PoolId {
    /// Names a pool of a team.
    pub fn new(team: &str, pool: &str) -> Self {
        Self(Name::from(format!("{team}/{pool}")))
    }
}

impl fmt::Display for PoolId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An upstream of one team, as `team/name`.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct UpstreamId(pub Name);

impl UpstreamId {
    /// Names an upstream of a team.
    pub fn new(team: &str, upstream: &str) -> Self {
        Self(Name::from(format!("{team}/{upstream}")))
    }
}

impl fmt::Display for UpstreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The hash of what identifies calls that share a cache.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct AffinityKey(pub u64);

/// The hash of a request's workspace and body.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// The number that an upstream draws at each start of its own.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StartStamp(pub u64);
