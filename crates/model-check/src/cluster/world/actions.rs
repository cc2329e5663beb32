//! The state after an action.

use super::context::ActionContext;
use super::event::Event;
use super::state::{World, LEAVE_TIMEOUT};
use crate::cluster::faults::Action;
use crate::cluster::Scenario;
use crate::search::Violation;
use control_plane::member::Input;
use std::time::Duration;

impl World {
    /// The state after an action.
    pub(in crate::cluster) fn apply(
        &self,
        scenario: &Scenario,
        action: &Action,
    ) -> Result<World, Violation> {
        let mut world = self.clone();
        let context = &mut ActionContext {
            scenario,
            muted: None,
        };
        match action {
            Action::EndWrite(n) => world.end_write(context, *n)?,
            Action::Advance => world.advance(context)?,
            Action::Leave(n, down) => world.leave(context, *n, *down)?,
            Action::DelayUpdates(n, after) => world.late_updates = Some((*n, *after)),
            Action::Deliver(_)
            | Action::Lose
            | Action::Reorder
            | Action::Duplicate(_)
            | Action::Delay(_)
            | Action::CrashSending(_) => world.apply_to_network(context, action)?,
            Action::Crash(..)
            | Action::Wipe(..)
            | Action::Replace(..)
            | Action::Freeze(..)
            | Action::Cut(..)
            | Action::Slow(..) => world.apply_to_machine(scenario, action),
        }
        Ok(world)
    }

    /// Applies an action to the oldest message, or to the one that it names.
    fn apply_to_network(
        &mut self,
        context: &mut ActionContext,
        action: &Action,
    ) -> Result<(), Violation> {
        if matches!(action, Action::Reorder) {
            self.network.rotate_left(1);
            return Ok(());
        }
        let place = match action {
            Action::Deliver(place) => *place,
            _ => 0,
        };
        let Some(envelope) = self.network.remove(place) else {
            return Ok(());
        };
        match action {
            Action::Deliver(_) => self.deliver(context, &envelope),
            Action::Duplicate(after) => {
                self.schedule(*after, Event::Deliver(envelope.clone()));
                self.deliver(context, &envelope)
            }
            Action::Delay(after) => {
                self.schedule(*after, Event::Deliver(envelope));
                Ok(())
            }
            Action::CrashSending(down) => {
                context.muted = Some(envelope.to);
                self.deliver(context, &envelope)?;
                self.crash(envelope.to, *down);
                Ok(())
            }
            // The message is lost.
            _ => Ok(()),
        }
    }

    /// Applies a fault of a machine.
    fn apply_to_machine(&mut self, scenario: &Scenario, action: &Action) {
        match action {
            Action::Crash(n, down) => self.crash(*n, *down),
            Action::Wipe(n, down) => {
                self.wipes += 1;
                self.wipe(scenario, *n);
                self.crash(*n, *down);
            }
            Action::Replace(n, after) => {
                self.replaced += 1;
                self.wipe(scenario, *n);
                self.crash(*n, *after);
                self.machine(*n).gone = true;
                self.schedule(*after, Event::Join);
            }
            Action::Freeze(n, duration) => {
                self.machine(*n).frozen = true;
                self.schedule(*duration, Event::Thaw(*n));
            }
            Action::Cut(n, way, duration) => {
                self.cut_off(*n, *way);
                self.schedule(*duration, Event::Heal(*n, *way));
            }
            Action::Slow(n, duration) => {
                self.machine(*n).slow = true;
                self.schedule(*duration, Event::FastDisk(*n));
            }
            _ => {}
        }
    }

    /// A member is asked to leave; its process is killed if it doesn't end in time.
    fn leave(
        &mut self,
        context: &ActionContext,
        n: usize,
        down: Duration,
    ) -> Result<(), Violation> {
        let incarnation = self.machines[n].incarnations;
        self.machine(n).leaving = Some(down);
        self.schedule(LEAVE_TIMEOUT, Event::Kill(n, incarnation));
        self.step(context, n, Input::Depart)
    }
}
