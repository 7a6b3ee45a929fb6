//! Requests whose stream broke off, which the VM resumes within the same response.
//!
//! The stream goes on at the software version that began it. It waits while it is not certain which run of its upstream that
//! was, and ends if there is no evidence of it.

use jujubedoor::ids::Time;

use crate::event::Reply;
use crate::event::RequestId;
use crate::lifecycle;
use crate::placement;
use crate::placement::Scope;
use crate::rejection::RejectReason;
use crate::run_evidence;
use crate::run_evidence::Finding;
use crate::software::Software;
use crate::state::State;
use crate::stream_origins;

/// A request whose stream broke off before there was evidence of the run that began it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    request: RequestId,
    since: Time,
}

/// Retries a request. A stream that broke off waits until it is certain which version began it.
pub fn retry(state: &mut State, request: RequestId) {
    let Some(active) = state.requests.get(&request) else { return };
    let scope = Scope { run: None, ..active.scope() };
    // There is nothing to wait for if the stream cannot go on at all.
    let Some(assumption) = active.assumption.filter(|_| placement::has_untried(state, scope)) else {
        lifecycle::place(state, request);
        return;
    };
    state.resumed_streams.broken.push(Waiting { request, since: state.now });
    run_evidence::seek(state, assumption);
    settle_broken(state);
}

/// Returns whether a request whose stream broke off waits only for the registry to confirm an observation.
pub(super) fn awaits_registry(state: &State) -> bool {
    let assumption = |w: &Waiting| state.requests.get(&w.request).and_then(|active| active.assumption);
    let broken = state.resumed_streams.broken.iter();
    broken.filter_map(assumption).any(|a| run_evidence::is_unconfirmed(state, a.run))
}

/// Decides on the requests whose stream broke off.
pub fn settle_broken(state: &mut State) {
    for waiting in std::mem::take(&mut state.resumed_streams.broken) {
        let Some(active) = state.requests.get_mut(&waiting.request) else { continue };
        active.queued_from = state.now;
        let (assumption, has_expired) = (active.assumption, state.now >= active.expires());
        let finding = assumption.map_or(Finding::Certain, |a| state.finding(a, waiting.since));
        if finding == Finding::Open && !has_expired {
            state.resumed_streams.broken.push(waiting);
            continue;
        }
        let mut inputs = vec![
            ("certain", (finding == Finding::Certain).to_string()),
            ("waited_ms", state.now.since(waiting.since).to_string()),
        ];
        inputs
            .extend(assumption.into_iter().flat_map(|assumption| run_evidence::describe(state, assumption)));
        state.log(Some(waiting.request), "run_checked", inputs);
        if finding == Finding::Unknown {
            forget(state, waiting.request);
            lifecycle::fail(state, waiting.request, RejectReason::UnknownVersion, Reply::OutcomeUnknown);
        } else {
            trust(state, waiting.request);
            lifecycle::place(state, waiting.request);
        }
    }
}

/// Records that the software which a request's stream assumes is certain.
fn trust(state: &mut State, request: RequestId) {
    let Some(active) = state.requests.get_mut(&request) else { return };
    let is_news = active.assumption.take().is_some();
    let origin = active.call.stream.key.zip(active.software);
    if let Some((stream, software)) = origin.filter(|_| is_news) {
        stream_origins::record_certain(state, stream, software);
    }
}

/// Records that nobody knows the version of a request's stream.
pub fn forget(state: &mut State, request: RequestId) {
    let Some(active) = state.requests.get_mut(&request) else { return };
    active.assumption = None;
    active.software = Some(Software::UNKNOWN);
    if let Some(stream) = active.call.stream.key {
        stream_origins::record_certain(state, stream, Software::UNKNOWN);
    }
}
