//! Connections to hosts: the pool of idle connections, and reading and writing on a connection.

pub(crate) mod acquire;
pub(crate) mod connection;
pub(crate) mod outgoing_request;
pub mod pool;
pub(crate) mod response_body;

pub(crate) use acquire::{acquire, connect, release, AcquireError, ConnectTarget};
pub(crate) use connection::{BodyRead, UpstreamConnection, UpstreamError};
pub(crate) use outgoing_request::OutgoingRequest;
pub(crate) use response_body::ResponseBody;
