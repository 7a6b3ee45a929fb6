//! Identifiers, revision numbers and timestamps.

use std::fmt;

use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

/// A timestamp of the monotonic clock of one VM, in milliseconds since an arbitrary origin.
///
/// Timestamps of different VMs cannot be compared.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Returns the timestamp a number of milliseconds later, saturating at the largest timestamp.
    #[must_use]
    pub fn after(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds elapsed since another timestamp, or zero if that one is later.
    pub fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A random number that the daemon generates when it starts. It distinguishes the daemon processes of a VM.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A daemon process on a VM. After a restart, the daemon is another process with a new incarnation.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VmRef {
    /// Name of the VM in the platform's VM list.
    pub name: Name,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
}

/// Maximum number of a revision within its epoch, which takes the lower 48 bits.
const MAX_REVISION_NUMBER: u64 = (1 << 48) - 1;

/// Maximum epoch of a revision.
const MAX_REVISION_EPOCH: u64 = (1 << 16) - 1;

/// A revision of a document or of the VM list. Only the platform increases it.
///
/// The upper 16 bits are the epoch of the store in which it was certainly published, or zero. Documents of epoch zero
/// have the same revisions as in earlier versions of this software.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the revision with a number in an epoch of the store.
    pub fn in_epoch(epoch: u64, number: u64) -> Self {
        Self((epoch.min(MAX_REVISION_EPOCH) << 48) | number.min(MAX_REVISION_NUMBER))
    }

    /// Returns the number that the store has given out.
    pub fn number(self) -> u64 {
        self.0 & MAX_REVISION_NUMBER
    }
}

/// A point in the history of a store that may be restored from an older copy.
///
/// After a restore, numbers are reused in a higher epoch. Points are ordered by epoch first, so that
/// every point after a restore is later than every point before it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StoreRevision {
    /// Incremented each time that the store is restored.
    pub epoch: u64,
    /// Number of the change. It increases within an epoch.
    pub number: u64,
}

impl StoreRevision {
    /// Returns the revision with a number in the same epoch.
    #[must_use]
    pub fn with_number(self, number: u64) -> Self {
        Self { number, ..self }
    }
}

/// Identifier of a caller's request, assigned by the VM that received it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// Incarnation of the daemon that received the request.
    pub incarnation: Incarnation,
    /// Sequence number of the request within the incarnation.
    pub seq: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.incarnation.0, self.seq)
    }
}

/// Identifier of a permit, with which an admission owner allows one call to be sent to one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PermitId {
    /// Incarnation of the daemon that granted the permit.
    pub granter: Incarnation,
    /// Sequence number of the permit within the incarnation.
    pub seq: u64,
}

/// Identifier of a pool, which is a model or service of one team, as `team/name`.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PoolId(pub Name);

impl PoolId {
    /// Creates the identifier of a pool of a team.
    pub fn new(team: &str, pool: &str) -> Self {
        Self(Name::from(format!("{team}/{pool}")))
    }
}

impl fmt::Display for PoolId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifier of an upstream of one team, as `team/name`.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct UpstreamId(pub Name);

impl UpstreamId {
    /// Creates the identifier of an upstream of a team.
    pub fn new(team: &str, upstream: &str) -> Self {
        Self(Name::from(format!("{team}/{upstream}")))
    }
}

impl fmt::Display for UpstreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A hash that is equal for calls that can share an upstream's cache, such as the calls of one chat.
///
/// Calls with the same key are sent to the same upstream if possible.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct AffinityKey(pub u64);

/// Hash of a request's workspace and body, by which a request that crashed an upstream is recognized when it
/// is sent again.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// A number that an upstream generates when it starts. A changed stamp means that the upstream restarted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StartStamp(pub u64);
