//! The sources' part of a mirror: what each member was told by hosts and coordinators, life by life.

use super::hosts::Arrivals;
use crate::phase;
use protocol::{CoordinatorRecord, HostRecord, OriginUpdate, OriginVersion};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// How long tombstones and gone records are kept.
const TOMBSTONE: Duration = Duration::from_secs(60);
/// How many beat periods a source that is no more keeps its hosts.
const CLOSING_BEATS: u32 = 4;

/// A record with what is needed to hand it on.
#[derive(Clone)]
struct Kept<T> {
    record: T,
    /// Number of the source's change that brought it, or a later one.
    seq: u64,
    /// Since when it is gone or a tombstone.
    over: Option<Duration>,
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

/// All sources that are known.
#[derive(Clone)]
pub(super) struct Sources {
    /// Time between a host's heartbeats.
    beat: Duration,
    lives: BTreeMap<(u64, u64), Source>,
    /// Retired sources: life up to which, whose pullers are told.
    retired: BTreeMap<u64, u64>,
    /// Lives that were dropped: nothing is taken of these or earlier ones.
    buried: BTreeMap<u64, u64>,
    arrivals: Arrivals,
}

impl Sources {
    pub(super) fn new(beat: Duration) -> Self {
        Self {
            beat,
            lives: BTreeMap::new(),
            retired: BTreeMap::new(),
            buried: BTreeMap::new(),
            arrivals: Arrivals::default(),
        }
    }

    fn live(&self) -> impl Iterator<Item = &Source> {
        self.lives.values().filter(|s| s.closing.is_none())
    }

    /// About how many coordinators pull now.
    pub(super) fn coordinators(&self) -> usize {
        let told: usize = self.live().map(|s| s.coordinators.len()).sum();
        told / self.live().count().clamp(1, crate::MEMBERS_PER_AGENT)
    }

    /// The coordinators that pull now, by all lives that aren't over.
    pub(super) fn pulling(&self) -> impl Iterator<Item = &CoordinatorRecord> {
        self.live()
            .flat_map(|s| s.coordinators.values())
            .filter(|k| !k.record.gone)
            .map(|k| &k.record)
    }

    /// All records of hosts.
    pub(super) fn hosts(&self) -> impl Iterator<Item = &HostRecord> {
        self.lives
            .values()
            .flat_map(|s| s.hosts.values())
            .map(|k| &k.record)
    }

    /// In which order hosts came.
    pub(super) fn arrivals(&self) -> &Arrivals {
        &self.arrivals
    }

    /// The newest record of a host among all sources but `own`.
    pub(super) fn host_elsewhere(&self, own: u64, host: &str) -> Option<&HostRecord> {
        let others = self.lives.iter().filter(|((id, _), _)| *id != own);
        let records = others
            .filter_map(|(_, s)| s.hosts.get(host))
            .map(|k| &k.record);
        records
            .filter(|r| r.phase != phase::FORGOTTEN)
            .max_by_key(|r| r.call_seq)
    }

    /// Takes a source's news. True where they were newer.
    pub(super) fn apply(&mut self, now: Duration, news: &OriginUpdate) -> bool {
        let OriginVersion {
            member_id,
            incarnation,
            sequence,
        } = news.version;
        if self
            .buried
            .get(&member_id)
            .is_some_and(|upto| incarnation <= *upto)
        {
            return false;
        }
        match self.lives.get(&(member_id, incarnation)) {
            Some(known) if sequence <= known.seq => return false,
            None if !news.complete => return false,
            _ => {}
        }
        let newest = self.newest_life(member_id);
        for (_, older) in self
            .lives
            .range_mut((member_id, 0)..(member_id, incarnation))
        {
            older.closing.get_or_insert(now);
        }
        let source = self.lives.entry((member_id, incarnation)).or_default();
        // Who still makes changes isn't gone for good.
        source.closing = newest
            .filter(|n| *n > incarnation)
            .and(source.closing.or(Some(now)));
        if source.closing.is_none() {
            self.retired.remove(&member_id);
        }
        source.take(now, news, &mut self.arrivals);
        true
    }

    fn newest_life(&self, id: u64) -> Option<u64> {
        self.lives
            .range((id, 0)..=(id, u64::MAX))
            .next_back()
            .map(|((_, life), _)| *life)
    }

    /// The highest number of a life of `id` that is known to be above `life`, or to be over though it isn't below.
    pub(super) fn later_life(&self, id: u64, life: u64) -> Option<u64> {
        let newer = self.newest_life(id).filter(|newest| *newest > life);
        let buried = self.buried.get(&id).copied().filter(|upto| *upto >= life);
        newer.max(buried)
    }

