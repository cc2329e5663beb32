//! What the processes say to each other. Times are in ms, identities of members are drawn when a disk is
//! first used (`docs/design/system.md`).

use crate::wire::*;
use binrw::binrw;
use std::net::{Ipv4Addr, SocketAddrV4};

/// An IPv4 address with a port.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Addr {
    /// The address.
    pub ip: u32,
    /// The port.
    pub port: u16,
}

/// A member of the control plane: a process with a disk.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct MemberInfo {
    /// Its identity; a member that lost its disk comes back with another one.
    pub id: u64,
    /// Name of its machine.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub name: String,
    /// Where it takes the system's own messages.
    pub addr: Addr,
    /// Where hosts and the operator call it.
    pub control: Addr,
    /// Its zone.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub zone: String,
    /// Its region.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub region: String,
}

/// Who acts: agreed on by a majority of the voters, under an epoch that is never used twice.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct View {
    /// The epoch.
    pub epoch: u64,
    /// The one that takes changes.
    pub primary: u64,
    /// Those that hold the ledger, the primary among them: each has a change on disk before it is acknowledged.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub replicas: Vec<u64>,
    /// All that have a say in the next view.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub voters: Vec<MemberInfo>,
    /// The voters of the view that it followed: while these differ, the next view needs a majority of both.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub before: Vec<MemberInfo>,
}

/// How far a ledger goes.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct LedgerPosition {
    /// The view under which it was last written.
    pub epoch: u64,
    /// Number of its last change.
    pub seq: u64,
}

/// A configuration call that was taken: the same call again gets the same answer.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct AcceptedCall {
    /// The version that it built on.
    pub base: u64,
    /// The version that it led to.
    pub version: u64,
    /// SHA-256 over its kind and content.
    pub digest: [u8; 32],
}

/// A whole ledger.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Snapshot {
    /// Number of its last change.
    pub seq: u64,
    /// The configuration as JSON; empty where there is none yet.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub document: String,
    /// The latest calls that were taken.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub taken: Vec<AcceptedCall>,
    /// Hosts that are leaving or gone, oldest first.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub drains: Vec<String>,
}

/// What a host said of itself.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct HostRecord {
    /// Its identity, new with every start.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub id: String,
    /// Its service.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub service: String,
    /// Where it takes requests.
    pub addr: Addr,
    /// Its zone.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub zone: String,
    /// Requests that it works on at once.
    pub capacity: u32,
    /// 0 ready, 1 draining, 2 gone.
    pub phase: u8,
    /// Whether its heartbeats have stopped.
    #[br(parse_with = flag)]
    #[bw(write_with = put_flag)]
    pub silent: bool,
    /// Number of its latest call.
    pub call_seq: u64,
    /// How much longer it is slow from its start.
    pub cold_left_ms: u32,
}

/// What a member knows of a coordinator that pulls from it.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct CoordinatorRecord {
    /// Name of its machine.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub name: String,
    /// Its zone.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub zone: String,
    /// Its region.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub region: String,
    /// Where its proxy takes the other proxies' hints; port 0 where it takes none.
    pub addr: Addr,
    /// Whether it has stopped pulling.
    #[br(parse_with = flag)]
    #[bw(write_with = put_flag)]
    pub gone: bool,
    /// Version of the configuration that it has in force.
    pub version: u64,
}

/// How much of a source somebody has.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Mark {
    /// The member that is the source.
    pub id: u64,
    /// Which of the member's lives.
    pub life: u64,
    /// Number of its latest change.
    pub seq: u64,
}

/// What a source has to say beyond a mark.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct SourceNews {
    /// How far this goes.
    pub mark: Mark,
    /// Whether it stands for all that the source has; else it adds to what came before.
    #[br(parse_with = flag)]
    #[bw(write_with = put_flag)]
    pub whole: bool,
    /// Hosts whose records changed.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub hosts: Vec<HostRecord>,
    /// Coordinators whose records changed.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub coordinators: Vec<CoordinatorRecord>,
}

