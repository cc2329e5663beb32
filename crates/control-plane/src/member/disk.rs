//! What waits for the disk: one write is out at a time, all that came meanwhile goes with the next one.

use super::acknowledged::ledger_bytes;
use super::{DiskError, DiskState, Member, Output, ReplicaLog, Role};
use crate::replicated_state::ReplicatedState;
use protocol::{MemberInfo, MembershipConfig, Message, Record};
use std::time::Duration;

/// A disk that refused is tried again after this.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The file is rewritten once it is longer than this, and than [`REWRITE_GROWTH`] times the ledgers that it has to
/// hold and twice the changes that aren't known to be acknowledged.
const REWRITE_MIN_BYTES: usize = 256 << 10;
const REWRITE_GROWTH: usize = 4;
/// A rewrite that the disk refused is tried again after this: appends may still find room.
const REWRITE_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Bytes of records in one write, unless one record alone is longer; less than the file's longest batch.
const MAX_WRITE_BYTES: usize = 16 << 20;

/// What follows once a record is on disk.
#[derive(Clone, Debug)]
pub(super) enum After {
    /// A promise may be spoken of.
    Promise { to: MemberInfo, epoch: u64 },
    /// A view holds here.
    Installed {
        to: MemberInfo,
        view: Box<MembershipConfig>,
        ledger: Option<Box<ReplicatedState>>,
    },
    /// A backup's change is safe.
    Appended {
        to: u64,
        epoch: u64,
        ledger: Box<ReplicatedState>,
    },
    /// The primary's own change is safe.
    Own {
        epoch: u64,
        ledger: Box<ReplicatedState>,
    },
    /// Whether the disk takes writes again.
    Nothing,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Disk {
    queue: Vec<(Vec<u8>, After)>,
    out: Option<PendingWrite>,
    tickets: u64,
    /// Length of the file in bytes.
    length: usize,
    /// Length at which it was last looked at whether the file has to be rewritten.
    examined: usize,
    refused: Option<Duration>,
    rewrite_refused: Option<Duration>,
}

/// What follows once a write is done, with the record where it is a change.
#[derive(Clone, Debug)]
struct Done {
    after: After,
    change: Option<Vec<u8>>,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    ticket: u64,
    since: Duration,
    after: Vec<Done>,
    length: usize,
    rewrite: bool,
}

impl Disk {
    pub(super) fn kept(&mut self, length: usize) {
        self.length = length;
    }

    /// What is written next.
    fn next_batch(&mut self) -> (Vec<Vec<u8>>, Vec<Done>) {
        let mut bytes = 0;
        let mut fits = |(record, _): &(Vec<u8>, After)| {
            bytes += record.len();
            bytes <= MAX_WRITE_BYTES
        };
        let count = self
            .queue
            .iter()
            .take_while(|waiting| fits(waiting))
            .count()
            .max(1);
        let batch = self.queue.drain(..count.min(self.queue.len()));
        let done = |(record, after): (Vec<u8>, After)| {
            let change =
                matches!(after, After::Appended { .. } | After::Own { .. }).then(|| record.clone());
            (record, Done { after, change })
        };
        batch.map(done).unzip()
    }

    pub(super) fn fit(&self, now: Duration, stall: Duration) -> bool {
        self.state(now, stall) == DiskState::Healthy
    }

    pub(super) fn state(&self, now: Duration, stall: Duration) -> DiskState {
        let stalled = self.out.as_ref().is_some_and(|o| now >= o.since + stall);
        match self.refused {
            Some(_) => DiskState::Refused,
            None if stalled => DiskState::Stalled,
            None => DiskState::Healthy,
        }
    }

    pub(super) fn wake(&self, stall: Duration) -> Option<Duration> {
        let out = self.out.as_ref().map(|o| o.since + stall);
        out.or(self.refused.map(|at| at + DISK_RETRY_INTERVAL))
    }
}

impl Member {
    pub(super) fn write(&mut self, record: &Record, after: After) {
        self.disk
            .queue
            .push((protocol::encode_record(record), after));
    }

