//! What hosts and coordinators tell this member: its own source, numbered by itself. No I/O and no clock.

use crate::incarnation;
use configuration::ResultCode;
use protocol::{
    Addr, CoordinatorRecord, HostRecord, MemberInfo, OriginUpdate, OriginVersion, Subscriber,
};
use replication::phase;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long a record that is over is kept.
const KEEP_GONE: Duration = Duration::from_secs(60);
/// A coordinator that has not pulled for this long is gone.
const PULL_SILENCE: Duration = Duration::from_secs(3);
/// Slack of a heartbeat, beyond two and a half periods.
const BEAT_SLACK: Duration = Duration::from_millis(200);

/// What a heartbeat says.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The host's service.
    pub service: String,
    /// Where it takes requests.
    pub addr: Addr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub capacity: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it is slow from its start, in ms.
    pub cold_left_ms: u32,
    /// Number of the call, rising.
    pub call_seq: u64,
}

/// A host's call, to be run elsewhere.
#[derive(Clone, Debug, PartialEq)]
pub enum HostRequest {
    /// The host is there.
    Heartbeat {
        /// Its identity.
        host: String,
        /// What it says.
        beat: Heartbeat,
    },
    /// The host ends.
    Depart {
        /// Its identity.
        host: String,
    },
}

#[derive(Deserialize)]
struct HeartbeatBody {
    service: String,
    address: SocketAddrV4,
    #[serde(default)]
    zone: String,
    capacity: u32,
    phase: Phase,
    #[serde(default)]
    cold_left_ms: f64,
    call_seq: u64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Phase {
    Ready,
    Draining,
}

impl HostRequest {
    /// Reads a call from its path and body.
    ///
    /// # Errors
    /// [`ResultCode::NoSuchCall`] where the path is no host's call, [`ResultCode::Unreadable`] where it names no host or
    /// the body doesn't say what the call needs.
    pub fn decode(path: &str, body: &[u8]) -> Result<HostRequest, ResultCode> {
        let call = path
            .strip_prefix("/fennelpin/")
            .ok_or(ResultCode::NoSuchCall)?;
        let (call, host) = call.split_once('/').ok_or(ResultCode::NoSuchCall)?;
        let host = match host {
            "" => Err(ResultCode::Unreadable),
            _ if host.contains(['/', '?']) || host.len() > 256 => Err(ResultCode::Unreadable),
            _ => Ok(host.to_owned()),
        };
        match call {
            "Hosts.Heartbeat" => {
                let host = host?;
                let body: HeartbeatBody =
                    serde_json::from_slice(body).map_err(|_| ResultCode::Unreadable)?;
                if body.service.is_empty() {
                    return Err(ResultCode::Unreadable);
                }
                let beat = Heartbeat {
                    service: body.service,
                    addr: body.address.into(),
                    zone: body.zone,
                    capacity: body.capacity,
                    draining: body.phase == Phase::Draining,
                    cold_left_ms: body.cold_left_ms as u32,
                    call_seq: body.call_seq,
                };
                Ok(HostRequest::Heartbeat { host, beat })
            }
            "Hosts.Depart" => Ok(HostRequest::Depart { host: host? }),
            _ => Err(ResultCode::NoSuchCall),
        }
    }

    /// The host that calls.
    pub fn host(&self) -> &str {
        match self {
            HostRequest::Heartbeat { host, .. } | HostRequest::Depart { host } => host,
        }
    }

    /// Whether the host says that it is leaving or gone.
    pub fn leaves(&self) -> bool {
        match self {
            HostRequest::Heartbeat { beat, .. } => beat.draining,
            HostRequest::Depart { .. } => true,
        }
    }
}

struct Host {
    /// As the source shows it; its `call_seq` is that of the last call which changed it.
    shown: HostRecord,
    /// Number of the latest call.
    latest: u64,
    /// When that came.
    at: Duration,
    /// Since when it is gone, silent or forgotten.
    over: Option<Duration>,
}

struct Coordinator {
    shown: CoordinatorRecord,
    at: Duration,
}

/// This member's own source.
pub struct HostRegistry {
    mark: OriginVersion,
    silence: Duration,
    hosts: HashMap<String, Host>,
    coordinators: BTreeMap<String, Coordinator>,
    /// Whether all has to be told, not only what changed.
    untold: bool,
    changed_hosts: BTreeSet<String>,
    changed_coordinators: BTreeSet<String>,
}

impl HostRegistry {
    /// An empty one for a life of member `id`; `beat` is the time between a host's heartbeats. A life has a
    /// higher number than those before.
    pub fn new(id: u64, life: u64, beat: Duration) -> Self {
        Self {
            mark: OriginVersion {
                member_id: id,
                incarnation: life,
                sequence: 0,
            },
            silence: beat * 5 / 2 + BEAT_SLACK,
            hosts: HashMap::new(),
            coordinators: BTreeMap::new(),
            untold: true,
            changed_hosts: BTreeSet::new(),
            changed_coordinators: BTreeSet::new(),
        }
    }

