//! Polls upstreams for their load reports.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Response;
use jujubedoor::Event;
use jujubedoor::event::LoadReport;
use jujubedoor::event::LoadReportFailure;
use jujubedoor::ids::StartStamp;
use jujubedoor::ids::UpstreamId;
use jujubedoor_http::client;
use serde::Deserialize;

use crate::core::Handle;

/// Maximum size of a load report, in bytes.
const MAX_REPORT_BYTES: usize = 16 << 10;

/// Maximum time to fetch a load report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The body of an upstream's `/load` response.
#[derive(Deserialize)]
struct ReportBody {
    running: u32,
    #[serde(default)]
    age_ms: u64,
    #[serde(default)]
    completed: u64,
    #[serde(default)]
    start: u64,
}

/// Fetches the load report of an upstream and sends the result to the reducer.
pub async fn fetch_load_report(handle: Handle, upstream: UpstreamId, address: SocketAddr) {
    let fetched = client::fetch_json(address, "/load", MAX_REPORT_BYTES, REPORT_TIMEOUT).await;
    let event = match fetched.map(Response::into_body) {
        Ok(ReportBody { running, age_ms, completed, start }) => {
            let report = LoadReport { running, age_ms, completed, start: StartStamp(start) };
            Event::LoadReported(upstream, report)
        }
        Err(e) if e.is_connection_refused() => {
            Event::LoadReportFailed(upstream, LoadReportFailure::ConnectionRefused)
        }
        Err(_) => Event::LoadReportFailed(upstream, LoadReportFailure::NoResponse),
    };
    handle.submit(event);
}
