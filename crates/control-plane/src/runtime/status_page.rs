//! The status page (`GET /fennelpin/status`) as JSON. Its keys are a stable interface that operators' tools read.

use super::quota_server;
use super::request_handler::OpenMember;
use super::MemberStatus;
use crate::registry_publisher::RecentCoordinator;
use protocol::{HostRecord, MemberInfo, MembershipConfig};
use quota::TenantUse;
use replication::Snapshot;
use serde_json::{json, Value};
use std::net::SocketAddrV4;
use std::time::{Duration, SystemTime};

/// The data that the page shows.
pub(super) struct StatusPage<'a> {
    pub(super) is_shutting_down: bool,
    /// The state machine's status; `None` if it didn't reply in time.
    pub(super) member: Option<MemberStatus>,
    pub(super) opened: &'a OpenMember,
}

/// Returns the page that is shown until the identity has been read from the disk.
pub(super) fn opening_page(node_name: &str, is_shutting_down: bool) -> Value {
    json!({"node": node_name, "opening": true, "leaving": is_shutting_down})
}

impl StatusPage<'_> {
    /// Returns the page.
    pub(super) fn json(&self) -> Value {
        let local_member = &self.opened.local_member;
        let counters = self.opened.peers.counters();
        let snapshot = self.opened.publisher.mirror().snapshot();
        let in_force = self.opened.publisher.versions_in_force();
        json!({
            "node": local_member.name,
            "id": hex_id(local_member.id),
            "life": self.opened.incarnation,
            "zone": local_member.zone,
            "region": local_member.region,
            "opening": false,
            "leaving": self.is_shutting_down,
            "ledger": ledger_json(&snapshot),
            "fleet": {
                "epoch": snapshot.control_plane.epoch,
                "primary": hex_id(snapshot.control_plane.primary),
                "members": snapshot.control_plane.members.len(),
            },
            "member": self.member.as_ref().map(member_status_json),
            "hosts": snapshot.hosts.values().map(host_json).collect::<Vec<_>>(),
            "coordinators": self.coordinators(),
            "in_force": {"lowest_version": in_force.lowest, "coordinators_here": in_force.coordinators},
            "members": self.opened.peers.reachable_members().iter().map(member_json).collect::<Vec<_>>(),
            "quotas": quota_server::tenant_usage(&self.opened.quotas).iter().map(tenant_usage_json).collect::<Vec<_>>(),
            "links": {"up": counters.connected, "down": counters.disconnected, "sent": counters.sent,
                "dropped": counters.dropped},
        })
    }

    fn coordinators(&self) -> Vec<Value> {
        let history = self.opened.history.borrow();
        let coordinators = self.opened.publisher.coordinators();
        coordinators
            .iter()
            .map(|coordinator| {
                let version = coordinator.record.configuration_version;
                coordinator_json(coordinator, history.time_behind(version, SystemTime::now()))
            })
            .collect()
    }
}

fn ledger_json(snapshot: &Snapshot) -> Value {
    json!({"seq": snapshot.index, "version": snapshot.configuration.version, "drains": snapshot.draining_hosts.len(),
        "routes": snapshot.configuration.routes.len(), "services": snapshot.configuration.services.len()})
}

fn host_json(host: &HostRecord) -> Value {
    json!({"id": host.id, "service": host.service, "address": SocketAddrV4::from(&host.addr).to_string(),
        "zone": host.zone, "capacity": host.capacity, "phase": host.phase, "silent": host.heartbeat_expired})
}

fn tenant_usage_json(tenant: &TenantUse) -> Value {
    json!({"tenant": tenant.tenant, "rate_per_s": tenant.limit.rate_per_s, "burst_size": tenant.limit.burst_size,
        "level": tenant.level, "units_granted": tenant.units_granted, "granted": tenant.granted,
        "refused": tenant.refused})
}

fn coordinator_json(coordinator: &RecentCoordinator, behind: Option<Duration>) -> Value {
    let record = &coordinator.record;
    json!({"name": record.name, "zone": record.zone, "region": record.region, "gone": record.gone,
        "version": record.configuration_version, "pulled_ms_ago": coordinator.since_pull.as_millis() as u64,
        "behind_ms": behind.map(|time| time.as_millis() as u64)})
}

fn member_json(member: &MemberInfo) -> Value {
    json!({"id": hex_id(member.id), "name": member.name, "zone": member.zone, "region": member.region,
        "control": SocketAddrV4::from(&member.control_addr).to_string()})
}

fn member_status_json(status: &MemberStatus) -> Value {
    json!({"view": status.membership.as_ref().map(membership_json), "acts": status.is_acting_primary,
        "primary": status.primary.as_ref().map(|primary| hex_id(primary.id)), "promised": status.promised_epoch,
        "disk_fit": status.is_disk_healthy, "age_ms": status.since_primary_contact.map(|age| age.as_millis() as u64)})
}

fn membership_json(membership: &MembershipConfig) -> Value {
    json!({"epoch": membership.epoch, "primary": hex_id(membership.primary),
        "replicas": membership.replicas.iter().map(|id| hex_id(*id)).collect::<Vec<_>>(),
        "voters": membership.voters.iter().map(member_json).collect::<Vec<_>>(),
        "settled": membership.is_stable()})
}

/// Formats an id as sixteen hexadecimal digits, as operators see it everywhere.
fn hex_id(id: u64) -> String {
    format!("{id:016x}")
}
