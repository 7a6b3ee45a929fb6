//! The commands of the command-line tool.

pub mod check;
pub mod demo;
pub mod drain;
pub mod experiment;
pub mod explain;
pub mod status;
pub mod timeline;
pub mod trace;

use std::process::ExitCode;

use crate::operator::OperatorError;

/// Prints an error and returns the exit code for failure.
pub fn print_error(e: &dyn std::error::Error) -> ExitCode {
    eprintln!("{e}");
    ExitCode::FAILURE
}

/// Prints the error of a command, if any, and returns its exit code.
pub fn exit_code(result: Result<(), OperatorError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(OperatorError::InvalidSettings(path, config_error)) => {
            for diagnostic in config_error.0 {
                eprintln!("{path}:{diagnostic}");
            }
            ExitCode::FAILURE
        }
        Err(e) => print_error(&e),
    }
}
