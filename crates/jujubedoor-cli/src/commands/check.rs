//! `jujubedoor check`: checks a service document as a VM would.

use std::path::Path;
use std::process::ExitCode;

use jujubedoor_config::document;

/// Prints all mistakes of a document with their places.
pub fn run(path: &Path) -> ExitCode {
    let name = path.display();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("{name}: {e}");
            return ExitCode::FAILURE;
        }
    };
    match document::parse(&text) {
        Ok(document) => {
            let (pools, upstreams) = (document.pools.len(), document.upstreams.len());
            println!("{name}: no mistakes; {pools} models and services, {upstreams} upstreams");
            ExitCode::SUCCESS
        }
        Err(rejected) => {
            for diagnostic in rejected.0 {
                println!("{name}:{diagnostic}");
            }
            ExitCode::FAILURE
        }
    }
}
