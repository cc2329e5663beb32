//! The actor that owns a core's query table. It drains its mailbox in turns.

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

/// Interval at which a query submitted to another core checks whether that core is still running.
const CORE_LIVENESS_INTERVAL: Duration = Duration::from_millis(100);

/// The dispatcher that assigns queries to cores, with the origin of its times.
#[derive(Clone)]
pub struct Dispatch {
    /// The dispatcher, which all cores of the process share.
    pub dispatcher: Arc<CoreDispatcher>,
    /// The origin from which the dispatcher's times are counted, in microseconds.
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

/// A handle through which front ends submit queries to the cores.
///
/// A mailbox holds no more queries than may be open; the handle rejects any beyond that. The other messages in a
/// mailbox are bounded by the attempts in flight and by the clients that have left.
#[derive(Clone)]
pub struct CoreHandle {
    mailboxes: Arc<[mpsc::UnboundedSender<CoreMessage>]>,
    dispatch: Dispatch,
    /// Retry-after hint for a query that is rejected because the mailbox is full.
    retry_after: Duration,
    key_hasher: Arc<RandomState>,
    counters: Counters,
    next_ticket: Arc<AtomicU64>,
}

/// A submitted query that waits for its answer. Dropping it before the answer withdraws the query.
///
/// The output is `None` only if the core has ended, or if the query is on another core that has stalled.
pub struct PendingQuery {
    ticket: u64,
    answer: oneshot::Receiver<Answer>,
    /// The mailbox of the query's core, until the query is answered.
    mailbox: Option<mpsc::UnboundedSender<CoreMessage>>,
    /// The core that holds the query, until the dispatcher is told that the query has finished.
    assigned: Option<AssignedCore>,
    /// Timer of the next check whether the query's core is running; `None` if the query is on this thread's core.
    liveness_check: Option<Pin<Box<Sleep>>>,
}

struct AssignedCore {
    core: usize,
    dispatch: Dispatch,
}

impl CoreHandle {
    /// Creates a handle to these mailboxes, one for each core.
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

    /// Submits a query to this thread's core, or to another core if the dispatcher chooses one.
    pub fn submit(&self, query: NewQuery) -> PendingQuery {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        let now = self.dispatch.micros_now();
        let mut pending = PendingQuery {
            ticket,
            answer,
            mailbox: None,
            assigned: None,
            liveness_check: None,
        };
        let key = query
            .idempotency_key
            .as_ref()
            .map(|key| self.key_hasher.hash_one(key));
        let dispatcher = &self.dispatch.dispatcher;
        // Without a healthy core, the reply sender is dropped, which ends the query at once.
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
            pending.liveness_check = Some(Box::pin(tokio::time::sleep(CORE_LIVENESS_INTERVAL)));
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
    /// Tells the dispatcher, once, that the core no longer holds this query.
    fn release_core(&mut self) {
        if let Some(assigned) = self.assigned.take() {
            assigned.dispatch.dispatcher.query_finished(assigned.core);
        }
    }

    /// Returns whether the query is on another core that has ended or stalled.
    fn is_core_unavailable(&mut self, cx: &mut Context<'_>) -> bool {
        let (Some(check), Some(assigned)) = (&mut self.liveness_check, &self.assigned) else {
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
                .reset(tokio::time::Instant::now() + CORE_LIVENESS_INTERVAL);
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
                self.release_core();
                Poll::Ready(answer.ok())
            }
            // Dropping the pending query withdraws it.
            Poll::Pending if self.is_core_unavailable(cx) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Drop for PendingQuery {
    fn drop(&mut self) {
        self.release_core();
        if let Some(mailbox) = self.mailbox.take() {
            let _ = mailbox.send(CoreMessage::Withdraw(self.ticket));
        }
    }
}

/// Runs a core until every sender of its mailbox is dropped. Tells the dispatcher about each query that leaves the
/// mailbox.
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
        // A turn covers every message that is waiting by now, so that parts that end together are decided on together.
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
