//! The status of a VM, as operators see it.

use jujubedoor::State;
use jujubedoor::admission::room;
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
    pub fresh: bool,
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
    pub settled: bool,
    /// The calls in flight.
    pub load: u32,
    /// The most calls by the load bound.
    pub bound: u32,
    /// The most calls that it bears since its start.
    pub bearable: u32,
    /// The calls in flight that the owner cannot explain.
    pub foreign: u32,
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
        fresh: state.is_view_confirmed(),
        leaving: state.fleet.is_leaving(),
        list_revision: state.fleet.list().revision.0,
        out_of_use: state.fleet.unavailable_vms(state.now).iter().map(ToString::to_string).collect(),
        documents: describe_documents(state),
        upstreams: describe_upstreams(state),
        requests: state.entry.len(),
        tickets: state.executor.len(),
        suspects: state.suspects.list(state.now).iter().map(|(f, n)| (format!("{:016x}", f.0), *n)).collect(),
    }
}

fn describe_documents(state: &State) -> Vec<DocumentStatus> {
    let describe = |(name, team): (&jujubedoor_config::Name, &jujubedoor::documents::TeamDocument)| {
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
    let owned = state.admissions.owned().map(|(id, book)| {
        let pool = state.catalog.upstreams.get(id).and_then(|entry| entry.pools.first().cloned());
        let room = pool.map(|pool| room(state, id, &pool)).unwrap_or_default();
        UpstreamStatus {
            upstream: id.to_string(),
            takes_work: state.catalog.takes_work(id),
            settled: book.is_settled(state.now),
            load: room.load,
            bound: room.bound,
            bearable: room.bearable,
            foreign: book.observed.foreign,
            waiting: book.queue.len(),
        }
    });
    owned.collect()
}
