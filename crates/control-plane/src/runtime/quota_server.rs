//! Serves the quota requests of proxies over UDP. The crate `quota` makes the decisions.

use configuration::Bounds;
use protocol::{decode, encode, Message};
use quota::{Decision, FleetView, QuotaServer, QuotaSettings, RequestId, TenantLimit, TenantUse};
use replication::{SharedMirror, Snapshot};
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Time between two ticks, which refill buckets and drop silent proxies.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of ticks between two updates of the fleet view.
const TICKS_PER_FLEET_VIEW: u32 = 5;
/// Size of the receive buffer, and so the largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Value of `max_wait_ms` in a request that reports units that were used already, without asking for a grant.
const ALREADY_USED_MAX_WAIT_MS: u32 = u32::MAX;

/// The quotas that this member manages, shared with the status page.
pub(super) type SharedQuotas = Rc<RefCell<QuotaServer>>;

/// Creates the quotas of a member that doesn't know its fleet yet. An excess that isn't finite or is negative counts as
/// 0.
pub(super) fn new_quotas(member_id: u64, bounds: &Bounds) -> SharedQuotas {
    let excess = if bounds.quota_excess.is_finite() {
        bounds.quota_excess.max(0.0)
    } else {
        0.0
    };
    let settings = QuotaSettings { member_id, excess };
    Rc::new(RefCell::new(QuotaServer::new(Duration::ZERO, settings)))
}

/// Returns the tenants' usage of the quotas that this member manages.
pub(super) fn tenant_usage(quotas: &SharedQuotas) -> Vec<TenantUse> {
    quotas.borrow().uses()
}

/// Serves quota requests until the process ends. If `addr` can't be bound, it logs a warning and serves none; proxies
/// then use another member.
pub(super) async fn serve(
    addr: SocketAddrV4,
    member_id: u64,
    quotas: SharedQuotas,
    mirror: Arc<SharedMirror>,
) {
    let origin = Instant::now();
    let socket = match UdpSocket::bind(addr).await {
        Ok(socket) => socket,
        Err(error) => {
            log::warn!(addr:%, error:%; "cannot bind the quota socket; this member serves no quota requests");
            return;
        }
    };
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut ticks_until_view = 0;
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // A receive error refers to a reply that was sent earlier to a proxy that has ended.
                let Ok((length, sender)) = received else { continue };
                let reply = reply_to_datagram(&quotas, member_id, origin.elapsed(), &buffer[..length]);
                if let Some(reply) = reply {
                    send_reply(&socket, &reply, sender);
                }
            }
            _ = ticks.tick() => {
                let now = origin.elapsed();
                if ticks_until_view == 0 {
                    ticks_until_view = TICKS_PER_FLEET_VIEW;
                    quotas.borrow_mut().set_fleet(now, fleet_view(&mirror.snapshot()));
                }
                ticks_until_view -= 1;
                quotas.borrow_mut().tick(now);
            }
        }
    }
}

fn send_reply(socket: &UdpSocket, message: &Message, to: SocketAddr) {
    // A reply that can't be sent at once is dropped, like a lost datagram. The proxy retries.
    let _ = socket.try_send_to(&encode(message), to);
}

/// Handles a datagram and returns the reply. Returns `None` for datagrams that can't be decoded, unexpected messages
/// and requests with invalid numbers.
fn reply_to_datagram(
    quotas: &SharedQuotas,
    member_id: u64,
    now: Duration,
    datagram: &[u8],
) -> Option<Message> {
    let (message, _) = decode(datagram).ok()??;
    match message {
        Message::QuotaPresence {
            proxy,
            unused_ms,
            unreachable,
        } => {
            let unreachable = unreachable.into_iter().collect();
            let unused = Duration::from_millis(unused_ms.into());
            let mut quotas = quotas.borrow_mut();
            quotas.on_presence(now, proxy, unused, unreachable);
            Some(Message::QuotaPresenceReply { member: member_id })
        }
        Message::QuotaRequest {
            proxy,
            sequence,
            tenant,
            configuration_version,
            rate_per_s,
            burst_size,
            cost,
            max_wait_ms,
        } => {
            let amounts = [rate_per_s, burst_size, cost];
            if amounts.iter().any(|amount| !amount.is_finite()) || rate_per_s <= 0.0 {
                return None;
            }
            let limit = TenantLimit {
                configuration_version,
                limit: configuration::RateLimit {
                    rate_per_s,
                    burst_size: burst_size.max(0.0),
                },
            };
            let id = RequestId { proxy, sequence };
            let may_wait = max_wait_ms != ALREADY_USED_MAX_WAIT_MS;
            let max_wait = may_wait.then(|| Duration::from_millis(max_wait_ms.into()));
            let mut quotas = quotas.borrow_mut();
            let decision = quotas.on_request(now, id, &tenant, limit, cost, max_wait);
            let burst_left = quotas.burst_left(&tenant);
            Some(quota_reply(sequence, decision, burst_left))
        }
        _ => None,
    }
}

fn quota_reply(sequence: u64, decision: Decision, burst_left: f64) -> Message {
    let (granted, wait) = match decision {
        Decision::Granted { wait } => (true, wait),
        Decision::Refused { retry_after } => (false, retry_after),
    };
    // Rounded up, so that the bucket is no longer in debt when the wait ends.
    let wait_ms = wait.as_micros().div_ceil(1000);
    Message::QuotaReply {
        sequence,
        granted,
        wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
        burst_left_percent: (burst_left * 100.0) as u8,
    }
}

fn fleet_view(snapshot: &Snapshot) -> FleetView {
    let members = snapshot.control_plane.members.iter();
    let tenants = snapshot.configuration.tenant_items().iter();
    let version = snapshot.configuration.version;
    FleetView {
        members: members.map(|member| member.id).collect(),
        proxy_count: snapshot.coordinators.len(),
        tenants: tenants
            .filter_map(|tenant| {
                let limit = TenantLimit {
                    configuration_version: version,
                    limit: tenant.value.rate_limit()?,
                };
                Some((tenant.value.name.clone(), limit))
            })
            .collect(),
    }
}
