//! The simulated disk: what was synced lasts.

use super::{What, World};
use crate::plan::ms;
use crate::planted::Planted;
use control_plane::member::{DiskError, Input};
use rand_core::RngCore;
use std::time::Duration;

impl World<'_> {
    /// Starts a write.
    pub(super) fn write(
        &mut self,
        n: usize,
        ticket: u64,
        mut records: Vec<Vec<u8>>,
        rewrite: bool,
    ) {
        let (stalled, full, slow) = self.nodes[n].disk;
        let time = (ms(2) + Duration::from_micros(self.pick(1500))) * slow;
        self.planted_write(n, &mut records);
        let result = if full { Err(DiskError::Full) } else { Ok(()) };
        let early = self.plan.planted == Planted::NoSync;
        let wrote = What::Wrote {
            ticket,
            records,
            rewrite,
            result,
        };
        if stalled {
            self.nodes[n].held_back.push((n, wrote));
        } else if early {
            // Confirmed now, on disk long after.
            if let What::Wrote {
                ticket,
                records,
                rewrite,
                result,
            } = wrote
            {
                self.at(
                    self.now,
                    n,
                    What::Wrote {
                        ticket,
                        records: vec![],
                        rewrite: false,
                        result,
                    },
                );
                self.at(
                    self.now + ms(400),
                    n,
                    What::Wrote {
                        ticket: 0,
                        records,
                        rewrite,
                        result,
                    },
                );
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
        self.step(n, Input::WriteCompleted { ticket, result });
    }

    pub(super) fn wipe(&mut self, n: usize) {
        let id = 10_000 + u64::from(self.rng.next_u32());
        self.nodes[n].records.clear();
        if self.plan.planted != Planted::WipedVotes {
            self.nodes[n].seat.id = id;
            self.nodes[n].initial_voter = false;
        }
    }

    /// The process or its machine ends while a write is under way: the file then ends somewhere in it, and what
    /// was to stand for all of it does or doesn't.
    pub(super) fn end_writes(&mut self, n: usize) {
        let held = std::mem::take(&mut self.nodes[n].held_back)
            .into_iter()
            .map(|h| h.1);
        let numbers: Vec<u64> = self
            .queue
            .iter()
            .filter(|q| q.0 .2 == n)
            .map(|q| q.0 .1)
            .collect();
        let is_write = |w: &What| matches!(w, What::Wrote { .. });
        let queued: Vec<u64> = numbers
            .into_iter()
            .filter(|q| self.what.get(q).is_some_and(is_write))
            .collect();
        let queued: Vec<What> = queued
            .into_iter()
            .filter_map(|q| self.what.remove(&q))
            .collect();
        for write in held.chain(queued) {
            let What::Wrote {
                mut records,
                rewrite,
                result: Ok(()),
                ..
            } = write
            else {
                continue;
            };
            let kept = self.pick(records.len() as u64 + 1) as usize;
            if !rewrite {
                records.truncate(kept);
                self.nodes[n].records.extend(records);
            } else if kept > 0 {
                self.nodes[n].records = records;
            }
        }
    }
}
