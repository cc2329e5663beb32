//! The messages between the system's processes. The numbers of the variants are fixed; new variants take new numbers.

use crate::codec::{
    read_bool, read_bytes, read_list, read_option, read_string, write_bool, write_bytes,
    write_list, write_option, write_string,
};
use crate::membership::{ControlPlaneInfo, MemberInfo, MembershipConfig};
use crate::prompt_placement::PromptPlacement;
use crate::replicated_state::{Change, Command, LogPosition, Snapshot};
use crate::updates::{ConfigurationUpdate, OriginUpdate, OriginVersion, Subscriber, TenantsUpdate};
use binrw::binrw;

/// A message. The numbers in the variants' `magic` are on the wire.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The first message on a connection: names the sender.
    #[brw(magic(1u8))]
    Hello {
        /// The sender; its id is 0 if it is no member.
        sender: MemberInfo,
    },
    /// Members that the sender knows, so that others find them.
    #[brw(magic(2u8))]
    Peers {
        /// The members.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        members: Vec<MemberInfo>,
    },
    /// Asks whether a promise would be granted, before [`Message::Prepare`] asks for it. A candidate that can't win thus
    /// disturbs nobody.
    #[brw(magic(8u8))]
    PreVote {
        /// The highest epoch that the sender knows.
        known_epoch: u64,
        /// Epoch of the membership configuration that the sender accepted last.
        accepted_epoch: u64,
    },
    /// The answer to [`Message::PreVote`].
    #[brw(magic(9u8))]
    PreVoteReply {
        /// Whether a promise would be granted now.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        granted: bool,
        /// The highest epoch that the sender has promised.
        promised_epoch: u64,
        /// After how long it makes sense to ask again, in ms.
        retry_after_ms: u32,
    },
    /// Asks for a promise to follow no lower epoch (phase 1 of Paxos).
    #[brw(magic(10u8))]
    Prepare {
        /// The epoch.
        epoch: u64,
        /// The member that asks.
        candidate: MemberInfo,
    },
    /// The answer to [`Message::Prepare`].
    #[brw(magic(11u8))]
    Promise {
        /// The epoch that was asked for.
        epoch: u64,
        /// Whether the promise is granted.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        granted: bool,
        /// The highest epoch that the sender has promised.
        promised_epoch: u64,
        /// The membership configuration that the sender accepted last.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        membership: Option<MembershipConfig>,
        /// How far its replica log goes, if it is a replica.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        log_position: Option<LogPosition>,
        /// After how long it makes sense to ask again, in ms.
        retry_after_ms: u32,
    },
    /// Asks to accept a membership configuration (phase 2 of Paxos).
    #[brw(magic(12u8))]
    InstallMembership {
        /// The configuration.
        membership: MembershipConfig,
        /// The replicated state at its start, for a receiver that becomes a replica.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        snapshot: Option<Snapshot>,
    },
    /// The answer to [`Message::InstallMembership`].
    #[brw(magic(13u8))]
    InstallMembershipReply {
        /// Epoch of the membership configuration.
        epoch: u64,
        /// Whether the configuration is accepted and on disk.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        accepted: bool,
        /// The highest epoch that the sender has promised.
        promised_epoch: u64,
    },
    /// A change that a backup has to append to its log.
    #[brw(magic(14u8))]
    AppendChange {
        /// Epoch of the membership configuration.
        epoch: u64,
        /// Index of the change.
        index: u64,
        /// The change.
        change: Change,
    },
    /// The answer to [`Message::AppendChange`].
    #[brw(magic(15u8))]
    AppendReply {
        /// Epoch of the membership configuration.
        epoch: u64,
        /// All changes up to this index are on the backup's disk.
        match_index: u64,
        /// Whether the backup goes on as a replica; it does not after a failed write.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        accepted: bool,
        /// The highest epoch that the sender has promised.
        promised_epoch: u64,
    },
    /// The primary asks a voter to grant or renew its lease.
    #[brw(magic(16u8))]
    RenewLease {
        /// Epoch of the primary's membership configuration.
        epoch: u64,
        /// The primary's clock when it asked, in ms. The lease runs from then.
        requested_at_ms: u64,
        /// Index of the last committed change.
        commit_index: u64,
        /// `clock_ms` of the latest [`Message::LeaseReply`] from this voter; 0 if there is none or if the lease isn't in
        /// force now. It proves to the voter that the primary acted after that moment.
        echoed_clock_ms: u64,
    },
    /// As [`Message::RenewLease`], where the last committed change was none of the configuration or the drains.
    #[brw(magic(26u8))]
    RenewLeaseWithFleetIndex {
        /// Epoch of the primary's membership configuration.
        epoch: u64,
        /// As in [`Message::RenewLease`].
        requested_at_ms: u64,
        /// Index of the last committed change.
        commit_index: u64,
        /// As in [`Message::RenewLease`].
        echoed_clock_ms: u64,
        /// Index of the last committed change of the configuration or the drains.
        fleet_index: u64,
    },
    /// The answer to [`Message::RenewLease`] and [`Message::RenewLeaseWithFleetIndex`].
    #[brw(magic(17u8))]
    LeaseReply {
        /// Epoch of the membership configuration.
        epoch: u64,
        /// `requested_at_ms` of the request.
        requested_at_ms: u64,
        /// Whether the lease is granted.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        granted: bool,
        /// The highest epoch that the sender has promised.
        promised_epoch: u64,
        /// Whether the sender's disk takes writes in time.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        disk_healthy: bool,
        /// The voter's clock when it answered, in ms. It starts at a number that differs with each incarnation.
        clock_ms: u64,
    },
    /// The primary gives up its lease.
    #[brw(magic(18u8))]
    ReleaseLease {
        /// Epoch of the primary's membership configuration.
        epoch: u64,
    },
    /// The sender shuts down gracefully: it gets no new roles, and others take over those it has.
    #[brw(magic(25u8))]
    Leaving {
        /// Epoch of the membership configuration that the sender accepted last.
        epoch: u64,
    },
    /// Asks for the replicated state. The promise for this epoch fences the log: nothing older can change it any more.
    #[brw(magic(19u8))]
    FetchSnapshot {
        /// The epoch that the sender prepares.
        epoch: u64,
    },
    /// The answer to [`Message::FetchSnapshot`].
    #[brw(magic(20u8))]
    SnapshotReply {
        /// Epoch of the request.
        epoch: u64,
        /// How far the log goes.
        log_position: LogPosition,
        /// The replicated state there.
        snapshot: Snapshot,
    },
    /// A command that another member's caller sent, forwarded to the primary.
    #[brw(magic(30u8))]
    ForwardCommand {
        /// Number of the request, chosen by the sender.
        request_id: u64,
        /// The command.
        command: Command,
    },
    /// The answer to [`Message::ForwardCommand`].
    #[brw(magic(31u8))]
    CommandResult {
        /// Number of the request.
        request_id: u64,
        /// Number of the result code (`docs/result-codes.md`).
        code: u16,
        /// The answer's body.
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        body: Vec<u8>,
    },
    /// A proxy has sent a prompt to a host. Sent as a datagram, like the next two, so it may be lost.
    #[brw(magic(50u8))]
    PromptPlaced {
        /// What the host has cached from now on.
        placement: PromptPlacement,
        /// Tokens that the host has to prefill for the prompt.
        prefill_tokens: u32,
    },
    /// A proxy that has just started asks what hosts have cached.
    #[brw(magic(51u8))]
    PlacementsRequest {
        /// Always 0; keeps the variant's form in bytes.
        reserved: u8,
    },
    /// The answer to [`Message::PlacementsRequest`], split over several datagrams.
    #[brw(magic(52u8))]
    Placements {
        /// What hosts have cached.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        placements: Vec<PromptPlacement>,
    },
    /// A proxy asks a tenant's home whether a request is within the tenant's quota. A datagram, like the next three.
    #[brw(magic(53u8))]
    QuotaRequest {
        /// Number of the proxy's life.
        proxy: u64,
        /// Number of the request; the same when it is sent again.
        sequence: u64,
        /// The tenant's name.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        tenant: String,
        /// Configuration version that the proxy has the limit from.
        configuration_version: u64,
        /// The tenant's limit in units a second.
        rate_per_s: f64,
        /// Units allowed beyond the rate.
        burst_size: f64,
        /// Units that the request counts as. Below 0: units that were granted and not used.
        cost: f64,
        /// How long the request may be held, in ms; `u32::MAX` if the units were used already.
        max_wait_ms: u32,
    },
    /// The answer to [`Message::QuotaRequest`].
    #[brw(magic(54u8))]
    QuotaReply {
        /// Number of the request.
        sequence: u64,
        /// Whether the request is within the quota.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        granted: bool,
        /// If it is, how long it has to be held; else after how long one may be granted. In ms.
        wait_ms: u32,
        /// How much of the burst is at hand now, in percent.
        burst_left_percent: u8,
    },
    /// A proxy tells a member that it is there.
    #[brw(magic(55u8))]
    QuotaPresence {
        /// Number of the proxy's life.
        proxy: u64,
        /// For how long its process has been there without using any quota, in ms; 0 once it has.
        unused_ms: u32,
        /// Ids of the members that it doesn't reach.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        unreachable: Vec<u64>,
    },
    /// The answer to [`Message::QuotaPresence`].
    #[brw(magic(56u8))]
    QuotaPresenceReply {
        /// The member's id.
        member: u64,
    },
    /// Asks for the updates that the sender lacks (long poll).
    #[brw(magic(40u8))]
    Pull {
        /// The sender.
        subscriber: Subscriber,
        /// How long the answer may wait for an update, in ms.
        wait_ms: u32,
        /// Index of the last change of the replicated state that the sender has.
        index: u64,
        /// Configuration version that it has.
        configuration_version: u64,
        /// Version of the [`ControlPlaneInfo`] that it has.
        control_plane_version: u64,
        /// Its version vector: what it has of each origin.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        origins: Vec<OriginVersion>,
    },
    /// The answer to [`Message::Pull`]: what the subscriber lacks.
    #[brw(magic(41u8))]
    Update {
        /// Member id of the sender; 0 for an agent.
        member: u64,
        /// For how long, at most, the sender may have missed committed changes, in ms; `u32::MAX` if it has had no
        /// contact with a primary in its incarnation.
        age_ms: u32,
        /// How long the sender held the pull before it answered, in ms.
        held_ms: u32,
        /// Changes of the configuration and of the draining hosts.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        configuration: Option<ConfigurationUpdate>,
        /// Records of hosts and coordinators.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        origins: Vec<OriginUpdate>,
        /// Ids of members that are no origins any more.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        removed_origins: Vec<u64>,
        /// The members of the control plane, if they changed.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        control_plane: Option<ControlPlaneInfo>,
    },
    /// As [`Message::Update`], where the tenants changed too. A sender without changed tenants sends the other form, which
    /// processes of earlier versions read.
    #[brw(magic(42u8))]
    UpdateWithTenants {
        /// Member id of the sender; 0 for an agent.
        member: u64,
        /// For how long, at most, the sender may have missed committed changes, in ms; `u32::MAX` if it has had no
        /// contact with a primary in its incarnation.
        age_ms: u32,
        /// How long the sender held the pull before it answered, in ms.
        held_ms: u32,
        /// Changes of the configuration and of the draining hosts.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        configuration: Option<ConfigurationUpdate>,
        /// Records of hosts and coordinators.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        origins: Vec<OriginUpdate>,
        /// Ids of members that are no origins any more.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        removed_origins: Vec<u64>,
        /// The members of the control plane, if they changed.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        control_plane: Option<ControlPlaneInfo>,
        /// Changes of the tenants.
        tenants: TenantsUpdate,
    },
}
