//! Who a member is: kept on its own disk, so that a wiped disk comes back as somebody else.

use binrw::binrw;
use protocol::MemberInfo;
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

/// What a member is told about its start.
#[derive(Clone, Debug)]
pub struct StartFacts {
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
    /// The time of day in ms; a life is never numbered lower, so that one whose number couldn't be kept (a
    /// full disk) still follows the one before.
    pub clock_ms: u64,
}

/// The identity that an initial voter has: it follows from the inner address, so initial voters know each other's.
pub fn initial_voter_id(inner: SocketAddrV4) -> u64 {
    let fnv = inner.to_string().bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    fnv.max(1)
}

/// The inner address of the machine with this `control` address.
pub fn inner(control: SocketAddrV4, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(*control.ip(), port)
}

impl StartFacts {
    /// The identity of the life that starts now, given what the disk held.
    pub fn identity(&self, kept: Option<Identity>) -> Identity {
        if let Some(kept) = kept {
            return Identity { life: self.clock_ms.max(kept.life + 1), ..kept };
        }
        let is_initial_voter = self.bootstrap && self.seeds.contains(&self.control);
        let initial_voters = match is_initial_voter {
            true => self.seeds.iter().map(|s| self.founder(*s)).collect(),
            false => Vec::new(),
        };
        let id = if is_initial_voter {
            initial_voter_id(inner(self.control, self.port))
        } else {
            self.random.max(1)
        };
        Identity { id, life: self.clock_ms.max(1), initial_voters }
    }

    fn founder(&self, seed: SocketAddrV4) -> MemberInfo {
        let addr = inner(seed, self.port);
        MemberInfo {
            id: initial_voter_id(addr),
            addr: addr.into(),
            control: seed.into(),
            ..MemberInfo::default()
        }
    }
}

/// The latest identity among the records of the identity's file.
pub fn latest(records: &[Vec<u8>]) -> Option<Identity> {
    records.iter().rev().find_map(|r| protocol::read_one::<Identity>(r).ok())
}
