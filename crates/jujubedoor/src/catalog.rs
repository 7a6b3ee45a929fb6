//! The catalog: an index of the pools, upstreams and workspaces of all active documents.

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

/// An index of the pools, upstreams and workspaces of all active documents.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Models and services.
    pub pools: BTreeMap<PoolId, PoolEntry>,
    /// Upstreams.
    pub upstreams: BTreeMap<UpstreamId, UpstreamEntry>,
    /// Workspaces. If two teams declare the same workspace, it belongs to the first team by name.
    pub workspaces: BTreeMap<Name, WorkspaceEntry>,
}

/// A model or service.
#[derive(Clone, Debug, Default)]
pub struct PoolEntry {
    /// Declaration in the document.
    pub pool: Pool,
    /// Upstreams that serve the pool.
    pub upstreams: Vec<UpstreamId>,
}

/// An upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamEntry {
    /// Declaration in the document.
    pub upstream: Upstream,
    /// Region of the upstream's failure domain.
    pub region: Name,
    /// State of the upstream's failure domain.
    pub state: DomainState,
    /// Pools that the upstream serves.
    pub pools: Vec<PoolId>,
}

/// A workspace.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceEntry {
    /// Team that declares the workspace.
    pub team: Name,
    /// Declaration in the document.
    pub workspace: Workspace,
}

impl Catalog {
    /// Builds the catalog of the active documents.
    pub fn new(documents: &Documents) -> Self {
        let mut catalog = Self::default();
        for active_document in documents.active() {
            catalog.add(&active_document.document);
        }
        catalog
    }

    /// Returns the pool that a name stands for in a workspace: the pool of that name of the workspace's team.
    pub fn pool_of(&self, workspace: &str, pool: &str) -> Option<PoolId> {
        let team = &self.workspaces.get(workspace)?.team;
        let id = PoolId::new(team, pool);
        self.pools.contains_key(&id).then_some(id)
    }

    /// Returns whether an upstream may receive new calls: its failure domain is in service.
    pub fn takes_work(&self, upstream: &UpstreamId) -> bool {
        self.upstreams.get(upstream).is_some_and(|entry| entry.state == DomainState::In)
    }

    /// Iterates over the upstreams of a pool in a region that may receive new calls.
    pub fn available_upstreams<'a>(
        &'a self,
        pool: &PoolId,
        region: &'a str,
    ) -> impl Iterator<Item = &'a UpstreamId> {
        let upstreams = self.pools.get(pool).map(|entry| entry.upstreams.as_slice()).unwrap_or_default();
        upstreams.iter().filter(move |id| self.takes_work(id) && &*self.upstreams[*id].region == region)
    }

    /// Returns the weight of a workspace, or 1 if it is not declared.
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
