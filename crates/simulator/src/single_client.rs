//! A client that makes one call after another, for plans without a [`crate::ClientWorkload`]: it remembers what was
//! acknowledged, and checks answers against that.

use crate::violation::Violation;
use configuration::{Configuration, ResultCode};
use protocol::Command;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Of the kinds of calls that are drawn, the one whose configuration builds on an unconfirmed version.
const UNCONFIRMED_BASE_KIND: u64 = 15;
/// By how much the next change may raise the version; an unconfirmed base lies this far ahead.
const EXPECTED_VERSION_STEP: u64 = 3;
/// By how much a configuration on an unconfirmed base raises the version: beyond those of all changes meanwhile, as each
/// version has one content.
const UNCONFIRMED_VERSION_STEP: u64 = 100_000;
/// Answers after which a call is made again, at another member.
const INDEFINITE_CODES: [ResultCode; 5] = [
    ResultCode::Unclear,
    ResultCode::NoPrimary,
    ResultCode::Leaving,
    ResultCode::DiskFull,
    ResultCode::BaseNotInForce,
];

/// A call that has no definite answer yet.
#[derive(Clone, Debug)]
pub(crate) struct OpenCall {
    pub(crate) command: Command,
    /// Version that a configuration leads to.
    pub(crate) version: u64,
    base: u64,
    /// Newest acknowledged version when the call was made first.
    newest_at_call: u64,
    pub(crate) made_at: Duration,
    pub(crate) sent_at: Duration,
    /// Whether it builds on a version that nobody knows to be in force: it may never get a definite answer.
    pub(crate) unconfirmed_base: bool,
}

/// The client's state.
#[derive(Debug, Default)]
pub(crate) struct SingleClient {
    /// Open calls by ticket.
    pub(crate) calls: BTreeMap<u64, OpenCall>,
    last_ticket: u64,
    /// Highest version of a configuration on a confirmed base.
    last_version: u64,
    /// Newest acknowledged version.
    pub(crate) newest: u64,
    /// Acknowledged version on top of each base.
    acknowledged_by_base: BTreeMap<u64, u64>,
    /// Versions of rejected configurations.
    rejected: BTreeSet<u64>,
    /// Hosts whose drain was acknowledged.
    pub(crate) drained: BTreeSet<String>,
    /// Number of acknowledged calls.
    pub(crate) acknowledged: u64,
    /// Longest time to an answer without faults around it.
    pub(crate) slowest_response: Duration,
}

fn configuration_body(version: u64) -> Vec<u8> {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r{version}","hostname":"h.example","path_prefix":"/","route_class":"pure","deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
    )
    .into_bytes()
}

impl SingleClient {
    /// Makes a new call; its ticket.
    pub(crate) fn make_call(&mut self, now: Duration, kind: u64) -> u64 {
        self.last_ticket += 1;
        let unconfirmed_base =
            kind == UNCONFIRMED_BASE_KIND && !self.calls.values().any(|c| c.unconfirmed_base);
        let (base, version) = if unconfirmed_base {
            let base = self.last_version.max(self.newest) + EXPECTED_VERSION_STEP;
            (base, base + UNCONFIRMED_VERSION_STEP)
        } else {
            self.next_change(kind)
        };
        let (command, version) = match kind % 4 {
            0 => (Command::Read { reserved: 0 }, 0),
            1 => {
                let host = format!("i-{}", self.last_ticket);
                (Command::Drain { host }, 0)
            }
            _ => {
                let (amend, body) = (false, configuration_body(version));
                (Command::Configure { base, amend, body }, version)
            }
        };
        let call = OpenCall {
            command,
            version,
            base,
            newest_at_call: self.newest,
            made_at: now,
            sent_at: now,
            unconfirmed_base,
        };
        self.calls.insert(self.last_ticket, call);
        self.last_ticket
    }

    /// The base and version of a change on the newest acknowledged version.
    fn next_change(&mut self, kind: u64) -> (u64, u64) {
        self.last_version = self.newest.max(self.last_version + 1 + kind % 3) + 1;
        (self.newest, self.last_version)
    }

    /// Takes the answer to a call. `is_quiet` says that the call was made long enough after the latest fault for its time
    /// to count.
    ///
    /// # Errors
    /// If the answer contradicts what was acknowledged or rejected before.
    pub(crate) fn answered(
        &mut self,
        now: Duration,
        ticket: u64,
        code: ResultCode,
        body: &[u8],
        is_quiet: bool,
    ) -> Result<(), Violation> {
        if INDEFINITE_CODES.contains(&code) {
            return Ok(());
        }
        let Some(call) = self.calls.remove(&ticket) else {
            return Ok(());
        };
        if is_quiet && !call.unconfirmed_base {
            self.slowest_response = self.slowest_response.max(now - call.made_at);
        }
        let newest = call.newest_at_call;
        match (&call.command, code) {
            (Command::Read { .. }, ResultCode::Ok) => self.check_read(newest, body),
            (Command::Read { .. }, ResultCode::NoConfiguration) if newest > 0 => {
                let description = format!("read nothing after {newest} was acknowledged");
                Err(Violation::new(description))
            }
            (Command::Configure { .. }, ResultCode::Ok) => self.acknowledge(&call),
            (Command::Configure { .. }, _) => {
                self.rejected.insert(call.version);
                Ok(())
            }
            (Command::Drain { host }, ResultCode::Ok) => {
                self.acknowledged += 1;
                self.drained.insert(host.clone());
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn check_read(&self, newest: u64, body: &[u8]) -> Result<(), Violation> {
        let text = String::from_utf8_lossy(body).into_owned();
        let version = Configuration::read(text.as_bytes(), 0).map_or(0, |d| d.version);
        if version < newest {
            let description = format!("read {version} after {newest} was acknowledged");
            return Err(Violation::new(description));
        }
        self.check_in_force(version)
    }

    fn acknowledge(&mut self, call: &OpenCall) -> Result<(), Violation> {
        let (base, version) = (call.base, call.version);
        self.acknowledged += 1;
        let other = self.acknowledged_by_base.insert(base, version);
        if let Some(other) = other.filter(|other| *other != version) {
            let description = format!("{other} and {version} were both acknowledged on {base}");
            return Err(Violation::new(description));
        }
        self.newest = self.newest.max(version);
        Ok(())
    }

    /// Checks a version that is in force.
    ///
    /// # Errors
    /// If it was rejected.
    pub(crate) fn check_in_force(&self, version: u64) -> Result<(), Violation> {
        if self.rejected.contains(&version) {
            let description = format!("{version} is in force, it was rejected");
            return Err(Violation::new(description));
        }
        Ok(())
    }
}
