//! `jujubedoor check`: checks a service document or the settings of a VM with the same rules as a VM.

use std::path::Path;
use std::process::ExitCode;

use jujubedoor_config::ConfigError;
use jujubedoor_config::edge;

/// Checks a service document. Prints all mistakes with their positions.
pub fn document(path: &Path) -> ExitCode {
    check(path, |text| {
        let document = jujubedoor_config::document::parse(text)?;
        let (pools, upstreams) = (document.pools.len(), document.upstreams.len());
        Ok(format!("{pools} models and services, {upstreams} upstreams"))
    })
}

/// Checks the settings of a VM that uses a registry. Prints all mistakes with their positions.
pub fn settings(path: &Path) -> ExitCode {
    check(path, |text| {
        let settings = edge::parse(text)?;
        Ok(format!("VM {} in failure domain {}", settings.vm, settings.domain))
    })
}

fn check<F>(path: &Path, parse: F) -> ExitCode
where
    F: FnOnce(&str) -> Result<String, ConfigError>,
{
    let name = path.display();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("{name}: {e}");
            return ExitCode::FAILURE;
        }
    };
    match parse(&text) {
        Ok(summary) => {
            println!("{name}: no mistakes; {summary}");
            ExitCode::SUCCESS
        }
        Err(config_error) => {
            for diagnostic in config_error.0 {
                println!("{name}:{diagnostic}");
            }
            ExitCode::FAILURE
        }
    }
}
