//! Pulls of members and readers, and what their mirrors show and say of their age.

use super::actions::Run;
use super::event::Event;
use super::World;
use crate::cluster::claims::FORWARD;
use crate::cluster::faults::ms;
use crate::cluster::machine::LEASE;
use crate::cluster::mirror::StateMirror;
use crate::cluster::planted::Planted;
use crate::search::Breach;
use protocol::Subscriber;
use replication::{Mirror, Update};
use std::sync::Arc;
use std::time::Duration;

/// A reader outside of the members.
#[derive(Clone)]
pub(super) struct Reader {
    pub(super) mirror: StateMirror,
    /// The newest that it showed.
    pub(super) newest: (u64, u64),
}

impl World {
    pub(super) fn pull_all(&mut self, run: &Run) -> Result<(), Breach> {
        let late = self.late_news.take();
        for member in 0..self.machines.len() {
            if self.machines[member].process.is_none() || self.machines[member].frozen {
                continue;
            }
            for puller in 0..self.machines.len() {
                if self.reaches(puller, member) && self.reaches(member, puller) {
                    self.pull_as_member(run, puller, member)?;
                }
            }
            for reader in 0..self.readers.len() {
                let news = self.news_for(member, &self.readers[reader].mirror.read());
                match late.filter(|l| l.0 == member) {
                    Some((_, after)) => {
                        self.schedule(
                            after,
                            Event::Update {
                                reader,
                                member,
                                news: Arc::new(news),
                                asked: self.now,
                            },
                        );
                    }
                    None => self.read_news(run, reader, member, &news)?,
                }
            }
        }
        Ok(())
    }

    fn news_for(&self, member: usize, puller: &Mirror) -> Update {
        let Some(process) = &self.machines[member].process else {
            return Update::default();
        };
        let pull = puller.pull(&Subscriber::default(), 0);
        let (clock, mirror) = (process.clock(self.now), process.mirror.read());
        mirror
            .update_for(clock, &pull)
            .unwrap_or_else(|| mirror.empty_update(clock))
    }

    fn pull_as_member(&mut self, run: &Run, puller: usize, member: usize) -> Result<(), Breach> {
        let Some(process) = self.machines[puller]
            .process
            .as_ref()
            .filter(|_| !self.machines[puller].frozen)
        else {
            return Ok(());
        };
        let news = self.news_for(member, &process.mirror.read());
        let now = self.now;
        if let Some(process) = &mut self.machine(puller).process {
            let clock = process.clock(now);
            process.mirror.get().apply(clock, &news);
        }
        self.changed(puller);
        self.check_age(run, puller)
    }

    pub(super) fn read_news(
        &mut self,
        run: &Run,
        reader: usize,
        member: usize,
        news: &Update,
    ) -> Result<(), Breach> {
        let now = self.now;
        let reader = Arc::make_mut(&mut self.readers[reader]);
        let old = reader.mirror.read().age_ms(now) > LEASE.as_millis() as u32;
        if run.scenario.planted == Planted::ForgetfulReader && old {
            reader.mirror = new_reader();
        }
        let mirror = reader.mirror.get();
        mirror.apply(now, news);
        let shows = (mirror.index(), mirror.configuration().version);
        let fresh = fresh_at(mirror, now, now).filter(|_| run.scenario.ages);
        if shows < reader.newest {
            let detail = format!("{shows:?} from {member} after {:?}", reader.newest);
            return Err(Breach::new(FORWARD, detail));
        }
        reader.newest = shows;
        fresh.map_or(Ok(()), |fresh| {
            self.facts.claims_fresh("a reader", fresh, shows.0)
        })
    }

    /// What a member's mirror says of its age has to be true.
    pub(super) fn check_age(&self, run: &Run, n: usize) -> Result<(), Breach> {
        if !run.scenario.ages {
            return Ok(());
        }
        let Some(process) = &self.machines[n].process else {
            return Ok(());
        };
        let mirror = process.mirror.read();
        match fresh_at(&mirror, process.clock(self.now), self.now) {
            Some(fresh) => self
                .facts
                .claims_fresh(&format!("machine {n}"), fresh, mirror.index()),
            None => Ok(()),
        }
    }
}

pub(super) fn new_reader() -> StateMirror {
    StateMirror::new(Mirror::new(0, LEASE).without_history())
}

/// Until when a mirror says that it lacks nothing, by the global clock; ages are told in whole ms.
fn fresh_at(mirror: &Mirror, clock: Duration, now: Duration) -> Option<Duration> {
    let age = mirror.age_ms(clock);
    (age != u32::MAX).then(|| now.saturating_sub(ms(u64::from(age) + 1)))
}
