//! A whole fleet on loopback in one process: real daemons between stand-ins.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use jujubedoor::Tuning;
use jujubedoor::fleet::VmEntry;
use jujubedoor_config::Name;
use jujubedoor_config::Settings;
use jujubedoor_config::settings::LogLevel;
use jujubedoor_fakes::Engine;
use jujubedoor_fakes::EngineConfig;
use jujubedoor_fakes::Platform;
use jujubedoor_fakes::Service;
use jujubedoor_node::Daemon;
use jujubedoor_node::StartError;

use crate::operator::Operator;

/// The secret of local fleets.
pub const FLEET_KEY: &str = "only for fleets on loopback";

/// The team of local fleets.
pub const TEAM: &str = "local";

/// The model of local fleets.
pub const MODEL: &str = "capsule-lm";

/// The plain service of local fleets.
pub const SERVICE: &str = "registry";

/// The region of local fleets.
pub const REGION: &str = "home";

/// The period at which a fleet is asked whether it is ready.
const READY_CHECK: Duration = Duration::from_millis(25);

/// How long a fleet may take to get ready.
const READY_MOST: Duration = Duration::from_secs(15);

/// What a local fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// How many VMs.
    pub vms: usize,
    /// How many model engines.
    pub engines: usize,
    /// How many instances of the plain service.
    pub services: usize,
    /// How many failure domains the engines are spread over.
    pub domains: usize,
    /// How the engines behave.
    pub engine_config: EngineConfig,
    /// The calls that each engine bears at once, and in cold start.
    pub slots: (u32, u32),
    /// More lines for the declaration of the model.
    pub model_settings: String,
    /// The workspaces with their weights.
    pub workspaces: Vec<(String, u32)>,
    /// The periods and limits of the daemons.
    pub tuning: Tuning,
    /// More settings of the daemons.
    pub settings: Settings,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            vms: 3,
            engines: 4,
            services: 1,
            domains: 3,
            engine_config: EngineConfig::default(),
            slots: (16, 2),
            model_settings: String::new(),
            workspaces: vec![("schools".into(), 1), ("families".into(), 1)],
            tuning: Tuning::default(),
            settings: Settings { log: LogLevel::Error, ..Settings::default() },
        }
    }
}

/// A running local fleet.
pub struct LocalFleet {
    /// What the fleet consists of.
    pub config: FleetConfig,
    /// The platform.
    pub platform: Platform,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The instances of the plain service.
    pub services: Vec<Service>,
}

