//! Which documents this VM has read, by which it recognizes those that were published after a restore of the store.
//!
//! After a restore from an older copy, the store gives out the numbers after the copy again, and does not say where the
//! copy ends. A document counts as published in the new epoch only if that is certain: its number is higher than one up
//! to which the store was read in that epoch, or this VM has read all documents around its number in all epochs, and
//! this was not among them. All other documents may belong to the copy and get the lowest epoch, so that they replace
//! nothing that is known of a later one, on any VM. An equal text that is listed under a lower number changes nothing.

use std::collections::BTreeSet;

use crate::documents::PublishedDocument;
use crate::event::PlatformResponse;
use crate::ids::Revision;
use crate::ids::StoreRevision;
use crate::rendezvous;

/// Maximum number of documents that are remembered. Documents with lower numbers count as not read.
const MAX_REMEMBERED: usize = 4_096;

/// The documents that this VM has read from the store.
#[derive(Clone, Debug)]
pub struct DocumentHistory {
    /// Revision up to which the store was read.
    read_to: Option<StoreRevision>,
    /// Number after which no document is missing, in any epoch.
    complete_after: u64,
    /// Number up to which no document is missing, in any epoch before the current one.
    complete_to: u64,
    /// Numbers and hashes of the documents, of all epochs.
    read: BTreeSet<(u64, u64)>,
}

impl Default for DocumentHistory {
    fn default() -> Self {
        Self { read_to: None, complete_after: 0, complete_to: u64::MAX, read: BTreeSet::new() }
    }
}

impl DocumentHistory {
    /// Records a response of the store, and gives its documents the epochs in which they were certainly published.
    pub fn label(&mut self, response: &PlatformResponse) -> Vec<PublishedDocument> {
        let at = response.at;
        let first_new = self.first_new(response);
        if response.is_complete {
            self.complete_after = self.complete_after.max(at.number);
        }
        self.read_to = Some(at);
        for document in &response.documents {
            self.read.insert(entry(document));
        }
        while self.read.len() > MAX_REMEMBERED
            && let Some((number, _)) = self.read.pop_first()
        {
            self.complete_after = self.complete_after.max(number);
        }
        let label = |document: &PublishedDocument| {
            let number = document.revision.number();
            let epoch = if number >= first_new { at.epoch } else { 0 };
            PublishedDocument { revision: Revision::in_epoch(epoch, number), ..document.clone() }
        };
        response.documents.iter().map(label).collect()
    }

    /// Returns the lowest number that certainly was given out in the epoch of a response.
    fn first_new(&mut self, response: &PlatformResponse) -> u64 {
        let at = response.at;
        let after_read = at.number.saturating_add(1);
        match self.read_to {
            Some(known) if known.epoch == at.epoch => known.number.saturating_add(1),
            Some(known) if known.epoch + 1 == at.epoch => {
                self.complete_to = self.complete_to.min(known.number);
                let unread = response.documents.iter().filter(|d| self.is_unread(d));
                unread.map(|d| d.revision.number()).min().map_or(after_read, |first| first.min(after_read))
            }
            // The documents of the epochs in between are not known.
            Some(_) => {
                self.complete_after = u64::MAX;
                after_read
            }
            None => {
                if at.epoch > 0 {
                    self.complete_after = u64::MAX;
                }
                after_read
            }
        }
    }

    /// Returns whether a document is certainly none of the earlier epochs.
    fn is_unread(&self, document: &PublishedDocument) -> bool {
        let number = document.revision.number();
        self.complete_after < number && number <= self.complete_to && !self.read.contains(&entry(document))
    }
}

fn entry(document: &PublishedDocument) -> (u64, u64) {
    let hash = rendezvous::score(rendezvous::key_of(&document.team), &document.text);
    (document.revision.number(), hash)
}
