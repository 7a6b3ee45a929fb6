//! Watches the platform: one waiting call at a time, backed off and jittered when it fails.

use std::net::SocketAddr;
use std::time::Duration;

use jujubedoor::Event;
use jujubedoor::State;
use jujubedoor::documents::Published;
use jujubedoor::event::PlatformAnswer;
use jujubedoor::fleet::VmEntry;
use jujubedoor::fleet::VmList;
use jujubedoor::ids::Revision;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use jujubedoor_store::ALL_KEYS;
use jujubedoor_store::Item;
use jujubedoor_store::StoreClient;
use jujubedoor_store::StoreError;
use rand::Rng;

use crate::core::Handle;

/// How long a call waits for a change.
const WAIT: Duration = Duration::from_secs(20);

/// How much longer than its wait a call may take.
const GRACE: Duration = Duration::from_secs(5);

/// The first pause after a failed call.
const PAUSE_LEAST: Duration = Duration::from_millis(250);

/// The longest pause after a failed call.
const PAUSE_MOST: Duration = Duration::from_secs(8);

/// The period at which a waiting call looks whether the view is still confirmed by others.
const STALE_CHECK: Duration = Duration::from_millis(250);

/// The longest pause after a change, so that all VMs do not ask at the same moment.
const SPREAD: Duration = Duration::from_millis(200);

/// Below this lies one item for each team's document.
pub const DOCUMENTS_PREFIX: &str = "documents/";

/// The item with the list of VMs.
pub const VMS_KEY: &str = "vms";

/// Watches the platform for as long as the daemon runs.
pub async fn watch(handle: Handle) {
    let store = StoreClient::new(handle.settings.platform);
    let mut known = None;
    let mut pause = PAUSE_LEAST;
    let mut wait = Duration::ZERO;
    loop {
        let asked_at = handle.clock.now();
        handle.metrics.record_platform_call();
        let answered = tokio::select! {
            answered = ask(&store, known, wait) => answered,
            // Nobody else confirms the view: a call that does not wait has to.
            () = unconfirmed(&handle), if !wait.is_zero() => {
                wait = Duration::ZERO;
                continue;
            }
        };
        match answered {
            Ok((items, at)) => {
                known = Some(at);
                pause = PAUSE_LEAST;
                handle.submit(Event::PlatformAnswered(decode(asked_at, &items)));
                wait = WAIT;
                sleep_up_to(SPREAD).await;
            }
            Err(StoreError::Compacted) => known = None,
            Err(e) => {
                log::warn!("the platform did not answer: {e}");
                wait = Duration::ZERO;
                sleep_up_to(pause).await;
                pause = (pause * 2).min(PAUSE_MOST);
            }
        }
    }
}

/// Reads all, or what changed after a revision that is known.
async fn ask(
    store: &StoreClient,
    known: Option<u64>,
    wait: Duration,
) -> Result<(Vec<Item>, u64), StoreError> {
    let Some(after) = known else { return store.fetch_all(ALL_KEYS, GRACE).await };
    let changes = store.watch(ALL_KEYS, after, wait, GRACE).await?;
    Ok((changes.events, changes.current_revision))
}

/// Decodes what changed; what cannot be read is reported in the log and changes nothing.
fn decode(asked_at: Time, items: &[Item]) -> PlatformAnswer {
    let documents = items.iter().filter_map(document).collect();
    // Of several versions the last one counts.
    let vms = items.iter().filter(|item| item.key == VMS_KEY).filter_map(vm_list).next_back();
    PlatformAnswer { asked_at, documents, vms }
}

fn document(item: &Item) -> Option<Published> {
    let team = Name::from(item.key.strip_prefix(DOCUMENTS_PREFIX)?);
    let Some(text) = item.bytes().and_then(|bytes| String::from_utf8(bytes).ok()) else {
        log::warn!("the document of {team} at revision {} is not text", item.revision);
        return None;
    };
    if item.removed {
        log::warn!("the document of {team} was removed at revision {}; it stays in force", item.revision);
        return None;
    }
    Some(Published { team, revision: Revision(item.revision), text: text.into() })
}

fn vm_list(item: &Item) -> Option<VmList> {
    let vms = item.bytes().and_then(|bytes| serde_json::from_slice(&bytes).ok());
    if vms.is_none() {
        log::warn!("the list of VMs at revision {} cannot be read", item.revision);
    }
    Some(VmList { revision: Revision(item.revision), vms: vms? })
}

/// Reads the list of VMs from the platform at an address; without one, no VM is listed.
pub async fn fetch_vms(address: SocketAddr) -> Result<Vec<VmEntry>, StoreError> {
    let (items, _) = StoreClient::new(address).fetch_all(VMS_KEY, GRACE).await?;
    let list = items.iter().filter(|item| item.key == VMS_KEY).find_map(vm_list);
    Ok(list.map(|list| list.vms).unwrap_or_default())
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

async fn sleep_up_to(most: Duration) {
    let share = rand::rng().random_range(0.5..=1.0);
    tokio::time::sleep(most.mul_f64(share)).await;
}
