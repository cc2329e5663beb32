//! What waits for the disk: one write is out at a time, all that came meanwhile goes with the next one.

use super::{DiskError, Member, Output, ReplicaLedger, Role};
use crate::ledger::Ledger;
use protocol::{MemberInfo, Message, Record, View};
use std::time::Duration;

/// A disk that refused is tried again after this.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The file is rewritten once it is longer than this and than [`REWRITE_GROWTH`] times what it has to hold.
const REWRITE_MIN_BYTES: usize = 256 << 10;
const REWRITE_GROWTH: usize = 4;

/// What follows once a record is on disk.
#[derive(Clone, Debug)]
pub(super) enum After {
    /// A promise may be spoken of.
    Promise { to: MemberInfo, epoch: u64 },
    /// A view holds here.
    Installed { to: MemberInfo, view: Box<View>, ledger: Option<Box<Ledger>> },
    /// A backup's change is safe.
    Appended { to: u64, epoch: u64, ledger: Box<Ledger> },
    /// The primary's own change is safe.
    Own { epoch: u64, ledger: Box<Ledger> },
    /// Whether the disk takes writes again.
    Nothing,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Disk {
    queue: Vec<(Vec<u8>, After)>,
    out: Option<PendingWrite>,
    tickets: u64,
    length: usize,
    refused: Option<Duration>,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    ticket: u64,
    since: Duration,
    after: Vec<After>,
    length: usize,
    rewrite: bool,
}

impl Disk {
    pub(super) fn kept(&mut self, length: usize) {
        self.length = length;
    }

    pub(super) fn fit(&self, now: Duration, stall: Duration) -> bool {
        self.refused.is_none() && self.out.as_ref().is_none_or(|o| now < o.since + stall)
    }

    pub(super) fn wake(&self, stall: Duration) -> Option<Duration> {
        let out = self.out.as_ref().map(|o| o.since + stall);
        out.or(self.refused.map(|at| at + DISK_RETRY_INTERVAL))
    }
}

impl Member {
    pub(super) fn write(&mut self, record: &Record, after: After) {
        self.disk.queue.push((protocol::write_one(record), after));
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
                self.write(&Record::Promised { epoch: self.promised }, After::Nothing);
            }
        }
        // What is known to be acknowledged stays known.
        let known = self.held.as_ref().is_none_or(|h| h.disk.seq == self.committed);
        let long = self.disk.length > REWRITE_MIN_BYTES
            && known
            && self.disk.queue.is_empty()
            && self.disk.refused.is_none();
        let whole = if long { self.whole() } else { Vec::new() };
        let least: usize = whole.iter().map(Vec::len).sum();
        let rewrite = !whole.is_empty() && self.disk.length > REWRITE_GROWTH * least;
        let (records, after): (Vec<_>, Vec<_>) =
            if rewrite { (whole, vec![]) } else { std::mem::take(&mut self.disk.queue).into_iter().unzip() };
        if records.is_empty() {
            return;
        }
        self.disk.tickets += 1;
        let (ticket, length) = (self.disk.tickets, records.iter().map(Vec::len).sum());
        self.disk.out = Some(PendingWrite { ticket, since: self.now, after, length, rewrite });
        out.push(Output::Write { ticket, records, rewrite });
    }

    /// All that the file has to hold.
    fn whole(&self) -> Vec<Vec<u8>> {
        let snapshot = self.held.as_ref().map(|h| h.disk.snapshot());
        let view = self.view.clone().filter(|v| v.epoch > 0);
        let accepted = view.map(|view| protocol::write_one(&Record::Accepted { view, snapshot }));
        let promised = protocol::write_one(&Record::Promised { epoch: self.promised });
        let seq = self.committed;
        let committed = self.held.as_ref().map(|_| protocol::write_one(&Record::Committed { seq }));
        accepted.into_iter().chain([promised]).chain(committed).collect()
    }

    pub(super) fn on_wrote(&mut self, ticket: u64, result: Result<(), DiskError>, out: &mut Vec<Output>) {
        let Some(done) = self.disk.out.take_if(|o| o.ticket == ticket) else { return };
        match result {
            Ok(()) => {
                self.disk.refused = None;
                self.disk.length = done.length + if done.rewrite { 0 } else { self.disk.length };
                done.after.into_iter().for_each(|after| self.written(after, out));
            }
            Err(_) => {
                self.disk.refused = Some(self.now);
                // What was taken but is not on disk is given up, with all that builds on it.
                let queued = std::mem::take(&mut self.disk.queue);
                if let Some(held) = &mut self.held {
                    held.head = held.disk.clone();
                }
                let lost = done.after.into_iter().chain(queued.into_iter().map(|q| q.1));
                lost.for_each(|after| self.refused(after, out));
                self.release_lease(out);
            }
        }
    }

    fn written(&mut self, after: After, out: &mut Vec<Output>) {
        match after {
            After::Promise { to, epoch } => self.promise_written(to, epoch, out),
            After::Installed { to, view, ledger } => {
                let epoch = view.epoch;
                if self.view.as_ref().is_none_or(|v| v.epoch < epoch) {
                    self.held = ledger.map(|l| ReplicaLedger { head: (*l).clone(), disk: *l });
                    self.view = Some(*view);
                }
                if to.id == self.me() {
                    self.on_installed(to.id, epoch, true, out);
                } else {
                    let message = Message::InstallReply { epoch, ok: true, seen: self.promised };
                    out.push(Output::Send { to, message });
                }
            }
            After::Appended { to, epoch, ledger } => {
                let seq = ledger.seq;
                self.kept_change(epoch, *ledger);
                self.send(to, Message::AppendReply { epoch, seq, ok: true, seen: self.promised }, out);
            }
            After::Own { epoch, ledger } => {
                let seq = ledger.seq;
                self.kept_change(epoch, *ledger);
                self.on_appended(self.me(), epoch, seq, true, out);
            }
            After::Nothing => {}
        }
    }

    fn kept_change(&mut self, epoch: u64, ledger: Ledger) {
        let same = self.view.as_ref().is_some_and(|v| v.epoch == epoch);
        if let Some(held) = self.held.as_mut().filter(|_| same) {
            held.disk = ledger;
        }
    }

    fn refused(&mut self, after: After, out: &mut Vec<Output>) {
        let seen = self.promised;
        match after {
            After::Installed { to, view, .. } if to.id != self.me() => {
                let message = Message::InstallReply { epoch: view.epoch, ok: false, seen };
                out.push(Output::Send { to, message });
            }
            After::Appended { to, epoch, ledger } => {
                self.send(to, Message::AppendReply { epoch, seq: ledger.seq, ok: false, seen }, out);
            }
            _ => {}
        }
    }

    /// Stops acting as primary or standing for election, and lets the others know that no lease holds them back.
    pub(super) fn release_lease(&mut self, out: &mut Vec<Output>) {
        let epoch = match &self.role {
            Role::Primary(state) => state.epoch,
            Role::Candidate(candidacy) => candidacy.epoch,
            Role::Idle => return,
        };
        self.step_down();
        let voters: Vec<u64> = self.view.iter().flat_map(|v| &v.voters).map(|s| s.id).collect();
        for voter in voters.into_iter().filter(|v| *v != self.me()) {
            self.send(voter, Message::ReleaseLease { epoch }, out);
        }
        // The others go first.
        self.election_at = self.now + 2 * self.config.lease;
    }
}
