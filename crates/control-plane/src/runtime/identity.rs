//! Who a member is: kept on its own disk, so that a wiped disk comes back as somebody else.
//!
//! The identity stands in two files. The ledger's file begins with it ([`LogOwner`]) and is made first; the
//! identity's file is written once that is on disk, and nothing is promised before both are. So an identity without
//! its ledger is one whose promises are forgotten: it is never used again. A ledger without the identity's file
//! says itself whose it is.

use crate::incarnation;
use binrw::binrw;
use protocol::MemberInfo;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddrV4;

/// A member's identity as its disk keeps it.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Identity {
    /// The identity; never 0.
    pub id: u64,
    /// Number of the current life; rises with each start.
    pub life: u64,
    #[bw(calc = initial_voters.len() as u32)]
    count: u32,
    /// The voters of view 0, where this member is one of them.
    #[br(count = count)]
    pub initial_voters: Vec<MemberInfo>,
}

/// The first record of the ledger's file.
#[binrw]
#[brw(little, magic = b"owner")]
#[derive(Clone, Debug, PartialEq)]
pub struct LogOwner {
    /// Whose promises the file holds, as of the life that made or last rewrote it.
    pub identity: Identity,
}

/// Why it can't be told who this member is. The files are left as they are.
#[derive(Debug, Snafu)]
pub enum IdentityError {
    /// A record of the identity's file can't be read.
    #[snafu(display("the identity's record {record} can't be read"))]
    Unreadable {
        /// Its place, from 0.
        record: usize,
        /// Why.
        source: protocol::DecodeError,
    },
    /// The ledger is of an earlier release, and the identity's file is missing.
    #[snafu(display("a ledger, and no identity that it belongs to"))]
    NoIdentity,
    /// The two files are of different members.
    #[snafu(display("the ledger belongs to {owner}, the identity's file to {identity}"))]
    OtherOwner {
        /// Whose ledger it is.
        owner: u64,
        /// Who the identity's file says that this is.
        identity: u64,
    },
}

/// What the ledger's file holds at a start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredLog {
    /// Whose it is; none where there is no file, or where an earlier release wrote it.
    pub owner: Option<Identity>,
    /// The member's records.
    pub records: Vec<Vec<u8>>,
}

impl StoredLog {
    /// Sorts the records of the ledger's file.
    pub fn of(mut records: Vec<Vec<u8>>) -> Self {
        let owner = records
            .first()
            .and_then(|r| protocol::decode_record::<LogOwner>(r).ok());
        if owner.is_some() {
            records.remove(0);
        }
        Self {
            owner: owner.map(|o| o.identity),
            records,
        }
    }
}

/// What a member is told about its start.
#[derive(Clone, Debug)]
pub struct StartContext {
    /// The machine's `control` address.
    pub control: SocketAddrV4,
    /// The seeds' `control` addresses.
    pub seeds: Vec<SocketAddrV4>,
    /// Port of the system's own messages, the same on all machines.
    pub port: u16,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// A number drawn at random.
    pub random: u64,
    /// The time of day in ms: where the disk doesn't keep the numbers of lives, they still follow each other.
    pub clock_ms: u64,
}

/// The identity that an initial voter has: it follows from the inner address, so initial voters know each other's.
pub fn initial_voter_id(inner: SocketAddrV4) -> u64 {
    let fnv = inner
        .to_string()
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        });
    fnv.max(1)
}

/// The inner address of the machine with this `control` address.
pub fn member_address(control: SocketAddrV4, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(*control.ip(), port)
}

impl StartContext {
    /// The identity of the life that starts now, given what the disk held.
    pub fn identity(&self, kept: Option<Identity>) -> Identity {
        if let Some(kept) = kept {
            return Identity {
                life: self.life_after(kept.life),
                ..kept
            };
        }
        let is_initial_voter = self.bootstrap && self.seeds.contains(&self.control);
        let initial_voters = if is_initial_voter {
            self.seeds.iter().map(|s| self.founder(*s)).collect()
        } else {
            Vec::new()
        };
        let id = if is_initial_voter {
            initial_voter_id(member_address(self.control, self.port))
        } else {
            self.random.max(1)
        };
        Identity {
            id,
            life: self.life_after(0),
            initial_voters,
        }
    }

    fn life_after(&self, before: u64) -> u64 {
        incarnation::next_incarnation(before, self.clock_ms, self.random)
    }

    /// The identity of the life that starts now, given what both files held.
    ///
    /// # Errors
    /// Where there are records that this member can't tell to be its own.
    pub fn identity_with(
        &self,
        kept: Option<Identity>,
        ledger: &StoredLog,
    ) -> Result<Identity, IdentityError> {
        let known = match (kept, ledger.owner.clone()) {
            // The identity's file was lost, or never written after the ledger's was made.
            (None, Some(owner)) => Some(owner),
            (None, None) if ledger.records.is_empty() => None,
            (None, None) => return NoIdentitySnafu.fail(),
            (Some(kept), Some(owner)) if kept.id == owner.id => Some(kept),
            // Its ledger was lost, and a new identity has begun one without coming to promise anything.
            (Some(_), Some(owner)) if ledger.records.is_empty() => Some(owner),
            (Some(kept), Some(owner)) => {
                return OtherOwnerSnafu {
                    owner: owner.id,
                    identity: kept.id,
                }
                .fail();
            }
            // Written by an earlier release.
            (Some(kept), None) if !ledger.records.is_empty() => Some(kept),
            // What it promised is forgotten: it comes back as somebody else, with no say.
            (Some(_), None) => {
                return Ok(Self {
                    bootstrap: false,
                    ..self.clone()
                }
                .identity(None))
            }
        };
        Ok(self.identity(known))
    }

    fn founder(&self, seed: SocketAddrV4) -> MemberInfo {
        let addr = member_address(seed, self.port);
        MemberInfo {
            id: initial_voter_id(addr),
            addr: addr.into(),
            control: seed.into(),
            ..MemberInfo::default()
        }
    }
}

/// The latest identity among the records of the identity's file.
///
/// # Errors
/// Where one of them can't be read.
pub fn latest_identity(records: &[Vec<u8>]) -> Result<Option<Identity>, IdentityError> {
    let read = |(record, bytes): (usize, &Vec<u8>)| {
        protocol::decode_record::<Identity>(bytes).context(UnreadableSnafu { record })
    };
    let identities: Result<Vec<Identity>, IdentityError> =
        records.iter().enumerate().map(read).collect();
    Ok(identities?.pop())
}
