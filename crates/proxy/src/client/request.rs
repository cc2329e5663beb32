//! A client's request after it was read.

use crate::headers::ATTEMPT_ID;
use crate::state::BodyReservation;
use bytes::Bytes;
use http1::RequestHead;
use tokio::time::Instant;

/// A completely read request.
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    /// Time at which its first bytes were received.
    pub(crate) received_at: Instant,
    /// Memory reservation for the body, released together with it.
    pub(crate) _body_reservation: Option<BodyReservation>,
}

impl Request {
    /// Returns the client's id for this attempt; the first one if there are several fields.
    pub(crate) fn attempt_id(&self) -> Option<&[u8]> {
        self.head.fields.get(ATTEMPT_ID)
    }

    /// Returns whether the method is `HEAD`, whose responses have no body.
    pub(crate) fn is_head(&self) -> bool {
        self.head.method() == b"HEAD"
    }
}
