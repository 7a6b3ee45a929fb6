//! Prompt parts that are blocked because they crash engines.
//!
//! Requests with a blocked part, or with all parts of a blocked combination, are rejected. Since engines may stop
//! crashing on it, a block ends after a pause: the VMs may then send requests with the part again, one VM after the
//! other. If one crashes an engine, the part is blocked again for a longer time; if one survives, the block is
//! lifted.
//!
//! All VMs keep all blocks and repeat them to each other, so that a VM that starts or returns has them at once.

use std::collections::BTreeMap;

use jujubedoor::ids::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::call::Part;

/// Duration of the first block, in milliseconds.
const INITIAL_PAUSE_MS: u64 = 60_000;

/// Maximum duration of a block, in milliseconds.
const MAX_PAUSE_MS: u64 = 3_600_000;

/// Factor by which a block is longer than the one before.
const PAUSE_FACTOR: u64 = 4;

/// Time after the end of a block for which it is remembered, in milliseconds.
const MEMORY_MS: u64 = 600_000;

/// Maximum number of blocks; further parts are not blocked.
const MAX_BLOCKS: usize = 256;

/// Maximum epoch that is accepted from another VM.
const MAX_EPOCH: u32 = 1 << 16;

/// Keys of parts that are blocked together, in ascending order; mostly a single one.
pub type Combination = Vec<u64>;

/// The blocks that this VM knows.
#[derive(Clone, Debug, Default)]
pub struct PartBlocks {
    blocks: BTreeMap<Combination, Block>,
}

#[derive(Clone, Copy, Debug)]
struct Block {
    epoch: u32,
    is_blocked: bool,
    ends_at: Time,
    pause_ms: u64,
}

/// The block of some parts, as reported to other VMs. Of two reports, the one with the higher epoch is newer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BlockReport {
    /// The parts.
    pub parts: Combination,
    /// Number of times that the parts were blocked and that a block was lifted.
    pub epoch: u32,
    /// Whether the parts are blocked, or the block was lifted.
    pub is_blocked: bool,
    /// Time until the block ends, in milliseconds.
    pub remaining_ms: u64,
    /// Duration of the whole block, in milliseconds.
    pub pause_ms: u64,
}

impl PartBlocks {
    /// Blocks some parts, or blocks them again.
    pub fn block(&mut self, parts: &[u64], now: Time) {
        let previous = self.blocks.get(parts);
        if self.blocks.len() >= MAX_BLOCKS && previous.is_none() {
            return;
        }
        let pause_ms = previous.map_or(INITIAL_PAUSE_MS, |b| (b.pause_ms * PAUSE_FACTOR).min(MAX_PAUSE_MS));
        let epoch = previous.map_or(0, |b| b.epoch).saturating_add(1);
        self.blocks.insert(
            parts.to_vec(),
            Block { epoch, is_blocked: true, ends_at: now.after(pause_ms), pause_ms },
        );
    }

    /// Lifts the block of some parts. Returns whether there was one.
    pub fn lift(&mut self, parts: &[u64]) -> bool {
        let Some(block) = self.blocks.get_mut(parts).filter(|b| b.is_blocked) else { return false };
        block.epoch = block.epoch.saturating_add(1);
        block.is_blocked = false;
        true
    }

    /// Returns the blocks that apply to a request with some shared parts, with the times at which they end or
    /// have ended.
    pub fn applying_to(&self, shared: &[Part]) -> impl Iterator<Item = (&Combination, Time)> {
        let holds_all = |parts: &Combination| parts.iter().all(|key| shared.iter().any(|p| p.key == *key));
        let applying = self.blocks.iter().filter(move |(parts, block)| block.is_blocked && holds_all(parts));
        applying.map(|(parts, block)| (parts, block.ends_at))
    }

    /// Returns whether no part is blocked.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the blocked combinations with the times at which the blocks end. Those that have ended and were
    /// not lifted are included.
    pub fn list(&self) -> Vec<(Combination, Time)> {
        let blocked = self.blocks.iter().filter(|(_, block)| block.is_blocked);
        blocked.map(|(parts, block)| (parts.clone(), block.ends_at)).collect()
    }

    /// Applies a report of another VM. Returns whether it is newer than what was known.
    pub fn apply(&mut self, report: &BlockReport, now: Time) -> bool {
        let known = self.blocks.get(&report.parts).map(|b| b.epoch);
        let is_full = known.is_none() && self.blocks.len() >= MAX_BLOCKS;
        // A combination of no parts would apply to every request.
        if is_full
            || report.parts.is_empty()
            || report.epoch > MAX_EPOCH
            || known.is_some_and(|epoch| epoch >= report.epoch)
        {
            return false;
        }
        let pause_ms = report.pause_ms.min(MAX_PAUSE_MS);
        let block = Block {
            epoch: report.epoch,
            is_blocked: report.is_blocked,
            ends_at: now.after(report.remaining_ms.min(pause_ms)),
            pause_ms,
        };
        self.blocks.insert(report.parts.clone(), block);
        true
    }

    /// Returns reports of at most `max` blocks. Consecutive numbers of a `turn` cover all blocks.
    pub fn reports(&self, turn: u64, max: usize, now: Time) -> Vec<BlockReport> {
        let count = self.blocks.len();
        let turns = count.div_ceil(max.max(1)).max(1);
        let skipped = usize::try_from(turn % turns as u64).unwrap_or_default() * max;
        let to_report = |(parts, block): (&Combination, &Block)| BlockReport {
            parts: parts.clone(),
            epoch: block.epoch,
            is_blocked: block.is_blocked,
            remaining_ms: block.ends_at.since(now),
            pause_ms: block.pause_ms,
        };
        self.blocks.iter().skip(skipped).take(max).map(to_report).collect()
    }

    /// Forgets blocks that ended long ago.
    pub fn remove_expired(&mut self, now: Time) {
        self.blocks.retain(|_, b| now.since(b.ends_at) < MEMORY_MS);
    }
}
