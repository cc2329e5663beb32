//! The plan of a run: every query with its instant, drawn ahead from the scenario's seed. The same scenario
//! gives the same plan, byte for byte.

use crate::arrivals;
use crate::scenario::{ClassTable, FrontName, Scenario, TrafficTable};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;

/// A part of a planned query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedPart {
    /// Its shard.
    pub shard: u32,
    /// Its share of the answer.
    pub weight: f64,
    /// Its work in microseconds.
    pub work_us: u32,
}

/// A planned query.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// When it is due, in microseconds from the start.
    pub at_us: u64,
    /// Its class, by its place in the scenario.
    pub class: u8,
    /// Its tenant, likewise.
    pub tenant: u8,
    /// Its front, by its place among the scenario's.
    pub front: u8,
    /// Its client's zone, likewise.
    pub zone: u8,
    /// What it is about.
    pub key: u32,
    /// How long its client waits for each try.
    pub wait_us: u64,
    /// Further tries that its client makes at most.
    pub retries: u8,
    /// How long its client waits before the first of them.
    pub backoff_us: u64,
    /// Whether its client keeps to `Retry-After`.
    pub honours: bool,
    /// Its parts.
    pub parts: Vec<PlannedPart>,
}

impl Planned {
    /// One line that says all of it, in a fixed form.
    pub fn line(&self, out: &mut String) {
        let Self {
            at_us,
            class,
            tenant,
            front,
            zone,
            key,
            wait_us,
            retries,
            backoff_us,
            honours,
            parts,
        } = self;
        let honours = u8::from(*honours);
        let _ = write!(
            out,
            "{at_us} {class} {tenant} {front} {zone} {key} {wait_us} {retries} {backoff_us} {honours}"
        );
        for p in parts {
            let _ = write!(out, " {}:{}:{}", p.shard, p.weight, p.work_us);
        }
        out.push('\n');
    }
}

/// All queries in the order of their instants.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan(pub Vec<Planned>);

/// An index drawn by weights.
pub fn pick(weights: impl Iterator<Item = f64> + Clone, draw: f64) -> u8 {
    let total: f64 = weights.clone().sum();
    let mut left = draw * total;
    let mut last = 0;
    for (n, w) in weights.enumerate() {
        if w > 0.0 {
            last = n as u8;
            if left < w {
                return last;
            }
        }
        left -= w;
    }
    last
}

/// A front that does not let clients weigh their districts weighs them all alike.
pub fn weighed(mut parts: Vec<PlannedPart>, front: FrontName) -> Vec<PlannedPart> {
    let each = 1.0 / parts.len().max(1) as f64;
    if front == FrontName::OpenSearch {
        parts.iter_mut().for_each(|p| p.weight = each);
    }
    parts
}

/// Draws what a query is, whatever says when it comes.
pub struct Mixer<'a> {
    scenario: &'a Scenario,
    rng: Pcg64Mcg,
    keys: Option<Zipf<f64>>,
}

impl<'a> Mixer<'a> {
    /// One that starts from the scenario's seed.
    pub fn new(scenario: &'a Scenario) -> Self {
        let t = &scenario.traffic;
        let rng = Pcg64Mcg::seed_from_u64(scenario.seed ^ 0x6d69_7865);
        Self {
            scenario,
            rng,
            keys: Zipf::new(f64::from(t.keys), t.zipf).ok(),
        }
    }

    fn key(&mut self, at_s: f64, traffic: &TrafficTable) -> u32 {
        let mut draw = self.rng.random::<f64>();
        for h in &traffic.hot_keys {
            if (h.at_s..h.at_s + h.for_s).contains(&at_s) {
                if draw < h.share {
                    // Beyond the usual keys: a hot one is nobody's else.
                    return traffic.keys + self.rng.random_range(0..h.keys);
                }
                draw -= h.share;
            }
        }
        let key = self.keys.map_or(1.0, |z| z.sample(&mut self.rng));
        (key as u32).clamp(1, traffic.keys) - 1
    }

