//! The lifecycle of a link: it connects, serves calls, and reports the parts that remain when the connection ends.

use super::connection::{Link, LinkEnd};
use super::{LinkCommand, LinkSetup, CANCEL_REPORT_DELAY};
use crate::core::{CoreMessage, PartRequest};
use crate::interface::{Outcome, RequestId};
use crate::net::buffered_stream::BufferedStream;
use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::time::Instant;
use tokio::io::AsyncWriteExt;

const INPUT_BUFFER_BYTES: usize = 16 * 1024;
const OUTPUT_BUFFER_BYTES: usize = 16 * 1024;
/// Reason codes of connections that ended because of invalid input from the host.
const INVALID_INPUT_CODES: [&str; 3] = ["bad_frame", "unknown_part", "host_refused_frame"];

pub(super) async fn run(mut setup: LinkSetup) {
    let mut queue = VecDeque::new();
    loop {
        let mut held = HeldCommands::default();
        let conn = match connect(&mut setup, &mut queue, &mut held).await {
            Ok(conn) => conn,
            Err(e) => {
                setup.mail.close();
                setup.log_end("connect_failed", &e.to_string());
                (0..held.probes)
                    .for_each(|_| run_unconnected(&mut setup, &mut queue, LinkCommand::Probe));
                fail_queued_parts(&mut setup, queue);
                return;
            }
        };
        setup.counters.inc("links.opened");
        let mut link = Link::new(setup, conn, queue);
        for _ in 0..held.probes {
            link.handle_command(LinkCommand::Probe);
        }
        let LinkEnd { code, detail } = if held.release && !link.is_busy() {
            LinkEnd::new("released", "")
        } else {
            link.serve().await
        };
        link.setup.log_end(code, &detail);
        let closed = matches!(code, "host_closed" | "extra_bytes" | "worn");
        link.setup
            .load
            .parts
            .fetch_sub(link.unanswered_cancels, Ordering::Relaxed);
        if matches!(code, "host_closed" | "host_reset" | "write_failed") {
            link.setup.stall_detector.record_end(
                link.last_received_at,
                Instant::now(),
                link.setup.connect_timeout,
            );
        } else {
            // This side ends the connection: the host has to see that before the core is told.
            let _ = link.conn.stream.shutdown().await;
            tokio::time::sleep(CANCEL_REPORT_DELAY).await;
        }
        let unused = link.sending.is_none() && link.in_flight.is_empty() && closed;
        // A host that sends invalid input is alive; the parts that waited on the connection may have run.
        link.fail_started(if INVALID_INPUT_CODES.contains(&code) {
            Outcome::Error
        } else {
            Outcome::Reset
        });
        (setup, queue) = (link.setup, link.queue);
        // A host that closes an idle connection while a call is on its way has not refused the call.
        while let Some(command) = unused.then(|| setup.mail.try_recv().ok()).flatten() {
            run_unconnected(&mut setup, &mut queue, command);
        }
        if !unused || queue.is_empty() {
            setup.mail.close();
            fail_queued_parts(&mut setup, queue);
            return;
        }
    }
}

/// Commands that were received during connection setup and need the connection.
#[derive(Default)]
struct HeldCommands {
    probes: usize,
    release: bool,
}

/// Connects, and handles commands in the meantime: a part that is cancelled before the connection is established ends
/// at once and is never sent. Commands that need the connection are held until it is established.
async fn connect(
    setup: &mut LinkSetup,
    queue: &mut VecDeque<Vec<PartRequest>>,
    held: &mut HeldCommands,
) -> std::io::Result<BufferedStream> {
    let addr = setup.addr.clone();
    let connecting = BufferedStream::connect(
        &addr,
        setup.connect_timeout,
        INPUT_BUFFER_BYTES,
        OUTPUT_BUFFER_BYTES,
    );
    tokio::pin!(connecting);
    loop {
        tokio::select! {
            biased;
            Some(command) = setup.mail.recv() => match command {
                LinkCommand::Probe => held.probes += 1,
                LinkCommand::Release => held.release = true,
                command => run_unconnected(setup, queue, command),
            },
            opened = &mut connecting => return opened,
        }
    }
}

/// Removes an attempt from the queued calls. Returns whether it was among them.
pub fn remove_queued_attempt(
    queue: &mut VecDeque<Vec<PartRequest>>,
    part: RequestId,
    attempt: u32,
) -> bool {
    let this = |p: &PartRequest| (p.part, p.attempt) == (part, attempt);
    let was_queued = queue.iter().flatten().any(this);
    queue.iter_mut().for_each(|c| c.retain(|p| !this(p)));
    queue.retain(|c| !c.is_empty());
    was_queued
}

/// Handles a command without using a connection.
pub(super) fn run_unconnected(
    setup: &mut LinkSetup,
    queue: &mut VecDeque<Vec<PartRequest>>,
    command: LinkCommand,
) {
    match command {
        LinkCommand::Call(parts) => queue.push_back(parts),
        LinkCommand::Cancel(part, attempt, outcome) => {
            if remove_queued_attempt(queue, part, attempt) {
                // It was never sent, so it never ran, even if it timed out.
                let outcome = if outcome == Outcome::Timeout {
                    Outcome::NotSent
                } else {
                    outcome
                };
                setup.ended(part, attempt, outcome);
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

/// Fails all queued parts, which have not run because there is no connection.
fn fail_queued_parts(setup: &mut LinkSetup, mut queue: VecDeque<Vec<PartRequest>>) {
    while let Ok(command) = setup.mail.try_recv() {
        run_unconnected(setup, &mut queue, command);
    }
    for p in queue.into_iter().flatten() {
        setup.ended(p.part, p.attempt, Outcome::ConnectFailed);
    }
}
