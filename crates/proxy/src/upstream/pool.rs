//! A pool of idle connections by host, with limits on the number of open ones. No I/O.
//!
//! All times are durations since an origin that the caller chooses.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Longest time for which a connection stays idle, even if its host allows more.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time before the host's idle timeout at which a connection is closed, so that no request is sent while the host
/// closes it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Upper bound on the timeout that is read from a host's `Keep-Alive` field.
const MAX_KEEP_ALIVE_SECONDS: u64 = 3600;

/// Time for which a connection may stay idle, from its host's `Keep-Alive` field: a second less than the field's
/// timeout but at least half of it, and at most ten seconds. Without a timeout it is ten seconds.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(proxy::upstream::pool::idle_timeout(Some("timeout=5, max=9")), Duration::from_secs(4));
/// ```
pub fn idle_timeout(keep_alive: Option<&str>) -> Duration {
    let Some(host_timeout) = keep_alive.and_then(keep_alive_timeout) else {
        return MAX_IDLE_TIMEOUT;
    };
    host_timeout
        .saturating_sub(IDLE_TIMEOUT_MARGIN)
        .max(host_timeout / 2)
        .min(MAX_IDLE_TIMEOUT)
}

/// The `timeout` parameter of a `Keep-Alive` field.
fn keep_alive_timeout(keep_alive: &str) -> Option<Duration> {
    keep_alive.split(',').find_map(|parameter| {
        let (name, value) = parameter.trim().split_once('=')?;
        let seconds: u64 = value.trim().parse().ok()?;
        name.trim()
            .eq_ignore_ascii_case("timeout")
            .then_some(Duration::from_secs(seconds.min(MAX_KEEP_ALIVE_SECONDS)))
    })
}

#[derive(Debug)]
struct IdleConnection<C> {
    connection: C,
    expires_at: Duration,
}

#[derive(Debug)]
struct HostConnections<C> {
    /// In the order in which they became idle.
    idle: Vec<IdleConnection<C>>,
    open_count: Rc<Cell<usize>>,
    last_activity: Rc<Cell<Duration>>,
}

impl<C> HostConnections<C> {
    fn new() -> Self {
        Self {
            idle: Vec::new(),
            open_count: Rc::default(),
            last_activity: Rc::default(),
        }
    }
}

/// Counts a connection as open until the permit is dropped, and shares the time of the host's last activity on any
/// connection.
#[derive(Debug)]
pub struct ConnectionPermit {
    open_to_host: Rc<Cell<usize>>,
    total_open: Rc<Cell<usize>>,
    last_activity: Rc<Cell<Duration>>,
}

impl ConnectionPermit {
    /// Records that bytes have arrived from the host.
    pub fn record_activity(&self, now: Duration) {
        self.last_activity.set(now);
    }

    /// Time at which bytes last arrived from the host, on this connection or another one.
    pub fn last_activity(&self) -> Duration {
        self.last_activity.get()
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        for count in [&self.open_to_host, &self.total_open] {
            count.set(count.get().saturating_sub(1));
        }
    }
}

/// The idle connections to all hosts.
#[derive(Debug)]
pub struct ConnectionPool<C> {
    hosts: HashMap<Arc<str>, HostConnections<C>>,
    open_count: Rc<Cell<usize>>,
    max_open: usize,
}

impl<C> ConnectionPool<C> {
    /// Creates a pool that allows `max_open` open connections over all hosts.
    pub fn new(max_open: usize) -> Self {
        Self {
            hosts: HashMap::new(),
            open_count: Rc::default(),
            max_open,
        }
    }

    /// Number of open connections, in use or idle.
    pub fn open_count(&self) -> usize {
        self.open_count.get()
    }

    /// Takes the host's most recently used idle connection that has not expired.
    pub fn take_idle(&mut self, now: Duration, host: &str) -> Option<C> {
        let idle = &mut self.hosts.get_mut(host)?.idle;
        while let Some(last) = idle.pop() {
            if last.expires_at > now {
                return Some(last.connection);
            }
        }
        None
    }

    /// Permits one more connection to a host, of at most `max_to_host` (at least one). At the limit over all hosts an
    /// idle connection to any host is closed first. `None` if a limit is reached.
    pub fn try_open(&mut self, host: &Arc<str>, max_to_host: usize) -> Option<ConnectionPermit> {
        if self.open_count.get() >= self.max_open {
            self.hosts
                .values_mut()
                .find(|connections| !connections.idle.is_empty())?
                .idle
                .remove(0);
        }
        let connections = self
            .hosts
            .entry(host.clone())
            .or_insert_with(HostConnections::new);
        if connections.open_count.get() >= max_to_host.max(1) {
            return None;
        }
        for count in [&connections.open_count, &self.open_count] {
            count.set(count.get() + 1);
        }
        Some(ConnectionPermit {
            open_to_host: connections.open_count.clone(),
            total_open: self.open_count.clone(),
            last_activity: connections.last_activity.clone(),
        })
    }

    /// Returns a connection to the pool, to be used until `expires_at`. It is closed if its host is no longer known.
    pub fn put_idle(&mut self, host: &str, connection: C, expires_at: Duration) {
        if let Some(connections) = self.hosts.get_mut(host) {
            connections.idle.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Closes the idle connections to a host.
    pub fn close_idle(&mut self, host: &str) {
        if let Some(connections) = self.hosts.get_mut(host) {
            connections.idle.clear();
        }
    }

    /// Keeps only these hosts, and closes the idle connections to all others.
    pub fn retain_hosts(&mut self, hosts: &HashSet<&str>) {
        self.hosts.retain(|host, _| hosts.contains(&**host));
    }

    /// Closes idle connections that have expired.
    pub fn close_expired(&mut self, now: Duration) {
        for connections in self.hosts.values_mut() {
            connections.idle.retain(|idle| idle.expires_at > now);
        }
    }
}
