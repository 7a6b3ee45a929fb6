//! `jujubedoor drain`: lets one VM leave.

use crate::operator::AskError;
use crate::operator::Operator;

/// Asks a VM to leave.
pub async fn run(operator: &Operator, name: &str) -> Result<(), AskError> {
    let vms = operator.vms().await?;
    let Some(vm) = vms.iter().find(|vm| vm.name.as_str() == name) else {
        let known: Vec<_> = vms.iter().map(|vm| vm.name.as_str()).collect();
        println!("the platform lists no VM `{name}`; it lists {}", known.join(", "));
        return Ok(());
    };
    let answer: String = operator.ask("POST", vm.admin_address, "/v1/drain").await?;
    println!("{name}: {answer}");
    Ok(())
}
