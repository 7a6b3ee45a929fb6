//! Start and graceful shutdown of a daemon.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use jujubedoor::Event;
use jujubedoor::State;
use jujubedoor::Tuning;
use jujubedoor::ids::Incarnation;
use jujubedoor::ids::VmRef;
use jujubedoor::state::StateOptions;
use jujubedoor_config::Settings;
use jujubedoor_http::Budget;
use jujubedoor_http::BudgetLimits;
use jujubedoor_http::Limits;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::admin;
use crate::callers;
use crate::core;
use crate::core::Handle;
use crate::core::Shared;
use crate::peers;
use crate::platform;

/// Interval at which a draining VM checks whether all requests have finished.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between the handover of ticket records and the stop, so that the last messages to peers are sent.
const HANDOVER_DELAY: Duration = Duration::from_millis(300);

/// Time between reporting that the VM is not ready and closing the callers' listener.
///
/// Until the load balancer has noticed, it still sends callers to this VM.
const UNREADY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of connections to the administration address.
const MAX_ADMIN_CONNECTIONS: usize = 64;

/// An error during the start of a daemon.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A port could not be opened.
    #[error("cannot listen on {0} {1}: {2} (hint: choose another address in the settings)")]
    Listen(&'static str, SocketAddr, std::io::Error),
}

/// A running daemon.
pub struct Daemon {
    /// The state that its tasks share.
    pub handle: Handle,
    /// The address for callers.
    pub callers_addr: SocketAddr,
    /// The address for other VMs.
    pub peers_addr: SocketAddr,
    /// The address for operators.
    pub admin_addr: SocketAddr,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

/// Opens the ports of a VM and starts its tasks.
pub async fn start(settings: Settings, tuning: Tuning) -> Result<Daemon, StartError> {
    let callers_listener = listen("the callers' address", settings.listen).await?;
    let peer_listener = listen("the peer address", settings.peer_listen).await?;
    let admin_listener = listen("the administration address", settings.admin_listen).await?;
    let bound_addr = |listener: &TcpListener, configured| listener.local_addr().unwrap_or(configured);
    let callers_addr = bound_addr(&callers_listener, settings.listen);
    let peers_addr = bound_addr(&peer_listener, settings.peer_listen);
    let admin_addr = bound_addr(&admin_listener, settings.admin_listen);

    let local_vm = VmRef { name: settings.vm.clone(), incarnation: Incarnation(rand::random()) };
    let options = StateOptions {
        local_vm: local_vm.clone(),
        region: settings.region.clone(),
        secret: settings.key.clone(),
        seed: rand::random(),
        tuning,
    };
    let budget = Budget::new(BudgetLimits::for_memory(settings.memory_mb << 20));
    let limits = Limits {
        max_connections: settings.connections,
        header_timeout: Duration::from_millis(settings.receive_ms),
        budget: budget.clone(),
        ..Limits::default()
    };
    let admin_limits =
        Limits { max_connections: MAX_ADMIN_CONNECTIONS, budget, privileged: true, ..Limits::default() };
    let (handle, inputs) = Shared::new(settings, local_vm);
    let (stop, stop_receiver) = watch::channel(false);
    let (_, never_stop) = watch::channel(false);
    let callers_handle = handle.clone();
    let caller_handler = move |request, _| {
        let response = callers::handle_request(callers_handle.clone(), request);
        async move { Some(response.await) }
    };
    let admin_handle = handle.clone();
    let operator_handler = move |request, _| {
        let response = admin::handle_request(admin_handle.clone(), request);
        async move { Some(response.await) }
    };
    let server =
        tokio::spawn(jujubedoor_http::serve(callers_listener, limits, stop_receiver, caller_handler));
    let tasks = vec![
        tokio::spawn(core::run(handle.clone(), State::new(options), inputs)),
        tokio::spawn(peers::serve(handle.clone(), peer_listener)),
        tokio::spawn(jujubedoor_http::serve(admin_listener, admin_limits, never_stop, operator_handler)),
        tokio::spawn(platform::watch(handle.clone())),
    ];
    log::info!("VM {} is listening for callers on {callers_addr}", handle.settings.vm);
    Ok(Daemon { handle, callers_addr, peers_addr, admin_addr, stop, server, tasks })
}

impl Daemon {
    /// Waits until an operator requests a drain.
    pub async fn drain_requested(&self) {
        let mut drain = self.handle.drain_signal.subscribe();
        // Cannot fail: the sender lives as long as the handle.
        let _ = drain.wait_for(|drain| *drain).await;
    }

    /// Shuts down gracefully, so that no request is cut off.
    ///
    /// The VM first reports that it is not ready, and its peers take over the ownership of its upstreams. It
    /// then finishes all requests and, last, hands over its ticket records.
    ///
    /// Returns whether all requests finished within the drain time of the settings.
    pub async fn drain(self) -> bool {
        let deadline = Instant::now() + Duration::from_millis(self.handle.settings.drain_ms);
        self.handle.submit(Event::Drain);
        // New requests are still served until the load balancer has noticed that the VM is not ready.
        tokio::time::sleep(UNREADY_DELAY).await;
        self.stop.send_replace(true);
        let finished = self.finish_requests(deadline).await;
        self.handle.submit(Event::HandOver);
        tokio::time::sleep(HANDOVER_DELAY).await;
        self.abort();
        finished
    }

    /// Stops at once without draining, as in a crash.
    pub fn abort(&self) {
        self.server.abort();
        for task in &self.tasks {
            task.abort();
        }
        self.handle.peers.close();
    }

    async fn finish_requests(&self, deadline: Instant) -> bool {
        loop {
            let idle = self.handle.query(State::is_idle).await.unwrap_or(true);
            if idle && self.handle.open_requests() == 0 && self.server.is_finished() {
                return true;
            }
            if Instant::now() >= deadline {
                log::error!("drain time exceeded; aborting {} requests", self.handle.open_requests());
                return false;
            }
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
    }
}

async fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|e| StartError::Listen(purpose, address, e))
}
