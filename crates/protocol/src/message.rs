//! Messages between the system's processes. The variants' numbers are part of the wire format: they never change, and a
//! new variant takes a new number.

use crate::codec::{
    read_bool, read_bytes, read_list, read_option, read_string, write_bool, write_bytes,
    write_list, write_option, write_string,
};
use crate::membership::{ControlPlaneInfo, MemberInfo, MembershipConfig};
use crate::prompt_placement::PromptPlacement;
use crate::replicated_state::{Change, Command, LogPosition, Snapshot};
use crate::updates::{ConfigurationUpdate, OriginUpdate, OriginVersion, Subscriber, TenantsUpdate};
use binrw::binrw;

/// Message between two processes. The number in a variant's `magic` identifies it on the wire.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// First message on a connection. Identifies the sender.
    #[brw(magic(1u8))]
    Hello {
        /// Sender; its id is 0 if it is not a member.
        sender: MemberInfo,
    },
    /// Announces the members that the sender knows, for peer discovery.
    #[brw(magic(2u8))]
    Peers {
        /// The members.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        members: Vec<MemberInfo>,
    },
    /// Asks whether a promise would be granted, before [`Message::Prepare`] requests it. A candidate that can't win
    /// thus doesn't disrupt the current primary.
    #[brw(magic(8u8))]
    PreVote {
        /// Highest epoch known to the sender.
        known_epoch: u64,
        /// Epoch of the membership configuration that the sender accepted last.
        accepted_epoch: u64,
    },
    /// Reply to [`Message::PreVote`].
    #[brw(magic(9u8))]
    PreVoteReply {
        /// Whether a promise would be granted now.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        granted: bool,
        /// Highest epoch that the sender has promised.
        promised_epoch: u64,
        /// Suggested delay before the next attempt, in ms.
        retry_after_ms: u32,
    },
    /// Requests a promise to accept no lower epoch (phase 1 of Paxos).
    #[brw(magic(10u8))]
    Prepare {
        /// Epoch to promise.
        epoch: u64,
        /// Member that asks for the promise.
        candidate: MemberInfo,
    },
    /// Reply to [`Message::Prepare`].
    #[brw(magic(11u8))]
    Promise {
        /// Epoch of the request.
        epoch: u64,
        /// Whether the promise is granted.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        granted: bool,
        /// Highest epoch that the sender has promised.
        promised_epoch: u64,
        /// Membership configuration that the sender accepted last.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        membership: Option<MembershipConfig>,
        /// End of its log, if it is a replica.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        log_position: Option<LogPosition>,
        /// Suggested delay before the next attempt, in ms.
        retry_after_ms: u32,
    },
    /// Requests acceptance of a membership configuration (phase 2 of Paxos).
    #[brw(magic(12u8))]
    InstallMembership {
        /// Membership configuration to accept.
        membership: MembershipConfig,
        /// Replicated state at the start of the configuration, for a receiver that becomes a replica.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        snapshot: Option<Snapshot>,
    },
    /// Reply to [`Message::InstallMembership`].
    #[brw(magic(13u8))]
    InstallMembershipReply {
        /// Epoch of the membership configuration.
        epoch: u64,
        /// Whether the configuration was accepted and is on disk.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        accepted: bool,
        /// Highest epoch that the sender has promised.
        promised_epoch: u64,
    },
    /// Change that a backup must append to its log.
    #[brw(magic(14u8))]
    AppendChange {
        /// Epoch of the membership configuration.
        epoch: u64,
        /// Index of the change in the log.
        index: u64,
        /// Change to append.
        change: Change,
    },
    /// Reply to [`Message::AppendChange`].
    #[brw(magic(15u8))]
    AppendReply {
        /// Epoch of the membership configuration.
        epoch: u64,
        /// Index up to which all changes are on the backup's disk.
        match_index: u64,
        /// Whether the backup remains a replica; false after a failed write.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        accepted: bool,
        /// Highest epoch that the sender has promised.
        promised_epoch: u64,
    },
    /// Asks a voter to grant or renew the primary's lease.
    #[brw(magic(16u8))]
    RenewLease {
        /// Epoch of the primary's membership configuration.
        epoch: u64,
        /// Primary's clock when it sent the request, in ms. The lease starts at this time.
        requested_at_ms: u64,
        /// Index of the last committed change.
        commit_index: u64,
        /// `clock_ms` of the latest [`Message::LeaseReply`] from this voter; 0 if there is none or if the lease isn't
        /// in force now. It proves to the voter that the primary was acting after that reply.
        echoed_clock_ms: u64,
    },
    /// Variant of [`Message::RenewLease`] for a log whose last committed change concerned neither the configuration nor
    /// the drains.
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
    /// Reply to [`Message::RenewLease`] and [`Message::RenewLeaseWithFleetIndex`].
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
        /// Highest epoch that the sender has promised.
        promised_epoch: u64,
        /// Whether the sender's disk completes writes in time.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        disk_healthy: bool,
        /// Voter's clock when it replied, in ms. The clock starts at a different value in each incarnation.
        clock_ms: u64,
    },
    /// Gives up the primary's lease.
    #[brw(magic(18u8))]
    ReleaseLease {
        /// Epoch of the primary's membership configuration.
        epoch: u64,
    },
    /// Announces a graceful shutdown: the sender takes on no new roles, and other members take over its current ones.
    #[brw(magic(25u8))]
    Leaving {
        /// Epoch of the membership configuration that the sender accepted last.
        epoch: u64,
    },
    /// Requests the replicated state. The promise for this epoch fences the log, so that no lower epoch can change it
    /// any longer.
    #[brw(magic(19u8))]
    FetchSnapshot {
        /// Epoch that the sender prepares.
        epoch: u64,
    },
    /// Reply to [`Message::FetchSnapshot`].
    #[brw(magic(20u8))]
    SnapshotReply {
        /// Epoch of the request.
        epoch: u64,
        /// End of the log.
        log_position: LogPosition,
        /// Replicated state at the end of the log.
        snapshot: Snapshot,
    },
    /// Forwards to the primary a command that a caller sent to another member.
    #[brw(magic(30u8))]
    ForwardCommand {
        /// Request number, chosen by the sender.
        request_id: u64,
        /// Command to run.
        command: Command,
    },
    /// Reply to [`Message::ForwardCommand`].
    #[brw(magic(31u8))]
    CommandResult {
        /// Number of the request.
        request_id: u64,
        /// Numeric result code (`docs/result-codes.md`).
        code: u16,
        /// Body of the reply.
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        body: Vec<u8>,
    },
    /// Reports that the sending proxy has sent a prompt to a host. A datagram, like the next two messages, so it may be
    /// lost.
    #[brw(magic(50u8))]
    PromptPlaced {
        /// Prompt parts that the host has cached from now on.
        placement: PromptPlacement,
        /// Number of tokens that the host has to prefill for the prompt.
        prefill_tokens: u32,
    },
    /// Asks another proxy for its known prompt placements, after a start.
    #[brw(magic(51u8))]
    PlacementsRequest {
        /// Always 0. Kept so that the variant's encoding doesn't change.
        reserved: u8,
    },
    /// Reply to [`Message::PlacementsRequest`], split over several datagrams.
    #[brw(magic(52u8))]
    Placements {
        /// Prompt parts that hosts have cached.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        placements: Vec<PromptPlacement>,
    },
    /// Asks the member that is the tenant's home whether a request is within the tenant's quota. A datagram, like the
    /// next three messages.
    #[brw(magic(53u8))]
    QuotaRequest {
        /// Incarnation number of the proxy.
        proxy: u64,
        /// Request number; a retransmission has the same one.
        sequence: u64,
        /// The tenant's name.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        tenant: String,
        /// Version of the configuration from which the proxy took the limit.
        configuration_version: u64,
        /// Tenant's rate limit, in units per second.
        rate_per_s: f64,
        /// Burst size: units allowed beyond the rate.
        burst_size: f64,
        /// Units that the request costs. A negative value returns units that were granted and not used.
        cost: f64,
        /// Longest time for which the request may be delayed, in ms; `u32::MAX` if the units are already used.
        max_wait_ms: u32,
    },
    /// Reply to [`Message::QuotaRequest`].
    #[brw(magic(54u8))]
    QuotaReply {
        /// Number of the request.
        sequence: u64,
        /// Whether the request is within the quota.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        granted: bool,
        /// If granted, the time for which the request must be delayed; otherwise the time after which a request may be
        /// granted. In ms.
        wait_ms: u32,
        /// Share of the burst that is available now, in percent.
        burst_left_percent: u8,
    },
    /// Announces a proxy to a member, so that the member knows of its presence.
    #[brw(magic(55u8))]
    QuotaPresence {
        /// Incarnation number of the proxy.
        proxy: u64,
        /// Time for which the proxy's process has run without using any quota, in ms; 0 once it has used some.
        unused_ms: u32,
        /// Ids of the members that the proxy can't reach.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        unreachable: Vec<u64>,
    },
    /// Reply to [`Message::QuotaPresence`].
    #[brw(magic(56u8))]
    QuotaPresenceReply {
        /// Id of the replying member.
        member: u64,
    },
    /// Requests the updates that the sender lacks (long poll).
    #[brw(magic(40u8))]
    Pull {
        /// Sender of the pull.
        subscriber: Subscriber,
        /// Longest time for which the reply may wait for an update, in ms.
        wait_ms: u32,
        /// Index of the last change of the replicated state known to the sender.
        index: u64,
        /// Configuration version known to the sender.
        configuration_version: u64,
        /// Version of the [`ControlPlaneInfo`] known to the sender.
        control_plane_version: u64,
        /// Version vector of the sender: the version of each origin that it holds.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        origins: Vec<OriginVersion>,
    },
    /// Reply to [`Message::Pull`] with what the subscriber lacks.
    #[brw(magic(41u8))]
    Update {
        /// Member id of the sender; 0 for an agent.
        member: u64,
        /// Upper bound of the time for which the sender may have missed committed changes, in ms; `u32::MAX` if it has
        /// had no contact with a primary in its incarnation.
        age_ms: u32,
        /// Time for which the sender held the pull before it replied, in ms.
        held_ms: u32,
        /// Changes of the configuration and of the draining hosts.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        configuration: Option<ConfigurationUpdate>,
        /// Records of hosts and coordinators.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        origins: Vec<OriginUpdate>,
        /// Ids of members that are no longer origins.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        removed_origins: Vec<u64>,
        /// Members of the control plane, if they changed.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        control_plane: Option<ControlPlaneInfo>,
    },
    /// Variant of [`Message::Update`] for changed tenants. Without such changes a sender uses [`Message::Update`],
    /// which earlier releases can read.
    #[brw(magic(42u8))]
    UpdateWithTenants {
        /// Member id of the sender; 0 for an agent.
        member: u64,
        /// Upper bound of the time for which the sender may have missed committed changes, in ms; `u32::MAX` if it has
        /// had no contact with a primary in its incarnation.
        age_ms: u32,
        /// Time for which the sender held the pull before it replied, in ms.
        held_ms: u32,
        /// Changes of the configuration and of the draining hosts.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        configuration: Option<ConfigurationUpdate>,
        /// Records of hosts and coordinators.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        origins: Vec<OriginUpdate>,
        /// Ids of members that are no longer origins.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        removed_origins: Vec<u64>,
        /// Members of the control plane, if they changed.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        control_plane: Option<ControlPlaneInfo>,
        /// Changes of the tenants.
        tenants: TenantsUpdate,
    },
}
