//! Requests quota decisions from the tenants' homes, or decides locally if none is reachable.

use configuration::{RateLimit, Tenant};
use protocol::Message;
use quota::{Decision, HomeDirectory, LocalQuota};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Timeouts for the first transmission of a request to a home and for its retransmission. Replies between zones take
/// some milliseconds.
const REPLY_TIMEOUTS: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(45)];
/// Maximum number of homes that are asked for one request.
const MAX_HOMES_PER_REQUEST: usize = 3;
/// Maximum time for which a request may be held until it is within the quota.
const MAX_WAIT: Duration = Duration::from_millis(50);
/// Value of `max_wait_ms` for units that have been used already.
const ALREADY_USED_MAX_WAIT_MS: u32 = u32::MAX;

/// A tenant's limit with the version of the configuration that it comes from.
#[derive(Clone, Copy)]
struct VersionedLimit {
    version: u64,
    limit: RateLimit,
}

/// A home's reply to a quota request.
#[derive(Clone, Copy, Debug)]
struct HomeReply {
    received_at: Duration,
    decision: Decision,
    /// Fraction of the burst that is available at the home, from 0 to 1.
    burst_left: f64,
}

/// Client for quota requests to the tenants' homes.
#[derive(Default)]
pub(crate) struct QuotaClient {
    /// Id of this proxy process; a restarted process has a new one.
    proxy: u64,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    directory: RefCell<HomeDirectory>,
    addresses: RefCell<HashMap<u64, SocketAddrV4>>,
    local: RefCell<LocalQuota>,
    /// Channels that receive the replies, by the request's sequence number.
    pending_replies: RefCell<HashMap<u64, oneshot::Sender<HomeReply>>>,
    next_sequence: Cell<u64>,
    proxy_count: Cell<usize>,
    configuration_version: Cell<u64>,
    /// Whether any tenant has a limit.
    has_limits: Cell<bool>,
    /// Whether this process has requested any quota.
    has_requested_quota: Cell<bool>,
}

/// Entry in `pending_replies`, removed when dropped.
struct PendingReplyGuard<'a> {
    client: &'a QuotaClient,
    sequence: u64,
}

impl Drop for PendingReplyGuard<'_> {
    fn drop(&mut self) {
        self.client
            .pending_replies
            .borrow_mut()
            .remove(&self.sequence);
    }
}

impl QuotaClient {
    /// Creates the client of the proxy process with this id. Until it has a socket, it decides locally.
    pub(crate) fn new(proxy: u64) -> Self {
        Self {
            proxy,
            ..Self::default()
        }
    }

