//! Calls of hosts and operators: each is decoded into a [`Call`], which is run elsewhere.

use crate::host_registry::HostRequest;
use bytes::Bytes;
use configuration::ResultCode;
use hyper::Method;

/// What a path asks for, before the body is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Head {
    /// Takes a whole configuration.
    Replace,
    /// Takes changes to the configuration.
    Amend,
    /// Asks for the configuration.
    Read,
    /// A host's call, with its path.
    Host(String),
    /// Asks how this member is.
    Status,
    /// Asks which versions were taken, or for the configuration of one.
    ConfigurationHistory(Option<u64>),
}

/// A call.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Takes a configuration.
    Configure {
        /// The version it builds on.
        base: u64,
        /// Whether it amends; else it replaces.
        amend: bool,
        /// The body as sent.
        body: Bytes,
    },
    /// Asks for the configuration.
    Read,
    /// A host's call.
    Host(HostRequest),
    /// Asks how this member is.
    Status,
    /// Asks which versions were taken, or for the configuration of one.
    ConfigurationHistory(Option<u64>),
}

/// The version that a header names: decimal digits alone, with no sign.
fn read_base(text: &str) -> Option<u64> {
    let digits = text.trim_matches([' ', '\t']);
    digits
        .bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| digits.parse().ok())
        .flatten()
}

impl Head {
    /// What method and path ask for.
    ///
    /// # Errors
    /// [`ResultCode::NoSuchCall`] and [`ResultCode::OtherMethod`].
    pub fn read(method: &Method, path: &str) -> Result<Head, ResultCode> {
        let head = match path
            .strip_prefix("/fennelpin/")
            .ok_or(ResultCode::NoSuchCall)?
        {
            "Configuration.Replace" => Head::Replace,
            "Configuration.Amend" => Head::Amend,
            "Configuration.Read" => Head::Read,
            "status" => Head::Status,
            "Configuration.History" => Head::ConfigurationHistory(None),
            call if call.starts_with("Configuration.History/") => {
                let version = call.rsplit('/').next().and_then(|v| v.parse().ok());
                Head::ConfigurationHistory(Some(version.ok_or(ResultCode::NoSuchCall)?))
            }
            call if call.starts_with("Hosts.") => Head::Host(path.to_owned()),
            _ => return Err(ResultCode::NoSuchCall),
        };
        let wanted = if head.asks() {
            Method::GET
        } else {
            Method::POST
        };
        if *method == wanted {
            Ok(head)
        } else {
            Err(ResultCode::OtherMethod)
        }
    }

    /// Whether it only asks.
    pub fn asks(&self) -> bool {
        matches!(
            self,
            Head::Read | Head::Status | Head::ConfigurationHistory(_)
        )
    }

    /// Whether its body may be long.
    pub fn heavy(&self) -> bool {
        matches!(self, Head::Replace | Head::Amend)
    }

    /// The call, with its body and the text of `Fennelpin-Base-Version`.
    ///
    /// # Errors
    /// [`ResultCode::NoBase`], and what [`HostRequest::decode`] finds.
    pub fn with(self, base: Option<&str>, body: Bytes) -> Result<Call, ResultCode> {
        let amend = self == Head::Amend;
        Ok(match self {
            Head::Replace | Head::Amend => {
                let base = base.and_then(read_base).ok_or(ResultCode::NoBase)?;
                Call::Configure { base, amend, body }
            }
            Head::Read => Call::Read,
            Head::Status => Call::Status,
            Head::ConfigurationHistory(version) => Call::ConfigurationHistory(version),
            Head::Host(path) => Call::Host(HostRequest::decode(&path, &body)?),
        })
    }
}