/// Why a local fleet did not start.
#[derive(Debug, thiserror::Error)]
pub enum LocalFleetError {
    /// A stand-in did not start.
    #[error("a stand-in did not start: {0}")]
    Fake(#[from] std::io::Error),
    /// A daemon did not start.
    #[error("{0}")]
    Daemon(#[from] StartError),
    /// The fleet did not get ready.
    #[error("the fleet was not ready after {READY_MOST:?}")]
    NotReady,
}

impl LocalFleet {
    /// Starts a fleet and waits until all its VMs are ready.
    pub async fn start(config: FleetConfig) -> Result<Self, LocalFleetError> {
        let platform = Platform::start(any_loopback_addr()).await?;
        let mut engines = Vec::new();
        for _ in 0..config.engines {
            engines.push(Engine::start(any_loopback_addr(), config.engine_config).await?);
        }
        let mut services = Vec::new();
        for _ in 0..config.services {
            services.push(Service::start(any_loopback_addr()).await?);
        }
        let mut fleet = Self { config, platform, daemons: Vec::new(), engines, services };
        for _ in 0..fleet.config.vms {
            fleet.add_vm().await?;
        }
        fleet.platform.publish_document(TEAM, &fleet.document(&[]));
        fleet.publish_vms();
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Starts one more daemon, which the platform does not list yet.
    pub async fn add_vm(&mut self) -> Result<(), LocalFleetError> {
        let number = self.daemons.len();
        let settings = Settings {
            vm: Name::from(format!("vm-{number}")),
            region: REGION.into(),
            domain: Name::from(domain_name(number % self.config.domains)),
            listen: any_loopback_addr(),
            peer_listen: any_loopback_addr(),
            admin_listen: any_loopback_addr(),
            platform: self.platform.address(),
            key: FLEET_KEY.into(),
            ..self.config.settings.clone()
        };
        self.daemons.push(jujubedoor_node::start(settings, self.config.tuning).await?);
        Ok(())
    }

    /// Publishes the list of all daemons.
    pub fn publish_vms(&self) {
        let vms: Vec<VmEntry> = self.daemons.iter().map(vm_entry).collect();
        self.platform.publish_vms(&vms);
    }

    /// Waits until all VMs are ready.
    pub async fn wait_until_ready(&self) -> Result<(), LocalFleetError> {
        let deadline = tokio::time::Instant::now() + READY_MOST;
        while tokio::time::Instant::now() < deadline {
            if self.is_ready().await {
                return Ok(());
            }
            tokio::time::sleep(READY_CHECK).await;
        }
        Err(LocalFleetError::NotReady)
    }

    /// Returns the address of an entry VM, in turn.
    pub fn entry_addr(&self, number: usize) -> SocketAddr {
        self.daemons[number % self.daemons.len()].callers_addr
    }

    /// Creates an operator of the fleet.
    pub fn operator(&self) -> Operator {
        Operator::new(self.platform.address(), FLEET_KEY)
    }

    /// Writes the service document, with some failure domains in another state than `in`.
    pub fn document(&self, states: &[(usize, &str)]) -> String {
        let config = &self.config;
        let mut text = format!("team: {TEAM}\nfailure_domains:\n");
        for number in 0..config.domains {
            let state = states.iter().find(|(n, _)| *n == number).map_or("in", |(_, state)| state);
            let name = domain_name(number);
            let _ = writeln!(text, "  - name: {name}\n    region: {REGION}\n    state: {state}");
        }
        let _ = writeln!(text, "models:\n  - name: {MODEL}");
        for line in config.model_settings.lines() {
            let _ = writeln!(text, "    {line}");
        }
        text.push_str(SERVICE_TEXT);
        text.push_str("upstreams:\n");
        for (number, engine) in self.engines.iter().enumerate() {
            let domain = domain_name(number % config.domains);
            let (slots, cold_slots) = config.slots;
            let _ = writeln!(
                text,
                "  - name: engine-{number}\n    address: {}\n    domain: {domain}\n    serves: [{MODEL}]\n    \
                 slots: {slots}\n    cold_slots: {cold_slots}",
                engine.address()
            );
        }
        for (number, service) in self.services.iter().enumerate() {
            let domain = domain_name(number % config.domains);
            let _ = writeln!(
                text,
                "  - name: registry-{number}\n    address: {}\n    domain: {domain}\n    serves: [{SERVICE}]\n    \
                 slots: 64\n    cold_slots: 8\n    reports: false",
                service.address()
            );
        }
        text.push_str("workspaces:\n");
        for (name, weight) in &config.workspaces {
            let _ = writeln!(text, "  - name: {name}\n    weight: {weight}");
        }
        text
    }

    async fn is_ready(&self) -> bool {
        for daemon in &self.daemons {
            let settled = daemon.handle.query(|state| {
                state.is_ready()
                    && state
                        .admissions
                        .owned()
                        .all(|(_, upstream_state)| upstream_state.is_takeover_complete(state.now))
            });
            if settled.await != Some(true) {
                return false;
            }
        }
        true
    }
}

impl Drop for LocalFleet {
    fn drop(&mut self) {
        for daemon in &self.daemons {
            daemon.abort();
        }
        for engine in &self.engines {
            engine.crash();
        }
        for service in &self.services {
            service.stop();
        }
        self.platform.stop();
    }
}

/// The declaration of the plain service.
const SERVICE_TEXT: &str = "services:
  - name: registry
    bound: 4
    non_repeatable:
      - method: POST
        path: /seal/*
      - method: POST
        path: /note/*
        without_ticket: run_once
";

/// Returns the platform's entry for a daemon.
pub fn vm_entry(daemon: &Daemon) -> VmEntry {
    let settings = &daemon.handle.settings;
    VmEntry {
        name: settings.vm.clone(),
        peer_address: daemon.peers_addr,
        admin_address: daemon.admin_addr,
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        leaving: false,
    }
}

/// Returns the loopback address with a port that the system chooses.
pub fn any_loopback_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn domain_name(number: usize) -> String {
    format!("domain-{number}")
}