/// Configuration and drains beyond a mark.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct ConfigNews {
    /// Number of the ledger's last change.
    pub seq: u64,
    /// Version of the configuration that the items add to; 0 where they are the whole of it.
    pub from: u64,
    /// Version that they lead to; 0 where there is none yet.
    pub to: u64,
    /// Routes set, as JSON.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub routes: Vec<String>,
    /// Services set, as JSON.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub services: Vec<String>,
    /// Routes that went.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub gone_routes: Vec<String>,
    /// Services that went.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub gone_services: Vec<String>,
    /// The limits as JSON, where they changed: none or one.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub limits: Vec<String>,
    /// Number of the ledger's change that the drains add to; 0 where they are all of them.
    pub drains_from: u64,
    /// Hosts that are leaving or gone.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub drains: Vec<String>,
    /// Hosts that were leaving or gone and are no longer spoken of.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub gone_drains: Vec<String>,
}

/// The control plane as a member sees it.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Fleet {
    /// Changes with the content.
    pub mark: u64,
    /// Epoch of its view.
    pub epoch: u64,
    /// The primary in that view; 0 where none is known.
    pub primary: u64,
    /// The members, voters first.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub members: Vec<MemberInfo>,
}

/// Who pulls.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Caller {
    /// Name of its machine.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub name: String,
    /// Its zone.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub zone: String,
    /// Its region.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub region: String,
    /// Where its proxy takes the other proxies' hints; port 0 where it takes none.
    pub addr: Addr,
    /// Its identity where it is a member, else 0.
    pub member: u64,
    /// Version of the configuration that it has in force.
    pub version: u64,
}

/// A part of a prompt.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Part {
    /// Its identity.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What a host was sent and so keeps.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Placement {
    /// The host.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub host: String,
    /// Parts of prompts that others may ask for too, in order.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub parts: Vec<Part>,
}

/// A change of the ledger.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A configuration call.
    #[brw(magic(1u8))]
    Configure {
        /// The version it builds on.
        base: u64,
        /// Whether it amends; else it replaces.
        #[br(parse_with = flag)]
        #[bw(write_with = put_flag)]
        amend: bool,
        /// The body as sent.
        #[br(parse_with = bytes)]
        #[bw(write_with = put_bytes)]
        body: Vec<u8>,
    },
    /// A host is leaving or gone.
    #[brw(magic(2u8))]
    Drain {
        /// Its identity.
        #[br(parse_with = text)]
        #[bw(write_with = put_text)]
        host: String,
    },
    /// Hosts that were leaving are long gone.
    #[brw(magic(3u8))]
    Forget {
        /// Their identities.
        #[br(parse_with = texts)]
        #[bw(write_with = put_texts)]
        hosts: Vec<String>,
    },
}

/// A call of hosts or operators, to be run elsewhere.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Takes a configuration.
    #[brw(magic(1u8))]
    Configure {
        /// The version it builds on.
        base: u64,
        /// Whether it amends; else it replaces.
        #[br(parse_with = flag)]
        #[bw(write_with = put_flag)]
        amend: bool,
        /// The body as sent.
        #[br(parse_with = bytes)]
        #[bw(write_with = put_bytes)]
        body: Vec<u8>,
    },
    /// Asks for the newest configuration.
    #[brw(magic(2u8))]
    Read {
        /// 0.
        reserved: u8,
    },
    /// A host is leaving or gone.
    #[brw(magic(3u8))]
    Drain {
        /// Its identity.
        #[br(parse_with = text)]
        #[bw(write_with = put_text)]
        host: String,
    },
}

/// What a member keeps on disk.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// No lower epoch is followed any more.
    #[brw(magic(1u8))]
    Promised {
        /// The epoch.
        epoch: u64,
    },
    /// A view, with the ledger at its start where the member holds it.
    #[brw(magic(2u8))]
    Accepted {
        /// The view.
        view: View,
        /// The ledger.
        #[br(parse_with = option)]
        #[bw(write_with = put_option)]
        snapshot: Option<Snapshot>,
    },
    /// A change of the ledger.
    #[brw(magic(3u8))]
    Change {
        /// Epoch of the view.
        epoch: u64,
        /// Number of the change.
        seq: u64,
        /// The change.
        change: Change,
    },
    /// All changes up to this one were acknowledged.
    #[brw(magic(4u8))]
    Committed {
        /// Number of the change.
        seq: u64,
    },
}

