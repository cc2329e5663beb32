//! Which core gets a connection, and which a query. A query stays on its connection's core unless that is
//! dead, stands still, or has far more open than another; one with a key goes to the key's own core, so
//! that all that is open and may be repeated under a key meets in one place.

use crate::sync::{Arc, AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// A core that has mail waiting and has not looked at it for so long stands still (microseconds).
pub const STALL_US: u64 = 250_000;
/// A query goes elsewhere only past a difference of so many open ones: a hand-over costs two wake-ups.
const MARGIN: usize = 16;

struct Seat {
    alive: AtomicBool,
    /// Connections dealt to it and not ended.
    connections: AtomicUsize,
    /// Queries handed to it and not answered.
    open: AtomicUsize,
    /// Mail handed over, and mail taken.
    posted: AtomicU64,
    taken: AtomicU64,
    /// When it last took mail, or was first left with some.
    beat: AtomicU64,
}

/// What is known of all cores.
pub struct Deal {
    seats: Vec<Seat>,
    /// Most queries open on one core, its mailbox included.
    most: usize,
}

impl Deal {
    /// For so many cores; each takes `most` queries at once, those that still wait for it included.
    pub fn new(cores: usize, most: usize) -> Arc<Self> {
        let seat = || Seat {
            alive: AtomicBool::new(true),
            connections: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
            posted: AtomicU64::new(0),
            taken: AtomicU64::new(0),
            beat: AtomicU64::new(0),
        };
        Arc::new(Self {
            seats: (0..cores.max(1)).map(|_| seat()).collect(),
            most,
        })
    }

    /// How many cores there are, dead ones included.
    pub fn cores(&self) -> usize {
        self.seats.len()
    }

    /// Whether a core lives.
    pub fn alive(&self, core: usize) -> bool {
        self.seats[core].alive.load(Ordering::Acquire)
    }

    /// A core has ended.
    pub fn bury(&self, core: usize) {
        self.seats[core].alive.store(false, Ordering::Release);
    }

    /// Whether a core has left mail unread for too long.
    pub fn stalled(&self, core: usize, now: u64) -> bool {
        let s = &self.seats[core];
        let waiting = s.posted.load(Ordering::Acquire) > s.taken.load(Ordering::Acquire);
        waiting && now.saturating_sub(s.beat.load(Ordering::Acquire)) > STALL_US
    }

    fn sound(&self, core: usize, now: u64) -> bool {
        self.alive(core) && !self.stalled(core, now)
    }

    /// Queries open on a core.
    pub fn open(&self, core: usize) -> usize {
        self.seats[core].open.load(Ordering::Acquire)
    }

    /// Connections of a core.
    pub fn connections(&self, core: usize) -> usize {
        self.seats[core].connections.load(Ordering::Acquire)
    }

    /// The core for a new connection: of the sound ones that with the fewest, else any that lives.
    pub fn connection(&self, now: u64) -> Option<usize> {
        let fewest =
            |all: &mut dyn Iterator<Item = usize>| all.min_by_key(|c| self.connections(*c));
        fewest(&mut (0..self.cores()).filter(|c| self.sound(*c, now)))
            .or_else(|| fewest(&mut (0..self.cores()).filter(|c| self.alive(*c))))
    }

    /// The core for a query that came in on core `here`, with the hash of its key where it has one.
    /// `None` if no core can take it.
    pub fn query(&self, here: usize, key: Option<u64>, now: u64) -> Option<usize> {
        let n = self.cores();
        let sound = |c: &usize| self.sound(*c, now);
        if let Some(hash) = key {
            // The same for all cores; the next one along where that one has died.
            return (0..n)
                .map(|k| (hash as usize % n + k) % n)
                .find(|c| self.alive(*c));
        }
        let least = (0..n).filter(sound).min_by_key(|c| self.open(*c))?;
        let stay = self.sound(here, now) && self.open(here) <= self.open(least) + MARGIN;
        Some(if stay { here } else { least })
    }

    /// Counts a query on its way to a core; false if that has as many as it may.
    pub fn hand_over(&self, core: usize, now: u64) -> bool {
        let s = &self.seats[core];
        if s.open.fetch_add(1, Ordering::AcqRel) >= self.most {
            s.open.fetch_sub(1, Ordering::AcqRel);
            return false;
        }
        // Left with mail from now on, if it had none.
        if s.posted.load(Ordering::Acquire) == s.taken.load(Ordering::Acquire) {
            s.beat.fetch_max(now, Ordering::AcqRel);
        }
        s.posted.fetch_add(1, Ordering::AcqRel);
        true
    }

    /// A core has taken a query out of its mailbox.
    pub fn take(&self, core: usize, now: u64) {
        let s = &self.seats[core];
        s.taken.fetch_add(1, Ordering::AcqRel);
        s.beat.fetch_max(now, Ordering::AcqRel);
    }

    /// A query that was handed over has its answer, or nobody wants it any more.
    pub fn settled(&self, core: usize) {
        self.seats[core].open.fetch_sub(1, Ordering::AcqRel);
    }

    /// A connection was dealt to a core.
    pub fn connected(&self, core: usize) {
        self.seats[core].connections.fetch_add(1, Ordering::AcqRel);
    }

    /// A connection of a core has ended.
    pub fn disconnected(&self, core: usize) {
        self.seats[core].connections.fetch_sub(1, Ordering::AcqRel);
    }
}

#[cfg(all(test, not(feature = "loom")))]
mod tests {
    use super::*;

    #[test]
    fn a_query_stays_at_home_until_another_core_has_far_less() {
        let d = Deal::new(2, 1000);
        assert_eq!(d.query(0, None, 0), Some(0));
        for _ in 0..MARGIN {
            assert!(d.hand_over(0, 0));
        }
        assert_eq!(d.query(0, None, 0), Some(0), "within the margin");
        assert!(d.hand_over(0, 0));
        assert_eq!(
            d.query(0, None, 0),
            Some(1),
            "all clients on one core's connections"
        );
        d.settled(0);
        assert_eq!(d.query(0, None, 0), Some(0));
    }

    #[test]
    fn a_key_has_one_core_wherever_it_comes_in_and_the_next_one_if_that_dies() {
        let d = Deal::new(4, 1000);
        assert!((0..4).all(|here| d.query(here, Some(7), 0) == Some(3)));
        d.bury(3);
        assert!((0..4).all(|here| d.query(here, Some(7), 0) == Some(0)));
    }

    #[test]
    fn a_dead_or_stalled_core_gets_nothing_new() {
        let d = Deal::new(2, 1000);
        assert!(d.hand_over(0, 1000));
        assert!(!d.stalled(0, 1000 + STALL_US));
        assert!(d.stalled(0, 1001 + STALL_US), "mail unread for too long");
        assert_eq!(
            (d.query(0, None, 2 * STALL_US), d.connection(2 * STALL_US)),
            (Some(1), Some(1))
        );
        d.take(0, 2 * STALL_US);
        assert!(
            !d.stalled(0, 9 * STALL_US),
            "idle with nothing to read is no stall"
        );
        d.bury(1);
        assert_eq!(
            (d.query(1, None, 9 * STALL_US), d.connection(9 * STALL_US)),
            (Some(0), Some(0))
        );
        d.bury(0);
        assert_eq!(
            (d.query(1, None, 0), d.query(1, Some(1), 0), d.connection(0)),
            (None, None, None)
        );
    }

    #[test]
    fn connections_go_to_the_core_with_the_fewest() {
        let d = Deal::new(3, 10);
        for _ in 0..9 {
            let c = d.connection(0).unwrap();
            d.connected(c);
        }
        assert_eq!([0, 1, 2].map(|c| d.connections(c)), [3, 3, 3]);
        d.disconnected(1);
        assert_eq!(d.connection(0), Some(1));
    }

    #[test]
    fn a_mailbox_has_an_end() {
        let d = Deal::new(1, 2);
        assert!(d.hand_over(0, 0) && d.hand_over(0, 0) && !d.hand_over(0, 0));
        d.settled(0);
        assert!(d.hand_over(0, 0));
    }
}
