//! Answers that are read whole before they are passed on, and those that are too large for it.

use super::client_writer::Writer;
use super::host_wait::HostWait;
use super::{closes, AttemptResult, Exchange, Picked, DEADLINE_SLACK, MAX_BUFFERED_ANSWER};
use crate::response_progress::ConnectionOutcome;
use crate::retry::AttemptOutcome;
use crate::upstream::acquire;
use crate::upstream::connection::UpstreamConnection;
use balancing::{HostLoad, Outcome};
use bytes::{Bytes, BytesMut};
use http1::{BodyDecoder, Framing, ResponseHead};
use tokio::time::timeout_at;

impl Exchange<'_> {
    /// An answer that is read whole before it is passed on, unless it is large.
    pub(super) async fn whole(
        &mut self,
        mut connection: UpstreamConnection,
        picked: Picked,
        head: ResponseHead,
        stray: bool,
        load: Option<HostLoad>,
        mut watch: HostWait,
    ) -> AttemptResult {
        // Quick failures must not make a host look well.
        if head.status < 400 {
            picked.out.first();
        }
        watch.patience_over();
        let (mut body, mut out) = (BodyDecoder::new(head.framing), BytesMut::new());
        let read = async |l: &mut UpstreamConnection| {
            l.whole(&mut body, &mut out, MAX_BUFFERED_ANSWER).await
        };
        match watch.guard(self, &mut connection, &picked.out, read).await {
            Err(stop) => return self.stopped(stop, picked.out),
            Ok(false) => {
                picked.out.told(load);
                return self.large(connection, picked, head, stray, body, out).await;
            }
            Ok(true) => {}
        }
        if !stray {
            acquire::keep(self.state, &picked.id, connection, &head);
        }
        let out = out.freeze();
        if head.status < 500 {
            let outcome = if head.status < 400 {
                Outcome::Succeeded
            } else {
                Outcome::Failed
            };
            picked.out.end(outcome, load);
            return AttemptResult::Answered(self.pass_whole(&head, &out).await);
        }
        picked.out.end(Outcome::Failed, load);
        self.kept = Some((head, out));
        AttemptResult::Ended(AttemptOutcome::HostFailed)
    }

    pub(super) async fn pass_whole(&self, head: &ResponseHead, body: &Bytes) -> ConnectionOutcome {
        let close = closes(self.state, self.request);
        let framing = if self.bodiless(head) {
            None
        } else {
            Some(Framing::Length(body.len() as u64))
        };
        let text = self.client_head(head, framing, close);
        self.stage.start();
        match self.write(&text, body).await {
            true => {
                self.state.counters.add(|c| c.passed += 1);
                if close {
                    ConnectionOutcome::Close
                } else {
                    ConnectionOutcome::Keep
                }
            }
            false => ConnectionOutcome::Cut,
        }
    }

    /// The rest of an answer that is too large to be held.
    async fn large(
        &mut self,
        mut connection: UpstreamConnection,
        picked: Picked,
        head: ResponseHead,
        stray: bool,
        mut body: BodyDecoder,
        start: BytesMut,
    ) -> AttemptResult {
        let mut writer = Writer::new(self, &head);
        let mut sent = writer.write(self, &head, &start).await;
        loop {
            if !sent {
                return AttemptResult::Answered(ConnectionOutcome::Cut);
            }
            match timeout_at(self.end() + DEADLINE_SLACK, connection.piece(&mut body)).await {
                Ok(Ok(Some(_))) if self.overtime() => {
                    picked.out.end(Outcome::TimedOut, None);
                    return AttemptResult::Answered(ConnectionOutcome::Cut);
                }
                Ok(Ok(Some(data))) => {
                    picked.out.heard();
                    sent = writer.write(self, &head, &data).await;
                }
                Ok(Ok(None)) => break,
                Ok(Err(_)) => {
                    self.state.counters.add(|c| c.broken += 1);
                    picked.out.end(Outcome::ConnectionLost, None);
                    return AttemptResult::Answered(ConnectionOutcome::Cut);
                }
                Err(_) => {
                    picked.out.end(Outcome::TimedOut, None);
                    return AttemptResult::Answered(ConnectionOutcome::Cut);
                }
            }
        }
        if !stray {
            acquire::keep(self.state, &picked.id, connection, &head);
        }
        picked.out.end(
            if head.status < 400 {
                Outcome::Succeeded
            } else {
                Outcome::Failed
            },
            None,
        );
        AttemptResult::Answered(writer.finish(self, &head).await)
    }
}
