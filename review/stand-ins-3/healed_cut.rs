//! Two engines of eight are cut off for a while, and crash some seconds after the cut has healed. All engines have run the same
//! software all the time. Requesters take up again the streams that broke off.

use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::resumption;

const ENGINES: usize = 8;

/// Number of engines that are cut off.
const CUT: usize = 2;

/// Length of the cut.
const CUT_FOR: Duration = Duration::from_millis(2_000);

/// Time from the beginning of the cut until the last streams begin.
const STREAMS_FOR: Duration = Duration::from_millis(4_500);

/// Time from the beginning of the cut to the crash. All machines are in touch by then, even if the cut of engines counted as
/// one of theirs: it has ended `contactMs` before.
const CRASH_AT: Duration = Duration::from_millis(5_200);

/// Pause between two streams that one machine is asked for.
const STREAM_PAUSE: Duration = Duration::from_millis(70);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let fleet = match Fleet::start(record, "healed-cut", ENGINES, 160, None) {
        Ok(fleet) => fleet,
        Err(why) => return Verdict::CannotRun(why),
    };
    let (away, _) = fleet.engines.split_at(CUT);
    let begun_at = Instant::now();
    let mut waiting = Vec::new();
    if trouble {
        waiting = away.iter().map(|engine| (engine, engine.fall_silent())).collect();
    }
    let mut requesters = Vec::new();
    let mut count = 0;
    while begun_at.elapsed() < STREAMS_FOR {
        if begun_at.elapsed() >= CUT_FOR {
            for (engine, connections) in waiting.drain(..) {
                engine.heal(connections);
            }
        }
        requesters.extend(resumption::begin_streams(&fleet, &format!("{count}")));
        count += 1;
        std::thread::sleep(STREAM_PAUSE);
    }
    std::thread::sleep(CRASH_AT.saturating_sub(begun_at.elapsed()));
    if trouble {
        for engine in away {
            engine.crash();
        }
    }
    resumption::judge(&fleet, requesters, trouble, record)
}
