//! Sample values of every message and record. Each field differs from its default.
#![allow(dead_code, reason = "each test file uses a part of the samples")]

use protocol::{
    Addr, AppliedRequest, Change, Command, ConfigurationUpdate, ControlPlaneInfo,
    CoordinatorRecord, HostRecord, LogPosition, MemberInfo, MembershipConfig, Message,
    OriginUpdate, OriginVersion, PromptPart, PromptPlacement, Record, Snapshot, Subscriber,
    TenantsUpdate,
};

fn strings(items: &[&str]) -> Vec<String> {
    items.iter().map(|&item| item.to_owned()).collect()
}

fn addr(host: u32, port: u16) -> Addr {
    Addr {
        ip: 0x0a01_0000 + host,
        port,
    }
}

fn member(id: u64) -> MemberInfo {
    MemberInfo {
        id,
        name: format!("core-{id}"),
        addr: addr(id as u32, 7660),
        control_addr: addr(id as u32, 8146),
        zone: "zone-ä".into(),
        region: "north".into(),
    }
}

fn membership() -> MembershipConfig {
    MembershipConfig {
        epoch: 0x0102_0304_0506_0708,
        primary: 3,
        replicas: vec![3, 5],
        voters: vec![member(3), member(5), member(7)],
        previous_voters: vec![member(3), member(9)],
    }
}

pub fn snapshot() -> Snapshot {
    Snapshot {
        index: 41,
        configuration: r#"{"version":2,"routes":[],"services":[]}"#.into(),
        applied_requests: vec![
            AppliedRequest {
                base_version: 1,
                version: 2,
                digest: [0xab; 32],
            },
            AppliedRequest {
                base_version: 2,
                version: 0x1122_3344,
                digest: std::array::from_fn(|n| n as u8 + 1),
            },
        ],
        drains: strings(&["i-1", "i-2"]),
        coordination: None,
    }
}

fn placement(host: &str) -> PromptPlacement {
    PromptPlacement {
        host: host.into(),
        parts: vec![
            PromptPart {
                id: 0xfeed_beef_0000_0001,
                tokens: 128,
            },
            PromptPart { id: 2, tokens: 64 },
        ],
    }
}

fn subscriber() -> Subscriber {
    Subscriber {
        name: "edge-1".into(),
        zone: "b".into(),
        region: "south".into(),
        hints_addr: addr(70, 7662),
        member_id: 11,
        configuration_version: 12,
    }
}

fn origin_version(id: u64) -> OriginVersion {
    OriginVersion {
        member_id: id,
        incarnation: 4,
        sequence: u64::MAX - id,
    }
}

