//! Which ledger a member knows to be acknowledged: kept on its disk, so that its next life has something to show
//! and a rewritten file says no less than the one before.

use crate::replicated_state::ReplicatedState;
use std::collections::VecDeque;

/// Ledgers that are kept while it isn't known whether they are acknowledged, and their bytes on disk together. The
/// oldest are kept, so that the primary's next word finds one of them however many changes are open.
const MAX_LATER_LEDGERS: usize = 64;
const MAX_LATER_BYTES: usize = 8 << 20;
/// Numbers, names and brackets round a ledger's items, and its view.
const LEDGER_FRAME_BYTES: usize = 1 << 10;

/// The newest ledger that is known to be acknowledged, and those after it.
#[derive(Clone, Debug, Default)]
pub(super) struct Acknowledged {
    /// All changes up to this one are said to be acknowledged, on disk.
    index: u64,
    /// The newest ledger at hand that isn't beyond it.
    known: Option<ReplicatedState>,
    /// Whether the view in force began with it or an earlier one.
    of_this_view: bool,
    /// On this disk, and not known to be acknowledged; oldest first.
    later: VecDeque<Later>,
    later_bytes: usize,
}

/// A ledger, and the record of the change that led to it.
#[derive(Clone, Debug)]
struct Later {
    ledger: ReplicatedState,
    /// None for the ledger that a view begins with.
    record: Option<Vec<u8>>,
}

impl Later {
    fn bytes(&self) -> usize {
        ledger_bytes(&self.ledger) + self.record.as_ref().map_or(0, Vec::len)
    }
}

impl Acknowledged {
    /// What the records of an earlier life say.
    pub(super) fn recovered(known: Option<ReplicatedState>) -> Self {
        Self {
            index: known.as_ref().map_or(0, |l| l.index),
            known,
            ..Self::default()
        }
    }

    /// All changes up to this one are known to be acknowledged.
    pub(super) fn index(&self) -> u64 {
        self.index
    }

    /// The newest ledger at hand that is known to be acknowledged.
    pub(super) fn known(&self) -> Option<&ReplicatedState> {
        self.known.as_ref()
    }

    /// A view begins with this ledger, which is on this disk.
    pub(super) fn view_begins(&mut self, ledger: Option<&ReplicatedState>) {
        self.later.clear();
        self.later_bytes = 0;
        self.of_this_view = false;
        ledger.into_iter().for_each(|l| {
            self.keep(Later {
                ledger: l.clone(),
                record: None,
            });
        });
    }

    /// A change is on this disk, by this record.
    pub(super) fn kept(&mut self, ledger: &ReplicatedState, record: Vec<u8>) {
        self.keep(Later {
            ledger: ledger.clone(),
            record: Some(record),
        });
    }

    fn keep(&mut self, later: Later) {
        let bytes = later.bytes();
        let fits =
            self.later_bytes + bytes <= MAX_LATER_BYTES && self.later.len() < MAX_LATER_LEDGERS;
        if fits || self.later.is_empty() {
            self.later_bytes += bytes;
            self.later.push_back(later);
        }
    }

    /// All changes up to `index` are acknowledged; `newest` is the ledger on this disk. True where that is news.
    pub(super) fn acknowledge(&mut self, index: u64, newest: &ReplicatedState) -> bool {
        if index <= self.index && self.of_this_view {
            return false;
        }
        let news = index > self.index;
        self.index = index.max(self.index);
        while let Some(later) = self.later.pop_front_if(|l| l.ledger.index <= index) {
            self.later_bytes -= later.bytes();
            self.known = Some(later.ledger);
            self.of_this_view = true;
        }
        if newest.index == index {
            self.known = Some(newest.clone());
            self.of_this_view = true;
        }
        news
    }

    /// The records of all changes that lead from the ledger at hand to change `index`; none where one is missing.
    pub(super) fn changes_up_to(&self, index: u64) -> Option<impl Iterator<Item = &Vec<u8>>> {
        let known = self.known.as_ref().filter(|_| self.of_this_view)?;
        let last = self.later.back().map_or(known.index, |l| l.ledger.index);
        let whole = last == index && known.index + self.later.len() as u64 == index;
        let all = whole && self.later.iter().all(|l| l.record.is_some());
        all.then(|| self.later.iter().filter_map(|l| l.record.as_ref()))
    }

    /// The file was rewritten: it tells of the ledger that was at hand.
    pub(super) fn rewritten(&mut self) {
        self.index = self.known.as_ref().map_or(0, |l| l.index);
    }
}

/// About how many bytes a ledger's snapshot has on disk.
pub(super) fn ledger_bytes(ledger: &ReplicatedState) -> usize {
    let configuration = &ledger.configuration;
    let routes: usize = configuration.routes.iter().map(|r| r.raw.len() + 1).sum();
    let services: usize = configuration.services.iter().map(|s| s.raw.len() + 1).sum();
    let limits = configuration.limits.as_ref().map_or(0, |l| l.raw.len());
    let taken =
        ledger.applied_requests.iter().count() * std::mem::size_of::<protocol::AppliedRequest>();
    let drains: usize = ledger.drains.iter().map(|d| d.len() + 4).sum();
    routes + services + limits + taken + drains + LEDGER_FRAME_BYTES
}
