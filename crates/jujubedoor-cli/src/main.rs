//! The operators' command-line tool `jujubedoor`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;
use jujubedoor_cli::commands;
use jujubedoor_cli::commands::experiment::ExperimentOptions;
use jujubedoor_cli::commands::explain::ExplainOptions;
use jujubedoor_cli::commands::trace::TraceOptions;
use jujubedoor_cli::operator::Operator;
use jujubedoor_cli::operator::OperatorError;

/// Checks documents, asks the VMs of a fleet, and runs a fleet on one machine.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Checks a service document, or the settings of a VM, and prints all mistakes.
    Check {
        /// The document.
        file: PathBuf,
        /// The file holds the settings of a VM that reads a registry.
        #[arg(long)]
        settings: bool,
    },
    /// Prints the status of all VMs.
    Status {
        #[command(flatten)]
        fleet: FleetOptions,
        /// Prints one JSON object a line.
        #[arg(long)]
        json: bool,
    },
    /// Explains where a chat goes, and who decides.
    Explain {
        #[command(flatten)]
        fleet: FleetOptions,
        /// The administration address of the VM to ask.
        #[arg(long)]
        vm: Option<SocketAddr>,
        #[command(flatten)]
        explain_options: ExplainOptions,
    },
    /// Prints the events of a request or a time span, merged over all VMs.
    Timeline {
        #[command(flatten)]
        fleet: FleetOptions,
        /// The request, as the header x-jujubedoor-request names it.
        #[arg(long, default_value = "")]
        request: String,
        /// Only the last seconds.
        #[arg(long)]
        last_s: Option<u64>,
        /// Prints one JSON object a line.
        #[arg(long)]
        json: bool,
    },
    /// Prints what the logs of all VMs say of one request, in order.
    Trace {
        #[command(flatten)]
        trace_options: TraceOptions,
    },
    /// Lets one VM leave without cutting anyone off.
    Drain {
        #[command(flatten)]
        fleet: FleetOptions,
        /// The name of the VM.
        vm: String,
    },
    /// Prints the operators' token of the fleet.
    Token {
        #[command(flatten)]
        fleet: FleetOptions,
    },
    /// Measures policies side by side on a fleet with stand-ins in one process.
    Experiment {
        #[command(flatten)]
        options: ExperimentOptions,
    },
    /// Runs a fleet with stand-ins in one process.
    Demo {
        /// Makes two calls, prints the answers and stops.
        #[arg(long)]
        once: bool,
    },
}

/// Options of the commands that query a fleet.
#[derive(clap::Args)]
struct FleetOptions {
    /// The settings of any VM of the fleet, for the platform's address and the fleet's key.
    #[arg(long)]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    match Args::parse().command {
        Command::Check { file, settings: false } => commands::check::document(&file),
        Command::Check { file, settings: true } => commands::check::settings(&file),
        Command::Trace { trace_options } => match commands::trace::run(&trace_options) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => commands::print_error(&e),
        },
        Command::Demo { once } => commands::demo::run(once).await,
        Command::Experiment { options } => commands::experiment::run(&options).await,
        command => commands::exit_code(run_fleet_command(command).await),
    }
}

/// Runs a command that queries a fleet.
async fn run_fleet_command(command: Command) -> Result<(), OperatorError> {
    match command {
        Command::Status { fleet, json } => commands::status::run(&operator_from(&fleet)?, json).await,
        Command::Explain { fleet, vm, explain_options } => {
            commands::explain::run(&operator_from(&fleet)?, vm, &explain_options).await
        }
        Command::Timeline { fleet, request, last_s, json } => {
            commands::timeline::run(&operator_from(&fleet)?, &request, last_s, json).await
        }
        Command::Drain { fleet, vm } => commands::drain::run(&operator_from(&fleet)?, &vm).await,
        Command::Token { fleet } => {
            let settings = jujubedoor_cli::operator::read_settings(&fleet.settings)?;
            println!("{}", jujubedoor_node::admin::token(&settings.key));
            Ok(())
        }
        // `main` runs these commands itself.
        Command::Check { .. } | Command::Demo { .. } | Command::Experiment { .. } | Command::Trace { .. } => {
            Ok(())
        }
    }
}

fn operator_from(fleet: &FleetOptions) -> Result<Operator, OperatorError> {
    Operator::from_settings(&fleet.settings)
}