    /// How far the source goes.
    pub fn mark(&self) -> OriginVersion {
        self.mark
    }

    /// Others know a life of this member with a higher number, and would take this one's records for older: it goes
    /// on under a number above that, and everything is told anew.
    pub fn follow_life(&mut self, later: u64) {
        let next = incarnation::next_incarnation(later, 0, self.mark.incarnation);
        if next <= later {
            return;
        }
        self.mark.incarnation = next;
        self.untold = true;
        self.changed_hosts = self.hosts.keys().cloned().collect();
        self.changed_coordinators = self.coordinators.keys().cloned().collect();
    }

    fn host_changed(&mut self, host: &str) {
        self.mark.sequence += 1;
        self.changed_hosts.insert(host.to_owned());
    }

    /// A host calls; `elsewhere` is what other sources have of it. A call that is older than the latest is
    /// passed over. True where something changed.
    pub fn call(
        &mut self,
        now: Duration,
        call: &HostRequest,
        elsewhere: Option<&HostRecord>,
    ) -> bool {
        match call {
            HostRequest::Heartbeat { host, beat } => self.beat(now, host, beat, elsewhere),
            HostRequest::Depart { host } => self.depart(now, host, elsewhere),
        }
    }

    /// A heartbeat; see [`HostRegistry::call`].
    pub fn beat(
        &mut self,
        now: Duration,
        host: &str,
        beat: &Heartbeat,
        elsewhere: Option<&HostRecord>,
    ) -> bool {
        let known = self.hosts.get_mut(host);
        if known.as_ref().is_some_and(|h| beat.call_seq <= h.latest) {
            return false;
        }
        // What others know counts too: who is gone stays gone.
        let before = known.as_ref().map_or(phase::READY, |h| {
            if h.shown.phase <= phase::GONE {
                h.shown.phase
            } else {
                0
            }
        });
        let before = before.max(elsewhere.map_or(phase::READY, |r| r.phase));
        let record = HostRecord {
            id: host.to_owned(),
            service: beat.service.clone(),
            addr: beat.addr,
            zone: beat.zone.clone(),
            capacity: beat.capacity,
            phase: before.max(u8::from(beat.draining)),
            heartbeat_expired: false,
            call_seq: beat.call_seq,
            slow_start_remaining_ms: beat.cold_left_ms,
        };
        let over = (record.phase >= phase::GONE).then_some(now);
        if let Some(known) = known {
            (known.latest, known.at) = (beat.call_seq, now);
            let outdone = elsewhere.is_some_and(|r| r.call_seq >= known.shown.call_seq);
            if !outdone && same(&known.shown, &record) {
                return false;
            }
            known.over = over.map(|now| known.over.unwrap_or(now));
            known.shown = record;
        } else {
            let new = Host {
                shown: record,
                latest: beat.call_seq,
                at: now,
                over,
            };
            self.hosts.insert(host.to_owned(), new);
        }
        self.host_changed(host);
        true
    }

    /// A host ends; see [`HostRegistry::call`].
    pub fn depart(&mut self, now: Duration, host: &str, elsewhere: Option<&HostRecord>) -> bool {
        let known = self
            .hosts
            .get(host)
            .filter(|h| h.shown.phase != phase::FORGOTTEN);
        if known.is_some_and(|h| h.shown.phase == phase::GONE) {
            return false;
        }
        let latest = known
            .map_or(0, |h| h.latest)
            .max(elsewhere.map_or(0, |r| r.call_seq));
        let mut shown = known
            .map(|h| &h.shown)
            .or(elsewhere)
            .cloned()
            .unwrap_or_default();
        shown.id = host.to_owned();
        shown.phase = phase::GONE;
        shown.call_seq = latest + 1;
        self.hosts.insert(
            host.to_owned(),
            Host {
                shown,
                latest: latest + 1,
                at: now,
                over: Some(now),
            },
        );
        self.host_changed(host);
        true
    }

