//! The ledger: the configuration in force, the calls that led to it, the hosts that are leaving. Pure.

use configuration::{Code, Document};
use protocol::{AcceptedCall, Change, Command, Snapshot};
use std::collections::VecDeque;
use std::sync::Arc;

/// How many taken calls are remembered, so that the same call again gets the same answer.
const MAX_REMEMBERED_CALLS: usize = 512;

/// The longest configuration, in bytes of its items: as long as the longest body of a call. A ledger then fits into
/// one frame and one record, however it came about.
pub const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// A ledger after its change number `seq`.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Ledger {
    /// Number of the last change.
    pub seq: u64,
    /// The configuration; version 0 stands for none.
    pub document: Arc<Document>,
    /// The latest calls that were taken, oldest first.
    pub taken: VecDeque<AcceptedCall>,
    /// Hosts that are leaving or gone, oldest first.
    pub drains: VecDeque<String>,
}

/// What a command comes to on a ledger.
#[derive(Debug)]
pub enum Plan {
    /// This change has to be made; the ledger after it goes with it.
    Change(Change, Box<Ledger>),
    /// Nothing has to change.
    Answer(Code, Vec<u8>),
}

/// What tells one configuration call from another (FNV-1a).
pub fn digest(base: u64, amend: bool, body: &[u8]) -> u64 {
    let head = base.to_le_bytes().into_iter().chain([u8::from(amend)]);
    head.chain(body.iter().copied()).fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

impl Ledger {
    /// What a command comes to here.
    pub fn plan(&self, command: &Command) -> Plan {
        match command {
            Command::Read { .. } if self.document.version == 0 => Plan::Answer(Code::NoConfiguration, vec![]),
            Command::Read { .. } => Plan::Answer(Code::Ok, self.document.to_json().into_bytes()),
            Command::Drain { host } if self.drains.contains(host) => Plan::Answer(Code::Ok, vec![]),
            Command::Drain { host } => self.make(Change::Drain { host: host.clone() }),
            Command::Configure { base, amend, body } => {
                let digest = digest(*base, *amend, body);
                if self.taken.iter().any(|t| t.digest == digest) {
                    return Plan::Answer(Code::Ok, vec![]);
                }
                if *base != self.document.version {
                    let text = format!("version {} is in force, not {base}", self.document.version);
                    return Plan::Answer(Code::OtherBase, text.into_bytes());
                }
                self.make(Change::Configure { base: *base, amend: *amend, body: body.clone() })
            }
        }
    }

    fn make(&self, change: Change) -> Plan {
        match self.after(&change) {
            Ok(next) if next.document.unshared_bytes(&Document::default()) > MAX_DOCUMENT_BYTES => {
                let text = format!("the whole would be longer than {MAX_DOCUMENT_BYTES} bytes");
                Plan::Answer(Code::TooLarge, text.into_bytes())
            }
            Ok(next) => Plan::Change(change, Box::new(next)),
            Err((code, text)) => Plan::Answer(code, text.into_bytes()),
        }
    }

    /// The ledger after a change.
    ///
    /// # Errors
    /// Where the change can't be made: the code and the place.
    pub fn after(&self, change: &Change) -> Result<Ledger, (Code, String)> {
        let mut next = self.clone();
        next.seq += 1;
        match change {
            Change::Configure { base, amend, body } => {
                if *base != self.document.version {
                    return Err((Code::OtherBase, format!("{base} on {}", self.document.version)));
                }
                let document = match amend {
                    true => self.document.amended(body),
                    false => Document::read(body, self.document.version),
                };
                let document = document.map_err(|e| (e.code, e.detail))?;
                next.taken.push_back(AcceptedCall {
                    version: document.version,
                    digest: digest(*base, *amend, body),
                });
                if next.taken.len() > MAX_REMEMBERED_CALLS {
                    next.taken.pop_front();
                }
                // Most items are as they were: hundreds of changes under way cost little more than one.
                next.document = Arc::new(document.sharing(&self.document));
            }
            Change::Drain { host } => next.drains.push_back(host.clone()),
            Change::Forget { hosts } => next.drains.retain(|d| !hosts.contains(d)),
        }
        Ok(next)
    }

    /// The whole of it, to be sent or written.
    pub fn snapshot(&self) -> Snapshot {
        let none = self.document.version == 0;
        Snapshot {
            seq: self.seq,
            document: if none { String::new() } else { self.document.to_json() },
            taken: self.taken.iter().cloned().collect(),
            drains: self.drains.iter().cloned().collect(),
        }
    }

    /// The ledger that a snapshot holds.
    ///
    /// # Errors
    /// Where its configuration can't be read.
    pub fn of(snapshot: &Snapshot) -> Result<Ledger, configuration::Invalid> {
        let document = match snapshot.document.as_str() {
            "" => Document::default(),
            text => Document::read(text.as_bytes(), 0)?,
        };
        Ok(Ledger {
            seq: snapshot.seq,
            document: Arc::new(document),
            taken: snapshot.taken.iter().cloned().collect(),
            drains: snapshot.drains.iter().cloned().collect(),
        })
    }
}
