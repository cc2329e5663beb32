//! A client's request.

use crate::headers::ATTEMPT_ID;
use crate::state::BodyReservation;
use bytes::Bytes;
use http1::RequestHead;
use tokio::time::Instant;

/// A request that was read completely.
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    /// When its first bytes were received.
    pub(crate) received_at: Instant,
    /// Held for as long as the body is.
    pub(crate) _body_reservation: Option<BodyReservation>,
}

impl Request {
    /// The client's id for this attempt; the first one if there are several.
    pub(crate) fn attempt_id(&self) -> Option<&[u8]> {
        self.head.fields.get(ATTEMPT_ID)
    }

    /// Whether the request's method is `HEAD`, whose response has no body.
    pub(crate) fn is_head(&self) -> bool {
        self.head.method() == b"HEAD"
    }
}