    /// A coordinator or another member pulls. True where something changed.
    pub fn pulled(&mut self, now: Duration, caller: &Subscriber) -> bool {
        if caller.member_id != 0 || caller.name.is_empty() {
            return false;
        }
        let shown = CoordinatorRecord {
            name: caller.name.clone(),
            zone: caller.zone.clone(),
            region: caller.region.clone(),
            hints_addr: caller.hints_addr,
            gone: false,
            configuration_version: caller.configuration_version,
        };
        let place = |r: &CoordinatorRecord| (r.zone.clone(), r.region.clone(), r.hints_addr);
        let here = place(&shown);
        let known = self
            .coordinators
            .insert(caller.name.clone(), Coordinator { shown, at: now });
        // Its version alone is no news: all of them would be told of each other at each configuration.
        if known.is_some_and(|k| !k.shown.gone && place(&k.shown) == here) {
            return false;
        }
        self.mark.sequence += 1;
        self.changed_coordinators.insert(caller.name.clone());
        true
    }

    /// Notes what is silent or long gone; `elsewhere` tells the highest `call_seq` that other sources have
    /// of a host. True where something changed.
    pub fn tick(&mut self, now: Duration, elsewhere: impl Fn(&str) -> Option<u64>) -> bool {
        let before = self.mark.sequence;
        let mut changed = Vec::new();
        let silence = self.silence;
        self.hosts.retain(|id, host| {
            if host.over.is_some_and(|at| now >= at + KEEP_GONE) {
                // A mirror forgets a host that is gone by itself.
                if host.shown.phase >= phase::GONE {
                    return false;
                }
                (host.shown.phase, host.over) = (phase::FORGOTTEN, Some(now));
                changed.push(id.clone());
            } else if host.shown.phase < phase::GONE && now >= host.at + silence {
                if elsewhere(id).is_some_and(|seq| seq > host.shown.call_seq) {
                    (host.shown.phase, host.over) = (phase::FORGOTTEN, Some(now));
                    changed.push(id.clone());
                } else if !host.shown.heartbeat_expired {
                    host.shown.heartbeat_expired = true;
                    host.over = Some(now);
                    changed.push(id.clone());
                }
            }
            true
        });
        for id in changed {
            self.host_changed(&id);
        }
        let (mark, gone) = (&mut self.mark, &mut self.changed_coordinators);
        self.coordinators.retain(|name, coordinator| {
            if !coordinator.shown.gone && now >= coordinator.at + PULL_SILENCE {
                coordinator.shown.gone = true;
                mark.sequence += 1;
                gone.insert(name.clone());
            }
            now < coordinator.at + KEEP_GONE
        });
        self.mark.sequence != before
    }

    /// What changed since this was last asked for; the first time all.
    pub fn take_news(&mut self) -> Option<OriginUpdate> {
        if !self.untold && self.changed_hosts.is_empty() && self.changed_coordinators.is_empty() {
            return None;
        }
        let whole = std::mem::take(&mut self.untold);
        if whole {
            // A source that has said nothing yet is known by its number.
            self.mark.sequence = self.mark.sequence.max(1);
        }
        let hosts = std::mem::take(&mut self.changed_hosts);
        let coordinators = std::mem::take(&mut self.changed_coordinators);
        Some(OriginUpdate {
            version: self.mark,
            complete: whole,
            hosts: hosts
                .iter()
                .filter_map(|id| self.hosts.get(id))
                .map(|h| h.shown.clone())
                .collect(),
            coordinators: coordinators
                .iter()
                .filter_map(|name| self.coordinators.get(name))
                .map(|c| c.shown.clone())
                .collect(),
        })
    }

    /// What coordinators that pull here say of themselves, with the version each has in force.
    pub fn coordinators(&self) -> impl Iterator<Item = &CoordinatorRecord> {
        self.coordinators
            .values()
            .map(|c| &c.shown)
            .filter(|c| !c.gone)
    }

    /// The same with those that have stopped pulling lately, and when each pulled last.
    pub fn all_coordinators(&self) -> impl Iterator<Item = (&CoordinatorRecord, Duration)> {
        self.coordinators.values().map(|c| (&c.shown, c.at))
    }
}

/// Whether two records of a host tell others the same.
fn same(a: &HostRecord, b: &HostRecord) -> bool {
    a.service == b.service
        && a.addr == b.addr
        && a.zone == b.zone
        && a.capacity == b.capacity
        && a.phase == b.phase
        && a.heartbeat_expired == b.heartbeat_expired
        && (a.slow_start_remaining_ms == 0) == (b.slow_start_remaining_ms == 0)
}

/// The member that a host's later heartbeats should go to, where that isn't `me`: by rendezvous hashing over
/// the members that live.
pub fn heartbeat_target<'a>(host: &str, me: u64, live: &'a [MemberInfo]) -> Option<&'a MemberInfo> {
    let best = live
        .iter()
        .max_by_key(|s| (replication::weight(host, &s.id.to_be_bytes()), s.id))?;
    (best.id != me).then_some(best)
}
