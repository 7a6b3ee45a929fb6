//! `jujubedoor status`: prints tables of all VMs and upstreams.

use jujubedoor_node::admin::Status;

use crate::operator::Operator;
use crate::operator::OperatorError;

/// Prints the status of all VMs.
pub async fn run(operator: &Operator, as_json: bool) -> Result<(), OperatorError> {
    let results = operator.send_to_all::<Status>("/v1/status").await?;
    if as_json {
        for (vm, result) in results {
            match result {
                Ok(status) => println!("{}", serde_json::json!({"vm": vm.name, "status": status})),
                Err(e) => println!("{}", serde_json::json!({"vm": vm.name, "error": e.to_string()})),
            }
        }
        return Ok(());
    }
    println!("{:<12} {:<8} {:>8} {:>6} {:>7}  documents", "vm", "state", "requests", "owned", "tickets");
    let mut statuses = Vec::new();
    for (vm, result) in results {
        match result {
            Ok(status) => {
                print_vm(&status);
                statuses.push(status);
            }
            Err(e) => println!("{:<12} {:<8} {e}", vm.name.as_str(), "silent"),
        }
    }
    print_upstreams(&statuses);
    print_problems(&statuses);
    Ok(())
}

fn print_vm(status: &Status) {
    let state = match status {
        Status { leaving: true, .. } => "leaving",
        Status { ready: true, .. } => "ready",
        _ => "unready",
    };
    let documents: Vec<_> = status.documents.iter().map(|d| format!("{}@{}", d.team, d.revision)).collect();
    let (owned, documents) = (status.upstreams.len(), documents.join(" "));
    println!(
        "{:<12} {state:<8} {:>8} {owned:>6} {:>7}  {documents}",
        status.vm, status.requests, status.tickets
    );
}

/// Prints a table of all upstreams with the VMs that own them.
fn print_upstreams(statuses: &[Status]) {
    println!();
    println!(
        "{:<24} {:<12} {:<9} {:>5} {:>6} {:>9} {:>8}",
        "upstream", "owner", "work", "load", "bound", "bearable", "waiting"
    );
    let mut rows: Vec<_> = statuses.iter().flat_map(|s| s.upstreams.iter().map(|u| (u, &s.vm))).collect();
    rows.sort_by(|a, b| a.0.upstream.cmp(&b.0.upstream));
    for (u, vm) in rows {
        let work = match (u.takes_work, u.takeover_complete) {
            (false, _) => "none",
            (true, false) => "settling",
            (true, true) => "in",
        };
        println!(
            "{:<24} {vm:<12} {work:<9} {:>5} {:>6} {:>9} {:>8}",
            u.upstream, u.load, u.bound, u.ramp_limit, u.waiting
        );
    }
}

/// Prints rejected documents and requests suspected of crashing upstreams.
fn print_problems(statuses: &[Status]) {
    for status in statuses {
        for document in status.documents.iter().filter(|d| d.rejected.is_some()) {
            let revision = document.rejected.unwrap_or_default();
            println!("\n{}: {} revision {revision} was rejected:", status.vm, document.team);
            for diagnostic in &document.diagnostics {
                println!("  {diagnostic}");
            }
        }
        for (fingerprint, crashes) in &status.suspects {
            println!("\n{}: request {fingerprint} was running in {crashes} crash(es)", status.vm);
        }
    }
}
