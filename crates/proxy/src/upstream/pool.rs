//! Connections that stand idle, by host, and how many are open. No I/O; times are since any one origin.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a connection stands idle, whatever the host allows.
const IDLE: Duration = Duration::from_secs(10);

/// How long a connection may stand idle, by a host's `Keep-Alive`: less than the host says, so that it isn't
/// closed under a request.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(proxy::upstream::pool::idle(Some("timeout=5, max=9")), Duration::from_secs(4));
/// ```
pub fn idle(keep_alive: Option<&str>) -> Duration {
    let given = keep_alive
        .into_iter()
        .flat_map(|v| v.split(','))
        .find_map(|p| {
            let (name, value) = p.trim().split_once('=')?;
            let seconds: u64 = value.trim().parse().ok()?;
            name.trim()
                .eq_ignore_ascii_case("timeout")
                .then_some(Duration::from_secs(seconds.min(3600)))
        });
    let margin = |d: Duration| d.saturating_sub(Duration::from_secs(1)).max(d / 2);
    given.map_or(IDLE, |d| margin(d).min(IDLE))
}

#[derive(Debug)]
struct Idle<C> {
    conn: C,
    until: Duration,
}

#[derive(Debug)]
struct HostConnections<C> {
    idle: Vec<Idle<C>>,
    open: Rc<Cell<usize>>,
    heard: Rc<Cell<Duration>>,
}

/// Counts a connection as open for as long as it lives, and knows when its host was last heard on any.
#[derive(Debug)]
pub struct ConnectionPermit {
    to_host: Rc<Cell<usize>>,
    all: Rc<Cell<usize>>,
    heard: Rc<Cell<Duration>>,
}

impl ConnectionPermit {
    /// Something came from the host.
    pub fn hear(&self, now: Duration) {
        self.heard.set(now);
    }

    /// When something last came from the host, on this connection or another.
    pub fn heard(&self) -> Duration {
        self.heard.get()
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.to_host.set(self.to_host.get().saturating_sub(1));
        self.all.set(self.all.get().saturating_sub(1));
    }
}

/// Idle connections of all hosts.
#[derive(Debug)]
pub struct ConnectionPool<C> {
    shelves: HashMap<Arc<str>, HostConnections<C>>,
    open: Rc<Cell<usize>>,
    most: usize,
}

impl<C> ConnectionPool<C> {
    /// With at most so many connections open over all hosts.
    pub fn new(most: usize) -> Self {
        Self {
            shelves: HashMap::new(),
            open: Rc::default(),
            most,
        }
    }

    /// Connections that are open, in use or not.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// The connection of a host that was used last, where one may still be used.
    pub fn take(&mut self, now: Duration, host: &str) -> Option<C> {
        let idle = &mut self.shelves.get_mut(host)?.idle;
        while let Some(last) = idle.pop() {
            if last.until > now {
                return Some(last.conn);
            }
        }
        None
    }

    /// Room for one more connection to a host that takes `most` from this process; `None` where there is none.
    pub fn room(&mut self, host: &Arc<str>, most: usize) -> Option<ConnectionPermit> {
        if self.open.get() >= self.most {
            self.shelves
                .values_mut()
                .find(|s| !s.idle.is_empty())?
                .idle
                .remove(0);
        }
        let shelf = self
            .shelves
            .entry(host.clone())
            .or_insert_with(|| HostConnections {
                idle: Vec::new(),
                open: Rc::default(),
                heard: Rc::default(),
            });
        if shelf.open.get() >= most.max(1) {
            return None;
        }
        shelf.open.set(shelf.open.get() + 1);
        self.open.set(self.open.get() + 1);
        let heard = shelf.heard.clone();
        Some(ConnectionPermit {
            to_host: shelf.open.clone(),
            all: self.open.clone(),
            heard,
        })
    }

    /// A connection that may be used again until a time; it is dropped where its host is no longer known.
    pub fn put(&mut self, host: &str, conn: C, until: Duration) {
        if let Some(shelf) = self.shelves.get_mut(host) {
            shelf.idle.push(Idle { conn, until });
        }
    }

    /// Drops the idle connections of a host.
    pub fn forget(&mut self, host: &str) {
        if let Some(shelf) = self.shelves.get_mut(host) {
            shelf.idle.clear();
        }
    }

    /// Drops what belongs to other hosts than these.
    pub fn keep(&mut self, hosts: &HashSet<&str>) {
        self.shelves.retain(|h, _| hosts.contains(&**h));
    }

    /// Drops what has stood idle for too long.
    pub fn sweep(&mut self, now: Duration) {
        self.shelves
            .values_mut()
            .for_each(|s| s.idle.retain(|i| i.until > now));
    }
}
