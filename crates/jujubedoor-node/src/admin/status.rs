//! The status of a VM, as operators see it.

use jujubedoor::State;
use jujubedoor::admission::capacity;
use serde::Deserialize;
use serde::Serialize;

/// The status of a VM.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Status {
    /// The VM.
    pub vm: String,
    /// The run of the daemon, in hexadecimal.
    pub incarnation: String,
    /// Whether the VM serves callers.
    pub ready: bool,
    /// Whether the view of the fleet was confirmed lately.
    #[serde(rename = "fresh")]
    pub view_confirmed: bool,
    /// Whether the VM is leaving.
    pub leaving: bool,
    /// The revision of the VM list.
    pub list_revision: u64,
    /// The listed VMs that are out of use in this VM's view.
    pub out_of_use: Vec<String>,
    /// The documents.
    pub documents: Vec<DocumentStatus>,
    /// The upstreams that the VM owns.
    pub upstreams: Vec<UpstreamStatus>,
    /// The requests that the VM carries.
    pub requests: usize,
    /// The records of tickets.
    pub tickets: usize,
    /// The suspected requests, as hexadecimal fingerprints with their crashes.
    pub suspects: Vec<(String, u8)>,
}

/// The status of a team's document.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct DocumentStatus {
    /// The team.
    pub team: String,
    /// The revision in force.
    pub revision: u64,
    /// The later revision that was rejected.
    pub rejected: Option<u64>,
    /// Why it was rejected.
    pub diagnostics: Vec<String>,
}

/// The status of an upstream at its owner.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct UpstreamStatus {
    /// The upstream.
    pub upstream: String,
    /// Whether its failure domain takes work.
    pub takes_work: bool,
    /// Whether the owner has settled.
    #[serde(rename = "settled")]
    pub takeover_complete: bool,
    /// The calls in flight.
    pub load: u32,
    /// The most calls by the load bound.
    pub bound: u32,
    /// The most calls that it bears since its start.
    #[serde(rename = "bearable")]
    pub ramp_limit: u32,
    /// The calls in flight that the owner cannot explain.
    #[serde(rename = "foreign")]
    pub unaccounted: u32,
    /// The calls that wait.
    pub waiting: usize,
}

/// Describes the state of a VM.
pub fn describe(state: &State) -> Status {
    let me = state.fleet.me();
    Status {
        vm: me.name.to_string(),
        incarnation: format!("{:016x}", me.incarnation.0),
        ready: state.is_ready(),
        view_confirmed: state.is_fresh(),
        leaving: state.fleet.is_leaving(),
        list_revision: state.fleet.list().revision.0,
        out_of_use: state.fleet.out_of_use(state.now).iter().map(ToString::to_string).collect(),
        documents: describe_documents(state),
        upstreams: describe_upstreams(state),
        requests: state.entry.len(),
        tickets: state.executor.len(),
        suspects: state.suspects.list(state.now).iter().map(|(f, n)| (format!("{:016x}", f.0), *n)).collect(),
    }
}

fn describe_documents(state: &State) -> Vec<DocumentStatus> {
    let describe = |(name, team): (&jujubedoor_config::Name, &jujubedoor::documents::Team)| {
        let rejected = team.rejected.as_ref();
        let diagnostics = rejected.map(|(_, diagnostics)| diagnostics.as_slice()).unwrap_or_default();
        DocumentStatus {
            team: name.to_string(),
            revision: team.revision().0,
            rejected: rejected.map(|(revision, _)| revision.0),
            diagnostics: diagnostics.iter().map(ToString::to_string).collect(),
        }
    };
    state.documents.teams().map(describe).collect()
}

fn describe_upstreams(state: &State) -> Vec<UpstreamStatus> {
    let owned = state.admissions.owned().map(|(id, upstream_state)| {
        let pool = state.catalog.upstreams.get(id).and_then(|entry| entry.pools.first().cloned());
        let capacity = pool.map(|pool| capacity(state, id, &pool)).unwrap_or_default();
        UpstreamStatus {
            upstream: id.to_string(),
            takes_work: state.catalog.takes_work(id),
            takeover_complete: upstream_state.is_takeover_complete(state.now),
            load: capacity.load,
            bound: capacity.bound,
            ramp_limit: capacity.ramp_limit,
            unaccounted: upstream_state.observations.unaccounted_calls,
            waiting: upstream_state.queue.len(),
        }
    });
    owned.collect()
}
