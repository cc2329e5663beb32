//! Processor time and memory of processes and of this process's threads, from `/proc`.

use std::collections::BTreeMap;
use std::fs::read_to_string;
use std::time::Duration;

/// Unit in which the kernel counts processor time (`USER_HZ` is 100).
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Fields of `/proc/PID/stat` between the name and the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Processor time since its start.
    pub cpu: Duration,
    /// Resident memory in KB.
    pub rss_kb: u64,
    /// Resident memory in KB at its peak.
    pub peak_kb: u64,
}

/// What a process has used; `None` where it doesn't exist.
pub fn process(pid: u32) -> Option<ResourceUsage> {
    let cpu = cpu_time(&read_to_string(format!("/proc/{pid}/stat")).ok()?)?;
    let status = read_to_string(format!("/proc/{pid}/status")).ok()?;
    Some(ResourceUsage {
        cpu,
        rss_kb: kilobytes(&status, "VmRSS:"),
        peak_kb: kilobytes(&status, "VmHWM:"),
    })
}

/// Processor time of this process's threads, added up by their names.
pub fn threads() -> BTreeMap<String, Duration> {
    let mut times = BTreeMap::new();
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return times;
    };
    for task in tasks.flatten() {
        let name = read_to_string(task.path().join("comm")).unwrap_or_default();
        let stat = read_to_string(task.path().join("stat")).unwrap_or_default();
        if let Some(time) = cpu_time(&stat) {
            *times.entry(name.trim().to_owned()).or_default() += time;
        }
    }
    times
}

/// User and system time in a `stat` file.
fn cpu_time(stat: &str) -> Option<Duration> {
    // The name, in parentheses, may have spaces.
    let (_, after_name) = stat.rsplit_once(')')?;
    let mut fields = after_name
        .split_ascii_whitespace()
        .skip(FIELDS_BEFORE_USER_TIME);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(CLOCK_TICK * (user + system))
}

/// Value of a line in a `status` file, in KB; 0 where there is none.
fn kilobytes(status: &str, key: &str) -> u64 {
    let value = status.lines().find_map(|line| line.strip_prefix(key));
    value
        .unwrap_or_default()
        .trim()
        .split(' ')
        .next()
        .and_then(|number| number.parse().ok())
        .unwrap_or_default()
}
