//! Rate limits that upstreams name in their responses.
//!
//! An upstream in need names the requests a second that it takes from all VMs together, in each response for as
//! long as the limit holds.

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::state::State;

/// A rate limit that an upstream named.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second from all VMs together.
    pub per_s: f64,
    /// Time of the last response that named it.
    pub named_at: Time,
}

/// Records the rate limit that a response of an upstream names, or that it names none.
pub fn record_named(state: &mut State, id: &Name, per_s: Option<f64>) {
    let now = state.now;
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    let before = upstream.rate_limit.map(|limit| limit.per_s);
    upstream.rate_limit = per_s.map(|per_s| RateLimit { per_s, named_at: now });
    if before != per_s {
        let text = |limit: Option<f64>| limit.map_or_else(|| "none".to_owned(), |l| format!("{l:.2}"));
        let inputs = vec![
            ("upstream", id.to_string()),
            ("per_s", text(per_s)),
            ("before", text(before)),
            ("running", upstream.running.to_string()),
        ];
        state.log(None, "rate_limit_named", inputs);
    }
}
