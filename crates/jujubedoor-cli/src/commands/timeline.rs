//! `jujubedoor timeline`: prints the events of a request or a period, merged from all VMs.

use jujubedoor_node::timeline::Entry;

use crate::operator::Operator;
use crate::operator::OperatorError;

/// Number of low bits of a hybrid logical clock time that count events within a millisecond.
const COUNTER_BITS: u32 = 16;

/// Prints the merged timeline. Times are relative to the first event.
pub async fn run(
    operator: &Operator,
    request: &str,
    last_s: Option<u64>,
    as_json: bool,
) -> Result<(), OperatorError> {
    let entries = merge(operator, request, last_s).await?;
    let Some(first_ms) = entries.first().map(|entry| entry.stamp >> COUNTER_BITS) else {
        println!("no entries");
        return Ok(());
    };
    for entry in entries {
        if as_json {
            println!("{}", serde_json::json!(entry));
            continue;
        }
        let elapsed_ms = (entry.stamp >> COUNTER_BITS) - first_ms;
        let request = entry.request.as_deref().unwrap_or("-");
        let upstream = entry.upstream.as_deref().unwrap_or("-");
        println!(
            "{elapsed_ms:>8} ms  {:<12} {:<10} {request:<22} {upstream:<24} {}",
            entry.vm, entry.event, entry.detail
        );
    }
    Ok(())
}

/// Fetches the timelines of all VMs and merges them in causal order.
///
/// The entries of a VM that does not respond are missing, and an error is printed.
pub async fn merge(
    operator: &Operator,
    request: &str,
    last_s: Option<u64>,
) -> Result<Vec<Entry>, OperatorError> {
    let now = std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
    let now_ms = now.map(jujubedoor_node::clock::millis).unwrap_or_default();
    let since = last_s.map_or(0, |s| now_ms.saturating_sub(s * 1_000) << COUNTER_BITS);
    let path = format!("/v1/timeline?request={request}&since={since}");
    let mut merged = Vec::new();
    for (vm, result) in operator.send_to_all::<Vec<Entry>>(&path).await? {
        match result {
            Ok(entries) => merged.extend(entries),
            Err(e) => eprintln!("no timeline from VM {}: {e}", vm.name),
        }
    }
    merged.sort();
    Ok(merged)
}
