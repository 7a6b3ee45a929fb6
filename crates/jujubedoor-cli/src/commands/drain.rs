//! `jujubedoor drain`: lets one VM leave.

use crate::operator::Operator;
use crate::operator::OperatorError;

/// Asks a VM to leave.
pub async fn run(operator: &Operator, name: &str) -> Result<(), OperatorError> {
    let vms = operator.list_vms().await?;
    let Some(vm) = vms.iter().find(|vm| vm.name.as_str() == name) else {
        let known: Vec<_> = vms.iter().map(|vm| vm.name.as_str()).collect();
        println!("the platform lists no VM `{name}`; it lists {}", known.join(", "));
        return Ok(());
    };
    let answer: String = operator.request("POST", vm.admin_address, "/v1/drain").await?;
    println!("{name}: {answer}");
    Ok(())
}
