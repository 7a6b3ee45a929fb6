//! Watches the platform: one waiting call at a time, backed off and jittered when it fails.

use std::time::Duration;

use jujubedoor::Event;
use jujubedoor::State;
use jujubedoor::documents::Published;
use jujubedoor::event::PlatformAnswer;
use jujubedoor::fleet::VmList;
use jujubedoor_http::FetchError;
use jujubedoor_http::client;
use rand::Rng;
use serde::Deserialize;

use crate::core::Handle;

/// How long a call waits for a change.
const WAIT: Duration = Duration::from_secs(20);

/// How much longer than its wait a call may take.
const GRACE: Duration = Duration::from_secs(5);

/// The largest answer, in bytes.
const ANSWER_BYTES: usize = 64 << 20;

/// The first pause after a failed call.
const PAUSE_LEAST: Duration = Duration::from_millis(250);

/// The longest pause after a failed call.
const PAUSE_MOST: Duration = Duration::from_secs(8);

/// The period at which a waiting call looks whether the view is still confirmed by others.
const STALE_CHECK: Duration = Duration::from_millis(250);

/// The longest pause after a change, so that all VMs do not ask at the same moment.
const SPREAD: Duration = Duration::from_millis(200);

/// What the platform answers.
#[derive(Debug, Default, Deserialize)]
struct Changes {
    change: u64,
    #[serde(default)]
    documents: Vec<Published>,
    vms: Option<VmList>,
}

/// Watches the platform for as long as the daemon runs.
pub async fn watch(handle: Handle) {
    let mut after = 0;
    let mut pause = PAUSE_LEAST;
    let mut wait = Duration::ZERO;
    loop {
        let asked_at = handle.clock.now();
        let answered = tokio::select! {
            answered = ask(&handle, after, wait) => answered,
            // Nobody else confirms the view: a call that does not wait has to.
            () = unconfirmed(&handle), if !wait.is_zero() => {
                wait = Duration::ZERO;
                continue;
            }
        };
        match answered {
            Ok(changes) => {
                after = changes.change;
                pause = PAUSE_LEAST;
                let answer = PlatformAnswer { asked_at, documents: changes.documents, vms: changes.vms };
                handle.submit(Event::PlatformAnswered(answer));
                wait = WAIT;
                sleep_up_to(SPREAD).await;
            }
            Err(e) => {
                log::warn!("the platform did not answer: {e}");
                wait = Duration::ZERO;
                sleep_up_to(pause).await;
                pause = (pause * 2).min(PAUSE_MOST);
            }
        }
    }
}

/// Waits until the view of the fleet will go stale soon.
async fn unconfirmed(handle: &Handle) {
    loop {
        tokio::time::sleep(STALE_CHECK).await;
        if handle.query(State::needs_confirmation).await != Some(false) {
            return;
        }
    }
}

async fn ask(handle: &Handle, after: u64, wait: Duration) -> Result<Changes, FetchError> {
    handle.metrics.note_platform_call();
    let address = handle.settings.platform;
    let path = format!("/v1/changes?after={after}&wait_ms={}", wait.as_millis());
    client::fetch_json(address, &path, ANSWER_BYTES, wait + GRACE).await
}

async fn sleep_up_to(most: Duration) {
    let share = rand::rng().random_range(0.5..=1.0);
    tokio::time::sleep(most.mul_f64(share)).await;
}
