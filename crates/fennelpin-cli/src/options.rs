//! The command line.

use crate::control::Members;
use crate::operator::{Format, Level};
use bpaf::{construct, long, positional, OptionParser, Parser};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// All that the command line says.
#[derive(Clone, Debug)]
pub struct Options {
    /// Least level of the lines that are logged, over the operator's file.
    pub level: Option<Level>,
    /// How lines are written, over the operator's file.
    pub format: Option<Format>,
    /// The operator's file.
    pub operator: Option<PathBuf>,
    /// What is to be done.
    pub verb: Verb,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Verb {
    /// Be a member of the control plane.
    ControlPlane(From),
    /// Be a machine's agent.
    Agent(From),
    /// Be a proxy.
    Proxy(From),
    /// Tell how the system is.
    Status(Status),
    /// Work with configurations.
    Config(Config),
    /// Look at a member's files.
    Store(Store),
    /// Run the whole system on this machine.
    Local(Local),
    /// List the result codes.
    Codes,
    /// Print what makes a shell complete this command line.
    Completion(String),
    /// Print the version.
    Version,
}

/// Where a program's settings are, and when it ends.
#[derive(Clone, Debug)]
pub struct From {
    /// The settings file.
    pub settings: PathBuf,
    /// It ends, as at SIGTERM, when its standard input does: so it doesn't outlive who started it.
    pub until_input_ends: bool,
}

/// What to tell of the system.
#[derive(Clone, Debug)]
pub struct Status {
    /// Whether to print JSON.
    pub json: bool,
    /// Whether to list the hosts one by one.
    pub hosts: bool,
    /// Whom to ask.
    pub members: Members,
}

/// What to do with configurations.
#[derive(Clone, Debug)]
pub enum Config {
    /// Check a file.
    Check(Check),
    /// Print a configuration that was taken.
    Show(Show),
    /// Compare.
    Diff(Diff),
    /// Have one taken.
    Apply(Apply),
    /// List what was taken.
    History(Members),
    /// Have an older one taken again.
    Rollback(Rollback),
}

/// What to check.
#[derive(Clone, Debug)]
pub struct Check {
    /// What sort of file it is.
    pub sort: Sort,
    /// The file.
    pub file: PathBuf,
}

/// What sort of file is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    /// A configuration of routes and services.
    Configuration,
    /// The settings file of a process.
    Settings,
    /// The operator's file.
    Operator,
}

/// What to print.
#[derive(Clone, Debug)]
pub struct Show {
    /// A version; else the one in force.
    pub version: Option<u64>,
    /// Whom to ask.
    pub members: Members,
}

/// What to compare.
#[derive(Clone, Debug)]
pub struct Diff {
    /// The version to compare with; else the one in force.
    pub version: Option<u64>,
    /// Whom to ask.
    pub members: Members,
    /// The file that is compared.
    pub file: PathBuf,
}

/// What to have taken.
#[derive(Clone, Debug)]
pub struct Apply {
    /// Whether the file holds an amendment.
    pub amend: bool,
    /// The version it builds on; else the one in force.
    pub base: Option<u64>,
    /// Whom to ask.
    pub members: Members,
    /// The file.
    pub file: PathBuf,
}

/// What to have taken again.
#[derive(Clone, Debug)]
pub struct Rollback {
    /// The new version; else one above that in force.
    pub version: Option<u64>,
    /// The older configuration's file, where no member keeps it any more.
    pub file: Option<PathBuf>,
    /// Whom to ask.
    pub members: Members,
    /// The older version.
    pub to: u64,
}

/// What to do with a member's files.
#[derive(Clone, Debug)]
pub enum Store {
    /// Tell what they hold.
    Inspect(PathBuf),
    /// Look at each record.
    Verify(PathBuf),
    /// Go on from a replica's files alone, where a majority is lost for good.
    Recover {
        /// That the member doesn't run.
        stopped: bool,
        /// The members that are given up, by name or identity.
        lost: Vec<String>,
        /// Folders of other members that were lost but whose disks are there: none may know a later view.
        others: Vec<PathBuf>,
        /// The folder.
        dir: PathBuf,
    },
    /// Write them anew.
    Rewrite {
        /// That the member doesn't run.
        stopped: bool,
        /// The folder.
        dir: PathBuf,
    },
}

/// What to run on this machine.
#[derive(Clone, Debug)]
pub struct Local {
    /// Members of the control plane.
    pub members: u8,
    /// Machines with proxy and agent.
    pub proxies: u8,
    /// Modelled hosts.
    pub hosts: u8,
    /// Requests a second.
    pub rate: u32,
    /// How long load is given.
    pub time: Duration,
    /// Whether the system runs on afterwards, until it is interrupted.
    pub stay: bool,
    /// Second number of the addresses, 127.NET.x.y.
    pub net: u8,
    /// First of the ports.
    pub port: u16,
    /// The folder for settings, disks and logs; else one that goes with the run.
    pub dir: Option<PathBuf>,
}

