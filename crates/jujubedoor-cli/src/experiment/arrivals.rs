//! Arrivals of calls, generated from a seed.
//!
//! The same seed gives the same calls at the same times for all policies, so that their results can be
//! compared.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Parameters of the calls that arrive at a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Mean number of calls per second.
    pub calls_per_s: f64,
    /// Number of different chats.
    pub chats: u32,
    /// Exponent by which calls concentrate on few chats. With 1 they are distributed evenly.
    pub chat_skew: f64,
    /// Exponent by which calls concentrate on few entry VMs. With 1 they are distributed evenly.
    pub entry_skew: f64,
    /// Minimum and maximum number of tokens of a response.
    pub tokens: (u64, u64),
    /// Start, end and factor of a surge, in which one workspace multiplies the total call rate by the factor.
    pub surge: Option<(Duration, Duration, f64)>,
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            calls_per_s: 80.0,
            chats: 700,
            chat_skew: 2.0,
            entry_skew: 1.0,
            tokens: (30, 100),
            surge: None,
        }
    }
}

/// A call that arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of arrival after the start.
    pub offset: Duration,
    /// Index of the entry VM.
    pub entry_vm: usize,
    /// Index of the chat.
    pub chat: u32,
    /// Whether the call belongs to the workspace that causes a surge.
    pub surging: bool,
    /// Number of tokens of the response.
    pub tokens: u64,
}

/// Generates the arrivals of a period. The times between arrivals are distributed exponentially.
pub fn generate(workload: &Workload, vms: usize, duration: Duration, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut offset = Duration::ZERO;
    loop {
        let surging = workload
            .surge
            .filter(|(from, to, _)| offset >= *from && offset < *to)
            .map(|(_, _, factor)| factor);
        let calls_per_s = workload.calls_per_s * surging.unwrap_or(1.0);
        offset += Duration::from_secs_f64(-rng.random_range(f64::EPSILON..1.0).ln() / calls_per_s);
        if offset >= duration {
            return arrivals;
        }
        let from_surge = surging.is_some_and(|factor| rng.random_bool(1.0 - 1.0 / factor));
        let chat = sample_index(&mut rng, workload.chats as usize, workload.chat_skew);
        arrivals.push(Arrival {
            offset,
            entry_vm: sample_index(&mut rng, vms, workload.entry_skew),
            chat: u32::try_from(chat).unwrap_or(0),
            surging: from_surge,
            tokens: rng.random_range(workload.tokens.0..=workload.tokens.1),
        });
    }
}

/// Draws a random index below a limit. With a higher skew low indices are more frequent.
fn sample_index(rng: &mut StdRng, limit: usize, skew: f64) -> usize {
    let share = rng.random::<f64>().powf(skew);
    #[expect(clippy::cast_precision_loss, reason = "the limits are small")]
    let scaled = share * limit as f64;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is below the limit"
    )]
    let index = scaled as usize;
    index.min(limit - 1)
}
