//! A connection at work: what it has out, what it is told, and when it ends.

use super::run::run_unconnected;
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

/// Time within which a cancellation must be written. After that the connection is closed, which also cancels.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without further bytes after which an incomplete frame counts as malformed.
const FRAME_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a connection in use checks its timeouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of names of answered parts that are remembered. Another answer to one of these is a duplicate.
pub(super) const MAX_ANSWERED_NAMES: usize = 32;
/// Number of names of cancelled parts that are remembered. An answer to one of these is late; an answer to any unknown
/// name is an error.
pub(super) const MAX_GIVEN_UP_NAMES: usize = 256;

/// Why a connection ended.
pub(super) struct LinkEnd {
    /// The reason code of the log.
    pub(super) code: &'static str,
    /// Details for the log; may be empty.
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

/// A part whose frame has been written.
pub(super) struct InFlightPart {
    pub(super) part: RequestId,
    pub(super) attempt: u32,
    pub(super) sent: Instant,
}

/// A call that is being written.
pub(super) struct Sending {
    pub(super) parts: Vec<PartRequest>,
    pub(super) pieces: VecDeque<Bytes>,
    /// Attempts that were cancelled while the call is being written.
    pub(super) given_up: Vec<(RequestId, u32, Outcome)>,
}

/// An open connection with its queued calls and its parts in flight.
pub(super) struct Link {
    pub(super) setup: LinkSetup,
    pub(super) conn: BufferedStream,
    pub(super) queue: VecDeque<Vec<PartRequest>>,
    pub(super) sending: Option<Sending>,
    /// Parts whose frame has been written, by their name on the wire.
    pub(super) in_flight: HashMap<String, InFlightPart>,
    /// Short frames that wait for room in the output buffer.
    pub(super) short_frames: VecDeque<Bytes>,
    /// Cancelled attempts whose cancellation has not been written completely.
    pub(super) pending_cancels: Vec<(RequestId, u32, Outcome)>,
    /// The time since which the oldest cancellation has been waiting.
    pub(super) pending_cancels_since: Instant,
    /// Cancelled attempts whose cancellation has been written, with the time at which to report them to the core.
    pub(super) written_cancels: VecDeque<(Instant, RequestId, u32, Outcome)>,
    /// Received bytes of an incomplete frame.
    pub(super) partial: BytesMut,
    /// Names of the parts answered last.
    pub(super) answered: VecDeque<String>,
    /// Names of the cancelled parts that have not been answered.
    pub(super) given_up: VecDeque<String>,
    /// Number of cancelled parts without an answer. They count towards the connection's limit: a host at its limit of
    /// parts on a connection reads nothing more from it, not even a cancellation.
    pub(super) unanswered_cancels: usize,
    /// Whether the host sent unexpected answers. Parts in flight may still be answered, but no new ones are sent.
    pub(super) has_unexpected_input: bool,
    /// Send times of the probes that have not been answered.
    pub(super) probes: VecDeque<Instant>,
    /// The time at which bytes were last received.
    pub(super) last_received_at: Instant,
    /// The time at which the connection was last used.
    pub(super) last_used_at: Instant,
}

/// Appends a name, and drops the oldest one if there are more than `max_names`.
pub(super) fn push_bounded(names: &mut VecDeque<String>, id: String, max_names: usize) {
    names.push_back(id);
    if names.len() > max_names {
        names.pop_front();
    }
}

impl Link {
    /// Creates the state of a connection that was just established, with the calls that are queued for it.
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
            in_flight: HashMap::new(),
            short_frames: VecDeque::new(),
            pending_cancels: Vec::new(),
            pending_cancels_since: now,
            written_cancels: VecDeque::new(),
            partial: BytesMut::new(),
            answered: VecDeque::new(),
            given_up: VecDeque::new(),
            unanswered_cancels: 0,
            has_unexpected_input: false,
            probes: VecDeque::new(),
            last_received_at: now,
            last_used_at: now,
        }
    }

    pub(super) fn is_busy(&self) -> bool {
        let has_pending =
            !self.queue.is_empty() || !self.probes.is_empty() || !self.written_cancels.is_empty();
        self.sending.is_some() || !self.in_flight.is_empty() || has_pending
    }

    /// Reports the written cancellations that are due by `by` to the core, or all of them if it is `None`.
    pub(super) fn report_cancelled(&mut self, by: Option<Instant>) {
        while let Some((_, part, attempt, outcome)) = self
            .written_cancels
            .front()
            .copied()
            .filter(|l| by.is_none_or(|t| l.0 <= t))
        {
            self.written_cancels.pop_front();
            self.setup.ended(part, attempt, outcome);
        }
    }

    /// Serves the connection until it ends, and returns the reason for its end.
    pub(super) async fn serve(&mut self) -> LinkEnd {
        let mut mailbox_open = true;
        loop {
            if let Err(end) = self.serve_once(&mut mailbox_open).await {
                return end;
            }
        }
    }

    /// Handles pending commands, writes, runs the checks, and then waits for the next event.
    async fn serve_once(&mut self, mailbox_open: &mut bool) -> Result<(), LinkEnd> {
        self.drain_mailbox(mailbox_open)?;
        self.write()
            .map_err(|e| LinkEnd::new("write_failed", e.to_string()))?;
        let now = Instant::now();
        self.report_cancelled(Some(now));
        let idle_left = self
            .setup
            .idle_limit()
            .saturating_sub(now - self.last_used_at);
        if !self.is_busy() {
            self.conn.input.release_memory();
            self.conn.output.release_memory();
            self.partial = BytesMut::new();
        }
        let is_unused = !self.is_busy() && self.pending_cancels.is_empty();
        if is_unused && (idle_left.is_zero() || !*mailbox_open) {
            return self.close_unused(mailbox_open);
        }
        self.check_cancellations(now)?;
        self.check_probe(now);
        self.check_loss()?;
        self.check_usable()?;
        let sleep = self.until_next_check(now, idle_left);
        self.wait(sleep, mailbox_open).await
    }

    /// Handles all commands in the mailbox before the next byte is written: a call must not start if its cancellation
    /// is already there.
    fn drain_mailbox(&mut self, mailbox_open: &mut bool) -> Result<(), LinkEnd> {
        while *mailbox_open {
            match self.setup.mail.try_recv() {
                Ok(command) => self.handle_command_or_end(command)?,
                Err(mpsc::error::TryRecvError::Empty) => break,
                Err(mpsc::error::TryRecvError::Disconnected) => *mailbox_open = false,
            }
        }
        Ok(())
    }

    fn handle_command_or_end(&mut self, command: LinkCommand) -> Result<(), LinkEnd> {
        if self.handle_command(command) {
            Ok(())
        } else {
            Err(LinkEnd::new("released", ""))
        }
    }

    /// Closes the mailbox of an idle connection. Calls that are in it already are still served; new ones use other
    /// connections.
    fn close_unused(&mut self, mailbox_open: &mut bool) -> Result<(), LinkEnd> {
        if !*mailbox_open {
            return Err(LinkEnd::new("peer_gone", ""));
        }
        self.setup.mail.close();
        let Ok(command) = self.setup.mail.try_recv() else {
            return Err(LinkEnd::new("idle", ""));
        };
        *mailbox_open = self.handle_command(command);
        Ok(())
    }

    fn check_cancellations(&self, now: Instant) -> Result<(), LinkEnd> {
        let waits_behind_call = self
            .sending
            .as_ref()
            .is_some_and(|s| !s.given_up.is_empty());
        let is_waiting = waits_behind_call || !self.pending_cancels.is_empty();
        if is_waiting && now - self.pending_cancels_since > CANCEL_TIMEOUT {
            return Err(LinkEnd::new(
                "withdrawn",
                "a cancellation could not be written in time",
            ));
        }
        Ok(())
    }

    /// Fails all probes if the oldest one was not answered in time.
    fn check_probe(&mut self, now: Instant) {
        let is_late = self
            .probes
            .front()
            .is_some_and(|sent_at| now - *sent_at > self.setup.connect_timeout);
        if is_late {
            self.probes.clear();
            self.report_probe(Outcome::Timeout, None);
            self.setup.load.silent.store(true, Ordering::Relaxed);
        }
    }

    fn check_loss(&self) -> Result<(), LinkEnd> {
        let detector = &self.setup.stall_detector;
        if detector.is_lost(self.setup.load.waiting_since(), self.setup.connect_timeout) {
            let parts = self.in_flight.len();
            let detail =
                format!("{parts} parts in flight; later ones were answered on other connections");
            return Err(LinkEnd::new("silent", detail));
        }
        Ok(())
    }

    /// Ends a connection that can't carry further calls.
    fn check_usable(&self) -> Result<(), LinkEnd> {
        let needs_places =
            !self.queue.is_empty() || self.unanswered_cancels > self.setup.streams / 4;
        let has_nothing_out =
            self.sending.is_none() && self.in_flight.is_empty() && self.probes.is_empty();
        let has_nothing_leaving =
            self.written_cancels.is_empty() && self.pending_cancels.is_empty();
        if self.unanswered_cancels > 0 && needs_places && has_nothing_out && has_nothing_leaving {
            let detail = format!(
                "{} cancelled parts without an answer",
                self.unanswered_cancels
            );
            return Err(LinkEnd::new("worn", detail));
        }
        // A silent connection gets no new calls, so it is useless once nothing is in flight on it.
        let is_silent = self.setup.load.silent.load(Ordering::Relaxed);
        if is_silent && !self.is_busy() && self.pending_cancels.is_empty() {
            let code = if self.has_unexpected_input {
                "extra_bytes"
            } else {
                "silent"
            };
            return Err(LinkEnd::new(code, ""));
        }
        Ok(())
    }

    /// Returns the longest time to wait for an event.
    fn until_next_check(&self, now: Instant, idle_left: Duration) -> Duration {
        let mut wait = if self.is_busy() || !self.pending_cancels.is_empty() {
            CHECK_INTERVAL
        } else {
            idle_left
        };
        if let Some(cancel) = self.written_cancels.front() {
            wait = wait.min(cancel.0 - now);
        }
        if !self.partial.is_empty() {
            wait = wait.min((self.last_received_at + FRAME_TIMEOUT).saturating_duration_since(now));
        }
        wait
    }

    /// Waits for a command or for the socket, for at most `sleep`.
    async fn wait(&mut self, sleep: Duration, mailbox_open: &mut bool) -> Result<(), LinkEnd> {
        let interest = if self.conn.output.is_empty() {
            Interest::READABLE
        } else {
            Interest::READABLE | Interest::WRITABLE
        };
        tokio::select! {
            biased;
            command = self.setup.mail.recv(), if *mailbox_open => match command {
                Some(command) => self.handle_command_or_end(command)?,
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
            // Checked only here, with nothing left to read: time in which this process was stalled does not count
            // against the host.
            () = tokio::time::sleep(sleep) => {
                if !self.partial.is_empty() && self.last_received_at.elapsed() >= FRAME_TIMEOUT {
                    return Err(LinkEnd::new("bad_frame", "an incomplete frame timed out"));
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

    /// Handles one command. Returns false if the connection is to be closed.
    pub(super) fn handle_command(&mut self, command: LinkCommand) -> bool {
        match command {
            LinkCommand::Call(parts) => {
                self.last_used_at = Instant::now();
                self.queue.push_back(parts);
            }
            LinkCommand::Cancel(part, attempt, outcome) => self.cancel(part, attempt, outcome),
            LinkCommand::Retract(..) => run_unconnected(&mut self.setup, &mut self.queue, command),
            LinkCommand::Probe => {
                self.last_used_at = Instant::now();
                self.probes.push_back(self.last_used_at);
                self.short_frames.push_back(frames::encode_short(b'l', ""));
            }
            LinkCommand::StopAt(at) => self.setup.stop_at = at,
            LinkCommand::Release => return self.is_busy(),
        }
        true
    }

    pub(super) fn cancel(&mut self, part: RequestId, attempt: u32, outcome: Outcome) {
        let key = (part, attempt);
        if let Some(id) = self
            .in_flight
            .iter()
            .find(|(_, o)| (o.part, o.attempt) == key)
            .map(|(id, _)| id.clone())
        {
            let sent = self.in_flight.remove(&id).map(|o| o.sent);
            let (waiting_since, now) = (self.setup.load.waiting_since(), Instant::now());
            let stalled = self.setup.stall_detector.is_stalled(
                waiting_since,
                now,
                self.setup.connect_timeout,
            );
            if (outcome == Outcome::Timeout || stalled)
                && sent.is_some_and(|s| self.last_received_at < s)
            {
                self.setup.load.silent.store(true, Ordering::Relaxed);
            }
            self.setup
                .load
                .set_waiting_since(waiting_since.filter(|_| !self.in_flight.is_empty()));
            self.short_frames.push_back(frames::encode_short(b'c', &id));
            push_bounded(&mut self.given_up, id, MAX_GIVEN_UP_NAMES);
            self.unanswered_cancels += 1;
            self.setup.load.parts.fetch_add(1, Ordering::Relaxed);
            self.queue_cancel(part, attempt, outcome);
        } else if let Some(s) = self.sending.as_mut() {
            // Its frame is partly written and must be completed; the cancellation follows it.
            if s.parts.iter().any(|p| (p.part, p.attempt) == key) {
                if self.pending_cancels.is_empty() && s.given_up.is_empty() {
                    self.pending_cancels_since = Instant::now();
                }
                s.given_up.push((part, attempt, outcome));
                return;
            }
        }
        run_unconnected(
            &mut self.setup,
            &mut self.queue,
            LinkCommand::Cancel(part, attempt, outcome),
        );
    }

    fn queue_cancel(&mut self, part: RequestId, attempt: u32, outcome: Outcome) {
        if self.pending_cancels.is_empty() {
            self.pending_cancels_since = Instant::now();
        }
        self.pending_cancels.push((part, attempt, outcome));
    }
}
