//! Options of `store`.

use super::subcommand;
use bpaf::{construct, long, positional, Parser};
use std::path::PathBuf;

/// What to do with a member's files.
#[derive(Clone, Debug)]
pub enum StoreCommand {
    /// Report what the files in this folder hold.
    Inspect(PathBuf),
    /// Check each record of the files in this folder.
    Verify(PathBuf),
    /// Go on from one replica's files alone, where a majority of the voters is lost for good.
    Recover {
        /// The operator's word that the member doesn't run.
        stopped: bool,
        /// All other voters, which are given up: names or ids.
        lost: Vec<String>,
        /// Folders of other stopped members. None may have a newer membership configuration.
        others: Vec<PathBuf>,
        /// The member's folder.
        dir: PathBuf,
    },
    /// Write the files anew.
    Rewrite {
        /// The operator's word that the member doesn't run.
        stopped: bool,
        /// The member's folder.
        dir: PathBuf,
    },
}

pub(super) fn parser() -> impl Parser<StoreCommand> {
    let inspect =
        subcommand("inspect", "tell what a member's files hold", dir()).map(StoreCommand::Inspect);
    let verify = subcommand("verify", "look at each record of a member's files", dir())
        .map(StoreCommand::Verify);
    let rewrite = rewrite();
    let recover = recover();
    subcommand(
        "store",
        "look at a member's files",
        construct!([inspect, verify, rewrite, recover]),
    )
}

fn dir() -> impl Parser<PathBuf> {
    positional::<PathBuf>("DIR").help("the member's folder (state_dir)")
}

fn stopped() -> impl Parser<bool> {
    long("stopped")
        .help("the member doesn't run")
        .req_flag(true)
}

fn rewrite() -> impl Parser<StoreCommand> {
    let (stopped, dir) = (stopped(), dir());
    subcommand(
        "rewrite",
        "write a stopped member's files anew",
        construct!(StoreCommand::Rewrite { stopped, dir }),
    )
}

fn recover() -> impl Parser<StoreCommand> {
    let stopped = stopped();
    let lost = long("lost")
        .help("all other voters, which are given up for good: names or identities, with commas between")
        .argument::<String>("MEMBER,...")
        .map(|list| split_names(&list))
        .fallback(Vec::new());
    let others = long("other")
        .help("the folder of another stopped member: it may not know a later view")
        .argument::<PathBuf>("DIR")
        .many();
    let dir = dir();
    subcommand(
        "recover",
        "go on from a stopped replica's files alone, a majority being lost for good",
        construct!(StoreCommand::Recover {
            stopped,
            lost,
            others,
            dir
        }),
    )
}

fn split_names(list: &str) -> Vec<String> {
    list.split(',')
        .map(|name| name.trim().to_owned())
        .filter(|name| !name.is_empty())
        .collect()
}
