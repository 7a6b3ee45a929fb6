//! The messages that VMs send each other several times a second.

use std::net::SocketAddr;

use jujubedoor::ids::Fingerprint;
use jujubedoor::ids::Incarnation;
use jujubedoor::ids::StoreRevision;
use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::call::Part;
use crate::directory::Change;
use crate::load_view::Load;
use crate::part_blocks::BlockReport;
use crate::registry_outage::EndedOutage;
use crate::run_evidence::AssumedRun;
use crate::software::SoftwareReport;
use crate::speed::SpeedReport;
use crate::stream_origins::BegunStreams;

/// A daemon process on a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Identifier of the daemon process.
    pub incarnation: Incarnation,
    /// Address at which the VM receives heartbeats.
    pub address: SocketAddr,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Share of a processor core that the VM has, in percent. VMs with more of it relay for the others.
    pub cpu_percent: u16,
}

/// The message that a VM sends to others several times a second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The VM that sends the heartbeat.
    pub sender: Vm,
    /// Sequence number within the sender's daemon process.
    pub sequence: u64,
    /// Whether the sender wants heartbeats in return.
    pub wants_reply: bool,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// The sender's revision of the directory.
    pub revision: StoreRevision,
    /// Whether the sender's directory contains changes that the registry has lost.
    pub knows_lost_changes: bool,
    /// Time since the sender's directory was last known to be current, in milliseconds.
    pub directory_age_ms: Option<u64>,
    /// What the sender can reach.
    pub reachability: Reachability,
    /// The sender's load at each upstream where it has running requests.
    pub loads: Vec<Load>,
    /// Loads of the sender's whole failure domain, for relays of other domains, if the sender is its first
    /// relay.
    pub domain_loads: Option<Vec<Load>>,
    /// Loads of the whole fleet, for VMs of the sender's failure domain, if the sender is its first relay.
    pub fleet_loads: Option<Vec<Load>>,
    /// The latest changes of the directory, if they are few.
    pub changes: Option<RecentChanges>,
    /// Prompt parts that upstreams have recently cached or begun to prefill.
    pub parts: Vec<PartUpdate>,
    /// Requests that crashed an upstream.
    pub crashes: Vec<CrashReport>,
    /// Suspected prompt parts that did not crash an upstream.
    pub survivals: Vec<PartSurvival>,
    /// Prompt parts that are blocked because they crash engines.
    pub part_blocks: Vec<BlockReport>,
    /// Rate limits that upstreams named in their latest responses.
    pub rate_limits: Vec<RateLimitReport>,
    /// Upstreams that announced in their latest responses that they leave.
    pub leaving_upstreams: Vec<LeavingReport>,
    /// Speeds that upstreams named in their latest responses, if they are unusual or were before.
    pub speeds: Vec<SpeedReport>,
    /// Streams that began lately, by the software that began them.
    pub streams: Vec<BegunStreams>,
    /// The versions of software that were in service lately.
    pub software: SoftwareReport,
    /// Runs of upstreams that lost connections, with the times at which they were certainly alive.
    pub live_runs: Vec<LiveReport>,
    /// Runs of upstreams of which the sender asks when they were alive.
    pub sought_runs: Vec<AssumedRun>,
    /// Runs of upstreams that have ended, with the times at which they refused a connection last.
    pub ended_runs: Vec<RunReport>,
    /// Time since a route was moved to another service, in milliseconds, if streams from before may still go on.
    pub route_moved_ms: Option<u64>,
    /// Upstreams whose addresses were found to belong to others, by their short keys.
    pub moved: Vec<u32>,
    /// Failure domains none of whose VMs the sender receives heartbeats from any more, if it is a relay.
    pub silent_domains: Vec<Name>,
    /// Number of VMs that the sender knows, including itself.
    pub known_vms: u32,
    /// Some of the other VMs that the sender knows.
    pub vms: Vec<KnownVm>,
}

/// Changes of the directory since a revision, up to the sender's revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecentChanges {
    /// The revision after which the changes were published.
    pub after: StoreRevision,
    /// The changes with their revisions.
    pub changes: Vec<(StoreRevision, Change)>,
    /// The registry's last outage, if it ended recently.
    pub last_outage: Option<EndedOutage>,
}

/// What a VM can reach.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reachability {
    /// Whether the registry does not respond to the VM.
    pub registry_lost: bool,
    /// Whether the VM receives heartbeats from other failure domains.
    pub has_remote_contact: bool,
}

/// A VM that is listed in another VM's heartbeat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KnownVm {
    /// The VM.
    pub vm: Vm,
    /// Time since any VM is known to have received a heartbeat from it, in milliseconds.
    pub age_ms: u64,
}

/// A prompt part that an upstream has cached or is prefilling.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartUpdate {
    /// The part.
    pub part: Part,
    /// Short key of the upstream.
    pub upstream: u32,
    /// Expected remaining time of the prefill if the part is prefilled for the first time, in
    /// milliseconds; otherwise zero.
    pub prefill_remaining_ms: u64,
}

/// Report of a request that was running at an upstream when the upstream crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Random identifier of this report, by which duplicates are recognized.
    pub report_id: u64,
    /// Identifier of the crash, the same in the reports of all VMs.
    pub crash: u64,
    /// Whether the process of the upstream has certainly ended, and cannot merely not be reached.
    pub is_certain: bool,
    /// Time since the crash, in milliseconds.
    pub crash_age_ms: u64,
    /// Time since the request was sent, in milliseconds.
    pub request_age_ms: u64,
    /// Keys of the prompt's parts that other requests may share.
    pub parts: Vec<u64>,
}

/// Report of the rate limit that an upstream named in a response.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateLimitReport {
    /// Short key of the upstream.
    pub upstream: u32,
    /// Requests a second from all VMs together, or none if the response named no limit.
    pub per_s: Option<f64>,
    /// Time since the response, in milliseconds.
    pub age_ms: u64,
}

/// Report of an upstream that announced in a response that it leaves.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingReport {
    /// Short key of the upstream.
    pub upstream: u32,
    /// Start time of the process that leaves, as registered.
    pub started: u64,
    /// Time since the response, in milliseconds.
    pub age_ms: u64,
}

/// Report of the latest time at which a run of an upstream was certainly alive.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LiveReport {
    /// The run.
    pub run: AssumedRun,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
    /// A time in which the run was alive, as connections show over which something arrived at its end.
    pub shown: Option<ShownTime>,
}

/// A time in which a run of an upstream was certainly alive.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShownTime {
    /// Time since its end, in milliseconds.
    pub age_ms: u64,
    /// Its length in milliseconds.
    pub length_ms: u64,
}

/// Report of the latest time at which a run of an upstream had certainly ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunReport {
    /// The run.
    pub run: AssumedRun,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
}

/// Report of a request with a suspected prompt part that did not crash the upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartSurvival {
    /// Key of the part.
    pub part: u64,
    /// Time since the response began, in milliseconds.
    pub age_ms: u64,
}
