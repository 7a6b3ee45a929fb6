//! The `control` experiment: cost of the communication between VMs, by fleet size and request rate.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::arrivals;
use super::arrivals::Workload;
use super::measure;
use crate::caller::Call;
use crate::local::FleetConfig;
use crate::local::LocalFleet;
use crate::local::LocalFleetError;
use crate::local::MODEL;

/// Kinds of messages that are counted separately.
const MESSAGE_KINDS: [&str; 12] = [
    "heartbeat",
    "heartbeat_ack",
    "acquire",
    "granted",
    "denied",
    "release",
    "placed",
    "pool_loads",
    "pool_mean",
    "redeclare",
    "declared",
    "check_permits",
];

/// Cost of the communication between VMs at one fleet size and request rate.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlRow {
    /// Number of VMs.
    pub vms: usize,
    /// Calls per second and VM.
    pub rate_per_vm: f64,
    /// Encrypted bytes sent to other VMs, per second and VM.
    pub bytes_per_s_per_vm: f64,
    /// Messages of each kind, per second and VM.
    pub messages_per_s_per_vm: BTreeMap<&'static str, f64>,
    /// Mean size of the messages of each kind before encryption, in bytes.
    pub bytes_per_message: BTreeMap<&'static str, f64>,
    /// Share of a core that each VM spends on processing events.
    pub reducer_share_per_vm: f64,
}

/// Runs a fleet of a size under a request rate and measures it.
pub async fn measure(
    vms: usize,
    rate_per_vm: f64,
    duration: Duration,
    seed: u64,
) -> Result<ControlRow, LocalFleetError> {
    let config = FleetConfig { vms, engines: vms.max(6), ..FleetConfig::default() };
    let fleet = LocalFleet::start(config).await?;
    #[expect(clippy::cast_precision_loss, reason = "there are few VMs")]
    let total_rate = rate_per_vm * vms as f64;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = ControlTotals::of(&fleet);
    let started_at = tokio::time::Instant::now();
    let workload =
        Workload { calls_per_s: total_rate.max(f64::EPSILON), tokens: (4, 8), ..Workload::default() };
    let mut calls = Vec::new();
    for arrival in arrivals::generate(&workload, vms, duration, seed) {
        tokio::time::sleep_until(started_at + arrival.offset).await;
        let chat = format!("chat-{}", arrival.chat);
        let (call, entry) = (Call::chat("schools", MODEL, &chat, &chat), fleet.entry_addr(arrival.entry_vm));
        calls.push(tokio::spawn(async move { call.send(entry).await }));
    }
    tokio::time::sleep_until(started_at + duration).await;
    for call in calls {
        // The results of calls do not matter here, only the cost for the VMs is measured.
        let _ = call.await;
    }
    let delta = ControlTotals::of(&fleet).since(&before);
    #[expect(clippy::cast_precision_loss, reason = "there are few VMs")]
    let per_vm_second = 1.0 / (started_at.elapsed().as_secs_f64() * vms as f64);
    Ok(delta.row(vms, rate_per_vm, per_vm_second))
}

/// Cost of the communication since the daemons started, summed over all VMs.
#[derive(Default)]
struct ControlTotals {
    /// Encrypted bytes sent to other VMs.
    bytes: u64,
    /// Number of messages of each kind and their bytes before encryption.
    messages: BTreeMap<&'static str, (u64, u64)>,
    /// Time spent on processing events, in nanoseconds.
    reducer_nanos: u64,
}

impl ControlTotals {
    /// Sums up the metrics of all daemons.
    fn of(fleet: &LocalFleet) -> Self {
        let mut totals = Self { bytes: measure::control_bytes(fleet), ..Self::default() };
        for daemon in &fleet.daemons {
            let metrics = &daemon.handle.metrics;
            for kind in MESSAGE_KINDS {
                let (count, bytes) = metrics.message_totals(kind);
                let sum = totals.messages.entry(kind).or_default();
                *sum = (sum.0 + count, sum.1 + bytes);
            }
            let event_kinds = MESSAGE_KINDS.iter().chain(&["tick", "arrive", "attempt_ended", "reported"]);
            totals.reducer_nanos += event_kinds.map(|kind| metrics.event_totals(kind).1).sum::<u64>();
        }
        totals
    }

    /// Returns the difference to earlier totals.
    fn since(mut self, before: &Self) -> Self {
        self.bytes -= before.bytes;
        self.reducer_nanos -= before.reducer_nanos;
        for (kind, (count, bytes)) in &mut self.messages {
            let earlier = before.messages.get(kind).copied().unwrap_or_default();
            *count -= earlier.0;
            *bytes -= earlier.1;
        }
        self
    }

    /// Returns the row of a measurement. `per_vm_second` is the reciprocal of the number of VMs
    /// times the seconds.
    fn row(&self, vms: usize, rate_per_vm: f64, per_vm_second: f64) -> ControlRow {
        let sent_kinds = self.messages.iter().filter(|(_, (count, _))| *count > 0);
        let rates = sent_kinds.clone().map(|(kind, (count, _))| (*kind, to_f64(*count) * per_vm_second));
        let sizes = sent_kinds.map(|(kind, (count, bytes))| (*kind, to_f64(*bytes) / to_f64(*count)));
        ControlRow {
            vms,
            rate_per_vm,
            bytes_per_s_per_vm: to_f64(self.bytes) * per_vm_second,
            messages_per_s_per_vm: rates.collect(),
            bytes_per_message: sizes.collect(),
            reducer_share_per_vm: to_f64(self.reducer_nanos) * 1e-9 * per_vm_second,
        }
    }
}

/// Prints a row as text.
pub fn print_row(row: &ControlRow) {
    println!(
        "{:>4} VMs {:>6.1} calls/s/VM {:>8.0} B/s/VM  reducer {:.4}% of a core",
        row.vms,
        row.rate_per_vm,
        row.bytes_per_s_per_vm,
        row.reducer_share_per_vm * 100.0
    );
    for (kind, rate) in &row.messages_per_s_per_vm {
        println!("       {kind:<14} {rate:>8.2}/s of {:>5.0} B", row.bytes_per_message[kind]);
    }
}

fn to_f64(n: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^53")]
    let float = n as f64;
    float
}
