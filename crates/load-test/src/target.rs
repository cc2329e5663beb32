//! A target of known behaviour in place of a coordinator, to measure the generator against: it answers the
//! platform's protocol at once, after a fixed time, or as queues with one server each, and may stand still
//! for a stated time.

use bytes::{Buf, BytesMut};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::{mpsc, Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};

const ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 25\r\n\r\n\
                        {\"full\":true,\"pieces\":[]}";

/// How long an answer takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Service {
    /// Nothing is waited for.
    Instant,
    /// The same for each.
    Fixed(Duration),
    /// So many queues of one server each, chosen by the query's key, and the time that each query takes
    /// there (M/D/1 where queries come as a Poisson process).
    Queues(u32, Duration),
}

/// A target.
#[derive(Clone, Copy, Debug)]
pub struct TargetSpec {
    /// Threads.
    pub threads: usize,
    /// How long an answer takes.
    pub service: Service,
    /// Stands still from this instant on, for so long: all that would be answered meanwhile is answered
    /// at its end.
    pub stall: Option<(Instant, Duration)>,
}

/// A target that runs; it ends when this is dropped.
pub struct Target {
    /// Where it listens.
    pub addr: SocketAddr,
    stop: watch::Sender<bool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

struct Due(Instant, oneshot::Sender<()>);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.cmp(&other.0)
    }
}

/// A thread that keeps times with the kernel's resolution.
fn timekeeper(orders: &mpsc::Receiver<Due>) {
    let mut heap: BinaryHeap<Reverse<Due>> = BinaryHeap::new();
    loop {
        let next = heap
            .peek()
            .map(|Reverse(d)| d.0.saturating_duration_since(Instant::now()));
        let order = match next {
            Some(left) if left.is_zero() => {
                if let Some(Reverse(due)) = heap.pop() {
                    let _ = due.1.send(());
                }
                continue;
            }
            Some(left) => match orders.recv_timeout(left) {
                Err(mpsc::RecvTimeoutError::Timeout) => continue,
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
                Ok(order) => order,
            },
            None => match orders.recv() {
                Ok(order) => order,
                Err(_) => return,
            },
        };
        heap.push(Reverse(order));
    }
}

struct Shared {
    spec: TargetSpec,
    /// When each queue's server is free.
    free: Mutex<Vec<Instant>>,
    orders: mpsc::Sender<Due>,
}

impl Shared {
    /// When a query that came now is answered.
    fn answer_at(&self, key: u64, now: Instant) -> Instant {
        let held = |at: Instant| match self.spec.stall {
            Some((from, length)) if at >= from && at < from + length => from + length,
            _ => at,
        };
        match self.spec.service {
            Service::Instant => held(now),
            Service::Fixed(time) => held(now + time),
            Service::Queues(count, time) => {
                let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
                let free = &mut free[(key % u64::from(count)) as usize];
                *free = held((*free).max(now) + time);
                *free
            }
        }
    }
}

impl Target {
    /// Starts one on loopback, at a port that the system chooses or at `addr`.
    ///
    /// # Errors
    /// If the socket or a thread can't be had.
    pub fn start(spec: TargetSpec, addr: Option<SocketAddr>) -> std::io::Result<Self> {
        let addr = addr.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = fake_hosts::fleet::listener(addr)?;
        let addr = listener.local_addr()?;
        let (orders, received) = mpsc::channel();
        let mut threads = vec![std::thread::spawn(move || timekeeper(&received))];
        let queues = if let Service::Queues(n, _) = spec.service {
            n as usize
        } else {
            0
        };
        let free = Mutex::new(vec![Instant::now(); queues]);
        let shared = Arc::new(Shared { spec, free, orders });
        let (stop, stopping) = watch::channel(false);
        for _ in 0..spec.threads.max(1) {
            let (listener, shared, mut stopping) =
                (listener.try_clone()?, shared.clone(), stopping.clone());
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            threads.push(std::thread::spawn(move || {
                runtime.block_on(async move {
                    let Ok(listener) = TcpListener::from_std(listener) else {
                        return;
                    };
                    loop {
                        tokio::select! {
                            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                                tokio::spawn(serve(stream, shared.clone()));
                            },
                            _ = stopping.changed() => return,
                        }
                    }
                });
            }));
        }
        Ok(Self {
            addr,
            stop,
            threads,
        })
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
        for t in self.threads.drain(..) {
            let _ = t.join();
        }
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let mut input = BytesMut::with_capacity(4096);
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Request::new(&mut headers);
        let (consumed, length, key) = match head.parse(&input) {
            Ok(httparse::Status::Complete(n)) => {
                let find = |name: &str| {
                    let h = head
                        .headers
                        .iter()
                        .find(|h| h.name.eq_ignore_ascii_case(name))?;
                    std::str::from_utf8(h.value).ok()
                };
                let length = find("Content-Length")
                    .and_then(|l| l.parse().ok())
                    .unwrap_or(0);
                let key = find("Req-Key")
                    .and_then(|k| u64::from_str_radix(k, 16).ok())
                    .unwrap_or(0);
                (n, length, key)
            }
            Ok(httparse::Status::Partial) if input.len() < 16 * 1024 => {
                if !stream.read_buf(&mut input).await.is_ok_and(|n| n > 0) {
                    return;
                }
                continue;
            }
            _ => return,
        };
        while input.len() < consumed + length {
            if !stream.read_buf(&mut input).await.is_ok_and(|n| n > 0) {
                return;
            }
        }
        input.advance(consumed + length);
        let now = Instant::now();
        let at = shared.answer_at(key, now);
        if at > now {
            let (tx, done) = oneshot::channel();
            if shared.orders.send(Due(at, tx)).is_err() || done.await.is_err() {
                return;
            }
        }
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}
