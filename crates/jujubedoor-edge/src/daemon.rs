//! Start and graceful stop of a VM.

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
use jujubedoor_routing::peers::Vm;
use jujubedoor_routing::state::Start;
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

/// The period of ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The period at which idle connections to upstreams are looked through.
const POOL_CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// How long callers may still be sent here after the VM turned unready.
const UNREADY_DELAY: Duration = Duration::from_millis(2_500);

/// The period at which a leaving VM looks whether it has finished.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long before the end of the time to stop the process ends by itself.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// How long a caller's connection may be idle or take to send a request's head.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The most connections of callers at once; the descriptors that are left serve upstreams and peers.
const MAX_CALLER_CONNECTIONS: usize = 2_500;

/// Why a VM did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A port could not be opened.
    #[error("{0} {1} cannot be opened: {2} (hint: choose another address in the settings)")]
    Listen(&'static str, SocketAddr, std::io::Error),
}

/// A running VM.
pub struct Daemon {
    /// What its tasks share.
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

    let state = State::new(start_parameters(&settings));
    let (edge, outgoing) = Edge::new(settings, dialect, state);
    let (stop, stopping) = watch::channel(false);
    let (_, never_stops) = watch::channel(false);
    let limits = Limits {
        max_connections: MAX_CALLER_CONNECTIONS,
        header_timeout: CALLER_IDLE_TIMEOUT,
        ..Limits::default()
    };
    let callers_edge = edge.clone();
    let answer = move |request, _| callers::handle(callers_edge.clone(), request);
    let callers = tokio::spawn(jujubedoor_http::serve(callers_listener, limits, stopping, answer));
    let ready_edge = edge.clone();
    let ready = move |_, _| {
        let status = if ready_edge.is_ready() { 200 } else { 503 };
        async move { Some(body::respond(status, "text/plain", "")) }
    };
    tokio::spawn(jujubedoor_http::serve(ready_listener, Limits::default(), never_stops.clone(), ready));
    let peer_edge = edge.clone();
    let peer = move |request, _| {
        let response = peers::handle(&peer_edge, &request);
        async move { Some(response) }
    };
    tokio::spawn(jujubedoor_http::serve(peer_listener, Limits::default(), never_stops.clone(), peer));
    let metrics_edge = edge.clone();
    let metrics = move |_, _| {
        let revision = metrics_edge.state().directory.revision;
        let text = metrics_edge.metrics.render(metrics_edge.open_requests(), revision);
        async move { Some(body::respond(200, "text/plain; version=0.0.4", text)) }
    };
    tokio::spawn(jujubedoor_http::serve(metrics_listener, Limits::default(), never_stops, metrics));
    tokio::spawn(peers::receive(edge.clone(), socket.clone()));
    tokio::spawn(peers::send(edge.clone(), socket, outgoing));
    tokio::spawn(tick(edge.clone()));
    Ok(Daemon { edge, stop, callers })
}

fn start_parameters(settings: &EdgeSettings) -> Start {
    let me = Vm {
        name: settings.vm.clone(),
        incarnation: Incarnation(rand::random()),
        address: settings.peer_listen,
        domain: settings.domain.clone(),
    };
    let port = settings.peer_listen.port();
    let seeds = settings.seeds.iter().map(|s| SocketAddr::new(s.ip(), port)).collect();
    let tuning = core::tuning_from_settings(settings, Tuning::default());
    let (domain, first_start) = (settings.domain.clone(), settings.first_start);
    Start { me, domain, seeds, tuning, first_start, seed: rand::random() }
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
    /// Leaves without cutting anyone off: turns unready, serves those who still come, finishes all.
    ///
    /// Returns whether all requests were finished in time.
    pub async fn drain(self) -> bool {
        let deadline =
            Instant::now() + Duration::from_millis(self.edge.settings.stop_ms).saturating_sub(STOP_MARGIN);
        self.edge.leave();
        tokio::time::sleep(UNREADY_DELAY).await;
        self.stop.send_replace(true);
        loop {
            if self.edge.open_requests() == 0 && self.callers.is_finished() {
                return true;
            }
            if Instant::now() >= deadline {
                log::error!("{} requests were cut off by the time to stop", self.edge.open_requests());
                return false;
            }
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }
}
