//! Clients that keep connections, and each use them in their own way.

use super::front_selection::{Front, FrontSelection};
use super::recorder::{Recorder, RequestEnd, RequestKind, RequestRecord};
use super::response::Connection;
use super::stop_signal::StopSignal;
use super::stream_hosts::{StreamFraming, Work, BREAKING_SUFFIX};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::io::Write;
use std::time::{Duration, Instant};

/// The routes' deadline; as long as the grace, so that a request that comes with the signal may just fit or not.
pub const DEADLINE: Duration = Duration::from_secs(4);
/// Longest wait for the next byte of a response: longer than any deadline.
const READ_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause before a connection is tried again.
const CONNECT_PAUSE: Duration = Duration::from_millis(20);

/// How a client uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    /// Closes a connection with the response that says so.
    Polite,
    /// Sends on until the connection ends, whatever responses say.
    Persistent,
    /// Sends two requests at a time.
    Pipelining,
    /// Sends a request's body some time after its head.
    Slow,
    /// Closes the connection at times before the response is there.
    Impatient,
}

/// The habits without faults, and the one that comes with them.
const HABITS: [Habit; 6] = [
    Habit::Impatient,
    Habit::Polite,
    Habit::Persistent,
    Habit::Pipelining,
    Habit::Slow,
    Habit::Persistent,
];

/// A request that is to be sent.
struct Request {
    kind: RequestKind,
    work: Work,
    deadline: Duration,
}

/// A request under way.
struct SentRequest {
    request: Request,
    began_at: Instant,
    sent_at: Instant,
}

/// One client.
pub struct Client<'a> {
    number: usize,
    habit: Habit,
    /// Whether hosts break off some of its responses.
    faults: bool,
    random: Pcg64Mcg,
    requests: u64,
    fronts: &'a FrontSelection,
    recorder: &'a Recorder,
    stop: &'a StopSignal,
}

impl<'a> Client<'a> {
    pub fn new(
        number: usize,
        seed: u64,
        fronts: &'a FrontSelection,
        recorder: &'a Recorder,
        stop: &'a StopSignal,
        faults: bool,
    ) -> Self {
        let state = u128::from(seed) << 64 | (number as u128) << 1 | 1;
        Self {
            number,
            habit: if faults {
                HABITS[number % HABITS.len()]
            } else {
                HABITS[1 + number % (HABITS.len() - 1)]
            },
            faults,
            random: Pcg64Mcg::new(state),
            requests: 0,
            fronts,
            recorder,
            stop,
        }
    }

    /// Sends requests until the end of the run.
    pub fn run(mut self) {
        let mut kept: Option<(Front, Connection)> = None;
        while !self.stop.is_raised() {
            if kept.is_none() {
                kept = self.connect();
            }
            let Some((front, mut connection)) = kept.take() else {
                self.stop.wait(CONNECT_PAUSE);
                continue;
            };
            if self.exchange(&front, &mut connection) {
                kept = Some((front, connection));
            }
            let pause = self.draw_pause();
            self.stop.wait(pause);
        }
    }

    fn connect(&mut self) -> Option<(Front, Connection)> {
        let (front, stream) = self.fronts.connect(&mut self.random)?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        Some((front, Connection::new(stream)))
    }

    /// Sends one or two requests and reads their responses. Whether the connection is kept.
    fn exchange(&mut self, front: &Front, connection: &mut Connection) -> bool {
        if connection.has_unread_input() {
            self.recorder.record_failure(format!(
                "client {}: bytes that nobody asked for",
                self.number
            ));
            return false;
        }
        let count = if self.habit == Habit::Pipelining {
            2
        } else {
            1
        };
        let mut under_way = Vec::new();
        for _ in 0..count {
            let request = self.draw_request();
            let began_at = Instant::now();
            let Some(sent_at) = self.send(connection, &request) else {
                break;
            };
            under_way.push(SentRequest {
                request,
                began_at,
                sent_at,
            });
        }
        if self.gives_up(&under_way) {
            return false;
        }
        if under_way.len() < count {
            // What was sent whole before may still have its response.
            self.read_responses(front, connection, under_way);
            return false;
        }
        self.read_responses(front, connection, under_way)
    }