    /// The parts of a query: their number, shards and weights go by its key and class, their work is its own.
    fn parts(&mut self, class: u8, key: u32) -> Vec<PlannedPart> {
        let scenario = self.scenario;
        let c: &ClassTable = &scenario.classes[usize::from(class)];
        let mix = u64::from(key) << 8 | u64::from(class);
        let mut fixed =
            Pcg64Mcg::seed_from_u64(scenario.seed.rotate_left(17) ^ mix.wrapping_mul(0x9e37_79b9));
        let count = fixed.random_range(c.parts[0]..=c.parts[1]);
        let first = fixed.random_range(0..scenario.shards());
        // A log-normal of mean 1 and this spread.
        let sigma = (1.0 + c.work_cv * c.work_cv).ln().sqrt();
        let spread = LogNormal::new(-sigma * sigma / 2.0, sigma).ok();
        let of = |rng: &mut Pcg64Mcg| spread.map_or(1.0, |s| s.sample(rng));
        let heavy: Vec<f64> = (0..count).map(|_| of(&mut fixed).max(0.01)).collect();
        let total: f64 = heavy.iter().sum();
        let noise: Vec<f64> = (0..count)
            .map(|_| 1.0 + 0.2 * (self.rng.random::<f64>() * 2.0 - 1.0))
            .collect();
        let part = |(n, (heavy, noise)): (u32, (&f64, f64))| PlannedPart {
            shard: (first + n) % scenario.shards(),
            weight: heavy / total,
            work_us: (c.work_ms * 1e3 * heavy * noise).round() as u32,
        };
        (0..count).zip(heavy.iter().zip(noise)).map(part).collect()
    }

    /// A query that is due at this time; what is given stays as it is.
    pub fn query(
        &mut self,
        at_us: u64,
        class: Option<u8>,
        tenant: Option<u8>,
        key: Option<u32>,
    ) -> Planned {
        let s = self.scenario;
        let (t, cl) = (&s.traffic, &s.clients);
        // Drawn in any case, so that what is given does not change the rest.
        let drawn = pick(s.classes.iter().map(|c| c.share), self.rng.random());
        let class = class.unwrap_or(drawn);
        let drawn = pick(s.tenants.iter().map(|t| t.share), self.rng.random());
        let tenant = tenant.unwrap_or(drawn);
        let drawn = self.key(at_us as f64 / 1e6, t);
        let key = key.unwrap_or(drawn);
        let [least, most] = cl.patience;
        let patience = least + (most - least) * self.rng.random::<f64>();
        let front = self.rng.random_range(0..t.fronts.len());
        let limit = s.classes[usize::from(class)].limit_ms;
        Planned {
            at_us,
            class,
            tenant,
            front: front as u8,
            zone: self.rng.random_range(0..s.fleet.zones.len()) as u8,
            key,
            // Whole milliseconds: that is what the protocol can say.
            wait_us: (limit * patience).max(1.0).round() as u64 * 1000,
            retries: self.rng.random_range(cl.retries[0]..=cl.retries[1]),
            backoff_us: self.rng.random_range(cl.backoff_ms[0]..=cl.backoff_ms[1]) * 1000,
            honours: self.rng.random::<f64>() < cl.honour,
            parts: weighed(self.parts(class, key), t.fronts[front]),
        }
    }
}

impl Plan {
    /// Draws the plan of a scenario without a trace.
    pub fn draw(scenario: &Scenario) -> Self {
        let t = &scenario.traffic;
        let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed);
        let times = arrivals::times(t.arrivals, &t.shapes, scenario.length_s, &mut rng);
        let mut mixer = Mixer::new(scenario);
        Self(
            times
                .into_iter()
                .map(|at| mixer.query((at * 1e6) as u64, None, None, None))
                .collect(),
        )
    }

    /// The plan in a fixed form, a line a query.
    pub fn text(&self) -> String {
        let mut text = String::with_capacity(self.0.len() * 120);
        self.0.iter().for_each(|q| q.line(&mut text));
        text
    }

    /// A digest of the text: XXH3 of 64 bits, in hex.
    pub fn digest(&self) -> String {
        format!(
            "{:016x}",
            xxhash_rust::xxh3::xxh3_64(self.text().as_bytes())
        )
    }
}
