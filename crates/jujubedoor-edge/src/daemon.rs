//! Start and graceful shutdown of a VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubedoor::ids::Incarnation;
use jujubedoor_config::edge::EdgeSettings;
use jujubedoor_http::Limits;
use jujubedoor_http::body;
use jujubedoor_routing::Event;
use jujubedoor_routing::State;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::message::Vm;
use jujubedoor_routing::shutdown::ANSWER_MS;
use jujubedoor_routing::shutdown::UNREADY_DELAY_MS;
use jujubedoor_routing::state::StateOptions;
use jujubedoor_routing::upstream_watch;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::callers;
use crate::core;
use crate::core::Edge;
use crate::core::Handle;
use crate::dialect::Dialect;
use crate::peers;
use crate::pool;

/// Interval of the reducer's `Tick` events.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which expired idle connections to upstreams are closed.
const POOL_CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the VM turns unready during which the load balancer may still send callers.
const UNREADY_DELAY: Duration = Duration::from_millis(UNREADY_DELAY_MS);

/// Time before the exit of the process at which attempts end whose response has not begun.
const LAST_ANSWERS_MARGIN: Duration = Duration::from_millis(ANSWER_MS);

/// Interval at which a leaving VM checks whether all requests have finished.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time before the configured shutdown limit at which the process exits even if requests are still open.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Maximum time that a caller's connection may be idle or take to send the head of a request.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of caller connections.
const MAX_CALLER_CONNECTIONS: usize = 2_500;

/// Number of files and sockets that are kept for purposes other than callers and their requests.
const OTHER_FILES: usize = RESERVED_FILES
    + MAX_READY_CONNECTIONS
    + MAX_METRICS_CONNECTIONS
    + MAX_PEER_CONNECTIONS
    + pool::MAX_IDLE
    + upstream_watch::MAX_CONNECTIONS
    + OWN_CONNECTIONS;

/// Number of descriptors that are kept for files, logs and listening sockets.
const RESERVED_FILES: usize = 200;

/// Maximum number of connections that the VM itself opens to the registry, to other VMs and as probes.
const OWN_CONNECTIONS: usize = 96;

/// Maximum number of connections to the readiness address.
const MAX_READY_CONNECTIONS: usize = 128;

/// Maximum number of connections to the metrics address.
const MAX_METRICS_CONNECTIONS: usize = 32;

/// Maximum number of connections of other VMs.
const MAX_PEER_CONNECTIONS: usize = 256;

/// Error of a VM that could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A port could not be opened.
    #[error("cannot listen on {0} {1}: {2} (hint: choose another address in the settings)")]
    Listen(&'static str, SocketAddr, std::io::Error),
}

/// A running VM.
pub struct Daemon {
    /// State shared by all tasks.
    pub edge: Handle,
    stop: watch::Sender<bool>,
    callers: JoinHandle<()>,
}