    /// Starts the next write.
    pub(super) fn flush(&mut self, out: &mut Vec<Output>) {
        if self.disk.out.is_some() {
            return;
        }
        if let Some(at) = self.disk.refused {
            if self.now < at + DISK_RETRY_INTERVAL {
                return;
            }
            if self.disk.queue.is_empty() {
                self.write(
                    &Record::Promised {
                        epoch: self.promised,
                    },
                    After::Nothing,
                );
            }
        }
        let whole = if self.rewrite_due() {
            self.whole()
        } else {
            Vec::new()
        };
        let rewrite = !whole.is_empty();
        let (records, after) = if rewrite {
            (whole, vec![])
        } else {
            self.disk.next_batch()
        };
        if records.is_empty() {
            return;
        }
        self.disk.tickets += 1;
        let (ticket, length) = (self.disk.tickets, records.iter().map(Vec::len).sum());
        self.disk.out = Some(PendingWrite {
            ticket,
            since: self.now,
            after,
            length,
            rewrite,
        });
        out.push(Output::Write {
            ticket,
            records,
            rewrite,
        });
    }

    /// Whether the file is long for what it has to hold. That goes by the disk's state alone: changes that keep
    /// coming don't put it off.
    fn rewrite_due(&mut self) -> bool {
        let disk = &mut self.disk;
        let refused = disk
            .rewrite_refused
            .is_some_and(|at| self.now < at + REWRITE_RETRY_INTERVAL);
        if disk.length <= REWRITE_MIN_BYTES || disk.refused.is_some() || refused {
            return false;
        }
        if disk.examined == disk.length {
            return false;
        }
        disk.examined = disk.length;
        let length = disk.length;
        length > self.most_bytes()
    }

    /// How long the file may be: a rewrite has to be worth what it writes.
    fn most_bytes(&self) -> usize {
        let known = self.acknowledged.known().map_or(0, ledger_bytes);
        let Some(held) = self.held.as_ref().map(|h| &h.disk) else {
            return REWRITE_GROWTH * known;
        };
        match self.acknowledged.changes_up_to(held.index) {
            Some(changes) => REWRITE_GROWTH * known + 2 * changes.map(Vec::len).sum::<usize>(),
            None => REWRITE_GROWTH * (known + ledger_bytes(held)),
        }
    }

    /// All that the file has to hold. What is known to be acknowledged stays known: the acknowledged ledger comes
    /// first, and then the changes since; where these aren't at hand, the acknowledged ledger stands under a view
    /// without voters, before the one held.
    fn whole(&self) -> Vec<Vec<u8>> {
        let mut records = vec![protocol::encode_record(&Record::Promised {
            epoch: self.promised,
        })];
        let Some(view) = self.view.clone().filter(|v| v.epoch > 0) else {
            return records;
        };
        let accepted = |view: MembershipConfig, ledger: Option<&ReplicatedState>| {
            let snapshot = ledger.map(ReplicatedState::snapshot);
            protocol::encode_record(&Record::Accepted {
                membership: view,
                snapshot,
            })
        };
        let committed = |ledger: &ReplicatedState| {
            protocol::encode_record(&Record::Committed {
                index: ledger.index,
            })
        };
        let (known, held) = (
            self.acknowledged.known(),
            self.held.as_ref().map(|h| &h.disk),
        );
        if let Some(((known, _), changes)) = known
            .zip(held)
            .zip(held.and_then(|held| self.acknowledged.changes_up_to(held.index)))
        {
            records.extend([accepted(view, Some(known)), committed(known)]);
            records.extend(changes.cloned());
        } else {
            // Nobody has a say in a view without voters: no member could act on this ledger alone.
            let earlier =
                known.map(|l| [accepted(MembershipConfig::default(), Some(l)), committed(l)]);
            records.extend(earlier.into_iter().flatten());
            records.push(accepted(view, held));
        }
        records
    }

