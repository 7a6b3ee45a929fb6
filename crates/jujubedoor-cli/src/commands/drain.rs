//! `jujubedoor drain`: makes one VM leave the fleet.

use crate::operator::Operator;
use crate::operator::OperatorError;

/// Requests a VM to leave the fleet gracefully.
pub async fn run(operator: &Operator, name: &str) -> Result<(), OperatorError> {
    let vms = operator.list_vms().await?;
    let Some(vm) = vms.iter().find(|vm| vm.name.as_str() == name) else {
        let listed_names: Vec<_> = vms.iter().map(|vm| vm.name.as_str()).collect();
        println!("the platform lists no VM `{name}`; it lists {}", listed_names.join(", "));
        return Ok(());
    };
    let response: String = operator.send_request("POST", vm.admin_address, "/v1/drain").await?;
    println!("{name}: {response}");
    Ok(())
}
