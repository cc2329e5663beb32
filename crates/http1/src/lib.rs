//! HTTP/1.1 message parsing without I/O: heads are parsed by `httparse`, bodies are decoded by their framing. Used by
//! the proxy, which decodes from a [`bytes::BytesMut`], and by the coordinator's HTTP server, which parses from a ring
//! buffer.
//!
//! ```
//! use http1::{HeadLimits, BodyDecoder, Framing, Decoded, RequestHead};
//! let mut buf = bytes::BytesMut::from("POST /a?b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n");
//! let head = RequestHead::decode(&mut buf, HeadLimits::default()).unwrap().expect("a complete head");
//! assert_eq!((head.method(), head.path()), (&b"POST"[..], &b"/a"[..]));
//! let mut body = BodyDecoder::new(head.framing.unwrap());
//! assert_eq!(body.decode(&mut buf), Ok(Decoded::Data("hi".into())));
//! assert_eq!(body.decode(&mut buf), Ok(Decoded::Incomplete));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod body;
mod chunk;
mod error;
mod fields;
mod framing;
mod head;
mod limits;
mod request;
mod response;
mod status;

pub use body::{BodyDecoder, DecodeStep, Decoded};
pub use error::ParseError;
pub use fields::Fields;
pub use framing::Framing;
pub use limits::{HeadLimits, MAX_FIELDS};
pub use request::RequestHead;
pub use response::ResponseHead;
pub use status::reason_phrase;
