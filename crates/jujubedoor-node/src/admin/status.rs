//! The status of a VM, as returned to operators.

use jujubedoor::State;
use jujubedoor::admission::capacity;
use serde::Deserialize;
use serde::Serialize;

/// The status of a VM.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Status {
    /// The name of the VM.
    pub vm: String,
    /// The incarnation: a random number of this daemon process, in hexadecimal.
    pub incarnation: String,
    /// Whether the load balancer should send callers to the VM.
    pub ready: bool,
    /// Whether the VM's view of the fleet was confirmed recently.
    #[serde(rename = "fresh")]
    pub view_confirmed: bool,
    /// Whether the VM is draining.
    pub leaving: bool,
    /// The revision of the VM list.
    pub list_revision: u64,
    /// The VMs that this VM excludes from ownership: those that it suspects, those that announced that they
    /// are leaving, and itself while it is leaving.
    pub out_of_use: Vec<String>,
    /// The documents of the teams.
    pub documents: Vec<DocumentStatus>,
    /// The upstreams whose admission the VM owns.
    pub upstreams: Vec<UpstreamStatus>,
    /// Number of active requests of this VM's callers.
    pub requests: usize,
    /// Number of records of used tickets.
    pub tickets: usize,
    /// The requests suspected of crashing upstreams: hexadecimal fingerprint and number of crashes.
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
    /// The later revision that was rejected, if any.
    pub rejected: Option<u64>,
    /// The diagnostics of the rejected revision.
    pub diagnostics: Vec<String>,
}

/// The status of an upstream, at the VM that owns it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct UpstreamStatus {
    /// The name of the upstream.
    pub upstream: String,
    /// Whether the upstream's failure domain is in service, so that the upstream may receive new calls.
    pub takes_work: bool,
    /// Whether the owner has completed the ownership takeover.
    #[serde(rename = "settled")]
    pub takeover_complete: bool,
    /// Number of calls in flight.
    pub load: u32,
    /// Maximum number of calls in flight under the load bound.
    pub bound: u32,
    /// Maximum number of calls in flight during the warm-up after the upstream's start.
    #[serde(rename = "bearable")]
    pub ramp_limit: u32,
    /// Number of calls in flight that the upstream reports and the owner cannot account for.
    #[serde(rename = "foreign")]
    pub unaccounted_calls: u32,
    /// Number of queued calls.
    pub waiting: usize,
}

/// Returns the status of a VM from its state.
pub fn describe(state: &State) -> Status {
    let local_vm = state.fleet.local_vm();
    Status {
        vm: local_vm.name.to_string(),
        incarnation: format!("{:016x}", local_vm.incarnation.0),
        ready: state.is_ready(),
        view_confirmed: state.is_view_confirmed(),
        leaving: state.fleet.is_leaving(),
        list_revision: state.fleet.list().revision.0,
        out_of_use: state.fleet.unavailable_vms(state.now).iter().map(ToString::to_string).collect(),
        documents: describe_documents(state),
        upstreams: describe_upstreams(state),
        requests: state.entry.len(),
        tickets: state.executor.len(),
        suspects: state
            .crash_suspects
            .list(state.now)
            .iter()
            .map(|(fingerprint, crashes)| (format!("{:016x}", fingerprint.0), *crashes))
            .collect(),
    }
}

fn describe_documents(state: &State) -> Vec<DocumentStatus> {
    let describe = |(name, team): (&jujubedoor_config::Name, &jujubedoor::documents::TeamDocument)| {
        let rejected = team.rejected.as_ref();
        let diagnostics = rejected.map(|(_, diagnostics)| diagnostics.as_slice()).unwrap_or_default();
        DocumentStatus {
            team: name.to_string(),
            revision: team.active_number(),
            rejected: team.rejected_number(),
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
            unaccounted_calls: upstream_state.observations.unaccounted_calls,
            waiting: upstream_state.queue.len(),
        }
    });
    owned.collect()
}
