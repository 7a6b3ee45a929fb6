//! `jujubedoor timeline`: the events of a request or a time span, merged over all VMs.

use jujubedoor_node::timeline::Entry;

use crate::operator::Operator;
use crate::operator::OperatorError;

/// How many bits of a hybrid time count events within a millisecond.
const COUNTER_BITS: u32 = 16;

/// Prints the merged time line.
pub async fn run(
    operator: &Operator,
    request: &str,
    last_s: Option<u64>,
    as_json: bool,
) -> Result<(), OperatorError> {
    let entries = merge(operator, request, last_s).await?;
    let Some(first) = entries.first().map(|entry| entry.stamp >> COUNTER_BITS) else {
        println!("no entries");
        return Ok(());
    };
    for entry in entries {
        if as_json {
            println!("{}", serde_json::json!(entry));
            continue;
        }
        let ms = (entry.stamp >> COUNTER_BITS) - first;
        let request = entry.request.as_deref().unwrap_or("-");
        let upstream = entry.upstream.as_deref().unwrap_or("-");
        println!(
            "{ms:>8} ms  {:<12} {:<10} {request:<22} {upstream:<24} {}",
            entry.vm, entry.event, entry.detail
        );
    }
    Ok(())
}

/// Merges the time lines of all VMs in causal order.
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
    for (vm, answer) in operator.request_all::<Vec<Entry>>(&path).await? {
        match answer {
            Ok(entries) => merged.extend(entries),
            Err(e) => eprintln!("VM {} is missing: {e}", vm.name),
        }
    }
    merged.sort();
    Ok(merged)
}
