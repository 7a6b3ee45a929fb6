//! `jujubedoor demo`: a whole fleet with stand-ins in one process.

use std::process::ExitCode;

use super::print_error;
use crate::caller::Call;
use crate::caller::CallResponse;
use crate::local::FLEET_KEY;
use crate::local::FleetConfig;
use crate::local::LocalFleet;
use crate::local::MODEL;
use crate::local::SERVICE;

/// Starts the fleet; makes two calls and stops, or serves until it is interrupted.
pub async fn run(once: bool) -> ExitCode {
    let fleet = match LocalFleet::start(FleetConfig::default()).await {
        Ok(fleet) => fleet,
        Err(e) => return print_error(&e),
    };
    if once {
        return match call_twice(&fleet).await {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(e) => print_error(&e),
        };
    }
    print_lines(&fleet);
    // Without signals the process is ended from outside.
    let _ = tokio::signal::ctrl_c().await;
    ExitCode::SUCCESS
}

/// Makes a streamed model call and a non-repeatable call, and tells whether both were answered whole.
async fn call_twice(fleet: &LocalFleet) -> Result<bool, jujubedoor_http::FetchError> {
    let chat = Call::chat("schools", MODEL, "opening-day", "Summarise capsule 17");
    let streamed = chat.send(fleet.entry_addr(0)).await?;
    println!("streamed model call: status {}, whole {}", streamed.status, streamed.is_complete_stream());
    println!("{}\n", streamed.streamed_text());

    let seal = Call::service("schools", SERVICE, "POST", "/seal/17", "sealed by the archive");
    let refused = seal.send(fleet.entry_addr(1)).await?;
    print_outcome("seal without a ticket", &refused);
    let with_ticket = seal.with_header("x-jujubedoor-ticket", refused.ticket());
    let sealed = with_ticket.send(fleet.entry_addr(2)).await?;
    print_outcome("seal with the ticket", &sealed);
    let again = with_ticket.send(fleet.entry_addr(0)).await?;
    print_outcome("the same again, through another VM", &again);

    let runs: usize = fleet.services.iter().map(|service| service.history().len()).sum();
    println!("the registry ran {runs} action(s)");
    let answered = streamed.is_complete_stream() && sealed.outcome() == "done" && again.body == sealed.body;
    Ok(answered && runs == 1)
}

fn print_outcome(what: &str, answer: &CallResponse) {
    println!("{what}: status {}, outcome {}", answer.status, answer.outcome());
    println!("{}\n", answer.text().trim_end());
}

fn print_lines(fleet: &LocalFleet) {
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
