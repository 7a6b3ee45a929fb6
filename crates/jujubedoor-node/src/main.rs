//! The daemon `jujubedoord`: reads the settings of its VM, serves callers, and drains on a signal.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use jujubedoor::Tuning;
use jujubedoor_config::Name;
use jujubedoor_config::Settings;
use jujubedoor_config::settings;
use jujubedoor_node::Daemon;
use jujubedoor_node::logs;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Routes calls of returning chats and plain services to their upstreams.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The YAML file with the settings of this VM.
    #[arg(long)]
    settings: PathBuf,
    /// Replaces the name of the VM in the settings.
    #[arg(long)]
    vm: Option<String>,
    /// Replaces the address for callers in the settings.
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// Replaces the address for other VMs in the settings.
    #[arg(long)]
    peer_listen: Option<SocketAddr>,
    /// Replaces the address for operators in the settings.
    #[arg(long)]
    admin_listen: Option<SocketAddr>,
    /// Replaces the address of the platform in the settings.
    #[arg(long)]
    platform: Option<SocketAddr>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let Some(settings) = read_settings(&args) else { return ExitCode::FAILURE };
    if let Err(e) = logs::init(settings.log, &settings.vm) {
        eprintln!("cannot initialize logging: {e}");
        return ExitCode::FAILURE;
    }
    match jujubedoor_node::start(settings, Tuning::default()).await {
        Ok(daemon) => run(daemon).await,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(args: &Args) -> Option<Settings> {
    let path = args.settings.display();
    let text = match std::fs::read_to_string(&args.settings) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("{path}: {e}");
            return None;
        }
    };
    let parsed = match settings::parse(&text) {
        Ok(parsed) => parsed,
        Err(config_error) => {
            for diagnostic in config_error.0 {
                eprintln!("{path}:{diagnostic}");
            }
            return None;
        }
    };
    Some(Settings {
        vm: args.vm.as_deref().map_or(parsed.vm.clone(), Name::new),
        listen: args.listen.unwrap_or(parsed.listen),
        peer_listen: args.peer_listen.unwrap_or(parsed.peer_listen),
        admin_listen: args.admin_listen.unwrap_or(parsed.admin_listen),
        platform: args.platform.unwrap_or(parsed.platform),
        ..parsed
    })
}

/// Serves until a signal or an operator requests a drain, then drains.
///
/// A signal during the drain stops the daemon at once.
async fn run(daemon: Daemon) -> ExitCode {
    println!("callers {} peers {} admin {}", daemon.callers_addr, daemon.peers_addr, daemon.admin_addr);
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        log::error!("cannot install signal handlers");
        return ExitCode::FAILURE;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.drain_requested() => {}
    }
    log::info!("draining before shutdown");
    let finished = tokio::select! {
        finished = daemon.drain() => finished,
        _ = terminate.recv() => false,
        _ = interrupt.recv() => false,
    };
    if finished { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
