//! What an action makes of a state.

use super::event::Event;
use super::{World, LEAVE_TIMEOUT};
use crate::cluster::faults::Action;
use crate::cluster::Scenario;
use crate::search::Breach;
use control_plane::member::Input;

/// What an action is played under.
pub(super) struct Run<'s> {
    pub(super) scenario: &'s Scenario,
    /// The machine that gets nothing out any more.
    pub(super) mute: Option<usize>,
}

impl World {
    pub(in crate::cluster) fn after(
        &self,
        scenario: &Scenario,
        action: &Action,
    ) -> Result<World, Breach> {
        let mut world = self.clone();
        let run = &mut Run {
            scenario,
            mute: None,
        };
        match action {
            Action::Deliver(place) => {
                if let Some(envelope) = world.network.remove(*place) {
                    world.deliver(run, &envelope)?;
                }
            }
            Action::EndWrite(n) => world.end_write(run, *n)?,
            Action::Advance => world.advance(run)?,
            Action::Lose => drop(world.network.pop_front()),
            Action::Overtake => world.network.rotate_left(1),
            Action::Duplicate(after) => {
                if let Some(envelope) = world.network.pop_front() {
                    world.schedule(*after, Event::Deliver(envelope.clone()));
                    world.deliver(run, &envelope)?;
                }
            }
            Action::Delay(after) => {
                if let Some(envelope) = world.network.pop_front() {
                    world.schedule(*after, Event::Deliver(envelope));
                }
            }
            Action::Crash(n, down) => world.crash(*n, *down),
            Action::CrashSending(down) => {
                if let Some(envelope) = world.network.pop_front() {
                    run.mute = Some(envelope.to);
                    world.deliver(run, &envelope)?;
                    world.crash(envelope.to, *down);
                }
            }
            Action::Wipe(n, down) => {
                world.wipes += 1;
                world.wipe(scenario, *n);
                world.crash(*n, *down);
            }
            Action::Replace(n, after) => {
                world.replaced += 1;
                world.wipe(scenario, *n);
                world.crash(*n, *after);
                world.machine(*n).gone = true;
                world.schedule(*after, Event::Join);
            }
            Action::Freeze(n, long) => {
                world.machine(*n).frozen = true;
                world.schedule(*long, Event::Thaw(*n));
            }
            Action::Cut(n, way, long) => {
                world.cut_off(*n, *way);
                world.schedule(*long, Event::Heal(*n, *way));
            }
            Action::Slow(n, long) => {
                world.machine(*n).slow = true;
                world.schedule(*long, Event::FastDisk(*n));
            }
            Action::Leave(n, down) => {
                let life = world.machines[*n].lives;
                world.machine(*n).leaving = Some(*down);
                world.schedule(LEAVE_TIMEOUT, Event::Kill(*n, life));
                world.step(run, *n, Input::Depart)?;
            }
            Action::LateNews(n, after) => world.late_news = Some((*n, *after)),
        }
        Ok(world)
    }
}
