//! The coordinators as processes: started, watched, signalled and ended, each by its own id.

use crate::record::{CoordinatorEvent, ProcessEvent, ProcessHistory};
use crate::scenario::Scenario;
use fake_hosts::event_log::Epoch;
use fake_hosts::fleet::{free_addr, Fleet};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A coordinator must answer its health call within this.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// One that was told to end must have ended within this.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Why the coordinators don't run.
#[derive(Debug, thiserror::Error)]
pub enum DeployError {
    /// A file or socket.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// The program is not there.
    #[error("{0} is not there: build it with 'cargo build --release', or name one with --bin")]
    NoProgram(PathBuf),
    /// It does not get ready.
    #[error("coordinator {0} is not ready after {1:?}: see {2}")]
    NotReady(u16, Duration, PathBuf),
}

/// CPU and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// User and system time in seconds.
    pub cpu_s: f64,
    /// Resident memory in megabytes, at most so far.
    pub peak_mb: f64,
    /// Descriptors open now.
    pub descriptors: usize,
}

struct CoordinatorProcess {
    listen: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// CPU of processes that have ended.
    before_s: f64,
    last: Usage,
}

/// The coordinators of a run. What still runs is killed when this is dropped.
pub struct Coordinators {
    program: PathBuf,
    operator: Option<PathBuf>,
    all: Vec<CoordinatorProcess>,
    epoch: Epoch,
    processes: ProcessHistory,
    level: String,
}

/// The program to start: the one that is named, else that beside this program.
///
/// # Errors
/// If there is none.
pub fn program(named: Option<&Path>) -> Result<PathBuf, DeployError> {
    let beside = || {
        let me = std::env::current_exe().ok()?;
        // Tests run from a folder below.
        me.ancestors()
            .skip(1)
            .take(2)
            .map(|d| d.join("fennelpin"))
            .find(|p| p.is_file())
    };
    let path = named
        .map(Path::to_owned)
        .or_else(beside)
        .unwrap_or_else(|| "target/release/fennelpin".into());
    if path.is_file() {
        Ok(path)
    } else {
        Err(DeployError::NoProgram(path))
    }
}

impl Coordinators {
    /// Writes their files into `dir`; nothing is started yet.
    ///
    /// # Errors
    /// If a file can't be written or no port can be had.
    pub fn prepare(
        s: &Scenario,
        fleet: &Fleet,
        program: PathBuf,
        dir: &Path,
        level: &str,
        epoch: Epoch,
    ) -> Result<Self, DeployError> {
        let write = |path: PathBuf, text: String| {
            let failed = |e| DeployError::Io(path.display().to_string(), e);
            std::fs::write(&path, text).map_err(failed)?;
            path.canonicalize().map_err(failed)
        };
        let operator = s
            .operator()
            .map(|text| write(dir.join("operator.toml"), text))
            .transpose()?;
        let mut all = Vec::new();
        for c in 0..s.fleet.coordinators {
            let listen = free_addr().map_err(|e| DeployError::Io("a port".into(), e))?;
            let members: Vec<_> = fleet.known[usize::from(c)]
                .iter()
                .map(fake_hosts::discovery::ListEntry::json)
                .collect();
            let config = json!({
                "name": format!("c{c}"),
                "listen": listen.to_string(),
                "discovery": fleet.discovery[usize::from(c)].to_string(),
                "seed": format!("{:x}", s.seed.wrapping_mul(31).wrapping_add(u64::from(c))),
                "limits": {"sockets": s.limits.sockets, "memory_mb": s.limits.memory_mb},
                "known": {"revision": 1, "complete": true, "members": members},
                "settings": s.settings(c),
            });
            let text = serde_json::to_string_pretty(&config).unwrap_or_default();
            let config = write(dir.join(format!("coordinator-{c}.json")), text)?;
            let log = dir.join(format!("coordinator-{c}.log"));
            write(log.clone(), String::new())?;
            let (before_s, last) = (0.0, Usage::default());
            all.push(CoordinatorProcess {
                listen,
                config,
                log,
                child: None,
                before_s,
                last,
            });
        }
        let processes = ProcessHistory::default();
        Ok(Self {
            program,
            operator,
            all,
            epoch,
            processes,
            level: level.to_owned(),
        })
    }

    /// How many there are.
    pub fn len(&self) -> u16 {
        self.all.len() as u16
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Where they listen.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.all.iter().map(|c| c.listen).collect()
    }

    /// All that happened to them so far.
    pub fn processes(&self) -> &ProcessHistory {
        &self.processes
    }

    fn record(&mut self, coordinator: u16, event: ProcessEvent) {
        self.processes.0.push(CoordinatorEvent {
            at: self.epoch.now(),
            coordinator,
            event,
        });
    }

    /// Starts one.
    ///
    /// # Errors
    /// If its log or process can't be had.
    pub fn start(&mut self, c: u16) -> Result<(), DeployError> {
        let one = &self.all[usize::from(c)];
        let failed = |e| DeployError::Io(one.log.display().to_string(), e);
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&one.log)
            .map_err(failed)?;
        let mut command = Command::new(&self.program);
        command
            .arg("--log")
            .arg(&self.level)
            .arg("serve")
            .arg("--config")
            .arg(&one.config);
        if let Some(operator) = &self.operator {
            command.arg("--operator").arg(operator);
        }
        for name in [
            "PROXY_NAME",
            "PROXY_LISTEN",
            "PROXY_DISCOVERY",
            "PROXY_CONFIG",
        ] {
            command.env_remove(name);
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = command
            .spawn()
            .map_err(|e| DeployError::Io(self.program.display().to_string(), e))?;
        self.all[usize::from(c)].child = Some(child);
        self.record(c, ProcessEvent::Started);
        Ok(())
    }

