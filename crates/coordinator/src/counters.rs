//! Counters of accepted requests, sent parts and answers, printed on request and at exit. Each core counts in its own
//! stripe, so that cores don't wait for each other's lock; the sums are shown. The operators' figures are computed from
//! the same counters, so that all pages show the same values.

use crate::cores::current_core;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

/// The result of a request in its client's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served, completely or in part.
    Ok,
    /// Refused, for lack of capacity.
    Shed,
    /// Failed.
    Errors,
}

/// Each result with its name in the operators' figures.
const ENDS: [(End, &str); 3] = [
    (End::Ok, "ok"),
    (End::Shed, "shed"),
    (End::Errors, "errors"),
];

/// The numbers of hosts in a core's host list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// Hosts in the list, without those that are gone.
    pub size: usize,
    /// Hosts of these that the decision module avoids.
    pub ejected: usize,
    /// Hosts of these that requests may be sent to.
    pub in_service: usize,
}

#[derive(Debug, Default)]
struct Stripe {
    named: BTreeMap<&'static str, u64>,
    /// The number of requests by class and by [`End`].
    ends: Vec<[u64; 3]>,
    pool: Pool,
}

#[derive(Debug)]
struct CounterState {
    stripes: Vec<Mutex<Stripe>>,
    classes: OnceLock<Vec<String>>,
    /// The number of requests that are read completely and not answered.
    active: AtomicUsize,
}

/// A set of named counters. Clones share it.
#[derive(Clone, Debug)]
pub struct Counters(Arc<CounterState>);

/// A guard that counts a request as active until it is dropped.
#[derive(Debug)]
pub struct Open(Arc<CounterState>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Default for Counters {
    fn default() -> Self {
        Self::striped(1)
    }
}

impl Counters {
    /// Creates counters for `cores` cores (at least one).
    pub fn striped(cores: usize) -> Self {
        let stripes = (0..cores.max(1)).map(|_| Mutex::default()).collect();
        Self(Arc::new(CounterState {
            stripes,
            classes: OnceLock::new(),
            active: AtomicUsize::new(0),
        }))
    }

    /// Sets the names of the classes whose requests are counted, once; their figures are shown from then on, from 0.
    pub fn of_classes(&self, names: &[String]) {
        let _ = self.0.classes.set(names.to_vec());
    }

    /// Locks a stripe, also after a panic of a thread that held the lock.
    fn lock(stripe: &Mutex<Stripe>) -> MutexGuard<'_, Stripe> {
        stripe.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The stripe of the current thread's core, locked.
    fn own_stripe(&self) -> MutexGuard<'_, Stripe> {
        Self::lock(&self.0.stripes[current_core() % self.0.stripes.len()])
    }

    /// Adds one to a counter of the current core.
    pub fn inc(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds `n` to a counter of the current core.
    pub fn add(&self, name: &'static str, n: u64) {
        *self.own_stripe().named.entry(name).or_default() += n;
    }

    /// Counts the answer to a request of a class.
    pub fn ended(&self, class: usize, end: End) {
        let mut own_stripe = self.own_stripe();
        if own_stripe.ends.len() <= class {
            own_stripe.ends.resize(class + 1, [0; 3]);
        }
        own_stripe.ends[class][end as usize] += 1;
    }

    /// Counts a completely read request as active until the returned guard is dropped.
    pub fn open(&self) -> Open {
        self.0.active.fetch_add(1, Ordering::Relaxed);
        Open(self.0.clone())
    }

    /// Sets the numbers of the current core's host list.
    pub fn show_pool(&self, pool: Pool) {
        self.own_stripe().pool = pool;
    }

    /// The numbers of the host list. Of several cores, the lowest number in service and the highest other numbers.
    pub fn pool(&self) -> Pool {
        let pools = self.0.stripes.iter().map(|s| Self::lock(s).pool);
        let worst = |a: Pool, b: Pool| Pool {
            size: a.size.max(b.size),
            ejected: a.ejected.max(b.ejected),
            in_service: a.in_service.min(b.in_service),
        };
        pools.reduce(worst).unwrap_or_default()
    }

    /// The sum of a counter over all cores; 0 if it was never counted.
    pub fn get(&self, name: &str) -> u64 {
        self.0
            .stripes
            .iter()
            .map(|s| Self::lock(s).named.get(name).copied().unwrap_or(0))
            .sum()
    }

    /// The value of a counter on one core; 0 if it was never counted.
    pub fn on_core(&self, core: usize, name: &str) -> u64 {
        self.0
            .stripes
            .get(core)
            .map_or(0, |s| Self::lock(s).named.get(name).copied().unwrap_or(0))
    }

    fn sums(&self) -> BTreeMap<&'static str, u64> {
        let mut all = BTreeMap::new();
        for stripe in &self.0.stripes {
            Self::lock(stripe)
                .named
                .iter()
                .for_each(|(name, n)| *all.entry(*name).or_default() += n);
        }
        all
    }

    /// The operators' figures, by name.
    pub fn figures(&self) -> Vec<(String, u64)> {
        let mut all = Vec::new();
        for (class, name) in self.0.classes.get().into_iter().flatten().enumerate() {
            for (end, word) in ENDS {
                let of = |s| {
                    Self::lock(s)
                        .ends
                        .get(class)
                        .map_or(0, |ends| ends[end as usize])
                };
                all.push((
                    format!("responses.{name}.{word}"),
                    self.0.stripes.iter().map(of).sum(),
                ));
            }
        }
        let pool = self.pool();
        all.push(("tries".to_owned(), self.get("tries")));
        all.push((
            "active".to_owned(),
            self.0.active.load(Ordering::Relaxed) as u64,
        ));
        all.push(("pool_size".to_owned(), pool.size as u64));
        all.push(("pool_ejected".to_owned(), pool.ejected as u64));
        all
    }

    /// All counters as lines `name value`: the operators' figures, then the other sums, then, with several cores, the
    /// values of each core as `core.N.name value`.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (name, n) in self.figures() {
            let _ = writeln!(text, "{name} {n}");
        }
        for (name, n) in self.sums().iter().filter(|(name, _)| **name != "tries") {
            let _ = writeln!(text, "{name} {n}");
        }
        if self.0.stripes.len() > 1 {
            for (core, stripe) in self.0.stripes.iter().enumerate() {
                for (name, n) in &Self::lock(stripe).named {
                    let _ = writeln!(text, "core.{core}.{name} {n}");
                }
            }
        }
        text
    }

    /// The sums as `name=value` pairs on one line, for the log.
    pub fn line(&self) -> String {
        let pairs: Vec<String> = self
            .sums()
            .iter()
            .map(|(name, n)| format!("{name}={n}"))
            .collect();
        pairs.join(" ")
    }
}
