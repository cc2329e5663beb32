//! Hot restart between processes of two builds, in both directions.
//!
//! `FENNELPIN_OTHER_COORDINATOR` names the `fennelpin` binary of another release. Without it both builds are this one.

mod support;

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use support::*;

/// Environment variable with the path of the other build's binary.
const OTHER_BUILD: &str = "FENNELPIN_OTHER_COORDINATOR";

/// Path of the build under test.
fn this_build() -> PathBuf {
    env!("CARGO_BIN_EXE_fennelpin").into()
}

/// Path of the other build.
fn other_build() -> PathBuf {
    std::env::var_os(OTHER_BUILD).map_or_else(this_build, PathBuf::from)
}

/// A coordinator's process. It is killed when this is dropped.
struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a process whose configuration file, log and hand-over socket lie in a directory.
    fn start(program: &Path, directory: &Path, name: &str) -> Self {
        let log = directory.join(format!("{name}.log"));
        let child = Command::new(program)
            .args(["serve", "--log", "info"])
            .env("PROXY_CONFIG", directory.join("config.json"))
            .env("TMPDIR", directory)
            .env_remove("PROXY_OPERATOR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(std::fs::File::create(&log).unwrap())
            .spawn()
            .unwrap();
        Self { child, log }
    }

    /// Waits for a log line with this text, and returns what follows it on the line.
    fn logged(&self, text: &str) -> String {
        let mut found = None;
        until(text, || {
            let log = std::fs::read_to_string(&self.log).unwrap();
            let mut rests = log.lines().filter_map(|line| line.split_once(text));
            found = rests.next().map(|(_, rest)| rest.trim().to_owned());
            found.is_some()
        });
        found.unwrap()
    }

    fn clients_address(&self) -> String {
        self.logged("listening on ")
    }

    fn operator_address(&self) -> String {
        self.logged("operator's address on ")
    }

    /// Number of manually ejected hosts.
    fn ejected(&self) -> Option<u64> {
        let (_, _, text) =
            Client::new(&self.operator_address()).ask("GET", "/control/counters", "", "");
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("pool_ejected="))?;
        line.parse().ok()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn assert_served(client: &mut Client, id: &str) {
    client.query("near", id, 3000, &[0]);
    assert_eq!(client.read().0, 200, "{id}");
}

/// The new process takes over the clients' socket and the manual ejections; the old one answers what it has taken.
fn assert_hands_over(old_build: &Path, new_build: &Path, name: &str) {
    let ledger = Ledger::default();
    let hosts: Vec<Host> = (0..2)
        .map(|n| {
            host(n, false, &ledger, |_| {
                std::thread::sleep(ms(100));
                Act::Serve("v".into())
            })
        })
        .collect();
    let members: Vec<_> = (0..2)
        .map(|n| member(n, &hosts[n].addr, 0, "Ready"))
        .collect();
    let mut text: serde_json::Value =
        serde_json::from_str(&config("127.0.0.1:0", &members, &settings(), None)).unwrap();
    text["operator"] = "127.0.0.1:0".into();
    let directory =
        std::env::temp_dir().join(format!("fennelpin-mixed-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    std::fs::write(directory.join("config.json"), text.to_string()).unwrap();

    let mut old = Process::start(old_build, &directory, "old");
    let address = old.clients_address();
    let mut old_client = Client::new(&address);
    assert_served(&mut old_client, "before");
    let eject = "/control/district-hosts/h0/offline";
    let ejection = Client::new(&old.operator_address()).ask("POST", eject, "", "");
    assert_eq!(ejection.0, 200, "{}", ejection.2);
    old_client.query("near", "in-flight", 3000, &[0]);

    let new = Process::start(new_build, &directory, "new");
    new.logged("hot restart: taken over");
    assert_eq!(new.clients_address(), address);
    old.logged("hot restart: the new process serves");
    until("the new process has the ejection", || {
        new.ejected() == Some(1)
    });
    assert_eq!(old_client.read().0, 200, "in flight at the hand-over");
    let restore = "/control/district-hosts/h0/online";
    let order = Client::new(&new.operator_address()).ask("POST", restore, "", "");
    assert_eq!(order.0, 200, "{}", order.2);
    until("the order is forwarded to the old process", || {
        old.ejected() == Some(0)
    });

    let mut new_client = Client::new(&address);
    assert_served(&mut new_client, "after");
    let pid = old.child.id().to_string();
    assert!(Command::new("kill")
        .args(["-TERM", &pid])
        .status()
        .unwrap()
        .success());
    assert_eq!(old.child.wait().unwrap().code(), Some(0));
    new.logged("hot restart: the old process has ended");
    assert_served(&mut new_client, "alone");
    drop((old, new));
    std::fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn new_build_takes_over_from_the_other_build() {
    assert_hands_over(&other_build(), &this_build(), "upgrade");
}

#[test]
fn other_build_takes_over_from_the_new_build() {
    assert_hands_over(&this_build(), &other_build(), "downgrade");
}
