//! The body of a host's response while it is received.

use crate::event_boundary::EventBoundary;
use crate::headers::is_event_stream;
use crate::upstream::connection::UpstreamError;
use bytes::BytesMut;
use http1::{BodyDecoder, Decoded, ParseError, ResponseHead};

/// Decodes the body of a response. If only the end of the connection ends the body, it also tells whether the body can
/// end there.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    decoder: BodyDecoder,
    /// Position in the event stream; `None` if the body is not one, or if its framing marks its end.
    boundary: Option<EventBoundary>,
}

impl ResponseBody {
    /// Creates the decoder for the body that follows this head.
    pub(crate) fn new(head: &ResponseHead) -> Self {
        let decoder = BodyDecoder::new(head.framing);
        let ends_with_connection = decoder.is_close_delimited();
        Self {
            decoder,
            boundary: (ends_with_connection && is_event_stream(&head.fields))
                .then(EventBoundary::default),
        }
    }

    /// Whether only the end of the connection ends the body.
    pub(crate) fn is_close_delimited(&self) -> bool {
        self.decoder.is_close_delimited()
    }

    /// Ends the body at an orderly close of the connection. The kernel closes the connections of a crashed host in an
    /// orderly way too, so that the close alone does not show that an event stream is complete.
    ///
    /// # Errors
    /// [`UpstreamError::Closed`] if the framing marks the end of the body;
    /// [`UpstreamError::ClosedInsideEvent`] if an event is incomplete.
    pub(crate) fn on_close(&self) -> Result<(), UpstreamError> {
        if !self.is_close_delimited() {
            return Err(UpstreamError::Closed);
        }
        match self.boundary {
            Some(boundary) if boundary.is_inside_event() => Err(UpstreamError::ClosedInsideEvent),
            _ => Ok(()),
        }
    }

    /// Removes the next piece of the body, with any framing before it, from the front of `buf`.
    ///
    /// # Errors
    /// [`ParseError::Syntax`] if a chunk or a trailer is malformed.
    pub(crate) fn decode(&mut self, buf: &mut BytesMut) -> Result<Decoded, ParseError> {
        let decoded = self.decoder.decode(buf)?;
        if let (Decoded::Data(data), Some(boundary)) = (&decoded, &mut self.boundary) {
            boundary.advance(data);
        }
        Ok(decoded)
    }
}
