//! The operator and the hosts, as the members' callers: they keep a ledger of what was acknowledged, and find
//! out what may not be.

use configuration::ResultCode;
use protocol::Command;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Of the kinds of calls that are drawn, the one whose order builds on a guessed version.
const GUESSING_KIND: u64 = 15;
/// By how much the next change may raise the version: what a guess builds on.
const LIKELY_RISE: u64 = 3;
/// How far a guess raises the version, beyond those of all changes meanwhile: a version has one content.
const GUESSED_RISE: u64 = 100_000;

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
    /// Whether it builds on a version that nobody knows to be in force: it may never get a clear answer.
    pub(crate) guess: bool,
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
    /// Versions whose orders were refused.
    refused: BTreeSet<u64>,
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
        let guess = kind == GUESSING_KIND && !self.calls.values().any(|c| c.guess);
        let (base, version) = if guess {
            let base = self.versions.max(self.newest) + LIKELY_RISE;
            (base, base + GUESSED_RISE)
        } else {
            self.next_change(kind)
        };
        let (command, version) = match kind % 4 {
            0 => (Command::Read { reserved: 0 }, 0),
            1 => (
                Command::Drain {
                    host: format!("i-{}", self.next),
                },
                0,
            ),
            _ => (
                Command::Configure {
                    base,
                    amend: false,
                    body: body(version),
                },
                version,
            ),
        };
        let known = self.newest;
        self.calls.insert(
            self.next,
            Call {
                command,
                version,
                base,
                known,
                made: now,
                sent: now,
                member,
                guess,
            },
        );
        self.next
    }

    /// The base and version of a change on the newest acknowledged version.
    fn next_change(&mut self, kind: u64) -> (u64, u64) {
        self.versions = self.newest.max(self.versions + 1 + kind % 3) + 1;
        (self.newest, self.versions)
    }

    /// Takes an answer; what it breaks, if anything.
    pub(crate) fn answered(
        &mut self,
        now: Duration,
        ticket: u64,
        code: ResultCode,
        body: &[u8],
        calm: bool,
    ) -> Result<(), String> {
        let Some(call) = self.calls.get(&ticket).cloned() else {
            return Ok(());
        };
        let unclear = [
            ResultCode::Unclear,
            ResultCode::NoPrimary,
            ResultCode::Leaving,
            ResultCode::DiskFull,
            ResultCode::BaseNotInForce,
        ]
        .contains(&code);
        if unclear {
            // Made again, at another member.
            return Ok(());
        }
        self.calls.remove(&ticket);
        if calm && !call.guess {
            self.slowest = self.slowest.max(now - call.made);
        }
        match (&call.command, code) {
            (Command::Read { .. }, ResultCode::Ok) => {
                let text = String::from_utf8_lossy(body).into_owned();
                let version =
                    configuration::Configuration::read(text.as_bytes(), 0).map_or(0, |d| d.version);
                if version < call.known {
                    return Err(format!(
                        "read {version} after {} was acknowledged",
                        call.known
                    ));
                }
                self.in_force(version)?;
            }
            (Command::Read { .. }, ResultCode::NoConfiguration) if call.known > 0 => {
                return Err(format!(
                    "read nothing after {} was acknowledged",
                    call.known
                ));
            }
            (Command::Configure { .. }, ResultCode::Ok) => {
                self.acknowledged += 1;
                if let Some(other) = self
                    .on
                    .insert(call.base, call.version)
                    .filter(|o| *o != call.version)
                {
                    return Err(format!(
                        "{other} and {} were both taken on {}",
                        call.version, call.base
                    ));
                }
                self.newest = self.newest.max(call.version);
            }
            (Command::Configure { .. }, _) => drop(self.refused.insert(call.version)),
            (Command::Drain { host }, ResultCode::Ok) => {
                self.acknowledged += 1;
                self.drained.insert(host.clone());
            }
            _ => {}
        }
        Ok(())
    }

    /// Notes a version that is shown; each has one content, as versions only rise.
    pub(crate) fn in_force(&self, version: u64) -> Result<(), String> {
        if self.refused.contains(&version) {
            Err(format!("{version} is in force, it was refused"))
        } else {
            Ok(())
        }
    }
}
