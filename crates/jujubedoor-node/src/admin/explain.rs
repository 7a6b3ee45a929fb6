//! The explanation of a placement: where a chat goes, and who decides.

use jujubedoor::State;
use jujubedoor::ids::AffinityKey;
use jujubedoor::placement;
use jujubedoor::rendezvous;
use jujubedoor_http::Query;
use serde::Deserialize;
use serde::Serialize;

/// Where a chat goes, and who decides.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Explanation {
    /// What stands in the way, if anything.
    pub problem: Option<String>,
    /// The pool.
    pub pool: String,
    /// The policy that admits calls.
    pub admission: String,
    /// The upstreams in the order in which they are asked.
    pub order: Vec<Choice>,
}

/// One upstream of the order.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Choice {
    /// The upstream.
    pub upstream: String,
    /// Its region.
    pub region: String,
    /// The admission owner in this VM's view.
    pub owner: Option<String>,
}

/// Explains where a chat goes.
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
    let none = order.is_empty().then(|| "no upstream takes new work".to_owned());
    Explanation {
        problem: none,
        pool: id.to_string(),
        admission: format!("{:?}", state.catalog.pools[&id].pool.admission).to_lowercase(),
        order: choices.collect(),
    }
}

fn problem(text: String) -> Explanation {
    Explanation { problem: Some(text), ..Explanation::default() }
}
