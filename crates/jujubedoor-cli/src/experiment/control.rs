//! The `control` experiment: what VMs spend on each other, by fleet size and request rate.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::arrivals;
use super::arrivals::Load;
use super::measure;
use crate::caller::Call;
use crate::local::FleetConfig;
use crate::local::LocalFleet;
use crate::local::LocalFleetError;
use crate::local::MODEL;

/// The kinds of messages that are told apart.
const KINDS: [&str; 12] = [
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

/// What VMs spend on each other at one fleet size and request rate.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlRow {
    /// How many VMs.
    pub vms: usize,
    /// How many calls in a second, for each VM.
    pub rate_per_vm: f64,
    /// The sealed bytes to other VMs in a second, for each VM.
    pub bytes_per_s_per_vm: f64,
    /// The messages of each kind in a second, for each VM.
    pub messages_per_s_per_vm: BTreeMap<&'static str, f64>,
    /// The mean size of the messages of each kind before sealing, in bytes.
    pub bytes_per_message: BTreeMap<&'static str, f64>,
    /// The share of a core that decisions take, for each VM.
    pub reducer_share_per_vm: f64,
}

/// Measures one fleet size and request rate.
pub async fn measure(
    vms: usize,
    rate_per_vm: f64,
    span: Duration,
    seed: u64,
) -> Result<ControlRow, LocalFleetError> {
    let config = FleetConfig { vms, engines: vms.max(6), ..FleetConfig::default() };
    let fleet = LocalFleet::start(config).await?;
    #[expect(clippy::cast_precision_loss, reason = "there are few VMs")]
    let rate = rate_per_vm * vms as f64;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = Totals::of(&fleet);
    let began = tokio::time::Instant::now();
    let load = Load { rate: rate.max(f64::EPSILON), tokens: (4, 8), ..Load::default() };
    let mut calls = Vec::new();
    for arrival in arrivals::draw(&load, vms, span, seed) {
        tokio::time::sleep_until(began + arrival.at).await;
        let chat = format!("chat-{}", arrival.chat);
        let (call, entry) = (Call::chat("schools", MODEL, &chat, &chat), fleet.entry_addr(arrival.entry));
        calls.push(tokio::spawn(async move { call.send(entry).await }));
    }
    tokio::time::sleep_until(began + span).await;
    for call in calls {
        // Only what the VMs spent is measured here.
        let _ = call.await;
    }
    let spent = Totals::of(&fleet).since(&before);
    #[expect(clippy::cast_precision_loss, reason = "there are few VMs")]
    let per_vm = 1.0 / (began.elapsed().as_secs_f64() * vms as f64);
    Ok(spent.row(vms, rate_per_vm, per_vm))
}

/// What was spent since the start of the daemons.
#[derive(Default)]
struct Totals {
    bytes: u64,
    messages: BTreeMap<&'static str, (u64, u64)>,
    nanos: u64,
}

impl Totals {
    fn of(fleet: &LocalFleet) -> Self {
        let mut totals = Self { bytes: measure::control_bytes(fleet), ..Self::default() };
        for daemon in &fleet.daemons {
            let metrics = &daemon.handle.metrics;
            for kind in KINDS {
                let (count, bytes) = metrics.message_totals(kind);
                let sum = totals.messages.entry(kind).or_default();
                *sum = (sum.0 + count, sum.1 + bytes);
            }
            let decided = KINDS.iter().chain(&["tick", "arrive", "attempt_ended", "reported"]);
            totals.nanos += decided.map(|kind| metrics.event_totals(kind).1).sum::<u64>();
        }
        totals
    }

    fn since(mut self, before: &Self) -> Self {
        self.bytes -= before.bytes;
        self.nanos -= before.nanos;
        for (kind, (count, bytes)) in &mut self.messages {
            let earlier = before.messages.get(kind).copied().unwrap_or_default();
            *count -= earlier.0;
            *bytes -= earlier.1;
        }
        self
    }

    fn row(&self, vms: usize, rate_per_vm: f64, per_vm: f64) -> ControlRow {
        let sent = self.messages.iter().filter(|(_, (count, _))| *count > 0);
        let rates = sent.clone().map(|(kind, (count, _))| (*kind, float(*count) * per_vm));
        let sizes = sent.map(|(kind, (count, bytes))| (*kind, float(*bytes) / float(*count)));
        ControlRow {
            vms,
            rate_per_vm,
            bytes_per_s_per_vm: float(self.bytes) * per_vm,
            messages_per_s_per_vm: rates.collect(),
            bytes_per_message: sizes.collect(),
            reducer_share_per_vm: float(self.nanos) * 1e-9 * per_vm,
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

fn float(n: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^53")]
    let float = n as f64;
    float
}
