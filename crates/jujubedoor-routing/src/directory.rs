//! The directory: everything that operators and upstreams have published, at one revision.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use jujubedoor::ids::StoreRevision;
use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::registry_outage::EndedOutage;
use crate::routes::Routes;

/// Everything that operators and upstreams have published, at one revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Directory {
    /// The last revision that is included.
    pub revision: StoreRevision,
    /// The latest routes, if there are any.
    pub routes: Option<Arc<Routes>>,
    /// Revision at which the latest routes were published.
    pub routes_revision: StoreRevision,
    /// The registered upstreams by identifier.
    pub upstreams: BTreeMap<Name, Registration>,
    /// The runs of upstreams that ended last, by the identifier of the upstream.
    pub departures: BTreeMap<Name, Departure>,
    /// The evacuated failure domains, to which no requests are sent, with the revisions of the orders.
    pub evacuated: BTreeMap<Name, StoreRevision>,
}

/// Registration of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// The service to which the upstream belongs.
    pub service: Name,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub domain: Name,
    /// Version of the software that this run of the upstream runs.
    pub version: Name,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream is about to stop.
    pub draining: bool,
    /// Time for which the upstream was still cold when it registered, in milliseconds.
    pub cold_ms: u64,
    /// Start time on the upstream's own clock, which distinguishes its runs.
    pub started: u64,
    /// Number that increases with each registration of the same run.
    pub sequence: u64,
    /// Revision at which the registration was published.
    pub revision: StoreRevision,
}

/// The end of a run of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// Start time of the run.
    pub started: u64,
    /// Number of the last registration of the run.
    pub sequence: u64,
    /// Revision at which the registration ended.
    pub revision: StoreRevision,
}

/// Minimum number of departures that a directory keeps; a larger one keeps as many as it has upstreams.
const MIN_KEPT_DEPARTURES: usize = 256;

/// A published change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// New routes are in force.
    Routes(Arc<Routes>),
    /// An upstream registered or changed its registration.
    Registered(Name, Registration),
    /// An upstream's registration ended or cannot be parsed.
    Unregistered(Name),
    /// A failure domain was evacuated; no requests are sent to it.
    Evacuated(Name),
    /// A failure domain is in use again after an evacuation.
    Restored(Name),
}

impl Change {
    /// Returns the change with the revision at which it was published.
    #[must_use]
    pub fn published_at(self, revision: StoreRevision) -> Self {
        match self {
            Self::Registered(id, registration) => {
                Self::Registered(id, Registration { revision, ..registration })
            }
            other => other,
        }
    }
}

impl Directory {
    /// Applies a change with its revision.
    pub fn apply(&mut self, revision: StoreRevision, change: Change) {
        self.revision = self.revision.max(revision);
        match change.published_at(revision) {
            Change::Routes(routes) => self.update_routes(routes, revision),
            Change::Registered(id, registration) => {
                self.departures.remove(&id);
                self.upstreams.insert(id, registration);
            }
            Change::Unregistered(id) => {
                if let Some(ended) = self.upstreams.remove(&id) {
                    self.record_departure(id, ended.departure_at(revision));
                }
            }
            Change::Evacuated(domain) => {
                self.evacuated.insert(domain, revision);
            }
            Change::Restored(domain) => {
                self.evacuated.remove(&domain);
            }
        }
    }

    /// Replaces the routes unless they have a higher version than the new ones.
    pub fn update_routes(&mut self, routes: Arc<Routes>, revision: StoreRevision) {
        if self.routes.as_ref().is_none_or(|known| known.version <= routes.version) {
            self.routes = Some(routes);
            self.routes_revision = revision;
        }
    }

    /// Records the end of a run of an upstream.
    pub fn record_departure(&mut self, id: Name, departure: Departure) {
        self.departures.insert(id, departure);
        if self.departures.len() > self.upstreams.len().max(MIN_KEPT_DEPARTURES) {
            let oldest = self.departures.iter().min_by_key(|(_, departure)| departure.revision);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.departures.remove(&id);
            }
        }
    }
}

impl Registration {
    /// Returns whether this is the same entry as an earlier one, read again.
    pub fn is_repeated(&self, earlier: &Self) -> bool {
        self.sequence > 0 && (self.started, self.sequence) == (earlier.started, earlier.sequence)
    }

    /// Returns the end of the upstream's run, at the given revision.
    pub fn departure_at(&self, revision: StoreRevision) -> Departure {
        Departure { started: self.started, sequence: self.sequence, revision }
    }
}

/// The part of the directory that one VM sends to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Delta {
    /// All changes since the requested revision.
    Changes {
        /// The last revision that is included.
        revision: StoreRevision,
        /// The changes with their revisions.
        changes: Vec<(StoreRevision, Change)>,
        /// The registry's last outage, if it ended recently.
        last_outage: Option<EndedOutage>,
    },
    /// There are changes, but with so many routes that each VM should read them from the registry
    /// itself.
    TooLarge,
    /// The complete directory, because some of the changes are no longer available.
    Full {
        /// The directory.
        directory: Directory,
        /// The registry's last outage, if it ended recently.
        last_outage: Option<EndedOutage>,
    },
}

/// Maximum number of routes that one VM sends to all others of its failure domain.
const MAX_FORWARDED_ROUTES: usize = 150;

impl Delta {
    /// Returns whether sending the delta to many VMs would overload the sender's network link.
    pub fn is_large(&self) -> bool {
        let is_many = |routes: &Routes| routes.routes.len() > MAX_FORWARDED_ROUTES;
        match self {
            Self::Changes { changes, .. } => {
                changes.iter().any(|(_, c)| matches!(c, Change::Routes(routes) if is_many(routes)))
            }
            Self::Full { directory, .. } => directory.routes.as_deref().is_some_and(is_many),
            Self::TooLarge => false,
        }
    }
}

/// Maximum number of changes that are kept.
const MAX_CHANGES: usize = 512;

/// Log of the latest changes, which are sent to other VMs.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<(StoreRevision, Change)>,
    since: StoreRevision,
}

impl ChangeLog {
    /// Appends a change with its revision.
    pub fn push(&mut self, revision: StoreRevision, change: Change) {
        if let Change::Routes(routes) = &change {
            self.remove_replaced(routes);
        }
        self.changes.push_back((revision, change));
        if self.changes.len() > MAX_CHANGES
            && let Some((oldest, _)) = self.changes.pop_front()
        {
            self.since = oldest;
        }
    }

    /// Removes routes that newer ones replace for each VM that applies both. All versions of a long list of routes
    /// that changes often would take much more memory than the rest of a VM.
    fn remove_replaced(&mut self, newer: &Routes) {
        let is_replaced = |change: &Change| matches!(change, Change::Routes(r) if r.version <= newer.version);
        self.changes.retain(|(_, change)| !is_replaced(change));
    }

    /// Clears the log. Changes up to the revision are no longer available.
    pub fn reset(&mut self, revision: StoreRevision) {
        self.changes.clear();
        self.since = revision;
    }

    /// Returns the changes after a revision, or `None` if some of them are not available.
    pub fn since(&self, revision: StoreRevision) -> Option<Vec<(StoreRevision, Change)>> {
        (revision >= self.since)
            .then(|| self.changes.iter().filter(|(at, _)| *at > revision).cloned().collect())
    }
}