    /// Sets the socket for requests and announcements.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>) {
        *self.socket.borrow_mut() = Some(socket);
    }

    /// Updates the members with their addresses, the number of proxies, and the tenants of the configuration.
    pub(crate) fn set_fleet<'a>(
        &self,
        members: &[(u64, SocketAddrV4)],
        proxy_count: usize,
        configuration_version: u64,
        tenants: impl Iterator<Item = &'a Tenant>,
    ) {
        let ids = members.iter().map(|(id, _)| *id).collect();
        self.directory.borrow_mut().set_members(ids);
        *self.addresses.borrow_mut() = members.iter().copied().collect();
        self.proxy_count.set(proxy_count);
        self.configuration_version.set(configuration_version);
        let limited = tenants.filter(|tenant| tenant.rate_limit().is_some());
        let names: BTreeSet<&str> = limited.map(|tenant| tenant.name.as_str()).collect();
        self.has_limits.set(!names.is_empty());
        self.directory.borrow_mut().retain_tenants(&names);
        self.local
            .borrow_mut()
            .retain_tenants(|name| names.contains(name));
    }

    /// Returns whether any tenant has a limit.
    pub(crate) fn has_limits(&self) -> bool {
        self.has_limits.get()
    }

    /// Requests `cost` units of a tenant's quota. `random` is uniformly distributed in [0, 1).
    pub(crate) async fn acquire(
        &self,
        now: Duration,
        tenant: &str,
        limit: RateLimit,
        cost: f64,
        random: f64,
    ) -> Decision {
        self.has_requested_quota.set(true);
        let versioned = self.versioned_limit(limit);
        for _ in 0..MAX_HOMES_PER_REQUEST {
            let Some(home) = self.directory.borrow_mut().home(tenant) else {
                break;
            };
            if let Some(reply) = self.request_decision(home, tenant, versioned, cost).await {
                let mut local = self.local.borrow_mut();
                local.on_home_reply(reply.received_at, tenant, reply.burst_left);
                return reply.decision;
            }
            if self.directory.borrow_mut().on_timeout(home) {
                log::info!(member = home; "quota home unreachable");
                // Checks the other members as well: if all are unreachable, requests would otherwise wait for each in
                // turn.
                self.begin_announcement_round(now);
            }
        }
        let proxies = self.proxy_count.get();
        let mut local = self.local.borrow_mut();
        local.take(now, tenant, limit, proxies, cost, random)
    }

    /// Reports to the home units that were used without a request for them, or as a negative cost units that were
    /// granted and not used. A lost report isn't retransmitted, as its error is limited to one request.
    pub(crate) fn report_usage(&self, tenant: &str, limit: RateLimit, cost: f64) {
        let Some(home) = self.directory.borrow_mut().home(tenant) else {
            return;
        };
        let sequence = self.next_sequence_number();
        let limit = self.versioned_limit(limit);
        let message = self.quota_request(sequence, tenant, limit, cost, ALREADY_USED_MAX_WAIT_MS);
        self.send(&message, home);
    }

    /// Sends a request to a home, with one retransmission; `None` if the home doesn't reply in time.
    async fn request_decision(
        &self,
        home: u64,
        tenant: &str,
        limit: VersionedLimit,
        cost: f64,
    ) -> Option<HomeReply> {
        let sequence = self.next_sequence_number();
        let max_wait_ms = MAX_WAIT.as_millis() as u32;
        let message = self.quota_request(sequence, tenant, limit, cost, max_wait_ms);
        let (sender, mut reply) = oneshot::channel();
        self.pending_replies.borrow_mut().insert(sequence, sender);
        let _pending_reply = PendingReplyGuard {
            client: self,
            sequence,
        };
        for reply_timeout in REPLY_TIMEOUTS {
            self.send(&message, home);
            if let Ok(Ok(reply)) = timeout(reply_timeout, &mut reply).await {
                return Some(reply);
            }
        }
        None
    }

    fn quota_request(
        &self,
        sequence: u64,
        tenant: &str,
        versioned: VersionedLimit,
        cost: f64,
        max_wait_ms: u32,
    ) -> Message {
        Message::QuotaRequest {
            proxy: self.proxy,
            sequence,
            tenant: tenant.to_owned(),
            configuration_version: versioned.version,
            rate_per_s: versioned.limit.rate_per_s,
            burst_size: versioned.limit.burst_size,
            cost,
            max_wait_ms,
        }
    }

    /// Begins a round of announcements to all members, and counts the replies that are missing from earlier rounds.
    pub(super) fn begin_announcement_round(&self, now: Duration) {
        self.directory.borrow_mut().begin_announcement_round();
        self.announce(now);
    }

    /// Announces to all members that this proxy is present, and which of them it can't reach.
    fn announce(&self, now: Duration) {
        let message = Message::QuotaPresence {
            proxy: self.proxy,
            unused_ms: self.unused_ms(now),
            unreachable: self.directory.borrow().unreachable(),
        };
        let members: Vec<u64> = self.addresses.borrow().keys().copied().collect();
        for member in members {
            self.send(&message, member);
        }
    }

    /// Returns the time for which this process has run without requesting any quota, in milliseconds; 0 once it has.
    fn unused_ms(&self, now: Duration) -> u32 {
        if self.has_requested_quota.get() {
            return 0;
        }
        u32::try_from(now.as_millis()).unwrap_or(u32::MAX)
    }

    /// Handles a message from a member. Returns whether its kind is one that members send to proxies.
    pub(super) fn on_message(&self, now: Duration, message: Message) -> bool {
        match message {
            Message::QuotaReply {
                sequence,
                granted,
                wait_ms,
                burst_left_percent,
            } => {
                let wait = Duration::from_millis(wait_ms.into());
                let decision = if granted {
                    Decision::Granted { wait }
                } else {
                    Decision::Refused { retry_after: wait }
                };
                let reply = HomeReply {
                    received_at: now,
                    decision,
                    burst_left: f64::from(burst_left_percent) / 100.0,
                };
                if let Some(reply_sender) = self.pending_replies.borrow_mut().remove(&sequence) {
                    // Fails if the request has timed out meanwhile.
                    let _ = reply_sender.send(reply);
                }
            }
            Message::QuotaPresenceReply { member } => {
                if self.directory.borrow_mut().on_reply(member) {
                    log::info!(member; "quota home reached again");
                    self.announce(now);
                }
            }
            _ => return false,
        }
        true
    }

    fn send(&self, message: &Message, member: u64) {
        let address = self.addresses.borrow().get(&member).copied();
        let socket = self.socket.borrow();
        if let (Some(socket), Some(address)) = (socket.as_ref(), address) {
            // A datagram that can't be sent immediately is dropped, like one that is lost on the network.
            let _ = socket.try_send_to(&protocol::encode(message), SocketAddr::V4(address));
        }
    }

    fn next_sequence_number(&self) -> u64 {
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence.wrapping_add(1));
        sequence
    }

    fn versioned_limit(&self, limit: RateLimit) -> VersionedLimit {
        VersionedLimit {
            version: self.configuration_version.get(),
            limit,
        }
    }
}
