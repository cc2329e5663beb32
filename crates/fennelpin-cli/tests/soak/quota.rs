//! A quota of processor time: a process runs at full speed until its share of a period is spent, and then stands still for
//! the rest of the period. Brought about by SIGSTOP and SIGCONT, which needs no privileges.

use super::harness::cluster::TestCluster;
use rustix::process::Signal;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::time::{Duration, Instant};

/// The share of a quota is counted in periods of this length.
const PERIOD: Duration = Duration::from_millis(100);

/// What is known of one process in the present period.
struct Account {
    pid: u32,
    period_began_at: Instant,
    /// Processor time of the process at the beginning of the period.
    spent_before: Duration,
    stopped: bool,
}

/// The quota of all processes of a run.
pub struct Quota {
    /// Processor time that each process gets in a period; `None` without a quota.
    share: Option<Duration>,
    accounts: BTreeMap<String, Account>,
    /// How often a process was stopped.
    pub stops: u64,
}

impl Quota {
    pub fn new(share: Option<Duration>) -> Self {
        Self {
            share,
            accounts: BTreeMap::new(),
            stops: 0,
        }
    }

    /// Stops the processes that have spent their share, and continues those whose next period has begun. Those that are
    /// frozen by something else are left alone.
    pub fn enforce(&mut self, cluster: &TestCluster, frozen: &BTreeSet<String>) {
        let Some(share) = self.share else {
            return;
        };
        let names = cluster.processes.process_names();
        self.accounts
            .retain(|name, _| names.contains(&name.as_str()));
        for name in names {
            let Some(pid) = cluster.processes.pid(name) else {
                continue;
            };
            if !frozen.contains(name) {
                self.enforce_on(cluster, name, pid, share);
            }
        }
    }

    fn enforce_on(&mut self, cluster: &TestCluster, name: &str, pid: u32, share: Duration) {
        let spent = processor_time(pid);
        let account = self
            .accounts
            .get_mut(name)
            .filter(|account| account.pid == pid);
        let Some(account) = account else {
            let account = Account {
                pid,
                period_began_at: Instant::now(),
                spent_before: spent,
                stopped: false,
            };
            self.accounts.insert(name.to_owned(), account);
            return;
        };
        if account.period_began_at.elapsed() >= PERIOD {
            account.period_began_at = Instant::now();
            account.spent_before = spent;
            if std::mem::take(&mut account.stopped) {
                cluster.signal_program(name, Signal::CONT);
            }
        } else if !account.stopped && spent.saturating_sub(account.spent_before) >= share {
            account.stopped = true;
            self.stops += 1;
            cluster.signal_program(name, Signal::STOP);
        }
    }

    /// Lets all processes run, without a quota from now on.
    pub fn release(&mut self, cluster: &TestCluster) {
        self.share = None;
        for (name, account) in std::mem::take(&mut self.accounts) {
            if account.stopped && cluster.processes.pid(&name) == Some(account.pid) {
                cluster.signal_program(&name, Signal::CONT);
            }
        }
    }
}

/// Processor time that all threads of a process have spent.
fn processor_time(pid: u32) -> Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{pid}/task")) else {
        return Duration::ZERO;
    };
    let of_thread = |thread: fs::DirEntry| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    let nanos = threads.flatten().filter_map(of_thread).sum();
    Duration::from_nanos(nanos)
}
