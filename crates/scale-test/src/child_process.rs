//! A process of the run, with settings and log of its own.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Pause between two checks whether the process has ended.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A process of the run; it is killed when this is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts `program` with the subcommand `role`. Settings and log are the files `NAME.json` and `NAME.log` in `dir`.
    ///
    /// # Errors
    /// Where a file can't be written or the process can't be started.
    pub fn start(
        program: &Path,
        role: &str,
        dir: &Path,
        name: &str,
        settings: &Value,
    ) -> std::io::Result<ChildProcess> {
        let file = dir.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string())?;
        if let Some(disk) = settings["state_dir"].as_str() {
            std::fs::create_dir_all(disk)?;
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(dir.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .arg(role)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(ChildProcess { child })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) -> std::io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Stops it until [`thaw`](Self::thaw).
    ///
    /// # Errors
    /// Where it has ended.
    pub fn freeze(&self) -> std::io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on.
    ///
    /// # Errors
    /// Where it has ended.
    pub fn thaw(&self) -> std::io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks it to end, and kills it if it hasn't after `timeout`.
    pub fn terminate(mut self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        if self.signal(Signal::TERM).is_ok() {
            while Instant::now() < deadline && matches!(self.child.try_wait(), Ok(None)) {
                std::thread::sleep(EXIT_CHECK_INTERVAL);
            }
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Fails where it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
