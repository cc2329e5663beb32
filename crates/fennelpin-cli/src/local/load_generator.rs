//! Load generator: requests at a steady rate, each on a connection of its own.

use crate::http_response::HttpResponse;
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
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Outcomes of all requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSummary {
    /// Requests with a complete answer of status 200.
    pub served: usize,
    /// Requests answered with 429 or 503: they have not run.
    pub rejected: usize,
    /// All others.
    pub failed: usize,
    /// Times from request to complete answer of those served, in ms, sorted.
    pub latencies_ms: Vec<f64>,
}

impl LoadSummary {
    /// The latency that this share of the served requests didn't exceed, in ms; NaN where none was served.
    pub fn latency_quantile_ms(&self, share: f64) -> f64 {
        let rank = (self.latencies_ms.len() as f64 * share).ceil() as usize;
        self.latencies_ms
            .get(rank.max(1) - 1)
            .copied()
            .unwrap_or(f64::NAN)
    }
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{} served, {} refused, {} failed; whole answer within {:.1} ms (half), {:.1} ms (99%)",
            self.served,
            self.rejected,
            self.failed,
            self.latency_quantile_ms(0.5),
            self.latency_quantile_ms(0.99)
        )
    }
}

/// Sends this many requests a second for a time, to the proxies in turn, and waits for all answers.
pub async fn run(
    fronts: &[SocketAddrV4],
    requests_per_second: u32,
    duration: Duration,
) -> LoadSummary {
    let mut ticks = interval(Duration::from_secs(1) / requests_per_second.max(1));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let end = Instant::now() + duration;
    let mut in_flight = JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        ticks.tick().await;
        let front = fronts[number as usize % fronts.len()];
        let round = number / fronts.len() as u32;
        in_flight.spawn(request(front, number, round));
        number += 1;
    }
    let mut summary = LoadSummary::default();
    while let Some(result) = in_flight.join_next().await {
        match result {
            Ok((Some(200), latency)) => {
                summary.served += 1;
                summary.latencies_ms.push(latency.as_secs_f64() * 1e3);
            }
            Ok((Some(429 | 503), _)) => summary.rejected += 1,
            _ => summary.failed += 1,
        }
    }
    summary.latencies_ms.sort_by(f64::total_cmp);
    summary
}

/// Sends one request. Every other round over the proxies is for the streaming service.
async fn request(front: SocketAddrV4, number: u32, round: u32) -> (Option<u16>, Duration) {
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
        REQUEST_TIMEOUT.as_millis(),
        body.len()
    );
    let start = Instant::now();
    let status = exchange(front, text).await;
    (status, start.elapsed())
}

/// Sends a GET request. Returns the status; `None` without a complete answer in time.
pub async fn get(addr: SocketAddrV4, path: &str) -> Option<u16> {
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\nFennelpin-Attempt-Id: 0\r\nConnection: close\r\n\r\n"
    );
    exchange(addr, text).await
}

async fn exchange(addr: SocketAddrV4, request: String) -> Option<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        HttpResponse::parse(&answer).map(|response| response.status)
    };
    timeout(REQUEST_TIMEOUT, exchange).await.ok()?
}
