//! The actor round a core's table: its mailbox, and a turn over all messages that wait in it.

use super::message::CoreMessage;
use super::query::{Answer, NewQuery};
use super::table::QueryTable;
use super::transport::Transport;
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

/// How often a query that went to another core checks whether that one still runs.
const CORE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The dispatcher of queries to cores, with the origin of its times.
#[derive(Clone)]
pub struct Dispatch {
    /// Shared by all cores of the process.
    pub dispatcher: Arc<CoreDispatcher>,
    /// Times are told to the dispatcher in microseconds since this.
    pub origin: Instant,
}

impl Dispatch {
    fn micros_at(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.origin).as_micros() as u64
    }

    fn micros_now(&self) -> u64 {
        self.micros_at(Instant::now())
    }
}

/// The way to the cores, for fronts.
///
/// A mailbox holds no more queries than may be open: one more is rejected here. Its other messages
/// are bounded by the attempts in flight and by the clients that have left.
#[derive(Clone)]
pub struct CoreHandle {
    mailboxes: Arc<[mpsc::UnboundedSender<CoreMessage>]>,
    dispatch: Dispatch,
    /// Retry-after hint of a query that finds the mailbox full.
    retry_after: Duration,
    key_hasher: Arc<RandomState>,
    counters: Counters,
    next_ticket: Arc<AtomicU64>,
}

/// A query that waits for its answer. Dropped before that, it withdraws the query.
///
/// The output is `None` only if the core has ended, or is another one that stands still.
pub struct PendingQuery {
    ticket: u64,
    answer: oneshot::Receiver<Answer>,
    /// The core's mailbox, until the query is answered.
    mailbox: Option<mpsc::UnboundedSender<CoreMessage>>,
    /// The core that has it, until it is settled.
    assigned: Option<AssignedCore>,
    /// Checks on another core that may end or stand still.
    core_check: Option<Pin<Box<Sleep>>>,
}

struct AssignedCore {
    core: usize,
    dispatch: Dispatch,
}

impl CoreHandle {
    /// The way to these mailboxes, one for each core.
    pub fn new(
        mailboxes: Vec<mpsc::UnboundedSender<CoreMessage>>,
        dispatch: Dispatch,
        retry_after: Duration,
        counters: Counters,
    ) -> Self {
        Self {
            mailboxes: mailboxes.into(),
            dispatch,
            retry_after,
            key_hasher: Arc::default(),
            counters,
            next_ticket: Arc::default(),
        }
    }

    /// Submits a query to this thread's core, unless the dispatcher prefers another one.
    pub fn submit(&self, query: NewQuery) -> PendingQuery {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        let now = self.dispatch.micros_now();
        let mut pending = PendingQuery {
            ticket,
            answer,
            mailbox: None,
            assigned: None,
            core_check: None,
        };
        let key = query
            .idempotency_key
            .as_ref()
            .map(|key| self.key_hasher.hash_one(key));
        let dispatcher = &self.dispatch.dispatcher;
        // Without a healthy core the sender is dropped: the query ends at once.
        let Some(core) = dispatcher.core_for_query(current_core(), key, now) else {
            return pending;
        };
        if !dispatcher.try_enqueue(core, now) {
            self.counters.inc("answered.refused.mailbox");
            let _ = reply.send(Answer::Rejected {
                retry_after: Some(self.retry_after),
                cause: Cause::Overloaded,
                missing: vec![],
            });
            return pending;
        }
        pending.assigned = Some(AssignedCore {
            core,
            dispatch: self.dispatch.clone(),
        });
        if core != current_core() {
            self.counters.inc("cores.handed_over");
            pending.core_check = Some(Box::pin(tokio::time::sleep(CORE_CHECK_INTERVAL)));
        }
        let mailbox = &self.mailboxes[core];
        pending.mailbox = mailbox
            .send(CoreMessage::Submit(Box::new(query), ticket, reply))
            .is_ok()
            .then(|| mailbox.clone());
        pending
    }
}

impl PendingQuery {
    /// Tells the dispatcher that the core doesn't have this query any more.
    fn settle(&mut self) {
        if let Some(assigned) = self.assigned.take() {
            assigned.dispatch.dispatcher.query_finished(assigned.core);
        }
    }

    /// Whether the other core that has it has ended or stands still.
    fn is_deserted(&mut self, cx: &mut Context<'_>) -> bool {
        let (Some(check), Some(assigned)) = (&mut self.core_check, &self.assigned) else {
            return false;
        };
        let (core, dispatcher) = (assigned.core, &assigned.dispatch.dispatcher);
        while check.as_mut().poll(cx).is_ready() {
            let now = assigned.dispatch.micros_now();
            if !dispatcher.is_alive(core) || dispatcher.is_stalled(core, now) {
                return true;
            }
            check
                .as_mut()
                .reset(tokio::time::Instant::now() + CORE_CHECK_INTERVAL);
        }
        false
    }
}

impl Future for PendingQuery {
    type Output = Option<Answer>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        match Pin::new(&mut self.answer).poll(cx) {
            Poll::Ready(answer) => {
                self.mailbox = None;
                self.settle();
                Poll::Ready(answer.ok())
            }
            // It is withdrawn when it is dropped.
            Poll::Pending if self.is_deserted(cx) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Drop for PendingQuery {
    fn drop(&mut self) {
        self.settle();
        if let Some(mailbox) = self.mailbox.take() {
            let _ = mailbox.send(CoreMessage::Withdraw(self.ticket));
        }
    }
}

/// Runs a core until every sender of its mailbox is gone. The dispatcher is told of each query that
/// it takes out of the mailbox.
pub async fn run<T: Transport>(
    mut table: QueryTable<T>,
    mut mailbox: mpsc::UnboundedReceiver<CoreMessage>,
    core: usize,
    dispatch: Dispatch,
) {
    table.end_turn(Instant::now());
    loop {
        let wake_at = tokio::time::Instant::from_std(table.next_wake_at());
        tokio::select! {
            first = mailbox.recv() => match first {
                None => return,
                Some(first) => handle(&mut table, first, core, &dispatch),
            },
            () = tokio::time::sleep_until(wake_at) => {}
        }
        // A turn is all that waits by now: parts that end together are decided on together.
        while let Ok(more) = mailbox.try_recv() {
            handle(&mut table, more, core, &dispatch);
        }
        let now = Instant::now();
        table.run_timers(now);
        table.end_turn(now);
    }
}

fn handle<T: Transport>(
    table: &mut QueryTable<T>,
    message: CoreMessage,
    core: usize,
    dispatch: &Dispatch,
) {
    let now = Instant::now();
    if matches!(message, CoreMessage::Submit(..)) {
        dispatch
            .dispatcher
            .query_dequeued(core, dispatch.micros_at(now));
    }
    table.handle_message(message, now);
}
