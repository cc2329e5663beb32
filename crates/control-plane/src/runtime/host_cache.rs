//! A cache of the last known hosts on disk.
//!
//! After a restart of all members, proxies can use the cached hosts before these have sent their first heartbeats. The
//! cache is best effort: a proxy that sends to a lost host detects the failure, and drains are part of the replicated
//! state.

use super::identity::Identity;
use super::storage::{StateFile, Write};
use protocol::{HostRecord, OriginUpdate, OriginVersion};
use replication::{phase, SharedMirror, Update};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Shortest time between two writes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Loads the stored hosts into the mirror, as records of an earlier incarnation of this member. Ignores a cache that
/// can't be decoded.
pub(super) fn restore(mirror: &SharedMirror, identity: &Identity, stored: Option<Vec<u8>>) {
    let Some(stored) =
        stored.and_then(|bytes| protocol::decode_record::<OriginUpdate>(&bytes).ok())
    else {
        return;
    };
    let earlier = OriginVersion {
        member_id: identity.id,
        incarnation: identity.incarnation.saturating_sub(1),
        sequence: 1,
    };
    let update = Update {
        age_ms: u32::MAX,
        origins: vec![OriginUpdate {
            version: earlier,
            complete: true,
            coordinators: Vec::new(),
            ..stored
        }],
        ..Update::default()
    };
    mirror.update(|mirror, now| mirror.apply(now, &update));
}

/// Writes the mirror's ready hosts to the cache whenever they change. Returns when the storage thread or the mirror has
/// ended.
pub(super) async fn store_changes(mirror: Arc<SharedMirror>, storage: Sender<Write>) {
    let mut snapshots = mirror.subscribe();
    let mut stored: Vec<HostRecord> = Vec::new();
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        let hosts: Vec<HostRecord> = snapshot
            .hosts
            .values()
            .filter(|host| host.phase == phase::READY)
            .map(stored_record)
            .collect();
        if hosts != stored {
            stored.clone_from(&hosts);
            if storage.send(host_cache_write(hosts)).is_err() {
                return;
            }
        }
        sleep(MIN_WRITE_INTERVAL).await;
        if snapshots.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the record without the fields that change with each heartbeat.
fn stored_record(host: &HostRecord) -> HostRecord {
    HostRecord {
        call_seq: 0,
        slow_start_remaining_ms: 0,
        heartbeat_expired: false,
        ..host.clone()
    }
}

fn host_cache_write(hosts: Vec<HostRecord>) -> Write {
    let content = OriginUpdate {
        hosts,
        ..OriginUpdate::default()
    };
    Write {
        ticket: 0,
        records: vec![protocol::encode_record(&content)],
        rewrite: true,
        file: StateFile::HostCache,
    }
}
