//! Experiments: real daemons on loopback under a reproducible workload, with one admission policy after the
//! other.
//!
//! A [`scenario`] defines the fleet, the workload from which the [`arrivals`] are generated, and the
//! disturbances with their times. [`runner`] runs one scenario with one policy and one seed. [`measure`]
//! samples the engines and collects the responses, and [`report`] makes a [`Row`] from them and prints rows
//! as a table or as JSON lines. [`control`] measures the messages between VMs.

pub mod arrivals;
pub mod control;
pub mod measure;
pub mod report;
pub mod runner;
pub mod scenario;

use crate::local::LocalFleetError;

pub use report::Row;
pub use scenario::Scenario;

/// The policies and seeds with which a scenario is run.
#[derive(Clone, Debug)]
pub struct RunMatrix {
    /// Admission policies, as named in the service document.
    pub policies: Vec<String>,
    /// First seed.
    pub seed: u64,
    /// Number of consecutive seeds.
    pub seeds: u64,
}

/// Runs a scenario with all policies and seeds. Calls `print` with each row as soon as it is complete.
pub async fn run<F>(
    scenario: &Scenario,
    matrix: &RunMatrix,
    mut print: F,
) -> Result<Vec<Row>, LocalFleetError>
where
    F: FnMut(&Row),
{
    let mut rows = Vec::new();
    for policy in &matrix.policies {
        for seed in matrix.seed..matrix.seed + matrix.seeds {
            let row = runner::run_scenario(scenario, policy, seed).await?;
            print(&row);
            rows.push(row);
        }
    }
    Ok(rows)
}
