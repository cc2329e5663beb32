//! The operator and the hosts, as the members' callers: they keep a ledger of what was acknowledged, and find
//! out what may not be.

use configuration::Code;
use protocol::Command;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A call that has no clear answer yet.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) command: Command,
    /// Version that a configuration leads to.
    pub(crate) version: u64,
    pub(crate) base: u64,
    /// Newest acknowledged version when it was first made.
    pub(crate) known: u64,
    pub(crate) made: Duration,
    pub(crate) sent: Duration,
    pub(crate) member: usize,
}

#[derive(Debug, Default)]
pub(crate) struct Operator {
    pub(crate) calls: BTreeMap<u64, Call>,
    next: u64,
    versions: u64,
    /// Newest acknowledged version.
    pub(crate) newest: u64,
    /// Acknowledged version on top of each base.
    pub(crate) on: BTreeMap<u64, u64>,
    pub(crate) drained: BTreeSet<String>,
    pub(crate) acknowledged: u64,
    pub(crate) slowest: Duration,
}

pub(crate) fn body(version: u64) -> Vec<u8> {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r{version}","hostname":"h.example","path_prefix":"/","route_class":"pure","deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
    )
    .into_bytes()
}

impl Operator {
    /// A new call, with its number.
    pub(crate) fn make(&mut self, now: Duration, kind: u64, member: usize) -> u64 {
        self.next += 1;
        self.versions += 1 + kind % 3;
        let base = self.newest;
        let version = base.max(self.versions) + 1;
        self.versions = version;
        let (command, version) = match kind % 4 {
            0 => (Command::Read { reserved: 0 }, 0),
            1 => (Command::Drain { host: format!("i-{}", self.next) }, 0),
            _ => (Command::Configure { base, amend: false, body: body(version) }, version),
        };
        let known = self.newest;
        self.calls.insert(self.next, Call { command, version, base, known, made: now, sent: now, member });
        self.next
    }

    /// Takes an answer; what it breaks, if anything.
    pub(crate) fn answered(
        &mut self,
        now: Duration,
        ticket: u64,
        code: Code,
        body: &[u8],
        calm: bool,
    ) -> Result<(), String> {
        let Some(call) = self.calls.get(&ticket).cloned() else { return Ok(()) };
        if matches!(code, Code::Unclear | Code::NoPrimary | Code::Leaving | Code::DiskFull) {
            // Made again, at another member.
            return Ok(());
        }
        self.calls.remove(&ticket);
        if calm {
            self.slowest = self.slowest.max(now - call.made);
        }
        match (&call.command, code) {
            (Command::Read { .. }, Code::Ok) => {
                let text = String::from_utf8_lossy(body).into_owned();
                let version = configuration::Document::read(text.as_bytes(), 0).map_or(0, |d| d.version);
                if version < call.known {
                    return Err(format!("read {version} after {} was acknowledged", call.known));
                }
            }
            (Command::Read { .. }, Code::NoConfiguration) if call.known > 0 => {
                return Err(format!("read nothing after {} was acknowledged", call.known));
            }
            (Command::Configure { .. }, Code::Ok) => {
                self.acknowledged += 1;
                if let Some(other) = self.on.insert(call.base, call.version).filter(|o| *o != call.version) {
                    return Err(format!("{other} and {} were both taken on {}", call.version, call.base));
                }
                self.newest = self.newest.max(call.version);
            }
            (Command::Drain { host }, Code::Ok) => {
                self.acknowledged += 1;
                self.drained.insert(host.clone());
            }
            _ => {}
        }
        Ok(())
    }
}
