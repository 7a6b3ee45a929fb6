//! Stand-ins of the third review: a store, engines, plain servers, requesters and the process under test, with one
//! module for each case. They use nothing but the standard library and the C library that it is linked to.
//!
//! `stand-ins-3 CASE RECORD` runs a case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. The environment variable `TROUBLE=0` leaves the disruption out.

mod client;
mod cut_engine;
mod fleet;
mod healed_cut;
mod http;
mod idle_engine;
mod link;
mod record;
mod resumption;
mod server;
mod silent_engine;
mod socket;
mod store;
mod unframed;
mod vm;

use std::process::ExitCode;

use record::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    CannotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    if let [_, role, address, id] = args.as_slice()
        && role == "unframed-worker"
    {
        return unframed::serve(address, id);
    }
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: stand-ins-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{path}: {e}");
            return ExitCode::from(2);
        }
    };
    let verdict = match case.as_str() {
        "cut-engine" => cut_engine::run(&record, trouble),
        "healed-cut" => healed_cut::run(&record, trouble),
        "idle-engine" => idle_engine::run(&record, trouble),
        "silent-engine" => silent_engine::run(&record, trouble),
        "unframed" => unframed::run(&record, trouble),
        _ => Verdict::CannotRun(format!("unknown case {case}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken(why) => (format!("the rule was broken: {why}"), 1),
        Verdict::CannotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
