//! Result rows, and their output as a table.

use serde::Serialize;

use super::measure::CallStats;
use super::measure::Samples;
use super::runner::DisturbanceResult;
use super::scenario::Scenario;
use crate::local::LocalFleet;

/// The result of one run of a scenario. Its field names are the keys of the JSON output.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// Name of the scenario.
    pub experiment: String,
    /// Admission policy.
    pub policy: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Number of VMs.
    pub vms: usize,
    /// Number of engines.
    pub upstreams: usize,
    /// Number of measured calls.
    pub requests: u64,
    /// Maximum ratio of an engine's load to the mean load.
    pub worst_ratio: f64,
    /// 99.9th percentile of the ratio of the highest load to the mean load.
    pub p999_ratio: f64,
    /// Maximum number of calls by which an engine exceeded the load bound when it received a call.
    pub over_bound: f64,
    /// Share of calls whose engine exceeded the load bound when they arrived.
    pub over_share: f64,
    /// Share of calls whose chat was cached.
    pub hit_share: f64,
    /// Share of calls that were rejected without running.
    pub refused_share: f64,
    /// Share of calls that failed in another way.
    pub failed_share: f64,
    /// Median time to first token, in milliseconds.
    pub ttft_p50_ms: u64,
    /// 95th percentile of the time to first token, in milliseconds.
    pub ttft_p95_ms: u64,
    /// 99th percentile of the time to first token, in milliseconds.
    pub ttft_p99_ms: u64,
    /// Maximum number of simultaneous calls at an engine in cold start.
    pub cold_peak: u32,
    /// Bytes sent to other VMs, per second and VM.
    pub control_bytes_per_s_per_vm: f64,
    /// Time from evacuating a failure domain to the last new call at its engines, in milliseconds.
    pub last_new_work_ms: Option<u64>,
    /// Descriptions of the first few failures.
    pub examples: Vec<String>,
}

impl Row {
    /// Creates the row of a run from its measurements.
    pub fn new(
        scenario: &Scenario,
        policy: &str,
        seed: u64,
        fleet: &LocalFleet,
        stats: &CallStats,
        samples: &Samples,
        disturbance_result: &DisturbanceResult,
    ) -> Self {
        let share = |part: u64, total: u64| ratio(part, total.max(1));
        Self {
            experiment: scenario.name.to_owned(),
            policy: policy.to_owned(),
            seed,
            vms: fleet.daemons.len(),
            upstreams: fleet.engines.len(),
            requests: stats.requests,
            worst_ratio: samples.load_ratios.last().copied().unwrap_or_default(),
            p999_ratio: quantile(&samples.load_ratios, 999),
            over_bound: samples.over_bound,
            over_share: samples.over_share,
            hit_share: share(samples.cache_hits, samples.calls),
            refused_share: share(stats.rejected, stats.requests),
            failed_share: share(stats.failed, stats.requests),
            ttft_p50_ms: stats.ttft_ms.value_at_quantile(0.5),
            ttft_p95_ms: stats.ttft_ms.value_at_quantile(0.95),
            ttft_p99_ms: stats.ttft_ms.value_at_quantile(0.99),
            cold_peak: fleet.engines.iter().map(|engine| engine.totals().max_active_cold).max().unwrap_or(0),
            control_bytes_per_s_per_vm: ratio(samples.control_bytes, fleet.daemons.len() as u64)
                / samples.duration.as_secs_f64().max(f64::EPSILON),
            last_new_work_ms: disturbance_result.last_new_work.map(jujubedoor_node::clock::millis),
            examples: stats.failure_examples.clone(),
        }
    }
}

/// Prints the column heads of the table.
pub fn print_header() {
    println!(
        "{:<8} {:<14} {:>4} {:>6} {:>6} {:>6} {:>5} {:>6} {:>6} {:>7} {:>7} {:>5} {:>5} {:>5} {:>5} {:>7} {:>7}",
        "run",
        "policy",
        "seed",
        "calls",
        "worst",
        "p99.9",
        "over",
        "over%",
        "hits",
        "refused",
        "failed",
        "p50",
        "p95",
        "p99",
        "cold",
        "B/s/VM",
        "last ms"
    );
}

/// Prints a row of the table, and its failure examples on standard error.
pub fn print_row(row: &Row) {
    let last_new_work_text = row.last_new_work_ms.map_or("-".to_owned(), |ms| ms.to_string());
    println!(
        "{:<8} {:<14} {:>4} {:>6} {:>6.2} {:>6.2} {:>5.0} {:>6.2} {:>6.3} {:>7.4} {:>7.4} {:>5} {:>5} {:>5} {:>5} \
         {:>7.0} {last_new_work_text:>7}",
        row.experiment,
        row.policy,
        row.seed,
        row.requests,
        row.worst_ratio,
        row.p999_ratio,
        row.over_bound,
        row.over_share * 100.0,
        row.hit_share,
        row.refused_share,
        row.failed_share,
        row.ttft_p50_ms,
        row.ttft_p95_ms,
        row.ttft_p99_ms,
        row.cold_peak,
        row.control_bytes_per_s_per_vm,
    );
    for example in &row.examples {
        eprintln!("    {example}");
    }
}

/// Prints the medians over all seeds for each policy. The rows of a policy have to be consecutive.
pub fn print_medians(rows: &[Row]) {
    let mut policies: Vec<_> = rows.iter().map(|row| row.policy.as_str()).collect();
    policies.dedup();
    println!("medians:");
    for policy in policies {
        let median = |value: fn(&Row) -> f64| {
            let mut values: Vec<_> = rows.iter().filter(|row| row.policy == policy).map(value).collect();
            values.sort_by(f64::total_cmp);
            values.get(values.len() / 2).copied().unwrap_or_default()
        };
        println!(
            "{policy:<14} worst {:.2}  p99.9 {:.2}  over {:.0}  hits {:.3}  refused {:.4}  failed {:.4}  p95 {:.0} ms",
            median(|row| row.worst_ratio),
            median(|row| row.p999_ratio),
            median(|row| row.over_bound),
            median(|row| row.hit_share),
            median(|row| row.refused_share),
            median(|row| row.failed_share),
            median(|row| f64::from(u32::try_from(row.ttft_p95_ms).unwrap_or(u32::MAX))),
        );
    }
}

/// Returns a quantile of sorted values, or zero if there are none.
fn quantile(sorted: &[f64], permille: usize) -> f64 {
    let position = (sorted.len() * permille / 1_000).min(sorted.len().saturating_sub(1));
    sorted.get(position).copied().unwrap_or_default()
}

fn ratio(part: u64, total: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^53")]
    let ratio = part as f64 / total as f64;
    ratio
}
