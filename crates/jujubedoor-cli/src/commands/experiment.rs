//! `jujubedoor experiment`: measures admission policies on a local fleet, for comparison.

use std::process::ExitCode;
use std::time::Duration;

use super::print_error;
use crate::experiment;
use crate::experiment::RunMatrix;
use crate::experiment::Scenario;
use crate::experiment::control;
use crate::experiment::report;
use crate::experiment::scenario;

/// Policies that are measured if none is given.
const DEFAULT_POLICIES: [&str; 6] =
    ["owner", "hash", "local_bounded", "reports", "two_choices", "static_share"];

/// Options of the experiment command.
#[derive(clap::Args, Clone, Debug)]
pub struct ExperimentOptions {
    /// The experiment: reuse, churn, skew, domain, cold or control.
    pub name: String,
    /// The policies; all of them unless some are named.
    #[arg(long)]
    pub policy: Vec<String>,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 3)]
    pub seeds: u64,
    /// Runs the short variant with one seed.
    #[arg(long)]
    pub short: bool,
    /// Prints one JSON object a line.
    #[arg(long)]
    pub json: bool,
    /// Lines to add to the declaration of the model, such as `warm_wait_ms: 250`.
    #[arg(long)]
    pub set: Vec<String>,
    /// Prints the time lines of this many of the slowest requests.
    #[arg(long, default_value_t = 0)]
    pub slowest: usize,
    /// The numbers of VMs for `control`.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 6, 9, 18])]
    pub vms: Vec<usize>,
    /// The calls a second for each VM for `control`.
    #[arg(long, value_delimiter = ',', default_values_t = [0.0, 5.0, 10.0, 20.0])]
    pub rates: Vec<f64>,
}

/// Runs an experiment and prints its rows.
pub async fn run(options: &ExperimentOptions) -> ExitCode {
    if options.name == "control" {
        return run_control(options).await;
    }
    let Some(mut scenario) = Scenario::by_name(&options.name, options.short) else {
        let known_names = scenario::SCENARIO_NAMES.join(", ");
        eprintln!("there is no experiment `{}` (hint: choose one of {known_names}, control)", options.name);
        return ExitCode::FAILURE;
    };
    scenario.slowest_timelines = options.slowest;
    scenario.fleet_config.model_settings = options.set.join("\n");
    let policies = if options.policy.is_empty() {
        DEFAULT_POLICIES.map(String::from).to_vec()
    } else {
        options.policy.clone()
    };
    let seeds = if options.short { 1 } else { options.seeds };
    let matrix = RunMatrix { policies, seed: options.seed, seeds };
    if !options.json {
        report::print_header();
    }
    let print = |row: &report::Row| {
        if options.json {
            println!("{}", serde_json::json!(row));
        } else {
            report::print_row(row);
        }
    };
    match experiment::run(&scenario, &matrix, print).await {
        Ok(rows) => {
            if !options.json {
                report::print_medians(&rows);
            }
            ExitCode::SUCCESS
        }
        Err(e) => print_error(&e),
    }
}

/// Runs the `control` experiment for all given fleet sizes and request rates.
async fn run_control(options: &ExperimentOptions) -> ExitCode {
    let duration = Duration::from_secs(if options.short { 2 } else { 8 });
    for vms in &options.vms {
        for rate in &options.rates {
            match control::measure(*vms, *rate, duration, options.seed).await {
                Ok(row) if options.json => println!("{}", serde_json::json!(row)),
                Ok(row) => control::print_row(&row),
                Err(e) => return print_error(&e),
            }
        }
    }
    ExitCode::SUCCESS
}