    /// Whether one answers its health call now.
    pub fn healthy(&mut self, c: u16) -> bool {
        let ask = |addr: SocketAddr| -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(200))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /_health HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")?;
            let mut head = [0; 12];
            stream.read_exact(&mut head)?;
            Ok(head.ends_with(b"200"))
        };
        let ready = ask(self.all[usize::from(c)].listen).unwrap_or(false);
        if ready {
            self.record(c, ProcessEvent::Ready);
        }
        ready
    }

    /// Waits until one answers its health call.
    ///
    /// # Errors
    /// If it does not in time, or ends.
    pub fn ready(&mut self, c: u16) -> Result<(), DeployError> {
        let start = Instant::now();
        while !self.healthy(c) {
            let one = &mut self.all[usize::from(c)];
            let ended = one
                .child
                .as_mut()
                .is_some_and(|child| child.try_wait().is_ok_and(|s| s.is_some()));
            if ended || start.elapsed() > READY_TIMEOUT {
                return Err(DeployError::NotReady(c, start.elapsed(), one.log.clone()));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    fn signal(&mut self, c: u16, signal: Signal, event: Option<ProcessEvent>) {
        let pid = self.all[usize::from(c)]
            .child
            .as_ref()
            .and_then(|p| Pid::from_raw(p.id() as i32));
        let Some(pid) = pid else { return };
        // Written down first: what it did before the signal reached it is excused with the rest.
        if let Some(event) = event {
            self.record(c, event);
        }
        if let Err(e) = kill_process(pid, signal) {
            log::warn!(coordinator = c, error:% = e; "signal");
        }
    }

    /// SIGTERM.
    pub fn terminate(&mut self, c: u16) {
        self.signal(c, Signal::TERM, Some(ProcessEvent::Terminated));
    }

    /// SIGHUP.
    pub fn hang_up(&mut self, c: u16) {
        self.signal(c, Signal::HUP, None);
    }

    /// SIGSTOP.
    pub fn stall(&mut self, c: u16) {
        self.signal(c, Signal::STOP, Some(ProcessEvent::Stopped));
    }

    /// SIGCONT.
    pub fn resume(&mut self, c: u16) {
        self.signal(c, Signal::CONT, Some(ProcessEvent::Continued));
    }

    /// SIGKILL, and waits for its end.
    pub fn kill(&mut self, c: u16) {
        self.usage(c);
        if let Some(mut child) = self.all[usize::from(c)].child.take() {
            self.record(c, ProcessEvent::Killed);
            let _ = child.kill();
            let _ = child.wait();
            self.retire(c);
        }
    }

    fn retire(&mut self, c: u16) {
        let one = &mut self.all[usize::from(c)];
        one.before_s += one.last.cpu_s;
        one.last.cpu_s = 0.0;
    }

    /// Notes those that have ended by themselves; the codes of those that were not asked to.
    pub fn reap(&mut self) -> Vec<(u16, Option<i32>)> {
        let mut crashed = Vec::new();
        for c in 0..self.len() {
            let ended = self.all[usize::from(c)]
                .child
                .as_mut()
                .and_then(|p| p.try_wait().ok().flatten());
            let Some(status) = ended else { continue };
            self.all[usize::from(c)].child = None;
            self.retire(c);
            let asked = self
                .processes
                .0
                .iter()
                .rev()
                .find(|e| e.coordinator == c && e.event != ProcessEvent::Ready);
            let asked = asked.is_some_and(|e| e.event == ProcessEvent::Terminated);
            self.record(
                c,
                if asked {
                    ProcessEvent::Exited
                } else {
                    ProcessEvent::Killed
                },
            );
            if !asked || !status.success() {
                crashed.push((c, status.code()));
            }
        }
        crashed
    }

    /// Whether one runs.
    pub fn runs(&self, c: u16) -> bool {
        self.all[usize::from(c)].child.is_some()
    }

    /// CPU and memory of one so far, over all its starts.
    pub fn usage(&mut self, c: u16) -> Usage {
        let one = &mut self.all[usize::from(c)];
        if let Some(now) = one.child.as_ref().and_then(|p| usage_of(p.id())) {
            one.last = Usage {
                peak_mb: now.peak_mb.max(one.last.peak_mb),
                ..now
            };
        }
        Usage {
            cpu_s: one.before_s + one.last.cpu_s,
            ..one.last
        }
    }

    /// Ends all with SIGTERM; the codes of those that did not end well.
    pub fn end(&mut self) -> Vec<(u16, Option<i32>)> {
        for c in 0..self.len() {
            self.usage(c);
            self.terminate(c);
        }
        let start = Instant::now();
        let mut bad = self.reap();
        while start.elapsed() < EXIT_TIMEOUT && (0..self.len()).any(|c| self.runs(c)) {
            for c in 0..self.len() {
                self.usage(c);
            }
            std::thread::sleep(Duration::from_millis(20));
            bad.extend(self.reap());
        }
        for c in 0..self.len() {
            if self.runs(c) {
                bad.push((c, None));
                self.kill(c);
            }
        }
        bad
    }
}

impl Drop for Coordinators {
    fn drop(&mut self) {
        (0..self.len()).for_each(|c| self.kill(c));
    }
}

/// What the kernel says of a process.
fn usage_of(pid: u32) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name may hold spaces: fields count from behind its bracket. utime and stime are the 14th and 15th.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    let peak_kb: f64 = peak.trim().trim_end_matches(" kB").parse().ok()?;
    let descriptors =
        std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, std::iter::Iterator::count);
    let per_s = rustix::param::clock_ticks_per_second() as f64;
    Some(Usage {
        cpu_s: ticks as f64 / per_s,
        peak_mb: peak_kb / 1024.0,
        descriptors,
    })
}
