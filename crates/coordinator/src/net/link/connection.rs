//! A connection at work: what it has out, what it is told, and when it ends.

use super::run::take_unconnected;
use super::{LinkCommand, LinkSetup};
use crate::core::PartRequest;
use crate::interface::{Outcome, RequestId};
use crate::net::buffered_stream::BufferedStream;
use crate::net::frames;
use bytes::{Bytes, BytesMut};
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::sync::mpsc;

/// A cancellation that can't be written within this closes the connection, which cancels as well.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);
/// A frame that has begun to come and does not go on for so long will not.
const FRAME_TIMEOUT: Duration = Duration::from_millis(250);
/// How often a connection in use checks its time-outs.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Limit on the names of answered parts that are kept: one more answer to one of these is a copy.
pub(super) const MAX_ANSWERED_NAMES: usize = 32;
/// Limit on the names of parts given up that are kept: an answer to one of these is late. An answer to any other
/// name was never asked for.
pub(super) const MAX_GIVEN_UP_NAMES: usize = 256;

/// Why a connection ended.
pub(super) struct LinkEnd {
    /// The reason code of the log.
    pub(super) code: &'static str,
    /// What the log says beside it; may be empty.
    pub(super) detail: String,
}

impl LinkEnd {
    pub(super) fn new(code: &'static str, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
        }
    }
}

fn host_reset(error: &std::io::Error) -> LinkEnd {
    LinkEnd::new("host_reset", error.to_string())
}

/// A part whose frame is written.
pub(super) struct Out {
    pub(super) part: RequestId,
    pub(super) attempt: u32,
    pub(super) sent: Instant,
}

/// A call whose bytes are on their way.
pub(super) struct Sending {
    pub(super) parts: Vec<PartRequest>,
    pub(super) pieces: VecDeque<Bytes>,
    /// Parts given up meanwhile.
    pub(super) given_up: Vec<(RequestId, u32, Outcome)>,
}

/// An open connection and all that is on it.
pub(super) struct Link {
    pub(super) setup: LinkSetup,
    pub(super) conn: BufferedStream,
    pub(super) queue: VecDeque<Vec<PartRequest>>,
    pub(super) sending: Option<Sending>,
    /// Parts whose frame is written, by their name.
    pub(super) out: HashMap<String, Out>,
    /// Short frames that wait for the ring.
    pub(super) small: VecDeque<Bytes>,
    /// Attempts given up whose withdrawal waits in the ring, and those whose withdrawal is written, with the
    /// time for the core to hear of them.
    pub(super) leaving: Vec<(RequestId, u32, Outcome)>,
    pub(super) leaving_since: Instant,
    pub(super) left: VecDeque<(Instant, RequestId, u32, Outcome)>,
    pub(super) partial: BytesMut,
    pub(super) answered: VecDeque<String>,
    pub(super) given_up: VecDeque<String>,
    /// Parts given up that no answer has come for. To the host they are still on this connection: it reads
    /// nothing behind the parts that it can carry, not even a withdrawal, so they count.
    pub(super) gone: usize,
    /// Whether the host sent more than belongs to an answer: what is out may still come, nothing new goes.
    pub(super) spoilt: bool,
    pub(super) probes: VecDeque<Instant>,
    pub(super) heard: Instant,
    pub(super) used: Instant,
}

pub(super) fn remember(names: &mut VecDeque<String>, id: String, most: usize) {
    names.push_back(id);
    if names.len() > most {
        names.pop_front();
    }
}

impl Link {
    /// A connection that has just come up.
    pub(super) fn new(
        setup: LinkSetup,
        conn: BufferedStream,
        queue: VecDeque<Vec<PartRequest>>,
    ) -> Self {
        let now = Instant::now();
        Self {
            setup,
            conn,
            queue,
            sending: None,
            out: HashMap::new(),
            small: VecDeque::new(),
            leaving: Vec::new(),
            leaving_since: now,
            left: VecDeque::new(),
            partial: BytesMut::new(),
            answered: VecDeque::new(),
            given_up: VecDeque::new(),
            gone: 0,
            spoilt: false,
            probes: VecDeque::new(),
            heard: now,
            used: now,
        }
    }

    pub(super) fn busy(&self) -> bool {
        let waits = !self.queue.is_empty() || !self.probes.is_empty() || !self.left.is_empty();
        self.sending.is_some() || !self.out.is_empty() || waits
    }

    /// Tells the core of what was withdrawn by some time, or of all.
    pub(super) fn tell_left(&mut self, by: Option<Instant>) {
        while let Some((_, part, attempt, outcome)) = self
            .left
            .front()
            .copied()
            .filter(|l| by.is_none_or(|t| l.0 <= t))
        {
            self.left.pop_front();
            self.setup.ended(part, attempt, outcome);
        }
    }

