//! A relay between coordinators: each pair's datagrams pass through sockets of its own, where they can be lost,
//! duplicated, delayed out of order, or cut off in one direction.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often a relay's thread checks whether it has to end.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What happens to datagrams on their way.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Share that is lost.
    pub lose: f64,
    /// Share that comes twice.
    pub double: f64,
    /// Longest delay, each datagram's drawn evenly up to it: so they overtake each other.
    pub delay: Duration,
    /// Ways that are cut, from and to.
    pub cut: BTreeSet<(usize, usize)>,
}

/// Relays between so many coordinators, on loopback. Its threads end with it.
pub struct Relay {
    /// By coordinator: the address under which it knows each of the others (its own is nobody's).
    pub known: Vec<Vec<SocketAddr>>,
    sockets: Arc<Vec<Vec<UdpSocket>>>,
    listens: Arc<Vec<SocketAddr>>,
    faults: Arc<Mutex<Faults>>,
    passed: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay to these addresses, without faults. Its random numbers follow from the seed.
    ///
    /// # Errors
    /// If a socket can't be had.
    pub fn start(listens: Vec<SocketAddr>, seed: u64) -> std::io::Result<Self> {
        let n = listens.len();
        let bind = |_| UdpSocket::bind("127.0.0.1:0");
        let row = |_| (0..n).map(bind).collect::<std::io::Result<Vec<_>>>();
        let sockets = (0..n).map(row).collect::<std::io::Result<Vec<_>>>()?;
        let mut known = Vec::new();
        for row in &sockets {
            known.push(
                row.iter()
                    .map(UdpSocket::local_addr)
                    .collect::<std::io::Result<Vec<_>>>()?,
            );
        }
        let relay = Self {
            known,
            sockets: Arc::new(sockets),
            listens: Arc::new(listens),
            faults: Arc::default(),
            passed: Arc::default(),
            stop: Arc::default(),
        };
        for from in 0..n {
            for to in (0..n).filter(|to| *to != from) {
                relay.forward(from, to, seed ^ (from * n + to) as u64);
            }
        }
        Ok(relay)
    }

    fn forward(&self, from: usize, to: usize, seed: u64) {
        let (sockets, listens) = (self.sockets.clone(), self.listens.clone());
        let (faults, passed, stop) = (self.faults.clone(), self.passed.clone(), self.stop.clone());
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let _ = sockets[from][to].set_read_timeout(Some(STOP_POLL_INTERVAL));
        thread::spawn(move || {
            let mut buffer = [0; 2048];
            while !stop.load(Ordering::Relaxed) {
                let Ok((n, _)) = sockets[from][to].recv_from(&mut buffer) else {
                    continue;
                };
                let now = faults.lock().map(|f| f.clone()).unwrap_or_default();
                if now.cut.contains(&(from, to)) || rng.random::<f64>() < now.lose {
                    continue;
                }
                for _ in 0..1 + usize::from(rng.random::<f64>() < now.double) {
                    passed.fetch_add(1, Ordering::Relaxed);
                    let (sockets, listen, bytes) =
                        (sockets.clone(), listens[to], buffer[..n].to_vec());
                    let wait = now.delay.mul_f64(rng.random::<f64>());
                    // It leaves by the address under which the receiver knows the sender.
                    let send = move || drop(sockets[to][from].send_to(&bytes, listen));
                    if wait.is_zero() {
                        send();
                    } else {
                        thread::spawn(move || {
                            thread::sleep(wait);
                            send();
                        });
                    }
                }
            }
        });
    }

    /// Sets what happens from now on.
    pub fn set(&self, faults: Faults) {
        if let Ok(mut now) = self.faults.lock() {
            *now = faults;
        }
    }

    /// Sends bytes to one coordinator as though another had sent them.
    ///
    /// # Errors
    /// If the datagram can't be sent.
    pub fn forge(&self, from: usize, to: usize, bytes: &[u8]) -> std::io::Result<usize> {
        self.sockets[to][from].send_to(bytes, self.listens[to])
    }

    /// Datagrams let through so far.
    pub fn passed(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
