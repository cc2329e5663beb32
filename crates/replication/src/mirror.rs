//! What the control plane says, as far as this process knows it.

use crate::news::{News, Pull};
use crate::phase;
use configuration::{Delta, Document};
use protocol::{Addr, Caller, ConfigNews, CoordinatorRecord, Fleet, HostRecord, Mark, SourceNews};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Documents kept to tell what changed since.
const HISTORY: usize = 32;
/// Bytes of JSON of the items that differ between them; the one in force is kept whatever its length.
const MAX_HISTORY_BYTES: usize = 4 << 20;
/// Changes of the drains kept, for each document kept.
const DRAIN_CHANGES: usize = 8;
/// How long tombstones and gone records are kept.
const TOMBSTONE: Duration = Duration::from_secs(60);
/// How many beat periods a source that is no more keeps its hosts.
const CLOSING_BEATS: u32 = 4;
/// Fleets of one epoch, told apart in the low bits of the mark.
const MARK_BITS: u32 = 16;

/// A record with what is needed to hand it on.
#[derive(Clone)]
struct Kept<T> {
    record: T,
    /// Number of the source's change that brought it, or a later one.
    seq: u64,
    /// Since when it is gone or a tombstone.
    over: Option<Duration>,
}

/// A document that was in force, or is.
#[derive(Clone)]
struct PastDocument {
    document: Arc<Document>,
    /// Bytes of its items that the one before doesn't have.
    bytes: usize,
}

/// What a change of the ledger, or several, did to the drains.
#[derive(Clone)]
struct DrainChange {
    /// Number of the change that it leads to.
    seq: u64,
    added: Vec<String>,
    gone: Vec<String>,
}

/// One life of a source.
#[derive(Clone, Default)]
struct Source {
    seq: u64,
    /// Whoever has less than this is told all: what went since isn't known any more.
    floor: u64,
    /// Since when this life is over: the member has a new one, or was retired.
    closing: Option<Duration>,
    hosts: HashMap<String, Kept<HostRecord>>,
    coordinators: BTreeMap<String, Kept<CoordinatorRecord>>,
}

/// The merged truth at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Number of the ledger's last change.
    pub ledger: u64,
    /// The configuration; version 0 where none has come yet.
    pub document: Arc<Document>,
    /// Hosts by identity, merged over all sources and drains; see [`phase`].
    pub hosts: BTreeMap<String, HostRecord>,
    /// Names of the coordinators that pull now, over all sources.
    pub coordinators: BTreeSet<String>,
    /// Where their proxies take hints, by the machines' names.
    pub hints: BTreeMap<String, Addr>,
    /// Hosts that the ledger has as leaving or gone.
    pub drains: Arc<BTreeSet<String>>,
    /// The control plane.
    pub fleet: Fleet,
}

/// The mirror. Takes only what is newer than what it has; hands on exactly what a puller lacks.
#[derive(Clone)]
pub struct Mirror {
    member: u64,
    beat: Duration,
    generation: u64,
    ledger: u64,
    document: Arc<Document>,
    /// The latest documents, the one in force last.
    history: VecDeque<PastDocument>,
    depth: usize,
    /// A change couldn't be applied: the whole configuration is asked for.
    unsure: bool,
    drains: Arc<BTreeSet<String>>,
    /// The latest changes of the drains, each from where the one before leads to.
    drain_changes: VecDeque<DrainChange>,
    /// Number of the ledger's change from which the first of them leads on.
    drain_floor: u64,
    sources: BTreeMap<(u64, u64), Source>,
    /// Retired sources: life up to which, whose pullers are told.
    retired: BTreeMap<u64, u64>,
    /// Lives that were dropped: nothing is taken of these or earlier ones.
    buried: BTreeMap<u64, u64>,
    fleet: Fleet,
    fresh: Option<Duration>,
    /// Order in which hosts were first seen.
    arrivals: HashMap<String, u64>,
    arrived: u64,
    /// What [`Mirror::next_tick`] found, and at which generation; finding it looks at every record.
    due: Cell<Option<(u64, Option<Duration>)>>,
}

