//! The platform's choice of a proxy for a new connection: those that were ready at one of their last two probes.

use super::harness::faulty_hosts;
use super::stop_signal::StopSignal;
use rand::seq::IndexedRandom;
use rand::Rng;
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

/// Time between two probes of a proxy, and the longest wait for its answer.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Probes in a row that a proxy misses before it is taken out.
const MAX_MISSED_PROBES: u32 = 2;
const PROBE: &[u8] =
    b"GET /fennelpin/readiness HTTP/1.1\r\nHost: edge\r\nConnection: close\r\n\r\n";

/// A proxy's addresses.
#[derive(Clone, Copy, Debug)]
pub struct Front {
    /// The machine's number, from 1 on.
    pub edge: u8,
    pub clients: SocketAddrV4,
    pub readiness: SocketAddrV4,
}

/// Which proxies get new connections.
pub struct FrontSelection {
    fronts: Vec<Front>,
    missed_probes: Mutex<Vec<u32>>,
}

impl FrontSelection {
    /// All proxies count as ready at first.
    pub fn new(fronts: Vec<Front>) -> Self {
        let missed_probes = Mutex::new(vec![0; fronts.len()]);
        Self {
            fronts,
            missed_probes,
        }
    }

    /// Probes all proxies in turn until the end of the run.
    pub fn probe_until(&self, stop: &StopSignal) {
        let pause = PROBE_INTERVAL / self.fronts.len() as u32;
        for n in (0..self.fronts.len()).cycle() {
            if stop.wait(pause) {
                return;
            }
            let ready = is_ready(self.fronts[n].readiness).unwrap_or(false);
            let missed = &mut self.missed_probes.lock().unwrap()[n];
            *missed = if ready { 0 } else { *missed + 1 };
        }
    }

    /// A new connection to a proxy that is in use, or to any where under half of them are; `None` if it isn't accepted.
    pub fn connect(&self, random: &mut impl Rng) -> Option<(Front, TcpStream)> {
        let in_use: Vec<Front> = {
            let missed = self.missed_probes.lock().unwrap();
            let fronts = self.fronts.iter().zip(missed.iter());
            fronts
                .filter(|(_, missed)| **missed < MAX_MISSED_PROBES)
                .map(|(front, _)| *front)
                .collect()
        };
        let candidates = if in_use.len() * 2 < self.fronts.len() {
            &self.fronts
        } else {
            &in_use
        };
        let front = *candidates.choose(random)?;
        Some((front, faulty_hosts::connect(front.clients)?))
    }
}

fn is_ready(address: SocketAddrV4) -> Option<bool> {
    let mut stream = TcpStream::connect_timeout(&address.into(), PROBE_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(PROBE_TIMEOUT)).ok()?;
    stream.write_all(PROBE).ok()?;
    let mut text = Vec::new();
    stream.read_to_end(&mut text).ok()?;
    Some(text.starts_with(b"HTTP/1.1 200"))
}
