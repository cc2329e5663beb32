//! A request as it was read.

use crate::state::BodyReservation;
use bytes::Bytes;
use http1::RequestHead;
use tokio::time::Instant;

/// A request, read whole.
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    /// When its first byte was there.
    pub(crate) arrived: Instant,
    pub(crate) _held: Option<BodyReservation>,
}