    pub(super) fn on_wrote(
        &mut self,
        ticket: u64,
        result: Result<(), DiskError>,
        out: &mut Vec<Output>,
    ) {
        let Some(done) = self.disk.out.take_if(|o| o.ticket == ticket) else {
            return;
        };
        match result {
            Ok(()) => {
                self.disk.refused = None;
                if done.rewrite {
                    self.disk.rewrite_refused = None;
                    self.acknowledged.rewritten();
                }
                self.disk.length = done.length + if done.rewrite { 0 } else { self.disk.length };
                done.after
                    .into_iter()
                    .for_each(|done| self.written(done, out));
            }
            // The old file stands, or the new one that means the same: what is appended next tells more.
            Err(_) if done.rewrite => self.disk.rewrite_refused = Some(self.now),
            Err(_) => {
                self.disk.refused = Some(self.now);
                // What was taken but is not on disk is given up, with all that builds on it.
                let queued = std::mem::take(&mut self.disk.queue);
                if let Some(held) = &mut self.held {
                    held.head = held.disk.clone();
                }
                let written = done.after.into_iter().map(|done| done.after);
                let lost = written.chain(queued.into_iter().map(|q| q.1));
                lost.for_each(|after| self.refused(after, out));
                self.release_lease(out);
            }
        }
    }

    fn written(&mut self, Done { after, change }: Done, out: &mut Vec<Output>) {
        match after {
            After::Promise { to, epoch } => self.promise_written(to, epoch, out),
            After::Installed { to, view, ledger } => {
                let epoch = view.epoch;
                if self.view.as_ref().is_none_or(|v| v.epoch < epoch) {
                    self.acknowledged.view_begins(ledger.as_deref());
                    self.held = ledger.map(|l| ReplicaLog {
                        head: (*l).clone(),
                        disk: *l,
                    });
                    self.view = Some(*view);
                }
                if to.id == self.me() {
                    self.on_installed(to.id, epoch, true, out);
                } else {
                    let message = Message::InstallMembershipReply {
                        epoch,
                        accepted: true,
                        promised_epoch: self.promised,
                    };
                    out.push(Output::Send { to, message });
                }
            }
            After::Appended { to, epoch, ledger } => {
                let index = ledger.index;
                self.kept_change(epoch, *ledger, change.unwrap_or_default());
                self.send(
                    to,
                    Message::AppendReply {
                        epoch,
                        match_index: index,
                        accepted: true,
                        promised_epoch: self.promised,
                    },
                    out,
                );
            }
            After::Own { epoch, ledger } => {
                let index = ledger.index;
                self.kept_change(epoch, *ledger, change.unwrap_or_default());
                self.on_appended(self.me(), epoch, index, true, out);
            }
            After::Nothing => {}
        }
    }

    fn kept_change(&mut self, epoch: u64, ledger: ReplicatedState, record: Vec<u8>) {
        let same = self.view.as_ref().is_some_and(|v| v.epoch == epoch);
        if let Some(held) = self.held.as_mut().filter(|_| same) {
            self.acknowledged.kept(&ledger, record);
            held.disk = ledger;
        }
    }

    fn refused(&mut self, after: After, out: &mut Vec<Output>) {
        let seen = self.promised;
        match after {
            After::Installed { to, view, .. } if to.id != self.me() => {
                let message = Message::InstallMembershipReply {
                    epoch: view.epoch,
                    accepted: false,
                    promised_epoch: seen,
                };
                out.push(Output::Send { to, message });
            }
            After::Appended { to, epoch, ledger } => {
                self.send(
                    to,
                    Message::AppendReply {
                        epoch,
                        match_index: ledger.index,
                        accepted: false,
                        promised_epoch: seen,
                    },
                    out,
                );
            }
            _ => {}
        }
    }

    /// Stops acting as primary or standing for election, and lets the others know that no lease holds them back.
    pub(super) fn release_lease(&mut self, out: &mut Vec<Output>) {
        let epoch = match &self.role {
            Role::Primary(state) => state.epoch,
            Role::Candidate(candidacy) => candidacy.epoch,
            Role::Follower => return,
        };
        self.step_down();
        let voters: Vec<u64> = self
            .view
            .iter()
            .flat_map(|v| &v.voters)
            .map(|s| s.id)
            .collect();
        for voter in voters.into_iter().filter(|v| *v != self.me()) {
            self.send(voter, Message::ReleaseLease { epoch }, out);
        }
        // The others go first.
        self.election_at = self.now + 2 * self.config.lease_duration;
    }
}
