//! The identity of a member. It is stored on the member's own disk, so that a member whose disk was wiped starts under
//! a new identity.
//!
//! Two files hold the identity. The log is created first and begins with it ([`LogOwner`]). The identity file is
//! written once the log is on disk, and the member makes no promise before both are on disk. Therefore:
//!
//! - An identity without its log has lost its promises and is never used again.
//! - A log without an identity file still names its owner.

use crate::incarnation;
use binrw::binrw;
use protocol::MemberInfo;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddrV4;

/// A member's identity as stored on its disk.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Identity {
    /// The member's id; never 0.
    pub id: u64,
    /// The current incarnation; increases with each start ([`crate::incarnation`]).
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
    /// The member whose promises the log holds, as of the incarnation that created or last rewrote the log.
    pub identity: Identity,
}

/// An error that leaves this member's identity undetermined. The files are left unchanged.
#[derive(Debug, Snafu)]
pub enum IdentityError {
    /// A record of the identity file can't be decoded.
    #[snafu(display("record {record} of the identity file can't be decoded"))]
    Unreadable {
        /// Index of the record, from 0.
        record: usize,
        /// The decoding error.
        source: protocol::DecodeError,
    },
    /// The log was written by an earlier release, which recorded no owner, and the identity file is missing.
    #[snafu(display("the log has records, and no identity file names their owner"))]
    NoIdentity,
    /// The two files belong to different members.
    #[snafu(display("the log belongs to member {owner}, the identity file to member {identity}"))]
    OtherOwner {
        /// Member id of the log's owner.
        owner: u64,
        /// Member id in the identity file.
        identity: u64,
    },
}

/// The content of the log when a member starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredLog {
    /// The owner; `None` if the file doesn't exist or an earlier release wrote it.
    pub owner: Option<Identity>,
    /// The state machine's records, without the owner record.
    pub records: Vec<Vec<u8>>,
}

impl StoredLog {
    /// Splits the records of the log file into the owner and the state machine's records.
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

/// The inputs other than the disk that determine the identity at a start.
#[derive(Clone, Debug)]
pub struct StartContext {
    /// This machine's `control` address.
    pub control: SocketAddrV4,
    /// The seeds' `control` addresses.
    pub seeds: Vec<SocketAddrV4>,
    /// Port for messages between members, the same on all machines.
    pub port: u16,
    /// Whether the whole control plane starts for the first time.
    pub bootstrap: bool,
    /// A random number: the id of a new member, and part of the incarnation.
    pub random: u64,
    /// The time of day in ms since 1970. It keeps incarnations increasing when the disk can't store them.
    pub clock_ms: u64,
}

/// Returns the id of the initial voter at `member_address`. It is the 64-bit FNV-1a hash of the address, so that
/// initial voters know each other's ids; never 0.
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

/// Returns the address for messages between members on the machine with this `control` address.
pub fn member_address(control: SocketAddrV4, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(*control.ip(), port)
}

impl StartContext {
    /// Returns the identity of the incarnation that starts now, given the stored identity.
    pub fn identity(&self, stored: Option<Identity>) -> Identity {
        match stored {
            Some(stored) => Identity {
                incarnation: self.incarnation_after(stored.incarnation),
                ..stored
            },
            None if self.bootstrap && self.seeds.contains(&self.control) => self.initial_voter(),
            None => self.new_member(),
        }
    }

    /// Returns the identity of the incarnation that starts now, given the identity file's identity and the log.
    ///
    /// # Errors
    /// Returns an error if the log has records and it is unknown whether they belong to this member.
    pub fn identity_from_files(
        &self,
        stored: Option<Identity>,
        log: &StoredLog,
    ) -> Result<Identity, IdentityError> {
        let known = match (stored, log.owner.clone()) {
            // The identity file was lost, or the process ended after it created the log and before it wrote the file.
            (None, Some(owner)) => owner,
            (None, None) if log.records.is_empty() => return Ok(self.identity(None)),
            (None, None) => return NoIdentitySnafu.fail(),
            (Some(stored), Some(owner)) if stored.id == owner.id => stored,
            // The stored identity's log was lost, and a new identity created one before the process ended. The new
            // identity has promised nothing yet.
            (Some(_), Some(owner)) if log.records.is_empty() => owner,
            (Some(stored), Some(owner)) => {
                return OtherOwnerSnafu {
                    owner: owner.id,
                    identity: stored.id,
                }
                .fail();
            }
            // The log was written by an earlier release.
            (Some(stored), None) if !log.records.is_empty() => stored,
            // The log and its promises are lost: the member returns under a new identity without a vote.
            (Some(_), None) => return Ok(self.new_member()),
        };
        Ok(self.identity(Some(known)))
    }

    /// Returns the identity of a member that no membership configuration contains yet.
    fn new_member(&self) -> Identity {
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

/// Returns the latest identity among the records of the identity file, or `None` if there is none.
///
/// # Errors
/// Returns an error if any record can't be decoded, rather than falling back to an older one.
pub fn latest_identity(records: &[Vec<u8>]) -> Result<Option<Identity>, IdentityError> {
    let mut latest = None;
    for (record, bytes) in records.iter().enumerate() {
        let identity =
            protocol::decode_record::<Identity>(bytes).context(UnreadableSnafu { record })?;
        latest = Some(identity);
    }
    Ok(latest)
}