/// A message.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The first on a connection: who speaks.
    #[brw(magic(1u8))]
    Hello {
        /// The speaker; identity 0 where it is no member.
        seat: MemberInfo,
    },
    /// Members that the speaker knows, so that others find them.
    #[brw(magic(2u8))]
    Peers {
        /// The members.
        #[br(parse_with = list)]
        #[bw(write_with = put_list)]
        seats: Vec<MemberInfo>,
    },
    /// Asks whether a promise would be given, before it is asked for: nobody is disturbed by one that can't win.
    #[brw(magic(8u8))]
    PreVote {
        /// The highest epoch that the speaker knows.
        seen: u64,
        /// Epoch of the latest view that it accepted.
        view: u64,
    },
    /// The answer to [`Message::PreVote`].
    #[brw(magic(9u8))]
    PreVoteReply {
        /// Whether a promise would be given now.
        #[br(parse_with = flag)]
        #[bw(write_with = put_flag)]
        willing: bool,
        /// The highest epoch that the speaker has promised.
        seen: u64,
        /// When asking again makes sense.
        wait_ms: u32,
    },
    /// Asks for a promise to follow no lower epoch.
    #[brw(magic(10u8))]
    Prepare {
        /// The epoch.
        epoch: u64,
        /// Who asks.
        candidate: MemberInfo,
    },
    /// The answer to [`Message::Prepare`].
    #[brw(magic(11u8))]
    Promise {
        /// The epoch that was asked for.
        epoch: u64,
        /// Whether the promise is given.
        #[br(parse_with = flag)]
        #[bw(write_with = put_flag)]
        granted: bool,
        /// The highest epoch that the speaker has promised.
        seen: u64,
        /// The latest view that it accepted.
        #[br(parse_with = option)]
        #[bw(write_with = put_option)]
        view: Option<View>,
        /// How far its ledger goes, where it holds one.
        #[br(parse_with = option)]
        #[bw(write_with = put_option)]
        tag: Option<LedgerPosition>,
        /// When asking again makes sense.
        wait_ms: u32,
    },
    /// Asks to accept a view, with the ledger for those that are to hold it.
    #[brw(magic(12u8))]
    InstallView {
        /// The view.
        view: View,
        /// The ledger.
        #[br(parse_with = option)]
        #[bw(write_with = put_option)]
        snapshot: Option<Snapshot>,
    },
    /// The answer to [`Message::InstallView`].
    #[brw(magic(13u8))]
    InstallReply {
        /// Epoch of the view.
        epoch: u64,
        /// Whether it is accepted and on disk.
        #[br(parse_with = flag)]
        #[bw(write_with = put_flag)]
        ok: bool,
        /// The highest epoch that the speaker has promised.
        seen: u64,
    },
    /// A change, for a backup's disk.
    #[brw(magic(14u8))]
    AppendChange {
        /// Epoch of the view.
        epoch: u64,
        /// Number of the change.
        seq: u64,
        /// The change.
        change: Change,
    },
    /// The answer to [`Message::AppendChange`].
    #[brw(magic(15u8))]
    AppendReply {
        /// Epoch of the view.
        epoch: u64,
        /// All changes up to this one are on disk.
        seq: u64,
        /// Whether the backup goes on.
        #[br(parse_with = flag)]
        #[bw(write_with = put_flag)]
        ok: bool,
        /// The highest epoch that the speaker has promised.
        seen: u64,
    },
    /// The primary asks for its lease.
    #[brw(magic(16u8))]
    RenewLease {
        /// Epoch of its view.
        epoch: u64,
        /// The primary's clock when it asked, in ms.
        stamp: u64,
        /// Number of the last change that is acknowledged.
        committed: u64,
    },
    /// The answer to [`Message::RenewLease`].
    #[brw(magic(17u8))]
    LeaseReply {
        /// Epoch of the view.
        epoch: u64,
        /// As asked.
        stamp: u64,
        /// Whether the lease is granted.
        #[br(parse_with = flag)]
        #[bw(write_with = put_flag)]
        ok: bool,
        /// The highest epoch that the speaker has promised.
        seen: u64,
        /// Whether the speaker's disk takes writes.
        #[br(parse_with = flag)]
        #[bw(write_with = put_flag)]
        fit: bool,
    },
    /// The primary gives its lease up.
    #[brw(magic(18u8))]
    ReleaseLease {
        /// Epoch of its view.
        epoch: u64,
    },
    /// Asks for the ledger, fenced by a promise.
    #[brw(magic(19u8))]
    FetchLedger {
        /// The epoch that the asker prepares.
        epoch: u64,
    },
    /// The answer to [`Message::FetchLedger`].
    #[brw(magic(20u8))]
    LedgerReply {
        /// As asked.
        epoch: u64,
        /// How far the ledger goes.
        tag: LedgerPosition,
        /// The ledger.
        snapshot: Snapshot,
    },
    /// A command for the primary.
    #[brw(magic(30u8))]
    ForwardCommand {
        /// The asker's number for it.
        id: u64,
        /// The command.
        command: Command,
    },
    /// The answer to [`Message::ForwardCommand`].
    #[brw(magic(31u8))]
    CommandResult {
        /// As asked.
        id: u64,
        /// The result code.
        code: u16,
        /// What goes with it.
        #[br(parse_with = bytes)]
        #[bw(write_with = put_bytes)]
        text: Vec<u8>,
    },
    /// A proxy has sent a prompt to a host. In datagrams, like the next two: they may be lost.
    #[brw(magic(50u8))]
    PromptPlaced {
        /// What the host keeps from now on.
        placement: Placement,
        /// Tokens that it has to read for it.
        unread: u32,
    },
    /// A proxy that has just started asks what hosts keep.
    #[brw(magic(51u8))]
    PlacementsRequest {
        /// 0.
        reserved: u8,
    },
    /// The answer to [`Message::PlacementsRequest`], in several datagrams.
    #[brw(magic(52u8))]
    Placements {
        /// What hosts keep.
        #[br(parse_with = list)]
        #[bw(write_with = put_list)]
        placements: Vec<Placement>,
    },
    /// Asks for what the speaker lacks.
    #[brw(magic(40u8))]
    Pull {
        /// Who pulls.
        caller: Caller,
        /// How long the answer may wait for news.
        wait_ms: u32,
        /// Number of the ledger's last change that the speaker has.
        ledger: u64,
        /// Version of the configuration that it has.
        version: u64,
        /// Mark of the fleet that it has.
        fleet: u64,
        /// What it has of each source.
        #[br(parse_with = list)]
        #[bw(write_with = put_list)]
        sources: Vec<Mark>,
    },
    /// The answer to [`Message::Pull`]; also pushed where somebody waits.
    #[brw(magic(41u8))]
    News {
        /// Who speaks; 0 for an agent.
        member: u64,
        /// Since when, at most, the speaker may have missed what the primary acknowledged.
        age_ms: u32,
        /// Configuration and drains.
        #[br(parse_with = option)]
        #[bw(write_with = put_option)]
        config: Option<ConfigNews>,
        /// Hosts and coordinators.
        #[br(parse_with = list)]
        #[bw(write_with = put_list)]
        sources: Vec<SourceNews>,
        /// Sources that are no more.
        #[br(parse_with = list)]
        #[bw(write_with = put_list)]
        retired: Vec<u64>,
        /// The control plane.
        #[br(parse_with = option)]
        #[bw(write_with = put_option)]
        fleet: Option<Fleet>,
    },
}

impl From<SocketAddrV4> for Addr {
    fn from(addr: SocketAddrV4) -> Self {
        Self { ip: u32::from(*addr.ip()), port: addr.port() }
    }
}

impl From<&Addr> for SocketAddrV4 {
    fn from(addr: &Addr) -> Self {
        Self::new(Ipv4Addr::from(addr.ip), addr.port)
    }
}

impl Copy for Addr {}
impl Copy for Mark {}
impl Copy for LedgerPosition {}

impl View {
    /// The seat of a voter.
    pub fn seat(&self, id: u64) -> Option<&MemberInfo> {
        self.voters.iter().find(|s| s.id == id)
    }

    /// Whether those that `has` names are a majority of the voters, and of the voters before.
    pub fn majority(&self, has: impl Fn(u64) -> bool) -> bool {
        let most = |seats: &[MemberInfo]| 2 * seats.iter().filter(|s| has(s.id)).count() > seats.len();
        most(&self.voters) && most(&self.before)
    }

    /// Whether its voters are those of the view before.
    pub fn settled(&self) -> bool {
        let ids =
            |seats: &[MemberInfo]| seats.iter().map(|s| s.id).collect::<std::collections::BTreeSet<_>>();
        ids(&self.voters) == ids(&self.before)
    }
}
