//! DNS-SD (RFC 6763) as a source of the host list: PTR records name the instances of a service, SRV records hold their
//! addresses, and TXT records their cell, zone and phase. A record is valid for its TTL; one with a TTL of 0 is a
//! goodbye (RFC 6762, section 10.1) and expires after one second.

use crate::core::{CoreMessage, Endpoint};
use crate::counters::Counters;
use crate::interface::{ListKind, ServerState};
use hickory_proto::op::{Message, MessageType, Query};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Time for which a record stays valid after its goodbye.
const GOODBYE_DELAY: Duration = Duration::from_secs(1);
/// Share of a record's TTL after which it is queried again.
const REFRESH_SHARE: f64 = 0.8;
/// Longest time for which a record is valid, whatever its TTL.
const MAX_TTL: Duration = Duration::from_secs(75 * 60);
/// First and longest interval between questions without an answer.
const BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));
/// Largest number of records held, so that a faulty responder can't exhaust memory.
const MAX_RECORDS: usize = 4096;
/// Largest message accepted, in bytes (RFC 6762, section 17).
const MAX_MESSAGE_BYTES: usize = 9000;

/// The name and type that a question asks for.
type QuestionKey = (Name, RecordType);

struct CachedRecord {
    data: RData,
    expires_at: Instant,
    refresh_at: Instant,
}

struct PendingQuestion {
    next: Instant,
    wait: Duration,
}

/// The cache of known records, which also decides the questions to ask. Does no I/O.
pub struct RecordCache {
    service: Name,
    records: BTreeMap<QuestionKey, Vec<CachedRecord>>,
    asked: BTreeMap<QuestionKey, PendingQuestion>,
}

impl RecordCache {
    /// Creates an empty cache for a service.
    pub fn new(service: Name) -> Self {
        Self {
            service: service.to_lowercase(),
            records: BTreeMap::new(),
            asked: BTreeMap::new(),
        }
    }

    /// Adds the records of a response. Returns whether it had any relevant ones.
    pub fn add_response(&mut self, message: &Message, now: Instant) -> bool {
        if message.metadata.message_type != MessageType::Response {
            return false;
        }
        let mut fresh: BTreeSet<QuestionKey> = BTreeSet::new();
        for r in message.answers.iter().chain(&message.additionals) {
            self.record(r, &mut fresh, now);
        }
        !fresh.is_empty()
    }

    fn record(&mut self, r: &Record, fresh: &mut BTreeSet<QuestionKey>, now: Instant) {
        let kind = r.data.record_type();
        let wanted = matches!(
            kind,
            RecordType::PTR | RecordType::SRV | RecordType::TXT | RecordType::A
        );
        let name = r.name.to_lowercase();
        if !wanted
            || r.dns_class != DNSClass::IN
            || (kind == RecordType::PTR && name != self.service)
        {
            return;
        }
        let key = (name, kind);
        let count: usize = self.records.values().map(Vec::len).sum();
        let set = self.records.entry(key.clone()).or_default();
        if r.ttl == 0 {
            for held in set.iter_mut().filter(|h| h.data == r.data) {
                held.expires_at = held.expires_at.min(now + GOODBYE_DELAY);
                // A record is not queried again after its goodbye.
                held.refresh_at = held.expires_at;
            }
            fresh.insert(key);
            return;
        }
        // Except for PTR, each record set has one owner, so that a new set replaces the old one.
        if kind != RecordType::PTR && fresh.insert(key.clone()) {
            set.clear();
        }
        fresh.insert(key.clone());
        set.retain(|h| h.data != r.data);
        if count < MAX_RECORDS {
            let ttl = Duration::from_secs(r.ttl.into()).min(MAX_TTL);
            set.push(CachedRecord {
                data: r.data.clone(),
                expires_at: now + ttl,
                refresh_at: now + ttl.mul_f64(REFRESH_SHARE),
            });
        }
        self.asked.remove(&key);
    }

    /// Removes the records that have expired.
    pub fn expire(&mut self, now: Instant) {
        for set in self.records.values_mut() {
            set.retain(|h| h.expires_at > now);
        }
        self.records.retain(|_, set| !set.is_empty());
    }

    fn get(&self, name: &Name, kind: RecordType) -> &[CachedRecord] {
        self.records
            .get(&(name.to_lowercase(), kind))
            .map_or(&[], Vec::as_slice)
    }

    fn instances(&self) -> impl Iterator<Item = &Name> {
        self.get(&self.service, RecordType::PTR)
            .iter()
            .filter_map(|h| match &h.data {
                RData::PTR(ptr) => Some(&ptr.0),
                _ => None,
            })
    }

    fn target(&self, instance: &Name) -> Option<(&Name, u16)> {
        let srv = self
            .get(instance, RecordType::SRV)
            .iter()
            .filter_map(|h| match &h.data {
                RData::SRV(srv) => Some(srv),
                _ => None,
            });
        srv.min_by_key(|s| s.priority).map(|s| (&s.target, s.port))
    }