impl Mirror {
    /// An empty one. `member` is this process's identity, 0 where it is no member; `beat` is the time between
    /// a host's heartbeats.
    pub fn new(member: u64, beat: Duration) -> Self {
        Self {
            member,
            beat,
            generation: 0,
            ledger: 0,
            document: Arc::default(),
            history: VecDeque::new(),
            depth: HISTORY,
            unsure: false,
            drains: Arc::default(),
            drain_changes: VecDeque::new(),
            drain_floor: 0,
            sources: BTreeMap::new(),
            retired: BTreeMap::new(),
            buried: BTreeMap::new(),
            fleet: Fleet::default(),
            fresh: None,
            arrivals: HashMap::new(),
            arrived: 0,
            due: Cell::new(None),
        }
    }

    /// For a process that hands nothing on: no older documents are kept.
    pub fn at_the_end(mut self) -> Self {
        self.depth = 0;
        self
    }

    /// Sets this process's identity, where it is known later than the mirror.
    pub fn set_member(&mut self, member: u64) {
        self.member = member;
    }

    /// Rises with each change of what [`Mirror::view`] tells.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Number of the ledger's last change.
    pub fn ledger(&self) -> u64 {
        self.ledger
    }

    /// The configuration; version 0 where none has come yet.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// The control plane.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// About how many coordinators pull now, by number alone: each is counted by as many members as it pulls from.
    pub fn coordinators(&self) -> usize {
        let live = || self.sources.values().filter(|s| s.closing.is_none());
        let told: usize = live().map(|s| s.coordinators.len()).sum();
        told / live().count().clamp(1, crate::WATCHED)
    }

