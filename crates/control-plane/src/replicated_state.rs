//! The ledger: the configuration in force, the calls that led to it, the hosts that are leaving. Pure.

use crate::applied_requests::{fingerprint, AppliedRequests};
use configuration::{Configuration, ResultCode};
use protocol::{Change, Command, Snapshot};
use std::cmp::Ordering;
use std::collections::VecDeque;
use std::sync::Arc;

/// The longest configuration, in bytes of its items: as long as the longest body of a call. A ledger then fits into
/// one frame and one record, however it came about.
pub const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// A ledger after its change number `index`.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct ReplicatedState {
    /// Number of the last change.
    pub index: u64,
    /// The configuration; version 0 stands for none.
    pub configuration: Arc<Configuration>,
    /// The latest orders that were taken.
    pub applied_requests: AppliedRequests,
    /// Hosts that are leaving or gone, oldest first.
    pub drains: VecDeque<String>,
}

/// What a command comes to on a ledger.
#[derive(Debug)]
pub enum Plan {
    /// This change has to be made; the ledger after it goes with it.
    Change(Change, Box<ReplicatedState>),
    /// Nothing has to change.
    Answer(ResultCode, Vec<u8>),
}

/// What an order is to a ledger.
enum Standing {
    /// It builds on the configuration in force.
    Next,
    /// It builds on a version that isn't in force yet: it may be taken once that version is.
    Early,
    /// It was taken.
    Taken,
    /// Another order was taken on the version that it builds on, or that version was never in force and never
    /// will be.
    Superseded,
    /// It builds on a version from before the memory of orders: it may have been taken.
    Forgotten,
}

impl ReplicatedState {
    /// What a command comes to here.
    pub fn plan(&self, command: &Command) -> Plan {
        match command {
            Command::Read { .. } if self.configuration.version == 0 => {
                Plan::Answer(ResultCode::NoConfiguration, vec![])
            }
            Command::Read { .. } => {
                Plan::Answer(ResultCode::Ok, self.configuration.to_json().into_bytes())
            }
            Command::Drain { host } if self.drains.contains(host) => {
                Plan::Answer(ResultCode::Ok, vec![])
            }
            Command::Drain { host } => self.make(Change::Drain { host: host.clone() }),
            Command::Configure { base, amend, body } => match self.standing(*base, *amend, body) {
                Standing::Next => self.make(Change::Configure {
                    base_version: *base,
                    is_amendment: *amend,
                    body: body.clone(),
                }),
                // A copy of it may come later, and has to be taken then: a refusal would be false.
                Standing::Early => {
                    Plan::Answer(ResultCode::BaseNotInForce, self.other_base_text(*base))
                }
                Standing::Taken => Plan::Answer(ResultCode::Ok, vec![]),
                Standing::Superseded => {
                    Plan::Answer(ResultCode::OtherBase, self.other_base_text(*base))
                }
                // A refusal might be false, and a confirmation as well.
                Standing::Forgotten => {
                    Plan::Answer(ResultCode::OrderForgotten, self.other_base_text(*base))
                }
            },
        }
    }

    /// What a caller is told whose order doesn't build on the version in force.
    pub(crate) fn other_base_text(&self, base: u64) -> Vec<u8> {
        format!(
            "version {} is in force, not {base}",
            self.configuration.version
        )
        .into_bytes()
    }

    fn standing(&self, base: u64, amend: bool, body: &[u8]) -> Standing {
        match base.cmp(&self.configuration.version) {
            Ordering::Equal => return Standing::Next,
            Ordering::Greater => return Standing::Early,
            Ordering::Less => {}
        }
        match self.applied_requests.on(base) {
            Some(taken) if *taken == fingerprint(base, amend, body) => Standing::Taken,
            Some(_) => Standing::Superseded,
            None if self
                .applied_requests
                .oldest_base()
                .is_none_or(|oldest| base < oldest) =>
            {
                Standing::Forgotten
            }
            None => Standing::Superseded,
        }
    }

    fn make(&self, change: Change) -> Plan {
        match self.after(&change) {
            Ok(next)
                if next.configuration.unshared_bytes(&Configuration::default())
                    > MAX_DOCUMENT_BYTES =>
            {
                let text = format!("the whole would be longer than {MAX_DOCUMENT_BYTES} bytes");
                Plan::Answer(ResultCode::TooLarge, text.into_bytes())
            }
            Ok(next) => Plan::Change(change, Box::new(next)),
            Err((code, text)) => Plan::Answer(code, text.into_bytes()),
        }
    }

    /// The ledger after a change.
    ///
    /// # Errors
    /// Where the change can't be made: the code and the place.
    pub fn after(&self, change: &Change) -> Result<ReplicatedState, (ResultCode, String)> {
        let mut next = self.clone();
        next.index += 1;
        match change {
            Change::Configure {
                base_version,
                is_amendment,
                body,
            } => {
                if *base_version != self.configuration.version {
                    return Err((
                        ResultCode::OtherBase,
                        format!("{base_version} on {}", self.configuration.version),
                    ));
                }
                let configuration = match is_amendment {
                    true => self.configuration.amended(body),
                    false => Configuration::read(body, self.configuration.version),
                };
                let configuration = configuration.map_err(|e| (e.code, e.detail))?;
                next.applied_requests
                    .push(fingerprint(*base_version, *is_amendment, body));
                // Most items are as they were: hundreds of changes under way cost little more than one.
                next.configuration = Arc::new(configuration.sharing(&self.configuration));
            }
            Change::Drain { host } => next.drains.push_back(host.clone()),
            Change::Forget { hosts } => next.drains.retain(|d| !hosts.contains(d)),
        }
        Ok(next)
    }

    /// The whole of it, to be sent or written.
    pub fn snapshot(&self) -> Snapshot {
        let none = self.configuration.version == 0;
        Snapshot {
            index: self.index,
            configuration: if none {
                String::new()
            } else {
                self.configuration.to_json()
            },
            applied_requests: self.applied_requests.iter().cloned().collect(),
            drains: self.drains.iter().cloned().collect(),
        }
    }

    /// The ledger that a snapshot holds.
    ///
    /// # Errors
    /// Where its configuration can't be read.
    pub fn of(snapshot: &Snapshot) -> Result<ReplicatedState, configuration::InvalidConfiguration> {
        let configuration = match snapshot.configuration.as_str() {
            "" => Configuration::default(),
            text => Configuration::read(text.as_bytes(), 0)?,
        };
        Ok(ReplicatedState {
            index: snapshot.index,
            configuration: Arc::new(configuration),
            applied_requests: snapshot.applied_requests.iter().cloned().collect(),
            drains: snapshot.drains.iter().cloned().collect(),
        })
    }
}
