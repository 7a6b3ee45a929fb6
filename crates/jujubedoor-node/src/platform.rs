//! Watches the platform's store for changes of the documents and the VM list.
//!
//! There is one long-polling call at a time. After a failure it is retried with exponential backoff and
//! jitter.

use std::net::SocketAddr;
use std::time::Duration;

use jujubedoor::Event;
use jujubedoor::State;
use jujubedoor::documents::PublishedDocument;
use jujubedoor::event::PlatformResponse;
use jujubedoor::fleet::VmEntry;
use jujubedoor::fleet::VmList;
use jujubedoor::ids::Revision;
use jujubedoor::ids::StoreRevision;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use jujubedoor_store::ALL_KEYS;
use jujubedoor_store::Item;
use jujubedoor_store::StoreClient;
use jujubedoor_store::StoreError;
use rand::Rng;

use crate::core::Handle;

/// Time for which a long-polling call waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Maximum response time of a call, in addition to its wait for a change.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum delay of the first retry after a failed call.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Upper limit of the retry delay, which doubles with each failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Interval at which a VM checks whether other VMs still confirm its view of the fleet.
///
/// The check runs during a long-polling call, because such a call confirms the view only when it returns.
const STALE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum delay before the next call after a response, so that not all VMs call at the same moment.
const MAX_CALL_DELAY: Duration = Duration::from_millis(200);

/// Key prefix of the teams' documents; each team has one item.
pub const DOCUMENTS_PREFIX: &str = "documents/";

/// Key of the item with the VM list.
pub const VMS_KEY: &str = "vms";

/// Watches the platform and sends changes to the reducer, for as long as the daemon runs.
pub async fn watch(handle: Handle) {
    let store = StoreClient::new(handle.settings.platform);
    let mut last_revision = None;
    let mut retry_delay = INITIAL_RETRY_DELAY;
    let mut wait = Duration::ZERO;
    loop {
        let requested_at = handle.clock.now();
        handle.metrics.record_platform_call();
        let result = tokio::select! {
            result = fetch_changes(&store, last_revision, wait) => result,
            // No other VM confirms the view, so it has to be confirmed by a call that returns at once.
            () = confirmation_needed(&handle), if !wait.is_zero() => {
                wait = Duration::ZERO;
                continue;
            }
        };
        match result {
            Ok((items, at)) => {
                let is_complete = last_revision.replace(at).is_none();
                retry_delay = INITIAL_RETRY_DELAY;
                handle.submit(Event::PlatformResponded(decode(requested_at, at, is_complete, &items)));
                wait = WATCH_WAIT;
                sleep_with_jitter(MAX_CALL_DELAY).await;
            }
            Err(StoreError::Compacted | StoreError::Restored(_)) => last_revision = None,
            Err(e) => {
                log::warn!("platform call failed: {e}");
                wait = Duration::ZERO;
                sleep_with_jitter(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Reads all items, or only the changes after the last revision if there is one.
async fn fetch_changes(
    store: &StoreClient,
    last_revision: Option<StoreRevision>,
    wait: Duration,
) -> Result<(Vec<Item>, StoreRevision), StoreError> {
    let Some(after) = last_revision else {
        let snapshot = store.fetch_all(ALL_KEYS, RESPONSE_TIMEOUT).await?;
        return Ok((snapshot.items, snapshot.revision));
    };
    let changes = store.watch(ALL_KEYS, after, wait, RESPONSE_TIMEOUT).await?;
    Ok((changes.events, changes.revision))
}

/// Decodes the changed items. An item that cannot be decoded is logged and ignored.
fn decode(requested_at: Time, at: StoreRevision, is_complete: bool, items: &[Item]) -> PlatformResponse {
    let documents = items.iter().filter_map(decode_document).collect();
    // If there are several versions, the last one is used.
    let vms = items.iter().filter(|item| item.key == VMS_KEY).filter_map(decode_vm_list).next_back();
    PlatformResponse { requested_at, at, is_complete, documents, vms }
}

fn decode_document(item: &Item) -> Option<PublishedDocument> {
    let team = Name::from(item.key.strip_prefix(DOCUMENTS_PREFIX)?);
    let Some(text) = item.bytes().and_then(|bytes| String::from_utf8(bytes).ok()) else {
        log::warn!(
            "document of {team} at revision {} is not valid base64-encoded UTF-8; ignored",
            item.revision
        );
        return None;
    };
    if item.removed {
        log::warn!(
            "document of {team} was removed at revision {}; the last version stays in force",
            item.revision
        );
        return None;
    }
    Some(PublishedDocument { team, revision: Revision(item.revision), text: text.into() })
}

fn decode_vm_list(item: &Item) -> Option<VmList> {
    let vms = item.bytes().and_then(|bytes| serde_json::from_slice(&bytes).ok());
    if vms.is_none() {
        log::warn!("cannot decode the VM list at revision {}; ignored", item.revision);
    }
    Some(VmList { revision: Revision(item.revision), vms: vms? })
}

/// Fetches the VM list from the platform at an address; the result is empty if the platform has none.
pub async fn fetch_vms(address: SocketAddr) -> Result<Vec<VmEntry>, StoreError> {
    let snapshot = StoreClient::new(address).fetch_all(VMS_KEY, RESPONSE_TIMEOUT).await?;
    let list = snapshot.items.iter().filter(|item| item.key == VMS_KEY).find_map(decode_vm_list);
    Ok(list.map(|list| list.vms).unwrap_or_default())
}

/// Waits until the view of the fleet is about to become stale.
async fn confirmation_needed(handle: &Handle) {
    loop {
        tokio::time::sleep(STALE_CHECK_INTERVAL).await;
        if handle.query(State::needs_confirmation).await != Some(false) {
            return;
        }
    }
}

/// Sleeps for a random time between half of a duration and all of it.
async fn sleep_with_jitter(max_delay: Duration) {
    let factor = rand::rng().random_range(0.5..=1.0);
    tokio::time::sleep(max_delay.mul_f64(factor)).await;
}
