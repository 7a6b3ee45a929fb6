//! Engines lose power in turn, come back with newer software under their ids, and crash soon after. Each is replaced then.

use std::time::Duration;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::record::Record;

const ENGINES: usize = 6;

/// Number of engines that lose power, one after the other.
const ROUNDS: usize = 3;

/// Number of streams that requesters ask each machine for in a round.
const STREAMS: usize = 20;

/// Time for which an engine has no power.
const DARK: Duration = Duration::from_millis(1_000);

/// Time from the start of an engine until it writes its entry.
const ENTRY_LAG: Duration = Duration::from_millis(800);

/// Time from the entry of an engine to its crash.
const CRASH_AFTER: Duration = Duration::from_millis(900);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let fleet = match Fleet::start(record, "silent-engine", ENGINES, 80, None) {
        Ok(fleet) => fleet,
        Err(why) => return Verdict::CannotRun(why),
    };
    let mut replacements = Vec::new();
    for (round, engine) in fleet.engines.iter().enumerate().take(ROUNDS) {
        if trouble {
            let waiting = engine.fall_silent();
            std::thread::sleep(DARK);
            engine.start_again("v2", waiting);
        }
        std::thread::sleep(Duration::from_millis(50));
        let requesters = fleet.begin_streams(&format!("{round}"), STREAMS);
        if trouble {
            std::thread::sleep(ENTRY_LAG - Duration::from_millis(50));
            engine.register("ready");
            std::thread::sleep(CRASH_AFTER);
            engine.crash();
        }
        fleet.collect(requesters);
        if trouble {
            replacements.push(fleet.start_engine(ENGINES + round, "v2"));
            // The entry of the engine that has crashed runs out.
            std::thread::sleep(Duration::from_secs(3));
            engine.leave();
        }
        std::thread::sleep(Duration::from_secs(3));
    }
    fleet.judge()
}
