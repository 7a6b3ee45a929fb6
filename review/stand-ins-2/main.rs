//! Stand-ins for the cases 6 and later of this review, and the cases themselves.
//!
//! One program without dependencies: `worker` is a model worker in a process of its own; all other commands are cases,
//! which play the store and the requesters and start the workers and the nodes.

mod cases;
mod http;
mod nodes;
mod record;
mod requester;
mod store;
mod worker;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let code = match args.first().map(String::as_str) {
        Some("worker") => worker::run(&args[1..]),
        Some(case) if args.len() == 2 => cases::run(case, &args[1]),
        _ => {
            eprintln!("usage: stand-ins worker ... | CASE RECORD");
            2
        }
    };
    std::process::exit(code);
}
