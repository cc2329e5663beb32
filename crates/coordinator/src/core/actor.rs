//! The module's actor: a mailbox, and turns over all that waits in it.

use super::{Answer, Mail, NewQuery, Table, Transport};
use crate::cores::current_core;
use crate::counters::Counters;
use crate::interface::Cause;
use multi_core::core_dispatch::CoreDispatcher;
use std::future::Future;
use std::hash::{BuildHasher, RandomState};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Sleep;

/// How often a query that went to another core looks whether that one still runs.
const WATCH: Duration = Duration::from_millis(100);

/// The way to the core, or to the cores, for fronts. A mailbox holds no more queries than the cap on what
/// may be open: one more is refused here. What else is in it is bounded by the attempts that are out and
/// by the clients that have gone.
#[derive(Clone)]
pub struct Core {
    mailboxes: Arc<[mpsc::UnboundedSender<Mail>]>,
    dispatcher: Arc<CoreDispatcher>,
    /// The origin of the times that `dispatcher` is told.
    origin: Instant,
    /// When one that finds a mailbox full is asked to come back.
    hint: Duration,
    hash: Arc<RandomState>,
    counters: Counters,
    next: Arc<AtomicU64>,
}

/// A query that waits for its answer. Dropped before that, it withdraws the query.
pub struct Ticket {
    number: u64,
    answer: oneshot::Receiver<Answer>,
    mail: Option<mpsc::UnboundedSender<Mail>>,
    /// Where it went, until it is settled.
    at: Option<(Arc<CoreDispatcher>, usize)>,
    /// Looks after another core that may die or stand still.
    watch: Option<(Pin<Box<Sleep>>, Instant)>,
}

impl Core {
    /// The way to these mailboxes, one for each core.
    pub fn new(
        mailboxes: Vec<mpsc::UnboundedSender<Mail>>,
        dispatcher: Arc<CoreDispatcher>,
        origin: Instant,
        hint: Duration,
        counters: Counters,
    ) -> Self {
        let (hash, next) = Default::default();
        Self {
            mailboxes: mailboxes.into(),
            dispatcher,
            origin,
            hint,
            hash,
            counters,
            next,
        }
    }

    fn now(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    /// Hands a query over: to this thread's core, unless another is to have it.
    pub fn submit(&self, query: NewQuery) -> Ticket {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, answer) = oneshot::channel();
        let now = self.now();
        let mut ticket = Ticket {
            number,
            answer,
            mail: None,
            at: None,
            watch: None,
        };
        let key = query.key.as_ref().map(|k| self.hash.hash_one(k));
        // Without a sound core the sender is dropped: the ticket ends at once.
        let Some(core) = self.dispatcher.core_for_query(current_core(), key, now) else {
            return ticket;
        };
        if !self.dispatcher.try_enqueue(core, now) {
            self.counters.inc("answered.refused.mailbox");
            let (retry_after, cause, missing) = (Some(self.hint), Cause::Overloaded, vec![]);
            let _ = tx.send(Answer::Refused {
                retry_after,
                cause,
                missing,
            });
            return ticket;
        }
        ticket.at = Some((self.dispatcher.clone(), core));
        if core != current_core() {
            self.counters.inc("cores.handed_over");
            ticket.watch = Some((Box::pin(tokio::time::sleep(WATCH)), self.origin));
        }
        let mailbox = &self.mailboxes[core];
        ticket.mail = mailbox
            .send(Mail::Query(Box::new(query), number, tx))
            .is_ok()
            .then(|| mailbox.clone());
        ticket
    }
}

impl Ticket {
    fn settle(&mut self) {
        if let Some((dispatcher, core)) = self.at.take() {
            dispatcher.query_finished(core);
        }
    }

    /// Whether the other core that has it has ended or stands still.
    fn deserted(&mut self, cx: &mut Context<'_>) -> bool {
        let (Some((watch, origin)), Some((dispatcher, core))) = (&mut self.watch, &self.at) else {
            return false;
        };
        while watch.as_mut().poll(cx).is_ready() {
            let now = origin.elapsed().as_micros() as u64;
            if !dispatcher.is_alive(*core) || dispatcher.is_stalled(*core, now) {
                return true;
            }
            watch.as_mut().reset(tokio::time::Instant::now() + WATCH);
        }
        false
    }
}

impl Future for Ticket {
    /// `None` only if the core itself has gone, or is another one that stands still.
    type Output = Option<Answer>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        match Pin::new(&mut self.answer).poll(cx) {
            Poll::Ready(answer) => {
                self.mail = None;
                self.settle();
                Poll::Ready(answer.ok())
            }
            // Its withdrawal goes out as the ticket is dropped.
            Poll::Pending if self.deserted(cx) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.settle();
        if let Some(mail) = self.mail.take() {
            let _ = mail.send(Mail::Withdraw(self.number));
        }
    }
}

/// Runs the core until every sender of its mailbox is gone. `dispatcher` hears of each query that it takes.
pub async fn start<T: Transport>(
    mut table: Table<T>,
    mut mail: mpsc::UnboundedReceiver<Mail>,
    (dispatcher, core, origin): (Arc<CoreDispatcher>, usize, Instant),
) {
    let take = |table: &mut Table<T>, mail: Mail| {
        let now = Instant::now();
        if matches!(mail, Mail::Query(..)) {
            dispatcher.query_dequeued(
                core,
                now.saturating_duration_since(origin).as_micros() as u64,
            );
        }
        table.take(mail, now);
    };
    table.turn_end(Instant::now());
    loop {
        let wake = tokio::time::Instant::from_std(table.next_wake());
        tokio::select! {
            first = mail.recv() => match first {
                None => return,
                Some(first) => take(&mut table, first),
            },
            _ = tokio::time::sleep_until(wake) => {}
        }
        // A turn is all that waits by now: parts that end together are decided on together.
        while let Ok(more) = mail.try_recv() {
            take(&mut table, more);
        }
        let now = Instant::now();
        table.run_timers(now);
        table.turn_end(now);
    }
}
