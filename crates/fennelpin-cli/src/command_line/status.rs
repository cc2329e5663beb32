//! Options of `status`.

use super::{members, subcommand};
use crate::control_client::ControlClient;
use bpaf::{construct, long, Parser};

/// What to report of the system.
#[derive(Clone, Debug)]
pub struct StatusOptions {
    /// Whether to print JSON.
    pub json: bool,
    /// Whether to list the hosts one by one.
    pub hosts: bool,
    /// The members to ask.
    pub members: ControlClient,
}

pub(super) fn parser() -> impl Parser<StatusOptions> {
    let json = long("json").help("print JSON").switch();
    let hosts = long("hosts").help("list the hosts one by one").switch();
    let members = members::parser();
    subcommand(
        "status",
        "tell how the system is",
        construct!(StatusOptions {
            json,
            hosts,
            members
        }),
    )
}
