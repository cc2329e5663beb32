//! A link's life: it connects, works, and hands back what never ran once the connection has ended.

use super::connection::{Link, LinkEnd};
use super::{LinkCommand, LinkSetup, CANCEL_REPORT_DELAY};
use crate::core::{CoreMessage, PartRequest};
use crate::interface::{Outcome, RequestId};
use crate::net::buffered_stream::BufferedStream;
use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::time::Instant;
use tokio::io::AsyncWriteExt;

const INPUT: usize = 16 * 1024;
const OUTPUT: usize = 16 * 1024;
/// Reason codes of connections that ended over what the host sent.
const SPOILT: [&str; 3] = ["bad_frame", "unknown_part", "host_refused_frame"];

pub(super) async fn run(mut setup: LinkSetup) {
    let mut queue = VecDeque::new();
    loop {
        let mut held = Held::default();
        let conn = match connect(&mut setup, &mut queue, &mut held).await {
            Ok(conn) => conn,
            Err(e) => {
                setup.mail.close();
                setup.log_end("connect_failed", &e.to_string());
                (0..held.probes)
                    .for_each(|_| take_unconnected(&mut setup, &mut queue, LinkCommand::Probe));
                refuse_all(&mut setup, queue);
                return;
            }
        };
        setup.counters.inc("links.opened");
        let mut link = Link::new(setup, conn, queue);
        for _ in 0..held.probes {
            link.take(LinkCommand::Probe);
        }
        let LinkEnd { code, detail } = if held.release && !link.busy() {
            LinkEnd::new("released", "")
        } else {
            link.serve().await
        };
        link.setup.log_end(code, &detail);
        let closed = matches!(code, "host_closed" | "extra_bytes" | "worn");
        link.setup
            .load
            .parts
            .fetch_sub(link.gone, Ordering::Relaxed);
        if matches!(code, "host_closed" | "host_reset" | "write_failed") {
            link.setup.stall_detector.record_end(
                link.heard,
                Instant::now(),
                link.setup.connect_timeout,
            );
        } else {
            // The end is ours: the host has to see it before the core hears of it.
            let _ = link.conn.stream.shutdown().await;
            tokio::time::sleep(CANCEL_REPORT_DELAY).await;
        }
        let unused = link.sending.is_none() && link.out.is_empty() && closed;
        // A host that sends what can't be read is alive; the parts that waited there may have run.
        link.fail_started(if SPOILT.contains(&code) {
            Outcome::Error
        } else {
            Outcome::Reset
        });
        (setup, queue) = (link.setup, link.queue);
        // A host that closes an unused connection while a call is on its way to it has refused nothing.
        while let Some(mail) = unused.then(|| setup.mail.try_recv().ok()).flatten() {
            take_unconnected(&mut setup, &mut queue, mail);
        }
        if !unused || queue.is_empty() {
            setup.mail.close();
            refuse_all(&mut setup, queue);
            return;
        }
    }
}

/// What came while a connection was being opened and needs it.
#[derive(Default)]
struct Held {
    probes: usize,
    release: bool,
}

/// Connects, and meanwhile takes what comes: a part given up before the connection is up is over at once and
/// never goes out on it. What needs the connection is held until it is there.
async fn connect(
    setup: &mut LinkSetup,
    queue: &mut VecDeque<Vec<PartRequest>>,
    held: &mut Held,
) -> std::io::Result<BufferedStream> {
    let addr = setup.addr.clone();
    let connecting = BufferedStream::connect(&addr, setup.connect_timeout, INPUT, OUTPUT);
    tokio::pin!(connecting);
    loop {
        tokio::select! {
            biased;
            Some(mail) = setup.mail.recv() => match mail {
                LinkCommand::Probe => held.probes += 1,
                LinkCommand::Release => held.release = true,
                mail => take_unconnected(setup, queue, mail),
            },
            opened = &mut connecting => return opened,
        }
    }
}

/// Takes an attempt out of the calls that have not begun; whether it was there.
pub fn remove_queued_attempt(
    queue: &mut VecDeque<Vec<PartRequest>>,
    part: RequestId,
    attempt: u32,
) -> bool {
    let this = |p: &PartRequest| (p.part, p.attempt) == (part, attempt);
    let there = queue.iter().flatten().any(this);
    queue.iter_mut().for_each(|c| c.retain(|p| !this(p)));
    queue.retain(|c| !c.is_empty());
    there
}

pub(super) fn take_unconnected(
    setup: &mut LinkSetup,
    queue: &mut VecDeque<Vec<PartRequest>>,
    mail: LinkCommand,
) {
    match mail {
        LinkCommand::Call(parts) => queue.push_back(parts),
        LinkCommand::Cancel(part, attempt, outcome) => {
            if remove_queued_attempt(queue, part, attempt) {
                // Never sent, so never ran, whatever it was given up for.
                let never = if outcome == Outcome::Timeout {
                    Outcome::NotSent
                } else {
                    outcome
                };
                setup.ended(part, attempt, never);
            }
        }
        LinkCommand::Retract(part, attempt) => {
            if remove_queued_attempt(queue, part, attempt) {
                setup.ended(part, attempt, Outcome::NotSent);
            }
        }
        LinkCommand::Probe => {
            let failed = CoreMessage::ProbeEnded(setup.server, Outcome::ConnectFailed, None);
            let _ = setup.core.send(failed);
        }
        LinkCommand::StopAt(at) => setup.stop_at = at,
        LinkCommand::Release => {}
    }
}

/// No connection came about: nothing that waits for it has run.
fn refuse_all(setup: &mut LinkSetup, mut queue: VecDeque<Vec<PartRequest>>) {
    while let Ok(mail) = setup.mail.try_recv() {
        take_unconnected(setup, &mut queue, mail);
    }
    for p in queue.into_iter().flatten() {
        setup.ended(p.part, p.attempt, Outcome::ConnectFailed);
    }
}
