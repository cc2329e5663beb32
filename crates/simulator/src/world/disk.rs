//! The simulated disk: what was synced lasts.

use super::{What, World};
use crate::faults::Planted;
use crate::plan::ms;
use control_plane::member::{DiskError, Input};
use protocol::Record;
use rand_core::RngCore;
use std::time::Duration;

impl World<'_> {
    /// Starts a write.
    pub(super) fn write(&mut self, n: usize, ticket: u64, mut records: Vec<Vec<u8>>, rewrite: bool) {
        let (stalled, full, slow) = self.nodes[n].disk;
        let time = (ms(2) + Duration::from_micros(self.pick(1500))) * slow;
        if self.plan.planted == Planted::NoSnapshot {
            records.iter_mut().for_each(|r| {
                if let Ok(Record::Accepted { view, .. }) = protocol::read_one(r) {
                    *r = protocol::write_one(&Record::Accepted { view, snapshot: None });
                }
            });
        }
        if self.plan.planted == Planted::LosesEveryTenthWrite && self.pick(10) == 0 {
            records.clear();
        }
        let result = if full { Err(DiskError::Full) } else { Ok(()) };
        let early = self.plan.planted == Planted::NoSync;
        let wrote = What::Wrote { ticket, records, rewrite, result };
        if stalled {
            self.nodes[n].held_back.push((n, wrote));
        } else if early {
            // Confirmed now, on disk long after.
            if let What::Wrote { ticket, records, rewrite, result } = wrote {
                self.at(self.now, n, What::Wrote { ticket, records: vec![], rewrite: false, result });
                self.at(self.now + ms(400), n, What::Wrote { ticket: 0, records, rewrite, result });
            }
        } else {
            self.at(self.now + time, n, wrote);
        }
    }

    /// A write has ended.
    pub(super) fn wrote(
        &mut self,
        n: usize,
        ticket: u64,
        records: Vec<Vec<u8>>,
        rewrite: bool,
        result: Result<(), DiskError>,
    ) {
        if result.is_ok() {
            if rewrite {
                self.nodes[n].records.clear();
            }
            self.nodes[n].records.extend(records);
        }
        self.step(n, Input::Wrote { ticket, result });
    }

    pub(super) fn wipe(&mut self, n: usize) {
        let id = 10_000 + u64::from(self.rng.next_u32());
        self.nodes[n].records.clear();
        if self.plan.planted != Planted::WipedVotes {
            self.nodes[n].seat.id = id;
        }
    }
}
