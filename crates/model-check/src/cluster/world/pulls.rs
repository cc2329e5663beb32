//! Pulls of members and readers, and checks of what their mirrors have in force and of the ages that they state.

use super::context::ActionContext;
use super::event::Event;
use super::reader::{fresh_at, new_reader};
use super::state::World;
use crate::cluster::invariants::READERS_NEVER_GO_BACK;
use crate::cluster::machine::LEASE;
use crate::cluster::seeded_bug::SeededBug;
use crate::search::Violation;
use protocol::Subscriber;
use replication::{Mirror, Update};
use std::sync::Arc;

impl World {
    /// All members and readers pull from all members that they reach.
    pub(super) fn pull_all(&mut self, context: &ActionContext) -> Result<(), Violation> {
        let late = self.late_updates.take();
        for member in 0..self.machines.len() {
            if self.machines[member].process.is_none() || self.machines[member].frozen {
                continue;
            }
            for puller in 0..self.machines.len() {
                if self.reaches(puller, member) && self.reaches(member, puller) {
                    self.pull_as_member(context, puller, member)?;
                }
            }
            for reader in 0..self.readers.len() {
                let update = self.update_for(member, &self.readers[reader].mirror.read());
                match late.filter(|l| l.0 == member) {
                    Some((_, after)) => {
                        self.schedule(
                            after,
                            Event::Update {
                                reader,
                                member,
                                update: Arc::new(update),
                                asked: self.now,
                            },
                        );
                    }
                    None => self.apply_update(context, reader, member, &update)?,
                }
            }
        }
        Ok(())
    }

    fn update_for(&self, member: usize, puller: &Mirror) -> Update {
        let Some(process) = &self.machines[member].process else {
            return Update::default();
        };
        let pull = puller.pull(&Subscriber::default(), 0);
        let (clock, mirror) = (process.clock(self.now), process.mirror.read());
        mirror
            .update_for(clock, &pull)
            .unwrap_or_else(|| mirror.empty_update(clock))
    }

    fn pull_as_member(
        &mut self,
        context: &ActionContext,
        puller: usize,
        member: usize,
    ) -> Result<(), Violation> {
        let Some(process) = self.machines[puller]
            .process
            .as_ref()
            .filter(|_| !self.machines[puller].frozen)
        else {
            return Ok(());
        };
        let update = self.update_for(member, &process.mirror.read());
        let now = self.now;
        if let Some(process) = &mut self.machine(puller).process {
            let clock = process.clock(now);
            process.mirror.get().apply(clock, &update);
        }
        self.refresh_fingerprint(puller);
        self.check_age(context, puller)
    }

    /// A reader gets the answer to a pull.
    pub(super) fn apply_update(
        &mut self,
        context: &ActionContext,
        reader: usize,
        member: usize,
        update: &Update,
    ) -> Result<(), Violation> {
        let now = self.now;
        let reader = Arc::make_mut(&mut self.readers[reader]);
        let is_stale = reader.mirror.read().age_ms(now) > LEASE.as_millis() as u32;
        if context.scenario.seeded_bug == SeededBug::ForgetfulReader && is_stale {
            reader.mirror = new_reader();
        }
        let mirror = reader.mirror.get();
        mirror.apply(now, update);
        let in_force = (mirror.index(), mirror.configuration().version);
        let fresh = fresh_at(mirror, now, now).filter(|_| context.scenario.ages);
        if in_force < reader.newest {
            let detail = format!("{in_force:?} from {member} after {:?}", reader.newest);
            return Err(Violation::new(READERS_NEVER_GO_BACK, detail));
        }
        reader.newest = in_force;
        fresh.map_or(Ok(()), |fresh| {
            self.observations
                .check_freshness("a reader", fresh, in_force.0)
        })
    }

    /// Checks the age that a member's mirror states.
    pub(super) fn check_age(&self, context: &ActionContext, n: usize) -> Result<(), Violation> {
        if !context.scenario.ages {
            return Ok(());
        }
        let Some(process) = &self.machines[n].process else {
            return Ok(());
        };
        let mirror = process.mirror.read();
        match fresh_at(&mirror, process.clock(self.now), self.now) {
            Some(fresh) => {
                self.observations
                    .check_freshness(&format!("machine {n}"), fresh, mirror.index())
            }
            None => Ok(()),
        }
    }
}
