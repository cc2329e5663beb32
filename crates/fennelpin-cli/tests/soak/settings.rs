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
    /// For how long clients and signals come.
    pub duration: Duration,
    /// Where the logs of runs that broke a rule are kept.
    pub kept_logs: Option<PathBuf>,
}

impl SoakSettings {
    /// `SOAK_SEEDS`, `SOAK_EDGES`, `SOAK_MEMBERS`, `SOAK_CLIENTS`, `SOAK_SECONDS`, `SOAK_LOGS`; each has a default.
    pub fn from_env() -> Self {
        let seeds: String = read("SOAK_SEEDS", "1..3".to_owned());
        let (first, end) = seeds.split_once("..").expect("SOAK_SEEDS is FROM..TO");
        Self {
            seeds: first.parse().unwrap()..end.parse().unwrap(),
            edges: read("SOAK_EDGES", 4),
            members: read("SOAK_MEMBERS", 3),
            clients: read("SOAK_CLIENTS", 32),
            duration: Duration::from_secs(read("SOAK_SECONDS", 14)),
            kept_logs: env::var_os("SOAK_LOGS").map(PathBuf::from),
        }
    }
}

fn read<T: FromStr>(name: &str, default: T) -> T {
    env::var(name).map_or(default, |text| {
        text.parse()
            .unwrap_or_else(|_| panic!("{name} is no value: {text}"))
    })
}
