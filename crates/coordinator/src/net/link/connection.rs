//! A connection at work: what it has out, what it is told, and when it ends.

use super::run::take_unconnected;
use super::{LinkMail, LinkSetup};
use crate::core::PartRequest;
use crate::interface::{Outcome, RequestId};
use crate::net::buffered_stream::BufferedStream;
use crate::net::frames;
use bytes::{Bytes, BytesMut};
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::sync::mpsc;

/// A withdrawal that can't be written within this closes the connection, which withdraws as well.
const CANCEL_WAIT: Duration = Duration::from_millis(100);
/// A frame that has begun to come and does not go on for so long will not.
const FRAME_WAIT: Duration = Duration::from_millis(250);
/// Names of parts answered, and of parts given up, that are remembered: an answer to one of these is a copy
/// or late, one to any other name was never asked for.
pub(super) const REMEMBERED: (usize, usize) = (32, 256);

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

    /// Works until the connection ends; says why it did.
    pub(super) async fn serve(&mut self) -> (&'static str, String) {
        let mut open = true;
        loop {
            // All that waits comes before the next byte goes out: a call must not begin of which the
            // withdrawal is here already.
            while open {
                match self.setup.mail.try_recv() {
                    Ok(mail) => {
                        if !self.take(mail) {
                            return ("released", String::new());
                        }
                    }
                    Err(mpsc::error::TryRecvError::Empty) => break,
                    Err(mpsc::error::TryRecvError::Disconnected) => open = false,
                }
            }
            if let Err(e) = self.write() {
                return ("write_failed", e.to_string());
            }
            let now = Instant::now();
            self.tell_left(Some(now));
            let wait = self.setup.idle_limit().saturating_sub(now - self.used);
            if !self.busy() {
                self.conn.input.release_memory();
                self.conn.output.release_memory();
                self.partial = BytesMut::new();
            }
            if !self.busy() && self.leaving.is_empty() && (wait.is_zero() || !open) {
                if !open {
                    return ("peer_gone", String::new());
                }
                // Calls already in the mailbox are still served: only new ones go elsewhere.
                self.setup.mail.close();
                open = match self.setup.mail.try_recv() {
                    Ok(mail) => self.take(mail),
                    Err(_) => return ("idle", String::new()),
                };
                continue;
            }
            let behind = self
                .sending
                .as_ref()
                .is_some_and(|s| !s.given_up.is_empty());
            if (behind || !self.leaving.is_empty()) && now - self.leaving_since > CANCEL_WAIT {
                return ("withdrawn", "a withdrawal could not be written".into());
            }
            let probe_late = self
                .probes
                .front()
                .is_some_and(|t| now - *t > self.setup.connect_timeout);
            if probe_late {
                self.probes.clear();
                self.probed(Outcome::Timeout, None);
                self.setup.load.silent.store(true, Ordering::Relaxed);
            }
            if self
                .setup
                .stall_detector
                .is_lost(self.setup.load.waits(), self.setup.connect_timeout)
            {
                return (
                    "silent",
                    format!(
                        "{} parts out, later ones answered elsewhere",
                        self.out.len()
                    ),
                );
            }
            let waits = !self.queue.is_empty() || self.gone > self.setup.streams / 4;
            let still = self.sending.is_none() && self.out.is_empty() && self.probes.is_empty();
            if self.gone > 0 && waits && still && self.left.is_empty() && self.leaving.is_empty() {
                return ("worn", format!("{} parts given up", self.gone));
            }
            // A link that keeps silent carries no new calls; once nothing is out on it, it is of no use.
            if self.setup.load.silent.load(Ordering::Relaxed)
                && !self.busy()
                && self.leaving.is_empty()
            {
                return (
                    if self.spoilt { "extra_bytes" } else { "silent" },
                    String::new(),
                );
            }
            let tick = if self.busy() || !self.leaving.is_empty() {
                Duration::from_millis(50)
            } else {
                wait
            };
            let tick = self.left.front().map_or(tick, |l| tick.min(l.0 - now));
            let tick = if self.partial.is_empty() {
                tick
            } else {
                tick.min((self.heard + FRAME_WAIT).saturating_duration_since(now))
            };
            let interest = if self.conn.output.is_empty() {
                Interest::READABLE
            } else {
                Interest::READABLE | Interest::WRITABLE
            };
            tokio::select! {
                biased;
                mail = self.setup.mail.recv(), if open => match mail {
                    Some(mail) => {
                        if !self.take(mail) {
                            return ("released", String::new());
                        }
                    }
                    None => open = false,
                },
                ready = self.conn.stream.ready(interest) => {
                    let got = ready.and_then(|r| if r.is_readable() { self.conn.input.read_from(&self.conn.stream) } else { Err(std::io::ErrorKind::WouldBlock.into()) });
                    match got {
                        Ok(0) => return ("host_closed", String::new()),
                        Ok(_) => {
                            if let Err(end) = self.read() {
                                return end;
                            }
                        }
                        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                        Err(e) => return ("host_reset", e.to_string()),
                    }
                }
                // Only here, with nothing left to read: the time that this process stood still is not the host's.
                _ = tokio::time::sleep(tick) => {
                    if !self.partial.is_empty() && self.heard.elapsed() >= FRAME_WAIT {
                        return ("bad_frame", "a frame that does not end".into());
                    }
                }
            }
        }
    }

    /// Takes one message; false if the connection is to be closed.
    pub(super) fn take(&mut self, mail: LinkMail) -> bool {
        match mail {
            LinkMail::Call(parts) => {
                self.used = Instant::now();
                self.queue.push_back(parts);
            }
            LinkMail::Cancel(part, attempt, outcome) => self.cancel(part, attempt, outcome),
            LinkMail::Retract(..) => take_unconnected(&mut self.setup, &mut self.queue, mail),
            LinkMail::Probe => {
                self.used = Instant::now();
                self.probes.push_back(self.used);
                self.small.push_back(frames::short(b'l', ""));
            }
            LinkMail::StopAt(at) => self.setup.stop_at = at,
            LinkMail::Release => return self.busy(),
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
            remember(&mut self.given_up, id, REMEMBERED.1);
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
            LinkMail::Cancel(part, attempt, outcome),
        );
    }

    fn leave(&mut self, part: RequestId, attempt: u32, outcome: Outcome) {
        if self.leaving.is_empty() {
            self.leaving_since = Instant::now();
        }
        self.leaving.push((part, attempt, outcome));
    }
}
