//! Runs one fake as a separate process until it is killed.

use std::net::SocketAddr;

use clap::Parser;
use clap::Subcommand;
use jujubedoor_fakes::Engine;
use jujubedoor_fakes::EngineConfig;
use jujubedoor_fakes::Platform;
use jujubedoor_fakes::Service;

/// Runs one stand-in for what surrounds the fleet.
#[derive(Parser)]
struct Args {
    /// The address to listen on; port zero lets the system choose.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(subcommand)]
    kind: Kind,
}

#[derive(Subcommand)]
enum Kind {
    /// The configuration service and VM list.
    Platform,
    /// A model engine.
    Engine {
        /// The time for each token, in milliseconds.
        #[arg(long, default_value_t = EngineConfig::default().token_ms)]
        token_ms: u64,
    },
    /// A plain service.
    Service,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let Args { listen, kind } = Args::parse();
    match kind {
        Kind::Platform => announce(Platform::start(listen).await?.address()),
        Kind::Engine { token_ms } => {
            let config = EngineConfig { token_ms, ..EngineConfig::default() };
            announce(Engine::start(listen, config).await?.address());
        }
        Kind::Service => announce(Service::start(listen).await?.address()),
    }
    std::future::pending().await
}

/// Prints the address, which the parent process reads to learn the port.
fn announce(address: SocketAddr) {
    println!("listening on {address}");
}
