//! Engines close connections that have been idle for a second, as they state. One of them crashes while its streams are young.
//! Requesters take them up again.

use std::time::Duration;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::resumption;

const ENGINES: usize = 6;

/// Time after which engines close idle connections, in seconds.
const IDLE_S: u64 = 1;

/// Number of streams that requesters ask each machine for, one after the other.
const STREAMS: usize = 50;

/// Pause between two streams that one machine is asked for.
const STREAM_PAUSE: Duration = Duration::from_millis(20);

/// Time from the beginning of the last stream to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(300);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let fleet = match Fleet::start(record, "idle-engine", ENGINES, 160, Some(IDLE_S)) {
        Ok(fleet) => fleet,
        Err(why) => return Verdict::CannotRun(why),
    };
    let mut requesters = Vec::new();
    for count in 0..STREAMS {
        requesters.extend(resumption::begin_streams(&fleet, &format!("{count}")));
        std::thread::sleep(STREAM_PAUSE);
    }
    std::thread::sleep(CRASH_AFTER);
    if trouble {
        fleet.engines[0].crash();
    }
    resumption::judge(&fleet, requesters, trouble, record)
}
