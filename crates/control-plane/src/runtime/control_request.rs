//! Requests of hosts and operators to the control API, decoded from method, path, header and body.

use crate::host_registry::HostRequest;
use bytes::Bytes;
use configuration::ResultCode;
use hyper::Method;

/// What method and path ask for, before the body is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Replaces the configuration.
    Replace,
    /// Amends the configuration.
    Amend,
    /// Reads the configuration.
    Read,
    /// A host's request, with its path.
    Host(String),
    /// The status page.
    Status,
    /// The versions that were in force, or the configuration of one of them.
    History(Option<u64>),
}

/// A request.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlRequest {
    /// Changes the configuration.
    Configure {
        /// The version that it builds on.
        base: u64,
        /// Whether it amends; else it replaces.
        amend: bool,
        /// The body as sent.
        body: Bytes,
    },
    /// Reads the configuration.
    Read,
    /// A host's request.
    Host(HostRequest),
    /// The status page.
    Status,
    /// The versions that were in force, or the configuration of one of them.
    History(Option<u64>),
}

impl Endpoint {
    /// The endpoint of a method and a path.
    ///
    /// # Errors
    /// [`ResultCode::NoSuchCall`] for an unknown path, [`ResultCode::OtherMethod`] for the wrong method.
    pub fn decode(method: &Method, path: &str) -> Result<Endpoint, ResultCode> {
        let endpoint = Self::of_path(path)?;
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

    fn of_path(path: &str) -> Result<Endpoint, ResultCode> {
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
            _ => Err(ResultCode::NoSuchCall),
        }
    }

    /// Whether it changes nothing.
    pub fn is_read(&self) -> bool {
        matches!(
            self,
            Endpoint::Read | Endpoint::Status | Endpoint::History(_)
        )
    }

    /// Whether its body may be long.
    pub fn has_large_body(&self) -> bool {
        matches!(self, Endpoint::Replace | Endpoint::Amend)
    }

    /// The request with its body and the value of `Fennelpin-Base-Version`.
    ///
    /// # Errors
    /// [`ResultCode::NoBase`], and the errors of [`HostRequest::decode`].
    pub fn into_request(
        self,
        base_version: Option<&str>,
        body: Bytes,
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
        })
    }
}

/// The version in a header: decimal digits alone, without a sign.
fn parse_version(text: &str) -> Option<u64> {
    let digits = text.trim_matches([' ', '\t']);
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok()
}
