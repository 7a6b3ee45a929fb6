//! Rows of results, as a table or as JSON lines.

use serde::Serialize;

use super::drive::Disturbed;
use super::measure::Collected;
use super::measure::Samples;
use super::scenario::Scenario;
use crate::local::LocalFleet;

/// The result of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// The scenario.
    pub experiment: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// How many VMs.
    pub vms: usize,
    /// How many engines.
    pub upstreams: usize,
    /// How many calls were measured.
    pub requests: u64,
    /// The highest ratio of an engine's load to the mean.
    pub worst_ratio: f64,
    /// The ratio that 999 of 1000 samples stay under.
    pub p999_ratio: f64,
    /// The most calls by which an engine was over the bound when it got a call.
    pub over_bound: f64,
    /// The share of calls that found their engine over the bound.
    pub over_share: f64,
    /// The share of calls whose chat was cached.
    pub hit_share: f64,
    /// The share of calls that were refused without running.
    pub refused_share: f64,
    /// The share of calls that failed in another way.
    pub failed_share: f64,
    /// The time to the first token that half of the calls stay under, in milliseconds.
    pub ttft_p50_ms: u64,
    /// The time to the first token that 95 of 100 calls stay under, in milliseconds.
    pub ttft_p95_ms: u64,
    /// The time to the first token that 99 of 100 calls stay under, in milliseconds.
    pub ttft_p99_ms: u64,
    /// The most calls at once at an engine in cold start.
    pub cold_peak: u32,
    /// The bytes to other VMs in a second, for each VM.
    pub control_bytes_per_s_per_vm: f64,
    /// How long after a failure domain was taken out its engines still got new work, in milliseconds.
    pub last_new_work_ms: Option<u64>,
    /// The first few failures.
    pub examples: Vec<String>,
}

impl Row {
    /// Puts the result of one run together.
    pub fn new(
        scenario: &Scenario,
        policy: &str,
        seed: u64,
        fleet: &LocalFleet,
        collected: &Collected,
        samples: &Samples,
        disturbed: &Disturbed,
    ) -> Self {
        let share = |part: u64, whole: u64| ratio(part, whole.max(1));
        Self {
            experiment: scenario.name.to_owned(),
            policy: policy.to_owned(),
            seed,
            vms: fleet.daemons.len(),
            upstreams: fleet.engines.len(),
            requests: collected.requests,
            worst_ratio: samples.ratios.last().copied().unwrap_or_default(),
            p999_ratio: quantile(&samples.ratios, 999),
            over_bound: samples.over_bound,
            over_share: samples.over_share,
            hit_share: share(samples.hits, samples.calls),
            refused_share: share(collected.refused, collected.requests),
            failed_share: share(collected.failed, collected.requests),
            ttft_p50_ms: collected.first_ms.value_at_quantile(0.5),
            ttft_p95_ms: collected.first_ms.value_at_quantile(0.95),
            ttft_p99_ms: collected.first_ms.value_at_quantile(0.99),
            cold_peak: fleet.engines.iter().map(|engine| engine.totals().max_active_cold).max().unwrap_or(0),
            control_bytes_per_s_per_vm: ratio(samples.control_bytes, fleet.daemons.len() as u64)
                / samples.span.as_secs_f64().max(f64::EPSILON),
            last_new_work_ms: disturbed.last_new_work.map(jujubedoor_node::clock::millis),
            examples: collected.examples.clone(),
        }
    }
}

/// Prints the head of a table.
pub fn print_head() {
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

/// Prints a row of a table.
pub fn print_row(row: &Row) {
    let last = row.last_new_work_ms.map_or("-".to_owned(), |ms| ms.to_string());
    println!(
        "{:<8} {:<14} {:>4} {:>6} {:>6.2} {:>6.2} {:>5.0} {:>6.2} {:>6.3} {:>7.4} {:>7.4} {:>5} {:>5} {:>5} {:>5} \
         {:>7.0} {last:>7}",
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

/// Prints the medians of each policy.
pub fn print_medians(rows: &[Row]) {
    let mut policies: Vec<_> = rows.iter().map(|row| row.policy.as_str()).collect();
    policies.dedup();
    println!("medians:");
    for policy in policies {
        let of = |value: fn(&Row) -> f64| {
            let mut values: Vec<_> = rows.iter().filter(|row| row.policy == policy).map(value).collect();
            values.sort_by(f64::total_cmp);
            values.get(values.len() / 2).copied().unwrap_or_default()
        };
        println!(
            "{policy:<14} worst {:.2}  p99.9 {:.2}  over {:.0}  hits {:.3}  refused {:.4}  failed {:.4}  p95 {:.0} ms",
            of(|row| row.worst_ratio),
            of(|row| row.p999_ratio),
            of(|row| row.over_bound),
            of(|row| row.hit_share),
            of(|row| row.refused_share),
            of(|row| row.failed_share),
            of(|row| f64::from(u32::try_from(row.ttft_p95_ms).unwrap_or(u32::MAX))),
        );
    }
}

fn quantile(sorted: &[f64], permille: usize) -> f64 {
    let position = (sorted.len() * permille / 1_000).min(sorted.len().saturating_sub(1));
    sorted.get(position).copied().unwrap_or_default()
}

fn ratio(part: u64, whole: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^53")]
    let ratio = part as f64 / whole as f64;
    ratio
}