    /// Takes note of lives that a puller knows and that are newer than those known here: their members have to
    /// hear of them. What they had to say isn't known. True where there were some.
    pub(super) fn hear_of_lives(&mut self, vector: &[OriginVersion]) -> bool {
        let mut heard = false;
        for mark in vector.iter().filter(|mark| mark.sequence != u64::MAX) {
            if self
                .newest_life(mark.member_id)
                .is_some_and(|newest| newest < mark.incarnation)
            {
                self.lives
                    .insert((mark.member_id, mark.incarnation), Source::default());
                heard = true;
            }
        }
        heard
    }

    /// A source is no more. True where that is new.
    pub(super) fn retire(&mut self, now: Duration, id: u64) -> bool {
        let Some(life) = self.newest_life(id) else {
            return false;
        };
        if self.retired.get(&id).is_some_and(|upto| life <= *upto) {
            return false;
        }
        self.retired.insert(id, life);
        for (_, source) in self.lives.range_mut((id, 0)..=(id, life)) {
            source.closing.get_or_insert(now);
        }
        true
    }

    /// Drops what is over. True where something was.
    pub(super) fn tick(&mut self, now: Duration) -> bool {
        let buried = self.bury(now);
        let forgotten = self.forget(now);
        if buried || forgotten {
            let lives = &self.lives;
            self.arrivals
                .retain(|id| lives.values().any(|s| s.hosts.contains_key(id)));
        }
        buried || forgotten
    }

    /// Drops lives that have been over for long enough.
    fn bury(&mut self, now: Duration) -> bool {
        let closing = self.beat * CLOSING_BEATS;
        let ended: Vec<(u64, u64)> = self
            .lives
            .iter()
            .filter(|(_, s)| s.closing.is_some_and(|at| now >= at + closing))
            .map(|(k, _)| *k)
            .collect();
        for (id, life) in &ended {
            self.lives.remove(&(*id, *life));
            let upto = self.buried.entry(*id).or_default();
            *upto = (*upto).max(*life);
        }
        !ended.is_empty()
    }

    /// Drops tombstones and gone records. True where a host was.
    fn forget(&mut self, now: Duration) -> bool {
        let mut gone: Vec<(String, u64)> = Vec::new();
        for source in self.lives.values_mut() {
            source.forget(now, &mut gone);
        }
        // A host that is gone for long doesn't come back by what an older record said elsewhere.
        for (id, call_seq) in &gone {
            for source in self.lives.values_mut() {
                if source
                    .hosts
                    .get(id)
                    .is_some_and(|k| k.record.call_seq <= *call_seq)
                {
                    source.hosts.remove(id);
                }
            }
        }
        !gone.is_empty()
    }

    /// When [`Sources::tick`] next has something to do. Looks at every record.
    pub(super) fn next_tick(&self) -> Option<Duration> {
        let closing = self.beat * CLOSING_BEATS;
        let of = |s: &Source| {
            let hosts = s.hosts.values().filter_map(|k| k.over);
            let over = hosts
                .chain(s.coordinators.values().filter_map(|k| k.over))
                .min();
            s.closing
                .map(|at| at + closing)
                .into_iter()
                .chain(over.map(|at| at + TOMBSTONE))
                .min()
        };
        self.lives.values().filter_map(of).min()
    }

    /// How far each is known, for a pull.
    pub(super) fn vector(&self) -> Vec<OriginVersion> {
        let live = self.lives.iter().map(|((id, life), s)| OriginVersion {
            member_id: *id,
            incarnation: *life,
            sequence: s.seq,
        });
        let ended = self.buried.iter().map(|(id, life)| OriginVersion {
            member_id: *id,
            incarnation: *life,
            sequence: u64::MAX,
        });
        let told = self
            .retired
            .iter()
            .filter(|(id, life)| self.buried.get(id) != Some(*life));
        let retired = told.map(|(id, life)| OriginVersion {
            member_id: *id,
            incarnation: *life,
            sequence: u64::MAX,
        });
        live.chain(ended).chain(retired).collect()
    }

