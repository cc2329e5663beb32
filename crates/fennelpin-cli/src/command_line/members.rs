//! Options that say which members to ask.

use crate::control_client::ControlClient;
use bpaf::{construct, long, Parser};
use std::net::{AddrParseError, SocketAddr};
use std::time::Duration;

pub(super) fn parser() -> impl Parser<ControlClient> {
    let addresses = long("control")
        .help("control addresses of members, with commas between")
        .env("FENNELPIN_CLI_CONTROL")
        .argument::<String>("ADDRS")
        .parse(|list| parse_addresses(&list));
    let timeout = long("wait")
        .help("seconds until a call is given up")
        .argument::<f64>("SECONDS")
        .guard(
            |seconds| (0.1..=3600.0).contains(seconds),
            "has to lie between 0.1 and 3600",
        )
        .fallback(10.0)
        .display_fallback()
        .map(Duration::from_secs_f64);
    construct!(ControlClient { addresses, timeout })
}

fn parse_addresses(list: &str) -> Result<Vec<SocketAddr>, AddrParseError> {
    list.split(',')
        .map(|address| address.trim().parse())
        .collect()
}