    /// Returns the host of an instance, once all its records are known.
    fn host(&self, instance: &Name) -> Option<Endpoint> {
        let (target, port) = self.target(instance)?;
        let ip = self
            .get(target, RecordType::A)
            .iter()
            .find_map(|h| match &h.data {
                RData::A(a) => Some(a.0),
                _ => None,
            })?;
        let txt = self
            .get(instance, RecordType::TXT)
            .iter()
            .find_map(|h| match &h.data {
                RData::TXT(txt) => Some(txt),
                _ => None,
            })?;
        let mut keys = BTreeMap::new();
        for pair in txt
            .txt_data
            .iter()
            .filter_map(|t| std::str::from_utf8(t).ok())
        {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            // The first of several values of a key is valid (RFC 6763, section 6.4).
            keys.entry(key.to_ascii_lowercase()).or_insert(value);
        }
        let label = || {
            instance
                .iter()
                .next()
                .map(|l| String::from_utf8_lossy(l).into_owned())
        };
        Some(Endpoint {
            id: keys.get("id").map(|id| (*id).to_owned()).or_else(label)?,
            addr: format!("{ip}:{port}"),
            zone: keys.get("zone").copied().unwrap_or_default().to_owned(),
            cell: keys.get("cell")?.parse().ok()?,
            state: match keys.get("phase").copied().unwrap_or("Ready") {
                "Ready" => ServerState::Ready,
                _ => ServerState::Draining,
            },
            up_since_ms: keys
                .get("up_since_ms")
                .and_then(|t| t.parse().ok())
                .unwrap_or(0),
        })
    }

    /// Returns the hosts of which all records are known, sorted by id.
    pub fn hosts(&self) -> Vec<Endpoint> {
        let mut hosts: Vec<Endpoint> = self.instances().filter_map(|i| self.host(i)).collect();
        hosts.sort_by(|a, b| a.id.cmp(&b.id));
        hosts.dedup_by(|a, b| a.id == b.id);
        hosts
    }

    fn wanted(&self) -> Vec<QuestionKey> {
        let mut keys = vec![(self.service.clone(), RecordType::PTR)];
        for i in self.instances() {
            keys.extend([(i.clone(), RecordType::SRV), (i.clone(), RecordType::TXT)]);
            keys.extend(
                self.target(i)
                    .map(|(target, _)| (target.clone(), RecordType::A)),
            );
        }
        keys
    }

    /// Returns when a question for this key is due: at once if no record is known, else some time before it expires.
    fn due(&self, key: &QuestionKey, now: Instant) -> Instant {
        let held = self.get(&key.0, key.1);
        // Records after their goodbye have a refresh time equal to their end, and need no question.
        let live = held
            .iter()
            .filter(|h| h.refresh_at < h.expires_at)
            .map(|h| h.refresh_at)
            .min();
        let due = live.unwrap_or(if held.is_empty() {
            now
        } else {
            held[0].expires_at
        });
        self.asked.get(key).map_or(due, |a| due.max(a.next))
    }

    /// Returns the questions that are due, and marks them as asked now.
    pub fn questions(&mut self, now: Instant) -> Vec<QuestionKey> {
        let wanted = self.wanted();
        self.asked.retain(|k, _| wanted.contains(k));
        let due: Vec<QuestionKey> = wanted
            .into_iter()
            .filter(|k| self.due(k, now) <= now)
            .collect();
        for key in &due {
            let wait = self
                .asked
                .get(key)
                .map_or(BACKOFF.0, |a| (a.wait * 2).min(BACKOFF.1));
            self.asked.insert(
                key.clone(),
                PendingQuestion {
                    next: now + wait,
                    wait,
                },
            );
        }
        due
    }

    /// Returns the time at which a record expires or a question is due next.
    pub fn next(&self, now: Instant) -> Instant {
        let ends = self.records.values().flatten().map(|h| h.expires_at);
        let questions = self
            .wanted()
            .into_iter()
            .map(|k| self.due(&k, now))
            .collect::<Vec<_>>();
        ends.chain(questions).min().unwrap_or(now + BACKOFF.1)
    }
}

/// The host list actor that browses DNS-SD.
pub struct Browser {
    /// The address of the responder that is queried.
    pub responder: String,
    /// The name of the service.
    pub service: Name,
    /// The mailbox of the core, which receives the list.
    pub core: mpsc::UnboundedSender<CoreMessage>,
    /// The process's counters.
    pub counters: Counters,
}

impl Browser {
    /// Browses forever, and starts again after a socket error.
    pub async fn run(self) {
        loop {
            if let Err(e) = self.browse().await {
                self.counters.inc("list.ended");
                log::info!(source = self.responder, end = "io_error", detail:% = e; "list");
            }
            tokio::time::sleep(BACKOFF.0).await;
        }
    }

    async fn browse(&self) -> std::io::Result<()> {
        // The responder is on this machine; a connected socket accepts packets from it alone.
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        socket.connect(&self.responder).await?;
        let mut cache = RecordCache::new(self.service.clone());
        let (mut last_sent, mut has_response) = (None, false);
        let mut buffer = vec![0; MAX_MESSAGE_BYTES];
        loop {
            let now = Instant::now();
            cache.expire(now);
            let hosts = cache.hosts();
            // Before the first response, the last known list stays valid.
            if has_response && last_sent.as_ref() != Some(&hosts) {
                let _ = self
                    .core
                    .send(CoreMessage::HostList(ListKind::Full, hosts.clone()));
                last_sent = Some(hosts);
            }
            for (name, kind) in cache.questions(now) {
                let mut question = Message::query();
                question.add_query(Query::query(name, kind));
                if let Ok(bytes) = question.to_vec() {
                    self.counters.inc("list.questions");
                    // The packet is refused while the responder is down; the question is asked again later.
                    let _ = socket.send(&bytes).await;
                }
            }
            let next =
                tokio::time::Instant::from_std(cache.next(now).max(now + Duration::from_millis(5)));
            tokio::select! {
                got = socket.recv(&mut buffer) => match got {
                    Ok(n) => match Message::from_vec(&buffer[..n]) {
                        Ok(message) => has_response |= cache.add_response(&message, Instant::now()),
                        Err(e) => {
                            self.counters.inc("list.bad_messages");
                            log::warn!("list: ignored a malformed DNS message: {e}");
                        }
                    },
                    Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                    Err(e) => return Err(e),
                },
                _ = tokio::time::sleep_until(next) => {}
            }
        }
    }
}
