//! One client's connection: its requests are read, answered and written in turn.

use super::client_liveness::answer_or_gone;
use super::connection_slots::{Admission, Phase};
use super::message::{HttpError, Response};
use super::read::read_request;
use super::server::Shared;
use super::{MOST_BODY, OUTPUT};
use crate::counters::Counters;
use crate::net::buffered_stream::BufferedStream;
use bytes::BytesMut;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::sync::{watch, Notify};

/// A client must have sent its first request whole in this time from connecting, and any later one from
/// its first byte: whoever says nothing, or half of something, is let go while it still counts as prompt.
const SLOW_REQUEST: Duration = Duration::from_secs(2);
/// An unused connection is closed after this, and sooner once more than a share of the seats is taken.
const IDLE: (Duration, Duration) = (Duration::from_secs(10), Duration::from_millis(2200));
const ROOMY: f64 = 0.25;
/// After so many answers in a row to what was no query the next request is read so much later for each one
/// more, up to a limit: who asks again at once must not starve the others.
const FREE_BAD: u32 = 2;
const BAD_PAUSE: Duration = Duration::from_millis(50);
const MOST_PAUSES: u32 = 8;
/// A client that does not take its answer is let go after this.
const SLOW_CLIENT: Duration = Duration::from_secs(5);

/// Serves one client; gives the number of requests and the reason for the end.
pub(super) async fn client(
    mut conn: BufferedStream,
    shared: &Shared,
    seat: u64,
    admission: Admission,
    leave: Arc<Notify>,
    mut closing: watch::Receiver<bool>,
) -> (u64, &'static str) {
    let (mut served, mut bad) = (0, 0u32);
    let mut since = Instant::now();
    loop {
        if conn.input.is_empty() {
            conn.input.give_back();
            conn.output.give_back();
            let idle = if shared.crowded(ROOMY) {
                IDLE.1
            } else {
                IDLE.0
            };
            let end = since + if served == 0 { SLOW_REQUEST } else { idle };
            tokio::select! {
                biased;
                got = conn.fill() => match got {
                    Ok(0) => return (served, "peer_closed"),
                    Ok(_) => {}
                    Err(_) => return (served, "io_error"),
                },
                _ = closing.wait_for(|c| *c) => return (served, "stopping"),
                () = shared.told_to_leave(seat, &leave) => return (served, "made_room"),
                _ = tokio::time::sleep_until(end.into()) => return (served, if served == 0 { "silent" } else { "idle" }),
            }
        }
        if served > 0 {
            since = Instant::now();
            shared.seats().enter(seat, Phase::Asking, since);
        }
        let read = tokio::select! {
            biased;
            read = tokio::time::timeout_at((since + SLOW_REQUEST).into(), read_request(&mut conn, MOST_BODY)) => read,
            () = shared.told_to_leave(seat, &leave) => return (served, "made_room"),
        };
        let (mut request, keep) = match read.unwrap_or(Err(HttpError::Slow)) {
            Ok(read) => read,
            Err(e) => {
                shared.counters.inc("requests.unreadable");
                if let Some(status) = e.status() {
                    let answer = shared.service.error(status, &e.to_string());
                    finish(&mut conn, &answer, &shared.counters).await;
                }
                return (served, e.code());
            }
        };
        served += 1;
        request.latest = shared.latest.get().copied();
        let arrived = request.arrived;
        shared.seats().enter(seat, Phase::Busy, Instant::now());
        let _open = shared.counters.open();
        let over = shared.refuses(admission);
        let answer = if over {
            shared.counters.inc("answered.refused.client_cap");
            let answer = shared.service.non_member_info(&request);
            Some(answer.retry_after(Some(Duration::from_secs(1))))
        } else {
            answer_or_gone(&mut conn, || shared.service.answer(request)).await
        };
        let Some(answer) = answer else {
            return (served, "client_gone");
        };
        log::trace!("answered {} after {:?}", answer.status, arrived.elapsed());
        // 429 and the fives are answers to queries; the other fours are for what was none.
        bad = if (400..429).contains(&answer.status) {
            bad + 1
        } else {
            0
        };
        let stopping = *closing.borrow();
        let replaced = shared.limits.replaced();
        if !keep || over || stopping || replaced || shared.limits.one_call {
            finish(&mut conn, &answer, &shared.counters).await;
            let codes = [
                (stopping, "stopping"),
                (over, "at_cap"),
                (replaced, "replaced"),
            ];
            return (
                served,
                codes.iter().find(|c| c.0).map_or("asked_to_close", |c| c.1),
            );
        }
        match tokio::time::timeout(SLOW_CLIENT, write(&mut conn, &answer, false)).await {
            Ok(Ok(())) => tally(&answer, &shared.counters),
            Ok(Err(_)) => return (served, "client_gone"),
            Err(_) => return (served, "client_too_slow"),
        }
        since = Instant::now();
        shared.seats().enter(seat, Phase::Idle, since);
        if bad > FREE_BAD {
            tokio::time::sleep(BAD_PAUSE * (bad - FREE_BAD).min(MOST_PAUSES)).await;
        }
    }
}

/// The answer is its client's now: what ends with it counts.
fn tally(answer: &Response, counters: &Counters) {
    answer
        .ends
        .iter()
        .for_each(|(class, end)| counters.ended(*class, *end));
}

/// A last answer, and then no more.
async fn finish(conn: &mut BufferedStream, answer: &Response, counters: &Counters) {
    if let Ok(Ok(())) = tokio::time::timeout(SLOW_CLIENT, write(conn, answer, true)).await {
        tally(answer, counters);
        linger(conn).await;
    }
}

async fn write(conn: &mut BufferedStream, answer: &Response, close: bool) -> std::io::Result<()> {
    // Small answers go out in one piece: a client must be able to tell a cut one.
    let mut head = BytesMut::from(answer.head(close).as_bytes());
    if answer.body.len() < OUTPUT / 2 {
        head.extend_from_slice(&answer.body);
        return conn.write_all(&head).await;
    }
    conn.write_all(&head).await?;
    conn.write_all(&answer.body).await
}

/// Reads on for a moment: closing with input unread would reset the connection and take the answer along.
async fn linger(conn: &mut BufferedStream) {
    let _ = conn.stream.shutdown().await;
    let drain = async {
        let mut left = 4 * MOST_BODY;
        while left > 0 {
            conn.input.consume(conn.input.len());
            match conn.fill().await {
                Ok(n) if n > 0 => left = left.saturating_sub(n),
                _ => return,
            }
        }
    };
    let _ = tokio::time::timeout(Duration::from_millis(200), drain).await;
}
