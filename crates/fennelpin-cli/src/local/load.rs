//! A little load: requests at a steady rate, each on a connection of its own, their answers counted.

use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{interval, timeout, Instant, MissedTickBehavior};

/// The `Host` of all requests.
pub const HOSTNAME: &str = "here.example";
/// Longest wait of a client.
const DEADLINE: Duration = Duration::from_secs(5);

/// What came of the load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Answered whole with 200.
    pub served: usize,
    /// Told that they have not run.
    pub refused: usize,
    /// All else.
    pub failed: usize,
    /// Times from the request to the whole answer, for those served, in ms, in order.
    pub times: Vec<f64>,
}

impl Summary {
    /// The time within which a share of those served was answered, in ms.
    pub fn within(&self, share: f64) -> f64 {
        let at = (self.times.len() as f64 * share).ceil() as usize;
        self.times.get(at.max(1) - 1).copied().unwrap_or(f64::NAN)
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let Summary {
            served,
            refused,
            failed,
            ..
        } = self;
        write!(to, "{served} served, {refused} refused, {failed} failed")?;
        write!(
            to,
            "; whole answer within {:.1} ms (half), {:.1} ms (99%)",
            self.within(0.5),
            self.within(0.99)
        )
    }
}

/// The status of a plain question; none where there is no whole answer.
pub async fn get(at: SocketAddrV4, path: &str) -> Option<u16> {
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\nFennelpin-Attempt-Id: 0\r\nConnection: close\r\n\r\n"
    );
    exchange(at, text).await
}

async fn exchange(at: SocketAddrV4, text: String) -> Option<u16> {
    let work = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        whole(&answer)
    };
    timeout(DEADLINE, work).await.ok()?
}

/// The status of an answer that came whole.
fn whole(answer: &[u8]) -> Option<u16> {
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&answer[..end])
        .ok()?
        .to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = &answer[end + 4..];
    let length = head.split("\r\n").find_map(|l| {
        l.strip_prefix("content-length:")?
            .trim()
            .parse::<usize>()
            .ok()
    });
    let complete = match length {
        Some(length) => body.len() == length,
        None => body.ends_with(b"0\r\n\r\n"),
    };
    complete.then_some(status)
}

/// The `number`th request; every other round over the proxies is of the other kind.
async fn request(at: SocketAddrV4, number: u32, round: u32) -> (Option<u16>, Duration) {
    let path = if round.is_multiple_of(2) {
        "/ping/a"
    } else {
        "/chat/a"
    };
    let body = "words";
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\nFennelpin-Attempt-Id: {:016x}\r\nFennelpin-Deadline-Ms: {}\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        u64::from(number) + 1,
        DEADLINE.as_millis(),
        body.len()
    );
    let start = Instant::now();
    let status = exchange(at, text).await;
    (status, start.elapsed())
}

/// Sends `rate` requests a second for `time`, to the proxies in turn.
pub async fn run(fronts: &[SocketAddrV4], rate: u32, time: Duration) -> Summary {
    let mut ticks = interval(Duration::from_secs(1) / rate.max(1));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let end = Instant::now() + time;
    let mut out = JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        ticks.tick().await;
        let all = fronts.len();
        out.spawn(request(
            fronts[number as usize % all],
            number,
            number / all as u32,
        ));
        number += 1;
    }
    let mut summary = Summary::default();
    while let Some(done) = out.join_next().await {
        match done {
            Ok((Some(200), took)) => {
                summary.served += 1;
                summary.times.push(took.as_secs_f64() * 1e3);
            }
            Ok((Some(429 | 503), _)) => summary.refused += 1,
            _ => summary.failed += 1,
        }
    }
    summary.times.sort_by(f64::total_cmp);
    summary
}
