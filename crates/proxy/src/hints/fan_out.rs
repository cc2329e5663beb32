//! Fan-out of prefix hints: the number of other proxies that a hint is sent to, limited by this process's share of a
//! CPU core and of its network link.

use configuration::MachineLimits;
use std::time::Duration;

/// Fraction of the process's CPU share that sending and receiving hints may use together.
const CPU_SHARE: f64 = 0.15;
/// CPU time for sending or receiving one datagram, in seconds.
const DATAGRAM_CPU_S: f64 = 10e-6;
/// Fraction of the link's bandwidth that sending and receiving hints may use together.
const LINK_SHARE: f64 = 0.1;
/// Size of a hint on the link, in bits: 120 bytes.
const DATAGRAM_BITS: f64 = 8.0 * 120.0;
/// Minimum number of proxies that each hint is sent to, as knowing a part of the fleet is worth the cost on any
/// machine.
const MIN_PEERS: usize = 16;
/// Time constant of the exponentially decaying mean of the hint rate, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 5.0;

/// Computes the number of proxies that hints are sent to from the rate of this proxy's hints. Assumes that the other
/// proxies publish at the same rate, so that as many hints are received as are sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FanOut {
    /// Maximum number of datagrams to send per second.
    max_sent_per_s: f64,
    /// Hints per second, as an exponentially decaying mean at `updated_at`.
    rate_per_s: f64,
    updated_at: Duration,
}

impl FanOut {
    /// Creates the fan-out of a process with these resources.
    pub(crate) fn new(limits: &MachineLimits) -> Self {
        let by_cpu = limits.cpu_fraction * CPU_SHARE / DATAGRAM_CPU_S;
        let by_link = limits.link_mbps * 1e6 * LINK_SHARE / DATAGRAM_BITS;
        Self {
            max_sent_per_s: by_cpu.min(by_link) / 2.0,
            rate_per_s: 0.0,
            updated_at: Duration::ZERO,
        }
    }

    /// Records that a hint is published.
    pub(crate) fn record_hint(&mut self, now: Duration) {
        self.rate_per_s = self.rate_at(now) + 1.0 / RATE_TIME_CONSTANT_S;
        self.updated_at = now;
    }

    /// Returns the maximum number of proxies to send a hint to now, at least [`MIN_PEERS`].
    pub(crate) fn max_peers(&self, now: Duration) -> usize {
        let peers = self.max_sent_per_s / self.rate_at(now).max(1.0);
        (peers as usize).max(MIN_PEERS)
    }

    fn rate_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate_per_s * (-elapsed / RATE_TIME_CONSTANT_S).exp()
    }
}
