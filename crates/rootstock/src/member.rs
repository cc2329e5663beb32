//! The member's state machine (a stand-in of its interface until the real one is here).

use almanac::{Code, Document, FaultBudget};
use graft::{Command, Message, Seat};
use std::sync::Arc;
use std::time::Duration;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its own seat.
    pub me: Seat,
    /// The voters of view 0, where the whole system starts for the first time.
    pub bootstrap_voters: Option<Vec<Seat>>,
    /// What may be lost at once.
    pub budget: FaultBudget,
    /// Length of a lease.
    pub lease: Duration,
    /// How long a command of a caller may wait for its answer.
    pub patience: Duration,
    /// A write that takes longer means that the disk stalls.
    pub stall: Duration,
}

/// A write that the disk refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskError {
    /// There is no room.
    Full,
    /// Another failure.
    Failed,
}

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passes.
    Tick,
    /// Another member speaks.
    Message {
        /// Who.
        from: Seat,
        /// What.
        message: Message,
    },
    /// The disk answers.
    Wrote {
        /// Number of the write.
        ticket: u64,
        /// Whether it is on disk.
        result: Result<(), DiskError>,
    },
    /// A host or operator calls here.
    Command {
        /// Number of the call.
        ticket: u64,
        /// The call.
        command: Command,
    },
    /// A member said Hello.
    Reachable {
        /// Which.
        seat: Seat,
    },
    /// The process is to end.
    Leave,
}

/// What is to be done for a member.
#[derive(Clone, Debug)]
pub enum Output {
    /// Say this to another member.
    Send {
        /// To whom.
        to: Seat,
        /// What.
        message: Message,
    },
    /// Put records on disk.
    Write {
        /// Number of the write.
        ticket: u64,
        /// The records.
        records: Vec<Vec<u8>>,
        /// Whether they stand for all that was there.
        rewrite: bool,
    },
    /// Answer a call.
    Answer {
        /// Number of the call.
        ticket: u64,
        /// The result.
        code: Code,
        /// What goes with it.
        body: Vec<u8>,
    },
    /// Show the newest acknowledged ledger.
    Publish {
        /// Number of its last change.
        seq: u64,
        /// The configuration.
        document: Arc<Document>,
        /// Hosts that are leaving or gone.
        drains: Vec<String>,
    },
    /// Call again at this time at the latest.
    Wake {
        /// Since the origin.
        at: Duration,
    },
    /// All is handed over.
    Left,
}

/// A member.
#[derive(Debug)]
pub struct Member {
    document: Arc<Document>,
    seq: u64,
    drains: Vec<String>,
}

impl Member {
    /// A member that starts with what its disk holds.
    pub fn new(_config: Config, _records: Vec<Vec<u8>>, _now: Duration, _random: u64) -> Self {
        Self { document: Arc::new(Document::default()), seq: 0, drains: Vec::new() }
    }

    /// Takes one input.
    pub fn step(&mut self, now: Duration, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Command { ticket, command } => {
                let (code, body) = match command {
                    Command::Configure { base, amend, body } => {
                        (self.configure(base, amend, &body), Vec::new())
                    }
                    Command::Read { .. } if self.document.version > 0 => {
                        (Code::Ok, self.document.to_json().into_bytes())
                    }
                    Command::Read { .. } => (Code::NoConfiguration, Vec::new()),
                    Command::Drain { host } => {
                        self.drains.push(host);
                        (Code::Ok, Vec::new())
                    }
                };
                self.seq += 1;
                let (seq, document, drains) = (self.seq, self.document.clone(), self.drains.clone());
                outputs.push(Output::Publish { seq, document, drains });
                outputs.push(Output::Answer { ticket, code, body });
            }
            Input::Leave => outputs.push(Output::Left),
            _ => {}
        }
        outputs.push(Output::Wake { at: now + Duration::from_millis(500) });
    }

    fn configure(&mut self, base: u64, amend: bool, body: &[u8]) -> Code {
        let next = match amend {
            true => self.document.amended(body),
            false => Document::read(body, self.document.version),
        };
        match next {
            Ok(next) if base == self.document.version => {
                self.document = Arc::new(next);
                Code::Ok
            }
            Ok(_) => Code::OtherBase,
            Err(e) => e.code,
        }
    }
}
