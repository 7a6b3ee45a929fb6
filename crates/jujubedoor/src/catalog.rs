//! The catalogue: pools, upstreams and workspaces of all documents in force, ready for look-up.

use std::collections::BTreeMap;

use jujubedoor_config::Document;
use jujubedoor_config::DomainState;
use jujubedoor_config::Name;
use jujubedoor_config::Pool;
use jujubedoor_config::Upstream;
use jujubedoor_config::Workspace;

use crate::documents::Documents;
use crate::ids::PoolId;
use crate::ids::UpstreamId;

/// Pools, upstreams and workspaces of all documents in force.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The models and services.
    pub pools: BTreeMap<PoolId, PoolEntry>,
    /// The upstreams.
    pub upstreams: BTreeMap<UpstreamId, UpstreamEntry>,
    /// The workspaces; of two teams that declare the same one, the first by name has it.
    pub workspaces: BTreeMap<Name, WorkspaceEntry>,
}

/// A model or service.
#[derive(Clone, Debug, Default)]
pub struct PoolEntry {
    /// The declaration.
    pub pool: Pool,
    /// The upstreams that serve it.
    pub upstreams: Vec<UpstreamId>,
}

/// An upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamEntry {
    /// The declaration.
    pub upstream: Upstream,
    /// The region of its failure domain.
    pub region: Name,
    /// The state of its failure domain.
    pub state: DomainState,
    /// The pools that it serves.
    pub pools: Vec<PoolId>,
}

/// A workspace.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceEntry {
    /// The team that declares it.
    pub team: Name,
    /// The declaration.
    pub workspace: Workspace,
}

impl Catalog {
    /// Builds the catalogue of the documents in force.
    pub fn new(documents: &Documents) -> Self {
        let mut catalog = Self::default();
        for active in documents.active() {
            catalog.add(&active.document);
        }
        catalog
    }

    /// Finds the pool that a workspace means by a name.
    pub fn pool_of(&self, workspace: &str, pool: &str) -> Option<PoolId> {
        let team = &self.workspaces.get(workspace)?.team;
        let id = PoolId::new(team, pool);
        self.pools.contains_key(&id).then_some(id)
    }

    /// Tells whether an upstream may get new work.
    pub fn takes_work(&self, upstream: &UpstreamId) -> bool {
        self.upstreams.get(upstream).is_some_and(|entry| entry.state == DomainState::In)
    }

    /// Iterates over the upstreams of a pool in a region that may get new work.
    pub fn available_upstreams<'a>(
        &'a self,
        pool: &PoolId,
        region: &'a str,
    ) -> impl Iterator<Item = &'a UpstreamId> {
        let upstreams = self.pools.get(pool).map(|entry| entry.upstreams.as_slice()).unwrap_or_default();
        upstreams.iter().filter(move |id| self.takes_work(id) && &*self.upstreams[*id].region == region)
    }

    /// Returns the weight of a workspace.
    pub fn weight(&self, workspace: &str) -> u32 {
        self.workspaces.get(workspace).map_or(1, |entry| entry.workspace.weight)
    }

    fn add(&mut self, document: &Document) {
        let team = &document.team;
        for pool in &document.pools {
            let entry = PoolEntry { pool: pool.clone(), upstreams: Vec::new() };
            self.pools.insert(PoolId::new(team, &pool.name), entry);
        }
        for upstream in &document.upstreams {
            let id = UpstreamId::new(team, &upstream.name);
            let pools: Vec<_> = upstream.serves.iter().map(|pool| PoolId::new(team, pool)).collect();
            for pool in &pools {
                if let Some(entry) = self.pools.get_mut(pool) {
                    entry.upstreams.push(id.clone());
                }
            }
            let domain = document.failure_domains.iter().find(|d| d.name == upstream.domain);
            let (region, state) = domain.map(|d| (d.region.clone(), d.state)).unwrap_or_default();
            self.upstreams.insert(id, UpstreamEntry { upstream: upstream.clone(), region, state, pools });
        }
        for workspace in &document.workspaces {
            let entry = WorkspaceEntry { team: team.clone(), workspace: workspace.clone() };
            self.workspaces.entry(workspace.name.clone()).or_insert(entry);
        }
    }
}
