//! A scenario: fleet, traffic and faults in one TOML file, checked here and nowhere else. Each message
//! names the file and the key.

use crate::curve::Shape;
use fennelpin_standin::fleet::{Dialect, FleetSpec, ListDelays, Place};
use fennelpin_standin::host::ConnSpec;
use fennelpin_standin::model::HostSpec;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What is wrong with a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file can't be read.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// It is no TOML of the expected form.
    #[error("{0}: {1}")]
    Text(PathBuf, String),
    /// A key has a value that means nothing.
    #[error("{file}: '{key}' {why}")]
    Value {
        /// The file.
        file: PathBuf,
        /// The key.
        key: String,
        /// What is wrong with it.
        why: String,
    },
}

/// A whole scenario.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The seed of all chance.
    #[serde(default = "seed")]
    pub seed: u64,
    /// How long queries are planned for, in seconds.
    pub length_s: f64,
    /// The fleet.
    #[serde(default)]
    pub fleet: FleetTable,
    /// What a coordinator may use.
    #[serde(default)]
    pub limits: LimitsTable,
    /// Classes of query; the brief's three where none is given.
    #[serde(default = "classes", rename = "class")]
    pub classes: Vec<ClassTable>,
    /// Whose queries they are; the brief's four where none is given.
    #[serde(default = "tenants", rename = "tenant")]
    pub tenants: Vec<TenantTable>,
    /// What comes.
    pub traffic: TrafficTable,
    /// What clients do.
    #[serde(default)]
    pub clients: ClientsTable,
    /// What the auditor allows.
    #[serde(default)]
    pub audit: AuditTable,
    /// What goes wrong, and when.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultTable>,
}

fn seed() -> u64 {
    1
}

/// The fleet.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct FleetTable {
    /// Coordinators.
    pub coordinators: u16,
    /// Cores of each coordinator.
    pub cores: u16,
    /// District hosts, dealt out to cells in turn.
    pub hosts: u16,
    /// Cells: the hosts of a cell hold the same shards.
    pub cells: u32,
    /// Shards of each cell.
    pub shards_per_cell: u32,
    /// Data centres; hosts and coordinators are dealt out to them in turn.
    pub zones: Vec<String>,
    /// `frames` or `opensearch`.
    pub dialect: DialectName,
    /// Most parts of one call.
    pub bundle_max: u32,
    /// Threads that hosts are spread over.
    pub threads: usize,
    /// What a host is made of.
    pub host: HostTable,
    /// How late the list hears of things.
    pub list: ListTable,
}

impl Default for FleetTable {
    fn default() -> Self {
        Self {
            coordinators: 2,
            cores: 1,
            hosts: 12,
            cells: 4,
            shards_per_cell: 3,
            zones: vec!["casa-ain-sebaa".into(), "casa-sidi-maarouf".into()],
            dialect: DialectName::Frames,
            bundle_max: 8,
            threads: 2,
            host: HostTable::default(),
            list: ListTable::default(),
        }
    }
}

/// A dialect by name.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum DialectName {
    /// Frames.
    Frames,
    /// OpenSearch's API.
    OpenSearch,
}

/// What a host is made of; times in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct HostTable {
    /// Answers at once, without work.
    pub instant: bool,
    /// Cores.
    pub cores: u32,
    /// Parts in work at once, for each core.
    pub slots_per_core: u32,
    /// Parts that may wait, for each core.
    pub queue_per_core: f64,
    /// Speed.
    pub speed: f64,
    /// Speeds differ by up to this share either way.
    pub speed_spread: f64,
    /// Work of a call.
    pub call_ms: f64,
    /// Efficiency lost for each part a core beyond `thrash_at`.
    pub thrash: f64,
    /// See `thrash`.
    pub thrash_at: f64,
    /// Length of pauses, least and most.
    pub pause_ms: [u64; 2],
    /// Time between pauses, least and most.
    pub pause_every_ms: [u64; 2],
    /// Share of its capacity that a cold host has.
    pub cold_share: f64,
    /// Time to get warm.
    pub cold_ms: u64,
    /// A cold host falls over beyond this multiple of what it can do …
    pub fall_multiple: f64,
    /// … over this time.
    pub fall_ms: u64,
    /// Share of parts that end in an error.
    pub error_rate: f64,
    /// Time between reports.
    pub report_every_ms: u64,
    /// Time until a report shows.
    pub report_delay_ms: u64,
    /// Parts that one connection carries.
    pub streams: usize,
    /// Connections that it accepts.
    pub connections: usize,
    /// Idle connections are closed after this.
    pub idle_ms: u64,
}