    /// Works until the connection ends. Returns why it did.
    pub(super) async fn serve(&mut self) -> LinkEnd {
        let mut mailbox_open = true;
        loop {
            if let Err(end) = self.serve_once(&mut mailbox_open).await {
                return end;
            }
        }
    }

    /// Handles what waits, writes, and then waits for the next event.
    async fn serve_once(&mut self, mailbox_open: &mut bool) -> Result<(), LinkEnd> {
        self.drain_mailbox(mailbox_open)?;
        self.write()
            .map_err(|e| LinkEnd::new("write_failed", e.to_string()))?;
        let now = Instant::now();
        self.tell_left(Some(now));
        let idle_left = self.setup.idle_limit().saturating_sub(now - self.used);
        if !self.busy() {
            self.conn.input.release_memory();
            self.conn.output.release_memory();
            self.partial = BytesMut::new();
        }
        let is_unused = !self.busy() && self.leaving.is_empty();
        if is_unused && (idle_left.is_zero() || !*mailbox_open) {
            return self.close_unused(mailbox_open);
        }
        self.check_cancellations(now)?;
        self.check_probe(now);
        self.check_loss()?;
        self.check_use()?;
        let sleep = self.until_next_check(now, idle_left);
        self.wait(sleep, mailbox_open).await
    }

    /// Handles all mail that waits before the next byte goes out: a call must not begin if its cancellation has come
    /// already.
    fn drain_mailbox(&mut self, mailbox_open: &mut bool) -> Result<(), LinkEnd> {
        while *mailbox_open {
            match self.setup.mail.try_recv() {
                Ok(mail) => self.take_or_end(mail)?,
                Err(mpsc::error::TryRecvError::Empty) => break,
                Err(mpsc::error::TryRecvError::Disconnected) => *mailbox_open = false,
            }
        }
        Ok(())
    }

    fn take_or_end(&mut self, mail: LinkCommand) -> Result<(), LinkEnd> {
        if self.take(mail) {
            Ok(())
        } else {
            Err(LinkEnd::new("released", ""))
        }
    }

    /// Closes the mailbox of a connection that is not used. Calls that are in it already are still served; only new
    /// ones go elsewhere.
    fn close_unused(&mut self, mailbox_open: &mut bool) -> Result<(), LinkEnd> {
        if !*mailbox_open {
            return Err(LinkEnd::new("peer_gone", ""));
        }
        self.setup.mail.close();
        let Ok(mail) = self.setup.mail.try_recv() else {
            return Err(LinkEnd::new("idle", ""));
        };
        *mailbox_open = self.take(mail);
        Ok(())
    }

    fn check_cancellations(&self, now: Instant) -> Result<(), LinkEnd> {
        let waits_behind_call = self
            .sending
            .as_ref()
            .is_some_and(|s| !s.given_up.is_empty());
        let waits = waits_behind_call || !self.leaving.is_empty();
        if waits && now - self.leaving_since > CANCEL_TIMEOUT {
            return Err(LinkEnd::new(
                "withdrawn",
                "a withdrawal could not be written",
            ));
        }
        Ok(())
    }

    /// Fails the probes if the oldest one has no answer in time.
    fn check_probe(&mut self, now: Instant) {
        let is_late = self
            .probes
            .front()
            .is_some_and(|sent_at| now - *sent_at > self.setup.connect_timeout);
        if is_late {
            self.probes.clear();
            self.probed(Outcome::Timeout, None);
            self.setup.load.silent.store(true, Ordering::Relaxed);
        }
    }

    fn check_loss(&self) -> Result<(), LinkEnd> {
        let detector = &self.setup.stall_detector;
        if detector.is_lost(self.setup.load.waits(), self.setup.connect_timeout) {
            let parts = self.out.len();
            let detail = format!("{parts} parts out, later ones answered elsewhere");
            return Err(LinkEnd::new("silent", detail));
        }
        Ok(())
    }

    /// Ends a connection that can carry no more calls.
    fn check_use(&self) -> Result<(), LinkEnd> {
        let needs_places = !self.queue.is_empty() || self.gone > self.setup.streams / 4;
        let has_nothing_out =
            self.sending.is_none() && self.out.is_empty() && self.probes.is_empty();
        let has_nothing_leaving = self.left.is_empty() && self.leaving.is_empty();
        if self.gone > 0 && needs_places && has_nothing_out && has_nothing_leaving {
            let detail = format!("{} parts given up", self.gone);
            return Err(LinkEnd::new("worn", detail));
        }
        // A silent connection carries no new calls: once nothing is out on it, it is of no use.
        let is_silent = self.setup.load.silent.load(Ordering::Relaxed);
        if is_silent && !self.busy() && self.leaving.is_empty() {
            let code = if self.spoilt { "extra_bytes" } else { "silent" };
            return Err(LinkEnd::new(code, ""));
        }
        Ok(())
    }

