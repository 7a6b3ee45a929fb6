//! Stand-ins for the scripts in `review/`: the platform's store, workers, requesters, and one scenario a case.
//!
//! `stand-ins worker ...` is a worker process. `stand-ins case N DIR` plays a case, writes `DIR/record.txt` and exits
//! with 1 if the rule was broken, 0 if it held and 2 if the case could not run. Only the standard library is used.

mod cases;
mod http;
mod platform;
mod worker;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let code = match args.first().map(String::as_str) {
        Some("worker") => worker::run(&args[1..]),
        Some("case") => cases::run(&args[1], &args[2]),
        _ => {
            eprintln!("usage: stand-ins worker ... | case N DIR");
            2
        }
    };
    std::process::exit(code);
}
