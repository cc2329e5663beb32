//! The simulated disk: what was synced lasts.

use super::event::EventKind;
use super::state::World;
use crate::plan::ms;
use crate::seeded_bug::SeededBug;
use control_plane::member::{DiskError, Input};
use rand_core::RngCore;
use std::time::Duration;

/// Shortest time of a write on a healthy disk.
const MIN_WRITE_TIME: Duration = ms(2);
/// Random time on top of that, in microseconds.
const WRITE_TIME_SPREAD_US: u64 = 1500;
/// When a write reaches the disk that a seeded bug confirms at once.
const UNSYNCED_WRITE_TIME: Duration = ms(400);
/// Ids of members whose disks were wiped begin here.
const FIRST_WIPED_ID: u64 = 10_000;

impl World<'_> {
    /// Starts a write.
    pub(super) fn start_write(
        &mut self,
        n: usize,
        ticket: u64,
        mut records: Vec<Vec<u8>>,
        rewrite: bool,
    ) {
        let disk = self.nodes[n].disk;
        let spread = Duration::from_micros(self.random_below(WRITE_TIME_SPREAD_US));
        let time = (MIN_WRITE_TIME + spread) * disk.slowdown;
        self.rewrite_records(n, &mut records);
        let result = if disk.full {
            Err(DiskError::Full)
        } else {
            Ok(())
        };
        let confirms_early = self.plan.seeded_bug == SeededBug::NoSync;
        let write = |ticket, records, rewrite| EventKind::WriteCompleted {
            ticket,
            records,
            rewrite,
            result,
        };
        if disk.stalled {
            let stalled = write(ticket, records, rewrite);
            self.nodes[n].deferred_events.push((n, stalled));
        } else if confirms_early {
            self.schedule(self.now, n, write(ticket, vec![], false));
            let late = write(0, records, rewrite);
            self.schedule(self.now + UNSYNCED_WRITE_TIME, n, late);
        } else {
            self.schedule(self.now + time, n, write(ticket, records, rewrite));
        }
    }

    /// The disk has completed a write.
    pub(super) fn write_completed(
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

    /// The disk loses everything; its member comes back with another id.
    pub(super) fn wipe(&mut self, n: usize) {
        let id = FIRST_WIPED_ID + u64::from(self.rng.next_u32());
        self.nodes[n].records.clear();
        if self.plan.seeded_bug != SeededBug::WipedMemberVotes {
            self.nodes[n].info.id = id;
            self.nodes[n].is_initial_voter = false;
        }
    }

    /// The process or its machine ends while writes are under way. Of an appending write a random number of records is
    /// kept; a rewrite is kept whole or not at all.
    pub(super) fn settle_unfinished_writes(&mut self, n: usize) {
        let deferred = std::mem::take(&mut self.nodes[n].deferred_events);
        let deferred = deferred.into_iter().map(|(_, event)| event);
        let is_write = |event: &EventKind| matches!(event, EventKind::WriteCompleted { .. });
        let mut queued = self.queued_events(n);
        queued.retain(|number| self.events.get(number).is_some_and(is_write));
        let queued: Vec<EventKind> = queued
            .iter()
            .filter_map(|number| self.events.remove(number))
            .collect();
        for write in deferred.chain(queued) {
            let EventKind::WriteCompleted {
                mut records,
                rewrite,
                result: Ok(()),
                ..
            } = write
            else {
                continue;
            };
            let kept = self.random_below(records.len() as u64 + 1) as usize;
            if !rewrite {
                records.truncate(kept);
                self.nodes[n].records.extend(records);
            } else if kept > 0 {
                self.nodes[n].records = records;
            }
        }
    }
}
