//! The hosts as last known, kept on disk: after a start of the whole core proxies have hosts to send to before
//! these have called again. Nothing rests on it: a host that isn't there any more is found out by whoever is sent
//! there, and one that left is in the ledger.

use super::identity::Identity;
use super::storage::{File, Write};
use protocol::{HostRecord, OriginUpdate, OriginVersion};
use replication::{phase, SharedMirror, Update};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Shortest time between two writes.
const REST: Duration = Duration::from_millis(500);

/// Puts what was kept into the mirror, as a life of this member that is over.
pub(super) fn recall(mirror: &SharedMirror, identity: &Identity, kept: Option<Vec<u8>>) {
    let Some(source) = kept.and_then(|k| protocol::decode_record::<OriginUpdate>(&k).ok()) else {
        return;
    };
    let mark = OriginVersion {
        member_id: identity.id,
        incarnation: identity.life.saturating_sub(1),
        sequence: 1,
    };
    let source = OriginUpdate {
        version: mark,
        complete: true,
        coordinators: Vec::new(),
        ..source
    };
    let news = Update {
        age_ms: u32::MAX,
        origins: vec![source],
        ..Update::default()
    };
    mirror.update(|mirror, now| mirror.apply(now, &news));
}

/// Keeps the hosts that the mirror knows, whenever they change.
pub(super) async fn keep(mirror: Arc<SharedMirror>, disk: Sender<Write>) {
    let mut news = mirror.subscribe();
    let mut kept: Vec<HostRecord> = Vec::new();
    loop {
        let snapshot = news.borrow_and_update().clone();
        let there = snapshot.hosts.values().filter(|h| h.phase == phase::READY);
        // Numbers of calls rise all the time and say nothing of whether a host is there.
        let hosts: Vec<HostRecord> = there
            .map(|h| HostRecord {
                call_seq: 0,
                slow_start_remaining_ms: 0,
                heartbeat_expired: false,
                ..h.clone()
            })
            .collect();
        if hosts != kept {
            kept.clone_from(&hosts);
            let source = OriginUpdate {
                hosts,
                ..OriginUpdate::default()
            };
            let records = vec![protocol::encode_record(&source)];
            if disk
                .send(Write {
                    ticket: 0,
                    records,
                    rewrite: true,
                    file: File::HostRegistry,
                })
                .is_err()
            {
                return;
            }
        }
        sleep(REST).await;
        if news.changed().await.is_err() {
            return;
        }
    }
}
