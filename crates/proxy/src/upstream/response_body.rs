//! The body of a host's response while it is received.

use crate::event_boundary::EventBoundary;
use crate::headers::is_event_stream;
use bytes::BytesMut;
use http1::{BodyDecoder, Decoded, ParseError, ResponseHead};

/// Decodes the body of a response. If only the end of the connection ends the body, it also tells what such an end
/// means.
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

    /// Whether the received bytes end inside an event of a close-delimited event stream.
    pub(crate) fn is_inside_event(&self) -> bool {
        self.boundary
            .is_some_and(|boundary| boundary.is_inside_event())
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