/// Opens the ports of a VM and starts its tasks.
pub async fn start(settings: EdgeSettings, dialect: Dialect) -> Result<Daemon, StartError> {
    let callers_listener = listen("the callers' address", settings.listen).await?;
    let ready_listener = listen("the readiness address", settings.ready_listen).await?;
    let peer_listener = listen("the peer address", settings.peer_listen).await?;
    let metrics_listener = listen("the metrics address", settings.metrics_listen).await?;
    let socket = UdpSocket::bind(settings.peer_listen).await;
    let socket =
        Arc::new(socket.map_err(|e| StartError::Listen("the peer address", settings.peer_listen, e))?);

    let state = State::new(state_options(&settings));
    let (edge, outgoing) = Edge::new(settings, dialect, state);
    let (stop, stopping) = watch::channel(false);
    let (_, never_stops) = watch::channel(false);
    let limits = Limits {
        max_connections: max_caller_connections(edge.settings.max_files),
        header_timeout: CALLER_IDLE_TIMEOUT,
        budget: edge.budget.clone(),
        ..Limits::default()
    };
    let internal_limits = |max_connections| Limits {
        max_connections,
        budget: edge.budget.clone(),
        privileged: true,
        ..Limits::default()
    };
    let callers_edge = edge.clone();
    let caller_handler = move |request, _| callers::handle(callers_edge.clone(), request);
    let callers = tokio::spawn(jujubedoor_http::serve(callers_listener, limits, stopping, caller_handler));
    let ready_edge = edge.clone();
    let ready_handler = move |_, _| {
        let status = if ready_edge.is_ready() { 200 } else { 503 };
        async move { Some(body::respond(status, "text/plain", "")) }
    };
    tokio::spawn(jujubedoor_http::serve(
        ready_listener,
        internal_limits(MAX_READY_CONNECTIONS),
        never_stops.clone(),
        ready_handler,
    ));
    let peer_edge = edge.clone();
    let peer_handler = move |request, _| {
        let response = peers::handle(&peer_edge, &request);
        async move { Some(response) }
    };
    let limits = internal_limits(MAX_PEER_CONNECTIONS);
    tokio::spawn(jujubedoor_http::serve(peer_listener, limits, never_stops.clone(), peer_handler));
    let metrics_edge = edge.clone();
    let metrics_handler = move |_, _| {
        let revision = metrics_edge.state().directory.revision;
        metrics_edge.metrics.set_slow_upstreams(metrics_edge.slow_upstreams());
        metrics_edge.metrics.set_held(&metrics_edge.budget);
        let text = metrics_edge.metrics.render(metrics_edge.open_requests(), revision);
        async move { Some(body::respond(200, "text/plain; version=0.0.4", text)) }
    };
    let limits = internal_limits(MAX_METRICS_CONNECTIONS);
    tokio::spawn(jujubedoor_http::serve(metrics_listener, limits, never_stops, metrics_handler));
    tokio::spawn(peers::receive(edge.clone(), socket.clone()));
    tokio::spawn(peers::send(edge.clone(), socket, outgoing));
    tokio::spawn(tick(edge.clone()));
    Ok(Daemon { edge, stop, callers })
}

fn state_options(settings: &EdgeSettings) -> StateOptions {
    let local_vm = Vm {
        name: settings.vm.clone(),
        incarnation: Incarnation(rand::random()),
        address: settings.peer_listen,
        domain: settings.domain.clone(),
        cpu_percent: percent(settings.cpu_share),
    };
    let port = settings.peer_listen.port();
    let seeds = settings.seeds.iter().map(|s| SocketAddr::new(s.ip(), port)).collect();
    let tuning = core::tuning_from_settings(settings, Tuning::default());
    let (domain, first_start) = (settings.domain.clone(), settings.first_start);
    StateOptions { local_vm, domain, seeds, tuning, first_start, seed: rand::random() }
}

/// Returns the number of caller connections for which the files suffice. Each of them may need another connection to an
/// upstream.
fn max_caller_connections(max_files: f64) -> usize {
    // The settings limit the number to a range that the type covers.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let max_files = max_files as usize;
    (max_files.saturating_sub(OTHER_FILES) / 2).min(MAX_CALLER_CONNECTIONS)
}

fn percent(share: f64) -> u16 {
    // The settings limit the share to a range that the type covers.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let percent = (share * 100.0).min(f64::from(u16::MAX)) as u16;
    percent
}

async fn tick(edge: Handle) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_cleanup = Instant::now();
    loop {
        ticks.tick().await;
        edge.submit(Event::Tick);
        if last_cleanup.elapsed() >= POOL_CLEANUP_INTERVAL {
            last_cleanup = Instant::now();
            edge.pool.remove_expired();
        }
    }
}

async fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|e| StartError::Listen(purpose, address, e))
}

impl Daemon {
    /// Shuts down gracefully: reports unready, serves callers that still arrive, and finishes all requests.
    ///
    /// Returns whether all requests finished in time.
    pub async fn drain(self) -> bool {
        let exits_in = Duration::from_millis(self.edge.settings.stop_ms).saturating_sub(STOP_MARGIN);
        let deadline = Instant::now() + exits_in;
        self.edge.leave(exits_in);
        tokio::time::sleep(UNREADY_DELAY).await;
        self.stop.send_replace(true);
        loop {
            if self.edge.open_requests() == 0 && self.callers.is_finished() {
                return true;
            }
            if Instant::now() + LAST_ANSWERS_MARGIN >= deadline {
                self.edge.end_attempts();
            }
            if Instant::now() >= deadline {
                log::error!("shutdown time limit reached; aborting {} requests", self.edge.open_requests());
                return false;
            }
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }
}
