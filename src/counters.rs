//! Counters of what is taken, sent and answered, printed on request and at exit. Each core counts in a
//! stripe of its own, so that no two wait for one lock; what is shown is the sum.

use crate::shard::here;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

type Stripe = Mutex<BTreeMap<&'static str, u64>>;

/// A set of named counters; clones share it.
#[derive(Clone, Debug)]
pub struct Counters(Arc<[Stripe]>);

impl Default for Counters {
    fn default() -> Self {
        Self::striped(1)
    }
}

impl Counters {
    /// Counters for so many cores.
    pub fn striped(cores: usize) -> Self {
        Self((0..cores.max(1)).map(|_| Stripe::default()).collect())
    }

    fn lock(stripe: &Stripe) -> MutexGuard<'_, BTreeMap<&'static str, u64>> {
        stripe.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds one.
    pub fn inc(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds some.
    pub fn add(&self, name: &'static str, n: u64) {
        *Self::lock(&self.0[here() % self.0.len()]).entry(name).or_default() += n;
    }

    /// The present value over all cores; 0 for one that was never counted.
    pub fn get(&self, name: &str) -> u64 {
        self.0.iter().map(|s| Self::lock(s).get(name).copied().unwrap_or(0)).sum()
    }

    /// The present value on one core.
    pub fn on_core(&self, core: usize, name: &str) -> u64 {
        self.0.get(core).map_or(0, |s| Self::lock(s).get(name).copied().unwrap_or(0))
    }

    fn sums(&self) -> BTreeMap<&'static str, u64> {
        let mut all = BTreeMap::new();
        for stripe in self.0.iter() {
            Self::lock(stripe).iter().for_each(|(name, n)| *all.entry(*name).or_default() += n);
        }
        all
    }

    /// All of them, one `name value` a line; where there are several cores, each core's own behind the sums,
    /// as `core.N.name value`.
    pub fn text(&self) -> String {
        let mut text = self.sums().iter().fold(String::new(), |mut s, (name, n)| {
            let _ = writeln!(s, "{name} {n}");
            s
        });
        if self.0.len() > 1 {
            for (core, stripe) in self.0.iter().enumerate() {
                for (name, n) in Self::lock(stripe).iter() {
                    let _ = writeln!(text, "core.{core}.{name} {n}");
                }
            }
        }
        text
    }

    /// The sums on one line, for the log.
    pub fn line(&self) -> String {
        let pairs: Vec<String> = self.sums().iter().map(|(name, n)| format!("{name}={n}")).collect();
        pairs.join(" ")
    }
}
