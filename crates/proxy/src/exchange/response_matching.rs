//! Which answer of a host belongs to the request, and what becomes of those that don't.

use super::host_wait::{HostWait, Stop};
use super::{Exchange, ATTEMPT_ID, MAX_BUFFERED_ANSWER};
use crate::state::OpenAttempt;
use crate::upstream::acquire;
use crate::upstream::connection::UpstreamConnection;
use bytes::BytesMut;
use http1::{BodyDecoder, ResponseHead};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// The body of a refusal is read up to here, to use the connection again.
const MAX_REFUSAL_BODY: usize = 64 * 1024;
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Answers to others that are passed over in one place.
const MAX_STRAY_ANSWERS: u32 = 4;

/// Whether the host says that it has not run the request. No other status says so.
pub(super) fn refuses(head: &ResponseHead) -> bool {
    head.status == 421
        || (head.status >= 400 && head.fields.get("fennelpin-not-executed").is_some())
}

/// Whose answer a head begins, by the attempt that it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Whose {
    /// This attempt's.
    Ours,
    /// Another's, or nobody can say whose.
    Other,
    /// It names none.
    Unnamed,
}

/// Whether an answer belongs to the attempt with this id. One that names two belongs to nobody.
pub(super) fn whose(head: &ResponseHead, id: &[u8]) -> Whose {
    let mut names = head.fields.get_all(ATTEMPT_ID);
    match (names.next(), names.next()) {
        (Some(named), None) if named == id => Whose::Ours,
        (None, _) => Whose::Unnamed,
        _ => Whose::Other,
    }
}

/// Whether an answer belongs to the attempt with this id. Without an id it can only be a refusal, and only where
/// nobody was answered on this connection before.
pub(super) fn belongs(head: &ResponseHead, id: &[u8], nobody_answered: bool) -> bool {
    match whose(head, id) {
        Whose::Ours => true,
        Whose::Unnamed => nobody_answered && refuses(head),
        Whose::Other => false,
    }
}

impl Exchange<'_> {
    /// The head of the answer to this request, past answers to others; whether there were any.
    pub(super) async fn answer(
        &mut self,
        connection: &mut UpstreamConnection,
        out: &OpenAttempt,
        watch: &mut HostWait,
    ) -> Result<(ResponseHead, bool), Stop> {
        let to_head = self.request.head.method() == b"HEAD";
        let mark = self.request.head.fields.get(ATTEMPT_ID).unwrap_or_default();
        for strays in 0..=MAX_STRAY_ANSWERS {
            let head = watch
                .guard(self, connection, out, async |l: &mut UpstreamConnection| {
                    l.head(to_head).await
                })
                .await?;
            if belongs(&head, mark, strays == 0 && !connection.used) {
                return Ok((head, strays > 0));
            }
            self.state.counters.add(|c| c.strays += 1);
            let (mut body, mut bytes) = (BodyDecoder::new(head.framing), BytesMut::new());
            let whole = async |l: &mut UpstreamConnection| {
                l.whole(&mut body, &mut bytes, MAX_BUFFERED_ANSWER).await
            };
            if !watch.guard(self, connection, out, whole).await? {
                break;
            }
        }
        Err(Stop::UpstreamError)
    }

    /// Reads the rest of an answer that isn't passed on, to use the connection again; the request doesn't wait.
    pub(super) fn drain(
        &self,
        mut connection: UpstreamConnection,
        id: Arc<str>,
        head: ResponseHead,
        stray: bool,
    ) {
        if stray || !head.is_keep_alive() {
            return;
        }
        let state = self.state.clone();
        tokio::task::spawn_local(async move {
            let (mut body, mut out) = (BodyDecoder::new(head.framing), BytesMut::new());
            if let Ok(Ok(true)) = timeout(
                REFUSAL_READ_TIMEOUT,
                connection.whole(&mut body, &mut out, MAX_REFUSAL_BODY),
            )
            .await
            {
                acquire::keep(&state, &id, connection, &head);
            }
        });
    }
}
