//! How pulls are answered: at once if there is an update, else when there is one or the pull's time is over.

use super::state::World;
use super::subscriber::{ProcessId, SubscriberEvent, WaitingPull};
use crate::plan::ms;
use replication::{Pull, Update};

impl World<'_> {
    /// A pull arrives: it is answered at once if there is an update, else it waiting.
    pub(super) fn pull_arrives(
        &mut self,
        process: ProcessId,
        from: ProcessId,
        from_incarnation: u32,
        link: u64,
        pull: Pull,
    ) {
        self.last_number += 1;
        let waiting = WaitingPull {
            number: self.last_number,
            from,
            from_incarnation,
            link,
            pull,
        };
        let (number, wait) = (waiting.number, ms(waiting.pull.wait_ms.into()));
        let incarnation = self.subscribers.get(&process).map_or(0, |s| s.incarnation);
        if !self.try_answer_pull(process, waiting) {
            self.schedule_subscriber_event(
                wait,
                process,
                incarnation,
                SubscriberEvent::PullTimedOut(number),
            );
        }
    }

    /// Answers a pull if there is an update, else keeps it waiting. Whether it was answered.
    pub(super) fn try_answer_pull(&mut self, process: ProcessId, waiting: WaitingPull) -> bool {
        let now = self.subscriber_clock(process);
        let Some(subscriber) = self.subscribers.get_mut(&process) else {
            return true;
        };
        if let Some(update) = subscriber.mirror.update_for(now, &waiting.pull) {
            self.answer_pull(process, &waiting, update);
            true
        } else {
            subscriber.waiting.push(waiting);
            false
        }
    }

    pub(super) fn pull_timed_out(&mut self, process: ProcessId, number: u64) {
        let now = self.subscriber_clock(process);
        let Some(subscriber) = self.subscribers.get_mut(&process) else {
            return;
        };
        let Some(index) = subscriber.waiting.iter().position(|w| w.number == number) else {
            return;
        };
        let waiting = subscriber.waiting.swap_remove(index);
        let update = subscriber.mirror.empty_update(now);
        self.answer_pull(process, &waiting, update);
    }

    fn answer_pull(&mut self, process: ProcessId, waiting: &WaitingPull, update: Update) {
        if self.is_partitioned(process, waiting.from) {
            return;
        }
        let delay = self.message_delay();
        let event = SubscriberEvent::UpdateArrives {
            link: waiting.link,
            update: Box::new(update),
        };
        self.schedule_subscriber_event(delay, waiting.from, waiting.from_incarnation, event);
    }
}
