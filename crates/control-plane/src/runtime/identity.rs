//! Who a member is. The identity is stored on the member's own disk, so that a wiped disk comes back as another
//! member.
//!
//! The identity stands in two files. The log begins with it ([`LogOwner`]) and is made first. The identity's file is
//! written once that is on disk, and nothing is promised before both are. So:
//!
//! - An identity without its log has forgotten its promises: it is never used again.
//! - A log without the identity's file names its owner itself.

use crate::incarnation;
use binrw::binrw;
use protocol::MemberInfo;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddrV4;

/// A member's identity as its disk stores it.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Identity {
    /// The member's id; never 0.
    pub id: u64,
    /// The current incarnation; rises with each start ([`crate::incarnation`]).
    pub incarnation: u64,
    #[bw(calc = initial_voters.len() as u32)]
    count: u32,
    /// The voters of epoch 0, if this member is one of them.
    #[br(count = count)]
    pub initial_voters: Vec<MemberInfo>,
}

/// The first record of the log.
#[binrw]
#[brw(little, magic = b"owner")]
#[derive(Clone, Debug, PartialEq)]
pub struct LogOwner {
    /// Whose promises the log holds, as of the incarnation that made or last rewrote it.
    pub identity: Identity,
}

/// Why it can't be told who this member is. The files are left as they are.
#[derive(Debug, Snafu)]
pub enum IdentityError {
    /// A record of the identity's file can't be read.
    #[snafu(display("record {record} of the identity file can't be decoded"))]
    Unreadable {
        /// Index of the record, from 0.
        record: usize,
        /// What is wrong with it.
        source: protocol::DecodeError,
    },
    /// The log is of an earlier release, and the identity's file is missing.
    #[snafu(display("the log has records, and no identity file names their owner"))]
    NoIdentity,
    /// The two files are of different members.
    #[snafu(display("the log belongs to member {owner}, the identity file to member {identity}"))]
    OtherOwner {
        /// Id of the log's owner.
        owner: u64,
        /// Id in the identity's file.
        identity: u64,
    },
}

/// What the log holds at a start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredLog {
    /// The owner; `None` if there is no file, or if an earlier release wrote it.
    pub owner: Option<Identity>,
    /// The member's records, without the owner.
    pub records: Vec<Vec<u8>>,
}

impl StoredLog {
    /// Splits the records of the log's file into owner and member's records.
    pub fn from_records(mut records: Vec<Vec<u8>>) -> Self {
        let owner = records
            .first()
            .and_then(|first| protocol::decode_record::<LogOwner>(first).ok());
        if owner.is_some() {
            records.remove(0);
        }
        Self {
            owner: owner.map(|owner| owner.identity),
            records,
        }
    }
}

/// What decides the identity at a start, beside the disk.
#[derive(Clone, Debug)]
pub struct StartContext {
    /// The machine's `control` address.
    pub control: SocketAddrV4,
    /// The seeds' `control` addresses.
    pub seeds: Vec<SocketAddrV4>,
    /// Port of the members' own messages, the same on all machines.
    pub port: u16,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// A random number.
    pub random: u64,
    /// The time of day in ms since 1970. It keeps incarnations rising where the disk can't store them.
    pub clock_ms: u64,
}

/// The id of an initial voter. It follows from its member address, so initial voters know each other's.
///
/// The hash is 64-bit FNV-1a.
pub fn initial_voter_id(member_address: SocketAddrV4) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    let hash = member_address
        .to_string()
        .bytes()
        .fold(FNV_OFFSET_BASIS, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        });
    hash.max(1)
}

/// The address for members' messages of the machine with this `control` address.
pub fn member_address(control: SocketAddrV4, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(*control.ip(), port)
}

impl StartContext {
    /// The identity of the incarnation that starts now, given the stored one.
    pub fn identity(&self, stored: Option<Identity>) -> Identity {
        match stored {
            Some(stored) => Identity {
                incarnation: self.incarnation_after(stored.incarnation),
                ..stored
            },
            None if self.bootstrap && self.seeds.contains(&self.control) => self.initial_voter(),
            None => self.newcomer(),
        }
    }

    /// The identity of the incarnation that starts now, given what both files held.
    ///
    /// # Errors
    /// If there are records and this member can't tell that they are its own.
    pub fn identity_with(
        &self,
        stored: Option<Identity>,
        log: &StoredLog,
    ) -> Result<Identity, IdentityError> {
        let known = match (stored, log.owner.clone()) {
            // The identity's file was lost, or never written after the log was made.
            (None, Some(owner)) => owner,
            (None, None) if log.records.is_empty() => return Ok(self.identity(None)),
            (None, None) => return NoIdentitySnafu.fail(),
            (Some(stored), Some(owner)) if stored.id == owner.id => stored,
            // Its log was lost, and a new identity has begun one without coming to promise anything.
            (Some(_), Some(owner)) if log.records.is_empty() => owner,
            (Some(stored), Some(owner)) => {
                return OtherOwnerSnafu {
                    owner: owner.id,
                    identity: stored.id,
                }
                .fail();
            }
            // Written by an earlier release.
            (Some(stored), None) if !log.records.is_empty() => stored,
            // What it promised is forgotten: it comes back as another member, which is no voter.
            (Some(_), None) => return Ok(self.newcomer()),
        };
        Ok(self.identity(Some(known)))
    }

    /// A member that no membership configuration names yet.
    fn newcomer(&self) -> Identity {
        Identity {
            id: self.random.max(1),
            incarnation: self.incarnation_after(0),
            initial_voters: Vec::new(),
        }
    }

    fn initial_voter(&self) -> Identity {
        Identity {
            id: initial_voter_id(member_address(self.control, self.port)),
            incarnation: self.incarnation_after(0),
            initial_voters: self
                .seeds
                .iter()
                .map(|seed| self.initial_voter_info(*seed))
                .collect(),
        }
    }

    fn initial_voter_info(&self, seed: SocketAddrV4) -> MemberInfo {
        let addr = member_address(seed, self.port);
        MemberInfo {
            id: initial_voter_id(addr),
            addr: addr.into(),
            control_addr: seed.into(),
            ..MemberInfo::default()
        }
    }

    fn incarnation_after(&self, before: u64) -> u64 {
        incarnation::next_incarnation(before, self.clock_ms, self.random)
    }
}

/// The latest identity among the records of the identity's file.
///
/// # Errors
/// If one of them can't be read: it is never passed over for an older one.
pub fn latest_identity(records: &[Vec<u8>]) -> Result<Option<Identity>, IdentityError> {
    let mut latest = None;
    for (record, bytes) in records.iter().enumerate() {
        let identity =
            protocol::decode_record::<Identity>(bytes).context(UnreadableSnafu { record })?;
        latest = Some(identity);
    }
    Ok(latest)
}
