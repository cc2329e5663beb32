//! The real processes: started with settings of their own, ended with this value.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A process of the run; it is killed when this is dropped.
#[derive(Debug)]
pub struct Program {
    child: Child,
}

impl Program {
    /// Starts `program` as `role`; settings and log are files `name`.* in `dir`.
    ///
    /// # Errors
    /// Where a file can't be written or the process can't be started.
    pub fn start(
        program: &Path,
        role: &str,
        dir: &Path,
        name: &str,
        settings: &Value,
    ) -> std::io::Result<Program> {
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
        Ok(Program { child })
    }

    /// Its process identity.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) -> std::io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Freezes it.
    ///
    /// # Errors
    /// Where it is gone.
    pub fn freeze(&self) -> std::io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on.
    ///
    /// # Errors
    /// Where it is gone.
    pub fn thaw(&self) -> std::io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks it to end, and kills it where it hasn't after `wait`.
    pub fn end(mut self, wait: Duration) {
        let until = Instant::now() + wait;
        if self.signal(Signal::TERM).is_ok() {
            while Instant::now() < until && matches!(self.child.try_wait(), Ok(None)) {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // One that is gone already needs no end.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