fn from() -> impl Parser<From> {
    let settings = long("settings")
        .help("the program's settings file")
        .env("FENNELPIN_NODE_FILE")
        .argument::<PathBuf>("FILE");
    let until_input_ends = long("until-input-ends")
        .help("end when standard input ends")
        .switch();
    construct!(From {
        settings,
        until_input_ends
    })
}

fn members() -> impl Parser<Members> {
    let control = long("control")
        .help("control addresses of members, with commas between")
        .env("FENNELPIN_CLI_CONTROL")
        .argument::<String>("ADDRS")
        .parse(|list| {
            list.split(',')
                .map(|a| a.trim().parse())
                .collect::<Result<Vec<SocketAddr>, _>>()
        });
    let wait = long("wait")
        .help("seconds until a call is given up")
        .argument::<f64>("SECONDS")
        .guard(
            |s| (0.1..=3600.0).contains(s),
            "has to lie between 0.1 and 3600",
        )
        .fallback(10.0)
        .display_fallback()
        .map(Duration::from_secs_f64);
    construct!(Members { control, wait })
}

fn verb<T: 'static>(
    name: &'static str,
    text: &'static str,
    inner: impl Parser<T> + 'static,
) -> impl Parser<T> {
    inner.to_options().descr(text).command(name).help(text)
}

fn file(help: &'static str) -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help(help)
}

fn config() -> impl Parser<Config> {
    let check = {
        let settings = long("settings")
            .help("it is a program's settings file")
            .req_flag(Sort::Settings);
        let operator = long("operator-file")
            .help("it is an operator's file")
            .req_flag(Sort::Operator);
        let sort = construct!([settings, operator]).fallback(Sort::Configuration);
        let file = file("the file");
        verb("check", "check a file", construct!(Check { sort, file })).map(Config::Check)
    };
    let version = || {
        long("version")
            .help("a version; else the one in force")
            .argument::<u64>("VERSION")
            .optional()
    };
    let show = {
        let (version, members) = (version(), members());
        verb(
            "show",
            "print a configuration",
            construct!(Show { version, members }),
        )
        .map(Config::Show)
    };
    let diff = {
        let (version, members, file) = (version(), members(), file("the configuration"));
        verb(
            "diff",
            "compare a file with what is in force",
            construct!(Diff {
                version,
                members,
                file
            }),
        )
        .map(Config::Diff)
    };
    let apply = {
        let amend = long("amend")
            .help("the file holds an amendment, not a whole configuration")
            .switch();
        let base = long("base")
            .help("the version it builds on; else the one in force")
            .argument::<u64>("VERSION")
            .optional();
        let (members, file) = (members(), file("the configuration"));
        verb(
            "apply",
            "have a configuration taken",
            construct!(Apply {
                amend,
                base,
                members,
                file
            }),
        )
        .map(Config::Apply)
    };
    let history = verb("history", "list the versions taken", members()).map(Config::History);
    let rollback = {
        let version = long("version")
            .help("the new version; else one above that in force")
            .argument::<u64>("VERSION")
            .optional();
        let file = long("file")
            .help("the older configuration, where no member keeps it any more")
            .argument::<PathBuf>("FILE")
            .optional();
        let members = members();
        let to = positional::<u64>("OLDER").help("the older version");
        verb(
            "rollback",
            "have an older configuration taken again under a new version",
            construct!(Rollback {
                version,
                file,
                members,
                to
            }),
        )
        .map(Config::Rollback)
    };
    verb(
        "config",
        "work with configurations",
        construct!([check, show, diff, apply, history, rollback]),
    )
}

fn store() -> impl Parser<Store> {
    let dir = || positional::<PathBuf>("DIR").help("the member's folder (state_dir)");
    let inspect = verb("inspect", "tell what a member's files hold", dir()).map(Store::Inspect);
    let verify =
        verb("verify", "look at each record of a member's files", dir()).map(Store::Verify);
    let rewrite = {
        let stopped = long("stopped")
            .help("the member doesn't run")
            .req_flag(true);
        let dir = dir();
        verb(
            "rewrite",
            "write a stopped member's files anew",
            construct!(Store::Rewrite { stopped, dir }),
        )
    };
    let recover = {
        let stopped = long("stopped")
            .help("the member doesn't run")
            .req_flag(true);
        let lost = long("lost")
            .help("all other voters, which are given up for good: names or identities, with commas between")
            .argument::<String>("MEMBER,...")
            .map(|list| list.split(',').map(|m| m.trim().to_owned()).filter(|m| !m.is_empty()).collect())
            .fallback(Vec::new());
        let others = long("other")
            .help("the folder of another stopped member: it may not know a later view")
            .argument::<PathBuf>("DIR")
            .many();
        let dir = dir();
        let recover = construct!(Store::Recover {
            stopped,
            lost,
            others,
            dir
        });
        verb(
            "recover",
            "go on from a stopped replica's files alone, a majority being lost for good",
            recover,
        )
    };
    verb(
        "store",
        "look at a member's files",
        construct!([inspect, verify, rewrite, recover]),
    )
}

