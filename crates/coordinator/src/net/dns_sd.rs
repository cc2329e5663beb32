//! DNS-SD (RFC 6763) as a source of the host list: PTR records name the instances of a service, SRV
//! says where each listens, TXT carries its cell, zone and phase. A record counts for as long as its
//! TTL says; one with a TTL of 0 is a goodbye (RFC 6762, 10.1) and goes a second later.

use crate::core::{CoreMessage, Endpoint};
use crate::counters::Counters;
use crate::interface::{ListKind, ServerState};
use hickory_proto::op::{Message, MessageType, Query};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Time for which a record that was taken back still counts.
const GOODBYE_DELAY: Duration = Duration::from_secs(1);
/// Share of a record's time after which it is asked for again.
const REFRESH_SHARE: f64 = 0.8;
/// Longest time that any record is believed.
const MAX_TTL: Duration = Duration::from_secs(75 * 60);
/// Between questions that bring no answer.
const BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));
/// Records held at most: no responder's mistake may fill the memory.
const MAX_RECORDS: usize = 4096;
/// Largest message that is taken, as RFC 6762 has it.
const MAX_MESSAGE_BYTES: usize = 9000;

/// A name and a type: what a question asks for.
type Key = (Name, RecordType);

struct CachedRecord {
    data: RData,
    until: Instant,
    refresh: Instant,
}

struct PendingQuestion {
    next: Instant,
    wait: Duration,
}

/// The records known so far, and what has to be asked. Sans-I/O.
pub struct Cache {
    service: Name,
    records: BTreeMap<Key, Vec<CachedRecord>>,
    asked: BTreeMap<Key, PendingQuestion>,
}

impl Cache {
    /// Nothing known of this service yet.
    pub fn new(service: Name) -> Self {
        Self {
            service: service.to_lowercase(),
            records: BTreeMap::new(),
            asked: BTreeMap::new(),
        }
    }

    /// Takes a response; true if it held anything of use.
    pub fn take(&mut self, message: &Message, now: Instant) -> bool {
        if message.metadata.message_type != MessageType::Response {
            return false;
        }
        let mut fresh: BTreeSet<Key> = BTreeSet::new();
        for r in message.answers.iter().chain(&message.additionals) {
            self.record(r, &mut fresh, now);
        }
        !fresh.is_empty()
    }

    fn record(&mut self, r: &Record, fresh: &mut BTreeSet<Key>, now: Instant) {
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
                held.until = held.until.min(now + GOODBYE_DELAY);
                // A goodbye is not asked about again.
                held.refresh = held.until;
            }
            fresh.insert(key);
            return;
        }
        // All but the instances' names are unique to their owner: what is new takes the old ones' place.
        if kind != RecordType::PTR && fresh.insert(key.clone()) {
            set.clear();
        }
        fresh.insert(key.clone());
        set.retain(|h| h.data != r.data);
        if count < MAX_RECORDS {
            let ttl = Duration::from_secs(r.ttl.into()).min(MAX_TTL);
            set.push(CachedRecord {
                data: r.data.clone(),
                until: now + ttl,
                refresh: now + ttl.mul_f64(REFRESH_SHARE),
            });
        }
        self.asked.remove(&key);
    }

    /// Drops what has run out.
    pub fn expire(&mut self, now: Instant) {
        for set in self.records.values_mut() {
            set.retain(|h| h.until > now);
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

    /// A host is listed once all its records are in.
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
            // Of a key that comes twice the first counts (RFC 6763, 6.4).
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

    /// All hosts that are known whole.
    pub fn hosts(&self) -> Vec<Endpoint> {
        let mut hosts: Vec<Endpoint> = self.instances().filter_map(|i| self.host(i)).collect();
        hosts.sort_by(|a, b| a.id.cmp(&b.id));
        hosts.dedup_by(|a, b| a.id == b.id);
        hosts
    }

    fn wanted(&self) -> Vec<Key> {
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

    /// When a question about this is due: at once if nothing is known, else some time before it runs out.
    fn due(&self, key: &Key, now: Instant) -> Instant {
        let held = self.get(&key.0, key.1);
        // Its refresh, not its end: records on their way out need no question.
        let live = held
            .iter()
            .filter(|h| h.refresh < h.until)
            .map(|h| h.refresh)
            .min();
        let due = live.unwrap_or(if held.is_empty() { now } else { held[0].until });
        self.asked.get(key).map_or(due, |a| due.max(a.next))
    }

    /// The questions that are due, each counted as asked now.
    pub fn questions(&mut self, now: Instant) -> Vec<Key> {
        let wanted = self.wanted();
        self.asked.retain(|k, _| wanted.contains(k));
        let due: Vec<Key> = wanted
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

    /// When there is something to do next.
    pub fn next(&self, now: Instant) -> Instant {
        let ends = self.records.values().flatten().map(|h| h.until);
        let questions = self
            .wanted()
            .into_iter()
            .map(|k| self.due(&k, now))
            .collect::<Vec<_>>();
        ends.chain(questions).min().unwrap_or(now + BACKOFF.1)
    }
}

/// The list actor over DNS-SD.
pub struct Browser {
    /// Who is asked.
    pub responder: String,
    /// The service's name.
    pub service: Name,
    /// The core's mailbox.
    pub core: mpsc::UnboundedSender<CoreMessage>,
    /// The counters.
    pub counters: Counters,
}

impl Browser {
    /// Browses for ever.
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
        // All that is spoken to is on this machine; the connected socket takes packets from there alone.
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        socket.connect(&self.responder).await?;
        let mut cache = Cache::new(self.service.clone());
        let (mut told, mut heard) = (None, false);
        let mut buffer = vec![0; MAX_MESSAGE_BYTES];
        loop {
            let now = Instant::now();
            cache.expire(now);
            let hosts = cache.hosts();
            // Until something was heard, the list as last known stands.
            if heard && told.as_ref() != Some(&hosts) {
                let _ = self
                    .core
                    .send(CoreMessage::HostList(ListKind::Full, hosts.clone()));
                told = Some(hosts);
            }
            for (name, kind) in cache.questions(now) {
                let mut question = Message::query();
                question.add_query(Query::query(name, kind));
                if let Ok(bytes) = question.to_vec() {
                    self.counters.inc("list.questions");
                    // A responder that is away refuses the packet; it is asked again in time.
                    let _ = socket.send(&bytes).await;
                }
            }
            let next =
                tokio::time::Instant::from_std(cache.next(now).max(now + Duration::from_millis(5)));
            tokio::select! {
                got = socket.recv(&mut buffer) => match got {
                    Ok(n) => match Message::from_vec(&buffer[..n]) {
                        Ok(message) => heard |= cache.take(&message, Instant::now()),
                        Err(e) => {
                            self.counters.inc("list.bad_messages");
                            log::warn!("list: a DNS message that can't be read: {e}");
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