impl Default for HostTable {
    fn default() -> Self {
        let m = HostSpec::default();
        Self {
            instant: m.instant,
            cores: m.cores,
            slots_per_core: m.slots_per_core,
            queue_per_core: m.queue_per_core,
            speed: m.speed,
            speed_spread: 0.08,
            call_ms: m.call_us / 1e3,
            thrash: m.thrash,
            thrash_at: m.thrash_at,
            pause_ms: m.pause_us.map(|t| t / 1000),
            pause_every_ms: m.pause_every_us.map(|t| t / 1000),
            cold_share: m.cold_share,
            cold_ms: m.cold_us / 1000,
            fall_multiple: m.fall_multiple,
            fall_ms: m.fall_us / 1000,
            error_rate: m.error_rate,
            report_every_ms: m.report_every_us / 1000,
            report_delay_ms: m.report_delay_us / 1000,
            streams: 32,
            connections: 1000,
            idle_ms: 15_000,
        }
    }
}

/// How late the list is, in milliseconds, least and most.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ListTable {
    /// That a process started.
    pub add_ms: [u64; 2],
    /// That one ended or drains.
    pub notice_ms: [u64; 2],
    /// That a machine is silent.
    pub silent_ms: [u64; 2],
}

impl Default for ListTable {
    fn default() -> Self {
        Self { add_ms: [260, 2500], notice_ms: [630, 4100], silent_ms: [4200, 14_000] }
    }
}

/// What a coordinator may use.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsTable {
    /// Descriptors.
    pub sockets: u32,
    /// Memory.
    pub memory_mb: u32,
    /// Queries and parts open at once.
    pub open: u32,
    /// Attempts for a part.
    pub attempts: u32,
    /// Longest time that a refused client is asked to stay away.
    pub retry_after_ms: f64,
}

impl Default for LimitsTable {
    fn default() -> Self {
        Self { sockets: 1024, memory_mb: 192, open: 250, attempts: 3, retry_after_ms: 1000.0 }
    }
}

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

fn one() -> f64 {
    1.0
}

fn spread() -> f64 {
    0.35
}

fn classes() -> Vec<ClassTable> {
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

fn tenants() -> Vec<TenantTable> {
    [("coop-anfa", 0.57), ("coop-maarif", 0.17), ("coop-hay-hassani", 0.16), ("coop-bernoussi", 0.1)]
        .map(|(name, share)| TenantTable { name: name.into(), share, quota_per_s: None })
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

/// What the auditor allows.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct AuditTable {
    /// Slack on every limit of time, in milliseconds.
    pub slack_ms: u64,
    /// The generator's own lag at the 99th percentile beyond which a run is void, in milliseconds.
    pub void_lag_ms: f64,
}

impl Default for AuditTable {
    fn default() -> Self {
        Self { slack_ms: 50, void_lag_ms: 10.0 }
    }
}

/// What can go wrong.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A host's process dies and comes back cold.
    HostCrash,
    /// A host's machine goes silent and comes back cold.
    HostSilent,
    /// A host drains, ends and comes back cold.
    HostRelease,
    /// A host drains.
    HostDrain,
    /// A host is slower by `times`.
    HostSlow,
    /// Discovery says nothing.
    DiscoverySilent,
    /// A coordinator is killed and started again.
    CoordinatorKill,
    /// A coordinator gets SIGTERM, SIGKILL once its time is over, and is started again.
    CoordinatorRestart,
    /// A coordinator stands still (SIGSTOP, then SIGCONT).
    CoordinatorStall,
    /// A coordinator gets SIGHUP.
    CoordinatorReload,
}

/// One thing that goes wrong.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FaultTable {
    /// When, in seconds.
    pub at_s: f64,
    /// What.
    pub kind: FaultKind,
    /// Which hosts or coordinators, by number.
    #[serde(default)]
    pub which: Vec<u16>,
    /// For how long, in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// How many times slower.
    #[serde(default = "one")]
    pub times: f64,
}

impl FaultKind {
    /// Whether it befalls a coordinator.
    pub fn of_coordinator(self) -> bool {
        use FaultKind::*;
        matches!(self, CoordinatorKill | CoordinatorRestart | CoordinatorStall | CoordinatorReload)
    }
}

