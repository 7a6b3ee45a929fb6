//! What the operators and the upstreams publish, at one revision.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::routes::Routes;

/// What is published, at one revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Directory {
    /// The revision up to which changes are included.
    pub revision: u64,
    /// The newest routes, if any are known.
    pub routes: Option<Arc<Routes>>,
    /// The registered upstreams by their identifier.
    pub upstreams: BTreeMap<Name, Registration>,
    /// The failure domains that nothing may be sent to.
    pub evacuated: BTreeSet<Name>,
}

/// How an upstream registered itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// The service that it runs.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub domain: Name,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Tells whether it is about to leave.
    pub draining: bool,
    /// How much longer it was cold when it registered, in milliseconds.
    pub cold_ms: u64,
    /// When it started, on its own clock; tells one start from another.
    pub started: u64,
}

/// One published change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// New routes are in force.
    Routes(Arc<Routes>),
    /// An upstream registered or changed its registration.
    Registered(Name, Registration),
    /// An upstream's registration ended or cannot be read.
    Unregistered(Name),
    /// Nothing may be sent to a failure domain.
    Evacuated(Name),
    /// A failure domain is taken back.
    Restored(Name),
}

impl Directory {
    /// Applies a change that was published at a revision.
    pub fn apply(&mut self, revision: u64, change: Change) {
        self.revision = self.revision.max(revision);
        match change {
            Change::Routes(routes) => self.update_routes(routes),
            Change::Registered(id, registration) => {
                self.upstreams.insert(id, registration);
            }
            Change::Unregistered(id) => {
                self.upstreams.remove(&id);
            }
            Change::Evacuated(domain) => {
                self.evacuated.insert(domain);
            }
            Change::Restored(domain) => {
                self.evacuated.remove(&domain);
            }
        }
    }

    /// Takes routes unless they are older than those in force.
    pub fn update_routes(&mut self, routes: Arc<Routes>) {
        if self.routes.as_ref().is_none_or(|known| known.version < routes.version) {
            self.routes = Some(routes);
        }
    }
}

/// What one VM tells another of the directory.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Delta {
    /// All changes since the revision that was asked for.
    Changes {
        /// The revision up to which they go.
        revision: u64,
        /// The changes, each at its revision.
        changes: Vec<(u64, Change)>,
        /// How long ago the registry came back, if that was lately, in milliseconds.
        restored_age_ms: Option<u64>,
    },
    /// There are changes, but so many routes that each VM should read them from the registry itself.
    TooLarge,
    /// All that is published, as the changes are no longer known.
    Full {
        /// What is published.
        directory: Directory,
        /// How long ago the registry came back, if that was lately, in milliseconds.
        restored_age_ms: Option<u64>,
    },
}

/// The most routes that one VM passes on to all others of its failure domain.
const MAX_FORWARDED_ROUTES: usize = 150;

impl Delta {
    /// Tells whether it would burden the link of the VM that passes it on.
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

/// The most changes that are kept for other VMs.
const MAX_CHANGES: usize = 512;

/// The latest changes, which are passed on to other VMs.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<(u64, Change)>,
    since: u64,
}

impl ChangeLog {
    /// Keeps a change that was published at a revision.
    pub fn push(&mut self, revision: u64, change: Change) {
        self.changes.push_back((revision, change));
        if self.changes.len() > MAX_CHANGES
            && let Some((oldest, _)) = self.changes.pop_front()
        {
            self.since = oldest;
        }
    }

    /// Starts anew at a revision up to which the changes are not known.
    pub fn reset(&mut self, revision: u64) {
        self.changes.clear();
        self.since = revision;
    }

    /// Returns the changes after a revision, unless some are not known.
    pub fn since(&self, revision: u64) -> Option<Vec<(u64, Change)>> {
        (revision >= self.since)
            .then(|| self.changes.iter().filter(|(at, _)| *at > revision).cloned().collect())
    }
}
