//! Options of `locks` and `cells`.

use super::{members, subcommand};
use crate::control_client::ControlClient;
use bpaf::{construct, positional, Parser};

/// What to do with locks.
#[derive(Clone, Debug)]
pub enum LocksCommand {
    /// List the locks that have a holder.
    List(ControlClient),
    /// Take a lock away from its holder.
    Free {
        /// The members to ask.
        members: ControlClient,
        /// The lock's name.
        name: String,
    },
}

/// What to do with cells.
#[derive(Clone, Debug)]
pub enum CellsCommand {
    /// List the groups, or the cells of one group.
    List {
        /// The members to ask.
        members: ControlClient,
        /// The group's name; none for all groups.
        group: Option<String>,
    },
    /// Print the puts into a group's cells as they come.
    Watch {
        /// The members to ask.
        members: ControlClient,
        /// The group's name.
        group: String,
    },
}

pub(super) fn locks_parser() -> impl Parser<LocksCommand> {
    let list = subcommand(
        "list",
        "list the locks, their holders and fencing tokens",
        members::parser(),
    )
    .map(LocksCommand::List);
    let members = members::parser();
    let name = positional::<String>("LOCK").help("the lock's name");
    let free = subcommand(
        "free",
        "take a lock away from its holder; the next one gets a higher fencing token",
        construct!(LocksCommand::Free { members, name }),
    );
    subcommand(
        "locks",
        "look at applications' locks",
        construct!([list, free]),
    )
}

pub(super) fn cells_parser() -> impl Parser<CellsCommand> {
    let members = members::parser();
    let group = positional::<String>("GROUP")
        .help("a group, with the dot at its end; else all groups")
        .optional();
    let list = subcommand(
        "list",
        "list the groups of cells, or a group's cells",
        construct!(CellsCommand::List { members, group }),
    );
    let members = members::parser();
    let group = positional::<String>("GROUP").help("a group, with the dot at its end");
    let watch = subcommand(
        "watch",
        "print the puts into a group's cells as they come",
        construct!(CellsCommand::Watch { members, group }),
    );
    subcommand(
        "cells",
        "look at applications' cells",
        construct!([list, watch]),
    )
}
