//! Watches a run of an upstream over a connection on which nothing is sent.

use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use jujubedoor_config::Name;
use jujubedoor_routing::Event;
use jujubedoor_routing::upstream_watch::WatchReport;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::core::Handle;
use crate::pool;

/// Interval at which the connection is checked. If the VM stands still, this is the time that is lost beyond that.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The run of an upstream that is watched.
#[derive(Clone, Debug)]
pub struct WatchedRun {
    /// Identifier of the upstream.
    pub upstream: Name,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Start time of the upstream's process, as registered.
    pub started: u64,
    /// Time for which the connection is kept open, in milliseconds.
    pub open_ms: u64,
    /// Interval at which it is reported that the connection is open, in milliseconds.
    pub report_ms: u64,
    /// Time for which that is reported, in milliseconds.
    pub trust_ms: u64,
}

/// Opens a connection to an upstream and reports until when it is open.
pub async fn watch(edge: Handle, run: WatchedRun) {
    let WatchedRun { upstream, address, started, open_ms, report_ms, trust_ms } = run;
    let report = |report| edge.submit(Event::UpstreamWatched { upstream: upstream.clone(), started, report });
    let stream = match pool::connect(address).await {
        Ok(stream) => stream,
        Err(e) => {
            log::debug!("{upstream}: {e}");
            report(WatchReport::Failed);
            return;
        }
    };
    let opened_at = edge.clock.now();
    let mut open_at = opened_at;
    let ends_at = Instant::now() + Duration::from_millis(open_ms);
    let trusted_until = opened_at.after(trust_ms);
    let mut report_due = opened_at;
    let mut checks = tokio::time::interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while Instant::now() < ends_at {
        tokio::select! {
            _ = checks.tick() => {}
            _ = stream.readable() => {}
        }
        // The time is taken first: the connection may be closed while this VM stands still.
        let checked_at = edge.clock.now();
        if !is_open(&stream) {
            report(WatchReport::Closed { opened_at, open_at });
            return;
        }
        open_at = checked_at;
        if open_at >= report_due && open_at <= trusted_until {
            report_due = report_due.after(report_ms);
            report(WatchReport::Open { opened_at, open_at });
        }
    }
}

/// Returns whether a connection is open and nothing has arrived over it.
fn is_open(stream: &TcpStream) -> bool {
    let would_block = |result: io::Result<usize>| {
        result.is_err_and(|e| matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted))
    };
    // The runtime may not know yet what the operating system knows. The second read resets what the runtime knows.
    would_block(SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]))
        && would_block(stream.try_read(&mut [0]))
}
