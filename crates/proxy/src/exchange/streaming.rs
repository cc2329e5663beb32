//! Streams: passed on as they come, and taken up at another host where the route allows it.

use super::client_writer::Writer;
use super::host_wait::{HostWait, Stop};
use super::{AttemptResult, Exchange, Picked, DEADLINE_SLACK};
use crate::event_stream::EventSplitter;
use crate::response_progress::ConnectionOutcome;
use crate::upstream::acquire;
use crate::upstream::connection::UpstreamConnection;
use balancing::{HostLoad, Outcome};
use bytes::{Bytes, BytesMut};
use configuration::Route;
use http1::{BodyDecoder, ResponseHead};
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Largest event of a stream that may be resumed.
const MAX_EVENT: usize = 1024 * 1024;

/// A stream that has been silent for so long is taken up at another host: half of what its client bears (the
/// longest of two seconds, four times the target and eight times the pause in time).
fn stall(route: &Route) -> Duration {
    let ms = (2.0 * route.target_ms.unwrap_or(0.0))
        .max(4.0 * route.gap_aim_ms.unwrap_or(0.0))
        .max(1000.0);
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX / 4)
}

impl Exchange<'_> {
    /// A stream: passed on as it comes; in whole events where it may go on at another host.
    pub(super) async fn stream(
        &mut self,
        mut connection: UpstreamConnection,
        picked: Picked,
        head: ResponseHead,
        stray: bool,
        load: Option<HostLoad>,
        mut watch: HostWait,
    ) -> AttemptResult {
        picked.out.told(load);
        let resumable = self.route.resumable;
        if self.stage.started() {
            self.state.counters.add(|c| c.resumed += 1);
        }
        let mut writer = Writer::new(self, &head);
        let mut splitter = EventSplitter::new(MAX_EVENT);
        let mut body = BodyDecoder::new(head.framing);
        let mut begun = false;
        loop {
            let next = match begun {
                false => {
                    let piece = async |l: &mut UpstreamConnection| l.piece(&mut body).await;
                    watch.guard(self, &mut connection, &picked.out, piece).await
                }
                true => self.later_piece(&mut connection, &mut body).await,
            };
            let data = match next {
                Ok(Some(data)) => data,
                // One that can go on elsewhere is not taken at an end that may be a cut.
                Ok(None) if body.is_close_delimited() && resumable && writer.marks_end() => {
                    return self.broken(Stop::UpstreamError, picked);
                }
                Ok(None) => break,
                Err(stop) => return self.broken(stop, picked),
            };
            let data = if resumable {
                if splitter.push(&data).is_err() {
                    return self.broken(Stop::UpstreamError, picked);
                }
                self.admitted(&mut splitter)
            } else {
                data
            };
            if data.is_empty() {
                continue;
            }
            if std::mem::replace(&mut begun, true) {
                picked.out.heard();
            } else {
                picked.out.first();
            }
            if !writer.write(self, &head, &data).await {
                return AttemptResult::Answered(ConnectionOutcome::Cut);
            }
        }
        if !stray {
            acquire::keep(self.state, &picked.id, connection, &head);
        }
        picked.out.end(Outcome::Succeeded, None);
        let rest = splitter.take_incomplete();
        if !rest.is_empty() && !writer.write(self, &head, &rest).await {
            return AttemptResult::Answered(ConnectionOutcome::Cut);
        }
        AttemptResult::Answered(writer.finish(self, &head).await)
    }

    /// A stream that has broken: it goes on at another host where the client has nothing of it yet or that can
    /// be told where to go on, and is cut otherwise.
    fn broken(&self, stop: Stop, picked: Picked) -> AttemptResult {
        let cut = self.stage.started() && !self.may_go_on();
        match self.stopped(stop, picked.out) {
            _ if cut => AttemptResult::Answered(ConnectionOutcome::Cut),
            result => result,
        }
    }

    /// What comes next of a stream that has begun. One that may go on elsewhere is not waited for until its
    /// client gives up, unless the host shows itself alive on other connections: there it will go on.
    async fn later_piece(
        &mut self,
        connection: &mut UpstreamConnection,
        body: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, Stop> {
        let end = self.end() + DEADLINE_SLACK;
        let mut waits = self.may_go_on();
        if self.overtime() {
            return Err(Stop::Late);
        }
        loop {
            let since = Instant::now();
            let until = if waits {
                end.min(since + stall(self.route))
            } else {
                end
            };
            match timeout_at(until, connection.piece(body)).await {
                Ok(next) => return next.map_err(|_| Stop::UpstreamError),
                Err(_) if until >= end => return Err(Stop::Late),
                Err(_) if connection.heard_since(since) => {}
                Err(_) => {
                    waits = self.trial.may_fail_over(self.state.now());
                    if let Some(next) = waits.then(|| self.pick().ok()).flatten() {
                        return Err(Stop::Moved(next));
                    }
                }
            }
        }
    }

    /// The whole events that have come and are new.
    fn admitted(&mut self, splitter: &mut EventSplitter) -> Bytes {
        let mut first = Bytes::new();
        let mut more = BytesMut::new();
        while let Some(event) = splitter.next_event() {
            if !self.place.advance(&event) {
                continue;
            }
            if first.is_empty() {
                first = event.bytes;
                continue;
            }
            if more.is_empty() {
                more.extend_from_slice(&first);
            }
            more.extend_from_slice(&event.bytes);
        }
        if more.is_empty() {
            first
        } else {
            more.freeze()
        }
    }
}