    /// What somebody with this vector lacks: sources' news, and which are no more.
    pub(super) fn news(&self, vector: &[OriginVersion]) -> (Vec<OriginUpdate>, Vec<u64>) {
        // (id, life) to the number that the puller has; u64::MAX: it wants nothing more.
        let mut has: HashMap<(u64, u64), u64> = HashMap::new();
        let mut done: HashMap<u64, u64> = HashMap::new();
        for mark in vector {
            if mark.sequence == u64::MAX {
                let upto = done.entry(mark.member_id).or_default();
                *upto = (*upto).max(mark.incarnation);
            } else {
                has.insert((mark.member_id, mark.incarnation), mark.sequence);
            }
        }
        let mut news = Vec::new();
        for (&(id, life), source) in &self.lives {
            let known = has.get(&(id, life)).copied();
            // Who knows that this life is over, and doesn't have it, has dropped it; so has who knows a later one.
            let over = done.get(&id).is_some_and(|upto| life <= *upto) && known.is_none();
            if over || known.is_some_and(|seq| seq >= source.seq) {
                continue;
            }
            news.push(source.news(
                OriginVersion {
                    member_id: id,
                    incarnation: life,
                    sequence: source.seq,
                },
                known,
            ));
        }
        let mut retired = Vec::new();
        for (&id, &upto) in &self.retired {
            let known = has
                .keys()
                .filter(|(i, _)| *i == id)
                .map(|(_, life)| *life)
                .max();
            if known.is_some_and(|life| life <= upto)
                && done.get(&id).is_none_or(|told| *told < upto)
            {
                retired.push(id);
            }
        }
        (news, retired)
    }
}

impl Source {
    /// Takes news that are newer.
    fn take(&mut self, now: Duration, news: &OriginUpdate, arrivals: &mut Arrivals) {
        let seq = news.version.sequence;
        if news.complete {
            self.drop_what_is_left_out(news);
        }
        self.seq = seq;
        // Who has called less often is taken for the younger one.
        let mut hosts: Vec<&HostRecord> = news.hosts.iter().collect();
        hosts.sort_by_key(|r| std::cmp::Reverse(r.call_seq));
        for record in hosts {
            let known = self.hosts.get(&record.id);
            if known.is_some_and(|k| k.record == *record) {
                continue;
            }
            let over = (record.phase >= phase::GONE).then_some(now);
            self.hosts.insert(
                record.id.clone(),
                Kept {
                    record: record.clone(),
                    seq,
                    over,
                },
            );
            arrivals.note(&record.id);
        }
        for record in &news.coordinators {
            let known = self.coordinators.get(&record.name);
            if known.is_some_and(|k| k.record == *record) {
                continue;
            }
            let over = record.gone.then_some(now);
            self.coordinators.insert(
                record.name.clone(),
                Kept {
                    record: record.clone(),
                    seq,
                    over,
                },
            );
        }
    }

    fn drop_what_is_left_out(&mut self, news: &OriginUpdate) {
        let hosts: HashSet<&str> = news.hosts.iter().map(|h| h.id.as_str()).collect();
        let names: HashSet<&str> = news.coordinators.iter().map(|c| c.name.as_str()).collect();
        let count = self.hosts.len() + self.coordinators.len();
        self.hosts.retain(|host, _| hosts.contains(host.as_str()));
        self.coordinators
            .retain(|name, _| names.contains(name.as_str()));
        if count != self.hosts.len() + self.coordinators.len() {
            self.floor = news.version.sequence;
        }
    }

    /// Drops what has been over for long enough; hosts that are gone, with their last call, are added to `gone`.
    fn forget(&mut self, now: Duration, gone: &mut Vec<(String, u64)>) {
        let over = |at: &Option<Duration>| at.is_some_and(|at| now >= at + TOMBSTONE);
        let floor = &mut self.floor;
        self.hosts.retain(|id, kept| {
            if !over(&kept.over) {
                return true;
            }
            *floor = (*floor).max(kept.seq);
            if kept.record.phase == phase::GONE {
                gone.push((id.clone(), kept.record.call_seq));
            }
            false
        });
        self.coordinators.retain(|_, kept| {
            let keep = !over(&kept.over);
            if !keep {
                *floor = (*floor).max(kept.seq);
            }
            keep
        });
    }

    fn news(&self, mark: OriginVersion, known: Option<u64>) -> OriginUpdate {
        let whole = known.is_none_or(|seq| seq < self.floor);
        let since = if whole { 0 } else { known.unwrap_or_default() };
        let hosts = self
            .hosts
            .values()
            .filter(|k| whole || k.seq > since)
            .map(|k| k.record.clone());
        let coordinators = self
            .coordinators
            .values()
            .filter(|k| whole || k.seq > since);
        OriginUpdate {
            version: mark,
            complete: whole,
            hosts: hosts.collect(),
            coordinators: coordinators.map(|k| k.record.clone()).collect(),
        }
    }
}
