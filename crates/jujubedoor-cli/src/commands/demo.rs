//! `jujubedoor demo`: runs a complete fleet with fakes in one process.

use std::process::ExitCode;

use super::print_error;
use crate::caller::Call;
use crate::caller::CallResponse;
use crate::local::FLEET_KEY;
use crate::local::FleetConfig;
use crate::local::LocalFleet;
use crate::local::MODEL;
use crate::local::SERVICE;

/// Starts the fleet. With `once` it makes example calls and stops, otherwise it runs until interrupted.
pub async fn run(once: bool) -> ExitCode {
    let fleet = match LocalFleet::start(FleetConfig::default()).await {
        Ok(fleet) => fleet,
        Err(e) => return print_error(&e),
    };
    if once {
        return match make_example_calls(&fleet).await {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(e) => print_error(&e),
        };
    }
    print_commands(&fleet);
    // If the signal handler cannot be installed, this returns at once and the demo ends.
    let _ = tokio::signal::ctrl_c().await;
    ExitCode::SUCCESS
}

/// Makes a streamed model call and a non-repeatable service call.
///
/// The service call is sent without a ticket, with the ticket, and with the same ticket through another VM.
/// Returns whether the stream was complete and the service executed the call exactly once.
async fn make_example_calls(fleet: &LocalFleet) -> Result<bool, jujubedoor_http::FetchError> {
    let chat = Call::chat("schools", MODEL, "opening-day", "Summarise capsule 17");
    let streamed = chat.send(fleet.entry_addr(0)).await?;
    println!("streamed model call: status {}, whole {}", streamed.status, streamed.is_complete_stream());
    println!("{}\n", streamed.streamed_text());

    let seal = Call::service("schools", SERVICE, "POST", "/seal/17", "sealed by the archive");
    let rejected = seal.send(fleet.entry_addr(1)).await?;
    print_outcome("seal without a ticket", &rejected);
    let with_ticket = seal.with_header("x-jujubedoor-ticket", rejected.ticket());
    let sealed = with_ticket.send(fleet.entry_addr(2)).await?;
    print_outcome("seal with the ticket", &sealed);
    let repeated = with_ticket.send(fleet.entry_addr(0)).await?;
    print_outcome("the same again, through another VM", &repeated);

    let executions: usize = fleet.services.iter().map(|service| service.history().len()).sum();
    println!("the registry ran {executions} action(s)");
    let all_complete =
        streamed.is_complete_stream() && sealed.outcome() == "done" && repeated.body == sealed.body;
    Ok(all_complete && executions == 1)
}

fn print_outcome(label: &str, response: &CallResponse) {
    println!("{label}: status {}, outcome {}", response.status, response.outcome());
    println!("{}\n", response.text().trim_end());
}

/// Prints `curl` commands to try the fleet with.
fn print_commands(fleet: &LocalFleet) {
    let (first, second) = (fleet.entry_addr(0), fleet.entry_addr(1));
    println!("A fleet of {} VMs is ready. A streamed model call:\n", fleet.daemons.len());
    println!(
        "curl -N http://{first}/v1/chat/completions -H 'x-workspace: schools' -H 'x-chat-id: opening-day' \
         -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Summarise\"}}]}}'\n"
    );
    println!(
        "A call that may run at most once; send it again with the ticket that the first answer names:\n"
    );
    println!(
        "curl -i -X POST http://{second}/services/{SERVICE}/seal/17 -H 'x-workspace: schools' -d 'sealed'\n"
    );
    println!("The status of a VM:\n");
    let token = jujubedoor_node::admin::token(FLEET_KEY);
    println!("curl http://{}/v1/status -H 'authorization: Bearer {token}'\n", fleet.daemons[0].admin_addr);
    println!("The platform's stand-in listens on {}. Interrupt to stop.", fleet.platform.address());
}