fn local() -> impl Parser<Local> {
    let count = |name, help, least: u8, most: u8, usual: u8| {
        long(name)
            .help(help)
            .argument::<u8>("COUNT")
            .guard(move |n| (least..=most).contains(n), "is out of bounds")
            .fallback(usual)
            .display_fallback()
    };
    let members = count("members", "members of the control plane", 1, 9, 3);
    let proxies = count("proxies", "machines with proxy and agent", 1, 20, 2);
    let hosts = count("hosts", "modelled hosts", 1, 100, 6);
    let rate = long("rate")
        .help("requests a second")
        .argument::<u32>("COUNT")
        .guard(|n| (1..=2000).contains(n), "has to lie between 1 and 2000")
        .fallback(50)
        .display_fallback();
    let time = long("seconds")
        .help("how long load is given")
        .argument::<u64>("SECONDS")
        .fallback(5)
        .display_fallback()
        .map(Duration::from_secs);
    let stay = long("stay")
        .help("run on afterwards, until interrupted")
        .switch();
    let net = count(
        "net",
        "second number of the addresses 127.NET.x.y",
        1,
        254,
        77,
    );
    let port = long("port")
        .help("first of the ports")
        .argument::<u16>("PORT")
        .guard(
            |p| (1024..=65000).contains(p),
            "has to lie between 1024 and 65000",
        )
        .fallback(7600)
        .display_fallback();
    let dir = long("dir")
        .help("folder for settings, disks and logs; else one that goes with the run")
        .argument::<PathBuf>("DIR")
        .optional();
    let plan = construct!(Local {
        members,
        proxies,
        hosts,
        rate,
        time,
        stay,
        net,
        port,
        dir
    });
    verb(
        "local",
        "run the whole system on this machine, with modelled hosts and load",
        plan,
    )
}

/// The command line's parser.
pub fn options() -> OptionParser<Options> {
    let level = long("log")
        .help("least level of the lines on standard error: off, error, warn, info, debug, trace")
        .argument::<Level>("LEVEL")
        .optional();
    let format = long("log-format")
        .help("how lines are written: text, json")
        .argument::<Format>("FORMAT")
        .optional();
    let operator = long("operator")
        .help("the operator's file (TOML)")
        .env("FENNELPIN_CLI_OPERATOR")
        .argument::<PathBuf>("FILE")
        .optional();
    let control_plane =
        verb("control-plane", "run a member of the control plane", from()).map(Verb::ControlPlane);
    let agent = verb("agent", "run a machine's agent", from()).map(Verb::Agent);
    let proxy = verb("proxy", "run a proxy", from()).map(Verb::Proxy);
    let status = {
        let json = long("json").help("print JSON").switch();
        let hosts = long("hosts").help("list the hosts one by one").switch();
        let members = members();
        verb(
            "status",
            "tell how the system is",
            construct!(Status {
                json,
                hosts,
                members
            }),
        )
        .map(Verb::Status)
    };
    let (config, store, local) = (
        config().map(Verb::Config),
        store().map(Verb::Store),
        local().map(Verb::Local),
    );
    let codes = verb("codes", "list the result codes", bpaf::pure(Verb::Codes));
    let completion = {
        let shell = positional::<String>("SHELL").help("bash, zsh, fish, elvish");
        verb(
            "completion",
            "print what makes a shell complete this command line",
            shell,
        )
        .map(Verb::Completion)
    };
    let version = verb("version", "print the version", bpaf::pure(Verb::Version));
    let verb = construct!([
        status,
        config,
        store,
        local,
        codes,
        completion,
        version,
        control_plane,
        agent,
        proxy
    ]);
    construct!(Options {
        level,
        format,
        operator,
        verb
    })
    .to_options()
    .descr("Router fleet for a language model")
    .footer(
        "Exit codes: 0 done, 1 failed, 2 wrong input, 3 refused by the control plane, 4 differs",
    )
}

/// What makes a shell complete this command line; none for a shell that isn't known.
pub fn completion(shell: &str) -> Option<String> {
    let ask: &[&str] = match shell {
        "bash" => &["--bpaf-complete-style-bash"],
        "zsh" => &["--bpaf-complete-style-zsh"],
        "fish" => &["--bpaf-complete-style-fish"],
        "elvish" => &["--bpaf-complete-style-elvish"],
        _ => return None,
    };
    match options().run_inner(bpaf::Args::from(ask).set_name("fennelpin-cli")) {
        Err(bpaf::ParseFailure::Completion(text)) => Some(text),
        _ => None,
    }
}
