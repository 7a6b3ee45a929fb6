//! `jujubedoor explain`: shows which upstreams a chat is sent to and which VM owns each of them.

use std::net::SocketAddr;

use jujubedoor_node::admin::Explanation;

use crate::operator::Operator;
use crate::operator::OperatorError;

/// The chat whose placement is explained.
#[derive(clap::Args, Clone, Debug)]
pub struct ExplainOptions {
    /// The workspace of the caller.
    #[arg(long)]
    pub workspace: String,
    /// The model or service.
    #[arg(long)]
    pub model: String,
    /// The chat's id.
    #[arg(long)]
    pub chat: String,
}

/// Prints the explanation given by a VM. By default this is the first VM that the platform lists.
pub async fn run(
    operator: &Operator,
    vm: Option<SocketAddr>,
    options: &ExplainOptions,
) -> Result<(), OperatorError> {
    let listed = if vm.is_none() { operator.list_vms().await? } else { Vec::new() };
    let Some(address) = vm.or(listed.first().map(|vm| vm.admin_address)) else {
        println!("the platform lists no VM");
        return Ok(());
    };
    let ExplainOptions { workspace, model, chat } = options;
    let path = format!("/v1/explain?workspace={workspace}&model={model}&chat={chat}");
    let explanation: Explanation = operator.send_request("GET", address, &path).await?;
    if let Some(problem) = explanation.problem {
        println!("{problem}");
        return Ok(());
    }
    println!("chat `{chat}` of {} (admission: {}):", explanation.pool, explanation.admission);
    for (index, choice) in explanation.order.iter().enumerate() {
        let owner = choice.owner.as_deref().unwrap_or("nobody");
        println!("{:>3}. {:<24} region {:<12} owner {owner}", index + 1, choice.upstream, choice.region);
    }
    Ok(())
}
