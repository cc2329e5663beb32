//! What the processes say to each other. Times are in ms.

use crate::hints::Placement;
use crate::ledger::{Change, Command, LogPosition, Snapshot};
use crate::membership::{ControlPlaneInfo, MemberInfo, MembershipConfig};
use crate::news::{ConfigurationUpdate, OriginUpdate, OriginVersion, Subscriber};
use crate::wire::{bytes, flag, list, option, put_bytes, put_flag, put_list, put_option};
use binrw::binrw;

/// A message.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The first on a connection: who speaks.
    #[brw(magic(1u8))]
    Hello {
        /// The speaker; identity 0 where it is no member.
        sender: MemberInfo,
    },
    /// Members that the speaker knows, so that others find them.
    #[brw(magic(2u8))]
    Peers {
        /// The members.
        #[br(parse_with = list)]
        #[bw(write_with = put_list)]
        members: Vec<MemberInfo>,
    },
    /// Asks whether a promise would be given, before it is asked for: nobody is disturbed by one that can't win.
    #[brw(magic(8u8))]
    PreVote {
        /// The highest epoch that the speaker knows.
        known_epoch: u64,
        /// Epoch of the latest view that it accepted.
        accepted_epoch: u64,
    },
    /// The answer to [`Message::PreVote`].
    #[brw(magic(9u8))]
    PreVoteReply {
        /// Whether a promise would be given now.
        #[br(parse_with = flag)]
        #[bw(write_with = put_flag)]
        granted: bool,
        /// The highest epoch that the speaker has promised.
        promised_epoch: u64,
        /// When asking again makes sense.
        retry_after_ms: u32,
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
        promised_epoch: u64,
        /// The latest view that it accepted.
        #[br(parse_with = option)]
        #[bw(write_with = put_option)]
        membership: Option<MembershipConfig>,
        /// How far its ledger goes, where it holds one.
        #[br(parse_with = option)]
        #[bw(write_with = put_option)]
        log_position: Option<LogPosition>,
        /// When asking again makes sense.
        retry_after_ms: u32,
    },
    /// Asks to accept a view, with the ledger for those that are to hold it.
    #[brw(magic(12u8))]
    InstallMembership {
        /// The view.
        membership: MembershipConfig,
        /// The ledger.
        #[br(parse_with = option)]
        #[bw(write_with = put_option)]
        snapshot: Option<Snapshot>,
    },
    /// The answer to [`Message::InstallMembership`].
    #[brw(magic(13u8))]
    InstallMembershipReply {
        /// Epoch of the view.
        epoch: u64,
        /// Whether it is accepted and on disk.
        #[br(parse_with = flag)]
        #[bw(write_with = put_flag)]
        accepted: bool,
        /// The highest epoch that the speaker has promised.
        promised_epoch: u64,
    },
    /// A change, for a backup's disk.
    #[brw(magic(14u8))]
    AppendChange {
        /// Epoch of the view.
        epoch: u64,
        /// Number of the change.
        index: u64,
        /// The change.
        change: Change,
    },
    /// The answer to [`Message::AppendChange`].
    #[brw(magic(15u8))]
    AppendReply {
        /// Epoch of the view.
        epoch: u64,
        /// All changes up to this one are on disk.
        match_index: u64,
        /// Whether the backup goes on.
        #[br(parse_with = flag)]
        #[bw(write_with = put_flag)]
        accepted: bool,
        /// The highest epoch that the speaker has promised.
        promised_epoch: u64,
    },
    /// The primary asks for its lease.
    #[brw(magic(16u8))]
    RenewLease {
        /// Epoch of its view.
        epoch: u64,
        /// The primary's clock when it asked, in ms.
        requested_at_ms: u64,
        /// Number of the last change that is acknowledged.
        commit_index: u64,
        /// The latest [`Message::LeaseReply`]'s `clock` that the primary has from this voter; 0 where it has none,
        /// or where its lease isn't in force now. It proves to the voter that the speaker acted after that moment.
        echoed_clock_ms: u64,
    },
    /// The answer to [`Message::RenewLease`].
    #[brw(magic(17u8))]
    LeaseReply {
        /// Epoch of the view.
        epoch: u64,
        /// As asked.
        requested_at_ms: u64,
        /// Whether the lease is granted.
        #[br(parse_with = flag)]
        #[bw(write_with = put_flag)]
        granted: bool,
        /// The highest epoch that the speaker has promised.
        promised_epoch: u64,
        /// Whether the speaker's disk takes writes.
        #[br(parse_with = flag)]
        #[bw(write_with = put_flag)]
        disk_healthy: bool,
        /// The voter's clock when it answered, in ms, counted from a number of its own that differs for each life.
        clock_ms: u64,
    },
    /// The primary gives its lease up.
    #[brw(magic(18u8))]
    ReleaseLease {
        /// Epoch of its view.
        epoch: u64,
    },
    /// The speaker has been asked to end: nothing new is to be put there, and what it holds is to be taken over.
    #[brw(magic(25u8))]
    Leaving {
        /// Epoch of the latest view that it accepted.
        epoch: u64,
    },
    /// Asks for the ledger, fenced by a promise.
    #[brw(magic(19u8))]
    FetchSnapshot {
        /// The epoch that the asker prepares.
        epoch: u64,
    },
    /// The answer to [`Message::FetchSnapshot`].
    #[brw(magic(20u8))]
    SnapshotReply {
        /// As asked.
        epoch: u64,
        /// How far the ledger goes.
        log_position: LogPosition,
        /// The ledger.
        snapshot: Snapshot,
    },
    /// A command for the primary.
    #[brw(magic(30u8))]
    ForwardCommand {
        /// The asker's number for it.
        request_id: u64,
        /// The command.
        command: Command,
    },
    /// The answer to [`Message::ForwardCommand`].
    #[brw(magic(31u8))]
    CommandResult {
        /// As asked.
        request_id: u64,
        /// The result code.
        code: u16,
        /// What goes with it.
        #[br(parse_with = bytes)]
        #[bw(write_with = put_bytes)]
        body: Vec<u8>,
    },
    /// A proxy has sent a prompt to a host. In datagrams, like the next two: they may be lost.
    #[brw(magic(50u8))]
    PromptPlaced {
        /// What the host keeps from now on.
        placement: Placement,
        /// Tokens that it has to read for it.
        prefill_tokens: u32,
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
        subscriber: Subscriber,
        /// How long the answer may wait for news.
        wait_ms: u32,
        /// Number of the ledger's last change that the speaker has.
        index: u64,
        /// Version of the configuration that it has.
        configuration_version: u64,
        /// Mark of the fleet that it has.
        control_plane_version: u64,
        /// What it has of each source.
        #[br(parse_with = list)]
        #[bw(write_with = put_list)]
        origins: Vec<OriginVersion>,
    },
    /// The answer to [`Message::Pull`]; also pushed where somebody waits.
    #[brw(magic(41u8))]
    Update {
        /// Who speaks; 0 for an agent.
        member: u64,
        /// Since when, at most, the speaker may have missed what the primary acknowledged, in ms; `u32::MAX` where
        /// it has had no proof in this life.
        age_ms: u32,
        /// How long the speaker had the pull before it answered, in ms.
        held_ms: u32,
        /// Configuration and drains.
        #[br(parse_with = option)]
        #[bw(write_with = put_option)]
        configuration: Option<ConfigurationUpdate>,
        /// Hosts and coordinators.
        #[br(parse_with = list)]
        #[bw(write_with = put_list)]
        origins: Vec<OriginUpdate>,
        /// Sources that are no more.
        #[br(parse_with = list)]
        #[bw(write_with = put_list)]
        removed_origins: Vec<u64>,
        /// The control plane.
        #[br(parse_with = option)]
        #[bw(write_with = put_option)]
        control_plane: Option<ControlPlaneInfo>,
    },
}
