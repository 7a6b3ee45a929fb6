//! Start and graceful stop of a daemon.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use jujubedoor::Event;
use jujubedoor::State;
use jujubedoor::Tuning;
use jujubedoor::ids::Incarnation;
use jujubedoor::ids::VmRef;
use jujubedoor::state::Start;
use jujubedoor_config::Settings;
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

/// The period at which a leaving VM looks whether it has finished.
const IDLE_CHECK: Duration = Duration::from_millis(50);

/// How long a leaving VM stays after it is idle, so that its last messages leave.
const FAREWELL: Duration = Duration::from_millis(300);

/// How long callers may still be sent here after the VM turned unready.
const UNREADY: Duration = Duration::from_millis(500);

/// Why a daemon did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A port could not be opened.
    #[error("{0} {1} cannot be opened: {2} (hint: choose another address in the settings)")]
    Listen(&'static str, SocketAddr, std::io::Error),
}

/// A running daemon.
pub struct Daemon {
    /// What its tasks share.
    pub handle: Handle,
    /// Where callers connect.
    pub callers_addr: SocketAddr,
    /// Where other VMs connect.
    pub peers_addr: SocketAddr,
    /// Where operators connect.
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
    let address = |listener: &TcpListener, asked| listener.local_addr().unwrap_or(asked);
    let callers_addr = address(&callers_listener, settings.listen);
    let peers_addr = address(&peer_listener, settings.peer_listen);
    let admin_addr = address(&admin_listener, settings.admin_listen);

    let me = VmRef { name: settings.vm.clone(), incarnation: Incarnation(rand::random()) };
    let start = Start {
        me: me.clone(),
        region: settings.region.clone(),
        secret: settings.key.clone(),
        seed: rand::random(),
        tuning,
    };
    let limits = Limits {
        max_connections: settings.connections,
        header_timeout: Duration::from_millis(settings.receive_ms),
        ..Limits::default()
    };
    let (handle, inputs) = Shared::new(settings, me);
    let (stop, stopping) = watch::channel(false);
    let (_, never) = watch::channel(false);
    let callers_handle = handle.clone();
    let answer_caller = move |request, _| {
        let response = callers::handle_request(callers_handle.clone(), request);
        async move { Some(response.await) }
    };
    let admin_handle = handle.clone();
    let answer_operator = move |request, _| {
        let response = admin::handle_request(admin_handle.clone(), request);
        async move { Some(response.await) }
    };
    let server = tokio::spawn(jujubedoor_http::serve(callers_listener, limits, stopping, answer_caller));
    let tasks = vec![
        tokio::spawn(core::run(handle.clone(), State::new(start), inputs)),
        tokio::spawn(peers::serve(handle.clone(), peer_listener)),
        tokio::spawn(jujubedoor_http::serve(admin_listener, Limits::default(), never, answer_operator)),
        tokio::spawn(platform::watch(handle.clone())),
    ];
    log::info!("VM {} serves callers on {callers_addr}", handle.settings.vm);
    Ok(Daemon { handle, callers_addr, peers_addr, admin_addr, stop, server, tasks })
}

impl Daemon {
    /// Waits until an operator asks the VM to leave.
    pub async fn drain_requested(&self) {
        let mut drain = self.handle.drain_signal.subscribe();
        // The sender lives as long as the handle.
        let _ = drain.wait_for(|drain| *drain).await;
    }

    /// Leaves without cutting anyone off: unready, ownership handed over, every request finished.
    ///
    /// Returns whether all requests were finished within the drain time of the settings.
    pub async fn drain(self) -> bool {
        let deadline = Instant::now() + Duration::from_millis(self.handle.settings.drain_ms);
        self.handle.submit(Event::Drain);
        // The balancer needs a moment to see that the VM is unready; new requests are still served.
        tokio::time::sleep(UNREADY).await;
        self.stop.send_replace(true);
        let finished = self.finish_requests(deadline).await;
        self.handle.submit(Event::HandOver);
        tokio::time::sleep(FAREWELL).await;
        self.abort();
        finished
    }

    /// Stops at once, as a crash would.
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
                log::error!("{} requests were cut off by the drain time", self.handle.open_requests());
                return false;
            }
            tokio::time::sleep(IDLE_CHECK).await;
        }
    }
}

async fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|e| StartError::Listen(what, address, e))
}