    /// How long to wait for an event at most.
    fn until_next_check(&self, now: Instant, idle_left: Duration) -> Duration {
        let mut wait = if self.busy() || !self.leaving.is_empty() {
            CHECK_INTERVAL
        } else {
            idle_left
        };
        if let Some(left) = self.left.front() {
            wait = wait.min(left.0 - now);
        }
        if !self.partial.is_empty() {
            wait = wait.min((self.heard + FRAME_TIMEOUT).saturating_duration_since(now));
        }
        wait
    }

    /// Waits for mail, for the socket, or for so long.
    async fn wait(&mut self, sleep: Duration, mailbox_open: &mut bool) -> Result<(), LinkEnd> {
        let interest = if self.conn.output.is_empty() {
            Interest::READABLE
        } else {
            Interest::READABLE | Interest::WRITABLE
        };
        tokio::select! {
            biased;
            mail = self.setup.mail.recv(), if *mailbox_open => match mail {
                Some(mail) => self.take_or_end(mail)?,
                None => *mailbox_open = false,
            },
            ready = self.conn.stream.ready(interest) => {
                match ready {
                    Ok(ready) if ready.is_readable() => self.read_socket()?,
                    Ok(_) => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(e) => return Err(host_reset(&e)),
                }
            }
            // Only here, with nothing left to read: the time that this process stood still is not the host's.
            () = tokio::time::sleep(sleep) => {
                if !self.partial.is_empty() && self.heard.elapsed() >= FRAME_TIMEOUT {
                    return Err(LinkEnd::new("bad_frame", "a frame that does not end"));
                }
            }
        }
        Ok(())
    }

    fn read_socket(&mut self) -> Result<(), LinkEnd> {
        match self.conn.input.read_from(&self.conn.stream) {
            Ok(0) => Err(LinkEnd::new("host_closed", "")),
            Ok(_) => self.read(),
            Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(e) => Err(host_reset(&e)),
        }
    }

    /// Takes one message; false if the connection is to be closed.
    pub(super) fn take(&mut self, mail: LinkCommand) -> bool {
        match mail {
            LinkCommand::Call(parts) => {
                self.used = Instant::now();
                self.queue.push_back(parts);
            }
            LinkCommand::Cancel(part, attempt, outcome) => self.cancel(part, attempt, outcome),
            LinkCommand::Retract(..) => take_unconnected(&mut self.setup, &mut self.queue, mail),
            LinkCommand::Probe => {
                self.used = Instant::now();
                self.probes.push_back(self.used);
                self.small.push_back(frames::short(b'l', ""));
            }
            LinkCommand::StopAt(at) => self.setup.stop_at = at,
            LinkCommand::Release => return self.busy(),
        }
        true
    }

    pub(super) fn cancel(&mut self, part: RequestId, attempt: u32, outcome: Outcome) {
        let key = (part, attempt);
        if let Some(id) = self
            .out
            .iter()
            .find(|(_, o)| (o.part, o.attempt) == key)
            .map(|(id, _)| id.clone())
        {
            let sent = self.out.remove(&id).map(|o| o.sent);
            let (waits, now) = (self.setup.load.waits(), Instant::now());
            let stalled =
                self.setup
                    .stall_detector
                    .is_stalled(waits, now, self.setup.connect_timeout);
            if (outcome == Outcome::Timeout || stalled) && sent.is_some_and(|s| self.heard < s) {
                self.setup.load.silent.store(true, Ordering::Relaxed);
            }
            self.setup
                .load
                .set_waits(waits.filter(|_| !self.out.is_empty()));
            self.small.push_back(frames::short(b'c', &id));
            remember(&mut self.given_up, id, MAX_GIVEN_UP_NAMES);
            self.gone += 1;
            self.setup.load.parts.fetch_add(1, Ordering::Relaxed);
            self.leave(part, attempt, outcome);
        } else if let Some(s) = self.sending.as_mut() {
            // Its frame has begun and must be finished; the withdrawal follows it.
            if s.parts.iter().any(|p| (p.part, p.attempt) == key) {
                if self.leaving.is_empty() && s.given_up.is_empty() {
                    self.leaving_since = Instant::now();
                }
                s.given_up.push((part, attempt, outcome));
                return;
            }
        }
        take_unconnected(
            &mut self.setup,
            &mut self.queue,
            LinkCommand::Cancel(part, attempt, outcome),
        );
    }

    fn leave(&mut self, part: RequestId, attempt: u32, outcome: Outcome) {
        if self.leaving.is_empty() {
            self.leaving_since = Instant::now();
        }
        self.leaving.push((part, attempt, outcome));
    }
}