    /// Since when, at most, this process may have missed what the primary acknowledged, in ms.
    pub fn age_ms(&self, now: Duration) -> u32 {
        match self.fresh {
            Some(at) => u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX),
            None => u32::MAX,
        }
    }

    /// There was proof that nothing acknowledged before `at` is missing here.
    pub fn proved(&mut self, at: Duration) {
        self.fresh = self.fresh.max(Some(at));
    }

    /// Takes the ledger's acknowledged state from this process's own ledger. True where it was newer.
    pub fn set_ledger<'a>(
        &mut self,
        seq: u64,
        document: Arc<Document>,
        drains: impl IntoIterator<Item = &'a String>,
    ) -> bool {
        if seq <= self.ledger || document.version < self.document.version {
            return false;
        }
        self.ledger = seq;
        self.remember(document);
        let drains: BTreeSet<String> = drains.into_iter().cloned().collect();
        let added = drains.difference(&self.drains).cloned().collect();
        let gone = self.drains.difference(&drains).cloned().collect();
        self.drain_changes.push_back(DrainChange { seq, added, gone });
        while self.drain_changes.len() > self.depth * DRAIN_CHANGES {
            self.drain_floor = self.drain_changes.pop_front().map_or(seq, |c| c.seq);
        }
        self.drains = Arc::new(drains);
        self.generation += 1;
        true
    }

    /// What became of the drains since the ledger's change `since`: number to add to, those added, those gone.
    fn drains_since(&self, since: u64) -> (u64, Vec<String>, Vec<String>) {
        // Between two places that are known here, hosts may have come and gone that aren't.
        let known = since == self.drain_floor || self.drain_changes.iter().any(|c| c.seq == since);
        if since == 0 || !known {
            return (0, self.drains.iter().cloned().collect(), Vec::new());
        }
        let later = || self.drain_changes.iter().filter(|c| c.seq > since);
        let added: BTreeSet<&String> =
            later().flat_map(|c| &c.added).filter(|d| self.drains.contains(*d)).collect();
        let gone: BTreeSet<&String> =
            later().flat_map(|c| &c.gone).filter(|d| !self.drains.contains(*d)).collect();
        (since, added.into_iter().cloned().collect(), gone.into_iter().cloned().collect())
    }

    fn remember(&mut self, document: Arc<Document>) {
        self.unsure = false;
        if document.version > self.document.version {
            let bytes = document.unshared_bytes(&self.document);
            self.document = document.clone();
            self.history.push_back(PastDocument { document, bytes });
            let mut total: usize = self.history.iter().map(|d| d.bytes).sum();
            while self.history.len() > self.depth || (self.history.len() > 1 && total > MAX_HISTORY_BYTES) {
                total -= self.history.pop_front().map_or(0, |d| d.bytes);
            }
        }
    }

    /// Takes a fleet that this process knows itself: one of a higher epoch, or, where this process is the
    /// primary, a change within the epoch. The others hear of such changes by their pulls.
    pub fn set_fleet(&mut self, epoch: u64, primary: u64, members: Vec<protocol::MemberInfo>) -> bool {
        let base = epoch.saturating_mul(1 << MARK_BITS).max(1);
        let mark = if base > self.fleet.mark {
            base
        } else if epoch == self.fleet.epoch && primary == self.member && self.fleet.members != members {
            self.fleet.mark + 1
        } else {
            return false;
        };
        self.fleet = Fleet { mark, epoch, primary, members };
        self.generation += 1;
        true
    }

    /// Takes news: only what is newer than what is here. True where something was taken.
    pub fn apply(&mut self, now: Duration, news: &News) -> bool {
        let before = self.generation;
        let mut whole = true;
        if let Some(config) = &news.config {
            whole = self.apply_config(config);
        }
        for id in &news.retired {
            self.retire(now, *id);
        }
        for source in &news.sources {
            self.apply_source(now, source);
        }
        if let Some(fleet) = news.fleet.as_ref().filter(|f| f.mark > self.fleet.mark) {
            self.fleet = fleet.clone();
            self.generation += 1;
        }
        if whole && news.age_ms != u32::MAX {
            self.proved(now.saturating_sub(Duration::from_millis(news.age_ms.into())));
        }
        self.generation != before
    }

    /// False where what was said is missing here now.
    fn apply_config(&mut self, news: &ConfigNews) -> bool {
        let current = self.document.clone();
        if news.seq <= self.ledger || news.to < current.version {
            return true;
        }
        let mut drains: BTreeSet<String> = match news.drains_from {
            0 => BTreeSet::new(),
            from if from == self.ledger => (*self.drains).clone(),
            _ => return false,
        };
        drains.extend(news.drains.iter().cloned());
        for gone in &news.gone_drains {
            drains.remove(gone);
        }
        let document = if news.to == current.version {
            Some(current)
        } else {
            let base = if news.from == 0 { Document::default() } else { (*current).clone() };
            let delta = Delta {
                from: news.from,
                to: news.to,
                routes: news.routes.clone(),
                services: news.services.clone(),
                gone_routes: news.gone_routes.clone(),
                gone_services: news.gone_services.clone(),
                limits: news.limits.first().cloned(),
            };
            if news.from != base.version {
                return false;
            }
            base.patched(&delta).ok().map(Arc::new)
        };
        match document {
            Some(document) => self.set_ledger(news.seq, document, &drains),
            None => {
                self.unsure = true;
                false
            }
        }
    }

    fn apply_source(&mut self, now: Duration, news: &SourceNews) {
        let Mark { id, life, seq } = news.mark;
        if self.buried.get(&id).is_some_and(|upto| life <= *upto) {
            return;
        }
        match self.sources.get(&(id, life)) {
            Some(known) if seq <= known.seq => return,
            None if !news.whole => return,
            _ => {}
        }
        let newest = self.newest_life(id);
        for (_, older) in self.sources.range_mut((id, 0)..(id, life)) {
            older.closing.get_or_insert(now);
        }
        let source = self.sources.entry((id, life)).or_default();
        // Who still makes changes isn't gone for good.
        source.closing = newest.filter(|n| *n > life).and(source.closing.or(Some(now)));
        if source.closing.is_none() {
            self.retired.remove(&id);
        }
        if news.whole {
            let hosts: HashSet<&str> = news.hosts.iter().map(|h| h.id.as_str()).collect();
            let names: HashSet<&str> = news.coordinators.iter().map(|c| c.name.as_str()).collect();
            let count = source.hosts.len() + source.coordinators.len();
            source.hosts.retain(|host, _| hosts.contains(host.as_str()));
            source.coordinators.retain(|name, _| names.contains(name.as_str()));
            if count != source.hosts.len() + source.coordinators.len() {
                source.floor = seq;
            }
        }
        source.seq = seq;
        // Who has called less often is taken for the younger one.
        let mut hosts: Vec<&HostRecord> = news.hosts.iter().collect();
        hosts.sort_by_key(|r| std::cmp::Reverse(r.call_seq));
        for record in hosts {
            let known = source.hosts.get(&record.id);
            if known.is_some_and(|k| k.record == *record) {
                continue;
            }
            let over = (record.phase >= phase::GONE).then_some(now);
            source.hosts.insert(record.id.clone(), Kept { record: record.clone(), seq, over });
            if !self.arrivals.contains_key(&record.id) {
                self.arrived += 1;
                self.arrivals.insert(record.id.clone(), self.arrived);
            }
        }
        for record in &news.coordinators {
            let known = source.coordinators.get(&record.name);
            if known.is_some_and(|k| k.record == *record) {
                continue;
            }
            let over = record.gone.then_some(now);
            source.coordinators.insert(record.name.clone(), Kept { record: record.clone(), seq, over });
        }
        self.generation += 1;
    }

    fn newest_life(&self, id: u64) -> Option<u64> {
        self.sources.range((id, 0)..=(id, u64::MAX)).next_back().map(|((_, life), _)| *life)
    }

    /// A source is no more: its hosts stay for a few beat periods, so that they can call another member. It
    /// comes back only with a new life or, within that time, with a new change.
    pub fn retire(&mut self, now: Duration, id: u64) {
        let Some(life) = self.newest_life(id) else { return };
        if self.retired.get(&id).is_some_and(|upto| life <= *upto) {
            return;
        }
        self.retired.insert(id, life);
        for (_, source) in self.sources.range_mut((id, 0)..=(id, life)) {
            source.closing.get_or_insert(now);
        }
        self.generation += 1;
    }

    /// Drops what is over. True where the view changed.
    pub fn tick(&mut self, now: Duration) -> bool {
        self.due.set(None);
        let (before, closing) = (self.generation, self.beat * CLOSING_BEATS);
        let ended: Vec<(u64, u64)> = self
            .sources
            .iter()
            .filter(|(_, s)| s.closing.is_some_and(|at| now >= at + closing))
            .map(|(k, _)| *k)
            .collect();
        for (id, life) in ended {
            self.sources.remove(&(id, life));
            let upto = self.buried.entry(id).or_default();
            *upto = (*upto).max(life);
            self.generation += 1;
        }
        let over = |at: &Option<Duration>| at.is_some_and(|at| now >= at + TOMBSTONE);
        let mut gone: Vec<(String, u64)> = Vec::new();
        for source in self.sources.values_mut() {
            let floor = &mut source.floor;
            source.hosts.retain(|id, kept| {
                if !over(&kept.over) {
                    return true;
                }
                *floor = (*floor).max(kept.seq);
                if kept.record.phase == phase::GONE {
                    gone.push((id.clone(), kept.record.call_seq));
                }
                false
            });
            source.coordinators.retain(|_, kept| {
                let keep = !over(&kept.over);
                if !keep {
                    *floor = (*floor).max(kept.seq);
                }
                keep
            });
        }
        // A host that is gone for long doesn't come back by what an older record said elsewhere.
        for (id, call_seq) in gone {
            for source in self.sources.values_mut() {
                if source.hosts.get(&id).is_some_and(|k| k.record.call_seq <= call_seq) {
                    source.hosts.remove(&id);
                }
            }
            self.generation += 1;
        }
        let (arrivals, sources) = (&mut self.arrivals, &self.sources);
        if self.generation != before {
            arrivals.retain(|id, _| sources.values().any(|s| s.hosts.contains_key(id)));
        }
        self.generation != before
    }

    /// When [`Mirror::tick`] next has something to do.
    pub fn next_tick(&self) -> Option<Duration> {
        if let Some((_, due)) = self.due.get().filter(|(generation, _)| *generation == self.generation) {
            return due;
        }
        let due = self.find_next_tick();
        self.due.set(Some((self.generation, due)));
        due
    }

    fn find_next_tick(&self) -> Option<Duration> {
        let closing = self.beat * CLOSING_BEATS;
        let of = |s: &Source| {
            let hosts = s.hosts.values().filter_map(|k| k.over);
            let over = hosts.chain(s.coordinators.values().filter_map(|k| k.over)).min();
            s.closing.map(|at| at + closing).into_iter().chain(over.map(|at| at + TOMBSTONE)).min()
        };
        self.sources.values().filter_map(of).min()
    }

    /// What this mirror has of each source, for a pull.
    pub fn vector(&self) -> Vec<Mark> {
        let live = self.sources.iter().map(|((id, life), s)| Mark { id: *id, life: *life, seq: s.seq });
        let ended = self.buried.iter().map(|(id, life)| Mark { id: *id, life: *life, seq: u64::MAX });
        let told = self.retired.iter().filter(|(id, life)| self.buried.get(id) != Some(*life));
        let retired = told.map(|(id, life)| Mark { id: *id, life: *life, seq: u64::MAX });
        live.chain(ended).chain(retired).collect()
    }

    /// Asks for what this mirror lacks.
    pub fn pull(&self, caller: &Caller, wait_ms: u32) -> Pull {
        let version = if self.unsure { 0 } else { self.document.version };
        Pull {
            caller: caller.clone(),
            wait_ms,
            ledger: self.ledger,
            version,
            fleet: self.fleet.mark,
            sources: self.vector(),
        }
    }

    /// News that say only how old this mirror may be.
    pub fn no_news(&self, now: Duration) -> News {
        News { member: self.member, age_ms: self.age_ms(now), ..News::default() }
    }

    /// Exactly what the puller lacks; `None` where that is nothing.
    pub fn news_for(&self, now: Duration, pull: &Pull) -> Option<News> {
        let mut news = self.no_news(now);
        if self.ledger > pull.ledger {
            news.config = Some(self.config_for(pull.version, pull.ledger));
        }
        if self.fleet.mark > pull.fleet {
            news.fleet = Some(self.fleet.clone());
        }
        // (id, life) to the number that the puller has; u64::MAX: it wants nothing more.
        let mut has: HashMap<(u64, u64), u64> = HashMap::new();
        let mut done: HashMap<u64, u64> = HashMap::new();
        for mark in &pull.sources {
            if mark.seq == u64::MAX {
                let upto = done.entry(mark.id).or_default();
                *upto = (*upto).max(mark.life);
            } else {
                has.insert((mark.id, mark.life), mark.seq);
            }
        }
        for (&(id, life), source) in &self.sources {
            let known = has.get(&(id, life)).copied();
            // Who knows that this life is over, and doesn't have it, has dropped it; so has who knows a later one.
            let over = done.get(&id).is_some_and(|upto| life <= *upto) && known.is_none();
            if over || known.is_some_and(|seq| seq >= source.seq) {
                continue;
            }
            news.sources.push(source.news(Mark { id, life, seq: source.seq }, known));
        }
        for (&id, &upto) in &self.retired {
            let known = has.keys().filter(|(i, _)| *i == id).map(|(_, life)| *life).max();
            if known.is_some_and(|life| life <= upto) && done.get(&id).is_none_or(|told| *told < upto) {
                news.retired.push(id);
            }
        }
        (!news.is_empty()).then_some(news)
    }

    fn config_for(&self, version: u64, ledger: u64) -> ConfigNews {
        let (drains_from, drains, gone_drains) = self.drains_since(ledger);
        let newest = &self.document;
        let none = Document::default();
        let base = self.history.iter().map(|d| &*d.document).find(|d| d.version == version).unwrap_or(&none);
        let delta = base.delta(newest);
        ConfigNews {
            seq: self.ledger,
            from: delta.from,
            to: delta.to,
            routes: delta.routes,
            services: delta.services,
            gone_routes: delta.gone_routes,
            gone_services: delta.gone_services,
            limits: delta.limits.into_iter().collect(),
            drains_from,
            drains,
            gone_drains,
        }
    }

    /// The newest record of a host among all sources but `own` (a member's identity).
    pub fn host_elsewhere(&self, own: u64, host: &str) -> Option<&HostRecord> {
        let others = self.sources.iter().filter(|((id, _), _)| *id != own);
        let records = others.filter_map(|(_, s)| s.hosts.get(host)).map(|k| &k.record);
        records.filter(|r| r.phase != phase::FORGOTTEN).max_by_key(|r| r.call_seq)
    }

    /// The merged truth.
    pub fn view(&self) -> Snapshot {
        let mut hosts: BTreeMap<String, HostRecord> = BTreeMap::new();
        let mut furthest: HashMap<&str, u8> = HashMap::new();
        let records = self.sources.values().flat_map(|s| s.hosts.values()).map(|k| &k.record);
        for record in records.filter(|r| r.phase != phase::FORGOTTEN) {
            let phase = furthest.entry(&record.id).or_default();
            *phase = (*phase).max(record.phase);
            match hosts.get(&record.id) {
                Some(known) if (known.call_seq, !known.silent) >= (record.call_seq, !record.silent) => {}
                _ => {
                    hosts.insert(record.id.clone(), record.clone());
                }
            }
        }
        for (id, record) in &mut hosts {
            record.phase = furthest.get(id.as_str()).copied().unwrap_or(record.phase);
            if self.drains.contains(id) {
                record.phase = record.phase.max(phase::DRAINING);
            }
        }
        self.one_at_each_address(&mut hosts);
        let live = self.sources.values().filter(|s| s.closing.is_none());
        let pulling = live.flat_map(|s| s.coordinators.values()).filter(|k| !k.record.gone);
        let pulling: Vec<&CoordinatorRecord> = pulling.map(|k| &k.record).collect();
        Snapshot {
            ledger: self.ledger,
            document: self.document.clone(),
            hosts,
            hints: pulling.iter().filter(|r| r.addr.port > 0).map(|r| (r.name.clone(), r.addr)).collect(),
            coordinators: pulling.iter().map(|r| r.name.clone()).collect(),
            drains: self.drains.clone(),
            fleet: self.fleet.clone(),
        }
    }

    /// Of several hosts at one address, all but the newest are gone.
    fn one_at_each_address(&self, hosts: &mut BTreeMap<String, HostRecord>) {
        let mut newest: HashMap<Addr, (bool, bool, u64, String)> = HashMap::new();
        let rank = |r: &HostRecord| {
            let arrival = self.arrivals.get(&r.id).copied().unwrap_or_default();
            (r.phase < phase::GONE, !r.silent, arrival, r.id.clone())
        };
        for record in hosts.values() {
            let rank = rank(record);
            match newest.get_mut(&record.addr) {
                Some(best) if *best >= rank => {}
                Some(best) => *best = rank,
                None => {
                    newest.insert(record.addr, rank);
                }
            }
        }
        for record in hosts.values_mut() {
            if newest.get(&record.addr).is_some_and(|best| best.3 != record.id) {
                record.phase = phase::GONE;
            }
        }
    }
}

impl Source {
    fn news(&self, mark: Mark, known: Option<u64>) -> SourceNews {
        let whole = known.is_none_or(|seq| seq < self.floor);
        let since = if whole { 0 } else { known.unwrap_or_default() };
        let hosts = self.hosts.values().filter(|k| whole || k.seq > since).map(|k| k.record.clone());
        let coordinators = self.coordinators.values().filter(|k| whole || k.seq > since);
        SourceNews {
            mark,
            whole,
            hosts: hosts.collect(),
            coordinators: coordinators.map(|k| k.record.clone()).collect(),
        }
    }
}
