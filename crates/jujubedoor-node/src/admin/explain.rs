//! Explains the placement of a chat: the upstreams that are tried, and the VMs that admit its calls.

use jujubedoor::State;
use jujubedoor::ids::AffinityKey;
use jujubedoor::placement;
use jujubedoor::rendezvous;
use jujubedoor_http::Query;
use serde::Deserialize;
use serde::Serialize;

/// The placement of a chat, as returned to operators.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Explanation {
    /// Why the chat's calls cannot be placed, if they cannot.
    pub problem: Option<String>,
    /// The pool of upstreams.
    pub pool: String,
    /// The admission policy of the pool.
    pub admission: String,
    /// The upstreams, in the order in which they are tried.
    pub order: Vec<Choice>,
}

/// An upstream that the chat's calls may be placed on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Choice {
    /// The name of the upstream.
    pub upstream: String,
    /// The region of the upstream.
    pub region: String,
    /// The VM that owns admission to the upstream, in this VM's view.
    pub owner: Option<String>,
}

/// Explains the placement of the chat that the query parameters name.
pub fn explain(state: &State, query: &Query) -> Explanation {
    let (workspace, pool, chat) = (query.param("workspace"), query.param("model"), query.param("chat"));
    if !state.catalog.workspaces.contains_key(workspace) {
        return problem(format!("workspace `{workspace}` is not declared"));
    }
    let Some(id) = state.catalog.pool_of(workspace, pool) else {
        return problem(format!("model or service `{pool}` is not declared for `{workspace}`"));
    };
    let key = AffinityKey(rendezvous::key_of(chat));
    let order = placement::rank_upstreams(&state.catalog, &id, key, &state.region);
    let choices = order.iter().map(|upstream| {
        let region = &state.catalog.upstreams[upstream].region;
        Choice {
            upstream: upstream.to_string(),
            region: region.to_string(),
            owner: state.admissions.owner(upstream).map(ToString::to_string),
        }
    });
    let no_upstream = order.is_empty().then(|| "no upstream takes new work".to_owned());
    Explanation {
        problem: no_upstream,
        pool: id.to_string(),
        admission: format!("{:?}", state.catalog.pools[&id].pool.admission).to_lowercase(),
        order: choices.collect(),
    }
}

fn problem(text: String) -> Explanation {
    Explanation { problem: Some(text), ..Explanation::default() }
}
