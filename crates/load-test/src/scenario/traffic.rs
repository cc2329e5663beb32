//! Who asks for what: classes, tenants, arrivals and clients.

use crate::curve::Shape;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Whether a part may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum RepeatName {
    /// Freely.
    Safe,
    /// Within its window, by its key.
    Keyed,
    /// Only if it never ran.
    Unsafe,
}

/// A class of query.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClassTable {
    /// Its name.
    pub name: String,
    /// Its share of the queries.
    pub share: f64,
    /// Parts of a query, least and most.
    pub parts: [u32; 2],
    /// A part's mean work in milliseconds.
    pub work_ms: f64,
    /// The work's spread: deviation over mean.
    #[serde(default = "spread")]
    pub work_cv: f64,
    /// Wanted within this.
    pub goal_ms: f64,
    /// Given up after this.
    pub limit_ms: f64,
    /// Worth of a whole answer.
    #[serde(default = "one")]
    pub worth: f64,
    /// Share of the worth after the goal.
    #[serde(default)]
    pub late_worth: f64,
    /// Whether a part may be repeated.
    pub repeat: RepeatName,
    /// For how long a keyed part's repeat is dropped.
    #[serde(default)]
    pub window_ms: f64,
    /// Least share of the weight for an answer.
    #[serde(default = "one")]
    pub floor: f64,
    /// What an answer that is not whole earns, times its share.
    #[serde(default = "one")]
    pub partial_worth: f64,
}

pub(super) fn one() -> f64 {
    1.0
}

fn spread() -> f64 {
    0.35
}

pub(super) fn classes() -> Vec<ClassTable> {
    let class = |name: &str, share, parts, work_ms, [goal_ms, limit_ms]: [f64; 2]| ClassTable {
        name: name.into(),
        share,
        parts,
        work_ms,
        work_cv: spread(),
        goal_ms,
        limit_ms,
        worth: 1.0,
        late_worth: 0.0,
        repeat: RepeatName::Safe,
        window_ms: 5000.0,
        floor: 1.0,
        partial_worth: 1.0,
    };
    vec![
        class("nearby-search", 0.55, [4, 7], 113.0, [2500.0, 5000.0]),
        ClassTable {
            worth: 3.0,
            late_worth: 0.3,
            floor: 0.7,
            partial_worth: 0.8,
            ..class("fleet-report", 0.22, [7, 8], 140.0, [3000.0, 7500.0])
        },
        ClassTable {
            late_worth: 0.1,
            repeat: RepeatName::Keyed,
            window_ms: 2000.0,
            ..class("ride-booking", 0.23, [1, 2], 113.0, [2000.0, 4000.0])
        },
    ]
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TenantTable {
    /// Its name.
    pub name: String,
    /// Its share of the queries.
    pub share: f64,
    /// Queries a second, over all coordinators, that count as within its share.
    #[serde(default)]
    pub quota_per_s: Option<f64>,
}

pub(super) fn tenants() -> Vec<TenantTable> {
    [
        ("coop-anfa", 0.57),
        ("coop-maarif", 0.17),
        ("coop-hay-hassani", 0.16),
        ("coop-bernoussi", 0.1),
    ]
    .map(|(name, share)| TenantTable {
        name: name.into(),
        share,
        quota_per_s: None,
    })
    .to_vec()
}

/// Which front a client speaks to.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
#[value(rename_all = "lowercase")]
pub enum FrontName {
    /// The platform's protocol.
    #[default]
    Platform,
    /// The OpenSearch-style API.
    OpenSearch,
}

/// How arrivals lie along the curve.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(tag = "process", rename_all = "lowercase", deny_unknown_fields)]
pub enum Arrivals {
    /// Evenly.
    Constant,
    /// As a Poisson process.
    Poisson,
    /// As a Poisson process whose rate jumps between two states (a Markov-modulated one, MMPP-2); its mean
    /// is the curve.
    Bursty {
        /// How many times the quiet state's rate the busy one's is.
        ratio: f64,
        /// Mean length of a busy state in seconds.
        busy_s: f64,
        /// Mean length of a quiet state in seconds.
        quiet_s: f64,
    },
}

/// What comes.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TrafficTable {
    /// How arrivals lie along the curve.
    #[serde(default = "poisson")]
    pub arrivals: Arrivals,
    /// The curve: the sum of these.
    #[serde(default, rename = "shape")]
    pub shapes: Vec<Shape>,
    /// The fronts that clients speak to, each with the same share.
    #[serde(default = "fronts")]
    pub fronts: Vec<FrontName>,
    /// Distinct keys.
    #[serde(default = "keys")]
    pub keys: u32,
    /// How much more popular the first keys are (the exponent of Zipf's law); 0 for all alike.
    #[serde(default = "zipf")]
    pub zipf: f64,
    /// Keys that come and go.
    #[serde(default, rename = "hot_key")]
    pub hot_keys: Vec<HotKey>,
    /// A recorded trace in place of the shapes: a file beside the scenario's.
    #[serde(default)]
    pub trace: Option<TraceTable>,
}

/// A trace to play.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TraceTable {
    /// The file: `.csv` or `.jsonl`.
    pub file: PathBuf,
    /// Times are multiplied by this.
    #[serde(default = "one")]
    pub time_scale: f64,
    /// So many times as many queries; below 1 some are left out.
    #[serde(default = "one")]
    pub rate_scale: f64,
    /// Played again and again until the scenario's length is over.
    #[serde(default, rename = "loop")]
    pub looped: bool,
}

fn poisson() -> Arrivals {
    Arrivals::Poisson
}

fn fronts() -> Vec<FrontName> {
    vec![FrontName::Platform]
}

fn keys() -> u32 {
    20_000
}

fn zipf() -> f64 {
    0.6
}

/// Keys that draw a share of all queries for a while.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HotKey {
    /// From this second on.
    pub at_s: f64,
    /// For so long.
    pub for_s: f64,
    /// Share of all queries.
    pub share: f64,
    /// How many keys.
    #[serde(default = "few")]
    pub keys: u32,
}

fn few() -> u32 {
    1
}

/// How long a client waits before its next try.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Backoff {
    /// Not at all.
    None,
    /// The same time again.
    Fixed,
    /// Twice as long each time.
    Exp,
}

/// What clients do.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ClientsTable {
    /// Further tries, least and most.
    pub retries: [u8; 2],
    /// A try is given up after this share of the class's limit, least and most.
    pub patience: [f64; 2],
    /// Waiting between tries.
    pub backoff: Backoff,
    /// The first wait in milliseconds, least and most.
    pub backoff_ms: [u64; 2],
    /// Share of clients that keep to `Retry-After`.
    pub honour: f64,
    /// How long the front layer goes on sending to a dead coordinator, in seconds, least and most.
    pub notice_s: [f64; 2],
    /// Threads of the generator.
    pub threads: usize,
    /// Connections that the generator opens at most.
    pub connections: usize,
}

impl Default for ClientsTable {
    fn default() -> Self {
        Self {
            retries: [1, 2],
            patience: [0.6, 1.0],
            backoff: Backoff::Fixed,
            backoff_ms: [100, 800],
            honour: 0.7,
            notice_s: [1.8, 3.8],
            threads: 2,
            connections: 4000,
        }
    }
}
