//! Experiments: real daemons on loopback under recorded arrivals, one policy after the other.
//!
//! [`scenario`] names what is run: the fleet, the [arrivals](arrivals) and what is disturbed when.
//! [`drive`] runs one scenario with one policy and one seed. [`measure`] samples the engines and
//! collects the answers into a [`Row`], and [`report`] prints rows as a table or as JSON lines.

pub mod arrivals;
pub mod control;
pub mod drive;
pub mod measure;
pub mod report;
pub mod scenario;

use crate::local::LocalFleetError;

pub use report::Row;
pub use scenario::Scenario;

/// What is to be run.
#[derive(Clone, Debug)]
pub struct Order {
    /// The policies, in the words of the service document.
    pub policies: Vec<String>,
    /// The first seed.
    pub seed: u64,
    /// How many seeds.
    pub seeds: u64,
}

/// Runs a scenario with all policies and seeds and gives each row to a function.
pub async fn run<F>(scenario: &Scenario, order: &Order, mut print: F) -> Result<Vec<Row>, LocalFleetError>
where
    F: FnMut(&Row),
{
    let mut rows = Vec::new();
    for policy in &order.policies {
        for seed in order.seed..order.seed + order.seeds {
            let row = drive::drive(scenario, policy, seed).await?;
            print(&row);
            rows.push(row);
        }
    }
    Ok(rows)
}
