//! An engine is cut off from the store. It crashes behind the cut and starts again with newer software, still reached by the
//! machines. When the cut has healed, it crashes again.

use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::record::Record;

const ENGINES: usize = 6;

/// Number of engines that are cut off, one after the other.
const ROUNDS: usize = 3;

/// Number of streams that requesters ask each machine for in a round.
const STREAMS: usize = 20;

/// Time for which an engine's process is away when it crashes, from the beginning of the cut.
const AWAY: Duration = Duration::from_millis(200);

/// Time from the beginning of the cut until the first streams after the crash begin.
const FIRST_STREAMS: Duration = Duration::from_millis(300);

/// Time from the beginning of the cut until the other streams begin.
const STREAMS_AT: Duration = Duration::from_millis(3_500);

/// Time from the beginning of the cut, and from the engine's last ping, until its entry runs out: three ping intervals.
const LAPSE: Duration = Duration::from_millis(3_600);

/// Length of the cut.
const CUT: Duration = Duration::from_millis(5_000);

/// Time from the beginning of the cut to the second crash.
const CRASH_AT: Duration = Duration::from_millis(6_000);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let fleet = match Fleet::start(record, "cut-engine", ENGINES, 80, None) {
        Ok(fleet) => fleet,
        Err(why) => return Verdict::CannotRun(why),
    };
    let mut replacements = Vec::new();
    for (round, engine) in fleet.engines.iter().enumerate().take(ROUNDS) {
        let begun_at = Instant::now();
        let wait_until = |time: Duration| std::thread::sleep(time.saturating_sub(begun_at.elapsed()));
        if trouble {
            record.line(&format!("{} is cut off from the store", engine.id));
            engine.crash();
            wait_until(AWAY);
            engine.start_again("v2", Vec::new());
        }
        wait_until(FIRST_STREAMS);
        let mut requesters = fleet.begin_streams(&format!("{round}-first"), STREAMS / 2);
        wait_until(STREAMS_AT);
        requesters.extend(fleet.begin_streams(&format!("{round}"), STREAMS));
        if trouble {
            wait_until(LAPSE);
            engine.leave();
            wait_until(CUT);
            record.line(&format!("{} reaches the store again", engine.id));
            engine.register("ready");
            wait_until(CRASH_AT);
            engine.crash();
        }
        fleet.collect(requesters);
        if trouble {
            replacements.push(fleet.start_engine(ENGINES + round, "v2"));
            std::thread::sleep(Duration::from_secs(3));
            engine.leave();
        }
        std::thread::sleep(Duration::from_secs(3));
    }
    fleet.judge()
}