fn configuration_update() -> ConfigurationUpdate {
    ConfigurationUpdate {
        index: 40,
        base_version: 6,
        version: 7,
        routes: strings(&[r#"{"name":"r1"}"#, r#"{"name":"r2"}"#]),
        services: strings(&[r#"{"name":"s1"}"#]),
        removed_routes: strings(&["r3"]),
        removed_services: strings(&["s3", "s4"]),
        limits: strings(&[r#"{"max_body_bytes":9}"#]),
        drains_base_index: 38,
        drains: strings(&["i-4", "i-5"]),
        removed_drains: strings(&["i-6"]),
    }
}

fn origin_update() -> OriginUpdate {
    OriginUpdate {
        version: origin_version(5),
        complete: true,
        hosts: vec![HostRecord {
            id: "i-8".into(),
            service: "chat".into(),
            addr: addr(80, 9000),
            zone: "c".into(),
            capacity: 16,
            phase: 2,
            heartbeat_expired: true,
            call_seq: 99,
            slow_start_remaining_ms: 4500,
        }],
        coordinators: vec![CoordinatorRecord {
            name: "edge-2".into(),
            zone: "d".into(),
            region: "west".into(),
            hints_addr: addr(71, 7662),
            gone: true,
            configuration_version: 13,
        }],
    }
}

fn control_plane() -> ControlPlaneInfo {
    ControlPlaneInfo {
        version: 0x0007_0001,
        epoch: 7,
        primary: 3,
        members: vec![member(3), member(5)],
    }
}

pub fn changes() -> Vec<(&'static str, Change)> {
    vec![
        (
            "Configure",
            Change::Configure {
                base_version: 8,
                is_amendment: true,
                body: vec![0, 1, 0xff],
            },
        ),
        ("Drain", Change::Drain { host: "i-9".into() }),
        (
            "Forget",
            Change::Forget {
                hosts: strings(&["i-10", "i-11"]),
            },
        ),
    ]
}

pub fn commands() -> Vec<(&'static str, Command)> {
    vec![
        (
            "Configure",
            Command::Configure {
                base: 9,
                amend: true,
                body: b"{\"version\":10}".to_vec(),
            },
        ),
        ("Read", Command::Read { reserved: 1 }),
        (
            "Drain",
            Command::Drain {
                host: "i-12".into(),
            },
        ),
    ]
}

pub fn records() -> Vec<(&'static str, Record)> {
    vec![
        ("Promised", Record::Promised { epoch: 21 }),
        (
            "Accepted",
            Record::Accepted {
                membership: membership(),
                snapshot: Some(snapshot()),
            },
        ),
        (
            "Accepted_without_snapshot",
            Record::Accepted {
                membership: membership(),
                snapshot: None,
            },
        ),
        (
            "Change",
            Record::Change {
                epoch: 22,
                index: 23,
                change: changes().remove(0).1,
            },
        ),
        ("Committed", Record::Committed { index: 24 }),
    ]
}

pub fn messages() -> Vec<(&'static str, Message)> {
    let mut messages = election_messages();
    messages.extend(membership_messages());
    messages.extend(replication_messages());
    messages.extend(command_and_placement_messages());
    messages.extend(quota_messages());
    messages.extend(subscription_messages());
    messages
}

fn election_messages() -> Vec<(&'static str, Message)> {
    vec![
        ("Hello", Message::Hello { sender: member(3) }),
        (
            "Peers",
            Message::Peers {
                members: vec![member(5), member(7)],
            },
        ),
        (
            "PreVote",
            Message::PreVote {
                known_epoch: 31,
                accepted_epoch: 30,
            },
        ),
        (
            "PreVoteReply",
            Message::PreVoteReply {
                granted: true,
                promised_epoch: 32,
                retry_after_ms: 250,
            },
        ),
        (
            "Prepare",
            Message::Prepare {
                epoch: 33,
                candidate: member(9),
            },
        ),
        (
            "Promise",
            Message::Promise {
                epoch: 34,
                granted: true,
                promised_epoch: 35,
                membership: Some(membership()),
                log_position: Some(LogPosition {
                    epoch: 36,
                    index: 37,
                }),
                retry_after_ms: 300,
            },
        ),
        (
            "Promise_without_membership",
            Message::Promise {
                epoch: 34,
                granted: true,
                promised_epoch: 35,
                membership: None,
                log_position: None,
                retry_after_ms: 300,
            },
        ),
    ]
}

fn membership_messages() -> Vec<(&'static str, Message)> {
    vec![
        (
            "InstallMembership",
            Message::InstallMembership {
                membership: membership(),
                snapshot: Some(snapshot()),
            },
        ),
        (
            "InstallMembershipReply",
            Message::InstallMembershipReply {
                epoch: 38,
                accepted: true,
                promised_epoch: 39,
            },
        ),
        ("FetchSnapshot", Message::FetchSnapshot { epoch: 54 }),
        (
            "SnapshotReply",
            Message::SnapshotReply {
                epoch: 55,
                log_position: LogPosition {
                    epoch: 56,
                    index: 57,
                },
                snapshot: snapshot(),
            },
        ),
    ]
}

fn replication_messages() -> Vec<(&'static str, Message)> {
    vec![
        (
            "AppendChange",
            Message::AppendChange {
                epoch: 40,
                index: 41,
                change: changes().remove(1).1,
            },
        ),
        (
            "AppendReply",
            Message::AppendReply {
                epoch: 42,
                match_index: 43,
                accepted: true,
                promised_epoch: 44,
            },
        ),
        (
            "RenewLease",
            Message::RenewLease {
                epoch: 45,
                requested_at_ms: 46,
                commit_index: 47,
                echoed_clock_ms: 48,
            },
        ),
        (
            "LeaseReply",
            Message::LeaseReply {
                epoch: 49,
                requested_at_ms: 50,
                granted: true,
                promised_epoch: 51,
                disk_healthy: true,
                clock_ms: 52,
            },
        ),
        ("ReleaseLease", Message::ReleaseLease { epoch: 53 }),
        ("Leaving", Message::Leaving { epoch: 58 }),
    ]
}

fn command_and_placement_messages() -> Vec<(&'static str, Message)> {
    vec![
        (
            "ForwardCommand",
            Message::ForwardCommand {
                request_id: 59,
                command: commands().remove(0).1,
            },
        ),
        (
            "CommandResult",
            Message::CommandResult {
                request_id: 60,
                code: 0x0123,
                body: b"text".to_vec(),
            },
        ),
        (
            "PromptPlaced",
            Message::PromptPlaced {
                placement: placement("i-13"),
                prefill_tokens: 61,
            },
        ),
        (
            "PlacementsRequest",
            Message::PlacementsRequest { reserved: 1 },
        ),
        (
            "Placements",
            Message::Placements {
                placements: vec![placement("i-14"), placement("i-15")],
            },
        ),
    ]
}

fn subscription_messages() -> Vec<(&'static str, Message)> {
    vec![
        (
            "Pull",
            Message::Pull {
                subscriber: subscriber(),
                wait_ms: 1000,
                index: 62,
                configuration_version: 63,
                control_plane_version: 64,
                origins: vec![origin_version(5), origin_version(6)],
            },
        ),
        (
            "Update",
            Message::Update {
                member: 65,
                age_ms: 66,
                held_ms: 67,
                configuration: Some(configuration_update()),
                origins: vec![origin_update()],
                removed_origins: vec![68, 69],
                control_plane: Some(control_plane()),
            },
        ),
        (
            "UpdateWithTenants",
            Message::UpdateWithTenants {
                member: 65,
                age_ms: 66,
                held_ms: 67,
                configuration: Some(configuration_update()),
                origins: vec![origin_update()],
                removed_origins: vec![68, 69],
                control_plane: Some(control_plane()),
                tenants: TenantsUpdate {
                    present: true,
                    tenants: strings(&[r#"{"name":"t1"}"#]),
                    removed: strings(&["t2", "t3"]),
                },
            },
        ),
    ]
}

fn quota_messages() -> Vec<(&'static str, Message)> {
    vec![
        (
            "QuotaRequest",
            Message::QuotaRequest {
                proxy: 70,
                sequence: 71,
                tenant: "t1".into(),
                configuration_version: 72,
                rate_per_s: 784_255.0,
                burst_size: 0.5,
                cost: -1540.0,
                max_wait_ms: 73,
            },
        ),
        (
            "QuotaReply",
            Message::QuotaReply {
                sequence: 74,
                granted: true,
                wait_ms: 75,
                burst_left_percent: 81,
            },
        ),
        (
            "QuotaPresence",
            Message::QuotaPresence {
                proxy: 76,
                unused_ms: 80,
                unreachable: vec![77, 78],
            },
        ),
        (
            "QuotaPresenceReply",
            Message::QuotaPresenceReply { member: 79 },
        ),
    ]
}
