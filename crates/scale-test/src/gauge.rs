//! Processor time and memory of processes and of this process's threads, from /proc.

use std::collections::BTreeMap;
use std::fs::read_to_string;
use std::time::Duration;

/// Length of a tick in which the system counts processor time.
const TICK: Duration = Duration::from_millis(10);

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Processor time since its start.
    pub cpu: Duration,
    /// Memory in KB now.
    pub rss_kb: u64,
    /// Memory in KB at its peak.
    pub peak_kb: u64,
}

fn ticks(stat: &str) -> Option<Duration> {
    // The name, in parentheses, may hold spaces.
    let mut fields = stat.rsplit_once(')')?.1.split_ascii_whitespace().skip(11);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(TICK * (user + system))
}

fn kb(status: &str, key: &str) -> u64 {
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix(key))
        .unwrap_or_default();
    line.trim()
        .split(' ')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or_default()
}

/// What a process has used; nothing where it is gone.
pub fn process(pid: u32) -> Option<Load> {
    let cpu = ticks(&read_to_string(format!("/proc/{pid}/stat")).ok()?)?;
    let status = read_to_string(format!("/proc/{pid}/status")).ok()?;
    Some(Load {
        cpu,
        rss_kb: kb(&status, "VmRSS:"),
        peak_kb: kb(&status, "VmHWM:"),
    })
}

/// Processor time of this process's threads, by their names.
pub fn threads() -> BTreeMap<String, Duration> {
    let mut all = BTreeMap::new();
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return all;
    };
    for task in tasks.flatten() {
        let name = read_to_string(task.path().join("comm")).unwrap_or_default();
        if let Some(cpu) = read_to_string(task.path().join("stat"))
            .ok()
            .as_deref()
            .and_then(ticks)
        {
            *all.entry(name.trim().to_owned()).or_default() += cpu;
        }
    }
    all
}