    /// Whether the client leaves now, some time after its request.
    fn gives_up(&mut self, under_way: &[SentRequest]) -> bool {
        if self.habit != Habit::Impatient || self.random.random_bool(0.6) {
            return false;
        }
        let patience = Duration::from_millis(self.random.random_range(0..600));
        self.stop.wait(patience);
        !under_way.is_empty()
    }

    fn read_responses(
        &mut self,
        front: &Front,
        connection: &mut Connection,
        under_way: Vec<SentRequest>,
    ) -> bool {
        let mut kept = true;
        let mut ended = false;
        let mut last_ended_at = None;
        for sent in under_way {
            let behind_incomplete = ended;
            let end = if ended {
                RequestEnd::Unanswered
            } else {
                let response = connection.read_response(&sent.request.work);
                let answered = matches!(response.end, RequestEnd::Answered { .. });
                ended = !answered;
                kept &= answered && (!response.is_last || self.habit == Habit::Persistent);
                response.end
            };
            let ended_at = Instant::now();
            let turn_at = last_ended_at.replace(ended_at).unwrap_or(sent.sent_at);
            self.recorder.record_request(RequestRecord {
                id: sent.request.work.id,
                edge: front.edge,
                kind: sent.request.kind,
                began_at: sent.began_at,
                sent_at: sent.sent_at,
                deadline: sent.request.deadline,
                turn_at,
                behind_incomplete,
                end,
                ended_at,
            });
        }
        kept
    }

    /// Sends a request; when its last byte was handed to the kernel, or `None` if the connection has ended before.
    fn send(&mut self, connection: &mut Connection, request: &Request) -> Option<Instant> {
        let route = match request.kind {
            RequestKind::Pure => "pure",
            RequestKind::Mutating => "once",
            RequestKind::Stream => "live",
            RequestKind::ResumableStream => "more",
        };
        let body = request.work.to_string();
        let head = format!(
            "POST /{route}/x HTTP/1.1\r\nHost: h.example\r\nFennelpin-Attempt-Id: {}\r\n\
             Fennelpin-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
            request.work.id,
            request.deadline.as_millis(),
            body.len()
        );
        let stream = &mut connection.stream;
        if self.habit == Habit::Slow {
            let (first, rest) = body.as_bytes().split_at(body.len() / 2);
            stream.write_all(&[head.as_bytes(), first].concat()).ok()?;
            let pause = Duration::from_millis(self.random.random_range(0..800));
            self.stop.wait(pause);
            stream.write_all(rest).ok()?;
        } else {
            stream
                .write_all(&[head.as_bytes(), body.as_bytes()].concat())
                .ok()?;
        }
        Some(Instant::now())
    }

    fn draw_request(&mut self) -> Request {
        self.requests += 1;
        let breaks = self.faults && self.random.random_bool(0.04);
        let suffix = if breaks { BREAKING_SUFFIX } else { "" };
        let id = format!("c{}-{}{suffix}", self.number, self.requests);
        let (kind, events) = match self.random.random_range(0..10) {
            0..4 => (RequestKind::Pure, 0),
            4..6 => (RequestKind::Mutating, 0),
            6..9 => (RequestKind::Stream, self.random.random_range(1..25)),
            _ => (
                RequestKind::ResumableStream,
                self.random.random_range(1..25),
            ),
        };
        // Every second stream ends with its host's connection.
        let framing = if events > 0 && self.requests.is_multiple_of(2) {
            StreamFraming::CloseDelimited
        } else {
            StreamFraming::Chunked
        };
        let long = self.random.random_bool(0.15);
        let max_gap_ms = if long { 400 } else { 40 };
        let max_delay_ms = if long { 1500 } else { 40 };
        let short_deadline = self.random.random_bool(0.2);
        let deadline = if short_deadline {
            Duration::from_millis(self.random.random_range(300..3000))
        } else {
            DEADLINE
        };
        let work = Work {
            id,
            delay: Duration::from_millis(self.random.random_range(0..max_delay_ms)),
            events,
            gap: Duration::from_millis(self.random.random_range(0..max_gap_ms)),
            framing,
        };
        Request {
            kind,
            work,
            deadline,
        }
    }

    fn draw_pause(&mut self) -> Duration {
        let max_ms = if self.random.random_bool(0.1) {
            1500
        } else {
            40
        };
        Duration::from_millis(self.random.random_range(0..max_ms))
    }
}
