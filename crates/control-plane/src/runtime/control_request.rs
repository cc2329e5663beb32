//! Decodes the requests of hosts, operators and applications to the control API from method, path, header and body.

use super::coordination_endpoint::CoordinationEndpoint;
use crate::host_registry::HostRequest;
use bytes::Bytes;
use configuration::ResultCode;
use hyper::Method;
use protocol::CoordinationRequest;

/// An operation of the control API, as decoded from method and path before the body is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Replaces the configuration.
    Replace,
    /// Amends the configuration.
    Amend,
    /// Reads the configuration.
    Read,
    /// A host's request; holds the path.
    Host(String),
    /// Returns the status page.
    Status,
    /// Lists the versions that were in force, or returns the configuration of one of them.
    History(Option<u64>),
    /// An operation on locks, numbers, cells or watches.
    Coordination(CoordinationEndpoint),
}

/// A decoded control API request.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlRequest {
    /// Replaces or amends the configuration.
    Configure {
        /// The version that the change is based on.
        base: u64,
        /// Whether the body amends the configuration instead of replacing it.
        amend: bool,
        /// The body as received.
        body: Bytes,
    },
    /// Reads the configuration.
    Read,
    /// A host's request.
    Host(HostRequest),
    /// Returns the status page.
    Status,
    /// Lists the versions that were in force, or returns the configuration of one of them.
    History(Option<u64>),
    /// An operation on locks, numbers, cells or watches.
    Coordinate(CoordinationRequest),
}

impl Endpoint {
    /// Decodes a method and a path with an optional query.
    ///
    /// # Errors
    /// [`ResultCode::NoSuchCall`] for an unknown path, [`ResultCode::OtherMethod`] for the wrong method, and the errors
    /// of [`CoordinationEndpoint::from_operation`].
    pub fn decode(method: &Method, path_and_query: &str) -> Result<Endpoint, ResultCode> {
        let (path, query) = path_and_query
            .split_once('?')
            .unwrap_or((path_and_query, ""));
        let endpoint = Self::from_path(path, query)?;
        let expected = if endpoint.is_read() {
            Method::GET
        } else {
            Method::POST
        };
        if *method != expected {
            return Err(ResultCode::OtherMethod);
        }
        Ok(endpoint)
    }

    fn from_path(path: &str, query: &str) -> Result<Endpoint, ResultCode> {
        let operation = path
            .strip_prefix("/fennelpin/")
            .ok_or(ResultCode::NoSuchCall)?;
        match operation {
            "Configuration.Replace" => Ok(Endpoint::Replace),
            "Configuration.Amend" => Ok(Endpoint::Amend),
            "Configuration.Read" => Ok(Endpoint::Read),
            "status" => Ok(Endpoint::Status),
            "Configuration.History" => Ok(Endpoint::History(None)),
            _ if operation.starts_with("Configuration.History/") => {
                let version = operation
                    .rsplit('/')
                    .next()
                    .and_then(|text| text.parse().ok());
                let version = version.ok_or(ResultCode::NoSuchCall)?;
                Ok(Endpoint::History(Some(version)))
            }
            _ if operation.starts_with("Hosts.") => Ok(Endpoint::Host(path.to_owned())),
            _ => CoordinationEndpoint::from_operation(operation, query).map(Endpoint::Coordination),
        }
    }

    /// Whether the operation only reads; such operations use the method GET.
    pub fn is_read(&self) -> bool {
        match self {
            Endpoint::Read | Endpoint::Status | Endpoint::History(_) => true,
            Endpoint::Coordination(endpoint) => endpoint.is_read(),
            Endpoint::Replace | Endpoint::Amend | Endpoint::Host(_) => false,
        }
    }

    /// Whether the body is a configuration, which may be large.
    pub fn has_large_body(&self) -> bool {
        matches!(self, Endpoint::Replace | Endpoint::Amend)
    }

    /// Completes the request with its body and the value of the header `Fennelpin-Base-Version`. `attempt` is a number
    /// that is unique to this request.
    ///
    /// # Errors
    /// [`ResultCode::NoBase`] if the operation needs a base version and the header has none, and the errors of
    /// [`HostRequest::decode`] and [`CoordinationEndpoint::into_request`].
    pub fn into_request(
        self,
        base_version: Option<&str>,
        body: Bytes,
        attempt: u64,
    ) -> Result<ControlRequest, ResultCode> {
        let amend = self == Endpoint::Amend;
        Ok(match self {
            Endpoint::Replace | Endpoint::Amend => {
                let base = base_version
                    .and_then(parse_version)
                    .ok_or(ResultCode::NoBase)?;
                ControlRequest::Configure { base, amend, body }
            }
            Endpoint::Read => ControlRequest::Read,
            Endpoint::Status => ControlRequest::Status,
            Endpoint::History(version) => ControlRequest::History(version),
            Endpoint::Host(path) => ControlRequest::Host(HostRequest::decode(&path, &body)?),
            Endpoint::Coordination(endpoint) => {
                ControlRequest::Coordinate(endpoint.into_request(&body, attempt)?)
            }
        })
    }
}

/// Parses a version in a header: decimal digits without a sign, with optional spaces and tabs around them.
fn parse_version(text: &str) -> Option<u64> {
    let digits = text.trim_matches([' ', '\t']);
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok()
}
