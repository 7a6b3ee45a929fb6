//! A complete fleet on loopback in one process: real daemons with a fake platform, engines and services.

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

/// Secret key of local fleets.
pub const FLEET_KEY: &str = "only for fleets on loopback";

/// Team of local fleets.
pub const TEAM: &str = "local";

/// Model of local fleets.
pub const MODEL: &str = "capsule-lm";

/// Plain service of local fleets.
pub const SERVICE: &str = "registry";

/// Region of local fleets.
pub const REGION: &str = "home";

/// Interval between checks whether a fleet is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum time for a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Configuration of a local fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of VMs.
    pub vms: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of instances of the plain service.
    pub services: usize,
    /// Number of failure domains that the VMs, engines and services are spread over.
    pub domains: usize,
    /// Configuration of the fake engines.
    pub engine_config: EngineConfig,
    /// Declared number of simultaneous calls of each engine: when warm, and in cold start.
    pub slots: (u32, u32),
    /// Additional YAML lines for the declaration of the model.
    pub model_settings: String,
    /// Workspaces with their weights.
    pub workspaces: Vec<(String, u32)>,
    /// Intervals and limits of the daemons.
    pub tuning: Tuning,
    /// Base settings of the daemons. The VM's name, region, failure domain, addresses and key are replaced.
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
    /// Configuration of the fleet.
    pub config: FleetConfig,
    /// Fake platform.
    pub platform: Platform,
    /// Daemons, one for each VM.
    pub daemons: Vec<Daemon>,
    /// Fake engines.
    pub engines: Vec<Engine>,
    /// Fake instances of the plain service.
    pub services: Vec<Service>,
}

/// The reason why a local fleet did not start.
#[derive(Debug, thiserror::Error)]
pub enum LocalFleetError {
    /// A fake did not start.
    #[error("cannot start a fake: {0}")]
    Fake(#[from] std::io::Error),
    /// A daemon did not start.
    #[error("{0}")]
    Daemon(#[from] StartError),
    /// The fleet did not become ready in time.
    #[error("the fleet was not ready within {READY_TIMEOUT:?}")]
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

    /// Starts one more daemon. The platform lists it only after the next [`Self::publish_vms`].
    pub async fn add_vm(&mut self) -> Result<(), LocalFleetError> {
        let index = self.daemons.len();
        let settings = Settings {
            vm: Name::from(format!("vm-{index}")),
            region: REGION.into(),
            domain: Name::from(domain_name(index % self.config.domains)),
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

    /// Publishes the VM list with all daemons on the platform.
    pub fn publish_vms(&self) {
        let vms: Vec<VmEntry> = self.daemons.iter().map(vm_entry).collect();
        self.platform.publish_vm_list(&vms);
    }

    /// Waits until all VMs are ready. Fails after a timeout.
    pub async fn wait_until_ready(&self) -> Result<(), LocalFleetError> {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            if self.is_ready().await {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(LocalFleetError::NotReady)
    }

    /// Returns the address for callers of a VM. An index beyond the last VM wraps around.
    pub fn entry_addr(&self, index: usize) -> SocketAddr {
        self.daemons[index % self.daemons.len()].callers_addr
    }

    /// Creates an operator for the fleet.
    pub fn operator(&self) -> Operator {
        Operator::new(self.platform.address(), FLEET_KEY)
    }

    /// Returns the service document. Failure domains are in state `in`, except those that `states` lists by
    /// index.
    pub fn document(&self, states: &[(usize, &str)]) -> String {
        let config = &self.config;
        let mut yaml = format!("team: {TEAM}\nfailure_domains:\n");
        for index in 0..config.domains {
            let state = states.iter().find(|(n, _)| *n == index).map_or("in", |(_, state)| state);
            let name = domain_name(index);
            let _ = writeln!(yaml, "  - name: {name}\n    region: {REGION}\n    state: {state}");
        }
        let _ = writeln!(yaml, "models:\n  - name: {MODEL}");
        for line in config.model_settings.lines() {
            let _ = writeln!(yaml, "    {line}");
        }
        yaml.push_str(SERVICE_DECLARATION);
        yaml.push_str("upstreams:\n");
        for (index, engine) in self.engines.iter().enumerate() {
            let domain = domain_name(index % config.domains);
            let (slots, cold_slots) = config.slots;
            let _ = writeln!(
                yaml,
                "  - name: engine-{index}\n    address: {}\n    domain: {domain}\n    serves: [{MODEL}]\n    \
                 slots: {slots}\n    cold_slots: {cold_slots}",
                engine.address()
            );
        }
        for (index, service) in self.services.iter().enumerate() {
            let domain = domain_name(index % config.domains);
            let _ = writeln!(
                yaml,
                "  - name: registry-{index}\n    address: {}\n    domain: {domain}\n    serves: [{SERVICE}]\n    \
                 slots: 64\n    cold_slots: 8\n    reports: false",
                service.address()
            );
        }
        yaml.push_str("workspaces:\n");
        for (name, weight) in &config.workspaces {
            let _ = writeln!(yaml, "  - name: {name}\n    weight: {weight}");
        }
        yaml
    }

    /// Returns whether all VMs are ready and have taken over the upstreams that they own.
    async fn is_ready(&self) -> bool {
        for daemon in &self.daemons {
            let ready = daemon.handle.query(|state| {
                state.is_ready()
                    && state
                        .admissions
                        .owned()
                        .all(|(_, upstream_state)| upstream_state.is_takeover_complete(state.now))
            });
            if ready.await != Some(true) {
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

/// Declaration of the plain service in the service document.
const SERVICE_DECLARATION: &str = "services:
  - name: registry
    bound: 4
    non_repeatable:
      - method: POST
        path: /seal/*
      - method: POST
        path: /note/*
        without_ticket: run_once
";

/// Returns the entry of a daemon for the VM list.
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

/// Returns the loopback address with port 0, for which the operating system chooses a free port.
pub fn any_loopback_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn domain_name(index: usize) -> String {
    format!("domain-{index}")
}
