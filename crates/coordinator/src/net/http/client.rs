//! One client's connection: reads requests and writes responses, one after the other.

use super::client_liveness::answer_or_gone;
use super::connection_slots::{Admission, Phase};
use super::message::{HttpError, Request, Response};
use super::read::read_request;
use super::server::Shared;
use super::{MAX_BODY_BYTES, OUTPUT_BUFFER_BYTES};
use crate::counters::Counters;
use crate::net::buffered_stream::BufferedStream;
use bytes::BytesMut;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::sync::{watch, Notify};

/// Time for a complete request, counted from the connection for the first request and from its first byte for later
/// ones. It is short, so that clients that send nothing or half a request are closed promptly.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an idle connection is closed once [`CROWDED_SHARE`] of the slots is taken.
const IDLE_TIMEOUT_WHEN_CROWDED: Duration = Duration::from_millis(2200);
/// Share of the slots above which idle connections are closed sooner.
const CROWDED_SHARE: f64 = 0.25;
/// Number of consecutive invalid requests that a client may send without a pause.
const FREE_BAD_REQUESTS: u32 = 2;
/// Pause before the next request is read, for each further invalid request: a client that repeats one at once must not
/// starve the others.
const BAD_REQUEST_PAUSE: Duration = Duration::from_millis(50);
/// Largest number of pauses that add up.
const MAX_BAD_REQUEST_PAUSES: u32 = 8;
/// Time within which a client must receive its response; its connection is closed after that.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a connection is still read after its sending side was shut down.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Retry-after hint for a client without a slot.
const NO_SLOT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The reason code for the end of a connection, as logged.
type EndCode = &'static str;

/// A client's connection and its slot.
pub(super) struct Client<'a> {
    pub(super) stream: BufferedStream,
    pub(super) shared: &'a Shared,
    /// The number of its slot.
    pub(super) slot: u64,
    pub(super) admission: Admission,
    /// Notified when the client may have to leave its slot.
    pub(super) leave: Arc<Notify>,
    /// Becomes true when the server stops.
    pub(super) closing: watch::Receiver<bool>,
}

/// The state of a client's requests.
struct Progress {
    /// Number of requests that were read.
    served: u64,
    /// Number of consecutive invalid requests.
    bad_requests: u32,
    /// The time at which the connection was opened, its last response was written, or its current request began,
    /// whichever is latest.
    since: Instant,
}

