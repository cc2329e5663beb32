//! Reads HTTP responses that have been received to the end of their connection.

use bytes::BytesMut;
use http1::{BodyDecoder, Decoded, HeadLimits, ResponseHead};

/// Limits on the size of a response head.
const HEAD_LIMITS: HeadLimits = HeadLimits::with_max_bytes(32 * 1024);
/// Lowest status code of a final response.
const MIN_FINAL_STATUS: u16 = 200;

/// A complete final response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HttpResponse {
    /// Status code, from 200 to 599.
    pub(crate) status: u16,
    /// Content of the body, without its framing.
    pub(crate) body: Vec<u8>,
}

impl HttpResponse {
    /// Parses all that was received on a connection; `None` if that is not one complete response.
    pub(crate) fn parse(received: &[u8]) -> Option<Self> {
        let mut rest = BytesMut::from(received);
        let head = ResponseHead::decode(&mut rest, HEAD_LIMITS, false).ok()??;
        if head.status < MIN_FINAL_STATUS {
            return None;
        }
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = Vec::new();
        loop {
            match decoder.decode(&mut rest).ok()? {
                Decoded::Data(data) => body.extend_from_slice(&data),
                Decoded::End if rest.is_empty() => break,
                Decoded::Incomplete if decoder.is_close_delimited() => break,
                Decoded::End | Decoded::Incomplete => return None,
            }
        }
        Some(Self {
            status: head.status,
            body,
        })
    }
}
