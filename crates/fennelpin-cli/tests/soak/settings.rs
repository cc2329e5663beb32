//! Settings of the soak, from the environment.

use std::env;
use std::ops::Range;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// Time between SIGTERM and SIGKILL.
pub const GRACE: Duration = Duration::from_secs(4);
/// The grace as the programs are told it, in seconds.
pub const GRACE_S: f64 = 4.0;

/// What is played.
pub struct SoakSettings {
    /// Each seed is a run of its own.
    pub seeds: Range<u64>,
    /// Machines with proxy and agent.
    pub edges: u8,
    /// Members of the control plane.
    pub members: u8,
    /// Concurrent clients over all proxies.
    pub clients: usize,
    /// Processor time that each process gets in a tenth of a second, in milliseconds: 0 for no quota, `None` for what the
    /// seed draws.
    pub quota_ms: Option<u64>,
    /// Whether hosts break off, clients give up and processes freeze, beside the planned work; `None` for what the seed
    /// draws.
    pub faults: Option<bool>,
    /// For how long clients and signals come.
    pub duration: Duration,
    /// Where the logs of runs that broke a rule are kept.
    pub kept_logs: Option<PathBuf>,
}

impl SoakSettings {
    /// `SOAK_SEEDS`, `SOAK_EDGES`, `SOAK_MEMBERS`, `SOAK_CLIENTS`, `SOAK_SECONDS`, `SOAK_QUOTA_MS`, `SOAK_FAULTS` (`true`
    /// or `false`), `SOAK_LOGS`; each has a default.
    pub fn from_env() -> Self {
        let seeds: String = read("SOAK_SEEDS", "1..4".to_owned());
        let (first, end) = seeds.split_once("..").expect("SOAK_SEEDS is FROM..TO");
        Self {
            seeds: first.parse().unwrap()..end.parse().unwrap(),
            edges: read("SOAK_EDGES", 4),
            members: read("SOAK_MEMBERS", 3),
            clients: read("SOAK_CLIENTS", 32),
            quota_ms: read_optional("SOAK_QUOTA_MS"),
            faults: read_optional("SOAK_FAULTS"),
            duration: Duration::from_secs(read("SOAK_SECONDS", 14)),
            kept_logs: env::var_os("SOAK_LOGS").map(PathBuf::from),
        }
    }
}

fn read<T: FromStr>(name: &str, default: T) -> T {
    read_optional(name).unwrap_or(default)
}

fn read_optional<T: FromStr>(name: &str) -> Option<T> {
    let text = env::var(name).ok()?;
    let value = text.parse();
    Some(value.unwrap_or_else(|_| panic!("{name} is no value: {text}")))
}