impl Client<'_> {
    /// Serves the client until its connection ends. Returns the number of requests and the reason for the end.
    pub(super) async fn serve(mut self) -> (u64, EndCode) {
        let mut progress = Progress {
            served: 0,
            bad_requests: 0,
            since: Instant::now(),
        };
        loop {
            if let Err(code) = self.serve_request(&mut progress).await {
                return (progress.served, code);
            }
        }
    }

    async fn serve_request(&mut self, progress: &mut Progress) -> Result<(), EndCode> {
        if self.stream.input.is_empty() {
            self.wait_for_input(progress).await?;
        }
        if progress.served > 0 {
            progress.since = Instant::now();
            self.enter(Phase::Asking, progress.since);
        }
        let (mut request, keep_alive) = self.read(progress.since).await?;
        progress.served += 1;
        request.latest = self.shared.latest.get().copied();
        let arrived = request.arrived;
        self.enter(Phase::Busy, Instant::now());
        let _open_request = self.shared.counters.open();
        let no_slot = self.shared.must_refuse(self.admission);
        let answer = if no_slot {
            self.shared.counters.inc("answered.refused.client_cap");
            let answer = self.shared.service.no_slot(&request);
            Some(answer.retry_after(Some(NO_SLOT_RETRY_AFTER)))
        } else {
            let service = &self.shared.service;
            answer_or_gone(&mut self.stream, || service.answer(request)).await
        };
        let answer = answer.ok_or("client_gone")?;
        log::trace!("answered {} after {:?}", answer.status, arrived.elapsed());
        progress.count_bad(answer.status);
        if let Some(code) = self.last_answer_code(keep_alive, no_slot) {
            self.finish(&answer).await;
            return Err(code);
        }
        self.respond(&answer).await?;
        progress.since = Instant::now();
        self.enter(Phase::Idle, progress.since);
        progress.pause_after_bad().await;
        Ok(())
    }

    fn enter(&self, phase: Phase, now: Instant) {
        self.shared.slots().enter(self.slot, phase, now);
    }

    /// Waits for the first bytes of a request.
    async fn wait_for_input(&mut self, progress: &Progress) -> Result<(), EndCode> {
        self.stream.input.release_memory();
        self.stream.output.release_memory();
        let idle_timeout = if self.shared.is_crowded(CROWDED_SHARE) {
            IDLE_TIMEOUT_WHEN_CROWDED
        } else {
            IDLE_TIMEOUT
        };
        let (timeout, code) = if progress.served == 0 {
            (REQUEST_TIMEOUT, "silent")
        } else {
            (idle_timeout, "idle")
        };
        let end = progress.since + timeout;
        tokio::select! {
            biased;
            read = self.stream.fill() => match read {
                Ok(0) => Err("peer_closed"),
                Ok(_) => Ok(()),
                Err(_) => Err("io_error"),
            },
            _ = self.closing.wait_for(|closing| *closing) => Err("stopping"),
            () = self.shared.wait_to_leave(self.slot, &self.leave) => Err("made_room"),
            () = tokio::time::sleep_until(end.into()) => Err(code),
        }
    }

    /// Reads a request that began at `since`. Returns whether the connection may be kept after it.
    async fn read(&mut self, since: Instant) -> Result<(Request, bool), EndCode> {
        let deadline = since + REQUEST_TIMEOUT;
        let read = tokio::select! {
            biased;
            read = tokio::time::timeout_at(deadline.into(), read_request(&mut self.stream, MAX_BODY_BYTES)) => read,
            () = self.shared.wait_to_leave(self.slot, &self.leave) => return Err("made_room"),
        };
        let error = match read.unwrap_or(Err(HttpError::Slow)) {
            Ok(read) => return Ok(read),
            Err(error) => error,
        };
        self.shared.counters.inc("requests.unreadable");
        if let Some(status) = error.status() {
            let answer = self.shared.service.error(status, &error.to_string());
            self.finish(&answer).await;
        }
        Err(error.code())
    }

    /// Returns the reason why the current response is the connection's last; `None` if it is not.
    fn last_answer_code(&self, keep_alive: bool, no_slot: bool) -> Option<EndCode> {
        if *self.closing.borrow() {
            return Some("stopping");
        }
        if no_slot {
            return Some("at_cap");
        }
        if self.shared.limits.replaced() {
            return Some("replaced");
        }
        let one_request = self.shared.limits.one_request_per_connection;
        (!keep_alive || one_request).then_some("asked_to_close")
    }

    /// Writes a response after which the connection is kept.
    async fn respond(&mut self, answer: &Response) -> Result<(), EndCode> {
        match tokio::time::timeout(RESPONSE_TIMEOUT, write(&mut self.stream, answer, false)).await {
            Ok(Ok(())) => count_ends(answer, &self.shared.counters),
            Ok(Err(_)) => return Err("client_gone"),
            Err(_) => return Err("client_too_slow"),
        }
        Ok(())
    }

    /// Writes the last response and ends the connection.
    async fn finish(&mut self, answer: &Response) {
        let written = tokio::time::timeout(RESPONSE_TIMEOUT, write(&mut self.stream, answer, true));
        if let Ok(Ok(())) = written.await {
            count_ends(answer, &self.shared.counters);
            linger(&mut self.stream).await;
        }
    }
}

impl Progress {
    /// Counts an invalid request, or resets the count after a valid one. 429 and 5xx statuses are responses to valid
    /// queries; statuses from 400 to 428 are responses to invalid requests.
    fn count_bad(&mut self, status: u16) {
        self.bad_requests = if (400..429).contains(&status) {
            self.bad_requests + 1
        } else {
            0
        };
    }

    async fn pause_after_bad(&self) {
        if self.bad_requests > FREE_BAD_REQUESTS {
            let pauses = (self.bad_requests - FREE_BAD_REQUESTS).min(MAX_BAD_REQUEST_PAUSES);
            tokio::time::sleep(BAD_REQUEST_PAUSE * pauses).await;
        }
    }
}

/// Counts the requests that end with a response, once it is written.
fn count_ends(answer: &Response, counters: &Counters) {
    for (class, end) in &answer.ends {
        counters.ended(*class, *end);
    }
}

async fn write(stream: &mut BufferedStream, answer: &Response, close: bool) -> std::io::Result<()> {
    // Small responses are written in one piece, so that a client can recognize one that was cut off.
    let mut head = BytesMut::from(answer.head(close).as_bytes());
    if answer.body.len() < OUTPUT_BUFFER_BYTES / 2 {
        head.extend_from_slice(&answer.body);
        return stream.write_all(&head).await;
    }
    stream.write_all(&head).await?;
    stream.write_all(&answer.body).await
}

/// Shuts down the sending side and reads for a moment more: closing with unread input would reset the connection, and
/// the client could lose the response.
async fn linger(stream: &mut BufferedStream) {
    let _ = stream.stream.shutdown().await;
    let drain = async {
        let mut left = 4 * MAX_BODY_BYTES;
        while left > 0 {
            stream.input.consume(stream.input.len());
            match stream.fill().await {
                Ok(bytes) if bytes > 0 => left = left.saturating_sub(bytes),
                _ => return,
            }
        }
    };
    let _ = tokio::time::timeout(LINGER_TIMEOUT, drain).await;
}
