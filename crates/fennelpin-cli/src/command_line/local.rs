//! Options of `local`.

use super::subcommand;
use bpaf::{construct, long, Parser};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

/// What to run on this machine.
#[derive(Clone, Debug)]
pub struct LocalOptions {
    /// Number of the control plane's members.
    pub members: u8,
    /// Number of machines with proxy and agent.
    pub proxies: u8,
    /// Number of modelled hosts.
    pub hosts: u8,
    /// Load in requests a second.
    pub requests_per_second: u32,
    /// Time for which load is given.
    pub load_duration: Duration,
    /// Whether the system runs on afterwards until it is interrupted.
    pub keep_running: bool,
    /// Second number of all addresses: 127.NET.x.y.
    pub net: u8,
    /// First of the ports.
    pub port: u16,
    /// Folder for settings, disks and logs; `None` for a temporary one.
    pub dir: Option<PathBuf>,
}

pub(super) fn parser() -> impl Parser<LocalOptions> {
    let members = count("members", "members of the control plane", 1..=9, 3);
    let proxies = count("proxies", "machines with proxy and agent", 1..=20, 2);
    let hosts = count("hosts", "modelled hosts", 1..=100, 6);
    let requests_per_second = requests_per_second();
    let load_duration = load_duration();
    let keep_running = long("stay")
        .help("run on afterwards, until interrupted")
        .switch();
    let net = count(
        "net",
        "second number of the addresses 127.NET.x.y",
        1..=254,
        77,
    );
    let port = port();
    let dir = long("dir")
        .help("folder for settings, disks and logs; else one that goes with the run")
        .argument::<PathBuf>("DIR")
        .optional();
    subcommand(
        "local",
        "run the whole system on this machine, with modelled hosts and load",
        construct!(LocalOptions {
            members,
            proxies,
            hosts,
            requests_per_second,
            load_duration,
            keep_running,
            net,
            port,
            dir
        }),
    )
}

fn count(
    name: &'static str,
    help: &'static str,
    bounds: RangeInclusive<u8>,
    default: u8,
) -> impl Parser<u8> {
    long(name)
        .help(help)
        .argument::<u8>("COUNT")
        .guard(move |n| bounds.contains(n), "is out of bounds")
        .fallback(default)
        .display_fallback()
}

fn requests_per_second() -> impl Parser<u32> {
    long("rate")
        .help("requests a second")
        .argument::<u32>("COUNT")
        .guard(
            |rate| (1..=2000).contains(rate),
            "has to lie between 1 and 2000",
        )
        .fallback(50)
        .display_fallback()
}

fn load_duration() -> impl Parser<Duration> {
    long("seconds")
        .help("how long load is given")
        .argument::<u64>("SECONDS")
        .fallback(5)
        .display_fallback()
        .map(Duration::from_secs)
}

fn port() -> impl Parser<u16> {
    long("port")
        .help("first of the ports")
        .argument::<u16>("PORT")
        .guard(
            |port| (1024..=65000).contains(port),
            "has to lie between 1024 and 65000",
        )
        .fallback(7600)
        .display_fallback()
}
