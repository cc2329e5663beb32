//! Counters of what is taken, sent and answered, printed on request and at exit. Each core counts in a
//! stripe of its own, so that no two wait for one lock; what is shown is the sum. The operators' figures
//! are among them: one count, whichever page shows it.

use crate::cores::current_core;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

/// How a request ended, as its client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served, whole or in part.
    Ok,
    /// Refused.
    Shed,
    /// Failed.
    Errors,
}

const ENDS: [(End, &str); 3] = [
    (End::Ok, "ok"),
    (End::Shed, "shed"),
    (End::Errors, "errors"),
];

/// What a core shows of its host list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// Hosts in the list: all but those that are gone.
    pub size: usize,
    /// Those of them that the module avoids.
    pub ejected: usize,
    /// Those of them that may be sent to.
    pub in_service: usize,
}

#[derive(Debug, Default)]
struct Stripe {
    named: BTreeMap<&'static str, u64>,
    /// By class.
    ends: Vec<[u64; 3]>,
    pool: Pool,
}

#[derive(Debug)]
struct Shared {
    stripes: Vec<Mutex<Stripe>>,
    classes: OnceLock<Vec<String>>,
    /// Requests read whole and not answered yet.
    active: AtomicUsize,
}

/// A set of named counters; clones share it.
#[derive(Clone, Debug)]
pub struct Counters(Arc<Shared>);

/// A request that counts as open until this is dropped.
#[derive(Debug)]
pub struct Open(Arc<Shared>);

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
    /// Counters for so many cores.
    pub fn striped(cores: usize) -> Self {
        let stripes = (0..cores.max(1)).map(|_| Mutex::default()).collect();
        Self(Arc::new(Shared {
            stripes,
            classes: OnceLock::new(),
            active: AtomicUsize::new(0),
        }))
    }

    /// The classes whose requests are counted; they stand at 0 from now on.
    pub fn of_classes(&self, names: &[String]) {
        let _ = self.0.classes.set(names.to_vec());
    }

    fn lock(stripe: &Mutex<Stripe>) -> MutexGuard<'_, Stripe> {
        stripe.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn own(&self) -> MutexGuard<'_, Stripe> {
        Self::lock(&self.0.stripes[current_core() % self.0.stripes.len()])
    }

    /// Adds one.
    pub fn inc(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds some.
    pub fn add(&self, name: &'static str, n: u64) {
        *self.own().named.entry(name).or_default() += n;
    }

    /// A request of a class has got its answer.
    pub fn ended(&self, class: usize, end: End) {
        let mut own = self.own();
        if own.ends.len() <= class {
            own.ends.resize(class + 1, [0; 3]);
        }
        own.ends[class][end as usize] += 1;
    }

    /// A request has been read whole; it is open until what this gives is dropped.
    pub fn open(&self) -> Open {
        self.0.active.fetch_add(1, Ordering::Relaxed);
        Open(self.0.clone())
    }

    /// What this core shows of its host list from now on.
    pub fn show_pool(&self, pool: Pool) {
        self.own().pool = pool;
    }

    /// The host list: of several cores the least that is in service, and the most that any one avoids.
    pub fn pool(&self) -> Pool {
        let pools = self.0.stripes.iter().map(|s| Self::lock(s).pool);
        let worst = |a: Pool, b: Pool| Pool {
            size: a.size.max(b.size),
            ejected: a.ejected.max(b.ejected),
            in_service: a.in_service.min(b.in_service),
        };
        pools.reduce(worst).unwrap_or_default()
    }

    /// The present value over all cores; 0 for one that was never counted.
    pub fn get(&self, name: &str) -> u64 {
        self.0
            .stripes
            .iter()
            .map(|s| Self::lock(s).named.get(name).copied().unwrap_or(0))
            .sum()
    }

    /// The present value on one core.
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

    /// All of them, one `name value` a line: the operators' figures, the others, and where there are several
    /// cores, each core's own behind the sums, as `core.N.name value`.
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

    /// The sums on one line, for the log.
    pub fn line(&self) -> String {
        let pairs: Vec<String> = self
            .sums()
            .iter()
            .map(|(name, n)| format!("{name}={n}"))
            .collect();
        pairs.join(" ")
    }
}
