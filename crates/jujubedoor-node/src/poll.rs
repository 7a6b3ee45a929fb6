//! Fetches load reports from upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use jujubedoor::Event;
use jujubedoor::event::LoadReport;
use jujubedoor::event::ReportFailure;
use jujubedoor::ids::StartStamp;
use jujubedoor::ids::UpstreamId;
use jujubedoor_http::client;
use serde::Deserialize;

use crate::core::Handle;

/// The largest load report, in bytes.
const REPORT_BYTES: usize = 16 << 10;

/// How long a load report may take.
const TIMEOUT: Duration = Duration::from_millis(400);

/// A load report as an upstream publishes it.
#[derive(Deserialize)]
struct Published {
    running: u32,
    #[serde(default)]
    age_ms: u64,
    #[serde(default)]
    completed: u64,
    #[serde(default)]
    start: u64,
}

/// Fetches a load report and gives it to the reducer.
pub async fn fetch_load_report(handle: Handle, upstream: UpstreamId, address: SocketAddr) {
    let event = match client::fetch_json(address, "/load", REPORT_BYTES, TIMEOUT).await {
        Ok(Published { running, age_ms, completed, start }) => {
            let report = LoadReport { running, age_ms, completed, start: StartStamp(start) };
            Event::Reported(upstream, report)
        }
        Err(e) if e.is_connection_refused() => Event::ReportFailed(upstream, ReportFailure::Refused),
        Err(_) => Event::ReportFailed(upstream, ReportFailure::Silent),
    };
    handle.submit(event);
}