impl Scenario {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Names the file and the key.
    pub fn load(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path).map_err(|e| ScenarioError::File(path.to_owned(), e))?;
        Self::parse(&text, path)
    }

    /// Reads and checks a scenario from its text; `path` is for messages.
    ///
    /// # Errors
    /// Names the file and the key.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ScenarioError> {
        let read: Self =
            toml::from_str(text).map_err(|e| ScenarioError::Text(path.to_owned(), e.to_string()))?;
        read.check().map_err(|(key, why)| ScenarioError::Value { file: path.to_owned(), key, why })?;
        Ok(read)
    }

    fn check(&self) -> Result<(), (String, String)> {
        let need = |ok: bool, key: &str, why: &str| match ok {
            true => Ok(()),
            false => Err((key.to_owned(), why.to_owned())),
        };
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let range = |key: &str, [least, most]: [f64; 2]| {
            need(least >= 0.0 && least <= most && most.is_finite(), key, "is no range from least to most")
        };
        let whole = |r: [u64; 2]| r.map(|n| n as f64);
        let f = &self.fleet;
        need(self.length_s > 0.0 && self.length_s <= 86_400.0, "length_s", "must lie in (0, 86400]")?;
        need((1..=64).contains(&f.coordinators), "fleet.coordinators", "must lie in 1 to 64")?;
        need((1..=64).contains(&f.cores), "fleet.cores", "must lie in 1 to 64")?;
        need((1..=2000).contains(&f.hosts), "fleet.hosts", "must lie in 1 to 2000")?;
        need(
            f.cells >= 1 && f.cells <= f.hosts.into(),
            "fleet.cells",
            "must lie in 1 to the number of hosts",
        )?;
        need((1..=10_000).contains(&f.shards_per_cell), "fleet.shards_per_cell", "must lie in 1 to 10000")?;
        need(!f.zones.is_empty(), "fleet.zones", "must name one at least")?;
        need((1..=64).contains(&f.threads), "fleet.threads", "must lie in 1 to 64")?;
        let h = &f.host;
        need((1..=256).contains(&h.cores), "fleet.host.cores", "must lie in 1 to 256")?;
        need(h.slots_per_core >= 1, "fleet.host.slots_per_core", "must be 1 at least")?;
        need(h.speed > 0.0 && h.speed.is_finite(), "fleet.host.speed", "must be above 0")?;
        need(share(h.speed_spread) && h.speed_spread < 1.0, "fleet.host.speed_spread", "must lie in [0, 1)")?;
        need(share(h.cold_share) && h.cold_share > 0.0, "fleet.host.cold_share", "must lie in (0, 1]")?;
        need(share(h.error_rate), "fleet.host.error_rate", "must lie in [0, 1]")?;
        need(h.streams >= 1, "fleet.host.streams", "must be 1 at least")?;
        range("fleet.host.pause_ms", whole(h.pause_ms))?;
        range("fleet.host.pause_every_ms", whole(h.pause_every_ms))?;
        for (key, r) in [
            ("fleet.list.add_ms", f.list.add_ms),
            ("fleet.list.notice_ms", f.list.notice_ms),
            ("fleet.list.silent_ms", f.list.silent_ms),
            ("clients.backoff_ms", self.clients.backoff_ms),
        ] {
            range(key, whole(r))?;
        }
        range("clients.notice_s", self.clients.notice_s)?;
        range("clients.retries", self.clients.retries.map(f64::from))?;
        range("clients.patience", self.clients.patience)?;
        need(self.clients.patience[0] > 0.0, "clients.patience", "must be above 0")?;
        need(share(self.clients.honour), "clients.honour", "must lie in [0, 1]")?;
        need((1..=64).contains(&self.clients.threads), "clients.threads", "must lie in 1 to 64")?;
        need(
            (1..=100_000).contains(&self.clients.connections),
            "clients.connections",
            "must lie in 1 to 100000",
        )?;
        need(!self.classes.is_empty() && self.classes.len() < 256, "class", "must be 1 to 255")?;
        need(!self.tenants.is_empty() && self.tenants.len() < 256, "tenant", "must be 1 to 255")?;
        let shards = f.cells * f.shards_per_cell;
        for (n, c) in self.classes.iter().enumerate() {
            let key = |k: &str| format!("class[{n}].{k}");
            let plain = !c.name.is_empty() && c.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
            need(plain, &key("name"), "must be letters, digits and '-'")?;
            need(c.share >= 0.0 && c.share.is_finite(), &key("share"), "must not be negative")?;
            let parts = c.parts[0] >= 1 && c.parts[0] <= c.parts[1] && c.parts[1] <= shards;
            need(parts, &key("parts"), &format!("must be a range in 1 to {shards}, the number of shards"))?;
            need(c.work_ms >= 0.0 && c.work_ms <= 1e6, &key("work_ms"), "must lie in 0 to 1000000")?;
            need((0.0..=5.0).contains(&c.work_cv), &key("work_cv"), "must lie in 0 to 5")?;
            let times = c.goal_ms > 0.0 && c.goal_ms <= c.limit_ms && c.limit_ms <= 600_000.0;
            need(times, &key("goal_ms"), "must lie in 0 to 'limit_ms', and that in 0 to 600000")?;
            need(share(c.floor) && c.floor > 0.0, &key("floor"), "must lie in (0, 1]")?;
            let keyed = c.repeat != RepeatName::Keyed || c.window_ms > 0.0;
            need(keyed, &key("window_ms"), "must be above 0 in a keyed class")?;
        }
        need(self.classes.iter().any(|c| c.share > 0.0), "class", "have no share at all")?;
        need(self.tenants.iter().all(|t| t.share >= 0.0), "tenant.share", "must not be negative")?;
        need(self.tenants.iter().any(|t| t.share > 0.0), "tenant", "have no share at all")?;
        let t = &self.traffic;
        need(!t.fronts.is_empty(), "traffic.fronts", "must name one at least")?;
        // The platform's text is no search: a coordinator can't say it to such hosts.
        let speak = f.dialect == DialectName::Frames || t.fronts.iter().all(|f| *f == FrontName::OpenSearch);
        need(speak, "traffic.fronts", "must be 'opensearch' alone where 'fleet.dialect' is")?;
        need((1..=10_000_000).contains(&t.keys), "traffic.keys", "must lie in 1 to 10000000")?;
        need((0.0..=4.0).contains(&t.zipf), "traffic.zipf", "must lie in 0 to 4")?;
        need(!t.shapes.is_empty() || t.trace.is_some(), "traffic.shape", "or 'traffic.trace' is needed")?;
        need(t.shapes.is_empty() || t.trace.is_none(), "traffic.trace", "goes without 'traffic.shape'")?;
        if let Arrivals::Bursty { ratio, busy_s, quiet_s } = t.arrivals {
            let sound = ratio >= 1.0 && ratio.is_finite() && busy_s > 0.0 && quiet_s > 0.0;
            need(sound, "traffic.arrivals", "needs a ratio of 1 at least and times above 0")?;
        }
        for (n, s) in t.shapes.iter().enumerate() {
            s.check().map_err(|why| (format!("traffic.shape[{n}]"), why))?;
        }
        for (n, k) in t.hot_keys.iter().enumerate() {
            let sound = share(k.share) && k.at_s >= 0.0 && k.for_s > 0.0 && (1..=t.keys).contains(&k.keys);
            need(
                sound,
                &format!("traffic.hot_key[{n}]"),
                "needs a share in 0 to 1, a time and keys that exist",
            )?;
        }
        for (n, x) in self.faults.iter().enumerate() {
            let key = |k: &str| format!("fault[{n}].{k}");
            need(x.at_s >= 0.0 && x.at_s <= self.length_s, &key("at_s"), "must lie within 'length_s'")?;
            need(x.for_s >= 0.0 && x.for_s.is_finite(), &key("for_s"), "must not be negative")?;
            need(x.times > 0.0 && x.times.is_finite(), &key("times"), "must be above 0")?;
            let most = if x.kind.of_coordinator() { f.coordinators } else { f.hosts };
            let none = x.kind == FaultKind::DiscoverySilent;
            need(none || !x.which.is_empty(), &key("which"), "must name one at least")?;
            let there = x.which.iter().all(|w| *w < most);
            need(there, &key("which"), &format!("must lie in 0 to {}", most - 1))?;
        }
        Ok(())
    }

    /// Number of shards.
    pub fn shards(&self) -> u32 {
        self.fleet.cells * self.fleet.shards_per_cell
    }

    /// The cell that holds a shard.
    pub fn cell_of(&self, shard: u32) -> u32 {
        shard % self.fleet.cells
    }

    /// The zone of a host or coordinator by its number.
    pub fn zone_of(&self, n: u16) -> usize {
        usize::from(n) % self.fleet.zones.len()
    }

    /// The length in microseconds.
    pub fn length_us(&self) -> u64 {
        (self.length_s * 1e6) as u64
    }

    /// The fleet as the stand-ins take it. A host's cell goes by its number, its zone by its place within
    /// the cell, so that each cell has hosts in several zones.
    pub fn fleet_spec(&self) -> FleetSpec {
        let (f, h) = (&self.fleet, &self.fleet.host);
        let spec = |n: u16| HostSpec {
            instant: h.instant,
            cores: h.cores,
            slots_per_core: h.slots_per_core,
            queue_per_core: h.queue_per_core,
            // Spread evenly and the same for each seed: a host is told by its number.
            speed: h.speed * (1.0 + h.speed_spread * (f64::from(n * 7 % 11) / 5.0 - 1.0)),
            call_us: h.call_ms * 1e3,
            thrash: h.thrash,
            thrash_at: h.thrash_at,
            pause_us: h.pause_ms.map(|t| t * 1000),
            pause_every_us: h.pause_every_ms.map(|t| t * 1000),
            cold_share: h.cold_share,
            cold_us: h.cold_ms * 1000,
            fall_multiple: h.fall_multiple,
            fall_us: h.fall_ms * 1000,
            error_rate: h.error_rate,
            report_every_us: h.report_every_ms * 1000,
            report_delay_us: h.report_delay_ms * 1000,
            report_noise: 0.08,
        };
        let place = |n: u16| Place {
            spec: spec(n),
            cell: u32::from(n) % f.cells,
            zone: f.zones[(u32::from(n) / f.cells) as usize % f.zones.len()].clone(),
        };
        let idle = Duration::from_millis(h.idle_ms);
        FleetSpec {
            hosts: (0..f.hosts).map(place).collect(),
            coordinators: f.coordinators,
            dialect: match f.dialect {
                DialectName::Frames => Dialect::Frames,
                DialectName::OpenSearch => Dialect::OpenSearch,
            },
            conn: ConnSpec { streams: h.streams, most: h.connections, idle },
            delays: ListDelays {
                add_ms: f.list.add_ms,
                notice_ms: f.list.notice_ms,
                silent_ms: f.list.silent_ms,
            },
            threads: f.threads,
            seed: self.seed,
        }
    }

    /// The settings that a coordinator is given, as the platform words them.
    pub fn settings(&self, coordinator: u16) -> Value {
        let (f, h) = (&self.fleet, &self.fleet.host);
        let classes: Vec<Value> = self
            .classes
            .iter()
            .map(|c| {
                let idempotency = match c.repeat {
                    RepeatName::Safe => "retryable",
                    RepeatName::Keyed => "dedup",
                    RepeatName::Unsafe => "fragile",
                };
                json!({"name": c.name, "goal_time": c.goal_ms, "hard_limit": c.limit_ms, "worth": c.worth,
                       "late_worth": c.late_worth, "idempotency": idempotency, "window": c.window_ms})
            })
            .collect();
        let each = |of: &dyn Fn(&ClassTable) -> f64| self.classes.iter().map(of).collect::<Vec<f64>>();
        let tenants: Vec<Value> = self
            .tenants
            .iter()
            .map(|t| json!({"name": t.name, "portion": t.share, "quota_per_s": t.quota_per_s}))
            .collect();
        json!({
            "az": f.zones[self.zone_of(coordinator)], "azs": f.zones, "balancers": f.coordinators, "step": 5.0,
            "caps": {"max_attempts": self.limits.attempts, "second_copies": false, "may_cancel": true,
                     "probes": true, "max_retry_after": self.limits.retry_after_ms,
                     "open_cap": self.limits.open, "streams_per_conn": h.streams,
                     "conn_idle": h.idle_ms as f64, "connect_timeout": 250.0},
            "classes": classes,
            "costs": {"cross_zone": 0.027},
            "family_info": {"bundle_max": f.bundle_max, "call_cost": h.call_ms, "sets": f.cells, "width": 1,
                            "shards": self.shards(), "class_need": each(&|_| 1.0),
                            "class_floor": each(&|c| c.floor), "partial_earns": each(&|c| c.partial_worth)},
            // What a coordinator is told of cold hosts is a bound, not their very figures.
            "safety": {"drain_grace": 2000.0, "cold_share": (h.cold_share * 0.67).min(1.0),
                       "ramp_time": h.cold_ms as f64 * 1.4, "fall_multiple": h.fall_multiple,
                       "tip_after": h.fall_ms as f64},
            "stats": {"how": "piggyback", "names": ["pending", "busy_reqs", "served_ps"]},
            "tenants": tenants,
        })
    }

    /// The operator's file that turns the OpenSearch-style front on, if any client or host wants it.
    pub fn operator(&self) -> Option<String> {
        let front = self.traffic.fronts.contains(&FrontName::OpenSearch);
        let hosts = self.fleet.dialect == DialectName::OpenSearch;
        let cores = self.fleet.cores > 1;
        if !front && !hosts && !cores {
            return None;
        }
        let mut text = String::new();
        if hosts {
            text.push_str("hosts = \"opensearch\"\n");
        }
        if cores {
            text.push_str(&format!("[cores]\ncount = {}\n", self.fleet.cores));
        }
        if !front {
            return Some(text);
        }
        text.push_str("[opensearch]\nscroll_contexts = 32\n");
        for c in &self.classes {
            let tenant = &self.tenants[0].name;
            text.push_str(&format!(
                "[[opensearch.index]]\nname = \"{}\"\nclass = \"{}\"\ntenant = \"{tenant}\"\n\
                 tenant_header = \"X-Cooperative\"\nkey_header = \"Idempotency-Key\"\n\
                 [opensearch.index.districts]\n",
                c.name, c.name
            ));
            (0..self.shards()).for_each(|s| text.push_str(&format!("d{s} = {s}\n")));
        }
        Some(text)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LEAST: &str =
        "name = 'x'\nlength_s = 5\n[traffic]\n[[traffic.shape]]\nkind = 'steady'\nrate = 10\n";

    fn why(text: &str) -> String {
        Scenario::parse(text, Path::new("day.toml")).expect_err(text).to_string()
    }

    #[test]
    fn a_scenario_needs_little_and_its_settings_are_what_a_coordinator_reads() {
        let s = Scenario::parse(LEAST, Path::new("day.toml")).unwrap();
        assert_eq!((s.classes.len(), s.tenants.len(), s.shards()), (3, 4, 12));
        for c in 0..2 {
            let site = fennelpin::core::settings::read(&s.settings(c).to_string()).unwrap();
            assert_eq!((site.classes.len(), site.caps.shards), (3, Some(12)));
        }
        let operator = Scenario {
            traffic: TrafficTable { fronts: vec![FrontName::OpenSearch], ..s.traffic.clone() },
            ..s.clone()
        };
        let site = fennelpin::core::settings::read(&s.settings(0).to_string()).unwrap();
        let read = fennelpin::config::Operator::parse(&operator.operator().unwrap()).unwrap();
        read.check(&site).unwrap();
        assert_eq!(s.operator(), None);
    }

    #[test]
    fn errors_name_the_file_and_the_key() {
        let add = |more: &str| format!("{LEAST}{more}");
        for (text, key) in [
            ("length_s = 5".to_owned(), "name"),
            (LEAST.replace("length_s = 5", "length_s = 0"), "length_s"),
            (LEAST.replace("steady", "square"), "square"),
            (LEAST.replace("rate = 10", "rate = -1"), "traffic.shape[0]"),
            (LEAST.replace("name = 'x'", "name = 'x'\ncolour = 1"), "colour"),
            (add("[fleet]\ncells = 99\n"), "fleet.cells"),
            (add("[fleet]\ndialect = 'opensearch'\n"), "traffic.fronts"),
            (add("[fleet.host]\ncold_share = 0\n"), "fleet.host.cold_share"),
            (add("[clients]\npatience = [1.0, 0.5]\n"), "clients.patience"),
            (add("[[fault]]\nat_s = 1\nkind = 'host-crash'\nwhich = [12]\n"), "fault[0].which"),
            (add("[[fault]]\nat_s = 9\nkind = 'host-crash'\nwhich = [1]\n"), "fault[0].at_s"),
            (add("[[fault]]\nat_s = 1\nkind = 'earthquake'\nwhich = [1]\n"), "earthquake"),
            (add("[[class]]\nname = 'a'\nshare = 1\nparts = [1, 13]\nwork_ms = 1\ngoal_ms = 1\nlimit_ms = 1\nrepeat = 'safe'\n"), "class[0].parts"),
            (add("[[class]]\nname = 'a'\nshare = 1\nparts = [1, 2]\nwork_ms = 1\ngoal_ms = 1\nlimit_ms = 1\nrepeat = 'keyed'\n"), "class[0].window_ms"),
        ] {
            let why = why(&text);
            assert!(why.contains("day.toml") && why.contains(key), "{key}: {why}");
        }
    }
}
